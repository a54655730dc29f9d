//! The form of the operator's file: a directive and its values a line, sections in braces, comments, includes.
//!
//! ```text
//! # a comment
//! directive value "a value in quotes"   # another
//! section name {
//!     directive value
//! }
//! include networks.conf                 # within the folder of the file given on the command line
//! ```

use std::fmt;
use std::path::{Component, Path, PathBuf};
use std::rc::Rc;
use winnow::ascii::space0;
use winnow::combinator::{alt, cut_err, delimited, eof, preceded, repeat, terminated};
use winnow::error::{ContextError, StrContext, StrContextValue};
use winnow::prelude::*;
use winnow::stream::{LocatingSlice, Location};
use winnow::token::{none_of, one_of, rest, take_while};

/// Files within files at most.
const DEEPEST: usize = 8;
/// Most bytes of one file.
const LONGEST: u64 = 4 << 20;

/// Where something stands.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Place {
    pub file: Rc<Path>,
    pub line: usize,
    pub column: usize,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}:{}", self.file.display(), self.line, self.column)
    }
}

/// What is wrong, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fault {
    pub place: Place,
    pub what: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.what)
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Word {
    pub text: String,
    pub place: Place,
}

/// A line, with the lines of its section if it opens one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Directive {
    pub name: Word,
    pub values: Vec<Word>,
    pub section: Option<Vec<Directive>>,
}

#[derive(Clone, Debug, PartialEq)]
enum Token {
    Word(String),
    Open,
    Close,
}

type Input<'a> = LocatingSlice<&'a str>;

fn quoted(input: &mut Input<'_>) -> ModalResult<String> {
    let escaped = preceded(
        '\\',
        cut_err(
            one_of(['"', '\\'])
                .context(StrContext::Expected(StrContextValue::Description("`\\\"` or `\\\\`"))),
        ),
    );
    let inside = repeat(0.., alt((none_of(['"', '\\']), escaped)));
    let end = cut_err('"'.context(StrContext::Expected(StrContextValue::Description("a closing quote"))));
    delimited('"', inside, end).parse_next(input)
}

fn bare(input: &mut Input<'_>) -> ModalResult<String> {
    let plain = |c: char| !c.is_whitespace() && !matches!(c, '"' | '{' | '}' | '#') && !c.is_control();
    take_while(1.., plain).map(str::to_string).parse_next(input)
}

fn token(input: &mut Input<'_>) -> ModalResult<(usize, Token)> {
    let at = input.current_token_start();
    let token = alt((
        '{'.value(Token::Open),
        '}'.value(Token::Close),
        quoted.map(Token::Word),
        bare.map(Token::Word),
    ))
    .parse_next(input)?;
    Ok((at, token))
}

/// The tokens of a line, with the byte at which each begins.
fn line(input: &mut Input<'_>) -> ModalResult<Vec<(usize, Token)>> {
    let tokens = repeat(0.., preceded(space0, token));
    terminated(tokens, (space0, alt((eof.void(), ('#', rest).void())))).parse_next(input)
}

/// Reads a file and what it includes; all faults in one go.
pub fn read(path: &Path) -> Result<Vec<Directive>, Vec<Fault>> {
    let tree = path.parent().filter(|p| !p.as_os_str().is_empty()).unwrap_or(Path::new(".")).to_path_buf();
    let mut reader = Reader { tree, faults: Vec::new(), open: Vec::new() };
    let place = Place { file: Rc::from(path), line: 1, column: 1 };
    let directives = reader.file(path, &place);
    match reader.faults.is_empty() {
        true => Ok(directives),
        false => Err(reader.faults),
    }
}

/// The same directives as a text of one file.
pub fn render(directives: &[Directive]) -> String {
    let mut text = String::new();
    for directive in directives {
        text.push_str(&directive.name.text);
        for value in &directive.values {
            let escaped = value.text.replace('\\', "\\\\").replace('"', "\\\"");
            text.push_str(&format!(" \"{escaped}\""));
        }
        match &directive.section {
            Some(inner) => text.push_str(&format!(" {{\n{}}}\n", render(inner))),
            None => text.push('\n'),
        }
    }
    text
}

/// Reads a text that stands in no file; `include` is refused there.
pub fn parse(name: &str, text: &str) -> Result<Vec<Directive>, Vec<Fault>> {
    let mut reader = Reader { tree: PathBuf::new(), faults: Vec::new(), open: vec![PathBuf::new(); DEEPEST] };
    let directives = reader.text(&Rc::from(Path::new(name)), text);
    match reader.faults.is_empty() {
        true => Ok(directives),
        false => Err(reader.faults),
    }
}

struct Reader {
    /// The folder of the first file, beyond which no include reaches.
    tree: PathBuf,
    faults: Vec<Fault>,
    /// The files being read, each included by the one before.
    open: Vec<PathBuf>,
}

impl Reader {
    fn fault(&mut self, place: &Place, what: String) {
        self.faults.push(Fault { place: place.clone(), what });
    }

    fn file(&mut self, path: &Path, asked: &Place) -> Vec<Directive> {
        let size = std::fs::metadata(path).map(|m| m.len());
        let text = match size {
            Ok(size) if size > LONGEST => Err(format!("holds {size} bytes, expected at most {LONGEST}")),
            _ => std::fs::read_to_string(path).map_err(|e| e.to_string()),
        };
        match text {
            Ok(text) => {
                self.open.push(path.canonicalize().unwrap_or(path.to_path_buf()));
                let directives = self.text(&Rc::from(path), &text);
                self.open.pop();
                directives
            }
            Err(why) => {
                self.fault(asked, format!("cannot read {}: {why}", path.display()));
                Vec::new()
            }
        }
    }

    fn text(&mut self, file: &Rc<Path>, text: &str) -> Vec<Directive> {
        // The sections that are open, the outermost first: each directive, and what is in it so far.
        let mut stack: Vec<(Directive, Vec<Directive>)> = Vec::new();
        let mut top = Vec::new();
        for (i, text) in text.lines().enumerate() {
            let at = |byte: usize| Place {
                file: file.clone(),
                line: i + 1,
                column: text.get(..byte).map_or(0, |t| t.chars().count()) + 1,
            };
            let tokens = match line.parse(LocatingSlice::new(text.trim_end())) {
                Ok(tokens) => tokens,
                Err(e) => {
                    let place = at(e.offset());
                    let what = unreadable(text, e.offset(), e.inner());
                    self.fault(&place, what);
                    continue;
                }
            };
            let mut words: Vec<Word> = Vec::new();
            let count = tokens.len();
            for (n, (byte, token)) in tokens.into_iter().enumerate() {
                let place = at(byte);
                let last = n + 1 == count;
                match token {
                    Token::Word(text) => words.push(Word { text, place }),
                    Token::Open if !last => {
                        self.fault(
                            &place,
                            "found something behind `{`, expected the end of the line".to_string(),
                        );
                        break;
                    }
                    Token::Open if words.is_empty() => {
                        self.fault(&place, "found `{`, expected the name of a section before it".to_string());
                    }
                    Token::Open => {
                        let name = words.remove(0);
                        let values = std::mem::take(&mut words);
                        let opened = Directive { name, values, section: Some(Vec::new()) };
                        stack.push((opened, std::mem::take(&mut top)));
                    }
                    Token::Close if !words.is_empty() || !last => {
                        self.fault(
                            &place,
                            "found `}` among other words, expected it on a line of its own".to_string(),
                        );
                        words.clear();
                        break;
                    }
                    Token::Close => match stack.pop() {
                        Some((mut opened, outer)) => {
                            opened.section = Some(std::mem::replace(&mut top, outer));
                            top.push(opened);
                        }
                        None => self.fault(&place, "found `}`, but no section is open".to_string()),
                    },
                }
            }
            if words.is_empty() {
                continue;
            }
            let name = words.remove(0);
            if name.text == "include" {
                top.extend(self.include(file, &name, &words));
            } else {
                top.push(Directive { name, values: words, section: None });
            }
        }
        while let Some((opened, mut outer)) = stack.pop() {
            let name = &opened.name;
            self.fault(&name.place, format!("section `{}` is never closed, expected a `}}`", name.text));
            outer.push(opened);
            top = outer;
        }
        top
    }

    fn include(&mut self, from: &Path, name: &Word, values: &[Word]) -> Vec<Directive> {
        let [value] = values else {
            self.fault(&name.place, format!("`include` has {} values, expected one file", values.len()));
            return Vec::new();
        };
        let said = Path::new(&value.text);
        let inside = said.is_relative()
            && said.components().all(|c| matches!(c, Component::Normal(_) | Component::CurDir));
        let path = from.parent().unwrap_or(Path::new("")).join(said);
        // A link may lead out of the tree although its name does not.
        let real = path.canonicalize().ok().zip(self.tree.canonicalize().ok());
        if !inside || real.as_ref().is_some_and(|(path, tree)| !path.starts_with(tree)) {
            self.fault(
                &value.place,
                format!("`{}` is outside the file's own tree, expected a path within it", value.text),
            );
            return Vec::new();
        }
        let again = real.is_some_and(|(path, _)| self.open.contains(&path));
        if again || self.open.len() >= DEEPEST {
            self.fault(
                &value.place,
                format!("`{}` is included within itself, or {DEEPEST} files deep", value.text),
            );
            return Vec::new();
        }
        self.file(&path, &value.place)
    }
}

/// Says what stood there and what was expected.
fn unreadable(text: &str, offset: usize, e: &ContextError) -> String {
    let expected = e.context().find_map(|c| match c {
        StrContext::Expected(value) => Some(value.to_string()),
        _ => None,
    });
    let found = match text.get(offset..).and_then(|t| t.chars().next()) {
        Some(c) => format!("`{}`", c.escape_default()),
        None => "the end of the line".to_string(),
    };
    format!(
        "found {found}, expected {}",
        expected.unwrap_or("a word, a text in quotes, `{` or `}`".to_string())
    )
}

//! Reads nginx's configuration language: directives of words, ended by `;` or followed by a block.

/// A directive and where it begins.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Directive {
    pub line: usize,
    pub words: Vec<String>,
    /// None where it ended by `;`.
    pub block: Option<Vec<Directive>>,
}

impl Directive {
    pub fn name(&self) -> &str {
        self.words.first().map_or("", String::as_str)
    }

    pub fn args(&self) -> &[String] {
        self.words.get(1..).unwrap_or(&[])
    }

    pub fn block(&self) -> &[Directive] {
        self.block.as_deref().unwrap_or(&[])
    }
}

#[derive(Debug, PartialEq, Eq)]
enum Token {
    Word(String),
    Semicolon,
    Open,
    Close,
}

/// The whole of a text; an error names its line.
pub fn parse(text: &str) -> Result<Vec<Directive>, String> {
    let mut tokens = tokens(text)?.into_iter();
    block(&mut tokens, None)
}

/// Directives up to the brace that closes the block opened in line `opened`, or to the end.
fn block(
    tokens: &mut impl Iterator<Item = (usize, Token)>,
    opened: Option<usize>,
) -> Result<Vec<Directive>, String> {
    let mut directives = Vec::new();
    let (mut words, mut line) = (Vec::new(), 0);
    for_each(tokens, |tokens, at, token| {
        if words.is_empty() {
            line = at;
        }
        match token {
            Token::Word(w) => words.push(w),
            Token::Semicolon if words.is_empty() => return Err(format!("{at}: unexpected `;`")),
            Token::Open if words.is_empty() => return Err(format!("{at}: unexpected `{{`")),
            Token::Semicolon => {
                directives.push(Directive { line, words: std::mem::take(&mut words), block: None })
            }
            Token::Open => {
                let words = std::mem::take(&mut words);
                let inner = block(tokens, Some(at))?;
                directives.push(Directive { line, words, block: Some(inner) });
            }
            Token::Close if !words.is_empty() => {
                return Err(format!("{line}: `{}` does not end by `;` or a block", words.join(" ")))
            }
            Token::Close if opened.is_none() => return Err(format!("{at}: unexpected `}}`")),
            Token::Close => return Ok(true),
        }
        Ok(false)
    })
    .and_then(|closed| match (closed, opened) {
        (false, Some(at)) => Err(format!("{at}: this block is never closed")),
        _ => Ok(()),
    })?;
    if !words.is_empty() {
        return Err(format!("{line}: `{}` does not end by `;` or a block", words.join(" ")));
    }
    Ok(directives)
}

/// Hands on tokens until told to stop; true if it was.
fn for_each<I: Iterator<Item = (usize, Token)>>(
    tokens: &mut I,
    mut act: impl FnMut(&mut I, usize, Token) -> Result<bool, String>,
) -> Result<bool, String> {
    while let Some((at, token)) = tokens.next() {
        if act(tokens, at, token)? {
            return Ok(true);
        }
    }
    Ok(false)
}

fn tokens(text: &str) -> Result<Vec<(usize, Token)>, String> {
    let mut found = Vec::new();
    let (mut line, mut chars) = (1, text.chars().peekable());
    while let Some(c) = chars.next() {
        match c {
            '\n' => line += 1,
            c if c.is_whitespace() => {}
            '#' => while chars.next_if(|c| *c != '\n').is_some() {},
            ';' => found.push((line, Token::Semicolon)),
            '{' => found.push((line, Token::Open)),
            '}' => found.push((line, Token::Close)),
            '"' | '\'' => {
                let (begun, mut word) = (line, String::new());
                loop {
                    match chars.next() {
                        None => return Err(format!("{begun}: this quote is never closed")),
                        Some(q) if q == c => break,
                        Some('\\') => word.extend(chars.next()),
                        Some(other) => {
                            line += usize::from(other == '\n');
                            word.push(other);
                        }
                    }
                }
                found.push((begun, Token::Word(word)));
            }
            first => {
                let mut word = String::from(first);
                if first == '\\' {
                    word.extend(chars.next());
                }
                // `${name}` is the one place for braces in a word.
                while let Some(c) = chars.peek().copied() {
                    let variable = c == '{' && word.ends_with('$');
                    if c.is_whitespace() || c == ';' || ((c == '{' || c == '}') && !variable) {
                        break;
                    }
                    chars.next();
                    word.push(c);
                    if variable {
                        let rest = std::iter::from_fn(|| chars.next_if(|c| *c != '}' && !c.is_whitespace()));
                        word.push_str(&rest.collect::<String>());
                        word.extend(chars.next_if_eq(&'}'));
                    }
                }
                found.push((line, Token::Word(word)));
            }
        }
    }
    Ok(found)
}

/// `60`, `60s`, `500ms`, `1m30s`: milliseconds.
pub fn millis(text: &str) -> Option<u64> {
    let (mut total, mut number) = (0u64, String::new());
    let mut chars = text.chars().peekable();
    while let Some(c) = chars.next() {
        if c.is_ascii_digit() {
            number.push(c);
            continue;
        }
        let factor = match c {
            'm' if chars.next_if_eq(&'s').is_some() => 1,
            's' => 1_000,
            'm' => 60_000,
            'h' => 3_600_000,
            'd' => 86_400_000,
            'w' => 604_800_000,
            'M' => 30 * 86_400_000,
            'y' => 365 * 86_400_000,
            _ => return None,
        };
        total = total.checked_add(number.parse::<u64>().ok()?.checked_mul(factor)?)?;
        number.clear();
    }
    match number.is_empty() {
        true if text.is_empty() => None,
        true => Some(total),
        false => total.checked_add(number.parse::<u64>().ok()?.checked_mul(1_000)?),
    }
}

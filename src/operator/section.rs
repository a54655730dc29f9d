//! Reading a section's directives as values, with all that is wrong told in one go, and what is in force noted with
//! where it was said.

use super::syntax::{Directive, Fault, Place, Word};
use crate::interface::Nanos;
use std::cell::RefCell;
use std::fmt;
use std::str::FromStr;
use std::time::Duration;

/// What was found while a file is read.
#[derive(Debug, Default)]
pub struct Findings {
    pub faults: RefCell<Vec<Fault>>,
    pub in_force: RefCell<Vec<InForce>>,
}

/// A setting as it holds.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InForce {
    pub name: String,
    pub value: String,
    /// `None`: the default.
    pub place: Option<Place>,
}

impl fmt::Display for InForce {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} {}  # ", self.name, self.value)?;
        match &self.place {
            Some(place) => write!(f, "{place}"),
            None => f.write_str("default"),
        }
    }
}

/// A section whose directives are asked for by name. What nobody asked for is an error in the end, and so is what
/// is said twice.
pub struct Section<'a> {
    path: String,
    directives: &'a [Directive],
    asked: Vec<&'static str>,
    findings: &'a Findings,
    /// Where the section stands; none for one that was left out.
    pub place: Option<Place>,
}

impl<'a> Section<'a> {
    pub fn new(path: &str, directives: &'a [Directive], findings: &'a Findings) -> Section<'a> {
        Section { path: path.to_string(), directives, asked: Vec::new(), findings, place: None }
    }

    pub fn fault(&self, place: &Place, what: String) {
        self.findings.faults.borrow_mut().push(Fault { place: place.clone(), what });
    }

    fn named(&self, name: &str) -> String {
        if self.path.is_empty() {
            name.to_string()
        } else {
            format!("{} {name}", self.path)
        }
    }

    pub fn note(&self, name: &str, value: &str, place: Option<&Place>) {
        let value = match value.is_empty() || value.contains(char::is_whitespace) {
            true => format!("{value:?}"),
            false => value.to_string(),
        };
        self.note_as_is(name, value, place);
    }

    fn note_as_is(&self, name: &str, value: String, place: Option<&Place>) {
        let name = self.named(name);
        self.findings.in_force.borrow_mut().push(InForce { name, value, place: place.cloned() });
    }

    /// All lines of this name.
    pub fn many(&mut self, name: &'static str) -> Vec<&'a Directive> {
        self.asked.push(name);
        self.directives.iter().filter(|d| d.name.text == name).collect()
    }

    /// The one line of this name, if there is one.
    pub fn one(&mut self, name: &'static str) -> Option<&'a Directive> {
        let all = self.many(name);
        if let [first, again, ..] = all[..] {
            let what = format!("`{name}` is said again, expected once: it stands at {}", first.name.place);
            self.fault(&again.name.place, what);
        }
        all.first().copied()
    }

    /// The one value of a directive that opens no section.
    pub fn value(&self, directive: &'a Directive) -> Option<&'a Word> {
        let name = &directive.name;
        match &directive.values[..] {
            [value] if directive.section.is_none() => return Some(value),
            _ if directive.section.is_some() => {
                self.fault(&name.place, format!("`{}` opens a section, expected a value", name.text));
            }
            values => {
                let what = format!("`{}` has {} values, expected one", name.text, values.len());
                self.fault(&name.place, what);
            }
        }
        None
    }

    /// Reads a word by `read`, which says what it expects.
    pub fn read<T>(&self, word: &Word, read: impl Fn(&str) -> Result<T, String>) -> Option<T> {
        match read(&word.text) {
            Ok(value) => Some(value),
            Err(expected) => {
                self.fault(&word.place, format!("found `{}`, expected {expected}", word.text));
                None
            }
        }
    }

    /// A directive with one value, or none where it is not said.
    pub fn maybe<T>(&mut self, name: &'static str, read: impl Fn(&str) -> Result<T, String>) -> Option<T> {
        let directive = self.one(name)?;
        let word = self.value(directive)?;
        let value = self.read(word, read)?;
        self.note(name, &word.text, Some(&word.place));
        Some(value)
    }

    /// A directive with one value, else its default, which is given as it would be written.
    pub fn or<T>(&mut self, name: &'static str, default: &str, read: impl Fn(&str) -> Result<T, String>) -> T
    where
        T: Default,
    {
        if self.directives.iter().any(|d| d.name.text == name) {
            return self.maybe(name, read).unwrap_or_default();
        }
        self.asked.push(name);
        self.note(name, default, None);
        read(default).unwrap_or_default()
    }

    /// A directive that has to be there.
    pub fn need<T: Default>(&mut self, name: &'static str, read: impl Fn(&str) -> Result<T, String>) -> T {
        if !self.directives.iter().any(|d| d.name.text == name) {
            let what = format!("`{}` has no `{name}`, expected one", self.path);
            if let Some(place) = self.place.clone() {
                self.fault(&place, what);
            }
        }
        self.maybe(name, read).unwrap_or_default()
    }

    /// A directive that says something by being there.
    pub fn said(&mut self, name: &'static str) -> bool {
        let Some(directive) = self.one(name) else { return false };
        if !directive.values.is_empty() || directive.section.is_some() {
            self.fault(&directive.name.place, format!("`{name}` takes no value"));
        }
        self.note_as_is(name, String::new(), Some(&directive.name.place));
        true
    }

    /// `name KEY VALUE KEY VALUE ...`: the words behind each key, in the order of `keys`. What stands before the
    /// first key is returned apart.
    pub fn pairs(&self, directive: &'a Directive, keys: &[&str]) -> (Vec<&'a Word>, Vec<Option<&'a Word>>) {
        let mut found = vec![None; keys.len()];
        let mut words = directive.values.iter().peekable();
        let mut before = Vec::new();
        while let Some(word) = words.next_if(|w| !keys.contains(&w.text.as_str())) {
            before.push(word);
        }
        while let Some(key) = words.next() {
            let expected = keys.join("`, `");
            let Some(at) = keys.iter().position(|k| *k == key.text) else {
                self.fault(&key.place, format!("found `{}`, expected one of `{expected}`", key.text));
                continue;
            };
            match words.next() {
                Some(value) if found[at].is_none() => found[at] = Some(value),
                Some(_) => self.fault(&key.place, format!("`{}` is said twice on this line", key.text)),
                None => self.fault(&key.place, format!("`{}` has no value behind it", key.text)),
            }
        }
        let text = directive.values.iter().map(|w| w.text.as_str()).collect::<Vec<_>>().join(" ");
        self.note_as_is(&directive.name.text, text, Some(&directive.name.place));
        (before, found)
    }

    /// The sections of a name, each with the words behind the name.
    pub fn sections(&mut self, name: &'static str) -> Vec<(&'a [Word], Section<'a>)> {
        let mut sections = Vec::new();
        for directive in self.many(name) {
            let Some(inner) = &directive.section else {
                self.fault(
                    &directive.name.place,
                    format!("`{name}` is a section, expected a `{{` at the end of the line"),
                );
                continue;
            };
            let words: Vec<&str> =
                std::iter::once(name).chain(directive.values.iter().map(|w| w.text.as_str())).collect();
            let mut section = Section::new(&self.named(&words.join(" ")), inner, self.findings);
            section.place = Some(directive.name.place.clone());
            sections.push((&directive.values[..], section));
        }
        sections
    }

    /// Sections that bear one name each, which no two share.
    pub fn named_sections(&mut self, kind: &'static str) -> Vec<(&'a Word, Section<'a>)> {
        let mut seen: Vec<&Word> = Vec::new();
        let mut named = Vec::new();
        for (words, section) in self.sections(kind) {
            let place = section.place.clone();
            let (Some(place), [name]) = (place, words) else {
                if let Some(place) = &section.place {
                    section.fault(place, format!("`{kind}` has {} names, expected one", words.len()));
                }
                continue;
            };
            if let Some(first) = seen.iter().find(|w| w.text == name.text) {
                let what = format!("`{kind} {}` is said again, it stands at {}", name.text, first.place);
                section.fault(&place, what);
            }
            seen.push(name);
            named.push((name, section));
        }
        named
    }

    /// The one section of a name, empty where it is not said.
    pub fn section(&mut self, name: &'static str) -> Section<'a> {
        let all = self.sections(name);
        if let [(_, first), (_, again), ..] = &all[..] {
            let first = first.place.as_ref().map(Place::to_string).unwrap_or_default();
            if let Some(place) = &again.place {
                self.fault(place, format!("section `{name}` is said again, it stands at {first}"));
            }
        }
        for (words, section) in &all {
            if let ([word, ..], Some(_)) = (words, &section.place) {
                self.fault(
                    &word.place,
                    format!("found `{}`, expected `{{`: section `{name}` has no name", word.text),
                );
            }
        }
        let none = Section::new(&self.named(name), &[], self.findings);
        all.into_iter().next().map_or(none, |(_, s)| s)
    }

    /// Whether the section stands in the file.
    pub fn is_there(&self) -> bool {
        self.place.is_some()
    }

    /// All has been asked for: what is left is unknown.
    pub fn finish(self) {
        for d in self.directives.iter().filter(|d| !self.asked.contains(&d.name.text.as_str())) {
            let mut known = self.asked.clone();
            known.sort_unstable();
            known.dedup();
            let of = if self.path.is_empty() { String::new() } else { format!(" in `{}`", self.path) };
            let what = format!("`{}` is unknown{of}, expected one of `{}`", d.name.text, known.join("`, `"));
            self.fault(&d.name.place, what);
        }
    }
}

/// A whole number within bounds.
pub fn count(least: usize, most: usize) -> impl Fn(&str) -> Result<usize, String> {
    move |text| {
        let n = text.parse().ok().filter(|n| (least..=most).contains(n));
        n.ok_or_else(|| format!("a whole number from {least} to {most}"))
    }
}

/// A number within bounds.
pub fn number(least: f64, most: f64) -> impl Fn(&str) -> Result<f64, String> {
    move |text| {
        let n = text.parse::<f64>().ok().filter(|n| (least..=most).contains(n));
        n.ok_or_else(|| format!("a number from {least} to {most}"))
    }
}

/// A number and its unit: `250us`, `30ms`, `1.5s`, `2m`, `1h`.
pub fn span(text: &str) -> Result<Nanos, String> {
    let expected = || "a time such as `250us`, `30ms`, `1.5s`, `2m` or `1h`, at most 30 days".to_string();
    let split = text.find(|c: char| c.is_ascii_alphabetic()).ok_or_else(expected)?;
    let (number, unit) = text.split_at(split);
    let each = match unit {
        "us" => 1e3,
        "ms" => 1e6,
        "s" => 1e9,
        "m" => 60e9,
        "h" => 3_600e9,
        _ => return Err(expected()),
    };
    let plain = number.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    let n: f64 = number.parse().ok().filter(|_| plain).ok_or_else(expected)?;
    let nanos = n * each;
    (nanos <= 30.0 * 86_400e9).then_some(nanos as Nanos).ok_or_else(expected)
}

pub fn duration(text: &str) -> Result<Duration, String> {
    span(text).map(Duration::from_nanos)
}

pub fn text(text: &str) -> Result<String, String> {
    if text.is_empty() {
        return Err("a text that is not empty".to_string());
    }
    Ok(text.to_string())
}

/// One of some words.
pub fn choice<T: Copy>(words: &'static [(&'static str, T)]) -> impl Fn(&str) -> Result<T, String> {
    move |text| {
        let found = words.iter().find(|(word, _)| *word == text).map(|(_, t)| *t);
        found.ok_or_else(|| {
            format!("one of `{}`", words.iter().map(|(w, _)| *w).collect::<Vec<_>>().join("`, `"))
        })
    }
}

/// Anything that has a form of its own, named by `what`.
pub fn form<T: FromStr>(what: &'static str) -> impl Fn(&str) -> Result<T, String> {
    move |text| text.parse().map_err(|_| what.to_string())
}

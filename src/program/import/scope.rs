//! The directives of a block that locations within it inherit. A value that nginx refuses is a fault of its line.

use super::nginx::{millis, Directive};
use super::passing::Words;

/// A value and the line that gives it.
#[derive(Clone, Copy, Debug)]
pub struct Said<T> {
    pub value: T,
    pub line: usize,
}

/// What holds for requests in a block.
#[derive(Clone, Debug, Default)]
pub struct Scope {
    pub read_ms: Option<u64>,
    pub connect_ms: Option<Said<u64>>,
    pub passed_on: Option<Said<Words>>,
    pub passed_on_ms: Option<Said<u64>>,
    pub tries: Option<Said<u64>>,
}

/// The directives of a scope.
const NAMES: [&str; 5] = [
    "proxy_read_timeout",
    "proxy_connect_timeout",
    "proxy_next_upstream",
    "proxy_next_upstream_timeout",
    "proxy_next_upstream_tries",
];

fn fault(d: &Directive, why: &str) -> String {
    format!("{}: `{}`: {why}", d.line, d.words.join(" "))
}

fn one_argument(d: &Directive) -> Result<&str, String> {
    match d.args() {
        [argument] => Ok(argument),
        _ => Err(fault(d, "invalid number of arguments")),
    }
}

fn time(d: &Directive) -> Result<u64, String> {
    millis(one_argument(d)?).ok_or_else(|| fault(d, "invalid value"))
}

impl Scope {
    /// Whether a directive is one of those that a scope holds.
    pub fn holds(name: &str) -> bool {
        NAMES.contains(&name)
    }

    /// What holds within a block of this scope.
    pub fn within(&self, block: &[Directive]) -> Result<Scope, String> {
        let mut scope = self.clone();
        let mut seen: Vec<&str> = Vec::new();
        for d in block.iter().filter(|d| Scope::holds(d.name())) {
            if seen.contains(&d.name()) {
                return Err(fault(d, "is duplicate"));
            }
            seen.push(d.name());
            scope.take(d)?;
        }
        Ok(scope)
    }

    fn take(&mut self, d: &Directive) -> Result<(), String> {
        let line = d.line;
        match d.name() {
            "proxy_read_timeout" => self.read_ms = Some(time(d)?),
            "proxy_connect_timeout" => self.connect_ms = Some(Said { value: time(d)?, line }),
            "proxy_next_upstream_timeout" => self.passed_on_ms = Some(Said { value: time(d)?, line }),
            "proxy_next_upstream_tries" => {
                let value = one_argument(d)?.parse().map_err(|_| fault(d, "invalid number"))?;
                self.tries = Some(Said { value, line });
            }
            _ => {
                let value = Words::parse(d.args()).map_err(|why| fault(d, &why))?;
                self.passed_on = Some(Said { value, line });
            }
        }
        Ok(())
    }
}

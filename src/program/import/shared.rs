//! What the relay has one value of for all classes, where nginx has one for each location: the least of them, so that no
//! location's leave is given to another.

use super::scope::Said;

/// What nginx takes where nothing is said.
const CONNECT_TIMEOUT_MS: u64 = 60_000;
/// Tries of a message at most.
const MOST_TRIES: u64 = 8;

/// What one location says of it, where it says anything.
#[derive(Debug)]
struct Value {
    class: String,
    /// What the location gives.
    gives: u64,
    line: Option<usize>,
}

/// Values that all classes share.
#[derive(Debug, Default)]
pub(super) struct Shared {
    connect_ms: Vec<Value>,
    tries: Vec<Value>,
}

fn least(values: &[Value]) -> Option<u64> {
    values.iter().map(|value| value.gives).min()
}

/// A note for each line that gives something else than what holds, or something that holds for others too.
fn notes_on(values: &[Value], holds: u64, what: &str, unit: &str) -> Vec<(usize, String)> {
    let mut notes = Vec::new();
    for Value { class, gives, line } in values {
        let Some(line) = line else { continue };
        if *gives != holds {
            notes.push((
                *line,
                format!("the class `{class}` has a {what} of {holds}{unit}, the least of all"),
            ));
        } else if values.iter().any(|other| other.gives != holds) {
            notes.push((
                *line,
                format!("the {what} of {holds}{unit} holds for all classes, as the least of all"),
            ));
        }
    }
    notes
}

impl Shared {
    /// What a location says of the time for a connection to come up.
    pub fn connect(&mut self, class: &str, said: Option<Said<u64>>) {
        let gives = said.map_or(CONNECT_TIMEOUT_MS, |said| said.value).max(1);
        self.connect_ms.push(Value { class: class.to_string(), gives, line: said.map(|said| said.line) });
    }

    /// What a location says of tries, where it allows more than one.
    pub fn tries(&mut self, class: &str, said: Option<Said<u64>>) {
        let gives = said.map_or(MOST_TRIES, |said| said.value);
        self.tries.push(Value { class: class.to_string(), gives, line: said.map(|said| said.line) });
    }

    /// For a connection to come up, in milliseconds.
    pub fn connect_timeout_ms(&self) -> u64 {
        least(&self.connect_ms).unwrap_or(CONNECT_TIMEOUT_MS)
    }

    /// Attempts of a message at most.
    pub fn most_tries(&self) -> u64 {
        least(&self.tries).unwrap_or(MOST_TRIES).min(MOST_TRIES)
    }

    /// Notes on the lines that have another value than they give, or whose value holds for others too.
    pub fn notes(&self) -> Vec<(usize, String)> {
        let mut notes = notes_on(&self.connect_ms, self.connect_timeout_ms(), "time to connect", " ms");
        notes.extend(notes_on(&self.tries, self.most_tries(), "number of tries", ""));
        notes
    }
}

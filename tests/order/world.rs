//! What was handed in, called and told, and whether that kept the order of keys.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// A key rests for this time after a call that ended without an answer.
pub const KEY_REST: Duration = Duration::from_millis(100);
/// Every limit is longer by this: clocks and threads of the stand-ins are not exact.
const SLACK: Duration = Duration::from_millis(50);

/// How a call ended, as its endpoint saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    Answered,
    /// Its connection ended without a whole answer.
    Unanswered,
}

/// A call of which the last byte came.
#[derive(Clone, Debug)]
pub struct Call {
    pub ids: Vec<String>,
    pub began: Instant,
    pub ended: Option<(Instant, CallEnd)>,
}

#[derive(Default)]
struct Seen {
    handed: Vec<String>,
    /// Messages by key, in the order handed in.
    keys: BTreeMap<String, Vec<String>>,
    calls: Vec<Call>,
    delivered: BTreeSet<String>,
    /// Messages that were refused, or not known to be taken on: nothing is owed of them.
    void: BTreeSet<String>,
    violations: Vec<Violation>,
}

/// A message that went where it should not have, for the sake of another one.
struct Violation {
    id: String,
    other: String,
    how: String,
}

/// What a run has shown so far.
#[derive(Default)]
pub struct World(Mutex<Seen>);

/// The key of a message: what its id says behind `@`.
fn key_of(id: &str) -> Option<&str> {
    Some(id.split_once('@')?.1)
}

impl World {
    /// A message is about to be handed in.
    pub fn handed(&self, id: &str) {
        let mut seen = self.0.lock().unwrap();
        seen.handed.push(id.to_string());
        if let Some(key) = key_of(id) {
            seen.keys.entry(key.to_string()).or_default().push(id.to_string());
        }
    }

    /// A message counts for nothing.
    pub fn void(&self, id: &str) {
        self.0.lock().unwrap().void.insert(id.to_string());
    }

    /// Those that were taken on and not delivered.
    pub fn undelivered(&self) -> Vec<String> {
        let seen = self.0.lock().unwrap();
        let done = |id: &&String| seen.delivered.contains(*id) || seen.void.contains(*id);
        seen.handed.iter().filter(|id| !done(id)).cloned().collect()
    }

    /// A call came whole; `is_told` says of which messages the platform has heard the end. Returns its number.
    pub fn begins(&self, ids: Vec<String>, is_told: impl Fn(&str) -> bool) -> usize {
        let mut seen = self.0.lock().unwrap();
        let call = Call { ids, began: Instant::now(), ended: None };
        let violations: Vec<Violation> =
            call.ids.iter().flat_map(|id| seen.violations_of(id, &call, &is_told)).collect();
        seen.violations.extend(violations);
        seen.calls.push(call);
        seen.calls.len() - 1
    }

    /// A call ended; `delivered` are those of its messages that its answer accepts.
    pub fn ends(&self, call: usize, how: CallEnd, delivered: &[String]) {
        let mut seen = self.0.lock().unwrap();
        for id in delivered {
            let is_repeat = !seen.delivered.insert(id.clone());
            if is_repeat && id.starts_with("notice") {
                let (other, how) = (id.clone(), "was delivered twice".to_string());
                seen.violations.push(Violation { id: id.clone(), other, how });
            }
        }
        seen.calls[call].ended = Some((Instant::now(), how));
    }

    /// The last call with a message.
    pub fn call_of(&self, id: &str) -> Option<Call> {
        let seen = self.0.lock().unwrap();
        seen.calls.iter().rev().find(|call| call.ids.iter().any(|of| of == id)).cloned()
    }

    pub fn is_delivered(&self, id: &str) -> bool {
        self.0.lock().unwrap().delivered.contains(id)
    }

    /// What broke the order of a key.
    pub fn violations(&self) -> Vec<String> {
        let seen = self.0.lock().unwrap();
        let counts = |violation: &&Violation| {
            ![&violation.id, &violation.other].iter().any(|id| seen.void.contains(*id))
        };
        seen.violations.iter().filter(counts).map(|v| format!("{} {}: {}", v.id, v.how, v.other)).collect()
    }
}

impl Seen {
    /// What a call with this message breaks that begins now.
    fn violations_of(&self, id: &str, call: &Call, is_told: &impl Fn(&str) -> bool) -> Vec<Violation> {
        let Some(line) = key_of(id).and_then(|key| self.keys.get(key)) else { return Vec::new() };
        let place = line.iter().position(|of| of == id).unwrap_or(0);
        let violation = |other: &String, how| Violation { id: id.to_string(), other: other.clone(), how };
        let earlier = line[..place].iter().filter(|of| !self.delivered.contains(*of) && !is_told(of));
        let mut violations: Vec<Violation> =
            earlier.map(|of| violation(of, "was called before this one was over".to_string())).collect();
        for other in line.iter().filter(|of| *of != id) {
            let calls = self.calls.iter().filter(|c| c.ids.contains(other));
            violations.extend(calls.filter_map(|c| Some(violation(other, crosses(c, call.began)?))));
        }
        violations
    }
}

/// How a call that begins now comes too early behind another of its key.
fn crosses(other: &Call, began: Instant) -> Option<String> {
    match other.ended {
        None => Some("was called beside a call with".to_string()),
        Some((ended, CallEnd::Unanswered)) if began < ended + KEY_REST - SLACK => {
            Some(format!("was called {} ms behind an unanswered call with", (began - ended).as_millis()))
        }
        Some(_) => None,
    }
}

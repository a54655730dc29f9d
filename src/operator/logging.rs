//! `log { ... }`: the log's form, and how much each part of the relay says.

use super::section::{choice, Section};
use tracing::Level;

/// What the operator says of the log.
#[derive(Clone, Debug, PartialEq)]
pub struct Said {
    pub json: bool,
    pub level: Level,
    /// Levels of parts of the relay, which stand above `level`.
    pub targets: Vec<(String, Level)>,
}

const LEVELS: &[(&str, Level)] = &[
    ("error", Level::ERROR),
    ("warn", Level::WARN),
    ("info", Level::INFO),
    ("debug", Level::DEBUG),
    ("trace", Level::TRACE),
];

/// What an event may be about.
pub const TARGETS: &[&str] = &[
    "relay",
    "admission",
    "routing",
    "messages",
    "platform",
    "journal",
    "smpp",
    "operator",
    "fleet",
    "memory",
];

impl Said {
    pub fn read(mut s: Section<'_>) -> Said {
        let json = s.or("format", "text", choice(&[("text", false), ("json", true)]));
        let level = match s.maybe("level", choice(LEVELS)) {
            Some(level) => level,
            None => {
                s.note("level", "info", None);
                Level::INFO
            }
        };
        let mut targets: Vec<(String, Level)> = Vec::new();
        for line in s.many("target") {
            let [target, level] = &line.values[..] else {
                s.fault(&line.name.place, "`target` expects a part of the relay and a level".to_string());
                continue;
            };
            let known = |text: &str| match TARGETS.contains(&text) {
                true => Ok(text.to_string()),
                false => Err(format!("one of `{}`", TARGETS.join("`, `"))),
            };
            if targets.iter().any(|(t, _)| *t == target.text) {
                s.fault(&target.place, format!("the level of `{}` is said again", target.text));
            }
            if let (Some(name), Some(at)) = (s.read(target, known), s.read(level, choice(LEVELS))) {
                s.note(&format!("target {name}"), &level.text, Some(&level.place));
                targets.push((name, at));
            }
        }
        s.finish();
        Said { json, level, targets }
    }
}

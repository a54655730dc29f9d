//! The log: events with a stable name (the field `event`) and fields, as text or JSON lines on standard error.
//! ONCALL.md lists them. A kind of event gets a line a second at most; what came beyond that is summed up.

use crate::operator::logging::Said;
use std::collections::HashMap;
use std::fmt::Debug;
use std::io::Write;
use std::panic::PanicHookInfo;
use std::sync::{Arc, Mutex, OnceLock, PoisonError};
use std::time::{Duration, Instant};
use tracing::field::{Field, Visit};
use tracing::{Event, Level, Metadata};
use tracing_appender::non_blocking::{ErrorCounter, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::layer::{Context, Filter, SubscriberExt};
use tracing_subscriber::util::SubscriberInitExt;
use tracing_subscriber::{fmt, Layer};

const EACH: Duration = Duration::from_secs(1);
/// Kinds of events told apart at once: beyond that they are summed up by their names alone.
const KINDS: usize = 1_024;
/// The target of events that are each about one message.
const MESSAGES: &str = crate::routing::message_log::TARGET;
/// What answers a message or a signal, or tells who is there: each is a line of its own.
const NEVER_SUMMED: &[&str] = &[
    "call-ended",
    "configuration",
    "configuration-read",
    "hangup",
    "list-in-force",
    "list-late",
    "member-alive",
    "member-faulty",
    "member-left",
    "memory",
    "message-end",
    "operator-faulty",
    "operator-reread",
    "repeated",
    "reread",
    "reread-failed",
    "view",
];

/// Words on what keeps a command from being done; not part of the log.
pub fn complain(text: &str) {
    writeln!(std::io::stderr(), "basaltloom: {text}").ok();
}

struct Shared {
    said: Mutex<Said>,
    kinds: Mutex<HashMap<Kind, Seen>>,
}

/// An event's name, and the next hop or address that it is about.
type Kind = (String, String);

#[derive(Clone, Copy)]
struct Seen {
    told: Instant,
    untold: u64,
}

/// Lines that wait to be written; beyond that they are lost, and counted.
const LINES_MOST: usize = 4_096;

/// The thread that writes the log: standard error may be a pipe that nobody reads.
struct Writer {
    lost: ErrorCounter,
    lost_told: usize,
    /// Dropped, it writes what waits.
    _guard: WorkerGuard,
}

static WRITER: Mutex<Option<Writer>> = Mutex::new(None);

static SHARED: OnceLock<Arc<Shared>> = OnceLock::new();

/// Sets the log up for this process; a second call only changes its settings.
pub fn init(said: Said) {
    let shared = Arc::new(Shared { said: Mutex::new(said.clone()), kinds: Mutex::default() });
    if SHARED.set(shared.clone()).is_err() {
        return heed(said);
    }
    let (writer, guard) =
        NonBlockingBuilder::default().buffered_lines_limit(LINES_MOST).finish(std::io::stderr());
    lock(&WRITER).replace(Writer { lost: writer.error_counter(), lost_told: 0, _guard: guard });
    let text =
        fmt::layer().with_writer(writer.clone()).with_filter(Lets { shared: shared.clone(), json: false });
    let json = fmt::layer().json().flatten_event(true).with_writer(writer);
    let json = json.with_filter(Lets { shared, json: true });
    tracing_subscriber::registry().with(text).with(json).try_init().ok();
    std::panic::set_hook(Box::new(tell_panic));
}

/// Writes what waits, before the process ends. What comes later is lost.
pub fn finish() {
    drop(lock(&WRITER).take());
}

/// A fault of the program is a line of the log, with its place.
fn tell_panic(panic: &PanicHookInfo<'_>) {
    let at = panic.location().map(ToString::to_string).unwrap_or_default();
    let payload = panic.payload();
    let text = payload.downcast_ref::<&str>().copied();
    let text = text.or_else(|| payload.downcast_ref::<String>().map(String::as_str));
    let why = text.unwrap_or("it does not say why");
    tracing::error!(target: "relay", event = "panicked", at, "panicked at {at}: {why}");
}

/// Other settings, from now on.
pub fn heed(said: Said) {
    if let Some(shared) = SHARED.get() {
        *lock(&shared.said) = said;
    }
}

/// Tells what was summed up, once it is a second old. Wanted about once a second.
pub fn sum_up() {
    let Some(shared) = SHARED.get() else { return };
    tell_lost();
    let mut summed = Vec::new();
    lock(&shared.kinds).retain(|kind, seen| {
        if seen.told.elapsed() < EACH {
            return true;
        }
        if seen.untold > 0 {
            summed.push((kind.clone(), seen.untold));
        }
        false
    });
    for ((name, about), count) in summed {
        tracing::info!(target: "relay", event = "repeated", of = name, about, count, "came again, not told each");
    }
}

/// Tells how many lines could not be written, since nobody read those before.
fn tell_lost() {
    let mut writer = lock(&WRITER);
    let Some(writer) = writer.as_mut() else { return };
    let lost = writer.lost.dropped_lines();
    let count = lost - std::mem::replace(&mut writer.lost_told, lost);
    if count > 0 {
        tracing::warn!(target: "relay", event = "log-lost", count, "lines of the log were lost");
    }
}

/// A panic elsewhere does not make the log unusable.
fn lock<T>(mutex: &Mutex<T>) -> std::sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

struct Lets {
    shared: Arc<Shared>,
    json: bool,
}

impl<S> Filter<S> for Lets {
    fn enabled(&self, meta: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        let said = lock(&self.shared.said);
        said.json == self.json && *meta.level() <= level(&said, meta.target())
    }

    fn event_enabled(&self, event: &Event<'_>, _: &Context<'_, S>) -> bool {
        let mut about = About::default();
        event.record(&mut about);
        if event.metadata().target() == MESSAGES || NEVER_SUMMED.contains(&about.event.as_str()) {
            return true;
        }
        let mut kinds = lock(&self.shared.kinds);
        if kinds.len() >= KINDS {
            about.about.clear();
        }
        let now = Instant::now();
        let seen = kinds.entry((about.event, about.about));
        let mut first = false;
        let seen = seen.or_insert_with(|| {
            first = true;
            Seen { told: now, untold: 0 }
        });
        let due = first || now - seen.told >= EACH && seen.untold == 0;
        if due {
            seen.told = now;
        } else {
            seen.untold += 1;
        }
        due
    }
}

/// A part's own level, else that of all; parts that are not ours count as the relay's.
fn level(said: &Said, target: &str) -> Level {
    let own = said.targets.iter().find(|(name, _)| name == target);
    own.map_or(said.level, |(_, level)| *level)
}

/// What kind of event it is.
#[derive(Default)]
struct About {
    event: String,
    about: String,
}

impl Visit for About {
    fn record_str(&mut self, field: &Field, value: &str) {
        match field.name() {
            "event" => self.event = value.to_string(),
            "hop" | "from" | "account" | "member" => self.about = value.to_string(),
            _ => {}
        }
    }

    fn record_debug(&mut self, _: &Field, _: &dyn Debug) {}
}

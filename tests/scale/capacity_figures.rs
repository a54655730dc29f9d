//! Which figures `docs/CAPACITY.md` shows.

use super::capacity_terms::{Carrier, Figure, Role, Source};

const fn figure(
    role: Role,
    what: &'static str,
    source: Source,
    unit: &'static str,
    budget: Option<f64>,
    carrier: Carrier,
) -> Figure {
    Figure { role, what, source, unit, budget, carrier }
}

const fn line(subject: &'static str, column: &'static str, times: f64) -> Source {
    Source::Line { subject, column, times }
}

const fn largest(subject: &'static str, column: &'static str, times: f64) -> Source {
    Source::Largest { subject, column, times }
}

/// Relays in two years.
const RELAYS: f64 = 2_700.0;
/// Messages a second of a relay.
const MESSAGES: f64 = 1_704.0;
/// Changes of the configuration a second: 2,700 a day.
const CHANGES: f64 = 2_700.0 / 86_400.0;
/// A change is in force everywhere within this time, in milliseconds.
const IN_FORCE: Option<f64> = Some(8_000.0);
/// Of control on a relay: percent of a core, megabytes, bytes a second.
const CONTROL_CPU: Option<f64> = Some(1.8);
const CONTROL_MEMORY: Option<f64> = Some(64.0);
/// The cap on a list that `protocol::discovery` gives a relay of that memory: half of it.
const LIST_BYTES: Option<f64> = Some(32e6);
const CONTROL_BYTES: Option<f64> = Some(22_000.0);
/// Memory of a relay by the deployment's page, in megabytes.
const RELAY_MEMORY: Option<f64> = Some(192.0);
/// `disk_mb` where nothing else is said, and the time after a start in which a relay is ready, in seconds.
const DISK: Option<f64> = Some(3.0);
const READY_WITHIN: Option<f64> = Some(30.0);
/// From microseconds a second to percent of a core.
const MICROSECONDS: f64 = 1e-4;

const ROUTING: Carrier = Carrier::Module("`routing`, `decision`, `transport`");
const DISCOVERY: Carrier = Carrier::Module("`protocol::discovery`");
const CATALOG: Carrier = Carrier::Module("`catalog`, `decision::records`");
const MEMBERSHIP: Carrier = Carrier::Module("`membership`");
const SHARING: Carrier = Carrier::Module("`fleet::together`, `program::fleet`");
const JOURNAL: Carrier = Carrier::Module("`routing::journal`");

/// All figures.
pub const FIGURES: &[Figure] = &[
    figure(
        Role::DataPath,
        "processor time at 1,704 messages a second",
        line("destinations", "CPU a message (us)", MESSAGES * MICROSECONDS),
        "% of a core",
        Some(100.0),
        ROUTING,
    ),
    figure(
        Role::DataPath,
        "memory of 10 million held messages",
        line("held", "memory (MB)", 1.0),
        "MB",
        RELAY_MEMORY,
        ROUTING,
    ),
    figure(
        Role::Control,
        "the whole list, against the cap of a relay with 64 MB",
        line("destinations", "list bytes", 1.0),
        "bytes",
        LIST_BYTES,
        DISCOVERY,
    ),
    figure(
        Role::Control,
        "memory with the list, of the whole process",
        line("destinations", "resident (MB)", 1.0),
        "MB",
        CONTROL_MEMORY,
        CATALOG,
    ),
    figure(
        Role::Control,
        "most memory while the list comes",
        line("destinations", "peak (MB)", 1.0),
        "MB",
        CONTROL_MEMORY,
        DISCOVERY,
    ),
    figure(
        Role::Control,
        "processor time until the list is known",
        line("destinations", "CPU until known (ms)", 1.0),
        "ms",
        None,
        CATALOG,
    ),
    figure(
        Role::Control,
        "time until the list is known, one relay",
        line("destinations", "known after (ms)", 1.0),
        "ms",
        READY_WITHIN_MS,
        DISCOVERY,
    ),
    figure(
        Role::Control,
        "processor time of one change",
        line("destinations", "CPU a change (ms)", 1.0),
        "ms",
        None,
        CATALOG,
    ),
    figure(
        Role::Control,
        "processor time of 2,700 changes a day, on average",
        line("destinations", "CPU a change (ms)", CHANGES * 0.1),
        "% of a core",
        CONTROL_CPU,
        CATALOG,
    ),
    figure(
        Role::Control,
        "a change in force at one relay, at the largest list that was known",
        largest("destinations", "added entry serves, last (ms)", 1.0),
        "ms",
        IN_FORCE,
        DISCOVERY,
    ),
    figure(
        Role::Control,
        "processor time of a relay with nothing to do, at the largest list that was measured",
        largest("destinations", "idle CPU (% of a core)", 1.0),
        "% of a core",
        CONTROL_CPU,
        DISCOVERY,
    ),
    figure(
        Role::Control,
        "processor time of a relay that never knows its list and asks again",
        largest("destinations", "CPU while never known (% of a core)", 1.0),
        "% of a core",
        CONTROL_CPU,
        DISCOVERY,
    ),
    figure(
        Role::Control,
        "bytes of membership, 20 to 40 s after a start",
        line("relays", "20 s later: bytes a second a relay", 1.0),
        "bytes a second",
        CONTROL_BYTES,
        MEMBERSHIP,
    ),
    figure(
        Role::Control,
        "datagrams of membership, 20 to 40 s after a start",
        line("relays", "20 s later: datagrams a second a relay", 1.0),
        "a second",
        None,
        MEMBERSHIP,
    ),
    figure(
        Role::Control,
        "processor time of membership, 20 to 40 s after a start, without its sockets",
        line("relays", "20 s later: CPU a relay (us a second)", MICROSECONDS),
        "% of a core",
        CONTROL_CPU,
        MEMBERSHIP,
    ),
    figure(
        Role::Control,
        "memory of membership",
        line("relays", "memory a relay (kB)", 1.0 / 1_024.0),
        "MB",
        CONTROL_MEMORY,
        MEMBERSHIP,
    ),
    figure(
        Role::Discovery,
        "bytes of one change to all relays",
        line("watchers", "a change: bytes to all", 1.0),
        "bytes",
        None,
        Carrier::Missing,
    ),
    figure(
        Role::Discovery,
        "processor time of one change to all relays, one source",
        line("watchers", "a change: CPU of the source (ms)", 1.0),
        "ms",
        None,
        Carrier::Missing,
    ),
    figure(
        Role::Discovery,
        "one change told to all relays, one source",
        line("watchers", "a change: told to all after (ms)", 1.0),
        "ms",
        IN_FORCE,
        Carrier::Missing,
    ),
    figure(
        Role::Discovery,
        "whole lists to all relays, one source",
        line("watchers", "whole list (bytes)", RELAYS * 1e-6),
        "MB",
        None,
        Carrier::Missing,
    ),
    figure(
        Role::Discovery,
        "processor time of whole lists to all relays, one source",
        line("watchers", "whole list: CPU of the source, again (ms)", RELAYS * 1e-3),
        "s",
        None,
        Carrier::Missing,
    ),
    figure(
        Role::SharedLimits,
        "processor time of the relay that deals one partner's limit out",
        line("sharing", "CPU of the dealer (% of a core)", 1.0),
        "% of a core",
        CONTROL_CPU,
        SHARING,
    ),
    figure(
        Role::SharedLimits,
        "processor time of any other that uses it",
        line("sharing", "CPU of another (% of a core)", 1.0),
        "% of a core",
        CONTROL_CPU,
        SHARING,
    ),
    figure(
        Role::SharedLimits,
        "bytes of the dealer's record",
        largest("sharing", "record of the dealer (bytes)", 1.0),
        "bytes",
        Some(1_024.0),
        SHARING,
    ),
    figure(
        Role::SharedLimits,
        "relays that want a part, against the grants that fit in a record",
        Source::Assumed(RELAYS),
        "relays",
        Some(48.0),
        SHARING,
    ),
    figure(
        Role::Journal,
        "journal of 10 million held messages",
        line("held", "journal (MB)", 1.0),
        "MB",
        DISK,
        JOURNAL,
    ),
    figure(
        Role::Journal,
        "replay of 10 million held messages",
        line("held", "replay (s)", 1.0),
        "s",
        READY_WITHIN,
        JOURNAL,
    ),
    figure(
        Role::ControlMachines,
        "relays that each of 12 machines has to tell of changes",
        Source::Assumed(RELAYS / 12.0),
        "relays",
        None,
        Carrier::Missing,
    ),
    figure(
        Role::ControlMachines,
        "the list on each, as it is sent",
        line("watchers", "whole list (bytes)", 1e-6),
        "MB",
        None,
        Carrier::Missing,
    ),
    figure(
        Role::ControlMachines,
        "whole lists to its part of the relays",
        line("watchers", "whole list (bytes)", RELAYS / 12.0 * 1e-6),
        "MB",
        None,
        Carrier::Missing,
    ),
    figure(
        Role::Failures,
        "relay: its death known to all",
        line("relays", "one death known to all (s)", 1.0),
        "s",
        None,
        MEMBERSHIP,
    ),
    figure(
        Role::Failures,
        "zone: the death of all its relays known to all",
        line("relays", "zone's death known to all (s)", 1.0),
        "s",
        None,
        MEMBERSHIP,
    ),
    figure(
        Role::Failures,
        "restart of all: until all know all",
        line("relays", "all agree after a start (s)", 1.0),
        "s",
        READY_WITHIN,
        MEMBERSHIP,
    ),
    figure(
        Role::Failures,
        "restart of all: bytes of membership until then",
        line("relays", "start: bytes a relay", 1.0),
        "bytes",
        None,
        MEMBERSHIP,
    ),
    figure(
        Role::Failures,
        "restart of all: whole lists sent",
        line("watchers", "whole list (bytes)", RELAYS * 1e-6),
        "MB",
        None,
        Carrier::Missing,
    ),
];

const READY_WITHIN_MS: Option<f64> = Some(30_000.0);

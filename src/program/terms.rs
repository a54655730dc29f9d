//! What parts of the program go by, made of the configuration.

use crate::admission::ledger::Purse;
use crate::configuration::Configuration;
use crate::fleet::together;
use crate::interface::Nanos;
use crate::operator::admission::Refusal;
use crate::polling;
use crate::protocol::discovery::{ListLimits, Names};
use crate::protocol::platform::PathClasses;
use crate::transport::pool::PoolTerms;
use crate::transport::Door;
use bytes::Bytes;
use std::time::Duration;

/// A connection is kept for no less, whatever the settings say.
const KEPT_LEAST: Nanos = 1_000_000_000;

/// What connections to endpoints go by.
pub(super) fn pool(configuration: &Configuration, door: &Door) -> PoolTerms {
    // Closed before the other side does it.
    let keepalive = configuration.settings.keepalive.max(KEPT_LEAST) / 10 * 9;
    PoolTerms {
        most: door.ledger().kept(Purse::Calls),
        keepalive: Duration::from_nanos(keepalive),
        senders: configuration.settings.senders,
        connect_timeout: Duration::from_nanos(configuration.connect_timeout),
    }
}

/// The classes that clients may name.
pub(super) fn path_classes(configuration: &Configuration) -> PathClasses {
    // Well beyond what the settings give any class, a deadline is a mistake.
    let longest = configuration.settings.classes.iter().map(|class| class.deadline).max().unwrap_or(0);
    PathClasses {
        names: configuration.classes.clone(),
        defaults: configuration.defaults.clone(),
        rest: configuration.default_class,
        longest: longest.saturating_mul(2),
    }
}

/// What relays go by that deal out among them what endpoints take.
pub(super) fn sharing(configuration: &Configuration) -> together::Terms {
    let settings = &configuration.settings;
    let (senders, cold_share, warm_up) = (settings.senders, settings.cold_share, settings.warm_up);
    together::Terms { senders, cold_share, warm_up }
}

/// What discovery is asked by.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct DiscoveryTerms {
    pub names: Names,
    pub asked: polling::Terms,
    pub senders: u32,
    pub limits: ListLimits,
}

impl DiscoveryTerms {
    /// As the configuration has them.
    pub fn of(configuration: &Configuration) -> DiscoveryTerms {
        DiscoveryTerms {
            names: configuration.names.clone(),
            asked: configuration.asked,
            senders: configuration.settings.senders,
            limits: configuration.list,
        }
    }
}

/// What a caller is told that is turned away before it has asked.
pub(super) fn refusal_text(refusal: Refusal) -> Bytes {
    match refusal {
        Refusal::Close => Bytes::new(),
        Refusal::Unavailable(after) => {
            let after = after.as_secs_f64();
            let head = format!("HTTP/1.1 503 Service Unavailable\r\nRetry-After: {after}\r\n");
            Bytes::from(head + "Connection: close\r\nContent-Length: 0\r\n\r\n")
        }
    }
}

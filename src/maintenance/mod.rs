//! What operators have taken out of service: endpoints that get nothing more, and the relay itself while it sends its
//! callers away. Holds whatever discovery says meanwhile, over restarts and from process to process. Free of I/O.
#![warn(missing_docs)]

use std::collections::BTreeSet;

/// What is out of service.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Maintenance {
    /// Names of endpoints.
    cordoned: BTreeSet<String>,
    draining: bool,
}

impl Maintenance {
    /// What an earlier process had put in force.
    pub fn new(cordoned: BTreeSet<String>, draining: bool) -> Maintenance {
        Maintenance { cordoned, draining }
    }

    /// Whether an endpoint is to get nothing more.
    pub fn is_cordoned(&self, name: &str) -> bool {
        self.cordoned.contains(name)
    }

    /// Endpoints that are to get nothing more.
    pub fn cordoned(&self) -> impl Iterator<Item = &str> {
        self.cordoned.iter().map(String::as_str)
    }

    /// Whether callers are sent away.
    pub fn is_draining(&self) -> bool {
        self.draining
    }

    /// Takes an endpoint out of service; false where it is already.
    pub fn cordon(&mut self, name: &str) -> bool {
        self.cordoned.insert(name.to_string())
    }

    /// Puts it back; false where it was not out.
    pub fn uncordon(&mut self, name: &str) -> bool {
        self.cordoned.remove(name)
    }

    /// Sends callers away, or has them come again; false where that is so already.
    pub fn drain(&mut self, draining: bool) -> bool {
        std::mem::replace(&mut self.draining, draining) != draining
    }
}

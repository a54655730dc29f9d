//! The run-time check that all parts of a process go by the one configuration that is in force.

use super::Configuration;
use crate::interface::{Nanos, Settings};
use std::net::SocketAddr;

/// What the parts of a process go by, as each of them says.
#[derive(Clone, Debug, PartialEq)]
pub struct Parts {
    /// The classes that clients may name.
    pub client_classes: Vec<String>,
    /// The classes by which messages are taken on.
    pub core_classes: Vec<String>,
    /// What the decision module goes by.
    pub settings: Settings,
    /// Where discovery is asked and ends are told.
    pub discovery: Option<SocketAddr>,
    /// When a connection is given up that does not come up.
    pub connect_timeout: Nanos,
}

impl Configuration {
    /// The names of the parts that go by anything else.
    pub fn differing_parts(&self, parts: &Parts) -> Vec<&'static str> {
        let agree = [
            ("client classes", parts.client_classes == self.classes),
            ("core classes", parts.core_classes == self.classes),
            ("settings", parts.settings == self.settings),
            ("discovery", parts.discovery == self.discovery),
            ("connections", parts.connect_timeout == self.connect_timeout),
        ];
        agree.into_iter().filter(|(_, agrees)| !agrees).map(|(part, _)| part).collect()
    }
}

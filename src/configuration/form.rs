//! The form of the file: each of its keys, with kind and range.

use super::settings::SettingsForm;
use super::value::{words, Count, Figure, Id, Positive, Text, Whole};
use eserde::Deserialize;
use serde::Serialize;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Fewer descriptors leave no room for callers and calls.
const SOCKETS_LEAST: u64 = 32;
/// More descriptors than any system gives.
const SOCKETS_MOST: u64 = 1 << 30;

/// The whole file. Keys that are not named here are passed over.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Form {
    /// The relay's name.
    #[eserde(compat)]
    pub name: Text,
    /// Where clients connect.
    #[eserde(compat)]
    pub listen: SocketAddr,
    /// Discovery and notices.
    #[eserde(compat)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub discovery: Option<SocketAddr>,
    /// Where operators call.
    #[eserde(compat)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub console: Option<SocketAddr>,
    /// The lasting folder, where the environment names none.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub state: Option<String>,
    /// For random numbers.
    pub seed: String,
    /// What the process may use.
    pub limits: LimitsForm,
    /// The list of endpoints as last known.
    pub known: KnownForm,
    /// What holds for requests of a class that do not say it themselves.
    #[serde(default, skip_serializing_if = "BTreeMap::is_empty")]
    pub defaults: BTreeMap<String, DefaultsForm>,
    /// The class of paths that begin like no other.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub default_class: Option<String>,
    /// The settings of the site.
    pub settings: SettingsForm,
}

/// What the process may use.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct LimitsForm {
    /// Of processors.
    #[eserde(compat)]
    pub cores: Positive,
    /// Memory, in 10^6 bytes.
    #[eserde(compat)]
    pub memory_mb: Positive,
    /// File descriptors.
    #[eserde(compat)]
    pub sockets: Whole<SOCKETS_LEAST, SOCKETS_MOST>,
    /// Of the lasting folder, in 10^6 bytes.
    #[eserde(compat)]
    pub disk_mb: Positive,
    /// Of discovery's list, in 10^6 bytes.
    #[eserde(compat)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub list_mb: Option<Positive>,
}

/// The list of endpoints, as discovery writes it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct KnownForm {
    /// Its version.
    #[eserde(compat)]
    pub seq: Id,
    /// It names all endpoints.
    pub whole: bool,
    /// The endpoints.
    pub hosts: Vec<HostForm>,
}

/// An endpoint.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HostForm {
    /// Its name.
    #[eserde(compat)]
    pub host: Text,
    /// Its address.
    #[eserde(compat)]
    pub dial: SocketAddr,
    /// Its zone.
    pub site: String,
    /// Its kind.
    pub class: String,
    /// Its destination.
    #[eserde(compat)]
    pub block: Id,
    /// Whether it is to get calls.
    #[eserde(compat)]
    pub health: HealthForm,
    /// Its weight or rate.
    #[eserde(compat)]
    pub share: Figure,
    /// Its start, in milliseconds of Unix time.
    #[eserde(compat)]
    pub born_ms: Id,
    /// Its part among the calls out.
    #[eserde(compat)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub weight: Option<Count>,
    /// A bound on the calls out to it.
    #[eserde(compat)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub max_conns: Option<Count>,
    /// It waits until the others are sick.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub backup: Option<bool>,
}

words! {
    /// Whether an endpoint is to get calls.
    HealthForm {
        /// It is.
        Active = "active",
        /// It finishes what it has.
        Leaving = "leaving",
        /// It is gone.
        Left = "left",
    }
}

/// What holds for requests of a class that do not say it themselves.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct DefaultsForm {
    /// Their destination.
    #[eserde(compat)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub dest: Option<Id>,
    /// Their time, in milliseconds.
    #[eserde(compat)]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub timeout_ms: Option<Positive>,
}

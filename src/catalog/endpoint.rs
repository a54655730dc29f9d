//! Endpoints as a list names them.

use crate::interface::{HostId, Terms};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// Kinds and zones by name, as the settings list them: endpoints are told by their places.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Names {
    /// The names of kinds, an endpoint's `class`.
    pub kinds: Vec<String>,
    /// The names of zones, an endpoint's `site`.
    pub zones: Vec<String>,
}

/// An endpoint, as numbered by the catalog. A number is never given again.
pub type EndpointId = HostId;

/// What the list says of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EndpointState {
    /// It takes new calls.
    Active,
    /// Draining: it finishes what it has and wants nothing new.
    Leaving,
    /// Removed from the list.
    Left,
}

/// An address to which messages of one destination may be sent.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Endpoint {
    /// Given by the catalog; decoders leave it at 0.
    pub id: EndpointId,
    /// The same at every relay.
    pub name: String,
    /// Where calls to it go.
    pub address: SocketAddr,
    /// Number of the destination that it serves.
    pub dest: u64,
    /// Index into the settings' kinds; `usize::MAX` where the name is not known.
    pub kind: usize,
    /// Index into the settings' zones.
    pub zone: usize,
    /// What the list says of it.
    pub state: EndpointState,
    /// The listed weight, or rate in calls a second where the site lists rates.
    pub share: f64,
    /// Limits that an operator's own list sets; none in discovery's.
    pub terms: Option<Terms>,
}

/// An endpoint as the catalog holds it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EndpointView<'a> {
    /// Its number.
    pub id: EndpointId,
    /// The same at every relay.
    pub name: &'a str,
    /// Where calls to it go.
    pub address: SocketAddr,
    /// Number of the destination that it serves.
    pub dest: u64,
    /// Index into the settings' kinds; `usize::MAX` where the name is not known.
    pub kind: usize,
    /// Index into the settings' zones.
    pub zone: usize,
    /// What the list says of it.
    pub state: EndpointState,
    /// The listed weight, or rate in calls a second where the site lists rates.
    pub share: f64,
    /// Limits that an operator's own list sets.
    pub terms: Option<Terms>,
}

impl EndpointView<'_> {
    /// A copy that outlasts the catalog's next change.
    pub fn to_endpoint(self) -> Endpoint {
        Endpoint {
            id: self.id,
            name: self.name.to_string(),
            address: self.address,
            dest: self.dest,
            kind: self.kind,
            zone: self.zone,
            state: self.state,
            share: self.share,
            terms: self.terms,
        }
    }
}

/// A list, or the changes of one, as a front decoded it; the catalog gives the ids.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointUpdate {
    /// Version of the list.
    pub seq: u64,
    /// It replaces all that was known.
    pub whole: bool,
    /// Its entries, in the order listed.
    pub endpoints: Vec<Endpoint>,
}

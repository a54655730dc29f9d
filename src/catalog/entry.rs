//! An endpoint in few bytes: at 190,000 of them each byte counts.

use super::endpoint::{Endpoint, EndpointId, EndpointState, EndpointView};
use crate::interface::Terms;
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, SocketAddrV6};

/// An address; the rare one that needs more than six bytes is kept apart.
#[derive(Clone, Debug, PartialEq)]
enum CompactAddress {
    V4(Ipv4Addr, u16),
    V6(Box<SocketAddrV6>),
}

impl From<SocketAddr> for CompactAddress {
    fn from(address: SocketAddr) -> Self {
        match address {
            SocketAddr::V4(v4) => CompactAddress::V4(*v4.ip(), v4.port()),
            SocketAddr::V6(v6) => CompactAddress::V6(Box::new(v6)),
        }
    }
}

impl CompactAddress {
    fn full(&self) -> SocketAddr {
        match self {
            CompactAddress::V4(ip, port) => SocketAddr::V4(SocketAddrV4::new(*ip, *port)),
            CompactAddress::V6(v6) => SocketAddr::V6(**v6),
        }
    }
}

/// An index into the settings in two bytes; all that is larger is no index that any settings have.
fn compact_index(index: usize) -> u16 {
    u16::try_from(index).unwrap_or(u16::MAX)
}

fn full_index(index: u16) -> usize {
    if index == u16::MAX {
        usize::MAX
    } else {
        usize::from(index)
    }
}

/// What is kept of an endpoint; its number is its place in the table.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct Entry {
    pub name: Box<str>,
    address: CompactAddress,
    pub dest: u64,
    share: f64,
    terms: Option<Box<Terms>>,
    kind: u16,
    zone: u16,
    pub state: EndpointState,
}

impl From<Endpoint> for Entry {
    fn from(endpoint: Endpoint) -> Self {
        Entry {
            name: endpoint.name.into_boxed_str(),
            address: endpoint.address.into(),
            dest: endpoint.dest,
            share: endpoint.share,
            terms: endpoint.terms.map(Box::new),
            kind: compact_index(endpoint.kind),
            zone: compact_index(endpoint.zone),
            state: endpoint.state,
        }
    }
}

impl Entry {
    /// Whether the list says of it what is known already.
    pub fn matches(&self, endpoint: &Endpoint) -> bool {
        *self.name == *endpoint.name
            && self.state == endpoint.state
            && self.dest == endpoint.dest
            && self.share == endpoint.share
            && self.kind == compact_index(endpoint.kind)
            && self.zone == compact_index(endpoint.zone)
            && self.terms.as_deref() == endpoint.terms.as_ref()
            && self.address.full() == endpoint.address
    }

    pub fn view(&self, id: EndpointId) -> EndpointView<'_> {
        EndpointView {
            id,
            name: &self.name,
            address: self.address.full(),
            dest: self.dest,
            kind: full_index(self.kind),
            zone: full_index(self.zone),
            state: self.state,
            share: self.share,
            terms: self.terms.as_deref().copied(),
        }
    }
}

//! Who is held to what: the operator's networks, and the figures that hold without any.

use crate::interface::Nanos;
use ipnet::{IpNet, Ipv4Net, Ipv6Net};
use prefix_trie::joint::JointPrefixMap;
use std::net::IpAddr;

const SECOND: Nanos = 1_000_000_000;

/// New legs a second, and how many may come at once after a pause.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    pub each_second: f64,
    pub burst: f64,
}

/// Bounds on a group of legs; `None`: no bound.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Caps {
    /// Legs open at once.
    pub legs: Option<u32>,
    pub rate: Option<Rate>,
}

impl Caps {
    pub fn none(&self) -> bool {
        self.legs.is_none() && self.rate.is_none()
    }
}

/// What holds for the addresses of a network.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Terms {
    /// Its clients may use the reserve, and give way only to one another.
    pub known: bool,
    /// Nobody from here gets in.
    pub barred: bool,
    /// Each leg from here begins with a PROXY header, which is believed.
    pub front: bool,
    /// For each address (IPv6: each /64).
    pub address: Caps,
    /// For each prefix of so many bits (IPv4, IPv6) within the network.
    pub prefix: Option<(u8, u8)>,
    pub prefix_caps: Caps,
    /// For the whole network, networks named apart within it not counted.
    pub together: Caps,
}

/// All that admission goes by.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Legs open at once, of all listeners.
    pub room: usize,
    /// From so many on each new leg has one that waits closed: callers, too, hold only so many connections.
    pub easy: usize,
    /// Part of the room that only known clients use.
    pub reserve: usize,
    /// Addresses remembered after their last leg has gone.
    pub records: usize,
    /// Good messages, fading, that make a client known.
    pub earns: f32,
    /// The time in which half of what was earned is forgotten, and half of a penalty.
    pub fade: Nanos,
    pub penalty_fade: Nanos,
    /// For addresses of no named network.
    pub rest: Terms,
    pub networks: Vec<(IpNet, Terms)>,
}

impl Settings {
    /// Without an operator's file: no caps, but fairness.
    pub fn plain(room: usize, easy: usize) -> Settings {
        Settings {
            room,
            easy,
            reserve: room / 8,
            records: 16_384,
            earns: 8.0,
            fade: 300 * SECOND,
            penalty_fade: 10 * SECOND,
            rest: Terms::default(),
            networks: Vec::new(),
        }
    }
}

/// Networks by the longest match.
pub struct Networks {
    by_prefix: JointPrefixMap<IpNet, usize>,
    terms: Vec<Terms>,
}

impl Networks {
    pub fn new(settings: &Settings) -> Networks {
        let mut by_prefix = JointPrefixMap::new();
        let mut terms = vec![settings.rest];
        for (net, of_net) in &settings.networks {
            by_prefix.insert(net.trunc(), terms.len());
            terms.push(*of_net);
        }
        Networks { by_prefix, terms }
    }

    /// The address as it counts, and the number of the network that it belongs to; 0: none that is named. IPv4 in
    /// IPv6's clothes is IPv4. IPv6 counts by its /64, since a host has all of that, unless a network within that
    /// is named.
    pub fn place(&self, address: IpAddr) -> (IpAddr, usize) {
        let address = address.to_canonical();
        let (bits, network) =
            self.by_prefix.get_lpm(&IpNet::from(address)).map_or((0, 0), |(net, n)| (net.prefix_len(), *n));
        match address {
            IpAddr::V6(v6) if bits <= 64 => {
                (IpAddr::V6((u128::from(v6) & (u128::MAX << 64)).into()), network)
            }
            _ => (address, network),
        }
    }

    pub fn terms(&self, network: usize) -> &Terms {
        &self.terms[network.min(self.terms.len() - 1)]
    }

    /// The prefix by which an address is counted beside others, where its network has that.
    pub fn prefix(&self, network: usize, address: IpAddr) -> Option<IpNet> {
        let terms = self.terms(network);
        let (v4, v6) = terms.prefix.filter(|_| !terms.prefix_caps.none())?;
        let net: IpNet = match address.to_canonical() {
            IpAddr::V4(a) => Ipv4Net::new(a, v4).ok()?.into(),
            IpAddr::V6(a) => Ipv6Net::new(a, v6).ok()?.into(),
        };
        Some(net.trunc())
    }
}

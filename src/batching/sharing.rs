//! Who may join a call: the fate rule, the byte bound, and the smaller groups that a refused call is split into.

use super::fate::{may_share, Wire};
use crate::decision::Relay;
use crate::interface::{HostId, MsgId};

/// Of each further message of a call in the cold budget, the first being 1, where the partner counts calls.
const WEIGHT_OF_MORE: f64 = 0.3;

impl Relay {
    /// What each further message of a call takes of the cold budget of this host. One that counts messages has its
    /// full work with each: a batch would push it over as it comes back.
    pub(crate) fn weight_of_more(&self, host: HostId) -> f64 {
        if self.book.by_message(host) {
            1.0
        } else {
            WEIGHT_OF_MORE
        }
    }

    /// Whether a message may join others in a call to this host that holds `most` at the most.
    pub(crate) fn joins(&self, host: HostId, ids: &[MsgId], id: MsgId, mut most: usize) -> bool {
        let (Some(h), false) = (self.book.hosts.get(&host), ids.is_empty()) else { return true };
        let mut bytes = 0;
        for m in ids.iter().chain([&id]).filter_map(|id| self.book.messages.get(id)) {
            let repeat = m.rules.class.repeat;
            if !h.terms().call.unsafe_shares && !may_share(Wire::Batch, repeat) {
                return false;
            }
            (bytes, most) = (bytes + m.bytes, most.min(m.group));
        }
        bytes <= h.terms().call.bytes && ids.len() < most
    }

    /// Messages that wait for the destination of this host, and calls that are out to it.
    pub(crate) fn load_of(&self, host: HostId) -> (usize, usize) {
        let flow = self.book.hosts.get(&host).and_then(|h| self.book.flows.get(&h.dest));
        flow.map_or((0, 0), |f| (f.held.len(), f.out))
    }

    /// Messages in a call to this host at most.
    pub(crate) fn most_in_a_call(&self, host: HostId) -> usize {
        self.book.hosts.get(&host).map_or(1, |h| h.per_call())
    }
}

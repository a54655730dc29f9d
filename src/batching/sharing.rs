//! Who may join a call: the fate rule, the byte bound, and the smaller groups that a refused call is split into.

use super::fate::{may_share, Wire};
use crate::interface::{HostId, MsgId};
use crate::rules::Relay;

impl Relay {
    /// Whether a message may join others in a call to this host that holds `most` at the most.
    pub(crate) fn joins(&self, host: HostId, ids: &[MsgId], id: MsgId, mut most: usize) -> bool {
        let (Some(h), false) = (self.book.hosts.get(&host), ids.is_empty()) else { return true };
        let mut bytes = 0;
        for m in ids.iter().chain([&id]).filter_map(|id| self.book.messages.get(id)) {
            let repeat = self.set.classes[m.class].repeat;
            if !h.terms.call.unsafe_shares && !may_share(Wire::Batch, repeat) {
                return false;
            }
            (bytes, most) = (bytes + m.bytes, most.min(m.group));
        }
        bytes <= h.terms.call.bytes && ids.len() < most
    }

    /// Messages in a call to this host at most.
    pub(crate) fn most_in_a_call(&self, host: HostId) -> usize {
        self.book.hosts.get(&host).map_or(1, |h| h.per_call())
    }
}

//! What goes on from one process of the relay to the next: calls that are out, keys that rest.

use super::book::Book;
use super::{HostId, MsgId, Nanos};

impl Book {
    /// Takes in a call that another process sent for these held messages.
    pub fn adopt(&mut self, host: HostId, ids: &[MsgId], sent: Nanos) {
        let dest = self.hosts[&host].dest;
        let call = self.open_call(host, dest, sent, ids.len());
        for id in ids {
            self.take_tag(*id, dest);
            self.open_attempt(*id, host, call, sent);
        }
        if let Some(h) = self.hosts.get_mut(&host) {
            (h.last_sent, h.last_used) = (h.last_sent.max(sent), h.last_used.max(sent));
        }
    }

    /// Others of this key wait until then.
    pub fn key_rests(&mut self, key: &str, until: Nanos, id: MsgId) {
        let line = self.keys.entry(key.to_string()).or_default();
        if until > line.rest.0 {
            line.rest = (until, id);
        }
    }

    /// Keys that rest, until when, and the message that does not wait for it.
    pub fn resting_keys(&self, now: Nanos) -> impl Iterator<Item = (&str, Nanos, MsgId)> {
        let resting = self.keys.iter().filter(move |(_, line)| line.rest.0 > now);
        resting.map(|(key, line)| (key.as_str(), line.rest.0, line.rest.1))
    }
}

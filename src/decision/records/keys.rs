//! Order by key: lines of messages, locks of the attempts that are out, rests behind those that may still be running.

use super::book::Book;
use super::{Message, MsgId, Nanos};

impl Book {
    /// Whether a message may go as far as its key is concerned: it is the first of its line, none is out, none rests.
    pub fn key_free(&self, id: MsgId, m: &Message, now: Nanos) -> bool {
        let Some(k) = m.key.as_ref().and_then(|k| self.keys.get(k)) else { return true };
        k.line.front() == Some(&id) && k.out == 0 && (now >= k.rest.0 || k.rest.1 == id)
    }

    /// An attempt of a message with this key has its outcome; others of the key wait until `rest`.
    pub fn key_back(&mut self, key: &str, id: MsgId, rest: Nanos) {
        let Some(k) = self.keys.get_mut(key) else { return };
        k.out = k.out.saturating_sub(1);
        if rest > 0 {
            k.rest = (k.rest.0.max(rest), id);
        }
    }

    /// Takes a finished message out of its key's line; the line stays while an attempt is out or it rests.
    pub fn leave_key(&mut self, key: &Option<String>, id: MsgId, now: Nanos) {
        let Some(key) = key.as_ref().filter(|_| !self.unsettled.contains_key(&id)) else { return };
        if let Some(k) = self.keys.get_mut(key) {
            // Most are the first of their line.
            let was_first = k.line.front() == Some(&id);
            match was_first {
                true => drop(k.line.pop_front()),
                false => k.line.retain(|m| *m != id),
            }
            let first = k.line.front().copied();
            if first.is_none() && k.out == 0 && k.rest.0 <= now {
                self.keys.remove(key);
            }
            if let Some(first) = first.filter(|_| was_first) {
                self.rank(first);
            }
        }
    }

    /// Puts a message that has its end back into its key's line, by the order taken.
    pub fn leave_unsettled(&mut self, id: MsgId, key: String) {
        let line = &mut self.keys.entry(key.clone()).or_default().line;
        line.insert(line.partition_point(|m| *m < id), id);
        self.unsettled.insert(id, key);
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

//! What came to endpoints, and what of it went against the rules.

use crate::finals::Says;
use crate::platform::Process;
use crate::stand_ins::Told;
use std::collections::{BTreeMap, BTreeSet};
use std::net::TcpStream;
use std::time::{Duration, Instant};

/// One message's calls.
#[derive(Default)]
struct Calls {
    /// Calls that ran, or that still run.
    ran: u32,
    delivered: bool,
    /// What was said of it in the end, and when that was first written.
    final_answer: Option<(Says, Instant)>,
    out: Vec<TcpStream>,
}

/// What went against the rules, by message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Violations {
    pub run_again: BTreeSet<String>,
    pub out_twice: BTreeSet<String>,
    pub out_of_turn: BTreeSet<String>,
    pub called_after_final: BTreeSet<String>,
}

/// All that came to the endpoint.
#[derive(Default)]
pub struct Record {
    calls: BTreeMap<String, Calls>,
    pub violations: Violations,
    pub copies_sent: u32,
    /// Calls with several messages.
    pub batches: u32,
    /// When processes of the relay were killed: from the call of the system on until they were gone.
    pub kills: Vec<(Instant, Instant)>,
}

/// An answer written so shortly before its relay was killed may not have been read by it.
const UNREAD_AT_A_KILL: Duration = Duration::from_millis(30);

impl Record {
    pub fn is_delivered(&self, id: &str) -> bool {
        self.calls.get(id).is_some_and(|calls| calls.delivered)
    }

    /// Messages that have had a final answer which said so.
    #[allow(dead_code)]
    pub fn finals(&self, says: Says) -> BTreeSet<String> {
        let said = |calls: &Calls| calls.final_answer.is_some_and(|(said, _)| said == says);
        self.calls.iter().filter(|(_, calls)| said(calls)).map(|(id, _)| id.clone()).collect()
    }

    /// Whether nothing more is owed for a message, by what it was answered.
    pub fn is_over(&self, id: &str) -> bool {
        let said = self.calls.get(id).and_then(|calls| calls.final_answer);
        self.is_delivered(id) || said.is_some_and(|(said, _)| said == Says::Over)
    }

    /// Whether a process may have been killed before it read what was written then.
    fn may_be_unread(&self, written: Instant) -> bool {
        self.kills.iter().any(|(from, gone)| *from <= written + UNREAD_AT_A_KILL && written <= *gone)
    }

    /// Kills a process of the relay.
    #[allow(dead_code)]
    pub fn kill(record: &Told<Record>, process: &mut Process) {
        let from = Instant::now();
        process.kill();
        record.tell(|record| record.kills.push((from, Instant::now())));
    }

    /// A call has come: no earlier attempt is out on an open connection, its message has had no final answer, and all messages of
    /// the key that were called before it are over. Where its connection was ended before it was read, that call is out no more.
    pub fn begin(&mut self, id: &str, stream: &TcpStream, ended: &BTreeSet<String>) {
        if is_open(stream) {
            self.judge(id, ended);
        }
        let calls = self.calls.entry(id.to_string()).or_default();
        calls.out.push(stream.try_clone().unwrap());
    }

    fn judge(&mut self, id: &str, ended: &BTreeSet<String>) {
        if let Some((_, key)) = id.split_once('@') {
            let open = |(other, calls): (&String, &Calls)| {
                other.ends_with(&format!("@{key}"))
                    && other != id
                    && !calls.delivered
                    && calls.final_answer.is_none_or(|(said, _)| said != Says::Over)
                    && !ended.contains(other)
            };
            if self.calls.iter().any(open) {
                self.violations.out_of_turn.insert(id.to_string());
            }
        }
        let final_answer = self.calls.get(id).and_then(|calls| calls.final_answer);
        if final_answer.is_some_and(|(_, written)| !self.may_be_unread(written)) {
            self.violations.called_after_final.insert(id.to_string());
        }
        if self.calls.get(id).is_some_and(|calls| calls.out.iter().any(is_open)) {
            self.violations.out_twice.insert(id.to_string());
        }
    }

    /// The call of a message is served, or refused: what may not be repeated has not run.
    pub fn serve(&mut self, id: &str, runs: bool) {
        let calls = self.calls.get_mut(id).unwrap();
        if calls.ran > 0 && id.starts_with("notice") {
            self.violations.run_again.insert(id.to_string());
        }
        calls.ran += u32::from(runs);
    }

    pub fn end(&mut self, id: &str, stream: &TcpStream, delivered: bool) {
        let calls = self.calls.get_mut(id).unwrap();
        calls.delivered |= delivered;
        let ends = |stream: &TcpStream| (stream.local_addr().ok(), stream.peer_addr().ok());
        let gone = ends(stream);
        calls.out.retain(|out| ends(out) != gone);
    }

    pub fn say(&mut self, id: &str, says: Says) {
        let calls = self.calls.get_mut(id).unwrap();
        calls.final_answer.get_or_insert((says, Instant::now()));
    }
}

/// Whether the other side has neither closed nor ended its sending, whatever lies unread before that.
pub fn is_open(stream: &TcpStream) -> bool {
    use rustix::event::{poll, PollFd, PollFlags, Timespec};
    let ended = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
    let mut polled = [PollFd::new(stream, PollFlags::RDHUP)];
    poll(&mut polled, Some(&Timespec::default())).unwrap();
    !polled[0].revents().intersects(ended)
}

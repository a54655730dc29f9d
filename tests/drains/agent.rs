//! A stand-in of the agent that lists are pushed to: it answers at once with what it has, and may fall silent.

use crate::stand_ins::{ok, request, watched, Told};
use rustix::event::{poll, PollFd, PollFlags, Timespec};
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// Whether the other side has closed is looked at so often.
const LOOK_EACH: Duration = Duration::from_millis(10);
/// Whether a connection has come is looked at so often.
const ACCEPT_EACH: Duration = Duration::from_millis(1);
/// A connection that is kept silent stays so at most for so long.
const SILENT_FOR: Duration = Duration::from_secs(60);

/// What becomes, at the agent's return, of questions that came while it was silent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AtReturn {
    Ignored,
    Answered,
    Reset,
}

/// How answers are written from now on.
#[derive(Clone, Copy, Debug, Default)]
pub struct Answering {
    /// So long after they could be.
    pub late: Duration,
    /// Half of each, then nothing more.
    pub half: bool,
    /// A connection comes up so long after it was opened.
    pub up_after: Duration,
    /// Notices have no answer.
    pub ignores_notices: bool,
}

#[derive(Default)]
struct State {
    seq: u64,
    /// Each entry's last text, and the version that it came with.
    entries: BTreeMap<String, (u64, String)>,
    silent: bool,
    /// Nobody listens.
    refuses: bool,
    /// Questions with lower numbers are never answered.
    muted_below: u64,
    /// Connections of questions with lower numbers are closed.
    reset_below: u64,
    /// When each question came; its place is its number.
    asked: Vec<Instant>,
    answering: Answering,
}

impl State {
    fn list(&self, from: Option<u64>) -> String {
        let is_wanted = |changed: u64| from.is_none_or(|from| changed > from);
        let wanted = self.entries.values().filter(|(changed, _)| is_wanted(*changed));
        let entries: Vec<&str> = wanted.map(|(_, entry)| entry.as_str()).collect();
        format!(r#"{{"seq":{},"whole":{},"hosts":[{}]}}"#, self.seq, from.is_none(), entries.join(","))
    }
}

/// The agent.
#[derive(Clone)]
pub struct Agent {
    pub address: SocketAddr,
    state: Told<State>,
}

impl Agent {
    /// With these entries, by name.
    pub fn start(entries: &[(String, String)]) -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let agent = Agent { address: listener.local_addr().unwrap(), state: Told::default() };
        agent.change(entries);
        let serving = agent.clone();
        spawn(move || serving.accept(listener));
        agent
    }

    /// Accepts connections, but for times in which nobody listens.
    fn accept(&self, mut listener: TcpListener) {
        loop {
            listener.set_nonblocking(true).unwrap();
            while !self.state.tell(|state| state.refuses) {
                match listener.accept() {
                    Ok((stream, _)) => {
                        stream.set_nonblocking(false).unwrap();
                        let serving = self.clone();
                        spawn(move || serving.serve(stream));
                    }
                    Err(_) => sleep(ACCEPT_EACH),
                }
            }
            drop(listener);
            self.state.until(SILENT_FOR, |state| !state.refuses);
            listener = TcpListener::bind(self.address).unwrap();
        }
    }

    /// Whether connections are refused from now on.
    pub fn refuse(&self, refuses: bool) {
        self.state.tell(|state| state.refuses = refuses);
    }

    /// The next version, with these entries changed. It counts as told from now on.
    pub fn change(&self, entries: &[(String, String)]) -> Instant {
        self.state.tell(|state| {
            state.seq += 1;
            for (name, entry) in entries {
                state.entries.insert(name.clone(), (state.seq, entry.clone()));
            }
            Instant::now()
        })
    }

    /// Nothing is answered from now on.
    pub fn fall_silent(&self) {
        self.state.tell(|state| state.silent = true);
    }

    /// Answers again, with these entries changed at the same moment.
    pub fn come_back(&self, at_return: AtReturn, entries: &[(String, String)]) -> Instant {
        self.state.tell(|state| {
            let next = state.asked.len() as u64;
            match at_return {
                AtReturn::Ignored => state.muted_below = next,
                AtReturn::Reset => state.reset_below = next,
                AtReturn::Answered => {}
            }
            state.silent = false;
        });
        self.change(entries)
    }

    /// The questions that are open now are never answered; later ones are.
    pub fn mute_open(&self) {
        self.state.tell(|state| state.muted_below = state.asked.len() as u64);
    }

    /// How answers are written from now on.
    pub fn answering(&self, answering: Answering) {
        self.state.tell(|state| state.answering = answering);
    }

    /// Questions so far.
    pub fn asked(&self) -> usize {
        self.state.tell(|state| state.asked.len())
    }

    /// Waits until a further question has come, and so long more.
    pub fn after_a_question(&self, more: Duration) {
        let before = self.asked();
        self.state.until(Duration::from_secs(5), |state| state.asked.len() > before);
        sleep(more);
    }

    fn serve(&self, stream: TcpStream) {
        sleep(self.state.tell(|state| state.answering.up_after));
        let mut output = stream.try_clone().unwrap();
        let mut input = BufReader::new(stream);
        while let Some((head, _)) = request(&mut input) {
            if head[0].starts_with("POST") {
                if self.state.tell(|state| state.answering.ignores_notices) {
                    return closed_within(input.get_ref(), SILENT_FOR);
                }
                output.write_all(b"HTTP/1.1 204 No Content\r\n\r\n").ok();
                continue;
            }
            let Some((text, answering)) = self.answer(&head[0], input.get_ref()) else { return };
            sleep(answering.late);
            let text = if answering.half { &text[..text.len() / 2] } else { &text[..] };
            if output.write_all(text.as_bytes()).is_err() {
                return;
            }
            if answering.half {
                return closed_within(input.get_ref(), SILENT_FOR);
            }
        }
    }

    /// The answer to a question, once there is one; none where the connection is to be closed.
    fn answer(&self, line: &str, stream: &TcpStream) -> Option<(String, Answering)> {
        let (from, hold) = watched(line);
        let came = Instant::now();
        let number = self.state.tell(|state| {
            state.asked.push(came);
            state.asked.len() as u64 - 1
        });
        loop {
            let is_muted = |state: &State| number < state.muted_below;
            let is_due = |state: &State| {
                let is_new = from.is_none_or(|from| state.seq > from) || came.elapsed() >= hold;
                !state.silent && !is_muted(state) && is_new
            };
            self.state.until(LOOK_EACH, |state| is_due(state) || number < state.reset_below);
            if self.state.tell(|state| number < state.reset_below) {
                return None;
            }
            if self.state.tell(|state| is_muted(state)) {
                closed_within(stream, SILENT_FOR);
                return None;
            }
            if self.state.tell(|state| is_due(state)) {
                return Some(self.state.tell(|state| (ok(&state.list(from)), state.answering)));
            }
            if is_closed(stream) {
                return None;
            }
        }
    }
}

fn is_closed(stream: &TcpStream) -> bool {
    let mut polled = [PollFd::new(stream, PollFlags::RDHUP)];
    let at_once = Timespec { tv_sec: 0, tv_nsec: 0 };
    poll(&mut polled, Some(&at_once)).unwrap();
    polled[0].revents().intersects(PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR)
}

/// Waits until the other side closes, for so long at most.
fn closed_within(stream: &TcpStream, time: Duration) {
    let until = Instant::now() + time;
    while !is_closed(stream) && Instant::now() < until {
        sleep(LOOK_EACH);
    }
}

//! One relay with an endpoint that never answers: whatever is taken on has to end by a notice in its time.

use crate::agent::{silent_endpoint, Agent, Way};
use crate::platform::{Platform, Process, Terms, TELLS_LIVES};
use crate::slow_folder::SlowFolder;
use crate::stand_ins::{entry, folder, message_within, status, Told};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// The time of each message.
pub const TIME: Duration = Duration::from_secs(3);
/// An end that is read later than this behind its message's time is late: the rule's slack, and what every limit is longer.
pub const LATE_AFTER: Duration = Duration::from_millis(350);
/// A client waits so long for its answer.
const ANSWERED_WITHIN: Duration = Duration::from_millis(400);
const CLIENTS: usize = 6;

/// Messages that were taken on, and when the time of each is up.
pub type TakenOn = BTreeMap<String, Instant>;

/// A relay, the agent and the way to it.
pub struct Rig {
    pub agent: Agent,
    pub platform: Platform,
    pub process: Process,
    pub folder: SlowFolder,
}

/// What came of messages that were taken on.
#[derive(Debug, Default)]
#[allow(dead_code)]
pub struct Outcome {
    pub taken: usize,
    pub late: usize,
    pub never: usize,
    /// The latest, in milliseconds behind its message's time.
    pub worst_ms: u128,
    pub requests: u32,
    pub given_up: u32,
    /// How often an end was read at most.
    pub most_told: u32,
    pub most_open: usize,
    pub unanswered: usize,
    pub refused: usize,
}

/// How clients' requests were answered beside 202.
#[derive(Clone, Debug, Default)]
pub struct Handed {
    pub taken: TakenOn,
    pub refused: usize,
    pub unanswered: usize,
}

impl Rig {
    pub fn start(seed: u64) -> Rig {
        Rig::start_before(seed, silent_endpoint())
    }

    /// The same before this endpoint.
    pub fn start_before(seed: u64, endpoint: SocketAddr) -> Rig {
        let (agent, platform, folder) = Rig::scene(seed, Terms::default(), endpoint);
        let process = platform.start_with(|command| folder.preload(command));
        assert!(process.ready().is_some(), "{:?}", process.log.tell(|lines| lines.clone()));
        Rig { agent, platform, process, folder }
    }

    /// The same with a log that tells much, and that nobody reads.
    pub fn start_unread(seed: u64) -> Rig {
        let (agent, platform, folder) =
            Rig::scene(seed, Terms { operator: TELLS_LIVES, ..Terms::default() }, silent_endpoint());
        let (pipe, operator) = (platform.dir.join("log"), platform.dir.join("relay.conf"));
        // Both ends are open at the same process, so that it is neither closed nor read.
        let line = format!(
            "mkfifo \"{0}\"; exec 4<>\"{0}\"; exec \"$0\" serve --operator \"{1}\" 3<&0 0</dev/null 2>&4",
            pipe.display(),
            operator.display()
        );
        let process = platform.start_by(&line, |command| folder.preload(command));
        assert!(process.ready().is_some());
        Rig { agent, platform, process, folder }
    }

    fn scene(seed: u64, terms: Terms, endpoint: SocketAddr) -> (Agent, Platform, SlowFolder) {
        let known = entry("h", endpoint, "active");
        let agent = Agent::start(known.clone(), seed);
        let dir = folder();
        let platform = Platform::new(&dir, &terms, agent.address, &known);
        let slow = SlowFolder::new(&dir);
        (agent, platform, slow)
    }

    /// The next process, behind a kill or for an upgrade.
    pub fn next(&self) -> Process {
        let process = self.platform.start_with(|command| self.folder.preload(command));
        assert!(process.ready().is_some(), "{:?}", process.log.tell(|lines| lines.clone()));
        process
    }

    /// Clients hand in so many messages in all over `span`.
    pub fn hand_in(&self, count: usize, span: Duration) -> Handed {
        self.hand_in_for(TIME, count, span)
    }

    /// The same, with so much time for each.
    pub fn hand_in_for(&self, time: Duration, count: usize, span: Duration) -> Handed {
        hand_in_for(time, self.platform.address, "m", count, span)
    }

    /// Whether ends of all these came in their time, once that is over and `more` has passed.
    pub fn outcome(&self, handed: &Handed, more: Duration) -> Outcome {
        let last = handed.taken.values().max().copied().unwrap_or_else(Instant::now);
        sleep((last + more).saturating_duration_since(Instant::now()));
        self.outcome_at(&self.agent, handed)
    }

    /// What this agent has read of them so far.
    pub fn outcome_at(&self, agent: &Agent, handed: &Handed) -> Outcome {
        let mut outcome = agent.read.tell(|read| Outcome {
            taken: handed.taken.len(),
            requests: read.requests,
            given_up: read.given_up,
            most_open: read.most_open,
            most_told: read.ends.values().map(|(_, times)| *times).max().unwrap_or(0),
            refused: handed.refused,
            unanswered: handed.unanswered,
            ..Outcome::default()
        });
        for (id, deadline) in &handed.taken {
            match agent.read.tell(|read| read.ends.get(id).copied()) {
                None => outcome.never += 1,
                Some((read_at, _)) => {
                    let over = read_at.saturating_duration_since(*deadline);
                    outcome.worst_ms = outcome.worst_ms.max(over.as_millis());
                    outcome.late += usize::from(over > LATE_AFTER);
                }
            }
        }
        outcome
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        self.process.kill();
        std::fs::remove_dir_all(&self.platform.dir).ok();
    }
}

/// Clients hand in so many messages of this name in all over `span`.
pub fn hand_in(relay: SocketAddr, name: &'static str, count: usize, span: Duration) -> Handed {
    hand_in_for(TIME, relay, name, count, span)
}

/// The same, with so much time for each.
pub fn hand_in_for(
    time: Duration,
    relay: SocketAddr,
    name: &'static str,
    count: usize,
    span: Duration,
) -> Handed {
    let handed: Told<Handed> = Told::default();
    let each = count.div_ceil(CLIENTS);
    let clients = (0..CLIENTS).map(|client| {
        let handed = handed.clone();
        spawn(move || {
            let mut stream = None;
            let from = Instant::now();
            for n in 0..each {
                sleep(
                    (from + span.mul_f64(n as f64 / each as f64)).saturating_duration_since(Instant::now()),
                );
                hand_in_one(relay, time, &mut stream, format!("{name}-{client}-{n}"), &handed);
            }
        })
    });
    clients.collect::<Vec<_>>().into_iter().for_each(|client| client.join().unwrap());
    handed.tell(|handed| handed.clone())
}

fn hand_in_one(
    relay: SocketAddr,
    time: Duration,
    kept: &mut Option<TcpStream>,
    id: String,
    handed: &Told<Handed>,
) {
    let mut stream = kept.take().unwrap_or_else(|| {
        let stream = TcpStream::connect(relay).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(ANSWERED_WITHIN)).unwrap();
        stream
    });
    let at = Instant::now();
    let request = message_within("status", &id, time.as_millis() as u64);
    let answer = stream.write_all(request.as_bytes()).ok().and_then(|()| status(&mut stream));
    handed.tell(|handed| match answer {
        Some(202) => drop(handed.taken.insert(id, at + time)),
        Some(_) => handed.refused += 1,
        None => handed.unanswered += 1,
    });
    if answer.is_some() {
        *kept = Some(stream);
    }
}

/// The ends of 240 messages that were handed in over a second come in their time over such a way.
pub fn told_over(way: Way, seed: u64) -> Outcome {
    let rig = Rig::start(seed);
    rig.agent.way(way);
    let handed = rig.hand_in(240, Duration::from_secs(1));
    let outcome = rig.outcome(&handed, Duration::from_secs(4));
    println!("{way:?}: {outcome:?}");
    rig.process
        .log
        .tell(|lines| lines.iter().filter(|line| line.contains("ends-owed")).for_each(|l| println!("{l}")));
    outcome
}

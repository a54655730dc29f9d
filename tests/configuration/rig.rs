//! A relay with an endpoint whose first answers are held, and a discovery that can move.

use crate::platform::{Platform, Process, Terms};
use crate::stand_ins::{entry, folder, message_within, ok, receipt, serve, Discovery, Served, ANSWERED};
use rustix::process::Signal;
use serde_json::Value;
use std::net::{SocketAddr, TcpListener};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::thread::sleep;
use std::time::Duration;

/// The platform tells a configuration by SIGHUP; so long afterwards clients go by it.
pub const IN_FORCE_WITHIN: Duration = Duration::from_millis(1_200);

/// Serves a destination's calls: the first call of each message whose id begins with `error` is answered with 500, of one
/// that begins with `refuse` with 429, others with 200; none before it is let go.
pub struct Endpoint {
    pub address: SocketAddr,
    /// Calls by the ids of their messages.
    pub calls: Served,
    open: Arc<AtomicBool>,
}

impl Endpoint {
    pub fn start(open: bool) -> Endpoint {
        let (calls, open) = (Served::default(), Arc::new(AtomicBool::new(open)));
        let (counts, is_open) = (calls.clone(), open.clone());
        let address = serve(TcpListener::bind("127.0.0.1:0").unwrap(), move |head| {
            let id = head.iter().find_map(|line| line.strip_prefix("x-request-id: ")).unwrap().to_string();
            let count = counts.tell(|calls| {
                let count = calls.entry(id.clone()).or_default();
                *count += 1;
                *count
            });
            while !is_open.load(Ordering::SeqCst) {
                sleep(Duration::from_millis(2));
            }
            Some(match count {
                1 if id.starts_with("error") => "HTTP/1.1 500 Error\r\nContent-Length: 0\r\n\r\n".to_string(),
                1 if id.starts_with("refuse") => {
                    "HTTP/1.1 429 Wait\r\nRetry-After: 0.1\r\nContent-Length: 0\r\n\r\n".to_string()
                }
                _ => ok(&receipt()),
            })
        });
        Endpoint { address, calls, open }
    }

    /// Answers from now on.
    pub fn let_go(&self) {
        self.open.store(true, Ordering::SeqCst);
    }

    pub fn calls_of(&self, id: &str) -> u32 {
        self.calls.tell(|calls| calls.get(id).copied().unwrap_or(0))
    }

    pub fn has_calls(&self, id: &str, count: u32) {
        let seen = self.calls.until(ANSWERED, |calls| calls.get(id).copied().unwrap_or(0) >= count);
        assert!(seen.is_some(), "{id}: {} calls, {count} wanted", self.calls_of(id));
    }
}

/// A relay, its endpoint and its discovery.
pub struct Scene {
    pub platform: Platform,
    pub endpoint: Endpoint,
    pub discovery: Discovery,
}

impl Scene {
    /// With an endpoint that answers at once, or only when it is let go.
    pub fn new(answers: bool) -> Scene {
        Scene::with(answers, &Terms::default())
    }

    /// The same on other terms.
    pub fn with(answers: bool, terms: &Terms) -> Scene {
        let endpoint = Endpoint::start(answers);
        let known = entry("h", endpoint.address, "active");
        let discovery = Discovery::start(known.clone());
        let platform = Platform::new(&folder(), terms, discovery.address, &known);
        Scene { platform, endpoint, discovery }
    }

    /// Hands a message in; the status of the answer.
    pub fn hand_in(&self, class: &str, id: &str, millis: u64) -> Option<u16> {
        self.platform.ask(&message_within(class, id, millis))
    }

    /// The configuration that lies there with this change made to it.
    pub fn changed(&self, change: impl FnOnce(&mut Value)) -> String {
        let mut document = self.platform.document();
        change(&mut document);
        document.to_string()
    }

    /// Puts a text in the configuration's place, sends SIGHUP, and waits until the process has said what came of it.
    pub fn reread(&self, process: &Process, text: &str) {
        let answers = || process.count_of("event=\"reread\"") + process.count_of("event=\"reread-failed\"");
        let before = answers();
        self.platform.write(text);
        process.signal(Signal::HUP);
        let said = (0..500).any(|_| {
            sleep(Duration::from_millis(2));
            answers() > before
        });
        // Lines of one kind may be summed up: then the time of a signal passes.
        if !said {
            sleep(IN_FORCE_WITHIN);
        }
    }

    /// The end of a message is told to the platform within so long.
    pub fn ends(&self, id: &str, within: Duration) {
        let seen = self.discovery.ended.until(within, |ended| ended.contains(id));
        assert!(seen.is_some(), "no end of {id} within {within:?}");
    }

    pub fn has_ended(&self, id: &str) -> bool {
        self.discovery.ended.tell(|ended| ended.contains(id))
    }
}

impl Drop for Scene {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.platform.dir).ok();
    }
}

/// The place of a class among `settings.services`.
pub fn place_of(document: &Value, class: &str) -> usize {
    let services = document["settings"]["services"].as_array().unwrap();
    services.iter().position(|service| service["name"] == class).unwrap()
}

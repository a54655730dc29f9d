//! A relay with two destinations: calls to the first are what the test plays with, the second answers at once.

use crate::endpoint::{endpoint, Act};
use crate::platform::{Platform, Process, Terms, SERVICES};
use crate::stand_ins::page_form::set;
use crate::stand_ins::{entry, folder, message_within, Discovery, Told};
use crate::world::World;
use std::net::SocketAddr;
use std::sync::Arc;
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The destination whose endpoint does as it is told, and the one that answers at once.
pub const PLAYED: u32 = 1;
pub const QUICK: u32 = 2;

pub struct Rig {
    pub platform: Platform,
    pub world: Arc<World>,
    pub discovery: Discovery,
    /// The first destination's, and the second's.
    endpoints: (SocketAddr, SocketAddr),
}

/// The list, with the first destination's endpoint in this health.
fn hosts(played: SocketAddr, quick: SocketAddr, health: &str) -> String {
    let quick = entry("s2", quick, "active").replace("\"block\":1", "\"block\":2");
    format!("{},{quick}", entry("s1", played, health))
}

/// A message as it is handed in.
pub struct Message<'a> {
    pub class: &'static str,
    pub id: &'a str,
    pub dest: u32,
    pub millis: u64,
}

impl Message<'_> {
    pub fn text(&self) -> String {
        message_within(self.class, self.id, self.millis).replace("dest=1", &format!("dest={}", self.dest))
    }
}

impl Rig {
    /// `act` is what the first destination's endpoint does with each call, `quick` the second's.
    pub fn new(
        act: impl Fn(&[String]) -> Act + Send + Sync + 'static,
        quick: impl Fn(&[String]) -> Act + Send + Sync + 'static,
    ) -> Rig {
        let (world, ended) = (Arc::new(World::default()), Told::default());
        let played = endpoint(world.clone(), ended.clone(), act);
        let quick = endpoint(world.clone(), ended.clone(), quick);
        let hosts = hosts(played, quick, "active");
        let discovery = Discovery::beside(hosts.clone(), ended);
        let terms = Terms { per_call: 5, slots: 32, services: SERVICES, ..Terms::default() };
        let platform = Platform::new(&folder(), &terms, discovery.address, &hosts);
        Rig { platform, world, discovery, endpoints: (played, quick) }
    }

    /// The first destination's endpoint drains, or is active again.
    pub fn list_played(&self, health: &str) {
        self.discovery.next(&hosts(self.endpoints.0, self.endpoints.1, health));
    }

    /// Has the relay read a configuration with this rest of keys, once it is written.
    pub fn rest_keys_for(&self, millis: u64) {
        let mut document = self.platform.document();
        set(&mut document, "/settings/rules/key_rest", millis * 1_000_000);
        self.platform.write(&document.to_string());
    }

    /// Hands a message in, which has to be taken on.
    pub fn take(&self, class: &'static str, id: &str, dest: u32, millis: u64) {
        self.world.handed(id);
        let answer = self.platform.ask(&Message { class, id, dest, millis }.text());
        assert_eq!(answer, Some(202), "{id}");
    }

    /// Waits until the platform has heard the end of a message.
    pub fn until_ended(&self, id: &str) {
        let ended = self.discovery.ended.until(Duration::from_secs(8), |ended| ended.contains(id));
        assert!(ended.is_some(), "{id} has no end");
    }

    /// Waits until a message is delivered.
    pub fn until_delivered(&self, id: &str, most: Duration) {
        let from = Instant::now();
        while !self.world.is_delivered(id) {
            assert!(from.elapsed() < most, "{id} was not delivered; ended: {:?}", self.ended());
            sleep(Duration::from_millis(5));
        }
    }

    /// Messages that have no end, delivered or told, within so long.
    pub fn unsettled_after(&self, most: Duration) -> Vec<String> {
        let from = Instant::now();
        loop {
            let ended = self.ended();
            let unsettled: Vec<String> =
                self.world.undelivered().into_iter().filter(|id| !ended.contains(id)).collect();
            if unsettled.is_empty() || from.elapsed() > most {
                return unsettled;
            }
            sleep(Duration::from_millis(50));
        }
    }

    fn ended(&self) -> Vec<String> {
        self.discovery.ended.tell(|ended| ended.iter().cloned().collect())
    }

    /// The order of keys held so far.
    pub fn kept_order(&self, logs: &[&Process]) {
        let violations = self.world.violations();
        let logs: Vec<Vec<String>> = logs.iter().map(|process| process.log.tell(|log| log.clone())).collect();
        assert!(violations.is_empty(), "{violations:#?}\n{logs:#?}");
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.platform.dir).ok();
    }
}

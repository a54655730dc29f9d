//! A relay with two destinations: calls to the first are what the test plays with, the second answers at once.

use crate::endpoint::{endpoint, Act};
use crate::platform::{Platform, Process, Terms, SERVICES};
use crate::stand_ins::{entry, folder, message_within, Discovery, Told};
use crate::world::World;
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
        let played = entry("s1", endpoint(world.clone(), ended.clone(), act), "active");
        let quick = entry("s2", endpoint(world.clone(), ended.clone(), quick), "active");
        let hosts = format!("{played},{}", quick.replace("\"block\":1", "\"block\":2"));
        let discovery = Discovery::beside(hosts.clone(), ended);
        let terms = Terms { per_call: 5, slots: 32, services: SERVICES, ..Terms::default() };
        let platform = Platform::new(&folder(), &terms, discovery.address, &hosts);
        Rig { platform, world, discovery }
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
        while !self.world.is_over(id) {
            assert!(from.elapsed() < most, "{id} was not delivered; ended: {:?}", self.ended());
            sleep(Duration::from_millis(5));
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

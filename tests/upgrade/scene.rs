//! A relay with one endpoint, as most tests of upgrades want it.

use crate::platform::{Platform, Terms};
use crate::stand_ins::{entry, folder, hop, Discovery, Served, ANSWERED};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The time of a message, and the slack in which its end may be told.
const SETTLED_WITHIN: Duration = Duration::from_millis(21_500);

/// A relay, its endpoint and its discovery.
pub struct Scene {
    pub platform: Platform,
    /// Calls that the endpoint took.
    pub served: Served,
    pub discovery: Discovery,
}

impl Scene {
    /// With an endpoint that answers.
    pub fn new(terms: &Terms) -> Scene {
        let (dial, served) = hop("127.0.0.1:0");
        Scene::before(terms, dial, served)
    }

    /// With an endpoint at this address.
    pub fn before(terms: &Terms, dial: SocketAddr, served: Served) -> Scene {
        let discovery = Discovery::start(entry("h", dial, "active"));
        let platform = Platform::new(&folder(), terms, discovery.address, &entry("h", dial, "active"));
        Scene { platform, served, discovery }
    }

    /// Each of these was called once: none is missing, none twice.
    pub fn all_served_once(&self, taken: &BTreeSet<String>) {
        let all = self.served.until(ANSWERED * 2, |s| taken.iter().all(|id| s.contains_key(id)));
        let counts = self.served.tell(|s| s.clone());
        let lost: Vec<&String> = taken.iter().filter(|id| !counts.contains_key(*id)).collect();
        assert!(all.is_some(), "{} of {} lost: {lost:?}", lost.len(), taken.len());
        let twice: Vec<&String> = counts.iter().filter(|(_, n)| **n > 1).map(|(id, _)| id).collect();
        assert!(twice.is_empty(), "called twice: {twice:?}");
    }

    /// Each of these was called, or the platform was told its end, in time; none was called twice.
    pub fn all_settled(&self, taken: &BTreeSet<String>) {
        let from = Instant::now();
        let owed = || {
            let called = self.served.tell(|s| s.keys().cloned().collect::<BTreeSet<_>>());
            let told = self.discovery.ended.tell(|e| e.clone());
            taken
                .iter()
                .filter(|id| !called.contains(*id) && !told.contains(*id))
                .cloned()
                .collect::<Vec<_>>()
        };
        while !owed().is_empty() {
            assert!(from.elapsed() < SETTLED_WITHIN, "neither called nor ended: {:?}", owed());
            std::thread::sleep(Duration::from_millis(50));
        }
        let twice = self
            .served
            .tell(|s| s.iter().filter(|(_, n)| **n > 1).map(|(id, _)| id.clone()).collect::<Vec<_>>());
        let may: Vec<_> =
            twice.iter().filter(|id| !id.contains("update") && !id.contains("status")).collect();
        assert!(may.is_empty(), "called twice: {may:?}");
    }
}

impl Drop for Scene {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.platform.dir).ok();
    }
}

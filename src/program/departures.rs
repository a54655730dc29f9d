//! Keeps in the lasting folder which endpoints drain or have left, and has a start go by it.

use super::last_good::{self, Name};
use crate::catalog::{Departures, Endpoint, EndpointCatalog, EndpointState};
use crate::configuration::Configuration;
use std::cell::{Cell, RefCell};
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::spawn_blocking;
use tokio::time::sleep;

/// What could not be written is tried again after this time.
const WRITE_AGAIN: Duration = Duration::from_secs(1);

/// Keeps departures, however long the folder takes no writes. They are written beside the event loop.
pub(super) struct DepartureKeeper {
    dir: PathBuf,
    bytes_most: usize,
    departures: RefCell<Departures>,
    changed: Notify,
    is_stopped: Cell<bool>,
}

impl DepartureKeeper {
    /// For the folder of this configuration. What an earlier process kept there is put into the list that is known, where it was
    /// learned later than that.
    pub fn start(configuration: &mut Configuration) -> Rc<DepartureKeeper> {
        let kept = read(&configuration.state);
        // Without discovery the list of the configuration is the one in force, not an earlier one.
        let kept = kept.filter(|kept| {
            configuration.discovery.is_some() && kept.may_be_newer_than(configuration.known.seq)
        });
        if let Some(kept) = &kept {
            let endpoints = &mut configuration.known.endpoints;
            let count = kept.bring_up_to_date(endpoints);
            endpoints.retain(|endpoint| endpoint.state != EndpointState::Left);
            if count > 0 {
                tracing::info!(target: "relay", event = "departures-restored", count, "endpoints of the list that is known drain or have left, as an earlier process was told");
            }
        }
        let mut departures = kept.unwrap_or_default();
        departures.begin_with(&configuration.known);
        Rc::new(DepartureKeeper {
            dir: configuration.state.clone(),
            bytes_most: last_good::departures_most(configuration.disk_bytes) as usize,
            departures: RefCell::new(departures),
            changed: Notify::new(),
            is_stopped: Cell::new(false),
        })
    }

    /// A list came into force, of this version where it is discovery's.
    pub fn take_in(&self, catalog: &EndpointCatalog, seq: Option<u64>) {
        if self.departures.borrow_mut().take_in(catalog, seq, self.bytes_most) {
            self.changed.notify_one();
        }
    }

    /// Another process keeps them from now on.
    pub fn stop(&self) {
        self.is_stopped.set(true);
    }

    /// The other process is gone: the list that was handed to it takes in what it has kept.
    pub fn take_back(&self, handed: &mut [Endpoint]) {
        if let Some(kept) = read(&self.dir) {
            self.departures.borrow_mut().merge(kept);
        }
        self.departures.borrow().bring_up_to_date(handed);
    }

    /// This one keeps them again.
    pub fn resume(&self) {
        self.is_stopped.set(false);
        self.changed.notify_one();
    }

    /// Writes what has changed, for good.
    pub async fn keep(self: Rc<Self>) {
        loop {
            self.changed.notified().await;
            let mut is_told = false;
            while !self.is_stopped.get() && !self.write().await {
                if !is_told {
                    tracing::warn!(target: "relay", event = "file-not-kept", file = "relay.departures", "endpoints that drain cannot be kept yet for the next start");
                    is_told = true;
                }
                sleep(WRITE_AGAIN).await;
            }
        }
    }

    /// Whether it could be written.
    async fn write(&self) -> bool {
        let Ok(text) = serde_json::to_string(&*self.departures.borrow()) else { return true };
        let dir = self.dir.clone();
        let written = spawn_blocking(move || last_good::write(&dir, Name::Departures, &text)).await;
        matches!(written, Ok(Ok(())))
    }
}

fn read(dir: &Path) -> Option<Departures> {
    serde_json::from_str(&last_good::read(dir, Name::Departures)?).ok()
}

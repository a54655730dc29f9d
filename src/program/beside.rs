//! What runs beside the platform's front and belongs to the one process that decides: membership and the SMPP front. Both
//! hold addresses and files that the next process needs, so they stop at once where another takes over.

use super::fleet;
use super::fronts::start_smpp;
use super::wiring::{PlatformDesk, SmppPlan};
use crate::fleet::together;
use crate::operator::fleet::Fleet;
use crate::protocol::smpp::Smpp;
use crate::routing::{Clock, Desk};
use crate::transport::network::Net;
use crate::transport::Door;
use std::cell::{Cell, RefCell};
use std::future::{poll_fn, Future};
use std::path::PathBuf;
use std::pin::Pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::task::{spawn_local, LocalSet};
use tokio::time::sleep;

/// Addresses that the process before held may be free only a moment later.
const START_AGAIN: Duration = Duration::from_millis(20);
/// For so long, where another process has just handed over.
const FREE_WITHIN: Duration = Duration::from_secs(2);

/// Membership, as it is to run.
#[derive(Clone)]
pub struct FleetPlan {
    pub section: Fleet,
    pub name: String,
    pub dir: PathBuf,
    pub seed: u64,
    /// What they go by where the relays deal out among them what endpoints take.
    pub shares: Option<Rc<Cell<together::Terms>>>,
}

/// What is to run beside.
#[derive(Clone)]
pub struct BesidePlan {
    pub fleet: Option<FleetPlan>,
    pub smpp: Option<SmppPlan>,
    pub net: Net,
    pub door: Rc<Door>,
    pub clock: Clock,
}

/// What runs beside, while this process decides.
#[derive(Default)]
pub struct Beside {
    tasks: RefCell<Option<LocalSet>>,
    member: RefCell<Option<Rc<fleet::Running>>>,
    smpp: RefCell<Option<Rc<Desk<Smpp>>>>,
    /// What is dealt out by, where it is.
    shares: RefCell<Option<Rc<Cell<together::Terms>>>>,
}

impl Beside {
    /// Starts all of it. `after_takeover`: its addresses may still be another process's for a moment.
    pub async fn start(
        self: &Rc<Self>,
        plan: &BesidePlan,
        platform: Option<&PlatformDesk>,
        after_takeover: bool,
    ) -> Result<(), String> {
        let mut waited = Duration::ZERO;
        loop {
            match self.try_start(plan, platform).await {
                Err(_) if after_takeover && waited < FREE_WITHIN => {
                    self.stop();
                    sleep(START_AGAIN).await;
                    waited += START_AGAIN;
                }
                result => return result,
            }
        }
    }

    async fn try_start(
        self: &Rc<Self>,
        plan: &BesidePlan,
        platform: Option<&PlatformDesk>,
    ) -> Result<(), String> {
        if plan.fleet.is_none() && plan.smpp.is_none() {
            return Ok(());
        }
        let tasks = LocalSet::new();
        let started = tasks.run_until(async {
            if let Some(fleet) = &plan.fleet {
                std::fs::create_dir_all(&fleet.dir)
                    .map_err(|e| format!("fleet: {}: {e}", fleet.dir.display()))?;
                let member =
                    fleet::start(&fleet.section, &fleet.name, &fleet.dir, fleet.seed, plan.clock).await?;
                if let (Some((desk, _)), Some(terms)) = (platform, fleet.shares.clone()) {
                    self.shares.replace(Some(terms.clone()));
                    spawn_local(member.clone().share(desk.clone(), terms));
                }
                self.member.replace(Some(member));
            }
            if let Some(smpp) = plan.smpp.clone() {
                let desk = start_smpp(smpp, plan.net.clone(), plan.door.clone(), plan.clock).await?;
                self.smpp.replace(Some(desk));
            }
            Ok(())
        });
        let result = started.await;
        self.tasks.replace(Some(tasks));
        self.run();
        result
    }

    fn run(self: &Rc<Self>) {
        let beside = self.clone();
        spawn_local(poll_fn(move |cx| match &mut *beside.tasks.borrow_mut() {
            Some(tasks) => Pin::new(tasks).poll(cx),
            None => Poll::Ready(()),
        }));
    }

    /// Stops all of it at once: its addresses and files are free when this returns.
    pub fn stop(&self) {
        if let Some(desk) = self.smpp.take() {
            desk.give_journal_away();
        }
        self.member.take();
        self.tasks.take();
    }

    /// What endpoints take is dealt out by other terms from now on.
    pub fn deal_by(&self, terms: together::Terms) {
        if let Some(shares) = &*self.shares.borrow() {
            shares.set(terms);
        }
    }

    /// Membership, where it runs.
    pub fn member(&self) -> Option<Rc<fleet::Running>> {
        self.member.borrow().clone()
    }

    /// The SMPP front, where it runs.
    pub fn smpp(&self) -> Option<Rc<Desk<Smpp>>> {
        self.smpp.borrow().clone()
    }
}

//! Puts in force what SIGHUP has read again: the platform's configuration first, then the operator's file, each whole or not at
//! all.

use super::beside::Beside;
use super::descriptors::Share;
use super::fronts::{InForce, PlatformFront};
use super::last_good::{Keeper, Name};
use super::listing::Listing;
use super::rooms::Rooms;
use super::{log, terms};
use crate::configuration::{judge_again, Configuration, Environment, Parts, Version};
use crate::interface::Nanos;
use crate::operator::Operator;
use crate::protocol::platform::Platform;
use crate::protocol::smpp;
use crate::routing::core::{Moved, Retuning};
use crate::routing::Desk;
use crate::transport::Legs;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// All parts are asked so often what they go by.
const AUDIT_EACH: Duration = Duration::from_secs(1);

/// The files as they were read at one signal; of a file that is not in use nothing.
#[derive(Clone, Debug, Default)]
pub struct Reread {
    /// The text of the platform's configuration, or why it could not be read.
    pub configuration: Option<Result<String, String>>,
    /// What the operator's file says, or what is wrong with it.
    pub operator: Option<Result<Operator, String>>,
}

/// What goes by the operator's file.
pub(super) struct Reload {
    /// The file that is in force.
    pub operator: RefCell<Operator>,
    pub share: Rc<Share>,
    pub beside: Rc<Beside>,
    /// Keeps that file, where one is in use.
    pub keeper: Option<Rc<Keeper>>,
}

/// What goes by the platform's configuration.
pub(super) struct PlatformReload {
    desk: Rc<Desk<Platform>>,
    legs: Rc<Legs>,
    listing: Rc<Listing<Platform>>,
    in_force: InForce,
    environment: Environment,
    rooms: Rooms,
    keeper: Rc<Keeper>,
    /// Descriptors that the process may have, whatever the configuration says.
    descriptors: usize,
    /// Whether another process may be started beside this one.
    may_hand_over: bool,
}

impl PlatformReload {
    /// For this front, in this environment, for a process that may have so many descriptors.
    pub fn of(
        front: &PlatformFront,
        environment: Environment,
        descriptors: usize,
        may_hand_over: bool,
    ) -> PlatformReload {
        PlatformReload {
            desk: front.desk.clone(),
            legs: front.legs.clone(),
            listing: front.listing.clone(),
            in_force: front.in_force.clone(),
            environment,
            rooms: front.cores.rooms,
            keeper: front.keeper.clone(),
            descriptors,
            may_hand_over,
        }
    }

    /// What the parts of this process go by.
    fn parts(&self) -> Parts {
        let front = &self.desk.front;
        let (settings, core_classes) = self.desk.see(|core| (core.settings().clone(), core.class_names()));
        Parts {
            client_classes: front.classes.borrow().names.clone(),
            core_classes,
            settings,
            discovery: *front.agent.borrow(),
            connect_timeout: front.pool.connect_timeout().as_nanos() as Nanos,
        }
    }

    /// Checks that all parts go by the configuration in force, for good; each that does not is told and counted.
    pub async fn audit(self: Rc<Self>) {
        let mut violations = 0;
        loop {
            sleep(AUDIT_EACH).await;
            if !self.desk.roles.serves() {
                continue;
            }
            let in_force = self.in_force.borrow().clone();
            let differing = in_force.differing_parts(&self.parts());
            if !differing.is_empty() {
                violations += differing.len();
                let (version, parts) = (in_force.version, differing.join(", "));
                tracing::error!(target: "relay", event = "configuration-violation", %version, parts, violations, "parts go by another configuration than the one in force");
            }
        }
    }

    /// Judges a text, and puts in force what it says where it is whole.
    async fn take(&self, text: &str, others: &Reload) {
        let in_force = self.in_force.borrow().clone();
        let version = Version::of(text);
        let with_fleet = others.operator.borrow().fleet.is_some();
        match judge_again(text, &in_force, &self.environment, with_fleet) {
            Ok(configuration) => self.put_in_force(Rc::new(configuration), others).await,
            Err(faults) => {
                let (count, in_force) = (faults.count(), in_force.version);
                let said = "the configuration stays as it was read before";
                tracing::error!(target: "relay", event = "reread-failed", %version, %in_force, count, "{said}: version {version}: {faults}");
            }
        }
    }

    /// All of it at once: nobody sees one part of it without the others.
    async fn put_in_force(&self, configuration: Rc<Configuration>, others: &Reload) {
        let before = self.in_force.send_replace(configuration.clone());
        let (front, share) = (&self.desk.front, &others.share);
        front.classes.replace(Rc::new(terms::path_classes(&configuration)));
        share.allow(configuration.sockets.min(self.descriptors));
        share.memory.allow(configuration.memory(self.may_hand_over));
        let pool = terms::pool(&configuration, share.door());
        front.pool.retune(pool);
        front.pipelines.retune(pool.keepalive, pool.connect_timeout);
        others.beside.deal_by(terms::sharing(&configuration));
        if self.desk.roles.serves() {
            let retuning = Retuning {
                settings: &configuration.settings,
                classes: &configuration.classes,
                kinds: &configuration.names.kinds,
                moved: Moved::between(&before.names, &configuration.names),
                journal_bytes: self.rooms.journal(&configuration),
            };
            self.desk.act(|core, now| core.retune(now, &retuning));
            self.keeper.keep_configuration(&configuration);
        }
        if before.names != configuration.names {
            self.listing.restart();
        }
        let agent = configuration.discovery;
        if *front.agent.borrow() != agent {
            self.listing.forget_version();
        }
        front.agent.send_if_modified(|now| std::mem::replace(now, agent) != agent);
        let (version, was) = (configuration.version, before.version);
        let text = "the configuration was read again: discovery at";
        let at = agent.map_or("no address, its list stands".to_string(), |agent| agent.to_string());
        tracing::info!(target: "relay", event = "reread", %version, %was, "{text} {at}");
        if agent.is_none() && self.desk.roles.serves() {
            self.listing.learn(&configuration.known).await;
        }
    }
}

impl Reload {
    /// Keeps the operator's file that is in force, and what is to be kept later as soon as that can be done.
    pub fn keep(&self) {
        if let Some(keeper) = &self.keeper {
            keeper.keep(Name::Operator, self.operator.borrow().text.clone());
            spawn_local(keeper.clone().catch_up());
        }
    }

    /// Goes by all that is read again, in its order.
    pub async fn follow(self, mut rereads: UnboundedReceiver<Reread>, platform: Option<Rc<PlatformReload>>) {
        while let Some(reread) = rereads.recv().await {
            match (&platform, &reread.configuration) {
                (Some(platform), Some(Ok(text))) => platform.take(text, &self).await,
                (_, Some(Err(why))) => {
                    let text = "the configuration stays as it was read before";
                    tracing::error!(target: "relay", event = "reread-failed", "{text}: {why}");
                }
                _ => {}
            }
            let peers = platform.as_ref().map(|platform| platform.in_force.borrow().peers);
            let operator = reread.operator.map(|read| {
                read.and_then(|operator| allowed(operator, peers))
                    .and_then(|operator| self.applicable(operator))
            });
            match operator {
                Some(Ok(operator)) => self.put_in_force(&operator, platform.as_deref()),
                Some(Err(faults)) => {
                    let (text, count) =
                        ("the operator's file stays as it was read before", faults.lines().count());
                    let faults = faults.lines().collect::<Vec<_>>().join("; ");
                    tracing::error!(target: "operator", event = "operator-faulty", count, "{text}: {faults}");
                }
                None => {}
            }
        }
    }

    /// Refuses a file that cannot come into force whole while the process runs.
    fn applicable(&self, read: Operator) -> Result<Operator, String> {
        let sections = self.operator.borrow().needs_start(&read);
        let fault =
            |name| format!("section `{name}` differs from what is in force: only a start can change it");
        match sections.is_empty() {
            true => Ok(read),
            false => Err(sections.into_iter().map(fault).collect::<Vec<_>>().join("\n")),
        }
    }

    /// The log, admission, batching, and of SMPP its endpoints: all in which the files differ.
    fn put_in_force(&self, said: &Operator, platform: Option<&PlatformReload>) {
        self.operator.replace(said.clone());
        log::heed(said.log.clone());
        let closed = self.share.admit_by(said.admission.clone());
        if let Some(PlatformReload { desk, legs, .. }) = platform {
            legs.say(terms::refusal_text(said.admission.refusal));
            if desk.roles.serves() {
                desk.act(|core, now| core.set_batching(now, said.batching.clone()));
            }
        }
        if let Some((desk, config)) = self.beside.smpp().zip(said.smpp.as_ref()) {
            smpp::learn(&desk, config);
        }
        if platform.is_none_or(|platform| platform.desk.roles.serves()) {
            self.keeper.iter().for_each(|keeper| keeper.keep(Name::Operator, said.text.clone()));
        }
        let text = "the operator's file was read again";
        tracing::info!(target: "operator", event = "operator-reread", closed, "{text}: {closed} legs beyond its caps are closed");
    }
}

/// An operator's file that agrees with what the platform's settings allow.
pub(super) fn allowed(operator: Operator, peers: Option<bool>) -> Result<Operator, String> {
    operator.fleet.as_ref().map_or(Ok(()), |fleet| fleet.allowed(peers))?;
    Ok(operator)
}

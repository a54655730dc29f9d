//! The SMPP front: ESMEs bind to us and submit, we bind to SMSCs and submit there. The same core decides
//! and the same journal remembers; the one final answer of a message is its delivery receipt.

mod bind;
mod carry;
pub mod config;
mod cut;
mod esme;
mod link;
mod open_submits;
mod patience;
mod receipt;
mod session;
mod smsc;
mod submission;
mod submits;

use crate::routing::core::{Carried, Ended};
use crate::routing::desk::Passage;
use crate::routing::{Desk, Endpoint, EndpointId, Front, TransactionNo};
use crate::transport::network::{Listen, Net};
use crate::transport::Door;
use bytes::{Bytes, BytesMut};
use config::SmppConfig;
use open_submits::OpenSubmits;
use rusmpp::decode::DecodeWithLength;
use rusmpp::pdus::SubmitSm;
use rusmpp::values::MCDeliveryReceipt;
use session::Session;
use smsc::Binds;
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::timeout;

/// An ESME answers our unbind within this time, or its session is closed.
const UNBIND_WITHIN: Duration = Duration::from_millis(500);

/// Who may bind to us, and what we owe it.
pub struct Account {
    config: config::Account,
    binds: Cell<usize>,
    owed: RefCell<VecDeque<TransactionNo>>,
    more: Notify,
}

pub struct Smpp {
    pub config: SmppConfig,
    accounts: Vec<Rc<Account>>,
    binds: RefCell<HashMap<String, Rc<Binds>>>,
    /// The binds by the numbers under which the core knows them.
    used: RefCell<HashMap<EndpointId, Rc<Binds>>>,
    sessions: RefCell<Vec<Rc<Session>>>,
    open_submits: Rc<OpenSubmits>,
    net: Net,
}

impl Smpp {
    pub fn new(config: SmppConfig, net: Net) -> Smpp {
        let account = |a: &config::Account| {
            let (binds, owed, more) = (Cell::new(0), RefCell::default(), Notify::new());
            Rc::new(Account { config: a.clone(), binds, owed, more })
        };
        let front = Smpp {
            accounts: config.accounts.iter().map(account).collect(),
            binds: RefCell::default(),
            used: RefCell::default(),
            sessions: RefCell::default(),
            open_submits: Rc::default(),
            net,
            config,
        };
        front.know_carriers(&front.config);
        front
    }

    fn know_carriers(&self, config: &SmppConfig) {
        let mut binds = self.binds.borrow_mut();
        for c in &config.carriers {
            match binds.get(&c.name) {
                Some(known) => known.update(c.clone()),
                None => {
                    let new = Binds::new(self.net.clone(), config.times, config.max_pdu, c.clone());
                    binds.insert(c.name.clone(), new);
                }
            }
        }
    }

    pub fn sessions_open(&self) -> usize {
        self.sessions.borrow().len()
    }

    /// The binds to an SMSC, by which the core's endpoint is known from now on.
    fn binds_to(&self, hop: &Endpoint) -> Option<Rc<Binds>> {
        let binds = self.binds.borrow().get(&hop.name).cloned()?;
        self.used.borrow_mut().insert(hop.id, binds.clone());
        Some(binds)
    }

    fn account(&self, system_id: &str) -> Option<Rc<Account>> {
        self.accounts.iter().find(|a| a.config.system_id == system_id).cloned()
    }
}

/// The submit in a body as it came.
fn submit_of(body: &Bytes) -> Option<SubmitSm> {
    let mut rest = BytesMut::from(&body[..]);
    let len = rest.len();
    SubmitSm::decode(&mut rest, len).ok().map(|(submit, _)| submit)
}

impl Front for Smpp {
    const NAME: &'static str = "smpp";

    async fn carry(&self, passage: Passage<'_, Self>) -> Carried {
        carry::carry(self, passage).await
    }

    fn ended(&self, desk: &Rc<Desk<Self>>, ended: Vec<Ended>) {
        for Ended { no, .. } in ended {
            // The ESME knows nothing of it before its submit is answered.
            if desk.is_unheard(no) {
                continue;
            }
            let told = desk.see(|core| {
                let t = core.transaction(no)?;
                Some((self.account(&t.owner), wanted(&submit_of(&t.body)?, receipt::state(t, t.deadline).1)))
            });
            match told {
                Some((Some(account), asked)) if asked || !account.config.receipts_as_asked => {
                    account.owed.borrow_mut().push_back(no);
                    account.more.notify_one();
                }
                Some((Some(_), _)) => desk.act(|core, now| core.acknowledged(now, no)),
                Some((None, _)) => {
                    tracing::warn!(target: "smpp", event = "owed-to-nobody", no, "owed to no known account");
                }
                None => {}
            }
        }
    }

    fn distrust(&self, endpoint: EndpointId) {
        if let Some(binds) = self.used.borrow().get(&endpoint) {
            binds.close_idle();
        }
    }
}

/// Whether the ESME asked for a receipt of this end.
fn wanted(submit: &SubmitSm, state: &str) -> bool {
    use MCDeliveryReceipt::*;
    let delivered = state == "DELIVRD";
    match submit.registered_delivery.mc_delivery_receipt() {
        NoMcDeliveryReceiptRequested => false,
        McDeliveryReceiptRequestedWhereFinalDeliveryOutcomeIsFailure => !delivered,
        McDeliveryReceiptRequestedWhereFinalDeliveryOutcomeIsSuccess => delivered,
        _ => true,
    }
}

/// Lets ESMEs in, as far as there is room for them.
pub async fn accept(desk: Rc<Desk<Smpp>>, door: Rc<Door>, listener: Box<dyn Listen>) {
    loop {
        let (stream, entrant) = door.next(&*listener, &[]).await;
        if desk.front.sessions_open() >= desk.front.config.max_sessions {
            continue;
        }
        let (desk, door) = (desk.clone(), door.clone());
        spawn_local(async move {
            let stream = tokio::select! {
                stream = door.introduce(&entrant, stream, &[]) => stream,
                () = entrant.evicted() => None,
            };
            if let Some(stream) = stream {
                esme::serve(desk, stream, entrant).await;
            }
        });
    }
}

/// Takes in a file that was read again: carriers, and whether they are leaving.
pub fn learn(desk: &Rc<Desk<Smpp>>, config: &SmppConfig) {
    desk.front.know_carriers(config);
    desk.act(|core, now| core.learn(now, &config.route_news()));
}

/// Says goodbye to both sides.
pub async fn part(desk: &Rc<Desk<Smpp>>, within: Duration) {
    let sessions: Vec<Rc<Session>> = desk.front.sessions.borrow().clone();
    for session in sessions {
        let answered_within = within.saturating_sub(UNBIND_WITHIN);
        spawn_local(async move { session.unbind(answered_within, UNBIND_WITHIN).await });
    }
    let binds: Vec<Rc<Binds>> = desk.front.binds.borrow().values().cloned().collect();
    let parting: Vec<_> =
        binds.into_iter().map(|b| spawn_local(async move { b.part(within).await })).collect();
    for each in parting {
        timeout(within, each).await.ok();
    }
}

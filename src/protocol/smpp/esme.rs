//! Caller legs of the SMPP front: ESMEs bind to us, submit, and get a receipt for each message.

use super::link::{self, Heard, Link};
use super::session::Session;
use super::submits::{self, Refusal, Submitter};
use super::{receipt, Account, Smpp};
use crate::admission::Deed;
use crate::routing::{Desk, TransactionNo};
use crate::transport::door::Entrant;
use crate::transport::Stream;
use rusmpp::pdus::{BindReceiverResp, BindTransceiverResp, BindTransmitterResp, QuerySm, QuerySmResp};
use rusmpp::types::COctetString;
use rusmpp::values::{InterfaceVersion, MessageState};
use rusmpp::{Command, CommandId, CommandStatus, Pdu};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::task::{spawn_local, JoinHandle};
use tokio::time::{sleep, sleep_until, Instant};

/// After a receipt was not accepted it is offered again no sooner.
const OFFER_AGAIN: Duration = Duration::from_secs(1);

/// What a leg is bound as.
struct Bound {
    account: Rc<Account>,
    submits: bool,
    offers: Option<JoinHandle<()>>,
}

impl Drop for Bound {
    fn drop(&mut self) {
        self.account.binds.set(self.account.binds.get() - 1);
        if let Some(offers) = &self.offers {
            offers.abort();
        }
    }
}

/// Serves one leg to its end.
pub async fn serve(desk: Rc<Desk<Smpp>>, stream: Stream, entrant: Rc<Entrant>) {
    let front = &desk.front;
    let (link, mut reader) = link::open(stream, front.config.max_pdu);
    let session = Session::new(link.clone());
    front.sessions.borrow_mut().push(session.clone());
    let times = front.config.times;
    let watching = spawn_local(link.clone().watch(times.enquire, times.response));
    let bind_by = Instant::now() + times.response;
    let mut bound: Option<Bound> = None;
    // The sequence number of its unbind, which is answered behind all submits.
    let mut unbind: Option<u32> = None;
    loop {
        let heard = tokio::select! {
            heard = link.hear(&mut reader) => heard,
            () = session.all_answered(), if unbind.is_some() => None,
            () = sleep_until(bind_by), if bound.is_none() => {
                entrant.deed(Deed::Junk);
                None
            }
            // Not once it is bound, unless a cap was lowered.
            () = entrant.evicted() => None,
        };
        let Some(heard) = heard else { break };
        let (command, body) = match heard {
            Heard::Request(command, body) => (command, body),
            Heard::Bad { sequence, status } => {
                entrant.deed(Deed::Junk);
                link.answer(sequence, status, Pdu::GenericNack).await;
                continue;
            }
        };
        let sequence = command.sequence_number();
        match (command.id(), command.pdu()) {
            (_, Some(Pdu::Unbind)) => {
                unbind.get_or_insert(sequence);
            }
            (_, Some(Pdu::EnquireLink)) => {
                link.answer(sequence, CommandStatus::EsmeRok, Pdu::EnquireLinkResp).await;
            }
            (
                CommandId::BindTransmitter | CommandId::BindReceiver | CommandId::BindTransceiver,
                Some(pdu),
            ) => {
                let status = match bound {
                    Some(_) => Err(CommandStatus::EsmeRalybnd),
                    None => bind(&desk, &link, pdu).map(|b| bound = Some(b)),
                };
                match &status {
                    // The account vouches for whoever is on the leg.
                    Ok(()) => entrant.vouch(),
                    Err(CommandStatus::EsmeRalybnd | CommandStatus::EsmeRbindfail) => {}
                    Err(_) => entrant.deed(Deed::Junk),
                }
                let answer = bind_answer(command.id(), &front.config.system_id);
                link.answer(sequence, status.err().unwrap_or(CommandStatus::EsmeRok), answer).await;
            }
            (CommandId::SubmitSm, Some(Pdu::SubmitSm(submit))) => match &bound {
                Some(Bound { account, submits: true, .. }) if unbind.is_none() => {
                    let (desk, session, entrant) = (&desk, &session, &entrant);
                    Submitter { desk, session, account, entrant }.take(sequence, submit, body).await;
                }
                _ => submits::refuse(&session, sequence, Refusal::NotBound).await,
            },
            (CommandId::QuerySm, Some(Pdu::QuerySm(query))) => match &bound {
                Some(b) if b.submits => answer_query(&desk, &link, &b.account, sequence, query).await,
                _ => {
                    link.answer(sequence, CommandStatus::EsmeRinvbndsts, QuerySmResp::default()).await;
                }
            },
            // A body that is missing altogether is a bad length; the rest is not offered here.
            (id, None) if id != CommandId::GenericNack => {
                link.answer(sequence, CommandStatus::EsmeRinvcmdlen, Pdu::GenericNack).await;
            }
            _ => {
                link.answer(sequence, CommandStatus::EsmeRinvcmdid, Pdu::GenericNack).await;
            }
        }
    }
    if let Some(sequence) = unbind {
        link.answer(sequence, CommandStatus::EsmeRok, Pdu::UnbindResp).await;
    }
    watching.abort();
    link.close();
    front.sessions.borrow_mut().retain(|other| !Rc::ptr_eq(other, &session));
}

fn bind_answer(id: CommandId, system_id: &str) -> Pdu {
    let system_id = COctetString::from_string(system_id.to_string()).unwrap_or_default();
    let version = Some(InterfaceVersion::Smpp3_4);
    match id {
        CommandId::BindReceiver => BindReceiverResp::new(system_id, version).into(),
        CommandId::BindTransmitter => BindTransmitterResp::new(system_id, version).into(),
        _ => BindTransceiverResp::new(system_id, version).into(),
    }
}

fn bind(desk: &Rc<Desk<Smpp>>, link: &Rc<Link>, pdu: &Pdu) -> Result<Bound, CommandStatus> {
    let (system_id, password, submits, receives) = match pdu {
        Pdu::BindTransmitter(b) => (b.system_id.as_str(), b.password.as_str(), true, false),
        Pdu::BindReceiver(b) => (b.system_id.as_str(), b.password.as_str(), false, true),
        Pdu::BindTransceiver(b) => (b.system_id.as_str(), b.password.as_str(), true, true),
        _ => return Err(CommandStatus::EsmeRinvcmdid),
    };
    let Some(account) = desk.front.account(system_id) else { return Err(CommandStatus::EsmeRinvsysid) };
    if account.config.password != password {
        return Err(CommandStatus::EsmeRinvpaswd);
    }
    if account.binds.get() >= account.config.max_binds {
        return Err(CommandStatus::EsmeRbindfail);
    }
    account.binds.set(account.binds.get() + 1);
    let offers = receives.then(|| spawn_local(offer_receipts(desk.clone(), link.clone(), account.clone())));
    Ok(Bound { account, submits, offers })
}

async fn answer_query(desk: &Rc<Desk<Smpp>>, link: &Link, account: &Account, sequence: u32, query: &QuerySm) {
    let now = desk.clock.now();
    let state = desk.see(|core| {
        let id = query.message_id.as_str();
        let t = core.find(id).filter(|t| t.owner == account.config.system_id)?;
        // An end whose record is not written is unknown to a process that follows.
        let is_told = core.may_tell_end_of(id);
        Some((if is_told { receipt::state(t, now).0 } else { MessageState::Enroute }, t.reason))
    });
    let Some((state, reason)) = state else {
        link.answer(sequence, CommandStatus::EsmeRqueryfail, QuerySmResp::default()).await;
        return;
    };
    let answer = QuerySmResp::new(query.message_id.clone(), Default::default(), state, reason.min(255) as u8);
    link.answer(sequence, CommandStatus::EsmeRok, answer).await;
}

/// Offers the account's receipts on this leg, a window of them at once, until the leg ends.
async fn offer_receipts(desk: Rc<Desk<Smpp>>, link: Rc<Link>, account: Rc<Account>) {
    let window = Arc::new(Semaphore::new(account.config.window));
    while let Ok(place) = window.clone().acquire_owned().await {
        let no = loop {
            // Taken and passed on without a pause: an end of this task in between would lose it.
            let next = account.owed.borrow_mut().pop_front();
            match next {
                Some(no) => break no,
                None => account.more.notified().await,
            }
        };
        let (desk, link, account) = (desk.clone(), link.clone(), account.clone());
        spawn_local(async move {
            offer_one(&desk, &link, &account, no).await;
            drop(place);
        });
    }
}

/// A receipt stays owed until the ESME has accepted it.
async fn offer_one(desk: &Rc<Desk<Smpp>>, link: &Rc<Link>, account: &Account, no: TransactionNo) {
    account.more.notify_one();
    let now = desk.clock.now();
    let pdu = desk.see(|core| {
        let t = core.transaction(no)?;
        Some(receipt::receipt(t, &super::submit_of(&t.body)?, now))
    });
    let Some(pdu) = pdu else { return };
    match link.request(pdu, desk.front.config.times.response).await {
        Some(answer) if accepted(&answer) => return desk.act(|core, now| core.acknowledged(now, no)),
        Some(_) => sleep(OFFER_AGAIN).await,
        None => {}
    }
    account.owed.borrow_mut().push_front(no);
    account.more.notify_one();
}

fn accepted(answer: &Command) -> bool {
    answer.status() == CommandStatus::EsmeRok
}

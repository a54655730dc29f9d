//! Caller legs of the SMPP front: ESMEs bind to us, submit, and get a receipt for each message.

use super::link::{self, Heard, Link};
use super::{receipt, Account, Smpp};
use crate::admission::Deed;
use crate::routing::{Desk, Offer, Taken, TransactionNo};
use crate::transport::door::Entrant;
use crate::transport::Stream;
use bytes::Bytes;
use rusmpp::pdus::{
    BindReceiverResp, BindTransceiverResp, BindTransmitterResp, QuerySm, QuerySmResp, SubmitSm, SubmitSmResp,
};
use rusmpp::types::COctetString;
use rusmpp::values::InterfaceVersion;
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
    front.legs.borrow_mut().push(link.clone());
    let times = front.config.times;
    let watching = spawn_local(link.clone().watch(times.enquire, times.response));
    let bind_by = Instant::now() + times.response;
    let mut bound: Option<Bound> = None;
    loop {
        let heard = tokio::select! {
            heard = link.hear(&mut reader) => heard,
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
                link.answer(sequence, CommandStatus::EsmeRok, Pdu::UnbindResp).await;
                break;
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
                Some(b) if b.submits => {
                    if take(&desk, &link, &b.account, sequence, submit, body).await {
                        entrant.deed(Deed::Good);
                    }
                }
                _ => {
                    answer_submit(&link, sequence, CommandStatus::EsmeRinvbndsts, "").await;
                }
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
    watching.abort();
    link.close();
    front.legs.borrow_mut().retain(|l| !Rc::ptr_eq(l, &link));
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

async fn answer_submit(link: &Link, sequence: u32, status: CommandStatus, id: &str) -> bool {
    let id = COctetString::from_string(id.to_string()).unwrap_or_default();
    link.answer(sequence, status, SubmitSmResp::builder().message_id(id).build()).await
}

/// Takes a message on, or says why not; true once it is. One whose answer could not be written is withdrawn: its ESME was
/// never told of it.
async fn take(
    desk: &Rc<Desk<Smpp>>,
    link: &Link,
    account: &Rc<Account>,
    sequence: u32,
    submit: &SubmitSm,
    body: Bytes,
) -> bool {
    let (status, id, no) = match offer(desk, account, submit, body) {
        Err(status) => (status, String::new(), None),
        Ok(offer) => {
            let id = offer.id.clone();
            match desk.act(|core, now| core.take(now, offer)) {
                Taken::On(no) => (CommandStatus::EsmeRok, id, Some(no)),
                Taken::Already => (CommandStatus::EsmeRok, id, None),
                Taken::Other => (CommandStatus::EsmeRsubmitfail, String::new(), None),
                Taken::Refused { full: true, .. } => (CommandStatus::EsmeRmsgqful, String::new(), None),
                Taken::Refused { .. } => (CommandStatus::EsmeRthrottled, String::new(), None),
                Taken::Failed | Taken::UnknownClass => (CommandStatus::EsmeRsubmitfail, String::new(), None),
            }
        }
    };
    let heard = answer_submit(link, sequence, status, &id).await;
    if let Some(no) = no.filter(|_| !heard) {
        desk.act(|core, now| core.withdraw(now, no));
    }
    heard && status == CommandStatus::EsmeRok
}

fn offer(
    desk: &Desk<Smpp>,
    account: &Account,
    submit: &SubmitSm,
    body: Bytes,
) -> Result<Offer, CommandStatus> {
    let (front, now) = (&desk.front, desk.clock.now());
    if account.owed.borrow().len() >= account.config.max_owed {
        return Err(CommandStatus::EsmeRmsgqful);
    }
    if !submit.schedule_delivery_time.is_empty() {
        return Err(CommandStatus::EsmeRinvsched);
    }
    let address = submit.destination_addr.as_str();
    let dest = front.config.dest_of(address).ok_or(CommandStatus::EsmeRinvdstadr)?;
    let class = front.config.class_of(&account.config, submit.service_type.value().as_str());
    let time_left = match submit.validity_period.as_str() {
        "" => front.config.settings.classes.get(class).map_or(0, |c| c.deadline),
        text => receipt::until(text, now).ok_or(CommandStatus::EsmeRinvexpiry)?.saturating_sub(now),
    };
    Ok(Offer {
        id: front.next_id(),
        class: front.config.classes.get(class).map_or(String::new(), |class| class.name.clone()),
        dest,
        key: Some(address.to_string()),
        idempotency: None,
        time_left,
        body,
        owner: account.config.system_id.clone(),
    })
}

async fn answer_query(desk: &Rc<Desk<Smpp>>, link: &Link, account: &Account, sequence: u32, query: &QuerySm) {
    let now = desk.clock.now();
    let state = desk.see(|core| {
        let t = core.find(query.message_id.as_str()).filter(|t| t.owner == account.config.system_id)?;
        Some((receipt::state(t, now).0, t.reason))
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
async fn offer_one(desk: &Rc<Desk<Smpp>>, link: &Link, account: &Account, no: TransactionNo) {
    account.more.notify_one();
    let now = desk.clock.now();
    let pdu = desk.see(|core| {
        let t = core.transaction(no)?;
        Some(receipt::receipt(t, &super::submit_of(&t.body)?, now))
    });
    let Some(pdu) = pdu else { return };
    match link.request(pdu, desk.front.config.times.response).await {
        Ok(answer) if accepted(&answer) => return desk.act(|core, now| core.acknowledged(now, no)),
        Ok(_) => sleep(OFFER_AGAIN).await,
        Err(_) => {}
    }
    account.owed.borrow_mut().push_front(no);
    account.more.notify_one();
}

fn accepted(answer: &Command) -> bool {
    answer.status() == CommandStatus::EsmeRok
}

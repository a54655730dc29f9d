//! Submits of ESMEs: decided on in the order in which they come, answered as their records are written.

use super::config::SmppConfig;
use super::session::{PendingSubmit, Session};
use super::{receipt, Account, Smpp};
use crate::admission::Deed;
use crate::routing::core::Ended;
use crate::routing::{Accepted, Desk, Front, Offer, Offered, Taken, TransactionNo};
use crate::transport::door::Entrant;
use bytes::Bytes;
use rusmpp::pdus::{SubmitSm, SubmitSmResp};
use rusmpp::types::COctetString;
use rusmpp::CommandStatus;
use std::cell::Cell;
use std::rc::Rc;
use tokio::task::spawn_local;
use uuid::Uuid;

/// Why a submit is not taken on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The session is not bound as one that submits.
    NotBound,
    /// The queue is full, or too many receipts are owed.
    Full,
    /// Too many submits wait for their answers, or it could not go before the relay ends.
    Throttled,
    /// It cannot be delivered.
    Failed,
    /// It names a time at which it is to go: that is not offered.
    Scheduled,
    /// No destination serves its address.
    NoDestination,
    /// Its validity period cannot be read.
    BadValidity,
}

impl Refusal {
    fn status(self) -> CommandStatus {
        match self {
            Refusal::NotBound => CommandStatus::EsmeRinvbndsts,
            Refusal::Full => CommandStatus::EsmeRmsgqful,
            Refusal::Throttled => CommandStatus::EsmeRthrottled,
            Refusal::Failed => CommandStatus::EsmeRsubmitfail,
            Refusal::Scheduled => CommandStatus::EsmeRinvsched,
            Refusal::NoDestination => CommandStatus::EsmeRinvdstadr,
            Refusal::BadValidity => CommandStatus::EsmeRinvexpiry,
        }
    }
}

/// The answer to a submit. Status 0 takes the proof that the message is in the journal.
struct SubmitAnswer {
    status: CommandStatus,
    id: String,
}

impl SubmitAnswer {
    fn accepted(id: String, _proof: Accepted) -> SubmitAnswer {
        SubmitAnswer { status: CommandStatus::EsmeRok, id }
    }

    fn refused(why: Refusal) -> SubmitAnswer {
        SubmitAnswer { status: why.status(), id: String::new() }
    }

    /// Writes it; whether all of it was written. `is_begun` tells meanwhile from when on the ESME may have it.
    async fn send(self, session: &Session, sequence: u32, is_begun: Rc<Cell<bool>>) -> bool {
        let id = COctetString::from_string(self.id).unwrap_or_default();
        let response = SubmitSmResp::builder().message_id(id).build();
        session.link.answer_noted(sequence, self.status, response, is_begun).await
    }
}

/// What a submit is taken on for: the session that it came on, and who is bound there.
pub struct Submitter<'a> {
    pub desk: &'a Rc<Desk<Smpp>>,
    pub session: &'a Rc<Session>,
    pub account: &'a Account,
    pub entrant: &'a Rc<Entrant>,
}

impl Submitter<'_> {
    /// Has a submit decided on; its answer follows once its record is written, while the session is heard on.
    pub async fn take(&self, sequence: u32, submit: &SubmitSm, body: Bytes) {
        let Some(pending) = self.session.pending_submit() else {
            return refuse(self.session, sequence, Refusal::Throttled).await;
        };
        let offer = match self.offer(submit, body) {
            Ok(offer) => offer,
            Err(why) => return refuse(self.session, sequence, why).await,
        };
        let id = offer.id.clone();
        let submitted = Submitted {
            offered: self.desk.offer(offer),
            desk: self.desk.clone(),
            session: self.session.clone(),
            entrant: self.entrant.clone(),
            sequence,
            id,
            _pending: pending,
        };
        spawn_local(submitted.answer());
    }

    fn offer(&self, submit: &SubmitSm, body: Bytes) -> Result<Offer, Refusal> {
        let (config, account, now) = (&self.desk.front.config, self.account, self.desk.clock.now());
        if account.owed.borrow().len() >= account.config.max_owed {
            return Err(Refusal::Full);
        }
        if !submit.schedule_delivery_time.is_empty() {
            return Err(Refusal::Scheduled);
        }
        let address = submit.destination_addr.as_str();
        let dest = config.dest_of(address).ok_or(Refusal::NoDestination)?;
        let class = config.class_of(&account.config, submit.service_type.value().as_str());
        let time_left = match submit.validity_period.as_str() {
            "" => config.settings.classes.get(class).map_or(0, |c| c.deadline),
            text => receipt::until(text, now).ok_or(Refusal::BadValidity)?.saturating_sub(now),
        };
        Ok(Offer {
            id: message_id(),
            class: class_name(config, class),
            dest,
            key: Some(address.to_string()),
            idempotency: None,
            time_left,
            body,
            owner: account.config.system_id.clone(),
        })
    }
}

/// A message id that no other message has, whatever the clock says and however often the relay was started.
fn message_id() -> String {
    Uuid::new_v4().simple().to_string()
}

fn class_name(config: &SmppConfig, class: usize) -> String {
    config.classes.get(class).map_or(String::new(), |class| class.name.clone())
}

/// Says why a submit is not taken on.
pub async fn refuse(session: &Session, sequence: u32, why: Refusal) {
    SubmitAnswer::refused(why).send(session, sequence, Rc::default()).await;
}

/// A submit that was decided on and waits for its record.
struct Submitted {
    offered: Offered<Smpp>,
    desk: Rc<Desk<Smpp>>,
    session: Rc<Session>,
    entrant: Rc<Entrant>,
    sequence: u32,
    id: String,
    _pending: PendingSubmit,
}

impl Submitted {
    /// Answers it once its record is written or given up. Where the session ends before, or the answer cannot be written, the
    /// message is withdrawn: its ESME has never heard of it.
    async fn answer(self) {
        let no = self.offered.number();
        let taken = tokio::select! {
            taken = self.offered.answer() => taken,
            () = self.session.link.ended() => return self.withdraw(no),
        };
        let (answer, is_accepted) = match taken {
            Taken::On(accepted) => (SubmitAnswer::accepted(self.id.clone(), accepted), true),
            refused => (SubmitAnswer::refused(refusal(refused)), false),
        };
        let is_heard = answer.send(&self.session, self.sequence, self.offered.being_sent()).await;
        if !is_accepted {
            return;
        }
        if !is_heard {
            return self.withdraw(no);
        }
        self.entrant.deed(Deed::Good);
        self.offered.heard();
        offer_held_back_receipt(&self.desk, no);
    }

    /// Withdraws the message; one that has its end by now needs no receipt.
    fn withdraw(self, no: Option<TransactionNo>) {
        let desk = self.desk.clone();
        drop(self);
        let is_ended = |no: &TransactionNo| desk.see(|core| core.transaction(*no)?.ending).is_some();
        if let Some(no) = no.filter(is_ended) {
            desk.act(|core, now| core.acknowledged(now, no));
        }
    }
}

/// Why an offer was not taken on.
fn refusal(taken: Taken) -> Refusal {
    match taken {
        Taken::Refused { full: true, .. } => Refusal::Full,
        Taken::Refused { .. } => Refusal::Throttled,
        // Ids are ours and new for each submit: one that is known is another message's.
        Taken::On(_) | Taken::Already | Taken::Other | Taken::Failed | Taken::UnknownClass => Refusal::Failed,
    }
}

/// The end of a message that came before its submit was answered is told now.
fn offer_held_back_receipt(desk: &Rc<Desk<Smpp>>, no: Option<TransactionNo>) {
    let Some(no) = no else { return };
    let is_told = desk.see(|core| {
        core.may_tell_end(no) && core.transaction(no).is_some_and(|message| message.ending.is_some())
    });
    if is_told {
        desk.front.ended(desk, vec![Ended { no, decided: desk.clock.now() }]);
    }
}

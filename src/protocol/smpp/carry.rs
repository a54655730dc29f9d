//! Carries a call to an SMSC: one submit, waited for until it is over.

use super::open_submits::SubmitPermit;
use super::patience::patience;
use super::submission::{Over, Submission};
use super::{receipt, submit_of, Smpp};
use crate::interface::{Nanos, Outcome, Repeat};
use crate::routing::core::{Carried, Letter};
use crate::routing::desk::Passage;
use crate::routing::Reply;
use rusmpp::pdus::SubmitSm;
use rusmpp::values::RegisteredDelivery;
use std::pin::pin;
use std::time::Duration;
use tokio::time::sleep;

/// Carries the one message of a call.
pub async fn carry(front: &Smpp, passage: Passage<'_, Smpp>) -> Carried {
    let Some(binds) = front.binds_to(passage.hop) else { return passage.all(Outcome::NotSent) };
    let longest = passage.call.attempts.iter().map(|attempt| attempt.timeout).max().unwrap_or(0);
    let from = passage.desk.clock.now();
    let seat = tokio::select! {
        seat = binds.seat() => seat,
        () = passage.cancelled() => return passage.all(Outcome::NotSent),
        () = sleep(Duration::from_nanos(longest)) => return passage.all(Outcome::NotSent),
    };
    let Some(seat) = seat else { return passage.all(Outcome::NoConnection) };
    // One submit a call: each message is a call of its own here.
    let Some(letter) = passage.begin(seat.via()).await.into_iter().next() else {
        return Carried::default();
    };
    // While its record was written the SMSC may have become another one.
    let submit = submit_for(&passage, &letter).filter(|_| !seat.is_leaving());
    let Some((submit, permit)) = submit.zip(permit(front, &passage, &letter)) else {
        return vec![(letter.attempt, Reply::Ended(Outcome::NotSent))].into();
    };
    let timeout = longest.saturating_sub(passage.desk.clock.now() - from).max(1);
    let submission = Submission::begin(seat, permit, submit.into());
    until_over(&passage, &letter, submission, timeout).await.carried(&letter)
}

/// Waits until a submit is over. One that was not written in time, or whose message needs it no more, is taken back.
async fn until_over(
    passage: &Passage<'_, Smpp>,
    letter: &Letter,
    mut submission: Submission,
    timeout: Nanos,
) -> Over {
    let (repeat, left) = rules(passage, letter);
    let mut overdue = pin!(sleep(Duration::from_nanos(timeout)));
    let mut waited = pin!(sleep(Duration::from_nanos(patience(repeat, timeout, left))));
    let mut is_overdue = false;
    loop {
        let taken_back = tokio::select! {
            over = submission.over() => return over,
            () = &mut overdue, if !is_overdue => {
                is_overdue = true;
                submission.check_link();
                submission.take_back(Outcome::NoConnection)
            }
            () = &mut waited, if is_overdue => {
                submission.give_up(Outcome::TimedOut);
                return submission.over().await;
            }
            () = passage.cancelled() => submission.take_back(Outcome::NotSent).map_err(|mut submission| {
                submission.give_up(Outcome::Cancelled);
                submission
            }),
            () = passage.ended() => submission.take_back(Outcome::NotSent),
        };
        submission = match taken_back {
            Ok(over) => return over,
            Err(submission) => submission,
        };
    }
}

/// How a message may be repeated, and the time that it has left.
fn rules(passage: &Passage<'_, Smpp>, letter: &Letter) -> (Repeat, Nanos) {
    let (now, no) = (passage.desk.clock.now(), letter.attempt.transaction);
    passage.desk.see(|core| {
        let left = core.transaction(no).map_or(0, |message| message.deadline.saturating_sub(now));
        (core.repeat_of(no).unwrap_or(Repeat::Unsafe), left)
    })
}

/// Leave to submit a message; a second one beside the first is a fault of ours, and not sent.
fn permit(front: &Smpp, passage: &Passage<'_, Smpp>, letter: &Letter) -> Option<SubmitPermit> {
    let permit = front.open_submits.permit(letter.attempt.transaction);
    if permit.is_none() {
        let (id, hop) = (&letter.id, &passage.hop.name);
        tracing::error!(target: "smpp", event = "second-submit-violation", id, hop, "a submit of this message is out");
    }
    permit
}

/// What goes to the SMSC. The receipt is ours to give, and a span of validity would be counted anew from the SMSC's own clock.
fn submit_for(passage: &Passage<'_, Smpp>, letter: &Letter) -> Option<SubmitSm> {
    let mut submit = submit_of(&letter.body)?;
    submit.registered_delivery = RegisteredDelivery::default();
    if !submit.validity_period.is_empty() {
        let no = letter.attempt.transaction;
        let deadline = passage.desk.see(|core| core.transaction(no).map(|message| message.deadline));
        submit.validity_period = deadline.map(receipt::absolute).unwrap_or_default();
    }
    Some(submit)
}

//! What the answer to a call means for each of its messages, and for its endpoint.

use super::super::hook;
use crate::interface::{Nanos, Outcome};
use crate::routing::core::{Carried, Letter};
use crate::routing::Reply;
use crate::settlement::{settle, settle_among, Certainty, Said};
use crate::transport::answer::{Answer, Answered};
use crate::transport::beginning::Beginning;
use hyper::StatusCode;
use std::iter;
use std::rc::Rc;

/// What answers say of each message of a call, and how far each can be believed.
type SaidByAnswers = Vec<(Vec<Said>, Certainty)>;

/// What an answer means that is known to be that of the call, and has come as far as it has to.
pub(super) fn proven(answer: &Answer, letters: &[Letter]) -> Carried {
    let Answer { status, headers, .. } = answer;
    let is_batch = letters.len() > 1;
    let said = said_by(answer, letters);
    let may_be_final = |said: &Said| said.may_be_final(Certainty::Proven);
    let attempts = letters.iter().map(|letter| letter.attempt);
    let finals = attempts.clone().zip(&said).filter(|(_, said)| may_be_final(said));
    let finals = finals.map(|(attempt, _)| attempt).collect();
    let replies = said.iter().map(|said| settle(*said, Certainty::Proven, Outcome::Spoilt));
    let unread = matches!(*status, StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE);
    Carried {
        limit: hook::limit(headers),
        // A refusal of the whole call has the wait in its outcomes.
        wait: if is_batch && *status == StatusCode::OK { hook::wait(headers) } else { 0 },
        refused: unread && is_batch,
        finals,
        ..Carried::from(attempts.zip(replies).collect::<Vec<_>>())
    }
}

/// What an answer means that may be another call's, where each of those behind it may be the call's own. `otherwise`: what
/// became of the call where none of them tells.
pub(super) fn doubtful(answered: &Answered, otherwise: Outcome, letters: &[Letter]) -> Carried {
    let Answered { answer, later, begun, .. } = answered;
    let first = (said_by(answer, letters), Certainty::Doubtful);
    let said = iter::once(first).chain(said_behind(later, begun, letters)).collect();
    // A wait binds also where nothing else of an answer does.
    let waits = iter::once(answer).chain(later).map(|answer| wait_told(answer, letters));
    Carried { wait: waits.max().unwrap_or(0), ..settled_among(letters, &said, otherwise) }
}

/// What follows from as much of an answer as has come, and from what came behind it. `otherwise`: what became of the call
/// where that does not tell.
pub(super) fn cut_off(
    beginning: &Beginning,
    later: &[Rc<Answer>],
    rest: &Beginning,
    otherwise: Outcome,
    letters: &[Letter],
) -> Carried {
    let first = (hook::said_in_part(beginning, letters), Certainty::Cut);
    let said = iter::once(first).chain(said_behind(later, rest, letters)).collect();
    settled_among(letters, &said, otherwise)
}

fn said_by(answer: &Answer, letters: &[Letter]) -> Vec<Said> {
    hook::said(answer.status, &answer.headers, &answer.body, letters)
}

/// What is said behind an answer: by others that came whole, and by the beginning of one more.
fn said_behind(later: &[Rc<Answer>], begun: &Beginning, letters: &[Letter]) -> SaidByAnswers {
    let whole = later.iter().map(|answer| (said_by(answer, letters), Certainty::Doubtful));
    whole.chain(iter::once((hook::said_in_part(begun, letters), Certainty::Cut))).collect()
}

/// What follows for each message of a call, where any of these answers may be the call's.
fn settled_among(letters: &[Letter], said: &SaidByAnswers, otherwise: Outcome) -> Carried {
    let mut carried = Carried::default();
    for (place, letter) in letters.iter().enumerate() {
        let of_this = said.iter().map(|(said, certainty)| (said[place], *certainty));
        if of_this.clone().any(|(said, certainty)| said.may_be_final(certainty)) {
            carried.finals.push(letter.attempt);
        }
        carried.replies.push((letter.attempt, settle_among(of_this, otherwise)));
    }
    carried
}

/// The wait that an answer tells: with a refusal of the whole call, or with the ends of a batch.
fn wait_told(answer: &Answer, letters: &[Letter]) -> Nanos {
    let Answer { status, headers, .. } = answer;
    let is_refusal = matches!(hook::reply(*status, headers), Reply::Ended(Outcome::Full { .. }));
    let is_ends = *status == StatusCode::OK && letters.len() > 1;
    if is_refusal || is_ends {
        hook::wait(headers)
    } else {
        0
    }
}

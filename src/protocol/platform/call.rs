//! One request to an endpoint and its answer: what follows from it for the messages of the call.

use super::super::hook;
use super::intake::BODY_MOST;
use super::meaning;
use crate::attribution::Via;
use crate::attribution::{Doubt, Fingerprint, Verdict};
use crate::catalog::Endpoint;
use crate::interface::{Nanos, Outcome};
use crate::routing::core::{Carried, Letter};
use crate::routing::Reply;
use crate::transport::answer::{Answer, Answered};
use crate::transport::beginning::Beginning;
use crate::transport::connection::{read_body, Unsent, ANSWER_WITHIN, GIVEN_UP_WITHIN, HEARD_OUT_WITHIN};
use crate::transport::pool::Lease;
use crate::transport::tap::Tapped;
use crate::transport::Pool;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{HeaderMap, Request, StatusCode};
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// What came of one request.
pub(super) struct Exchanged {
    came: Came,
    rest: Rest,
}

/// What came in answer to a request.
enum Came {
    /// An answer that has come as far as it has to, and whether it is the one to this request.
    Answer(Answered),
    /// No answer, or a part of one: what follows from that.
    Cut(Carried),
    /// The endpoint has no room for the new connection, by an answer that was judged so.
    Crowded(Verdict),
}

/// What is left of an answer once it is known what it means.
enum Rest {
    /// Nothing: it has come whole.
    Nothing(Fingerprint),
    /// This body, which means nothing.
    Body(Incoming, Fingerprint),
    /// The line cannot be used again.
    Unusable,
}

/// Whether it is anybody's guess where an answer ends: what is left of it would pass as the next one.
fn ends_anywhere(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) && headers.contains_key(TRANSFER_ENCODING)
}

/// Sends one request and hears its answer. `writing` gets what tells how far it was written.
pub(super) async fn exchange(
    lease: &mut Lease,
    mut request: Request<Full<Bytes>>,
    len: usize,
    letters: &[Letter],
    writing: &RefCell<Option<Rc<Tapped>>>,
) -> Result<Exchanged, Unsent> {
    let (new, via) = (lease.waited().is_zero(), lease.via());
    if lease.is_last() {
        request.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    let Some(line) = lease.line() else { return Err(Unsent::Never) };
    // What the line said before is no beginning of this answer: a call longer than ANSWER_WITHIN was cut by it.
    let tap = line.tap();
    tap.listen_anew();
    writing.replace(Some(tap.clone()));
    let read = async {
        let response = line.send(request, len).await?;
        let (head, body) = response.into_parts();
        let print = Fingerprint::of_head(head.status, &head.headers);
        let by_head = line.exchanges.judge_head(&print);
        let ends_anywhere = ends_anywhere(&head.headers);
        let (status, headers) = (head.status, head.headers);
        if letters.len() == 1 && status == StatusCode::OK && by_head.is_known() {
            let answer = Answer { status, headers, body: Bytes::new() };
            let rest = if ends_anywhere { Rest::Unusable } else { Rest::Body(body, print) };
            return Ok(Exchanged { came: Came::Answer(Answered::new(answer, by_head, via)), rest });
        }
        // Only an answer that came whole can say that nothing has run.
        let body = read_body(body, BODY_MOST).await.ok_or(Unsent::Perhaps)?;
        let print = print.with_body(&body);
        let verdict = line.exchanges.judge_whole(&print);
        let rest = if ends_anywhere { Rest::Unusable } else { Rest::Nothing(print) };
        let came = match new && hook::no_room(status, &headers) {
            true => Came::Crowded(verdict),
            false => Came::Answer(Answered::new(Answer { status, headers, body }, verdict, via)),
        };
        Ok(Exchanged { came, rest })
    };
    let stuck = async {
        tap.begins().await;
        sleep(ANSWER_WITHIN).await;
    };
    tokio::select! {
        sent = read => sent,
        () = stuck => Err(Unsent::Perhaps),
    }
}

impl Exchanged {
    /// Where the answer is not known to be the call's, that one may be on its way: the call is given up, and what has still
    /// been said is heard first.
    pub(super) async fn heard_out(mut self, lease: &mut Lease) -> Exchanged {
        let Came::Answer(answered) = &mut self.came else { return self };
        let Some(line) = lease.line().filter(|_| !answered.verdict.is_known()) else { return self };
        line.hang_up(HEARD_OUT_WITHIN).await;
        (answered.later, answered.begun) = line.behind();
        self.rest = Rest::Unusable;
        self
    }
}

/// What is known of a call without a whole answer. The first line says enough where it says 200 and is known to be that
/// of this call's answer; else the call is given up, and what has still been said is heard.
pub(super) async fn unanswered(outcome: Outcome, lease: &mut Lease, letters: &[Letter]) -> Exchanged {
    let came = match first_line(lease).filter(|_| letters.len() == 1) {
        Some(verdict) => {
            let answer = Answer { status: StatusCode::OK, headers: HeaderMap::new(), body: Bytes::new() };
            Came::Answer(Answered::new(answer, verdict, lease.via_out()))
        }
        None => Came::Cut(given_up(outcome, lease, letters).await),
    };
    Exchanged { came, rest: Rest::Unusable }
}

/// Whether the first line of an answer has come that says 200, and is known to be of this call's answer.
fn first_line(lease: &mut Lease) -> Option<Verdict> {
    let line = lease.line()?;
    let status = line.beginning().line_status().filter(|status| *status == StatusCode::OK.as_u16())?;
    Some(line.exchanges.judge_status(status)).filter(|verdict| verdict.is_known())
}

/// What follows from as much of an answer as had come when its call was given up, or comes in the moment after.
async fn given_up(outcome: Outcome, lease: &mut Lease, letters: &[Letter]) -> Carried {
    let Some(line) = lease.line() else {
        return meaning::cut_off(&Beginning::Nothing, &[], &Beginning::Nothing, outcome, letters);
    };
    let has_begun = line.beginning() != Beginning::Nothing && outcome != Outcome::NoConnection;
    // Of a request that was not written whole there is no answer to come.
    if line.tap().is_request_written() {
        line.hang_up(GIVEN_UP_WITHIN).await;
    }
    let otherwise = if has_begun { Outcome::Spoilt } else { outcome };
    let (later, rest) = line.behind();
    meaning::cut_off(&line.beginning(), &later, &rest, otherwise, letters)
}

/// Gives the line back where it can be used again, and returns what may rest on the answer.
pub(super) fn conclude(
    exchanged: Exchanged,
    lease: Lease,
    endpoint: &Endpoint,
    letters: &[Letter],
    pool: &Rc<Pool>,
) -> Carried {
    let Exchanged { came, rest } = exchanged;
    let via = lease.via_out();
    let (mut carried, verdict) = match came {
        Came::Answer(answered) => {
            if answered.answer.status == StatusCode::OK && !answered.verdict.is_known() {
                lease.doubtful_success();
            }
            (admitted(&answered, Outcome::Doubtful, endpoint, letters, pool), Some(answered.verdict))
        }
        Came::Crowded(verdict) => {
            let crowded = Carried::each(letters, Reply::Ended(Outcome::Crowded));
            let carried = match is_admitted(&crowded, verdict, via.request, endpoint, pool) {
                true => crowded,
                false => Carried::each(letters, Reply::Ended(Outcome::Doubtful)),
            };
            pool.turned_away(endpoint.kind);
            (carried, Some(verdict))
        }
        Came::Cut(carried) => (carried, None),
    };
    carried.idle = Some(lease.waited().as_nanos() as Nanos);
    log_call(endpoint, letters, via, &carried, verdict);
    let says = |outcome| carried.replies.iter().any(|(_, reply)| reply.outcome() == outcome);
    match rest {
        Rest::Body(body, print) => match body.is_end_stream() {
            true => give_back(lease, &print.with_body(&[])),
            false => drop(spawn_local(drain(lease, body, print))),
        },
        // An answer that does not speak of all messages of its call leaves open whether another is to come.
        Rest::Nothing(print) if !says(Outcome::Spoilt) && !says(Outcome::Doubtful) => {
            give_back(lease, &print);
        }
        Rest::Nothing(_) | Rest::Unusable => {}
    }
    carried
}

/// What may rest on an answer: where it is not known to be the call's, one of those behind it may be. `otherwise`: what became
/// of the call where none of them tells.
pub(super) fn admitted(
    answered: &Answered,
    otherwise: Outcome,
    endpoint: &Endpoint,
    letters: &[Letter],
    pool: &Pool,
) -> Carried {
    let proven = meaning::proven(&answered.answer, letters);
    match is_admitted(&proven, answered.verdict, answered.via.request, endpoint, pool) {
        true => proven,
        false => meaning::doubtful(answered, otherwise, letters),
    }
}

/// Whether this may rest on an answer that was judged so.
fn is_admitted(
    carried: &Carried,
    verdict: Verdict,
    request: usize,
    endpoint: &Endpoint,
    pool: &Pool,
) -> bool {
    let mut audit = pool.audit.borrow_mut();
    audit.judged(verdict);
    let rests = carried.replies.iter().any(|(_, reply)| is_proof(reply));
    let is_violated = verdict.is_known() && rests && !audit.admits(Some(verdict), request);
    if is_violated {
        let hop = endpoint.name.as_str();
        tracing::error!(target: "routing", event = "attribution-violation", hop, ?verdict, request);
    }
    verdict.is_known() && !is_violated
}

/// Whether a reply says that nothing more is owed, or that the message never ran.
fn is_proof(reply: &Reply) -> bool {
    reply.settles() || reply.outcome().never_ran()
}

fn give_back(mut lease: Lease, answer: &Fingerprint) {
    lease.answered(answer);
    lease.give_back();
}

/// Reads the rest of an answer that means nothing, so that the line can be used again.
async fn drain(lease: Lease, body: Incoming, answer: Fingerprint) {
    if let Ok(Some(body)) = timeout(Duration::from_secs(1), read_body(body, BODY_MOST)).await {
        give_back(lease, &answer.with_body(&body));
    }
}

/// Tells in the log how a call ended, on which connection and as its how manyth request: at level debug, and where its
/// answer may be another call's as a warning.
pub(super) fn log_call(
    endpoint: &Endpoint,
    letters: &[Letter],
    Via { connection, request }: Via,
    carried: &Carried,
    verdict: Option<Verdict>,
) {
    let doubt = match verdict {
        Some(Verdict::Doubtful(doubt)) => Some(doubt).filter(|doubt| *doubt != Doubt::GivenUp),
        Some(Verdict::Known(_)) | None => None,
    };
    if doubt.is_none() && !tracing::enabled!(target: "messages", tracing::Level::DEBUG) {
        return;
    }
    let hop = endpoint.name.as_str();
    let ids: Vec<&str> = letters.iter().map(|l| l.id.as_str()).collect();
    let replies: Vec<&Reply> = carried.replies.iter().map(|(_, reply)| reply).collect();
    match doubt {
        Some(doubt) => {
            tracing::warn!(target: "routing", event = "answer-doubtful", hop, ?ids, connection, request, ?doubt, "an answer may be another call's");
        }
        None => {
            tracing::debug!(target: "messages", event = "call-ended", hop, ?ids, connection, request, ?replies, ?verdict);
        }
    }
}

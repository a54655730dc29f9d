//! One request to a next hop and its answer: what it means, and what may rest on it.

use super::super::hook;
use super::intake::BODY_MOST;
use crate::attribution::{Fingerprint, Proof, Verdict};
use crate::catalog::Endpoint;
use crate::interface::{Nanos, Outcome};
use crate::routing::core::{Carried, Letter};
use crate::routing::Reply;
use crate::transport::connection::{read_body, Unsent, ANSWER_WITHIN};
use crate::transport::pool::Lease;
use crate::transport::Pool;
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::{Body, Incoming};
use hyper::header::{HeaderValue, CONNECTION, CONTENT_LENGTH, TRANSFER_ENCODING};
use hyper::{HeaderMap, Request, StatusCode};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// What came of one request.
pub(super) struct Exchanged {
    carried: Carried,
    /// Whether it is the answer to this request; none where there is no answer.
    verdict: Option<Verdict>,
    status: Option<StatusCode>,
    rest: Rest,
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

/// What an answer says of a call that came whole.
pub(super) fn meant(status: StatusCode, headers: &HeaderMap, body: &Bytes, letters: &[Letter]) -> Carried {
    let each = |reply| letters.iter().map(|l| (l.attempt, reply)).collect();
    let several = letters.len() > 1;
    let unread = matches!(status, StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE);
    Carried {
        replies: match status {
            StatusCode::OK if several => hook::replies(headers, body, letters),
            status => each(hook::reply(status, headers)),
        },
        limit: hook::limit(headers),
        wait: if status == StatusCode::OK && several { hook::wait(headers) } else { 0 },
        refused: unread && several,
        ..Carried::default()
    }
}

/// Whether it is anybody's guess where an answer ends: what is left of it would pass as the next one.
fn ends_anywhere(headers: &HeaderMap) -> bool {
    headers.contains_key(CONTENT_LENGTH) && headers.contains_key(TRANSFER_ENCODING)
}

/// What remains of an answer that may be another call's: the wait that it tells binds, and that is all.
fn doubtful(carried: &Carried, letters: &[Letter]) -> Carried {
    let waits = carried.replies.iter().map(|(_, reply)| match reply {
        Reply::Ended(Outcome::Full { wait }) => *wait,
        _ => 0,
    });
    let wait = waits.max().unwrap_or(0).max(carried.wait);
    Carried { wait, ..Carried::each(letters, Reply::Ended(Outcome::Doubtful)) }
}

/// Sends one request and hears its answer.
pub(super) async fn exchange(
    lease: &mut Lease,
    mut request: Request<Full<Bytes>>,
    len: usize,
    letters: &[Letter],
) -> Result<Exchanged, Unsent> {
    let new = lease.waited().is_zero();
    if lease.is_last() {
        request.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
    }
    let Some(line) = lease.line() else { return Err(Unsent::Never) };
    // What the line said before is no beginning of this answer: a call longer than ANSWER_WITHIN was cut by it.
    let tap = line.tap();
    tap.listen_anew();
    let read = async {
        let response = line.send(request, len).await?;
        let (head, body) = response.into_parts();
        let (status, print) = (Some(head.status), Fingerprint::of_head(head.status, &head.headers));
        let by_head = line.exchanges.judge_head(&print);
        if letters.len() == 1 && head.status == StatusCode::OK && by_head.is_known() {
            let carried = meant(head.status, &head.headers, &Bytes::new(), letters);
            let rest = match ends_anywhere(&head.headers) {
                true => Rest::Unusable,
                false => Rest::Body(body, print),
            };
            return Ok(Exchanged { carried, verdict: Some(by_head), status, rest });
        }
        // Only an answer that came whole can say that nothing has run.
        let body = read_body(body, BODY_MOST).await.ok_or(Unsent::Perhaps)?;
        let print = print.with_body(&body);
        let verdict = line.exchanges.judge_whole(&print);
        let crowded = new && hook::no_room(head.status, &head.headers);
        let carried = match crowded {
            true => Carried::each(letters, Reply::Ended(Outcome::Crowded)),
            false => meant(head.status, &head.headers, &body, letters),
        };
        let rest = if ends_anywhere(&head.headers) { Rest::Unusable } else { Rest::Nothing(print) };
        Ok(Exchanged { carried, verdict: Some(verdict), status, rest })
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

/// What is known of a call without an answer that could be read. The first line says enough where it says 200 and is
/// known to be that of this call's answer. Any other answer that cannot be read leaves open what it meant: the message may have
/// run.
pub(super) fn unanswered(outcome: Outcome, lease: &mut Lease, letters: &[Letter]) -> Exchanged {
    let heard = lease.line().map(|line| {
        let status = line.status().and_then(|status| StatusCode::from_u16(status).ok());
        let verdict = status.map(|status| line.exchanges.judge_status(status.as_u16()));
        (status, verdict, line.heard())
    });
    let (status, verdict, heard) = heard.unwrap_or((None, None, false));
    let is_success = letters.len() == 1 && status == Some(StatusCode::OK);
    let (outcome, verdict) = match outcome {
        _ if is_success && verdict.is_some_and(Verdict::is_known) => (Outcome::Served, verdict),
        Outcome::NoConnection => (outcome, None),
        _ if heard => (Outcome::Spoilt, None),
        _ => (outcome, None),
    };
    let carried = Carried::each(letters, Reply::Ended(outcome));
    Exchanged { carried, verdict, status, rest: Rest::Unusable }
}

/// Gives the line back where it can be used again, and returns what may rest on the answer.
pub(super) fn conclude(
    exchanged: Exchanged,
    mut lease: Lease,
    endpoint: &Endpoint,
    letters: &[Letter],
    pool: &Rc<Pool>,
) -> Carried {
    let Exchanged { mut carried, verdict, status, rest } = exchanged;
    let request = lease.line().map_or(0, |line| line.exchanges.requests());
    // Where there is no verdict there is no answer, and only what the system says of the connection counts.
    if let Some(verdict) = verdict {
        carried = admitted(carried, verdict, request, endpoint, letters, pool);
        if status == Some(StatusCode::OK) && !verdict.is_known() {
            lease.doubtful_success();
        }
    }
    carried.idle = Some(lease.waited().as_nanos() as Nanos);
    let connection = lease.line().map_or(0, |line| line.number());
    log_call(endpoint, letters, (connection, request), &carried, verdict);
    let says = |outcome| carried.replies.iter().any(|(_, reply)| *reply == Reply::Ended(outcome));
    if says(Outcome::Crowded) {
        pool.turned_away(endpoint.kind);
    }
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

/// What may rest on an answer that was judged so, to the `request`th request of its connection, from 1.
pub(super) fn admitted(
    carried: Carried,
    verdict: Verdict,
    request: usize,
    endpoint: &Endpoint,
    letters: &[Letter],
    pool: &Pool,
) -> Carried {
    let mut audit = pool.audit.borrow_mut();
    audit.judged(verdict);
    if !verdict.is_known() {
        return doubtful(&carried, letters);
    }
    let rests = carried.replies.iter().any(|(_, reply)| is_proof(reply));
    if rests && !audit.admits(Some(verdict), request) {
        let hop = endpoint.name.as_str();
        tracing::error!(target: "routing", event = "attribution-violation", hop, ?verdict, request);
        return doubtful(&carried, letters);
    }
    carried
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
    (connection, request): (u64, usize),
    carried: &Carried,
    verdict: Option<Verdict>,
) {
    let is_doubtful = verdict.is_some_and(|verdict| !verdict.is_known());
    if !is_doubtful && !tracing::enabled!(target: "messages", tracing::Level::DEBUG) {
        return;
    }
    let hop = endpoint.name.as_str();
    let ids: Vec<&str> = letters.iter().map(|l| l.id.as_str()).collect();
    let replies: Vec<&Reply> = carried.replies.iter().map(|(_, reply)| reply).collect();
    match verdict {
        Some(Verdict::Doubtful(doubt)) => {
            tracing::warn!(target: "routing", event = "answer-doubtful", hop, ?ids, connection, request, ?doubt, "an answer may be another call's");
        }
        Some(Verdict::Known(Proof::First | Proof::Unlike)) | None => {
            tracing::debug!(target: "messages", event = "call-ended", hop, ?ids, connection, request, ?replies, ?verdict);
        }
    }
}

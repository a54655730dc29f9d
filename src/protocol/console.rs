//! Where operators call: one HTTP call to a connection, 2xx is yes, 4xx and 5xx is no.
#![warn(missing_docs)]

use crate::routing::handover::Operation;
use crate::transport::network::{Listen, Stream};
use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::{HeaderValue, ALLOW};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use percent_encoding::percent_decode_str;
use std::collections::VecDeque;
use std::convert::Infallible;
use std::future::Future;
use std::time::Duration;
use tokio::task::{spawn_local, AbortHandle};
use tokio::time::timeout;

/// Connections at once; a further one closes the oldest, which has had its time.
const CONNECTIONS_MOST: usize = 16;
/// Most bytes of a call's head.
const HEAD_MOST: usize = 16 * 1024;
/// A caller waits a second for its answer; one that finishes no call is closed.
const CONNECTION_WITHIN: Duration = Duration::from_secs(5);
/// An operation that is not in force by then is answered with no.
const ANSWER_WITHIN: Duration = Duration::from_millis(800);

/// What an operator asks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Asked {
    /// Whether this process takes clients.
    Health,
    /// What it holds in memory.
    Memory,
    /// Which ends it owes to the platform.
    Notices,
    /// How old the list in force is.
    List,
    /// To put an operation in force.
    Operate(Operation),
}

/// An answer to an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Answer {
    /// Yes or no.
    pub status: StatusCode,
    /// The figures that were asked for; yes or no in a word where there are none.
    pub text: Option<String>,
}

impl From<StatusCode> for Answer {
    fn from(status: StatusCode) -> Answer {
        Answer { status, text: None }
    }
}

/// Why a call asks nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unasked {
    /// There is no such call.
    Unknown,
    /// The call has another method.
    Method(&'static str),
}

/// What a call asks.
pub fn asked(method: &Method, path: &str) -> Result<Asked, Unasked> {
    let call = path.strip_prefix("/admin/").ok_or(Unasked::Unknown)?;
    let question = match call {
        "health" => Some(Asked::Health),
        "memory" => Some(Asked::Memory),
        "notices" => Some(Asked::Notices),
        "discovery" => Some(Asked::List),
        _ => None,
    };
    if let Some(question) = question {
        return match *method {
            Method::GET | Method::HEAD => Ok(question),
            _ => Err(Unasked::Method("GET, HEAD")),
        };
    }
    let operation = match call.split_once('/') {
        None if call == "quiesce" => Operation::Quiesce,
        None if call == "resume" => Operation::Resume,
        Some(("cordon", id)) => Operation::Cordon(name(id)?),
        Some(("uncordon", id)) => Operation::Uncordon(name(id)?),
        _ => return Err(Unasked::Unknown),
    };
    match *method {
        Method::POST => Ok(Asked::Operate(operation)),
        _ => Err(Unasked::Method("POST")),
    }
}

fn name(id: &str) -> Result<String, Unasked> {
    let name = percent_decode_str(id).decode_utf8().map_err(|_| Unasked::Unknown)?;
    Some(name.into_owned()).filter(|name| !name.is_empty()).ok_or(Unasked::Unknown)
}

/// Serves operators for good; `answer` says yes or no.
pub async fn serve<F, A>(listener: Box<dyn Listen>, answer: A)
where
    F: Future<Output = Answer> + 'static,
    A: Fn(Asked) -> F + Clone + 'static,
{
    let mut open: VecDeque<AbortHandle> = VecDeque::new();
    loop {
        let Ok(arrived) = listener.accept().await else {
            // It was gone before it was accepted, or there is no descriptor: others come.
            tokio::time::sleep(Duration::from_millis(5)).await;
            continue;
        };
        open.retain(|connection| !connection.is_finished());
        if open.len() >= CONNECTIONS_MOST {
            if let Some(oldest) = open.pop_front() {
                oldest.abort();
            }
        }
        let served = timeout(CONNECTION_WITHIN, serve_one(arrived.stream, answer.clone()));
        open.push_back(spawn_local(async move { drop(served.await) }).abort_handle());
    }
}

async fn serve_one<F, A>(stream: Stream, answer: A)
where
    F: Future<Output = Answer>,
    A: Fn(Asked) -> F,
{
    let service = service_fn(|request: Request<Incoming>| {
        let asked = asked(request.method(), request.uri().path());
        let answered = asked.map(&answer);
        async move {
            Ok::<_, Infallible>(match answered {
                Ok(answer) => {
                    let answer = timeout(ANSWER_WITHIN, answer).await;
                    said(answer.unwrap_or(StatusCode::SERVICE_UNAVAILABLE.into()))
                }
                Err(Unasked::Unknown) => said(StatusCode::NOT_FOUND.into()),
                Err(Unasked::Method(allowed)) => {
                    let mut response = said(StatusCode::METHOD_NOT_ALLOWED.into());
                    response.headers_mut().insert(ALLOW, HeaderValue::from_static(allowed));
                    response
                }
            })
        }
    });
    let mut builder = http1::Builder::new();
    builder.header_read_timeout(None).keep_alive(false).max_buf_size(HEAD_MOST);
    builder.serve_connection(TokioIo::new(stream), service).await.ok();
}

fn said(answer: Answer) -> Response<Full<Bytes>> {
    let Answer { status, text } = answer;
    let word = if status.is_success() { "yes\n" } else { "no\n" };
    let text = text.map_or(Bytes::from_static(word.as_bytes()), Bytes::from);
    let mut response = Response::new(Full::new(text));
    *response.status_mut() = status;
    response
}

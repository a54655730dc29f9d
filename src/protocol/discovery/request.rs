//! One question to discovery, and its answer.

use super::decode::{Decoder, Heading};
use super::fault::ListFault;
use super::patience::Patience;
use crate::catalog::Endpoint;
use crate::transport::connection::read_body;
use crate::transport::network::Net;
use crate::transport::Line;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::{Body, Incoming};
use hyper::{Request, StatusCode};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::yield_now;
use tokio::time::{timeout, timeout_at};

/// An answer that does not begin by then never will.
const ANSWERED_WITHIN: Duration = Duration::from_secs(60);
/// Most bytes of the body of a refusal.
const REFUSAL_MOST: usize = 64 * 1024;
/// After so many bytes parsed the event loop has its turn: well under a millisecond.
const TURN: usize = 32 * 1024;

/// Why there is no list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unheard {
    /// The call was turned away, by an answer that came whole.
    Refused,
    /// No answer came.
    Silent,
    /// A list began to come and cannot be used.
    Unusable {
        /// Why.
        fault: ListFault,
        /// Its bytes, where they were announced.
        size: Option<u64>,
    },
}

/// An answer whose list is still to come.
pub struct Answer {
    body: Incoming,
    /// How long the rest is waited for.
    pub patience: Patience,
    /// Open until the list has come.
    _line: Line,
}

/// What is asked for.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// The version from which only changes are asked for, and for how long discovery may wait for one; none: the whole list.
    pub watch: Option<(u64, Duration)>,
    /// How long all of a short answer is waited for once it has begun.
    pub small: Duration,
    /// How long a pause between the pieces of a longer one may be.
    pub silence: Duration,
}

/// Asks for the list, or for its changes, on a connection of its own: an earlier list that came again would pass as the newer
/// one. `connected` is set once the connection is up.
pub async fn ask(
    net: Net,
    agent: SocketAddr,
    terms: Terms,
    connected: Rc<Cell<bool>>,
) -> Result<Answer, Unheard> {
    let path = match terms.watch {
        None => "/v1/endpoints".to_string(),
        Some((seq, hold)) => format!("/v1/endpoints?from={seq}&hold_ms={}", hold.as_millis()),
    };
    // The body is counted as it is read, so that its size can be told.
    let opened = Line::open(&net, agent, ANSWERED_WITHIN, usize::MAX, 0).await;
    let mut line = opened.map_err(|_| Unheard::Silent)?;
    connected.set(true);
    let request = Request::get(path).header("host", agent.to_string()).body(Full::new(Bytes::new()));
    let request = request.map_err(|_| Unheard::Silent)?;
    let answered = timeout(ANSWERED_WITHIN, async {
        let response = line.send(request, 0).await.map_err(|_| Unheard::Silent)?;
        if response.status() == StatusCode::OK {
            return Ok(response.into_body());
        }
        let refusal = read_body(response.into_body(), REFUSAL_MOST).await;
        Err(refusal.map_or(Unheard::Silent, |_| Unheard::Refused))
    });
    let body = answered.await.unwrap_or(Err(Unheard::Silent))?;
    Ok(Answer { body, patience: Patience::new(terms.small, terms.silence), _line: line })
}

impl Answer {
    /// Reads the list to its end, of `cap` bytes at most, and hands on its entries as they come.
    pub async fn read(
        mut self,
        decoder: Decoder<'_>,
        cap: usize,
        entry: impl FnMut(Endpoint),
    ) -> Result<Heading, Unheard> {
        let size = self.body.size_hint().exact();
        let read = match size.filter(|size| *size > cap as u64) {
            Some(size) => Err(ListFault::TooLarge { size, offset: 0 }),
            None => self.decode(decoder, cap as u64, entry).await,
        };
        read.map_err(|fault| Unheard::Unusable { fault, size })
    }

    async fn decode(
        &mut self,
        mut decoder: Decoder<'_>,
        cap: u64,
        mut entry: impl FnMut(Endpoint),
    ) -> Result<Heading, ListFault> {
        let mut in_turn = 0;
        loop {
            let offset = decoder.offset();
            let frame = timeout_at(self.patience.after(offset), self.body.frame()).await;
            let frame = match frame.map_err(|_| ListFault::Slow { offset })? {
                None => return decoder.finish(),
                Some(frame) => frame.map_err(|_| ListFault::Cut { offset })?,
            };
            let Ok(mut bytes) = frame.into_data() else { continue };
            if offset + bytes.len() as u64 > cap {
                return Err(ListFault::TooLarge { size: offset + bytes.len() as u64, offset });
            }
            while !bytes.is_empty() {
                let piece = bytes.split_to(bytes.len().min(TURN));
                in_turn += piece.len();
                decoder.feed(piece, &mut entry)?;
                if in_turn >= TURN {
                    in_turn = 0;
                    yield_now().await;
                }
            }
        }
    }
}

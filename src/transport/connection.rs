//! One HTTP/1.1 connection of ours to a next hop or to the platform.

use super::answer::Answer;
use super::beginning::Beginning;
use super::network::Net;
use super::tap::{Tapped, TappedStream};
use crate::attribution::Exchanges;
use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{Builder, SendRequest};
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::{spawn_local, AbortHandle, JoinHandle};
use tokio::time::{timeout, Instant};

/// An answer that has begun takes no longer to come whole.
pub const ANSWER_WITHIN: Duration = Duration::from_millis(500);
/// A call is given up by ending our sending, and what the other side had said by then is heard within so long.
pub const HEARD_OUT_WITHIN: Duration = Duration::from_millis(50);
/// The same where the other side has said nothing so far: most of these are not there to be heard.
pub const GIVEN_UP_WITHIN: Duration = Duration::from_millis(20);
/// Most bytes of an answer's head.
const HEAD_MOST: usize = 32 * 1024;

/// Why a request has no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unsent {
    /// Its last byte was surely not written.
    Never,
    /// It may have been written whole.
    Perhaps,
}

/// The number that a new connection of this process gets in the log.
pub fn next_number() -> u64 {
    static NEXT: AtomicU64 = AtomicU64::new(1);
    NEXT.fetch_add(1, Ordering::Relaxed)
}

/// A connection that carries one request at a time. Dropped, it closes at once, whatever is out on it.
pub struct Line {
    number: u64,
    /// The requests that it has carried, one that is out included, and their answers.
    pub exchanges: Exchanges,
    sender: SendRequest<Full<Bytes>>,
    tap: Rc<Tapped>,
    /// Runs the connection, and gives back its stream where a call is out on it.
    running: Option<JoinHandle<Option<TappedStream>>>,
    abort: AbortHandle,
    hung_up: Rc<Notify>,
    /// When it was last given back.
    pub idle_since: Instant,
}

impl Drop for Line {
    fn drop(&mut self) {
        self.abort.abort();
    }
}

impl Line {
    /// Opens a line on which no answer may hold more than `most` bytes, of which the first `kept` can be read again.
    pub async fn open(
        net: &Net,
        dial: SocketAddr,
        within: Duration,
        most: usize,
        kept: usize,
    ) -> io::Result<Line> {
        let connect = async {
            let (stream, tap) = Tapped::drawing(net.connect(dial).await?, most as u64, kept, net.memory());
            let mut builder = Builder::new();
            builder.max_buf_size(HEAD_MOST);
            let shaken = builder.handshake(TokioIo::new(stream)).await;
            let (sender, mut connection) = shaken.map_err(io::Error::other)?;
            let (hung_up, resting) = (Rc::new(Notify::new()), tap.clone());
            let hangs_up = hung_up.clone();
            let running = spawn_local(async move {
                tokio::select! {
                    _ = &mut connection => {}
                    () = hangs_up.notified() => {}
                }
                let stream = connection.into_parts().io.into_inner();
                (!resting.is_resting()).then_some(stream)
            });
            Ok(Line {
                number: next_number(),
                exchanges: Exchanges::default(),
                sender,
                tap,
                abort: running.abort_handle(),
                running: Some(running),
                hung_up,
                idle_since: Instant::now(),
            })
        };
        timeout(within, connect).await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
    }

    /// Its number in the log.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// It waits for its next request from now on.
    pub fn rest(&mut self) {
        self.tap.rest();
        self.idle_since = Instant::now();
    }

    /// Whether an answer came, or began to, while it waited, which reads as if it had been sent twice.
    pub fn had_surplus(&self) -> bool {
        let repeats = |status| !self.exchanges.is_new_status(status);
        self.tap.surplus() && self.tap.beginning().line_status().is_some_and(repeats)
    }

    /// Whether the other side has left it open as far as is known, with no request out.
    pub fn usable(&self) -> bool {
        self.sender.is_ready() && !self.sender.is_closed()
    }

    /// What can be read of the answer that is coming.
    pub fn beginning(&self) -> Beginning {
        self.tap.beginning()
    }

    /// The answers that came whole behind the one that is coming, and what has come of one more.
    pub fn behind(&self) -> (Vec<Rc<Answer>>, Beginning) {
        self.tap.behind()
    }

    /// Ends our sending, which gives up the call that is out, and hears what the other side has still said: until it closes,
    /// or for so long. The line is closed then.
    pub async fn hang_up(&mut self, within: Duration) {
        let Some(running) = self.running.take() else { return };
        self.hung_up.notify_one();
        let reading = async {
            if let Ok(Some(stream)) = running.await {
                stream.hear_out().await;
            }
        };
        timeout(within, reading).await.ok();
    }

    /// What goes on over the line, to be watched beside a request.
    pub fn tap(&self) -> Rc<Tapped> {
        self.tap.clone()
    }

    /// Sends one request. Its last byte is certainly unwritten while no more bytes than the body has are
    /// written, since the head goes first.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        body: usize,
    ) -> Result<Response<Incoming>, Unsent> {
        let request_len = head_len(&request, body) + body;
        if self.sender.ready().await.is_err() {
            return Err(Unsent::Never);
        }
        self.tap.listen_anew();
        self.tap.expect(request_len, body);
        self.exchanges.requested();
        let sent = self.sender.try_send_request(request).await;
        debug_assert!(!self.tap.is_beyond_request(), "a request is longer than was thought");
        match sent {
            Ok(response) => Ok(response),
            Err(e) if e.message().is_some() => Err(Unsent::Never),
            Err(_) if self.tap.is_request_surely_cut() => Err(Unsent::Never),
            Err(_) => Err(Unsent::Perhaps),
        }
    }
}

/// Bytes of a request before its body, as they go on the wire with the body's length.
fn head_len<B>(request: &Request<B>, body: usize) -> usize {
    let target = request.uri().path_and_query().map_or(0, |target| target.as_str().len());
    let line = request.method().as_str().len() + " ".len() + target + " HTTP/1.1\r\n".len();
    let field = |name: usize, value: usize| name + ": ".len() + value + "\r\n".len();
    let fields: usize =
        request.headers().iter().map(|(name, value)| field(name.as_str().len(), value.len())).sum();
    line + fields + field("content-length".len(), body.to_string().len()) + "\r\n".len()
}

/// Reads a body to its end, which must come before `most` bytes. Each piece is copied: it is a slice of the connection's read
/// buffer, and would keep all of that in memory.
pub async fn read_body<B>(mut body: B, most: usize) -> Option<Bytes>
where
    B: hyper::body::Body<Data = Bytes> + Unpin,
{
    let announced = body.size_hint().exact().unwrap_or(0);
    let announced = usize::try_from(announced).ok().filter(|len| *len <= most)?;
    let mut whole = BytesMut::with_capacity(announced);
    while let Some(frame) = body.frame().await {
        let Ok(piece) = frame.ok()?.into_data() else { continue };
        if whole.len() + piece.len() > most {
            return None;
        }
        whole.extend_from_slice(&piece);
    }
    Some(whole.freeze())
}

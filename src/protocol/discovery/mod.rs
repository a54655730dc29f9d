//! Discovery's list and its watch.

mod receiver;

pub use receiver::ListReceiver;

use crate::fleet::{Asking, Heard};
use crate::interface::Terms;
use crate::protocol::fields::{at, flag, list, num, text};
use crate::routing::{Endpoint, EndpointState, EndpointUpdate};
use crate::transport::connection::read_body;
use crate::transport::network::Net;
use crate::transport::Line;
use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use std::net::SocketAddr;
use std::time::Duration;
use tinyjson::JsonValue;
use tokio::sync::watch;
use tokio::time::{sleep, timeout, Instant};

/// A connection to the agent is up at once, or it is down.
const CONNECTED: Duration = Duration::from_millis(500);

/// Kinds and zones by name, as the settings list them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Names {
    pub kinds: Vec<String>,
    pub zones: Vec<String>,
}

/// How much of a list is taken in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ListLimits {
    /// Most bytes of an answer's body.
    pub bytes: usize,
}

impl ListLimits {
    /// Whatever the memory, a list of so many bytes is taken in.
    const LEAST: usize = 4 << 20;

    /// For a relay that may hold so many bytes of memory: a quarter of it is left to the body's bytes.
    pub fn within(memory: usize) -> ListLimits {
        ListLimits { bytes: (memory / 4).max(Self::LEAST) }
    }
}

impl Default for ListLimits {
    fn default() -> Self {
        ListLimits { bytes: 64_000_000 }
    }
}

/// Decodes a list or its changes. Entries that cannot be used are left out.
pub fn decode_update(value: &JsonValue, names: &Names) -> Option<EndpointUpdate> {
    let whole = flag(value, "whole")?;
    let endpoints = list(value, "hosts").iter().filter_map(|h| endpoint(h, names)).collect();
    Some(EndpointUpdate { seq: num(value, "seq")? as u64, whole, endpoints })
}

fn endpoint(h: &JsonValue, names: &Names) -> Option<Endpoint> {
    let place = |names: &[String], name: Option<&str>| names.iter().position(|n| Some(n.as_str()) == name);
    let state = match text(h, "health")? {
        "active" => EndpointState::Active,
        "leaving" => EndpointState::Leaving,
        _ => EndpointState::Left,
    };
    Some(Endpoint {
        id: 0,
        name: text(h, "host")?.to_string(),
        address: text(h, "dial")?.parse().ok()?,
        dest: num(h, "block")? as u64,
        kind: place(&names.kinds, text(h, "class")).unwrap_or(usize::MAX),
        zone: place(&names.zones, text(h, "site")).unwrap_or(0),
        state,
        share: num(h, "share").unwrap_or(1.0),
        terms: terms(h),
    })
}

/// `weight`, `max_conns` and `backup` stand in lists of an operator's own, never in discovery's.
fn terms(h: &JsonValue) -> Option<Terms> {
    let named = ["weight", "max_conns", "backup"].iter().any(|name| at(h, name).is_some());
    let count = |name: &str| num(h, name).filter(|n| *n >= 1.0);
    named.then(|| Terms {
        most_out: count("max_conns").map_or(usize::MAX, |n| n as usize),
        weight: count("weight").map_or(1, |n| n as u32),
        backup: flag(h, "backup") == Some(true),
        ..Terms::default()
    })
}

/// Follows the list for good, wherever discovery moves: what the address left behind had still to say does
/// not count. `seq`: the version of the whole list that is known already, from which only changes are asked for.
pub async fn follow(
    net: Net,
    mut agent: watch::Receiver<Option<SocketAddr>>,
    names: Names,
    mut asking: Asking,
    mut seq: Option<u64>,
    limits: ListLimits,
    receiver: impl ListReceiver,
) {
    let mut first = asking.first();
    loop {
        let at = *agent.borrow_and_update();
        let known = seq.take();
        let following = async {
            match at {
                Some(at) => {
                    pass(first).await;
                    follow_one(&net, at, &names, &mut asking, known, limits, &receiver).await
                }
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            () = following => {}
            moved = agent.changed() => if moved.is_err() { return },
        }
        first = asking.moved();
    }
}

/// Follows the list at one address: the whole of it first, unless it is known, then its changes,
/// or where that is too much for discovery the whole of it again and again.
async fn follow_one(
    net: &Net,
    agent: SocketAddr,
    names: &Names,
    asking: &mut Asking,
    mut seq: Option<u64>,
    limits: ListLimits,
    receiver: &impl ListReceiver,
) {
    let mut line = None;
    let mut failing = false;
    loop {
        let from = Instant::now();
        // An idle connection may have been closed under the question: that is no sign of silence.
        let kept = line.is_some();
        let told = ask(net, agent, &mut line, seq, asking, limits.bytes).await;
        let heard = match told.and_then(|v| decode_update(&v, names).ok_or(Heard::Nothing)) {
            Ok(told) => {
                if std::mem::take(&mut failing) {
                    tracing::info!(target: "platform", event = "discovery-back", "discovery answers again");
                }
                if seq != Some(told.seq) || (told.whole && asking.watches()) {
                    seq = Some(told.seq);
                    let mut draft = receiver.begin().await;
                    told.endpoints.into_iter().for_each(|e| receiver.entry(&mut draft, e));
                    receiver.commit(draft, told.seq, told.whole).await;
                }
                Heard::List
            }
            Err(Heard::Nothing) if kept && !failing => {
                line = None;
                continue;
            }
            Err(heard) => {
                line = None;
                if !std::mem::replace(&mut failing, true) {
                    tracing::warn!(target: "platform", event = "discovery-silent", "discovery does not answer");
                }
                heard
            }
        };
        pass(asking.pause(heard, from.elapsed())).await;
    }
}

/// No time at all is not even a turn of the timer: a watch goes on at once.
async fn pass(time: Duration) {
    if !time.is_zero() {
        sleep(time).await;
    }
}

/// Asks once; without a list: what came instead.
async fn ask(
    net: &Net,
    agent: SocketAddr,
    line: &mut Option<Line>,
    seq: Option<u64>,
    asking: &Asking,
    most: usize,
) -> Result<JsonValue, Heard> {
    let (path, patience) = match seq.filter(|_| asking.watches()) {
        None => ("/v1/endpoints".to_string(), asking.patience()),
        Some(seq) => {
            let hold = asking.hold();
            (format!("/v1/endpoints?from={seq}&hold_ms={}", hold.as_millis()), hold + asking.patience())
        }
    };
    if !line.as_ref().is_some_and(Line::usable) {
        *line = Some(Line::open(net, agent, CONNECTED, most).await.map_err(|_| Heard::Nothing)?);
    }
    let request = Request::get(path).header("host", agent.to_string()).body(Full::new(Bytes::new()));
    let request = request.map_err(|_| Heard::Nothing)?;
    let asked = async {
        let response = line.as_mut()?.send(request, 0).await.ok()?;
        let ok = response.status() == 200;
        let body = read_body(response.into_body(), most).await?;
        let list = std::str::from_utf8(&body).ok().and_then(|text| text.parse::<JsonValue>().ok());
        Some(if ok { list.ok_or(Heard::Nothing) } else { Err(Heard::Refusal) })
    };
    timeout(patience, asked).await.ok().flatten().unwrap_or(Err(Heard::Nothing))
}

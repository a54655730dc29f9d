//! Notices to the platform: how transactions ended that were not delivered. Each is told until the platform
//! has acknowledged it.

use crate::notices::Failure;
use crate::routing::transactions::Ending;
use crate::routing::End;
use crate::transport::connection::read_body;
use crate::transport::network::Net;
use crate::transport::Line;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::CONNECTION;
use hyper::{Request, StatusCode};
use std::cell::Cell;
use std::fmt::Write;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{timeout, Instant};

/// Neither the connection nor the answer is waited for longer. Before that a request is given up for another, where one is
/// wanted in its place.
const ANSWERED_WITHIN: Duration = Duration::from_secs(120);
const ANSWER_MOST: usize = 64 * 1024;

/// One line of the request.
pub fn line(id: &str, ending: Ending, into: &mut String) {
    let id = escaped(id);
    let result = match ending {
        Ending::Undelivered(End::Returned { after: 0 }) => {
            writeln!(into, r#"{{"id":"{id}","state":"returned"}}"#)
        }
        Ending::Undelivered(End::Returned { after }) => {
            writeln!(into, r#"{{"id":"{id}","state":"returned","after_ms":{}}}"#, after.div_ceil(1_000_000))
        }
        // A delivery is never told to the platform; if one came here, `failed` would be the safe word.
        Ending::Delivered | Ending::Undelivered(End::Failed) => {
            writeln!(into, r#"{{"id":"{id}","state":"failed"}}"#)
        }
    };
    debug_assert!(result.is_ok());
}

fn escaped(id: &str) -> String {
    id.chars().fold(String::new(), |mut s, c| {
        if c == '"' || c == '\\' {
            s.push('\\');
        }
        s.push(c);
        s
    })
}

/// A connection for one request.
pub async fn open(net: &Net, agent: SocketAddr) -> io::Result<Line> {
    Line::open(net, agent, ANSWERED_WITHIN, ANSWER_MOST, 0).await
}

/// Posts lines, on this connection where one is given; `Ok` once the platform has acknowledged them. All acknowledgements read
/// alike, so each is waited for on a connection of its own, where no other can come. `connected` gets the time at which the
/// connection was up.
pub async fn post(
    net: &Net,
    agent: SocketAddr,
    opened: Option<Line>,
    lines: String,
    connected: &Cell<Option<Instant>>,
) -> Result<(), Failure> {
    let answered = async {
        let mut line = match opened {
            Some(line) => line,
            None => open(net, agent).await.ok()?,
        };
        connected.set(Some(Instant::now()));
        let body = Bytes::from(lines);
        let len = body.len();
        let request = Request::post("/v1/notices")
            .header("host", agent.to_string())
            .header("content-type", "application/json")
            .header(CONNECTION, "close")
            .body(Full::new(body))
            .ok()?;
        let response = line.send(request, len).await.ok()?;
        let status = response.status();
        read_body(response.into_body(), ANSWER_MOST).await?;
        Some(status)
    };
    match timeout(ANSWERED_WITHIN, answered).await.ok().flatten() {
        Some(StatusCode::NO_CONTENT) => Ok(()),
        Some(StatusCode::BAD_REQUEST) => Err(Failure::Unreadable),
        Some(status) => Err(Failure::Refused(status.as_u16())),
        None => Err(Failure::Unanswered),
    }
}

//! Notices to the platform: how transactions ended that were not delivered. Each is told until the platform
//! has acknowledged it.

use crate::routing::transactions::Ending;
use crate::routing::End;
use crate::transport::connection::read_body;
use crate::transport::network::Net;
use crate::transport::Line;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::CONNECTION;
use hyper::{Request, StatusCode};
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::timeout;

/// The platform answers at once: a connection that does not has fallen silent, and an end that is told late is
/// an end that is not told.
const PATIENCE: Duration = Duration::from_millis(100);
const ANSWER_MOST: usize = 64 * 1024;
/// Notices in one request at most.
pub const MOST: usize = 200;

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

/// Posts lines; `Ok` once the platform has acknowledged them, else the answer that it gave, if any. All
/// acknowledgements read alike, so each is waited for on a connection of its own, where no other can come.
pub async fn post(net: &Net, agent: SocketAddr, lines: String) -> Result<(), Option<StatusCode>> {
    let told = async {
        let mut line = Line::open(net, agent, PATIENCE, ANSWER_MOST, 0).await.ok()?;
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
    match timeout(PATIENCE, told).await.ok().flatten() {
        Some(StatusCode::NO_CONTENT) => Ok(()),
        other => Err(other),
    }
}

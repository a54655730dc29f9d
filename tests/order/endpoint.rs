//! An endpoint that takes calls of one or several messages, answers them as it is told, and notes when each began and ended.

use crate::stand_ins::{receipt, request, Told};
use crate::world::{CallEnd, World};
use std::collections::BTreeSet;
use std::io::{BufReader, ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread::spawn;
use std::time::{Duration, Instant};

/// What an endpoint does with a call.
#[derive(Clone, Debug)]
pub enum Act {
    /// It accepts all after this time.
    Accept(Duration),
    /// It turns the call away, and tells to wait.
    Refuse(Duration),
    /// It turns the call away since it is busy.
    Busy,
    /// It writes this much of an answer after this time, and resets the connection.
    Cut(Duration, &'static str),
    /// It never answers.
    Silent,
}

/// The ids of the messages of a call.
fn ids_of(head: &[String], body: &[u8]) -> Vec<String> {
    if !head[0].contains("/hook/batch") {
        let field = head
            .iter()
            .find_map(|line| line.to_ascii_lowercase().strip_prefix("x-request-id: ").map(str::len));
        let line = head.iter().find(|line| line.to_ascii_lowercase().starts_with("x-request-id: "));
        return field.zip(line).map(|(len, line)| line[line.len() - len..].to_string()).into_iter().collect();
    }
    let (mut ids, mut rest) = (Vec::new(), body);
    while let Some(end) = rest.windows(2).position(|two| two == b"\r\n") {
        let line = String::from_utf8_lossy(&rest[..end]).into_owned();
        let parts: Vec<&str> = line.split(' ').collect();
        let length: usize = parts[2].parse().unwrap();
        ids.push(parts[0].to_string());
        rest = &rest[end + 2 + length + 2..];
    }
    ids
}

/// Starts one on a thread of its own; `ended` are the messages of which the platform has heard the end.
pub fn endpoint(
    world: Arc<World>,
    ended: Told<BTreeSet<String>>,
    act: impl Fn(&[String]) -> Act + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let act = Arc::new(act);
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let (world, ended, act) = (world.clone(), ended.clone(), act.clone());
            spawn(move || serve(stream, &world, &ended, &*act));
        }
    });
    address
}

fn serve(
    stream: TcpStream,
    world: &World,
    ended: &Told<BTreeSet<String>>,
    act: &dyn Fn(&[String]) -> Act,
) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut output = stream.try_clone().ok()?;
    let mut input = BufReader::new(stream);
    while let Some((head, body)) = request(&mut input) {
        let ids = ids_of(&head, &body);
        let call = world.begins(ids.clone(), |id| ended.tell(|ended| ended.contains(id)));
        let act = act(&ids);
        let pause = match act {
            Act::Accept(pause) | Act::Cut(pause, _) => pause,
            Act::Refuse(_) | Act::Busy => Duration::ZERO,
            Act::Silent => Duration::MAX,
        };
        let is_there = stays(input.get_mut(), pause);
        let (text, delivered) = match act {
            Act::Accept(_) => (accepted(&head, &ids), &ids[..]),
            Act::Refuse(wait) => (
                refused(&format!(
                    "429 Wait\r\nX-Server-Load: x0=0.0,x1=30\r\nRetry-After: {}",
                    wait.as_secs_f64()
                )),
                &[][..],
            ),
            Act::Busy => (refused("503 Busy"), &[][..]),
            Act::Cut(_, part) => (part.to_string(), &[][..]),
            Act::Silent => (String::new(), &[][..]),
        };
        let is_whole = !matches!(act, Act::Cut(..) | Act::Silent);
        // A first line with 200 is all that a message alone in its call needs.
        let is_accepted = text.starts_with("HTTP/1.1 200 OK\r\n") && ids.len() == 1;
        let is_answered = is_there && (is_whole || is_accepted);
        let delivered = if is_accepted { &ids[..] } else { delivered };
        // What it says may be heard at once, so the call ends before that.
        match is_answered {
            true => world.ends(call, CallEnd::Answered, delivered),
            false => world.ends(call, CallEnd::Unanswered, &[]),
        }
        if !is_there || output.write_all(text.as_bytes()).is_err() || !is_whole {
            return None;
        }
    }
    None
}

/// Waits; whether the other side is still there then.
fn stays(stream: &mut TcpStream, pause: Duration) -> bool {
    let from = Instant::now();
    while let Some(left) = pause.checked_sub(from.elapsed()).filter(|left| !left.is_zero()) {
        stream.set_read_timeout(Some(left.min(Duration::from_secs(1)))).unwrap();
        match stream.read(&mut [0]) {
            Err(e)
                if matches!(
                    e.kind(),
                    ErrorKind::WouldBlock | ErrorKind::TimedOut | ErrorKind::Interrupted
                ) => {}
            _ => return false,
        }
    }
    stream.set_read_timeout(None).unwrap();
    true
}

fn refused(line: &str) -> String {
    format!("HTTP/1.1 {line}\r\nContent-Length: 0\r\n\r\n")
}

/// An answer that accepts all.
fn accepted(head: &[String], ids: &[String]) -> String {
    let body = match head[0].contains("/hook/batch") {
        true => ids.iter().map(|id| format!("{id} accepted\r\n")).collect(),
        false => receipt(),
    };
    format!("HTTP/1.1 200 OK\r\nX-Receipt: {}\r\nContent-Length: {}\r\n\r\n{body}", receipt(), body.len())
}

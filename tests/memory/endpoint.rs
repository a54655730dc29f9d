//! Endpoints whose answers take long to come whole.

use crate::stand_ins::{ok, receipt, request, Served};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener};
use std::thread::{sleep, spawn};
use std::time::Duration;

/// How an endpoint answers.
#[derive(Clone, Copy, Debug)]
pub enum Answer {
    /// 200, with a body that no other answer has.
    Served,
    /// 200, a long body behind it byte by byte.
    DrippedBody { chunked: bool, status: u16 },
    /// Informational answers without end.
    Interim,
    /// A head of many fields, byte by byte at its end.
    ManyFields,
    /// A body as long as it may be, at once.
    LongBody { status: u16 },
    /// Nothing.
    Silence,
}

/// Between two bytes.
const PAUSE: Duration = Duration::from_micros(500);
const LONG_BODY: usize = 60_000;

fn drip(output: &mut impl Write, piece: &[u8]) -> Option<()> {
    sleep(PAUSE);
    output.write_all(piece).ok()
}

impl Answer {
    /// Says it; none where the other side is gone.
    fn say(self, output: &mut impl Write) -> Option<()> {
        match self {
            Answer::Served => output.write_all(ok(&receipt()).as_bytes()).ok(),
            Answer::DrippedBody { chunked, status } => {
                let framing = match chunked {
                    true => "Transfer-Encoding: chunked".to_string(),
                    false => format!("Content-Length: {LONG_BODY}"),
                };
                output.write_all(format!("HTTP/1.1 {status} X\r\n{framing}\r\n\r\n").as_bytes()).ok()?;
                let piece: &[u8] = if chunked { b"1\r\nx\r\n" } else { b"x" };
                (0..LONG_BODY).try_for_each(|_| drip(output, piece))
            }
            Answer::Interim => loop {
                drip(output, b"HTTP/1.1 102 Processing\r\n\r\n")?;
            },
            Answer::ManyFields => {
                output.write_all(b"HTTP/1.1 500 X\r\n").ok()?;
                (0..90).try_for_each(|n| {
                    output.write_all(format!("x{n}: {}\r\n", "v".repeat(300)).as_bytes()).ok()
                })?;
                (0..2_000).try_for_each(|_| drip(output, b"x"))
            }
            Answer::LongBody { status } => {
                let body = "x".repeat(LONG_BODY);
                output
                    .write_all(
                        format!("HTTP/1.1 {status} X\r\nContent-Length: {LONG_BODY}\r\n\r\n{body}")
                            .as_bytes(),
                    )
                    .ok()
            }
            Answer::Silence => loop {
                std::thread::park();
            },
        }
    }
}

/// Starts an endpoint that answers so.
pub fn endpoint(answer: Answer) -> SocketAddr {
    counting_endpoint(answer).0
}

/// The same, with the calls that it has taken by the ids of their messages, unless it is silent.
pub fn counting_endpoint(answer: Answer) -> (SocketAddr, Served) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let served = Served::default();
    let told = served.clone();
    spawn(move || {
        for stream in listener.incoming().flatten() {
            let told = told.clone();
            spawn(move || {
                stream.set_nodelay(true).ok();
                let mut output = stream.try_clone().unwrap();
                let mut input = BufReader::new(stream);
                while let Some((head, _)) = request(&mut input) {
                    let id = head.iter().find_map(|line| line.strip_prefix("x-request-id: "));
                    if let Some(id) = id.filter(|_| !matches!(answer, Answer::Silence)) {
                        told.tell(|told| *told.entry(id.to_string()).or_default() += 1);
                    }
                    if answer.say(&mut output).is_none() {
                        return;
                    }
                }
            });
        }
    });
    (address, served)
}

//! Stand-ins for both sides of the SMPP front, SMPP 3.4 by hand: an SMSC and an ESME.

use crate::base::Record;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

pub const BIND_TRANSMITTER: u32 = 0x2;
pub const SUBMIT_SM: u32 = 0x4;
pub const DELIVER_SM: u32 = 0x5;
pub const UNBIND: u32 = 0x6;
pub const BIND_TRANSCEIVER: u32 = 0x9;
pub const ENQUIRE_LINK: u32 = 0x15;
pub const RESPONSE: u32 = 0x8000_0000;

pub struct Pdu {
    pub id: u32,
    pub status: u32,
    pub sequence: u32,
    pub body: Vec<u8>,
}

pub fn encode(id: u32, status: u32, sequence: u32, body: &[u8]) -> Vec<u8> {
    let mut out = Vec::new();
    for field in [16 + body.len() as u32, id, status, sequence] {
        out.extend(field.to_be_bytes());
    }
    out.extend(body);
    out
}

/// The next PDU; none at the end of the connection.
pub fn read(input: &mut TcpStream) -> Option<Pdu> {
    let mut head = [0; 16];
    input.read_exact(&mut head).ok()?;
    let field = |at: usize| u32::from_be_bytes(head[at..at + 4].try_into().unwrap());
    let mut body = vec![0; (field(0) as usize).checked_sub(16)?];
    input.read_exact(&mut body).ok()?;
    Some(Pdu { id: field(4), status: field(8), sequence: field(12), body })
}

/// Reads fields off the front of a body.
struct Fields<'a>(&'a [u8]);

impl Fields<'_> {
    fn text(&mut self) -> String {
        let end = self.0.iter().position(|b| *b == 0).unwrap_or(self.0.len());
        let text = String::from_utf8_lossy(&self.0[..end]).into_owned();
        self.0 = self.0.get(end + 1..).unwrap_or(&[]);
        text
    }

    fn byte(&mut self) -> u8 {
        let byte = self.0.first().copied().unwrap_or(0);
        self.0 = self.0.get(1..).unwrap_or(&[]);
        byte
    }
}

/// The destination's address and the text of a submit_sm or deliver_sm.
pub fn message(body: &[u8]) -> (String, String) {
    let mut fields = Fields(body);
    fields.text();
    fields.byte();
    fields.byte();
    fields.text();
    fields.byte();
    fields.byte();
    let to = fields.text();
    fields.byte();
    fields.byte();
    fields.byte();
    fields.text();
    fields.text();
    fields.byte();
    fields.byte();
    fields.byte();
    fields.byte();
    let len = fields.byte() as usize;
    (to, String::from_utf8_lossy(&fields.0[..len.min(fields.0.len())]).into_owned())
}

fn text(out: &mut Vec<u8>, text: &str) {
    out.extend(text.as_bytes());
    out.push(0);
}

fn submit_body(service: &str, to: &str, words: &str) -> Vec<u8> {
    let mut out = Vec::new();
    text(&mut out, service);
    out.extend([1, 1]);
    text(&mut out, "12345");
    out.extend([1, 1]);
    text(&mut out, to);
    out.extend([0, 0, 0]);
    text(&mut out, "");
    text(&mut out, "");
    out.extend([1, 0, 0, 0, words.len() as u8]);
    out.extend(words.as_bytes());
    out
}

/// A submit that came to an SMSC.
#[derive(Clone)]
pub struct Came {
    pub at: Instant,
    pub smsc: &'static str,
    pub bind: u64,
    pub to: String,
    pub text: String,
    /// When it was answered.
    pub answered: Option<Instant>,
    /// When its bind ended, where it had not been answered by then.
    pub lost: Option<Instant>,
}

/// All submits that came to any SMSC.
pub type Log = Arc<Mutex<Vec<Came>>>;

/// An SMSC that accepts each bind and answers each submit with 0, so long after it came.
pub fn smsc(
    name: &'static str,
    log: Log,
    record: Record,
    takes: impl Fn(&str) -> Duration + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let takes = Arc::new(takes);
    spawn(move || {
        for (bind, stream) in (1..).zip(listener.incoming().flatten()) {
            let (log, record, takes) = (log.clone(), record.clone(), takes.clone());
            spawn(move || serve_bind(name, bind, stream, log, record, takes));
        }
    });
    address
}

fn serve_bind(
    name: &'static str,
    bind: u64,
    mut input: TcpStream,
    log: Log,
    record: Record,
    takes: Arc<impl Fn(&str) -> Duration + Send + Sync + 'static>,
) {
    input.set_nodelay(true).ok();
    let output = Arc::new(Mutex::new(input.try_clone().unwrap()));
    let say = |output: &Mutex<TcpStream>, bytes: Vec<u8>| output.lock().unwrap().write_all(&bytes).is_ok();
    while let Some(pdu) = read(&mut input) {
        let plain = |body: &[u8]| encode(pdu.id | RESPONSE, 0, pdu.sequence, body);
        match pdu.id {
            BIND_TRANSMITTER => {
                record.say(&format!("{name} bind {bind}: bound"));
                say(&output, plain(b"smsc\0"));
            }
            ENQUIRE_LINK => drop(say(&output, plain(b""))),
            UNBIND => {
                say(&output, plain(b""));
                record.say(&format!("{name} bind {bind}: unbound"));
                break;
            }
            SUBMIT_SM => {
                let (to, text) = message(&pdu.body);
                record.say(&format!("{name} bind {bind}: submit_sm {text} to {to}, sequence {}", pdu.sequence));
                let place = {
                    let mut log = log.lock().unwrap();
                    log.push(Came { at: Instant::now(), smsc: name, bind, to, text: text.clone(), answered: None, lost: None });
                    log.len() - 1
                };
                let (answer, output, log, record) = (plain(b"x1\0"), output.clone(), log.clone(), record.clone());
                let wait = takes(&text);
                spawn(move || {
                    sleep(wait);
                    // Marked first: whoever has read the answer finds it marked.
                    log.lock().unwrap()[place].answered = Some(Instant::now());
                    output.lock().unwrap().write_all(&answer).ok();
                    record.say(&format!("{name} bind {bind}: submit_sm_resp 0 for {text}"));
                });
            }
            _ => {}
        }
    }
    let mut log = log.lock().unwrap();
    let of_bind = log.iter_mut().filter(|came| came.smsc == name && came.bind == bind && came.answered.is_none());
    of_bind.for_each(|came| came.lost = Some(Instant::now()));
    record.say(&format!("{name} bind {bind}: connection ended"));
}

/// What an ESME has heard.
#[derive(Default)]
pub struct Heard {
    /// Receipts by message id, with their states.
    pub receipts: Vec<(String, String)>,
    /// Answers to submits by sequence number: status and message id.
    pub answers: Vec<(u32, u32, String)>,
    /// The connection has ended.
    pub ended: bool,
}

/// A bound ESME, which accepts each receipt at once.
pub struct Esme {
    pub output: Arc<Mutex<TcpStream>>,
    pub heard: Arc<Mutex<Heard>>,
    next: u32,
    record: Record,
}

impl Drop for Esme {
    fn drop(&mut self) {
        self.output.lock().unwrap().shutdown(std::net::Shutdown::Both).ok();
    }
}

impl Esme {
    /// Connects and binds as transceiver; none where that does not come to anything. `on_answer` hears each answer to a
    /// submit in the moment in which it is read.
    pub fn bind(
        relay: SocketAddr,
        account: &str,
        record: &Record,
        on_answer: impl Fn(u32, u32) + Send + 'static,
    ) -> Option<Esme> {
        let mut input = TcpStream::connect(relay).ok()?;
        input.set_nodelay(true).ok()?;
        let mut body = Vec::new();
        text(&mut body, account);
        text(&mut body, "secret");
        text(&mut body, "");
        body.extend([0x34, 0, 0, 0]);
        input.write_all(&encode(BIND_TRANSCEIVER, 0, 1, &body)).ok()?;
        let output = Arc::new(Mutex::new(input.try_clone().ok()?));
        let bound = read(&mut input)?;
        if bound.status != 0 {
            return None;
        }
        let heard = Arc::new(Mutex::new(Heard::default()));
        let (told, answers, notes) = (heard.clone(), output.clone(), record.clone());
        spawn(move || {
            while let Some(pdu) = read(&mut input) {
                if pdu.id == SUBMIT_SM | RESPONSE {
                    let id = Fields(&pdu.body).text();
                    told.lock().unwrap().answers.push((pdu.sequence, pdu.status, id.clone()));
                    on_answer(pdu.sequence, pdu.status);
                    notes.say(&format!("esme: submit_sm_resp {} for sequence {}, id {id}", pdu.status, pdu.sequence));
                    continue;
                }
                let answer = match pdu.id {
                    DELIVER_SM => {
                        let (_, words) = message(&pdu.body);
                        let part = |name: &str| {
                            let rest = words.split(name).nth(1).unwrap_or("");
                            rest.split(' ').next().unwrap_or("").to_string()
                        };
                        notes.say(&format!("esme: receipt for {}, {}", part("id:"), part("stat:")));
                        told.lock().unwrap().receipts.push((part("id:"), part("stat:")));
                        encode(DELIVER_SM | RESPONSE, 0, pdu.sequence, b"\0")
                    }
                    ENQUIRE_LINK | UNBIND => encode(pdu.id | RESPONSE, 0, pdu.sequence, b""),
                    _ => continue,
                };
                answers.lock().unwrap().write_all(&answer).ok();
            }
            told.lock().unwrap().ended = true;
        });
        Some(Esme { output, heard, next: 2, record: record.clone() })
    }

    /// Submits these messages in one write; their sequence numbers.
    pub fn submit(&mut self, service: &str, to: &str, texts: &[String]) -> Vec<u32> {
        let (mut bytes, mut sequences) = (Vec::new(), Vec::new());
        for text in texts {
            self.record.say(&format!("esme: submit_sm {text} to {to}, sequence {}", self.next));
            bytes.extend(encode(SUBMIT_SM, 0, self.next, &submit_body(service, to, text)));
            sequences.push(self.next);
            self.next += 1;
        }
        self.output.lock().unwrap().write_all(&bytes).ok();
        sequences
    }
}

/// An operator's file with an SMPP front, settings like those of the example under `deploy/`.
pub fn operator_file(listen: SocketAddr, deadline: &str, next_hops: &[(&str, SocketAddr, u32)]) -> String {
    let hops: String = next_hops
        .iter()
        .map(|(name, dial, dest)| {
            format!(
                "    next-hop {name} {{\n        dial {dial}\n        dest {dest}\n        system-id huron\n        password pw\n        binds 1\n        \
                 window 10\n        health active\n    }}\n"
            )
        })
        .collect();
    format!(
        "smpp {{
    listen {listen}
    system-id huronbay
    response 5s
    enquire-link 30s
    connect 1500ms
    max-pdu 70000
    limits {{
        calls-out 32
        max-open 400
        most-tries 8
        max-come-back 3s
    }}
    rules {{
        cold-share 0.2
        warm-up 10s
        overload-factor 2
        fall 1500ms
        key-rest 100ms
    }}
    class status-sync {{
        repeat safe
        aim 2s
        deadline {deadline}
        worth 1
        late-worth 0.4
        service-types STAT
    }}
    class dues-charges {{
        repeat unsafe
        aim 4s
        deadline {deadline}
        worth 3
        late-worth 0.3
        service-types DUES
    }}
    account lakeclub {{
        password \"secret\"
        class status-sync
        receipts always
        window 10
        max-binds 4
        max-owed 500
    }}
    destination 1 {{
        prefixes 1
    }}
    destination 2 {{
        prefixes 2
    }}
{hops}}}
"
    )
}

//! Stand-ins for both sides of the SMPP front, and their part of the scenario language:
//!
//! ```text
//! esme NAME bound                                binds as transceiver of club-a
//! esme NAME gets T STATE                         expects a receipt and accepts it
//! esme NAME bind transceiver|transmitter|receiver ACCOUNT PASSWORD
//! esme NAME send submit_sm TO text=T service=S validity=V | enquire_link | unbind | query_sm T | hex ...
//! esme NAME send deliver_sm_resp STATUS          answers the oldest receipt
//! esme NAME expect PDU STATUS | deliver_sm T STATE | close | nothing MS
//! smsc NAME expect T | nothing MS | unbind       NAME serves TO numbers that begin with its digit
//! smsc NAME send STATUS                          answers the oldest submit
//! smsc NAME answer T STATUS                      answers the newest submit of this message
//! smsc NAME ended                                the bind of the oldest submit ends
//! smsc NAME close | refuse STATUS | unbind | stop | listen | mute
//! ```

use crate::network::Places;
use basaltloom::transport::network::Arrived;
use basaltloom::transport::Stream;
use bytes::BytesMut;
use rusmpp::pdus::*;
use rusmpp::tlvs::TlvValue;
use rusmpp::tokio_codec::CommandCodec;
use rusmpp::types::{COctetString, EmptyOrFullCOctetString, OctetString};
use rusmpp::values::ServiceType;
use rusmpp::{Command, CommandStatus, Pdu};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{split, AsyncReadExt, AsyncWriteExt, ReadHalf};
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver, UnboundedSender};
use tokio::sync::Notify;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};
use tokio_util::codec::{Decoder, Encoder};

pub const FRONT: &str = "10.0.0.1:2775";
pub const SMSCS: [&str; 2] = ["10.2.0.1:2775", "10.2.0.2:2775"];
const PATIENCE: Duration = Duration::from_secs(120);

/// The operator's file: carriers `1` and `2`, two binds of two submits to the first, one of one to the second.
/// `swapped`: each at the other's address.
pub fn file(leaving: &[String], swapped: bool) -> String {
    let carrier = |i: usize, binds: u32, window: u32| {
        let health = if leaving.contains(&i.to_string()) { "leaving" } else { "active" };
        format!(
            "next-hop s{i} {{\n dial {}\n dest {i}\n system-id huron\n password pw\n binds {binds}\n window {window}
             health {health}\n }}",
            SMSCS[if swapped { 2 - i } else { i - 1 }]
        )
    };
    format!(
        "smpp {{
            listen {FRONT}
            response 2s
            enquire-link 10s
            max-pdu 1000
            limits {{\n calls-out 12\n max-open 20\n most-tries 8\n }}
            rules {{\n cold-share 1\n warm-up 100ms\n overload-factor 10\n }}
            class notice {{\n repeat safe\n aim 2s\n deadline 28s\n }}
            class dues {{\n repeat unsafe\n aim 4s\n deadline 24s\n worth 3\n service-types DUES\n }}
            account club-a {{\n password secret\n class notice\n max-owed 6\n }}
            account club-b {{\n password secret\n class notice\n receipts as-asked\n }}
            destination 1 {{\n prefixes 1\n }}
            destination 2 {{\n prefixes 2\n }}
            {}
            {}
        }}",
        carrier(1, 2, 2),
        carrier(2, 1, 1)
    )
}

struct Reader(ReadHalf<Stream>, BytesMut, CommandCodec);

impl Reader {
    async fn next(&mut self) -> Option<Command> {
        loop {
            if let Some(command) = self.2.decode(&mut self.1).ok()? {
                return Some(command);
            }
            if self.0.read_buf(&mut self.1).await.ok()? == 0 {
                return None;
            }
        }
    }
}

type Out = UnboundedSender<Vec<u8>>;

/// A reader, and a queue to a writer that ends when `kill` says so.
fn wire(stream: Stream, kill: Rc<Notify>) -> (Reader, Out) {
    let (input, mut output) = split(stream);
    let (out, mut queue) = unbounded_channel::<Vec<u8>>();
    spawn_local(async move {
        loop {
            tokio::select! {
                next = queue.recv() => match next {
                    Some(bytes) => if output.write_all(&bytes).await.is_err() { return },
                    None => break,
                },
                () = kill.notified() => break,
            }
        }
        output.shutdown().await.ok();
    });
    (Reader(input, BytesMut::new(), CommandCodec::new()), out)
}

fn put(out: &Out, status: u32, sequence: u32, pdu: impl Into<Pdu>) {
    let mut bytes = BytesMut::new();
    CommandCodec::new()
        .encode(Command::new(CommandStatus::from(status), sequence, pdu.into()), &mut bytes)
        .unwrap();
    out.send(bytes.to_vec()).ok();
}

fn text_of(bytes: &[u8]) -> String {
    String::from_utf8_lossy(bytes).into_owned()
}

pub fn c_string<const MIN: usize, const MAX: usize>(text: &str) -> COctetString<MIN, MAX> {
    COctetString::from_string(text.to_string()).unwrap()
}

/// A submit that reached an SMSC.
pub struct Submit {
    pub text: String,
    sequence: u32,
    out: Out,
    kill: Rc<Notify>,
}

impl Submit {
    pub fn answer(&self, status: u32) {
        put(&self.out, status, self.sequence, SubmitSmResp::builder().message_id(c_string("x")).build());
    }

    /// Writes so many bytes of an answer with this status, and ends the bind behind them.
    pub async fn cut(&self, status: u32, bytes: usize) {
        let (out, mut whole) = unbounded_channel();
        put(&out, status, self.sequence, SubmitSmResp::builder().message_id(c_string("x")).build());
        let answer = whole.recv().await.unwrap();
        self.out.send(answer[..bytes].to_vec()).ok();
        sleep(Duration::from_millis(1)).await;
        self.kill_bind();
    }

    /// Waits; true if the bind that it came on has ended by then.
    pub async fn ended(&self, within: Duration) -> bool {
        timeout(within, self.kill.notified()).await.is_ok()
    }

    /// Ends the bind that it came on.
    pub fn kill_bind(&self) {
        self.kill.notify_waiters();
    }
}

pub struct Smsc {
    address: SocketAddr,
    pub submits: UnboundedReceiver<Submit>,
    open: VecDeque<Submit>,
    binds: Rc<RefCell<Vec<Out>>>,
    /// Status of the answers to binds; none: it answers nothing at all.
    status: Rc<Cell<Option<u32>>>,
}

impl Smsc {
    pub fn listen(net: &Places, address: SocketAddr) -> Smsc {
        let mut streams = net.open(address);
        let (arrived, submits) = unbounded_channel();
        let (binds, status) = (Rc::new(RefCell::new(Vec::new())), Rc::new(Cell::new(Some(0))));
        let (b, s) = (binds.clone(), status.clone());
        spawn_local(async move {
            while let Some(Arrived { stream, .. }) = streams.recv().await {
                spawn_local(serve(stream, arrived.clone(), b.clone(), s.clone()));
            }
        });
        Smsc { address, submits, open: VecDeque::new(), binds, status }
    }

    pub async fn step(&mut self, net: &Places, words: &[&str], place: &str) {
        match words {
            ["expect", "nothing", ms] => {
                sleep(Duration::from_millis(ms.parse().unwrap())).await;
                let got = self.submits.try_recv().map(|s| s.text);
                assert!(got.is_err(), "{place}: got {got:?}");
            }
            ["expect", text, ..] => {
                let got = timeout(PATIENCE, self.submits.recv()).await.ok().flatten();
                let got = got.unwrap_or_else(|| panic!("{place}: nothing came"));
                assert_eq!(&got.text, text, "{place}");
                self.open.push_back(got);
            }
            ["send", status] => self.oldest(place).answer(status.parse().unwrap()),
            ["answer", text, status] => {
                let newest = self.open.iter().rposition(|submit| submit.text == *text);
                let submit = newest.and_then(|place| self.open.remove(place));
                submit.unwrap_or_else(|| panic!("{place}: it is not out")).answer(status.parse().unwrap());
            }
            ["ended", ..] => {
                let ended = self.oldest(place).ended(PATIENCE).await;
                assert!(ended, "{place}: its bind is there");
            }
            ["close"] => self.oldest(place).kill_bind(),
            ["cut", status, bytes] => {
                self.oldest(place).cut(status.parse().unwrap(), bytes.parse().unwrap()).await;
            }
            ["refuse", status] => self.status.set(Some(status.parse().unwrap())),
            ["mute"] => self.status.set(None),
            ["unbind"] => self.binds.borrow().iter().for_each(|out| put(out, 0, 900, Pdu::Unbind)),
            ["stop"] => net.refuse(self.address),
            ["listen"] => *self = Smsc::listen(net, self.address),
            _ => panic!("{place}: no such step"),
        }
    }

    /// What was out when the relay died is nobody's any more.
    pub fn forget(&mut self) {
        self.open.clear();
    }

    fn oldest(&mut self, place: &str) -> Submit {
        self.open.pop_front().unwrap_or_else(|| panic!("{place}: no submit is out"))
    }
}

async fn serve(
    stream: Stream,
    arrived: UnboundedSender<Submit>,
    binds: Rc<RefCell<Vec<Out>>>,
    status: Rc<Cell<Option<u32>>>,
) {
    let kill = Rc::new(Notify::new());
    let (mut reader, out) = wire(stream, kill.clone());
    binds.borrow_mut().push(out.clone());
    loop {
        let next = tokio::select! {
            next = reader.next() => next,
            () = kill.notified() => None,
        };
        let Some(command) = next else { break };
        let sequence = command.sequence_number();
        let Some(bind) = status.get() else { continue };
        match command.pdu() {
            Some(Pdu::BindTransmitter(_)) => put(&out, bind, sequence, BindTransmitterResp::default()),
            Some(Pdu::EnquireLink) => put(&out, 0, sequence, Pdu::EnquireLinkResp),
            Some(Pdu::Unbind) => put(&out, 0, sequence, Pdu::UnbindResp),
            Some(Pdu::SubmitSm(s)) => {
                assert_eq!(u8::from(s.registered_delivery), 0, "the receipt is the relay's to give");
                let text = text_of(s.short_message());
                arrived.send(Submit { text, sequence, out: out.clone(), kill: kill.clone() }).ok();
            }
            _ => {}
        }
    }
    binds.borrow_mut().retain(|o| !o.same_channel(&out));
    kill.notify_waiters();
}

/// Texts by the message ids under which the relay took them on.
pub type Texts = Rc<RefCell<HashMap<String, String>>>;

pub struct Esme {
    out: Out,
    pub heard: UnboundedReceiver<Command>,
    next: u32,
    texts: Texts,
    /// Texts of submits that have no answer yet, by sequence number.
    asked: Rc<RefCell<HashMap<u32, String>>>,
    receipts: VecDeque<u32>,
    kill: Rc<Notify>,
}

impl Esme {
    pub async fn connect(net: &Places, texts: Texts) -> Esme {
        let stream = net.dial(FRONT.parse().unwrap()).await.unwrap();
        let kill = Rc::new(Notify::new());
        let (mut reader, out) = wire(stream, kill.clone());
        let (sender, heard) = unbounded_channel();
        let asked: Rc<RefCell<HashMap<u32, String>>> = Rc::default();
        let (t, a, o) = (texts.clone(), asked.clone(), out.clone());
        spawn_local(async move {
            while let Some(command) = reader.next().await {
                match command.pdu() {
                    Some(Pdu::EnquireLink) => {
                        put(&o, 0, command.sequence_number(), Pdu::EnquireLinkResp);
                        continue;
                    }
                    Some(Pdu::SubmitSmResp(r)) if command.status() == CommandStatus::EsmeRok => {
                        let text = a.borrow_mut().remove(&command.sequence_number()).unwrap();
                        t.borrow_mut().insert(r.message_id().as_str().to_string(), text);
                    }
                    _ => {}
                }
                sender.send(command).ok();
            }
        });
        Esme { out, heard, next: 1, texts, asked, receipts: VecDeque::new(), kill }
    }

    pub fn bind(&mut self, kind: &str, account: &str, password: &str) {
        let (id, pw) = (c_string(account), c_string(password));
        let pdu: Pdu = match kind {
            "transmitter" => BindTransmitter::builder().system_id(id).password(pw).build().into(),
            "receiver" => BindReceiver::builder().system_id(id).password(pw).build().into(),
            _ => BindTransceiver::builder().system_id(id).password(pw).build().into(),
        };
        self.request(pdu);
    }

    pub fn submit(&mut self, to: &str, text: &str, service: &str, validity: &str, registered: u8) {
        let pdu = SubmitSm::builder()
            .service_type(ServiceType::new(c_string(service)))
            .source_addr(c_string("555"))
            .destination_addr(c_string(to))
            .validity_period(EmptyOrFullCOctetString::from_string(validity.to_string()).unwrap())
            .registered_delivery(registered.into())
            .short_message(OctetString::from_string(text.to_string()).unwrap())
            .build();
        self.asked.borrow_mut().insert(self.next, text.to_string());
        self.request(pdu);
    }

    fn request(&mut self, pdu: impl Into<Pdu>) {
        put(&self.out, 0, self.next, pdu);
        self.next += 1;
    }

    pub fn accept(&self, sequence: u32, status: u32) {
        put(&self.out, status, sequence, DeliverSmResp::default());
    }

    pub fn close(&self) {
        self.kill.notify_waiters();
    }

    /// The message and the state that a receipt tells of.
    pub fn receipt(&self, deliver: &DeliverSm) -> (String, String) {
        let text = text_of(deliver.short_message());
        let field = |name: &str| text.split(name).nth(1).unwrap().split(' ').next().unwrap().to_string();
        let id = deliver.tlvs().iter().find_map(|t| match t.value() {
            Some(TlvValue::ReceiptedMessageId(id)) => Some(id.as_str().to_string()),
            _ => None,
        });
        assert_eq!(id.as_deref(), Some(field("id:").as_str()), "the TLV and the text name one message");
        (self.texts.borrow()[&field("id:")].clone(), field("stat:"))
    }

    pub async fn step(&mut self, words: &[&str], place: &str) {
        let value = |name: &str| words.iter().find_map(|w| w.strip_prefix(name)).unwrap_or("");
        match words {
            ["bound"] => {
                self.bind("transceiver", "club-a", "secret");
                Box::pin(self.step(&["expect", "bind_transceiver_resp", "0"], place)).await;
            }
            ["take", rest @ ..] => {
                Box::pin(self.step(&[&["send", "submit_sm"], rest].concat(), place)).await;
                Box::pin(self.step(&["expect", "submit_sm_resp", "0"], place)).await;
            }
            ["gets", text, state] => {
                Box::pin(self.step(&["expect", "deliver_sm", text, state], place)).await;
                Box::pin(self.step(&["send", "deliver_sm_resp", "0"], place)).await;
            }
            ["bind", kind, account, password] => self.bind(kind, account, password),
            ["send", "submit_sm", to, ..] => {
                let registered = value("registered=").parse().unwrap_or(1);
                self.submit(to, value("text="), value("service="), value("validity="), registered);
            }
            ["send", "enquire_link"] => self.request(Pdu::EnquireLink),
            ["send", "unbind"] => self.request(Pdu::Unbind),
            ["send", "query_sm", text] => {
                let id = self.texts.borrow().iter().find(|(_, t)| t == text).unwrap().0.clone();
                self.request(QuerySm::builder().message_id(c_string(&id)).build());
            }
            ["send", "hex", bytes @ ..] => {
                let bytes = bytes.join("");
                let byte = |i: usize| u8::from_str_radix(&bytes[i..i + 2], 16).unwrap();
                self.out.send((0..bytes.len()).step_by(2).map(byte).collect()).unwrap();
            }
            ["send", "deliver_sm_resp", status] => {
                let sequence = self.receipts.pop_front().unwrap_or_else(|| panic!("{place}: no receipt"));
                self.accept(sequence, status.parse().unwrap());
            }
            ["close"] => self.close(),
            ["expect", "nothing", ms] => {
                sleep(Duration::from_millis(ms.parse().unwrap())).await;
                let got = self.heard.try_recv();
                assert!(got.is_err(), "{place}: got {got:?}");
            }
            ["expect", "close", ..] => {
                let got = timeout(PATIENCE, self.heard.recv()).await;
                assert!(got.unwrap_or_else(|_| panic!("{place}: still open")).is_none(), "{place}");
            }
            ["expect", "deliver_sm", text, state, ..] => {
                let got = self.next_heard(place).await;
                let Some(Pdu::DeliverSm(deliver)) = got.pdu() else { panic!("{place}: got {got:?}") };
                let (of, is) = self.receipt(deliver);
                assert_eq!((of.as_str(), is.as_str()), (*text, *state), "{place}");
                self.receipts.push_back(got.sequence_number());
            }
            ["expect", name, status, ..] => {
                let got = self.next_heard(place).await;
                let said = format!("{:?}", got.id()).to_lowercase();
                assert_eq!(said, name.replace('_', ""), "{place}: got {got:?}");
                assert_eq!(u32::from(got.status()).to_string(), *status, "{place}: got {got:?}");
            }
            _ => panic!("{place}: no such step"),
        }
    }

    async fn next_heard(&mut self, place: &str) -> Command {
        let got = timeout(PATIENCE, self.heard.recv()).await.ok().flatten();
        got.unwrap_or_else(|| panic!("{place}: nothing came"))
    }
}

//! A relay with its SMPP front, the SMSCs that it binds to, and ESMEs.

use crate::platform::{free_address, Platform, Process, Terms, READY_WITHIN, TELLS_LIVES};
use crate::slow_folder::SlowFolder;
use crate::stand_ins::{entry, folder, Discovery, Told};
use bytes::BytesMut;
use rusmpp::pdus::*;
use rusmpp::tokio_codec::CommandCodec;
use rusmpp::types::{COctetString, OctetString};
use rusmpp::values::ServiceType;
use rusmpp::{Command, CommandStatus, Pdu};
use rustix::process::{prlimit, Pid, Resource, Rlimit};
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};
use tokio_util::codec::{Decoder, Encoder};

pub const SECOND: Duration = Duration::from_secs(1);
/// The time of each message, where nothing else is said.
pub const TIME: Duration = Duration::from_secs(8);

/// What the operator's file says of messages and binds.
#[derive(Clone, Copy)]
pub struct SmppTerms {
    pub time: Duration,
    pub binds: usize,
    pub window: usize,
}

impl Default for SmppTerms {
    fn default() -> SmppTerms {
        SmppTerms { time: TIME, binds: 1, window: 10 }
    }
}

fn encode(status: u32, sequence: u32, pdu: impl Into<Pdu>) -> Vec<u8> {
    let mut bytes = BytesMut::new();
    let command = Command::new(CommandStatus::from(status), sequence, pdu.into());
    CommandCodec::new().encode(command, &mut bytes).unwrap();
    bytes.to_vec()
}

/// Hands on what comes until the connection ends.
fn each_command(mut input: TcpStream, mut heard: impl FnMut(Command)) {
    let (mut buffer, mut codec, mut piece) = (BytesMut::new(), CommandCodec::new(), [0; 4096]);
    while let Ok(1..) = input.read(&mut piece).inspect(|read| buffer.extend_from_slice(&piece[..*read])) {
        while let Ok(Some(command)) = codec.decode(&mut buffer) {
            heard(command);
        }
    }
}

fn c_string<const MIN: usize, const MAX: usize>(text: &str) -> COctetString<MIN, MAX> {
    COctetString::from_string(text.to_string()).unwrap()
}

/// A submit that came to an SMSC.
#[derive(Clone, Debug)]
pub struct Came {
    pub text: String,
    pub at: Instant,
    /// The connection that it came on.
    bind: SocketAddr,
    /// When it was answered, or its connection ended.
    pub over: Option<Instant>,
}

/// All submits that came to any SMSC.
pub type Submits = Told<Vec<Came>>;

/// Bytes may be on their way for so long.
const SLACK: Duration = Duration::from_millis(50);

/// Messages of which a submit came while an earlier one was out.
pub fn copies(submits: &[Came]) -> Vec<String> {
    let is_copy = |(place, came): &(usize, &Came)| {
        let earlier = submits[..*place].iter().filter(|other| other.text == came.text);
        earlier.clone().any(|other| other.over.is_none_or(|over| came.at + SLACK < over))
    };
    submits.iter().enumerate().filter(is_copy).map(|(_, came)| came.text.clone()).collect()
}

/// An SMSC that accepts whatever comes, so long after it came.
pub struct Smsc {
    pub address: SocketAddr,
    takes: Arc<AtomicU64>,
    binds: Arc<Mutex<Vec<TcpStream>>>,
}

impl Smsc {
    pub fn start(submits: &Submits) -> Smsc {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let (address, takes, binds) = (listener.local_addr().unwrap(), Arc::default(), Arc::default());
        let smsc = Smsc { address, takes, binds };
        let (submits, takes, binds) = (submits.clone(), smsc.takes.clone(), smsc.binds.clone());
        spawn(move || {
            for stream in listener.incoming().flatten() {
                binds.lock().unwrap().push(stream.try_clone().unwrap());
                let (submits, takes) = (submits.clone(), takes.clone());
                spawn(move || serve_bind(stream, submits, takes));
            }
        });
        smsc
    }

    /// An answer takes so long from now on.
    pub fn takes(&self, time: Duration) {
        self.takes.store(time.as_millis() as u64, Ordering::SeqCst);
    }

    /// Asks for all binds to end.
    pub fn unbind(&self) {
        let each = |mut bind: &TcpStream| drop(bind.write_all(&encode(0, 900, Pdu::Unbind)));
        self.binds.lock().unwrap().iter().for_each(each);
    }

    /// Ends all connections.
    pub fn reset(&self) {
        self.binds.lock().unwrap().drain(..).for_each(|bind| drop(bind.shutdown(Shutdown::Both)));
    }

    /// Connections that were ever opened to it.
    pub fn opened(&self) -> usize {
        self.binds.lock().unwrap().len()
    }
}

fn serve_bind(stream: TcpStream, submits: Submits, takes: Arc<AtomicU64>) {
    stream.set_nodelay(true).unwrap();
    let (bind, output) = (stream.peer_addr().unwrap(), stream.try_clone().unwrap());
    each_command(stream, |command| {
        let sequence = command.sequence_number();
        let answer = |pdu: Pdu| drop((&output).write_all(&encode(0, sequence, pdu)));
        match command.pdu() {
            Some(Pdu::BindTransmitter(_)) => answer(BindTransmitterResp::default().into()),
            Some(Pdu::EnquireLink) => answer(Pdu::EnquireLinkResp),
            Some(Pdu::Unbind) => {
                answer(Pdu::UnbindResp);
                output.shutdown(Shutdown::Both).ok();
            }
            Some(Pdu::SubmitSm(submit)) => {
                let text = String::from_utf8_lossy(submit.short_message()).into_owned();
                let place = submits.tell(|all| {
                    all.push(Came { text, at: Instant::now(), bind, over: None });
                    all.len() - 1
                });
                let (mut output, submits) = (output.try_clone().unwrap(), submits.clone());
                let time = Duration::from_millis(takes.load(Ordering::SeqCst));
                spawn(move || {
                    sleep(time);
                    // Marked first: whoever has read the answer finds it marked.
                    submits.tell(|all| all[place].over.get_or_insert_with(Instant::now).elapsed());
                    let response = SubmitSmResp::builder().message_id(c_string("x")).build();
                    output.write_all(&encode(0, sequence, response)).ok();
                });
            }
            _ => {}
        }
    });
    submits.tell(|all| {
        for came in all.iter_mut().filter(|came| came.bind == bind) {
            came.over.get_or_insert_with(Instant::now);
        }
    });
}

/// What an ESME has heard.
#[derive(Debug, Default)]
pub struct Heard {
    /// Answers to submits: sequence number, status, message id.
    pub answers: Vec<(u32, u32, String)>,
    /// Message ids and states of receipts, and when they came.
    pub receipts: Vec<(String, String, Instant)>,
    /// What else came: the name of the PDU, its sequence number, and the number of answers that came before it.
    pub others: Vec<(String, u32, usize)>,
    /// States that queries were answered with.
    pub states: Vec<String>,
}

pub struct Esme {
    output: TcpStream,
    pub heard: Told<Heard>,
    next: u32,
}

impl Esme {
    fn bind(address: SocketAddr) -> Option<Esme> {
        let output = TcpStream::connect(address).ok()?;
        output.set_nodelay(true).unwrap();
        let (input, mut answers) = (output.try_clone().unwrap(), output.try_clone().unwrap());
        let heard: Told<Heard> = Told::default();
        let telling = heard.clone();
        spawn(move || {
            each_command(input, |command| {
                let (sequence, status) = (command.sequence_number(), u32::from(command.status()));
                telling.tell(|heard| match command.pdu() {
                    Some(Pdu::SubmitSmResp(response)) => {
                        heard.answers.push((sequence, status, response.message_id().as_str().to_string()))
                    }
                    Some(Pdu::DeliverSm(deliver)) => {
                        let text = String::from_utf8_lossy(deliver.short_message()).into_owned();
                        let field = |name: &str| text.split(name).nth(1)?.split(' ').next();
                        let [id, state] = ["id:", "stat:"].map(|name| field(name).unwrap().to_string());
                        heard.receipts.push((id, state, Instant::now()));
                        answers.write_all(&encode(0, sequence, DeliverSmResp::default())).ok();
                    }
                    Some(Pdu::QuerySmResp(response)) => {
                        heard.states.push(format!("{:?}", response.message_state))
                    }
                    _ => {
                        let came = heard.answers.len();
                        heard.others.push((format!("{:?}", command.id()), sequence, came));
                    }
                });
                if let Some(Pdu::Unbind) = command.pdu() {
                    answers.write_all(&encode(0, sequence, Pdu::UnbindResp)).ok();
                }
            })
        });
        let mut esme = Esme { output, heard, next: 1 };
        let (id, password) = (c_string("club"), c_string("secret"));
        esme.request(BindTransceiver::builder().system_id(id).password(password).build());
        esme.hears(SECOND, |heard| !heard.others.is_empty()).then_some(esme)
    }

    /// Sends a request, and returns its sequence number.
    pub fn request(&mut self, pdu: impl Into<Pdu>) -> u32 {
        self.next += 1;
        self.output.write_all(&encode(0, self.next, pdu)).ok();
        self.next
    }

    pub fn submit(&mut self, service: &str, to: &str, text: &str) -> u32 {
        let submit = SubmitSm::builder()
            .service_type(ServiceType::new(c_string(service)))
            .destination_addr(c_string(to))
            .short_message(OctetString::from_string(text.to_string()).unwrap());
        self.request(submit.build())
    }

    pub fn query(&mut self, id: &str) {
        self.request(QuerySm::builder().message_id(c_string(id)).build());
    }

    /// Whether it has heard this within so long.
    pub fn hears(&self, within: Duration, is: impl Fn(&Heard) -> bool) -> bool {
        self.heard.until(within, is).is_some()
    }

    pub fn close(&self) {
        self.output.shutdown(Shutdown::Both).ok();
    }
}

/// A relay whose SMPP front binds to two SMSCs, for numbers that begin with 1 and 2.
pub struct Rig {
    platform: Platform,
    _discovery: Discovery,
    pub slow: SlowFolder,
    listen: SocketAddr,
    terms: SmppTerms,
    pub submits: Submits,
    pub smscs: [Smsc; 3],
}

impl Rig {
    pub fn new() -> Rig {
        Rig::with(SmppTerms::default())
    }

    pub fn with(terms: SmppTerms) -> Rig {
        let submits = Submits::default();
        let known = entry("h", free_address(), "active");
        let discovery = Discovery::start(known.clone());
        let dir = folder();
        let platform = Platform::new(&dir, &Terms::default(), discovery.address, &known);
        let smscs = [(); 3].map(|()| Smsc::start(&submits));
        let (slow, listen) = (SlowFolder::new(&dir), free_address());
        let rig = Rig { platform, _discovery: discovery, slow, listen, terms, submits, smscs };
        rig.lead_to([0, 1]);
        rig
    }

    /// The carriers are at these SMSCs, for whoever reads the operator's file from now on.
    pub fn lead_to(&self, smscs: [usize; 2]) {
        let SmppTerms { time, binds, window } = self.terms;
        // Two of them serve the second destination.
        let carriers = [(1, smscs[0]), (2, smscs[1]), (2, 2)].into_iter().enumerate();
        let carrier = |(name, (dest, smsc)): (usize, (u64, usize))| {
            let dial = self.smscs[smsc].address;
            format!(
                "next-hop s{name} {{\n dial {dial}\n dest {dest}\n system-id huron\n password pw\n binds {binds}
                 window {window}\n }}\n"
            )
        };
        let carriers: String = carriers.map(carrier).collect();
        let (listen, time) = (self.listen, time.as_millis());
        let text = format!(
            "{TELLS_LIVES}smpp {{
                listen {listen}
                response 2s
                limits {{\n calls-out 40\n max-open 400\n most-tries 8\n }}
                rules {{\n cold-share 1\n warm-up 100ms\n overload-factor 10\n }}
                class notice {{\n repeat safe\n in-order\n aim 2s\n deadline {time}ms\n }}
                class dues {{\n repeat unsafe\n aim 2s\n deadline {time}ms\n service-types DUES\n }}
                account club {{\n password secret\n class notice\n }}
                destination 1 {{\n prefixes 1\n }}
                destination 2 {{\n prefixes 2\n }}
                {carriers}}}\n"
        );
        let file = self.platform.dir.join("relay.conf");
        std::fs::write(file.with_extension("new"), text).unwrap();
        std::fs::rename(file.with_extension("new"), file).unwrap();
    }

    /// The next process, once it serves.
    pub fn start(&self) -> Process {
        let process = self.platform.start_with(|command| self.slow.preload(command));
        // Where one serves already the new one takes over.
        assert!(process.ready().is_some(), "{:?}", process.log.tell(|log| log.clone()));
        let from = Instant::now();
        while TcpStream::connect(self.listen).is_err() {
            assert!(from.elapsed() < READY_WITHIN, "{:?}", process.log.tell(|log| log.clone()));
            sleep(Duration::from_millis(5));
        }
        process
    }

    pub fn esme(&self) -> Esme {
        let from = Instant::now();
        loop {
            match Esme::bind(self.listen) {
                Some(esme) => return esme,
                None => assert!(from.elapsed() < READY_WITHIN, "it does not bind"),
            }
        }
    }

    /// Lets no file of the process grow any more, or lifts that.
    pub fn refuse_writes(&self, process: &Process, refuse: bool) {
        let pid = Pid::from_raw(process.id() as i32);
        let most = refuse.then_some(1);
        prlimit(pid, Resource::Fsize, Rlimit { current: most, maximum: None }).ok();
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.platform.dir).ok();
    }
}

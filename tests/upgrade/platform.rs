//! The platform that runs a relay: it holds the callers' listening socket, starts processes of the program one beside
//! another, tells them to end, and asks them at their consoles.

use crate::stand_ins::page_form::page_form_with;
use crate::stand_ins::{status, whole, Told};
use rustix::process::{kill_process, Pid, Signal};
use serde_json::Value;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// A new process says yes within this time.
pub const READY_WITHIN: Duration = Duration::from_secs(6);
/// From SIGTERM on a process may be killed after this time.
pub const KILLED_AFTER: Duration = Duration::from_millis(3_700);

/// Settings of the relay beside its addresses.
pub struct Terms {
    pub descriptors: usize,
    pub slots: usize,
    /// Messages that may share a call.
    pub per_call: usize,
    pub services: &'static str,
    /// The operator's own file.
    pub operator: &'static str,
    /// Whether processes inherit the listening socket.
    pub inherit: bool,
}

/// An operator's file that has each message's life told in the log.
#[allow(dead_code)]
pub const TELLS_LIVES: &str = "log {\ntarget messages debug\n}\n";

/// `notice` may not be repeated, `update` is keyed and in order, `status` may be repeated.
pub const SERVICES: &str = r#"
{"name":"notice","aim":2000000000,"deadline":20000000000,"importance":3,"late_worth":0.5,"repeat":"side_effect",
 "memory_span":8000000000,"group":"all","stream":false},
{"name":"update","aim":2000000000,"deadline":20000000000,"importance":1,"late_worth":0.5,"repeat":"token",
 "memory_span":8000000000,"group":"all","stream":false,"in_order":true},
{"name":"status","aim":2000000000,"deadline":20000000000,"importance":1,"late_worth":0.5,"repeat":"pure",
 "memory_span":8000000000,"group":"all","stream":false}"#;

impl Default for Terms {
    fn default() -> Terms {
        Terms { descriptors: 256, slots: 32, per_call: 1, services: SERVICES, operator: "", inherit: true }
    }
}

pub struct Platform {
    /// None where processes listen by themselves.
    listener: Option<TcpListener>,
    pub address: SocketAddr,
    pub dir: PathBuf,
    pub descriptors: usize,
}

/// A process of the program.
pub struct Process {
    child: Child,
    pub console: SocketAddr,
    pub log: Told<Vec<String>>,
}

/// The first port of addresses that nobody listens at.
const FREE_PORTS: u16 = 20_000;

/// An address that nobody listens at, on a loopback host that no other test uses. It is not tried by listening there: a process
/// that another test starts in that moment would hold the listener too, for a while.
pub fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let [.., high, low] = std::process::id().to_be_bytes();
    let [tens, ones] = NEXT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let host = Ipv4Addr::new(127, high | 0x80, low, ones);
    SocketAddr::from((host, FREE_PORTS + u16::from(tens)))
}

/// The program: a release build where one is named, as CI does, else the one built with the tests.
pub fn program() -> PathBuf {
    let named = std::env::var_os("BASALTLOOM_PROGRAM").map(PathBuf::from);
    named.unwrap_or_else(|| PathBuf::from(env!("CARGO_BIN_EXE_basaltloom")))
}

impl Platform {
    /// A relay that is to be run in `dir`, with what it knows of its endpoints.
    pub fn new(dir: &Path, terms: &Terms, discovery: SocketAddr, known: &str) -> Platform {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let listener = terms.inherit.then_some(listener);
        let Terms { descriptors, slots, per_call, services, .. } = *terms;
        let services: Value = serde_json::from_str(&format!("[{services}]")).unwrap();
        let known: Value = serde_json::from_str(&whole(&(1, known.to_string()))).unwrap();
        let document = page_form_with([
            ("/listen", address.to_string().into()),
            ("/discovery", discovery.to_string().into()),
            ("/limits/sockets", descriptors.into()),
            ("/known", known),
            ("/settings/domain/calls_out", slots.into()),
            ("/settings/domain/per_call", vec![per_call].into()),
            ("/settings/rules/key_rest", 100_000_000.into()),
            ("/settings/services", services),
        ]);
        std::fs::write(dir.join("c.json"), document.to_string()).unwrap();
        std::fs::write(dir.join("relay.conf"), terms.operator).unwrap();
        Platform { listener, address, dir: dir.to_path_buf(), descriptors }
    }

    /// The configuration that lies there.
    #[allow(dead_code)]
    pub fn document(&self) -> Value {
        serde_json::from_str(&std::fs::read_to_string(self.dir.join("c.json")).unwrap()).unwrap()
    }

    /// Puts a configuration in its place, as a file that is there whole or not at all.
    #[allow(dead_code)]
    pub fn write(&self, text: &str) {
        std::fs::write(self.dir.join("c.json.new"), text).unwrap();
        std::fs::rename(self.dir.join("c.json.new"), self.dir.join("c.json")).unwrap();
    }

    pub fn state(&self) -> PathBuf {
        self.dir.join("state")
    }

    /// Starts one more process, as the platform does: the same for all but a console of its own.
    pub fn start(&self) -> Process {
        self.start_with(|command| command)
    }

    pub fn start_with(&self, more: impl FnOnce(&mut Command) -> &mut Command) -> Process {
        let inherited = if self.listener.is_some() { "3<&0" } else { "" };
        let operator = self.dir.join("relay.conf");
        let operator = operator.display();
        // A write beyond a limit on file sizes is to fail, not to end the process.
        self.start_by(
            &format!("trap '' XFSZ; exec \"$0\" serve --operator \"{operator}\" {inherited} 0</dev/null"),
            more,
        )
    }

    /// Starts one by a line of the shell, to which the listening socket comes as standard input.
    pub fn start_by(&self, line: &str, more: impl FnOnce(&mut Command) -> &mut Command) -> Process {
        let descriptors = self.descriptors;
        let script = format!("ulimit -n {descriptors}; {line}");
        let console = free_address();
        let mut command = Command::new("sh");
        command.arg("-c").arg(script).arg(program());
        command.env("LB_CONFIG", self.dir.join("c.json")).env("LB_STATE", self.state());
        command.env("LB_CONSOLE", console.to_string());
        for name in ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY"] {
            command.env_remove(name);
        }
        match &self.listener {
            Some(listener) => {
                let inherited = OwnedFd::from(listener.try_clone().unwrap());
                command.env("LB_FD", "3").stdin(inherited);
            }
            None => drop(command.env_remove("LB_FD").stdin(Stdio::null())),
        }
        more(&mut command);
        let mut child = command.stdout(Stdio::null()).stderr(Stdio::piped()).spawn().unwrap();
        let lines = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
        let log: Told<Vec<String>> = Told::default();
        let all = log.clone();
        spawn(move || lines.for_each(|line| all.tell(|l| l.push(line))));
        Process { child, console, log }
    }

    /// Starts a process that inherits no socket, and waits until it serves or has ended.
    pub fn start_beside(&self) -> Process {
        let mut process = self.start();
        let from = Instant::now();
        let serves = |p: &Process| p.log.tell(|l| l.iter().any(|line| line.contains("serves on")));
        while !serves(&process) && process.ended().is_none() && from.elapsed() < READY_WITHIN {
            sleep(Duration::from_millis(5));
        }
        process
    }

    /// The next process, once it has said yes.
    pub fn start_ready(&self) -> Process {
        let process = self.start();
        let took = process.ready();
        assert!(took.is_some(), "it never said yes: {:?}", process.log.tell(|l| l.clone()));
        process
    }

    /// Has a new process take over from the one that serves, as the platform does. Returns it once the old one is gone.
    pub fn upgrade(&self, old: Process) -> Process {
        let new = self.start_ready();
        old.end();
        new
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        stream
    }

    /// The answer to a request on a connection of its own, as its status.
    pub fn ask(&self, request: &str) -> Option<u16> {
        let mut stream = self.connect();
        stream.write_all(request.as_bytes()).ok()?;
        status(&mut stream)
    }
}

/// Whether a line of the log names this id, and not one that begins like it.
fn names(line: &str, id: &str) -> bool {
    let behind = |at: usize| line[at + id.len()..].chars().next();
    line.match_indices(id).any(|(at, _)| behind(at).is_none_or(|c| !c.is_ascii_alphanumeric()))
}

/// The lines of a log about these messages, and those that tell that the process was held up.
pub fn lives_of(log: &Told<Vec<String>>, ids: &[String]) -> Vec<String> {
    let held_up = ["held-up", "journal-slow"];
    let is_about = |line: &String| {
        ids.iter().any(|id| names(line, id)) || held_up.iter().any(|event| line.contains(event))
    };
    match ids.is_empty() {
        true => Vec::new(),
        false => log.tell(|lines| lines.iter().filter(|line| is_about(line)).cloned().collect()),
    }
}

impl Process {
    /// Asks at the console; the status of the answer.
    pub fn call(&self, method: &str, path: &str) -> Option<u16> {
        let mut stream = TcpStream::connect(self.console).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(1))).unwrap();
        let request = format!("{method} {path} HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        stream.write_all(request.as_bytes()).ok()?;
        status(&mut stream)
    }

    pub fn says_yes(&self) -> bool {
        self.call("GET", "/admin/health") == Some(200)
    }

    /// After how long it says yes; none if it does not in time or has ended.
    pub fn ready(&self) -> Option<Duration> {
        let from = Instant::now();
        while from.elapsed() < READY_WITHIN {
            if self.says_yes() {
                return Some(from.elapsed());
            }
            sleep(Duration::from_millis(10));
        }
        None
    }

    /// How many lines of its log have these words.
    #[allow(dead_code)]
    pub fn count_of(&self, words: &str) -> usize {
        self.log.tell(|l| l.iter().filter(|line| line.contains(words)).count())
    }

    /// Its log has these words, or will in a moment: it is read while the process may have ended.
    pub fn says(&self, words: &str) {
        let said = self.log.until(READY_WITHIN, |l| l.iter().any(|line| line.contains(words)));
        assert!(said.is_some(), "no {words:?}: {:?}", self.log.tell(|l| l.clone()));
    }

    /// The lines of its log about these messages, where it tells each message's life.
    #[allow(dead_code)]
    pub fn lives_of(&self, ids: &[String]) -> Vec<String> {
        lives_of(&self.log, ids)
    }

    pub fn signal(&self, signal: Signal) {
        kill_process(Pid::from_child(&self.child), signal).ok();
    }

    /// Its number.
    #[allow(dead_code)]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Whether it has ended, and how.
    pub fn ended(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().unwrap()
    }

    /// Waits for its end; none if it runs on.
    pub fn ends_within(&mut self, most: Duration) -> Option<ExitStatus> {
        let from = Instant::now();
        loop {
            match self.ended() {
                Some(status) => return Some(status),
                None if from.elapsed() > most => return None,
                None => sleep(Duration::from_millis(5)),
            }
        }
    }

    /// SIGTERM, and SIGKILL at the earliest time at which it may come.
    pub fn end(mut self) {
        self.signal(Signal::TERM);
        self.ends_within(KILLED_AFTER);
        self.kill();
    }

    pub fn kill(&mut self) {
        self.child.kill().ok();
        self.child.wait().unwrap();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

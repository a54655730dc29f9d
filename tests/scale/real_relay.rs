//! The real program as a process, spoken to as clients do and measured from outside.

use super::list::UNLISTED;
use super::page_form::completed;
use super::process_figures::ProcessFigures;
use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// Time allowed for an answer.
const ANSWER_WITHIN: Duration = Duration::from_secs(20);
/// Between two questions whether something is in force.
const ASKED_EACH: Duration = Duration::from_millis(5);

/// The program: a release build where one is named, as CI does, else the one built with the tests.
pub fn program() -> PathBuf {
    let named = std::env::var_os("BASALTLOOM_PROGRAM").map(PathBuf::from);
    named.unwrap_or_else(|| PathBuf::from(env!("CARGO_BIN_EXE_basaltloom")))
}

/// How a relay is started.
#[derive(Clone, Debug)]
pub struct RelayPlan {
    pub name: String,
    pub listen: SocketAddr,
    /// Without it the relay follows no list.
    pub discovery: Option<SocketAddr>,
    pub fleet_size: usize,
    pub disk_mb: u64,
    /// The operator's file, where it has one.
    pub operator: String,
    /// The list that it is started with: version and entries, as JSON.
    pub known: Option<String>,
}

/// What came of a message that was handed in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    TakenOn,
    Refused,
}

/// A running process of the program.
pub struct RealRelay {
    child: Child,
    plan: RelayPlan,
    folder: PathBuf,
    /// A connection of a client, kept.
    client: Option<BufReader<TcpStream>>,
    handed_in: u64,
}

impl RealRelay {
    /// Starts it; it may not serve yet.
    pub fn start(plan: RelayPlan) -> io::Result<RealRelay> {
        let folder =
            std::env::temp_dir().join(format!("basaltloom-scale-{}-{}", std::process::id(), plan.name));
        fs::create_dir_all(&folder)?;
        fs::write(folder.join("c.json"), configuration(&plan))?;
        fs::write(folder.join("relay.conf"), &plan.operator)?;
        let mut command = Command::new(program());
        for name in ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_STATE", "LB_CONFIG"] {
            command.env_remove(name);
        }
        command.arg("serve").arg("--config").arg(folder.join("c.json"));
        command.arg("--operator").arg(folder.join("relay.conf")).env("LB_STATE", &folder);
        let log = fs::File::create(folder.join("log"))?;
        let child = command.stdout(Stdio::null()).stderr(log).spawn()?;
        Ok(RealRelay { child, plan, folder, client: None, handed_in: 0 })
    }

    /// The process.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Its figures now.
    pub fn figures(&self) -> ProcessFigures {
        ProcessFigures::of(self.id()).unwrap_or_default()
    }

    /// What it has logged so far.
    pub fn log(&self) -> String {
        fs::read_to_string(self.folder.join("log")).unwrap_or_default()
    }

    /// How many members it holds to be there, by the view in its folder.
    pub fn members(&self) -> Option<usize> {
        let said = basaltloom::program::fleet::members(&self.folder).ok()?;
        let head = said.lines().next().filter(|head| !head.contains("stale"))?;
        head.split(", ").find_map(|part| part.strip_suffix(" there"))?.parse().ok()
    }

    /// Hands in a message for a destination.
    pub fn hand_in(&mut self, destination: u64) -> io::Result<Answer> {
        self.handed_in += 1;
        let (id, host) = (self.handed_in, self.plan.listen);
        let request = format!(
            "POST /notice HTTP/1.1\r\nHost: {host}\r\nX-Request-ID: {id:016x}\r\nX-Timeout: 400m\r\nX-Consignee: dest={destination}\r\nContent-Length: 5\r\n\r\nhello"
        );
        let answered = self.exchange(&request);
        if answered.is_err() {
            self.client = None;
        }
        match answered? {
            200 | 202 => Ok(Answer::TakenOn),
            429 | 503 => Ok(Answer::Refused),
            other => Err(io::Error::other(format!("status {other}"))),
        }
    }

    /// Whether it knows its list: it turns away what no entry serves only then.
    pub fn knows_its_list(&mut self) -> bool {
        self.hand_in(UNLISTED).is_ok_and(|answer| answer == Answer::Refused)
    }

    /// Waits until it takes on messages for a destination; how long that took.
    pub fn until_served(&mut self, destination: u64, most: Duration) -> Option<Duration> {
        let from = Instant::now();
        while from.elapsed() < most {
            if self.hand_in(destination).is_ok_and(|answer| answer == Answer::TakenOn) {
                return Some(from.elapsed());
            }
            sleep(ASKED_EACH);
        }
        None
    }

    /// Waits until it knows its list; how long that took.
    pub fn until_list_known(&mut self, most: Duration) -> Option<Duration> {
        let from = Instant::now();
        while from.elapsed() < most {
            if self.knows_its_list() {
                return Some(from.elapsed());
            }
            sleep(4 * ASKED_EACH);
        }
        None
    }

    fn exchange(&mut self, request: &str) -> io::Result<u16> {
        if self.client.is_none() {
            let stream = TcpStream::connect_timeout(&self.plan.listen, ANSWER_WITHIN)?;
            stream.set_read_timeout(Some(ANSWER_WITHIN))?;
            stream.set_nodelay(true)?;
            self.client = Some(BufReader::new(stream));
        }
        let client = self.client.as_mut().ok_or_else(|| io::Error::other("no connection"))?;
        client.get_mut().write_all(request.as_bytes())?;
        read_answer(client)
    }
}

fn read_answer(client: &mut BufReader<TcpStream>) -> io::Result<u16> {
    let (mut line, mut length) = (String::new(), 0);
    client.read_line(&mut line)?;
    let status = line.split(' ').nth(1).and_then(|code| code.parse().ok());
    let status = status.ok_or_else(|| io::Error::other(format!("no status in {line:?}")))?;
    while line.trim_end() != "" {
        line.clear();
        client.read_line(&mut line)?;
        if let Some(said) = line.to_ascii_lowercase().strip_prefix("content-length:") {
            length = said.trim().parse().unwrap_or(0);
        }
    }
    io::copy(&mut client.take(length), &mut io::sink())?;
    Ok(status)
}

fn configuration(plan: &RelayPlan) -> String {
    let RelayPlan { name, listen, discovery, fleet_size, disk_mb, known, .. } = plan;
    let known = known.as_ref().map_or(String::new(), |known| format!(r#""known":{known},"#));
    let discovery = discovery.map_or(String::new(), |at| format!(r#""discovery":"{at}","#));
    completed(&format!(
        r#"{{"name":"{name}","listen":"{listen}",{discovery}"seed":"1",{known}
"limits":{{"sockets":1024,"disk_mb":{disk_mb}}},
"settings":{{"fleet_size":{fleet_size},"domain":{{"calls_out":64,"per_call":[1]}},"kinds":["m1"],"azs":["a","b","c"],
"limits":{{"max_open":100000,"most_tries":6,"peers":true,"retry_after":false}},
"rules":{{"cold_share":0.3,"fall":1500000000,"overload_factor":2.0,"warm_up":9000000000}},
"services":[{{"name":"notice","aim":1000000000,"deadline":20000000000,"importance":1,"late_worth":0.5,"repeat":"pure"}}]}}}}"#
    ))
}

impl Drop for RealRelay {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
        fs::remove_dir_all(&self.folder).ok();
    }
}

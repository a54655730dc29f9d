//! The program as a process.

use crate::stand_ins::page_form::completed;
use crate::stand_ins::{post, status, whole, Told};
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::thread::spawn;
use std::time::Duration;

pub struct Relay {
    pub child: Child,
    pub address: SocketAddr,
    pub log: Told<Vec<String>>,
}

impl Relay {
    pub fn start(dir: &Path, descriptors: usize, discovery: SocketAddr, known: &str) -> Relay {
        let config = completed(&format!(
            r#"{{"name":"n1","listen":"127.0.0.1:0","discovery":"{discovery}","seed":"1",
"limits":{{"sockets":{descriptors},"disk_mb":3}},"known":{},
"settings":{{"azs":["z"],"kinds":["k"],"fleet_size":1,"domain":{{"calls_out":32,"per_call":[1]}},
"limits":{{"max_open":4000,"most_tries":8,"retry_after":true,"max_retry_after":3000000000,"keepalive":10000000000}},
"rules":{{"cold_share":1.0,"fall":1500000000,"overload_factor":1000.0,"warm_up":100000000}},
"services":[{{"name":"notice","aim":2000000000,"deadline":20000000000,"importance":1,"late_worth":0.5,
"repeat":"side_effect"}}]}}}}"#,
            whole(&(1, known.to_string()))
        ));
        std::fs::write(dir.join("c.json"), config).unwrap();
        let start = format!("ulimit -n {descriptors}; exec \"$0\" serve --config \"$1\"");
        let mut command = Command::new("sh");
        command.args(["-c", &start, env!("CARGO_BIN_EXE_basaltloom")]).arg(dir.join("c.json"));
        for name in ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_CONFIG"] {
            command.env_remove(name);
        }
        command.env("LB_STATE", dir.join("state"));
        let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
        let mut lines = BufReader::new(child.stderr.take().unwrap()).lines().map_while(Result::ok);
        let log: Told<Vec<String>> = Told::default();
        let address = lines.find_map(|line| {
            let address =
                line.split_once("serves on ").and_then(|(_, rest)| rest.split(' ').next()?.parse().ok());
            log.tell(|l| l.push(line));
            address
        });
        let all = log.clone();
        spawn(move || lines.for_each(|line| all.tell(|l| l.push(line))));
        Relay { child, address: address.expect("it serves"), log }
    }

    pub fn signal(&self, name: &str) {
        Command::new("kill").args([name, &self.child.id().to_string()]).status().unwrap();
    }

    pub fn connect(&self) -> TcpStream {
        let stream = TcpStream::connect(self.address).unwrap();
        stream.set_nodelay(true).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        stream
    }

    /// Hands a message in on a connection of its own; the status, or none.
    pub fn hand_in(&self, id: &str, body: usize) -> Option<u16> {
        let mut stream = self.connect();
        stream.write_all(post(id, body, "").as_bytes()).ok()?;
        status(&mut stream)
    }

    pub fn ready(&self) -> bool {
        let mut stream = self.connect();
        stream.write_all(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").is_ok()
            && status(&mut stream) == Some(200)
    }

    pub fn kill(&mut self) {
        self.child.kill().unwrap();
        self.child.wait().unwrap();
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

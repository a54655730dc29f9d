//! The platform's agent on loopback, discovery and notices, which on a connection that it has answered before sends an
//! earlier answer again, and hears nothing more on it.

use crate::stand_ins::{ok, request, watched, whole, Told};
use std::collections::BTreeSet;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

pub struct Agent {
    pub address: SocketAddr,
    /// Ids of the messages whose ends it has heard.
    pub ended: Told<BTreeSet<String>>,
    list: Arc<Mutex<(u64, String)>>,
}

impl Agent {
    pub fn start(hosts: &str) -> Agent {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let (ended, list) = (Told::default(), Arc::new(Mutex::new((1, hosts.to_string()))));
        let (heard, in_force) = (ended.clone(), list.clone());
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let (heard, in_force) = (heard.clone(), in_force.clone());
                spawn(move || serve(stream, &heard, &in_force));
            }
        });
        Agent { address, ended, list }
    }

    /// The next version of the list.
    pub fn change(&self, hosts: &str) {
        let mut list = self.list.lock().unwrap();
        *list = (list.0 + 1, hosts.to_string());
    }
}

fn serve(stream: TcpStream, ended: &Told<BTreeSet<String>>, list: &Mutex<(u64, String)>) {
    let mut output = stream.try_clone().unwrap();
    let mut input = BufReader::new(stream);
    let Some((head, body)) = request(&mut input) else { return };
    let first = match head[0].starts_with("POST") {
        true => acknowledge(&body, ended),
        false => told(&head[0], list),
    };
    if output.write_all(first.as_bytes()).is_err() {
        return;
    }
    // Later lists still come on a connection with a watch; then what was said first comes once more.
    while let Some((head, _)) = request(&mut input) {
        let newer = !head[0].starts_with("POST") && list.lock().unwrap().0 > watched(&head[0]).0.unwrap_or(0);
        let answer = if newer { told(&head[0], list) } else { first.clone() };
        if output.write_all(answer.as_bytes()).is_err() {
            return;
        }
        sleep(Duration::from_millis(20));
    }
}

fn acknowledge(body: &[u8], ended: &Told<BTreeSet<String>>) -> String {
    let lines = body.split(|byte| *byte == b'\n').filter(|line| !line.is_empty());
    let ids = lines.map(|line| {
        let notice: serde_json::Value = serde_json::from_slice(line).unwrap();
        notice["id"].as_str().unwrap().to_string()
    });
    ended.tell(|ended| ended.extend(ids));
    "HTTP/1.1 204 No Content\r\n\r\n".to_string()
}

/// The list, held back while the asker knows it.
fn told(line: &str, list: &Mutex<(u64, String)>) -> String {
    let since = Instant::now();
    let (from, hold) = watched(line);
    while from.is_some_and(|from| from >= list.lock().unwrap().0) && since.elapsed() < hold {
        sleep(Duration::from_millis(5));
    }
    let list = list.lock().unwrap().clone();
    ok(&whole(&list))
}

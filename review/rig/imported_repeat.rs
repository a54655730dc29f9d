//! A configuration of nginx, imported. It has dues charges go to a next server only where one answers 503, which says that nothing
//! has run. The payment partner fails most of the calls for a while, by 500, which leaves open whether they have run. What may have run
//! may not be sent again.

use crate::base::*;
use crate::http::{endpoint, Act, Call, Calls};
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::process::Command;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::{sleep, spawn};
use std::time::{Duration, Instant};

/// What a call takes at a partner of usual pace, and one that fails.
const PACE: Duration = Duration::from_millis(300);
const QUICK: Duration = Duration::from_millis(50);
/// Of so many calls so many fail while the partner is in trouble.
const FAIL: (usize, usize) = (3, 5);
const BEFORE: Duration = Duration::from_secs(10);
const FAILING: Duration = Duration::from_secs(15);
const AFTER: Duration = Duration::from_secs(5);
/// By then all that was taken on has its end.
const REST: Duration = Duration::from_secs(26);
/// Between two messages, of which one in five is a charge.
const EACH: Duration = Duration::from_millis(200);

/// When a charge may go to a next server; NEXT says something else.
const NEXT: &str = "http_503 non_idempotent";

fn nginx_conf(listen: SocketAddr, payments: [SocketAddr; 2], notices: SocketAddr, directive: &str) -> String {
    let [a, b] = payments;
    format!(
        "http {{
    upstream payments {{
        server {a};
        server {b};
    }}
    upstream notices {{
        server {notices};
    }}
    server {{
        listen {listen};
        location /dues-charges/ {{
            proxy_pass http://payments;
            proxy_read_timeout 24s;
            {directive}
        }}
        location /status-sync/ {{
            proxy_pass http://notices;
            proxy_read_timeout 28s;
        }}
    }}
}}
"
    )
}

/// Hands a message in as a proxy does; the status of the answer.
pub fn hand_in(relay: SocketAddr, class: &str, id: &str, record: &Record) -> Option<u16> {
    let mut stream = TcpStream::connect(relay).ok()?;
    stream.set_nodelay(true).ok();
    stream.set_read_timeout(Some(Duration::from_millis(400))).ok();
    record.say(&format!("client: POST /{class}/ {id}"));
    let text = format!("POST /{class}/ HTTP/1.1\r\nHost: api.internal\r\nX-Request-ID: {id}\r\nContent-Length: 5\r\n\r\nhello");
    stream.write_all(text.as_bytes()).ok()?;
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).ok()?;
    record.say(&format!("client: {} for {id}", line.trim_end()));
    line.split(' ').nth(1)?.parse().ok()
}

/// Imports a configuration of nginx: what that prints, and its notes.
pub fn import(folder: &Folder, conf: &str, record: &Record) -> Option<(String, String)> {
    let conf = folder.file("nginx.conf", conf);
    let mut command = Command::new("target/release/basaltloom");
    let imported = ends_with_us(&mut command).arg("import").arg(&conf).output().ok()?;
    let notes = String::from_utf8_lossy(&imported.stderr).into_owned();
    record.say(&format!("import: {}, {} notes {notes}", imported.status, notes.lines().count()));
    imported.status.success().then(|| (String::from_utf8_lossy(&imported.stdout).into_owned(), notes))
}

/// Starts a relay by the configuration in this folder, and waits until it is ready.
pub fn serve(folder: &Folder, listen: SocketAddr) -> Option<Process> {
    let path = |name: &str| folder.0.join(name).display().to_string();
    let variables = [
        ("LB_NAME", "n0".to_string()),
        ("LB_LISTEN", listen.to_string()),
        ("LB_STATE", path("state")),
        ("LB_CONFIG", path("config.json")),
    ];
    let relay = Process::start(folder, "", &variables);
    let is_ready = || {
        let mut stream = TcpStream::connect(listen).ok()?;
        stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
        stream.write_all(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n").ok()?;
        let mut line = String::new();
        BufReader::new(stream).read_line(&mut line).ok()?;
        line.contains(" 200").then_some(())
    };
    until(Duration::from_secs(8), is_ready).map(|()| relay)
}

pub fn run(record: &Record) -> Verdict {
    let (folder, calls) = (Folder::new(), Calls::default());
    std::fs::create_dir_all(folder.0.join("state")).unwrap();
    let (from, troubled, listen) = (Instant::now(), is_troubled(), free_address());
    let count = Arc::<AtomicUsize>::default();
    let payments = ["payments-1", "payments-2"].map(|name| {
        let count = count.clone();
        endpoint(name, calls.clone(), record, move |_| {
            let is_failing = troubled && (BEFORE..BEFORE + FAILING).contains(&from.elapsed());
            match is_failing && count.fetch_add(1, Ordering::SeqCst) % FAIL.1 < FAIL.0 {
                true => Act::Fail(QUICK),
                false => Act::Accept(PACE),
            }
        })
    });
    let directive = format!("proxy_next_upstream {};", std::env::var("NEXT").unwrap_or(NEXT.to_string()));
    let notices = endpoint("notices", calls.clone(), record, |_| Act::Accept(PACE));
    let conf = nginx_conf(listen, payments, notices, &directive);
    let Some((text, notes)) = import(&folder, &conf, record) else {
        return Verdict::CannotRun("the configuration was not imported".to_string());
    };
    text.lines().filter(|line| line.contains("\"repeat\"")).for_each(|line| record.say(&format!("import: {}", line.trim())));
    let line = conf.lines().position(|line| line.contains(&directive)).unwrap() + 1;
    let is_named = notes.lines().any(|note| note.contains(&format!("{line}: ")) || note.contains("proxy_next_upstream"));
    folder.file("config.json", &text);
    let Some(mut relay) = serve(&folder, listen) else {
        return Verdict::CannotRun("the relay did not start".to_string());
    };
    let mut number = 0;
    while from.elapsed() < BEFORE + FAILING + AFTER {
        let class = if number % 5 == 4 { "dues-charges" } else { "status-sync" };
        let (id, record) = (format!("{class}-{number:04}"), record.clone());
        spawn(move || hand_in(listen, class, &id, &record));
        number += 1;
        sleep(EACH);
    }
    sleep(REST);
    if !relay.is_running() {
        return Verdict::CannotRun("the relay has ended".to_string());
    }
    // What was answered by 200 or 500 ran, or may have; the partner turns nothing away.
    let mut ran: BTreeMap<String, Vec<Call>> = BTreeMap::new();
    for call in calls.lock().unwrap().iter().filter(|call| call.endpoint != "notices") {
        call.ids.iter().for_each(|id| ran.entry(id.clone()).or_default().push(call.clone()));
    }
    let is_behind = |pair: &[Call]| pair[0].until.is_some_and(|(at, how)| how == "answered" && at < pair[1].first);
    let twice: Vec<_> = ran.iter().filter(|(_, runs)| runs.windows(2).any(is_behind)).collect();
    for (id, runs) in &twice {
        let since = |call: &Call| call.first.duration_since(runs[0].first).as_millis();
        let runs: Vec<String> = runs.iter().map(|call| format!("{} at {} ms", call.endpoint, since(call))).collect();
        record.say(&format!("sent again: {id}, {}", runs.join(", ")));
    }
    let all = ran.len();
    match twice.len() {
        _ if all < 10 => Verdict::CannotRun(format!("only {all} charges came to the partner")),
        0 => Verdict::Held(format!("each of {all} charges was sent once")),
        _ if is_named => Verdict::Held("the import names the line that it does not carry over".to_string()),
        count => Verdict::Broken(format!("{count} of {all} charges were sent again behind a 500, and no note of the import names the line")),
    }
}

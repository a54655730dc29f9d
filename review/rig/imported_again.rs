//! A relay runs by an imported configuration of nginx. A clump of dues charges waits for its partner. Then an upstream for another
//! partner is put into nginx's file, above the others; it is imported again, and SIGHUP. Before and after, the file has dues
//! charges go to the payment partner.

use crate::base::*;
use crate::http::{endpoint, Act, Calls};
use crate::imported_repeat::{hand_in, import, serve};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::thread::{sleep, spawn};
use std::time::Duration;

/// What a call takes; the payment partner takes two at a time, 6.7 a second.
const PACE: Duration = Duration::from_millis(300);
/// Charges in the clump: as many as the partner takes in 1.8 s.
const CLUMP: usize = 12;
const BEFORE: Duration = Duration::from_secs(3);
/// Between the clump and SIGHUP.
const THEN: Duration = Duration::from_millis(500);
const AFTER: Duration = Duration::from_secs(12);

fn nginx_conf(listen: SocketAddr, payments: SocketAddr, notices: SocketAddr, archive: Option<SocketAddr>) -> String {
    let (upstream, location) = match archive {
        None => (String::new(), String::new()),
        Some(archive) => (
            format!("    upstream archive {{\n        server {archive};\n    }}\n"),
            "        location /archive/ {\n            proxy_pass http://archive;\n            proxy_read_timeout 28s;\n        }\n".to_string(),
        ),
    };
    format!(
        "http {{
{upstream}    upstream payments {{
        server {payments} max_conns=2;
    }}
    upstream notices {{
        server {notices};
    }}
    server {{
        listen {listen};
        location /dues-charges/ {{
            proxy_pass http://payments;
            proxy_read_timeout 24s;
        }}
        location /status-sync/ {{
            proxy_pass http://notices;
            proxy_read_timeout 28s;
        }}
{location}    }}
}}
"
    )
}

pub fn run(record: &Record) -> Verdict {
    let (folder, calls, listen) = (Folder::new(), Calls::default(), free_address());
    std::fs::create_dir_all(folder.0.join("state")).unwrap();
    let [payments, notices, archive] =
        ["payments", "notices", "archive"].map(|name| endpoint(name, calls.clone(), record, |_| Act::Accept(PACE)));
    let Some((text, _)) = import(&folder, &nginx_conf(listen, payments, notices, None), record) else {
        return Verdict::CannotRun("the configuration was not imported".to_string());
    };
    folder.file("config.json", &text);
    let Some(mut relay) = serve(&folder, listen) else {
        return Verdict::CannotRun("the relay did not start".to_string());
    };
    let traffic = |span: Duration| {
        for number in 0..span.as_millis() / 200 {
            let (id, record) = (format!("status-{}-{number}", span.as_millis()), record.clone());
            spawn(move || hand_in(listen, "status-sync", &id, &record));
            sleep(Duration::from_millis(200));
        }
    };
    traffic(BEFORE);
    let clump = (0..CLUMP).map(|n| {
        let (id, record) = (format!("charge-{n:02}"), record.clone());
        spawn(move || (hand_in(listen, "dues-charges", &id, &record) == Some(202)).then_some(id))
    });
    let clump: Vec<_> = clump.collect();
    let taken: BTreeSet<String> = clump.into_iter().filter_map(|answer| answer.join().ok()?).collect();
    traffic(THEN);
    // Without the disruption the file is imported and read again as it was.
    let archive = is_troubled().then_some(archive);
    let Some((text, notes)) = import(&folder, &nginx_conf(listen, payments, notices, archive), record) else {
        return Verdict::CannotRun("the configuration was not imported again".to_string());
    };
    folder.file("config.json", &text);
    relay.signal(SIGHUP);
    record.say("relay: SIGHUP");
    traffic(AFTER);
    if !relay.is_running() {
        return Verdict::CannotRun("the relay has ended".to_string());
    }
    let calls = calls.lock().unwrap();
    let ran_at = |name: &str| calls.iter().filter(|call| call.endpoint == name).flat_map(|call| call.ids.clone()).collect::<BTreeSet<_>>();
    let (own, foreign) = (ran_at("payments"), ran_at("archive"));
    for id in foreign.intersection(&taken) {
        record.say(&format!("foreign: {id} was handed in for the payment partner, and ran at the archive"));
    }
    let (all, there, elsewhere) = (taken.len(), own.intersection(&taken).count(), foreign.intersection(&taken).count());
    match elsewhere {
        _ if all < CLUMP / 2 => Verdict::CannotRun(format!("only {all} charges were taken on")),
        0 => Verdict::Held(format!("{there} of {all} charges went to the payment partner, none elsewhere")),
        _ => Verdict::Broken(format!(
            "{elsewhere} of {all} charges went to another partner, {there} to the payment partner; the second import had {} notes",
            notes.lines().count()
        )),
    }
}

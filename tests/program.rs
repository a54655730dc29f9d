//! The program itself: its command line, and one start and end on real sockets.

#[path = "stand_ins/page_form.rs"]
mod page_form;

use page_form::completed;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::process::{Command, Stdio};

const CONFIG: &str = r#"{"name":"relay","listen":"127.0.0.1:0","seed":"1","limits":{"sockets":256,"disk_mb":1},
"settings":{"fleet_size":1,"domain":{"calls_out":2},"limits":{"max_open":4,"most_tries":2},
"rules":{"cold_share":0.2,"fall":1500000000,"overload_factor":2.0,"warm_up":9000000000},
"services":[{"name":"notice","aim":1000000000,"deadline":5000000000,"importance":1,"late_worth":0.5,"repeat":"pure"}]}}"#;

fn basaltloom() -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_basaltloom"));
    for name in ["LB_NAME", "LB_LISTEN", "LB_DISCOVERY", "LB_STATE", "LB_CONFIG"] {
        command.env_remove(name);
    }
    command
}

/// Guards the command line: what is asked for wrongly is told in one line and a code that is not zero.
#[test]
fn commands_say_what_is_wrong() {
    let out = |args: &[&str]| {
        let out = basaltloom().args(args).output().unwrap();
        (out.status.code(), String::from_utf8_lossy(&[out.stdout, out.stderr].concat()).into_owned())
    };
    let version = format!("basaltloom {}\n", env!("CARGO_PKG_VERSION"));
    assert_eq!(out(&["version"]), (Some(0), version));
    for (args, word) in [
        (&["serve"][..], "nothing to serve"),
        (&["serve", "--config", "/nowhere/c.json"], "/nowhere/c.json"),
        (&["check-config", "Cargo.toml"], "Cargo.toml"),
        (&["import", "/nowhere/nginx.conf"], "/nowhere/nginx.conf"),
    ] {
        let (code, said) = out(args);
        assert_eq!((code, said.lines().count()), (Some(1), 1), "{args:?}: {said}");
        assert!(said.contains(word), "{args:?}: {said}");
    }
    assert_eq!(out(&["check-config", "--operator", "deploy/relay.conf"]).0, Some(0));
}

/// Guards start and end: ready once it listens, gone after SIGTERM with code 0; and SIGHUP between them,
/// which by default would end it: a file with an error changes nothing, a good one moves discovery.
#[test]
fn it_serves_until_it_is_told_to_end() {
    let dir = std::env::temp_dir().join(format!("basaltloom-program-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let config = completed(CONFIG);
    std::fs::write(dir.join("c.json"), &config).unwrap();
    let mut command = basaltloom();
    command.args(["serve", "--config"]).arg(dir.join("c.json")).env("LB_STATE", &dir);
    let mut child = command.stderr(Stdio::piped()).spawn().unwrap();
    let mut log = BufReader::new(child.stderr.take().unwrap()).lines();
    // Lines that tell what was read come between.
    let mut says = |words: &str| log.by_ref().take(8).flatten().find(|line| line.contains(words));
    let line = says("relay serves on ").unwrap();
    let address = line.split_once("relay serves on ").unwrap().1.split(' ').next().unwrap();
    let mut stream = TcpStream::connect(address).unwrap();
    stream.write_all(b"GET /ready HTTP/1.1\r\nhost: x\r\n\r\n").unwrap();
    let mut answer = [0; 15];
    stream.read_exact(&mut answer).unwrap();
    assert_eq!(&answer, b"HTTP/1.1 200 OK");
    let hangup = |text: &str| {
        std::fs::write(dir.join("c.json"), text).unwrap();
        Command::new("kill").args(["-HUP", &child.id().to_string()]).status().unwrap();
    };
    hangup("{");
    assert!(says("the configuration stays as it was read before: ").is_some());
    hangup(&config.replacen('{', r#"{"discovery":"127.0.0.1:1","#, 1));
    assert!(says("was read again: discovery at 127.0.0.1:1").is_some());
    Command::new("kill").arg(child.id().to_string()).status().unwrap();
    assert!(child.wait().unwrap().success());
    assert!(log.last().unwrap().unwrap().contains("ends with 0 transactions in the journal"));
    std::fs::remove_dir_all(&dir).ok();
}

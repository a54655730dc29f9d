//! The importer: what it prints is what `check-config` and `serve` take, and what it leaves out it names.

use basaltloom::configuration::{judge, Configuration};
use basaltloom::interface::{Repeat, Terms};
use basaltloom::program::import::import;
use basaltloom::routing::EndpointState;

const NGINX: &str = r#"
worker_processes auto;                          # line 2
http {
    proxy_read_timeout 10s;
    upstream firms {
        ip_hash;                                # line 6
        server 10.0.0.1:8080 weight=3 max_conns=20;
        server 10.0.0.2 max_conns=10 max_fails=3;
        server 10.0.0.3:8080 backup max_conns=5;
        server 10.0.0.4:8080 down max_conns=5;
        server firm.example.org:80;             # line 11
        keepalive_timeout 30s;
    }
    server {
        listen 127.0.0.1:8000;
        server_name relay;                      # line 16
        location /dues/ {
            proxy_pass http://firms;
            proxy_next_upstream error timeout;
            proxy_connect_timeout 2s;
        }
        location = /status {
            proxy_pass http://clubs/hook;
            proxy_next_upstream error timeout non_idempotent;
            proxy_next_upstream_timeout 1m30s;
            proxy_next_upstream_tries 4;
            proxy_set_header X-Club "a;b";      # line 27
        }
        location ~ \.php$ { fastcgi_pass 127.0.0.1:9000; }
        location / { proxy_pass http://127.0.0.1:9090/app; }
    }
    upstream clubs { server 10.0.1.1:80; }
}
"#;

fn imported(nginx: &str) -> (Configuration, Vec<String>) {
    let imported = import(nginx).unwrap();
    (judge(&imported.config, None).unwrap(), imported.notes)
}

/// Guards the mapping: upstreams to destinations and next hops, locations to classes, with their terms.
#[test]
fn upstreams_and_locations_become_next_hops_and_classes() {
    let (config, _) = imported(NGINX);
    assert_eq!(config.listen.to_string(), "127.0.0.1:8000");
    assert_eq!(config.classes, ["dues", "status", "default"]);
    assert_eq!(config.default_class, Some(2));
    let dests: Vec<_> = config.defaults.iter().map(|d| d.dest).collect();
    assert_eq!(dests, [Some(1), Some(2), Some(3)]);
    let hops: Vec<_> =
        config.known.endpoints.iter().map(|n| (n.address.to_string(), n.dest, n.state)).collect();
    let (active, left) = (EndpointState::Active, EndpointState::Leaving);
    let hop = |dial: &str, dest, standing| (dial.to_string(), dest, standing);
    assert_eq!(
        hops,
        [
            hop("10.0.0.1:8080", 1, active),
            hop("10.0.0.2:80", 1, active),
            hop("10.0.0.3:8080", 1, active),
            hop("10.0.0.4:8080", 1, left),
            hop("10.0.1.1:80", 2, active),
            hop("127.0.0.1:9090", 3, active),
        ]
    );
    let terms = |i: usize| config.known.endpoints[i].terms.unwrap();
    assert_eq!(terms(0), Terms { most_out: 20, weight: 3, ..Terms::default() });
    assert!(terms(2).backup && terms(4).most_out == usize::MAX);
    let settings = &config.settings;
    let repeats: Vec<_> = settings.classes.iter().map(|c| c.repeat).collect();
    assert_eq!(repeats, [Repeat::Unsafe, Repeat::Safe, Repeat::Unsafe]);
    let times: Vec<_> =
        settings.classes.iter().map(|c| (c.aim / 1_000_000, c.deadline / 1_000_000)).collect();
    assert_eq!(times, [(10_000, 10_000), (10_000, 90_000), (10_000, 10_000)]);
    assert_eq!((settings.max_attempts, settings.keepalive), (4, 30_000_000_000));
    assert_eq!(config.connect_timeout, 2_000_000_000);
}

/// Guards against silence: whatever has no counterpart is named with its line.
#[test]
fn what_is_not_carried_over_is_named_with_its_line() {
    let (_, notes) = imported(NGINX);
    let lines: Vec<&str> = notes.iter().map(|n| n.split(':').next().unwrap()).collect();
    assert_eq!(lines, ["2", "6", "8", "11", "16", "27", "29", "30"], "{notes:#?}");
    assert!(notes[1].contains("`ip_hash`") && notes[3].contains("firm.example.org"), "{notes:#?}");
}

/// Guards against half a configuration: an error names its line, and nothing is printed.
#[test]
fn a_syntax_error_names_its_line() {
    let err = |text: &str| import(text).unwrap_err();
    assert_eq!(err("http {\n server 1 }\n"), "2: `server 1` does not end by `;` or a block");
    assert_eq!(err("http {\n\n"), "1: this block is never closed");
    assert_eq!(err("a;\n}\n"), "2: unexpected `}`");
    assert_eq!(err("a \"b\nc;\n"), "1: this quote is never closed");
    assert_eq!(err(";"), "1: unexpected `;`");
    assert!(err("upstream a { server 10.0.0.1; }").contains("no location"));
}

/// Guards the command: a syntax error exits with 1, and what is printed passes `check-config`.
#[test]
fn the_command_prints_what_check_config_takes() {
    let dir = std::env::temp_dir().join(format!("basaltloom-import-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let run = |args: &[&str]| {
        std::process::Command::new(env!("CARGO_BIN_EXE_basaltloom"))
            .args(args)
            .current_dir(&dir)
            .output()
            .unwrap()
    };
    std::fs::write(dir.join("nginx.conf"), NGINX).unwrap();
    let out = run(&["import", "nginx.conf"]);
    assert!(out.status.success());
    assert!(String::from_utf8_lossy(&out.stderr).contains("nginx.conf:6: `ip_hash` is not carried over"));
    std::fs::write(dir.join("config.json"), &out.stdout).unwrap();
    let checked = run(&["check-config", "config.json"]);
    assert!(checked.status.success());
    assert!(String::from_utf8_lossy(&checked.stdout).contains("6 next hops known"));
    std::fs::write(dir.join("nginx.conf"), "http {").unwrap();
    let out = run(&["import", "nginx.conf"]);
    assert_eq!((out.status.code(), out.stdout.len()), (Some(1), 0));
    std::fs::remove_dir_all(&dir).ok();
}

//! The importer: nginx `upstream` blocks become destinations with their next hops, `location` blocks become
//! classes. What has no counterpart here is named with its line.

mod form;
mod nginx;
mod settings;

use crate::configuration::settings::RepeatForm;
use nginx::{millis, Directive};
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};

/// What nginx takes where nothing is said.
const READ_TIMEOUT_MS: u64 = 60_000;
/// The class of `location /`, for paths that begin like no other.
const REST: &str = "default";

/// A configuration for `serve`, and notes on what it leaves out.
#[derive(Debug)]
pub struct Imported {
    pub config: String,
    pub notes: Vec<String>,
}

#[derive(Debug)]
struct Server {
    name: String,
    dial: SocketAddr,
    weight: u64,
    max_conns: u64,
    backup: bool,
    down: bool,
}

#[derive(Debug, Default)]
struct Upstream {
    servers: Vec<Server>,
    keepalive_ms: Option<u64>,
}

#[derive(Debug)]
struct Class {
    name: String,
    upstream: String,
    read_ms: u64,
    /// Until when another server may still be tried.
    within_ms: u64,
    repeat: RepeatForm,
}

/// Directives that a location takes from the blocks round it.
#[derive(Clone, Debug, Default)]
struct Inherited {
    read: Option<u64>,
    connect: Option<u64>,
    next: Option<Vec<String>>,
    next_timeout: Option<u64>,
    next_tries: Option<u64>,
}

#[derive(Default)]
struct Import {
    upstreams: BTreeMap<String, Upstream>,
    /// Names in the order of the file: their places give the numbers of the destinations.
    order: Vec<String>,
    classes: Vec<Class>,
    listen: Option<SocketAddr>,
    connect_ms: Option<u64>,
    tries: Option<u64>,
    notes: Vec<(usize, String)>,
}

/// Reads the text of an nginx configuration, or of a part of one.
pub fn import(text: &str) -> Result<Imported, String> {
    let directives = nginx::parse(text)?;
    let mut import = Import::default();
    // A location may stand before the upstream that it names.
    import.find_upstreams(&directives);
    import.walk(&directives, &Inherited::default())?;
    if import.classes.is_empty() {
        return Err("1: no location passes requests on to servers that can be reached from here".to_string());
    }
    import.notes.sort();
    let notes = import.notes.iter().map(|(line, text)| format!("{line}: {text}")).collect();
    Ok(Imported { config: import.config(), notes })
}

impl Import {
    fn note(&mut self, line: usize, text: impl Into<String>) {
        self.notes.push((line, text.into()));
    }

    fn left_out(&mut self, d: &Directive, why: &str) {
        let text = format!("`{}` is not carried over{why}", d.words.join(" "));
        self.note(d.line, text);
    }

    fn find_upstreams(&mut self, directives: &[Directive]) {
        for d in directives {
            match (d.name(), d.args().first()) {
                ("upstream", Some(name)) => {
                    let upstream = self.upstream(d);
                    self.add(name, upstream);
                }
                ("http" | "server", _) => self.find_upstreams(d.block()),
                _ => {}
            }
        }
    }

    fn add(&mut self, name: &str, upstream: Upstream) {
        if self.upstreams.insert(name.to_string(), upstream).is_none() {
            self.order.push(name.to_string());
        }
    }

    fn upstream(&mut self, d: &Directive) -> Upstream {
        let mut upstream = Upstream::default();
        for inner in d.block() {
            match inner.name() {
                "server" => upstream.servers.extend(self.server(inner)),
                "keepalive_timeout" => upstream.keepalive_ms = self.time(inner),
                "keepalive" => self.left_out(inner, ": connections are kept as calls need them"),
                "least_conn" | "ip_hash" | "hash" | "random" | "least_time" => {
                    self.left_out(inner, ": the relay chooses next hops by calls out and health")
                }
                _ => self.left_out(inner, ""),
            }
        }
        upstream
    }

    fn server(&mut self, d: &Directive) -> Option<Server> {
        let Some(at) = d.args().first() else {
            self.note(d.line, "`server` without an address is not carried over");
            return None;
        };
        let Some(dial) = address(at, 80) else {
            self.left_out(
                d,
                ": next hops are dialled by IP address and port, there is no DNS and no Unix socket",
            );
            return None;
        };
        let mut server =
            Server { name: at.clone(), dial, weight: 1, max_conns: 0, backup: false, down: false };
        for word in &d.args()[1..] {
            let (name, value) = word.split_once('=').unwrap_or((word, ""));
            match (name, value.parse::<u64>()) {
                ("weight", Ok(n)) if n > 0 => server.weight = n,
                ("max_conns", Ok(n)) => server.max_conns = n,
                ("backup", _) => server.backup = true,
                ("down", _) => server.down = true,
                ("max_fails" | "fail_timeout", _) => {
                    let text = format!("`{word}` is not carried over: the relay judges health by outcomes");
                    self.note(d.line, text);
                }
                _ => self.note(d.line, format!("`{word}` is not carried over")),
            }
        }
        Some(server)
    }

    fn time(&mut self, d: &Directive) -> Option<u64> {
        let time = d.args().first().and_then(|t| millis(t));
        if time.is_none() {
            self.left_out(d, ": it gives no time");
        }
        time
    }

    /// What stands at this level, and what it takes from the blocks round it.
    fn level(&mut self, directives: &[Directive], outer: &Inherited) -> Inherited {
        let mut here = outer.clone();
        for d in directives {
            match d.name() {
                "proxy_read_timeout" => here.read = self.time(d).or(here.read),
                "proxy_connect_timeout" => here.connect = self.time(d).or(here.connect),
                "proxy_next_upstream" => here.next = Some(d.args().to_vec()),
                "proxy_next_upstream_timeout" => here.next_timeout = self.time(d).or(here.next_timeout),
                "proxy_next_upstream_tries" => {
                    here.next_tries = d.args().first().and_then(|n| n.parse().ok()).or(here.next_tries)
                }
                "proxy_send_timeout" => {
                    self.left_out(d, ": one timer runs for a whole call, as proxy_read_timeout")
                }
                "listen" => self.listen(d),
                "http" | "server" | "location" | "upstream" | "proxy_pass" => {}
                _ => self.left_out(d, ""),
            }
        }
        here
    }

    fn walk(&mut self, directives: &[Directive], outer: &Inherited) -> Result<(), String> {
        let here = self.level(directives, outer);
        self.blocks(directives, &here)
    }

    fn blocks(&mut self, directives: &[Directive], here: &Inherited) -> Result<(), String> {
        for d in directives {
            match d.name() {
                "http" | "server" if d.block.is_some() => self.walk(d.block(), here)?,
                "location" => self.location(d, here)?,
                _ => {}
            }
        }
        Ok(())
    }

    fn listen(&mut self, d: &Directive) {
        let given = d.args().first().map_or("", String::as_str);
        let at = match given.parse::<u16>() {
            Ok(port) => Some(SocketAddr::from(([0, 0, 0, 0], port))),
            Err(_) => address(&given.replace("*:", "0.0.0.0:"), 80),
        };
        match (at, self.listen) {
            (Some(at), None) if !d.args().iter().any(|a| a == "ssl") => self.listen = Some(at),
            (Some(at), Some(first)) if at == first => {}
            _ => self.left_out(d, ": the relay listens on one plain TCP address"),
        }
    }

    fn location(&mut self, d: &Directive, outer: &Inherited) -> Result<(), String> {
        let Some(block) = &d.block else {
            return Err(format!("{}: `location` needs a block", d.line));
        };
        let path = match d.args() {
            [path] => path.as_str(),
            [sign, path] if sign == "=" || sign == "^~" => path.as_str(),
            [sign, _] if sign.starts_with('~') => {
                self.left_out(d, ": classes are named by the first part of a path, not by an expression");
                return Ok(());
            }
            _ => return Err(format!("{}: `location` needs a path", d.line)),
        };
        let mut parts = path.trim_start_matches('/').split('/').filter(|p| !p.is_empty());
        let name = parts.next().unwrap_or(REST).to_string();
        if parts.next().is_some() {
            let text =
                format!("`location {path}` becomes the class `{name}`: only the first part of a path counts");
            self.note(d.line, text);
        }
        let before = self.classes.len();
        let here = self.level(block, outer);
        self.blocks(block, &here)?;
        let Some(pass) = block.iter().find(|i| i.name() == "proxy_pass") else {
            if self.classes.len() == before {
                self.left_out(d, ": it passes nothing on");
            }
            return Ok(());
        };
        let Some(upstream) = self.passed_to(pass) else { return Ok(()) };
        if self.classes.iter().any(|c| c.name == name) {
            self.left_out(d, ": there is a class of this name already");
            return Ok(());
        }
        self.class(name, upstream, here);
        Ok(())
    }

    /// The upstream that a `proxy_pass` names, or one made for the server that it names.
    fn passed_to(&mut self, pass: &Directive) -> Option<String> {
        let to = pass.args().first().map_or("", String::as_str);
        if to.contains('$') {
            self.left_out(pass, ": where it leads is known only request by request");
            return None;
        }
        let Some(rest) = to.strip_prefix("http://") else {
            self.left_out(pass, ": next hops are called over plain HTTP");
            return None;
        };
        let (host, uri) = rest.split_once('/').map_or((rest, ""), |(host, uri)| (host, uri));
        if !uri.is_empty() && uri != "hook" {
            self.note(
                pass.line,
                format!("the path `/{uri}` is not carried over: next hops are called at /hook"),
            );
        }
        if !self.upstreams.contains_key(host) {
            let Some(dial) = address(host, 80) else {
                self.left_out(pass, ": it names no upstream of this file and no IP address");
                return None;
            };
            let name = host.to_string();
            let server = Server { name, dial, weight: 1, max_conns: 0, backup: false, down: false };
            self.add(host, Upstream { servers: vec![server], keepalive_ms: None });
        }
        if self.upstreams[host].servers.is_empty() {
            self.left_out(pass, ": no server of this upstream could be carried over");
            return None;
        }
        Some(host.to_string())
    }

    fn class(&mut self, name: String, upstream: String, here: Inherited) {
        let read_ms = here.read.unwrap_or(READ_TIMEOUT_MS).max(1);
        let within_ms = here.next_timeout.filter(|t| *t > 0).unwrap_or(read_ms);
        self.connect_ms = self.connect_ms.max(here.connect);
        self.tries = self.tries.max(here.next_tries.filter(|n| *n > 0));
        // Requests that have side effects go to a next server only where nginx was told that they may.
        let next = here.next.unwrap_or_default();
        let says = |word: &str| next.iter().any(|w| w == word);
        let after_it_may_have_run =
            says("timeout") || says("error") || next.iter().any(|w| w.starts_with("http_5"));
        let repeat = match says("non_idempotent") && after_it_may_have_run {
            true => RepeatForm::Pure,
            false => RepeatForm::SideEffect,
        };
        self.classes.push(Class { name, upstream, read_ms, within_ms, repeat });
    }

    fn config(&self) -> String {
        let text = serde_json::to_string_pretty(&self.form());
        debug_assert!(text.is_ok());
        text.unwrap_or_default() + "\n"
    }
}

/// `10.0.0.1:80`, `10.0.0.1`, `[::1]:80`, `localhost:80`.
fn address(text: &str, port: u16) -> Option<SocketAddr> {
    let text = text.replacen("localhost", "127.0.0.1", usize::from(text.starts_with("localhost")));
    let bare = || text.trim_matches(['[', ']']).parse::<IpAddr>().ok().map(|ip| SocketAddr::new(ip, port));
    text.parse().ok().or_else(bare)
}

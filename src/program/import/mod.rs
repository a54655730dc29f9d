//! The importer: nginx `upstream` blocks become destinations with their next hops, `location` blocks become
//! classes. What has no counterpart here is named with its line.

mod form;
mod nginx;
mod passing;
mod scope;
mod settings;
mod shared;
mod upstream;

use crate::configuration::settings::RepeatForm;
use nginx::Directive;
use passing::Passing;
use scope::{Said, Scope};
use shared::Shared;
use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use upstream::{Server, Upstream};

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
struct Class {
    name: String,
    upstream: String,
    read_ms: u64,
    /// Until when another server may still be tried.
    within_ms: u64,
    repeat: RepeatForm,
}

#[derive(Default)]
struct Import {
    upstreams: BTreeMap<String, Upstream>,
    /// Names in the order of the file: their places give the numbers of the destinations.
    order: Vec<String>,
    classes: Vec<Class>,
    listen: Option<SocketAddr>,
    shared: Shared,
    notes: Vec<(usize, String)>,
}

/// Reads the text of an nginx configuration, or of a part of one.
pub fn import(text: &str) -> Result<Imported, String> {
    let directives = nginx::parse(text)?;
    let mut import = Import::default();
    // A location may stand before the upstream that it names.
    import.find_upstreams(&directives)?;
    import.walk(&directives, &Scope::default())?;
    if import.classes.is_empty() {
        return Err("1: no location passes requests on to servers that can be reached from here".to_string());
    }
    let shared = import.shared.notes();
    import.notes.extend(shared);
    import.notes.sort();
    // Several locations may inherit one directive.
    import.notes.dedup();
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

    fn find_upstreams(&mut self, directives: &[Directive]) -> Result<(), String> {
        for d in directives {
            match (d.name(), d.args().first()) {
                ("upstream", Some(name)) => {
                    let upstream = self.upstream(d)?;
                    self.add(name, upstream);
                }
                ("http" | "server", _) => self.find_upstreams(d.block())?,
                _ => {}
            }
        }
        Ok(())
    }

    fn add(&mut self, name: &str, upstream: Upstream) {
        if self.upstreams.insert(name.to_string(), upstream).is_none() {
            self.order.push(name.to_string());
        }
    }

    /// Names what is left out at this level.
    fn level(&mut self, directives: &[Directive]) {
        for d in directives {
            match d.name() {
                "proxy_send_timeout" => {
                    self.left_out(d, ": one timer runs for a whole call, as proxy_read_timeout")
                }
                "listen" => self.listen(d),
                "http" | "server" | "location" | "upstream" | "proxy_pass" => {}
                name if Scope::holds(name) => {}
                _ => self.left_out(d, ""),
            }
        }
    }

    fn walk(&mut self, directives: &[Directive], outer: &Scope) -> Result<(), String> {
        self.level(directives);
        let here = outer.within(directives)?;
        self.blocks(directives, &here)
    }

    fn blocks(&mut self, directives: &[Directive], here: &Scope) -> Result<(), String> {
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

    fn location(&mut self, d: &Directive, outer: &Scope) -> Result<(), String> {
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
        self.level(block);
        let here = outer.within(block)?;
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
        self.class(name, upstream, &here);
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
            self.add(host, Upstream { servers: vec![Server::at(host, dial)], keepalive_ms: None });
        }
        if self.upstreams[host].servers.is_empty() {
            self.left_out(pass, ": no server of this upstream could be carried over");
            return None;
        }
        Some(host.to_string())
    }

    fn class(&mut self, name: String, upstream: String, here: &Scope) {
        let read_ms = here.read_ms.unwrap_or(READ_TIMEOUT_MS).max(1);
        let passed_on_ms = here.passed_on_ms.map(|said| said.value).filter(|ms| *ms > 0);
        let passing = Passing {
            words: here.passed_on.map(|said| said.value).unwrap_or_default(),
            servers: self.upstreams.get(&upstream).map_or(0, Upstream::usable_servers),
            tries: here.tries.map_or(0, |said| said.value),
            // A class gives its messages the longer of both times.
            lasts: passed_on_ms.is_none_or(|ms| ms >= read_ms),
        };
        let repeat = passing.repeat_form();
        if let Some(said) = here.passed_on {
            self.notes.extend(passing.differences().map(|text| (said.line, text)));
        }
        if let Some(said) = here.passed_on_ms.filter(|_| !passing.lasts) {
            self.note(said.line, format!("the class `{name}` has its requests sent for {read_ms} ms"));
        }
        self.shared.connect(&name, here.connect_ms);
        self.tries(&name, here.tries);
        let within_ms = passed_on_ms.unwrap_or(read_ms);
        self.classes.push(Class { name, upstream, read_ms, within_ms, repeat });
    }

    /// One try binds only the location that says so: what goes on after it has not run.
    fn tries(&mut self, class: &str, said: Option<Said<u64>>) {
        if let Some(said) = said.filter(|said| said.value == 1) {
            let text =
                "a try after a refused connection, a 429 or a 503 is made all the same, as nothing has run";
            self.note(said.line, text);
        }
        let allows_more = said.filter(|said| said.value > 1);
        self.shared.tries(class, allows_more);
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

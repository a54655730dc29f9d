//! `upstream` blocks and their servers. A parameter that nginx refuses is a fault of its line.

use super::nginx::{millis, Directive};
use super::{address, Import};
use std::net::SocketAddr;

/// A server of an upstream.
#[derive(Debug)]
pub(super) struct Server {
    pub name: String,
    pub dial: SocketAddr,
    pub weight: u64,
    pub max_conns: u64,
    pub backup: bool,
    pub down: bool,
}

impl Server {
    /// A server of which nothing more is said.
    pub fn at(name: &str, dial: SocketAddr) -> Server {
        Server { name: name.to_string(), dial, weight: 1, max_conns: 0, backup: false, down: false }
    }
}

/// An `upstream` block.
#[derive(Debug, Default)]
pub(super) struct Upstream {
    pub servers: Vec<Server>,
    pub keepalive_ms: Option<u64>,
}

impl Upstream {
    /// Servers that a request may go to.
    pub fn usable_servers(&self) -> usize {
        self.servers.iter().filter(|server| !server.down).count()
    }
}

/// Balancing methods that take no `backup`, for servers that stand behind them in their block.
const WITHOUT_BACKUP: [&str; 3] = ["ip_hash", "hash", "random"];
/// Parameters of servers that nginx knows and that have no counterpart here.
const LEFT_OUT: [&str; 5] = ["slow_start", "resolve", "route", "service", "drain"];

impl Import {
    pub(super) fn upstream(&mut self, d: &Directive) -> Result<Upstream, String> {
        let mut upstream = Upstream::default();
        let mut takes_backup = true;
        for inner in d.block() {
            match inner.name() {
                "server" => upstream.servers.extend(self.server(inner, takes_backup)?),
                "keepalive_timeout" => {
                    upstream.keepalive_ms = inner.args().first().and_then(|time| millis(time));
                    if upstream.keepalive_ms.is_none() {
                        self.left_out(inner, ": it gives no time");
                    }
                }
                "keepalive" => self.left_out(inner, ": connections are kept as calls need them"),
                "least_conn" | "ip_hash" | "hash" | "random" | "least_time" => {
                    takes_backup &= !WITHOUT_BACKUP.contains(&inner.name());
                    self.left_out(inner, ": the relay chooses endpoints by calls out and health")
                }
                _ => self.left_out(inner, ""),
            }
        }
        Ok(upstream)
    }

    /// A server; none where it cannot be reached from here.
    fn server(&mut self, d: &Directive, takes_backup: bool) -> Result<Option<Server>, String> {
        let Some(at) = d.args().first() else {
            return Err(format!("{}: `server`: invalid number of arguments", d.line));
        };
        let dial = address(at, 80);
        let mut server = Server::at(at, dial.unwrap_or(SocketAddr::from(([0, 0, 0, 0], 0))));
        for parameter in &d.args()[1..] {
            self.parameter(d, &mut server, parameter, takes_backup)?;
        }
        if dial.is_none() {
            let why = ": endpoints are dialled by IP address and port, there is no DNS and no Unix socket";
            self.left_out(d, why);
            return Ok(None);
        }
        Ok(Some(server))
    }

    fn parameter(
        &mut self,
        d: &Directive,
        server: &mut Server,
        parameter: &str,
        takes_backup: bool,
    ) -> Result<(), String> {
        let (name, value) = match parameter.split_once('=') {
            Some((name, value)) => (name, Some(value)),
            None => (parameter, None),
        };
        let number = value.and_then(|value| value.parse::<u64>().ok());
        match (name, number, value) {
            ("weight", Some(weight @ 1..), _) => server.weight = weight,
            ("max_conns", Some(most), _) => server.max_conns = most,
            ("backup", _, None) if !takes_backup => {
                return Err(format!("{}: the balancing method does not support `backup`", d.line));
            }
            ("backup", _, None) => server.backup = true,
            ("down", _, None) => server.down = true,
            ("max_fails", Some(_), _) | ("fail_timeout", _, Some(_)) => {
                let text = format!("`{parameter}` is not carried over: the relay judges health by outcomes");
                self.note(d.line, text);
            }
            _ if LEFT_OUT.contains(&name) => {
                self.note(d.line, format!("`{parameter}` is not carried over"));
            }
            _ => return Err(format!("{}: invalid parameter `{parameter}`", d.line)),
        }
        Ok(())
    }
}

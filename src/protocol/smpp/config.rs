//! The file that switches the SMPP front on: where it listens, who may bind, classes, carriers.

use crate::interface::{Class, Kind, Late, Limits, Nanos, Repeat, Settings};
use crate::protocol::fields::{address, flag, list, need, num, read_file, text};
use crate::routing::{NextHop, RouteNews, Standing};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;
use tinyjson::JsonValue;

type Res<T> = Result<T, String>;

#[derive(Clone, Debug)]
pub struct SmppConfig {
    pub listen: SocketAddr,
    /// What we call ourselves in answers to binds.
    pub system_id: String,
    pub settings: Settings,
    pub classes: Vec<SmppClass>,
    pub accounts: Vec<Account>,
    pub carriers: Vec<Carrier>,
    /// Destinations by the prefixes of the addresses that they serve.
    pub prefixes: Vec<(String, u64)>,
    pub times: Times,
    pub max_pdu: usize,
    pub max_sessions: usize,
}

#[derive(Clone, Copy, Debug)]
pub struct Times {
    pub connect: Duration,
    /// For a bind to be asked for, and for any answer but that to a submit.
    pub response: Duration,
    /// Silence after which a link is asked whether it is still there.
    pub enquire: Duration,
}

#[derive(Clone, Debug)]
pub struct SmppClass {
    pub name: String,
    pub service_types: Vec<String>,
}

/// Who may bind to us.
#[derive(Clone, Debug)]
pub struct Account {
    pub system_id: String,
    pub password: String,
    /// Class of messages whose service type names none.
    pub class: usize,
    /// Receipts go out only as `registered_delivery` asks; else for each message.
    pub receipts_as_asked: bool,
    /// Receipts out at once on one bind.
    pub window: usize,
    pub max_binds: usize,
    /// Receipts owed at most: above that nothing more is taken on.
    pub max_owed: usize,
}

/// An SMSC to which we bind: a next hop.
#[derive(Clone, Debug)]
pub struct Carrier {
    pub name: String,
    pub dial: SocketAddr,
    pub dest: u64,
    pub system_id: String,
    pub password: String,
    pub system_type: String,
    pub binds: usize,
    /// Submits out at once on one bind.
    pub window: usize,
    pub leaving: bool,
}

pub fn read(path: &Path) -> Res<SmppConfig> {
    read_file(path, decode)
}

fn word(v: &JsonValue, name: &str) -> Res<String> {
    need(text(v, name).map(str::to_string), name)
}

fn millis(v: &JsonValue, name: &str, default: f64) -> Nanos {
    (num(v, name).unwrap_or(default) * 1e6) as Nanos
}

fn time(v: &JsonValue, name: &str, default: f64) -> Duration {
    Duration::from_nanos(millis(v, name, default))
}

fn count(v: &JsonValue, name: &str, default: f64) -> usize {
    num(v, name).unwrap_or(default).max(1.0) as usize
}

pub fn decode(v: &JsonValue) -> Res<SmppConfig> {
    let classes: Vec<SmppClass> = list(v, "classes").iter().map(class_names).collect::<Res<_>>()?;
    let accounts = list(v, "accounts").iter().map(|a| account(a, &classes)).collect::<Res<Vec<_>>>()?;
    let carriers = list(v, "next_hops").iter().map(carrier).collect::<Res<Vec<_>>>()?;
    let mut prefixes = Vec::new();
    for d in list(v, "destinations") {
        let dest = need(num(d, "dest"), "destinations[].dest")? as u64;
        let texts = list(d, "prefixes").iter().filter_map(|p| p.get::<String>());
        prefixes.extend(texts.map(|p| (p.trim_start_matches('+').to_string(), dest)));
    }
    // The longest prefix that fits decides.
    prefixes.sort_by_key(|(p, _)| std::cmp::Reverse(p.len()));
    let config = SmppConfig {
        listen: address(&word(v, "listen")?, "listen")?,
        system_id: text(v, "system_id").unwrap_or("basaltloom").to_string(),
        settings: settings(v)?,
        classes,
        accounts,
        carriers,
        prefixes,
        times: Times {
            connect: time(v, "connect_ms", 1_500.0),
            response: time(v, "response_ms", 5_000.0),
            enquire: time(v, "enquire_link_ms", 30_000.0),
        },
        max_pdu: count(v, "max_pdu", 70_000.0),
        max_sessions: count(v, "max_sessions", 64.0),
    };
    if config.classes.is_empty() || config.accounts.is_empty() || config.carriers.is_empty() {
        return Err("`classes`, `accounts` and `next_hops` each need an entry".to_string());
    }
    Ok(config)
}

fn class_names(c: &JsonValue) -> Res<SmppClass> {
    let service_types = list(c, "service_types").iter().filter_map(|t| t.get::<String>().cloned()).collect();
    Ok(SmppClass { name: word(c, "name")?, service_types })
}

fn account(a: &JsonValue, classes: &[SmppClass]) -> Res<Account> {
    let name = word(a, "class")?;
    let class = classes.iter().position(|c| c.name == name);
    Ok(Account {
        system_id: word(a, "system_id")?,
        password: word(a, "password")?,
        class: class.ok_or_else(|| format!("account of class {name:?}, which is not among `classes`"))?,
        receipts_as_asked: text(a, "receipts") == Some("as-asked"),
        window: count(a, "window", 10.0),
        max_binds: count(a, "max_binds", 8.0),
        max_owed: count(a, "max_owed", 500.0),
    })
}

fn carrier(n: &JsonValue) -> Res<Carrier> {
    Ok(Carrier {
        name: word(n, "name")?,
        dial: address(&word(n, "dial")?, "dial")?,
        dest: need(num(n, "dest"), "next_hops[].dest")? as u64,
        system_id: word(n, "system_id")?,
        password: word(n, "password")?,
        system_type: text(n, "system_type").unwrap_or("").to_string(),
        binds: count(n, "binds", 1.0),
        window: count(n, "window", 10.0),
        leaving: text(n, "health") == Some("leaving"),
    })
}

fn settings(v: &JsonValue) -> Res<Settings> {
    Ok(Settings {
        senders: count(v, "limits.senders", 1.0) as u32,
        slots: count(v, "limits.calls_out", 32.0),
        max_held: count(v, "limits.max_open", 400.0),
        max_attempts: count(v, "limits.most_tries", 8.0) as u32,
        // A submit that is out cannot be called back on a bind that others use.
        may_cancel: false,
        must_subscribe: false,
        keepalive: Nanos::MAX / 4,
        max_come_back: millis(v, "limits.max_come_back_ms", 3_000.0),
        limits: Limits::Unlisted,
        late: Late::Even,
        classes: list(v, "classes").iter().map(class).collect::<Res<_>>()?,
        kinds: vec![Kind { apart: false, per_call: 1 }],
        zone_fee: Vec::new(),
        cold_share: num(v, "rules.cold_share").unwrap_or(0.2),
        warm_up: millis(v, "rules.warm_up_ms", 10_000.0),
        overload_factor: num(v, "rules.overload_factor").unwrap_or(2.0),
        fall: millis(v, "rules.fall_ms", 1_500.0),
        key_rest: millis(v, "rules.key_rest_ms", 100.0),
    })
}

fn class(c: &JsonValue) -> Res<Class> {
    let repeat = match text(c, "repeat") {
        Some("safe") => Repeat::Safe,
        Some("keyed") => Repeat::Keyed { memory: millis(c, "memory_ms", 0.0), zone_only: false },
        Some("unsafe") => Repeat::Unsafe,
        other => return Err(format!("`classes[].repeat`: {other:?} is none of safe, keyed, unsafe")),
    };
    Ok(Class {
        aim: millis(c, "aim_ms", 2_000.0),
        deadline: millis(c, "deadline_ms", 30_000.0),
        worth: num(c, "worth").unwrap_or(1.0),
        late_worth: num(c, "late_worth").unwrap_or(0.4),
        repeat,
        in_order: flag(c, "in_order") == Some(true),
    })
}

impl SmppConfig {
    /// The class of a message of this account, by its service type.
    pub fn class_of(&self, account: &Account, service_type: &str) -> usize {
        let named = |c: &SmppClass| c.service_types.iter().any(|t| t == service_type);
        self.classes.iter().position(named).unwrap_or(account.class)
    }

    pub fn dest_of(&self, address: &str) -> Option<u64> {
        let digits = address.trim_start_matches('+');
        self.prefixes.iter().find(|(p, _)| digits.starts_with(p.as_str())).map(|(_, dest)| *dest)
    }

    pub fn route_news(&self) -> RouteNews {
        let next_hop = |c: &Carrier| NextHop {
            id: 0,
            name: c.name.clone(),
            dial: c.dial,
            dest: c.dest,
            kind: 0,
            zone: 0,
            standing: if c.leaving { Standing::Leaving } else { Standing::Active },
            share: 1.0,
            terms: None,
        };
        RouteNews { seq: 0, whole: true, next_hops: self.carriers.iter().map(next_hop).collect() }
    }

    pub fn summary(&self) -> String {
        let (accounts, carriers) = (self.accounts.len(), self.carriers.len());
        let classes = self.class_list().join(", ");
        format!(
            "smpp: listens on {}, classes {classes}, {accounts} accounts, {carriers} next hops",
            self.listen
        )
    }

    pub fn class_list(&self) -> Vec<String> {
        self.classes.iter().map(|c| c.name.clone()).collect()
    }
}

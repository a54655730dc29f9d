//! The section of the operator's file that switches the SMPP front on: where it listens, who may bind, classes, carriers.

use crate::interface::{Class, Kind, Late, Limits, Nanos, Repeat, Settings};
use crate::operator::section::{choice, count, duration, form, number, span, text, Section};
use crate::operator::syntax::Word;
use crate::routing::{Endpoint, EndpointState, EndpointUpdate};
use std::net::SocketAddr;
use std::time::Duration;

#[derive(Clone, Debug, PartialEq)]
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

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Times {
    pub connect: Duration,
    /// For a bind to be asked for, and for any answer but that to a submit.
    pub response: Duration,
    /// Silence after which a link is asked whether it is still there.
    pub enquire: Duration,
}

#[derive(Clone, Debug, PartialEq)]
pub struct SmppClass {
    pub name: String,
    pub service_types: Vec<String>,
}

/// Who may bind to us.
#[derive(Clone, Debug, PartialEq)]
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
#[derive(Clone, Debug, PartialEq)]
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

impl Carrier {
    /// Whether binds made for one serve the other: they lead to the same SMSC, as the same client.
    pub fn binds_alike(&self, other: &Carrier) -> bool {
        let terms =
            |carrier: &Carrier| (carrier.dial, carrier.system_id.clone(), carrier.system_type.clone());
        terms(self) == terms(other)
    }
}

const REPEATS: &[(&str, &str)] = &[("safe", "safe"), ("keyed", "keyed"), ("unsafe", "unsafe")];
const HEALTH: &[(&str, bool)] = &[("active", false), ("leaving", true)];
const RECEIPTS: &[(&str, bool)] = &[("always", false), ("as-asked", true)];

fn class(name: &Word, mut s: Section<'_>) -> (SmppClass, Class) {
    let repeat = match (s.need("repeat", choice(REPEATS)), s.one("memory").is_some()) {
        ("keyed", _) => Repeat::Keyed { memory: s.need("memory", span), zone_only: false },
        ("unsafe", false) => Repeat::Unsafe,
        (_, false) => Repeat::Safe,
        (_, true) => {
            if let Some(line) = s.one("memory") {
                s.fault(&line.name.place, "`memory` is for classes with `repeat keyed` alone".to_string());
            }
            Repeat::Safe
        }
    };
    let of_class = Class {
        aim: s.or("aim", "2s", span),
        deadline: s.or("deadline", "30s", span),
        worth: s.or("worth", "1", number(0.0, 1e6)),
        late_worth: s.or("late-worth", "0.4", number(0.0, 1.0)),
        repeat,
        in_order: s.said("in-order"),
    };
    let service_types = words(&mut s, "service-types");
    s.finish();
    (SmppClass { name: name.text.clone(), service_types }, of_class)
}

/// The words of a directive that takes any number of them.
fn words(s: &mut Section<'_>, name: &'static str) -> Vec<String> {
    let Some(line) = s.one(name) else { return Vec::new() };
    let words: Vec<String> = line.values.iter().map(|w| w.text.clone()).collect();
    s.note(name, &words.join(" "), Some(&line.name.place));
    words
}

fn account(name: &Word, mut s: Section<'_>, classes: &[SmppClass]) -> Account {
    let class = |text: &str| {
        let place = classes.iter().position(|c| c.name == text);
        place.ok_or_else(|| {
            let known: Vec<&str> = classes.iter().map(|c| c.name.as_str()).collect();
            format!("a class of this section: one of `{}`", known.join("`, `"))
        })
    };
    let account = Account {
        system_id: name.text.clone(),
        password: password(&mut s),
        class: s.need("class", class),
        receipts_as_asked: s.or("receipts", "always", choice(RECEIPTS)),
        window: s.or("window", "10", count(1, 10_000)),
        max_binds: s.or("max-binds", "8", count(1, 10_000)),
        max_owed: s.or("max-owed", "500", count(1, 10_000_000)),
    };
    s.finish();
    account
}

/// A password is not shown among the settings in force.
fn password(s: &mut Section<'_>) -> String {
    let Some(line) = s.one("password") else {
        if let Some(place) = s.place.clone() {
            s.fault(&place, "`password` is missing, expected one".to_string());
        }
        return String::new();
    };
    s.note("password", "...", Some(&line.name.place));
    s.value(line).map(|w| w.text.clone()).unwrap_or_default()
}

/// An address to dial or to listen on; what stands in for a bad one is never used.
fn socket(s: &mut Section<'_>, name: &'static str) -> SocketAddr {
    let read =
        |text: &str| form::<SocketAddr>("an address and port such as `127.0.0.1:2775`")(text).map(Some);
    s.need(name, read).unwrap_or(SocketAddr::from(([0, 0, 0, 0], 0)))
}

fn carrier(name: &Word, mut s: Section<'_>) -> Carrier {
    let carrier = Carrier {
        name: name.text.clone(),
        dial: socket(&mut s, "dial"),
        dest: s.need("dest", count(0, usize::MAX)) as u64,
        system_id: s.need("system-id", text),
        password: password(&mut s),
        system_type: s.maybe("system-type", text).unwrap_or_default(),
        binds: s.or("binds", "1", count(1, 1_000)),
        window: s.or("window", "10", count(1, 10_000)),
        leaving: s.or("health", "active", choice(HEALTH)),
    };
    s.finish();
    carrier
}

fn settings(s: &mut Section<'_>, classes: Vec<Class>) -> Settings {
    let mut limits = s.section("limits");
    let mut rules = s.section("rules");
    let settings = Settings {
        senders: limits.or("senders", "1", count(1, 10_000)) as u32,
        slots: limits.or("calls-out", "32", count(1, 100_000)),
        max_held: limits.or("max-open", "400", count(1, 10_000_000)),
        max_attempts: limits.or("most-tries", "8", count(1, 1_000)) as u32,
        // A submit that is out cannot be called back on a bind that others use.
        may_cancel: false,
        must_subscribe: false,
        keepalive: Nanos::MAX / 4,
        max_come_back: limits.or("max-come-back", "3s", span),
        limits: Limits::Unlisted,
        late: Late::Even,
        classes,
        kinds: vec![Kind { apart: false, per_call: 1 }],
        zone_fee: Vec::new(),
        zone: 0,
        cross_zone: 0.0,
        cold_share: rules.or("cold-share", "0.2", number(0.001, 1.0)),
        warm_up: rules.or("warm-up", "10s", span),
        overload_factor: rules.or("overload-factor", "2", number(1.0, 1e6)),
        fall: rules.or("fall", "1500ms", span),
        key_rest: rules.or("key-rest", "100ms", span),
    };
    limits.finish();
    rules.finish();
    settings
}

impl SmppConfig {
    /// The section `smpp` of the operator's file.
    pub fn read(mut section: Section<'_>) -> SmppConfig {
        let s = &mut section;
        let listen = socket(s, "listen");
        let system_id = s.or("system-id", "basaltloom", text);
        let times = Times {
            connect: s.or("connect", "1500ms", duration),
            response: s.or("response", "5s", duration),
            enquire: s.or("enquire-link", "30s", duration),
        };
        let max_pdu = s.or("max-pdu", "70000", count(16, 16 << 20));
        let max_sessions = s.or("max-sessions", "64", count(1, 100_000));
        let (classes, of_classes): (Vec<SmppClass>, Vec<Class>) =
            s.named_sections("class").into_iter().map(|(name, inner)| class(name, inner)).unzip();
        let settings = settings(s, of_classes);
        let accounts: Vec<Account> = s
            .named_sections("account")
            .into_iter()
            .map(|(name, inner)| account(name, inner, &classes))
            .collect();
        let mut prefixes: Vec<(String, u64)> = Vec::new();
        for (name, mut inner) in s.named_sections("destination") {
            let dest = inner.read(name, count(0, usize::MAX)).unwrap_or_default() as u64;
            for prefix in words(&mut inner, "prefixes") {
                let prefix = prefix.trim_start_matches('+').to_string();
                if let (Some((_, other)), Some(place)) =
                    (prefixes.iter().find(|(p, _)| *p == prefix), inner.place.clone())
                {
                    inner.fault(&place, format!("prefix `{prefix}` belongs to destination {other} already"));
                }
                prefixes.push((prefix, dest));
            }
            inner.finish();
        }
        // The longest prefix that fits decides.
        prefixes.sort_by_key(|(p, _)| std::cmp::Reverse(p.len()));
        let carriers: Vec<Carrier> =
            s.named_sections("next-hop").into_iter().map(|(name, inner)| carrier(name, inner)).collect();
        if let Some(place) = section.place.clone() {
            let there = [
                ("class", classes.is_empty()),
                ("account", accounts.is_empty()),
                ("next-hop", carriers.is_empty()),
            ];
            for (name, _) in there.iter().filter(|(_, missing)| *missing) {
                section.fault(&place, format!("`smpp` has no `{name}`, expected one at least"));
            }
        }
        section.finish();
        SmppConfig {
            listen,
            system_id,
            settings,
            classes,
            accounts,
            carriers,
            prefixes,
            times,
            max_pdu,
            max_sessions,
        }
    }

    /// Whether it says the same but for its carriers, which can change while the front runs.
    pub fn is_same_but_for_carriers(&self, other: &SmppConfig) -> bool {
        SmppConfig { carriers: self.carriers.clone(), ..other.clone() } == *self
    }

    /// The class of a message of this account, by its service type.
    pub fn class_of(&self, account: &Account, service_type: &str) -> usize {
        let named = |c: &SmppClass| c.service_types.iter().any(|t| t == service_type);
        self.classes.iter().position(named).unwrap_or(account.class)
    }

    pub fn dest_of(&self, address: &str) -> Option<u64> {
        let digits = address.trim_start_matches('+');
        self.prefixes.iter().find(|(p, _)| digits.starts_with(p.as_str())).map(|(_, dest)| *dest)
    }

    pub fn route_news(&self) -> EndpointUpdate {
        let endpoint = |c: &Carrier| Endpoint {
            id: 0,
            name: c.name.clone(),
            address: c.dial,
            dest: c.dest,
            kind: 0,
            zone: 0,
            state: if c.leaving { EndpointState::Leaving } else { EndpointState::Active },
            share: 1.0,
            terms: None,
        };
        EndpointUpdate { seq: 0, whole: true, endpoints: self.carriers.iter().map(endpoint).collect() }
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

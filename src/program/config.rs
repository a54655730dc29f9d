//! The configuration, decoded once into the values that the program uses.

use crate::configuration::Version;
use crate::fleet;
use crate::interface::{Class, Kind, Late, Limits, Nanos, Repeat, Settings};
use crate::protocol::discovery::{self, ListLimits, Names};
use crate::protocol::fields::{address, at, flag, list, need, num, text};
use crate::protocol::platform::Defaults;
use crate::routing::EndpointUpdate;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;
use tinyjson::JsonValue;

#[derive(Clone, Debug)]
pub struct Config {
    pub name: String,
    pub listen: SocketAddr,
    /// Discovery and notices; without it the known list stands and ends are only logged.
    pub discovery: Option<SocketAddr>,
    pub state: PathBuf,
    /// Where operators call; none: nowhere.
    pub console: Option<SocketAddr>,
    pub seed: u64,
    pub sockets: usize,
    /// Whether relays may talk to one another, where the settings say.
    pub peers: Option<bool>,
    pub disk_bytes: u64,
    /// How much of discovery's list is taken in.
    pub list: ListLimits,
    pub settings: Settings,
    pub classes: Vec<String>,
    /// What holds for requests of a class that do not say it themselves; empty on the platform.
    pub defaults: Vec<Defaults>,
    /// The class of paths that begin like none.
    pub default_class: Option<usize>,
    pub names: Names,
    pub connect_timeout: Nanos,
    pub known: EndpointUpdate,
    /// How discovery is to be asked.
    pub asked: fleet::Terms,
}

type Res<T> = Result<T, String>;

/// Reads a file and decodes it; an error begins with the file's name.
pub fn read(path: &Path) -> Res<(Version, Config)> {
    let text = read_text(path)?;
    let config = of_text(&text).map_err(|e| format!("{}: {e}", path.display()))?;
    Ok((Version::of(&text), config))
}

/// The text of a file; an error begins with its name.
pub fn read_text(path: &Path) -> Res<String> {
    std::fs::read_to_string(path).map_err(|e| format!("{}: {e}", path.display()))
}

/// Decodes the text of a file.
pub fn of_text(text: &str) -> Res<Config> {
    let value: JsonValue = text.parse().map_err(|e: tinyjson::JsonParseError| e.to_string())?;
    decode(&value)
}

pub fn decode(v: &JsonValue) -> Res<Config> {
    let names = Names { kinds: texts(v, "settings.kinds"), zones: texts(v, "settings.azs") };
    let services = list(v, "settings.services");
    let name = |s: &JsonValue| need(text(s, "name").map(str::to_string), "settings.services[].name");
    let classes = services.iter().map(name).collect::<Res<Vec<String>>>()?;
    let default_class = text(v, "default_class").map(|name| {
        let place = classes.iter().position(|c| c == name);
        place.ok_or_else(|| format!("`default_class`: there is no class {name:?}"))
    });
    let known = at(v, "known").and_then(|k| discovery::decode_update(k, &names));
    Ok(Config {
        name: text(v, "name").unwrap_or("relay").to_string(),
        listen: address(need(text(v, "listen"), "listen")?, "listen")?,
        discovery: text(v, "discovery").map(|d| address(d, "discovery")).transpose()?,
        console: text(v, "console").map(|c| address(c, "console")).transpose()?,
        state: PathBuf::from(text(v, "state").unwrap_or(".")),
        seed: seed(text(v, "seed").unwrap_or("")),
        peers: flag(v, "settings.limits.peers"),
        sockets: num(v, "limits.sockets").unwrap_or(1024.0) as usize,
        disk_bytes: (num(v, "limits.disk_mb").unwrap_or(3.0) * 1e6) as u64,
        list: list_limits(v)?,
        settings: settings(v, services)?,
        defaults: classes.iter().map(|c| defaults(v, c)).collect(),
        default_class: default_class.transpose()?,
        classes,
        names,
        connect_timeout: span(v, "settings.limits.connect_timeout").unwrap_or(1_500_000_000),
        known: known.unwrap_or_default(),
        asked: asked(v),
    })
}

/// `limits.list_mb`, else what fits `limits.memory_mb`.
fn list_limits(v: &JsonValue) -> Res<ListLimits> {
    let megabytes = |path: &str| num(v, path).filter(|n| *n > 0.0).map(|n| (n * 1e6) as usize);
    let (list, memory) = (megabytes("limits.list_mb"), megabytes("limits.memory_mb"));
    if list.is_none() && at(v, "limits.list_mb").is_some() {
        return Err("`limits.list_mb` is no size".to_string());
    }
    let fitting = || memory.map_or_else(ListLimits::default, ListLimits::within);
    Ok(list.map_or_else(fitting, |bytes| ListLimits { bytes }))
}

/// Where the settings do not say that news have to be asked for, they come by themselves.
fn asked(v: &JsonValue) -> fleet::Terms {
    let asks = text(v, "settings.discovery") == Some("ask");
    let within = num(v, "settings.rules.ask_within").filter(|n| *n >= 1e9).unwrap_or(1e10);
    fleet::Terms { within: asks.then(|| Duration::from_nanos(within as Nanos)) }
}

fn defaults(v: &JsonValue, class: &str) -> Defaults {
    let Some(d) =
        at(v, "defaults").and_then(|d| d.get::<std::collections::HashMap<String, JsonValue>>()?.get(class))
    else {
        return Defaults::default();
    };
    Defaults {
        dest: num(d, "dest").map(|n| n as u64),
        time_left: num(d, "timeout_ms").map(|n| (n * 1e6) as Nanos),
    }
}

fn texts(v: &JsonValue, path: &str) -> Vec<String> {
    list(v, path).iter().filter_map(|t| t.get::<String>().cloned()).collect()
}

fn span(v: &JsonValue, path: &str) -> Option<Nanos> {
    num(v, path).map(|n| n as Nanos)
}

/// Hexadecimal, or any text at all.
fn seed(text: &str) -> u64 {
    let mixed = || {
        text.bytes().fold(0xcbf2_9ce4_8422_2325u64, |h, b| (h ^ u64::from(b)).wrapping_mul(0x100_0000_01b3))
    };
    u64::from_str_radix(text, 16).unwrap_or_else(|_| mixed())
}

fn settings(v: &JsonValue, services: &[JsonValue]) -> Res<Settings> {
    let s = need(at(v, "settings"), "settings")?;
    let number = |path: &str| need(num(s, path), &format!("settings.{path}"));
    let per_call = list(s, "domain.per_call");
    let apart = list(s, "domain.separate_routes");
    let kind = |i: usize| Kind {
        apart: apart.get(i).and_then(|a| a.get::<bool>()) == Some(&true),
        per_call: per_call.get(i).and_then(|n| n.get::<f64>()).map_or(1, |n| *n as usize),
    };
    let heeded = flag(s, "limits.retry_after").unwrap_or(false);
    let settings = Settings {
        senders: number("fleet_size")? as u32,
        slots: number("domain.calls_out")? as usize,
        max_held: number("limits.max_open")? as usize,
        max_attempts: number("limits.most_tries")? as u32,
        may_cancel: flag(s, "limits.cancel").unwrap_or(false),
        must_subscribe: false,
        keepalive: span(s, "limits.keepalive").unwrap_or(0),
        max_come_back: span(s, "limits.max_retry_after").filter(|_| heeded).unwrap_or(0),
        limits: match text(s, "weights") {
            Some("nominal") => Limits::Exact,
            Some("rough") => Limits::Rough,
            _ => Limits::Unlisted,
        },
        late: if text(s, "domain.late") == Some("by_half") { Late::Halves } else { Late::Even },
        classes: services.iter().map(class).collect::<Res<_>>()?,
        kinds: (0..per_call.len().max(apart.len())).map(kind).collect(),
        zone_fee: list(s, "domain.route_fee").iter().filter_map(|f| f.get::<f64>().copied()).collect(),
        zone: num(s, "zone").map_or(0, |z| z as usize),
        cross_zone: num(s, "prices.cross_zone").unwrap_or(0.0),
        cold_share: number("rules.cold_share")?,
        warm_up: number("rules.warm_up")? as Nanos,
        overload_factor: number("rules.overload_factor")?,
        fall: number("rules.fall")? as Nanos,
        key_rest: span(s, "rules.key_rest").unwrap_or(0),
    };
    if settings.slots == 0 || settings.max_held == 0 || settings.classes.is_empty() {
        return Err("`settings` leave no slot, no room or no class".to_string());
    }
    Ok(settings)
}

fn class(s: &JsonValue) -> Res<Class> {
    let number = |path: &str| need(num(s, path), &format!("settings.services[].{path}"));
    let repeat = match need(text(s, "repeat"), "settings.services[].repeat")? {
        "pure" => Repeat::Safe,
        "token" => Repeat::Keyed {
            memory: span(s, "memory_span").unwrap_or(0),
            zone_only: text(s, "group").is_some_and(|g| g != "all"),
        },
        "side_effect" => Repeat::Unsafe,
        other => return Err(format!("`settings.services[].repeat`: {other:?} is not known")),
    };
    Ok(Class {
        aim: number("aim")? as Nanos,
        deadline: number("deadline")? as Nanos,
        worth: number("importance")?,
        late_worth: number("late_worth")?,
        repeat,
        in_order: flag(s, "in_order") == Some(true),
    })
}

impl Config {
    /// What the environment says stands above the file.
    pub fn heed_environment(&mut self, get: impl Fn(&str) -> Option<String>) -> Res<()> {
        if let Some(name) = get("LB_NAME") {
            self.name = name;
        }
        if let Some(listen) = get("LB_LISTEN") {
            self.listen = address(&listen, "LB_LISTEN")?;
        }
        if let Some(discovery) = get("LB_DISCOVERY") {
            self.discovery = Some(address(&discovery, "LB_DISCOVERY")?);
        }
        if let Some(console) = get("LB_CONSOLE").filter(|said| !said.is_empty()) {
            self.console = Some(address(&console, "LB_CONSOLE")?);
        }
        if let Some(state) = get("LB_STATE") {
            self.state = PathBuf::from(state);
        }
        Ok(())
    }

    pub fn summary(&self) -> String {
        let (classes, hops) = (self.classes.join(", "), self.known.endpoints.len());
        format!("{}: listens on {}, classes {classes}, {hops} next hops known", self.name, self.listen)
    }
}

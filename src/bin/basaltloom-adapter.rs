//! Translates the bench's wire to the interface of the decision module and back. It decides nothing.

use basaltloom::{
    Action, Class, Entry, Event, HostId, Kind, Late, Limits, Listing, Outcome, Relay, Repeat, Settings,
};
use serde::Deserialize;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{self, BufRead, Write};

type Res<T> = Result<T, String>;

#[derive(Deserialize)]
struct Batch {
    ts: u64,
    groups: Vec<Group>,
}

#[derive(Deserialize)]
struct Group {
    who: u64,
    news: Vec<News>,
}

#[derive(Deserialize)]
#[serde(tag = "op")]
enum News {
    #[serde(rename = "LAUNCH")]
    Launch { salt: u64, params: Box<Params> },
    #[serde(rename = "EXIT")]
    Exit {},
    #[serde(rename = "PAGE")]
    Page { list: u64, members_list: Vec<Member> },
    #[serde(rename = "VIEW")]
    View { kind: u8, list: Option<u64> },
    #[serde(rename = "INBOUND")]
    Inbound { tid: u64, profile: usize, target_key: Option<String>, time_left: u64, destination: u64 },
    #[serde(rename = "VERDICT")]
    Verdict {
        tid: u64,
        hop: u32,
        disposition: u16,
        no_more: Option<bool>,
        hold_ms: Option<u64>,
        latency: Option<u64>,
        host: Option<String>,
        metrics: Option<Vec<f64>>,
    },
    #[serde(rename = "ABANDONED")]
    Abandoned { tid: u64 },
    #[serde(rename = "ELAPSED")]
    Elapsed {},
    #[serde(other)]
    Unknown,
}

#[derive(Deserialize, Clone)]
struct Member {
    flavor: Option<usize>,
    owner_no: u64,
    state: u8,
    host: String,
    rack_zone: Option<usize>,
    scale: Option<f64>,
}

#[derive(Deserialize)]
struct Params {
    discovery: String,
    domain: Domain,
    fleet_size: u32,
    limits: Lim,
    rules: Rules,
    services: Vec<Service>,
    weights: Option<String>,
    report: Option<Report>,
    #[serde(default)]
    zone: usize,
    #[serde(default)]
    prices: Prices,
}

#[derive(Default, Deserialize)]
struct Prices {
    #[serde(default)]
    cross_zone: f64,
}

#[derive(Deserialize)]
struct Report {
    #[serde(default)]
    fields: Vec<String>,
}

#[derive(Deserialize)]
struct Domain {
    calls_out: usize,
    late: String,
    #[serde(default)]
    per_call: Vec<usize>,
    #[serde(default)]
    separate_routes: Vec<bool>,
    #[serde(default)]
    route_fee: Vec<f64>,
}

#[derive(Deserialize)]
struct Lim {
    cancel: bool,
    #[serde(default)]
    keepalive: u64,
    max_open: usize,
    max_retry_after: Option<u64>,
    most_tries: u32,
    retry_after: bool,
}

#[derive(Deserialize)]
struct Rules {
    cold_share: f64,
    fall: u64,
    key_rest: Option<u64>,
    overload_factor: f64,
    warm_up: u64,
}

#[derive(Deserialize)]
struct Service {
    aim: u64,
    deadline: u64,
    group: Option<String>,
    importance: f64,
    in_order: Option<bool>,
    late_worth: f64,
    memory_span: Option<u64>,
    repeat: String,
}

fn class(s: &Service) -> Class {
    let repeat = match s.repeat.as_str() {
        "pure" => Repeat::Safe,
        "token" => Repeat::Keyed {
            memory: s.memory_span.unwrap_or(0),
            zone_only: s.group.as_deref().is_some_and(|g| g != "all"),
        },
        _ => Repeat::Unsafe,
    };
    Class {
        aim: s.aim,
        deadline: s.deadline,
        worth: s.importance,
        late_worth: s.late_worth,
        repeat,
        in_order: s.in_order == Some(true),
    }
}

fn settings(p: &Params) -> Settings {
    let d = &p.domain;
    let kinds = (0..d.per_call.len().max(d.separate_routes.len()))
        .map(|i| Kind {
            apart: d.separate_routes.get(i) == Some(&true),
            per_call: d.per_call.get(i).copied().unwrap_or(1),
        })
        .collect();
    Settings {
        senders: p.fleet_size,
        slots: d.calls_out,
        max_held: p.limits.max_open,
        max_attempts: p.limits.most_tries,
        may_cancel: p.limits.cancel,
        must_subscribe: p.discovery == "ask",
        keepalive: p.limits.keepalive,
        max_come_back: if p.limits.retry_after { p.limits.max_retry_after.unwrap_or(0) } else { 0 },
        limits: match p.weights.as_deref() {
            Some("nominal") => Limits::Exact,
            Some("rough") => Limits::Rough,
            _ => Limits::Unlisted,
        },
        late: if d.late == "by_half" { Late::Halves } else { Late::Even },
        classes: p.services.iter().map(class).collect(),
        kinds,
        zone_fee: d.route_fee.clone(),
        zone: p.zone,
        cross_zone: p.prices.cross_zone,
        cold_share: p.rules.cold_share,
        warm_up: p.rules.warm_up,
        overload_factor: p.rules.overload_factor,
        fall: p.rules.fall,
        key_rest: p.rules.key_rest.unwrap_or(0),
    }
}

fn outcome(code: u16, hold_ms: Option<u64>) -> Res<Outcome> {
    Ok(match code {
        100 => Outcome::Served,
        301 => Outcome::Error,
        302 => Outcome::Full { wait: hold_ms.unwrap_or(0).saturating_mul(1_000_000) },
        303 => Outcome::TimedOut,
        304 => Outcome::NoConnection,
        305 => Outcome::Broken,
        306 => Outcome::Cancelled,
        307 => Outcome::NotSent,
        _ => return Err(format!("unknown disposition {code}")),
    })
}

/// One relay of this process, with the numbers given to the wire's host names.
struct Instance {
    relay: Relay,
    ids: BTreeMap<String, HostId>,
    names: Vec<String>,
    /// Places of the limit and of the share of it that is left among the values of a report.
    limit_at: Option<usize>,
    left_at: Option<usize>,
}

impl Instance {
    fn host(&mut self, name: &str) -> HostId {
        if let Some(&id) = self.ids.get(name) {
            return id;
        }
        let id = self.names.len() as HostId;
        self.ids.insert(name.to_string(), id);
        self.names.push(name.to_string());
        id
    }

    fn entry(&mut self, m: &Member) -> Res<Entry> {
        let state = match m.state {
            3 => Listing::Ready,
            0 => Listing::Draining,
            1 => Listing::Gone,
            s => return Err(format!("unknown state {s} of host {}", m.host)),
        };
        Ok(Entry {
            host: self.host(&m.host),
            dest: m.owner_no,
            kind: m.flavor.unwrap_or(0),
            zone: m.rack_zone.unwrap_or(0),
            state,
            scale: m.scale.unwrap_or(1.0),
        })
    }

    fn name(&self, host: HostId) -> &str {
        &self.names[host as usize]
    }

    fn wire(&self, a: Action) -> Value {
        match a {
            Action::Send { id, host, timeout } => {
                json!({"op": "SUBMIT_TO", "tid": id, "max_wait": timeout, "host": self.name(host)})
            }
            Action::Cancel { id, attempt } => json!({"op": "ABANDON", "tid": id, "hop": attempt}),
            Action::Refuse { id, come_back } => json!({"op": "DECLINE", "tid": id, "cool_down": come_back}),
            Action::Fail { id } => json!({"op": "LOSE", "tid": id}),
            Action::Close { host } => json!({"op": "LET_GO", "host": self.name(host)}),
            Action::Wake { at } => json!({"op": "TIMER", "fire_at": at, "token": "wake"}),
            Action::Subscribe => json!({"op": "STREAM_CHANGES", "active": true}),
            Action::Log(what) => json!({"op": "RECORD", "what": what}),
        }
    }
}

#[derive(Default)]
struct Process {
    instances: BTreeMap<u64, Instance>,
    pages: BTreeMap<u64, Vec<Member>>,
}

impl Process {
    /// Events that one instance gets in one batch become one step of its module.
    fn group(&mut self, ts: u64, who: u64, news: Vec<News>) -> Res<Vec<Value>> {
        let mut events = Vec::new();
        for told in news {
            match told {
                News::Launch { salt, params } => {
                    events.clear();
                    let relay = Relay::new(settings(&params), salt);
                    let place = |name| params.report.as_ref()?.fields.iter().position(|f| f == name);
                    let (limit_at, left_at) = (place("x1"), place("x0"));
                    let (ids, names) = (BTreeMap::new(), Vec::new());
                    self.instances.insert(who, Instance { relay, ids, names, limit_at, left_at });
                }
                News::Exit {} => {
                    events.clear();
                    self.instances.remove(&who).ok_or_else(|| format!("no instance {who}"))?;
                }
                News::Page { list, members_list } => drop(self.pages.insert(list, members_list)),
                told => {
                    let inst = self.instances.get_mut(&who).ok_or_else(|| format!("no instance {who}"))?;
                    events.extend(Self::reported(inst, &told));
                    events.extend(Self::event(inst, &self.pages, told)?);
                }
            }
        }
        let Some(inst) = self.instances.get_mut(&who) else { return Ok(Vec::new()) };
        let actions = inst.relay.step(ts, &events);
        Ok(actions.into_iter().map(|a| inst.wire(a)).collect())
    }

    /// The limit that came with an outcome; a 0 says that there is none.
    fn reported(inst: &mut Instance, told: &News) -> Option<Event> {
        let News::Verdict { host: Some(host), metrics: Some(metrics), .. } = told else { return None };
        let limit = *metrics.get(inst.limit_at?)?;
        let left = inst.left_at.and_then(|at| metrics.get(at)).copied();
        Some(Event::Reported { host: inst.host(host), limit, left })
    }

    fn event(inst: &mut Instance, pages: &BTreeMap<u64, Vec<Member>>, told: News) -> Res<Option<Event>> {
        Ok(Some(match told {
            News::View { kind: 0, .. } => return Ok(None),
            News::View { kind, list } => {
                let list = list.ok_or("VIEW without list")?;
                let members = pages.get(&list).ok_or_else(|| format!("no page {list}"))?;
                let entries = members.iter().map(|m| inst.entry(m)).collect::<Res<Vec<_>>>()?;
                Event::Listed { whole: kind != 2, entries }
            }
            News::Inbound { tid, profile, target_key, time_left, destination } => {
                Event::Taken { id: tid, class: profile, dest: destination, key: target_key, time_left }
            }
            News::Verdict { tid, hop, disposition, no_more, hold_ms, latency, .. } => Event::Ended {
                id: tid,
                attempt: hop,
                outcome: outcome(disposition, hold_ms)?,
                latency: latency.unwrap_or(0),
                over: no_more == Some(true),
            },
            News::Abandoned { tid } => Event::Withdrawn { id: tid },
            News::Elapsed {} => Event::Woken,
            _ => return Ok(None),
        }))
    }

    fn line(&mut self, line: &str) -> Res<String> {
        let batch: Batch = serde_json::from_str(line).map_err(|e| format!("bad batch: {e}"))?;
        let mut groups = Vec::new();
        for g in batch.groups {
            let actions = self.group(batch.ts, g.who, g.news)?;
            if !actions.is_empty() {
                groups.push(json!({"who": g.who, "actions": actions}));
            }
        }
        Ok(json!({ "groups": groups }).to_string())
    }
}

fn run() -> Res<()> {
    let mut process = Process::default();
    let mut out = io::stdout().lock();
    for line in io::stdin().lock().lines() {
        let line = line.map_err(|e| format!("cannot read: {e}"))?;
        if line.trim().is_empty() {
            continue;
        }
        let reply = process.line(&line)?;
        writeln!(out, "{reply}").and_then(|()| out.flush()).map_err(|e| format!("cannot write: {e}"))?;
    }
    Ok(())
}

fn main() {
    if let Err(why) = run() {
        eprintln!("basaltloom-adapter: {why}");
        std::process::exit(1);
    }
}

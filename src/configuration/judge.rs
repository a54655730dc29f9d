//! Judges the text of a file, and makes the configuration of one that is whole.

use super::completeness::{joined, lacks};
use super::consistency;
use super::environment::{Environment, Origin};
use super::fault::{Fault, Faults};
use super::form::{DefaultsForm, Form, LimitsForm};
use super::settings::{DiscoveryForm, SettingsForm};
use super::{Configuration, Version};
use crate::interface::Nanos;
use crate::memory::{MemoryLimits, MemoryPlan};
use crate::polling;
use crate::protocol::discovery::{self, ListLimits, Names};
use crate::protocol::platform::Defaults;
use serde_json::Value;
use std::collections::BTreeSet;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Bytes of a megabyte, as the form counts them.
const MEGABYTE: f64 = 1e6;
/// Nanoseconds of a millisecond.
const MILLISECOND: f64 = 1e6;

/// The configuration of a text; all that is wrong with it where it is not whole. `in_force`: the one before it, whose keys it
/// has to have.
pub fn judge(text: &str, in_force: Option<&Configuration>) -> Result<Configuration, Faults> {
    judge_with(text, in_force, |_| Vec::new())
}

/// The same for a process that runs by the one in force: it has to agree with that in what only a start can change.
/// `uses_peers`: the process talks to other relays.
pub fn judge_again(
    text: &str,
    in_force: &Configuration,
    environment: &Environment,
    uses_peers: bool,
) -> Result<Configuration, Faults> {
    let within = |read: Configuration| read.read_again(environment, in_force);
    let changes = |read: &Configuration| {
        let peers = (uses_peers && !read.peers).then(|| {
            Fault::at("settings.limits.peers", "is false, but the operator's file has a section `fleet`")
        });
        fixed(&within(read.clone()), in_force).into_iter().chain(peers).collect()
    };
    judge_with(text, Some(in_force), changes).map(within)
}

fn judge_with(
    text: &str,
    in_force: Option<&Configuration>,
    more: impl Fn(&Configuration) -> Vec<Fault>,
) -> Result<Configuration, Faults> {
    if text.trim().is_empty() {
        return Err(Fault::at("", "the file is empty").into());
    }
    let document: Value =
        serde_json::from_str(text).map_err(|e| Fault::at("", format!("the file is no JSON: {e}")))?;
    let form = eserde::json::from_str::<Form>(text);
    let mut faults = consistency::faults(&document);
    if let Err(errors) = &form {
        faults.extend(errors.iter().map(fault));
    }
    if let Some(in_force) = in_force {
        let known: BTreeSet<String> = faults.iter().map(|fault| fault.path.clone()).collect();
        let lacking = lacks(&document, &in_force.document).into_iter();
        faults.extend(lacking.filter(|fault| !known.contains(&fault.path)));
    }
    let configuration = form.ok().map(|form| configuration(text, document, form));
    faults.extend(configuration.iter().flat_map(more));
    Faults::of(faults)?;
    configuration.ok_or_else(|| Fault::at("", "the file is not understood").into())
}

/// What only a start can change.
fn fixed(read: &Configuration, in_force: &Configuration) -> Vec<Fault> {
    let fault = |path: &str, is: &dyn std::fmt::Debug, was: &dyn std::fmt::Debug| {
        Fault::at(path, format!("is {is:?}, in force is {was:?}: only a start can change it"))
    };
    let mut faults = Vec::new();
    if read.name != in_force.name {
        faults.push(fault("name", &read.name, &in_force.name));
    }
    if read.listen != in_force.listen {
        faults.push(fault("listen", &read.listen, &in_force.listen));
    }
    if read.console != in_force.console {
        faults.push(fault("console", &read.console, &in_force.console));
    }
    if read.state != in_force.state {
        faults.push(fault("state", &read.state, &in_force.state));
    }
    // What was sent before is remembered by the places of zones.
    if !read.names.zones.starts_with(&in_force.names.zones) {
        faults.push(fault("settings.azs", &read.names.zones, &in_force.names.zones));
    }
    faults
}

/// A fault of the form, as the parser tells it.
fn fault(error: &eserde::DeserializationError) -> Fault {
    let path = error.path().map(|path| path.to_string()).unwrap_or_default();
    let path = path.trim_start_matches('.');
    let message = error.message().to_string();
    let message = message.rsplit_once(" at line ").map_or(message.as_str(), |(message, _)| message);
    let missing = message.strip_prefix("missing field `").and_then(|rest| rest.strip_suffix('`'));
    if let Some(name) = missing {
        return Fault::missing(joined(path, name));
    }
    Fault::at(path, message)
}

fn configuration(text: &str, document: Value, form: Form) -> Configuration {
    let Form { limits, settings, .. } = form;
    let names = Names { kinds: settings.kinds.clone(), zones: settings.azs.clone() };
    let classes = settings.class_names();
    let memory = memory(&limits);
    let plan = MemoryPlan::within(memory, 0);
    let known = document.get("known").and_then(|known| discovery::decode_update(known, &names));
    let default_of = |class: &String| form.defaults.get(class).map_or_else(Defaults::default, defaults);
    let default_class = form.default_class.as_ref();
    Configuration {
        version: Version::of(text),
        text: Rc::from(text),
        document: Rc::new(without_endpoints(document)),
        name: form.name.as_str().to_string(),
        listen: form.listen,
        discovery: form.discovery,
        origin: Origin::default(),
        console: form.console,
        state: PathBuf::from(form.state.as_deref().unwrap_or(".")),
        seed: seed(&form.seed),
        peers: settings.limits.peers,
        memory_bytes: memory.relay,
        sockets: memory.sockets.min(plan.connections()),
        disk_bytes: memory.files.min(plan.files()),
        list: list_limits(&limits),
        settings: settings.settings(),
        defaults: classes.iter().map(default_of).collect(),
        default_class: default_class.and_then(|name| classes.iter().position(|class| class == name)),
        classes,
        connect_timeout: settings.limits.connect_timeout.get(),
        known: known.unwrap_or_default(),
        asked: asked(&settings),
        names,
    }
}

fn without_endpoints(mut document: Value) -> Value {
    if let Some(Value::Array(hosts)) = document.pointer_mut("/known/hosts") {
        *hosts = Vec::new();
    }
    document
}

fn defaults(form: &DefaultsForm) -> Defaults {
    Defaults {
        dest: form.dest.map(|dest| dest.get()),
        time_left: form.timeout_ms.map(|ms| (ms.get() * MILLISECOND) as Nanos),
    }
}

/// What a relay may take, of which two processes may run at a time.
fn memory(limits: &LimitsForm) -> MemoryLimits {
    MemoryLimits {
        relay: (limits.memory_mb.get() * MEGABYTE) as u64,
        files: (limits.disk_mb.get() * MEGABYTE) as u64,
        sockets: limits.sockets.size(),
        may_hand_over: true,
    }
}

/// `limits.list_mb`, else what fits `limits.memory_mb`.
fn list_limits(limits: &LimitsForm) -> ListLimits {
    let fitting = || ListLimits::within((limits.memory_mb.get() * MEGABYTE) as usize);
    let said = limits.list_mb.map(|mb| ListLimits { bytes: (mb.get() * MEGABYTE) as usize });
    said.unwrap_or_else(fitting)
}

fn asked(settings: &SettingsForm) -> polling::Terms {
    let within = Duration::from_nanos(settings.rules.ask_within.get());
    let grace = Duration::from_nanos(settings.rules.stop_sending_within.get());
    polling::Terms { within: (settings.discovery == DiscoveryForm::Ask).then_some(within), grace }
}

/// Hexadecimal, or any text at all.
fn seed(text: &str) -> u64 {
    u64::from_str_radix(text, 16).unwrap_or_else(|_| xxh3_64(text.as_bytes()))
}

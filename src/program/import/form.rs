//! What was read of an nginx configuration, in the form of ours.

use super::settings::{self, UpstreamSettings};
use super::upstream::Server;
use super::{Class, Import, REST};
use crate::configuration::form::{DefaultsForm, Form, HealthForm, HostForm, KnownForm, LimitsForm};
use crate::configuration::settings::{ServiceForm, SettingsForm};
use crate::configuration::value::{Figure, Positive, Text, Whole};
use std::net::SocketAddr;

/// What nginx takes where nothing is said.
const KEEPALIVE_MS: u64 = 60_000;
const LISTEN: ([u8; 4], u16) = ([0, 0, 0, 0], 8000);
/// Calls out to all endpoints where no `max_conns` says how many they take.
const CALLS_OUT: u64 = 64;
/// What a process may use where nginx says nothing of it.
const SOCKETS: u64 = 1_024;
const MEMORY_MB: f64 = 128.0;
const DISK_MB: f64 = 64.0;

impl Import {
    /// All of it in the form of the configuration.
    pub(super) fn form(&self) -> Form {
        let upstreams =
            || self.order.iter().zip(1u64..).map(|(name, dest)| (name, dest, &self.upstreams[name]));
        let hosts = upstreams().flat_map(|(name, dest, u)| u.servers.iter().map(move |s| s.host(name, dest)));
        let dest_of =
            |class: &Class| upstreams().find(|(name, ..)| **name == class.upstream).map(|(_, dest, _)| dest);
        let defaults = self.classes.iter().map(|c| (c.name.clone(), c.defaults(dest_of(c).unwrap_or(0))));
        Form {
            name: Text::from("imported".to_string()),
            listen: self.listen.unwrap_or(SocketAddr::from(LISTEN)),
            discovery: None,
            console: None,
            state: Some(".".to_string()),
            seed: "imported".to_string(),
            limits: LimitsForm {
                cores: Positive::clamped(1.0),
                memory_mb: Positive::clamped(MEMORY_MB),
                sockets: Whole::clamped(SOCKETS),
                disk_mb: Positive::clamped(DISK_MB),
                list_mb: None,
            },
            known: KnownForm { seq: Whole::clamped(0), whole: true, hosts: hosts.collect() },
            defaults: defaults.collect(),
            default_class: self.classes.iter().any(|c| c.name == REST).then(|| REST.to_string()),
            settings: self.settings(),
        }
    }

    fn settings(&self) -> SettingsForm {
        let servers = || self.order.iter().flat_map(|name| &self.upstreams[name].servers);
        let is_bounded = servers().all(|server| server.max_conns > 0);
        let calls_out = if is_bounded { servers().map(|server| server.max_conns).sum() } else { CALLS_OUT };
        let keepalive = self.upstreams.values().filter_map(|u| u.keepalive_ms).min().unwrap_or(KEEPALIVE_MS);
        settings::of_upstreams(UpstreamSettings {
            calls_out,
            connect_timeout_ms: self.shared.connect_timeout_ms(),
            keepalive_ms: keepalive.max(1_000),
            most_tries: self.shared.most_tries(),
            services: self.classes.iter().map(Class::service).collect(),
        })
    }
}

impl Server {
    /// As an endpoint of this upstream, which is destination `dest`.
    fn host(&self, upstream: &str, dest: u64) -> HostForm {
        HostForm {
            host: Text::from(format!("{upstream}/{}", self.name)),
            dial: self.dial,
            site: settings::ZONE.to_string(),
            class: settings::KIND.to_string(),
            block: Whole::clamped(dest),
            health: if self.down { HealthForm::Leaving } else { HealthForm::Active },
            share: Figure::clamped(1.0),
            born_ms: Whole::clamped(0),
            weight: Some(Whole::clamped(self.weight)),
            max_conns: (self.max_conns > 0).then(|| Whole::clamped(self.max_conns)),
            backup: Some(self.backup),
        }
    }
}

impl Class {
    /// The longest time that nginx would give a request.
    fn deadline_ms(&self) -> u64 {
        self.within_ms.max(self.read_ms)
    }

    fn defaults(&self, dest: u64) -> DefaultsForm {
        let timeout = Positive::clamped(self.deadline_ms() as f64);
        DefaultsForm { dest: Some(Whole::clamped(dest)), timeout_ms: Some(timeout) }
    }

    fn service(&self) -> ServiceForm {
        settings::service(&self.name, self.read_ms, self.deadline_ms(), self.repeat)
    }
}

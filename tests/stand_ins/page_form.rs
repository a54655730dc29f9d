//! A configuration in the platform's form, whole, for tests to change.
#![allow(dead_code)]

use serde_json::{json, Value};

/// All keys that the platform's page names, with figures of a site with one zone, one kind and one class.
pub fn page_form() -> Value {
    json!({
        "name": "n1", "listen": "127.0.0.1:0", "seed": "1",
        "limits": {"cores": 1.0, "memory_mb": 128, "sockets": 256, "disk_mb": 3},
        "known": {"seq": 1, "whole": true, "hosts": []},
        "settings": {
            "azs": ["z"], "callers": {"marks_retry": false}, "discovery": "push",
            "domain": {
                "calls_out": 32, "late": "even", "notes": "", "per_call": [1], "report_x0": "", "report_x1": "",
                "route_fee": [0.0], "separate_routes": [false], "turned_away_price": 0.0
            },
            "family": "deliver", "fleet_size": 1,
            "goal": {"whole": 0.45, "worst_class": 0.3, "worst_tenant": 0.0, "worst_window": 0.25},
            "kinds": ["k"], "layers": ["partners"],
            "limits": {
                "cancel": false, "connect_timeout": 1_500_000_000, "cpu_us_per_request": 0.0, "cpu_us_per_s": 1_000_000,
                "keepalive": 10_000_000_000u64, "max_open": 4_000, "max_retry_after": 3_000_000_000u64, "most_tries": 8,
                "peers": false, "probes": true, "retry_after": true, "second_copies": false, "streams_per_conn": 1
            },
            "ordinal": 0, "over_share_worth": 0.1,
            "prices": {
                "connection": 0.0, "cross_zone": 0.0, "discovery": 0.0, "handshake": 0.04, "late_fail": 0.02,
                "moves": 0.0, "origin": 0.0, "peer": 0.0, "probe": 0.011, "waste": 0.08
            },
            "report": {"fields": ["x0", "x1"], "how": "inline"},
            "rules": {
                "answer_slack": 5_000_000, "ask_within": 10_000_000_000u64, "cold_share": 1.0, "fall": 1_500_000_000,
                "overload_factor": 1_000.0, "stop_sending_within": 1_000_000_000, "warm_up": 100_000_000
            },
            "services": [class("notice", "pure")], "tenants": [], "tick": 1_000_000, "tier": 0, "weights": "off",
            "worth_by": "request", "zone": 0
        }
    })
}

/// A class with an aim of 2 s and a deadline of 20 s.
pub fn class(name: &str, repeat: &str) -> Value {
    json!({
        "aim": 2_000_000_000, "deadline": 20_000_000_000u64, "group": "all", "importance": 1.0, "late_worth": 0.5,
        "memory_span": 8_000_000_000u64, "name": name, "repeat": repeat, "stream": false
    })
}

/// The form with what this text says in place of its own: classes get what they leave out, lists of kinds and zones an element
/// for each of them.
pub fn completed(text: &str) -> String {
    let mut document = page_form();
    merge(&mut document, serde_json::from_str(text).unwrap());
    for service in document["settings"]["services"].as_array_mut().unwrap() {
        let said = service.take();
        *service = class("", "pure");
        merge(service, said);
    }
    let settings = &mut document["settings"];
    for (list, of) in [("per_call", "kinds"), ("separate_routes", "kinds"), ("route_fee", "azs")] {
        let count = settings[of].as_array().unwrap().len();
        let list = settings["domain"][list].as_array_mut().unwrap();
        let first = list[0].clone();
        list.resize(count, first);
    }
    document.to_string()
}

/// Members of objects one by one, all else as a whole.
fn merge(into: &mut Value, from: Value) {
    match (into, from) {
        (Value::Object(members), Value::Object(others)) => {
            for (name, value) in others {
                merge(members.entry(name).or_insert(Value::Null), value);
            }
        }
        (into, from) => *into = from,
    }
}

/// Sets what a pointer such as `/settings/limits/max_open` names; its parent has to be there.
pub fn set(document: &mut Value, pointer: &str, value: impl Into<Value>) {
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    match document.pointer_mut(parent).unwrap() {
        Value::Object(members) => drop(members.insert(key.to_string(), value.into())),
        Value::Array(items) => items[key.parse::<usize>().unwrap()] = value.into(),
        other => panic!("{parent} is {other}"),
    }
}

/// Takes out what a pointer names.
pub fn remove(document: &mut Value, pointer: &str) {
    let (parent, key) = pointer.rsplit_once('/').unwrap();
    let members = document.pointer_mut(parent).and_then(Value::as_object_mut).unwrap();
    assert!(members.remove(key).is_some(), "{pointer}");
}

/// The form with these members in place of its own.
pub fn page_form_with<const N: usize>(members: [(&str, Value); N]) -> Value {
    let mut document = page_form();
    members.into_iter().for_each(|(pointer, value)| set(&mut document, pointer, value));
    document
}

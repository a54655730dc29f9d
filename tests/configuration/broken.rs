//! Configurations that are broken in each way that a file can be.

use crate::platform::{free_address, Process};
use crate::rig::Scene;
use crate::stand_ins::entry;
use crate::stand_ins::page_form::{remove, set};
use serde_json::{json, Value};
use std::thread::sleep;
use std::time::Duration;

/// New work may go to an endpoint that drains for so long after the relay was told.
const DRAIN_GRACE: Duration = Duration::from_secs(1);
/// Beyond its time, an end is told within this.
const END_SLACK: Duration = Duration::from_millis(300);

/// A break of a whole configuration, and its name.
type Break = (String, Box<dyn Fn(&mut Value)>);

/// Pointers to all keys of a document, elements of lists by their first one alone.
fn keys(value: &Value, at: &str) -> Vec<String> {
    match value {
        Value::Object(members) => members
            .iter()
            .flat_map(|(name, inner)| {
                let here = format!("{at}/{name}");
                [vec![here.clone()], keys(inner, &here)].concat()
            })
            .collect(),
        Value::Array(items) => items.first().map_or(Vec::new(), |first| keys(first, &format!("{at}/0"))),
        _ => Vec::new(),
    }
}

/// A value of another kind.
fn of_another_kind(value: &Value) -> Value {
    match value {
        Value::String(_) => json!(5),
        Value::Number(_) => json!("5"),
        Value::Bool(_) => json!("yes"),
        Value::Array(_) => json!({}),
        Value::Object(_) => json!([]),
        Value::Null => json!(true),
    }
}

/// Values out of range.
fn out_of_range() -> Vec<(&'static str, Value)> {
    let mut all = vec![
        ("/listen", json!("nowhere")),
        ("/limits/sockets", json!(0)),
        ("/limits/disk_mb", json!(-3)),
        ("/limits/memory_mb", json!(0)),
        ("/known/seq", json!(-1)),
        ("/known/hosts/0/dial", json!("127.0.0.1")),
        ("/known/hosts/0/block", json!(1.5)),
        ("/known/hosts/0/block", json!(-1)),
        ("/known/hosts/0/health", json!("well")),
        ("/known/hosts/0/share", json!(-1.0)),
        ("/settings/azs", json!([])),
        ("/settings/kinds", json!([])),
        ("/settings/kinds", json!([1])),
        ("/settings/fleet_size", json!(0)),
        ("/settings/zone", json!(5)),
        ("/settings/weights", json!("heavy")),
        ("/settings/discovery", json!("pull")),
        ("/settings/worth_by", json!("weight")),
        ("/settings/report/how", json!("now and then")),
        ("/settings/domain/late", json!("never")),
        ("/settings/domain/calls_out", json!(0)),
        ("/settings/domain/per_call", json!([0])),
        ("/settings/domain/per_call", json!([])),
        ("/settings/domain/separate_routes", json!([false, true])),
        ("/settings/domain/route_fee", json!(["free"])),
        ("/settings/limits/max_open", json!(0)),
        ("/settings/limits/connect_timeout", json!(0)),
        ("/settings/limits/keepalive", json!(-1)),
        ("/settings/rules/cold_share", json!(0.0)),
        ("/settings/rules/cold_share", json!(1.5)),
        ("/settings/rules/overload_factor", json!(0)),
        ("/settings/rules/fall", json!(0)),
        ("/settings/rules/warm_up", json!(-9)),
        ("/settings/prices/cross_zone", json!(-0.1)),
        ("/settings/services", json!([])),
        ("/settings/services/0/name", json!("")),
        ("/settings/services/0/name", json!("update")),
        ("/settings/services/0/repeat", json!("maybe")),
        ("/settings/services/0/group", json!("cell")),
        ("/settings/services/0/importance", json!(-1.0)),
        ("/settings/services/0/late_worth", json!(1.5)),
        ("/settings/services/0/memory_span", json!(-1)),
        ("/default_class", json!("none of them")),
        ("/limits/list_mb", json!(0)),
    ];
    let not_positive = [json!(0), json!(-5), json!(0.0), json!(1.5), json!(null), json!([8]), json!("8")];
    for pointer in
        ["/settings/services/0/deadline", "/settings/services/0/aim", "/settings/limits/most_tries"]
    {
        all.extend(not_positive.iter().map(|value| (pointer, value.clone())));
    }
    all
}

/// Each key left out, each of another kind, and values out of range.
fn breaks(document: &Value) -> Vec<Break> {
    let mut all: Vec<Break> = Vec::new();
    for key in keys(document, "") {
        let (missing, other) = (key.clone(), key.clone());
        all.push((format!("without {key}"), Box::new(move |document| remove(document, &missing))));
        let value = of_another_kind(document.pointer(&key).unwrap());
        all.push((
            format!("{key} is {value}"),
            Box::new(move |document| set(document, &other, value.clone())),
        ));
    }
    for (key, value) in out_of_range() {
        all.push((format!("{key} is {value}"), Box::new(move |document| set(document, key, value.clone()))));
    }
    all
}

/// Texts that are no such document at all.
fn texts(whole: &str) -> Vec<String> {
    let number = whole.replacen("20000000000", "1e400", 1);
    assert_ne!(number, whole);
    let twice = whole.replacen('{', r#"{"name":"n2","#, 1);
    let cuts = [1, 2, 3].map(|part| whole[..whole.len() * part / 4].to_string());
    let others = ["", "\n", "null", "[]", "{}", "{", "garbage"].map(str::to_string);
    [cuts.to_vec(), others.to_vec(), vec![format!("{whole}x"), number, twice]].concat()
}

/// What lies there, broken in each way, with a discovery at which nobody is.
fn broken_texts(scene: &Scene) -> Vec<(String, String)> {
    let good: Value = serde_json::from_str(&scene.changed(|document| {
        set(document, "/discovery", free_address().to_string());
    }))
    .unwrap();
    let broken = |(name, change): &Break| {
        let mut document = good.clone();
        change(&mut document);
        (name.clone(), document.to_string())
    };
    let mut all: Vec<(String, String)> = breaks(&good).iter().map(broken).collect();
    all.extend(texts(&good.to_string()).into_iter().map(|text| {
        let name: String = text.chars().take(20).collect();
        (format!("the text {name:?}"), text)
    }));
    all
}

/// Nothing has changed for the relay: it hears that its endpoint drains, and tells the end of a message.
fn goes_on_as_before(scene: &Scene, process: &Process) {
    assert_eq!(process.count_of("event=\"reread\""), 0, "broken files were taken");
    scene.discovery.asked_again();
    scene.discovery.next(&entry("h", scene.endpoint.address, "leaving"));
    sleep(DRAIN_GRACE + Duration::from_millis(200));
    let time = Duration::from_millis(800);
    assert_eq!(scene.hand_in("notice", "after", time.as_millis() as u64), Some(202));
    scene.ends("after", time + END_SLACK);
    assert_eq!(scene.endpoint.calls_of("after"), 0, "called at an endpoint that drains");
}

/// Guards drains and ends of messages from files that are broken and name another discovery (incident 800b21).
#[test]
fn a_broken_file_moves_neither_discovery_nor_notices() {
    let scene = Scene::new(true);
    let process = scene.platform.start_ready();
    let lies_there = scene.platform.document().to_string();
    for (_, text) in broken_texts(&scene) {
        scene.reread(&process, &text);
    }
    scene.platform.write(&lies_there);
    assert_eq!(scene.hand_in("notice", "m1", 5_000), Some(202));
    scene.endpoint.has_calls("m1", 1);
    goes_on_as_before(&scene, &process);
}

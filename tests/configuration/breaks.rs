//! Each way in which a configuration can be broken.

use crate::stand_ins::page_form::{remove, set};
use serde_json::{json, Value};

/// One thing wrong with a document.
#[derive(Clone, Debug)]
pub struct Break {
    /// The key.
    pub pointer: String,
    /// What it says; none: it is not there.
    pub value: Option<Value>,
}

impl Break {
    /// Breaks a document.
    pub fn make(&self, document: &mut Value) {
        match &self.value {
            Some(value) => set(document, &self.pointer, value.clone()),
            None => remove(document, &self.pointer),
        }
    }

    /// How a fault names the key.
    pub fn path(&self) -> String {
        let mut path = String::new();
        for name in self.pointer.split('/').skip(1) {
            match name.parse::<usize>() {
                Ok(place) => path += &format!("[{place}]"),
                Err(_) if path.is_empty() => path += name,
                Err(_) => path += &format!(".{name}"),
            }
        }
        path
    }
}

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
pub fn breaks(document: &Value) -> Vec<Break> {
    let keys = keys(document, "").into_iter().flat_map(|pointer| {
        let value = of_another_kind(document.pointer(&pointer).unwrap());
        [Break { pointer: pointer.clone(), value: None }, Break { pointer, value: Some(value) }]
    });
    let values = out_of_range().into_iter();
    let values = values.map(|(pointer, value)| Break { pointer: pointer.to_string(), value: Some(value) });
    keys.chain(values).collect()
}

/// Texts that are no such document at all.
pub fn texts(whole: &str) -> Vec<String> {
    let number = whole.replacen("20000000000", "1e400", 1);
    assert_ne!(number, whole);
    let twice = whole.replacen('{', r#"{"name":"n2","#, 1);
    let cuts = [1, 2, 3].map(|part| whole[..whole.len() * part / 4].to_string());
    let others = ["", "\n", "null", "[]", "{}", "{", "garbage"].map(str::to_string);
    [cuts.to_vec(), others.to_vec(), vec![format!("{whole}x"), number, twice]].concat()
}

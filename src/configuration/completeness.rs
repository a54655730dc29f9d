//! Whether a configuration has each key that the one in force has, of the same kind.

use super::fault::Fault;
use super::value::brief;
use serde_json::{Map, Value};

/// Keys that are the operator's own and not the platform's: `null` takes them out.
const REMOVABLE: [&str; 3] = ["default_class", "defaults", "limits.list_mb"];
/// Lists whose elements are told apart by their names.
const NAMED_LISTS: [&str; 2] = ["settings.services", "settings.tenants"];
/// Members by names of the operator's choice, which may come and go.
const FREE_MEMBERS: &str = "defaults";

/// What is missing in a document, or of another kind, by the one in force.
pub fn lacks(document: &Value, in_force: &Value) -> Vec<Fault> {
    let mut faults = Vec::new();
    compare(document, in_force, "", &mut faults);
    faults
}

fn compare(document: &Value, in_force: &Value, path: &str, faults: &mut Vec<Fault>) {
    match (document, in_force) {
        (Value::Null, _) if REMOVABLE.contains(&path) => {}
        (Value::Object(_), Value::Object(_)) if path == FREE_MEMBERS => {}
        (Value::Object(members), Value::Object(before)) => compare_members(members, before, path, faults),
        (Value::Array(items), Value::Array(before)) if NAMED_LISTS.contains(&path) => {
            compare_named(items, before, path, faults);
        }
        _ if is_same_kind(document, in_force) => {}
        _ => faults.push(Fault::at(path, format!("is {}, in force is {}", brief(document), brief(in_force)))),
    }
}

fn compare_members(
    members: &Map<String, Value>,
    before: &Map<String, Value>,
    path: &str,
    faults: &mut Vec<Fault>,
) {
    for (name, was) in before.iter().filter(|(_, was)| !was.is_null()) {
        let path = joined(path, name);
        match members.get(name) {
            Some(is) => compare(is, was, &path, faults),
            None => faults.push(Fault::missing(path)),
        }
    }
}

/// Elements that are there in both, by their names.
fn compare_named(items: &[Value], before: &[Value], path: &str, faults: &mut Vec<Fault>) {
    for (place, item) in items.iter().enumerate() {
        let name = item.get("name").filter(|name| name.is_string());
        let was = name.and_then(|name| before.iter().find(|was| was.get("name") == Some(name)));
        if let Some(was) = was {
            compare(item, was, &format!("{path}[{place}]"), faults);
        }
    }
}

fn is_same_kind(one: &Value, other: &Value) -> bool {
    std::mem::discriminant(one) == std::mem::discriminant(other)
}

/// The path of a member.
pub fn joined(path: &str, name: &str) -> String {
    if path.is_empty() {
        name.to_string()
    } else {
        format!("{path}.{name}")
    }
}

//! A list that was read whole with the file that holds it, such as the one under `known`.

use super::entry::{whole_number, EntryFault, Fields, Member, Skipped, Value as Simple};
use crate::catalog::{EndpointUpdate, Names};
use serde_json::{Map, Value};

/// Decodes a list, or its changes. Entries that cannot be used are left out, and told in the log.
pub fn decode_update(value: &Value, names: &Names) -> Option<EndpointUpdate> {
    let mut skipped = Skipped::default();
    let (seq, whole) = (whole_number(value.get("seq")?.as_f64()?)?, value.get("whole")?.as_bool()?);
    let entries = value.get("hosts").and_then(Value::as_array).into_iter().flatten().enumerate();
    let endpoints = entries.filter_map(|(place, entry)| match entry.as_object() {
        Some(members) => fields(members, names).complete(place, &mut skipped),
        None => {
            skipped.add(None, place, EntryFault::NotAnObject);
            None
        }
    });
    let endpoints = endpoints.collect();
    skipped.tell();
    Some(EndpointUpdate { seq, whole, endpoints })
}

fn fields(members: &Map<String, Value>, names: &Names) -> Fields {
    let mut fields = Fields::default();
    for (name, value) in members {
        if let Some(member) = Member::named(name) {
            fields.take(member, simple(value), names);
        }
    }
    fields
}

fn simple(value: &Value) -> Simple<'_> {
    match value {
        Value::String(text) => Simple::Text(text),
        Value::Number(number) => number.as_f64().map_or(Simple::Nested, Simple::Number),
        Value::Bool(flag) => Simple::Flag(*flag),
        Value::Null => Simple::Null,
        Value::Array(_) | Value::Object(_) => Simple::Nested,
    }
}

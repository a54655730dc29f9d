//! A list that was read whole with the file that holds it, such as the one under `known`.

use super::entry::{EntryFault, Fields, Member, Names, Skipped, Value};
use crate::catalog::EndpointUpdate;
use crate::protocol::fields::{flag, list, num};
use std::collections::HashMap;
use tinyjson::JsonValue;

/// Decodes a list, or its changes. Entries that cannot be used are left out, and told in the log.
pub fn decode_update(value: &JsonValue, names: &Names) -> Option<EndpointUpdate> {
    let mut skipped = Skipped::default();
    let (seq, whole) = (num(value, "seq")? as u64, flag(value, "whole")?);
    let entries = list(value, "hosts").iter().enumerate();
    let endpoints = entries.filter_map(|(place, entry)| match entry.get::<HashMap<_, _>>() {
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

fn fields(members: &HashMap<String, JsonValue>, names: &Names) -> Fields {
    let mut fields = Fields::default();
    for (name, value) in members {
        if let Some(member) = Member::named(name) {
            fields.take(member, simple(value), names);
        }
    }
    fields
}

fn simple(value: &JsonValue) -> Value<'_> {
    match value {
        JsonValue::String(text) => Value::Text(text),
        JsonValue::Number(number) => Value::Number(*number),
        JsonValue::Boolean(flag) => Value::Flag(*flag),
        JsonValue::Null => Value::Null,
        JsonValue::Array(_) | JsonValue::Object(_) => Value::Nested,
    }
}

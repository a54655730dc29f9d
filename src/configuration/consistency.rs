//! What several keys say together: each check passes over keys that are not sound by themselves.

use super::fault::Fault;
use super::value::whole;
use serde_json::Value;
use std::collections::BTreeSet;

/// Objects of the form; an object may not be written as the list of its values.
const OBJECTS: [&str; 11] = [
    "/limits",
    "/known",
    "/settings",
    "/settings/callers",
    "/settings/domain",
    "/settings/goal",
    "/settings/limits",
    "/settings/prices",
    "/settings/report",
    "/settings/rules",
    "/defaults",
];
/// Lists of objects.
const LISTS_OF_OBJECTS: [&str; 3] = ["/known/hosts", "/settings/services", "/settings/tenants"];
/// Lists that have an element for each element of another one.
const ONE_FOR_EACH: [(&str, &str); 3] = [
    ("/settings/domain/per_call", "/settings/kinds"),
    ("/settings/domain/separate_routes", "/settings/kinds"),
    ("/settings/domain/route_fee", "/settings/azs"),
];
/// Lists that are not empty and name nothing twice.
const NAMES: [&str; 3] = ["/settings/azs", "/settings/kinds", "/settings/layers"];
/// Places in lists.
const PLACES: [(&str, &str); 2] =
    [("/settings/zone", "/settings/azs"), ("/settings/tier", "/settings/layers")];

/// What is wrong with a document beyond the kind and range of each key.
pub fn faults(document: &Value) -> Vec<Fault> {
    let checks = [objects, lists, places, classes, defaults];
    checks.iter().flat_map(|check| check(document)).collect()
}

/// The path of a pointer, as faults name it.
fn path(pointer: &str) -> String {
    pointer.trim_start_matches('/').replace('/', ".")
}

fn list<'a>(document: &'a Value, pointer: &str) -> Option<&'a Vec<Value>> {
    document.pointer(pointer)?.as_array()
}

fn objects(document: &Value) -> Vec<Fault> {
    let fault = |path: String| Fault::at(path, "is a list, expected an object");
    let mut faults = Vec::new();
    if document.is_array() {
        faults.push(Fault::at("", "a list, expected an object"));
    }
    let lists = OBJECTS.iter().filter(|pointer| list(document, pointer).is_some());
    faults.extend(lists.map(|pointer| fault(path(pointer))));
    for pointer in LISTS_OF_OBJECTS {
        let items = list(document, pointer).into_iter().flatten().enumerate();
        let lists = items.filter(|(_, item)| item.is_array());
        faults.extend(lists.map(|(place, _)| fault(format!("{}[{place}]", path(pointer)))));
    }
    faults
}

fn lists(document: &Value) -> Vec<Fault> {
    let mut faults = Vec::new();
    for pointer in NAMES {
        let Some(names) = list(document, pointer) else { continue };
        if names.is_empty() {
            faults.push(Fault::at(path(pointer), "is empty"));
        }
        faults.extend(twice(names.iter().filter_map(Value::as_str), &path(pointer)));
    }
    for (pointer, other) in ONE_FOR_EACH {
        let Some((items, others)) = list(document, pointer).zip(list(document, other)) else { continue };
        if items.len() != others.len() {
            let problem = format!("has {} elements, `{}` has {}", items.len(), path(other), others.len());
            faults.push(Fault::at(path(pointer), problem));
        }
    }
    faults
}

/// Names that come more than once.
fn twice<'a>(names: impl Iterator<Item = &'a str>, path: &str) -> Vec<Fault> {
    let mut seen = BTreeSet::new();
    let again: BTreeSet<&str> = names.filter(|name| !seen.insert(*name)).collect();
    again.into_iter().map(|name| Fault::at(path, format!("names {name:?} twice"))).collect()
}

fn places(document: &Value) -> Vec<Fault> {
    let mut faults = Vec::new();
    for (pointer, of) in PLACES {
        let place = document.pointer(pointer).and_then(whole);
        let Some((place, items)) = place.zip(list(document, of)) else { continue };
        if place >= items.len() as u64 {
            let problem = format!("is {place}, `{}` has {} elements", path(of), items.len());
            faults.push(Fault::at(path(pointer), problem));
        }
    }
    faults
}

/// The names of the classes.
fn class_names(document: &Value) -> Option<Vec<&str>> {
    let services = list(document, "/settings/services")?;
    Some(services.iter().filter_map(|service| service.get("name")?.as_str()).collect())
}

fn classes(document: &Value) -> Vec<Fault> {
    const SERVICES: &str = "settings.services";
    let Some(names) = class_names(document) else { return Vec::new() };
    let mut faults = twice(names.iter().copied(), SERVICES);
    let services = list(document, "/settings/services").into_iter().flatten();
    if services.clone().next().is_none() {
        faults.push(Fault::at(SERVICES, "is empty"));
    }
    let streamed =
        services.enumerate().filter(|(_, service)| service.get("stream") == Some(&Value::Bool(true)));
    faults.extend(
        streamed.map(|(place, _)| {
            Fault::at(format!("{SERVICES}[{place}].stream"), "is true, which is not served")
        }),
    );
    faults
}

fn defaults(document: &Value) -> Vec<Fault> {
    let Some(names) = class_names(document) else { return Vec::new() };
    let mut faults = Vec::new();
    let default_class = document.get("default_class").and_then(Value::as_str);
    if let Some(name) = default_class.filter(|name| !names.contains(name)) {
        faults.push(Fault::at("default_class", format!("is {name:?}, which is no class")));
    }
    let defaults = document.get("defaults").and_then(Value::as_object).into_iter().flat_map(|d| d.keys());
    let unknown = defaults.filter(|name| !names.contains(&name.as_str()));
    faults.extend(unknown.map(|name| Fault::at("defaults", format!("names {name:?}, which is no class"))));
    faults
}

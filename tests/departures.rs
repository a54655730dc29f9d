//! What a start has to know of endpoints that drained or left since the list that it starts from.

use basaltloom::catalog::{Departures, Endpoint, EndpointCatalog, EndpointState, EndpointUpdate};
use EndpointState::{Active, Leaving, Left};

const BYTES_MOST: usize = 16_384;

/// As versions wrote it that kept the address of the agent beside its list.
const OLDER_FORM: &str = r#"{"agent":"127.0.0.1:8500","seq":40,"by_name":{"a":{"state":"Leaving","order":0},"b":{"state":"Left","order":1}},"next":2}"#;

fn endpoint(name: &str, state: EndpointState) -> Endpoint {
    let (name, address) = (name.to_string(), "127.0.0.1:9".parse().unwrap());
    Endpoint { id: 0, name, address, dest: 1, kind: 0, zone: 0, state, share: 1.0, terms: None }
}

/// What is kept over lists of discovery, each with its version.
fn kept(lists: &[(u64, &[(&str, EndpointState)])]) -> Departures {
    let (mut catalog, mut departures) = (EndpointCatalog::default(), Departures::default());
    for (seq, entries) in lists {
        let mut draft = catalog.begin();
        entries.iter().for_each(|(name, state)| draft.entry(&catalog, endpoint(name, *state)));
        let mut pending = draft.complete(true);
        loop {
            match pending.advance(&catalog) {
                basaltloom::catalog::Progress::Looking => {}
                basaltloom::catalog::Progress::Piece(piece) => drop(catalog.apply(0, piece)),
                basaltloom::catalog::Progress::Done => break,
            }
        }
        departures.take_in(&catalog, Some(*seq), BYTES_MOST);
    }
    let text = serde_json::to_string(&departures).unwrap();
    serde_json::from_str(&text).unwrap()
}

/// The states by which a start goes whose configuration has these endpoints as active, by a list of this version.
fn started_from(departures: &Departures, seq: u64, names: [&str; 2]) -> Vec<EndpointState> {
    let mut endpoints = names.map(|name| endpoint(name, Active));
    if departures.may_be_newer_than(seq) {
        departures.bring_up_to_date(&mut endpoints);
    }
    endpoints.iter().map(|endpoint| endpoint.state).collect()
}

/// Guards drains from the address that told them: a start that asks another agent knew nothing of them. What counts is the version
/// of discovery's list, and an endpoint that a later list makes active is.
#[test]
fn departures_hold_by_the_version_of_the_list() {
    let told = kept(&[(40, &[("a", Active), ("b", Active)]), (41, &[("a", Leaving)])]);
    assert_eq!(started_from(&told, 40, ["a", "b"]), [Leaving, Left]);
    assert_eq!(
        started_from(&told, 41, ["a", "b"]),
        [Leaving, Left],
        "a file may lack what came behind its list"
    );
    assert_eq!(started_from(&told, 42, ["a", "b"]), [Active, Active], "the file's list is newer");
    let back = kept(&[
        (40, &[("a", Active), ("b", Active)]),
        (41, &[("a", Leaving)]),
        (42, &[("a", Active), ("b", Active)]),
    ]);
    assert_eq!(started_from(&back, 41, ["a", "b"]), [Active, Active]);
}

/// Guards drains from a discovery that counts anew behind a move: what it says last is kept, and is not taken for older than the
/// file's list.
#[test]
fn departures_hold_where_discovery_counts_anew() {
    let told = kept(&[(40, &[("a", Leaving), ("b", Active)]), (2, &[("a", Active), ("b", Leaving)])]);
    assert_eq!(started_from(&told, 40, ["a", "b"]), [Active, Leaving]);
}

/// Guards departures that a version before has kept.
#[test]
fn the_older_form_is_read() {
    let told: Departures = serde_json::from_str(OLDER_FORM).unwrap();
    assert_eq!(started_from(&told, 39, ["a", "b"]), [Leaving, Left]);
}

/// Guards what another process was told while it decided: it is known to the one that takes back, and so is what that was told itself.
#[test]
fn what_another_process_has_kept_is_merged() {
    let own = kept(&[(40, &[("a", Leaving), ("b", Active)])]);
    let mut merged = own.clone();
    merged.merge(kept(&[(41, &[("a", Leaving), ("b", Leaving)])]));
    assert_eq!(started_from(&merged, 40, ["a", "b"]), [Leaving, Leaving]);
    let mut merged = own.clone();
    merged.merge(kept(&[(39, &[("a", Active), ("b", Leaving)])]));
    assert_eq!(merged, own, "the other has kept nothing since");
}

/// Guards a list at hand that is in force without discovery: it begins what is kept.
#[test]
fn a_list_that_is_known_at_the_start_is_kept() {
    let mut departures = Departures::default();
    departures.begin_with(&EndpointUpdate { seq: 7, whole: true, endpoints: vec![endpoint("a", Leaving)] });
    assert_eq!(started_from(&departures, 7, ["a", "b"]), [Leaving, Active]);
}

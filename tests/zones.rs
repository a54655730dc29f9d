//! The module across rooms: an attempt at an endpoint outside the relay's own zone costs what the site says.

mod fixture;
#[path = "stand_ins/page_form.rs"]
mod page_form;

use basaltloom::configuration::judge;
use basaltloom::*;
use fixture::settings;
use page_form::completed;

const MS: u64 = 1_000_000;
const SEC: u64 = 1_000 * MS;

/// A relay in zone 1 with the price given; destination 5 has host 0 in zone 0 and host 1 in zone 1.
fn relay(seed: u64, cross_zone: f64, near: Listing) -> Relay {
    let set = Settings { zone: 1, cross_zone, zone_fee: vec![], ..settings() };
    let entry = |host, zone, state| Entry { host, dest: 5, kind: 0, zone, state, scale: 1.0 };
    let mut relay = Relay::new(set, seed);
    relay.step(
        SEC,
        &[Event::Listed { whole: true, entries: vec![entry(0, 0, Listing::Ready), entry(1, 1, near)] }],
    );
    relay
}

/// Hosts of ten messages taken one after another, each served before the next comes.
fn hosts_used(seed: u64, cross_zone: f64, near: Listing) -> Vec<HostId> {
    let mut relay = relay(seed, cross_zone, near);
    let mut used = Vec::new();
    for id in 1..=10 {
        let now = SEC + id * 200 * MS;
        let taken = Event::Taken { id, class: 0, dest: 5, key: None, time_left: 20 * SEC };
        for action in relay.step(now, &[taken]) {
            if let Action::Send { id, host, .. } = action {
                used.push(host);
                let ended =
                    Event::Ended { id, attempt: 0, outcome: Outcome::Served, latency: 50 * MS, over: true };
                relay.step(now + 50 * MS, &[ended]);
            }
        }
    }
    used
}

#[test]
fn a_priced_crossing_keeps_messages_in_the_relays_own_zone() {
    for seed in 1..=20 {
        let used = hosts_used(seed, 0.03, Listing::Ready);
        assert_eq!(used.len(), 10, "seed {seed}: every message is sent");
        assert!(used.iter().all(|h| *h == 1), "seed {seed}: {used:?} crossed zones with a host at home");
    }
}

#[test]
fn without_a_price_both_zones_serve_as_before() {
    let crossing = (1..=20).filter(|seed| hosts_used(*seed, 0.0, Listing::Ready).contains(&0)).count();
    assert!(crossing > 0, "with no price the zone is no reason to pass a host over");
}

#[test]
fn a_price_does_not_strand_messages_when_the_own_zone_has_no_host_to_take_them() {
    for near in [Listing::Draining, Listing::Gone] {
        let used = hosts_used(3, 0.03, near);
        assert_eq!(used, vec![0; 10], "{near:?}: the host in the other zone serves all");
    }
}

#[test]
fn the_platform_configuration_gives_the_relays_zone_and_the_price_of_a_crossing() {
    let text = completed(
        r#"{"settings":{"fleet_size":3,"zone":2,"azs":["a","b","c"],"prices":{"cross_zone":0.03},
        "domain":{"calls_out":2},"services":[{"name":"reminder"}]}}"#,
    );
    let read = judge(&text, None).unwrap();
    assert_eq!((read.settings.zone, read.settings.cross_zone), (2, 0.03));
    let without = text.replace(r#""zone":2"#, r#""zome":2"#).replace(r#""cross_zone""#, r#""cross_zome""#);
    let faults = judge(&without, None).unwrap_err().to_string();
    for key in ["settings.zone", "settings.prices.cross_zone"] {
        assert!(faults.contains(&format!("`{key}` is missing")), "{faults}");
    }
}

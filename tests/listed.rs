//! The rates that the list gives: a relay keeps to its part of a partner's limit from its first call on.

mod fixture;

use basaltloom::*;
use fixture::{class, settings};

const MS: u64 = 1_000_000;
const SEC: u64 = 1_000 * MS;

/// Three relays share a partner whose one endpoint takes `rate` calls a second from all together; forty messages
/// come at once to this one and each call is served 5 ms after it goes. Calls sent in the first two seconds.
fn calls_in_two_seconds(limits: Limits, rate: f64) -> usize {
    let set = Settings {
        senders: 3,
        limits,
        max_held: 100,
        classes: vec![class(Repeat::Safe)],
        kinds: vec![Kind { apart: false, per_call: 1 }],
        zone_fee: vec![],
        ..settings()
    };
    let mut relay = Relay::new(set, 1);
    let entry = Entry { host: 0, dest: 5, kind: 0, zone: 0, state: Listing::Ready, scale: rate };
    relay.step(SEC, &[Event::Listed { whole: true, entries: vec![entry] }]);
    let taken = |id| Event::Taken { id, class: 0, dest: 5, key: None, time_left: 20 * SEC };
    let (mut now, mut calls) = (2 * SEC, 0);
    let mut events: Vec<Event> = (1..=40).map(taken).collect();
    while now < 4 * SEC {
        let out: Vec<MsgId> = relay
            .step(now, &events)
            .into_iter()
            .filter_map(|a| match a {
                Action::Send { id, .. } => Some(id),
                _ => None,
            })
            .collect();
        calls += out.len();
        now += 5 * MS;
        let served =
            |id| Event::Ended { id, attempt: 0, outcome: Outcome::Served, latency: 5 * MS, over: true };
        events = out.into_iter().map(served).chain([Event::Woken]).collect();
    }
    calls
}

#[test]
fn a_listed_limit_paces_the_relay_before_any_refusal() {
    // Our part is 6 / 3 = 2 calls a second; 1.5 times it, with half a second saved up, is 7.5 in two seconds.
    let calls = calls_in_two_seconds(Limits::Exact, 6.0);
    assert!(
        (4..=9).contains(&calls),
        "{calls} calls in two seconds to a partner that takes 2 a second from us"
    );
}

#[test]
fn without_a_listed_limit_nothing_holds_the_relay_back_until_the_partner_says_so() {
    assert_eq!(calls_in_two_seconds(Limits::Unlisted, 6.0), 40);
}

#[test]
fn a_higher_listed_limit_lets_more_go() {
    let (low, high) = (calls_in_two_seconds(Limits::Exact, 6.0), calls_in_two_seconds(Limits::Exact, 30.0));
    assert!(high >= 2 * low, "{low} calls at 6 a second for all, {high} at 30");
}

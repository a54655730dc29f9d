//! The module where a hundred and ninety thousand hosts are listed and few are used: what a change costs, and what is
//! let go of when. What they take is measured in a process of its own, by `many_hosts_memory`.

mod fixture;

use basaltloom::*;
use fixture::{class, settings};
use std::hint::black_box;
use std::time::{Duration, Instant};

const MS: u64 = 1_000_000;
const SEC: u64 = 1_000 * MS;
const MINUTE: u64 = 60 * SEC;
const FEW: u32 = 1_000;
const MANY: u32 = 190_000;
/// A step may take so many times as long with many hosts as with few: a walk over them would take 190 times as long.
const MOST_TIMES: u32 = 6;

fn entry(host: HostId, state: Listing) -> Entry {
    Entry { host, dest: u64::from(host) / 2, kind: 0, zone: 0, state, scale: 1.0 }
}

/// A relay with its clock; hosts 2n and 2n + 1 belong to destination n.
struct Bed {
    relay: Relay,
    now: u64,
}

impl Bed {
    fn new(hosts: u32) -> Bed {
        let set = Settings {
            classes: vec![class(Repeat::Safe)],
            kinds: vec![Kind { apart: true, per_call: 1 }],
            zone_fee: vec![],
            ..settings()
        };
        let mut relay = Relay::new(set, 1);
        let entries = (0..hosts).map(|host| entry(host, Listing::Ready)).collect();
        relay.step(SEC, &[Event::Listed { whole: true, entries }]);
        Bed { relay, now: SEC }
    }

    fn list(&mut self, host: HostId, state: Listing) {
        self.step(&[Event::Listed { whole: false, entries: vec![entry(host, state)] }]);
    }

    fn step(&mut self, events: &[Event]) -> Vec<(MsgId, HostId)> {
        let send = |a: Action| match a {
            Action::Send { id, host, .. } => Some((id, host)),
            _ => None,
        };
        self.relay.step(self.now, events).into_iter().filter_map(send).collect()
    }

    /// A message for destination 0, handed in now; the host to which it goes at once, if it does.
    fn take(&mut self, id: MsgId) -> Option<HostId> {
        let taken = Event::Taken { id, class: 0, dest: 0, key: None, time_left: 20 * SEC };
        self.step(&[taken]).first().map(|sent| sent.1)
    }

    fn end(&mut self, id: MsgId, outcome: Outcome) {
        self.now += 50 * MS;
        self.step(&[Event::Ended { id, attempt: 0, outcome, latency: 50 * MS, over: true }]);
    }

    /// A message for destination 0 that ends so.
    fn call(&mut self, id: MsgId, outcome: Outcome) -> HostId {
        let host = self.take(id).expect("it goes at once");
        self.end(id, outcome);
        host
    }

    /// Time passes without a message.
    fn pass(&mut self, span: u64) {
        for _ in 0..span / (4 * SEC) {
            self.now += 4 * SEC;
            self.step(&[Event::Woken]);
            self.relay.endpoint_outages();
        }
    }

    fn standing(&self, host: HostId) -> decision::views::HostView {
        self.relay.standing(host).expect("a host that is listed")
    }
}

/// The least time that a step takes which `change` makes up by its turn, of many.
fn least(bed: &mut Bed, turns: u32, mut change: impl FnMut(&mut Bed, u32)) -> Duration {
    let one = |turn| {
        let before = Instant::now();
        change(black_box(bed), turn);
        before.elapsed()
    };
    (0..turns).map(one).min().expect("some turns")
}

/// Guards the cost of a step: by what it changes, not by what is listed. The least of many times is compared, since a
/// busy machine makes single ones longer, never shorter.
#[test]
fn a_step_costs_by_what_it_changes() {
    let (mut few, mut many) = (Bed::new(FEW), Bed::new(MANY));
    let mut compare = |what: &str, change: &dyn Fn(&mut Bed, u32)| {
        let (least_few, least_many) = (least(&mut few, 300, change), least(&mut many, 300, change));
        println!("{what}: {least_few:?} with {FEW} listed, {least_many:?} with {MANY}");
        assert!(least_many < least_few.max(Duration::from_micros(1)) * MOST_TIMES, "{what}");
    };
    compare("an entry that repeats what is known", &|bed, _| bed.list(7, Listing::Ready));
    compare("an entry that changes", &|bed, turn| {
        bed.list(7, if turn % 2 == 0 { Listing::Draining } else { Listing::Ready });
    });
    compare("an interval", &|bed, _| bed.pass(4 * SEC));
    compare("an interval in which a host leaves", &|bed, turn| {
        bed.list(100 + turn, Listing::Gone);
        bed.pass(4 * SEC);
    });
    compare("a call and an interval", &|bed, turn| {
        bed.call(u64::from(turn), Outcome::Served);
        bed.pass(4 * SEC);
        bed.relay.endpoint_outages();
    });
}

/// Guards memory over a long life: what calls have shown of a host is kept while it may matter, and no longer.
#[test]
fn what_was_learned_of_a_host_goes_when_it_is_idle_for_long() {
    let mut bed = Bed::new(2);
    let host = bed.call(1, Outcome::Served);
    bed.pass(10 * MINUTE);
    assert!(bed.standing(host).served > 0, "it may well be used again");
    bed.pass(10 * MINUTE);
    assert_eq!(bed.standing(host).served, 0);
    assert!(bed.relay.knows(host) && bed.take(2).is_some(), "it is listed as before");
}

/// Guards the rule that no wait a host asks for is broken, and one of a host never called.
#[test]
fn a_wait_is_kept_however_long_its_host_is_idle() {
    let mut bed = Bed::new(2);
    let host = bed.call(1, Outcome::Full { wait: 60 * MINUTE });
    let other = 1 - host;
    let until = bed.now + 60 * MINUTE;
    bed.step(&[Event::Waits { host: other, wait: 40 * MINUTE }]);
    bed.pass(38 * MINUTE);
    assert!(bed.take(2).is_none(), "both wait");
    bed.pass(4 * MINUTE);
    assert_eq!(bed.call(3, Outcome::Served), other);
    bed.pass(16 * MINUTE);
    assert!(!bed.relay.still_open(host, bed.now) && bed.standing(host).wait >= until);
    assert_eq!(bed.take(4), Some(other));
}

/// Guards the return of a host that was in an outage when the last message came for it: it is tried, not flooded.
#[test]
fn an_outage_is_kept_however_long_its_host_is_idle() {
    let mut bed = Bed::new(1);
    bed.call(1, Outcome::NoConnection);
    assert!(bed.standing(0).down);
    bed.pass(60 * MINUTE);
    assert!(bed.standing(0).down);
    let messages = (2..8).map(|id| Event::Taken { id, class: 0, dest: 0, key: None, time_left: 20 * SEC });
    let sent = bed.step(&messages.collect::<Vec<_>>());
    assert!(sent.len() <= 1, "{sent:?} to a host that is taken for down");
}

/// Guards limits: reported, dealt out, or shown by refusals, they hold for the next burst however long after.
#[test]
fn a_limit_is_kept_however_long_its_host_is_idle() {
    let burst = |learn: &dyn Fn(&mut Bed)| {
        let mut bed = Bed::new(1);
        bed.call(80, Outcome::Served);
        learn(&mut bed);
        bed.pass(60 * MINUTE);
        let messages =
            (90..96).map(|id| Event::Taken { id, class: 0, dest: 0, key: None, time_left: 20 * SEC });
        (bed.step(&messages.collect::<Vec<_>>()).len(), bed.standing(0).limit)
    };
    assert_eq!(burst(&|_| {}), (6, 0.0));
    let refused = |bed: &mut Bed| {
        bed.call(1, Outcome::Served);
        bed.call(2, Outcome::Full { wait: 0 });
        // Its rest over, it is sound again, and paced.
        let mut gone = bed.take(3).is_some();
        while !gone {
            bed.now += 100 * MS;
            gone = !bed.step(&[Event::Woken]).is_empty();
        }
        bed.end(3, Outcome::Served);
        assert_eq!(bed.relay.endpoint_outages(), [(0, false)]);
    };
    assert_eq!(burst(&refused).0, 1, "its pace has shown itself");
    assert_eq!(burst(&|bed| drop(bed.step(&[Event::Dealt { host: 0, rate: Some(1.0) }]))).0, 1);
    let reported =
        |bed: &mut Bed| drop(bed.step(&[Event::Reported { host: 0, limit: 2.0, left: Some(0.1) }]));
    assert_eq!(burst(&reported), (1, 2.0));
}

/// Guards a call that takes longer than anything is remembered: its outcome still counts for its host.
#[test]
fn a_host_with_a_call_out_is_not_forgotten() {
    let mut bed = Bed::new(1);
    assert_eq!(bed.take(1), Some(0));
    bed.pass(30 * MINUTE);
    bed.end(1, Outcome::NoConnection);
    assert!(bed.standing(0).down);
    // One that has served since counts as sound, and the call as out.
    let mut bed = Bed::new(1);
    assert_eq!(bed.take(1), Some(0));
    bed.call(2, Outcome::Served);
    bed.step(&[Event::Terms { host: 0, terms: Terms { most_out: 1, ..Terms::default() } }]);
    bed.pass(30 * MINUTE);
    assert!(!bed.standing(0).down && bed.take(3).is_none(), "it has as many calls out as it may");
}

/// Guards a host that leaves the list for a moment: it comes back as it was, by an update and by a whole list.
#[test]
fn a_host_that_leaves_and_returns_within_its_time_keeps_what_was_known() {
    let whole = |bed: &mut Bed, hosts: std::ops::Range<HostId>| {
        let state = |host| if host == 1 { Listing::Draining } else { Listing::Ready };
        let entries = hosts.map(|host| entry(host, state(host))).collect();
        drop(bed.step(&[Event::Listed { whole: true, entries }]));
    };
    let leave: [&dyn Fn(&mut Bed); 2] = [&|bed| bed.list(0, Listing::Gone), &|bed| whole(bed, 2..4)];
    let come_back: [&dyn Fn(&mut Bed); 2] = [&|bed| bed.list(0, Listing::Ready), &|bed| whole(bed, 0..4)];
    for (leave, come_back) in leave.into_iter().zip(come_back) {
        let mut bed = Bed::new(4);
        bed.list(1, Listing::Draining);
        bed.call(1, Outcome::Served);
        let served = bed.standing(0).served;
        bed.pass(4 * SEC);
        leave(&mut bed);
        assert!(bed.take(2).is_none(), "no host of its destination is there");
        bed.pass(24 * SEC);
        come_back(&mut bed);
        assert_eq!(bed.standing(0).served, served);
        // Its time begins again with its next departure: what was due at the first does not count.
        bed.call(3, Outcome::Served);
        leave(&mut bed);
        bed.pass(24 * SEC);
        assert!(bed.relay.knows(0));
        bed.pass(12 * SEC);
        assert!(!bed.relay.knows(0), "it left for good");
    }
}

/// Guards calls out to a host that has left: it is forgotten only some time after the last of them has ended.
#[test]
fn a_host_that_left_is_known_while_a_call_to_it_is_out() {
    let mut bed = Bed::new(1);
    assert_eq!(bed.take(1), Some(0));
    bed.list(0, Listing::Gone);
    bed.pass(5 * MINUTE);
    bed.list(0, Listing::Ready);
    bed.pass(MINUTE);
    bed.list(0, Listing::Gone);
    bed.pass(MINUTE);
    assert!(bed.relay.knows(0), "a call is out");
    bed.end(1, Outcome::Served);
    bed.pass(24 * SEC);
    assert!(bed.relay.knows(0) && bed.standing(0).served > 0, "it may come back");
    bed.pass(12 * SEC);
    assert!(!bed.relay.knows(0));
}

/// Guards the record of sick hosts that outlives the relay: a sound host that is called is no reason to write.
#[test]
fn only_a_host_of_which_the_health_may_have_changed_is_named() {
    let mut bed = Bed::new(1);
    bed.call(1, Outcome::Served);
    bed.call(2, Outcome::Error);
    assert_eq!(bed.relay.endpoint_outages(), []);
    bed.call(3, Outcome::NoConnection);
    assert_eq!(bed.relay.endpoint_outages(), [(0, true)]);
    bed.list(0, Listing::Ready);
    assert_eq!(bed.relay.endpoint_outages(), [], "the list repeats what is known");
    // A route of its own that has left may come back to the list, and it is cold then.
    bed.list(0, Listing::Gone);
    assert_eq!(bed.relay.endpoint_outages(), [(0, true)]);
}

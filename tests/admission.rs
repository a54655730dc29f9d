//! The admission module alone, free of I/O: what holds whatever comes.

mod seed;

use basaltloom::admission::messages::MessageShares;
use basaltloom::admission::{Admission, Caps, Deed, LegNo, Rate, Settings, Terms, Verdict, Why};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::net::{IpAddr, Ipv4Addr};

const MS: u64 = 1_000_000;
const SECOND: u64 = 1_000 * MS;

fn address(n: u8) -> IpAddr {
    IpAddr::V4(Ipv4Addr::new(10, n / 4, 0, n % 4 + 1))
}

fn settings(cap: Option<u32>) -> Settings {
    let mut settings = Settings { records: 5, reserve: 3, earns: 3.0, ..Settings::plain(12, 10) };
    settings.rest.address = Caps { legs: cap, rate: None };
    let known = Terms { known: true, ..Terms::default() };
    let together = Caps { legs: Some(4), rate: Some(Rate { each_second: 100.0, burst: 20.0 }) };
    let capped = Terms { together, address: settings.rest.address, ..Terms::default() };
    settings.networks =
        vec![("10.1.0.0/16".parse().unwrap(), known), ("10.2.0.0/16".parse().unwrap(), capped)];
    settings
}

#[derive(Clone, Debug)]
enum Step {
    Arrive(u8),
    Ask(usize),
    Answer(usize, Deed),
    Linger(usize),
    Vouch(usize),
    Go(usize),
    Wait(u64),
    GiveUp,
    Reload(Option<u32>),
}

fn step() -> impl Strategy<Value = Step> {
    let deed = prop_oneof![Just(Deed::Good), Just(Deed::Neutral), Just(Deed::Junk)];
    prop_oneof![
        8 => (0u8..14).prop_map(Step::Arrive),
        4 => any::<usize>().prop_map(Step::Ask),
        4 => (any::<usize>(), deed).prop_map(|(n, d)| Step::Answer(n, d)),
        1 => any::<usize>().prop_map(Step::Linger),
        1 => any::<usize>().prop_map(Step::Vouch),
        2 => any::<usize>().prop_map(Step::Go),
        2 => (0u64..20_000).prop_map(Step::Wait),
        1 => Just(Step::GiveUp),
        1 => prop::option::of(1u32..4).prop_map(Step::Reload),
    ]
}

/// A leg as the outside sees it.
#[derive(Clone, Debug)]
struct Seen {
    from: IpAddr,
    busy: bool,
    told: bool,
    known: bool,
}

struct World {
    a: Admission,
    now: u64,
    legs: BTreeMap<LegNo, Seen>,
}

impl World {
    fn nth(&self, n: usize) -> Option<LegNo> {
        self.legs.keys().nth(n % self.legs.len().max(1)).copied()
    }

    fn close(&mut self, leg: LegNo) {
        let seen = self.legs.get_mut(&leg).expect("only legs that are there are closed");
        assert!(!seen.busy, "a leg with a request is never closed");
        assert!(!seen.told, "a leg is told once");
        seen.told = true;
    }

    fn count(&self, which: impl Fn(&Seen) -> bool) -> usize {
        self.legs.values().filter(|s| !s.told && which(s)).count()
    }

    fn step(&mut self, step: &Step, cap: &mut Option<u32>) {
        match step {
            Step::Arrive(n) => {
                let from = address(*n);
                let (leg, closed) = match self.a.arrive(self.now, from, true) {
                    Verdict::Admit(leg) => (leg, None),
                    Verdict::AdmitAndClose(leg, other) => (leg, Some(other)),
                    Verdict::Refuse(_) | Verdict::Wait => return,
                };
                if let Some(other) = closed {
                    self.close(other);
                }
                let known = self.a.is_known(leg);
                let seen = Seen { from, busy: false, told: false, known };
                assert!(self.legs.insert(leg, seen).is_none(), "numbers are never given again");
                assert!(self.count(|_| true) <= 12, "no more than the room");
                if !known {
                    assert!(self.count(|s| !s.known) <= 9, "the reserve is used by known clients alone");
                }
                let capped = if from.to_string().starts_with("10.1.") { None } else { *cap };
                if let Some(most) = capped {
                    assert!(self.count(|s| s.from == from) <= most as usize, "no address over its cap");
                }
                if from.to_string().starts_with("10.2.") {
                    let there = self.count(|s| s.from.to_string().starts_with("10.2."));
                    assert!(there <= 4, "no network over its cap");
                }
            }
            Step::Ask(n) => {
                if let Some(leg) = self.nth(*n) {
                    self.a.asked(self.now, leg);
                    self.legs.get_mut(&leg).unwrap().busy = true;
                }
            }
            Step::Answer(n, deed) => {
                if let Some(leg) = self.nth(*n).filter(|leg| self.legs[leg].busy) {
                    let over = self.a.answered(self.now, leg, *deed);
                    let seen = self.legs.get_mut(&leg).unwrap();
                    seen.busy = false;
                    assert!(!(over && seen.told));
                    seen.told |= over;
                }
            }
            Step::Linger(n) => {
                if let Some(leg) = self.nth(*n) {
                    self.a.lingers(self.now, leg);
                    self.legs.get_mut(&leg).unwrap().busy = false;
                }
            }
            Step::Vouch(n) => {
                if let Some(leg) = self.nth(*n) {
                    self.a.vouch(self.now, leg);
                }
            }
            Step::Go(n) => {
                if let Some(leg) = self.nth(*n) {
                    self.a.gone(self.now, leg);
                    self.legs.remove(&leg);
                }
            }
            Step::Wait(ms) => self.now += ms * MS,
            Step::GiveUp => {
                if let Some(leg) = self.a.give_one_up(self.now) {
                    self.close(leg);
                }
            }
            Step::Reload(new) => {
                *cap = *new;
                for leg in self.a.reload(self.now, settings(*new)) {
                    self.close(leg);
                }
                if let Some(most) = *new {
                    let rest = |s: &Seen| s.from.to_string().starts_with("10.0.") && !s.busy;
                    for n in 0..4 {
                        let busy = self.count(|s| s.from == address(n) && s.busy);
                        let idle = self.count(|s| s.from == address(n) && rest(s));
                        let vouched = self.a.open() >= idle;
                        assert!(idle == 0 || idle + busy <= most as usize || !vouched);
                    }
                }
            }
        }
        for (leg, seen) in &mut self.legs {
            seen.known = self.a.is_known(*leg);
        }
        assert_eq!(self.a.open(), self.count(|_| true));
        assert_eq!(self.a.known(), self.count(|s| s.known));
        assert_eq!(self.a.closing(), self.legs.values().filter(|s| s.told).count());
        assert!(self.a.remembered() <= 5, "records are bounded");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None, rng_seed: seed::seed(), ..ProptestConfig::default() })]

    /// Guards what admission owes whatever comes: no leg with a request is closed, none twice; the room, the reserve
    /// and the caps hold at each admission; its counts are those of the outside; records are bounded; nothing is
    /// left when all legs have gone.
    #[test]
    fn whatever_comes_the_bounds_hold(steps in prop::collection::vec(step(), 1..250)) {
        let mut world = World { a: Admission::new(settings(Some(3))), now: 0, legs: BTreeMap::new() };
        let mut cap = Some(3);
        for step in &steps {
            world.step(step, &mut cap);
        }
        for leg in world.legs.keys() {
            world.a.gone(world.now, *leg);
        }
        prop_assert_eq!((world.a.open(), world.a.known(), world.a.closing()), (0, 0, 0));
    }
}

/// A message on a leg, asked and answered.
fn message(a: &mut Admission, now: u64, leg: LegNo, deed: Deed) {
    a.asked(now, leg);
    a.answered(now, leg, deed);
}

fn admit(a: &mut Admission, now: u64, from: IpAddr) -> LegNo {
    match a.arrive(now, from, true) {
        Verdict::Admit(leg) | Verdict::AdmitAndClose(leg, _) => leg,
        other => panic!("{other:?}"),
    }
}

/// Guards fairness when all room is in use: nobody gives way to one who would then hold more, and an address that
/// holds most gives way to one that holds less.
#[test]
fn who_holds_most_gives_way_and_not_to_who_would_hold_more() {
    let mut a = Admission::new(Settings { reserve: 0, ..Settings::plain(6, 6) });
    let many: Vec<LegNo> = (0..4).map(|_| admit(&mut a, 0, address(0))).collect();
    let two: Vec<LegNo> = (0..2).map(|_| admit(&mut a, 0, address(1))).collect();
    // All legs of the greatest holder are busy: the other, that holds less than it would, does not pay for it.
    many.iter().for_each(|leg| a.asked(1, *leg));
    assert_eq!(a.arrive(2, address(0), true), Verdict::Refuse(Why::Room));
    for leg in &many {
        assert!(!a.answered(3, *leg, Deed::Neutral));
    }
    message(&mut a, 4, two[0], Deed::Good);
    let Verdict::AdmitAndClose(_, closed) = a.arrive(5, address(2), true) else { panic!("no room was made") };
    assert_eq!(closed, many[0], "the one of the greatest holder that waited longest");
}

/// Guards standing: it is earned by good messages, uses the reserve, fades, and covers no flood from the same
/// address.
#[test]
fn standing_is_earned_covers_a_few_legs_and_fades() {
    let mut a = Admission::new(Settings { reserve: 4, earns: 3.0, fade: SECOND, ..Settings::plain(8, 8) });
    let kept = admit(&mut a, 0, address(0));
    assert!(!a.is_known(kept));
    (0..4).for_each(|_| message(&mut a, 0, kept, Deed::Good));
    assert!(a.is_known(kept));
    // All that is not reserved is held by others, busy ones.
    for _ in 0..4 {
        let leg = admit(&mut a, 0, address(1));
        a.asked(0, leg);
    }
    assert_eq!(a.arrive(0, address(2), true), Verdict::Refuse(Why::Room));
    let known = admit(&mut a, 0, address(0));
    assert!(a.is_known(known));
    a.gone(0, known);
    a.gone(0, kept);
    assert_eq!(
        a.arrive(10 * SECOND, address(0), true),
        Verdict::Refuse(Why::Room),
        "what was earned has faded"
    );

    let mut a = Admission::new(Settings { earns: 3.0, ..Settings::plain(100, 100) });
    let kept = admit(&mut a, 0, address(0));
    (0..4).for_each(|_| message(&mut a, 0, kept, Deed::Good));
    let flood: Vec<LegNo> = (0..20).map(|_| admit(&mut a, 0, address(0))).collect();
    let known = flood.iter().filter(|leg| a.is_known(**leg)).count();
    assert_eq!(known, 8, "legs that earned nothing are known only up to a few");
}

/// Guards those who behave against an address whose legs brought only junk: with equal legs it counts as holding
/// more and gives way first, until its penalty has faded.
#[test]
fn junk_is_paid_for_until_it_fades() {
    for (later, pays) in [(0, true), (100 * SECOND, false)] {
        let mut a = Admission::new(Settings { reserve: 0, ..Settings::plain(4, 4) });
        for _ in 0..6 {
            let leg = admit(&mut a, 0, address(0));
            message(&mut a, 0, leg, Deed::Junk);
            a.gone(0, leg);
        }
        let good: Vec<LegNo> = (0..2).map(|_| admit(&mut a, later, address(1))).collect();
        let junk: Vec<LegNo> = (0..2).map(|_| admit(&mut a, later + 1, address(0))).collect();
        let Verdict::AdmitAndClose(_, closed) = a.arrive(later + 2, address(2), true) else {
            panic!("no room was made")
        };
        assert_eq!(closed, if pays { junk[0] } else { good[0] });
    }
}

/// Guards the counting of IPv6, where a host has a /64 of its own, and of IPv4 in its clothes; a network named
/// within a /64 is told apart from it.
#[test]
fn ipv6_counts_by_its_64_and_ipv4_in_its_clothes_as_ipv4() {
    let mut settings = Settings::plain(100, 100);
    settings.rest.address.legs = Some(1);
    let known = Terms { known: true, ..Terms::default() };
    settings.networks = vec![("2001:db8:0:1::7/128".parse().unwrap(), known)];
    let mut a = Admission::new(settings);
    let mut from = |text: &str| a.arrive(0, text.parse().unwrap(), true);
    assert!(matches!(from("2001:db8:0:1::1"), Verdict::Admit(_)));
    assert!(matches!(from("2001:db8:0:1::2"), Verdict::AdmitAndClose(..)), "the same /64");
    assert!(matches!(from("2001:db8:0:2::1"), Verdict::Admit(_)));
    assert!(matches!(from("2001:db8:0:1::7"), Verdict::Admit(_)), "a network of its own");
    assert!(matches!(from("10.0.0.1"), Verdict::Admit(_)));
    assert!(matches!(from("::ffff:10.0.0.1"), Verdict::AdmitAndClose(..)));
}

/// Guards prefixes: a cap on each /24 holds over its addresses together and leaves the next /24 alone.
#[test]
fn a_prefix_is_capped_over_its_addresses() {
    let mut settings = Settings { reserve: 0, ..Settings::plain(100, 100) };
    settings.rest.prefix = Some((24, 56));
    let rate = Some(Rate { each_second: 1.0, burst: 5.0 });
    settings.rest.prefix_caps = Caps { legs: Some(2), rate };
    let mut a = Admission::new(settings);
    let from = |a: &mut Admission, x: u8, n: u8| a.arrive(0, IpAddr::V4(Ipv4Addr::new(10, 0, x, n)), true);
    let legs: Vec<LegNo> =
        (1..=2).map(|n| admit(&mut a, 0, IpAddr::V4(Ipv4Addr::new(10, 0, 0, n)))).collect();
    legs.iter().for_each(|leg| a.asked(0, *leg));
    assert_eq!(from(&mut a, 0, 3), Verdict::Refuse(Why::PrefixLegs));
    assert!(matches!(from(&mut a, 1, 3), Verdict::Admit(_)));
    legs.iter().for_each(|leg| a.gone(0, *leg));
    // The prefix's rate outlasts its legs.
    (4..7).for_each(|n| assert!(!matches!(from(&mut a, 0, n), Verdict::Refuse(Why::PrefixRate))));
    assert_eq!(from(&mut a, 0, 9), Verdict::Refuse(Why::PrefixRate));
}

/// Guards memory: a million addresses leave no more records than were set, and what they take is stated in
/// docs/operators/admission.md.
#[test]
fn a_million_addresses_leave_a_bounded_number_of_records() {
    let mut a = Admission::new(Settings::plain(100, 100));
    for n in 0..1_000_000u32 {
        let from = IpAddr::V4(Ipv4Addr::from(0x0a00_0000 + n));
        if let Verdict::Admit(leg) | Verdict::AdmitAndClose(leg, _) = a.arrive(u64::from(n), from, true) {
            a.gone(u64::from(n), leg);
        }
    }
    assert_eq!(a.remembered(), 16_384);
}

/// Guards the leg of a client that asks little from an address that holds many: that became known by its good messages, all its
/// legs had a request, and the one leg that waited was closed for each newcomer of its.
#[test]
fn a_leg_that_waits_does_not_give_way_to_an_address_that_holds_more() {
    let mut a = Admission::new(Settings { reserve: 4, earns: 3.0, ..Settings::plain(40, 10) });
    let (modest, crowd) = (address(0), address(1));
    let enter = |a: &mut Admission, from| match a.arrive(0, from, true) {
        Verdict::Admit(leg) => leg,
        other => panic!("{other:?}"),
    };
    let serve = |a: &mut Admission, leg| {
        a.asked(0, leg);
        a.answered(0, leg, Deed::Good);
    };
    let kept = enter(&mut a, modest);
    (0..5).for_each(|_| serve(&mut a, kept));
    for _ in 0..20 {
        let leg = enter(&mut a, crowd);
        serve(&mut a, leg);
        a.asked(0, leg);
    }
    for _ in 0..10 {
        let leg = enter(&mut a, crowd);
        a.asked(0, leg);
    }
    // Its own next one may still have it closed: nobody there holds more.
    assert!(matches!(a.arrive(0, modest, true), Verdict::AdmitAndClose(_, closed) if closed == kept));
}

/// Guards the room for messages from a client that hands in without end: one alone may have all of it, and leaves a part as soon
/// as another is active.
#[test]
fn a_client_that_fills_the_room_for_messages_leaves_a_part_to_others() {
    let (mut shares, mut held, mut next) = (MessageShares::default(), BTreeMap::new(), 0);
    let part = 0.001;
    let mut hand_in = |shares: &mut MessageShares, held: &mut BTreeMap<IpAddr, u32>, now, from, times| {
        for _ in 0..times {
            let free = 1.0 - part * f64::from(held.values().sum::<u32>());
            if free >= part && shares.admits(now, from, part, free) {
                shares.taken(next, from, part);
                (next, *held.entry(from).or_default()) = (next + 1, held.get(&from).unwrap_or(&0) + 1);
            }
        }
    };
    let (greedy, modest, other) = (address(0), address(1), address(2));
    hand_in(&mut shares, &mut held, 0, greedy, 900);
    assert_eq!(held[&greedy], 900, "alone it may have what there is");
    hand_in(&mut shares, &mut held, SECOND, modest, 1);
    hand_in(&mut shares, &mut held, SECOND, greedy, 500);
    assert_eq!((held[&modest], held[&greedy]), (1, 900), "beside another it gets no more");
    // Half of what it holds is over: it may fill up to four fifths of the room again.
    (0..450).for_each(|no| shares.over(no));
    held.insert(greedy, 450);
    hand_in(&mut shares, &mut held, SECOND, greedy, 1_000);
    assert!((790..=800).contains(&held[&greedy]), "{held:?}");
    hand_in(&mut shares, &mut held, SECOND, modest, 100);
    hand_in(&mut shares, &mut held, SECOND, other, 40);
    assert_eq!((held[&modest], held[&other]), (101, 40), "{held:?}");
    // The others are gone for long.
    hand_in(&mut shares, &mut held, 30 * SECOND, greedy, 1_000);
    assert_eq!(held.values().sum::<u32>(), 1_000);
}

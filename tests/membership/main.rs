//! Membership in virtual time: a fleet of relays, faults between them, and what each then holds of the others.
//! `tests/processes/` does the same with real processes.

mod world;

use basaltloom::membership::wire::{self, Claim, Datagram, Kind, Refused, Said, Sender};
use basaltloom::membership::{Guards, Life, News, Stale, State, Terms};
use proptest::prelude::*;
use std::collections::BTreeSet;
use world::{address, name, Network, World, MS, SEC};

#[path = "../seed/mod.rs"]
mod seed;

fn all(n: usize) -> BTreeSet<usize> {
    (0..n).collect()
}

fn without(n: usize, gone: &[usize]) -> BTreeSet<usize> {
    (0..n).filter(|i| !gone.contains(i)).collect()
}

fn lossy(loss: f64) -> Network {
    Network { loss, repeat: 0.05, jitter: 200 * MS, ..Network::default() }
}

/// Guards the main aim: a death is known to all within 5 s, and nobody else is taken for dead, at any size.
#[test]
fn a_death_is_known_to_all_within_five_seconds() {
    for (n, seeds) in [(3, 10), (8, 20), (16, 30), (300, 1)] {
        for seed in 0..seeds {
            let mut w = World::settled(n, seed, Terms::default());
            let dead = w.below(n);
            let (from, rest) = (w.time(), without(n, &[dead]));
            w.kill(dead);
            w.run(8 * SEC);
            let told = w.told_faulty(dead, from, &rest);
            assert_eq!(told.len(), n - 1, "of {n}, seed {seed}");
            assert!(told[n - 2] <= 5 * SEC, "of {n}, seed {seed}: {} ms", told[n - 2] / MS);
            assert_eq!(w.faults(), n - 1, "of {n}, seed {seed}");
            assert!(w.agree(&rest));
        }
    }
}

/// Guards a goodbye: known to all at once, and no fault.
#[test]
fn one_that_says_goodbye_has_left_at_once() {
    let mut w = World::settled(16, 1, Terms::default());
    w.end(4);
    w.run(SEC);
    w.kill(4);
    assert!(w.agree(&without(16, &[4])));
    w.run(10 * SEC);
    assert_eq!((w.faults(), w.state(9, 4)), (0, Some(State::Left)));
    // Its next life is there again.
    w.start(4, true);
    assert!(w.until_agreed(&all(16), 3 * SEC).is_some());
}

/// Guards pauses: for up to 3 s nobody is taken for dead, be it one or half of the fleet that stood still; after 10 s
/// those that did are, and are there again soon.
#[test]
fn pauses_of_three_seconds_take_nobody_out() {
    for seed in 0..10 {
        for (span, some) in [(SEC, 1), (3 * SEC, 1), (SEC, 8), (3 * SEC, 8)] {
            let mut w = World::settled(16, seed, Terms::default());
            (0..some).for_each(|i| w.stop(i, span));
            w.run(span + 6 * SEC);
            assert_eq!(w.faults(), 0, "{some} for {} ms, seed {seed}", span / MS);
            assert!(w.agree(&all(16)), "{some} for {} ms, seed {seed}: {:?}", span / MS, w.parts());
        }
        let mut w = World::settled(16, seed, Terms::default());
        w.stop(3, 10 * SEC);
        w.run(8 * SEC);
        assert!((0..16).filter(|i| *i != 3).all(|i| w.state(i, 3) == Some(State::Faulty)), "seed {seed}");
        w.run(2 * SEC);
        let back = w.until_agreed(&all(16), 5 * SEC);
        assert!(back.is_some_and(|t| t <= 3 * SEC), "seed {seed}: {back:?}, {:?}", w.parts());
        // What it missed it holds against nobody.
        let accused = w.said.iter().filter(|(_, i, n)| *i == 3 && matches!(n, News::Faulty { .. })).count();
        assert_eq!(accused, 0);
    }
}

/// Guards a relay that stood still from acting on what it holds: it says so until it has asked the others, and without
/// that it would act on a view that is 10 s old.
#[test]
fn a_view_is_stale_after_a_pause_until_others_were_asked() {
    let mut w = World::settled(16, 5, Terms::default());
    w.stop(3, 3 * SEC);
    w.run(3 * SEC + 20 * MS);
    let stale = |w: &World, on: Option<Stale>| {
        w.said.iter().find(|(_, i, n)| *i == 3 && *n == News::Stale(on)).map(|(at, ..)| *at)
    };
    let (from, until) = (stale(&w, Some(Stale::Paused)), stale(&w, None));
    assert!(from.is_some_and(|from| until.is_none_or(|until| until > from)));
    let paused =
        w.said.iter().any(|(_, i, n)| *i == 3 && matches!(n, News::Paused { lag } if *lag > 2 * SEC));
    assert!(paused);
    w.run(SEC);
    assert!(stale(&w, None).is_some() && w.stale(3).is_none());
}

/// Wrongly faulty relay-seconds of the healthy two thirds while a third starves at 20 % for a minute.
fn starved(n: usize, seed: u64, period: u64, clogged: bool, guards: Guards) -> f64 {
    let mut w = World::settled(n, seed, Terms { guards, ..Terms::default() });
    let (hungry, healthy) = (0..n / 3, (n / 3..n).collect::<BTreeSet<usize>>());
    let hunger = if clogged { World::clog } else { World::starve };
    hungry.clone().for_each(|i| hunger(&mut w, i, period, period / 5));
    w.run(60 * SEC);
    hungry.for_each(|i| hunger(&mut w, i, SEC, SEC));
    w.run(10 * SEC);
    let end = w.until_agreed(&all(n), 5 * SEC);
    assert!(end.is_some() || guards != Guards::default(), "seed {seed}: {:?}", w.parts());
    w.wrongly_faulty(&all(n), &healthy).0
}

/// Guards the healthy from the starved: at least fifty times fewer relay-seconds wrongly faulty than with plain SWIM.
#[test]
fn the_starved_do_not_take_the_healthy_out() {
    let (mut ours, mut plain) = (0.0, 0.0);
    for (period, clogged) in [(2, false), (10, false), (5, true), (10, true)] {
        let play = |guards| starved(16, period, period * SEC, clogged, guards);
        ours += play(Guards::default());
        plain += play(Guards::plain());
    }
    assert!(plain > 50.0 && ours * 50.0 <= plain, "{ours} relay-seconds, {plain} with plain SWIM");
}

/// Guards against a bad network: with up to 30 % lost, repeats and 200 ms of jitter nobody is taken for dead but the
/// dead, and the dead within 10 s.
#[test]
fn loss_takes_nobody_out_and_hides_no_death() {
    for loss in [0.1, 0.3] {
        for seed in 0..6 {
            let mut w = World::settled(16, seed, Terms::default());
            w.network = lossy(loss);
            w.run(60 * SEC);
            assert_eq!(w.faults(), 0, "{loss} lost, seed {seed}");
            let from = w.time();
            w.kill(5);
            w.run(15 * SEC);
            let told = w.told_faulty(5, from, &without(16, &[5]));
            assert_eq!((told.len(), w.faults()), (15, 15), "{loss} lost, seed {seed}");
            assert!(told[14] <= 10 * SEC, "{loss} lost, seed {seed}: {} ms", told[14] / MS);
            w.network = Network::default();
            assert!(w.until_agreed(&without(16, &[5]), 3 * SEC).is_some(), "{:?}", w.parts());
        }
    }
}

/// Guards against a link: cut in one direction or both, for good or each other second, it changes no view.
#[test]
fn one_link_changes_no_view() {
    for seed in 0..6 {
        let cuts: [fn(u64, usize, usize) -> bool; 4] = [
            |_, from, to| (from, to) == (2, 7),
            |_, from, to| (from, to) == (7, 2),
            |_, from, to| from.min(to) == 2 && from.max(to) == 7,
            |at, from, to| from.min(to) == 2 && from.max(to) == 7 && (at / SEC).is_multiple_of(2),
        ];
        for (i, cut) in cuts.into_iter().enumerate() {
            let mut w = World::settled(16, seed, Terms::default());
            w.network.cut = Box::new(cut);
            w.run(30 * SEC);
            assert_eq!(w.faults(), 0, "cut {i}, seed {seed}");
            assert!(w.agree(&all(16)), "cut {i}, seed {seed}: {:?}", w.parts());
        }
    }
}

/// Guards against one relay's own trouble: one that hears nobody, and one that nobody hears, is out everywhere, knows
/// that its view is not to be acted on, and takes nobody out. It is back soon after.
#[test]
fn a_deaf_or_mute_relay_is_out_and_accuses_nobody() {
    for seed in 0..6 {
        for deaf in [true, false] {
            let mut w = World::settled(16, seed, Terms::default());
            w.network.cut = Box::new(move |_, from, to| if deaf { to == 6 } else { from == 6 });
            w.run(12 * SEC);
            let rest = without(16, &[6]);
            for i in &rest {
                assert_eq!(w.state(*i, 6), Some(State::Faulty), "deaf {deaf}, seed {seed}");
            }
            assert_eq!(w.wrongly_faulty(&all(16), &rest).1, 0, "deaf {deaf}, seed {seed}");
            assert_eq!(w.stale(6), Some(Stale::Alone), "deaf {deaf}, seed {seed}");
            assert!(w.agree(&rest));
            w.network = Network::default();
            let back = w.until_agreed(&all(16), 6 * SEC);
            assert!(back.is_some_and(|t| t <= 3 * SEC), "deaf {deaf}, seed {seed}: {back:?} {:?}", w.parts());
        }
    }
}

/// Guards partitions: each side goes on with those on it, knows how many were there, and after healing, even hours
/// later and with all addresses to join by on the other side, all agree within 3 s, and no side loses one of its own.
#[test]
fn a_partition_heals_without_a_flap() {
    for seed in 0..5 {
        for (parts, span) in [(2, 15 * SEC), (3, 15 * SEC), (2, 2 * 3_600 * SEC)] {
            if span > SEC * 60 && seed > 0 {
                continue;
            }
            let n = if span > SEC * 60 { 6 } else { 15 };
            let mut w = World::settled(n, seed, Terms::default());
            // The addresses to join by are relays 0 to 2.
            let side = move |i: usize| if parts == 2 { usize::from(i >= 3) } else { i % 3 };
            w.network.cut = Box::new(move |_, from, to| side(from) != side(to));
            w.run(span);
            let sides: Vec<BTreeSet<usize>> =
                (0..parts).map(|s| (0..n).filter(|i| side(*i) == s).collect()).collect();
            for members in &sides {
                assert!(w.agree(members), "{parts} parts, seed {seed}: {:?}", w.parts());
                let view = w.view(*members.first().unwrap()).unwrap();
                assert_eq!((view.part(), view.of(), view.whole()), (members.len(), n, false));
            }
            for members in &sides {
                assert_eq!(w.wrongly_faulty(members, members).1, 0, "{parts} parts, seed {seed}");
            }
            w.said.clear();
            w.network = Network::default();
            let healed = w.until_agreed(&all(n), 10 * SEC);
            assert!(
                healed.is_some_and(|t| t <= 3 * SEC),
                "{parts} parts, seed {seed}: {healed:?} {:?}",
                w.parts()
            );
            w.run(10 * SEC);
            assert_eq!(w.faults(), 0, "{parts} parts, seed {seed}");
            assert!(w.view(0).unwrap().whole());
        }
    }
}

/// Guards against a cut between rooms that comes and goes each second: nobody is taken for dead.
#[test]
fn a_cut_that_comes_and_goes_takes_nobody_out() {
    for seed in 0..5 {
        let mut w = World::settled(16, seed, Terms::default());
        w.network.cut = Box::new(|at, from, to| (from < 5) != (to < 5) && (at / SEC).is_multiple_of(2));
        w.run(30 * SEC);
        assert_eq!(w.faults(), 0, "seed {seed}");
        w.network = Network::default();
        assert!(w.until_agreed(&all(16), 3 * SEC).is_some(), "{:?}", w.parts());
    }
}

/// Guards many deaths at once: the three that are left know of all seven and go on; all come back, also without their
/// folders, and also when all start at one moment.
#[test]
fn seven_of_ten_die_at_once_and_come_back() {
    for seed in 0..6 {
        let mut w = World::settled(10, seed, Terms::default());
        let gone: Vec<usize> = (3..10).collect();
        gone.iter().for_each(|i| w.kill(*i));
        let took = w.until_agreed(&without(10, &gone), 12 * SEC);
        assert!(took.is_some(), "seed {seed}: {:?}", w.parts());
        gone.iter().for_each(|i| w.start(*i, seed % 2 == 0));
        assert!(w.until_agreed(&all(10), 4 * SEC).is_some(), "seed {seed}: {:?}", w.parts());
        (0..10).for_each(|i| w.kill(i));
        (0..10).for_each(|i| w.start(i, true));
        assert!(w.until_agreed(&all(10), 5 * SEC).is_some(), "seed {seed}: {:?}", w.parts());
        w.said.clear();
        w.run(10 * SEC);
        assert_eq!(w.faults(), 0, "seed {seed}");
    }
}

/// Guards a start when every address to join by is dead: the last view helps, however old, and without one the relay is
/// the first of a fleet and not to be acted on before it has waited for the others.
#[test]
fn the_last_view_helps_where_no_address_to_join_by_answers() {
    let mut w = World::settled(8, 3, Terms::default());
    (0..3).for_each(|i| w.kill(i));
    w.kill(7);
    w.run(60 * SEC);
    w.start(7, true);
    assert!(w.until_agreed(&without(8, &[0, 1, 2]), 3 * SEC).is_some(), "{:?}", w.parts());
    w.kill(7);
    w.run(10 * SEC);
    w.start(7, false);
    w.run(MS);
    assert_eq!(w.stale(7), Some(Stale::Starting));
    // The others reach out for one that they miss, at the address where it was.
    assert!(w.until_agreed(&without(8, &[0, 1, 2]), 10 * SEC).is_some(), "{:?}", w.parts());
}

/// Guards the dead: whatever is played again of what they or others sent, 60 s later, also when they are forgotten,
/// brings none back; and a check that is taken out lets it.
#[test]
fn datagrams_played_again_bring_no_dead_back() {
    let play = |guards: Guards| {
        let terms = Terms { forget: 20 * SEC, guards, ..Terms::default() };
        let mut w = World::settled(8, 9, terms);
        w.recorded = Some((5, Vec::new()));
        w.run(3 * SEC);
        let (_, of_dead) = w.recorded.take().unwrap();
        w.recorded = Some((4, Vec::new()));
        w.run(SEC);
        let (_, of_living) = w.recorded.take().unwrap();
        w.kill(5);
        w.run(60 * SEC);
        assert_eq!(w.state(0, 5), None, "it is forgotten");
        w.said.clear();
        for (to, bytes) in of_dead.iter().chain(&of_living) {
            w.carry(0, *to, bytes.clone());
            w.run(5 * MS);
        }
        w.run(10 * SEC);
        w.said.iter().filter(|(_, _, n)| matches!(n, News::Alive { name, .. } if **name == *"r5")).count()
    };
    assert_eq!(play(Guards::default()), 0);
    assert!(play(Guards { proof: false, ..Guards::default() }) > 0, "the check is not needed");
}

/// Guards a name that two processes bear: the later one stands, the other says so and is silent from then on.
#[test]
fn of_two_processes_with_one_name_the_later_one_stands() {
    let mut w = World::settled(8, 2, Terms::default());
    // The ninth is one of the network but none of the fleet yet.
    w.nodes.push(world_node());
    w.start_twin(8, 3);
    w.run(5 * SEC);
    assert_eq!(w.stale(3), Some(Stale::Superseded));
    let told =
        w.said.iter().filter(|(_, i, n)| *i == 3 && matches!(n, News::Twin { stands: false, .. })).count();
    assert_eq!(told, 1, "told of once");
    let view = w.view(0).unwrap();
    let three = view.others.iter().find(|m| *m.name == *name(3)).unwrap();
    assert_eq!((three.address, three.state), (address(8), State::Alive));
    assert_eq!(view.part(), 8);
}

fn world_node() -> world::Node {
    World::new(1, 0, Terms::default()).nodes.pop().unwrap()
}

/// Guards a rolling restart, every second one without a goodbye: nobody that runs is taken for dead.
#[test]
fn a_rolling_restart_takes_out_nobody_that_runs() {
    for seed in 0..4 {
        let n = 20;
        let mut w = World::settled(n, seed, Terms::default());
        for tenth in 0..10 {
            let these = [2 * tenth, 2 * tenth + 1];
            w.end(these[0]);
            w.run(SEC);
            these.iter().for_each(|i| w.kill(*i));
            w.run(600 * MS);
            these.iter().for_each(|i| w.start(*i, true));
            w.run(2 * SEC);
        }
        assert!(w.until_agreed(&all(n), 3 * SEC).is_some(), "seed {seed}: {:?}", w.parts());
        assert_eq!(w.faults(), 0, "seed {seed}");
    }
}

/// Guards records: the last one said by its owner is known to all, also to those that join later, through loss.
#[test]
fn records_reach_all_and_the_last_one_stands() {
    let mut w = World::settled(16, 4, Terms::default());
    w.network.loss = 0.2;
    for round in 0..20u8 {
        let now = 1_000_000 * SEC + w.time();
        for i in 0..16 {
            let m = w.nodes[i].membership.as_mut().unwrap();
            assert!(m.set_record(now, &vec![round; 900]) && !m.set_record(now, &[0; 2_000]));
        }
        w.run(100 * MS);
    }
    w.run(10 * SEC);
    w.kill(9);
    w.start(9, false);
    w.run(15 * SEC);
    for i in 0..16 {
        let view = w.view(i).unwrap();
        let known = view.others.iter().filter(|m| *m.record.bytes == [19; 900]).count();
        // The one that came back has said nothing yet in its new life.
        assert_eq!(known, 14 + usize::from(i == 9), "relay {i}");
    }
}

/// Guards the cost: datagrams and bytes a second of a relay are the same at 16 and at 300.
#[test]
fn the_cost_of_a_relay_does_not_grow_with_the_fleet() {
    let cost = |n: usize| {
        let mut w = World::settled(n, 1, Terms::default());
        w.run(20 * SEC);
        let before: Vec<_> = w.nodes.iter().map(|m| m.membership.as_ref().unwrap().figures()).collect();
        w.run(20 * SEC);
        let sum = |f: fn(&basaltloom::membership::Figures) -> u64| {
            let after =
                w.nodes.iter().zip(&before).map(|(m, b)| f(&m.membership.as_ref().unwrap().figures()) - f(b));
            after.sum::<u64>() as f64 / n as f64 / 20.0
        };
        (sum(|f| f.sent), sum(|f| f.bytes))
    };
    let (small, large) = (cost(16), cost(300));
    assert!(large.0 <= 1.1 * small.0 && large.0 < 15.0, "{small:?}, {large:?}");
    assert!(large.1 <= 1.3 * small.1 && large.1 < 3_000.0, "{small:?}, {large:?}");
}

/// Guards that runs can be played again: the same seed gives the same datagrams byte for byte, another one others.
#[test]
fn the_same_seed_gives_the_same_datagrams() {
    let play = |seed| {
        let mut w = World::settled(12, seed, Terms::default());
        w.network = lossy(0.2);
        w.kill(3);
        w.stop(4, 2 * SEC);
        w.run(10 * SEC);
        w.digest
    };
    assert_eq!(play(7), play(7));
    assert_ne!(play(7), play(8));
}

fn datagram() -> Datagram {
    let (address, life) = (address(1), Life { born: 77, round: 3 });
    let claim = Claim {
        name: "r2".to_string(),
        address,
        room: "a".to_string(),
        life,
        said: Said::Suspect,
        by: "r3".to_string(),
        version: 4,
        record: Some(vec![5; 40]),
    };
    let from = Sender { name: "r1".to_string(), address, room: "a".to_string(), life, age: 9 };
    Datagram { from, kind: Kind::Page { nonce: 8, more: true }, claims: vec![claim; 3] }
}

/// Guards the wire: what was sent is read back, and everything else is told apart and dropped.
#[test]
fn what_is_foreign_newer_damaged_or_of_another_fleet_is_told_apart() {
    let (ours, theirs) = (wire::fleet("f"), wire::fleet("g"));
    let bytes = wire::encode(ours, &datagram()).unwrap();
    assert_eq!(wire::decode(ours, &bytes), Ok(datagram()));
    assert_eq!(wire::decode(theirs, &bytes), Err(Refused::Fleet));
    let mut newer = bytes.clone();
    newer[2] += 1;
    assert_eq!(wire::decode(ours, &newer), Err(Refused::Version));
    for at in 7..bytes.len() {
        let mut bad = bytes.clone();
        bad[at] ^= 4;
        assert_eq!(wire::decode(ours, &bad), Err(Refused::Damaged), "byte {at}");
    }
    for len in 0..bytes.len() {
        assert!(wire::decode(ours, &bytes[..len]).is_err(), "{len} bytes");
    }
    assert_eq!(wire::decode(ours, b"GET / HTTP/1.1"), Err(Refused::Foreign));
    let mut long = datagram();
    long.claims[0].record = Some(vec![0; 1_200]);
    assert_eq!(wire::encode(ours, &long), None);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 256, rng_seed: seed::seed(), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards the decoder and what stands behind it: any bytes, also with a sound head and sum, are dropped or taken in
    /// without a panic, and no view holds what a stranger says.
    #[test]
    fn garbage_is_dropped(body in prop::collection::vec(any::<u8>(), 0..1_300), whole in any::<bool>()) {
        let mut bytes = body.clone();
        if whole {
            let mut sum = crc32fast::Hasher::new_with_initial(wire::fleet("f"));
            sum.update(&body);
            bytes = [b"bl\x01".as_slice(), &wire::fleet("f").to_le_bytes(), &sum.finalize().to_le_bytes(), &body].concat();
        }
        let mut w = World::new(2, 1, Terms::default());
        w.run(SEC);
        w.hear(0, &bytes);
        w.run(100 * MS);
        prop_assert_eq!(w.there(0), all(2));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 24, rng_seed: seed::seed(), failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against whatever was not thought of: random deaths, pauses, restarts and cuts, and once they end all that
    /// run agree, within 10 s; a relay that never paused, died nor was cut off, with a majority around it, was never
    /// taken for dead by one such.
    #[test]
    fn views_agree_once_faults_end(
        seed in 0u64..1_000_000,
        faults in prop::collection::vec((0usize..5, 0usize..12, 100u64..6_000, 0u64..3_000), 1..12),
    ) {
        let n = 12;
        let mut w = World::settled(n, seed, Terms::default());
        let mut touched = BTreeSet::new();
        let mut cuts: Vec<(u64, u64, usize)> = Vec::new();
        for (kind, i, span, gap) in faults {
            match kind {
                0 => w.kill(i),
                1 => w.stop(i, span * MS),
                2 if w.nodes[i].membership.is_none() => w.start(i, span % 2 == 0),
                3 => cuts.push((w.time(), w.time() + span * MS, i)),
                _ => w.network.loss = 0.2,
            }
            if kind < 4 {
                touched.insert(i);
            }
            let now = cuts.clone();
            w.network.cut = Box::new(move |at, from, to| {
                now.iter().any(|(a, b, i)| (*a..*b).contains(&at) && (from == *i) != (to == *i))
            });
            w.run(gap * MS);
        }
        let sound: BTreeSet<usize> = (0..n).filter(|i| !touched.contains(i)).collect();
        let wrong = w.wrongly_faulty(&sound, &sound).1;
        prop_assert_eq!(wrong, 0);
        w.run(6 * SEC);
        w.network = Network::default();
        let live: BTreeSet<usize> = (0..n).filter(|i| w.nodes[*i].membership.is_some()).collect();
        if live.len() > 1 {
            let agreed = w.until_agreed(&live, 10 * SEC);
            prop_assert!(agreed.is_some(), "{:?}", w.parts());
        }
    }
}

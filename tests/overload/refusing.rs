//! A partner that answers every call with a plain refusal for a while, and is back cold.

use super::world::{Case, Fault, Played, World};
use std::time::Instant;

/// Six tenths of the demand at the first relay.
fn six_tenths<const RELAYS: usize>(_: f64, roll: f64) -> usize {
    if roll < 0.6 {
        0
    } else {
        1 + ((roll - 0.6) / 0.4 * (RELAYS - 1) as f64) as usize
    }
}

const SHUT_AT: f64 = 8.0;
const BACK_AT: f64 = 12.0;

/// So many relays at a partner that refuses all from second 8 to 12; where `killed`, every other one dies before.
fn case<const RELAYS: usize>(killed: bool) -> Case {
    let mut faults = vec![(SHUT_AT, Fault::Shut(BACK_AT - SHUT_AT))];
    if killed {
        faults.extend((0..RELAYS / 2).map(|i| (5.0, Fault::Kill(2 * i + 1))));
    }
    Case { relays: RELAYS, at: six_tenths::<RELAYS>, faults, ..Case::default() }
}

fn case_of(relays: usize, killed: bool) -> Case {
    match relays {
        4 => case::<4>(killed),
        12 => case::<12>(killed),
        24 => case::<24>(killed),
        _ => case::<300>(killed),
    }
}

/// Guards the return of a destination that refused all: from 2 s after it on what it can take is served, by whoever is
/// left, and it is sent no more than its cold budget. Before refusals alone were an outage, and what was said before a
/// call was served no accusation any more, next to nothing was served for as long as the day lasted.
#[test]
fn a_destination_that_refused_all_is_served_from_2_s_after_its_return() {
    for relays in [4, 12, 24] {
        for killed in [false, true] {
            for seed in 0..if relays == 24 { 2 } else { 4 } {
                let played = World::play(case_of(relays, killed), seed);
                let share = played.share(14, 26);
                let told = format!("{relays} relays, half killed {killed}, seed {seed}: {share:.2} served");
                assert!(share >= 0.85, "{told}");
                assert_eq!((played.pushed, played.beyond, played.twice), (0, 0, 0), "{told}");
            }
        }
    }
}

/// Guards a limit that the list tells: also on the way back what is allocated adds up to no more.
#[test]
fn a_listed_limit_is_kept_on_the_way_back() {
    for seed in 0..4 {
        let played = World::play(Case { listed: true, ..case_of(12, seed % 2 == 1) }, seed);
        assert!(played.most_dealt <= 160.5, "seed {seed}: {:.1} allocated", played.most_dealt);
    }
}

/// Guards against states of the fleet out of which a served trial does not lead: each day's bound is below what three
/// seeds gave, and the cold budget is kept on all of them.
#[test]
fn a_served_trial_leads_back_up_whatever_came_before() {
    for (name, from, to, least, day) in DAYS.iter().filter(|day| day.3 > 0.0) {
        for seed in 0..3 {
            let played = World::play(day(), seed);
            let share = played.share(*from, *to);
            assert!(share >= *least, "{name}, seed {seed}: {share:.2} served");
            assert_eq!((played.pushed, played.beyond, played.twice), (0, 0, 0), "{name}, seed {seed}");
        }
    }
}

/// Guards the cold budget where relays are too many to deal parts out: each goes by itself, and together they serve no
/// smaller part of what there is after the return than before the outage.
#[test]
fn three_hundred_relays_keep_to_the_cold_budget() {
    for seed in 0..2 {
        let played = World::play(Case { talk: false, ..case_of(300, seed == 1) }, seed);
        let (before, after) = (played.share(4, 8), played.share(14, 26));
        assert!(after >= before, "seed {seed}: {before:.2} served before the outage, {after:.2} after");
        assert_eq!((played.pushed, played.beyond, played.twice), (0, 0, 0), "seed {seed}");
    }
}

/// Shares by second from the return on, and means.
#[test]
#[ignore = "a table, not a verdict"]
fn table_refusing() {
    let seeds = std::env::var("SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(12);
    let counts =
        std::env::var("RELAYS").ok().and_then(|s| s.parse().ok()).map_or(vec![4, 12, 24], |n| vec![n]);
    for relays in counts {
        for killed in [false, true] {
            let seeds = if relays == 300 { 2 } else { seeds };
            let began = Instant::now();
            let all: Vec<Played> =
                (0..seeds).map(|seed| World::play(case_of(relays, killed), seed)).collect();
            let shares: Vec<f64> = all.iter().map(|p| p.share(14, 26)).collect();
            let mean = shares.iter().sum::<f64>() / seeds as f64;
            let least = shares.iter().copied().fold(f64::MAX, f64::min);
            let worst = (0..seeds as usize).min_by(|a, b| shares[*a].total_cmp(&shares[*b])).unwrap();
            let by: Vec<f64> =
                (12..26).map(|s| all.iter().map(|p| p.share(s, s + 1)).sum::<f64>() / seeds as f64).collect();
            let refused = all.iter().map(|p| p.refused(14, 26)).sum::<f64>() / seeds as f64;
            let (pushed, beyond) =
                (all.iter().map(|p| p.pushed).sum::<usize>(), all.iter().map(|p| p.beyond).sum::<usize>());
            let took = began.elapsed().as_secs_f64();
            println!("| {relays} | {killed} | {mean:.3} ({least:.3}, seed {worst}) | refused {:.1} % | pushed {pushed} | beyond {beyond} | {by:.2?} | {took:.1} s", 100.0 * refused);
        }
    }
}

fn even<const RELAYS: usize>(_: f64, roll: f64) -> usize {
    (roll * RELAYS as f64) as usize
}

/// Name, seconds counted, the least share (0: no verdict), and what happens.
type Day = (&'static str, usize, usize, f64, fn() -> Case);

/// Days after which a served trial must lead back up.
const DAYS: &[Day] = &[
    ("half killed in the outage", 15, 26, 0.85, || {
        let mut day = case::<12>(false);
        day.faults.extend((0..6).map(|i| (10.0, Fault::Kill(2 * i + 1))));
        day
    }),
    ("half killed as it returns", 16, 26, 0.8, || {
        let mut day = case::<12>(false);
        day.faults.extend((0..6).map(|i| (12.5, Fault::Kill(2 * i))));
        day
    }),
    ("refuses for 1 s", 13, 26, 0.0, || Case { faults: vec![(8.0, Fault::Shut(1.0))], ..case::<12>(false) }),
    ("refuses from the first second on", 8, 26, 0.2, || Case {
        faults: vec![(0.1, Fault::Shut(4.0))],
        ..case::<12>(false)
    }),
    ("refuses twice", 24, 36, 0.85, || Case {
        seconds: 36,
        faults: vec![(6.0, Fault::Shut(4.0)), (18.0, Fault::Shut(3.0))],
        ..case::<12>(false)
    }),
    ("little is asked", 14, 34, 0.9, || Case {
        seconds: 34,
        asked: 2.0,
        at: even::<12>,
        ..case::<12>(false)
    }),
    ("little is asked, nobody answers", 14, 34, 0.9, || Case {
        seconds: 34,
        asked: 2.0,
        at: even::<12>,
        faults: vec![(8.0, Fault::Down(4.0))],
        ..case::<12>(false)
    }),
    ("a limit of 8", 14, 34, 0.65, || Case { seconds: 34, limit: 8.0, asked: 9.0, ..case::<12>(false) }),
    ("nobody answers", 14, 26, 0.85, || Case { faults: vec![(8.0, Fault::Down(4.0))], ..case::<12>(false) }),
    ("limit listed", 14, 26, 0.85, || Case { listed: true, ..case::<12>(false) }),
    ("limit falls to a tenth for 6 s", 24, 36, 0.9, || Case {
        seconds: 36,
        faults: vec![(6.0, Fault::Limit(16.0)), (12.0, Fault::Limit(160.0))],
        ..case::<12>(false)
    }),
];

#[test]
#[ignore = "a table, not a verdict"]
fn table_days() {
    let seeds = std::env::var("SEEDS").ok().and_then(|s| s.parse().ok()).unwrap_or(6);
    for (name, from, to, _, day) in DAYS {
        let all: Vec<Played> = (0..seeds).map(|seed| World::play(day(), seed)).collect();
        let shares: Vec<f64> = all.iter().map(|p| p.share(*from, *to)).collect();
        let by: Vec<usize> = (8..*to).map(|s| all[0].seconds[s].served).collect();
        let refused = all.iter().map(|p| p.refused(*from, *to)).sum::<f64>() / seeds as f64;
        let (pushed, beyond) =
            (all.iter().map(|p| p.pushed).sum::<usize>(), all.iter().map(|p| p.beyond).sum::<usize>());
        println!("| {name} | {shares:.2?} | {refused:.3} | {pushed} {beyond} | {by:?}");
    }
}

#[test]
#[ignore = "to look into a case"]
fn seconds_refusing() {
    let killed = std::env::var("KILLED").is_ok();
    let seed = std::env::var("SEED").ok().and_then(|s| s.parse().ok()).unwrap_or(1);
    let case = match std::env::var("RELAYS").unwrap_or_default().as_str() {
        "4" => case::<4>(killed),
        "24" => case::<24>(killed),
        "300" => case::<300>(killed),
        _ => case::<12>(killed),
    };
    let talk = std::env::var("ALONE").is_err();
    let p: Played = World::play(Case { talk, ..case }, seed);
    println!("steady {:.2}", p.share(4, 8));
    println!("share {:.2} back {:?} pushed {} beyond {}", p.share(14, 26), p.back, p.pushed, p.beyond);
    for (i, s) in p.seconds.iter().enumerate() {
        let dealt: Vec<f64> = s.dealt.iter().flatten().copied().collect();
        println!(
            "{i:3} asked {} served {} refused {} failed {} could {:.0} dealt {dealt:.1?}",
            s.asked, s.served, s.refused, s.failed, s.could
        );
    }
}

//! Several processes of the program with faults between them. Strict in what must never happen, wide in time: a busy
//! machine stretches everything. The long tables are `cargo test --release --test processes -- --ignored --nocapture`.

#[path = "../partner/mod.rs"]
mod limited;
mod overload;
#[path = "../stand_ins/page_form.rs"]
mod page_form;
mod partner;
mod rig;

use page_form::completed;
use rig::{program, Faults, Rig, Way};
use std::collections::BTreeSet;
use std::process::Command;
use std::thread::sleep;
use std::time::Duration;

/// Relays in each fleet: each is a process, and a machine may have four cores.
const N: usize = 8;

fn secs(n: u64) -> Duration {
    Duration::from_secs(n)
}

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn all(n: usize) -> BTreeSet<usize> {
    (0..n).collect()
}

fn without(n: usize, gone: &[usize]) -> BTreeSet<usize> {
    (0..n).filter(|i| !gone.contains(i)).collect()
}

fn lossy(loss: f64) -> Faults {
    Faults { loss, repeat: 0.05, jitter: ms(200), ..Faults::default() }
}

/// Guards the main aim, and the way back: a killed relay is known to be gone by all, nobody else is taken for it, and
/// with its folder or without it is there again.
#[test]
fn a_killed_relay_is_gone_and_comes_back() {
    let mut rig = Rig::settled(N, 1);
    let (since, rest) = (rig.time(), without(N, &[5]));
    rig.kill(5);
    assert!(rig.until_agreed(&rest, secs(15)).is_some(), "{:?}", rig.parts());
    let told = rig.told_faulty(5, since, &rest);
    assert!(told.first().is_some_and(|t| *t >= ms(2_500)), "a pause of 3 s has to be borne: {told:?}");
    assert_eq!(rig.faults_told(since, &rest, &rest), []);
    rig.start(5);
    assert!(rig.until_agreed(&all(N), secs(10)).is_some(), "{:?}", rig.parts());
    rig.kill(5);
    rig.forget_folder(5);
    rig.start(5);
    assert!(rig.until_agreed(&all(N), secs(10)).is_some(), "{:?}", rig.parts());
    let since = rig.time();
    rig.end(5);
    assert!(rig.until_agreed(&rest, secs(5)).is_some(), "{:?}", rig.parts());
    sleep(secs(5));
    assert_eq!(rig.faults_told(since, &rest, &all(N)), []);
}

/// Guards pauses: for 3 s one relay, then half of them, take nobody out, and nobody takes them out.
#[test]
fn pauses_of_three_seconds_take_nobody_out() {
    let rig = Rig::settled(N, 2);
    for some in [1, N / 2] {
        let since = rig.time();
        (0..some).for_each(|i| rig.stop(i));
        sleep(ms(2_900));
        (0..some).for_each(|i| rig.go_on(i));
        sleep(secs(6));
        assert_eq!(rig.faults_told(since, &all(N), &all(N)), [], "{some} stood still");
        let paused: BTreeSet<usize> =
            rig.said(since).iter().filter(|s| s.event == "stood-still").map(|s| s.relay).collect();
        assert!((0..some).all(|i| paused.contains(&i)), "{paused:?}");
        assert!(rig.until_agreed(&all(N), secs(10)).is_some(), "{:?}", rig.parts());
    }
}

/// Guards a long pause: the relay is out, holds against nobody what it missed, says that its view is old, and is back.
#[test]
fn a_long_pause_takes_out_only_who_stood_still() {
    let rig = Rig::settled(N, 3);
    let (since, rest) = (rig.time(), without(N, &[3]));
    rig.stop(3);
    assert!(rig.until(secs(15), |rig| rest.iter().all(|i| !rig.views()[*i].0.contains(&3))).is_some());
    rig.go_on(3);
    assert!(rig.until_agreed(&all(N), secs(10)).is_some(), "{:?}", rig.parts());
    assert_eq!(rig.faults_told(since, &all(N), &rest), []);
    let said = |event: &str| {
        rig.until(secs(5), |rig| rig.said(since).iter().any(|s| s.relay == 3 && s.event == event))
    };
    for event in ["stood-still", "view-stale", "view-fresh"] {
        assert!(said(event).is_some(), "{event}");
    }
}

/// Guards against a bad network, with a death in it.
#[test]
fn loss_of_a_third_takes_out_only_the_dead() {
    let mut rig = Rig::settled(N, 4);
    let since = rig.time();
    rig.faults(lossy(0.3));
    sleep(secs(12));
    assert_eq!(rig.faults_told(since, &all(N), &all(N)), []);
    rig.kill(6);
    let rest = without(N, &[6]);
    assert!(rig.until_agreed(&rest, secs(25)).is_some(), "{:?}", rig.parts());
    sleep(secs(5));
    assert_eq!(rig.faults_told(since, &rest, &rest), []);
}

/// Guards against one link, cut in one direction and in both.
#[test]
fn one_link_changes_no_view() {
    let rig = Rig::settled(N, 5);
    let since = rig.time();
    for both in [false, true] {
        let cut = move |_, from, to| (from, to) == (2, 6) || (both && (from, to) == (6, 2));
        rig.faults(Faults { cut: Box::new(cut), ..Faults::default() });
        sleep(secs(10));
        assert_eq!(rig.faults_told(since, &all(N), &all(N)), [], "both {both}");
        assert!(rig.agree(&all(N)), "{:?}", rig.parts());
    }
}

/// Guards against a relay's own trouble: one that hears nobody or that nobody hears is out, knows it, and takes nobody
/// out.
#[test]
fn a_deaf_and_a_mute_relay_are_out_and_accuse_nobody() {
    for deaf in [true, false] {
        let rig = Rig::settled(N, 6);
        let (since, rest) = (rig.time(), without(N, &[4]));
        let cut = move |_, from, to| if deaf { to == 4 } else { from == 4 };
        rig.faults(Faults { cut: Box::new(cut), ..Faults::default() });
        let out = rig.until(secs(20), |rig| {
            let views = rig.views();
            rest.iter().all(|i| views[*i].0 == rest) && views[4].1.as_deref() == Some("alone")
        });
        assert!(out.is_some(), "deaf {deaf}: {:?}", rig.parts());
        sleep(secs(3));
        assert_eq!(rig.faults_told(since, &all(N), &rest), [], "deaf {deaf}");
        rig.faults(Faults::default());
        assert!(rig.until_agreed(&all(N), secs(10)).is_some(), "deaf {deaf}: {:?}", rig.parts());
    }
}

/// Guards partitions: each side goes on with its own, and all agree soon after healing, without a flap.
#[test]
fn a_partition_heals_without_a_flap() {
    let rig = Rig::settled(N, 7);
    let since = rig.time();
    // All addresses to join by are on one side.
    let side = |i: usize| i >= 3;
    rig.faults(Faults { cut: Box::new(move |_, from, to| side(from) != side(to)), ..Faults::default() });
    let sides: [BTreeSet<usize>; 2] = [(0..3).collect(), (3..N).collect()];
    let parted = rig.until(secs(20), |rig| sides.iter().all(|s| rig.agree(s)));
    assert!(parted.is_some(), "{:?}", rig.parts());
    for own in &sides {
        assert_eq!(rig.faults_told(since, own, own), []);
    }
    let healed = rig.time();
    rig.faults(Faults::default());
    assert!(rig.until_agreed(&all(N), secs(10)).is_some(), "{:?}", rig.parts());
    sleep(secs(5));
    assert_eq!(rig.faults_told(healed, &all(N), &all(N)), []);
}

/// Guards the dead and the living from what is played again or makes no sense: a dead relay's datagrams of a minute ago,
/// and garbage at 1,000 a second, bring nobody back, take nobody out and end no process.
#[test]
fn what_is_played_again_or_garbage_changes_nothing() {
    let mut rig = Rig::new(N, 8);
    rig.spans = "forget 8s";
    (0..N).for_each(|i| rig.start(i));
    assert!(rig.until_agreed(&all(N), secs(20)).is_some(), "{:?}", rig.parts());
    *rig.switch.recorded.lock().unwrap() = Some(Vec::new());
    sleep(secs(3));
    let kept = rig.switch.recorded.lock().unwrap().take().unwrap();
    rig.kill(5);
    let rest = without(N, &[5]);
    assert!(rig.until_agreed(&rest, secs(15)).is_some(), "{:?}", rig.parts());
    sleep(secs(10));
    let since = rig.time();
    assert!(kept.iter().any(|w| w.from == 5));
    for way in kept.iter().filter(|w| w.from == 5 || w.to == 0) {
        rig.switch.deliver(way);
    }
    for round in 0..3_000u64 {
        let mut bytes = kept[round as usize % kept.len()].bytes.clone();
        let at = (round.wrapping_mul(2_654_435_761) >> 7) as usize % bytes.len();
        match round % 3 {
            0 => bytes[at] ^= 0x55,
            1 => bytes.truncate(at),
            _ => bytes = vec![round as u8; at],
        }
        rig.switch.deliver(&Way { from: 1, to: 0, bytes });
        sleep(ms(1));
    }
    sleep(secs(3));
    let back = |s: &rig::Said| s.event == "member-alive" && s.member == Some(5);
    assert!(!rig.said(since).iter().any(back), "a dead one is back");
    assert_eq!(rig.faults_told(since, &rest, &rest), []);
    assert!(rig.agree(&rest), "{:?}", rig.parts());
}

/// Guards a name that two processes bear: the earlier one says so loudly and is silent; the later one stands.
#[test]
fn of_two_processes_with_one_name_the_later_one_stands() {
    let mut rig = Rig::new(N, 9);
    (0..N - 1).for_each(|i| rig.start(i));
    assert!(rig.until_agreed(&all(N - 1), secs(20)).is_some(), "{:?}", rig.parts());
    rig.start_as(N - 1, 3);
    let said = rig.until(secs(10), |rig| {
        rig.said(Duration::ZERO).iter().any(|s| s.relay == 3 && s.event == "superseded")
    });
    assert!(said.is_some());
    sleep(secs(6));
    let rest = without(N - 1, &[3]);
    assert_eq!(rig.faults_told(Duration::ZERO, &rest, &all(N)), []);
}

/// Guards many deaths at once, a fleet that starts whole at one moment, and a damaged view at the start.
#[test]
fn most_die_at_once_and_all_come_back() {
    let mut rig = Rig::settled(N, 10);
    let gone: Vec<usize> = (2..N).collect();
    gone.iter().for_each(|i| rig.kill(*i));
    assert!(rig.until_agreed(&without(N, &gone), secs(25)).is_some(), "{:?}", rig.parts());
    std::fs::write(rig.folder(4).join("fleet.view"), b"not a view").unwrap();
    gone.iter().for_each(|i| rig.start(*i));
    assert!(rig.until_agreed(&all(N), secs(15)).is_some(), "{:?}", rig.parts());
    assert!(rig.folder(4).join("fleet.view.damaged").exists());
    // The view is written once a second at most.
    sleep(ms(1_500));
    (0..N).for_each(|i| rig.kill(i));
    // No address to join by answers: the last view does.
    let alive: Vec<usize> = (3..N).collect();
    alive.iter().for_each(|i| rig.start(*i));
    assert!(rig.until_agreed(&without(N, &[0, 1, 2]), secs(20)).is_some(), "{:?}", rig.parts());
    let text = Command::new(program()).arg("members").arg(rig.folder(5)).output().unwrap();
    let text = String::from_utf8(text.stdout).unwrap();
    assert!(text.starts_with("fleet t, version ") && text.contains("r5\talive\t"), "{text}");
}

/// Guards a rolling restart, every second one killed: nobody that runs is taken for dead.
#[test]
fn a_rolling_restart_takes_out_nobody_that_runs() {
    let mut rig = Rig::settled(N, 11);
    let since = rig.time();
    for i in 0..N {
        if i % 2 == 0 {
            rig.kill(i);
        } else {
            rig.end(i);
        }
        sleep(ms(600));
        rig.start(i);
        sleep(secs(1));
    }
    assert!(rig.until_agreed(&all(N), secs(10)).is_some(), "{:?}", rig.parts());
    assert_eq!(rig.faults_told(since, &all(N), &all(N)), []);
}

/// Guards fleets that may not talk: a file that asks for it where the settings forbid it is refused with where it
/// stands, by the check and at the start.
#[test]
fn a_section_is_refused_where_relays_may_not_talk() {
    let dir = std::env::temp_dir().join(format!("basaltloom-rig-peers-{}", std::process::id()));
    std::fs::create_dir_all(&dir).unwrap();
    let settings = |peers: &str| {
        completed(&format!(
            r#"{{"listen":"127.0.0.1:0","seed":"1","settings":{{"fleet_size":2,"domain":{{"calls_out":2}},"limits":{{"max_open":4,"most_tries":2{peers}}},
"rules":{{"cold_share":0.2,"fall":1500000000,"overload_factor":2.0,"warm_up":9000000000}},
"services":[{{"name":"notice","aim":1000000000,"deadline":5000000000,"importance":1,"late_worth":0.5,"repeat":"pure"}}]}}}}"#
        ))
    };
    let (config, operator) = (dir.join("c.json"), dir.join("relay.conf"));
    std::fs::write(&operator, "# a fleet\nfleet {\n name t\n listen 127.0.0.1:7\n}\n").unwrap();
    let run = |words: &[&str], peers: &str| {
        std::fs::write(&config, settings(peers)).unwrap();
        let out = Command::new(program()).args(words).arg("--operator").arg(&operator).output().unwrap();
        (out.status.code(), String::from_utf8_lossy(&out.stderr).into_owned())
    };
    let at = config.to_str().unwrap();
    for words in [&["check-config", at][..], &["serve", "--config", at]] {
        let (code, said) = run(words, r#","peers":false"#);
        assert_eq!(code, Some(1), "{said}");
        assert!(said.contains("relay.conf:2:1: ") && said.contains("`limits.peers` false"), "{said}");
    }
    assert_eq!(run(&["check-config", at], r#","peers":true"#).0, Some(0));
    // Not said at all is no permission: the key is missing.
    let (code, said) = run(&["check-config", at], r#","peers":null"#);
    assert!(code == Some(1) && said.contains("settings.limits.peers"), "{said}");
    std::fs::write(&operator, "fleet {\n name t\n listen 0.0.0.0:7\n probe 1ms\n}\n").unwrap();
    let (code, said) = run(&["check-config", at], r#","peers":true"#);
    assert_eq!((code, said.lines().count()), (Some(1), 2), "{said}");
    std::fs::remove_dir_all(&dir).ok();
}

/// One case of the long table, over some seeds: its name, and what it does. Returns the relays that count as sound.
type Case = (&'static str, fn(&mut Rig) -> BTreeSet<usize>);

const LONG: usize = 16;

fn hold(rig: &Rig, faults: Faults, span: Duration) {
    rig.faults(faults);
    sleep(span);
    rig.faults(Faults::default());
}

const CASES: &[Case] = &[
    ("one killed", |rig| {
        rig.kill(5);
        sleep(secs(10));
        without(LONG, &[5])
    }),
    ("one stood still for 3 s", |rig| {
        rig.stop(5);
        sleep(secs(3));
        rig.go_on(5);
        sleep(secs(5));
        all(LONG)
    }),
    ("half stood still for 3 s", |rig| {
        (0..LONG / 2).for_each(|i| rig.stop(i));
        sleep(secs(3));
        (0..LONG / 2).for_each(|i| rig.go_on(i));
        sleep(secs(5));
        all(LONG)
    }),
    ("one stood still for 10 s", |rig| {
        rig.stop(5);
        sleep(secs(10));
        rig.go_on(5);
        sleep(secs(5));
        without(LONG, &[5])
    }),
    ("a third starved at 20 % for a minute", |rig| {
        (0..LONG / 3).for_each(|i| rig.starve(i, secs(2), ms(400)));
        sleep(secs(60));
        (0..LONG / 3).for_each(|i| rig.feed(i));
        sleep(secs(5));
        (LONG / 3..LONG).collect()
    }),
    ("10 % lost for a minute", |rig| {
        hold(rig, lossy(0.1), secs(60));
        all(LONG)
    }),
    ("30 % lost for a minute, one killed in it", |rig| {
        rig.faults(lossy(0.3));
        sleep(secs(30));
        rig.kill(5);
        sleep(secs(30));
        rig.faults(Faults::default());
        without(LONG, &[5])
    }),
    ("a link cut both ways for 20 s", |rig| {
        let cut = |_: Duration, from: usize, to: usize| from.min(to) == 2 && from.max(to) == 6;
        hold(rig, Faults { cut: Box::new(cut), ..Faults::default() }, secs(20));
        all(LONG)
    }),
    ("a room cut off for 15 s", |rig| {
        let cut = |_: Duration, from: usize, to: usize| from.is_multiple_of(3) != to.is_multiple_of(3);
        hold(rig, Faults { cut: Box::new(cut), ..Faults::default() }, secs(15));
        BTreeSet::new()
    }),
    ("a cut that comes and goes each second for 30 s", |rig| {
        let cut =
            |at: Duration, from: usize, to: usize| at.as_secs().is_multiple_of(2) && (from < 5) != (to < 5);
        hold(rig, Faults { cut: Box::new(cut), ..Faults::default() }, secs(30));
        all(LONG)
    }),
    ("7 of 10 killed and back", |rig| {
        (3..10).for_each(|i| rig.kill(i));
        sleep(secs(10));
        (3..10).for_each(|i| rig.start(i));
        (0..3).chain(10..LONG).collect()
    }),
];

/// The long table: each case with 16 processes and some seeds; a line of Markdown each.
#[test]
#[ignore = "takes a quarter of an hour"]
fn table() {
    println!("| case | seed | first, median, last told of a death (ms) | wrongly faulty (relay-seconds) | agree after the end (ms) | CPU a relay (%) |");
    println!("| --- | --- | --- | --- | --- | --- |");
    for (name, act) in CASES {
        for seed in 1..=2 {
            let mut rig = Rig::settled(LONG, seed);
            sleep(secs(1));
            let (since, from) = (rig.time(), rig.cpu(LONG - 1).unwrap_or(0.0));
            let sound = act(&mut rig);
            let cpu = (rig.cpu(LONG - 1).unwrap_or(0.0) - from) / (rig.time() - since).as_secs_f64() * 100.0;
            let live: BTreeSet<usize> = (0..LONG).filter(|i| rig.runs(*i)).collect();
            let took = rig.until_agreed(&live, secs(30));
            let told = if live.len() < LONG { rig.told_faulty(5, since, &live) } else { Vec::new() };
            let figure = |at: usize| told.get(at).map_or("-".to_string(), |t| t.as_millis().to_string());
            let told = format!(
                "{}, {}, {}",
                figure(0),
                figure(told.len() / 2),
                figure(told.len().saturating_sub(1))
            );
            let wrong = rig.wrongly_faulty(since, &sound, &sound);
            assert!(took.is_some(), "{name}, seed {seed}: {:?}", rig.parts());
            let took = took.map_or(0, |t| t.as_millis());
            println!("| {name} | {seed} | {told} | {wrong:.1} | {took} | {cpu:.1} |");
        }
    }
}

//! The first ends behind a change: the way to the platform turns slow after a good time, stops for a moment, refuses, or the
//! process stands still. Nothing of it was seen before.

use crate::agent::{busy_endpoint, Agent, Way};
use crate::rig::{Outcome, Rig, TIME};
use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rustix::process::Signal;
use std::sync::Arc;
use std::thread::{scope, sleep, spawn};
use std::time::{Duration, Instant};

/// Connections to the agent at once at most: the descriptors that the program keeps for them.
const OPEN_MOST: usize = 16;
/// Requests to the agent in a second at most, over a run of this length.
const REQUESTS_A_SECOND: u32 = 120;

const SECOND: Duration = Duration::from_secs(1);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// Nothing came late of what was taken on, and all of it was bounded.
fn assert_in_time(what: &str, outcome: &Outcome, least_taken: usize) {
    println!("{what}: {outcome:?}");
    assert_eq!((outcome.late, outcome.never), (0, 0), "{what}: {outcome:?}");
    assert!(outcome.taken >= least_taken, "{what}: {outcome:?}");
    assert!(outcome.most_open <= OPEN_MOST, "{what}: {outcome:?}");
    assert!(outcome.requests <= REQUESTS_A_SECOND * 8, "{what}: {outcome:?}");
}

/// Each of these on a relay of its own, at the same time.
fn at_once<T: Send + Sync>(cases: &[T], run: impl Fn(&T) + Sync) {
    scope(|scope| {
        let runs: Vec<_> = cases.iter().map(|case| scope.spawn(|| run(case))).collect();
        runs.into_iter().for_each(|run| run.join().unwrap());
    });
}

/// What comes of 240 messages of this time, where the way turns from good to this one so long behind the first.
fn turns(time: Duration, at: Duration, way: Way, seed: u64) -> Outcome {
    let rig = Arc::new(Rig::start(seed));
    let turning = spawn({
        let rig = rig.clone();
        move || {
            sleep(at);
            rig.agent.way(way);
        }
    });
    let handed = rig.hand_in_for(time, 240, SECOND);
    turning.join().unwrap();
    rig.outcome(&handed, ms(4_000))
}

/// Guards the first ends behind a good time from a way that turns slow: the margin was taken only once ends had been late.
#[test]
fn the_first_ends_come_in_time_where_a_way_turns_slow_after_a_good_time() {
    at_once(&[1, 2, 3, 4], |seed| {
        let outcome = turns(TIME, ms(2_500), Way::requests_between(0, 800), *seed);
        assert_in_time(&format!("seed {seed}"), &outcome, 200);
    });
}

/// Guards the same on the site's longer times, and a way that is as slow as the whole slack.
#[test]
fn the_first_ends_of_long_messages_come_in_time_where_a_way_turns_slow() {
    let ways = [Way::requests_between(0, 1_000), Way::requests_between(1_000, 1_000)];
    at_once(&ways, |way| {
        let outcome = turns(ms(10_000), ms(9_000), *way, 1);
        assert_in_time(&format!("{way:?}"), &outcome, 200);
    });
}

/// Guards messages of under a second: a part of their time was no margin.
#[test]
fn short_messages_end_in_time_or_are_refused_where_a_way_turns_slow() {
    at_once(&[(900, 700, 1), (900, 700, 2), (500, 500, 1), (300, 400, 1)], |(time, late, seed)| {
        let outcome = turns(ms(*time), ms(500), Way::requests_between(0, *late), *seed);
        println!("{time} ms, up to {late} ms late, seed {seed}: {outcome:?}");
        assert_eq!((outcome.late, outcome.never), (0, 0), "{time} ms: {outcome:?}");
    });
}

/// What comes of messages handed in over `span`, beside something that is done again and again.
fn beside(span: Duration, seed: u64, each: Duration, mut disturb: impl FnMut(&Rig) + Send) -> Outcome {
    let rig = Rig::start(seed);
    let handed = scope(|scope| {
        let handing = scope.spawn(|| rig.hand_in(span.as_secs() as usize * 30, span));
        let until = Instant::now() + span + TIME + SECOND;
        while Instant::now() + each < until {
            sleep(each);
            disturb(&rig);
        }
        handing.join().unwrap()
    });
    rig.outcome(&handed, ms(3_000))
}

/// Guards ends from a way that stops for a moment, so seldom that the last time is forgotten.
#[test]
fn ends_come_in_time_where_the_way_stops_for_a_moment() {
    at_once(&[(8, 600, 4_000), (8, 800, 3_700), (30, 600, 16_000)], |(span, stop, each)| {
        let outcome = beside(SECOND * *span, 1, ms(*each), |rig| rig.agent.stop_for(ms(*stop)));
        assert_in_time(&format!("{stop} ms each {each} ms"), &outcome, 200);
    });
}

/// Guards ends from a process that is held up as a whole, as by its machine.
#[test]
fn ends_come_in_time_where_the_process_stands_still() {
    at_once(&[(300, 600, 1), (450, 900, 2)], |(least, most, seed)| {
        let mut chance = ChaCha8Rng::seed_from_u64(*seed);
        let outcome = beside(SECOND * 8, *seed, ms(2_300), |rig| {
            rig.process.signal(Signal::STOP);
            sleep(ms(least + u64::from(chance.next_u32()) % (most - least)));
            rig.process.signal(Signal::CONT);
        });
        assert_in_time(&format!("stops of {least} to {most} ms"), &outcome, 150);
    });
}

/// Guards the first ends at a platform that SIGHUP has moved to: what was known of the way was forgotten.
#[test]
fn the_first_ends_at_a_platform_that_is_moved_to_come_in_time() {
    at_once(&[(400, 400), (0, 800)], |(least, most)| {
        let rig = Rig::start(1);
        let second = Agent::start(rig.agent.list_text(), 2);
        second.way(Way::between(*least, *most));
        let handed = rig.hand_in(240, SECOND);
        sleep(ms(1_500));
        let mut document = rig.platform.document();
        document["discovery"] = second.address.to_string().into();
        rig.platform.write(&document.to_string());
        rig.process.signal(Signal::HUP);
        sleep(ms(4_000));
        // What was told before the move stands.
        let before = rig.agent.read.tell(|read| read.ends.clone());
        second.read.tell(|read| {
            for (id, end) in before {
                read.ends.entry(id).or_insert(end);
            }
        });
        let outcome = rig.outcome_at(&second, &handed);
        assert_in_time(&format!("{least} to {most} ms late"), &outcome, 200);
    });
}

/// Guards ends from refusals and resets of most connections: pauses asked how the way was, not what time was left.
#[test]
fn ends_come_in_time_where_nine_of_ten_requests_fail() {
    let most = 0.9;
    at_once(&[Way { refused: most, ..Way::default() }, Way { closed: most, ..Way::default() }], |way| {
        let outcome = turns(TIME, ms(0), *way, 1);
        assert_in_time(&format!("{way:?}"), &outcome, 200);
    });
}

/// Guards the same where nine of ten connections say nothing at all.
#[test]
fn ends_come_in_time_where_nine_of_ten_connections_are_silent() {
    let outcome = turns(TIME, ms(0), Way { silent: 0.9, ..Way::default() }, 1);
    assert_in_time("silent", &outcome, 200);
}

/// Guards ends at a platform that more open connections make slower: it was crowded by tries.
#[test]
fn ends_come_in_time_where_connections_are_served_one_after_another() {
    let way = Way { one_by_one: ms(200), ..Way::default() };
    let outcome = turns(TIME, ms(0), way, 1);
    assert_in_time("one by one", &outcome, 200);
}

/// Guards ends beside an endpoint that takes less than is handed in, on a way that turns slow.
#[test]
fn the_first_ends_come_in_time_beside_overload() {
    at_once(&[(600, 600, 0), (0, 1_000, 8_000)], |(least, most, at)| {
        let (endpoint, served) = busy_endpoint(22.0);
        let rig = Arc::new(Rig::start_before(1, endpoint));
        let turning = spawn({
            let (rig, way, at) = (rig.clone(), Way::requests_between(*least, *most), ms(*at));
            move || {
                sleep(at);
                rig.agent.way(way);
            }
        });
        let handed = rig.hand_in(600, SECOND * 20);
        turning.join().unwrap();
        let mut outcome = rig.outcome(&handed, ms(3_000));
        let served = served.tell(|ids| ids.clone());
        // What was delivered has no end to be told.
        let is_owed =
            |id: &&String| !served.contains(*id) && rig.agent.read.tell(|read| !read.ends.contains_key(*id));
        outcome.never = handed.taken.keys().filter(is_owed).count();
        let served = served.len();
        assert_in_time(&format!("{least} to {most} ms late, {served} served"), &outcome, 400);
        assert!(served >= 300, "{served} served");
    });
}

/// Guards the first ends from a slow way and a slow folder together.
#[test]
fn the_first_ends_come_in_time_where_way_and_folder_are_slow_together() {
    let mut is_slow = false;
    let outcome = beside(SECOND * 8, 1, ms(3_000), |rig| {
        if !std::mem::replace(&mut is_slow, true) {
            rig.agent.way(Way::requests_between(0, 600));
            rig.folder.each_write(ms(60));
        }
    });
    assert_in_time("way and folder", &outcome, 100);
}

/// Guards what is delivered beside overload from margins that leave too little time for it.
#[test]
fn an_endpoint_is_kept_busy_beside_overload() {
    at_once(&[15.0, 22.0, 28.0], |rate| {
        let (endpoint, served) = busy_endpoint(*rate);
        let rig = Rig::start_before(1, endpoint);
        let handed = rig.hand_in(600, SECOND * 20);
        let outcome = rig.outcome(&handed, ms(2_000));
        // What is served behind its end earns nothing.
        let ended = rig.agent.read.tell(|read| read.ends.clone());
        let delivered = served.tell(|ids| ids.iter().filter(|id| !ended.contains_key(*id)).count());
        println!("{rate} calls a second of 30: {delivered} delivered of {}", outcome.taken);
        assert!(delivered as f64 >= 0.85 * rate * 20.0, "{rate} calls a second: {delivered} delivered");
    });
}

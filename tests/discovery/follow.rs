//! How discovery's list is followed where it is too large, damaged, cut off or slow.

use crate::rig::{entry, followed, long, whole, Followed, How, Reply, GRACE, LOOKS_UP, SUPERSEDED, WATCHES};
use basaltloom::polling::Terms;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

/// A short list of this version.
fn short(seq: u64) -> String {
    whole(seq, &[entry("a", "active")])
}

/// A first list, then this answer again and again.
fn then(reply: Reply) -> impl Fn(usize, Option<u64>) -> Reply {
    move |place, _| if place == 0 { Reply::List(short(1)) } else { reply.clone() }
}

/// The only event of trouble that was told, in `field`s.
fn told(run: &Followed, event: &str, fields: [(&str, &str); 3]) {
    let told = run.log.of(event);
    assert_eq!(told.len(), 1, "{:?}", run.log.events());
    assert_eq!(told[0]["target"], "platform");
    for (field, value) in fields {
        assert_eq!(told[0].get(field).map(String::as_str), Some(value), "{field} of {:?}", told[0]);
    }
    assert_eq!(run.log.events(), [event], "nothing else is told");
}

/// Asked again a few times in 20 s, each pause longer than the one before, and the first list stands.
fn backs_off(run: &Followed) {
    let gaps = run.discovery.gaps();
    assert!((5..=10).contains(&gaps.len()), "{gaps:?}");
    // Each is half to all of twice the one before.
    assert!(gaps[1..].windows(2).all(|w| w[1] > 0.99 * w[0]), "{gaps:?}");
    assert_eq!(run.received.versions(), [1]);
    assert_eq!(run.received.held.get(), 0);
}

/// Guards discovery from a list over the cap, which was asked for again 8 times a second, and who looks at the log from
/// not being told of its size.
#[test]
fn a_list_announced_as_too_large_is_told_once_and_asked_for_ever_less_often() {
    let run = followed(WATCHES, 20, then(Reply::Announced(29_000_000)));
    told(&run, "discovery-list-too-large", [("size", "29000000"), ("cap", "1000000"), ("offset", "0")]);
    backs_off(&run);
}

/// Guards the same where the size shows itself only as the bytes come; none of them are kept.
#[test]
fn a_list_counted_as_too_large_is_told_once_and_asked_for_ever_less_often() {
    let run = followed(How { cap: 100_000, ..WATCHES }, 20, then(Reply::Chunked(long(2, 2_000))));
    let size: u64 = run.log.of("discovery-list-too-large")[0]["size"].parse().unwrap();
    assert!((100_001..140_000).contains(&size), "{size}");
    told(
        &run,
        "discovery-list-too-large",
        [("size", &size.to_string()), ("cap", "100000"), ("target", "platform")],
    );
    backs_off(&run);
}

/// Guards the list in force from a damaged one, and discovery from being asked for that again at once.
#[test]
fn a_damaged_list_is_told_once_with_its_place_and_asked_for_ever_less_often() {
    let list = long(2, 500);
    let place = list.find("s-00000123").unwrap();
    let damaged = list.replacen("s-00000123", "s-0000\t123", 1);
    let (size, offset) = (damaged.len().to_string(), (place + 6).to_string());
    let run = followed(WATCHES, 20, then(Reply::List(damaged)));
    told(&run, "discovery-list-damaged", [("size", &size), ("cap", "1000000"), ("offset", &offset)]);
    backs_off(&run);
}

/// Guards the list in force from a whole list that names endpoints of which none can be used, or has no `hosts`.
#[test]
fn a_bad_list_never_empties_the_one_in_force_and_an_empty_one_does() {
    for bad in [whole(2, &["{}".to_string()]), r#"{"seq":2,"whole":true}"#.to_string()] {
        let run = followed(WATCHES, 20, then(Reply::List(bad)));
        assert_eq!(run.log.events(), ["discovery-list-damaged"]);
        backs_off(&run);
    }
    let run = followed(WATCHES, 5, |place, _| match place {
        0 => Reply::List(short(1)),
        1 => Reply::List(whole(2, &[])),
        _ => Reply::Unchanged(2),
    });
    assert_eq!(run.received.taken.borrow()[1], (2, true, vec![]));
    assert!(run.log.events().is_empty());
}

/// Guards a list that goes on growing: pauses grow to a minute and no further.
#[test]
fn pauses_grow_to_a_minute() {
    let run = followed(WATCHES, 1_200, then(Reply::Announced(u64::MAX / 2)));
    let gaps = run.discovery.gaps();
    assert!(gaps.iter().all(|gap| *gap <= 60.1), "{gaps:?}");
    assert!(gaps[12..].iter().all(|gap| *gap >= 30.0) && gaps.len() < 50, "{gaps:?}");
    assert_eq!(run.log.events(), ["discovery-list-too-large"]);
}

/// Guards discovery from a fleet that had the same bad list at one moment.
#[test]
fn relays_that_back_off_drift_apart() {
    let asked =
        |seed| followed(How { seed, ..WATCHES }, 20, then(Reply::Announced(29_000_000))).discovery.gaps();
    let (one, other) = (asked(1), asked(2));
    assert!(one.iter().zip(&other).skip(1).all(|(a, b)| (a - b).abs() > 0.001), "{one:?} {other:?}");
    assert_eq!(one, asked(1), "the same seed plays the same");
}

/// Guards the list in force from one cut off in the middle, and the time within which a change is to be heard of: calls go on
/// within it, also of those who look the list up; where it is pushed, in the step of the budget.
#[test]
fn a_cut_list_keeps_the_old_one_and_is_asked_for_again_in_time() {
    let asks = How { terms: Terms { within: Some(Duration::from_secs(10)), grace: GRACE }, ..WATCHES };
    for (how, patience) in [(asks, 0.5), (LOOKS_UP, 1.5)] {
        let list = long(2, 300);
        let size = list.len().to_string();
        let run = followed(how, 120, then(Reply::Cut(list, 20_000)));
        told(&run, "discovery-list-cut", [("size", &size), ("cap", "1000000"), ("offset", "20000")]);
        let gaps = run.discovery.gaps();
        assert!(gaps[1..].iter().all(|gap| gap + patience < 6.0), "{gaps:?}");
        assert!((20..=70).contains(&gaps.len()), "{gaps:?}");
        assert_eq!((run.received.versions(), run.received.held.get()), (vec![1], 0));
    }
    let run = followed(WATCHES, 120, then(Reply::Cut(long(2, 300), 20_000)));
    let step = WATCHES.terms.budget().step.as_secs_f64();
    let gaps = run.discovery.gaps();
    assert!(gaps[1..].iter().all(|gap| (0.95 * step..step + 0.01).contains(gap)), "{gaps:?}");
    assert_eq!((run.received.versions(), run.received.held.get()), (vec![1], 0));
}

/// Guards a relay whose lists are pushed from asking for a long list again and again that stops in the middle each time.
#[test]
fn a_long_list_that_is_cut_is_asked_for_ever_less_often() {
    let run = followed(WATCHES, 120, then(Reply::Cut(long(2, 3_000), 200_000)));
    let gaps = run.discovery.gaps();
    assert!(gaps[1..].iter().all(|gap| gap + 0.5 < 6.0), "{gaps:?}");
    assert!((20..=70).contains(&gaps.len()), "{gaps:?}");
}

/// Guards the relay from a discovery that drips: the answer is given up as one that never came, nothing of it is kept,
/// and the next call is made in time.
#[test]
fn a_list_of_1_kb_a_second_is_given_up() {
    for (how, patience) in [(WATCHES, 0.5), (LOOKS_UP, 1.5)] {
        let list = long(1, 5_000);
        let size = list.len().to_string();
        let run = followed(how, 60, move |_, _| Reply::Paced(list.clone(), 100, Duration::from_millis(100)));
        let told = run.log.of("discovery-list-slow");
        assert_eq!((told.len(), told[0]["size"].as_str()), (1, size.as_str()));
        assert!(told[0]["offset"].parse::<u64>().unwrap() <= 2_000, "{told:?}");
        let gaps = run.discovery.gaps();
        assert!(gaps.iter().all(|gap| *gap >= patience && gap + patience < 6.0), "{gaps:?}");
        assert!(run.received.versions().is_empty());
        assert!(run.received.held.get() < 20, "{}", run.received.held.get());
    }
}

/// Guards long lists from the patience for small ones: one that keeps coming is waited for.
#[test]
fn a_long_list_that_keeps_coming_is_taken() {
    // 0.6 MB at 320 KB a second.
    let list = long(1, 4_300);
    let run = followed(WATCHES, 30, move |_, from| match from {
        None => Reply::Paced(list.clone(), 32_000, Duration::from_millis(100)),
        Some(seq) => Reply::Unchanged(seq),
    });
    assert_eq!(run.received.taken.borrow()[0].2.len(), 4_300);
    let took = (run.received.times.borrow()[0] - run.began).as_secs_f64();
    assert!((1.5..2.5).contains(&took), "{took}");
    assert!(run.log.events().is_empty(), "{:?}", run.log.events());
}

/// Guards against a long list that stops coming: what came so far buys it no longer silence.
#[test]
fn a_long_list_that_falls_silent_is_given_up_at_once() {
    let list = long(2, 7_000);
    let run = followed(WATCHES, 10, then(Reply::Stalled(list, 800_000)));
    told(&run, "discovery-list-slow", [("cap", "1000000"), ("offset", "800000"), ("target", "platform")]);
    let gaps = run.discovery.gaps();
    assert!(gaps[1..].iter().all(|gap| (0.5..5.8).contains(gap)), "{gaps:?}");
    assert_eq!(run.received.versions(), [1]);
}

/// Guards the way back: a good list after bad ones is taken, and the next trouble is told anew with short pauses.
#[test]
fn a_good_list_after_bad_ones_is_taken_and_trouble_begins_anew() {
    let run = followed(WATCHES, 30, |place, _| match place {
        0 => Reply::List(short(1)),
        1..=4 | 6.. => Reply::List("{\"seq\":".to_string() + "!}"),
        5 => Reply::List(short(2)),
    });
    assert_eq!(run.received.versions(), [1, 2]);
    let events = run.log.events();
    assert_eq!(events, ["discovery-list-damaged", "discovery-back", "discovery-list-damaged"]);
    let gaps = run.discovery.gaps();
    assert!(gaps[4] > 0.9 && gaps[6] <= 0.26, "{gaps:?}");
}

/// Guards a drain behind silence: a relay whose lists are pushed asks again within the step of its budget, and not more often
/// than that; one that asks discovery itself some 1.6 s after it asked before.
#[test]
fn silence_is_asked_again_within_the_step_of_the_budget() {
    let asks = How { terms: Terms { within: Some(Duration::from_secs(10)), grace: GRACE }, ..WATCHES };
    let step = WATCHES.terms.budget().step.as_secs_f64();
    for (how, gap_most) in [(WATCHES, step), (asks, 1.65)] {
        let run = followed(how, 20, then(Reply::Silence));
        assert_eq!(run.log.events(), ["discovery-silent"]);
        let gaps = run.discovery.gaps();
        assert!(gaps[2..].iter().all(|gap| (0.95 * gap_most..gap_most + 0.01).contains(gap)), "{gaps:?}");
    }
}

/// Guards changes from a list that never came into force: its version was taken for known, and what it had said was lost.
#[test]
fn behind_a_list_that_was_superseded_the_whole_list_is_asked_for() {
    let known: Rc<RefCell<Vec<Option<u64>>>> = Rc::default();
    let asked = known.clone();
    followed(WATCHES, 5, move |place, from| {
        asked.borrow_mut().push(from);
        match place {
            0 => Reply::List(short(1)),
            1 => Reply::List(short(SUPERSEDED)),
            2 => Reply::List(short(14)),
            _ => Reply::Unchanged(14),
        }
    });
    assert_eq!(known.borrow()[..4], [None, Some(1), None, Some(14)]);
}

/// Guards the same from an answer with changes that was asked for before: it was taken for the whole of its version.
#[test]
fn changes_asked_for_before_do_not_stand_for_a_list_that_was_superseded() {
    let known: Rc<RefCell<Vec<Option<u64>>>> = Rc::default();
    let asked = known.clone();
    let run = followed(WATCHES, 5, move |place, from| {
        asked.borrow_mut().push(from);
        match place {
            0 => Reply::List(short(1)),
            // Both are open at once; the later one answers first, and the earlier one is asked for changes.
            1 => Reply::Late(short(SUPERSEDED), Duration::from_millis(600)),
            2 => {
                Reply::Late(r#"{"seq":14,"whole":false,"hosts":[]}"#.to_string(), Duration::from_millis(200))
            }
            _ if from.is_none() => Reply::List(short(15)),
            _ => Reply::Unchanged(15),
        }
    });
    assert!(known.borrow()[3..].contains(&None), "{:?}", known.borrow());
    assert_eq!(run.received.versions().last(), Some(&15));
}

/// Guards discovery, and a relay that has no list yet, from whole lists that are asked for several times in a step.
#[test]
fn a_whole_list_is_asked_for_once_in_a_step() {
    let step = WATCHES.terms.budget().step.as_secs_f64();
    let gaps = followed(WATCHES, 4, |_, _| Reply::Silence).discovery.gaps();
    assert!(gaps.iter().all(|gap| *gap >= 0.95 * step), "{gaps:?}");
}

/// Guards answers that come late behind a silence: the questions of the silence keep no later one from being heard.
#[test]
fn a_late_answer_is_heard_though_many_questions_before_it_never_are() {
    for (late, within) in [(0.6, 1.3), (2.0, 2.7), (8.0, 26.0)] {
        let run = followed(WATCHES, 90, move |place, _| match place {
            0 => Reply::List(short(1)),
            1..=40 => Reply::Silence,
            _ => Reply::Late(short(2), Duration::from_secs_f64(late)),
        });
        assert_eq!(run.received.versions()[..2], [1, 2]);
        let back = run.discovery.asked.borrow()[41];
        let heard = (run.received.times.borrow()[1] - back).as_secs_f64();
        assert!(heard <= within, "an answer {late} s late was heard {heard} s behind the return");
    }
}

/// Guards answers from the ends of questions that were given up: each of those was waited out while an answer lay unread.
#[test]
fn an_answer_is_heard_as_it_comes_whatever_was_given_up_before() {
    let run = followed(WATCHES, 40, |place, _| match place {
        0 => Reply::List(short(1)),
        1..=10 => Reply::Silence,
        11..=14 => Reply::List(short(place as u64 - 9)),
        _ => Reply::Unchanged(5),
    });
    assert_eq!(run.received.versions(), [1, 2, 3, 4, 5]);
    let (asked, taken) = (run.discovery.asked.borrow(), run.received.times.borrow());
    let waited: Vec<Duration> =
        asked[11..15].iter().zip(&taken[1..]).map(|(asked, taken)| *taken - *asked).collect();
    assert!(waited.iter().all(|waited| *waited < Duration::from_millis(10)), "{waited:?}");
}

/// Guards whoever edits the list from not being told of entries that are left out.
#[test]
fn skipped_entries_are_told_once_a_list() {
    let bad = |host: &str| entry(host, "active").replace("10.1.0.1:5000", "nowhere");
    let list = whole(1, &[entry("a", "active"), bad("x"), bad("y")]);
    let run = followed(WATCHES, 10, move |_, from| match from {
        None => Reply::List(list.clone()),
        Some(seq) => Reply::Unchanged(seq),
    });
    assert_eq!(run.received.taken.borrow()[..], [(1, true, vec!["a".to_string()])]);
    told(
        &run,
        "discovery-entries-skipped",
        [("count", "2"), ("names", "x (bad `dial`), y (bad `dial`)"), ("target", "platform")],
    );
}

/// Guards messages from waiting while a long list is parsed: the event loop has its turn every few hundred entries.
#[test]
fn a_long_list_leaves_the_event_loop_its_turns() {
    let list = long(1, 50_000);
    let run = followed(How { cap: 10_000_000, ..WATCHES }, 10, move |_, from| match from {
        None => Reply::List(list.clone()),
        Some(seq) => Reply::Unchanged(seq),
    });
    assert_eq!(run.received.taken.borrow()[0].2.len(), 50_000);
    let (_, most) = run.received.in_turn.get();
    assert!(most <= 2 * 32 * 1024 / 130, "{most} entries in one turn");
}

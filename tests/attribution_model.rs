//! Which answers are known to be their call's, on connections that carry copies of earlier answers at any place.

mod seed;

use basaltloom::attribution::{Audit, Doubt, Exchanges, Fingerprint, Proof, Reuse, Sources, Verdict};
use hyper::{HeaderMap, StatusCode};
use proptest::prelude::*;
use proptest::test_runner::{Config, TestCaseError, TestRunner};

const SEC: u64 = 1_000_000_000;
const ENDPOINT: u32 = 7;

/// An answer with this status and body.
fn answer(status: u16, body: &str) -> Fingerprint {
    Fingerprint::of_head(StatusCode::from_u16(status).unwrap(), &HeaderMap::new()).with_body(body.as_bytes())
}

/// The answer to a call that asked to close the connection.
fn last_answer(status: u16, body: &str) -> Fingerprint {
    let headers = [("connection".parse().unwrap(), "close".parse().unwrap())].into_iter().collect();
    Fingerprint::of_head(StatusCode::from_u16(status).unwrap(), &headers).with_body(body.as_bytes())
}

/// A connection that carried these calls, each with its own answer.
fn connection(answers: &[Fingerprint]) -> Exchanges {
    let mut exchanges = Exchanges::default();
    for answer in answers {
        exchanges.requested();
        exchanges.answered(answer);
    }
    exchanges
}

/// One call on a connection: what its own answer reads like, and the earlier answers that come again before it.
#[derive(Clone, Debug)]
struct Planned {
    own: u8,
    copies: Vec<prop::sample::Index>,
}

fn planned() -> impl Strategy<Value = Vec<Planned>> {
    // Few different answers, so that honest ones often read alike.
    let call = (0u8..6, prop::collection::vec(any::<prop::sample::Index>(), 0..3));
    prop::collection::vec(call.prop_map(|(own, copies)| Planned { own, copies }), 1..12)
}

/// What comes on the connection first while a call is out is judged; it must be its own answer where it is taken for that.
fn play(calls: &[Planned], takes: impl Fn(&Exchanges, &Fingerprint) -> bool) -> Result<(), TestCaseError> {
    let mut exchanges = Exchanges::default();
    let mut earlier: Vec<Fingerprint> = Vec::new();
    for call in calls {
        exchanges.requested();
        let own = answer(if call.own < 3 { 200 } else { 503 }, &call.own.to_string());
        let copy = call.copies.first().filter(|_| !earlier.is_empty()).map(|copy| *copy.get(&earlier));
        let first = copy.unwrap_or(own);
        if !takes(&exchanges, &first) {
            return Ok(());
        }
        prop_assert!(copy.is_none(), "a copy was taken for the answer: {call:?}");
        exchanges.answered(&first);
        earlier.push(first);
    }
    Ok(())
}

fn runner() -> TestRunner {
    TestRunner::new(Config {
        cases: 20_000,
        rng_seed: seed::seed(),
        failure_persistence: None,
        ..Config::default()
    })
}

/// Guards every outcome: no copy of an earlier answer, wherever it comes, passes as the answer to the call that is out.
#[test]
fn no_copy_is_taken_for_the_answer_of_the_call_that_is_out() {
    let known = |exchanges: &Exchanges, print: &Fingerprint| exchanges.judge_whole(print).is_known();
    runner().run(&planned(), |calls| play(&calls, known)).unwrap();
}

/// Guards the oracle of the test above: credited by position alone, copies are taken for answers.
#[test]
fn answers_credited_by_position_alone_are_found_out() {
    assert!(runner().run(&planned(), |calls| play(&calls, |_, _| true)).is_err());
}

/// Guards what is decided of single answers.
#[test]
fn an_answer_is_known_where_it_is_the_first_or_reads_like_none_before() {
    let mut fresh = Exchanges::default();
    fresh.requested();
    assert_eq!(fresh.judge_whole(&answer(503, "")), Verdict::Known(Proof::First));
    let mut used = connection(&[answer(200, "a"), answer(429, "")]);
    used.requested();
    assert_eq!(used.judge_whole(&answer(200, "b")), Verdict::Known(Proof::Unlike));
    assert_eq!(used.judge_whole(&answer(200, "a")), Verdict::Doubtful(Doubt::Repeats));
    assert_eq!(used.judge_whole(&answer(429, "")), Verdict::Doubtful(Doubt::Repeats));
    assert_eq!(used.judge_whole(&last_answer(200, "a")), Verdict::Known(Proof::Unlike));
    // Of an answer that breaks off only a status that none had before says enough.
    assert_eq!(used.judge_status(200), Verdict::Doubtful(Doubt::Cut));
    assert_eq!(used.judge_status(500), Verdict::Known(Proof::Unlike));
    // No call is out, or an earlier one is without its answer.
    let idle = connection(&[answer(200, "a")]);
    assert_eq!(idle.judge_whole(&answer(200, "b")), Verdict::Doubtful(Doubt::OutOfStep));
    used.requested();
    assert!(!used.in_step());
}

/// Guards connections: what may not be repeated goes only where its answer will be known whatever it says; where
/// successes read alike a connection carries two calls; after a copy each call has one of its own for a minute.
#[test]
fn calls_share_a_connection_only_where_their_answers_can_be_told_apart() {
    let mut sources = Sources::default();
    assert_eq!([true, false].map(|r| sources.reuse(ENDPOINT, r, 0)), [Reuse::Yes, Reuse::No]);
    sources.known(ENDPOINT, &answer(200, "a"));
    sources.known(ENDPOINT, &answer(503, ""));
    sources.known(ENDPOINT, &answer(200, "b"));
    assert_eq!([true, false].map(|r| sources.reuse(ENDPOINT, r, 0)), [Reuse::Yes, Reuse::Yes]);
    let refused = connection(&[answer(200, "a"), answer(503, "")]);
    assert!(sources.may_carry(&refused, true) && !sources.may_carry(&refused, false));
    sources.known(ENDPOINT, &last_answer(200, "b"));
    assert_eq!([true, false].map(|r| sources.reuse(ENDPOINT, r, 0)), [Reuse::AsLast, Reuse::No]);
    // Where successes read alike, one that does is no sign of a copy, but for one that should have said that it is the last.
    sources.doubtful_success(ENDPOINT, false, 0);
    assert_eq!(sources.reuse(ENDPOINT, true, 0), Reuse::AsLast);
    sources.doubtful_success(ENDPOINT, true, 0);
    assert_eq!([true, false].map(|r| sources.reuse(ENDPOINT, r, 59 * SEC)), [Reuse::No, Reuse::No]);
    assert_eq!(sources.reuse(ENDPOINT, true, 61 * SEC), Reuse::AsLast);
    sources.surplus(ENDPOINT, 100 * SEC);
    assert_eq!(sources.reuse(ENDPOINT, true, 101 * SEC), Reuse::No);
}

/// Guards the run-time check: an outcome that rests on no answer, a doubtful one, or one out of step with the requests is a
/// violation, and is counted.
#[test]
fn what_rests_on_an_answer_that_is_not_known_is_a_violation() {
    let mut audit = Audit::default();
    assert!(audit.admits(Some(Verdict::Known(Proof::First)), 1));
    assert!(audit.admits(Some(Verdict::Known(Proof::Unlike)), 2));
    assert_eq!(audit.counts().violations, 0);
    assert!(!audit.admits(None, 1));
    assert!(!audit.admits(Some(Verdict::Doubtful(Doubt::Repeats)), 2));
    assert!(!audit.admits(Some(Verdict::Known(Proof::First)), 2));
    assert!(!audit.admits(Some(Verdict::Known(Proof::Unlike)), 1));
    assert_eq!(audit.counts().violations, 4);
    audit.judged(Verdict::Doubtful(Doubt::Cut));
    assert_eq!(audit.counts().doubtful.get(&Doubt::Cut), Some(&1));
}

/// Guards messages that are not over from the copy of a final answer: a connection that brought one carries no other call.
#[test]
fn a_connection_that_brought_a_final_answer_carries_no_other_call() {
    for status in [410, 504] {
        let carried = connection(&[answer(200, "a"), answer(status, "")]);
        assert!(!carried.in_step() && !carried.may_carry_more());
        assert!(!Sources::default().may_carry(&carried, true));
    }
    assert!(connection(&[answer(200, "a"), answer(429, "")]).in_step());
}

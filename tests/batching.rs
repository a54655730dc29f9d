//! Batching alone, free of I/O: what holds whatever comes, and the sizes that follow from what calls cost.

mod seed;

use basaltloom::batching::pace::{self, Arrivals, Cost};
use basaltloom::batching::{Former, Member, Pressure, Size, Terms};
use basaltloom::routing::{Attempt, Call};
use proptest::prelude::*;
use std::collections::BTreeMap;

const MS: u64 = 1_000_000;

#[derive(Clone, Debug)]
enum Step {
    /// The module releases so many at once, or one that goes alone.
    Release {
        hop: u32,
        count: usize,
        bytes: usize,
        alone: bool,
        aim: u64,
    },
    Wait(u64),
    Withdraw(usize),
    Recall(u32),
    Served {
        hop: u32,
        n: usize,
        took: u64,
    },
    WindUp,
}

fn step() -> impl Strategy<Value = Step> {
    let release = (0u32..3, 1usize..4, 0usize..400, prop::bool::weighted(0.2), 0u64..5_000);
    prop_oneof![
        8 => release.prop_map(|(hop, count, bytes, alone, aim)| Step::Release { hop, count, bytes, alone, aim }),
        6 => (0u64..60).prop_map(Step::Wait),
        2 => any::<usize>().prop_map(Step::Withdraw),
        1 => (0u32..3).prop_map(Step::Recall),
        2 => (0u32..3, 1usize..6, 1u64..900).prop_map(|(hop, n, took)| Step::Served { hop, n, took }),
        1 => Just(Step::WindUp),
    ]
}

/// What became of a member: when it was released, and how it left.
#[derive(Clone, Debug)]
struct Fate {
    member: Member,
    hop: u32,
    at: u64,
    left: bool,
}

struct World {
    former: Former,
    now: u64,
    members: BTreeMap<u64, Fate>,
    winding_up: bool,
}

const TERMS: Terms = Terms {
    messages: 5,
    bytes: 1_000,
    linger: 40 * MS,
    size: Size::Fixed,
    counts: basaltloom::batching::Counts::Calls,
    depth: 1,
    unsafe_shares: false,
};

impl World {
    fn leave(&mut self, attempt: &Attempt) -> Fate {
        let fate = self.members.get_mut(&attempt.transaction).expect("only what was released leaves");
        assert!(!fate.left, "it leaves once");
        fate.left = true;
        fate.clone()
    }

    fn go(&mut self, calls: Vec<Call>) {
        for call in calls {
            let fates: Vec<Fate> = call.attempts.iter().map(|b| self.leave(b)).collect();
            assert!(!fates.is_empty(), "no empty call goes");
            assert!(fates.iter().all(|f| f.hop == call.endpoint), "to the hop that the module chose");
            assert!(fates.len() <= 5, "no call over its messages");
            // What the module released together is its own to bound; what was added must fit.
            let together = fates.iter().all(|f| f.at == fates[0].at);
            let bytes: usize = fates.iter().map(|f| f.member.bytes).sum();
            assert!(together || bytes <= 1_000, "no call over its bytes: {bytes}");
            assert!(fates.len() == 1 || fates.iter().all(|f| !f.member.alone), "what goes alone goes alone");
            for (attempt, fate) in call.attempts.iter().zip(&fates) {
                let waited = self.now - fate.at;
                assert!(waited <= 40 * MS, "nothing lingers longer than it may");
                assert!(
                    waited == 0 || waited <= fate.member.aim_at.saturating_sub(fate.at),
                    "nor beyond its aim"
                );
                assert!(
                    attempt.timeout + waited == fate.member.attempt.timeout,
                    "its patience is so much shorter"
                );
            }
        }
    }

    fn step(&mut self, step: &Step) {
        match *step {
            Step::Release { hop, count, bytes, alone, aim } => {
                let first = self.members.len() as u64;
                let count = if alone { 1 } else { count };
                let members: Vec<Member> = (0..count as u64)
                    .map(|i| Member {
                        attempt: Attempt { transaction: first + i, number: 0, timeout: 500 * MS },
                        bytes,
                        aim_at: self.now + aim * MS,
                        alone,
                    })
                    .collect();
                for m in &members {
                    let fate = Fate { member: *m, hop, at: self.now, left: false };
                    self.members.insert(m.attempt.transaction, fate);
                }
                let calls = self.former.release(self.now, hop, members);
                self.go(calls);
                if alone || self.winding_up {
                    let last = self.members.len() as u64 - 1;
                    assert!(self.members[&last].left, "it goes at once");
                }
            }
            Step::Wait(ms) => {
                let until = self.now + ms * MS;
                while self.former.due() <= until {
                    self.now = self.now.max(self.former.due());
                    let calls = self.former.tick(self.now);
                    self.go(calls);
                }
                self.now = until;
            }
            Step::Withdraw(n) => {
                let waiting: Vec<u64> =
                    self.members.iter().filter(|(_, f)| !f.left).map(|(no, _)| *no).collect();
                let Some(no) = waiting.get(n % waiting.len().max(1)) else { return };
                let hop = self.former.find(*no).expect("what has not left waits");
                let attempt = self.former.withdraw(hop, *no, 0).expect("it is there");
                self.leave(&attempt);
            }
            Step::Recall(hop) => {
                for attempt in self.former.recall(self.now, hop) {
                    self.leave(&attempt);
                }
                assert!(
                    self.members.values().all(|f| f.left || f.hop != hop),
                    "nothing waits for it any more"
                );
            }
            Step::Served { hop, n, took } => {
                let took = (took % 5 > 0).then_some(took * MS);
                let pressure = Pressure { affordable: 2_000 * MS, waiting: n * 7 % 40, out: n };
                self.former.ended(self.now, hop, n, took, pressure);
                assert!((1..=5).contains(&self.former.size(hop)));
            }
            Step::WindUp => {
                self.winding_up = true;
                let calls = self.former.wind_up(self.now);
                self.go(calls);
                assert!(self.members.values().all(|f| f.left), "nothing waits any more");
            }
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, failure_persistence: None, rng_seed: seed::seed(), ..ProptestConfig::default() })]

    /// Guards what a former owes whatever comes: each attempt leaves it once, in a call or back; no call is over its
    /// bounds; what goes alone goes alone and at once; nothing lingers beyond its time, its aim or the end.
    #[test]
    fn whatever_comes_each_branch_leaves_once_and_within_bounds(
        adaptive in any::<bool>(),
        steps in prop::collection::vec(step(), 1..120),
    ) {
        let mut former = Former::new(6);
        let size = if adaptive { Size::Adaptive } else { Size::Fixed };
        (0..3).for_each(|hop| former.set(hop, Terms { size, ..TERMS }, 5));
        let mut world = World { former, now: 0, members: BTreeMap::new(), winding_up: false };
        steps.iter().for_each(|s| world.step(s));
        world.step(&Step::WindUp);
        prop_assert_eq!(world.former.due(), u64::MAX);
    }
}

fn seen(call: u64, item: u64, sizes: &[usize]) -> Cost {
    let mut cost = Cost::default();
    for n in sizes.iter().cycle().take(100) {
        cost.saw(*n, call + item * *n as u64);
    }
    cost
}

/// Guards the estimate: calls of different sizes tell the call's cost from the messages', calls of one size do not
/// and are believed to be mostly the call's.
#[test]
fn the_cost_of_calls_and_of_messages_is_told_apart_by_their_sizes() {
    for (call, item) in [(5 * MS, MS / 4), (50 * MS, 40 * MS), (500 * MS, 25 * MS)] {
        let (a, b) = seen(call, item, &[1, 2, 5, 9]).fit();
        let near = |seen: f64, real: u64| (seen - real as f64).abs() < 0.15 * (call + item) as f64;
        assert!(near(a, call) && near(b, item), "{a} and {b} for {call} and {item}");
    }
    let (a, b) = seen(90 * MS, 10 * MS, &[1]).fit();
    assert!((a + b - 100.0 * MS as f64).abs() < MS as f64 && b < a);
}

/// Guards slow partners: without pressure calls stay single, with it they grow only as far as keeps up, never beyond
/// what is left of the aim, and not at all where the messages cost all.
#[test]
fn calls_are_as_small_as_keeps_up_and_never_outlast_the_aim() {
    let cheap = seen(100 * MS, 10 * MS, &[1, 4, 8]);
    let singles = 12.0 / 0.110;
    // All slots are taken: only they hold up what comes.
    let full = |affordable: u64| Pressure { affordable: affordable * MS, waiting: 100, out: 12 };
    assert_eq!(pace::size(&cheap, 0.5 * singles, 12, full(2_000), 10), 1);
    let pressed = pace::size(&cheap, 2.0 * singles, 12, full(2_000), 10);
    assert!((3..=5).contains(&pressed), "{pressed}");
    assert_eq!(pace::size(&cheap, 100.0 * singles, 12, full(2_000), 10), 10);
    assert!(pace::size(&cheap, 100.0 * singles, 12, full(300), 10) <= 5, "half of what is left of the aim");
    let dear = seen(MS, 100 * MS, &[1, 4, 8]);
    assert!(pace::size(&dear, 1_000.0, 12, full(10_000), 10) <= 5);
    // A limit holds them up: what waits is spread over the few calls that go, as far as the aim allows.
    let limited = |waiting, out| Pressure { affordable: 2_000 * MS, waiting, out };
    assert_eq!(pace::size(&cheap, 0.5 * singles, 12, limited(0, 2), 10), 1);
    assert_eq!(pace::size(&cheap, 0.5 * singles, 12, limited(9, 2), 10), 5);
    assert_eq!(pace::size(&cheap, 0.5 * singles, 12, limited(90, 2), 10), 10);
    let dear = pace::size(&dear, 1.0, 12, Pressure { affordable: 800 * MS, ..limited(90, 1) }, 10);
    assert!((2..=5).contains(&dear), "half of what is left of the aim: {dear}");
    assert_eq!(pace::linger(&cheap, 0.5 * singles, 12, 4, 2_000 * MS, 50 * MS), 0, "no pressure, no wait");
    let wait = pace::linger(&cheap, 2.0 * singles, 12, 4, 2_000 * MS, 50 * MS);
    assert!(wait > 0 && wait <= 50 * MS);
}

/// Guards the rate: it follows what comes within about a second, and forgets.
#[test]
fn the_rate_follows_what_comes() {
    let mut arrivals = Arrivals::default();
    (0..300u64).for_each(|i| arrivals.came(i * 10 * MS, 1));
    let rate = arrivals.rate(3_000 * MS);
    assert!((rate - 100.0).abs() < 8.0, "{rate}");
    assert!(arrivals.rate(10_000 * MS) < 1.0);
}

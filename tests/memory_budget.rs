//! The memory budget alone: what each holder may draw, whatever the others want.

use basaltloom::memory::{
    Allowance, Holder, MemoryBudget, MemoryLimits, MemoryPlan, CONNECTION_BYTES, SMALL_BYTES,
};
use proptest::prelude::*;

fn limits(relay_mb: u64) -> MemoryLimits {
    MemoryLimits { relay: relay_mb * 1_000_000, files: 3_000_000, sockets: 1_024, may_hand_over: true }
}

proptest! {
    /// Guards the sum: whatever is drawn and given back, all that is drawn stays within the plan, and no holder takes the part
    /// that is kept for another.
    #[test]
    fn draws_stay_within_the_plan(steps in prop::collection::vec((0usize..7, 0u64..9_000_000, any::<bool>()), 1..200)) {
        let plan = MemoryPlan::within(limits(96), 0);
        let budget = MemoryBudget::new(plan);
        let mut drawn = Vec::new();
        for (holder, bytes, gives_back) in steps {
            let holder = Holder::ALL[holder];
            if gives_back {
                drawn.pop();
            }
            drawn.extend(budget.draw(holder, bytes));
            prop_assert!(!budget.is_exceeded());
            for other in Holder::ALL {
                let kept = plan.reserved[other as usize];
                prop_assert!(budget.held(other) >= kept || budget.left(other) >= kept - budget.held(other));
            }
        }
        drop(drawn);
        prop_assert_eq!(budget.held_in_all(), 0);
    }
}

/// Guards the plan at the least memory that the pages name, and with another process beside: parts never add up to more than
/// there is, and as many connections as descriptors fit.
#[test]
fn plans_add_up_and_leave_room_for_all_connections() {
    for relay_mb in [1, 16, 32, 96, 192, 2_048] {
        for other in [0, 20_000_000, 90_000_000] {
            let plan = MemoryPlan::within(limits(relay_mb), other);
            let kept: u64 = plan.reserved.iter().sum();
            assert!(
                kept <= plan.total.max(64 * CONNECTION_BYTES) + plan.total,
                "{relay_mb} {other}: {plan:?}"
            );
            assert!(plan.total <= relay_mb * 1_000_000 / 4 * 3);
            let fits = plan.total == 0 || plan.total + other <= relay_mb * 1_000_000;
            assert!(fits, "{relay_mb} {other}: {plan:?}");
            assert!(other > 0 || relay_mb < 16 || plan.files() > 500_000, "{relay_mb} {other}: {plan:?}");
        }
    }
    let plan = MemoryPlan::within(limits(96), 0);
    assert!(plan.reserved.iter().sum::<u64>() <= plan.total, "{plan:?}");
    assert!(plan.connections() >= 1_024 && plan.files() == 3_000_000, "{plan:?}");
}

/// Guards what is read: a small part draws nothing, more is drawn as it grows, and refused where nothing is left.
#[test]
fn an_answer_draws_as_it_grows() {
    let budget = MemoryBudget::new(MemoryPlan { total: 40_000, reserved: [0; 7] });
    let allowance = Allowance::for_answers(Some(budget.clone()));
    assert!(allowance.covers(SMALL_BYTES));
    assert_eq!(budget.held(Holder::Answers), 0);
    assert!(allowance.covers(30_000) && allowance.covers(10_000));
    assert_eq!(budget.held(Holder::Answers), 30_000);
    let _body = budget.draw(Holder::KnownBodies, 10_000).expect("what is left");
    assert!(!allowance.covers(30_001));
    assert_eq!(budget.refused(Holder::Answers), 1);
    allowance.reset();
    assert_eq!(budget.held_in_all(), 10_000);
    // What is booked is not refused, and found out where it is too much.
    budget.book(Holder::Messages, 40_000);
    assert!(budget.is_exceeded() && budget.draw(Holder::OtherBodies, 1).is_none());
}

//! A small fleet: the program's processes beside hollow relays, with a list of a thousand destinations. The large form is
//! `cargo bench --bench scale -- fleet`.

#[path = "mod.rs"]
mod scale;

use scale::fleet::{FleetPlan, FleetRig, JOINED};
use std::time::Duration;

/// A change of the configuration is in force everywhere within this time.
const IN_FORCE_WITHIN: Duration = Duration::from_secs(8);
/// For all to agree on who is there: wide, as a busy machine stretches everything.
const AGREED_WITHIN: Duration = Duration::from_secs(30);
const CHANGES: usize = 3;
/// A zone with a real relay and hollow ones in it.
const ZONE: usize = JOINED;

/// Guards a fleet as a whole: all know all, the list is known everywhere, each change is in force at all in time, and all
/// learn that a zone's relays are gone.
#[test]
fn a_small_fleet_agrees_and_takes_changes_in() {
    let plan = FleetPlan { real: 3, hollow: 60, entries: 1_000, threads: 2, seed: 1 };
    let mut fleet = FleetRig::new(plan);
    fleet.start_all();
    assert_eq!(fleet.until_lists_known(AGREED_WITHIN), plan.real, "real relays that know their list");
    let (agreed, agreeing) = fleet.until_agreed(AGREED_WITHIN);
    assert!(agreed.is_some(), "{agreeing} of {} agree after a start", fleet.relays());
    for number in 0..CHANGES {
        let (real, hollow) = fleet.change(IN_FORCE_WITHIN);
        assert!(real.is_some_and(|at| at.last < IN_FORCE_WITHIN), "change {number} at real relays: {real:?}");
        assert!(
            hollow.is_some_and(|at| at.last < IN_FORCE_WITHIN),
            "change {number} at hollow ones: {hollow:?}"
        );
    }
    let zone = fleet.of_zone(ZONE);
    assert!(zone.len() > 1 && zone[0] == JOINED, "a real relay and others are in the zone");
    zone.iter().for_each(|relay| fleet.kill(*relay));
    let (agreed, agreeing) = fleet.until_agreed(AGREED_WITHIN);
    let left = fleet.relays() - zone.len();
    assert!(agreed.is_some(), "{agreeing} of {left} agree that a zone is gone");
}

//! Outages over kills and upgrades, of endpoints that the configuration's list has or has not.

use crate::world::*;

/// The endpoints are those of the file's list, newer than that, or replaced in the outage.
const REPLACED_EARLY: &str = "at -16000; list +n1 +n2 -s1 -s2";
const BEFORE: [&str; 3] = ["", REPLACED_EARLY, "at -6000; list +n1 +n2 -s1 -s2"];

const THEN: [&str; 9] = [
    "at -400; kill",
    "at -400; kill; after 600; kill",
    "at 2000; kill; after 600; kill",
    "at -400; silent; kill; after 1500; hear",
    "at -2000; silent; kill; at 1000; kill; at 3000; hear",
    "at -400; kill; list +m1 +m2 -n1 -n2 -s1 -s2",
    "at 1500; list +m1; after 600; kill",
    "at -100; upgrade; list +m1",
    "at 1000; upgrade; after 50; kill",
];

/// Guards a destination that is cold from a process that is killed and started again: what the list at hand did not name at that
/// moment had its outage forgotten, and got the whole backlog.
#[test]
fn a_start_knows_the_outage_of_a_destination_whatever_its_list_says() {
    for before in BEFORE {
        for then in THEN {
            for seed in 0..4 {
                let scenario = format!("{before}; {then}; at 9000");
                World::check("kills", &scenario, Terms { seed, ..Terms::default() });
            }
        }
    }
}

/// Guards endpoints that operators restart, newer than the file's list: a kill right behind the yes forgot that they come back
/// cold.
#[test]
fn endpoints_that_are_back_in_service_are_cold_over_a_kill() {
    let restarted = "at -9000; cordon n1; cordon n2; at 0; uncordon n1; uncordon n2; kill; at 9000";
    for seed in 0..3 {
        let scenario = format!("{REPLACED_EARLY}; {restarted}");
        World::check("uncordoned", &scenario, Terms { seed, ..Terms::default() });
    }
}

/// Guards a process that follows one of a version that knew of no outages of destinations: its journal has the names of
/// endpoints alone, and what it hands over tells how these stand.
#[test]
fn a_process_behind_an_older_version_goes_by_its_endpoints() {
    for then in ["at -400; kill", "at 100; upgrade; list +m1"] {
        for seed in 0..3 {
            let mut world = World::new("older", Terms { seed, ..Terms::default() });
            world.list_after = 0;
            world.change_folder = |journal| journal.note_destination_outage(DESTINATION, None).unwrap();
            world.play(&format!("{REPLACED_EARLY}; {then}; at 9000"));
            world.check_worst(&format!("seed {seed}: {then}"));
        }
    }
}

/// Guards an endpoint that is a route of its own and has left the list for a moment: a kill meanwhile forgot its outage.
#[test]
fn the_outage_of_a_route_apart_is_known_over_a_kill_while_it_is_not_listed() {
    for seed in 0..3 {
        let mut world = World::new("left", Terms { seed, apart: true, ..Terms::default() });
        world.play("at -3000; list -s1 -s2; at -1000; kill; at 0; list +s1 +s2; at 9000");
        for name in ["s1", "s2"] {
            let (count, most) = world.worst_of(20.0, |other| other == name);
            assert!(count as f64 <= most, "seed {seed}, {name}: {count} calls, {most:.1} are borne");
        }
    }
}

/// Guards the folder: an outage is let go of once it is over, or once its destination has had no endpoint for long, also by a
/// process that met it as a record alone.
#[test]
fn an_outage_is_recorded_until_it_is_over() {
    let mut world = World::new("record", Terms::default());
    world.play(&format!("{REPLACED_EARLY}; at -1000"));
    let recorded = world.recorded_outages();
    assert!(recorded.destinations[&DESTINATION] > 10.0, "it served up to 30 a second: {recorded:?}");
    assert!(recorded.endpoints.contains_key("n1"));
    world.play("at 24000");
    assert_eq!(world.recorded_outages(), Default::default());

    let mut world = World::new("gone", Terms::default());
    world.play(&format!("{REPLACED_EARLY}; at -2000; list -n1 -n2; kill"));
    assert!(world.recorded_outages().destinations.contains_key(&DESTINATION));
    for _ in 0..16 {
        world.play("after 60000");
        world.hand_in(OTHER);
    }
    assert_eq!(world.recorded_outages(), Default::default(), "its destination has long had no endpoint");
}

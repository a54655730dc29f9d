//! Outages over kills, planned ends and upgrades, of endpoints that the configuration's list has or has not.

use crate::world::*;
use basaltloom::routing::handover::Operation;

/// Its endpoints are replaced long before the outage, so that the list of the configuration is out of date.
fn replace_early(world: &mut World) {
    world.run_until(START + 2 * SEC);
    world.list(&[active("n1"), active("n2"), left("s1"), left("s2")]);
}

/// Its endpoints are replaced as it is about to come back.
fn replace_late(world: &mut World) {
    world.run_until(BACK - 6 * SEC);
    world.list(&[active("n1"), active("n2"), left("s1"), left("s2")]);
}

type Step = fn(&mut World);

const BEFORE: [(&str, Step); 3] = [
    ("newer than the file's list", replace_early),
    ("replaced in the outage", replace_late),
    ("of the file's list", |_| ()),
];

const THEN: [(&str, Step); 9] = [
    ("killed at the return", |world| {
        world.run_until(BACK - 400 * MS);
        world.kill_and_start();
    }),
    ("killed twice", |world| {
        world.run_until(BACK - 400 * MS);
        world.kill_and_start();
        world.run_until(world.now + 600 * MS);
        world.kill_and_start();
    }),
    ("killed in the warming, and again", |world| {
        world.run_until(BACK + 2 * SEC);
        world.kill_and_start();
        world.run_until(world.now + 600 * MS);
        world.kill_and_start();
    }),
    ("killed, with discovery silent behind it", |world| {
        world.run_until(BACK - 400 * MS);
        world.is_silent = true;
        world.kill_and_start();
        world.run_until(world.now + 1_500 * MS);
        world.hear_whole_list();
    }),
    ("killed twice, with discovery silent for long", |world| {
        world.run_until(BACK - 2 * SEC);
        world.is_silent = true;
        world.kill_and_start();
        world.run_until(BACK + SEC);
        world.kill_and_start();
        world.run_until(BACK + 3 * SEC);
        world.hear_whole_list();
    }),
    ("killed, and all are replaced behind it", |world| {
        world.run_until(BACK - 400 * MS);
        world.kill_and_start();
        world.list(&[active("m1"), active("m2"), left("n1"), left("n2"), left("s1"), left("s2")]);
    }),
    ("one is added in the warming, and it is killed", |world| {
        world.run_until(BACK + 1_500 * MS);
        world.list(&[active("m1")]);
        world.run_until(world.now + 600 * MS);
        world.kill_and_start();
    }),
    ("upgraded, and one is added", |world| {
        world.run_until(BACK - 100 * MS);
        world.upgrade();
        world.list(&[active("m1")]);
    }),
    ("upgraded, then killed", |world| {
        world.run_until(BACK + SEC);
        world.upgrade();
        world.run_until(world.now + 50 * MS);
        world.kill_and_start();
    }),
];

/// Guards a destination that is cold from a process that is killed and started again: what the list at hand did not name at that
/// moment had its outage forgotten, and got the whole backlog.
#[test]
fn a_start_knows_the_outage_of_a_destination_whatever_its_list_says() {
    for (what, before) in BEFORE {
        for (how, then) in THEN {
            for seed in 0..3 {
                let mut world = World::new("kills", Terms { seed, ..Terms::default() });
                before(&mut world);
                then(&mut world);
                world.run_until(WARM);
                world.check(&format!("endpoints {what}, {how}, seed {seed}"));
            }
        }
    }
}

/// Guards a start over the journal of a version that knew of no outages of destinations: it has the names of endpoints alone.
#[test]
fn a_start_over_an_older_journal_waits_for_the_list_to_name_its_endpoints() {
    for seed in 0..3 {
        let mut world = World::new("older", Terms { seed, ..Terms::default() });
        replace_early(&mut world);
        world.run_until(BACK - 400 * MS);
        world.list_after = 0;
        world.change_folder_at_kill = |journal| journal.note_destination_outage(DESTINATION, None).unwrap();
        world.kill_and_start();
        world.run_until(WARM);
        world.check(&format!("seed {seed}"));
    }
}

/// Guards endpoints that operators restart, newer than the file's list: a kill right behind the yes forgot that they come back
/// cold.
#[test]
fn endpoints_that_are_back_in_service_are_cold_over_a_kill() {
    for seed in 0..3 {
        let mut world = World::new("uncordoned", Terms { seed, ..Terms::default() });
        replace_early(&mut world);
        world.run_until(DOWN + SEC);
        for name in ["n1", "n2"] {
            world.operate(Operation::Cordon(name.to_string()));
        }
        world.run_until(BACK);
        for name in ["n1", "n2"] {
            world.operate(Operation::Uncordon(name.to_string()));
        }
        world.kill_and_start();
        world.run_until(WARM);
        world.check(&format!("seed {seed}"));
    }
}

/// Guards an endpoint that is a route of its own and has left the list for a moment: a kill meanwhile forgot its outage.
#[test]
fn the_outage_of_a_route_apart_is_known_over_a_kill_while_it_is_not_listed() {
    for seed in 0..3 {
        let mut world = World::new("left", Terms { seed, apart: true, ..Terms::default() });
        world.run_until(BACK - 3 * SEC);
        world.list(&[left("s1"), left("s2")]);
        world.run_until(BACK - SEC);
        world.kill_and_start();
        world.run_until(BACK);
        world.list(&[active("s1"), active("s2")]);
        world.run_until(WARM);
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
    replace_early(&mut world);
    world.run_until(BACK - SEC);
    let recorded = world.recorded_outages();
    assert!(recorded.destinations.contains_key(&DESTINATION) && recorded.endpoints.contains_key("n1"));
    assert!(recorded.destinations[&DESTINATION] > 10.0, "it served up to 30 a second: {recorded:?}");
    world.run_until(WARM + 15 * SEC);
    assert_eq!(world.recorded_outages(), Default::default());

    let mut world = World::new("gone", Terms::default());
    replace_early(&mut world);
    world.run_until(BACK - 2 * SEC);
    world.list(&[left("n1"), left("n2")]);
    world.kill_and_start();
    assert!(world.recorded_outages().destinations.contains_key(&DESTINATION));
    for minute in 1..=16 {
        world.run_until(BACK + minute * 60 * SEC);
        world.hand_in(OTHER);
    }
    assert_eq!(world.recorded_outages(), Default::default(), "its destination has long had no endpoint");
}

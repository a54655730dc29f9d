//! Endpoints that come to a destination while it is in an outage, or on its way back from one.

use crate::world::*;

/// Ways in which endpoints come: what happens before the outage, and how they come.
const WAYS: [(&str, &str); 8] = [
    ("", "list +n1"),
    ("", "list +n1 +n2 +n3 +n4"),
    ("", "list +n1 ~s1"),
    ("", "list +n1 +n2 ~s1 ~s2"),
    ("", "list -s1 -s2 +n1 +n2"),
    // From another destination.
    ("", "list +o1"),
    ("list ~s2", "list +s2"),
    ("cordon s2", "uncordon s2"),
];

/// When they come, in milliseconds from the return on.
const COMES: [i64; 5] = [-4_000, -300, 0, 1_000, 3_000];

/// Guards a destination that is cold from an endpoint that comes to it then: it got the whole backlog at once, since an outage
/// was kept by the endpoints that had shown it.
#[test]
fn a_new_endpoint_of_a_cold_destination_begins_cold() {
    for (before, comes) in WAYS {
        for after in COMES {
            for seed in 0..2 {
                let scenario = format!("at -12000; {before}; at {after}; {comes}; at 9000");
                World::check("joins", &scenario, Terms { seed, ..Terms::default() });
            }
        }
    }
}

/// Guards a large destination from many endpoints that come in its warming: each of them had a part of the cold budget beside
/// those of the others.
#[test]
fn endpoints_that_come_to_a_cold_destination_share_what_it_bears() {
    let comes: Vec<String> = (0..12).map(|n| format!("+n{n}")).collect();
    let scenario = format!("at 1000; list {}; at 9000", comes.join(" "));
    for seed in 0..4 {
        World::check("share", &scenario, Terms { seed, capacity: 200.0, ..Terms::default() });
    }
}

/// Guards a destination of which one endpoint is down while another one serves from being taken for cold.
#[test]
fn an_endpoint_that_is_down_beside_one_that_serves_holds_no_new_one_back() {
    for seed in 0..2 {
        let mut world = World::new("beside", Terms { seed, ..Terms::default() });
        world.sick = Some("s1");
        world.play("at -7000; list +n1; after 1000");
        let calls = world.calls_between(world.now - SEC, world.now, |name| name == "n1");
        assert!(calls >= 10, "{calls} calls to the new endpoint in its first second, of some 30");
    }
}

/// Guards routes apart: each has its own outage. A new one is sound while the others are down, and those stay cold.
#[test]
fn where_routes_are_apart_an_outage_is_that_of_one_endpoint() {
    let mut world = World::new("apart", Terms { apart: true, ..Terms::default() });
    world.sick = Some("s1");
    world.play("at -7000; list ~s2; list +n1; after 1000");
    let calls = world.calls_between(world.now - SEC, world.now, |name| name == "n1");
    assert!(calls >= 20, "{calls} calls to the new endpoint in its first second, of some 30");
    world.run_until(WARM);
    let (count, most) = world.worst_of(20.0, |name| name == "s1");
    assert!(count as f64 <= most, "{count} calls to the endpoint that was down, {most:.1} are borne");
}

/// Guards an endpoint that comes once its destination is warm again from an outage that nobody ended.
#[test]
fn an_outage_is_over_once_its_destination_is_warm() {
    let mut world = World::new("over", Terms::default());
    world.play("at 13000; list +n1 ~s1 ~s2; after 1000");
    let calls = world.calls_between(world.now - SEC, world.now, |name| name == "n1");
    assert!(calls >= 20, "{calls} calls to the new endpoint in its first second, of some 30");
}

//! Tags and pace with numbers worked by hand.

use super::records::{filled, Flow, Route};

/// The paper's example of theorem 1: weights 0.01 then 0.5, unit cost, virtual time 2.
#[test]
fn a_weight_change_moves_the_next_start_tag_as_by_equations_9_to_11() {
    let mut f = Flow::new(1.0);
    f.last_start = 0.0;
    f.tags.extend([(100.0, 200.0), (200.0, 300.0)]);
    f.phi = 0.5;
    f.retag(1.0, 2.0);
    // (9) F = 0 + 1/0.5 = 2; (10) S = max(2, 2) = 2; (11) F = 4; then S = 4, F = 6.
    assert_eq!(Vec::from(f.tags.clone()), [(2.0, 4.0), (4.0, 6.0)]);
    assert_eq!(f.last_finish, 6.0);
    // A lower weight moves them back: F = 0 + 1/0.1 = 10 and so on.
    f.phi = 0.1;
    f.retag(1.0, 2.0);
    assert_eq!(Vec::from(f.tags.clone()), [(10.0, 20.0), (20.0, 30.0)]);
}

#[test]
fn virtual_time_past_the_finish_tag_sets_the_start_tag() {
    let mut f = Flow::new(1.0);
    f.last_start = 3.0;
    f.tags.push_back((9.0, 10.0));
    f.retag(1.0, 7.0);
    assert_eq!(f.tags[0], (7.0, 8.0), "max(7, 3 + 1)");
}

#[test]
fn a_pace_of_two_a_second_lets_a_call_go_each_half_second_and_saves_up_one() {
    let r = Route { filled: 1_000_000_000, ..Route::default() };
    assert_eq!(filled(&r, 2.0, 1_250_000_000), 0.5);
    assert_eq!(filled(&r, 2.0, 1_500_000_000), 1.0);
    assert_eq!(filled(&r, 2.0, 9_000_000_000), 1.0);
}

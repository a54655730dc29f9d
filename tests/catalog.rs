//! The endpoint catalog alone: what a list changes, in which pieces, and what is forgotten when.

mod seed;

use basaltloom::catalog::{
    Applied, Endpoint, EndpointCatalog, EndpointId, EndpointState, EndpointUpdate, PendingUpdate, Piece,
    Progress, MOST_IN_A_PIECE, MOST_MOVED_TOGETHER,
};
use basaltloom::fleet::record;
use proptest::prelude::*;
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};

const SEC: u64 = 1_000_000_000;
const REMEMBERED: u64 = 30 * SEC;

fn endpoint(name: &str, dest: u64, state: EndpointState) -> Endpoint {
    Endpoint {
        id: 0,
        name: name.to_string(),
        address: "127.0.0.1:80".parse().unwrap(),
        dest,
        kind: 0,
        zone: 0,
        state,
        share: 1.0,
        terms: None,
    }
}

fn active(name: &str, dest: u64) -> Endpoint {
    endpoint(name, dest, EndpointState::Active)
}

/// So many endpoints, `each` of them to a destination.
fn many(count: u64, each: u64) -> Vec<Endpoint> {
    (0..count).map(|i| active(&format!("s-{i:08x}"), i / each)).collect()
}

fn pending(catalog: &EndpointCatalog, whole: bool, list: &[Endpoint]) -> PendingUpdate {
    let mut draft = catalog.begin();
    list.iter().for_each(|e| draft.entry(catalog, e.clone()));
    draft.complete(whole)
}

fn next(pending: &mut PendingUpdate, catalog: &EndpointCatalog) -> Option<Piece> {
    loop {
        match pending.advance(catalog) {
            Progress::Looking => {}
            Progress::Piece(piece) => return Some(piece),
            Progress::Done => return None,
        }
    }
}

/// Puts a list in force; what each piece changed.
fn learn(catalog: &mut EndpointCatalog, now: u64, whole: bool, list: &[Endpoint]) -> Vec<Applied> {
    let mut pending = pending(catalog, whole, list);
    let mut applied = Vec::new();
    while let Some(piece) = next(&mut pending, catalog) {
        applied.push(catalog.apply(now, piece));
    }
    while !catalog.forget_due(now).endpoints.is_empty() {}
    applied
}

fn changed(applied: &[Applied]) -> Vec<EndpointId> {
    applied.iter().flat_map(|a| a.changed.iter().copied()).collect()
}

/// Guards against work for what is known already: a list that repeats it has no piece.
#[test]
fn a_whole_list_that_repeats_what_is_known_changes_nothing() {
    let mut catalog = EndpointCatalog::default();
    let list = many(1_000, 4);
    assert_eq!(changed(&learn(&mut catalog, 0, true, &list)).len(), 1_000);
    assert!(learn(&mut catalog, SEC, true, &list).is_empty());
    let gone: Vec<Endpoint> = list[..999].to_vec();
    learn(&mut catalog, 2 * SEC, true, &gone);
    assert!(learn(&mut catalog, 3 * SEC, true, &gone).is_empty(), "what has left stays so");
}

/// Guards that a change costs what it changes: of a list only the entries that differ come out, each kind of difference.
#[test]
fn only_entries_that_differ_are_changed() {
    let mut catalog = EndpointCatalog::default();
    let mut list = many(500, 4);
    learn(&mut catalog, 0, true, &list);
    list[7].state = EndpointState::Leaving;
    list[90].share = 2.0;
    list[91].address = "[::1]:80".parse().unwrap();
    list[92].kind = usize::MAX;
    list[93].zone = 3;
    list[94].terms = Some(basaltloom::Terms { most_out: 2, ..basaltloom::Terms::default() });
    let ids = changed(&learn(&mut catalog, SEC, true, &list));
    let names: Vec<&str> = ids.iter().map(|id| catalog.get(*id).unwrap().name).collect();
    assert_eq!(names, [7, 90, 91, 92, 93, 94].map(|i| list[i].name.as_str()));
    for (id, i) in ids.iter().zip([7, 90, 91, 92, 93, 94]) {
        let expected = Endpoint { id: *id, ..list[i].clone() };
        assert_eq!(catalog.get(*id).unwrap().to_endpoint(), expected);
    }
}

/// Guards a name that a list has twice: the last one stands, and counts once, also where it says what is known.
#[test]
fn of_two_entries_under_one_name_the_last_stands_and_counts_once() {
    let mut catalog = EndpointCatalog::default();
    let leaving = |dest| endpoint("a", dest, EndpointState::Leaving);
    let ids = changed(&learn(&mut catalog, 0, true, &[active("a", 1), active("b", 1), leaving(2)]));
    assert_eq!(ids.len(), 2);
    let a = catalog.find("a").unwrap();
    assert_eq!(catalog.get(a).map(|e| (e.dest, e.state)), Some((2, EndpointState::Leaving)));
    assert!(learn(&mut catalog, 1, false, &[active("a", 1), leaving(2)]).is_empty());
    assert_eq!(changed(&learn(&mut catalog, 2, false, &[active("a", 2), active("a", 2)])), [a]);
    // It was counted once for each destination: nothing is left of it after it has gone.
    learn(&mut catalog, 3, true, &[active("b", 1)]);
    learn(&mut catalog, 3 + REMEMBERED, false, &[]);
    assert!(!catalog.has(2) && catalog.has(1) && catalog.find("a").is_none());
}

/// Guards a list that shrinks to nothing: all leave, are remembered for a while, and then nothing is held of them.
#[test]
fn a_list_that_shrinks_to_nothing_leaves_nothing_behind() {
    let mut catalog = EndpointCatalog::default();
    learn(&mut catalog, 0, true, &many(5_000, 4));
    let applied = learn(&mut catalog, SEC, true, &[]);
    assert_eq!(changed(&applied).len(), 5_000);
    assert!(applied.iter().all(|a| a.changed.len() <= MOST_IN_A_PIECE));
    assert!(catalog.iter().all(|e| e.state == EndpointState::Left));
    assert_eq!(catalog.due(), SEC + REMEMBERED);
    assert!(catalog.forget_due(SEC + REMEMBERED - 1).endpoints.is_empty());
    let (mut now, mut steps) = (SEC + REMEMBERED, 0);
    while catalog.due() < u64::MAX {
        now = now.max(catalog.due());
        let forgotten = catalog.forget_due(now);
        assert!((1..=256).contains(&forgotten.endpoints.len()), "{}", forgotten.endpoints.len());
        steps += 1;
    }
    assert!(steps >= 5_000 / 256, "some at a time");
    assert_eq!(catalog.iter().count(), 0);
    assert!(many(5_000, 4).iter().all(|e| catalog.find(&e.name).is_none() && !catalog.has(e.dest)));
    assert!(catalog.serves(0), "a relay without a list cannot tell");
}

/// Guards the number of one that comes back: its own within 30 s, else one never given before, whether or not anything
/// was learned meanwhile.
#[test]
fn what_comes_back_in_time_keeps_its_number() {
    let mut catalog = EndpointCatalog::default();
    let both = [active("a", 1), active("b", 1)];
    learn(&mut catalog, 0, true, &both);
    let (a, b) = (catalog.find("a").unwrap(), catalog.find("b").unwrap());
    learn(&mut catalog, SEC, true, &both[1..]);
    assert_eq!(changed(&learn(&mut catalog, 30 * SEC, true, &both)), [a]);
    learn(&mut catalog, 40 * SEC, true, &both[1..]);
    let again = changed(&learn(&mut catalog, 70 * SEC, true, &both));
    assert!(again.len() == 1 && again[0] > a.max(b), "{again:?}");
    assert_eq!(catalog.find("a"), Some(again[0]));
    assert!(catalog.get(a).is_none());
    assert_eq!(catalog.due(), u64::MAX, "nothing of it is still to be forgotten");
}

/// Guards against a destination that is half of one list and half of the next: its entries come in one piece, with
/// those of the destinations that its endpoints come from and go to, however these hang together.
#[test]
fn destinations_between_which_endpoints_move_change_together() {
    let mut catalog = EndpointCatalog::default();
    let mut list = many(4_000, 4);
    learn(&mut catalog, 0, true, &list);
    // 1 -> 900 -> 30, of which 30 also loses one; all others get another weight, and one of each drains.
    list.iter_mut().for_each(|e| e.share = 2.0);
    list.iter_mut().step_by(4).for_each(|e| e.state = EndpointState::Leaving);
    list[4].dest = 900;
    list[3_600].dest = 30;
    let lost = list.remove(121);
    let mut pending = pending(&catalog, true, &list);
    let (mut seen, mut together) = (HashSet::new(), 0);
    while let Some(piece) = next(&mut pending, &catalog) {
        assert!(piece.len() <= MOST_IN_A_PIECE);
        let dests: BTreeSet<u64> = piece.dests().collect();
        assert!(dests.iter().all(|dest| seen.insert(*dest)), "no destination comes twice");
        let lost = piece.departures().iter().any(|id| catalog.get(*id).unwrap().name == lost.name);
        if [1, 900, 30].iter().any(|dest| dests.contains(dest)) || lost {
            assert!([1, 900, 30].iter().all(|dest| dests.contains(dest)) && lost, "{dests:?}");
            together += 1;
        }
        catalog.apply(SEC, piece);
    }
    assert_eq!((together, seen.len()), (1, 1_000));
}

/// Guards the messages that wait while all endpoints move at once, each destination's to the next: such a chain has no
/// end, and is cut.
#[test]
fn a_chain_of_moves_is_cut_where_it_grows_too_long() {
    let mut catalog = EndpointCatalog::default();
    learn(&mut catalog, 0, true, &many(20_000, 4));
    let list = many(20_000, 5);
    let mut pending = pending(&catalog, true, &list);
    let mut pieces = 0;
    while let Some(piece) = next(&mut pending, &catalog) {
        assert!(piece.len() <= MOST_MOVED_TOGETHER, "{}", piece.len());
        catalog.apply(SEC, piece);
        pieces += 1;
    }
    assert!(pieces >= 20_000 / MOST_MOVED_TOGETHER);
    assert!(list.iter().all(|e| catalog.get(catalog.find(&e.name).unwrap()).unwrap().dest == e.dest));
}

/// Guards the time in which a drain binds: destinations with drains and departures come before all others.
#[test]
fn drains_and_departures_come_first() {
    let mut catalog = EndpointCatalog::default();
    let mut list = many(4_000, 4);
    learn(&mut catalog, 0, true, &list);
    list.iter_mut().for_each(|e| e.share = 2.0);
    list[3_999].state = EndpointState::Leaving;
    list.remove(3_500);
    let mut pending = pending(&catalog, true, &list);
    let first = next(&mut pending, &catalog).unwrap();
    let dests: BTreeSet<u64> = first.dests().collect();
    assert!(dests.contains(&999) && dests.contains(&875), "{dests:?}");
    assert_eq!(first.departures().len(), 1);
    // 4,370 that go at once: a third of a second is for all of them.
    let mut catalog = EndpointCatalog::default();
    let list = many(10_000, 2);
    learn(&mut catalog, 0, true, &list);
    let mut next_list: Vec<Endpoint> = list[4_370..].to_vec();
    next_list.iter_mut().for_each(|e| e.share = 2.0);
    let mut pending = self::pending(&catalog, true, &next_list);
    let mut gone = 0;
    while gone < 4_370 {
        let piece = next(&mut pending, &catalog).unwrap();
        gone += piece.departures().len();
        assert!(piece.departures().len() * 2 > piece.len() || gone == 4_370, "others go before them");
        catalog.apply(SEC, piece);
    }
}

/// Guards the messages that wait while a list is applied: no piece is longer than its bound, unless one destination is.
#[test]
fn pieces_are_bounded_but_for_one_large_destination() {
    let catalog = EndpointCatalog::default();
    let mut list = many(20_000, 3);
    let mut update = pending(&catalog, true, &list);
    let mut sizes = Vec::new();
    while let Some(piece) = next(&mut update, &catalog) {
        sizes.push(piece.len());
    }
    assert_eq!(sizes.iter().sum::<usize>(), 20_000);
    assert!(sizes.iter().all(|n| *n <= MOST_IN_A_PIECE));
    assert!(sizes.len() <= 20_000 / (MOST_IN_A_PIECE - 3) + 1, "they are filled: {}", sizes.len());
    list[..300].iter_mut().for_each(|e| e.dest = 7_000_000);
    let mut update = pending(&catalog, true, &list);
    let mut sizes = std::iter::from_fn(|| next(&mut update, &catalog).map(|piece| piece.len()));
    assert!(sizes.by_ref().any(|n| n == 300));
}

/// Guards the look for departures: a list that says nothing new of very many is gone through in steps as well.
#[test]
fn departures_are_looked_for_some_at_a_time() {
    let mut catalog = EndpointCatalog::default();
    let list = many(20_000, 4);
    learn(&mut catalog, 0, true, &list);
    let mut update = pending(&catalog, true, &list);
    let mut looks = 0;
    while matches!(update.advance(&catalog), Progress::Looking) {
        looks += 1;
    }
    assert!(looks >= 20_000 / 4_096, "{looks}");
}

/// Guards messages that come while the first list comes into force: what is not there yet may be in its next piece.
#[test]
fn before_the_first_list_is_in_force_no_destination_is_refused() {
    let mut catalog = EndpointCatalog::default();
    let mut update = pending(&catalog, true, &many(1_000, 4));
    assert!(catalog.serves(9_999_999));
    while let Some(piece) = next(&mut update, &catalog) {
        assert!(catalog.serves(9_999_999));
        catalog.apply(0, piece);
    }
    assert!(catalog.serves(249) && !catalog.serves(9_999_999));
}

/// Guards against a draft that was compared with what is not in force any more.
#[test]
fn a_draft_is_current_until_something_else_comes_into_force() {
    let mut catalog = EndpointCatalog::default();
    let draft = catalog.begin();
    assert!(catalog.is_current(&draft));
    learn(&mut catalog, 0, true, &[active("a", 1)]);
    assert!(!catalog.is_current(&draft));
}

/// Guards the fleet's word for an endpoint: the hash under which it is found is the one that all relays use.
#[test]
fn endpoints_are_found_by_the_key_of_the_fleet() {
    let mut catalog = EndpointCatalog::default();
    let list = many(3_000, 4);
    learn(&mut catalog, 0, true, &list);
    for e in &list {
        let id = catalog.find(&e.name);
        assert!(id.is_some() && catalog.find_by_hash(record::key(&e.name)) == id);
    }
    assert_eq!(catalog.find_by_hash(record::key("nobody")), None);
}

/// The plain way: all is walked over at each list, as the catalog did before it had indexes; but what is due is
/// forgotten before a list is taken in, not only after it.
#[derive(Default)]
struct Plain {
    ids: HashMap<String, u32>,
    endpoints: BTreeMap<u32, (Endpoint, Option<u64>)>,
    next: u32,
}

impl Plain {
    fn forget(&mut self, now: u64) {
        let ids = &mut self.ids;
        self.endpoints.retain(|_, (e, rests)| {
            let kept = e.state != EndpointState::Left || rests.is_none_or(|at| now < at + REMEMBERED);
            if !kept {
                ids.remove(&e.name);
            }
            kept
        });
    }

    fn learn(&mut self, now: u64, update: &EndpointUpdate) {
        self.forget(now);
        if update.whole {
            for (e, rests) in self.endpoints.values_mut() {
                e.state = EndpointState::Left;
                rests.get_or_insert(now);
            }
        }
        // Of several entries under one name only the last counts: those before it, which no message ever met, once had
        // their say on since when it rests.
        let last: HashMap<&str, usize> =
            update.endpoints.iter().enumerate().map(|(place, e)| (e.name.as_str(), place)).collect();
        let stands = |(place, e): &(usize, &Endpoint)| last[e.name.as_str()] == *place;
        for (_, listed) in update.endpoints.iter().enumerate().filter(stands) {
            let id = *self.ids.entry(listed.name.clone()).or_insert_with(|| {
                self.next += 1;
                self.next - 1
            });
            let e = Endpoint { id, ..listed.clone() };
            let rested = self.endpoints.get(&id).and_then(|(_, rests)| *rests);
            let rests = (e.state != EndpointState::Active).then(|| rested.unwrap_or(now));
            self.endpoints.insert(id, (e, rests));
        }
        self.forget(now);
    }
}

fn listed() -> impl Strategy<Value = Endpoint> {
    let state = prop_oneof![
        6 => Just(EndpointState::Active),
        1 => Just(EndpointState::Leaving),
        1 => Just(EndpointState::Left)
    ];
    (0u8..14, 0u64..4, state, 0u8..2, 0usize..2).prop_map(|(name, dest, state, share, kind)| Endpoint {
        share: f64::from(share),
        kind,
        ..endpoint(&format!("s-{name}"), dest, state)
    })
}

fn lists() -> impl Strategy<Value = Vec<(u64, bool, Vec<Endpoint>)>> {
    let list = (0u64..25, any::<bool>(), prop::collection::vec(listed(), 0..20));
    prop::collection::vec(list, 1..12)
}

/// All that is said of each name, without the number.
fn said<'a>(all: impl Iterator<Item = &'a Endpoint>) -> BTreeMap<String, Endpoint> {
    all.map(|e| (e.name.clone(), Endpoint { id: 0, ..e.clone() })).collect()
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: seed::seed(), cases: 2_000, ..ProptestConfig::default() })]

    /// Guards the catalog against any difference from the plain way: what is known of whom, who keeps its number, which
    /// destinations are served, and that exactly what differs comes out as changed.
    #[test]
    fn lists_have_the_effect_of_the_plain_way(lists in lists()) {
        let (mut catalog, mut plain) = (EndpointCatalog::default(), Plain::default());
        let (mut now, mut given) = (0, HashSet::new());
        for (wait, whole, endpoints) in lists {
            now += wait * SEC;
            while !catalog.forget_due(now).endpoints.is_empty() {}
            plain.forget(now);
            let ids_before = plain.ids.clone();
            let mine: Vec<Endpoint> = catalog.iter().map(|e| e.to_endpoint()).collect();
            let before = said(mine.iter());
            let mine_before: HashMap<String, u32> = mine.into_iter().map(|e| (e.name, e.id)).collect();
            let ids = changed(&learn(&mut catalog, now, whole, &endpoints));
            plain.learn(now, &EndpointUpdate { seq: 0, whole, endpoints });
            let mine: Vec<Endpoint> = catalog.iter().map(|e| e.to_endpoint()).collect();
            let after = said(mine.iter());
            prop_assert_eq!(&after, &said(plain.endpoints.values().map(|(e, _)| e)));
            for e in &mine {
                let kept = mine_before.get(&e.name) == Some(&e.id);
                prop_assert_eq!(kept, ids_before.get(&e.name) == plain.ids.get(&e.name), "{}", &e.name);
                prop_assert!(kept || given.insert(e.id), "{} was given before", e.id);
                prop_assert_eq!(catalog.find(&e.name), Some(e.id));
            }
            for dest in 0..4 {
                prop_assert_eq!(catalog.has(dest), plain.endpoints.values().any(|(e, _)| e.dest == dest));
            }
            let count = ids.len();
            let ids: HashSet<u32> = ids.into_iter().collect();
            prop_assert_eq!(count, ids.len(), "each is changed once");
            for e in &mine {
                prop_assert_eq!(before.get(&e.name) != after.get(&e.name), ids.contains(&e.id), "{}", &e.name);
            }
        }
    }
}

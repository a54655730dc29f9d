//! The dense table of hosts by their numbers, against an ordered map as the plain way to keep them.

use basaltloom::decision::table::Table;
use proptest::prelude::*;
use std::collections::BTreeMap;

#[derive(Clone, Debug)]
enum Change {
    Insert(u32, u64),
    Remove(u32),
}

fn change() -> impl Strategy<Value = Change> {
    let number = prop_oneof![0..300u32, (0..4u32).prop_map(|i| u32::MAX - i * 63)];
    prop_oneof![
        2 => (number.clone(), any::<u64>()).prop_map(|(number, entry)| Change::Insert(number, entry)),
        1 => number.prop_map(Change::Remove),
    ]
}

proptest! {
    /// Guards every answer of the table, and that it is walked in the order of the numbers.
    #[test]
    fn it_answers_as_an_ordered_map_does(changes in prop::collection::vec(change(), 0..600)) {
        let (mut table, mut map) = (Table::default(), BTreeMap::new());
        for change in changes {
            match change {
                Change::Insert(number, entry) => {
                    prop_assert_eq!(table.insert(number, entry), map.insert(number, entry));
                }
                Change::Remove(number) => prop_assert_eq!(table.remove(number), map.remove(&number)),
            }
            prop_assert_eq!((table.len(), table.is_empty()), (map.len(), map.is_empty()));
        }
        prop_assert!(table.iter().eq(map.iter().map(|(number, entry)| (*number, entry))));
        for number in (0..310).chain(u32::MAX - 200..=u32::MAX) {
            prop_assert_eq!(table.get(number), map.get(&number));
            prop_assert_eq!(table.get_mut(number), map.get_mut(&number));
        }
    }
}

/// Guards a long life: numbers are never given twice, and those that left take no room.
#[test]
fn pages_go_with_the_last_of_their_numbers() {
    let mut table = Table::default();
    for number in 0..100_000 {
        table.insert(number, number);
        if number >= 1_000 {
            assert_eq!(table.remove(number - 1_000), Some(number - 1_000));
        }
        assert!(table.pages() <= 1_000 / 64 + 2, "{} pages for {} numbers", table.pages(), table.len());
    }
    assert_eq!(table.len(), 1_000);
    for number in 99_000..100_000 {
        assert_eq!(table.remove(number), Some(number));
    }
    assert_eq!((table.len(), table.pages()), (0, 0));
}

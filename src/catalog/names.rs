//! An index by hash of the name. It holds numbers only: each name is kept once, where its number leads.

use hashbrown::HashTable;
use xxhash_rust::xxh3::xxh3_64;

/// The index is split in so many tables: one that grows moves only its own numbers, in some microseconds.
const SHARDS: usize = 256;
/// Bits of the hash that choose the table; its lowest and highest ones are used within.
const SHARD_SHIFT: u32 = 40;

/// The hash under which a name is found. Other relays know the endpoint by the same.
pub fn name_hash(name: &str) -> u64 {
    xxh3_64(name.as_bytes())
}

/// Numbers by hash.
#[derive(Debug)]
pub(super) struct NameIndex {
    shards: Box<[HashTable<u32>]>,
}

impl Default for NameIndex {
    fn default() -> Self {
        NameIndex { shards: (0..SHARDS).map(|_| HashTable::new()).collect() }
    }
}

fn shard(hash: u64) -> usize {
    (hash >> SHARD_SHIFT) as usize % SHARDS
}

impl NameIndex {
    /// The number of this hash that `is` the one looked for.
    pub fn find(&self, hash: u64, mut is: impl FnMut(u32) -> bool) -> Option<u32> {
        self.shards[shard(hash)].find(hash, |number| is(*number)).copied()
    }

    /// Adds a number; `hash_of` tells the hashes of those that are in it.
    pub fn insert(&mut self, hash: u64, number: u32, hash_of: impl Fn(u32) -> u64) {
        self.shards[shard(hash)].insert_unique(hash, number, |other| hash_of(*other));
    }

    /// Removes a number, and gives room back that is not needed any more.
    pub fn remove(&mut self, hash: u64, number: u32, hash_of: impl Fn(u32) -> u64) {
        let table = &mut self.shards[shard(hash)];
        if let Ok(found) = table.find_entry(hash, |other| *other == number) {
            found.remove();
        }
        if table.len() * 4 < table.capacity() {
            table.shrink_to(table.len() * 2, |other| hash_of(*other));
        }
    }
}

//! Seeded draws of soaks.

use rand_chacha::rand_core::{RngCore, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Draws that follow from a seed alone.
pub struct Chance(ChaCha8Rng);

impl Chance {
    pub fn new(seed: u64) -> Chance {
        Chance(ChaCha8Rng::seed_from_u64(seed))
    }

    /// A number below this one.
    pub fn below(&mut self, most: u64) -> u64 {
        u64::from(self.0.next_u32()) % most
    }
}

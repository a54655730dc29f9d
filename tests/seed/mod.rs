//! Properties take the same steps each time, unless $PROPTEST_RNG_SEED names others.

use proptest::test_runner::RngSeed;

pub fn seed() -> RngSeed {
    let named = std::env::var("PROPTEST_RNG_SEED").ok().and_then(|s| s.parse().ok());
    RngSeed::Fixed(named.unwrap_or(20_261_201))
}

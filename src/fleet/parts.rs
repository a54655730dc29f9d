//! Parts by demand: what each of those that go by one dealer is to have of what they pledged.

use super::record::Id;
use std::collections::BTreeMap;

/// Of an equal part, that everybody keeps for what comes suddenly.
const RESERVE: f64 = 0.04;

/// Deals a pool out by what each wants, in the same unit as the pool. What nobody wants is spread evenly.
pub fn by_demand(pool: u32, wanted: &[(Id, f64)]) -> BTreeMap<Id, u32> {
    let (n, all) = (wanted.len().max(1) as f64, f64::from(pool));
    let sum: f64 = wanted.iter().map(|(_, w)| w).sum();
    let reserve = all * RESERVE / n;
    let part = |w: f64| {
        if sum <= all * (1.0 - RESERVE) {
            w + (all - sum) / n
        } else {
            reserve + (all - reserve * n) * w / sum
        }
    };
    wanted.iter().map(|(id, w)| (*id, part(*w) as u32)).collect()
}

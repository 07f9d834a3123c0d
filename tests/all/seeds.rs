//! The number of seeds per randomized test: a few in CI, as many as `OLEANDER_SEEDS` says in manual
//! runs.

use std::ops::Range;

/// The seeds of one test, `few` unless more are asked for.
pub fn seeds(few: u64) -> Range<u64> {
    let asked = std::env::var("OLEANDER_SEEDS").ok().and_then(|text| text.parse().ok());
    0..asked.unwrap_or(few)
}

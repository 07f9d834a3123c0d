//! How many seeds a play takes: a few in CI, as many as `OLEANDER_SEEDS` says by hand.

use std::ops::Range;

/// The seeds of plays of one kind, `few` unless more are asked for.
pub fn seeds(few: u64) -> Range<u64> {
    let asked = std::env::var("OLEANDER_SEEDS").ok().and_then(|text| text.parse().ok());
    0..asked.unwrap_or(few)
}

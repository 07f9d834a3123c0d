//! Eras of a store that may come back from an older copy of itself.

use serde::{Deserialize, Serialize};

/// Counts how often a store came back from an older copy. Writes that it acknowledged after that
/// copy are lost, and their revisions are given out again.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreEra(pub u64);

//! Eras of a store that may come back from an older copy of itself.
//!
//! Within an era revisions only rise. When the store comes back from a copy it loses what it
//! acknowledged since, goes back to the copy's revision, and gives the same numbers out again. A
//! number alone then tells neither what is newer nor whether two objects are the same. A *revision*
//! here therefore is the era above the number that the store gave, so that revisions of a later era
//! are the higher ones, wherever two of them are compared. Without eras it is the number itself, as
//! processes of earlier versions send it.

use serde::{Deserialize, Serialize};

/// Counts how often a store came back from an older copy.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct StoreEra(pub u64);

/// The low bits of a revision, which hold the store's number.
const NUMBER_BITS: u32 = 40;
const MAX_NUMBER: u64 = (1 << NUMBER_BITS) - 1;

impl StoreEra {
    /// The highest era that fits into a revision.
    pub const MAX: StoreEra = StoreEra(u64::MAX >> NUMBER_BITS);

    /// The revision to which the store gave `number` in this era.
    pub fn revision(self, number: u64) -> u64 {
        self.min(Self::MAX).0 << NUMBER_BITS | number.min(MAX_NUMBER)
    }

    /// The era of a revision.
    pub fn of(revision: u64) -> Self {
        StoreEra(revision >> NUMBER_BITS)
    }

    /// The number that the store gave to a revision.
    pub fn number(revision: u64) -> u64 {
        revision & MAX_NUMBER
    }
}

//! Remembers which faults of stored entries were logged.
//!
//! A list is read again after each fault of the store, and the same unreadable entries of other writers stand in it.

use compact_str::CompactString;
use oleander_kind::hash::{HASH_SEED, stable_hash};
use oleander_plat::FeedKind;
use std::cell::RefCell;
use std::collections::VecDeque;

/// The most faults that are remembered; beyond them the oldest one is forgotten, and logged again if it still exists.
const MAX_TOLD: usize = 1024;
/// Length to which a name is cut in a log line, in characters.
const MAX_NAME_CHARS: usize = 80;

/// The faults that were logged, oldest first.
#[derive(Debug, Default)]
pub struct ToldFaults {
    hashes: RefCell<VecDeque<u64>>,
}

impl ToldFaults {
    /// Notes that `fault` of the entry `name` is to be logged; whether it was not before.
    pub fn note(&self, kind: FeedKind, name: &str, fault: &str) -> bool {
        let parts = [kind.name(), name, fault];
        let hash = parts.iter().fold(HASH_SEED, |hash, part| {
            // The lengths keep a name and a fault apart.
            stable_hash(stable_hash(hash, &part.len().to_le_bytes()), part.as_bytes())
        });
        let mut hashes = self.hashes.borrow_mut();
        if hashes.contains(&hash) {
            return false;
        }
        if hashes.len() == MAX_TOLD {
            hashes.pop_front();
        }
        hashes.push_back(hash);
        true
    }
}

/// The name of an entry as log lines show it.
pub(crate) fn shown_name(name: &str) -> CompactString {
    name.chars().take(MAX_NAME_CHARS).collect()
}

//! The last changes of an endpoint list, for peers that are a little behind.
//!
//! A change is found by its number, or by the store's revision as of which it was known. The revision means the same at
//! each process: one that read the store itself a moment before its first talk with a peer lacks a few changes, and is
//! told of these instead of thousands of entries.

use oleander_plat::FeedEvent;
use std::collections::VecDeque;

/// Changes that are kept of a short list.
const LEAST_KEPT: usize = 256;

#[derive(Clone, Debug)]
struct KnownChange {
    /// The revision of the list when it was noted; the change is part of every list as of that or later.
    mark: u64,
    event: FeedEvent,
}

/// The last changes, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChangeLog {
    kept: VecDeque<KnownChange>,
    noted: u64,
    /// A list as of this revision or later lacks nothing that is not kept.
    floor: u64,
}

impl ChangeLog {
    /// How many changes were noted.
    pub(crate) fn noted(&self) -> u64 {
        self.noted
    }

    /// Notes that the list is known as of `mark` for the first time.
    pub(crate) fn begin(&mut self, mark: u64) {
        self.floor = self.floor.max(mark);
    }

    /// Notes a change of a list of `entries` that is as of `mark` with it. As many are kept as there are entries:
    /// a list of more changes says less than the entries themselves.
    pub(crate) fn note(&mut self, event: FeedEvent, mark: u64, entries: usize) {
        let last = self.kept.back().map_or(0, |change| change.mark);
        self.kept.push_back(KnownChange { mark: mark.max(last), event });
        self.noted += 1;
        while self.kept.len() > entries.max(LEAST_KEPT) {
            if let Some(dropped) = self.kept.pop_front() {
                self.floor = self.floor.max(dropped.mark);
            }
        }
    }

    /// The changes after the one of this number; none if they are not kept.
    pub(crate) fn after_number(&self, number: u64) -> Option<Vec<FeedEvent>> {
        let missing = usize::try_from(self.noted.checked_sub(number)?).ok()?;
        let from = self.kept.len().checked_sub(missing)?;
        Some(self.from(from))
    }

    /// The changes that a list as of `mark` may lack; none if they are not kept.
    pub(crate) fn after_mark(&self, mark: u64) -> Option<Vec<FeedEvent>> {
        if mark < self.floor {
            return None;
        }
        let from = self.kept.partition_point(|change| change.mark <= mark);
        Some(self.from(from))
    }

    fn from(&self, from: usize) -> Vec<FeedEvent> {
        self.kept.range(from..).map(|change| change.event.clone()).collect()
    }
}

//! Log of the most recent changes of an endpoint list, for peers that are slightly behind.
//!
//! Changes are looked up by their number or by the store revision at which they were known. The
//! revision means the same at each process: a process that read the store shortly before it first
//! contacted a peer gets the few changes it lacks instead of thousands of entries.

use oleander_plat::FeedEvent;
use std::collections::VecDeque;

/// The least number of changes that is kept, for short lists.
const MIN_KEPT: usize = 256;

#[derive(Clone, Debug)]
struct KnownChange {
    /// The revision of the list when the change was recorded; every list at that revision or later
    /// includes the change.
    mark: u64,
    event: FeedEvent,
}

/// The most recent changes, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChangeLog {
    kept: VecDeque<KnownChange>,
    /// The number of changes recorded so far, including those no longer kept.
    noted: u64,
    /// The lowest revision from which the log has all later changes.
    floor: u64,
}

impl ChangeLog {
    /// The number of changes recorded so far.
    pub(crate) fn noted(&self) -> u64 {
        self.noted
    }

    /// Records that the list is known at `mark` for the first time, or for the first time in an era:
    /// the changes that another process lacks since an earlier era are not all known.
    pub(crate) fn begin(&mut self, mark: u64) {
        self.floor = self.floor.max(mark);
    }

    /// Records a change that brings a list of `entries` entries to `mark`. The log keeps as many
    /// changes as there are entries: with more changes, sending the entries themselves is cheaper.
    pub(crate) fn note(&mut self, event: FeedEvent, mark: u64, entries: usize) {
        let last = self.kept.back().map_or(0, |change| change.mark);
        self.kept.push_back(KnownChange { mark: mark.max(last), event });
        self.noted += 1;
        while self.kept.len() > entries.max(MIN_KEPT) {
            if let Some(dropped) = self.kept.pop_front() {
                self.floor = self.floor.max(dropped.mark);
            }
        }
    }

    /// Whether the last known change of an entry removed it.
    pub(crate) fn is_removed(&self, name: &str) -> bool {
        let named = |change: &&KnownChange| match &change.event {
            FeedEvent::Put(object) => object.name == name,
            FeedEvent::Gone { name: gone, .. } => gone == name,
        };
        let last = self.kept.iter().rev().find(named);
        last.is_some_and(|change| matches!(change.event, FeedEvent::Gone { .. }))
    }

    /// The changes after the one with this number; `None` if the log no longer has them all.
    pub(crate) fn after_number(
        &self,
        number: u64,
    ) -> Option<impl ExactSizeIterator<Item = &FeedEvent>> {
        let missing = usize::try_from(self.noted.checked_sub(number)?).ok()?;
        let from = self.kept.len().checked_sub(missing)?;
        Some(self.from(from))
    }

    /// The changes that a list at `mark` may lack; `None` if the log no longer has them all.
    pub(crate) fn after_mark(
        &self,
        mark: u64,
    ) -> Option<impl ExactSizeIterator<Item = &FeedEvent>> {
        if mark < self.floor {
            return None;
        }
        let from = self.kept.partition_point(|change| change.mark <= mark);
        Some(self.from(from))
    }

    fn from(&self, from: usize) -> impl ExactSizeIterator<Item = &FeedEvent> {
        self.kept.range(from..).map(|change| &change.event)
    }
}

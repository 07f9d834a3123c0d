//! Transfer of a whole list, or of many changes, in parts.
//!
//! On a slow link, a list of thousands of entries takes longer than a peer waits for an answer.
//! Sent in one message it always arrived too late, was requested again, and saturated every link.
//! Each part is small and requested separately, and any peer may send the next one as long as its
//! list is at least as new as the first part.

use crate::roster::{RosterReplica, RosterStatus, RosterUpdate, entry_bytes, name_bytes};
use compact_str::CompactString;
use oleander_kind::{ClockTime, TimeSpan};
use oleander_plat::{FeedEvent, FeedObject};
use serde::{Deserialize, Serialize};

/// Entries per part; about 30 KB.
const PART_ENTRIES: usize = 100;

/// A request for one part.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartRequest {
    /// The revision of the requester's list: only later changes are needed. `None` requests the
    /// whole list.
    #[serde(rename = "m")]
    pub since: Option<u64>,
    /// The name of the last entry received so far; `None` for the first part.
    #[serde(rename = "a")]
    pub after: Option<CompactString>,
}

/// One part of a list; entries are sorted by name.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterPart {
    /// The status of the sender's list.
    #[serde(rename = "s")]
    pub status: RosterStatus,
    /// The revision after which these changes were made; `None` if the part belongs to the whole
    /// list.
    #[serde(rename = "m")]
    pub since: Option<u64>,
    /// Entries removed since then, with their last revisions. Only the first part has them.
    #[serde(rename = "g")]
    pub gone: Vec<(CompactString, u64)>,
    /// The entries that follow the requested name.
    #[serde(rename = "o")]
    pub objects: Vec<FeedObject>,
    /// Whether this is the last part.
    #[serde(rename = "l")]
    pub is_last: bool,
}

impl RosterPart {
    /// The answer of a process that sends no part now. The requester treats it like a part of an
    /// unknown list, and asks another peer.
    pub fn unavailable() -> Self {
        RosterPart {
            status: RosterStatus::default(),
            since: None,
            gone: Vec::new(),
            objects: Vec::new(),
            is_last: true,
        }
    }

    /// About how many bytes the part takes in a message.
    pub fn bytes(&self) -> usize {
        let gone: usize = self.gone.iter().map(|(name, _)| name_bytes(name)).sum();
        gone + self.objects.iter().map(entry_bytes).sum::<usize>()
    }
}

impl RosterReplica {
    /// Builds the requested part.
    pub fn part(&self, request: &PartRequest, now: ClockTime) -> RosterPart {
        use std::ops::Bound::{Excluded, Unbounded};
        let changes = request.since.and_then(|mark| Some((mark, self.changes.after_mark(mark)?)));
        let (since, changes) = changes.unzip();
        let gone = |event: &FeedEvent| match event {
            FeedEvent::Gone { name, revision } => Some((name.clone(), *revision)),
            FeedEvent::Put(_) => None,
        };
        let is_first = request.after.is_none();
        let gone = changes.into_iter().flatten().filter(|_| is_first).filter_map(gone).collect();
        let from = request.after.as_ref().map_or(Unbounded, Excluded);
        let later = self.items.range::<CompactString, _>((from, Unbounded));
        let objects = later.map(|(_, item)| &item.object);
        let mut remaining =
            objects.filter(|object| since.is_none_or(|mark| object.revision > mark));
        let objects = remaining.by_ref().take(PART_ENTRIES).cloned().collect();
        let is_last = remaining.next().is_none();
        RosterPart { status: self.status(now), since, gone, objects, is_last }
    }
}

/// A list or a set of changes assembled from parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JoinedParts {
    /// The whole list, or the changes.
    pub update: RosterUpdate,
    /// The status of the list from which the first part was taken.
    pub status: RosterStatus,
    /// An upper bound on the time since that status was written.
    pub late: TimeSpan,
}

/// The next step after receiving a part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartStep {
    /// Request the entries after this name.
    RequestAfter(CompactString),
    /// All parts were received.
    Joined(JoinedParts),
    /// The part comes from a list that is older than the first part, or unknown: request the same
    /// part from another peer.
    TooOld,
}

#[derive(Clone, Debug)]
struct FirstPart {
    status: RosterStatus,
    since: Option<u64>,
    asked_at: ClockTime,
}

/// Assembles a list from its parts.
#[derive(Clone, Debug, Default)]
pub struct PartsAssembler {
    first: Option<FirstPart>,
    gone: Vec<(CompactString, u64)>,
    objects: Vec<FeedObject>,
}

impl PartsAssembler {
    /// Adds a part that was requested at `asked_at` and received at `now`. A part of a list older
    /// than revision `known` is rejected.
    pub fn take(
        &mut self,
        part: RosterPart,
        known: u64,
        (asked_at, now): (ClockTime, ClockTime),
    ) -> PartStep {
        let first = self.first.as_ref();
        let least = first.map_or(known, |first| first.status.mark());
        let differs = first.is_some_and(|first| first.since != part.since);
        if part.status.freshness.is_none() || part.status.mark() < least || differs {
            return PartStep::TooOld;
        }
        let RosterPart { status, since, gone, objects, is_last } = part;
        let first = self.first.get_or_insert(FirstPart { status, since, asked_at }).clone();
        self.gone.extend(gone);
        self.objects.extend(objects);
        match self.objects.last() {
            Some(last) if !is_last => PartStep::RequestAfter(last.name.clone()),
            _ => {
                let late = now - first.asked_at;
                let update = self.join(first.since.is_some());
                PartStep::Joined(JoinedParts { update, status: first.status, late })
            }
        }
    }

    fn join(&mut self, are_changes: bool) -> RosterUpdate {
        let objects = std::mem::take(&mut self.objects);
        if !are_changes {
            return RosterUpdate::Whole(objects);
        }
        let gone = self.gone.drain(..).map(|(name, revision)| FeedEvent::Gone { name, revision });
        RosterUpdate::Changes(gone.chain(objects.into_iter().map(FeedEvent::Put)).collect())
    }
}

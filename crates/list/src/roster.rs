//! The endpoint list of a front process, as a pure state machine.
//!
//! Updates come from the store itself or from peers that read it. They are ordered by the store's
//! revision: a list at a later revision wins, an older one is ignored, and an entry that is missing
//! from a list at the entry's revision or later is removed for good. The age of the data travels
//! with each update ([`FreshnessStamp`]), so that a process knows how far behind it may be
//! regardless of who sent the update.
//!
//! Entries also expire while the store is unavailable and are written again soon after it returns.
//! Only in that time is an entry that is missing from a list marked *doubted* instead of removed,
//! until a deadline that is passed on with the mark. Whether the store was unavailable is judged
//! from everything the process received from any source: if the gap was too short for an entry to
//! expire, a missing entry was removed on purpose.
//!
//! A store that comes back from an older copy ([`StoreEra`]) begins an era, whose revisions are higher
//! than all earlier ones. Entries that the copy lacks may have been written since, and are doubted
//! like expired ones. An entry that the copy lists although its removal is known is doubted until it
//! would have expired.

use crate::changes::ChangeLog;
use crate::freshness::{FreshnessNote, FreshnessStamp};
use compact_str::CompactString;
use oleander_kind::hash::{HASH_SEED, mix_bits, stable_hash};
use oleander_kind::{ClockTime, StoreEra, TimeSpan};
use oleander_plat::{FeedEvent, FeedObject};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The longest list that is sent in one message; a longer one is requested in parts.
const MAX_WHOLE_ENTRIES: usize = 512;
/// The most changes sent in one message, so that an answer takes less than 30 ms on a slow link.
const MAX_CHANGES: usize = 128;

/// The result of decoding an entry.
pub type Result<T> = std::result::Result<T, String>;

/// A decoded entry of the list.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodedEntry<E> {
    /// The start time of the endpoint's incarnation; a larger value is a later incarnation.
    pub life: u64,
    /// The decoded value.
    pub entry: E,
}

/// Decodes an object of the list.
pub type EntryDecoder<'a, E> = &'a dyn Fn(&FeedObject) -> Result<DecodedEntry<E>>;

/// How entries expire and return when the store is unavailable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExpiryTimes {
    /// The shortest store outage in which an entry can expire.
    pub min_expiry: TimeSpan,
    /// How long after the store returns all expired entries have been written again.
    pub relist_delay: TimeSpan,
}

/// What the caller has to do after an update, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RosterAction<E> {
    /// An entry is new or changed, or is no longer doubted.
    Upsert {
        /// The decoded entry.
        entry: E,
        /// Its revision.
        revision: u64,
    },
    /// An endpoint is doubted: use it only as a last resort until it is confirmed or removed.
    Doubt {
        /// Its name.
        name: CompactString,
        /// The deadline of the doubt.
        until: ClockTime,
    },
    /// An endpoint was removed.
    Drop {
        /// Its name.
        name: CompactString,
    },
    /// An update about an earlier incarnation of an endpoint was ignored.
    StaleIncarnation {
        /// Its name.
        name: CompactString,
        /// The known incarnation and the one in the update.
        lives: (u64, u64),
        /// The revision of the update.
        revision: u64,
    },
    /// An entry could not be decoded.
    Unreadable {
        /// Its name.
        name: CompactString,
        /// The decoding error.
        fault: String,
    },
}

/// A version of the list of one process, as applied by another.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterVersion {
    /// Identifies the process and its incarnation.
    #[serde(rename = "c")]
    pub source: u64,
    /// The number of its latest change.
    #[serde(rename = "n")]
    pub number: u64,
}

/// An endpoint that a process has marked as doubted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DoubtedEndpoint {
    /// Its name.
    #[serde(rename = "n")]
    pub name: CompactString,
    /// The time left until the deadline.
    #[serde(rename = "l")]
    pub left: TimeSpan,
    /// Whether the store lists it all the same, perhaps only as an older copy had it.
    #[serde(rename = "s", default, skip_serializing_if = "std::ops::Not::not")]
    pub is_listed: bool,
}

/// The status of a process's list, as sent to its peers.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterStatus {
    /// When the store last confirmed the list; `None` if the list is unknown.
    #[serde(rename = "v")]
    pub freshness: Option<FreshnessNote>,
    /// Checksum over all entries, to detect lists that differ.
    #[serde(rename = "s")]
    pub sum: u64,
    /// For how much longer missing entries may merely have expired; `None` if they were removed.
    #[serde(rename = "u", default, skip_serializing_if = "Option::is_none")]
    pub unsettled: Option<TimeSpan>,
    /// The doubted endpoints of the list.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub doubted: Vec<DoubtedEndpoint>,
    /// Whether the list still differed from the sender's after changes were applied, so that the
    /// whole list is needed.
    #[serde(rename = "w", default, skip_serializing_if = "std::ops::Not::not")]
    pub needs_whole: bool,
    /// Whether `doubted` was left out because there are too many. Nothing may then be concluded about
    /// entries of the list; its revision and hash still tell what its process lacks.
    #[serde(rename = "o", default, skip_serializing_if = "std::ops::Not::not")]
    pub omits_doubts: bool,
}

impl RosterStatus {
    /// The status as a report carries it, four times a second.
    ///
    /// A process that lost touch with the store for seconds may doubt a thousand entries. Named in the
    /// reports of hundreds of processes, they fill the collector's link.
    pub fn for_report(self) -> Self {
        /// The most doubts that a report names.
        const MAX_DOUBTS: usize = 64;
        if self.doubted.len() <= MAX_DOUBTS {
            return self;
        }
        RosterStatus { doubted: Vec::new(), omits_doubts: true, ..self }
    }

    /// The store revision of the list; 0 if it is unknown.
    pub fn mark(&self) -> u64 {
        self.freshness.as_ref().map_or(0, |note| note.mark)
    }
}

/// An update of the list that one process sends to another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RosterUpdate {
    /// Nothing: the recipient's list is newer.
    #[serde(rename = "b")]
    Behind,
    /// Changes since the version that the recipient has; empty if both lists are the same.
    #[serde(rename = "c")]
    Changes(Vec<FeedEvent>),
    /// The whole list.
    #[serde(rename = "w")]
    Whole(Vec<FeedObject>),
    /// The update is too large for one message: request it in parts.
    #[serde(rename = "p")]
    InParts,
}

#[derive(Clone, Debug)]
pub(crate) struct RosterItem {
    pub(crate) object: FeedObject,
    pub(crate) life: u64,
    /// The deadline of the doubt; `None` if the entry is not doubted.
    pub(crate) doubted_until: Option<ClockTime>,
    /// Whether the store has the entry; one that it lacks is removed when its doubt ends.
    pub(crate) is_listed: bool,
}

/// A front process's replica of the endpoint list.
#[derive(Clone, Debug, Default)]
pub struct RosterReplica {
    pub(crate) items: BTreeMap<CompactString, RosterItem>,
    pub(crate) sum: u64,
    pub(crate) freshness: Option<FreshnessStamp>,
    /// Until when missing entries may merely have expired.
    pub(crate) unsettled_until: Option<ClockTime>,
    pub(crate) changes: ChangeLog,
    /// The version of another process's list that was applied last.
    pub(crate) followed: Option<RosterVersion>,
    /// Whether the list still differed from a peer's after that peer's changes were applied.
    pub(crate) needs_whole: bool,
}

fn changes_or_parts<'a>(changes: impl ExactSizeIterator<Item = &'a FeedEvent>) -> RosterUpdate {
    if changes.len() > MAX_CHANGES {
        RosterUpdate::InParts
    } else {
        RosterUpdate::Changes(changes.cloned().collect())
    }
}

/// About how many bytes an entry takes in a message.
pub(crate) fn entry_bytes(object: &FeedObject) -> usize {
    name_bytes(&object.name) + object.body.len()
}

/// About how many bytes a removed entry takes in a message.
pub(crate) fn name_bytes(name: &CompactString) -> usize {
    /// The revision, and the names of fields.
    const FIELD_BYTES: usize = 24;
    name.len() + FIELD_BYTES
}

impl RosterUpdate {
    /// About how many bytes the update takes in a message.
    pub fn bytes(&self) -> usize {
        let change_bytes = |event: &FeedEvent| match event {
            FeedEvent::Put(object) => entry_bytes(object),
            FeedEvent::Gone { name, .. } => name_bytes(name),
        };
        match self {
            RosterUpdate::Behind | RosterUpdate::InParts => 0,
            RosterUpdate::Changes(events) => events.iter().map(change_bytes).sum(),
            RosterUpdate::Whole(objects) => objects.iter().map(entry_bytes).sum(),
        }
    }
}

pub(crate) fn object_hash(object: &FeedObject) -> u64 {
    mix_bits(stable_hash(HASH_SEED, object.name.as_bytes()) ^ mix_bits(object.revision))
}

impl RosterReplica {
    /// When the store last confirmed the list to any process.
    pub fn freshness(&self) -> Option<&FreshnessStamp> {
        self.freshness.as_ref()
    }

    /// The store revision of the list; 0 if it is unknown.
    pub fn revision(&self) -> u64 {
        self.freshness.as_ref().map_or(0, |freshness| freshness.mark)
    }

    /// Whether `revision` belongs to a later era of the store than the list.
    pub(crate) fn is_later_era(&self, revision: u64) -> bool {
        self.freshness.is_some() && StoreEra::of(revision) > StoreEra::of(self.revision())
    }

    /// The number of changes applied so far.
    pub fn change_count(&self) -> u64 {
        self.changes.noted()
    }

    /// The version of another process's list that was applied last.
    pub fn followed(&self) -> Option<RosterVersion> {
        self.followed
    }

    /// The objects of the list.
    pub fn objects(&self) -> Vec<FeedObject> {
        self.items.values().map(|item| item.object.clone()).collect()
    }

    /// The endpoints that are missing from the store but may return (*doubted*), and their
    /// deadlines.
    pub fn doubts(&self) -> impl Iterator<Item = (&CompactString, ClockTime)> {
        self.doubted_items().map(|(name, until, _)| (name, until))
    }

    fn doubted_items(&self) -> impl Iterator<Item = (&CompactString, ClockTime, bool)> {
        let doubt =
            |(name, item): (_, &RosterItem)| Some((name, item.doubted_until?, item.is_listed));
        self.items.iter().filter_map(doubt)
    }

    /// The status of the list at `now`.
    pub fn status(&self, now: ClockTime) -> RosterStatus {
        let unsettled = self.unsettled_until.filter(|until| now < *until);
        let doubt = |(name, until, is_listed): (&CompactString, _, _)| DoubtedEndpoint {
            name: name.clone(),
            left: until - now,
            is_listed,
        };
        RosterStatus {
            freshness: self.freshness.as_ref().map(|freshness| freshness.note(now)),
            sum: self.sum,
            unsettled: unsettled.map(|until| until - now),
            doubted: self.doubted_items().map(doubt).collect(),
            needs_whole: self.needs_whole,
            omits_doubts: false,
        }
    }

    /// The update for a process with status `theirs` that last applied version `state` of some
    /// list; `source` identifies this process.
    pub fn update_for(
        &self,
        theirs: &RosterStatus,
        state: Option<RosterVersion>,
        source: u64,
    ) -> RosterUpdate {
        if self.freshness.is_none() || theirs.mark() > self.revision() {
            return RosterUpdate::Behind;
        }
        let taken = state.filter(|state| state.source == source);
        if let Some(changes) = taken.and_then(|state| self.changes.after_number(state.number)) {
            return changes_or_parts(changes);
        }
        if theirs.sum == self.sum {
            return RosterUpdate::Changes(Vec::new());
        }
        // Lists that differ at the same revision can only be repaired with the whole list.
        let is_older = theirs.freshness.is_some() && theirs.mark() < self.revision();
        let is_older = is_older && !theirs.needs_whole;
        match self.changes.after_mark(theirs.mark()).filter(|_| is_older) {
            Some(changes) => changes_or_parts(changes),
            None if self.items.len() > MAX_WHOLE_ENTRIES => RosterUpdate::InParts,
            None => RosterUpdate::Whole(self.objects()),
        }
    }

    /// Whether the list of a process with status `theirs` differs from this one and should replace
    /// it: it is newer, or as new and without entries that may merely have expired while this one
    /// may have some.
    pub fn lacks(&self, theirs: &RosterStatus, now: ClockTime) -> bool {
        let is_unsettled = self.unsettled_until.is_some_and(|until| now < until);
        let is_settled_there =
            is_unsettled && theirs.unsettled.is_none() && theirs.mark() == self.revision();
        let is_newer = is_settled_there || theirs.mark() > self.revision();
        theirs.sum != self.sum && !theirs.omits_doubts && is_newer
    }

    /// Records a change that belongs to the list at `mark`.
    pub(crate) fn note_change(&mut self, event: FeedEvent, mark: u64) {
        self.changes.note(event, mark.max(self.revision()), self.items.len());
    }
}

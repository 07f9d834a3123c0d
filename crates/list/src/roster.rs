//! The endpoint list of a front process, as a pure state machine.
//!
//! It hears the store itself, or other processes that heard it. The store's revision orders all
//! that is told: a list as of a later revision is the truth, an older one is left out, and an entry
//! that a list as of its revision or later lacks is gone for good. How old a list is travels with
//! it ([`StoreVouch`]), so that a process knows by how much it may be behind, whoever told it.
//!
//! Entries also lapse while the store is away, and are back soon after its return. Only then is
//! what a list lacks *doubted* instead of dropped, until one moment that travels with the doubt.
//! Whether the store was away is judged by all that the process heard, of whoever: a gap too short
//! for an entry to lapse in it means that what is missing has left.

use crate::changes::ChangeLog;
use crate::vouch::{StoreVouch, VouchNote};
use compact_str::CompactString;
use oleander_kind::hash::{HASH_START, mix_bits, stable_hash};
use oleander_kind::{ClockTime, TimeSpan};
use oleander_plat::{FeedEvent, FeedObject};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// The most entries of a list that is sent at once; a longer one is asked for in parts.
const WHOLE_ENTRIES: usize = 512;
/// The most changes that are sent at once, so that an answer takes a small link some 100 ms.
const MOST_CHANGES: usize = 512;

/// The result of reading an entry.
pub type Result<T> = std::result::Result<T, String>;

/// An entry of the list, decoded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DecodedEntry<E> {
    /// When this life of the endpoint began; the larger of two is the later life.
    pub life: u64,
    /// What it says.
    pub entry: E,
}

/// Reads an object of the list.
pub type EntryDecoder<'a, E> = &'a dyn Fn(&FeedObject) -> Result<DecodedEntry<E>>;

/// How entries come and go while the store is away.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LapseTimes {
    /// The shortest time without the store in which an entry can lapse.
    pub lapse: TimeSpan,
    /// How soon after the store's return entries that lapsed are back.
    pub relist: TimeSpan,
}

/// What follows from news, in order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RosterAction<E> {
    /// An entry is new, changed, or no longer doubted.
    Use {
        /// The entry.
        entry: E,
        /// Its revision.
        revision: u64,
    },
    /// An endpoint is the last resort until it is back or gone.
    Doubt {
        /// Its name.
        name: CompactString,
        /// Until when.
        until: ClockTime,
    },
    /// An endpoint is gone.
    Drop {
        /// Its name.
        name: CompactString,
    },
    /// News of a former life of an endpoint was left out.
    Outlived {
        /// Its name.
        name: CompactString,
        /// The lives known and told.
        lives: (u64, u64),
        /// The revision told.
        revision: u64,
    },
    /// An entry cannot be read.
    Unreadable {
        /// Its name.
        name: CompactString,
        /// Why.
        fault: String,
    },
}

/// Which state of a process's list another one has.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterState {
    /// Names the process and its life.
    #[serde(rename = "c")]
    pub source: u64,
    /// The number of the last change.
    #[serde(rename = "n")]
    pub number: u64,
}

/// An endpoint that a process doubts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DoubtNote {
    /// Its name.
    #[serde(rename = "n")]
    pub name: CompactString,
    /// For how much longer.
    #[serde(rename = "l")]
    pub left: TimeSpan,
}

/// How a process stands with its list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterStand {
    /// When the store last spoke for the list; none if it is not known.
    #[serde(rename = "v")]
    pub vouch: Option<VouchNote>,
    /// Tells whether two lists are the same.
    #[serde(rename = "s")]
    pub sum: u64,
    /// For how much longer what the list lacks may have lapsed; none if it has left.
    #[serde(rename = "u", default, skip_serializing_if = "Option::is_none")]
    pub unsettled: Option<TimeSpan>,
    /// The endpoints on it that are doubted.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub doubted: Vec<DoubtNote>,
    /// Whether changes did not make the list the same as the sender's, so that the whole is needed.
    #[serde(rename = "w", default, skip_serializing_if = "std::ops::Not::not")]
    pub needs_whole: bool,
}

impl RosterStand {
    /// The store's revision that the list is as of; 0 if it is not known.
    pub fn mark(&self) -> u64 {
        self.vouch.as_ref().map_or(0, |note| note.mark)
    }
}

/// What a process tells another of its list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RosterUpdate {
    /// Nothing: the other one's list is newer.
    #[serde(rename = "b")]
    Behind,
    /// Changes since the state that the other one has; none if the lists are the same.
    #[serde(rename = "c")]
    Changes(Vec<FeedEvent>),
    /// The whole list.
    #[serde(rename = "w")]
    Whole(Vec<FeedObject>),
    /// More is needed than is sent at once: the rest is to be asked for in parts.
    #[serde(rename = "p")]
    InParts,
}

#[derive(Clone, Debug)]
pub(crate) struct RosterItem {
    pub(crate) object: FeedObject,
    pub(crate) life: u64,
    /// Until when it is doubted; none if it is not.
    pub(crate) doubted_until: Option<ClockTime>,
}

/// The endpoint list of one process.
#[derive(Clone, Debug, Default)]
pub struct RosterBook {
    pub(crate) items: BTreeMap<CompactString, RosterItem>,
    pub(crate) sum: u64,
    pub(crate) vouch: Option<StoreVouch>,
    /// Until when what the list lacks may have lapsed.
    pub(crate) unsettled_until: Option<ClockTime>,
    pub(crate) changes: ChangeLog,
    /// The state of another process's list that this one has taken.
    pub(crate) followed: Option<RosterState>,
    /// Whether changes that a peer told did not make this list the same as the peer's.
    pub(crate) needs_whole: bool,
}

fn few(changes: Vec<FeedEvent>) -> RosterUpdate {
    if changes.len() > MOST_CHANGES {
        RosterUpdate::InParts
    } else {
        RosterUpdate::Changes(changes)
    }
}

pub(crate) fn object_hash(object: &FeedObject) -> u64 {
    mix_bits(stable_hash(HASH_START, object.name.as_bytes()) ^ mix_bits(object.revision))
}

impl RosterBook {
    /// When the store last spoke for the list, to whomever.
    pub fn vouch(&self) -> Option<&StoreVouch> {
        self.vouch.as_ref()
    }

    /// The store's revision that the list is as of; 0 if it is not known.
    pub fn revision(&self) -> u64 {
        self.vouch.as_ref().map_or(0, |vouch| vouch.mark)
    }

    /// How many changes it has seen.
    pub fn changed(&self) -> u64 {
        self.changes.noted()
    }

    /// The state of another process's list that this one has taken.
    pub fn followed(&self) -> Option<RosterState> {
        self.followed
    }

    /// The objects of the list.
    pub fn objects(&self) -> Vec<FeedObject> {
        self.items.values().map(|item| item.object.clone()).collect()
    }

    /// The endpoints that are doubted, and until when.
    pub fn doubts(&self) -> impl Iterator<Item = (&CompactString, ClockTime)> {
        self.items.iter().filter_map(|(name, item)| Some((name, item.doubted_until?)))
    }

    /// How the list stands at `now`.
    pub fn stand(&self, now: ClockTime) -> RosterStand {
        let unsettled = self.unsettled_until.filter(|until| now < *until);
        let doubt = |(name, until): (&CompactString, _)| DoubtNote {
            name: name.clone(),
            left: until - now,
        };
        RosterStand {
            vouch: self.vouch.as_ref().map(|vouch| vouch.note(now)),
            sum: self.sum,
            unsettled: unsettled.map(|until| until - now),
            doubted: self.doubts().map(doubt).collect(),
            needs_whole: self.needs_whole,
        }
    }

    /// What to tell a process that stands as `theirs` and has taken `state` of some list; `source`
    /// names this one.
    pub fn update_for(
        &self,
        theirs: &RosterStand,
        state: Option<RosterState>,
        source: u64,
    ) -> RosterUpdate {
        if self.vouch.is_none() || theirs.mark() > self.revision() {
            return RosterUpdate::Behind;
        }
        let taken = state.filter(|state| state.source == source);
        if let Some(changes) = taken.and_then(|state| self.changes.after_number(state.number)) {
            return few(changes);
        }
        if theirs.sum == self.sum {
            return RosterUpdate::Changes(Vec::new());
        }
        // Lists as of the same revision that differ are set right by the whole.
        let is_older = theirs.vouch.is_some() && theirs.mark() < self.revision();
        let is_older = is_older && !theirs.needs_whole;
        match self.changes.after_mark(theirs.mark()).filter(|_| is_older) {
            Some(changes) => few(changes),
            None if self.items.len() > WHOLE_ENTRIES => RosterUpdate::InParts,
            None => RosterUpdate::Whole(self.objects()),
        }
    }

    /// Whether a process that stands as `theirs` has something else on a list that is newer, or as
    /// new and without doubt.
    pub fn lacks(&self, theirs: &RosterStand, now: ClockTime) -> bool {
        let unsure = self.unsettled_until.is_some_and(|until| now < until);
        let surer = unsure && theirs.unsettled.is_none() && theirs.mark() == self.revision();
        theirs.sum != self.sum && (surer || theirs.mark() > self.revision())
    }

    /// Notes a change that is part of the list as of `mark`.
    pub(crate) fn note_change(&mut self, event: FeedEvent, mark: u64) {
        self.changes.note(event, mark.max(self.revision()), self.items.len());
    }
}

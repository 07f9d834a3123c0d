//! A whole list in parts.
//!
//! A list of thousands of entries takes a small link longer than a peer waits for an answer. Sent at once, it came too late
//! each time, was asked for anew, and filled the links of all. A part is small, is asked for apart from everything
//! else, and any peer may send the next one: a list that is as new as the first part says no less.

use crate::roster::{RosterBook, RosterStand};
use compact_str::CompactString;
use oleander_kind::{ClockTime, TimeSpan};
use oleander_plat::FeedObject;
use serde::{Deserialize, Serialize};

/// Entries of one part: some 30 KB.
const PART_ENTRIES: usize = 100;

/// A part of a list, in the order of names.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterPart {
    /// How the list stands.
    #[serde(rename = "s")]
    pub stand: RosterStand,
    /// The entries after the one that was asked for.
    #[serde(rename = "o")]
    pub objects: Vec<FeedObject>,
    /// Whether these are the last.
    #[serde(rename = "l")]
    pub is_last: bool,
}

impl RosterBook {
    /// The entries after the one named `after`; the first ones if it is none.
    pub fn part_after(&self, after: Option<&CompactString>, now: ClockTime) -> RosterPart {
        use std::ops::Bound::{Excluded, Unbounded};
        let from = after.map_or(Unbounded, |name| Excluded(name.clone()));
        let mut later = self.items.range((from, Unbounded)).map(|(_, item)| &item.object);
        let objects = later.by_ref().take(PART_ENTRIES).cloned().collect();
        RosterPart { stand: self.stand(now), objects, is_last: later.next().is_none() }
    }
}

/// A whole list as it was put together.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct WholeRoster {
    /// Its entries.
    pub objects: Vec<FeedObject>,
    /// How the list of the first part stood.
    pub stand: RosterStand,
    /// How long ago that was, at the most.
    pub late: TimeSpan,
}

/// What follows from a part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum PartStep {
    /// The entries after this one are to be asked for.
    AskAfter(CompactString),
    /// The list is whole.
    Whole(WholeRoster),
    /// The part is of an older list than the first one, or of none: another peer is to be asked for the same.
    TooOld,
}

/// Puts the parts of a list together.
#[derive(Clone, Debug, Default)]
pub struct PartsBook {
    /// How the list of the first part stood, and when it was asked for.
    begun: Option<(RosterStand, ClockTime)>,
    objects: Vec<FeedObject>,
}

impl PartsBook {
    /// Takes a part that was asked for at `asked_at` and came at `now`. A list that is no newer than `known` is of no use.
    pub fn take(
        &mut self,
        part: RosterPart,
        known: u64,
        (asked_at, now): (ClockTime, ClockTime),
    ) -> PartStep {
        let least = self.begun.as_ref().map_or(known, |(stand, _)| stand.mark());
        if part.stand.vouch.is_none() || part.stand.mark() < least {
            return PartStep::TooOld;
        }
        let (stand, begun_at) = self.begun.get_or_insert((part.stand, asked_at)).clone();
        self.objects.extend(part.objects);
        match self.objects.last() {
            Some(last) if !part.is_last => PartStep::AskAfter(last.name.clone()),
            _ => {
                let objects = std::mem::take(&mut self.objects);
                PartStep::Whole(WholeRoster { objects, stand, late: now - begun_at })
            }
        }
    }
}

//! A whole list, or many changes of one, in parts.
//!
//! A list of thousands of entries takes a small link longer than a peer waits for an answer. Sent at once, it came too late
//! each time, was asked for anew, and filled the links of all. A part is small, is asked for apart from everything
//! else, and any peer may send the next one: a list that is as new as the first part says no less.

use crate::roster::{RosterBook, RosterStand, RosterUpdate};
use compact_str::CompactString;
use oleander_kind::{ClockTime, TimeSpan};
use oleander_plat::{FeedEvent, FeedObject};
use serde::{Deserialize, Serialize};

/// Entries of one part: some 30 KB.
const PART_ENTRIES: usize = 100;

/// Which part is asked for.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartAsk {
    /// The revision that the asker's list is as of: it lacks what changed later. None if it needs the whole.
    #[serde(rename = "m")]
    pub since: Option<u64>,
    /// The name of the last entry that it has of the parts; none at the start.
    #[serde(rename = "a")]
    pub after: Option<CompactString>,
}

/// A part of a list, in the order of names.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RosterPart {
    /// How the list stands.
    #[serde(rename = "s")]
    pub stand: RosterStand,
    /// The revision since which these are the changes; none if they are of the whole list.
    #[serde(rename = "m")]
    pub since: Option<u64>,
    /// Entries that are gone since then, with the revisions that they had.
    #[serde(rename = "g")]
    pub gone: Vec<(CompactString, u64)>,
    /// The entries after the one that was asked for.
    #[serde(rename = "o")]
    pub objects: Vec<FeedObject>,
    /// Whether these are the last.
    #[serde(rename = "l")]
    pub is_last: bool,
}

impl RosterBook {
    /// The part that is asked for.
    pub fn part(&self, ask: &PartAsk, now: ClockTime) -> RosterPart {
        use std::ops::Bound::{Excluded, Unbounded};
        let changes = ask.since.and_then(|mark| Some((mark, self.changes.after_mark(mark)?)));
        let (since, changes) = changes.unzip();
        let gone = |event: FeedEvent| match event {
            FeedEvent::Gone { name, revision } => Some((name, revision)),
            FeedEvent::Put(_) => None,
        };
        let is_first = ask.after.is_none();
        let gone = changes.into_iter().flatten().filter(|_| is_first).filter_map(gone).collect();
        let from = ask.after.as_ref().map_or(Unbounded, Excluded);
        let later = self.items.range::<CompactString, _>((from, Unbounded));
        let objects = later.map(|(_, item)| &item.object);
        let mut lacked = objects.filter(|object| since.is_none_or(|mark| object.revision > mark));
        let objects = lacked.by_ref().take(PART_ENTRIES).cloned().collect();
        let is_last = lacked.next().is_none();
        RosterPart { stand: self.stand(now), since, gone, objects, is_last }
    }
}

/// What the parts come to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct JoinedParts {
    /// The whole list, or the changes.
    pub update: RosterUpdate,
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
    /// These are all.
    Joined(JoinedParts),
    /// The part is of an older list than the first one, or of none: another peer is to be asked for the same.
    TooOld,
}

#[derive(Clone, Debug)]
struct BegunParts {
    stand: RosterStand,
    since: Option<u64>,
    asked_at: ClockTime,
}

/// Puts the parts of a list together.
#[derive(Clone, Debug, Default)]
pub struct PartsBook {
    begun: Option<BegunParts>,
    gone: Vec<(CompactString, u64)>,
    objects: Vec<FeedObject>,
}

impl PartsBook {
    /// Takes a part that was asked for at `asked_at` and came at `now`. A list that is older than `known` is of no use.
    pub fn take(
        &mut self,
        part: RosterPart,
        known: u64,
        (asked_at, now): (ClockTime, ClockTime),
    ) -> PartStep {
        let begun = self.begun.as_ref();
        let least = begun.map_or(known, |begun| begun.stand.mark());
        let differs = begun.is_some_and(|begun| begun.since != part.since);
        if part.stand.vouch.is_none() || part.stand.mark() < least || differs {
            return PartStep::TooOld;
        }
        let RosterPart { stand, since, gone, objects, is_last } = part;
        let begun = self.begun.get_or_insert(BegunParts { stand, since, asked_at }).clone();
        self.gone.extend(gone);
        self.objects.extend(objects);
        match self.objects.last() {
            Some(last) if !is_last => PartStep::AskAfter(last.name.clone()),
            _ => {
                let late = now - begun.asked_at;
                let update = self.join(begun.since.is_some());
                PartStep::Joined(JoinedParts { update, stand: begun.stand, late })
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

//! Freshness of replicated data: when the store last confirmed it, and to which process.
//!
//! Data that is passed on without its age looks as new at each process as it was at the first. A
//! process that had received nothing for seconds would then count as up to date, because none of
//! its own calls has failed yet.

use oleander_kind::{ClockTime, InstanceId, TimeSpan};
use serde::{Deserialize, Serialize};

/// A confirmation by the store that some data is current.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct FreshnessStamp {
    /// The high-water mark of the data: a revision of the store, over all its eras, or a version of
    /// the rules.
    pub mark: u64,
    /// The latest time at which that mark was known to be current, on this process's monotonic
    /// clock.
    pub at: ClockTime,
    /// The process that got the store's answer.
    pub by: InstanceId,
}

/// A [`FreshnessStamp`] as sent to peers: it has an age instead of a time, because the monotonic
/// clocks of two processes differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FreshnessNote {
    /// The high-water mark of the data.
    #[serde(rename = "m")]
    pub mark: u64,
    /// How long ago the mark was known to be current.
    #[serde(rename = "a")]
    pub age: TimeSpan,
    /// The process that got the store's answer.
    #[serde(rename = "b")]
    pub by: InstanceId,
}

impl FreshnessStamp {
    /// The time since the store confirmed the data.
    pub fn age(&self, now: ClockTime) -> TimeSpan {
        now - self.at
    }

    /// Converts the stamp for a peer.
    pub fn note(&self, now: ClockTime) -> FreshnessNote {
        FreshnessNote { mark: self.mark, age: self.age(now), by: self.by.clone() }
    }
}

impl FreshnessNote {
    /// Converts the note at the process that received it at `now`; it was at most `late` in
    /// transit.
    pub fn received(&self, late: TimeSpan, now: ClockTime) -> FreshnessStamp {
        FreshnessStamp { mark: self.mark, at: now - self.age - late, by: self.by.clone() }
    }
}

/// The latest time that an answer of the store can describe, for a call that was sent at `sent`
/// with a server-side wait of `wait` and whose answer was read at `came`. A process that was paused
/// in between reads an old answer when it resumes.
pub fn latest_answer_time(sent: ClockTime, wait: TimeSpan, came: ClockTime) -> ClockTime {
    came.min(sent + wait)
}

/// Replaces `known` by `candidate` if that has a higher mark, or the same mark at a later time.
pub fn merge_newer(known: &mut Option<FreshnessStamp>, candidate: FreshnessStamp) {
    match known {
        Some(known) if candidate.mark < known.mark => {}
        Some(known) if candidate.mark == known.mark && candidate.at <= known.at => {}
        // The store's mark never falls, so a higher mark was confirmed later.
        Some(known) => *known = FreshnessStamp { at: candidate.at.max(known.at), ..candidate },
        None => *known = Some(candidate),
    }
}

/// How old data from the store may become, derived from the time within which every process must
/// know a change.
///
/// A change made right after the last contact with the store is known within `follower` plus one
/// call at the latest, whichever process falls silent. With a bound of 2 s these are 1.2 s and a
/// few milliseconds; the rest covers a slow call (0.25 s) and a delayed process. In normal
/// operation data is at most 0.8 s old: 0.5 s between two answers to the collector plus 0.25 s
/// between two digests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StalenessLimits {
    /// A process that watches the store repeats its call on a new connection. This is the lowest
    /// limit, so that most silences end here and cost a single call.
    pub watcher: TimeSpan,
    /// Any process asks the store itself.
    pub follower: TimeSpan,
    /// Older data may lack a change that must already be known.
    pub usable: TimeSpan,
}

impl StalenessLimits {
    /// The limits for changes that must be known everywhere within `bound`.
    pub fn within(bound: TimeSpan) -> Self {
        let part = |tenths: u64| TimeSpan(bound.0 * tenths / 10);
        StalenessLimits { watcher: part(5), follower: part(6), usable: part(8) }
    }
}

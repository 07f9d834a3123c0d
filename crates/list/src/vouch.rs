//! How old a belief is: when the store last spoke for it, and to which process.
//!
//! A belief that travels without its age looks as new at each process as it was at the first. A
//! process that has heard nothing for seconds then counts as informed, because no call of its own
//! has failed yet.

use oleander_kind::{ClockTime, InstanceId, TimeSpan};
use serde::{Deserialize, Serialize};

/// That the store spoke for something.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoreVouch {
    /// How far the store was: a revision or a version.
    pub mark: u64,
    /// When it was no further yet, on this process's steady clock.
    pub at: ClockTime,
    /// The process to which it spoke.
    pub by: InstanceId,
}

/// The same for other processes, whose steady clocks differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct VouchNote {
    /// How far the store was.
    #[serde(rename = "m")]
    pub mark: u64,
    /// How long ago.
    #[serde(rename = "a")]
    pub age: TimeSpan,
    /// The process to which it spoke.
    #[serde(rename = "b")]
    pub by: InstanceId,
}

impl StoreVouch {
    /// How long ago the store spoke.
    pub fn age(&self, now: ClockTime) -> TimeSpan {
        now - self.at
    }

    /// The vouch for another process.
    pub fn note(&self, now: ClockTime) -> VouchNote {
        VouchNote { mark: self.mark, age: self.age(now), by: self.by.clone() }
    }
}

impl VouchNote {
    /// The vouch at the process that got it at `now`, `late` after it was written at the most.
    pub fn received(&self, late: TimeSpan, now: ClockTime) -> StoreVouch {
        StoreVouch { mark: self.mark, at: now - self.age - late, by: self.by.clone() }
    }
}

/// When the store can have spoken at the latest that was asked at `sent`, to wait for `wait`, and was
/// heard at `came`. A process that stood still in between finds an old answer when it wakes.
pub fn spoken_at(sent: ClockTime, wait: TimeSpan, came: ClockTime) -> ClockTime {
    came.min(sent + wait)
}

/// Takes `told` if it says more than `known`: that the store was further, or as far at a later time.
pub fn renew(known: &mut Option<StoreVouch>, told: StoreVouch) {
    match known {
        Some(known) if told.mark < known.mark => {}
        Some(known) if told.mark == known.mark && told.at <= known.at => {}
        // The store goes on only; what it said at a higher mark, it said later.
        Some(known) => *known = StoreVouch { at: told.at.max(known.at), ..told },
        None => *known = Some(told),
    }
}

/// How old news of the store may grow, out of the time in which a change must be known everywhere.
///
/// A change that comes right after the store was last heard is known within `follower` and one call
/// at the latest, whoever fell silent: 1.2 s and a few milliseconds of 2 s. The rest is for a call
/// on a slow day (0.25 s) and a process that is late. Where all is well, news is 0.8 s old at the
/// most: 0.5 s between two answers to the collector, 0.25 s between two digests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AgeLimits {
    /// A process that follows the store asks anew, on a new connection. Before the others: most
    /// silences end here, for one call.
    pub watcher: TimeSpan,
    /// Any process asks the store itself.
    pub follower: TimeSpan,
    /// What is older may lack a change that must be known.
    pub usable: TimeSpan,
}

impl AgeLimits {
    /// The limits for changes that must be known within `bound`.
    pub fn within(bound: TimeSpan) -> Self {
        let part = |tenths: u64| TimeSpan(bound.0 * tenths / 10);
        AgeLimits { watcher: part(5), follower: part(6), usable: part(8) }
    }
}

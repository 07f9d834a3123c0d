//! Crashes and answers of one suspect, a request or a part of prompts, and the messages that carry them.

use crate::fingerprint::SuspectFingerprint;
use oleander_kind::{ClockTime, InstanceId, TimeSpan};
use serde::{Deserialize, Serialize};

/// How long a crash counts against a request. Long enough for a caller that returns after minutes;
/// afterwards the request is tried again, as a newer model version may handle it.
pub const CRASH_RETENTION: TimeSpan = TimeSpan(600_000);
/// An answered request is not held responsible for crashes up to this long after the answer: a
/// request that many callers send runs at several endpoints at once, and all of them may lose power
/// together.
pub const EXONERATION_WINDOW: TimeSpan = TimeSpan(30_000);
/// The same for a part of prompts, from the beginning of an answer to a prompt with it. Answers to a part that many
/// prompts share begin all the time; one that crashes endpoints from now on must not be excused for long.
const PART_EXONERATION_WINDOW: TimeSpan = TimeSpan(1000);
/// How long it is known that prompts with a part were answered. Longer than crashes one after the other leave no
/// endpoint to answer any.
pub(crate) const PART_ANSWER_RETENTION: TimeSpan = TimeSpan(120_000);
/// Crashes within this time of one another are one event if the request ran at both endpoints then:
/// the loss of a failure domain, or concurrent copies of a request.
const EVENT_WINDOW: TimeSpan = TimeSpan(100);

/// One incarnation of an endpoint, from its start to its end.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointIncarnation {
    /// The instance id of the endpoint.
    #[serde(rename = "i")]
    pub instance: InstanceId,
    /// Its incarnation number, from its registry entry.
    #[serde(rename = "l")]
    pub life: u64,
}

/// A crash of an endpoint while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointCrash {
    /// The incarnation that crashed.
    pub life: EndpointIncarnation,
    /// When the connection of the request broke.
    pub at: ClockTime,
    /// How long before that the request was sent.
    pub ran: TimeSpan,
    /// Which request ran, if the crash counts against a part of its prompt: some bits of its fingerprint; else 0.
    pub under: u64,
}

impl EndpointCrash {
    /// Of two notes of one crash the first in this order counts.
    fn order(&self) -> (ClockTime, TimeSpan, u64) {
        (self.at, self.ran, self.under)
    }

    /// Whether the request was sent after the crash `other`, so that the two are separate events.
    fn is_after(&self, other: &EndpointCrash) -> bool {
        self.at - self.ran >= other.at
    }
}

/// What all processes have seen of one suspect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct SuspectRecord {
    is_part: bool,
    ends: Vec<EndpointCrash>,
    answered_at: Option<ClockTime>,
}

impl SuspectRecord {
    /// The empty record of a suspect.
    pub fn of(fingerprint: SuspectFingerprint) -> Self {
        SuspectRecord { is_part: fingerprint.is_part(), ends: Vec::new(), answered_at: None }
    }

    /// Whether it is the record of a part of prompts.
    pub fn is_part(&self) -> bool {
        self.is_part
    }

    /// Adds a crash; returns whether it is new.
    ///
    /// Of two times of the same crash the earlier one counts: reports take time, and each makes its
    /// crashes seem later by its own delay. A crash that was reported first with a long delay would
    /// seem to come after the beginning of the attempt that followed it.
    pub fn record_crash(&mut self, end: EndpointCrash) -> bool {
        if self.is_exonerated(&end) {
            return false;
        }
        let known = self.ends.iter_mut().find(|known| known.life == end.life);
        let is_new = known.is_none();
        match known {
            Some(known) if known.order() <= end.order() => return false,
            Some(known) => *known = end,
            None => self.ends.push(end),
        }
        self.ends.sort_by(|one, other| (one.at, &one.life).cmp(&(other.at, &other.life)));
        is_new
    }

    /// Records an answer at `at`. Returns whether others should know: it is newer than the last one, and for a part,
    /// of which answers come all the time, it is the first or explains crashes away.
    pub fn note_answer(&mut self, at: ClockTime) -> bool {
        if self.answered_at.is_some_and(|known| at <= known) {
            return false;
        }
        let is_first = self.answered_at.replace(at).is_none();
        let (window, before) = (self.exoneration_window(), self.ends.len());
        self.ends.retain(|end| end.at > at + window);
        !self.is_part || is_first || self.ends.len() < before
    }

    fn exoneration_window(&self) -> TimeSpan {
        if self.is_part { PART_EXONERATION_WINDOW } else { EXONERATION_WINDOW }
    }

    fn is_exonerated(&self, end: &EndpointCrash) -> bool {
        self.answered_at.is_some_and(|at| end.at <= at + self.exoneration_window())
    }

    /// Returns the crashes, oldest first.
    pub fn ends(&self) -> &[EndpointCrash] {
        &self.ends
    }

    /// Returns when the request was last answered.
    pub fn answered_at(&self) -> Option<ClockTime> {
        self.answered_at
    }

    /// Returns when the request last crashed an endpoint or was answered.
    pub fn seen_at(&self) -> ClockTime {
        let ended_at = self.ends.last().map(|end| end.at);
        ended_at.max(self.answered_at).unwrap_or_default()
    }

    /// Removes expired crashes and an expired answer; returns whether anything is left.
    pub fn expire(&mut self, now: ClockTime) -> bool {
        self.ends.retain(|end| now - end.at < CRASH_RETENTION);
        // The time of the answer is kept for longer than it exonerates the request, so that it
        // reaches processes that were isolated meanwhile.
        let retention = match self.is_part {
            true => PART_ANSWER_RETENTION,
            false => TimeSpan(2 * EXONERATION_WINDOW.0),
        };
        self.answered_at = self.answered_at.filter(|at| now - *at <= retention);
        !self.ends.is_empty() || self.answered_at.is_some()
    }
}

/// Counts the events among `crashes`, which are sorted by time; concurrent crashes are one event.
pub fn count_events<'a>(crashes: impl IntoIterator<Item = &'a EndpointCrash>) -> usize {
    let mut events = 0;
    let mut first: Option<&EndpointCrash> = None;
    for crash in crashes {
        if first.is_none_or(|first| crash.at - first.at > EVENT_WINDOW || crash.is_after(first)) {
            events += 1;
            first = Some(crash);
        }
    }
    events
}

/// A crash as sent between processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashUpdate {
    /// The incarnation that crashed.
    #[serde(rename = "l")]
    pub life: EndpointIncarnation,
    /// How long ago it crashed.
    #[serde(rename = "g")]
    pub age: TimeSpan,
    /// How long the request had been running there.
    #[serde(rename = "r")]
    pub ran: TimeSpan,
    /// Which request ran; see [`EndpointCrash::under`].
    #[serde(rename = "u", default, skip_serializing_if = "is_zero")]
    pub under: u64,
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}

/// What one process tells another about a request. Times are sent as ages because the clocks of the
/// processes differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectUpdate {
    /// The fingerprint of the request.
    #[serde(rename = "p")]
    pub print: SuspectFingerprint,
    /// Crashes while the request ran.
    #[serde(rename = "e")]
    pub ends: Vec<CrashUpdate>,
    /// How long ago the request was last answered.
    #[serde(rename = "a")]
    pub answered: Option<TimeSpan>,
}

impl SuspectUpdate {
    /// Creates the update for `record` at time `now`.
    pub fn of(fingerprint: SuspectFingerprint, record: &SuspectRecord, now: ClockTime) -> Self {
        let end = |end: &EndpointCrash| CrashUpdate {
            life: end.life.clone(),
            age: now - end.at,
            ran: end.ran,
            under: end.under,
        };
        SuspectUpdate {
            print: fingerprint,
            ends: record.ends.iter().map(end).collect(),
            answered: record.answered_at.map(|at| now - at),
        }
    }
}

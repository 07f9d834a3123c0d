//! What is known of one request under which endpoints ended.

use crate::fingerprint::RequestFingerprint;
use oleander_kind::{ClockTime, InstanceId, TimeSpan};
use serde::{Deserialize, Serialize};

/// How long an end speaks against a request. Long enough for a caller that comes back after minutes; a
/// request that a newer model version can bear is tried again after it.
pub const CRASH_RETENTION: TimeSpan = TimeSpan(600_000);
/// A request that was answered is not to blame for ends up to this much later: a key that many ask for runs
/// at several endpoints at once, and all of them may lose their power together.
pub const EXONERATION_WINDOW: TimeSpan = TimeSpan(30_000);
/// Ends within this time of one another are one moment, if the request was at both endpoints then: the loss of a
/// failure domain, or copies of a request that were under way together.
const EVENT_WINDOW: TimeSpan = TimeSpan(100);

/// A life of an endpoint that ended.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct EndpointIncarnation {
    /// The instance.
    #[serde(rename = "i")]
    pub instance: InstanceId,
    /// Which life of it, as its entry says.
    #[serde(rename = "l")]
    pub life: u64,
}

/// An end of an endpoint that ran a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointCrash {
    /// Whose end.
    pub life: EndpointIncarnation,
    /// When the request's connection broke.
    pub at: ClockTime,
    /// How long before that it was sent there.
    pub ran: TimeSpan,
}

impl EndpointCrash {
    /// Whether the request was sent after `other`, so that both are not one moment.
    fn is_after(&self, other: &EndpointCrash) -> bool {
        self.at - self.ran >= other.at
    }
}

/// What all processes saw of one request.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SuspectRecord {
    ends: Vec<EndpointCrash>,
    answered_at: Option<ClockTime>,
}

impl SuspectRecord {
    /// Notes an end; says whether it is news.
    pub fn record_crash(&mut self, end: EndpointCrash) -> bool {
        let known = self.ends.iter().any(|known| known.life == end.life);
        if known || self.is_exonerated(&end) {
            return false;
        }
        self.ends.push(end);
        self.ends.sort_by(|one, other| (one.at, &one.life).cmp(&(other.at, &other.life)));
        true
    }

    /// Notes that the request was answered at `at`; says whether that is news.
    pub fn note_answer(&mut self, at: ClockTime) -> bool {
        if self.answered_at.is_some_and(|known| at <= known) {
            return false;
        }
        self.answered_at = Some(at);
        let answered = SuspectRecord { ends: Vec::new(), answered_at: self.answered_at };
        self.ends.retain(|end| !answered.is_exonerated(end));
        true
    }

    fn is_exonerated(&self, end: &EndpointCrash) -> bool {
        self.answered_at.is_some_and(|at| end.at <= at + EXONERATION_WINDOW)
    }

    /// The ends, the oldest first.
    pub fn ends(&self) -> &[EndpointCrash] {
        &self.ends
    }

    /// When it was answered.
    pub fn answered_at(&self) -> Option<ClockTime> {
        self.answered_at
    }

    /// When the last thing was seen of it.
    pub fn seen_at(&self) -> ClockTime {
        let ended_at = self.ends.last().map(|end| end.at);
        ended_at.max(self.answered_at).unwrap_or_default()
    }

    /// Forgets what is too old; says whether anything is left.
    pub fn expire(&mut self, now: ClockTime) -> bool {
        self.ends.retain(|end| now - end.at < CRASH_RETENTION);
        // Kept for longer than it covers, so that it reaches processes that were cut off meanwhile.
        let stale = |at: ClockTime| now - at > TimeSpan(2 * EXONERATION_WINDOW.0);
        self.answered_at = self.answered_at.filter(|at| !stale(*at));
        !self.ends.is_empty() || self.answered_at.is_some()
    }
}

/// How many events `ends` are, which are in the order of their times.
pub fn count_events<'a>(ends: impl IntoIterator<Item = &'a EndpointCrash>) -> usize {
    let mut events = 0;
    let mut first: Option<&EndpointCrash> = None;
    for end in ends {
        if first.is_none_or(|first| end.at - first.at > EVENT_WINDOW || end.is_after(first)) {
            events += 1;
            first = Some(end);
        }
    }
    events
}

/// An end as one process tells another of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashUpdate {
    /// Whose end.
    #[serde(rename = "l")]
    pub life: EndpointIncarnation,
    /// How long ago it was.
    #[serde(rename = "g")]
    pub age: TimeSpan,
    /// How long the request had run there.
    #[serde(rename = "r")]
    pub ran: TimeSpan,
}

/// What one process tells another of a request. Ages, as the processes' clocks differ.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SuspectUpdate {
    /// The request.
    #[serde(rename = "p")]
    pub print: RequestFingerprint,
    /// Lives that ended under it.
    #[serde(rename = "e")]
    pub ends: Vec<CrashUpdate>,
    /// How long ago it was answered.
    #[serde(rename = "a")]
    pub answered: Option<TimeSpan>,
}

impl SuspectUpdate {
    /// What `record` says at `now`.
    pub fn of(fingerprint: RequestFingerprint, record: &SuspectRecord, now: ClockTime) -> Self {
        let end = |end: &EndpointCrash| CrashUpdate {
            life: end.life.clone(),
            age: now - end.at,
            ran: end.ran,
        };
        SuspectUpdate {
            print: fingerprint,
            ends: record.ends.iter().map(end).collect(),
            answered: record.answered_at.map(|at| now - at),
        }
    }
}

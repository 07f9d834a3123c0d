//! Matches broken attempts with endpoint crashes.

use crate::fingerprint::SuspectFingerprint;
use crate::record::{EndpointCrash, EndpointIncarnation};
use oleander_kind::{ClockTime, TimeSpan};
use std::collections::VecDeque;
use std::rc::Rc;

/// Maximum time between a broken attempt and the news that its endpoint crashed: a registry entry
/// expires after three heartbeats of 1.2 s.
const MATCH_WINDOW: TimeSpan = TimeSpan(4000);
/// Minimum interval between two probes of one endpoint: each costs it a connection, and one probe
/// covers all attempts that broke at the same moment.
const PROBE_PERIOD: TimeSpan = TimeSpan(500);
/// Maximum number of attempts and crashes kept: what all endpoints of a large service run at once.
const MAX_ENTRIES: usize = 1024;

/// What may have crashed an endpoint that ran a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AttemptSuspects {
    /// The request.
    pub request: SuspectFingerprint,
    /// The parts of its prompt that others may share.
    pub parts: Rc<[SuspectFingerprint]>,
}

/// An attempt whose connection broke.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BrokenAttempt {
    /// What may be the cause, if its endpoint crashed.
    pub suspects: AttemptSuspects,
    /// The crash, if it was one.
    pub end: EndpointCrash,
}

/// Timestamps of an attempt whose connection broke.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTimes {
    /// When the request was sent.
    pub sent_at: ClockTime,
    /// When this process last got a complete answer of the endpoint: breaks before that were not
    /// crashes.
    pub last_answer_at: ClockTime,
    /// When the connection broke.
    pub at: ClockTime,
}

/// What a broken attempt implies about its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CrashAttribution {
    /// The endpoint is known to have crashed while it ran the request.
    Confirmed(BrokenAttempt),
    /// Nothing, unless the endpoint turns out to have crashed.
    Pending,
    /// Nothing: another attempt broke there before this request was sent. Requests sent to an
    /// endpoint that has already crashed fail as well, and none of them caused the crash.
    Unrelated,
}

/// Recent attempts of this process that broke, and recent endpoint crashes.
///
/// Connections break for many reasons, most of them in the endpoint or the network. An attempt
/// counts against its request only if the endpoint crashed: its port is closed, its registry entry
/// expired, or its next incarnation started.
#[derive(Debug, Default)]
pub struct CrashMonitor {
    broken: VecDeque<BrokenAttempt>,
    crashed: VecDeque<(EndpointIncarnation, ClockTime)>,
    probed: VecDeque<(EndpointIncarnation, ClockTime)>,
}

impl CrashMonitor {
    /// Records a broken attempt at the incarnation `life`.
    pub fn note_broken(
        &mut self,
        suspects: AttemptSuspects,
        life: &EndpointIncarnation,
        times: AttemptTimes,
    ) -> CrashAttribution {
        let AttemptTimes { sent_at, last_answer_at, at } = times;
        self.expire(at);
        let before = |end: &EndpointCrash| last_answer_at < end.at && end.at < sent_at;
        let broke_before = |broken: &BrokenAttempt| broken.end.life == *life && before(&broken.end);
        let crashed_before = |(crashed, since): &(EndpointIncarnation, ClockTime)| {
            crashed == life && *since < sent_at
        };
        if self.broken.iter().any(broke_before) || self.crashed.iter().any(crashed_before) {
            return CrashAttribution::Unrelated;
        }
        let end = EndpointCrash { life: life.clone(), at, ran: at - sent_at, under: 0 };
        let broken = BrokenAttempt { suspects, end };
        if self.crashed.iter().any(|(crashed, _)| crashed == life) {
            return CrashAttribution::Confirmed(broken);
        }
        push_bounded(&mut self.broken, broken);
        CrashAttribution::Pending
    }

    /// Records that the incarnation `life` crashed; returns the attempts that broke there.
    pub fn note_ended(&mut self, life: &EndpointIncarnation, now: ClockTime) -> Vec<BrokenAttempt> {
        self.expire(now);
        if self.crashed.iter().all(|(crashed, _)| crashed != life) {
            push_bounded(&mut self.crashed, (life.clone(), now));
        }
        let ran_there = |broken: &BrokenAttempt| broken.end.life == *life;
        let (affected, others): (VecDeque<_>, _) = self.broken.drain(..).partition(ran_there);
        self.broken = others;
        affected.into()
    }

    /// Whether requests broke at `life` whose cause is not known yet.
    pub fn is_broken(&self, life: &EndpointIncarnation) -> bool {
        self.broken.iter().any(|broken| broken.end.life == *life)
    }

    /// Whether the caller should probe `life` now; `false` if it was probed recently.
    pub fn start_probe(&mut self, life: &EndpointIncarnation, now: ClockTime) -> bool {
        self.probed.retain(|(_, at)| now - *at < PROBE_PERIOD);
        let is_due = self.probed.iter().all(|(probed, _)| probed != life);
        if is_due {
            push_bounded(&mut self.probed, (life.clone(), now));
        }
        is_due
    }

    fn expire(&mut self, now: ClockTime) {
        self.broken.retain(|broken| now - broken.end.at < MATCH_WINDOW);
        self.crashed.retain(|(_, at)| now - *at < MATCH_WINDOW);
    }
}

fn push_bounded<T>(queue: &mut VecDeque<T>, item: T) {
    if queue.len() >= MAX_ENTRIES {
        queue.pop_front();
    }
    queue.push_back(item);
}

//! Attempts that broke, until it is known whether their endpoints ended.

use crate::fingerprint::RequestFingerprint;
use crate::record::{EndpointCrash, EndpointIncarnation};
use oleander_kind::{ClockTime, TimeSpan};
use std::collections::VecDeque;

/// How long an attempt that broke and the news that its endpoint ended may lie apart: an entry lapses after
/// three heartbeats of 1.2 s.
const MATCH_WINDOW: TimeSpan = TimeSpan(4000);
/// Between two is_due at one endpoint: each costs it a connection, and all that broke with it in one moment
/// need one look.
const PROBE_INTERVAL: TimeSpan = TimeSpan(500);
/// Attempts and ends that are remembered: what all endpoints of a large service run at once.
const MAX_ENTRIES: usize = 1024;

#[derive(Clone, Debug)]
struct BrokenAttempt {
    fingerprint: RequestFingerprint,
    end: EndpointCrash,
}

/// When what happened to an attempt that broke.
#[derive(Clone, Copy, Debug)]
pub struct AttemptTimes {
    /// When it was sent.
    pub sent_at: ClockTime,
    /// When its endpoint last gave a whole answer here: what broke there before was not its end.
    pub last_answer_at: ClockTime,
    /// When it broke.
    pub at: ClockTime,
}

/// What an attempt that broke says of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashAttribution {
    /// Its endpoint is known to have ended: the request ran there.
    Confirmed,
    /// Nothing until the endpoint is known to have ended.
    Pending,
    /// Nothing: something had broken there before it was sent. Requests that are sent to an endpoint that has
    /// ended break as well, and none of them ended it.
    Unrelated,
}

/// Attempts of this process that broke, and endpoints that ended a moment ago.
///
/// Connections break for many reasons, most of them the endpoint's or the network's own. An attempt counts
/// against its request only if the endpoint ended: its port is closed, its entry lapsed, or its next
/// life began.
#[derive(Debug, Default)]
pub struct CrashMonitor {
    broken: VecDeque<BrokenAttempt>,
    ended: VecDeque<(EndpointIncarnation, ClockTime)>,
    probed: VecDeque<(EndpointIncarnation, ClockTime)>,
}

impl CrashMonitor {
    /// Notes that an attempt at `life` broke.
    pub fn note_broken(
        &mut self,
        fingerprint: RequestFingerprint,
        life: &EndpointIncarnation,
        times: AttemptTimes,
    ) -> CrashAttribution {
        let AttemptTimes { sent_at, last_answer_at, at } = times;
        self.sweep(at);
        let before = |end: &EndpointCrash| last_answer_at < end.at && end.at < sent_at;
        let was_broken = |broken: &BrokenAttempt| broken.end.life == *life && before(&broken.end);
        let was_ended =
            |(ended, since): &(EndpointIncarnation, ClockTime)| ended == life && *since < sent_at;
        if self.broken.iter().any(was_broken) || self.ended.iter().any(was_ended) {
            return CrashAttribution::Unrelated;
        }
        if self.ended.iter().any(|(ended, _)| ended == life) {
            return CrashAttribution::Confirmed;
        }
        let end = EndpointCrash { life: life.clone(), at, ran: at - sent_at };
        push_bounded(&mut self.broken, BrokenAttempt { fingerprint, end });
        CrashAttribution::Pending
    }

    /// Notes that `life` ended; gives the requests whose attempts broke there.
    pub fn note_ended(
        &mut self,
        life: &EndpointIncarnation,
        now: ClockTime,
    ) -> Vec<(RequestFingerprint, EndpointCrash)> {
        self.sweep(now);
        if self.ended.iter().all(|(ended, _)| ended != life) {
            push_bounded(&mut self.ended, (life.clone(), now));
        }
        let is_under = |broken: &BrokenAttempt| broken.end.life == *life;
        let (under, others): (VecDeque<_>, _) = self.broken.drain(..).partition(is_under);
        self.broken = others;
        under.into_iter().map(|broken| (broken.fingerprint, broken.end)).collect()
    }

    /// Whether somebody should look whether `life` has ended; no if somebody did a moment ago.
    pub fn start_probe(&mut self, life: &EndpointIncarnation, now: ClockTime) -> bool {
        self.probed.retain(|(_, at)| now - *at < PROBE_INTERVAL);
        let is_due = self.probed.iter().all(|(probed, _)| probed != life);
        if is_due {
            push_bounded(&mut self.probed, (life.clone(), now));
        }
        is_due
    }

    fn sweep(&mut self, now: ClockTime) {
        self.broken.retain(|broken| now - broken.end.at < MATCH_WINDOW);
        self.ended.retain(|(_, at)| now - *at < MATCH_WINDOW);
    }
}

fn push_bounded<T>(queue: &mut VecDeque<T>, item: T) {
    if queue.len() >= MAX_ENTRIES {
        queue.pop_front();
    }
    queue.push_back(item);
}

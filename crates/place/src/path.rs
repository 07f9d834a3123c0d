//! What a process's connections show about its path to the endpoints of a service.
//!
//! An endpoint that cannot be connected to may have ended, or the process itself may be cut off
//! while its peers reach every endpoint. One failure does not tell these apart. Failures at several
//! endpoints with no sign of any other do, and then nothing may be concluded about the endpoints.

use crate::board::EndpointKey;
use oleander_kind::{ClockTime, TimeSpan};

/// Endpoints that must have failed for the path to be doubted. Two rarely end at one moment.
const DOUBT_COUNT: usize = 2;
/// Endpoints that must have failed for the path to be lost. Endpoints of one failure domain end
/// together, so the probes that follow a doubt go to several domains.
const LOSS_COUNT: usize = 4;
/// How long requests may wait without a byte from any endpoint until probes are sent: longer than
/// pauses between the events of a stream.
const SILENCE_TIME: TimeSpan = TimeSpan(700);
/// The shortest time between two rounds of probes; a random part of the same length is added, so
/// that processes that were cut off together do not probe at one moment.
const PROBE_PERIOD: TimeSpan = TimeSpan(250);

/// How a connection to an endpoint failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathFault {
    /// It was refused. Open connections may still work.
    Refused,
    /// Nothing was answered. Open connections hang as well.
    Silent,
}

/// Whether the endpoints of a service can be reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathState {
    /// Nothing speaks against it.
    Open,
    /// Several endpoints could not be reached, and no other has been since.
    Doubted,
    /// None could be reached of all those that were tried; these were enough to conclude that the
    /// path is the cause, or all that there are.
    Lost,
}

/// The path to the endpoints of one service.
#[derive(Clone, Debug, Default)]
pub struct PathRecord {
    /// Endpoints that could not be reached since the last one that was.
    failed: Vec<EndpointKey>,
    fault: Option<PathFault>,
    lost_since: Option<ClockTime>,
    heard_at: ClockTime,
    /// Who answered last, and when, and the last answer of another endpoint.
    answers: [Option<(EndpointKey, ClockTime)>; 2],
    waiting: u32,
    waiting_since: ClockTime,
    probed_at: ClockTime,
    probe_pause: TimeSpan,
}

impl PathRecord {
    /// Records that an endpoint was heard, or holds a connection open. Returns since
    /// when the path had been lost, if it had.
    pub fn note_reached(&mut self, now: ClockTime) -> Option<ClockTime> {
        self.heard_at = now;
        self.failed.clear();
        self.fault = None;
        self.lost_since.take()
    }

    /// Records that a part of an answer of `key` arrived. Returns since when the path had been lost, if it had.
    pub fn note_answered(&mut self, key: EndpointKey, now: ClockTime) -> Option<ClockTime> {
        if self.answers[0].is_some_and(|(last, _)| last != key) {
            self.answers[1] = self.answers[0];
        }
        self.answers[0] = Some((key, now));
        self.note_reached(now)
    }

    /// Records that an endpoint could not be connected to; `listed` endpoints take requests.
    /// Returns whether the path is lost by that.
    pub fn note_failed(
        &mut self,
        (key, fault): (EndpointKey, PathFault),
        listed: usize,
        now: ClockTime,
    ) -> bool {
        if !self.failed.contains(&key) && self.failed.len() < LOSS_COUNT {
            self.failed.push(key);
        }
        self.fault = Some(fault);
        if self.lost_since.is_some() || self.failed.len() < LOSS_COUNT.min(listed.max(1)) {
            return false;
        }
        self.lost_since = Some(now);
        true
    }

    /// Whether the endpoints can be reached; `listed` of them take requests.
    pub fn state(&self, listed: usize) -> PathState {
        match self.failed.len() {
            _ if self.lost_since.is_some() => PathState::Lost,
            count if count >= DOUBT_COUNT.min(listed.max(1)) => PathState::Doubted,
            _ => PathState::Open,
        }
    }

    /// Since when the path is lost.
    pub fn lost_since(&self) -> Option<ClockTime> {
        self.lost_since
    }

    /// How the last connection failed; `None` if an endpoint has been heard since.
    pub fn fault(&self) -> Option<PathFault> {
        self.fault
    }

    /// Endpoints that could not be reached since the last one that was.
    pub fn failed(&self) -> &[EndpointKey] {
        &self.failed
    }

    /// When an endpoint was last heard.
    pub fn heard_at(&self) -> ClockTime {
        self.heard_at
    }

    /// When a part of an answer of another endpoint than `except` last arrived.
    pub fn answered_at(&self, except: Option<EndpointKey>) -> ClockTime {
        let other = self.answers.iter().flatten().find(|(key, _)| Some(*key) != except);
        other.map(|(_, at)| *at).unwrap_or_default()
    }

    /// Records that a request was sent, until [`note_ended`](Self::note_ended).
    pub fn note_sent(&mut self, now: ClockTime) {
        if self.waiting == 0 {
            self.waiting_since = now;
        }
        self.waiting += 1;
    }

    /// Records that a request that was sent is over.
    pub fn note_ended(&mut self) {
        self.waiting = self.waiting.saturating_sub(1);
    }

    /// Whether requests wait for endpoints.
    pub fn is_in_use(&self) -> bool {
        self.waiting > 0
    }

    /// The number of endpoints to probe now: several after failures; one if requests wait and nothing was
    /// heard from any endpoint for too long. `random` spreads the next round over time.
    pub fn start_probes(&mut self, now: ClockTime, random: u64) -> usize {
        let quiet_since = self.waiting_since.max(self.heard_at);
        let is_silent = self.waiting > 0 && now - quiet_since >= SILENCE_TIME;
        let is_suspect = self.failed.len() >= DOUBT_COUNT || self.lost_since.is_some();
        let is_due = now - self.probed_at >= self.probe_pause;
        let probes = match (is_suspect, is_silent) {
            (true, _) => LOSS_COUNT,
            (false, true) if self.failed.is_empty() => 1,
            (false, true) => LOSS_COUNT,
            (false, false) => 0,
        };
        if !is_due || probes == 0 {
            return 0;
        }
        self.probed_at = now;
        self.probe_pause = PROBE_PERIOD + TimeSpan(random % PROBE_PERIOD.0);
        probes
    }
}

//! Decaying aggregates of what all processes observed of each endpoint.

use crate::tally::EvidenceTally;
use oleander_kind::{ClockTime, TimeSpan};
use std::collections::HashMap;
use std::hash::Hash;

/// Half-life of an observation. An endpoint of a large service answers about ten requests a second,
/// which is enough to judge it within two seconds; one that has recovered is back within about ten.
const HALF_LIFE: TimeSpan = TimeSpan(3000);
/// Endpoints with less weight left are removed: a sixty-fourth of an answer, 18 s after a single
/// one.
const MIN_WEIGHT: f64 = 1.0 / 64.0;

/// Decayed observations of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EvidenceSum {
    /// Answers received.
    pub came: f64,
    /// Answers that failed.
    pub failed: f64,
    slowness: f64,
    at: ClockTime,
}

impl EvidenceSum {
    fn decayed(&self, now: ClockTime) -> EvidenceSum {
        let kept = (now - self.at).decay_factor(HALF_LIFE);
        EvidenceSum {
            came: self.came * kept,
            failed: self.failed * kept,
            slowness: self.slowness * kept,
            at: now,
        }
    }

    /// All answers, including those that failed.
    pub fn seen(&self) -> f64 {
        self.came + self.failed
    }

    /// The failure rate; `None` without observations.
    pub fn failure_rate(&self) -> Option<f64> {
        (self.seen() > 0.0).then(|| self.failed / self.seen())
    }

    /// Mean slowness relative to the expected time, in powers of two; `None` without answers.
    pub fn slowness(&self) -> Option<f64> {
        (self.came > 0.0).then(|| self.slowness / self.came)
    }
}

/// Observations of all processes by endpoint. The size is bounded by the endpoints in use: the
/// owner removes the others.
#[derive(Clone, Debug)]
pub struct EvidenceAggregate<K> {
    sums: HashMap<K, EvidenceSum>,
}

impl<K> Default for EvidenceAggregate<K> {
    fn default() -> Self {
        EvidenceAggregate { sums: HashMap::new() }
    }
}

impl<K: Eq + Hash> EvidenceAggregate<K> {
    /// Adds the observations of one process.
    pub fn note(&mut self, endpoint: K, tally: EvidenceTally, now: ClockTime) {
        let sum = self.sums.entry(endpoint).or_default();
        *sum = sum.decayed(now);
        sum.came += f64::from(tally.came);
        sum.failed += f64::from(tally.failed);
        sum.slowness += f64::from(tally.slowness);
    }

    /// Returns the observations of an endpoint, decayed to `now`.
    pub fn sum(&self, endpoint: &K, now: ClockTime) -> EvidenceSum {
        self.sums.get(endpoint).map(|sum| sum.decayed(now)).unwrap_or_default()
    }

    /// Removes the observations of an endpoint.
    pub fn forget(&mut self, endpoint: &K) {
        self.sums.remove(endpoint);
    }

    /// Removes endpoints with negligible weight.
    pub fn sweep(&mut self, now: ClockTime) {
        self.sums.retain(|_, sum| sum.decayed(now).seen() >= MIN_WEIGHT);
    }
}

//! What all processes saw of the endpoints, faded.

use crate::tally::EvidenceTally;
use oleander_kind::{ClockTime, TimeSpan};
use std::collections::HashMap;
use std::hash::Hash;

/// Half of what was seen counts no more after this time. An endpoint of a large service answers some ten
/// requests a second, which is enough to judge by within two seconds; one that is mended is back within some
/// ten.
const HALF_LIFE: TimeSpan = TimeSpan(3000);
/// Endpoints of which less is left are forgotten: a sixty-fourth of an answer, 18 s after a single one.
const LEAST_KEPT: f64 = 1.0 / 64.0;

/// What was seen of one endpoint; newer answers count more.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EvidenceSum {
    /// Answers that came.
    pub came: f64,
    /// Answers that failed.
    pub failed: f64,
    slowness: f64,
    at: ClockTime,
}

impl EvidenceSum {
    fn faded(&self, now: ClockTime) -> EvidenceSum {
        let kept = (now - self.at).part_left(HALF_LIFE);
        EvidenceSum {
            came: self.came * kept,
            failed: self.failed * kept,
            slowness: self.slowness * kept,
            at: now,
        }
    }

    /// Answers, those that failed included.
    pub fn seen(&self) -> f64 {
        self.came + self.failed
    }

    /// The part that failed; `None` if nothing was seen.
    pub fn failed_part(&self) -> Option<f64> {
        (self.seen() > 0.0).then(|| self.failed / self.seen())
    }

    /// How much slower than expected it answers, in powers of two; `None` if it did not answer.
    pub fn slowness(&self) -> Option<f64> {
        (self.came > 0.0).then(|| self.slowness / self.came)
    }
}

/// What all processes saw, by endpoint. Bounded by the endpoints that are asked about: the owner forgets
/// the others.
#[derive(Clone, Debug)]
pub struct EvidenceBook<K> {
    sums: HashMap<K, EvidenceSum>,
}

impl<K> Default for EvidenceBook<K> {
    fn default() -> Self {
        EvidenceBook { sums: HashMap::new() }
    }
}

impl<K: Eq + Hash> EvidenceBook<K> {
    /// Takes what a process saw of an endpoint.
    pub fn note(&mut self, endpoint: K, tally: EvidenceTally, now: ClockTime) {
        let sum = self.sums.entry(endpoint).or_default();
        *sum = sum.faded(now);
        sum.came += f64::from(tally.came);
        sum.failed += f64::from(tally.failed);
        sum.slowness += f64::from(tally.slowness);
    }

    /// What is known of an endpoint.
    pub fn sum(&self, endpoint: &K, now: ClockTime) -> EvidenceSum {
        self.sums.get(endpoint).map(|sum| sum.faded(now)).unwrap_or_default()
    }

    /// Forgets what was seen of an endpoint.
    pub fn forget(&mut self, endpoint: &K) {
        self.sums.remove(endpoint);
    }

    /// Forgets endpoints of which hardly anything is left.
    pub fn sweep(&mut self, now: ClockTime) {
        self.sums.retain(|_, sum| sum.faded(now).seen() >= LEAST_KEPT);
    }
}

//! Observations of one process about one endpoint between two reports.

use oleander_kind::TimeSpan;
use serde::{Deserialize, Serialize};

/// The most answers of one endpoint that a report can plausibly count: a process reports four times
/// a second and serves a few hundred requests a second at most. Reports with more are rejected.
pub const MAX_PLAUSIBLE_COUNT: u16 = 1000;
/// The most that one answer can count as slower or faster than expected, in powers of two. Beyond a
/// factor of six the exact value carries no information: a short prompt queued behind an unknown
/// long one must not outweigh five others.
const MAX_SLOWNESS: f32 = 2.6;

/// The result of one answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AnswerSample {
    /// The first part of the answer came after `took`; `expected` is the estimate from the queued
    /// work.
    Came {
        /// Time from sending the request to the first part of the answer.
        took: TimeSpan,
        /// The usual time for the queued work and the request itself.
        expected: TimeSpan,
    },
    /// The answer failed: an endpoint failure, a malformed answer, no connection or silence.
    Failed,
    /// Nothing has come for twice the latency objective. The answer may still come, but waiting for
    /// it would hide an unresponsive endpoint for as long as callers wait.
    Overdue,
}

/// Observations of one process about one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "TallyFields", into = "TallyFields")]
pub struct EvidenceTally {
    /// Answers received.
    pub came: u16,
    /// Answers that failed or are overdue.
    pub failed: u16,
    /// Sum of the slowness of the answers relative to the expected time, in powers of two.
    pub slowness: f32,
}

type TallyFields = (u16, u16, f32);

impl From<TallyFields> for EvidenceTally {
    fn from((came, failed, slowness): TallyFields) -> Self {
        EvidenceTally { came, failed, slowness }
    }
}

impl From<EvidenceTally> for TallyFields {
    fn from(tally: EvidenceTally) -> Self {
        (tally.came, tally.failed, tally.slowness)
    }
}

impl EvidenceTally {
    /// Counts one answer.
    pub fn note(&mut self, sample: AnswerSample) {
        match sample {
            AnswerSample::Came { took, expected } => {
                let ratio = (took.0.max(1) as f32 / expected.0.max(1) as f32).log2();
                self.came = self.came.saturating_add(1);
                self.slowness += ratio.clamp(-MAX_SLOWNESS, MAX_SLOWNESS);
            }
            AnswerSample::Failed | AnswerSample::Overdue => {
                self.failed = self.failed.saturating_add(1);
            }
        }
    }

    /// Adds another tally.
    pub fn add(&mut self, more: EvidenceTally) {
        self.came = self.came.saturating_add(more.came);
        self.failed = self.failed.saturating_add(more.failed);
        self.slowness += more.slowness;
    }

    /// Whether a process can plausibly have observed this.
    pub fn is_plausible(&self) -> bool {
        let most = f32::from(self.came) * MAX_SLOWNESS;
        self.came <= MAX_PLAUSIBLE_COUNT
            && self.failed <= MAX_PLAUSIBLE_COUNT
            && self.slowness.is_finite()
            && self.slowness.abs() <= most
    }
}

//! What one process saw of one endpoint between two reports.

use oleander_kind::TimeSpan;
use serde::{Deserialize, Serialize};

/// The most answers of one endpoint that a report can truly count: a process reports four times a second and
/// serves some hundred requests a second at the most. Reports with more are not believed.
pub const MOST_COUNTED: u16 = 1000;
/// The most by which one answer counts as slower or quicker than expected, in powers of two. Beyond six times
/// it says no more: a short prompt behind a long one that nobody had heard of must not outweigh five.
const MOST_SLOWNESS: f32 = 2.6;

/// How one answer came.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum AnswerSample {
    /// Its first part came after `took`, where `expected` was to be expected by what waited there.
    Came {
        /// From sending the request to the first part of the answer.
        took: TimeSpan,
        /// What the work ahead and its own usually take.
        expected: TimeSpan,
    },
    /// It failed: a failure of the endpoint's own, a broken answer, no connection or silence.
    Failed,
    /// Nothing of it has come for twice its objective. It may come yet; waiting for that would let a mute
    /// endpoint go unseen for as long as callers wait.
    Overdue,
}

/// What one process saw of one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(from = "TallyFields", into = "TallyFields")]
pub struct EvidenceTally {
    /// Answers that came.
    pub came: u16,
    /// Answers that failed, and those overdue.
    pub failed: u16,
    /// How much slower than expected the answers came, in powers of two, summed.
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
                self.slowness += ratio.clamp(-MOST_SLOWNESS, MOST_SLOWNESS);
            }
            AnswerSample::Failed | AnswerSample::Overdue => {
                self.failed = self.failed.saturating_add(1);
            }
        }
    }

    /// Adds what was seen besides.
    pub fn add(&mut self, more: EvidenceTally) {
        self.came = self.came.saturating_add(more.came);
        self.failed = self.failed.saturating_add(more.failed);
        self.slowness += more.slowness;
    }

    /// Whether a process can have seen this.
    pub fn is_possible(&self) -> bool {
        let most = f32::from(self.came) * MOST_SLOWNESS;
        self.came <= MOST_COUNTED
            && self.failed <= MOST_COUNTED
            && self.slowness.is_finite()
            && self.slowness.abs() <= most
    }
}

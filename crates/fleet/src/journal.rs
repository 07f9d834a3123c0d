//! What was done and why, for `oleander-ctl explain`.

use compact_str::CompactString;
use oleander_kind::ClockTime;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Lines kept in one plan object.
const LINES_KEPT: usize = 400;

/// One decision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct JournalLine {
    /// Wall-clock time.
    pub at: ClockTime,
    /// The instance or client token it is about.
    pub subject: CompactString,
    /// What was done.
    pub action: CompactString,
    /// Why.
    pub reason: CompactString,
}

/// The newest decisions.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct PlanJournal {
    lines: VecDeque<JournalLine>,
}

impl PlanJournal {
    /// Adds a decision; the oldest goes when there are too many.
    pub fn note(&mut self, at: ClockTime, subject: &str, action: &str, reason: &str) {
        let (subject, action, reason) = (subject.into(), action.into(), reason.into());
        self.lines.push_back(JournalLine { at, subject, action, reason });
        if self.lines.len() > LINES_KEPT {
            self.lines.pop_front();
        }
    }

    /// The decisions about `subject`.
    pub fn about<'a>(&'a self, subject: &'a str) -> impl Iterator<Item = &'a JournalLine> {
        self.lines.iter().filter(move |line| line.subject == subject)
    }

    /// All decisions, the oldest first.
    pub fn lines(&self) -> impl Iterator<Item = &JournalLine> {
        self.lines.iter()
    }
}

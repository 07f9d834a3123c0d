//! What callers saw.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// What a call was.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallKind {
    /// A model stream.
    Rewrite,
    /// An idempotent plain call.
    Label,
    /// A call that may not run twice.
    Code,
}

/// How a call ended for its caller.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CallEnd {
    /// With an answer that the caller takes for whole.
    Answered,
    /// With a numbered refusal.
    Refused {
        /// The result code.
        code: u16,
        /// Whether it said "not run".
        not_run: bool,
    },
    /// With nothing that tells what happened.
    Lost,
}

/// One call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallRecord {
    /// Its id, which is its idempotency key too.
    pub id: CompactString,
    /// What it was.
    pub kind: CallKind,
    /// When it started, in milliseconds of the run.
    pub started: u64,
    /// When it ended.
    pub ended: u64,
    /// When the first token or byte came.
    pub first: Option<u64>,
    /// Whether the system accepted it: it began to answer.
    pub accepted: bool,
    /// How often the caller had to come back.
    pub returns: u32,
    /// What was shown.
    pub shown: String,
    /// What a right answer is, for each version that may answer.
    pub right: Vec<String>,
    /// How it ended.
    pub end: CallEnd,
}

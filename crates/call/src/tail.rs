//! Decides what the end of an answer means.
//!
//! The connection of an answer that has neither a length nor chunks ends in the same way when the answer is
//! complete and when the endpoint's process ends. So such an end is believed only if the endpoint is known to have
//! run on after it.

use crate::attempt::AttemptEnd;
use crate::events::EventSplitter;

/// What is known when the answer of an endpoint to a stream request has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StreamTail {
    /// Whether the endpoint stated the end, by a length or a last chunk.
    pub is_stated: bool,
    /// Whether the answer ended inside an event.
    pub is_inside_event: bool,
    /// Whether the answer contained a complete event.
    pub has_events: bool,
    /// Whether the caller had events of the stream before this answer.
    pub goes_on: bool,
}

/// What the end of a stream's answer means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TailVerdict {
    /// The stream is complete.
    Complete,
    /// It broke off.
    BrokenOff,
    /// It is complete if its endpoint ran on afterwards.
    Unproven,
}

impl StreamTail {
    /// The end of an answer whose events `splitter` has returned so far. `goes_on` is as in the field.
    pub fn after(splitter: &EventSplitter, is_stated: bool, goes_on: bool) -> Self {
        StreamTail {
            is_stated,
            is_inside_event: splitter.is_inside_event(),
            has_events: splitter.count() > 0,
            goes_on,
        }
    }

    /// Returns what the end means.
    pub fn verdict(self) -> TailVerdict {
        match self {
            StreamTail { is_inside_event: true, .. } => TailVerdict::BrokenOff,
            StreamTail { is_stated: true, .. } => TailVerdict::Complete,
            // The events that the caller has may have been the last ones.
            StreamTail { has_events: true, .. } | StreamTail { goes_on: true, .. } => {
                TailVerdict::Unproven
            }
            _ => TailVerdict::BrokenOff,
        }
    }
}

/// What is known of an endpoint after its answer ended with its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndProof {
    /// The same incarnation answered after the end: it ended the answer itself.
    RunsOn,
    /// It has ended, or another incarnation is in its place: the answer may have been cut.
    HasEnded,
    /// It could not be asked in time.
    Unanswered,
}

impl EndProof {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            EndProof::RunsOn => "runs_on",
            EndProof::HasEnded => "has_ended",
            EndProof::Unanswered => "unanswered",
        }
    }

    /// How the attempt ended; `None` if its answer is complete.
    pub fn attempt_end(self) -> Option<AttemptEnd> {
        match self {
            EndProof::RunsOn => None,
            EndProof::HasEnded => Some(AttemptEnd::Broken),
            EndProof::Unanswered => Some(AttemptEnd::Unstated),
        }
    }
}

//! Decides what the end of a stream's answer means.
//!
//! The connection of an answer that has neither a length nor chunks ends in the same way when the answer is
//! complete and when its endpoint ends. Nothing may tell the caller that a stream is complete unless the
//! endpoint said so.

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
    /// Whether the caller's answer, as it was begun, has to state its end.
    pub must_state: bool,
}

/// What the end of a stream's answer means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TailVerdict {
    /// It ends as its caller's answer may end.
    Complete,
    /// It broke off.
    BrokenOff,
    /// Nothing shows that it broke off, and nothing allows the caller to be told that it is complete.
    Unstated,
}

impl StreamTail {
    /// The end of an answer whose events `splitter` has returned so far. `goes_on` and `must_state` are as in the fields.
    pub fn after(
        splitter: &EventSplitter,
        is_stated: bool,
        (goes_on, must_state): (bool, bool),
    ) -> Self {
        StreamTail {
            is_stated,
            is_inside_event: splitter.is_inside_event(),
            has_events: splitter.count() > 0,
            goes_on,
            must_state,
        }
    }

    /// Returns what the end means.
    pub fn verdict(self) -> TailVerdict {
        match self {
            StreamTail { is_inside_event: true, .. } => TailVerdict::BrokenOff,
            StreamTail { is_stated: true, .. } => TailVerdict::Complete,
            // The events that the caller has may have been the last ones.
            StreamTail { has_events: false, goes_on: true, .. } => TailVerdict::Unstated,
            StreamTail { has_events: false, .. } => TailVerdict::BrokenOff,
            StreamTail { must_state: true, .. } => TailVerdict::Unstated,
            _ => TailVerdict::Complete,
        }
    }
}

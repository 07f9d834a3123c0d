//! Which endpoints answer worse than the others of their service, by what all processes saw together.
//!
//! Among hundreds of processes one meets a given endpoint about once a minute, so none of them can tell a
//! slow or failing replica from bad luck. Each tells the collector what it saw since its last report
//! ([`EvidenceTally`]); the collector joins this by endpoint and lets it fade ([`EvidenceBook`]), and compares
//! each endpoint with the middle one of its service ([`judge_service`]). Only those that stand out are told
//! to all.
//!
//! The comparison is robust: a whole service that is slow, or an engine model that reads slowly, moves
//! the middle, and then nobody stands out. All of it is a pure function of what was seen and the time.

mod book;
mod tally;
mod verdict;

pub use book::{EvidenceBook, EvidenceSum};
pub use tally::{AnswerSample, EvidenceTally, MOST_COUNTED};
pub use verdict::{BadTrait, LEAST_SEEN, ServiceEvidence, judge_service, most_aside};

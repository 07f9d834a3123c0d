//! Outlier detection: which endpoints answer worse than the others of their service.
//!
//! With hundreds of processes, each sends a request to a given endpoint about once a minute, so
//! none of them alone can tell a slow or failing replica from chance. Each reports its observations
//! since its last report to the collector ([`EvidenceTally`]). The collector sums them by endpoint
//! with exponential decay ([`EvidenceAggregate`]) and compares each endpoint with the median of its
//! service ([`judge_service`]). Only the outliers are sent to all processes.
//!
//! The comparison is robust: if a whole service is slow, or an engine model is slow to read
//! prompts, the median moves and no endpoint is an outlier. Everything here is a pure function of
//! the observations and the time.

mod aggregate;
mod tally;
mod verdict;

pub use aggregate::{EvidenceAggregate, EvidenceSum};
pub use tally::{AnswerSample, EvidenceTally, MAX_PLAUSIBLE_COUNT};
pub use verdict::{BadTrait, MIN_ANSWERS_ASIDE, ServiceEvidence, judge_service, max_set_aside};

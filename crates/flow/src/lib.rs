//! State machine of one request, without I/O: decides on retries and on the final result.
//!
//! Each decision follows from three facts that are recorded for every attempt: whether a byte of the request
//! may have been sent, whether an endpoint may have run it, and whether the answer is complete. The states
//! are types, so that a request cannot be sent before it is admitted, and cannot be reported as "not run"
//! after a byte may have been sent.

pub mod budget;
pub mod life;
pub mod splice;

pub use budget::{BudgetSettings, RetryBudget};
pub use life::{
    Admitted, AttemptFacts, EndState, NextStep, Placed, Received, RequestFlow, RequestSpec,
    RetryPlan, Running,
};
pub use splice::{AnswerSplice, ChunkVerdict};

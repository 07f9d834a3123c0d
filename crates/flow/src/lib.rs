//! The life of one request, as pure decisions.
//!
//! Every answer a caller gets and every retry follows from three recorded facts of each attempt:
//! *may a byte have left*, *may it have run*, *is the answer whole*. The states are types, so that
//! "send" cannot be called before "admit", and "not run" cannot be said once a byte has left.

pub mod budget;
pub mod life;
pub mod splice;

pub use budget::{BudgetSettings, RetryBudget};
pub use life::{
    Admitted, AttemptFacts, EndState, NextStep, Placed, Received, RequestFlow, RequestSpec,
    RetryPlan, Running,
};
pub use splice::{AnswerSplice, ChunkVerdict};

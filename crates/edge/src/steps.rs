//! The steps of a request at which tests put faults.
//!
//! In production there is no hook, and a step costs one comparison. A hook may do anything at its
//! step: set a fault at a stand-in, stop this process, or hold it up.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;

/// A step in a request's life at an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub enum EntryStep {
    /// The body was read.
    Received,
    /// It passed the limits.
    Admitted,
    /// An endpoint was chosen; nothing was sent.
    Placed,
    /// The endpoint began to answer.
    FirstByteBack,
    /// The copy is at its holder.
    Shadowed,
    /// Half of the answer was shown.
    MidStream,
    /// The finish marker came.
    Finished,
    /// The answer is kept.
    Kept,
    /// A claim is about to be asked for.
    ClaimAsked,
    /// The claim is granted.
    ClaimGranted,
    /// A claimed call was answered by its endpoint.
    CallAnswered,
    /// The answer of a claimed call is kept here and at its holder.
    CallKept,
}

impl EntryStep {
    /// Every step.
    pub const ALL: &[EntryStep] = &[
        EntryStep::Received,
        EntryStep::Admitted,
        EntryStep::Placed,
        EntryStep::FirstByteBack,
        EntryStep::Shadowed,
        EntryStep::MidStream,
        EntryStep::Finished,
        EntryStep::Kept,
        EntryStep::ClaimAsked,
        EntryStep::ClaimGranted,
        EntryStep::CallAnswered,
        EntryStep::CallKept,
    ];
}

/// What a hook does at a step.
pub type StepFuture = Pin<Box<dyn Future<Output = ()>>>;

/// A test's hook.
pub type StepHook = Arc<dyn Fn(EntryStep) -> StepFuture + Send + Sync>;

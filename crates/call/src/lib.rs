//! The protocol-independent model of a request.
//!
//! Each ingress translates its dialect into a [`CallHead`]; routes, keys and limits come from the
//! [`RuleSet`] in force; an [`AttemptRecord`] decides what may be done after each attempt.
//! Everything here is a pure function of its arguments, so that each rule about requests can be
//! tested without a network.

pub mod admit;
pub mod attempt;
pub mod events;
pub mod head;
pub mod rules;
pub mod tail;

pub use admit::{AdmittedCall, RuleView, admit_call};
pub use attempt::{AttemptEnd, AttemptRecord, NextStep, RetryBarrier};
pub use events::{CompleteEvent, EventSplitter, StreamRest};
pub use head::{
    AnswerHead, AttemptHeaders, CallHead, EndpointIdentity, EndpointSignal, PromptPart,
    RelayHeaders, RelayedAnswer, TokenCount,
};
pub use rules::{
    AccountKey, AccountRule, AnswerShape, CallerBounds, CurrentRules, EngineRule, RepeatRule,
    RouteKey, RouteRule, RuleSet, ScaleRule, ServiceRule,
};
pub use tail::{EndProof, StreamTail, TailVerdict};

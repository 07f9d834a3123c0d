//! One request as the engine sees it, whatever dialect its caller speaks.
//!
//! An ingress translates its dialect into a [`CallHead`]; routes, keys and limits come from the
//! [`RuleSet`] in force; an [`AttemptRecord`] says what may still be done after each attempt.
//! Everything here is a pure function of its arguments, so that each rule about requests is tested
//! without a network.

pub mod admit;
pub mod attempt;
pub mod events;
pub mod head;
pub mod rules;

pub use admit::{AdmittedCall, RuleView, admit_call};
pub use attempt::{AttemptEnd, AttemptRecord, NextStep};
pub use events::{CompleteEvent, EventSplitter};
pub use head::{AnswerHead, AttemptHeaders, CallHead, EndpointSignal, PromptPart, TokenCount};
pub use rules::{
    AccountKey, AccountRule, AnswerShape, CallerBounds, CurrentRules, EngineRule, RepeatRule,
    RouteKey, RouteRule, RuleSet, ScaleRule, ServiceRule,
};

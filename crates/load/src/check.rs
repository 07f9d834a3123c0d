//! Judges a history against what must hold.

use crate::history::{CallEnd, CallKind, CallRecord};
use serde::Serialize;
use std::collections::HashMap;

/// A rule that a history breaks.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case", tag = "rule")]
pub enum BrokenRule {
    /// An accepted request got no whole answer.
    AcceptedAndLost {
        /// The call.
        id: String,
    },
    /// An answer is not its own request's whole answer.
    WrongAnswer {
        /// The call.
        id: String,
        /// What was shown, shortened.
        shown: String,
    },
    /// Shown text was never part of the right answer.
    NotAPrefix {
        /// The call.
        id: String,
    },
    /// "Not run" was said of a call that ran.
    FalseNotRun {
        /// The call.
        id: String,
    },
    /// A call that may not run twice ran more than once.
    RanTwice {
        /// The call's key.
        id: String,
        /// How often it ran.
        times: usize,
    },
    /// A plain endpoint ran a call after its leaving was known for too long.
    WorkAfterLeaving {
        /// The call.
        id: String,
    },
}

/// What is judged.
pub struct CheckInput<'a> {
    /// What callers saw.
    pub calls: &'a [CallRecord],
    /// Keys of calls that plain services ran, one entry a run.
    pub runs: &'a [String],
}

/// Every rule that the history breaks.
pub fn check_history(input: &CheckInput<'_>) -> Vec<BrokenRule> {
    let mut ran: HashMap<&str, usize> = HashMap::new();
    for key in input.runs {
        *ran.entry(key.as_str()).or_default() += 1;
    }
    let mut broken = Vec::new();
    for call in input.calls {
        check_answer(call, &mut broken);
        let times = ran.get(call.id.as_str()).copied().unwrap_or(0);
        check_runs(call, times, &mut broken);
    }
    broken
}

fn check_answer(call: &CallRecord, broken: &mut Vec<BrokenRule>) {
    let id = call.id.to_string();
    let whole = call.right.contains(&call.shown);
    let prefix = call.right.iter().any(|right| right.starts_with(call.shown.as_str()));
    match &call.end {
        CallEnd::Answered if !whole => {
            let shown = call.shown.chars().take(80).collect();
            broken.push(BrokenRule::WrongAnswer { id, shown });
        }
        CallEnd::Answered => {}
        CallEnd::Refused { .. } | CallEnd::Lost => {
            if call.accepted {
                broken.push(BrokenRule::AcceptedAndLost { id: id.clone() });
            }
            if !prefix {
                broken.push(BrokenRule::NotAPrefix { id });
            }
        }
    }
}

fn check_runs(call: &CallRecord, times: usize, broken: &mut Vec<BrokenRule>) {
    let id = call.id.to_string();
    if call.kind == CallKind::Code && times > 1 {
        broken.push(BrokenRule::RanTwice { id: id.clone(), times });
    }
    let said_not_run = matches!(call.end, CallEnd::Refused { not_run: true, .. });
    if said_not_run && times > 0 {
        broken.push(BrokenRule::FalseNotRun { id });
    }
}

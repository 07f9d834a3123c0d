//! Admission of requests by the rules in force.

use crate::head::CallHead;
use crate::rules::{AccountKey, RouteKey, RuleSet};
use oleander_kind::ResultCode;

/// The rules known to a process.
#[derive(Clone, Copy, Debug)]
pub struct RuleView<'a> {
    /// The rules in force, if any are known.
    pub rules: Option<&'a RuleSet>,
    /// Whether they are known to be current or nearly so.
    pub fresh: bool,
    /// Whether another process has newer rules.
    pub superseded: bool,
}

/// A request that the rules admit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmittedCall {
    /// The route of the request.
    pub route: RouteKey,
    /// The client account; `None` on a public route.
    pub account: Option<AccountKey>,
}

/// Decides whether `view` admits a request.
///
/// Callers treat "no such route" and "unknown key" as final. A process that may have missed a newer
/// version must not answer either: a caller of a route that was just added would give up for good.
/// It answers that it cannot know yet, which sends the caller to another process. So does one that knows that
/// rules had to be in force by now that it has not got: it would admit what they do not allow. While nobody is
/// known to have newer rules, old ones are used, as all processes have them when the store is away.
///
/// # Errors
/// Returns the result code of the refusal; each of them states that the request was not run.
pub fn admit_call(view: RuleView<'_>, head: &CallHead) -> Result<AdmittedCall, ResultCode> {
    let rules = view.rules.ok_or(ResultCode::NoBundle)?;
    if view.superseded && !view.fresh {
        return Err(ResultCode::StaleBundle);
    }
    let final_or_stale = |code| if view.fresh { code } else { ResultCode::StaleBundle };
    let route = rules
        .route_of(&head.host, &head.path)
        .ok_or_else(|| final_or_stale(ResultCode::UnknownRoute))?;
    if rules.route(route).public || !rules.has_accounts() {
        return Ok(AdmittedCall { route, account: None });
    }
    let account =
        rules.account_of(&head.key).ok_or_else(|| final_or_stale(ResultCode::BadCallerKey))?;
    Ok(AdmittedCall { route, account: Some(account) })
}

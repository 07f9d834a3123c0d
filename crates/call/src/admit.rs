//! Whether a request is let in at all, by the rules in force.

use crate::head::CallHead;
use crate::rules::{AccountKey, RouteKey, RuleSet};
use oleander_kind::ResultCode;

/// The rules as a process sees them.
#[derive(Clone, Copy, Debug)]
pub struct RuleView<'a> {
    /// The rules in force, if any are known.
    pub rules: Option<&'a RuleSet>,
    /// Whether they are known to be the newest, or nearly.
    pub fresh: bool,
}

/// A request that the rules let in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AdmittedCall {
    /// Its route.
    pub route: RouteKey,
    /// Whose it is; none on a public route.
    pub account: Option<AccountKey>,
}

/// Judges a request by `view`.
///
/// "No such route" and "unknown key" are final to callers. A process that may have missed a newer
/// version cannot say so truly: a caller of a route added a moment ago would give up for good. It
/// answers that it cannot know yet instead, which sends the caller to another process.
///
/// # Errors
/// The code of the refusal; all of these say "not run".
pub fn admit_call(view: RuleView<'_>, head: &CallHead) -> Result<AdmittedCall, ResultCode> {
    let rules = view.rules.ok_or(ResultCode::NoBundle)?;
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

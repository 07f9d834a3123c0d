//! How many requests a version may get before it is proved.
//!
//! They are handed out by the ledger that hands out the limits of client accounts, as an account of its own whose
//! limit grows with the requests that the service gets. So the bound holds for any demand, any age or loss of news, and any
//! change or end of the process that keeps the ledger, for the reasons that limits hold.

use oleander_kind::{AccountName, ServiceName, TimeSpan};
use oleander_limit::PoolLimit;

/// Requests that a process should hold while a version is trial_bound.
pub const TRIAL_GRANTS: u64 = 1;

/// The operators' bounds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureBounds {
    /// The part of a service's requests that a bad version may get.
    pub share: f64,
    /// Requests that it may get besides.
    pub slack: f64,
}

/// What a version gets before it looks sound, as a part of its bound: enough to judge by; the rest is left for moving.
const TRIAL_FRACTION: f64 = 0.15;
/// The part of the slack that is used. The rest is for what is counted at another moment than it arrives.
const SLACK_FRACTION: f64 = 0.9;
/// The part of the slack that is used before a version looks sound.
const TRIAL_SLACK_FRACTION: f64 = 0.4;
/// Longer than any order that matters: what was handed out counts until its order is decided.
const GRANT_WINDOW: TimeSpan = TimeSpan::secs(60);

impl ExposureBounds {
    /// Requests that a version may get, of `sent` ones since the order, before it looks sound.
    pub fn trial_bound(&self, sent: f64) -> f64 {
        self.share * TRIAL_FRACTION * sent + self.slack * TRIAL_SLACK_FRACTION
    }

    /// The same once it does.
    pub fn move_bound(&self, sent: f64) -> f64 {
        self.share * sent + self.slack * SLACK_FRACTION
    }
}

/// The account of the ledger from which requests to a version are paid.
pub fn exposure_account(service: &ServiceName, to: &str) -> AccountName {
    format!("release:{service}:{to}").as_str().into()
}

/// The limit of that account.
pub fn exposure_limit(most: f64) -> PoolLimit {
    PoolLimit {
        rate_per_s: 0.0,
        burst: most.floor().max(0.0),
        overshoot: 0.0,
        window: GRANT_WINDOW,
    }
}

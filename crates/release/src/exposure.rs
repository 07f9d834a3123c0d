//! Bounds on the requests that a version may get before it is proven.
//!
//! Each version under trial has an account of its own in the ledger that enforces the limits of
//! client accounts. The ledger grants the requests to the version, up to a limit that grows with
//! the requests of the service. The bound therefore holds for any demand, any delay or loss of
//! news, and any change or failure of the process that keeps the ledger, just as those limits do.

use oleander_kind::{AccountName, ServiceName, TimeSpan};
use oleander_limit::PoolLimit;

/// Grants that each process should hold while a version is under trial.
pub const TRIAL_GRANTS: u64 = 1;

/// The bounds set by the operators.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ExposureBounds {
    /// The fraction of a service's requests that a bad version may get.
    pub share: f64,
    /// Requests that it may get in addition.
    pub slack: f64,
}

/// The fraction of the bound available before a version is found sound: enough to judge it; the
/// rest is kept for the move.
const TRIAL_FRACTION: f64 = 0.15;
/// The fraction of the slack that is used. The rest covers requests that are counted at another
/// time than they arrive.
const SLACK_FRACTION: f64 = 0.9;
/// The fraction of the slack used before a version is found sound.
const TRIAL_SLACK_FRACTION: f64 = 0.4;
/// Longer than any order that matters, so that grants count until the order is decided.
const GRANT_WINDOW: TimeSpan = TimeSpan::secs(60);

impl ExposureBounds {
    /// Requests that a version may get before it is found sound, of `sent` requests since the
    /// order.
    pub fn trial_bound(&self, sent: f64) -> f64 {
        self.share * TRIAL_FRACTION * sent + self.slack * TRIAL_SLACK_FRACTION
    }

    /// Requests that it may get once it is found sound.
    pub fn move_bound(&self, sent: f64) -> f64 {
        self.share * sent + self.slack * SLACK_FRACTION
    }
}

/// Returns the ledger account that pays for requests to a version under trial.
pub fn exposure_account(service: &ServiceName, to: &str) -> AccountName {
    format!("release:{service}:{to}").as_str().into()
}

/// Returns the limit of a version's ledger account: `most` requests in all.
pub fn exposure_limit(most: f64) -> PoolLimit {
    PoolLimit {
        rate_per_s: 0.0,
        burst: most.floor().max(0.0),
        overshoot: 0.0,
        window: GRANT_WINDOW,
    }
}

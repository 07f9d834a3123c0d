//! Retry budget of a service, which keeps retries from amplifying an overload.

use oleander_kind::{ClockTime, TimeSpan};

/// Limits on the retries of a service.
#[derive(Clone, Copy, Debug)]
pub struct BudgetSettings {
    /// Retries added to the budget by each first attempt, in thousandths.
    pub earned_per_mille: u32,
    /// Most retries that the budget holds.
    pub max_stored: u32,
    /// Upper bound of the backoff before the first retry; doubled for each further one.
    pub base_backoff: TimeSpan,
    /// Longest backoff before a retry.
    pub max_backoff: TimeSpan,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        BudgetSettings {
            earned_per_mille: 200,
            max_stored: 50,
            base_backoff: TimeSpan(5),
            max_backoff: TimeSpan(400),
        }
    }
}

/// A retry budget: each first attempt adds a fraction of a retry, and each retry takes one.
///
/// Without a budget, endpoints that refuse requests under load receive all of them again at once, and the
/// overload outlasts its cause (a metastable failure). With a budget, retries stay below a fixed fraction of
/// the first attempts, so that the load falls when the demand falls.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: BudgetSettings,
    stored_per_mille: u64,
}

const PER_RETRY: u64 = 1000;

impl RetryBudget {
    /// Creates a full budget.
    pub fn new(settings: BudgetSettings) -> Self {
        let stored_per_mille = u64::from(settings.max_stored) * PER_RETRY;
        RetryBudget { settings, stored_per_mille }
    }

    /// Adds the fraction of a retry that a first attempt earns.
    pub fn earn(&mut self) {
        let most = u64::from(self.settings.max_stored) * PER_RETRY;
        self.stored_per_mille =
            (self.stored_per_mille + u64::from(self.settings.earned_per_mille)).min(most);
    }

    /// Takes back what a first attempt earned.
    pub fn return_earned(&mut self) {
        let earned = u64::from(self.settings.earned_per_mille);
        self.stored_per_mille = self.stored_per_mille.saturating_sub(earned);
    }

    /// Takes one retry from the budget; returns whether there was one.
    pub fn spend(&mut self) -> bool {
        if self.stored_per_mille < PER_RETRY {
            return false;
        }
        self.stored_per_mille -= PER_RETRY;
        true
    }

    /// Number of whole retries left.
    pub fn left(&self) -> u64 {
        self.stored_per_mille / PER_RETRY
    }

    /// Backoff before retry number `retry` (from 0), with full jitter from `random`: otherwise all requests of
    /// a lost endpoint would be retried in the same millisecond.
    pub fn backoff(&self, retry: u32, random: u64) -> TimeSpan {
        let doubled = self.settings.base_backoff.0 << retry.min(16);
        let ceiling = doubled.min(self.settings.max_backoff.0).max(1);
        TimeSpan(random % (ceiling + 1))
    }

    /// Whether a retry after `backoff` starts before `deadline`.
    pub fn in_time(&self, now: ClockTime, backoff: TimeSpan, deadline: ClockTime) -> bool {
        now + backoff < deadline
    }
}

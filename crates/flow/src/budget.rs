//! One retry budget a service, so that retries cannot multiply an overload.

use oleander_kind::{ClockTime, TimeSpan};

/// How many retries a service's traffic may cause.
#[derive(Clone, Copy, Debug)]
pub struct BudgetSettings {
    /// Retries earned by each first attempt, in thousandths.
    pub earned_per_mille: u32,
    /// The most retries kept in store.
    pub max_stored: u32,
    /// The first pause before a retry.
    pub base_backoff: TimeSpan,
    /// The longest pause before a retry.
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

/// The budget itself: each first attempt earns a fraction of a retry, each retry spends one.
///
/// Without it, endpoints that refuse under load get every refused request again at once, and the
/// overload outlives its cause (a metastable failure). With it retries stay below a fixed share of
/// first attempts, so the load falls when the demand falls.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    settings: BudgetSettings,
    stored_per_mille: u64,
}

const PER_RETRY: u64 = 1000;

impl RetryBudget {
    /// A full budget.
    pub fn new(settings: BudgetSettings) -> Self {
        let stored_per_mille = u64::from(settings.max_stored) * PER_RETRY;
        RetryBudget { settings, stored_per_mille }
    }

    /// Counts a first attempt.
    pub fn earn(&mut self) {
        let most = u64::from(self.settings.max_stored) * PER_RETRY;
        self.stored_per_mille =
            (self.stored_per_mille + u64::from(self.settings.earned_per_mille)).min(most);
    }

    /// Takes one retry out of the budget, if there is one.
    pub fn spend(&mut self) -> bool {
        if self.stored_per_mille < PER_RETRY {
            return false;
        }
        self.stored_per_mille -= PER_RETRY;
        true
    }

    /// Whole retries left.
    pub fn left(&self) -> u64 {
        self.stored_per_mille / PER_RETRY
    }

    /// The pause before retry number `retry` (from 0), with full jitter from `random`: all callers
    /// of a lost endpoint would otherwise come back in the same millisecond.
    pub fn backoff(&self, retry: u32, random: u64) -> TimeSpan {
        let doubled = self.settings.base_backoff.0 << retry.min(16);
        let ceiling = doubled.min(self.settings.max_backoff.0).max(1);
        TimeSpan(random % (ceiling + 1))
    }

    /// Whether a pause of `backoff` still leaves time before `deadline`.
    pub fn in_time(&self, now: ClockTime, backoff: TimeSpan, deadline: ClockTime) -> bool {
        now + backoff < deadline
    }
}

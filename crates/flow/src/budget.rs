//! One retry budget a service, so that retries cannot multiply an overload.

use oleander_kind::{ClockTime, TimeSpan};

/// How many retries a service's traffic may cause.
#[derive(Clone, Copy, Debug)]
pub struct BudgetSettings {
    /// Retries earned by each first attempt, in thousandths.
    pub earned_per_mille: u32,
    /// The most retries kept in store.
    pub most_kept: u32,
    /// The first pause before a retry.
    pub first_pause: TimeSpan,
    /// The longest pause before a retry.
    pub longest_pause: TimeSpan,
}

impl Default for BudgetSettings {
    fn default() -> Self {
        BudgetSettings {
            earned_per_mille: 200,
            most_kept: 50,
            first_pause: TimeSpan(5),
            longest_pause: TimeSpan(400),
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
    kept_per_mille: u64,
}

const ONE_RETRY: u64 = 1000;

impl RetryBudget {
    /// A full budget.
    pub fn new(settings: BudgetSettings) -> Self {
        let kept_per_mille = u64::from(settings.most_kept) * ONE_RETRY;
        RetryBudget { settings, kept_per_mille }
    }

    /// Counts a first attempt.
    pub fn earn(&mut self) {
        let most = u64::from(self.settings.most_kept) * ONE_RETRY;
        self.kept_per_mille =
            (self.kept_per_mille + u64::from(self.settings.earned_per_mille)).min(most);
    }

    /// Takes one retry out of the budget, if there is one.
    pub fn spend(&mut self) -> bool {
        if self.kept_per_mille < ONE_RETRY {
            return false;
        }
        self.kept_per_mille -= ONE_RETRY;
        true
    }

    /// Whole retries left.
    pub fn left(&self) -> u64 {
        self.kept_per_mille / ONE_RETRY
    }

    /// The pause before retry number `retry` (from 0), with full jitter from `random`: all callers
    /// of a lost endpoint would otherwise come back in the same millisecond.
    pub fn pause(&self, retry: u32, random: u64) -> TimeSpan {
        let doubled = self.settings.first_pause.0 << retry.min(16);
        let ceiling = doubled.min(self.settings.longest_pause.0).max(1);
        TimeSpan(random % (ceiling + 1))
    }

    /// Whether a pause of `pause` still leaves time before `deadline`.
    pub fn in_time(&self, now: ClockTime, pause: TimeSpan, deadline: ClockTime) -> bool {
        now + pause < deadline
    }
}

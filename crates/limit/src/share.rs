//! Admission control at one entry, against its share of an account's limits.

use crate::owner::{DemandReport, ShareGrant};
use oleander_kind::{AccountName, ClockTime, TimeSpan};
use std::collections::BTreeMap;

/// An account's limits across all entries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AccountLimits {
    /// Requests a second.
    pub requests_per_s: u32,
    /// Requests in flight.
    pub in_flight: u32,
    /// Tokens a second.
    pub tokens_per_s: u32,
}

/// The decision on one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitVerdict {
    /// Admit the request.
    Pass,
    /// Refuse the request; the caller may retry after `retry_ms`.
    Refuse {
        /// When to retry, in milliseconds.
        retry_ms: u64,
    },
}

/// The number of thousandths in a whole: of a share, and of a request or token in a bucket.
const MILLI: u64 = 1000;
/// The largest burst, as time at the share's rate.
const BURST_TIME: TimeSpan = TimeSpan(1000);

#[derive(Clone, Copy, Debug, Default)]
struct TokenBucket {
    /// Content of the bucket, in thousandths of a request or token.
    milli: u64,
    filled_at: ClockTime,
}

impl TokenBucket {
    fn fill(&mut self, rate_per_s: u64, now: ClockTime) {
        let most = (rate_per_s * BURST_TIME.0).max(MILLI);
        let gained = (now - self.filled_at).0 * rate_per_s;
        self.milli = (self.milli + gained).min(most);
        self.filled_at = now;
    }
}

#[derive(Clone, Debug)]
struct AccountState {
    requests: TokenBucket,
    tokens: TokenBucket,
    in_flight: u32,
    /// Requests received since the last report.
    asked: u32,
    grant: Option<(ShareGrant, ClockTime)>,
}

/// Counts the requests of every account at one entry and admits them within the entry's share.
#[derive(Debug)]
pub struct LimitGate {
    accounts: BTreeMap<AccountName, AccountState>,
    entries: u32,
}

impl LimitGate {
    /// Creates a gate for one of `entries` entries.
    pub fn new(entries: u32) -> Self {
        LimitGate { accounts: BTreeMap::new(), entries: entries.max(1) }
    }

    /// Sets the number of entries: without a grant each entry takes an equal share.
    pub fn set_entries(&mut self, entries: u32) {
        self.entries = entries.max(1);
    }

    /// Decides on a request of `account` for `tokens` tokens, and counts it if it is admitted.
    pub fn admit(
        &mut self,
        account: &AccountName,
        limits: &AccountLimits,
        tokens: u64,
        now: ClockTime,
    ) -> LimitVerdict {
        let entries = u64::from(self.entries);
        let state = self.account(account, now);
        state.asked += 1;
        let share = state.share_per_mille(entries, now);
        let of = |limit: u32| (u64::from(limit) * share).div_ceil(MILLI).max(1);
        let (requests, tokens_rate) = (of(limits.requests_per_s), of(limits.tokens_per_s));
        state.requests.fill(requests, now);
        state.tokens.fill(tokens_rate, now);
        // A request larger than the burst must be admitted eventually, so it needs a full bucket
        // only.
        let need = (tokens * MILLI).min(tokens_rate * BURST_TIME.0);
        if u64::from(state.in_flight) >= of(limits.in_flight) {
            return LimitVerdict::Refuse { retry_ms: MILLI };
        }
        if state.requests.milli < MILLI {
            return LimitVerdict::Refuse {
                retry_ms: (MILLI - state.requests.milli) / requests + 1,
            };
        }
        if state.tokens.milli < need {
            let missing = need - state.tokens.milli;
            return LimitVerdict::Refuse { retry_ms: missing / tokens_rate + 1 };
        }
        state.requests.milli -= MILLI;
        state.tokens.milli -= need;
        state.in_flight += 1;
        LimitVerdict::Pass
    }

    /// Records that a request of `account` has ended.
    pub fn release(&mut self, account: &AccountName) {
        if let Some(state) = self.accounts.get_mut(account) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// Requests of `account` in flight at this entry.
    pub fn in_flight(&self, account: &AccountName) -> u32 {
        self.accounts.get(account).map_or(0, |state| state.in_flight)
    }

    /// The number of accounts known at this entry.
    pub fn len(&self) -> usize {
        self.accounts.len()
    }

    /// Whether no account is known at this entry.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }

    /// Takes the demand since the last reports, for the accounts that had any.
    pub fn take_reports(&mut self) -> Vec<(AccountName, DemandReport)> {
        let mut reports = Vec::new();
        for (name, state) in &mut self.accounts {
            if state.asked == 0 && state.in_flight == 0 {
                continue;
            }
            let report = DemandReport { asked: state.asked, in_flight: state.in_flight };
            reports.push((name.clone(), report));
            state.asked = 0;
        }
        reports
    }

    /// Applies a grant from the account's owner.
    pub fn take_grant(&mut self, account: &AccountName, grant: ShareGrant, now: ClockTime) {
        self.account(account, now).grant = Some((grant, now));
    }

    fn account(&mut self, name: &AccountName, now: ClockTime) -> &mut AccountState {
        self.accounts.entry(name.clone()).or_insert_with(|| AccountState {
            // Buckets start full: this exceeds a second at any rate, and `fill` caps it at the
            // share's burst.
            requests: TokenBucket { milli: u64::MAX / 4, filled_at: now },
            tokens: TokenBucket { milli: u64::MAX / 4, filled_at: now },
            in_flight: 0,
            asked: 0,
            grant: None,
        })
    }
}

impl AccountState {
    /// This entry's share in thousandths: the granted share, or an equal one. An expired grant
    /// falls back to the equal share, because its owner may be gone and another owner may be
    /// granting the same capacity.
    fn share_per_mille(&self, entries: u64, now: ClockTime) -> u64 {
        match &self.grant {
            Some((grant, at)) if now - *at < grant.lasts => u64::from(grant.share_per_mille),
            _ => MILLI.div_ceil(entries),
        }
    }
}

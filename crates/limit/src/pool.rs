//! One bucket of tokens an account over all processes, without a call per request.
//!
//! A ledger at one process keeps each account's bucket. The others tell it how much they have let in
//! since they began, several times a second, and hear the level of the bucket and how fast the rest
//! spend from it. Between two answers each judges by the level it expects. Equal shares would be
//! wrong: connections are spread unevenly, and one large request is more than a small share's burst.

use crate::share::LimitVerdict;
use oleander_kind::{AccountName, ClockTime, InstanceId, TimeSpan};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};

/// Part of the allowed overshoot that single decisions may use; the rest is for what is let in
/// between two answers of the ledger while demand jumps. At 7.5 times the usual demand and 250 ms
/// between answers that is about one second's rate.
const SINGLE_PART: f64 = 0.2;
/// The time over which spending rates are averaged: long enough to hold a few requests.
const RATE_TIME: TimeSpan = TimeSpan(1500);
/// News older than this is not extrapolated any more: the ledger is gone or cut off.
const NEWS_LASTS: TimeSpan = TimeSpan(1500);

/// An account's limit, in tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolLimit {
    /// Tokens a second over all processes.
    pub rate_per_s: f64,
    /// Tokens that may come at once.
    pub burst: f64,
    /// Tokens by which the limit may be passed in a window.
    pub overshoot: f64,
}

/// The level of an account's bucket as the ledger tells it to one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LevelNews {
    /// Tokens in the bucket; negative after an overshoot.
    #[serde(rename = "l")]
    pub level: i64,
    /// Tokens a second that the other processes spend.
    #[serde(rename = "o")]
    pub others_per_s: u64,
    /// What this process had let in by then, as it reported.
    #[serde(rename = "c")]
    pub counted: u64,
}

#[derive(Clone, Copy, Debug)]
struct KnownLevel {
    news: LevelNews,
    at: ClockTime,
}

#[derive(Clone, Copy, Debug, Default)]
struct GateAccount {
    spent: u64,
    known: Option<KnownLevel>,
    own_level: f64,
    own_filled_at: Option<ClockTime>,
}

/// Judges requests of every account at one process.
#[derive(Debug, Default)]
pub struct PoolGate {
    accounts: HashMap<AccountName, GateAccount>,
}

impl PoolGate {
    /// Judges a request of `tokens` tokens, and counts it if it passes. `processes` is how many
    /// processes there are, for the time when nothing is heard of the ledger.
    pub fn admit(
        &mut self,
        account: &AccountName,
        limit: &PoolLimit,
        tokens: u64,
        (processes, now): (u32, ClockTime),
    ) -> LimitVerdict {
        let state = self.accounts.entry(account.clone()).or_default();
        let expected = state.expected_level(limit, now);
        let share = limit.scaled(1.0 / f64::from(processes.max(1)));
        state.fill_own(&share, now);
        let (level, limit) = match expected {
            Some(level) => (level, *limit),
            None => (state.own_level, share),
        };
        let missing = tokens as f64 - limit.overshoot * SINGLE_PART - level;
        if missing > 0.0 {
            let retry_ms = (missing * 1000.0 / limit.rate_per_s.max(1.0)) as u64 + 1;
            return LimitVerdict::Refuse { retry_ms };
        }
        state.spent += tokens;
        state.own_level -= tokens as f64;
        LimitVerdict::Pass
    }

    /// What each account was let in here since this process began, in tokens.
    pub fn spent(&self) -> impl Iterator<Item = (&AccountName, u64)> {
        self.accounts.iter().map(|(name, state)| (name, state.spent))
    }

    /// Takes the ledger's news of an account.
    pub fn take_news(&mut self, account: &AccountName, news: LevelNews, now: ClockTime) {
        let state = self.accounts.entry(account.clone()).or_default();
        state.known = Some(KnownLevel { news, at: now });
    }

    /// The level of each account's bucket as it is expected at `now`, for a ledger that begins.
    pub fn expected_levels(
        &self,
        limit_of: impl Fn(&AccountName) -> Option<PoolLimit>,
        now: ClockTime,
    ) -> Vec<(AccountName, f64)> {
        let level = |(name, state): (&AccountName, &GateAccount)| {
            let level = state.expected_level(&limit_of(name)?, now)?;
            Some((name.clone(), level))
        };
        self.accounts.iter().filter_map(level).collect()
    }
}

impl GateAccount {
    fn expected_level(&self, limit: &PoolLimit, now: ClockTime) -> Option<f64> {
        let known = self.known.filter(|known| now - known.at < NEWS_LASTS)?;
        let seconds = (now - known.at).0 as f64 / 1000.0;
        let flow = (limit.rate_per_s - known.news.others_per_s as f64) * seconds;
        let own = self.spent.saturating_sub(known.news.counted) as f64;
        Some((known.news.level as f64 + flow).min(limit.burst) - own)
    }

    /// This process's own share of the bucket, for the time without a ledger.
    fn fill_own(&mut self, share: &PoolLimit, now: ClockTime) {
        let Some(at) = self.own_filled_at.replace(now) else {
            self.own_level = share.burst;
            return;
        };
        let gained = share.rate_per_s * (now - at).0 as f64 / 1000.0;
        self.own_level = (self.own_level + gained).min(share.burst);
    }
}

impl PoolLimit {
    /// The limit times `part`.
    pub fn scaled(&self, part: f64) -> PoolLimit {
        PoolLimit {
            rate_per_s: self.rate_per_s * part,
            burst: self.burst * part,
            overshoot: self.overshoot * part,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct SpendRate {
    per_s: f64,
    at: ClockTime,
}

impl SpendRate {
    fn note(&mut self, tokens: f64, now: ClockTime) {
        let span = (now - self.at).0 as f64;
        let kept = (-span / RATE_TIME.0 as f64).exp();
        self.per_s = self.per_s * kept + tokens * 1000.0 / RATE_TIME.0 as f64;
        self.at = now;
    }

    fn now(&self, now: ClockTime) -> f64 {
        self.per_s * (-((now - self.at).0 as f64) / RATE_TIME.0 as f64).exp()
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct SpenderState {
    life: u64,
    spent: u64,
    rate: SpendRate,
}

#[derive(Debug, Default)]
struct LedgerAccount {
    level: f64,
    filled_at: Option<ClockTime>,
    total: SpendRate,
    spenders: BTreeMap<InstanceId, SpenderState>,
}

/// A process that spends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolSpender {
    /// Its instance.
    pub instance: InstanceId,
    /// Tells two lives of it apart.
    pub life: u64,
}

/// The buckets of all accounts, at one process.
#[derive(Debug, Default)]
pub struct PoolLedger {
    accounts: BTreeMap<AccountName, LedgerAccount>,
}

impl PoolLedger {
    /// Begins with the levels that were expected when the last ledger was heard of. A bucket that
    /// began full would let an account that is at its limit in for another burst after every change
    /// of the ledger.
    pub fn begin(levels: Vec<(AccountName, f64)>, now: ClockTime) -> Self {
        let account = |level| LedgerAccount { level, filled_at: Some(now), ..Default::default() };
        let accounts = levels.into_iter().map(|(name, level)| (name, account(level))).collect();
        PoolLedger { accounts }
    }

    /// Takes what `spender` has let in of `account` since it began, and tells it the level.
    ///
    /// Counts are whole sums, so that a report that is lost or comes twice changes nothing.
    pub fn report(
        &mut self,
        account: &AccountName,
        limit: &PoolLimit,
        (spender, spent): (&PoolSpender, u64),
        now: ClockTime,
    ) -> LevelNews {
        let owned = self.accounts.entry(account.clone()).or_default();
        owned.fill(limit, now);
        let fresh = || SpenderState { life: spender.life, ..Default::default() };
        let known = owned.spenders.contains_key(&spender.instance);
        let state = owned.spenders.entry(spender.instance.clone()).or_insert_with(fresh);
        let same_life = state.life == spender.life;
        // What a process spent before this ledger knew it is in the level it began with.
        let before = match (known, same_life) {
            (true, true) => state.spent,
            (true, false) => 0,
            (false, _) => spent,
        };
        let new = spent.saturating_sub(before) as f64;
        state.life = spender.life;
        state.spent = spent;
        state.rate.note(new, now);
        owned.level -= new;
        owned.total.note(new, now);
        let others = (owned.total.now(now) - state.rate.now(now)).max(0.0);
        LevelNews { level: owned.level as i64, others_per_s: others as u64, counted: spent }
    }
}

impl LedgerAccount {
    fn fill(&mut self, limit: &PoolLimit, now: ClockTime) {
        let Some(at) = self.filled_at.replace(now) else {
            self.level = limit.burst;
            return;
        };
        let gained = limit.rate_per_s * (now - at).0 as f64 / 1000.0;
        self.level = (self.level + gained).min(limit.burst);
    }
}

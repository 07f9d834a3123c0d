//! Admission control at one process, against its allotments.

use super::message::{
    ALLOTMENT_LIFETIME, ANSWER_TIMEOUT, AllotmentClaim, LastLedger, PoolAllotment, PoolLimit,
    ReportedWindow,
};
use super::prior::KnownWindow;
use super::window::SpendWindow;
use oleander_kind::{AccountName, ClockTime, TimeSpan};
use std::collections::HashMap;

/// After the ledger had no capacity, the process does not claim again before its next report: an
/// account that sends many times its limit would otherwise cost one call per request.
const CLAIM_BACKOFF: TimeSpan = TimeSpan(250);

/// The time over which an account's spending rate is averaged: long enough to contain a few
/// requests.
const SPEND_RATE_TIME: TimeSpan = TimeSpan(1500);

/// A process's allotments, by account.
///
/// All times are by a clock that keeps running while the machine is suspended: an allotment must
/// not outlast its expiry at the ledger because its holder was suspended.
#[derive(Debug, Default)]
pub struct PoolGate {
    accounts: HashMap<AccountName, GateAccount>,
    /// The ledger of the last accepted answer, and when its claim was sent.
    last_answer: Option<(u64, ClockTime)>,
    /// When a request was last admitted under an allotment.
    spent_at: Option<ClockTime>,
}

#[derive(Clone, Debug, Default)]
struct GateAccount {
    /// Tokens admitted under allotments since the process began.
    spent: u64,
    /// The part of `spent` that the last claim reported.
    reported_spent: u64,
    ceiling: u64,
    ends_at: ClockTime,
    pace: SpendRate,
    number: u64,
    source: u64,
    reported: Option<(ReportedWindow, ClockTime)>,
    /// Tokens admitted without an allotment.
    own: SpendWindow,
    own_spent: u64,
    /// Until when the process does not claim again, because the ledger had no capacity.
    full_until: ClockTime,
    /// When the ledger expects capacity for the request that it could not serve.
    room_at: ClockTime,
    /// What the process should hold even if no request waits for it.
    min_held: u64,
}

/// The state of an account at one process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GateStatus {
    /// Tokens admitted under allotments since the process began.
    pub spent: u64,
    /// Tokens admitted without an allotment.
    pub own_spent: u64,
    /// What is left of the allotment.
    pub held: u64,
    /// The age of the ledger's last answer; `None` if there was none.
    pub answer_age: Option<TimeSpan>,
    /// What all processes spent over the window, as the ledger last reported.
    pub window: u64,
}

impl PoolGate {
    /// Admits `tokens` if the allotment has capacity for them.
    pub fn spend(&mut self, account: &AccountName, tokens: u64, now: ClockTime) -> bool {
        let state = self.accounts.entry(account.clone()).or_default();
        let passes = state.held(now) >= tokens;
        if passes {
            state.spent += tokens;
            state.pace.note(tokens as f64, now);
            self.spent_at = Some(now);
        }
        passes
    }

    /// Admits `tokens` against this process's own share of the allowed overshoot, which `processes`
    /// processes split equally.
    pub fn spend_own(
        &mut self,
        account: &AccountName,
        limit: &PoolLimit,
        tokens: u64,
        (processes, now): (u32, ClockTime),
    ) -> bool {
        let state = self.accounts.entry(account.clone()).or_default();
        state.own.forget(now - limit.length());
        let passes = state.own.sum() + tokens as f64 <= limit.own_share(processes);
        if passes {
            state.own.spend(tokens as f64, now);
            state.own_spent += tokens;
        }
        passes
    }

    /// Returns the tokens of a request that certainly did not run. Tokens that were already
    /// reported to the ledger stay spent: the ledger counts them from the time of the report, so if
    /// they were admitted again later, they would leave the window too early.
    pub fn give_back(&mut self, account: &AccountName, tokens: u64) {
        if let Some(state) = self.accounts.get_mut(account)
            && state.spent >= state.reported_spent + tokens
        {
            state.spent -= tokens;
        }
    }

    /// What is left of an account's allotment.
    pub fn held(&self, account: &AccountName, now: ClockTime) -> u64 {
        self.accounts.get(account).map_or(0, |state| state.held(now))
    }

    /// The time until the ledger expects capacity, while this process makes no claims because the
    /// ledger had none; `None` if it may claim now.
    pub fn full_for(&self, account: &AccountName, now: ClockTime) -> Option<TimeSpan> {
        let state = self.accounts.get(account).filter(|state| state.full_until > now)?;
        Some(state.full_until.max(state.room_at) - now)
    }

    /// Sets to `tokens` what the process holds at least of each of `accounts`. Of all others it
    /// holds what their spending rate requires.
    pub fn set_min_held(&mut self, accounts: &[AccountName], tokens: u64) {
        self.accounts.values_mut().for_each(|state| state.min_held = 0);
        for account in accounts {
            self.accounts.entry(account.clone()).or_default().min_held = tokens;
        }
    }

    /// The claims of all accounts, for a periodic report.
    pub fn claims(&mut self, now: ClockTime) -> Vec<(AccountName, AllotmentClaim)> {
        let claim = |(name, state): (&AccountName, &mut GateAccount)| {
            (name.clone(), state.next_claim(0, now))
        };
        self.accounts.iter_mut().map(claim).collect()
    }

    /// The claim of one account for a request of `needs` tokens.
    pub fn claim(&mut self, account: &AccountName, needs: u64, now: ClockTime) -> AllotmentClaim {
        self.accounts.entry(account.clone()).or_default().next_claim(needs, now)
    }

    /// Applies the answer to a claim that was sent at `sent_at`.
    pub fn take(
        &mut self,
        account: &AccountName,
        allotment: PoolAllotment,
        (sent_at, now): (ClockTime, ClockTime),
    ) {
        let state = self.accounts.entry(account.clone()).or_default();
        if allotment.number != state.number {
            return;
        }
        self.last_answer = Some((allotment.source, sent_at));
        state.take(allotment, (sent_at, now));
    }

    /// The ledger that last answered this process, if any did.
    pub fn bond(&self, now: ClockTime) -> Option<LastLedger> {
        let (source, sent_at) = self.last_answer?;
        let left = sent_at + ALLOTMENT_LIFETIME + ANSWER_TIMEOUT - now;
        Some(LastLedger { source, left, spent_ago: self.spent_at.map(|at| now - at) })
    }

    /// The windows as the last ledger reported them, for a new ledger that starts in this process.
    pub fn known_windows(&self, now: ClockTime) -> Vec<(AccountName, KnownWindow)> {
        let known = |(name, state): (&AccountName, &GateAccount)| {
            let (reported, at) = state.reported.clone()?;
            let (age, source) = (now - at, state.source);
            Some((name.clone(), KnownWindow { reported, age, source, passed: None }))
        };
        self.accounts.iter().filter_map(known).collect()
    }

    /// The state of each account at this process.
    pub fn statuses(&self, now: ClockTime) -> impl Iterator<Item = (&AccountName, GateStatus)> {
        self.accounts.iter().map(move |(name, state)| (name, state.status(now)))
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct SpendRate {
    per_s: f64,
    at: ClockTime,
}

impl SpendRate {
    fn note(&mut self, tokens: f64, now: ClockTime) {
        self.per_s = self.per_s(now) + tokens * 1000.0 / SPEND_RATE_TIME.0 as f64;
        self.at = now;
    }

    fn per_s(&self, now: ClockTime) -> f64 {
        self.per_s * (-((now - self.at).0 as f64) / SPEND_RATE_TIME.0 as f64).exp()
    }
}

impl GateAccount {
    fn held(&self, now: ClockTime) -> u64 {
        if now < self.ends_at { self.ceiling.saturating_sub(self.spent) } else { 0 }
    }

    fn next_claim(&mut self, needs: u64, now: ClockTime) -> AllotmentClaim {
        self.number += 1;
        self.reported_spent = self.spent;
        let ceiling = self.spent + self.held(now);
        let pace = self.pace.per_s(now) as u64;
        let needs = if self.held(now) < self.min_held { needs.max(self.min_held) } else { needs };
        let (number, spent, source) = (self.number, self.spent, self.source);
        AllotmentClaim { number, spent, ceiling, source, needs, pace }
    }

    fn take(&mut self, allotment: PoolAllotment, (sent_at, now): (ClockTime, ClockTime)) {
        self.ceiling = allotment.ceiling;
        self.source = allotment.source;
        self.ends_at = sent_at + ALLOTMENT_LIFETIME;
        if let Some(retry_ms) = allotment.retry_ms {
            self.full_until = now + CLAIM_BACKOFF;
            self.room_at = now + TimeSpan(retry_ms);
        }
        self.reported = Some((allotment.window, sent_at));
    }

    fn status(&self, now: ClockTime) -> GateStatus {
        let answer_age = self.reported.as_ref().map(|(_, at)| now - *at);
        GateStatus {
            spent: self.spent,
            own_spent: self.own_spent,
            held: self.held(now),
            answer_age,
            window: self.reported.as_ref().map_or(0, |(reported, _)| reported.sum()),
        }
    }
}

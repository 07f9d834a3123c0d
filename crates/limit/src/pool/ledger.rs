//! The side that counts and hands out.
//!
//! What was counted over an account's window and what is handed out and not counted yet never pass its capacity
//! together. That holds for any demand, for any number of processes and however old their news are; nothing of it
//! is a forecast.

use super::account::{LedgerAccount, LedgerTerms, WindowStand};
use super::allot::{
    ALLOT_TIME, HoldClaim, LedgerBond, PoolAllotment, PoolLimit, PoolSpender, Result, ToldWindow,
};
use super::past::{KnownWindow, LedgerPast};
use oleander_kind::{AccountName, ClockTime, InstanceId, TimeSpan};
use std::collections::{BTreeMap, HashMap};

/// What the store has binds a ledger for this long after it was written. A process that finds it younger takes what it
/// says for all that was handed out: longer than processes that lost their power are away.
pub const STORED_LASTS: TimeSpan = TimeSpan(3000);

/// The windows of all accounts, at one process.
#[derive(Debug)]
pub struct PoolLedger {
    source: u64,
    began_at: ClockTime,
    past: LedgerPast,
    accounts: BTreeMap<AccountName, LedgerAccount>,
    members: HashMap<InstanceId, LedgerMember>,
    /// What the store has of the promises, and when it was sent there.
    stored: Option<(BTreeMap<AccountName, f64>, ClockTime)>,
}

#[derive(Clone, Copy, Debug)]
struct LedgerMember {
    counts_from: ClockTime,
    heard_at: ClockTime,
}

impl PoolLedger {
    /// Begins with what is known of the time before. `source` names the ledger.
    pub fn begin(source: u64, past: LedgerPast, now: ClockTime) -> Self {
        PoolLedger {
            source,
            began_at: now,
            past,
            accounts: BTreeMap::new(),
            members: HashMap::new(),
            stored: None,
        }
    }

    /// Its name.
    pub fn source(&self) -> u64 {
        self.source
    }

    /// Whether nothing was spent in any window.
    pub fn is_idle(&self) -> bool {
        self.accounts.values().all(LedgerAccount::is_idle)
    }

    /// Whether nothing was handed out yet.
    pub fn is_untouched(&self) -> bool {
        !self.accounts.values().any(LedgerAccount::has_handed_out)
    }

    /// Notes that a process reports, and which ledger it went by last. Spending counts for `length`.
    ///
    /// A ledger hands out the part of a limit that belongs to the processes which report to it. In a cut, or while one
    /// ledger follows another, each process counts at one of them at a time; else both would hand out its part. What a
    /// process let in by a ledger that this one knows nothing of must have left the window before.
    pub fn note_member(
        &mut self,
        id: &InstanceId,
        bond: Option<LedgerBond>,
        (length, now): (TimeSpan, ClockTime),
    ) {
        let wait = match bond.filter(|bond| bond.source != self.source) {
            None => TimeSpan(0),
            Some(bond) if self.past.knows(bond.source) && self.past.is_handed() => TimeSpan(0),
            Some(bond) if self.past.knows(bond.source) => bond.left,
            Some(bond) => {
                let spent = bond
                    .spent_ago
                    .map_or(TimeSpan(0), |ago| TimeSpan(length.0.saturating_sub(ago.0)));
                bond.left.max(spent)
            }
        };
        let fresh = LedgerMember { counts_from: now + wait, heard_at: now };
        let member = self.members.entry(id.clone()).or_insert(fresh);
        if now - member.heard_at >= ALLOT_TIME {
            *member = fresh;
        }
        member.heard_at = now;
        self.members.retain(|_, member| now - member.heard_at < length);
    }

    /// How many processes count here.
    pub fn member_count(&self, now: ClockTime) -> u32 {
        let counts = |member: &&LedgerMember| {
            member.counts_from <= now && now - member.heard_at < ALLOT_TIME
        };
        self.members.values().filter(counts).count() as u32
    }

    /// The part of `serving` processes that count here.
    fn part(&self, serving: u32, now: ClockTime) -> f64 {
        (f64::from(self.member_count(now)) / f64::from(serving.max(1))).min(1.0)
    }

    /// In how long more processes count here.
    fn more_members_in(&self, now: ClockTime) -> Option<TimeSpan> {
        let waits = self.members.values().filter(|member| member.counts_from > now);
        waits.map(|member| member.counts_from - now).min()
    }

    /// Answers a claim: counts what was spent, and hands out. `serving` processes share the limit.
    ///
    /// # Errors
    /// If the claim can't be true, or a later one was answered.
    pub fn claim(
        &mut self,
        account: &AccountName,
        (limit, serving): (&PoolLimit, u32),
        (spender, claim): (&PoolSpender, &HoldClaim),
        now: ClockTime,
    ) -> Result<PoolAllotment> {
        let part = self.part(serving, now);
        let more_in = self.more_members_in(now);
        let stored = self.stored.as_ref().filter(|(_, at)| now - *at < STORED_LASTS);
        let stored = stored.and_then(|(promises, _)| promises.get(account).copied());
        let owned = match self.accounts.get_mut(account) {
            Some(owned) => owned,
            None => {
                let fresh = LedgerAccount::begin(&self.past, (account, limit), self.began_at);
                self.accounts.entry(account.clone()).or_insert(fresh)
            }
        };
        let terms = LedgerTerms { source: self.source, limit, part, serving, stored, more_in };
        owned.answer((spender, claim), &terms, now)
    }

    /// Ends in order: what the next ledger has to know.
    pub fn hand_over(&self, now: ClockTime) -> Vec<(AccountName, KnownWindow)> {
        let known = |(name, owned): (&AccountName, &LedgerAccount)| {
            let told = owned.told_at_end(now);
            (name.clone(), KnownWindow { told, age: TimeSpan(0), source: self.source })
        };
        self.accounts.iter().map(known).collect()
    }

    /// What is kept in the store for a ledger that begins when nobody is left that knows, and the promises in it.
    pub fn to_store(
        &self,
        now: ClockTime,
    ) -> (Vec<(AccountName, ToldWindow)>, BTreeMap<AccountName, f64>) {
        let told = |(name, owned): (&AccountName, &LedgerAccount)| (name.clone(), owned.told(now));
        let promise =
            |(name, owned): (&AccountName, &LedgerAccount)| (name.clone(), owned.promise());
        (self.accounts.iter().map(told).collect(), self.accounts.iter().map(promise).collect())
    }

    /// Notes that the store has promises, sent there at `sent_at`.
    pub fn note_stored(&mut self, promises: BTreeMap<AccountName, f64>, sent_at: ClockTime) {
        self.stored = Some((promises, sent_at));
    }

    /// How the windows stand.
    pub fn windows(&self) -> impl Iterator<Item = (&AccountName, WindowStand)> {
        self.accounts.iter().map(|(name, owned)| (name, owned.stand()))
    }
}

//! The ledger, which counts spending and grants allotments.
//!
//! What was counted over an account's window and what is granted but not yet counted never exceed
//! its capacity together. That holds for any demand, any number of processes and any report delay;
//! nothing is based on a forecast.

use super::account::{LedgerAccount, LedgerTerms, WindowStatus};
use super::message::{
    ALLOTMENT_LIFETIME, AllotmentClaim, AllotmentHolder, LastLedger, PoolAllotment, PoolLimit,
    ReportedWindow, Result,
};
use super::prior::{KnownWindow, LedgerState, PriorLedger};
use oleander_kind::{AccountName, ClockTime, InstanceId, TimeSpan};
use std::collections::{BTreeMap, HashMap};

/// Promises in the store bind a ledger for this long after they were written. A process that finds
/// them younger than this takes them as the upper bound on what was granted; the time is longer
/// than processes are down after a power loss.
pub const STORED_LIFETIME: TimeSpan = TimeSpan(3000);

/// The windows of all accounts; kept by one process.
#[derive(Debug)]
pub struct PoolLedger {
    source: u64,
    began_at: ClockTime,
    past: PriorLedger,
    accounts: BTreeMap<AccountName, LedgerAccount>,
    members: HashMap<InstanceId, LedgerMember>,
    /// The promises that the store holds, and when they were sent there.
    stored: Option<(BTreeMap<AccountName, f64>, ClockTime)>,
}

#[derive(Clone, Copy, Debug)]
struct LedgerMember {
    counts_from: ClockTime,
    heard_at: ClockTime,
}

impl PoolLedger {
    /// Starts from what is known about the time before it. `source` identifies the ledger.
    pub fn begin(source: u64, past: PriorLedger, now: ClockTime) -> Self {
        PoolLedger {
            source,
            began_at: now,
            past,
            accounts: BTreeMap::new(),
            members: HashMap::new(),
            stored: None,
        }
    }

    /// The ledger's identifier.
    pub fn source(&self) -> u64 {
        self.source
    }

    /// Whether nothing was spent in any window.
    pub fn is_idle(&self, now: ClockTime) -> bool {
        self.accounts.values().all(LedgerAccount::is_idle) && self.passed_on(now).windows.is_empty()
    }

    /// Whether no allotment was granted yet.
    pub fn is_unused(&self) -> bool {
        !self.accounts.values().any(LedgerAccount::has_allotted)
    }

    /// Records that a process reports, and which ledger answered it last. Spending counts for
    /// `length`.
    ///
    /// A ledger grants the part of a limit that belongs to the processes which report to it. In a
    /// network partition, or while one ledger replaces another, each process must count at one
    /// ledger at a time; otherwise both would grant its part. What a process admitted under a
    /// ledger that this one knows nothing of must have left the window before the process counts
    /// here.
    pub fn note_member(
        &mut self,
        id: &InstanceId,
        bond: Option<LastLedger>,
        (length, now): (TimeSpan, ClockTime),
    ) {
        let wait = match bond.filter(|bond| bond.source != self.source) {
            None => TimeSpan(0),
            Some(bond) if self.past.includes_all_of(bond.source) => TimeSpan(0),
            Some(bond) if self.past.includes(bond.source) => bond.left,
            Some(bond) => {
                let spent = bond
                    .spent_ago
                    .map_or(TimeSpan(0), |ago| TimeSpan(length.0.saturating_sub(ago.0)));
                bond.left.max(spent)
            }
        };
        let fresh = LedgerMember { counts_from: now + wait, heard_at: now };
        let member = self.members.entry(id.clone()).or_insert(fresh);
        if now - member.heard_at >= ALLOTMENT_LIFETIME {
            *member = fresh;
        }
        member.heard_at = now;
        self.members.retain(|_, member| now - member.heard_at < length);
    }

    /// The number of processes that count as members of this ledger.
    pub fn member_count(&self, now: ClockTime) -> u32 {
        let counts = |member: &&LedgerMember| {
            member.counts_from <= now && now - member.heard_at < ALLOTMENT_LIFETIME
        };
        self.members.values().filter(counts).count() as u32
    }

    /// The members of this ledger as a part of the processes that share a limit, at most 1.
    ///
    /// Those are the `serving` ones, and any that does not count here yet: a process that stops serves no
    /// more, but what it admitted under another ledger is still in the window.
    fn part(&self, serving: u32, now: ClockTime) -> f64 {
        let counting = self.member_count(now);
        let waiting = self.members.values().filter(|member| member.counts_from > now).count();
        let sharing = serving.max(counting + waiting as u32).max(1);
        (f64::from(counting) / f64::from(sharing)).min(1.0)
    }

    /// The time until more processes count as members of this ledger.
    fn more_members_in(&self, now: ClockTime) -> Option<TimeSpan> {
        let waits = self.members.values().filter(|member| member.counts_from > now);
        waits.map(|member| member.counts_from - now).min()
    }

    /// Answers a claim: counts the reported spending and grants an allotment. `serving` processes
    /// share the limit.
    ///
    /// # Errors
    ///
    /// If the claim is impossible, or a later one was answered.
    pub fn claim(
        &mut self,
        account: &AccountName,
        (limit, serving): (&PoolLimit, u32),
        (spender, claim): (&AllotmentHolder, &AllotmentClaim),
        now: ClockTime,
    ) -> Result<PoolAllotment> {
        let part = self.part(serving, now);
        let more_members_in = self.more_members_in(now);
        let stored = self.stored.as_ref().filter(|(_, at)| now - *at < STORED_LIFETIME);
        let stored = stored.and_then(|(promises, _)| promises.get(account).copied());
        let owned = match self.accounts.get_mut(account) {
            Some(owned) => owned,
            None => {
                let fresh = LedgerAccount::begin(&self.past, (account, limit), self.began_at);
                self.accounts.entry(account.clone()).or_insert(fresh)
            }
        };
        let terms =
            LedgerTerms { source: self.source, limit, part, serving, stored, more_members_in };
        owned.answer((spender, claim), &terms, now)
    }

    /// What the next ledger takes over when this one ends in order.
    pub fn hand_over(&self, now: ClockTime) -> LedgerState {
        self.state(now, |owned| owned.final_report(now))
    }

    /// What to store for a ledger that starts when no process is left that knows the windows, and
    /// the promises that it contains.
    pub fn export(&self, now: ClockTime) -> (LedgerState, BTreeMap<AccountName, f64>) {
        let promise =
            |(name, owned): (&AccountName, &LedgerAccount)| (name.clone(), owned.promise());
        let promises = self.accounts.iter().map(promise).collect();
        (self.state(now, |owned| owned.reported(now)), promises)
    }

    fn state(
        &self,
        now: ClockTime,
        report: impl Fn(&LedgerAccount) -> ReportedWindow,
    ) -> LedgerState {
        let known = |(name, owned): (&AccountName, &LedgerAccount)| {
            let (reported, source) = (report(owned), self.source);
            (name.clone(), KnownWindow { reported, age: TimeSpan(0), source, passed: None })
        };
        let mut state = self.passed_on(now);
        state.windows.extend(self.accounts.iter().map(known));
        state
    }

    /// What this ledger knows of accounts of which it got no claim.
    fn passed_on(&self, now: ClockTime) -> LedgerState {
        self.past.passed_on(now - self.began_at, |account| self.accounts.contains_key(account))
    }

    /// Records that the store holds `promises`, sent there at `sent_at`.
    pub fn note_stored(&mut self, promises: BTreeMap<AccountName, f64>, sent_at: ClockTime) {
        self.stored = Some((promises, sent_at));
    }

    /// The state of each account's window.
    pub fn windows(&self) -> impl Iterator<Item = (&AccountName, WindowStatus)> {
        self.accounts.iter().map(|(name, owned)| (name, owned.status()))
    }
}

//! One account in the ledger: its window and the allotments of each process.

use super::message::{
    ALLOTMENT_LIFETIME, AllotmentClaim, AllotmentHolder, ClaimFault, PoolAllotment, PoolLimit,
    ReportedWindow, Result,
};
use super::prior::PriorLedger;
use super::promise::{PROMISE_LIFETIME, PromiseLog};
use super::window::SpendWindow;
use oleander_kind::{AccountName, ClockTime, InstanceId, TimeSpan};
use std::collections::BTreeMap;

/// How long an allotment should last at the rate at which its holder spends: two report periods and
/// a late answer.
const ALLOTMENT_TARGET_TIME: TimeSpan = TimeSpan(600);
/// The part of the free capacity that is granted to all processes in addition, in equal shares, so
/// that most requests of an account far below its limit find an allotment at any process.
const SPREAD_PART: f64 = 0.25;
/// The interval between two scans for expired allotments. Until the scan finds them they count as
/// outstanding.
const EXPIRY_SCAN_INTERVAL: TimeSpan = TimeSpan(50);

/// What the ledger has counted of an account over its window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowStatus {
    /// Tokens spent.
    pub spent: u64,
    /// Tokens granted and not yet counted as spent.
    pub open: u64,
    /// The account's capacity over the window, in tokens.
    pub capacity: u64,
    /// The number of processes that hold or held allotments.
    pub holders: usize,
}

impl WindowStatus {
    /// Whether the account has used more than half of its capacity.
    pub fn is_near_limit(&self) -> bool {
        (self.spent + self.open) * 2 > self.capacity
    }
}

/// The inputs of an answer besides the account itself.
pub struct LedgerTerms<'a> {
    /// The ledger's identifier.
    pub source: u64,
    /// The account's limit.
    pub limit: &'a PoolLimit,
    /// The part of the limit that this ledger grants.
    pub part: f64,
    /// The number of processes that share the limit.
    pub serving: u32,
    /// The promise that the store holds; `None` if it is too old to be binding.
    pub stored: Option<f64>,
    /// The time until more processes count as members, if any will.
    pub more_members_in: Option<TimeSpan>,
}

#[derive(Clone, Copy, Debug, Default)]
struct LedgerHolder {
    incarnation: u64,
    /// The sequence number of its last claim.
    number: u64,
    /// The holder's tokens that are counted in the window.
    counted: u64,
    /// The highest ceiling of any answer that the holder may have accepted.
    ceiling: u64,
    ends_at: ClockTime,
    /// When its allotment expired, and the remainder that was then counted as spent.
    ended: Option<(ClockTime, u64)>,
}

impl LedgerHolder {
    fn open(&self) -> f64 {
        self.ceiling.saturating_sub(self.counted) as f64
    }
}

/// An account's window and its allotment holders.
#[derive(Debug)]
pub struct LedgerAccount {
    window: SpendWindow,
    holders: BTreeMap<InstanceId, LedgerHolder>,
    /// Tokens granted to all holders and not yet counted as spent.
    open: f64,
    /// Tokens counted since the ledger began.
    total: f64,
    promises: PromiseLog,
    settled_at: ClockTime,
    /// The previous ledger, and the time at which the window counts its outstanding allotments as
    /// spent.
    prepaid: Option<(u64, ClockTime)>,
    capacity: f64,
    /// The number of seconds in a reported window.
    seconds: usize,
    has_allotted: bool,
}

impl LedgerAccount {
    /// Starts from what is known about the time before the ledger.
    pub fn begin(
        past: &PriorLedger,
        (account, limit): (&AccountName, &PoolLimit),
        began_at: ClockTime,
    ) -> Self {
        let (window, source) = past.window_of(account, limit, began_at);
        LedgerAccount {
            window,
            holders: BTreeMap::new(),
            open: 0.0,
            total: 0.0,
            promises: PromiseLog::begin(limit, began_at),
            settled_at: began_at,
            prepaid: source.map(|source| (source, began_at + ALLOTMENT_LIFETIME)),
            capacity: 0.0,
            seconds: limit.window.0.div_ceil(1000) as usize + 1,
            has_allotted: false,
        }
    }

    /// Answers a claim: counts the reported spending and grants an allotment.
    ///
    /// # Errors
    ///
    /// If the claim is impossible, or a later one was answered.
    pub fn answer(
        &mut self,
        (spender, claim): (&AllotmentHolder, &AllotmentClaim),
        terms: &LedgerTerms<'_>,
        now: ClockTime,
    ) -> Result<PoolAllotment> {
        let limit = terms.limit;
        self.settle((limit.length(), now));
        self.count(spender, claim, (terms.source, now))?;
        self.capacity = limit.capacity() * terms.part;
        self.promises.renew(self.total + self.open, (limit, now));
        let binding = terms.stored.unwrap_or(f64::INFINITY).min(self.promises.binding());
        let promised = (binding - self.total - self.open).max(0.0);
        let room = self.room();
        let known = (room.min(promised), terms.serving);
        let (ceiling, retry) = self.allot((spender, claim), known, (limit, now));
        // A ledger that may not grant anything yet must not refuse: until then processes admit
        // against their own shares.
        let retry = retry.filter(|_| terms.part > 0.0);
        // Capacity may be free before tokens leave the window: when more processes count as
        // members, or when a higher promise becomes binding.
        let sooner = [terms.more_members_in, (promised < room).then_some(PROMISE_LIFETIME)];
        let retry = retry.map(|retry| sooner.into_iter().flatten().fold(retry, TimeSpan::min));
        Ok(PoolAllotment {
            number: claim.number,
            ceiling,
            source: terms.source,
            retry_ms: retry.map(|retry| retry.0),
            window: self.reported(now),
        })
    }

    /// Whether nothing was spent in the window.
    pub fn is_idle(&self) -> bool {
        self.window.sum() == 0.0
    }

    /// Whether this ledger granted any allotment of the account.
    pub fn has_allotted(&self) -> bool {
        self.has_allotted
    }

    /// The latest announced upper bound on what this ledger grants, in tokens since it began.
    pub fn promise(&self) -> f64 {
        self.promises.reported()
    }

    /// The current state of the window.
    pub fn status(&self) -> WindowStatus {
        WindowStatus {
            spent: self.window.sum() as u64,
            open: self.open as u64,
            capacity: self.capacity as u64,
            holders: self.holders.len(),
        }
    }

    /// The window as it is reported, with the most that may be spent before the next report.
    pub fn reported(&self, now: ClockTime) -> ReportedWindow {
        let open = (self.promises.reported() - self.total).max(self.open);
        ReportedWindow {
            seconds: self.window.by_second(now, self.seconds),
            open: open.ceil() as u64,
        }
    }

    /// The window as reported by a ledger that grants nothing more.
    pub fn final_report(&self, now: ClockTime) -> ReportedWindow {
        ReportedWindow { open: self.open.ceil() as u64, ..self.reported(now) }
    }

    /// Counts the remainder of expired allotments as spent, since a silent holder may have spent
    /// all of it. Drops holders that were silent for a whole window.
    fn settle(&mut self, (length, now): (TimeSpan, ClockTime)) {
        self.window.forget(now - length);
        if now - self.settled_at < EXPIRY_SCAN_INTERVAL {
            return;
        }
        self.settled_at = now;
        let ended = self.holders.values_mut().filter(|holder| holder.ends_at <= now);
        for holder in ended.filter(|holder| holder.open() > 0.0) {
            let left = holder.open();
            holder.counted = holder.ceiling;
            holder.ended = Some((holder.ends_at, left as u64));
            self.open -= left;
            self.window.spend(left, holder.ends_at);
            self.total += left;
        }
        self.holders.retain(|_, holder| now - holder.ends_at < length);
    }

    fn spend(&mut self, tokens: f64, now: ClockTime) {
        self.window.spend(tokens, now);
        self.total += tokens;
    }

    /// Counts what a holder reports as spent, and counts what it holds as outstanding.
    fn count(
        &mut self,
        spender: &AllotmentHolder,
        claim: &AllotmentClaim,
        (source, now): (u64, ClockTime),
    ) -> Result<()> {
        let known = self.holders.get(&spender.instance).copied();
        let mut holder = match known.filter(|holder| holder.incarnation == spender.life) {
            Some(holder) => self.known_holder(holder, claim, source)?,
            None => self.new_holder(spender, claim, now),
        };
        let before = known.map_or(0.0, |holder| holder.open());
        // What it admitted under another ledger is counted by that ledger, whose part of the limit
        // it belongs to.
        let by_this =
            if claim.source == source { claim.spent } else { claim.spent.min(holder.ceiling) };
        let new = by_this.saturating_sub(holder.counted);
        holder.counted = holder.counted.max(claim.spent);
        self.spend(new as f64, now);
        // A new claim voids earlier answers; a repeated one does not, so the higher ceiling counts.
        let is_repeated = holder.number == claim.number;
        let held = claim.ceiling.max(claim.spent);
        holder.ceiling = if is_repeated { holder.ceiling.max(held) } else { held };
        holder.number = claim.number;
        self.open += holder.open() - before;
        self.holders.insert(spender.instance.clone(), holder);
        Ok(())
    }

    fn known_holder(
        &mut self,
        mut holder: LedgerHolder,
        claim: &AllotmentClaim,
        source: u64,
    ) -> Result<LedgerHolder> {
        if claim.number < holder.number {
            return Err(ClaimFault::Late);
        }
        if claim.source == source && claim.ceiling > holder.ceiling.max(claim.spent) {
            return Err(ClaimFault::Impossible);
        }
        if let Some((at, left)) = holder.ended.take() {
            // The holder is back and reports how much of it was actually spent; it can no longer
            // spend the rest.
            let unspent = holder.counted.saturating_sub(claim.spent).min(left);
            self.window.take_back(unspent as f64, at);
            self.total -= unspent as f64;
            holder.counted -= unspent;
        }
        Ok(holder)
    }

    /// Records a process that is new to this ledger or has restarted.
    fn new_holder(
        &mut self,
        spender: &AllotmentHolder,
        claim: &AllotmentClaim,
        now: ClockTime,
    ) -> LedgerHolder {
        if let Some(former) = self.holders.remove(&spender.instance) {
            // `count` subtracts its outstanding tokens from the sum.
            self.spend(former.open(), now);
        }
        let held = claim.ceiling.saturating_sub(claim.spent) as f64;
        if let Some((_, at)) = self.prepaid.filter(|(source, _)| *source == claim.source) {
            // From now on this counts as outstanding instead of spent.
            self.window.take_back(held, at);
        }
        LedgerHolder { incarnation: spender.life, counted: claim.spent, ..LedgerHolder::default() }
    }

    /// The capacity that may still be granted; negative after a limit was lowered.
    fn room(&self) -> f64 {
        self.capacity - self.window.sum() - self.open
    }

    /// Grants from `room`. Returns the holder's new ceiling and, if the tokens it needs are not
    /// free now, the time until they are.
    fn allot(
        &mut self,
        (spender, claim): (&AllotmentHolder, &AllotmentClaim),
        (room, serving): (f64, u32),
        (limit, now): (&PoolLimit, ClockTime),
    ) -> (u64, Option<TimeSpan>) {
        let Some(holder) = self.holders.get_mut(&spender.instance) else {
            return (claim.spent, None);
        };
        let held = claim.ceiling.saturating_sub(claim.spent) as f64;
        // Without free capacity the holder keeps its allotment, which is counted already. If it
        // were revoked because not all processes count as members yet, callers of all accounts
        // would be refused at each change of the ledger.
        let room = room.max(0.0);
        let most = held + room;
        let spread = room * SPREAD_PART / f64::from(serving.max(1));
        let lasting = claim.pace as f64 * ALLOTMENT_TARGET_TIME.0 as f64 / 1000.0 + spread;
        let needs = claim.needs as f64;
        let lacks = needs > most;
        let wanted = if lacks { lasting } else { lasting + needs };
        let ceiling = claim.spent + wanted.min(most) as u64;
        let before = holder.open();
        self.has_allotted |= ceiling > claim.ceiling;
        holder.ceiling = holder.ceiling.max(ceiling);
        holder.ends_at = now + ALLOTMENT_LIFETIME;
        self.open += holder.open() - before;
        let retry = lacks.then(|| self.window.freed_in(needs - most, (limit.length(), now)));
        (ceiling, retry)
    }
}

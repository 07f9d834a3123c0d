//! The side that counts and hands out.
//!
//! What was counted over an account's window and what is handed out and not counted yet never pass its capacity
//! together. That holds for any demand, for any number of processes and however old their news are; nothing of it
//! is a forecast.

use super::allot::{
    ALLOT_TIME, ClaimFault, HoldClaim, LedgerBond, PoolAllotment, PoolLimit, PoolSpender, Result,
    ToldWindow,
};
use super::past::{KnownWindow, LedgerPast};
use super::pledge::PledgeBook;
use super::window::SpendWindow;
use oleander_kind::{AccountName, ClockTime, InstanceId, TimeSpan};
use std::collections::{BTreeMap, HashMap};

/// How long an allotment is meant to last at the pace at which its holder spends: two periods of reports and a late
/// answer.
const HELD_TIME: TimeSpan = TimeSpan(600);
/// The part of the room that all processes together are handed besides, by equal shares, so that most requests of
/// an account far below its limit find an allotment at any process.
const SPREAD_PART: f64 = 0.25;
/// Between two looks for allotments that have ended. Until they are found they count as handed out.
const SETTLE_TIME: TimeSpan = TimeSpan(50);
/// What the store has binds a ledger for this long after it was written. A process that finds it younger takes what it
/// says for all that was handed out: longer than processes that lost their power are away.
pub const STORED_LASTS: TimeSpan = TimeSpan(2000);

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

/// What a ledger has counted of an account over its window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowStand {
    /// Tokens spent.
    pub spent: u64,
    /// Tokens handed out and not counted yet.
    pub open: u64,
    /// Tokens that it lets in.
    pub capacity: u64,
    /// Processes that hold or held allotments.
    pub holders: usize,
}

impl WindowStand {
    /// Whether the account is near its limit.
    pub fn presses(&self) -> bool {
        (self.spent + self.open) * 2 > self.capacity
    }
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
        self.accounts.values().all(|owned| owned.window.sum() == 0.0)
    }

    /// Whether nothing was handed out yet.
    pub fn is_untouched(&self) -> bool {
        self.accounts.values().all(|owned| !owned.has_handed_out)
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

    /// The part of `serving` processes that count here.
    pub fn part(&self, serving: u32, now: ClockTime) -> f64 {
        let counts = |member: &&LedgerMember| {
            member.counts_from <= now && now - member.heard_at < ALLOT_TIME
        };
        let count = self.members.values().filter(counts).count() as f64;
        (count / f64::from(serving.max(1))).min(1.0)
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
        owned.settle((limit.length(), now));
        owned.count(spender, claim, (self.source, now))?;
        owned.capacity = limit.capacity() * part;
        owned.pledges.renew(owned.total + owned.open, (limit, now));
        let promised = stored.unwrap_or(f64::INFINITY).min(owned.pledges.binding());
        let left = (promised - owned.total - owned.open).max(0.0);
        let room = owned.room().min(left);
        let (ceiling, retry) = owned.hand_out((spender, claim), (room, serving), (limit, now));
        let window = owned.told_now(now);
        // A ledger that may hand out nothing yet is as good as none: processes go by their own parts until then.
        let retry = retry.filter(|_| part > 0.0);
        let retry_ms = retry.map(|span| more_in.map_or(span.0, |more| more.0.min(span.0)));
        Ok(PoolAllotment { number: claim.number, ceiling, source: self.source, retry_ms, window })
    }

    /// Ends in order: what the next ledger has to know.
    pub fn hand_over(&self, now: ClockTime) -> Vec<(AccountName, KnownWindow)> {
        let known = |(name, owned): (&AccountName, &LedgerAccount)| {
            let told = ToldWindow { open: owned.open.ceil() as u64, ..owned.told_now(now) };
            (name.clone(), KnownWindow { told, age: TimeSpan(0), source: self.source })
        };
        self.accounts.iter().map(known).collect()
    }

    /// What is kept in the store for a ledger that begins when nobody is left that knows, and the promises in it.
    pub fn to_store(
        &self,
        now: ClockTime,
    ) -> (Vec<(AccountName, ToldWindow)>, BTreeMap<AccountName, f64>) {
        let told =
            |(name, owned): (&AccountName, &LedgerAccount)| (name.clone(), owned.told_now(now));
        let promise =
            |(name, owned): (&AccountName, &LedgerAccount)| (name.clone(), owned.pledges.told());
        (self.accounts.iter().map(told).collect(), self.accounts.iter().map(promise).collect())
    }

    /// Notes that the store has promises, sent there at `sent_at`.
    pub fn note_stored(&mut self, promises: BTreeMap<AccountName, f64>, sent_at: ClockTime) {
        self.stored = Some((promises, sent_at));
    }

    /// How the windows stand.
    pub fn windows(&self) -> impl Iterator<Item = (&AccountName, WindowStand)> {
        let stand = |owned: &LedgerAccount| WindowStand {
            spent: owned.window.sum() as u64,
            open: owned.open as u64,
            capacity: owned.capacity as u64,
            holders: owned.holders.len(),
        };
        self.accounts.iter().map(move |(name, owned)| (name, stand(owned)))
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct LedgerHolder {
    life: u64,
    number: u64,
    /// Tokens of it that are in the window.
    counted: u64,
    /// Up to how many it may go, by any answer that it may have taken.
    ceiling: u64,
    ends_at: ClockTime,
    /// When its allotment ended and what was left of it then counted as spent.
    ended: Option<(ClockTime, u64)>,
}

impl LedgerHolder {
    fn open(&self) -> f64 {
        self.ceiling.saturating_sub(self.counted) as f64
    }
}

#[derive(Debug)]
struct LedgerAccount {
    window: SpendWindow,
    holders: BTreeMap<InstanceId, LedgerHolder>,
    /// What all holders were handed and is not counted.
    open: f64,
    /// What was counted since the ledger began.
    total: f64,
    pledges: PledgeBook,
    settled_at: ClockTime,
    /// The ledger before, whose allotments are in the window as if they were spent at this time.
    prepaid: Option<(u64, ClockTime)>,
    capacity: f64,
    /// Seconds of a window as it is told.
    seconds: usize,
    has_handed_out: bool,
}

impl LedgerAccount {
    fn begin(
        past: &LedgerPast,
        (account, limit): (&AccountName, &PoolLimit),
        began_at: ClockTime,
    ) -> Self {
        let (window, source) = past.window_of(account, limit, began_at);
        LedgerAccount {
            window,
            holders: BTreeMap::new(),
            open: 0.0,
            total: 0.0,
            pledges: PledgeBook::begin(limit, began_at),
            settled_at: began_at,
            prepaid: source.map(|source| (source, began_at + ALLOT_TIME)),
            capacity: 0.0,
            seconds: limit.window.0.div_ceil(1000) as usize + 1,
            has_handed_out: false,
        }
    }

    /// Counts what is left of allotments that have ended: a holder that is silent may have spent all of it. Holders that
    /// were silent for a whole window are forgotten.
    fn settle(&mut self, (length, now): (TimeSpan, ClockTime)) {
        self.window.forget(now - length);
        if now - self.settled_at < SETTLE_TIME {
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

    /// Counts what a holder says that it spent, and takes what it holds for handed out.
    fn count(
        &mut self,
        spender: &PoolSpender,
        claim: &HoldClaim,
        (source, now): (u64, ClockTime),
    ) -> Result<()> {
        let known = self.holders.get(&spender.instance).copied();
        let mut holder = match known.filter(|holder| holder.life == spender.life) {
            Some(holder) => self.known_holder(holder, claim, source)?,
            None => self.new_holder(spender, claim, now),
        };
        let before = known.map_or(0.0, |holder| holder.open());
        // What it let in by another ledger is counted there, for the processes that belong to that one.
        let by_this =
            if claim.source == source { claim.spent } else { claim.spent.min(holder.ceiling) };
        let new = by_this.saturating_sub(holder.counted);
        holder.counted = holder.counted.max(claim.spent);
        self.spend(new as f64, now);
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
        claim: &HoldClaim,
        source: u64,
    ) -> Result<LedgerHolder> {
        if claim.number < holder.number {
            return Err(ClaimFault::Late);
        }
        if claim.source == source && claim.ceiling > holder.ceiling.max(claim.spent) {
            return Err(ClaimFault::Impossible);
        }
        if let Some((at, left)) = holder.ended.take() {
            // It is back and says how much of it was spent in truth; it can't spend the rest any more.
            let unspent = holder.counted.saturating_sub(claim.spent).min(left);
            self.window.take_back(unspent as f64, at);
            self.total -= unspent as f64;
            holder.counted -= unspent;
        }
        Ok(holder)
    }

    /// A process that is new here, or has begun anew.
    fn new_holder(
        &mut self,
        spender: &PoolSpender,
        claim: &HoldClaim,
        now: ClockTime,
    ) -> LedgerHolder {
        if let Some(former) = self.holders.remove(&spender.instance) {
            // `count` takes its open tokens out of the sum.
            self.spend(former.open(), now);
        }
        let held = claim.ceiling.saturating_sub(claim.spent) as f64;
        if let Some((_, at)) = self.prepaid.filter(|(source, _)| *source == claim.source) {
            self.window.take_back(held, at);
        }
        LedgerHolder { life: spender.life, counted: claim.spent, ..LedgerHolder::default() }
    }

    /// What may still be handed out; negative if a limit was lowered.
    fn room(&self) -> f64 {
        self.capacity - self.window.sum() - self.open
    }

    /// Hands out of `room`; gives up to how much the holder may go, and in how long there is room for what it
    /// needs if there is none now.
    fn hand_out(
        &mut self,
        (spender, claim): (&PoolSpender, &HoldClaim),
        (room, serving): (f64, u32),
        (limit, now): (&PoolLimit, ClockTime),
    ) -> (u64, Option<TimeSpan>) {
        let Some(holder) = self.holders.get_mut(&spender.instance) else {
            return (claim.spent, None);
        };
        let held = claim.ceiling.saturating_sub(claim.spent) as f64;
        // What it holds is counted already. Taken back because not all processes count here yet, callers of all
        // accounts would be refused at each change of the ledger.
        let room = room.max(0.0);
        let most = held + room;
        let spread = room * SPREAD_PART / f64::from(serving.max(1));
        let lasting = claim.pace as f64 * HELD_TIME.0 as f64 / 1000.0 + spread;
        let needs = claim.needs as f64;
        let lacks = needs > most;
        let wanted = if lacks { lasting } else { lasting + needs };
        let ceiling = claim.spent + wanted.min(most) as u64;
        let before = holder.open();
        self.has_handed_out |= ceiling > claim.ceiling;
        holder.ceiling = holder.ceiling.max(ceiling);
        holder.ends_at = now + ALLOT_TIME;
        self.open += holder.open() - before;
        let retry = lacks.then(|| self.window.freed_in(needs - most, (limit.length(), now)));
        (ceiling, retry)
    }

    /// The window, and all that may be spent besides before more is told.
    fn told_now(&self, now: ClockTime) -> ToldWindow {
        let open = (self.pledges.told() - self.total).max(self.open);
        ToldWindow { seconds: self.window.by_second(now, self.seconds), open: open.ceil() as u64 }
    }
}

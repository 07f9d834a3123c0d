//! One account at the ledger: its window, and what each process holds of it.

use super::allot::{
    ALLOT_TIME, ClaimFault, HoldClaim, PoolAllotment, PoolLimit, PoolSpender, Result, ToldWindow,
};
use super::past::LedgerPast;
use super::promise::{PromiseBook, TOLD_LASTS};
use super::window::SpendWindow;
use oleander_kind::{AccountName, ClockTime, InstanceId, TimeSpan};
use std::collections::BTreeMap;

/// How long an allotment is meant to last at the pace at which its holder spends: two periods of reports and a late
/// answer.
const HELD_TIME: TimeSpan = TimeSpan(600);
/// The part of the room that all processes together are handed besides, by equal shares, so that most requests of
/// an account far below its limit find an allotment at any process.
const SPREAD_PART: f64 = 0.25;
/// Between two looks for allotments that have ended. Until they are found they count as handed out.
const SETTLE_TIME: TimeSpan = TimeSpan(50);

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

/// What an answer goes by besides the account itself.
pub struct LedgerTerms<'a> {
    /// The ledger.
    pub source: u64,
    /// The account's limit.
    pub limit: &'a PoolLimit,
    /// The part of it that is handed out here.
    pub part: f64,
    /// Processes that share the limit.
    pub serving: u32,
    /// What the store has of the promises, while that binds.
    pub stored: Option<f64>,
    /// In how long more processes count here, if any do.
    pub more_in: Option<TimeSpan>,
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

/// An account's window and its holders.
#[derive(Debug)]
pub struct LedgerAccount {
    window: SpendWindow,
    holders: BTreeMap<InstanceId, LedgerHolder>,
    /// What all holders were handed and is not counted.
    open: f64,
    /// What was counted since the ledger began.
    total: f64,
    promises: PromiseBook,
    settled_at: ClockTime,
    /// The ledger before, whose allotments are in the window as if they were spent at this time.
    prepaid: Option<(u64, ClockTime)>,
    capacity: f64,
    /// Seconds of a window as it is told.
    seconds: usize,
    has_handed_out: bool,
}

impl LedgerAccount {
    /// Begins with what is known of the time before the ledger.
    pub fn begin(
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
            promises: PromiseBook::begin(limit, began_at),
            settled_at: began_at,
            prepaid: source.map(|source| (source, began_at + ALLOT_TIME)),
            capacity: 0.0,
            seconds: limit.window.0.div_ceil(1000) as usize + 1,
            has_handed_out: false,
        }
    }

    /// Answers a claim: counts what was spent, and hands out.
    ///
    /// # Errors
    /// If the claim can't be true, or a later one was answered.
    pub fn answer(
        &mut self,
        (spender, claim): (&PoolSpender, &HoldClaim),
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
        let (ceiling, retry) = self.hand_out((spender, claim), known, (limit, now));
        // A ledger that may hand out nothing yet is as good as none: processes go by their own parts until then.
        let retry = retry.filter(|_| terms.part > 0.0);
        let sooner = [terms.more_in, (promised < room).then_some(TOLD_LASTS)];
        let retry = retry.map(|retry| sooner.into_iter().flatten().fold(retry, TimeSpan::min));
        Ok(PoolAllotment {
            number: claim.number,
            ceiling,
            source: terms.source,
            retry_ms: retry.map(|retry| retry.0),
            window: self.told(now),
        })
    }

    /// Whether nothing was spent in the window.
    pub fn is_idle(&self) -> bool {
        self.window.sum() == 0.0
    }

    /// Whether anything was handed out here.
    pub fn has_handed_out(&self) -> bool {
        self.has_handed_out
    }

    /// Up to how much may be handed out, as it is told; tokens since the ledger began.
    pub fn promise(&self) -> f64 {
        self.promises.told()
    }

    /// How the window stands.
    pub fn stand(&self) -> WindowStand {
        WindowStand {
            spent: self.window.sum() as u64,
            open: self.open as u64,
            capacity: self.capacity as u64,
            holders: self.holders.len(),
        }
    }

    /// The window, and all that may be spent besides before more is told.
    pub fn told(&self, now: ClockTime) -> ToldWindow {
        let open = (self.promises.told() - self.total).max(self.open);
        ToldWindow { seconds: self.window.by_second(now, self.seconds), open: open.ceil() as u64 }
    }

    /// The window of a ledger that hands out nothing more.
    pub fn told_at_end(&self, now: ClockTime) -> ToldWindow {
        ToldWindow { open: self.open.ceil() as u64, ..self.told(now) }
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
}

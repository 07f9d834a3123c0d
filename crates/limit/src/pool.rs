//! One window of tokens an account over all processes, without a call per request.
//!
//! Operators count an account's tokens over sliding windows. A ledger at one process keeps each
//! account's window. The others tell it how much they have let in since they began, several times a
//! second, and hear how much room is left, how fast the rest use it up and how fast old spending
//! leaves the window. Between two answers each judges by the room it expects. Equal shares would be
//! wrong: connections are spread unevenly, and one large request is more than a small share.

use crate::share::LimitVerdict;
use oleander_kind::{AccountName, ClockTime, InstanceId, TimeSpan};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Seconds of an account's rate that are kept from the allowed overshoot: what is let in between
/// two answers of the ledger while the demand jumps to 7.5 times the usual, or 4.2 times the rate.
const JUMP_S: f64 = 2.0;
/// Tokens kept besides: a large request at several processes at once.
const JUMP_TOKENS: f64 = 30_000.0;
/// How much longer than the operators' window spending counts here: a request reaches its endpoint
/// up to this much later than it is let in, and slots are coarse.
const WINDOW_MARGIN: TimeSpan = TimeSpan(400);
/// Spending is kept in slots of this length.
const SLOT_TIME: TimeSpan = TimeSpan(250);
/// The time over which spending rates are averaged: long enough to hold a few requests.
const RATE_TIME: TimeSpan = TimeSpan(1500);
/// News older than this is not extrapolated any more: the ledger is gone or cut off.
const NEWS_LASTS: TimeSpan = TimeSpan(1500);

/// News that is older says too little of the window for a ledger to begin with.
const NEWS_KEPT: TimeSpan = TimeSpan(6000);

/// What was spent, by the time at which a slot began; the oldest first.
pub type SpentSlots = VecDeque<(ClockTime, f64)>;

/// An account's limit, in tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolLimit {
    /// Tokens a second over all processes.
    pub rate_per_s: f64,
    /// Tokens that may come at once.
    pub burst: f64,
    /// Tokens by which the limit may be passed in a window.
    pub overshoot: f64,
    /// The window.
    pub window: TimeSpan,
}

/// An account's window as the ledger tells it to one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LevelNews {
    /// Tokens that this process may still let in; negative after an overshoot.
    #[serde(rename = "l")]
    pub room: i64,
    /// What all processes spent in each second of the window, the last second first. The next ledger
    /// begins with it.
    #[serde(rename = "p")]
    pub profile: Vec<u32>,
    /// Tokens a second that leave the window in the next second.
    #[serde(rename = "f")]
    pub freed_per_s: u64,
    /// Tokens a second that the other processes spend.
    #[serde(rename = "o")]
    pub others_per_s: u64,
    /// What this process had let in by then, as it reported.
    #[serde(rename = "c")]
    pub counted: u64,
}

/// What a process let in of an account since it began.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpendCount {
    /// Tokens.
    #[serde(rename = "t")]
    pub tokens: u64,
    /// What of them some ledger has counted.
    #[serde(rename = "k")]
    pub acked: u64,
}

#[derive(Clone, Debug)]
struct KnownLevel {
    news: LevelNews,
    at: ClockTime,
}

#[derive(Clone, Debug, Default)]
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
        let share = limit.scaled(1.0 / f64::from(processes.max(1)));
        state.fill_own(&share, now);
        let (room, refill) = match state.expected_room(now) {
            Some((room, freed_per_s)) => (room, freed_per_s.max(limit.rate_per_s / 4.0)),
            None => (state.own_level, share.rate_per_s),
        };
        let missing = tokens as f64 - room;
        if missing > 0.0 {
            let retry_ms = (missing * 1000.0 / refill.max(1.0)) as u64 + 1;
            return LimitVerdict::Refuse { retry_ms };
        }
        state.spent += tokens;
        state.own_level -= tokens as f64;
        LimitVerdict::Pass
    }

    /// What each account was let in here since this process began.
    pub fn spent(&self) -> impl Iterator<Item = (&AccountName, SpendCount)> {
        self.accounts.iter().map(|(name, state)| (name, state.count()))
    }

    /// How each account stands here.
    pub fn stands(&self, now: ClockTime) -> impl Iterator<Item = (&AccountName, GateStand)> {
        self.accounts.iter().map(move |(name, state)| (name, state.stand(now)))
    }

    /// Takes the ledger's news of an account.
    pub fn take_news(&mut self, account: &AccountName, news: LevelNews, now: ClockTime) {
        let state = self.accounts.entry(account.clone()).or_default();
        state.known = Some(KnownLevel { news, at: now });
    }

    /// What was spent of each account by the last news, for a ledger that begins. What was spent
    /// since then is in the reports that it will get.
    pub fn known_windows(&self, now: ClockTime) -> Vec<(AccountName, SpentSlots)> {
        let window = |(name, state): (&AccountName, &GateAccount)| {
            let known = state.known.as_ref().filter(|known| now - known.at < NEWS_KEPT)?;
            // Dated to the end of each second, so that no spending leaves the window early. Dated to
            // the beginning, a jump left up to 1 s too soon and its room was given out once more: with
            // a change of the ledger windows reached 96 % of what operators allow, now 88 % (virtual
            // time, 64 processes), and 1 to 3 % too much with 64 real ones.
            let second = |back: usize| known.at - TimeSpan::secs(back as u64);
            let seconds = known.news.profile.iter().enumerate().rev();
            let slots = seconds.map(|(back, tokens)| (second(back), f64::from(*tokens)));
            Some((name.clone(), slots.collect()))
        };
        self.accounts.iter().filter_map(window).collect()
    }
}

/// How an account stands at one process.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GateStand {
    /// Tokens let in since the process began.
    pub spent: u64,
    /// Tokens that it still expects to let in.
    pub room: i64,
    /// How old the news are by which it judges; none if it goes by its own part.
    pub news_age: Option<TimeSpan>,
    /// Whether the account is near its limit, or may be.
    pub presses: bool,
}

impl GateAccount {
    fn stand(&self, now: ClockTime) -> GateStand {
        let expected = self.expected_room(now);
        let known = self.known.as_ref().filter(|_| expected.is_some());
        let window = known.map(|known| known.news.profile.iter().sum::<u32>());
        let room = expected.map_or(self.own_level, |(room, _)| room) as i64;
        GateStand {
            spent: self.spent,
            room,
            news_age: known.map(|known| now - known.at),
            presses: window.is_none_or(|window| i64::from(window) > room),
        }
    }

    fn count(&self) -> SpendCount {
        let acked = self.known.as_ref().map_or(0, |known| known.news.counted);
        SpendCount { tokens: self.spent, acked }
    }

    /// The room expected, and how fast it grows by old spending that leaves the window.
    fn expected_room(&self, now: ClockTime) -> Option<(f64, f64)> {
        let known = self.known.as_ref().filter(|known| now - known.at < NEWS_LASTS)?;
        let seconds = (now - known.at).0 as f64 / 1000.0;
        let freed_per_s = known.news.freed_per_s as f64;
        let flow = (freed_per_s - known.news.others_per_s as f64) * seconds;
        let own = self.spent.saturating_sub(known.news.counted) as f64;
        Some((known.news.room as f64 + flow - own, freed_per_s))
    }

    /// This process's own share as a bucket, for the time without a ledger.
    fn fill_own(&mut self, share: &PoolLimit, now: ClockTime) {
        let Some(at) = self.own_filled_at.replace(now) else {
            self.own_level = share.burst;
            return;
        };
        let gained = share.rate_per_s * (now - at).0 as f64 / 1000.0;
        // Not below a window's worth: what was let in from the whole is not owed by one share.
        self.own_level = (self.own_level + gained).clamp(-share.burst, share.burst);
    }
}

impl PoolLimit {
    /// The limit times `part`.
    pub fn scaled(&self, part: f64) -> PoolLimit {
        PoolLimit {
            rate_per_s: self.rate_per_s * part,
            burst: self.burst * part,
            overshoot: self.overshoot * part,
            window: self.window,
        }
    }

    /// Tokens that the ledger lets into a window: the limit and the allowed overshoot, without what
    /// is kept for jumps of the demand.
    fn capacity(&self) -> f64 {
        let seconds = self.window.0 as f64 / 1000.0;
        let kept = JUMP_S * self.rate_per_s + JUMP_TOKENS;
        self.rate_per_s * seconds + self.burst + self.overshoot - kept
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
    slots: SpentSlots,
    /// The part of the window that is taken for spent, evenly, before the ledger began.
    prior_part: f64,
    total: SpendRate,
    /// What is let into a window by the processes that report.
    capacity: f64,
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

/// The windows of all accounts, at one process.
#[derive(Debug)]
pub struct PoolLedger {
    accounts: BTreeMap<AccountName, LedgerAccount>,
    /// Windows as the last ledger told them.
    known: BTreeMap<AccountName, SpentSlots>,
    began_at: ClockTime,
    /// For how long spending counts.
    length: TimeSpan,
}

/// What a ledger has counted of an account over its window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowStand {
    /// Tokens spent.
    pub spent: u64,
    /// Tokens that it lets in.
    pub capacity: u64,
    /// Processes that reported.
    pub spenders: usize,
}

impl WindowStand {
    /// Whether the account is near its limit.
    pub fn presses(&self) -> bool {
        self.spent * 2 > self.capacity
    }
}

impl PoolLedger {
    /// How the windows stand.
    pub fn windows(&self, now: ClockTime) -> impl Iterator<Item = (&AccountName, WindowStand)> {
        let stand = move |owned: &LedgerAccount| WindowStand {
            spent: (owned.sum() + owned.prior_part * self.prior_left(now) * owned.capacity) as u64,
            capacity: owned.capacity as u64,
            spenders: owned.spenders.len(),
        };
        self.accounts.iter().map(move |(name, owned)| (name, stand(owned)))
    }

    /// The part of a window before the ledger began that has not left it.
    fn prior_left(&self, now: ClockTime) -> f64 {
        let length = self.length.0 as f64;
        (length - (now - self.began_at).0 as f64).max(0.0) / length.max(1.0)
    }

    /// Whether anything was told or reported of `account`.
    pub fn knows(&self, account: &AccountName) -> bool {
        self.accounts.contains_key(account) || self.known.contains_key(account)
    }

    /// Begins with the windows that the last ledger told of. One that began empty would let an
    /// account that is at its limit in for another whole window after every change of the ledger.
    pub fn begin(known: Vec<(AccountName, SpentSlots)>, now: ClockTime) -> Self {
        let known = known.into_iter().collect();
        PoolLedger { accounts: BTreeMap::new(), known, began_at: now, length: TimeSpan(0) }
    }

    /// Takes what `spender` has let in of `account` since it began, and tells it the room. `part`
    /// of the limit is given out here; the rest belongs to processes that do not report.
    ///
    /// Counts are whole sums, so that a report that is lost or comes twice changes nothing. A ledger
    /// that knows nothing takes the window for spent to the limit: evenly, so that an account at its
    /// usual demand, about half of its limit, goes on without a refusal.
    pub fn report(
        &mut self,
        account: &AccountName,
        (limit, part): (&PoolLimit, f64),
        (spender, spent): (&PoolSpender, SpendCount),
        now: ClockTime,
    ) -> LevelNews {
        let whole = limit.capacity();
        let known = &mut self.known;
        let owned = self.accounts.entry(account.clone()).or_insert_with(|| {
            let slots = known.remove(account);
            let prior_part = if slots.is_some() { 0.0 } else { 1.0 };
            LedgerAccount { slots: slots.unwrap_or_default(), prior_part, ..Default::default() }
        });
        owned.note_spender(spender, spent, (limit.window, now));
        let length = limit.window + WINDOW_MARGIN;
        owned.forget(now - length);
        let capacity = whole * part;
        let prior = owned.prior_part * capacity;
        let prior_left = length.0.saturating_sub((now - self.began_at).0) as f64 / length.0 as f64;
        self.length = length;
        owned.capacity = capacity;
        let prior_freed = if prior_left > 0.0 { prior * 1000.0 / length.0 as f64 } else { 0.0 };
        let state = owned.spenders.get(&spender.instance).copied().unwrap_or_default();
        let (total, own) = (owned.total.now(now), state.rate.now(now));
        let room = capacity - owned.sum() - prior * prior_left;
        let share = own_share(room, (own, total), owned.spenders.len());
        LevelNews {
            room: (room * share) as i64,
            profile: owned.profile(now, limit.window),
            freed_per_s: ((owned.freed_per_s(now, length) + prior_freed) * share) as u64,
            others_per_s: ((total - own).max(0.0) * share) as u64,
            counted: spent.tokens,
        }
    }
}

/// The part of the room that one process may use until it hears again.
///
/// All of it while there is plenty. When little is left and every process used all of it, they would
/// let in several times what is left; so each gets its part of the spending, at least an equal one.
fn own_share(room: f64, (own, total): (f64, f64), spenders: usize) -> f64 {
    /// Room for this long at the present rate is plenty: four periods of reports.
    const PLENTY_S: f64 = 1.0;
    let equal = 1.0 / spenders.max(1) as f64;
    if room < 0.0 || total <= 0.0 {
        return if room < 0.0 { 1.0 } else { equal.max(room.min(1.0)) };
    }
    // Rounding may make a lone spender's part a little more than all.
    let part = (own / total).max(equal).min(1.0);
    (room / (total * PLENTY_S)).max(part).min(1.0)
}

impl LedgerAccount {
    /// Notes a spender's whole sum, and spends what is new of it. Of a spender that is new to this ledger,
    /// that is what no ledger has counted.
    ///
    /// What another ledger counted since this one last heard the spender was spent all that time. Taken
    /// for spent just now, 20 s of it filled the window, and every account was refused for 4 s (64 processes).
    fn note_spender(
        &mut self,
        spender: &PoolSpender,
        spent: SpendCount,
        (window, now): (TimeSpan, ClockTime),
    ) {
        let fresh = || SpenderState { life: spender.life, ..Default::default() };
        let known = self.spenders.get(&spender.instance).copied();
        let known = known.filter(|state| state.life == spender.life);
        let before = known.map_or(spent.acked, |state| state.spent);
        let elsewhere = spent.acked.min(spent.tokens).saturating_sub(before) as f64;
        let new = spent.tokens.saturating_sub(before.max(spent.acked)) as f64;
        if let Some(state) = known.filter(|_| elsewhere > 0.0) {
            self.spend_since(elsewhere, state.rate.at, (window, now));
        }
        let state = self.spenders.entry(spender.instance.clone()).or_insert_with(fresh);
        state.life = spender.life;
        state.spent = spent.tokens;
        state.rate.note(new, now);
        self.total.note(new, now);
        self.spend(new, now);
    }

    /// Spends `tokens` evenly from `since` until `now`; what lies before the window is left out.
    fn spend_since(&mut self, tokens: f64, since: ClockTime, (window, now): (TimeSpan, ClockTime)) {
        let span = (now - since).max(SLOT_TIME);
        let pieces = span.0.div_ceil(SLOT_TIME.0);
        let piece = tokens / pieces as f64;
        let kept = pieces.min(window.0 / SLOT_TIME.0);
        let slots = (0..kept).map(|back| (now - TimeSpan(back * SLOT_TIME.0), piece));
        self.slots.extend(slots);
        self.slots.make_contiguous().sort_by_key(|(at, _)| *at);
    }

    fn spend(&mut self, tokens: f64, now: ClockTime) {
        match self.slots.back_mut() {
            Some((at, sum)) if now - *at < SLOT_TIME => *sum += tokens,
            _ => self.slots.push_back((now, tokens)),
        }
    }

    fn forget(&mut self, before: ClockTime) {
        while self.slots.front().is_some_and(|(at, _)| *at < before) {
            self.slots.pop_front();
        }
    }

    fn sum(&self) -> f64 {
        self.slots.iter().map(|(_, tokens)| tokens).sum()
    }

    /// What was spent in each second of `window`, the last second first.
    fn profile(&self, now: ClockTime, window: TimeSpan) -> Vec<u32> {
        let mut seconds = vec![0.0; window.0.div_ceil(1000) as usize];
        for (at, tokens) in &self.slots {
            let back = (now - *at).0 as usize / 1000;
            if let Some(sum) = seconds.get_mut(back) {
                *sum += tokens;
            }
        }
        seconds.into_iter().map(|sum| sum as u32).collect()
    }

    /// Tokens that leave a window of `length` in the second after `now`.
    fn freed_per_s(&self, now: ClockTime, length: TimeSpan) -> f64 {
        let until = now + TimeSpan(1000);
        let leaves = |at: &ClockTime| *at + length < until;
        self.slots.iter().filter(|(at, _)| leaves(at)).map(|(_, tokens)| tokens).sum()
    }
}

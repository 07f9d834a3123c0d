//! The account: who holds how much, who may hold more, and who gives way.

use crate::bounds::{
    FRESH_TIME, HEAD_BYTES, HoldBounds, SILENT_TIME, SMALL_ANSWER_BYTES, SMALL_BYTES, SPARE_BYTES,
};
use oleander_kind::ClockTime;
use oleander_kind::arena::{ArenaKey, ItemArena};

/// A holder in its ledger.
pub type HolderKey = ArenaKey<HolderFact>;

/// What a connection does.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HolderPhase {
    /// Nothing was ever sent on it.
    Unused,
    /// It rests after an answer.
    Resting,
    /// A request is being read.
    Reading,
    /// A complete request waits for its answer.
    Answering,
    /// An answer is being written.
    Writing,
    /// It is being closed.
    Leaving,
}

impl HolderPhase {
    /// The name in logs.
    pub fn name(self) -> &'static str {
        match self {
            HolderPhase::Unused => "unused",
            HolderPhase::Resting => "resting",
            HolderPhase::Reading => "reading",
            HolderPhase::Answering => "answering",
            HolderPhase::Writing => "writing",
            HolderPhase::Leaving => "leaving",
        }
    }
}

/// A part of the account.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldRoom {
    /// The number of connections.
    Connections,
    /// Heads, small requests and answers, and the first part of others.
    Small,
    /// Requests beyond their first part.
    Large,
    /// Answers beyond their first part.
    Answers,
}

impl HoldRoom {
    /// All rooms.
    pub const ALL: [HoldRoom; 4] =
        [HoldRoom::Connections, HoldRoom::Small, HoldRoom::Large, HoldRoom::Answers];

    /// The rooms that are counted in bytes.
    pub const OF_BYTES: [HoldRoom; 3] = [HoldRoom::Small, HoldRoom::Large, HoldRoom::Answers];

    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            HoldRoom::Connections => "connections",
            HoldRoom::Small => "small",
            HoldRoom::Large => "large",
            HoldRoom::Answers => "answers",
        }
    }
}

/// Bytes in each room.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct RoomBytes {
    small: usize,
    large: usize,
    answers: usize,
}

impl RoomBytes {
    fn of(request: usize, answer: usize) -> Self {
        let (first, reply) = (request.min(SMALL_BYTES), answer.min(SMALL_ANSWER_BYTES));
        RoomBytes { small: first + reply, large: request - first, answers: answer - reply }
    }

    fn of_room(&self, room: HoldRoom) -> usize {
        match room {
            HoldRoom::Connections => 0,
            HoldRoom::Small => self.small,
            HoldRoom::Large => self.large,
            HoldRoom::Answers => self.answers,
        }
    }

    fn add(&mut self, other: RoomBytes) {
        self.small += other.small;
        self.large += other.large;
        self.answers += other.answers;
    }

    fn subtract(&mut self, other: RoomBytes) {
        self.small -= other.small;
        self.large -= other.large;
        self.answers -= other.answers;
    }
}

/// One connection and what it holds.
#[derive(Clone, Copy, Debug)]
pub struct HolderFact {
    phase: HolderPhase,
    /// When that began.
    since: ClockTime,
    /// Bytes that came or went since then.
    moved: u64,
    /// Bytes of its request, and of answers to it that are kept.
    request: usize,
    answer: usize,
    /// Whether it was told to give way.
    is_evicted: bool,
}

impl HolderFact {
    fn rooms(&self) -> RoomBytes {
        RoomBytes::of(self.request, self.answer)
    }

    /// Bytes a second since its phase began. A byte now and then is no progress, whenever the last one came.
    fn progress(&self, now: ClockTime) -> u64 {
        let moved = if self.phase == HolderPhase::Unused { HEAD_BYTES } else { self.moved };
        moved.saturating_mul(1000) / (now - self.since).0.max(1)
    }

    /// Whether it was told to give way, or closes by itself.
    fn is_closing(&self) -> bool {
        self.is_evicted || self.phase == HolderPhase::Leaving
    }

    /// Whether it can give way: nothing of its request was passed on, or its answer is not taken.
    fn may_give_way(&self) -> bool {
        matches!(self.phase, HolderPhase::Reading | HolderPhase::Writing) && !self.is_evicted
    }
}

/// Whether more may be held.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HoldVerdict {
    /// Yes; it is counted.
    Granted,
    /// When the evicted have given way.
    Wait,
    /// No: nobody in this room makes less progress, or nobody in it can give way.
    Full(HoldRoom),
}

/// A holder that has to give way, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HolderEviction {
    /// The holder.
    pub key: HolderKey,
    /// The room that is full.
    pub room: HoldRoom,
    /// What it did, and for how long, in milliseconds.
    pub phase: HolderPhase,
    /// How long it had done so, in milliseconds.
    pub for_ms: u64,
    /// Bytes that came or went meanwhile.
    pub moved: u64,
    /// Bytes, or connections, of the room that are taken.
    pub used: usize,
    /// The bound of the room.
    pub bound: usize,
}

/// What all callers make one process hold.
///
/// Invariant: the bytes of a room never exceed its bound, but for one answer, by [`SMALL_ANSWER_BYTES`] and
/// [`SPARE_BYTES`], and for what was held already when a bound was lowered.
pub struct HoldLedger {
    bounds: HoldBounds,
    holders: ItemArena<HolderFact>,
    used: RoomBytes,
    /// What those hold that were told to give way.
    leaving: RoomBytes,
    /// Holders that were told to give way, or close by themselves.
    closing: usize,
    /// The holder whose answer may go beyond its room.
    spare: Option<HolderKey>,
}

impl HoldLedger {
    /// An empty account.
    pub fn new(bounds: HoldBounds) -> Self {
        HoldLedger {
            bounds,
            holders: ItemArena::new(),
            used: RoomBytes::default(),
            leaving: RoomBytes::default(),
            closing: 0,
            spare: None,
        }
    }

    /// Other bounds hold from now on. What is held beyond them gives way to the next who asks.
    pub fn set_bounds(&mut self, bounds: HoldBounds) {
        self.bounds = bounds;
    }

    /// The bounds in force.
    pub fn bounds(&self) -> &HoldBounds {
        &self.bounds
    }

    /// Bytes, or connections, that are taken of a room.
    pub fn used(&self, room: HoldRoom) -> usize {
        match room {
            HoldRoom::Connections => self.holders.len(),
            room => self.used.of_room(room),
        }
    }

    /// The bound of a room.
    pub fn bound(&self, room: HoldRoom) -> usize {
        match room {
            HoldRoom::Connections => self.bounds.connections + self.bounds.closing,
            HoldRoom::Small => self.bounds.small_bytes,
            HoldRoom::Large => self.bounds.large_bytes,
            HoldRoom::Answers => self.bounds.answer_bytes,
        }
    }

    /// Whether another connection may be accepted now; if not, some are being closed.
    pub fn may_accept(&self) -> bool {
        self.holders.len() < self.bound(HoldRoom::Connections)
    }

    /// Whether so many connections are being closed that each has to be gone at once.
    pub fn is_closing_many(&self) -> bool {
        self.closing > self.bounds.closing / 2
    }

    /// A connection was accepted. If there are too many, some give way.
    pub fn open(&mut self, now: ClockTime) -> (HolderKey, Vec<HolderEviction>) {
        let key = self.holders.insert(HolderFact {
            phase: HolderPhase::Unused,
            since: now,
            moved: 0,
            request: 0,
            answer: 0,
            is_evicted: false,
        });
        (key, self.make_room(now))
    }

    /// Has connections give way until no more are open than may be, as far as any can. A caller that has just connected
    /// is left the time to send its request; until then its place is one of those for connections that are being closed.
    pub fn make_room(&mut self, now: ClockTime) -> Vec<HolderEviction> {
        let mut evictions = Vec::new();
        while self.holders.len() - self.closing > self.bounds.connections {
            let holders = self.holders.iter();
            let victim = holders
                .filter_map(|(key, fact)| Some((CloseRank::of(fact, now)?, key)))
                .min_by_key(|(rank, _)| *rank);
            match victim {
                Some((_, key)) => evictions.extend(self.evict(key, HoldRoom::Connections, now)),
                None => break,
            }
        }
        evictions
    }

    /// A request begins, also one on a connection that was told to give way while it rested.
    pub fn begin(&mut self, key: HolderKey, now: ClockTime) {
        self.enter(key, HolderPhase::Reading, now);
    }

    /// The request is complete.
    pub fn complete(&mut self, key: HolderKey, now: ClockTime) {
        self.enter(key, HolderPhase::Answering, now);
    }

    /// The answer is being written.
    pub fn begin_writing(&mut self, key: HolderKey, now: ClockTime) {
        self.enter(key, HolderPhase::Writing, now);
    }

    /// The answer has ended, and the connection rests with `request` bytes buffered of the next one.
    pub fn rest(&mut self, key: HolderKey, request: usize, now: ClockTime) {
        self.enter(key, HolderPhase::Resting, now);
        self.set_held(key, request, 0);
    }

    /// The connection is being closed and holds nothing any more.
    pub fn leave(&mut self, key: HolderKey, now: ClockTime) {
        self.set_held(key, 0, 0);
        let Some(fact) = self.holders.get_mut(key) else { return };
        let was_closing = fact.is_closing();
        (fact.phase, fact.since) = (HolderPhase::Leaving, now);
        self.closing += usize::from(!was_closing);
    }

    /// The connection is gone.
    pub fn close(&mut self, key: HolderKey) {
        self.set_held(key, 0, 0);
        let Some(fact) = self.holders.remove(key) else { return };
        self.closing -= usize::from(fact.is_closing());
    }

    /// Counts bytes of the request that came, or of the answer that went.
    pub fn note_moved(&mut self, key: HolderKey, bytes: usize) {
        if let Some(fact) = self.holders.get_mut(key) {
            fact.moved += bytes as u64;
        }
    }

    /// The request of a holder is to hold so many bytes from now on.
    pub fn claim_request(
        &mut self,
        key: HolderKey,
        request: usize,
        now: ClockTime,
    ) -> (HoldVerdict, Vec<HolderEviction>) {
        let answer = self.holders.get(key).map_or(0, |fact| fact.answer);
        self.claim(key, (request, answer), now)
    }

    /// The request of a holder holds so many bytes, which were read without a claim.
    pub fn note_request(&mut self, key: HolderKey, request: usize) {
        let answer = self.holders.get(key).map_or(0, |fact| fact.answer);
        self.set_held(key, request, answer);
    }

    /// The kept answers of a holder are to take `more` bytes. One holder at a time gets them also if there is no room.
    pub fn claim_answer(
        &mut self,
        key: HolderKey,
        more: usize,
        now: ClockTime,
    ) -> (HoldVerdict, Vec<HolderEviction>) {
        let Some(fact) = self.holders.get(key).copied() else {
            return (HoldVerdict::Granted, Vec::new());
        };
        let (verdict, evictions) = self.claim(key, (fact.request, fact.answer + more), now);
        let may_spare = self.spare.is_none_or(|holder| holder == key);
        let after = RoomBytes::of(fact.request, fact.answer + more).answers;
        let spared = (self.used.answers + after).saturating_sub(fact.rooms().answers);
        let fits = spared <= self.bounds.answer_bytes + SPARE_BYTES;
        if verdict == HoldVerdict::Granted || !may_spare || !fits {
            return (verdict, evictions);
        }
        self.spare = Some(key);
        self.set_held(key, fact.request, fact.answer + more);
        (HoldVerdict::Granted, evictions)
    }

    /// A holder keeps so many bytes of answers less.
    pub fn release_answer(&mut self, key: HolderKey, bytes: usize) {
        if let Some(fact) = self.holders.get(key).copied() {
            self.set_held(key, fact.request, fact.answer.saturating_sub(bytes));
        }
    }

    fn claim(
        &mut self,
        key: HolderKey,
        (request, answer): (usize, usize),
        now: ClockTime,
    ) -> (HoldVerdict, Vec<HolderEviction>) {
        let Some(fact) = self.holders.get(key).copied() else {
            return (HoldVerdict::Granted, Vec::new());
        };
        if fact.is_evicted {
            return (HoldVerdict::Full(HoldRoom::Small), Vec::new());
        }
        let (before, after) = (fact.rooms(), RoomBytes::of(request, answer));
        let mut evictions = Vec::new();
        let mut verdict = HoldVerdict::Granted;
        for room in HoldRoom::OF_BYTES {
            let more = after.of_room(room).saturating_sub(before.of_room(room));
            let short = (self.used.of_room(room) + more).saturating_sub(self.bound(room));
            if more == 0 || short == 0 {
                continue;
            }
            verdict = HoldVerdict::Wait;
            while self.leaving.of_room(room) < short {
                let victim = self.least_progress(room, now);
                match victim.filter(|victim| *victim != key) {
                    Some(victim) => evictions.extend(self.evict(victim, room, now)),
                    None => return (HoldVerdict::Full(room), evictions),
                }
            }
        }
        if verdict == HoldVerdict::Granted {
            self.set_held(key, request, answer);
        }
        (verdict, evictions)
    }

    /// The holder in a room that makes least progress, of those that can give way.
    fn least_progress(&self, room: HoldRoom, now: ClockTime) -> Option<HolderKey> {
        let holders = self.holders.iter();
        holders
            .filter(|(_, fact)| fact.may_give_way() && fact.rooms().of_room(room) > 0)
            .min_by_key(|(_, fact)| (fact.progress(now), fact.since))
            .map(|(key, _)| key)
    }

    fn evict(&mut self, key: HolderKey, room: HoldRoom, now: ClockTime) -> Option<HolderEviction> {
        let (used, bound) = (self.used(room), self.bound(room));
        let fact = self.holders.get_mut(key)?;
        fact.is_evicted = true;
        self.closing += 1;
        let fact = *fact;
        self.leaving.add(fact.rooms());
        Some(HolderEviction {
            key,
            room,
            phase: fact.phase,
            for_ms: (now - fact.since).0,
            moved: fact.moved,
            used,
            bound,
        })
    }

    fn enter(&mut self, key: HolderKey, phase: HolderPhase, now: ClockTime) {
        let Some(fact) = self.holders.get_mut(key) else { return };
        let before = *fact;
        (fact.phase, fact.since, fact.moved, fact.is_evicted) = (phase, now, 0, false);
        self.closing -= usize::from(before.is_closing());
        if before.is_evicted {
            self.leaving.subtract(before.rooms());
        }
    }

    fn set_held(&mut self, key: HolderKey, request: usize, answer: usize) {
        let Some(fact) = self.holders.get_mut(key) else { return };
        let before = fact.rooms();
        (fact.request, fact.answer) = (request, answer);
        let (after, is_evicted) = (fact.rooms(), fact.is_evicted);
        self.used.subtract(before);
        self.used.add(after);
        if is_evicted {
            self.leaving.subtract(before);
            self.leaving.add(after);
        }
        if self.spare == Some(key) && answer == 0 {
            self.spare = None;
        }
    }
}

/// Who gives way first when there are too many connections, the lowest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CloseRank {
    /// What was not used for a while, the oldest first.
    Silent(ClockTime),
    /// What rests longest.
    Resting(ClockTime),
    /// What makes least progress, in bytes a second, and then the oldest.
    Progress(u64, ClockTime),
}

impl CloseRank {
    /// The rank of a connection; `None` if it has just been opened, waits for its answer, or closes.
    fn of(fact: &HolderFact, now: ClockTime) -> Option<Self> {
        if fact.is_evicted {
            return None;
        }
        let age = now - fact.since;
        match fact.phase {
            HolderPhase::Unused if age >= SILENT_TIME => Some(CloseRank::Silent(fact.since)),
            HolderPhase::Unused if age < FRESH_TIME => None,
            HolderPhase::Resting => Some(CloseRank::Resting(fact.since)),
            HolderPhase::Unused | HolderPhase::Reading | HolderPhase::Writing => {
                Some(CloseRank::Progress(fact.progress(now), fact.since))
            }
            HolderPhase::Answering | HolderPhase::Leaving => None,
        }
    }
}

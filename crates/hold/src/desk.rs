//! Tells the tasks of callers what the account decided: whoever has to give way gets a signal, and whoever waits for its
//! room is woken when it is free.

use crate::bounds::{ANSWER_BYTES, HoldBounds};
use crate::ledger::{HoldLedger, HoldRoom, HoldVerdict, HolderEviction, HolderKey, HolderPhase};
use oleander_board::NodeClock;
use oleander_kind::ClockTime;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::time::timeout;

/// Time between two looks for connections that can give way.
const RECHECK_PAUSE: Duration = Duration::from_millis(20);

/// The account of a process, and who waits for it.
pub struct HoldDesk {
    ledger: RefCell<HoldLedger>,
    clock: NodeClock,
    /// How many gave way, by the room that was full and what they did.
    gave_way: RefCell<BTreeMap<(&'static str, &'static str), u64>>,
    signals: RefCell<HashMap<HolderKey, Rc<EvictionSignal>>>,
    /// Wakes whoever waits for room.
    freed: Notify,
}

/// Tells a connection to give way.
#[derive(Default)]
struct EvictionSignal {
    eviction: Cell<Option<HolderEviction>>,
    told: Notify,
}

impl HoldDesk {
    /// An empty account.
    pub fn new(bounds: HoldBounds, clock: NodeClock) -> Self {
        HoldDesk {
            ledger: RefCell::new(HoldLedger::new(bounds)),
            clock,
            gave_way: RefCell::default(),
            signals: RefCell::default(),
            freed: Notify::new(),
        }
    }

    /// Other bounds hold from now on.
    pub fn set_bounds(&self, bounds: HoldBounds) {
        self.ledger.borrow_mut().set_bounds(bounds);
        self.freed.notify_waiters();
    }

    /// What is taken of a room, and its bound.
    pub fn usage(&self, room: HoldRoom) -> (usize, usize) {
        let ledger = self.ledger.borrow();
        (ledger.used(room), ledger.bound(room))
    }

    /// The bytes that are taken of all rooms.
    pub fn held_bytes(&self) -> usize {
        let ledger = self.ledger.borrow();
        HoldRoom::OF_BYTES.into_iter().map(|room| ledger.used(room)).sum()
    }

    /// Idle connections to endpoints that are kept at most.
    pub fn idle_links(&self) -> usize {
        self.ledger.borrow().bounds().idle_links
    }

    /// Waits until another connection may be accepted, for which others give way as soon as they can.
    pub async fn until_acceptable(&self) {
        loop {
            let freed = self.freed.notified();
            if self.ledger.borrow().may_accept() {
                return;
            }
            let evictions = self.ledger.borrow_mut().make_room(self.clock.now());
            self.tell(evictions);
            // Who may not give way yet, or answers now, can a moment later, which nothing tells.
            let _ = timeout(RECHECK_PAUSE, freed).await;
        }
    }

    /// How many gave way since the start, by the room that was full and what they did.
    pub fn gave_way(&self) -> Vec<((&'static str, &'static str), u64)> {
        self.gave_way.borrow().iter().map(|(reason, count)| (*reason, *count)).collect()
    }

    fn count(&self, room: HoldRoom, phase: HolderPhase) {
        *self.gave_way.borrow_mut().entry((room.name(), phase.name())).or_default() += 1;
    }

    fn tell(&self, evictions: impl IntoIterator<Item = HolderEviction>) {
        for eviction in evictions {
            self.count(eviction.room, eviction.phase);
            let signal = self.signals.borrow().get(&eviction.key).cloned();
            if let Some(signal) = signal {
                signal.eviction.set(Some(eviction));
                signal.told.notify_one();
            }
        }
    }
}

/// What one connection holds, until it is dropped.
pub struct CallerHold {
    desk: Rc<HoldDesk>,
    key: HolderKey,
    signal: Rc<EvictionSignal>,
    is_writing: Cell<bool>,
}

impl CallerHold {
    /// A connection was accepted; another one may have to give way for it.
    pub fn open(desk: &Rc<HoldDesk>) -> Rc<Self> {
        let (key, evictions) = desk.ledger.borrow_mut().open(desk.clock.now());
        let signal = Rc::<EvictionSignal>::default();
        desk.signals.borrow_mut().insert(key, signal.clone());
        desk.tell(evictions);
        Rc::new(CallerHold { desk: desk.clone(), key, signal, is_writing: Cell::default() })
    }

    /// Waits until this connection has to give way, and returns why.
    pub async fn until_evicted(&self) -> HolderEviction {
        loop {
            if let Some(eviction) = self.signal.eviction.get() {
                return eviction;
            }
            self.signal.told.notified().await;
        }
    }

    /// Why this connection has to give way; `None` if it need not.
    pub fn eviction(&self) -> Option<HolderEviction> {
        self.signal.eviction.get()
    }

    /// A request begins.
    pub fn begin(&self) {
        self.act(|ledger, now| ledger.begin(self.key, now));
        self.stay();
    }

    /// The request is complete, so that it does not give way any more.
    pub fn complete(&self) {
        self.act(|ledger, now| ledger.complete(self.key, now));
        self.is_writing.set(false);
        self.stay();
    }

    /// Whoever waits for what this connection holds has to ask another one, as it does not give way any more.
    fn stay(&self) {
        if self.signal.eviction.take().is_some() {
            self.desk.freed.notify_waiters();
        }
    }

    /// The answer is being written.
    pub fn begin_writing(&self) {
        self.act(|ledger, now| ledger.begin_writing(self.key, now));
    }

    /// Bytes of a whole answer were taken; if some are left, it is being written from now on.
    pub fn note_written(&self, bytes: usize, is_unfinished: bool) {
        if is_unfinished && !self.is_writing.replace(true) {
            self.begin_writing();
        }
        self.note_moved(bytes);
    }

    /// Bytes of the request came, or of the answer went.
    pub fn note_moved(&self, bytes: usize) {
        self.act(|ledger, _| ledger.note_moved(self.key, bytes));
    }

    /// The answer has ended; `buffered` bytes are held of what follows.
    pub fn rest(&self, buffered: usize) {
        self.act(|ledger, now| ledger.rest(self.key, buffered, now));
        self.signal.eviction.set(None);
        self.desk.freed.notify_waiters();
    }

    /// The connection is being closed, and holds nothing any more.
    pub fn leave(&self) {
        self.act(|ledger, now| ledger.leave(self.key, now));
        self.desk.freed.notify_waiters();
    }

    /// Whether so many connections are being closed that this one has to be gone at once.
    pub fn is_closing_many(&self) -> bool {
        self.desk.ledger.borrow().is_closing_many()
    }

    /// Counts bytes of a request that was admitted elsewhere, whether or not there is room.
    pub fn count_admitted(&self, bytes: usize) {
        self.act(|ledger, now| {
            ledger.complete(self.key, now);
            ledger.note_request(self.key, bytes);
        });
    }

    /// Claims so many bytes for the request in all, and waits until those who give way for it have done so.
    ///
    /// # Errors
    /// The room that is full, where nobody makes less progress.
    pub async fn claim_request(&self, bytes: usize) -> Result<(), HoldRoom> {
        let claim = |ledger: &mut HoldLedger, now| ledger.claim_request(self.key, bytes, now);
        loop {
            let freed = self.desk.freed.notified();
            match self.claim(claim) {
                HoldVerdict::Granted => return Ok(()),
                HoldVerdict::Wait => freed.await,
                HoldVerdict::Full(room) => {
                    if self.eviction().is_none() {
                        self.desk.count(room, HolderPhase::Reading);
                    }
                    return Err(room);
                }
            }
        }
    }

    /// Claims `more` bytes for answers that are kept, and waits until there is room.
    async fn claim_answer(&self, more: usize) {
        let claim = |ledger: &mut HoldLedger, now| ledger.claim_answer(self.key, more, now);
        loop {
            let freed = self.desk.freed.notified();
            if self.claim(claim) == HoldVerdict::Granted {
                return;
            }
            freed.await;
        }
    }

    fn claim(
        &self,
        claim: impl FnOnce(&mut HoldLedger, ClockTime) -> (HoldVerdict, Vec<HolderEviction>),
    ) -> HoldVerdict {
        let (verdict, evictions) = self.act(claim);
        self.desk.tell(evictions);
        verdict
    }

    fn act<T>(&self, act: impl FnOnce(&mut HoldLedger, ClockTime) -> T) -> T {
        act(&mut self.desk.ledger.borrow_mut(), self.desk.clock.now())
    }
}

impl Drop for CallerHold {
    fn drop(&mut self) {
        let desk = &self.desk;
        desk.ledger.borrow_mut().close(self.key);
        desk.signals.borrow_mut().remove(&self.key);
        desk.freed.notify_waiters();
    }
}

/// The room of an answer that is kept until it is written, until this is dropped.
pub struct AnswerClaim {
    hold: Rc<CallerHold>,
    bytes: usize,
}

impl AnswerClaim {
    /// Room for nothing yet.
    pub fn new(hold: &Rc<CallerHold>) -> Self {
        AnswerClaim { hold: hold.clone(), bytes: 0 }
    }

    /// Waits until there is room for so many bytes in all. Can be dropped and called again.
    pub async fn grow(&mut self, bytes: usize) {
        let beyond = bytes.saturating_sub(ANSWER_BYTES);
        if beyond > self.bytes {
            self.hold.claim_answer(beyond - self.bytes).await;
            self.bytes = beyond;
        }
    }
}

impl Drop for AnswerClaim {
    fn drop(&mut self) {
        self.hold.act(|ledger, _| ledger.release_answer(self.hold.key, self.bytes));
        self.hold.desk.freed.notify_waiters();
    }
}

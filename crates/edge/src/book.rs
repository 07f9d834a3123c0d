//! The requests one entry knows: those it runs, answers it keeps, requests it holds for others.

use bytes::Bytes;
use oleander_claim::ClaimKey;
use oleander_hold::CallerHold;
use oleander_kind::{AccountName, ClockTime, RequestId, ResultCode, TimeSpan};
use oleander_wire::{KeptAnswer, ShadowRecord};
use std::cell::{Cell, RefCell};
use std::collections::{HashMap, VecDeque};
use std::rc::Rc;
use tokio::sync::Notify;

/// How a live request stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LiveStage {
    /// No endpoint has taken it yet.
    Trying,
    /// An endpoint runs it; the caller can be told so.
    Accepted,
    /// The whole answer is here.
    Whole,
    /// It ended without a whole answer.
    Failed(ResultCode),
    /// This entry is leaving; another goes on with it.
    Moved,
}

/// A piece of an answer as it is shown.
#[derive(Clone, Debug)]
pub struct ShownPiece {
    /// One past the last token shown with it.
    pub end: u64,
    /// The event as it came.
    pub raw: Bytes,
    /// Whether it closes the answer: the finish marker and the end of the stream.
    pub last: bool,
}

/// A request that runs here. Callers read it through cursors, so that one that comes back goes on
/// where it stood.
pub struct LiveRequest {
    /// Its id.
    pub id: RequestId,
    /// Whose it is.
    pub account: AccountName,
    /// What tells it from another request with its id.
    pub digest: [u8; 16],
    /// Whether it runs on when its caller goes away.
    pub run_on: bool,
    /// Whether another entry may go on with it; not so for a call that may not be repeated.
    pub movable: bool,
    /// The request as another entry needs it.
    pub record: RefCell<Option<ShadowRecord>>,
    /// When it began here.
    pub began: ClockTime,
    pieces: RefCell<Vec<ShownPiece>>,
    kept: RefCell<Option<KeptAnswer>>,
    stage: Cell<LiveStage>,
    readers: Cell<usize>,
    taken: Cell<bool>,
    /// The room of its body.
    hold: RefCell<Option<Rc<CallerHold>>>,
    changed: Notify,
    left: Notify,
}

impl LiveRequest {
    /// A request that no endpoint has taken.
    pub fn new(id: RequestId, account: AccountName, digest: [u8; 16], began: ClockTime) -> Self {
        LiveRequest {
            id,
            account,
            digest,
            run_on: false,
            movable: false,
            record: RefCell::new(None),
            began,
            pieces: RefCell::default(),
            kept: RefCell::new(None),
            stage: Cell::new(LiveStage::Trying),
            readers: Cell::new(0),
            taken: Cell::new(false),
            hold: RefCell::new(None),
            changed: Notify::new(),
            left: Notify::new(),
        }
    }

    /// Keeps the room of its body until it ends.
    pub fn hold(&self, hold: Rc<CallerHold>) {
        *self.hold.borrow_mut() = Some(hold);
    }

    /// Gives the room of its body back.
    pub fn release(&self) {
        self.hold.borrow_mut().take();
    }

    /// How it stands.
    pub fn stage(&self) -> LiveStage {
        self.stage.get()
    }

    /// Sets how it stands and wakes readers.
    pub fn set_stage(&self, stage: LiveStage) {
        if self.stage.get() != LiveStage::Moved {
            self.stage.set(stage);
        }
        self.changed.notify_waiters();
    }

    /// Adds a piece and wakes readers.
    pub fn show(&self, piece: ShownPiece) {
        self.pieces.borrow_mut().push(piece);
        self.changed.notify_waiters();
    }

    /// Ends it with a whole plain answer.
    pub fn complete(&self, answer: KeptAnswer) {
        *self.kept.borrow_mut() = Some(answer);
        self.set_stage(LiveStage::Whole);
    }

    /// The whole plain answer, if it has one.
    pub fn kept(&self) -> Option<KeptAnswer> {
        self.kept.borrow().clone()
    }

    /// Pieces from number `from` on.
    pub fn pieces_from(&self, from: usize) -> Vec<ShownPiece> {
        self.pieces.borrow().get(from..).map(<[ShownPiece]>::to_vec).unwrap_or_default()
    }

    /// All events shown, joined.
    pub fn shown_bytes(&self) -> Bytes {
        let pieces = self.pieces.borrow();
        let mut joined = Vec::with_capacity(pieces.iter().map(|piece| piece.raw.len()).sum());
        pieces.iter().for_each(|piece| joined.extend_from_slice(&piece.raw));
        Bytes::from(joined)
    }

    /// Tokens shown.
    pub fn shown(&self) -> u64 {
        self.pieces.borrow().last().map_or(0, |piece| piece.end)
    }

    /// Waits for a change after now. Made before the state is looked at, so that no change is
    /// missed in between.
    pub fn changed(&self) -> tokio::sync::futures::Notified<'_> {
        self.changed.notified()
    }

    /// Waits until it is neither trying nor running, or the answer began.
    pub async fn accepted(&self) -> LiveStage {
        loop {
            let changed = self.changed();
            match self.stage() {
                LiveStage::Trying => changed.await,
                stage => return stage,
            }
        }
    }

    /// Waits until it has ended.
    pub async fn ended(&self) -> LiveStage {
        loop {
            let changed = self.changed();
            match self.stage() {
                LiveStage::Trying | LiveStage::Accepted => changed.await,
                stage => return stage,
            }
        }
    }

    /// Notes that another entry goes on with it, because its caller came back there.
    pub fn give_away(&self) {
        self.taken.set(true);
    }

    /// Whether it is another entry's now: given away, and without a reader here.
    pub fn is_given_away(&self) -> bool {
        self.taken.get() && !self.has_reader()
    }

    /// Counts a caller that reads it.
    pub fn attach(self: &Rc<Self>) -> ReaderGuard {
        self.readers.set(self.readers.get() + 1);
        ReaderGuard(self.clone())
    }

    /// Whether a caller reads it.
    pub fn has_reader(&self) -> bool {
        self.readers.get() > 0
    }

    /// Waits until the last reader has gone.
    pub async fn deserted(&self) {
        loop {
            let left = self.left.notified();
            if !self.has_reader() {
                return;
            }
            left.await;
        }
    }
}

/// Counts one reader for as long as it lives.
pub struct ReaderGuard(Rc<LiveRequest>);

impl Drop for ReaderGuard {
    fn drop(&mut self) {
        self.0.readers.set(self.0.readers.get().saturating_sub(1));
        self.0.left.notify_waiters();
    }
}

struct KeptEntry {
    answer: KeptAnswer,
    kept_at: ClockTime,
}

/// All requests known here.
///
/// What is kept is bounded by bytes and by age. The oldest answer is dropped first; a request held
/// for another entry is dropped only when that entry says so, or by age.
pub struct RequestBook {
    live: HashMap<ClaimKey, Rc<LiveRequest>>,
    kept: HashMap<ClaimKey, KeptEntry>,
    kept_order: VecDeque<(ClaimKey, ClockTime)>,
    kept_bytes: usize,
    shadows: HashMap<ClaimKey, (ShadowRecord, ClockTime)>,
    most_bytes: usize,
    most_age: TimeSpan,
}

impl RequestBook {
    /// A book that keeps at most `most_bytes` of answers, each for at most `most_age`.
    pub fn new(most_bytes: usize, most_age: TimeSpan) -> Self {
        RequestBook {
            live: HashMap::new(),
            kept: HashMap::new(),
            kept_order: VecDeque::new(),
            kept_bytes: 0,
            shadows: HashMap::new(),
            most_bytes,
            most_age,
        }
    }

    /// The request of `key` that runs here.
    pub fn live(&self, key: ClaimKey) -> Option<Rc<LiveRequest>> {
        self.live.get(&key).cloned()
    }

    /// All that run here.
    pub fn all_live(&self) -> Vec<(ClaimKey, Rc<LiveRequest>)> {
        self.live.iter().map(|(key, live)| (*key, live.clone())).collect()
    }

    /// How many run here.
    pub fn live_count(&self) -> usize {
        self.live.len()
    }

    /// Adds a request that runs here.
    pub fn begin(&mut self, key: ClaimKey, live: Rc<LiveRequest>) {
        self.shadows.remove(&key);
        self.live.insert(key, live);
    }

    /// A request does not run here any more.
    pub fn end(&mut self, key: ClaimKey) {
        self.live.remove(&key);
    }

    /// Keeps an answer.
    pub fn keep(&mut self, key: ClaimKey, answer: KeptAnswer, now: ClockTime) {
        if answer.body.len() > self.most_bytes {
            return;
        }
        self.forget(key);
        self.kept_bytes += answer.body.len();
        self.kept.insert(key, KeptEntry { answer, kept_at: now });
        self.kept_order.push_back((key, now));
        self.shrink(now);
    }

    /// The kept answer of `key`.
    pub fn kept(&self, key: ClaimKey) -> Option<&KeptAnswer> {
        self.kept.get(&key).map(|entry| &entry.answer)
    }

    /// Bytes of kept answers, kept answers, and requests held for others.
    pub fn counts(&self) -> (usize, usize, usize) {
        (self.kept_bytes, self.kept.len(), self.shadows.len())
    }

    /// Holds a request for another entry.
    pub fn hold(&mut self, key: ClaimKey, record: ShadowRecord, now: ClockTime) {
        self.shadows.insert(key, (record, now));
    }

    /// The held request of `key`.
    pub fn held(&self, key: ClaimKey) -> Option<&ShadowRecord> {
        self.shadows.get(&key).map(|(record, _)| record)
    }

    /// All held requests.
    pub fn all_held(&self) -> Vec<(ClaimKey, ShadowRecord)> {
        self.shadows.iter().map(|(key, (record, _))| (*key, record.clone())).collect()
    }

    /// A held request is over.
    pub fn drop_held(&mut self, key: ClaimKey) {
        self.shadows.remove(&key);
    }

    /// Drops what is too old. `wall` is wall-clock time, by which held requests expire.
    pub fn sweep(&mut self, now: ClockTime, wall: ClockTime) {
        self.shrink(now);
        self.shadows.retain(|_, (record, _)| record.deadline > wall);
    }

    fn forget(&mut self, key: ClaimKey) {
        if let Some(entry) = self.kept.remove(&key) {
            self.kept_bytes -= entry.answer.body.len();
        }
    }

    fn shrink(&mut self, now: ClockTime) {
        while let Some((key, kept_at)) = self.kept_order.front().copied() {
            let current = self.kept.get(&key).is_some_and(|entry| entry.kept_at == kept_at);
            let old = now - kept_at >= self.most_age;
            if current && !old && self.kept_bytes <= self.most_bytes {
                return;
            }
            self.kept_order.pop_front();
            if current {
                self.forget(key);
            }
        }
    }
}

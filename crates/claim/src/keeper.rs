//! Keeps one book of claims, as a pure state machine.

use crate::book::{HeadValue, SegmentName, SegmentValue, decode, encode};
use crate::record::{ClaimKey, ClaimRecord};
use oleander_kind::{ClockTime, ResultCode, TimeSpan};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// How claims are gathered and kept.
#[derive(Clone, Copy, Debug)]
pub struct ClaimSettings {
    /// How long the first claim of a write waits for others.
    pub linger: TimeSpan,
    /// The time between two writes that this book's share of the store's rate allows.
    pub pace: TimeSpan,
    /// Writes that may be made early, after a quiet time.
    pub burst: u64,
    /// The most claims in one write.
    pub most_batch: usize,
    /// The most claims waiting; more are refused.
    pub most_waiting: usize,
    /// The head is sealed when it holds this many claims.
    pub seal_at: usize,
    /// How long keys are remembered, by the time the key itself carries.
    pub horizon: TimeSpan,
    /// How far a key's time may lie in the future.
    pub most_ahead: TimeSpan,
    /// Between a refusal for rate and the next try.
    pub busy_pause: TimeSpan,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        ClaimSettings {
            linger: TimeSpan(0),
            pace: TimeSpan(16),
            burst: 8,
            most_batch: 512,
            most_waiting: 8192,
            seal_at: 512,
            horizon: TimeSpan::secs(24 * 3600),
            most_ahead: TimeSpan::secs(300),
            busy_pause: TimeSpan(20),
        }
    }
}

/// A request that asks for its claim.
#[derive(Clone, Debug)]
pub struct ClaimAsk {
    /// Names the ask in the answer.
    pub ticket: u64,
    /// What is to be claimed.
    pub record: ClaimRecord,
    /// Monotonic time after which nobody waits for the answer.
    pub deadline: ClockTime,
}

/// The answer to an ask.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The asker, and nobody else ever, may send the request.
    Granted,
    /// The key is claimed by this record; with another digest it is another request.
    Held(ClaimRecord),
    /// Not claimed for the asker; it must not send.
    Unavailable(ResultCode),
}

/// What the keeper wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Read the book's head.
    ReadHead,
    /// Read a sealed segment.
    ReadSegment(SegmentName),
    /// Write the head if its version is still `version`.
    WriteHead {
        /// The version read; none if there is no head.
        version: Option<u64>,
        /// Its bytes.
        bytes: Vec<u8>,
    },
    /// Create a segment. One that is there already has the same bytes, by its name.
    WriteSegment {
        /// Its name.
        segment: SegmentName,
        /// Its bytes.
        bytes: Vec<u8>,
    },
    /// Answer an ask.
    Answer {
        /// Its ticket.
        ticket: u64,
        /// The verdict.
        verdict: ClaimVerdict,
    },
}

/// What the store said to the newest read or write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimSaid {
    /// The object as read, with its version.
    Read(Option<(u64, Vec<u8>)>),
    /// The write was made; the new version.
    Written(u64),
    /// The version was another.
    Changed,
    /// The rate is used up; nothing changed.
    Busy,
    /// Refused or never sent; nothing changed.
    NotDone,
    /// The write may have been made.
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KeeperState {
    /// Nothing is known of the book.
    Cold,
    ReadingHead,
    /// Reading the segment of this place in the head.
    ReadingSegment(usize),
    Ready,
    WritingHead,
    WritingSeal(SegmentName),
    /// Writing a head that counts one more segment and starts empty.
    SwitchingHead,
}

/// One book's keeper.
///
/// **At most once.** A claim is granted only after a head that contains it was written against the
/// version that was read, or after reading it back under the asker's own nonce. The head names all
/// sealed segments, so the version check covers them too. A keeper that was paused while another
/// took over has an old version: its write fails, it reads again and finds the other's claims.
#[derive(Clone, Debug)]
pub struct BookKeeper {
    settings: ClaimSettings,
    state: KeeperState,
    version: Option<u64>,
    head: HeadValue,
    known: BTreeMap<ClaimKey, ClaimRecord>,
    loading: Option<HeadValue>,
    waiting: VecDeque<ClaimAsk>,
    batch: Vec<ClaimAsk>,
    gather_until: Option<ClockTime>,
    /// When the next write would be due if all had come at the book's pace.
    due_at: ClockTime,
    pause_until: ClockTime,
    writes: u64,
    granted: u64,
}

impl BookKeeper {
    /// A keeper that knows nothing yet.
    pub fn new(settings: ClaimSettings) -> Self {
        BookKeeper {
            settings,
            state: KeeperState::Cold,
            version: None,
            head: HeadValue::default(),
            known: BTreeMap::new(),
            loading: None,
            waiting: VecDeque::new(),
            batch: Vec::new(),
            gather_until: None,
            due_at: ClockTime(0),
            pause_until: ClockTime(0),
            writes: 0,
            granted: 0,
        }
    }

    /// Claims remembered.
    pub fn known(&self) -> usize {
        self.known.len()
    }

    /// Asks that wait for an answer.
    pub fn asks_open(&self) -> usize {
        self.waiting.len() + self.batch.len()
    }

    /// Head writes asked for, and claims granted.
    pub fn counts(&self) -> (u64, u64) {
        (self.writes, self.granted)
    }

    /// When `tick` is wanted next; none if there is nothing to wait for but the store's answer.
    pub fn next_tick(&self) -> Option<ClockTime> {
        let calling = !matches!(self.state, KeeperState::Ready | KeeperState::Cold);
        if calling || self.waiting.is_empty() {
            return None;
        }
        Some(self.gather_until.unwrap_or(self.pause_until).max(self.pause_until))
    }

    /// Takes an ask. `wall` is wall-clock time, against which the key's age is judged.
    pub fn ask(&mut self, ask: ClaimAsk, now: ClockTime, wall: ClockTime) -> Vec<ClaimAction> {
        if let Some(code) = self.key_fault(&ask.record, wall) {
            return vec![refuse(&ask, code)];
        }
        if self.waiting.len() >= self.settings.most_waiting {
            return vec![refuse(&ask, ResultCode::StoreDown)];
        }
        if self.state == KeeperState::Ready
            && let Some(answer) = self.answer_known(&ask)
        {
            return vec![answer];
        }
        self.waiting.push_back(ask);
        self.tick(now, wall)
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: ClockTime, wall: ClockTime) -> Vec<ClaimAction> {
        let mut actions = self.drop_late(now);
        if now < self.pause_until || self.waiting.is_empty() {
            return actions;
        }
        match self.state {
            KeeperState::Cold => {
                self.state = KeeperState::ReadingHead;
                actions.push(ClaimAction::ReadHead);
            }
            KeeperState::Ready => self.gather_or_write(now, wall, &mut actions),
            _ => {}
        }
        actions
    }

    /// Takes what the store said to the newest read or write.
    pub fn said(&mut self, said: ClaimSaid, now: ClockTime, wall: ClockTime) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        match (self.state, said) {
            (KeeperState::ReadingHead, ClaimSaid::Read(found)) => {
                self.take_head(found, &mut actions);
            }
            (KeeperState::ReadingSegment(place), ClaimSaid::Read(found)) => {
                self.take_segment(place, found, &mut actions);
            }
            (KeeperState::WritingHead, ClaimSaid::Written(version)) => {
                self.head_written(version, &mut actions);
                self.seal_if_full(&mut actions);
            }
            (KeeperState::WritingSeal(sealed), ClaimSaid::Written(_) | ClaimSaid::Changed) => {
                self.switch_head(sealed, &mut actions);
            }
            (KeeperState::WritingSeal(_), ClaimSaid::Unknown) => {
                // Writing it again does no harm.
                self.write_seal(&mut actions);
            }
            (KeeperState::SwitchingHead, ClaimSaid::Written(version)) => {
                self.head_switched(version);
            }
            (_, ClaimSaid::Changed | ClaimSaid::Unknown) => self.start_over(&mut actions),
            (_, ClaimSaid::Busy) => self.wait_out(now),
            (_, _) => self.store_failed(&mut actions),
        }
        self.finish_load(&mut actions);
        actions.extend(self.tick(now, wall));
        actions
    }

    /// Why the key cannot be claimed, whatever the shard holds. Past the horizon its claim may
    /// have been removed, so that a repeat would look new: it is refused by its own age instead.
    fn key_fault(&self, record: &ClaimRecord, wall: ClockTime) -> Option<ResultCode> {
        if record.key_time + self.settings.horizon <= wall {
            return Some(ResultCode::KeyTooOld);
        }
        if record.key_time > wall + self.settings.most_ahead {
            return Some(ResultCode::BadIdempotencyKey);
        }
        None
    }

    fn answer_known(&mut self, ask: &ClaimAsk) -> Option<ClaimAction> {
        let known = self.known.get(&ask.record.key)?;
        let mine = known.nonce == ask.record.nonce && known.owner == ask.record.owner;
        let verdict = if mine { ClaimVerdict::Granted } else { ClaimVerdict::Held(known.clone()) };
        self.granted += u64::from(mine);
        Some(ClaimAction::Answer { ticket: ask.ticket, verdict })
    }

    fn drop_late(&mut self, now: ClockTime) -> Vec<ClaimAction> {
        let (late, waiting): (VecDeque<_>, VecDeque<_>) =
            self.waiting.drain(..).partition(|ask| ask.deadline <= now);
        self.waiting = waiting;
        late.iter().map(|ask| refuse(ask, ResultCode::StoreDown)).collect()
    }

    fn gather_or_write(&mut self, now: ClockTime, wall: ClockTime, out: &mut Vec<ClaimAction>) {
        let full = self.waiting.len() >= self.settings.most_batch;
        // Claims gather for as long as the store's rate makes them wait anyway, and no longer: at
        // a quiet time a write goes out at once, near the limit it takes more claims along.
        let early = TimeSpan(self.settings.pace.0 * self.settings.burst);
        let paced = self.due_at - early;
        let until = *self.gather_until.get_or_insert((now + self.settings.linger).max(paced));
        if now < until && !(full && now >= paced) {
            return;
        }
        self.gather_until = None;
        self.due_at = self.due_at.max(now) + self.settings.pace;
        self.write_batch(wall, out);
    }

    fn write_batch(&mut self, wall: ClockTime, out: &mut Vec<ClaimAction>) {
        let mut claimed: HashMap<ClaimKey, ClaimRecord> = HashMap::new();
        while self.batch.len() < self.settings.most_batch {
            let Some(ask) = self.waiting.pop_front() else {
                break;
            };
            if let Some(answer) = self.answer_known(&ask) {
                out.push(answer);
                continue;
            }
            // The key may have aged while it waited.
            if let Some(code) = self.key_fault(&ask.record, wall) {
                out.push(refuse(&ask, code));
                continue;
            }
            if let Some(first) = claimed.get(&ask.record.key) {
                let verdict = ClaimVerdict::Held(first.clone());
                out.push(ClaimAction::Answer { ticket: ask.ticket, verdict });
                continue;
            }
            claimed.insert(ask.record.key, ask.record.clone());
            self.batch.push(ask);
        }
        if self.batch.is_empty() {
            return;
        }
        let mut head = self.head.clone();
        head.claims.extend(self.batch.iter().map(|ask| ask.record.clone()));
        self.writes += 1;
        self.state = KeeperState::WritingHead;
        out.push(ClaimAction::WriteHead { version: self.version, bytes: encode(&head) });
    }

    fn head_written(&mut self, version: u64, out: &mut Vec<ClaimAction>) {
        self.version = Some(version);
        self.state = KeeperState::Ready;
        for ask in std::mem::take(&mut self.batch) {
            self.known.insert(ask.record.key, ask.record.clone());
            self.head.claims.push(ask.record);
            self.granted += 1;
            let verdict = ClaimVerdict::Granted;
            out.push(ClaimAction::Answer { ticket: ask.ticket, verdict });
        }
    }

    fn take_head(&mut self, found: Option<(u64, Vec<u8>)>, out: &mut Vec<ClaimAction>) {
        let (version, head) = match found {
            None => (None, Some(HeadValue::default())),
            Some((version, bytes)) => (Some(version), decode::<HeadValue>(&bytes)),
        };
        let Some(head) = head else {
            return self.store_failed(out);
        };
        self.version = version;
        self.known.clear();
        self.state = KeeperState::ReadingSegment(0);
        out.extend(head.segments.first().map(|segment| ClaimAction::ReadSegment(*segment)));
        self.loading = Some(head);
    }

    fn take_segment(
        &mut self,
        place: usize,
        found: Option<(u64, Vec<u8>)>,
        out: &mut Vec<ClaimAction>,
    ) {
        let Some((_, bytes)) = found else {
            // The book is past the horizon and was removed since its head was read.
            return self.start_over(out);
        };
        let Some(segment) = decode::<SegmentValue>(&bytes) else {
            return self.store_failed(out);
        };
        self.known.extend(segment.claims.into_iter().map(|record| (record.key, record)));
        self.state = KeeperState::ReadingSegment(place + 1);
        let next = self.loading.as_ref().and_then(|head| head.segments.get(place + 1));
        out.extend(next.map(|segment| ClaimAction::ReadSegment(*segment)));
    }

    fn finish_load(&mut self, out: &mut Vec<ClaimAction>) {
        let KeeperState::ReadingSegment(next) = self.state else {
            return;
        };
        let done = self.loading.as_ref().is_some_and(|head| next >= head.segments.len());
        if !done {
            return;
        }
        let Some(head) = self.loading.take() else {
            return;
        };
        self.known.extend(head.claims.iter().map(|record| (record.key, record.clone())));
        self.head = head;
        self.state = KeeperState::Ready;
        // Asks whose write had an unknown end find their own nonce here, or wait again.
        for ask in std::mem::take(&mut self.batch).into_iter().rev() {
            match self.answer_known(&ask) {
                Some(answer) => out.push(answer),
                None => self.waiting.push_front(ask),
            }
        }
    }

    fn seal_if_full(&mut self, out: &mut Vec<ClaimAction>) {
        if self.head.claims.len() >= self.settings.seal_at {
            self.write_seal(out);
        }
    }

    /// Seals the head's claims. The segment counts only once a head names it, and that head is
    /// written against the version whose claims were sealed: a claim that another keeper added
    /// since makes it fail.
    fn write_seal(&mut self, out: &mut Vec<ClaimAction>) {
        let (sealed, bytes) = SegmentValue { claims: self.head.claims.clone() }.seal();
        self.state = KeeperState::WritingSeal(sealed);
        out.push(ClaimAction::WriteSegment { segment: sealed, bytes });
    }

    fn switch_head(&mut self, sealed: SegmentName, out: &mut Vec<ClaimAction>) {
        let mut head = HeadValue { segments: self.head.segments.clone(), claims: Vec::new() };
        head.segments.push(sealed);
        self.state = KeeperState::SwitchingHead;
        out.push(ClaimAction::WriteHead { version: self.version, bytes: encode(&head) });
    }

    fn head_switched(&mut self, version: u64) {
        let claims = std::mem::take(&mut self.head.claims);
        let (sealed, _) = SegmentValue { claims }.seal();
        self.head.segments.push(sealed);
        self.version = Some(version);
        self.state = KeeperState::Ready;
    }

    /// The head may have changed: what is known is read again before anything is granted.
    fn start_over(&mut self, out: &mut Vec<ClaimAction>) {
        self.state = KeeperState::ReadingHead;
        self.loading = None;
        out.push(ClaimAction::ReadHead);
    }

    fn wait_out(&mut self, now: ClockTime) {
        self.pause_until = now + self.settings.busy_pause;
        self.give_batch_back();
        self.settle_state();
    }

    /// The store is down. Nobody waits for it: every ask is refused, truly, because no claim of
    /// these asks can be granted any more: the askers are told not to send.
    fn store_failed(&mut self, out: &mut Vec<ClaimAction>) {
        self.give_batch_back();
        self.settle_state();
        out.extend(self.waiting.drain(..).map(|ask| refuse(&ask, ResultCode::StoreDown)));
    }

    fn give_batch_back(&mut self) {
        for ask in std::mem::take(&mut self.batch).into_iter().rev() {
            self.waiting.push_front(ask);
        }
    }

    /// After a call that changed nothing: what was known stays known, a load starts over.
    fn settle_state(&mut self) {
        self.loading = None;
        self.state = match self.state {
            KeeperState::Cold | KeeperState::ReadingHead | KeeperState::ReadingSegment(_) => {
                KeeperState::Cold
            }
            _ => KeeperState::Ready,
        };
    }
}

fn refuse(ask: &ClaimAsk, code: ResultCode) -> ClaimAction {
    ClaimAction::Answer { ticket: ask.ticket, verdict: ClaimVerdict::Unavailable(code) }
}

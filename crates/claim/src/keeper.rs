//! Keeps one book of claims, as a pure state machine.

use crate::partition::{HeadValue, SegmentName, SegmentValue, decode, encode};
use crate::record::{ClaimKey, ClaimRecord};
use oleander_kind::{ClockTime, ResultCode, TimeSpan};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// How claims are gathered and kept.
#[derive(Clone, Copy, Debug)]
pub struct ClaimSettings {
    /// How long the first claim of a write waits for others.
    pub linger: TimeSpan,
    /// The time between two writes that this book's share of the store's rate allows.
    pub write_interval: TimeSpan,
    /// Writes that may be made early, after a quiet time.
    pub burst: u64,
    /// The most claims in one write.
    pub most_batch: usize,
    /// The most claims waiting; more are refused.
    pub most_waiting: usize,
    /// The head is sealed when it holds this many claims.
    pub seal_threshold: usize,
    /// How long keys are remembered, by the time the key itself carries.
    pub retention: TimeSpan,
    /// How far a key's time may lie in the future.
    pub max_future_skew: TimeSpan,
    /// Between a refusal for rate and the next try.
    pub busy_backoff: TimeSpan,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        ClaimSettings {
            linger: TimeSpan(0),
            write_interval: TimeSpan(16),
            burst: 8,
            most_batch: 512,
            most_waiting: 8192,
            seal_threshold: 512,
            retention: TimeSpan::secs(24 * 3600),
            max_future_skew: TimeSpan::secs(300),
            busy_backoff: TimeSpan(20),
        }
    }
}

/// A request that asks for its claim.
#[derive(Clone, Debug)]
pub struct ClaimRequest {
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
pub enum StoreReply {
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
    WritingSegment(SegmentName),
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
pub struct PartitionKeeper {
    settings: ClaimSettings,
    state: KeeperState,
    version: Option<u64>,
    head: HeadValue,
    known: BTreeMap<ClaimKey, ClaimRecord>,
    loading: Option<HeadValue>,
    waiting: VecDeque<ClaimRequest>,
    batch: Vec<ClaimRequest>,
    gather_until: Option<ClockTime>,
    /// When the next write would be due if all had come at the book's pace.
    due_at: ClockTime,
    pause_until: ClockTime,
    writes: u64,
    granted: u64,
}

impl PartitionKeeper {
    /// A keeper that knows nothing yet.
    pub fn new(settings: ClaimSettings) -> Self {
        PartitionKeeper {
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
    pub fn pending_requests(&self) -> usize {
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
    pub fn ask(
        &mut self,
        request: ClaimRequest,
        now: ClockTime,
        wall: ClockTime,
    ) -> Vec<ClaimAction> {
        if let Some(code) = self.key_error(&request.record, wall) {
            return vec![refuse(&request, code)];
        }
        if self.waiting.len() >= self.settings.most_waiting {
            return vec![refuse(&request, ResultCode::StoreDown)];
        }
        if self.state == KeeperState::Ready
            && let Some(answer) = self.answer_known(&request)
        {
            return vec![answer];
        }
        self.waiting.push_back(request);
        self.tick(now, wall)
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: ClockTime, wall: ClockTime) -> Vec<ClaimAction> {
        let mut actions = self.refuse_expired(now);
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
    pub fn store_reply(
        &mut self,
        reply: StoreReply,
        now: ClockTime,
        wall: ClockTime,
    ) -> Vec<ClaimAction> {
        let mut actions = Vec::new();
        match (self.state, reply) {
            (KeeperState::ReadingHead, StoreReply::Read(found)) => {
                self.load_head(found, &mut actions);
            }
            (KeeperState::ReadingSegment(place), StoreReply::Read(found)) => {
                self.load_segment(place, found, &mut actions);
            }
            (KeeperState::WritingHead, StoreReply::Written(version)) => {
                self.head_written(version, &mut actions);
                self.seal_if_full(&mut actions);
            }
            (KeeperState::WritingSegment(sealed), StoreReply::Written(_) | StoreReply::Changed) => {
                self.switch_head(sealed, &mut actions);
            }
            (KeeperState::WritingSegment(_), StoreReply::Unknown) => {
                // Writing it again does no harm.
                self.write_seal(&mut actions);
            }
            (KeeperState::SwitchingHead, StoreReply::Written(version)) => {
                self.head_switched(version);
            }
            (_, StoreReply::Changed | StoreReply::Unknown) => self.reload(&mut actions),
            (_, StoreReply::Busy) => self.back_off(now),
            (_, _) => self.store_failed(&mut actions),
        }
        self.finish_load(&mut actions);
        actions.extend(self.tick(now, wall));
        actions
    }

    /// Why the key cannot be claimed, whatever the shard holds. Past the horizon its claim may
    /// have been removed, so that a repeat would look new: it is refused by its own age instead.
    fn key_error(&self, record: &ClaimRecord, wall: ClockTime) -> Option<ResultCode> {
        if record.key_time + self.settings.retention <= wall {
            return Some(ResultCode::KeyTooOld);
        }
        if record.key_time > wall + self.settings.max_future_skew {
            return Some(ResultCode::BadIdempotencyKey);
        }
        None
    }

    fn answer_known(&mut self, request: &ClaimRequest) -> Option<ClaimAction> {
        let known = self.known.get(&request.record.key)?;
        let mine = known.nonce == request.record.nonce && known.owner == request.record.owner;
        let verdict = if mine { ClaimVerdict::Granted } else { ClaimVerdict::Held(known.clone()) };
        self.granted += u64::from(mine);
        Some(ClaimAction::Answer { ticket: request.ticket, verdict })
    }

    fn refuse_expired(&mut self, now: ClockTime) -> Vec<ClaimAction> {
        let (late, waiting): (VecDeque<_>, VecDeque<_>) =
            self.waiting.drain(..).partition(|request| request.deadline <= now);
        self.waiting = waiting;
        late.iter().map(|request| refuse(request, ResultCode::StoreDown)).collect()
    }

    fn gather_or_write(&mut self, now: ClockTime, wall: ClockTime, out: &mut Vec<ClaimAction>) {
        let full = self.waiting.len() >= self.settings.most_batch;
        // Claims gather for as long as the store's rate makes them wait anyway, and no longer: at
        // a quiet time a write goes out at once, near the limit it takes more claims along.
        let early = TimeSpan(self.settings.write_interval.0 * self.settings.burst);
        let paced = self.due_at - early;
        let until = *self.gather_until.get_or_insert((now + self.settings.linger).max(paced));
        if now < until && !(full && now >= paced) {
            return;
        }
        self.gather_until = None;
        self.due_at = self.due_at.max(now) + self.settings.write_interval;
        self.write_batch(wall, out);
    }

    fn write_batch(&mut self, wall: ClockTime, out: &mut Vec<ClaimAction>) {
        let mut claimed: HashMap<ClaimKey, ClaimRecord> = HashMap::new();
        while self.batch.len() < self.settings.most_batch {
            let Some(request) = self.waiting.pop_front() else {
                break;
            };
            if let Some(answer) = self.answer_known(&request) {
                out.push(answer);
                continue;
            }
            // The key may have aged while it waited.
            if let Some(code) = self.key_error(&request.record, wall) {
                out.push(refuse(&request, code));
                continue;
            }
            if let Some(first) = claimed.get(&request.record.key) {
                let verdict = ClaimVerdict::Held(first.clone());
                out.push(ClaimAction::Answer { ticket: request.ticket, verdict });
                continue;
            }
            claimed.insert(request.record.key, request.record.clone());
            self.batch.push(request);
        }
        if self.batch.is_empty() {
            return;
        }
        let mut head = self.head.clone();
        head.claims.extend(self.batch.iter().map(|request| request.record.clone()));
        self.writes += 1;
        self.state = KeeperState::WritingHead;
        out.push(ClaimAction::WriteHead { version: self.version, bytes: encode(&head) });
    }

    fn head_written(&mut self, version: u64, out: &mut Vec<ClaimAction>) {
        self.version = Some(version);
        self.state = KeeperState::Ready;
        for request in std::mem::take(&mut self.batch) {
            self.known.insert(request.record.key, request.record.clone());
            self.head.claims.push(request.record);
            self.granted += 1;
            let verdict = ClaimVerdict::Granted;
            out.push(ClaimAction::Answer { ticket: request.ticket, verdict });
        }
    }

    fn load_head(&mut self, found: Option<(u64, Vec<u8>)>, out: &mut Vec<ClaimAction>) {
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

    fn load_segment(
        &mut self,
        place: usize,
        found: Option<(u64, Vec<u8>)>,
        out: &mut Vec<ClaimAction>,
    ) {
        let Some((_, bytes)) = found else {
            // The book is past the horizon and was removed since its head was read.
            return self.reload(out);
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
        for request in std::mem::take(&mut self.batch).into_iter().rev() {
            match self.answer_known(&request) {
                Some(answer) => out.push(answer),
                None => self.waiting.push_front(request),
            }
        }
    }

    fn seal_if_full(&mut self, out: &mut Vec<ClaimAction>) {
        if self.head.claims.len() >= self.settings.seal_threshold {
            self.write_seal(out);
        }
    }

    /// Seals the head's claims. The segment counts only once a head names it, and that head is
    /// written against the version whose claims were sealed: a claim that another keeper added
    /// since makes it fail.
    fn write_seal(&mut self, out: &mut Vec<ClaimAction>) {
        let (sealed, bytes) = SegmentValue { claims: self.head.claims.clone() }.seal();
        self.state = KeeperState::WritingSegment(sealed);
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
    fn reload(&mut self, out: &mut Vec<ClaimAction>) {
        self.state = KeeperState::ReadingHead;
        self.loading = None;
        out.push(ClaimAction::ReadHead);
    }

    fn back_off(&mut self, now: ClockTime) {
        self.pause_until = now + self.settings.busy_backoff;
        self.requeue_batch();
        self.reset_state();
    }

    /// The store is down. Nobody waits for it: every ask is refused, truly, because no claim of
    /// these asks can be granted any more: the askers are told not to send.
    fn store_failed(&mut self, out: &mut Vec<ClaimAction>) {
        self.requeue_batch();
        self.reset_state();
        out.extend(self.waiting.drain(..).map(|request| refuse(&request, ResultCode::StoreDown)));
    }

    fn requeue_batch(&mut self) {
        for request in std::mem::take(&mut self.batch).into_iter().rev() {
            self.waiting.push_front(request);
        }
    }

    /// After a call that changed nothing: what was known stays known, a load starts over.
    fn reset_state(&mut self) {
        self.loading = None;
        self.state = match self.state {
            KeeperState::Cold | KeeperState::ReadingHead | KeeperState::ReadingSegment(_) => {
                KeeperState::Cold
            }
            _ => KeeperState::Ready,
        };
    }
}

fn refuse(request: &ClaimRequest, code: ResultCode) -> ClaimAction {
    ClaimAction::Answer { ticket: request.ticket, verdict: ClaimVerdict::Unavailable(code) }
}

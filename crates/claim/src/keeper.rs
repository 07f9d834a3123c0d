//! Grants the claims of one partition, as a state machine without I/O.

use crate::partition::{HeadValue, SegmentName, SegmentValue, decode, encode};
use crate::record::{ClaimKey, ClaimRecord};
use oleander_kind::{ClockTime, ResultCode, TimeSpan};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// Limits and times of batching and keeping claims.
#[derive(Clone, Copy, Debug)]
pub struct ClaimSettings {
    /// How long the first claim of a batch waits for others.
    pub linger: TimeSpan,
    /// Time between two writes that this partition's share of the store's rate limit allows.
    pub write_interval: TimeSpan,
    /// Number of writes that may be made ahead of the rate after an idle time.
    pub burst: u64,
    /// Most claims in one write.
    pub most_batch: usize,
    /// Most claim requests that wait; further ones are refused.
    pub most_waiting: usize,
    /// Number of claims in the head at which they are sealed in a segment.
    pub seal_threshold: usize,
    /// How long claims are kept, counted from the time that the key carries.
    pub retention: TimeSpan,
    /// How far in the future the time that a key carries may be.
    pub max_future_skew: TimeSpan,
    /// Backoff after the store refused a call because of its rate limit.
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

/// A request to claim a key.
#[derive(Clone, Debug)]
pub struct ClaimRequest {
    /// Identifies the claim request in its answer.
    pub ticket: u64,
    /// The claim to make.
    pub record: ClaimRecord,
    /// Monotonic time after which the requester no longer waits.
    pub deadline: ClockTime,
}

/// The answer to a claim request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimVerdict {
    /// The requester may send its request, and no other process may ever send it.
    Granted,
    /// The key is claimed by this record. If its digest differs, the key was used for another request.
    Held(ClaimRecord),
    /// The key was not claimed; the requester must not send its request.
    Unavailable(ResultCode),
}

/// An action that the caller of the keeper must carry out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimAction {
    /// Read the head of the partition.
    ReadHead,
    /// Read a sealed segment.
    ReadSegment(SegmentName),
    /// Write the head if its version is still `version`.
    WriteHead {
        /// The version that was read; none if there is no head.
        version: Option<u64>,
        /// The encoded head.
        bytes: Vec<u8>,
    },
    /// Create a segment. An existing one has the same bytes, because its name is their digest.
    WriteSegment {
        /// Name of the segment.
        segment: SegmentName,
        /// The encoded segment.
        bytes: Vec<u8>,
    },
    /// Answer a claim request.
    Answer {
        /// Ticket of the claim request.
        ticket: u64,
        /// The answer.
        verdict: ClaimVerdict,
    },
}

/// Reply of the store to the latest read or write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply {
    /// The object that was read, with its version; none if it does not exist.
    Read(Option<(u64, Vec<u8>)>),
    /// The write succeeded; the new version.
    Written(u64),
    /// The write was refused because the version has changed.
    Changed,
    /// The call was refused because of the store's rate limit.
    Busy,
    /// The call failed and had no effect.
    NotDone,
    /// The call failed, but the write may have taken effect.
    Unknown,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum KeeperState {
    /// The partition has not been read.
    Cold,
    ReadingHead,
    /// Reading the segment at this index of the head.
    ReadingSegment(usize),
    Ready,
    WritingHead,
    WritingSegment(SegmentName),
    /// Writing a head that lists the new segment and holds no claims.
    SwitchingHead,
}

/// Grants the claims of one partition.
///
/// **At most once.** A claim is granted only after a head that contains it was written against the version
/// that was read, or after it was read back with the requester's own nonce. The head lists all sealed
/// segments, so that the version check covers them too. A keeper that was suspended while another one took
/// over has an old version: its write fails, and it reads the other keeper's claims.
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
    /// Until when the next batch waits for more claims; none if no batch is being gathered.
    gather_until: Option<ClockTime>,
    /// When the next write is due at the partition's rate, without a burst.
    due_at: ClockTime,
    /// When the backoff ends that follows a call refused because of the store's rate limit.
    pause_until: ClockTime,
    writes: u64,
    granted: u64,
}

impl PartitionKeeper {
    /// Creates a keeper that has not read its partition.
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

    /// Number of claims known.
    pub fn known(&self) -> usize {
        self.known.len()
    }

    /// Number of claim requests that wait for an answer.
    pub fn pending_requests(&self) -> usize {
        self.waiting.len() + self.batch.len()
    }

    /// Numbers of head writes started and claims granted.
    pub fn counts(&self) -> (u64, u64) {
        (self.writes, self.granted)
    }

    /// When `tick` must be called next; none if no claim request waits or a reply of the store is pending.
    pub fn next_tick(&self) -> Option<ClockTime> {
        let calling = !matches!(self.state, KeeperState::Ready | KeeperState::Cold);
        if calling || self.waiting.is_empty() {
            return None;
        }
        Some(self.gather_until.unwrap_or(self.pause_until).max(self.pause_until))
    }

    /// Handles a claim request. The age of its key is checked against the wall-clock time `wall`.
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

    /// Handles the passage of time: refuses expired claim requests and starts reads and writes that are due.
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

    /// Handles the reply of the store to the latest read or write.
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
                // The write is idempotent, so it is repeated.
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

    /// Why the key cannot be claimed, independent of the partition's claims. After the retention its claim may
    /// have been removed and a repeated request would look new, so the key is refused by its age.
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
        // Claims are batched only for as long as the store's rate limit makes them wait anyway: an idle
        // partition writes at once, and near the limit each write has more claims.
        let burst_time = TimeSpan(self.settings.write_interval.0 * self.settings.burst);
        let allowed_at = self.due_at - burst_time;
        let until = *self.gather_until.get_or_insert((now + self.settings.linger).max(allowed_at));
        if now < until && !(full && now >= allowed_at) {
            return;
        }
        self.gather_until = None;
        self.due_at = self.due_at.max(now) + self.settings.write_interval;
        self.write_batch(wall, out);
    }

    /// Writes up to a batch of the waiting claims, and answers those that need no write.
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
            // The key may have become too old while its request waited.
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
            // The partition was removed after its retention, since its head was read.
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

    /// Completes a load once all its segments are read.
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
        // Claim requests whose write may have taken effect find their own nonce here, or wait again.
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

    /// Seals the head's claims in a segment. The segment takes effect only when a head lists it. That head is
    /// written against the version whose claims were sealed, so the write fails if another keeper has added a
    /// claim meanwhile.
    fn write_seal(&mut self, out: &mut Vec<ClaimAction>) {
        let (sealed, bytes) = SegmentValue { claims: self.head.claims.clone() }.seal();
        self.state = KeeperState::WritingSegment(sealed);
        out.push(ClaimAction::WriteSegment { segment: sealed, bytes });
    }

    /// Writes a head that lists the sealed segment and holds no claims.
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

    /// Reads the partition again before anything is granted, because the head may have changed.
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

    /// Refuses all claim requests, because the store is down. Their requesters must not send. Refusing
    /// them is safe because these claims cannot be granted any more.
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

    /// Resets the state after a call without effect: known claims stay known, and an unfinished load starts over.
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

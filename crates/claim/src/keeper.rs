//! Keeps one shard of claims, as a pure state machine.

use crate::book::{HeadValue, SegmentValue, decode, encode};
use crate::record::{ClaimKey, ClaimRecord};
use oleander_kind::{ClockTime, ResultCode, TimeSpan};
use std::collections::{HashMap, VecDeque};

/// How claims are gathered and kept.
#[derive(Clone, Copy, Debug)]
pub struct ClaimSettings {
    /// How long the first claim of a write waits for others.
    pub linger: TimeSpan,
    /// The most claims in one write.
    pub most_batch: usize,
    /// The most claims waiting; more are refused.
    pub most_waiting: usize,
    /// The head is sealed when it holds this many claims.
    pub seal_at: usize,
    /// How long keys are remembered, by the time the key itself carries.
    pub horizon: TimeSpan,
    /// How far wall clocks may differ.
    pub clock_margin: TimeSpan,
    /// How far a key's time may lie in the future.
    pub most_ahead: TimeSpan,
    /// Between a refusal for rate and the next try.
    pub busy_pause: TimeSpan,
}

impl Default for ClaimSettings {
    fn default() -> Self {
        ClaimSettings {
            linger: TimeSpan(2),
            most_batch: 512,
            most_waiting: 8192,
            seal_at: 1500,
            horizon: TimeSpan::secs(24 * 3600),
            clock_margin: TimeSpan::secs(300),
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
    /// Read the shard's head.
    ReadHead,
    /// Read a sealed segment.
    ReadSegment(u32),
    /// Write the head if its version is still `version`.
    WriteHead {
        /// The version read; none if there is no head.
        version: Option<u64>,
        /// Its bytes.
        bytes: Vec<u8>,
    },
    /// Write a segment that is not yet named by the head, under its version.
    WriteSegment {
        /// The segment.
        segment: u32,
        /// The version read; none if there is no such object.
        version: Option<u64>,
        /// Its bytes.
        bytes: Vec<u8>,
    },
    /// Remove a segment that the head no longer counts. Failing does no harm.
    RemoveSegment(u32),
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
    /// Nothing is known of the shard.
    Cold,
    ReadingHead,
    ReadingSegment(u32),
    Ready,
    WritingHead,
    ReadingSeal(u32),
    WritingSeal(u32),
    /// Writing a head that counts one more segment and starts empty.
    SwitchingHead,
    /// Writing a head that counts from a later first segment.
    Trimming,
}

#[derive(Clone, Copy, Debug)]
struct SegmentSpan {
    number: u32,
    newest_key: ClockTime,
}

/// One shard's keeper.
///
/// **At most once.** A claim is granted only after a head that contains it was written against the
/// version that was read, or after reading it back under the asker's own nonce. The head names all
/// sealed segments, so the version check covers them too. A keeper that was paused while another
/// took over has an old version: its write fails, it reads again and finds the other's claims.
#[derive(Debug)]
pub struct ShardKeeper {
    settings: ClaimSettings,
    state: KeeperState,
    version: Option<u64>,
    head: HeadValue,
    known: HashMap<ClaimKey, ClaimRecord>,
    segments: Vec<SegmentSpan>,
    loading: Option<HeadValue>,
    waiting: VecDeque<ClaimAsk>,
    batch: Vec<ClaimAsk>,
    gather_until: Option<ClockTime>,
    pause_until: ClockTime,
    writes: u64,
    granted: u64,
}

impl ShardKeeper {
    /// A keeper that knows nothing yet.
    pub fn new(settings: ClaimSettings) -> Self {
        ShardKeeper {
            settings,
            state: KeeperState::Cold,
            version: None,
            head: HeadValue::default(),
            known: HashMap::new(),
            segments: Vec::new(),
            loading: None,
            waiting: VecDeque::new(),
            batch: Vec::new(),
            gather_until: None,
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

    /// When `tick` is wanted next; none if there is nothing to wait for.
    pub fn next_tick(&self) -> Option<ClockTime> {
        if self.waiting.is_empty() && self.batch.is_empty() {
            return None;
        }
        Some(
            self.gather_until
                .unwrap_or(self.pause_until)
                .max(self.pause_until),
        )
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
            (KeeperState::ReadingSegment(number), ClaimSaid::Read(found)) => {
                self.take_segment(number, found, &mut actions);
            }
            (KeeperState::WritingHead, ClaimSaid::Written(version)) => {
                self.head_written(version, &mut actions);
                self.seal_or_trim(wall, &mut actions);
            }
            (KeeperState::ReadingSeal(number), ClaimSaid::Read(found)) => {
                self.write_seal(number, found.map(|(version, _)| version), &mut actions);
            }
            (KeeperState::WritingSeal(number), ClaimSaid::Written(_)) => {
                self.switch_head(number, &mut actions);
            }
            (KeeperState::WritingSeal(number), ClaimSaid::Changed | ClaimSaid::Unknown) => {
                self.state = KeeperState::ReadingSeal(number);
                actions.push(ClaimAction::ReadSegment(number));
            }
            (KeeperState::SwitchingHead, ClaimSaid::Written(version)) => {
                self.head_switched(version);
            }
            (KeeperState::Trimming, ClaimSaid::Written(version)) => {
                self.head_trimmed(version, &mut actions);
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
        let verdict = if mine {
            ClaimVerdict::Granted
        } else {
            ClaimVerdict::Held(known.clone())
        };
        self.granted += u64::from(mine);
        Some(ClaimAction::Answer {
            ticket: ask.ticket,
            verdict,
        })
    }

    fn drop_late(&mut self, now: ClockTime) -> Vec<ClaimAction> {
        let (late, waiting): (VecDeque<_>, VecDeque<_>) =
            self.waiting.drain(..).partition(|ask| ask.deadline <= now);
        self.waiting = waiting;
        late.iter()
            .map(|ask| refuse(ask, ResultCode::StoreDown))
            .collect()
    }

    fn gather_or_write(&mut self, now: ClockTime, wall: ClockTime, out: &mut Vec<ClaimAction>) {
        let full = self.waiting.len() >= self.settings.most_batch;
        let until = *self.gather_until.get_or_insert(now + self.settings.linger);
        if now < until && !full {
            return;
        }
        self.gather_until = None;
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
                out.push(ClaimAction::Answer {
                    ticket: ask.ticket,
                    verdict,
                });
                continue;
            }
            claimed.insert(ask.record.key, ask.record.clone());
            self.batch.push(ask);
        }
        if self.batch.is_empty() {
            return;
        }
        let mut head = self.head.clone();
        head.claims
            .extend(self.batch.iter().map(|ask| ask.record.clone()));
        self.writes += 1;
        self.state = KeeperState::WritingHead;
        out.push(ClaimAction::WriteHead {
            version: self.version,
            bytes: encode(&head),
        });
    }

    fn head_written(&mut self, version: u64, out: &mut Vec<ClaimAction>) {
        self.version = Some(version);
        self.state = KeeperState::Ready;
        for ask in std::mem::take(&mut self.batch) {
            self.known.insert(ask.record.key, ask.record.clone());
            self.head.claims.push(ask.record);
            self.granted += 1;
            let verdict = ClaimVerdict::Granted;
            out.push(ClaimAction::Answer {
                ticket: ask.ticket,
                verdict,
            });
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
        // A removed segment is never named again, and a kept one never changes: only segments not
        // read before are read now. Their claims go in with the head's when all are there.
        self.segments.clear();
        self.state = KeeperState::ReadingSegment(head.first);
        if head.first < head.sealed {
            out.push(ClaimAction::ReadSegment(head.first));
        }
        self.loading = Some(head);
    }

    fn take_segment(
        &mut self,
        number: u32,
        found: Option<(u64, Vec<u8>)>,
        out: &mut Vec<ClaimAction>,
    ) {
        let Some((_, bytes)) = found else {
            // Another keeper trimmed it since the head was read.
            return self.start_over(out);
        };
        let Some(segment) = decode::<SegmentValue>(&bytes) else {
            return self.store_failed(out);
        };
        self.note_segment(number, &segment.claims);
        self.known.extend(
            segment
                .claims
                .into_iter()
                .map(|record| (record.key, record)),
        );
        self.state = KeeperState::ReadingSegment(number + 1);
        if self
            .loading
            .as_ref()
            .is_some_and(|head| number + 1 < head.sealed)
        {
            out.push(ClaimAction::ReadSegment(number + 1));
        }
    }

    fn note_segment(&mut self, number: u32, claims: &[ClaimRecord]) {
        let newest_key = claims
            .iter()
            .map(|record| record.key_time)
            .max()
            .unwrap_or_default();
        self.segments.push(SegmentSpan { number, newest_key });
    }

    fn finish_load(&mut self, out: &mut Vec<ClaimAction>) {
        let KeeperState::ReadingSegment(next) = self.state else {
            return;
        };
        let done = self
            .loading
            .as_ref()
            .is_some_and(|head| next >= head.sealed);
        if !done {
            return;
        }
        let Some(head) = self.loading.take() else {
            return;
        };
        self.known.extend(
            head.claims
                .iter()
                .map(|record| (record.key, record.clone())),
        );
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

    fn seal_or_trim(&mut self, wall: ClockTime, out: &mut Vec<ClaimAction>) {
        if self.head.claims.len() >= self.settings.seal_at {
            let number = self.head.sealed;
            return self.write_seal(number, None, out);
        }
        let keep = TimeSpan(self.settings.horizon.0 + self.settings.clock_margin.0);
        let old = |span: &SegmentSpan| span.newest_key + keep <= wall;
        if self.segments.first().is_some_and(old) {
            let mut head = self.head.clone();
            head.first += 1;
            self.state = KeeperState::Trimming;
            out.push(ClaimAction::WriteHead {
                version: self.version,
                bytes: encode(&head),
            });
        }
    }

    fn write_seal(&mut self, segment: u32, version: Option<u64>, out: &mut Vec<ClaimAction>) {
        let value = SegmentValue {
            claims: self.head.claims.clone(),
        };
        self.state = KeeperState::WritingSeal(segment);
        out.push(ClaimAction::WriteSegment {
            segment,
            version,
            bytes: encode(&value),
        });
    }

    fn switch_head(&mut self, number: u32, out: &mut Vec<ClaimAction>) {
        let head = HeadValue {
            first: self.head.first,
            sealed: number + 1,
            claims: Vec::new(),
        };
        self.state = KeeperState::SwitchingHead;
        out.push(ClaimAction::WriteHead {
            version: self.version,
            bytes: encode(&head),
        });
    }

    fn head_switched(&mut self, version: u64) {
        let number = self.head.sealed;
        let claims = std::mem::take(&mut self.head.claims);
        self.note_segment(number, &claims);
        self.head.sealed = number + 1;
        self.version = Some(version);
        self.state = KeeperState::Ready;
    }

    fn head_trimmed(&mut self, version: u64, out: &mut Vec<ClaimAction>) {
        let number = self.segments.remove(0).number;
        self.head.first = number + 1;
        self.version = Some(version);
        self.state = KeeperState::Ready;
        out.push(ClaimAction::RemoveSegment(number));
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
        out.extend(
            self.waiting
                .drain(..)
                .map(|ask| refuse(&ask, ResultCode::StoreDown)),
        );
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
    ClaimAction::Answer {
        ticket: ask.ticket,
        verdict: ClaimVerdict::Unavailable(code),
    }
}

//! What one process knows of requests under which endpoints ended.

use crate::attribution::find_culprits;
use crate::fingerprint::RequestFingerprint;
use crate::record::{
    CRASH_RETENTION, EXONERATION_WINDOW, EndpointCrash, EndpointIncarnation, SuspectRecord,
    SuspectUpdate,
};
use oleander_kind::hash::{HASH_START, stable_hash};
use oleander_kind::{ClockTime, TimeSpan};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Requests that are remembered; those with the fewest ends are forgotten first, some 300 KB in all. The
/// loss of all endpoints of a large service leaves some 750.
const MAX_RECORDS: usize = 2048;
/// What all processes saw until then is known everywhere after this time: two reports and two digests.
const VERDICT_SETTLE_TIME: TimeSpan = TimeSpan(1000);
/// Requests told to all, those with the most ends: some 4 KB if all of them are named.
const MAX_SHARED: usize = 64;
/// Requests told to the collector at once; the rest follows with the next report.
const MAX_PER_REPORT: usize = 64;
/// Ends from which on all processes are told: a request that broke with one endpoint is most likely innocent.
const MIN_SHARED_CRASHES: usize = 2;
/// Answered requests that are remembered, twice: what a process answers in half a minute under heavy load.
const MAX_ANSWERED: usize = 4096;

/// What changed for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SuspectChange {
    /// It is held back from now on.
    Quarantined(RequestFingerprint),
    /// It is held back no more: it was answered, or others explain its ends.
    Released(RequestFingerprint),
    /// It was forgotten to bound the memory.
    Evicted(RequestFingerprint),
}

/// Requests that were answered a while ago. Two generations, so that forgetting takes no search.
#[derive(Debug, Default)]
struct AnswerCache {
    recent: HashMap<RequestFingerprint, ClockTime>,
    old: HashMap<RequestFingerprint, ClockTime>,
    rotated_at: ClockTime,
}

impl AnswerCache {
    fn note(&mut self, fingerprint: RequestFingerprint, now: ClockTime) {
        if now - self.rotated_at > EXONERATION_WINDOW || self.recent.len() >= MAX_ANSWERED {
            self.old = std::mem::take(&mut self.recent);
            self.rotated_at = now;
        }
        self.recent.insert(fingerprint, now);
    }

    fn at(&self, fingerprint: &RequestFingerprint) -> Option<ClockTime> {
        self.recent.get(fingerprint).or_else(|| self.old.get(fingerprint)).copied()
    }
}

/// What this process saw and was told of requests under which endpoints ended.
///
/// Notes are joined: whatever order they come in, and however often, processes that heard the same know the
/// same. So no process owns them, and a change of the collector loses nothing that two processes know.
#[derive(Debug, Default)]
pub struct SuspectTracker {
    records: BTreeMap<RequestFingerprint, SuspectRecord>,
    answers: AnswerCache,
    /// Since when requests are held back.
    held: BTreeMap<RequestFingerprint, ClockTime>,
    /// Changed here since the collector was told.
    unreported: BTreeSet<RequestFingerprint>,
    /// In a report that is not answered yet.
    in_flight: BTreeSet<RequestFingerprint>,
    shared: Vec<RequestFingerprint>,
    shared_hash: u64,
}

impl SuspectTracker {
    /// Notes that an endpoint ended under a request.
    pub fn record_crash(&mut self, fingerprint: RequestFingerprint, end: EndpointCrash) {
        let answered_at = self.answers.at(&fingerprint);
        let record = self.records.entry(fingerprint).or_default();
        if let Some(at) = answered_at {
            record.note_answer(at);
        }
        if record.record_crash(end) {
            self.unreported.insert(fingerprint);
        }
    }

    /// Notes that a request was answered: an endpoint bore it.
    pub fn note_answer(&mut self, fingerprint: RequestFingerprint, now: ClockTime) {
        self.answers.note(fingerprint, now);
        if let Some(record) = self.records.get_mut(&fingerprint)
            && record.note_answer(now)
        {
            self.unreported.insert(fingerprint);
        }
    }

    /// Takes what another process tells. What is news here is passed on to the collector.
    pub fn merge(&mut self, notes: &[SuspectUpdate], now: ClockTime) {
        for note in notes {
            self.merge_update(note, now);
        }
    }

    fn merge_update(&mut self, note: &SuspectUpdate, now: ClockTime) {
        let fingerprint = note.print;
        let own_answer = self.answers.at(&fingerprint);
        let record = self.records.entry(fingerprint).or_default();
        if let Some(age) = note.answered {
            record.note_answer(now - age);
        }
        // It was answered here, which nobody who tells of its ends can know.
        if let Some(at) = own_answer
            && record.note_answer(at)
        {
            self.unreported.insert(fingerprint);
        }
        for end in note.ends.iter().filter(|end| end.age < CRASH_RETENTION) {
            let (life, at) = (end.life.clone(), now - end.age);
            record.record_crash(EndpointCrash { life, at, ran: end.ran });
        }
    }

    /// Forgets what is too old or too much, judges anew, and gives what changed.
    pub fn settle(&mut self, now: ClockTime) -> Vec<SuspectChange> {
        self.records.retain(|_, record| record.expire(now));
        let mut changes = self.evict_least();
        let culprits = find_culprits(&self.records, now);
        let released = |fingerprint: &&RequestFingerprint| !culprits.contains(fingerprint);
        changes.extend(self.held.keys().filter(released).copied().map(SuspectChange::Released));
        self.held.retain(|fingerprint, _| culprits.contains(fingerprint));
        for fingerprint in culprits {
            self.held.entry(fingerprint).or_insert_with(|| {
                changes.push(SuspectChange::Quarantined(fingerprint));
                now
            });
        }
        self.share();
        changes
    }

    fn evict_least(&mut self) -> Vec<SuspectChange> {
        let excess = self.records.len().saturating_sub(MAX_RECORDS);
        let mut order: Vec<_> = self.records.iter().map(eviction_key).collect();
        order.sort_unstable();
        let least: Vec<_> =
            order.into_iter().take(excess).map(|(_, _, fingerprint)| fingerprint).collect();
        let forget = |fingerprint: RequestFingerprint| {
            self.records.remove(&fingerprint);
            SuspectChange::Evicted(fingerprint)
        };
        least.into_iter().map(forget).collect()
    }

    fn share(&mut self) {
        let is_shared = |record: &SuspectRecord| {
            record.ends().len() >= MIN_SHARED_CRASHES || record.answered_at().is_some()
        };
        let shared = self.records.iter().filter(|(_, record)| is_shared(record));
        let mut order: Vec<_> = shared.map(eviction_key).collect();
        order.sort_unstable_by(|one, other| other.cmp(one));
        self.shared =
            order.into_iter().take(MAX_SHARED).map(|(_, _, fingerprint)| fingerprint).collect();
        self.shared.sort_unstable();
        let mark = |state, fingerprint: &RequestFingerprint| {
            hash_record(state, *fingerprint, &self.records[fingerprint])
        };
        self.shared_hash = self.shared.iter().fold(HASH_START, mark);
    }

    /// For how much longer a request is held back; none if it is not.
    ///
    /// A verdict may fall as soon as other processes tell what they saw. While it is new, its caller is asked to
    /// come back when it has settled, not when the ends are forgotten.
    pub fn held_for(&self, fingerprint: &RequestFingerprint, now: ClockTime) -> Option<TimeSpan> {
        let settled_at = *self.held.get(fingerprint)? + VERDICT_SETTLE_TIME;
        let forgotten_at = self.records.get(fingerprint)?.ends().last()?.at + CRASH_RETENTION;
        Some(if now < settled_at { settled_at - now } else { forgotten_at - now })
    }

    /// Requests that are held back.
    pub fn held(&self) -> impl Iterator<Item = (RequestFingerprint, &SuspectRecord)> {
        self.held
            .keys()
            .filter_map(|fingerprint| Some((*fingerprint, self.records.get(fingerprint)?)))
    }

    /// What is known of a request.
    pub fn record(&self, fingerprint: &RequestFingerprint) -> Option<&SuspectRecord> {
        self.records.get(fingerprint)
    }

    /// How many requests are known.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether none is known.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// What the next report tells the collector.
    pub fn next_told(&mut self, now: ClockTime) -> Vec<SuspectUpdate> {
        self.in_flight = self.unreported.iter().copied().take(MAX_PER_REPORT).collect();
        self.notes(self.in_flight.iter(), now)
    }

    /// Notes that the report was answered.
    pub fn note_taken(&mut self) {
        for fingerprint in std::mem::take(&mut self.in_flight) {
            self.unreported.remove(&fingerprint);
        }
    }

    /// Notes that another process collects, which has not heard what its predecessor was told.
    pub fn resend_all(&mut self) {
        self.unreported = self.records.keys().copied().collect();
        self.in_flight.clear();
    }

    /// What all processes are to know.
    pub fn shared(&self, now: ClockTime) -> Vec<SuspectUpdate> {
        self.notes(self.shared.iter(), now)
    }

    /// Tells whether two processes know the same of what all are to know.
    pub fn shared_hash(&self) -> u64 {
        self.shared_hash
    }

    fn notes<'a>(
        &self,
        prints: impl Iterator<Item = &'a RequestFingerprint>,
        now: ClockTime,
    ) -> Vec<SuspectUpdate> {
        let note = |fingerprint: &RequestFingerprint| {
            Some(SuspectUpdate::of(*fingerprint, self.records.get(fingerprint)?, now))
        };
        prints.filter_map(note).collect()
    }
}

/// Requests with more ends, and later ones, come later in this order.
fn eviction_key(
    (fingerprint, record): (&RequestFingerprint, &SuspectRecord),
) -> (usize, ClockTime, RequestFingerprint) {
    (record.ends().len(), record.seen_at(), *fingerprint)
}

fn hash_record(state: u64, fingerprint: RequestFingerprint, record: &SuspectRecord) -> u64 {
    let mut lives: Vec<&EndpointIncarnation> = record.ends().iter().map(|end| &end.life).collect();
    lives.sort_unstable();
    let state = stable_hash(state, &fingerprint.spread().to_le_bytes());
    let state = stable_hash(state, &[u8::from(record.answered_at().is_some())]);
    lives.into_iter().fold(state, |state, life| {
        stable_hash(stable_hash(state, life.instance.as_str().as_bytes()), &life.life.to_le_bytes())
    })
}

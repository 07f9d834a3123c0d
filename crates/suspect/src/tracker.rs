//! The state that one process keeps about suspects: requests during which endpoints crashed, and the parts of their
//! prompts.

use crate::attribution::find_culprits;
use crate::fingerprint::SuspectFingerprint;
use crate::monitor::BrokenAttempt;
use crate::record::{
    CRASH_RETENTION, EXONERATION_WINDOW, EndpointCrash, EndpointIncarnation, PART_ANSWER_RETENTION,
    SuspectRecord, SuspectUpdate,
};
use oleander_kind::hash::{HASH_SEED, stable_hash};
use oleander_kind::{ClockTime, TimeSpan};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Maximum number of records, about 300 KB in all; those with the fewest crashes are evicted first.
/// The loss of all endpoints of a large service leaves about 750 of requests.
const MAX_RECORDS: usize = 2048;
/// Time after which every process knows what all processes had seen: two reports and two digests.
const VERDICT_SETTLE_TIME: TimeSpan = TimeSpan(1000);
/// Maximum number of suspects shared with all processes or stored, those with the most crashes:
/// about 4 KB if all of them are listed.
const MAX_SHARED: usize = 64;
/// Maximum number of suspects in one report to the collector, those with the most crashes; the rest follows in the
/// next report.
const MAX_PER_REPORT: usize = 64;
/// Crashes from which on a request is shared with all processes: a request whose connection broke
/// with a single endpoint is most likely innocent.
const MIN_SHARED_CRASHES: usize = 2;
/// Maximum number of answered requests, and of parts of prompts that were answered, in each generation of the caches:
/// what a process answers in half a minute under heavy load. Parts that many prompts share are renewed all the time.
const MAX_ANSWERED: usize = 4096;

/// A change of what is known about a suspect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SuspectChange {
    /// It is quarantined from now on.
    Quarantined(SuspectFingerprint),
    /// It is no longer quarantined: it was answered, or other suspects explain its
    /// crashes.
    Released(SuspectFingerprint),
    /// The record was evicted to bound the memory.
    Evicted(SuspectFingerprint),
}

/// What was answered recently. Two generations, so that expiry needs no scan.
#[derive(Debug)]
struct AnswerCache {
    recent: HashMap<SuspectFingerprint, ClockTime>,
    older: HashMap<SuspectFingerprint, ClockTime>,
    rotated_at: ClockTime,
    retention: TimeSpan,
}

impl AnswerCache {
    fn new(retention: TimeSpan) -> Self {
        let (recent, older) = Default::default();
        AnswerCache { recent, older, rotated_at: ClockTime(0), retention }
    }

    fn insert(&mut self, fingerprint: SuspectFingerprint, at: ClockTime) {
        if at - self.rotated_at > self.retention || self.recent.len() >= MAX_ANSWERED {
            self.older = std::mem::take(&mut self.recent);
            self.rotated_at = at;
        }
        let known = self.recent.entry(fingerprint).or_insert(at);
        *known = at.max(*known);
    }

    fn at(&self, fingerprint: &SuspectFingerprint) -> Option<ClockTime> {
        self.recent.get(fingerprint).max(self.older.get(fingerprint)).copied()
    }
}

/// What this process has seen and received about suspects.
///
/// Merging updates is commutative and idempotent: processes that received the same updates hold the
/// same state, in whatever order and however often they came. No process owns the state, and a
/// change of the collector loses nothing that two processes know.
#[derive(Debug)]
pub struct SuspectTracker {
    records: BTreeMap<SuspectFingerprint, SuspectRecord>,
    answers: AnswerCache,
    /// When the last answers began to prompts with a part.
    part_answers: AnswerCache,
    /// When the last of them began in a service.
    service_answers: BTreeMap<u16, ClockTime>,
    /// Quarantined suspects and when the quarantine began.
    quarantined: BTreeMap<SuspectFingerprint, ClockTime>,
    /// Changed locally since the last report to the collector.
    unreported: BTreeSet<SuspectFingerprint>,
    /// Sent in a report that is not acknowledged yet.
    in_flight: BTreeSet<SuspectFingerprint>,
    shared: Vec<SuspectFingerprint>,
    shared_hash: u64,
}

impl Default for SuspectTracker {
    fn default() -> Self {
        SuspectTracker {
            records: BTreeMap::new(),
            answers: AnswerCache::new(EXONERATION_WINDOW),
            part_answers: AnswerCache::new(PART_ANSWER_RETENTION),
            service_answers: BTreeMap::new(),
            quarantined: BTreeMap::new(),
            unreported: BTreeSet::new(),
            in_flight: BTreeSet::new(),
            shared: Vec::new(),
            shared_hash: 0,
        }
    }
}

impl SuspectTracker {
    /// Records that an endpoint crashed while it ran the request of an attempt: it may be due to the request, or to
    /// each of the parts of its prompt.
    pub fn record_broken(&mut self, broken: BrokenAttempt) {
        let BrokenAttempt { suspects, end } = broken;
        let under = suspects.request.low_bits();
        for part in suspects.parts.iter() {
            self.record_crash(*part, EndpointCrash { under, ..end.clone() });
        }
        self.record_crash(suspects.request, end);
    }

    /// Records that an endpoint crashed while it ran a suspect.
    pub fn record_crash(&mut self, fingerprint: SuspectFingerprint, crash: EndpointCrash) {
        let answered_at = self.answered_here(&fingerprint);
        let record =
            self.records.entry(fingerprint).or_insert_with(|| SuspectRecord::of(fingerprint));
        if let Some(at) = answered_at {
            record.note_answer(at);
        }
        if record.record_crash(crash) {
            self.mark_unreported(fingerprint);
        } else if record.is_part() && record.ends().is_empty() {
            // Many prompts share it, and it is answered all the time.
            self.records.remove(&fingerprint);
        }
    }

    /// Records that a request was answered: an endpoint survived it.
    pub fn note_answer(&mut self, fingerprint: SuspectFingerprint, now: ClockTime) {
        self.answers.insert(fingerprint, now);
        self.clear(fingerprint, now);
    }

    /// Records that an endpoint began to answer a prompt with these parts, and survived that.
    pub fn note_sound_parts(&mut self, parts: &[SuspectFingerprint], began_at: ClockTime) {
        for part in parts {
            self.part_answers.insert(*part, began_at);
            self.note_service_answer(*part, began_at);
            self.clear(*part, began_at);
        }
    }

    fn note_service_answer(&mut self, part: SuspectFingerprint, at: ClockTime) {
        let known = self.service_answers.entry(part.service_bits()).or_insert(at);
        *known = at.max(*known);
    }

    fn clear(&mut self, fingerprint: SuspectFingerprint, at: ClockTime) {
        if let Some(record) = self.records.get_mut(&fingerprint)
            && record.note_answer(at)
        {
            self.mark_unreported(fingerprint);
        }
    }

    /// When this process last saw an endpoint answer a suspect.
    fn answered_here(&self, fingerprint: &SuspectFingerprint) -> Option<ClockTime> {
        let answers = if fingerprint.is_part() { &self.part_answers } else { &self.answers };
        answers.at(fingerprint)
    }

    /// Marks a record for the next report. A report that is under way does not have what was noted
    /// since, so its acknowledgement must not strike the record off.
    fn mark_unreported(&mut self, fingerprint: SuspectFingerprint) {
        self.in_flight.remove(&fingerprint);
        self.unreported.insert(fingerprint);
    }

    /// Merges updates of another process. Anything new that this causes here is reported to the
    /// collector.
    pub fn merge(&mut self, updates: &[SuspectUpdate], now: ClockTime) {
        for update in updates {
            self.merge_update(update, now);
        }
    }

    fn merge_update(&mut self, update: &SuspectUpdate, now: ClockTime) {
        let fingerprint = update.print;
        let own_answer = self.answered_here(&fingerprint);
        if let Some(age) = update.answered.filter(|_| fingerprint.is_part()) {
            self.note_service_answer(fingerprint, now - age);
        }
        let record =
            self.records.entry(fingerprint).or_insert_with(|| SuspectRecord::of(fingerprint));
        if let Some(age) = update.answered {
            record.note_answer(now - age);
        }
        // The request was answered here, which the process that reports its crashes cannot know.
        let is_news = own_answer.is_some_and(|at| record.note_answer(at));
        for crash in update.ends.iter().filter(|crash| crash.age < CRASH_RETENTION) {
            let (life, at) = (crash.life.clone(), now - crash.age);
            record.record_crash(EndpointCrash { life, at, ran: crash.ran, under: crash.under });
        }
        if is_news {
            self.mark_unreported(fingerprint);
        }
    }

    /// Expires old records, evicts excess ones, evaluates the rest anew, and returns what changed.
    pub fn settle(&mut self, now: ClockTime) -> Vec<SuspectChange> {
        self.records.retain(|_, record| record.expire(now));
        let mut changes = self.evict_least();
        self.service_answers.retain(|_, at| now - *at <= PART_ANSWER_RETENTION);
        let is_answered =
            |part: &SuspectFingerprint| self.service_answers.contains_key(&part.service_bits());
        let may_be_blamed = |suspect: &SuspectFingerprint| {
            !suspect.is_part() || is_answered(suspect) || self.quarantined.contains_key(suspect)
        };
        let culprits = find_culprits(&self.records, may_be_blamed, now);
        let released = |fingerprint: &&SuspectFingerprint| !culprits.contains(fingerprint);
        changes
            .extend(self.quarantined.keys().filter(released).copied().map(SuspectChange::Released));
        self.quarantined.retain(|fingerprint, _| culprits.contains(fingerprint));
        for fingerprint in culprits {
            self.quarantined.entry(fingerprint).or_insert_with(|| {
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
        let evict = |fingerprint: SuspectFingerprint| {
            self.records.remove(&fingerprint);
            SuspectChange::Evicted(fingerprint)
        };
        least.into_iter().map(evict).collect()
    }

    fn share(&mut self) {
        let is_shared = |record: &SuspectRecord| {
            record.ends().len() >= MIN_SHARED_CRASHES || record.answered_at().is_some()
        };
        self.shared = self.most_suspect(is_shared);
        let hash = |state, fingerprint: &SuspectFingerprint| {
            hash_record(state, *fingerprint, &self.records[fingerprint])
        };
        self.shared_hash = self.shared.iter().fold(HASH_SEED, hash);
    }

    /// The most suspect of the records that `is_meant` names, in the order of their fingerprints.
    fn most_suspect(&self, is_meant: impl Fn(&SuspectRecord) -> bool) -> Vec<SuspectFingerprint> {
        let meant = self.records.iter().filter(|(_, record)| is_meant(record));
        let mut most: Vec<_> = most_crashed(meant, MAX_SHARED).collect();
        most.sort_unstable();
        most
    }

    /// Returns how much longer a suspect is quarantined, `None` if it is not.
    ///
    /// A new verdict may be withdrawn as soon as other processes report what they saw. So at first
    /// the caller is asked to retry when the verdict has settled, not when the crashes expire.
    pub fn held_for(&self, fingerprint: &SuspectFingerprint, now: ClockTime) -> Option<TimeSpan> {
        let settled_at = *self.quarantined.get(fingerprint)? + VERDICT_SETTLE_TIME;
        let expires_at = self.records.get(fingerprint)?.ends().last()?.at + CRASH_RETENTION;
        Some(if now < settled_at { settled_at - now } else { expires_at - now })
    }

    /// Returns the quarantined suspects and their records.
    pub fn held(&self) -> impl Iterator<Item = (SuspectFingerprint, &SuspectRecord)> {
        self.quarantined
            .keys()
            .filter_map(|fingerprint| Some((*fingerprint, self.records.get(fingerprint)?)))
    }

    /// Returns the record of a suspect.
    pub fn record(&self, fingerprint: &SuspectFingerprint) -> Option<&SuspectRecord> {
        self.records.get(fingerprint)
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Returns the updates for the next report to the collector, which then count as in flight.
    pub fn next_report(&mut self, now: ClockTime) -> Vec<SuspectUpdate> {
        self.unreported.retain(|fingerprint| self.records.contains_key(fingerprint));
        let unreported = self.unreported.iter();
        let records = unreported.filter_map(|fingerprint| self.records.get_key_value(fingerprint));
        self.in_flight = most_crashed(records, MAX_PER_REPORT).collect();
        self.updates(self.in_flight.iter(), now)
    }

    /// Records that the collector acknowledged the last report.
    pub fn acknowledge_report(&mut self) {
        for fingerprint in std::mem::take(&mut self.in_flight) {
            self.unreported.remove(&fingerprint);
        }
    }

    /// Marks all records for reporting, because a new collector does not know what the former one
    /// was told.
    pub fn resend_all(&mut self) {
        self.unreported = self.records.keys().copied().collect();
        self.in_flight.clear();
    }

    /// Returns the updates that all processes should have.
    pub fn shared(&self, now: ClockTime) -> Vec<SuspectUpdate> {
        self.updates(self.shared.iter(), now)
    }

    /// Returns the updates that have to survive all processes. They include requests with a single
    /// crash: if all processes are killed after each, the crashes of a request would never add up.
    pub fn stored(&self, now: ClockTime) -> Vec<SuspectUpdate> {
        self.updates(self.most_suspect(|record| !record.ends().is_empty()).iter(), now)
    }

    /// A hash by which two processes find out whether their shared records are equal.
    pub fn shared_hash(&self) -> u64 {
        self.shared_hash
    }

    fn updates<'a>(
        &self,
        fingerprints: impl Iterator<Item = &'a SuspectFingerprint>,
        now: ClockTime,
    ) -> Vec<SuspectUpdate> {
        let update = |fingerprint: &SuspectFingerprint| {
            Some(SuspectUpdate::of(*fingerprint, self.records.get(fingerprint)?, now))
        };
        fingerprints.filter_map(update).collect()
    }
}

/// The suspects with the most crashes, `most` at most.
fn most_crashed<'a>(
    records: impl Iterator<Item = (&'a SuspectFingerprint, &'a SuspectRecord)>,
    most: usize,
) -> impl Iterator<Item = SuspectFingerprint> {
    let mut order: Vec<_> = records.map(eviction_key).collect();
    order.sort_unstable_by(|one, other| other.cmp(one));
    order.into_iter().take(most).map(|(_, _, fingerprint)| fingerprint)
}

/// Sort key for eviction: records with fewer crashes, and older ones, come first.
fn eviction_key(
    (fingerprint, record): (&SuspectFingerprint, &SuspectRecord),
) -> (usize, ClockTime, SuspectFingerprint) {
    (record.ends().len(), record.seen_at(), *fingerprint)
}

fn hash_record(state: u64, fingerprint: SuspectFingerprint, record: &SuspectRecord) -> u64 {
    let mut incarnations: Vec<&EndpointIncarnation> =
        record.ends().iter().map(|end| &end.life).collect();
    incarnations.sort_unstable();
    let state = stable_hash(state, &fingerprint.low_bits().to_le_bytes());
    let state = stable_hash(state, &[u8::from(record.answered_at().is_some())]);
    incarnations.into_iter().fold(state, |state, life| {
        stable_hash(stable_hash(state, life.instance.as_str().as_bytes()), &life.life.to_le_bytes())
    })
}

//! What one process knows of requests under which endpoints ended.

use crate::blame::blame;
use crate::print::RequestPrint;
use crate::record::{ANSWER_COVERS, ENDS_KEPT, EndedLife, RequestEnd, SuspectNote, SuspectRecord};
use oleander_kind::hash::{HASH_START, stable_hash};
use oleander_kind::{ClockTime, TimeSpan};
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Requests that are remembered; those with the fewest ends are forgotten first, some 300 KB in all. The
/// loss of all endpoints of a large service leaves some 750.
const MOST_RECORDS: usize = 2048;
/// What all processes saw until then is known everywhere after this time: two reports and two digests.
const VERDICT_SETTLES: TimeSpan = TimeSpan(1000);
/// Requests told to all, those with the most ends: some 4 KB if all of them are named.
const MOST_SHARED: usize = 64;
/// Requests told to the collector at once; the rest follows with the next report.
const MOST_TOLD: usize = 64;
/// Ends from which on all processes are told: a request that broke with one endpoint is most likely innocent.
const SHARED_ENDS: usize = 2;
/// Answered requests that are remembered, twice: what a process answers in half a minute under heavy load.
const MOST_ANSWERED: usize = 4096;

/// What changed for a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SuspectChange {
    /// It is held back from now on.
    Held(RequestPrint),
    /// It is held back no more: it was answered, or others explain its ends.
    Released(RequestPrint),
    /// It was forgotten to bound the memory.
    Forgotten(RequestPrint),
}

/// Requests that were answered a while ago. Two generations, so that forgetting takes no search.
#[derive(Debug, Default)]
struct AnswerMemory {
    young: HashMap<RequestPrint, ClockTime>,
    old: HashMap<RequestPrint, ClockTime>,
    turned_at: ClockTime,
}

impl AnswerMemory {
    fn note(&mut self, print: RequestPrint, now: ClockTime) {
        if now - self.turned_at > ANSWER_COVERS || self.young.len() >= MOST_ANSWERED {
            self.old = std::mem::take(&mut self.young);
            self.turned_at = now;
        }
        self.young.insert(print, now);
    }

    fn at(&self, print: &RequestPrint) -> Option<ClockTime> {
        self.young.get(print).or_else(|| self.old.get(print)).copied()
    }
}

/// What this process saw and was told of requests under which endpoints ended.
///
/// Notes are joined: whatever order they come in, and however often, processes that heard the same know the
/// same. So no process owns them, and a change of the collector loses nothing that two processes know.
#[derive(Debug, Default)]
pub struct SuspectBook {
    records: BTreeMap<RequestPrint, SuspectRecord>,
    answers: AnswerMemory,
    /// Since when requests are held back.
    held: BTreeMap<RequestPrint, ClockTime>,
    /// Changed here since the collector was told.
    untold: BTreeSet<RequestPrint>,
    /// In a report that is not answered yet.
    on_the_way: BTreeSet<RequestPrint>,
    shared: Vec<RequestPrint>,
    shared_mark: u64,
}

impl SuspectBook {
    /// Notes that an endpoint ended under a request.
    pub fn note_end(&mut self, print: RequestPrint, end: RequestEnd) {
        let answered_at = self.answers.at(&print);
        let record = self.records.entry(print).or_default();
        if let Some(at) = answered_at {
            record.note_answer(at);
        }
        if record.note_end(end) {
            self.untold.insert(print);
        }
    }

    /// Notes that a request was answered: an endpoint bore it.
    pub fn note_answer(&mut self, print: RequestPrint, now: ClockTime) {
        self.answers.note(print, now);
        if let Some(record) = self.records.get_mut(&print)
            && record.note_answer(now)
        {
            self.untold.insert(print);
        }
    }

    /// Takes what another process tells. What is news here is passed on to the collector.
    pub fn take(&mut self, notes: &[SuspectNote], now: ClockTime) {
        for note in notes {
            self.take_note(note, now);
        }
    }

    fn take_note(&mut self, note: &SuspectNote, now: ClockTime) {
        let print = note.print;
        let own_answer = self.answers.at(&print);
        let record = self.records.entry(print).or_default();
        if let Some(age) = note.answered {
            record.note_answer(now - age);
        }
        // It was answered here, which nobody who tells of its ends can know.
        if let Some(at) = own_answer
            && record.note_answer(at)
        {
            self.untold.insert(print);
        }
        for end in note.ends.iter().filter(|end| end.age < ENDS_KEPT) {
            let (life, at) = (end.life.clone(), now - end.age);
            record.note_end(RequestEnd { life, at, ran: end.ran });
        }
    }

    /// Forgets what is too old or too much, judges anew, and gives what changed.
    pub fn settle(&mut self, now: ClockTime) -> Vec<SuspectChange> {
        self.records.retain(|_, record| record.sweep(now));
        let mut changes = self.forget_least();
        let blamed = blame(&self.records, now);
        let released = |print: &&RequestPrint| !blamed.contains(print);
        changes.extend(self.held.keys().filter(released).copied().map(SuspectChange::Released));
        self.held.retain(|print, _| blamed.contains(print));
        for print in blamed {
            self.held.entry(print).or_insert_with(|| {
                changes.push(SuspectChange::Held(print));
                now
            });
        }
        self.share();
        changes
    }

    fn forget_least(&mut self) -> Vec<SuspectChange> {
        let excess = self.records.len().saturating_sub(MOST_RECORDS);
        let mut order: Vec<_> = self.records.iter().map(by_weight).collect();
        order.sort_unstable();
        let least: Vec<_> = order.into_iter().take(excess).map(|(_, _, print)| print).collect();
        let forget = |print: RequestPrint| {
            self.records.remove(&print);
            SuspectChange::Forgotten(print)
        };
        least.into_iter().map(forget).collect()
    }

    fn share(&mut self) {
        let is_shared = |record: &SuspectRecord| {
            record.ends().len() >= SHARED_ENDS || record.answered_at().is_some()
        };
        let shared = self.records.iter().filter(|(_, record)| is_shared(record));
        let mut order: Vec<_> = shared.map(by_weight).collect();
        order.sort_unstable_by(|one, other| other.cmp(one));
        self.shared = order.into_iter().take(MOST_SHARED).map(|(_, _, print)| print).collect();
        self.shared.sort_unstable();
        let mark = |state, print: &RequestPrint| mark_record(state, *print, &self.records[print]);
        self.shared_mark = self.shared.iter().fold(HASH_START, mark);
    }

    /// For how much longer a request is held back; none if it is not.
    ///
    /// A verdict may fall as soon as other processes tell what they saw. While it is new, its caller is asked to
    /// come back when it has settled, not when the ends are forgotten.
    pub fn held_for(&self, print: &RequestPrint, now: ClockTime) -> Option<TimeSpan> {
        let settled_at = *self.held.get(print)? + VERDICT_SETTLES;
        let forgotten_at = self.records.get(print)?.ends().last()?.at + ENDS_KEPT;
        Some(if now < settled_at { settled_at - now } else { forgotten_at - now })
    }

    /// Requests that are held back.
    pub fn held(&self) -> impl Iterator<Item = (RequestPrint, &SuspectRecord)> {
        self.held.keys().filter_map(|print| Some((*print, self.records.get(print)?)))
    }

    /// What is known of a request.
    pub fn record(&self, print: &RequestPrint) -> Option<&SuspectRecord> {
        self.records.get(print)
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
    pub fn next_told(&mut self, now: ClockTime) -> Vec<SuspectNote> {
        self.on_the_way = self.untold.iter().copied().take(MOST_TOLD).collect();
        self.notes(self.on_the_way.iter(), now)
    }

    /// Notes that the report was answered.
    pub fn note_taken(&mut self) {
        for print in std::mem::take(&mut self.on_the_way) {
            self.untold.remove(&print);
        }
    }

    /// Notes that another process collects, which has not heard what its predecessor was told.
    pub fn tell_anew(&mut self) {
        self.untold = self.records.keys().copied().collect();
        self.on_the_way.clear();
    }

    /// What all processes are to know.
    pub fn shared(&self, now: ClockTime) -> Vec<SuspectNote> {
        self.notes(self.shared.iter(), now)
    }

    /// Tells whether two processes know the same of what all are to know.
    pub fn shared_mark(&self) -> u64 {
        self.shared_mark
    }

    fn notes<'a>(
        &self,
        prints: impl Iterator<Item = &'a RequestPrint>,
        now: ClockTime,
    ) -> Vec<SuspectNote> {
        let note =
            |print: &RequestPrint| Some(SuspectNote::of(*print, self.records.get(print)?, now));
        prints.filter_map(note).collect()
    }
}

/// Requests with more ends, and later ones, come later in this order.
fn by_weight((print, record): (&RequestPrint, &SuspectRecord)) -> (usize, ClockTime, RequestPrint) {
    (record.ends().len(), record.seen_at(), *print)
}

fn mark_record(state: u64, print: RequestPrint, record: &SuspectRecord) -> u64 {
    let mut lives: Vec<&EndedLife> = record.ends().iter().map(|end| &end.life).collect();
    lives.sort_unstable();
    let state = stable_hash(state, &print.spread().to_le_bytes());
    let state = stable_hash(state, &[u8::from(record.answered_at().is_some())]);
    lives.into_iter().fold(state, |state, life| {
        stable_hash(stable_hash(state, life.instance.as_str().as_bytes()), &life.life.to_le_bytes())
    })
}

//! What this process sees of endpoints, until the collector has it.

use crate::node::FrontNode;
use oleander_judge::{AnswerSample, EvidenceTally};
use oleander_kind::{ClockTime, TimeSpan};
use oleander_mesh::{EndpointEvidence, LifeMark};
use oleander_place::EndpointKey;
use std::collections::HashMap;

/// How long evidence that could not be told is kept. The collector takes what it is told for new: a process
/// that comes back from a cut would tell of the failures of all that time, its own doing, at once. Three
/// reports, which a change of the collector takes.
const TOLD_WITHIN: TimeSpan = TimeSpan(1000);

/// Names a request that waits for the first part of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct WaitTicket(u64);

#[derive(Clone, Copy, Debug)]
struct WaitingAnswer {
    endpoint: EndpointKey,
    due_at: ClockTime,
    is_told: bool,
}

/// What was seen of endpoints since the last report that was answered.
#[derive(Debug, Default)]
pub struct EvidenceOutbox {
    seen: HashMap<EndpointKey, EvidenceTally>,
    /// In a report that is not answered yet; told again if it is lost.
    sent: HashMap<EndpointKey, EvidenceTally>,
    sent_since: ClockTime,
    waiting: HashMap<WaitTicket, WaitingAnswer>,
    tickets: u64,
}

impl EvidenceOutbox {
    /// Notes a request that was sent; its answer is overdue from `due_at` on.
    pub fn wait(&mut self, endpoint: EndpointKey, due_at: ClockTime) -> WaitTicket {
        self.tickets += 1;
        let ticket = WaitTicket(self.tickets);
        self.waiting.insert(ticket, WaitingAnswer { endpoint, due_at, is_told: false });
        ticket
    }

    /// Notes how a request that waited came out; nothing if it does not speak for its endpoint. One that
    /// was told as overdue counts no second time.
    pub fn settle(&mut self, ticket: WaitTicket, sample: Option<AnswerSample>) {
        let Some(waited) = self.waiting.remove(&ticket) else { return };
        if let Some(sample) = sample.filter(|_| !waited.is_told) {
            self.seen.entry(waited.endpoint).or_default().note(sample);
        }
    }

    /// Notes what speaks for an endpoint besides.
    pub fn note(&mut self, endpoint: EndpointKey, sample: AnswerSample) {
        self.seen.entry(endpoint).or_default().note(sample);
    }

    /// What the next report tells.
    pub fn next(&mut self, now: ClockTime) -> &HashMap<EndpointKey, EvidenceTally> {
        for waiting in self.waiting.values_mut() {
            if !waiting.is_told && now >= waiting.due_at {
                waiting.is_told = true;
                self.seen.entry(waiting.endpoint).or_default().note(AnswerSample::Overdue);
            }
        }
        if now - self.sent_since > TOLD_WITHIN {
            self.sent.clear();
        }
        if self.sent.is_empty() {
            self.sent_since = now;
        }
        for (endpoint, tally) in self.seen.drain() {
            self.sent.entry(endpoint).or_default().add(tally);
        }
        &self.sent
    }

    /// Notes that a report was answered.
    pub fn taken(&mut self) {
        self.sent.clear();
    }

    /// Forgets what was seen: this process was late itself, and what seemed slow may have waited here.
    pub fn withhold(&mut self) {
        self.seen.clear();
        self.sent.clear();
    }
}

/// What the next report tells of endpoints.
pub fn own_evidence(node: &FrontNode) -> Vec<EndpointEvidence> {
    let board = node.endpoints.borrow();
    let mut outbox = node.evidence.borrow_mut();
    let evidence = |(key, tally): (&EndpointKey, &EvidenceTally)| {
        // Of an endpoint that is gone nobody needs to hear.
        let entry = &board.get(*key)?.entry;
        let (instance, life) = (entry.instance.clone(), LifeMark::of(entry.life));
        Some(EndpointEvidence { instance, life, tally: *tally })
    };
    outbox.next(node.clock.now()).iter().filter_map(evidence).collect()
}

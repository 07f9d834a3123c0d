//! What this process sees of endpoints, until the collector has it.

use crate::node::FrontNode;
use compact_str::CompactString;
use oleander_judge::{AnswerSample, EvidenceTally};
use oleander_kind::{ClockTime, TimeSpan};
use oleander_mesh::{EndpointEvidence, IncarnationTag, RouteEvidence};
use oleander_place::EndpointKey;
use std::collections::HashMap;

/// How long evidence that could not be told is kept. The collector takes what it is told for new: a process
/// that comes back from a cut would tell of the failures of all that time, its own doing, at once. Three
/// reports, which a change of the collector takes.
const TOLD_WITHIN: TimeSpan = TimeSpan(1000);

/// Names a request that waits for the first part of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct WaitTicket(u64);

#[derive(Clone, Debug)]
struct WaitingAnswer {
    endpoint: EndpointKey,
    route: Option<CompactString>,
    due_at: ClockTime,
    is_told: bool,
}

/// What was seen of an endpoint by the requests of one route.
type RouteTallies = HashMap<(EndpointKey, CompactString), EvidenceTally>;

/// What was seen of endpoints since the last report that was answered.
#[derive(Debug, Default)]
pub struct EvidenceOutbox {
    seen: HashMap<EndpointKey, EvidenceTally>,
    /// In a report that is not answered yet; told again if it is lost.
    sent: HashMap<EndpointKey, EvidenceTally>,
    /// The same by route, of services of which a roll-out is under way.
    seen_by_route: RouteTallies,
    sent_by_route: RouteTallies,
    sent_since: ClockTime,
    waiting: HashMap<WaitTicket, WaitingAnswer>,
    tickets: u64,
}

impl EvidenceOutbox {
    /// Notes a request that was sent; its answer is overdue from `due_at` on.
    pub fn wait(&mut self, endpoint: EndpointKey, due_at: ClockTime) -> WaitTicket {
        self.wait_on_route(endpoint, None, due_at)
    }

    /// Notes a request of a route whose answers are compared by route.
    pub fn wait_on_route(
        &mut self,
        endpoint: EndpointKey,
        route: Option<CompactString>,
        due_at: ClockTime,
    ) -> WaitTicket {
        self.tickets += 1;
        let ticket = WaitTicket(self.tickets);
        self.waiting.insert(ticket, WaitingAnswer { endpoint, route, due_at, is_told: false });
        ticket
    }

    /// Notes how a request that waited came out; nothing if it does not speak for its endpoint. One that
    /// was told as overdue counts no second time.
    pub fn settle(&mut self, ticket: WaitTicket, sample: Option<AnswerSample>) {
        let Some(waited) = self.waiting.remove(&ticket) else { return };
        if let Some(sample) = sample.filter(|_| !waited.is_told) {
            self.note_on_route((waited.endpoint, waited.route), sample);
        }
    }

    /// Notes what speaks for an endpoint besides.
    pub fn note(&mut self, endpoint: EndpointKey, sample: AnswerSample) {
        self.note_on_route((endpoint, None), sample);
    }

    /// The same of a request of a route whose answers are compared by route.
    pub fn note_on_route(
        &mut self,
        (endpoint, route): (EndpointKey, Option<CompactString>),
        sample: AnswerSample,
    ) {
        self.seen.entry(endpoint).or_default().note(sample);
        if let Some(route) = route {
            self.seen_by_route.entry((endpoint, route)).or_default().note(sample);
        }
    }

    /// What the next report tells.
    pub fn next(&mut self, now: ClockTime) -> &HashMap<EndpointKey, EvidenceTally> {
        let overdue = |waiting: &&mut WaitingAnswer| !waiting.is_told && now >= waiting.due_at;
        let overdue = self.waiting.values_mut().filter(overdue).map(|waiting| {
            waiting.is_told = true;
            (waiting.endpoint, waiting.route.clone())
        });
        for of in overdue.collect::<Vec<_>>() {
            self.note_on_route(of, AnswerSample::Overdue);
        }
        if now - self.sent_since > TOLD_WITHIN {
            self.sent.clear();
            self.sent_by_route.clear();
        }
        if self.sent.is_empty() {
            self.sent_since = now;
        }
        for (endpoint, tally) in self.seen.drain() {
            self.sent.entry(endpoint).or_default().add(tally);
        }
        for (of, tally) in self.seen_by_route.drain() {
            self.sent_by_route.entry(of).or_default().add(tally);
        }
        &self.sent
    }

    /// What the report that is made tells by route.
    fn next_by_route(&self) -> &RouteTallies {
        &self.sent_by_route
    }

    /// Notes that a report was answered.
    pub fn taken(&mut self) {
        self.sent.clear();
        self.sent_by_route.clear();
    }

    /// Forgets what was seen: this process was late itself, and what seemed slow may have waited here.
    pub fn withhold(&mut self) {
        self.seen.clear();
        self.sent.clear();
        self.seen_by_route.clear();
        self.sent_by_route.clear();
    }
}

/// What the next report tells of endpoints.
pub fn own_evidence(node: &FrontNode) -> (Vec<EndpointEvidence>, Vec<RouteEvidence>) {
    let board = node.endpoints.borrow();
    let mut outbox = node.evidence.borrow_mut();
    let evidence = |key: &EndpointKey, tally: &EvidenceTally| {
        // Of an endpoint that is gone nobody needs to hear.
        let entry = &board.get(*key)?.entry;
        let (instance, life) = (entry.instance.clone(), IncarnationTag::of(entry.life));
        Some(EndpointEvidence { instance, life, tally: *tally })
    };
    let all = outbox.next(node.clock.now()).iter();
    let all = all.filter_map(|(key, tally)| evidence(key, tally)).collect();
    let by_route = outbox.next_by_route().iter().filter_map(|((key, route), tally)| {
        Some(RouteEvidence { route: route.clone(), seen: evidence(key, tally)? })
    });
    (all, by_route.collect())
}

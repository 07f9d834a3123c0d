//! Collects what this process observes about endpoints until a report has delivered it to the
//! collector.

use crate::node::FrontNode;
use crate::paths;
use compact_str::CompactString;
use oleander_judge::{AnswerSample, EvidenceTally};
use oleander_kind::{ClockTime, TimeSpan};
use oleander_mesh::{EndpointEvidence, IncarnationTag, RouteEvidence};
use oleander_place::EndpointKey;
use std::collections::HashMap;

/// How long evidence that could not be delivered is kept. The collector treats reported evidence as
/// recent, so a process that returns from a network partition would report all failures of that
/// time at once, although the partition caused them. Three reports, which is how long a change of
/// the collector takes.
const MAX_UNCONFIRMED_AGE: TimeSpan = TimeSpan(1000);

/// Identifies a request that waits for the first part of its answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AnswerTicket(u64);

#[derive(Clone, Debug)]
struct PendingAnswer {
    endpoint: EndpointKey,
    route: Option<CompactString>,
    sent_at: ClockTime,
    due_at: ClockTime,
    is_reported: bool,
}

/// Evidence by endpoint and route.
type RouteTallies = HashMap<(EndpointKey, CompactString), EvidenceTally>;

/// Evidence about endpoints since the last report that was answered.
#[derive(Debug, Default)]
pub struct EvidenceBuffer {
    seen: HashMap<EndpointKey, EvidenceTally>,
    /// Part of a report that is not answered yet; reported again if that one is lost.
    sent: HashMap<EndpointKey, EvidenceTally>,
    /// As `seen` and `sent`, but also by route, for services with a roll-out under way.
    seen_by_route: RouteTallies,
    sent_by_route: RouteTallies,
    sent_since: ClockTime,
    waiting: HashMap<AnswerTicket, PendingAnswer>,
    tickets: u64,
}

impl EvidenceBuffer {
    /// Tracks a request that was sent; its answer is overdue from `due_at` on.
    pub fn wait(&mut self, endpoint: EndpointKey, due_at: ClockTime) -> AnswerTicket {
        self.track_on_route(endpoint, None, (due_at, due_at))
    }

    /// Tracks a request whose answers are compared by route. It was sent at `sent_at`, and its answer is
    /// overdue from `due_at` on.
    pub fn track_on_route(
        &mut self,
        endpoint: EndpointKey,
        route: Option<CompactString>,
        (sent_at, due_at): (ClockTime, ClockTime),
    ) -> AnswerTicket {
        self.tickets += 1;
        let ticket = AnswerTicket(self.tickets);
        self.waiting
            .insert(ticket, PendingAnswer { endpoint, route, sent_at, due_at, is_reported: false });
        ticket
    }

    /// Records the outcome of a tracked request; `None` if it says nothing about its endpoint. A
    /// request that was already reported as overdue is not counted a second time.
    pub fn settle(&mut self, ticket: AnswerTicket, sample: Option<AnswerSample>) {
        let Some(waited) = self.waiting.remove(&ticket) else { return };
        if let Some(sample) = sample.filter(|_| !waited.is_reported) {
            self.note_on_route((waited.endpoint, waited.route), sample);
        }
    }

    /// Records a sample that belongs to no tracked request.
    pub fn note(&mut self, endpoint: EndpointKey, sample: AnswerSample) {
        self.note_on_route((endpoint, None), sample);
    }

    /// Records a sample of a request whose answers are compared by route.
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

    /// Starts a report: returns the evidence that no collector has confirmed yet, with requests that became overdue.
    pub fn next(&mut self, now: ClockTime) -> &HashMap<EndpointKey, EvidenceTally> {
        self.next_heard(now, |_, _| true)
    }

    /// Like [`next`](Self::next). Overdue requests count only if `is_heard` says that an endpoint of the
    /// same service was heard since the request was sent: otherwise the path of this process may be the
    /// cause.
    pub fn next_heard(
        &mut self,
        now: ClockTime,
        is_heard: impl Fn(EndpointKey, ClockTime) -> bool,
    ) -> &HashMap<EndpointKey, EvidenceTally> {
        let overdue = |waiting: &&mut PendingAnswer| {
            let is_due = !waiting.is_reported && now >= waiting.due_at;
            is_due && is_heard(waiting.endpoint, waiting.sent_at)
        };
        let overdue = self.waiting.values_mut().filter(overdue).map(|waiting| {
            waiting.is_reported = true;
            (waiting.endpoint, waiting.route.clone())
        });
        for of in overdue.collect::<Vec<_>>() {
            self.note_on_route(of, AnswerSample::Overdue);
        }
        if now - self.sent_since > MAX_UNCONFIRMED_AGE {
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

    /// The evidence by route for the report that [`EvidenceBuffer::next`] started.
    fn next_by_route(&self) -> &RouteTallies {
        &self.sent_by_route
    }

    /// Drops what the last report carried, now that it was answered.
    pub fn confirm_report(&mut self) {
        self.sent.clear();
        self.sent_by_route.clear();
    }

    /// Discards the evidence that was not confirmed yet, because it is not reliable: this process itself was delayed, and answers that seemed slow may
    /// have waited here.
    pub fn discard(&mut self) {
        self.seen.clear();
        self.sent.clear();
        self.seen_by_route.clear();
        self.sent_by_route.clear();
    }
}

impl EvidenceBuffer {
    /// Discards what was observed of endpoints, and waits for none of their answers any more, because this
    /// process may not have reached them.
    pub fn discard_of(&mut self, is_unreached: impl Fn(EndpointKey) -> bool) {
        self.seen.retain(|key, _| !is_unreached(*key));
        self.sent.retain(|key, _| !is_unreached(*key));
        self.seen_by_route.retain(|(key, _), _| !is_unreached(*key));
        self.sent_by_route.retain(|(key, _), _| !is_unreached(*key));
        self.waiting.retain(|_, waiting| !is_unreached(waiting.endpoint));
    }
}

/// The evidence about endpoints for the next report, in total and by route.
pub fn report_evidence(node: &FrontNode) -> (Vec<EndpointEvidence>, Vec<RouteEvidence>) {
    let board = node.endpoints.borrow();
    let mut buffer = node.evidence.borrow_mut();
    let evidence = |key: &EndpointKey, tally: &EvidenceTally| {
        // Nobody needs evidence about an endpoint that is no longer listed.
        let entry = &board.get(*key)?.entry;
        let (instance, life) = (entry.instance.clone(), IncarnationTag::of(entry.life));
        Some(EndpointEvidence { instance, life, tally: *tally })
    };
    let is_heard = |key: EndpointKey, sent_at: ClockTime| {
        let service = board.get(key).map(|fact| &fact.entry.service);
        service.is_none_or(|service| paths::was_heard_since(node, service, sent_at))
    };
    let all = buffer.next_heard(node.clock.now(), is_heard).iter();
    let all = all.filter_map(|(key, tally)| evidence(key, tally)).collect();
    let by_route = buffer.next_by_route().iter().filter_map(|((key, route), tally)| {
        Some(RouteEvidence { route: route.clone(), seen: evidence(key, tally)? })
    });
    (all, by_route.collect())
}

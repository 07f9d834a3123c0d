//! Binds streams to the software version that began them.
//!
//! Within one answer this process knows the version. A stream that a caller takes up again is bound to what this
//! process, or one that keeps the record, knows of its beginning; a stream of which that cannot be known is refused.

mod bind;
mod lasting;
mod send;

pub(crate) use bind::{StreamBinding, bind_begun, bind_request};
pub(crate) use lasting::OriginStore;
pub(crate) use send::{hand_over, run_sender};

use crate::node::FrontNode;
use oleander_call::AnswerShape;
use oleander_kind::{ClockTime, ServiceName, TimeSpan};
use oleander_mesh::OriginQuestion;
use oleander_origin::{OriginAnswer, OriginBook, OriginEntry, VersionHistory};
use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;

/// For how long a stream may be taken up at least, whatever the rules say now: a stream may have begun under rules
/// with longer timeouts, and a caller that comes back often may go on for longer than two of them.
const MIN_SPAN: TimeSpan = TimeSpan(30_000);
/// Factor by which that time exceeds the longest timeout of the service's streams: a caller's last try may begin when
/// the first one has used all its time.
const SPAN_TIMEOUTS: u64 = 2;

/// What a process knows of the versions at which streams began.
#[derive(Default)]
pub struct StreamOrigins {
    /// Its records.
    pub book: OriginBook,
    /// The versions that it saw listed.
    pub history: VersionHistory,
    /// Services of which it cannot say that one version alone serves. The records of their streams are sent to
    /// others.
    uncertain: HashSet<ServiceName>,
    outbox: HashMap<SocketAddr, Vec<OriginEntry>>,
    watched_from: Option<ClockTime>,
}

impl StreamOrigins {
    /// Services of which several versions serve, as far as this process knows.
    pub fn uncertain(&self) -> impl Iterator<Item = &ServiceName> {
        self.uncertain.iter()
    }
}

/// For how long after its beginning a stream of `service` may be taken up.
pub(crate) fn take_up_span(node: &FrontNode, service: &ServiceName) -> TimeSpan {
    let Some(rules) = node.current_rules() else { return MIN_SPAN };
    let streams = rules.routes().iter().filter(|route| {
        route.shape == AnswerShape::Events && route.services.iter().any(|(name, _)| name == service)
    });
    let longest = streams.map(|route| route.timeout).max();
    longest.map_or(MIN_SPAN, |timeout| MIN_SPAN.max(TimeSpan(timeout.0 * SPAN_TIMEOUTS)))
}

/// Looks at the versions that are listed. Records of streams are sent to others from the moment on at which it is
/// not certain any more that one version alone serves.
pub(crate) fn watch_versions(node: &FrontNode) {
    let now = node.clock.now();
    let is_fresh = node.roster_age().is_some_and(|age| age <= node.roster_limits().usable);
    {
        let board = node.endpoints.borrow();
        let listed = board.iter().map(|(_, fact)| (&fact.entry.service, &fact.entry.release));
        let mut origins = node.origins.borrow_mut();
        origins.watched_from.get_or_insert(now);
        origins.history.observe(listed, is_fresh, now);
    }
    send_uncertain(node);
}

/// Notes that an endpoint of a version was listed.
pub(crate) fn note_listed(
    node: &FrontNode,
    service: &ServiceName,
    version: &compact_str::CompactString,
) {
    let now = node.clock.now();
    let is_new = {
        let mut origins = node.origins.borrow_mut();
        let is_known = origins.history.only_seen(service, take_up_span(node, service), now);
        let is_new = is_known.is_some_and(|known| known != version);
        origins.history.note_listed(service, version, now);
        is_new
    };
    if is_new {
        send_uncertain(node);
    }
}

/// Sends the records of services of which it has become uncertain that one version alone serves.
fn send_uncertain(node: &FrontNode) {
    let now = node.clock.now();
    let services: Vec<ServiceName> =
        node.endpoints.borrow().services().map(|(service, _)| service.clone()).collect();
    for service in services {
        let span = take_up_span(node, &service);
        let newly_uncertain = {
            let mut origins = node.origins.borrow_mut();
            if origins.history.alone(&service, span, now).is_some() {
                origins.uncertain.remove(&service);
                continue;
            }
            origins.uncertain.insert(service.clone())
        };
        if newly_uncertain {
            let records = node.origins.borrow().book.own_of(&service, now);
            records.into_iter().for_each(|record| send::queue(node, record));
        }
    }
}

/// Keeps records of another process.
pub(crate) fn keep_records(node: &FrontNode, entries: &[OriginEntry]) {
    let now = node.clock.now();
    let mut origins = node.origins.borrow_mut();
    entries.iter().for_each(|entry| origins.book.merge(entry, now));
}

/// Answers another process's question.
pub(crate) fn answer_question(node: &FrontNode, question: &OriginQuestion) -> OriginAnswer {
    let now = node.clock.now();
    let origins = node.origins.borrow();
    let record = origins.book.get(question.key, now);
    OriginAnswer {
        has_record: record.is_some(),
        version: record.and_then(|record| record.version.clone()),
        is_conclusive: origins.watched_from.is_some_and(|since| now - since >= question.span),
        alone: origins.history.alone(&question.service, question.span, now).cloned(),
    }
}

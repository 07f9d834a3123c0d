//! Applies the signals that endpoints send in answer headers (a rate limit, that they leave, a
//! backoff during which they want no requests) and shares them with the other processes through the
//! collector.

mod outbox;
mod rates;
mod room;
mod tell;

pub use outbox::SignalOutbox;
pub(crate) use rates::{
    ReporterState, add_endpoint_signals, apply_local_shares, apply_rate_shares,
};
pub(crate) use room::{RoomSenders, update_room_shares};
pub(crate) use tell::{
    apply_peer_signals, apply_snapshot, confirm_report, known_signals, next_reported,
};

use crate::events::event;
use crate::node::FrontNode;
use crate::suspects;
use oleander_call::{AnswerHead, EndpointSignal};
use oleander_kind::{ClockTime, RequestRate, ResultCode};
use oleander_limit::own_share;
use oleander_place::{BrittleSignal, EndpointFact, EndpointKey, RateSignal, RoomUse};
use oleander_suspect::EndpointIncarnation;

/// How this process learned of a signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum SignalSource {
    /// From an answer of the endpoint to a request of this process.
    Answer,
    /// From another process, through the collector.
    Peer,
}

impl SignalSource {
    fn name(self) -> &'static str {
        match self {
            SignalSource::Answer => "answer",
            SignalSource::Peer => "told",
        }
    }
}

/// Applies the signals in an answer that endpoint `key` sent on the connection of `request`, which
/// was sent at `asked_at`.
///
/// A missing limit header ends a known limit only if the answer belongs to `request` and the
/// endpoint ran it. An answer to another request arrived late, and refusals and answers of a faulty
/// endpoint may lack headers that its regular answers carry.
pub(crate) fn apply_answer_signals(
    node: &FrontNode,
    (key, answer_head): (EndpointKey, &AnswerHead),
    (request, asked_at): (&str, ClockTime),
) {
    if answer_head.misdirected {
        return;
    }
    apply_leaving(node, key, answer_head);
    apply_backoff(node, key, answer_head);
    apply_brittle(node, (key, answer_head), (request, asked_at));
    let rate = match &answer_head.limit {
        EndpointSignal::Present(rate) => Some(*rate),
        EndpointSignal::Absent
            if !answer_head.not_run && answer_head.id.as_deref() == Some(request) =>
        {
            None
        }
        EndpointSignal::Absent => return,
        EndpointSignal::Unreadable(text) => return report_unreadable(node, key, ("limit", text)),
    };
    apply_limit(node, key, (RateSignal { rate, asked_at }, SignalSource::Answer));
}

fn apply_leaving(node: &FrontNode, key: EndpointKey, answer_head: &AnswerHead) {
    match &answer_head.leaving {
        EndpointSignal::Present(true) => {}
        EndpointSignal::Present(false) | EndpointSignal::Absent => return,
        EndpointSignal::Unreadable(text) => return report_unreadable(node, key, ("leaving", text)),
    }
    let life = node.endpoints.borrow().get(key).map(|fact| suspects::life_of(&fact.entry));
    if let Some(life) = life
        && mark_leaving(node, &life, SignalSource::Answer)
    {
        node.signals.borrow_mut().add(key);
    }
}

/// Marks an endpoint as leaving; returns whether that was not known yet.
fn mark_leaving(node: &FrontNode, life: &EndpointIncarnation, source: SignalSource) -> bool {
    let mut board = node.endpoints.borrow_mut();
    if !board.note_leaving(&life.instance, life.life) {
        return false;
    }
    let fact = board.key(&life.instance).and_then(|key| board.get(key));
    node.meter.count_word("leaving", source.name());
    event!(node, EndpointLeaving;
        "endpoint" => life.instance.as_str(), "life" => life.life, "by" => source.name(),
        "service" => fact.map(|fact| fact.entry.service.as_str()),
        "listed" => fact.map(|fact| format!("{:?}", fact.entry.stage)),
        "list_ms" => node.roster_age().map(|age| age.0));
    true
}

fn apply_backoff(node: &FrontNode, key: EndpointKey, answer_head: &AnswerHead) {
    let backoff = match &answer_head.backoff {
        EndpointSignal::Present(backoff) => *backoff,
        EndpointSignal::Absent => return,
        EndpointSignal::Unreadable(text) => return report_unreadable(node, key, ("rest", text)),
    };
    let now = node.clock.lease_now();
    let mut board = node.endpoints.borrow_mut();
    let Some(fact) = board.get_mut(key) else { return };
    let was_backing_off = now < fact.declared.backoff_until;
    fact.declared.backoff_until = fact.declared.backoff_until.max(now + backoff);
    node.meter.count_word("rest", SignalSource::Answer.name());
    event!(node, EndpointRests;
        "endpoint" => fact.entry.instance.as_str(), "life" => fact.entry.life,
        "service" => fact.entry.service.as_str(), "for_ms" => backoff.0,
        "left_ms" => (fact.declared.backoff_until - now).0, "rested" => was_backing_off);
}

/// Applies a rate limit that an endpoint signalled, or the end of its limit if the rate is absent.
fn apply_limit(node: &FrontNode, key: EndpointKey, (signal, source): (RateSignal, SignalSource)) {
    let now = node.clock.lease_now();
    let own = signal.rate.and_then(|rate| own_share(rate, node.process_count()));
    let mut board = node.endpoints.borrow_mut();
    let Some(before) = board.note_limit(key, signal) else { return };
    if let Some(fact) = board.get_mut(key) {
        // Used until the collector's next digest brings the first lease.
        if let Some(per_s) = own.filter(|_| before.is_none()) {
            fact.declared.bucket.renew(per_s, (now, now));
        }
        log_limit(node, fact, (before, source));
    }
    if source == SignalSource::Answer {
        node.signals.borrow_mut().add(key);
    }
}

fn log_limit(
    node: &FrontNode,
    fact: &EndpointFact,
    (before, source): (Option<RequestRate>, SignalSource),
) {
    let per_s = |rate: Option<RequestRate>| rate.map(RequestRate::per_s);
    let RateSignal { rate, asked_at } = fact.declared.limit;
    node.meter.count_word("limit", source.name());
    event!(node, EndpointLimit;
        "endpoint" => fact.entry.instance.as_str(), "life" => fact.entry.life,
        "service" => fact.entry.service.as_str(), "per_s" => per_s(rate), "before" => per_s(before),
        "by" => source.name(), "age_ms" => (node.clock.now() - asked_at).0);
}

/// Applies whether an endpoint says that it is brittle. A missing header ends that as it ends a limit.
fn apply_brittle(
    node: &FrontNode,
    (key, answer_head): (EndpointKey, &AnswerHead),
    (request, asked_at): (&str, ClockTime),
) {
    let refusals = match &answer_head.brittle {
        EndpointSignal::Present(refusals) => Some(*refusals),
        EndpointSignal::Absent
            if !answer_head.not_run && answer_head.id.as_deref() == Some(request) =>
        {
            None
        }
        EndpointSignal::Absent => return,
        EndpointSignal::Unreadable(text) => {
            return report_unreadable(node, key, ("brittle", text));
        }
    };
    let signal = BrittleSignal { refusals, asked_at, is_presumed: false };
    note_brittle(node, key, (signal, SignalSource::Answer));
}

fn note_brittle(
    node: &FrontNode,
    key: EndpointKey,
    (signal, source): (BrittleSignal, SignalSource),
) {
    let change = node.endpoints.borrow_mut().note_brittle(key, signal);
    let Some(change) = change else { return };
    if change.before.is_none() {
        room::update_service(node, key);
    }
    if let Some(fact) = node.endpoints.borrow().get(key) {
        node.meter.count_word("brittle", source.name());
        let presumed = change.presumed.len();
        log_brittle(node, fact, (change.before, source.name()), presumed);
    }
    if source == SignalSource::Answer {
        node.signals.borrow_mut().add(key);
    }
}

fn log_brittle(
    node: &FrontNode,
    fact: &EndpointFact,
    (before, by): (Option<u32>, &str),
    presumed: usize,
) {
    event!(node, EndpointBrittle;
        "endpoint" => fact.entry.instance.as_str(), "life" => fact.entry.life,
        "service" => fact.entry.service.as_str(), "refusals" => fact.declared.brittle.refusals,
        "before" => before, "by" => by, "others_presumed" => presumed, "requests" => fact.requests());
}

/// Presumes that an endpoint that was just listed is brittle if others of its service were lately.
pub(crate) fn presume_brittle(node: &FrontNode, key: EndpointKey) {
    let is_presumed = node.endpoints.borrow_mut().presume_brittle(key);
    if !is_presumed {
        return;
    }
    room::update_service(node, key);
    if let Some(fact) = node.endpoints.borrow().get(key) {
        node.meter.count_word("brittle", "presumed");
        log_brittle(node, fact, (None, "presumed"), 0);
    }
}

/// Records that a brittle endpoint refused a request for want of room; returns whether it is brittle. `sent_room`
/// is what was known of its room when the request was sent.
pub(crate) fn note_full(node: &FrontNode, key: EndpointKey, sent_room: Option<RoomUse>) -> bool {
    let now = node.clock.now();
    let mut board = node.endpoints.borrow_mut();
    let Some(fact) = board.get_mut(key).filter(|fact| fact.is_brittle()) else { return false };
    let requests = fact.requests();
    let slots = fact.running_at_once();
    fact.declared.room.note_refusal(slots, now);
    node.meter.count_brittle_refusal(fact.entry.service.as_str());
    event!(node, BrittleRefused;
        "endpoint" => fact.entry.instance.as_str(), "service" => fact.entry.service.as_str(),
        "requests" => requests, "own" => fact.own.requests, "slots" => slots,
        "known" => sent_room.is_some(), "permits" => sent_room.map(|room| room.permits()),
        "window" => fact.declared.room.reduced, "refusals" => fact.declared.brittle.refusals);
    node.signals.borrow_mut().add(key);
    true
}

fn report_unreadable(node: &FrontNode, key: EndpointKey, (word, text): (&'static str, &str)) {
    let board = node.endpoints.borrow();
    let endpoint = board.get(key).map(|fact| fact.entry.instance.as_str());
    node.meter.count_word(word, "unreadable");
    event!(node, WordUnreadable;
        "endpoint" => endpoint, "word" => word, "text" => text,
        "code" => ResultCode::EndpointBadWord.number());
}

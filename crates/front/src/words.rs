//! Hears what endpoints say of themselves in their answers, and tells the other processes.

mod outbox;
mod rates;
mod tell;

pub use outbox::WordOutbox;
pub(crate) use rates::{ReporterStand, answer_words, take_own_parts, take_rates};
pub(crate) use tell::{known_words, next_told, note_taken, take_all, take_told};

use crate::events::event;
use crate::node::FrontNode;
use crate::suspects;
use oleander_call::{AnswerHead, EndpointSignal};
use oleander_kind::{ClockTime, RequestRate, ResultCode};
use oleander_limit::own_share;
use oleander_place::{EndpointFact, EndpointKey, RateSignal};
use oleander_suspect::EndpointIncarnation;

/// From whom a word was heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WordSource {
    /// From the endpoint, in an answer to this process.
    Answer,
    /// From another process.
    Told,
}

impl WordSource {
    fn name(self) -> &'static str {
        match self {
            WordSource::Answer => "answer",
            WordSource::Told => "told",
        }
    }
}

/// Takes what an answer of endpoint `key` to the `request` that was sent at `asked_at` says of the endpoint.
///
/// That it does not name a limit ends one only if it is the request's own answer, and the endpoint ran it: an answer to another
/// one came late, and refusals and what a faulty endpoint sends may lack what its answers say.
pub(crate) fn hear(
    node: &FrontNode,
    (key, mark): (EndpointKey, &AnswerHead),
    (request, asked_at): (&str, ClockTime),
) {
    if mark.misdirected {
        return;
    }
    hear_leaving(node, key, mark);
    hear_rest(node, key, mark);
    let rate = match &mark.limit {
        EndpointSignal::Present(rate) => Some(*rate),
        EndpointSignal::Absent if !mark.not_run && mark.id.as_deref() == Some(request) => None,
        EndpointSignal::Absent => return,
        EndpointSignal::Unreadable(text) => return tell_unreadable(node, key, ("limit", text)),
    };
    hear_limit(node, key, (RateSignal { rate, asked_at }, WordSource::Answer));
}

fn hear_leaving(node: &FrontNode, key: EndpointKey, mark: &AnswerHead) {
    match &mark.leaving {
        EndpointSignal::Present(true) => {}
        EndpointSignal::Present(false) | EndpointSignal::Absent => return,
        EndpointSignal::Unreadable(text) => return tell_unreadable(node, key, ("leaving", text)),
    }
    let life = node.endpoints.borrow().get(key).map(|fact| suspects::life_of(&fact.entry));
    if let Some(life) = life
        && note_leaving(node, &life, WordSource::Answer)
    {
        node.words.borrow_mut().add(key);
    }
}

/// Notes that an endpoint leaves; says whether that is news.
fn note_leaving(node: &FrontNode, life: &EndpointIncarnation, source: WordSource) -> bool {
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

fn hear_rest(node: &FrontNode, key: EndpointKey, mark: &AnswerHead) {
    let backoff = match &mark.backoff {
        EndpointSignal::Present(backoff) => *backoff,
        EndpointSignal::Absent => return,
        EndpointSignal::Unreadable(text) => return tell_unreadable(node, key, ("rest", text)),
    };
    let now = node.clock.lease_now();
    let mut board = node.endpoints.borrow_mut();
    let Some(fact) = board.get_mut(key) else { return };
    let rested = now < fact.declared.backoff_until;
    fact.declared.backoff_until = fact.declared.backoff_until.max(now + backoff);
    node.meter.count_word("rest", WordSource::Answer.name());
    event!(node, EndpointRests;
        "endpoint" => fact.entry.instance.as_str(), "life" => fact.entry.life,
        "service" => fact.entry.service.as_str(), "for_ms" => backoff.0,
        "left_ms" => (fact.declared.backoff_until - now).0, "rested" => rested);
}

/// Takes a limit, or that there is none.
fn hear_limit(node: &FrontNode, key: EndpointKey, (word, source): (RateSignal, WordSource)) {
    let now = node.clock.lease_now();
    let own = word.rate.and_then(|rate| own_share(rate, node.process_count()));
    let mut board = node.endpoints.borrow_mut();
    let Some(before) = board.note_limit(key, word) else { return };
    if let Some(fact) = board.get_mut(key) {
        // Until the first lease comes, with the next answer of the collector.
        if let Some(per_s) = own.filter(|_| before.is_none()) {
            fact.declared.bucket.renew(per_s, (now, now));
        }
        tell_limit(node, fact, (before, source));
    }
    if source == WordSource::Answer {
        node.words.borrow_mut().add(key);
    }
}

fn tell_limit(
    node: &FrontNode,
    fact: &EndpointFact,
    (before, source): (Option<RequestRate>, WordSource),
) {
    let per_s = |rate: Option<RequestRate>| rate.map(RequestRate::per_s);
    let RateSignal { rate, asked_at } = fact.declared.limit;
    node.meter.count_word("limit", source.name());
    event!(node, EndpointLimit;
        "endpoint" => fact.entry.instance.as_str(), "life" => fact.entry.life,
        "service" => fact.entry.service.as_str(), "per_s" => per_s(rate), "before" => per_s(before),
        "by" => source.name(), "age_ms" => (node.clock.now() - asked_at).0);
}

fn tell_unreadable(node: &FrontNode, key: EndpointKey, (word, text): (&'static str, &str)) {
    let board = node.endpoints.borrow();
    let endpoint = board.get(key).map(|fact| fact.entry.instance.as_str());
    node.meter.count_word(word, "unreadable");
    event!(node, WordUnreadable;
        "endpoint" => endpoint, "word" => word, "text" => text,
        "code" => ResultCode::EndpointBadWord.number());
}

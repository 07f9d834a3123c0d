//! Hears what endpoints say of themselves in their answers, and tells the other processes.
//!
//! What this process heard goes to the collector with its reports, and from there to all. A word of which the collector
//! has another, older, version is told again, so that nothing is lost at a change of the collector.

mod outbox;

pub use outbox::{SaidState, WordOutbox};

use crate::events::event;
use crate::node::FrontNode;
use crate::suspects;
use oleander_call::{AnswerMark, SaidWord};
use oleander_kind::{ClockTime, RequestRate, ResultCode, TimeSpan};
use oleander_limit::{RateKey, RatedEndpoint};
use oleander_mesh::{
    EndpointMark, EndpointWords, MeshCollector, MeshDigest, MeshView, NodeReport, RateShare,
    words_mark,
};
use oleander_place::{EndpointFact, EndpointKey, LimitWord};
use oleander_suspect::EndedLife;
use std::collections::HashMap;

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

/// Whose answer it was.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerOwner {
    /// It answers the request that was sent.
    Own,
    /// It answers another one, and came late: that it does not say a word means nothing.
    Foreign,
}

/// Takes what an answer of endpoint `key` says of that, the request having been sent at `asked_at`.
pub(crate) fn hear(
    node: &FrontNode,
    (key, mark): (EndpointKey, &AnswerMark),
    (owner, asked_at): (AnswerOwner, ClockTime),
) {
    if mark.misdirected {
        return;
    }
    hear_leaving(node, key, mark);
    hear_rest(node, key, mark);
    let rate = match &mark.limit {
        SaidWord::Said(rate) => Some(*rate),
        SaidWord::Absent if owner == AnswerOwner::Own => None,
        SaidWord::Absent => return,
        SaidWord::Unreadable(text) => return tell_unreadable(node, key, ("limit", text)),
    };
    hear_limit(node, key, (LimitWord { rate, asked_at }, WordSource::Answer));
}

fn hear_leaving(node: &FrontNode, key: EndpointKey, mark: &AnswerMark) {
    match &mark.leaving {
        SaidWord::Said(true) => {}
        SaidWord::Said(false) | SaidWord::Absent => return,
        SaidWord::Unreadable(text) => return tell_unreadable(node, key, ("leaving", text)),
    }
    let life = node.endpoints.borrow().get(key).map(|fact| suspects::life_of(&fact.entry));
    if let Some(life) = life
        && note_leaving(node, &life, WordSource::Answer)
    {
        node.words.borrow_mut().add(key);
    }
}

/// Notes that an endpoint leaves; says whether that is news.
fn note_leaving(node: &FrontNode, life: &EndedLife, source: WordSource) -> bool {
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

fn hear_rest(node: &FrontNode, key: EndpointKey, mark: &AnswerMark) {
    let rest = match &mark.rest {
        SaidWord::Said(rest) => *rest,
        SaidWord::Absent => return,
        SaidWord::Unreadable(text) => return tell_unreadable(node, key, ("rest", text)),
    };
    let now = node.clock.lease_now();
    let mut board = node.endpoints.borrow_mut();
    let Some(fact) = board.get_mut(key) else { return };
    let rested = now < fact.said.rests_until;
    fact.said.rests_until = fact.said.rests_until.max(now + rest);
    node.meter.count_word("rest", WordSource::Answer.name());
    event!(node, EndpointRests;
        "endpoint" => fact.entry.instance.as_str(), "life" => fact.entry.life,
        "service" => fact.entry.service.as_str(), "for_ms" => rest.0,
        "left_ms" => (fact.said.rests_until - now).0, "rested" => rested);
}

/// Takes a limit, or that there is none.
fn hear_limit(node: &FrontNode, key: EndpointKey, (word, source): (LimitWord, WordSource)) {
    let mut board = node.endpoints.borrow_mut();
    let Some(fact) = board.get_mut(key) else { return };
    let was_never_limited = word.rate.is_none() && fact.said.limit.rate.is_none();
    if was_never_limited || !word.replaces(&fact.said.limit) {
        return;
    }
    let before = std::mem::replace(&mut fact.said.limit, word);
    if before.rate == word.rate {
        return;
    }
    if word.rate.is_none() {
        fact.said.bucket.end();
    }
    tell_limit(node, fact, (before.rate, source));
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
    let LimitWord { rate, asked_at } = fact.said.limit;
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

/// What this process knows that endpoints said of themselves.
pub(crate) fn known_words(node: &FrontNode) -> Vec<EndpointWords> {
    let now = node.clock.now();
    let board = node.endpoints.borrow();
    board.iter().filter_map(|(_, fact)| words_of(fact, now)).collect()
}

fn words_of(fact: &EndpointFact, now: ClockTime) -> Option<EndpointWords> {
    let LimitWord { rate, asked_at } = fact.said.limit;
    fact.said.is_shared().then(|| EndpointWords {
        instance: fact.entry.instance.clone(),
        life: fact.entry.life,
        limit: rate,
        age: now - asked_at,
        leaves: fact.said.leaves,
    })
}

/// What it said last, for comparison.
fn said_of(fact: &EndpointFact) -> SaidState {
    SaidState { limit: fact.said.limit.rate, leaves: fact.said.leaves }
}

/// Takes what another process tells, `late` after it was written at the most.
pub(crate) fn take_told(node: &FrontNode, told: &[EndpointWords], late: TimeSpan) {
    let now = node.clock.now();
    for words in told {
        if words.leaves {
            let life = EndedLife { instance: words.instance.clone(), life: words.life };
            note_leaving(node, &life, WordSource::Told);
        }
        let key = {
            let board = node.endpoints.borrow();
            let key = board.key(&words.instance);
            key.filter(|key| board.get(*key).is_some_and(|fact| fact.entry.life == words.life))
        };
        let word = LimitWord { rate: words.limit, asked_at: now - (words.age + late) };
        if let Some(key) = key {
            hear_limit(node, key, (word, WordSource::Told));
        }
    }
}

/// Takes all that the collector knows, and notes what of it is out of date.
pub(crate) fn take_all(node: &FrontNode, told: &[EndpointWords], late: TimeSpan) {
    take_told(node, told, late);
    let state = |words: &EndpointWords| SaidState { limit: words.limit, leaves: words.leaves };
    let told: HashMap<_, _> =
        told.iter().map(|words| ((&words.instance, words.life), state(words))).collect();
    let board = node.endpoints.borrow();
    let mut outbox = node.words.borrow_mut();
    for (key, fact) in board.iter().filter(|(_, fact)| fact.said.is_shared()) {
        if told.get(&(&fact.entry.instance, fact.entry.life)) != Some(&said_of(fact)) {
            outbox.add(key);
        }
    }
}

/// What of it the next report tells.
pub(crate) fn next_told(node: &FrontNode) -> Vec<EndpointWords> {
    let now = node.clock.now();
    let board = node.endpoints.borrow();
    let keys = node.words.borrow_mut().next_told(|key| board.get(key).map(said_of));
    keys.into_iter().filter_map(|key| words_of(board.get(key)?, now)).collect()
}

/// Notes that the last report was answered.
pub(crate) fn note_taken(node: &FrontNode) {
    let board = node.endpoints.borrow();
    node.words.borrow_mut().taken(|key| board.get(key).map(said_of));
}

/// Adds to the collector's answer what endpoints said, if the reporter knows other than that, and its parts of what limited
/// ones take.
pub(crate) fn answer_words(
    node: &FrontNode,
    (report, view): (&ReporterStand, &MeshView),
    collector: &mut MeshCollector,
    digest: &mut MeshDigest,
) {
    let words = known_words(node);
    if words_mark(&words) != report.words_mark {
        digest.words = Some(words);
    }
    if !report.is_late {
        digest.rates = rate_shares(node, (report, view.serving()), collector);
    }
}

/// What an answer about words goes by.
pub(crate) struct ReporterStand {
    id: oleander_kind::InstanceId,
    words_mark: u64,
    is_late: bool,
}

impl ReporterStand {
    /// That of a report; one of a turn before `oldest_turn` was sent long ago.
    pub(crate) fn of(report: &NodeReport, oldest_turn: u64) -> Self {
        ReporterStand {
            id: report.card.id.clone(),
            words_mark: report.words_mark,
            is_late: report.turn < oldest_turn,
        }
    }
}

fn rate_shares(
    node: &FrontNode,
    (report, serving): (&ReporterStand, u32),
    collector: &mut MeshCollector,
) -> Vec<RateShare> {
    let now = node.clock.now();
    let board = node.endpoints.borrow();
    let limited = board.iter().filter_map(|(_, fact)| Some((fact, fact.said.limit.rate?)));
    let limited: Vec<_> = limited.filter(|(fact, _)| fact.takes_work()).collect();
    let key_of = |fact: &EndpointFact| RateKey::of(&fact.entry.instance, fact.entry.life);
    let keys: Vec<RateKey> = limited.iter().map(|(fact, _)| key_of(fact)).collect();
    let desk = collector.rates();
    desk.keep(|key| keys.contains(&key));
    let share = |(fact, rate): (&EndpointFact, RequestRate)| {
        let endpoint = RatedEndpoint { key: key_of(fact), service: &fact.entry.service, rate };
        let per_s = desk.lease(&report.id, endpoint, (serving, now))?;
        let endpoint = EndpointMark::of(&fact.entry.instance, fact.entry.life);
        Some(RateShare { endpoint, per_s: per_s as f32 })
    };
    limited.into_iter().filter_map(share).collect()
}

/// Takes this process's parts of what limited endpoints take; its report was made at `claimed_at`, by the clock of leases.
pub(crate) fn take_rates(node: &FrontNode, rates: &[RateShare], claimed_at: ClockTime) {
    if rates.is_empty() {
        return;
    }
    let now = node.clock.lease_now();
    let by_endpoint: HashMap<_, _> =
        rates.iter().map(|share| (share.endpoint, share.per_s)).collect();
    node.endpoints.borrow_mut().for_each_mut(|fact| {
        let mark = EndpointMark::of(&fact.entry.instance, fact.entry.life);
        if let Some(per_s) = by_endpoint.get(&mark).filter(|_| fact.said.limit.rate.is_some()) {
            fact.said.bucket.renew(f64::from(*per_s), (claimed_at, now));
        }
    });
}

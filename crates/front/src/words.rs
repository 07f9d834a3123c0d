//! Hears what endpoints say of themselves in their answers.

use crate::events::event;
use crate::node::FrontNode;
use oleander_call::{AnswerMark, SaidWord};
use oleander_kind::{ClockTime, RequestRate, ResultCode};
use oleander_place::{EndpointFact, EndpointKey, LimitWord};

/// From whom a word was heard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WordSource {
    /// From the endpoint, in an answer to this process.
    Answer,
}

impl WordSource {
    fn name(self) -> &'static str {
        match self {
            WordSource::Answer => "answer",
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
    let rate = match &mark.limit {
        SaidWord::Said(rate) => Some(*rate),
        SaidWord::Absent if owner == AnswerOwner::Own => None,
        SaidWord::Absent => return,
        SaidWord::Unreadable(text) => return tell_unreadable(node, key, ("limit", text)),
    };
    hear_limit(node, key, (LimitWord { rate, asked_at }, WordSource::Answer));
}

/// Takes a limit, or that there is none.
fn hear_limit(node: &FrontNode, key: EndpointKey, (word, source): (LimitWord, WordSource)) {
    let mut board = node.endpoints.borrow_mut();
    let Some(fact) = board.get_mut(key).filter(|fact| word.replaces(&fact.limit)) else { return };
    let before = std::mem::replace(&mut fact.limit, word);
    if before.rate != word.rate {
        tell_limit(node, fact, (before.rate, source));
    }
}

fn tell_limit(
    node: &FrontNode,
    fact: &EndpointFact,
    (before, source): (Option<RequestRate>, WordSource),
) {
    let per_s = |rate: Option<RequestRate>| rate.map(RequestRate::per_s);
    let LimitWord { rate, asked_at } = fact.limit;
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

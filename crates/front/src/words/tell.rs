//! What processes tell one another of what endpoints said.
//!
//! What this process heard goes to the collector with its reports, and from there to all. A word of which the collector
//! has another, older, version is told again, so that nothing is lost at a change of the collector.

use super::outbox::SaidState;
use super::{WordSource, hear_limit, note_leaving};
use crate::node::FrontNode;
use oleander_kind::{ClockTime, TimeSpan};
use oleander_mesh::EndpointSignals;
use oleander_place::{EndpointFact, RateSignal};
use oleander_suspect::EndpointIncarnation;
use std::collections::HashMap;

/// What this process knows that endpoints said of themselves.
pub(crate) fn known_words(node: &FrontNode) -> Vec<EndpointSignals> {
    let now = node.clock.now();
    let board = node.endpoints.borrow();
    board.speaking().filter_map(|(_, fact)| words_of(fact, now)).collect()
}

fn words_of(fact: &EndpointFact, now: ClockTime) -> Option<EndpointSignals> {
    let RateSignal { rate, asked_at } = fact.declared.limit;
    fact.declared.is_shared().then(|| EndpointSignals {
        instance: fact.entry.instance.clone(),
        life: fact.entry.life,
        limit: rate,
        age: now - asked_at,
        leaves: fact.declared.leaves,
    })
}

/// What it said last, for comparison.
fn said_of(fact: &EndpointFact) -> SaidState {
    SaidState { limit: fact.declared.limit.rate, leaves: fact.declared.leaves }
}

/// Takes what another process tells, `late` after it was written at the most.
pub(crate) fn take_told(node: &FrontNode, told: &[EndpointSignals], late: TimeSpan) {
    let now = node.clock.now();
    for words in told {
        if words.leaves {
            let life = EndpointIncarnation { instance: words.instance.clone(), life: words.life };
            note_leaving(node, &life, WordSource::Told);
        }
        let key = {
            let board = node.endpoints.borrow();
            let key = board.key(&words.instance);
            key.filter(|key| board.get(*key).is_some_and(|fact| fact.entry.life == words.life))
        };
        let word = RateSignal { rate: words.limit, asked_at: now - (words.age + late) };
        if let Some(key) = key {
            hear_limit(node, key, (word, WordSource::Told));
        }
    }
}

/// Takes all that the collector knows, and notes what of it is out of date.
pub(crate) fn take_all(node: &FrontNode, told: &[EndpointSignals], late: TimeSpan) {
    take_told(node, told, late);
    let state = |words: &EndpointSignals| SaidState { limit: words.limit, leaves: words.leaves };
    let told: HashMap<_, _> =
        told.iter().map(|words| ((&words.instance, words.life), state(words))).collect();
    let board = node.endpoints.borrow();
    let mut outbox = node.words.borrow_mut();
    for (key, fact) in board.speaking() {
        if told.get(&(&fact.entry.instance, fact.entry.life)) != Some(&said_of(fact)) {
            outbox.add(key);
        }
    }
}

/// What of it the next report tells.
pub(crate) fn next_told(node: &FrontNode) -> Vec<EndpointSignals> {
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

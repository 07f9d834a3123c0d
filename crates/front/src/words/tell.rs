//! Exchanges endpoint signals between processes.
//!
//! Each process reports the signals it received to the collector, which sends them to all others.
//! Signals of which the collector has another, older version are reported again, so that none is
//! lost when the collector changes.

use super::outbox::SignalState;
use super::{SignalSource, apply_limit, mark_leaving, note_brittle};
use crate::node::FrontNode;
use oleander_kind::{ClockTime, TimeSpan};
use oleander_mesh::EndpointSignals;
use oleander_place::{BrittleSignal, EndpointFact, EndpointKey, RateSignal, RoomWindow};
use oleander_suspect::EndpointIncarnation;
use std::collections::HashMap;

/// The endpoint signals known to this process.
pub(crate) fn known_signals(node: &FrontNode) -> Vec<EndpointSignals> {
    let now = node.clock.now();
    let board = node.endpoints.borrow();
    board.speaking().filter_map(|(_, fact)| signals_of(fact, now)).collect()
}

fn signals_of(fact: &EndpointFact, now: ClockTime) -> Option<EndpointSignals> {
    let RateSignal { rate, asked_at } = fact.declared.limit;
    let (brittle, room) = (fact.declared.brittle, own_room(fact));
    fact.declared.is_shared().then(|| EndpointSignals {
        instance: fact.entry.instance.clone(),
        life: fact.entry.life,
        limit: rate,
        age: now - asked_at,
        leaves: fact.declared.leaves,
        brittle: fact
            .declared
            .has_declared_brittle()
            .then(|| (brittle.refusals, now - brittle.asked_at)),
        room: room.reduced.map(|window| (window, now - room.refused_at)),
    })
}

/// The window after a refusal by the endpoint itself: what is presumed is not told.
fn own_room(fact: &EndpointFact) -> RoomWindow {
    Some(fact.declared.room).filter(|room| !room.is_presumed).unwrap_or_default()
}

/// The latest signals of an endpoint, in a form that can be compared.
fn state_of(fact: &EndpointFact) -> SignalState {
    let declared = &fact.declared;
    SignalState {
        limit: declared.limit.rate,
        leaves: declared.leaves,
        brittle: declared.brittle.refusals.filter(|_| declared.has_declared_brittle()),
        window: own_room(fact).reduced,
    }
}

/// Applies signals from another process, which were written at most `late` ago.
pub(crate) fn apply_peer_signals(node: &FrontNode, signals: &[EndpointSignals], late: TimeSpan) {
    let now = node.clock.now();
    for signal in signals {
        if signal.leaves {
            let life = EndpointIncarnation { instance: signal.instance.clone(), life: signal.life };
            mark_leaving(node, &life, SignalSource::Peer);
        }
        let key = {
            let board = node.endpoints.borrow();
            let key = board.key(&signal.instance);
            key.filter(|key| board.get(*key).is_some_and(|fact| fact.entry.life == signal.life))
        };
        let rate_signal = RateSignal { rate: signal.limit, asked_at: now - (signal.age + late) };
        if let Some(key) = key {
            apply_limit(node, key, (rate_signal, SignalSource::Peer));
            apply_peer_brittle(node, key, signal, late);
        }
    }
}

fn apply_peer_brittle(
    node: &FrontNode,
    key: EndpointKey,
    signal: &EndpointSignals,
    late: TimeSpan,
) {
    let now = node.clock.now();
    if let Some((refusals, age)) = signal.brittle {
        let asked_at = now - (age + late);
        let signal = BrittleSignal { refusals, asked_at, is_presumed: false };
        note_brittle(node, key, (signal, SignalSource::Peer));
    }
    if let Some((window, age)) = signal.room
        && let Some(fact) = node.endpoints.borrow_mut().get_mut(key)
        && fact.is_brittle()
    {
        let refused_at = now - (age + late);
        let told = RoomWindow { reduced: Some(window), refused_at, is_presumed: false };
        fact.declared.room.merge(told);
    }
}

/// Applies the collector's full set of signals, and queues those for which it is out of date.
pub(crate) fn apply_snapshot(node: &FrontNode, signals: &[EndpointSignals], late: TimeSpan) {
    apply_peer_signals(node, signals, late);
    let state = |signal: &EndpointSignals| SignalState {
        limit: signal.limit,
        leaves: signal.leaves,
        brittle: signal.brittle.and_then(|(refusals, _)| refusals),
        window: signal.room.map(|(window, _)| window),
    };
    let signals: HashMap<_, _> =
        signals.iter().map(|signal| ((&signal.instance, signal.life), state(signal))).collect();
    let board = node.endpoints.borrow();
    let mut outbox = node.signals.borrow_mut();
    for (key, fact) in board.speaking() {
        if signals.get(&(&fact.entry.instance, fact.entry.life)) != Some(&state_of(fact)) {
            outbox.add(key);
        }
    }
}

/// The queued signals for the next report.
pub(crate) fn next_reported(node: &FrontNode) -> Vec<EndpointSignals> {
    let now = node.clock.now();
    let board = node.endpoints.borrow();
    let keys = node.signals.borrow_mut().next_reported(|key| board.get(key).map(state_of));
    keys.into_iter().filter_map(|key| signals_of(board.get(key)?, now)).collect()
}

/// Removes the signals that the last report carried from the queue, now that it was answered.
pub(crate) fn confirm_report(node: &FrontNode) {
    let board = node.endpoints.borrow();
    node.signals.borrow_mut().confirm_report(|key| board.get(key).map(state_of));
}

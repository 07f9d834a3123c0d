//! Takes what the collector answers.

use crate::feeds;
use crate::node::FrontNode;
use oleander_kind::TimeSpan;
use oleander_mesh::{EndpointLoad, LifeMark, MeshDigest};
use oleander_place::WorkLoad;
use std::collections::HashMap;

/// Takes a digest; `trip` is how long the exchange took.
pub(super) fn take_digest(node: &FrontNode, digest: MeshDigest, trip: TimeSpan) {
    let now = node.clock.now();
    if let Some(rules) = &digest.rules_text {
        feeds::take_rules(node, rules);
    }
    match &digest.roster_page {
        Some(page) => feeds::take_peer_roster(node, page, Some(digest.roster_state)),
        None => feeds::take_peer_changes(node, &digest.roster_changes, digest.roster_state),
    }
    take_loads(node, &digest.loads);
    let mut limits = node.limits.borrow_mut();
    digest
        .levels
        .iter()
        .for_each(|level| limits.take_news(&level.account, level.news.clone(), now));
    node.usage.borrow_mut().forget(digest.reported_window);
    let mut mesh = node.mesh.borrow_mut();
    mesh.digest_from = Some(digest.from.clone());
    mesh.view.take(digest.from, true, now);
    match digest.members {
        Some(members) => mesh.view.adopt(members, now),
        None => mesh.view.confirm(now),
    }
    mesh.clock.set(digest.true_time, trip, now);
    mesh.digest_at = now;
    mesh.digest_rules = digest.rules;
    mesh.digest_roster = digest.roster;
    if !digest.peaks.is_empty() {
        mesh.peaks = digest.peaks;
    }
    mesh.wants_rules = digest.wants_rules;
    mesh.wants_roster = digest.wants_roster;
    mesh.reported_window = mesh.reported_window.max(digest.reported_window);
    let known = mesh.lease.as_ref().map_or(0, |lease| lease.revision);
    if let Some(lease) = digest.lease.filter(|lease| lease.revision > known) {
        mesh.lease = Some(lease);
    }
}

fn take_loads(node: &FrontNode, loads: &[EndpointLoad]) {
    let by_life: HashMap<_, _> =
        loads.iter().map(|load| ((&load.instance, load.life), load)).collect();
    let work = |load: &&EndpointLoad| WorkLoad {
        requests: load.requests,
        unread_tokens: load.unread_tokens,
    };
    node.endpoints.borrow_mut().for_each_mut(|fact| {
        let life = (&fact.entry.instance, LifeMark::of(fact.entry.life));
        fact.others = by_life.get(&life).map(work).unwrap_or_default();
    });
}

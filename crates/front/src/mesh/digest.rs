//! Applies the digests of the collector.

use crate::era;
use crate::events::event;
use crate::node::FrontNode;
use crate::releases;
use crate::roster;
use crate::rules::{RulesSource, apply_rules, note_peer_version};
use crate::suspects;
use crate::words;
use oleander_kind::{ClockTime, TimeSpan};
use oleander_mesh::{
    AccountAllotment, EndpointHash, EndpointVerdict, IncarnationTag, LoadUpdate, MemberInfo,
    MeshDigest, ServicePace,
};
use oleander_place::WorkLoad;
use std::collections::HashMap;

/// Applies a digest. `round_trip` is how long the exchange took, `claimed_at` when its report was
/// made.
pub(super) fn apply_digest(
    node: &FrontNode,
    digest: MeshDigest,
    (round_trip, claimed_at): (TimeSpan, ClockTime),
) {
    let now = node.clock.now();
    if let Some(rules) = &digest.rules_text {
        apply_rules(node, rules, RulesSource::Peer);
    }
    if digest.from.id != node.settings.instance {
        note_peer_version(node, digest.rules.version, digest.from.id.as_str());
        node.rules.borrow_mut().merge_freshness(&digest.rules, round_trip, now);
        let source = (&digest.roster, round_trip);
        roster::apply_peer_update(node, &digest.roster_update, source, Some(digest.roster_version));
    }
    node.releases.borrow_mut().book.apply_news(&digest.releases, round_trip, now);
    releases::refresh(node);
    apply_loads(node, &digest.loads);
    apply_verdicts(node, &digest.verdicts);
    if let Some(notes) = &digest.suspects {
        suspects::apply_notes(node, notes);
    }
    if let Some(signals) = &digest.words {
        words::apply_snapshot(node, signals, round_trip);
    }
    words::apply_rate_shares(node, digest.rates.as_deref(), claimed_at);
    apply_allotments(node, digest.allotments, claimed_at);
    node.usage.borrow_mut().forget(digest.reported_window);
    let mut mesh = node.mesh.borrow_mut();
    let collector = |member: &MemberInfo| (member.id.clone(), member.life);
    if mesh.digest_from.as_ref().map(collector) != Some(collector(&digest.from)) {
        node.suspects.borrow_mut().resend_all();
    }
    mesh.digest_from = Some(digest.from.clone());
    mesh.view.take(digest.from, true, now);
    match digest.members {
        Some(members) => mesh.view.apply_members(members, now),
        None => mesh.view.refresh_members(now),
    }
    mesh.clock.set(digest.true_time, round_trip, now);
    mesh.digest_at = now;
    if !digest.peaks.is_empty() {
        mesh.peaks = digest.peaks;
    }
    if !digest.paces.is_empty() {
        log_paces(node, &mesh.paces, &digest.paces);
        mesh.paces = digest.paces;
    }
    mesh.wants_rules = digest.wants_rules;
    mesh.wants_roster = digest.wants_roster.then_some(digest.roster);
    mesh.reported_window = mesh.reported_window.max(digest.reported_window);
    let known = mesh.lease.as_ref().map_or(0, |lease| lease.revision);
    if let Some(lease) = digest.lease.filter(|lease| lease.revision > known) {
        era::note_peer_revision(node, lease.revision);
        mesh.lease = Some(lease);
    }
}

fn apply_allotments(node: &FrontNode, allotments: Vec<AccountAllotment>, claimed_at: ClockTime) {
    let times = (claimed_at, node.clock.lease_now());
    let mut limits = node.limits.borrow_mut();
    allotments.into_iter().for_each(|entry| limits.take(&entry.account, entry.allotment, times));
}

/// Logs prefill speeds that differ from the known ones by more than a tenth.
fn log_paces(node: &FrontNode, known: &[ServicePace], news: &[ServicePace]) {
    /// Smallest relative change that is logged.
    const MIN_LOGGED_CHANGE: f32 = 0.1;
    let known_of = |pace: &ServicePace| known.iter().find(|known| known.service == pace.service);
    let changed = |pace: &&ServicePace| {
        let near = |known: &ServicePace| (pace.read.per_ms / known.read.per_ms - 1.0).abs();
        known_of(pace).is_none_or(|known| near(known) > MIN_LOGGED_CHANGE)
    };
    for pace in news.iter().filter(changed) {
        event!(node, EnginesPaced;
            "service" => pace.service.as_str(), "per_ms" => pace.read.per_ms,
            "seen" => pace.read.seen);
    }
}

fn apply_loads(node: &FrontNode, news: &LoadUpdate) {
    let by_endpoint: HashMap<_, _> = news.loads.iter().map(|load| (load.endpoint, load)).collect();
    let means: HashMap<_, _> = news.means.iter().map(|mean| (&mean.service, mean)).collect();
    let work = |requests, unread_tokens| WorkLoad { requests, unread_tokens };
    node.endpoints.borrow_mut().for_each_mut(|fact| {
        let load = by_endpoint.get(&EndpointHash::of(&fact.entry.instance, fact.entry.life));
        let mean = means.get(&fact.entry.service);
        fact.has_load_reports = load.is_some() || means.is_empty();
        fact.others = match (load, mean) {
            (Some(load), _) => work(load.requests, load.unread_tokens),
            (None, Some(mean)) => work(mean.requests, mean.unread_tokens),
            (None, None) => WorkLoad::default(),
        };
    });
}

fn apply_verdicts(node: &FrontNode, verdicts: &[EndpointVerdict]) {
    /// How long a verdict applies without being repeated: as long as a change of the collector
    /// takes.
    const VERDICT_LIFETIME: TimeSpan = TimeSpan(3000);
    let until = node.clock.now() + VERDICT_LIFETIME;
    let by_life: HashMap<_, _> = verdicts
        .iter()
        .map(|verdict| ((&verdict.instance, verdict.life), verdict.bad_trait))
        .collect();
    node.endpoints.borrow_mut().for_each_mut(|fact| {
        let life = (&fact.entry.instance, IncarnationTag::of(fact.entry.life));
        fact.aside = by_life.get(&life).map(|bad_trait| (*bad_trait, until));
    });
}

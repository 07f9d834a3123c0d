//! The parts of what limited endpoints take: handed out while this process collects, and taken from the collector.

use super::known_words;
use crate::node::FrontNode;
use oleander_kind::{ClockTime, InstanceId, RequestRate};
use oleander_limit::pool::ALLOTMENT_LIFETIME;
use oleander_limit::{LimitedEndpoint, RateKey, own_share};
use oleander_mesh::{
    EndpointHash, MeshCollector, MeshDigest, MeshView, NodeReport, RateShare, signals_hash,
};
use oleander_place::EndpointFact;
use std::collections::{BTreeSet, HashMap};

/// Adds to the collector's answer what endpoints said, if the reporter knows other than that, and its parts of what limited
/// ones take.
pub(crate) fn answer_words(
    node: &FrontNode,
    (report, view): (&ReporterStand, &MeshView),
    collector: &mut MeshCollector,
    digest: &mut MeshDigest,
) {
    let words = known_words(node);
    if signals_hash(&words) != report.signals_hash {
        digest.words = Some(words);
    }
    if !report.is_late && collector.rates().grants_leases(node.clock.now()) {
        digest.rates = Some(rate_shares(node, (report, view.serving()), collector));
    }
}

/// What an answer about words goes by.
pub(crate) struct ReporterStand {
    id: InstanceId,
    signals_hash: u64,
    is_late: bool,
}

impl ReporterStand {
    /// That of a report; one of a turn before `oldest_term` was sent long ago.
    pub(crate) fn of(report: &NodeReport, oldest_term: u64) -> Self {
        ReporterStand {
            id: report.member.id.clone(),
            signals_hash: report.signals_hash,
            is_late: report.term < oldest_term,
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
    let limited = board.speaking().filter_map(|(_, fact)| Some((fact, fact.declared.limit.rate?)));
    let limited: Vec<_> = limited.filter(|(fact, _)| fact.takes_work()).collect();
    let key_of = |fact: &EndpointFact| RateKey::of(&fact.entry.instance, fact.entry.life);
    let keys: BTreeSet<RateKey> = limited.iter().map(|(fact, _)| key_of(fact)).collect();
    let desk = collector.rates();
    desk.keep(|key| keys.contains(&key));
    let part = desk.part(serving, now);
    let share = |(fact, rate): (&EndpointFact, RequestRate)| {
        let endpoint = LimitedEndpoint { key: key_of(fact), service: &fact.entry.service, rate };
        let per_s = desk.lease(&report.id, endpoint, (part, now))?;
        let endpoint = EndpointHash::of(&fact.entry.instance, fact.entry.life);
        Some(RateShare { endpoint, per_s: per_s as f32 })
    };
    limited.into_iter().filter_map(share).collect()
}

/// Takes this process's parts of what limited endpoints take; its report was made at `claimed_at`, by the clock of leases.
pub(crate) fn take_rates(node: &FrontNode, rates: Option<&[RateShare]>, claimed_at: ClockTime) {
    let Some(rates) = rates else { return };
    node.rates_at.set(claimed_at);
    let by_endpoint: HashMap<_, _> =
        rates.iter().map(|share| (share.endpoint, share.per_s)).collect();
    let part = |fact: &EndpointFact| {
        let mark = EndpointHash::of(&fact.entry.instance, fact.entry.life);
        by_endpoint.get(&mark).map(|per_s| f64::from(*per_s))
    };
    renew_parts(node, part, claimed_at);
}

/// Goes by this process's own parts of high limits while no collector hands them out: with leases alone, callers of a service
/// whose endpoints all named one would be refused for two seconds after each loss of the collector.
pub(crate) fn take_own_parts(node: &FrontNode) {
    let now = node.clock.lease_now();
    if now - node.rates_at.get() < ALLOTMENT_LIFETIME {
        return;
    }
    let processes = node.process_count();
    renew_parts(node, |fact| own_share(fact.declared.limit.rate?, processes), now);
}

fn renew_parts(node: &FrontNode, part: impl Fn(&EndpointFact) -> Option<f64>, asked_at: ClockTime) {
    let now = node.clock.lease_now();
    let mut board = node.endpoints.borrow_mut();
    let limited = board.speaking().filter(|(_, fact)| fact.declared.limit.rate.is_some());
    let parts: Vec<_> = limited.filter_map(|(key, fact)| Some((key, part(fact)?))).collect();
    for (key, per_s) in parts {
        if let Some(fact) = board.get_mut(key) {
            fact.declared.bucket.renew(per_s, (asked_at, now));
        }
    }
}

//! Shares of the request rates of limited endpoints: leased out while this process is the
//! collector, and received from the collector otherwise.

use super::known_signals;
use crate::node::FrontNode;
use oleander_kind::{ClockTime, InstanceId, RequestRate};
use oleander_limit::pool::ALLOTMENT_LIFETIME;
use oleander_limit::{LimitedEndpoint, RateKey, own_share};
use oleander_mesh::{
    EndpointHash, MeshCollector, MeshDigest, MeshView, NodeReport, RateShare, signals_hash,
};
use oleander_place::EndpointFact;
use std::collections::{BTreeSet, HashMap};

/// Adds endpoint signals to the collector's digest if the reporter's fingerprint of them differs,
/// and the reporter's shares of the limited rates.
pub(crate) fn add_endpoint_signals(
    node: &FrontNode,
    (report, view): (&ReporterState, &MeshView),
    collector: &mut MeshCollector,
    digest: &mut MeshDigest,
) {
    let signals = known_signals(node);
    if signals_hash(&signals) != report.signals_hash {
        digest.words = Some(signals);
    }
    if !report.is_late && collector.rates().grants_leases(node.clock.now()) {
        digest.rates = Some(lease_rate_shares(node, (report, view.serving()), collector));
    }
}

/// What [`add_endpoint_signals`] needs to know of a report.
pub(crate) struct ReporterState {
    id: InstanceId,
    signals_hash: u64,
    is_late: bool,
}

impl ReporterState {
    /// The state in a report. A report of a term before `oldest_term` is late: it
    /// was sent long ago.
    pub(crate) fn of(report: &NodeReport, oldest_term: u64) -> Self {
        ReporterState {
            id: report.member.id.clone(),
            signals_hash: report.signals_hash,
            is_late: report.term < oldest_term,
        }
    }
}

fn lease_rate_shares(
    node: &FrontNode,
    (report, serving): (&ReporterState, u32),
    collector: &mut MeshCollector,
) -> Vec<RateShare> {
    let now = node.clock.now();
    let board = node.endpoints.borrow();
    let limited = board.speaking().filter_map(|(_, fact)| Some((fact, fact.declared.limit.rate?)));
    let limited: Vec<_> = limited.filter(|(fact, _)| fact.takes_work()).collect();
    let key_of = |fact: &EndpointFact| RateKey::of(&fact.entry.instance, fact.entry.life);
    let keys: BTreeSet<RateKey> = limited.iter().map(|(fact, _)| key_of(fact)).collect();
    let rate_leases = collector.rates();
    rate_leases.keep(|key| keys.contains(&key));
    let part = rate_leases.part(serving, now);
    let share = |(fact, rate): (&EndpointFact, RequestRate)| {
        let endpoint = LimitedEndpoint { key: key_of(fact), service: &fact.entry.service, rate };
        let per_s = rate_leases.lease(&report.id, endpoint, (part, now))?;
        let endpoint = EndpointHash::of(&fact.entry.instance, fact.entry.life);
        Some(RateShare { endpoint, per_s: per_s as f32 })
    };
    limited.into_iter().filter_map(share).collect()
}

/// Applies this process's shares of the limited rates. Its report was made at `claimed_at` by the
/// lease clock.
pub(crate) fn apply_rate_shares(
    node: &FrontNode,
    rates: Option<&[RateShare]>,
    claimed_at: ClockTime,
) {
    let Some(rates) = rates else { return };
    node.rate_shares_at.set(claimed_at);
    let by_endpoint: HashMap<_, _> =
        rates.iter().map(|share| (share.endpoint, share.per_s)).collect();
    let part = |fact: &EndpointFact| {
        let mark = EndpointHash::of(&fact.entry.instance, fact.entry.life);
        by_endpoint.get(&mark).map(|per_s| f64::from(*per_s))
    };
    renew_buckets(node, part, claimed_at);
}

/// Gives this process an even share of each high limit while no collector leases the rates out. With leases
/// alone, callers of a service whose endpoints all set a limit would be refused for two seconds
/// after each loss of the collector.
pub(crate) fn apply_local_shares(node: &FrontNode) {
    let now = node.clock.lease_now();
    if now - node.rate_shares_at.get() < ALLOTMENT_LIFETIME {
        return;
    }
    let processes = node.process_count();
    renew_buckets(node, |fact| own_share(fact.declared.limit.rate?, processes), now);
}

fn renew_buckets(
    node: &FrontNode,
    part: impl Fn(&EndpointFact) -> Option<f64>,
    asked_at: ClockTime,
) {
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

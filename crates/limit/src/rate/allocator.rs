//! Allocates leases on the request rates of endpoints, at the collector.

use super::bucket::BURST_TIME;
use crate::pool::{ALLOTMENT_LIFETIME, ANSWER_TIMEOUT};
use oleander_kind::hash::{mix_bits, rendezvous_weight};
use oleander_kind::{ClockTime, InstanceId, RequestRate, ServiceName, TimeSpan};
use std::collections::BTreeMap;

/// The time from a process's first report until it counts as a member: until then a collector that
/// it reported to before may still count it and grant leases accordingly.
const MEMBERSHIP_DELAY: TimeSpan = TimeSpan(2 * ALLOTMENT_LIFETIME.0);
/// No lease is granted for this long after the first report: holders are selected once all
/// processes count, since every process that holds a lease even briefly may send a request.
const STARTUP_DELAY: TimeSpan = TimeSpan(MEMBERSHIP_DELAY.0 + ANSWER_TIMEOUT.0);
/// A process gets leases for this long after it last received a request for the endpoint's service:
/// a rate leased to a process without demand is wasted.
const DEMAND_LIFETIME: TimeSpan = TimeSpan(3000);
/// The time between two selections of an endpoint's lease holders.
const SELECTION_PERIOD: TimeSpan = TimeSpan(250);
/// Lease holders of a rate near 0. The second one keeps the endpoint in use while the first has no
/// requests for it.
const MIN_HOLDERS: f64 = 2.0;
/// Additional lease holders for each request a second: few, since each may accumulate one request.
const HOLDERS_PER_RATE: f64 = 0.4;
/// The window over which operators count an endpoint's requests.
const RATE_WINDOW: TimeSpan = TimeSpan(4000);
/// Requests by which the rate may be exceeded in that window through what holders accumulated.
const MAX_OVERRUN: f64 = 2.0;
/// The smallest lease that is granted, in requests a second.
const MIN_LEASE_RATE: f64 = 0.01;

/// Identifies one incarnation of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RateKey(u64);

impl RateKey {
    /// The key of the incarnation of `instance` that began at `incarnation`, in Unix milliseconds.
    pub fn of(instance: &InstanceId, incarnation: u64) -> Self {
        RateKey(mix_bits(instance.stable_hash() ^ mix_bits(incarnation)))
    }
}

/// An endpoint that set a limit for itself.
#[derive(Clone, Copy, Debug)]
pub struct LimitedEndpoint<'a> {
    /// The key of its current incarnation.
    pub key: RateKey,
    /// The service it belongs to.
    pub service: &'a ServiceName,
    /// The request rate it accepts.
    pub rate: RequestRate,
}

#[derive(Debug)]
struct RateMember {
    since: ClockTime,
    heard_at: ClockTime,
    /// When it last received requests for each service.
    asked: BTreeMap<ServiceName, ClockTime>,
}

#[derive(Debug)]
struct GrantedLease {
    member: InstanceId,
    per_s: f64,
    ends_at: ClockTime,
}

#[derive(Debug, Default)]
struct GrantedRate {
    holders: Vec<InstanceId>,
    chosen_at: Option<ClockTime>,
    leases: Vec<GrantedLease>,
}

impl GrantedRate {
    /// The rate that processes other than `member` may be using under unexpired leases. A holder
    /// that did not receive its latest lease still uses the one before, so the larger of the two
    /// counts.
    fn held_by_others(&self, member: &InstanceId) -> f64 {
        let mut held: BTreeMap<&InstanceId, f64> = BTreeMap::new();
        for lease in self.leases.iter().filter(|lease| lease.member != *member) {
            let most = held.entry(&lease.member).or_default();
            *most = most.max(lease.per_s);
        }
        held.values().sum()
    }
}

/// Allocates the request rates of all limited endpoints; kept by the collector.
#[derive(Debug, Default)]
pub struct RateAllocator {
    began_at: Option<ClockTime>,
    members: BTreeMap<InstanceId, RateMember>,
    rates: BTreeMap<RateKey, GrantedRate>,
}

impl RateAllocator {
    /// Records a report of a process that received requests for the services in `asked` since its
    /// last report.
    pub fn note_member<'a>(
        &mut self,
        id: &InstanceId,
        asked: impl Iterator<Item = &'a ServiceName>,
        now: ClockTime,
    ) {
        self.began_at.get_or_insert(now);
        self.members.retain(|_, member| now - member.heard_at < ALLOTMENT_LIFETIME);
        let member = self.members.entry(id.clone()).or_insert_with(|| RateMember {
            since: now,
            heard_at: now,
            asked: BTreeMap::new(),
        });
        member.heard_at = now;
        asked.for_each(|service| {
            member.asked.insert(service.clone(), now);
        });
    }

    /// Whether enough time has passed since the first report to grant leases.
    pub fn grants_leases(&self, now: ClockTime) -> bool {
        self.began_at.is_some_and(|at| now >= at + STARTUP_DELAY)
    }

    /// Drops endpoints that no longer set a limit; `has_limit` tells which still do.
    pub fn keep(&mut self, has_limit: impl Fn(RateKey) -> bool) {
        self.rates.retain(|key, _| has_limit(*key));
    }

    /// The part of each rate that is allocated here, in 0 to 1, out of `serving` processes that
    /// share it: in a network partition each side allocates what belongs to its own processes.
    pub fn part(&self, serving: u32, now: ClockTime) -> f64 {
        let counted = self.members.values().filter(|member| counts(member, now)).count();
        (counted as f64 / f64::from(serving.max(1))).min(1.0)
    }

    /// Grants `member` a lease on the rate of `endpoint` that begins now, and returns its requests
    /// a second. `part` is the part of the rate that is allocated here. Returns `None` if the
    /// member gets no lease.
    pub fn lease(
        &mut self,
        member: &InstanceId,
        endpoint: LimitedEndpoint<'_>,
        (part, now): (f64, ClockTime),
    ) -> Option<f64> {
        if !self.grants_leases(now) {
            return None;
        }
        let rate = endpoint.rate.per_s() * part;
        let is_due =
            |granted: &GrantedRate| granted.chosen_at.is_none_or(|at| now - at >= SELECTION_PERIOD);
        if self.rates.get(&endpoint.key).is_none_or(is_due) {
            let holders = self.choose(endpoint, (rate, now));
            let granted = self.rates.entry(endpoint.key).or_default();
            granted.holders = holders;
            granted.chosen_at = Some(now);
        }
        let granted = self.rates.get_mut(&endpoint.key)?;
        granted.leases.retain(|lease| lease.ends_at > now);
        if !granted.holders.contains(member) {
            return None;
        }
        let count = granted.holders.len() as f64;
        let per_s = (shared_rate(rate, count) / count).min(rate - granted.held_by_others(member));
        if per_s < MIN_LEASE_RATE {
            return None;
        }
        let ends_at = now + ALLOTMENT_LIFETIME;
        granted.leases.push(GrantedLease { member: member.clone(), per_s, ends_at });
        Some(per_s)
    }

    /// Selects the processes that share `rate`: the same ones as long as the members stay the same,
    /// and different ones for each endpoint.
    fn choose(
        &self,
        endpoint: LimitedEndpoint<'_>,
        (rate, now): (f64, ClockTime),
    ) -> Vec<InstanceId> {
        let is_asked = |member: &RateMember| {
            member.asked.get(endpoint.service).is_some_and(|at| now - *at < DEMAND_LIFETIME)
        };
        let counted = || self.members.iter().filter(|(_, member)| counts(member, now));
        let asked = counted().filter(|(_, member)| is_asked(member));
        let mut ranked: Vec<_> = asked.map(|(id, _)| id).collect();
        if ranked.is_empty() {
            ranked = counted().map(|(id, _)| id).collect();
        }
        let weight = |id: &&InstanceId| rendezvous_weight(endpoint.key.0, id.stable_hash());
        ranked.sort_by_cached_key(|id| std::cmp::Reverse(weight(id)));
        ranked.truncate((MIN_HOLDERS + HOLDERS_PER_RATE * rate) as usize);
        ranked.into_iter().cloned().collect()
    }
}

fn counts(member: &RateMember, now: ClockTime) -> bool {
    now - member.heard_at < ALLOTMENT_LIFETIME && now >= member.since + MEMBERSHIP_DELAY
}

/// The total rate that `holders` processes may be granted, in requests a second, so that what each
/// may accumulate exceeds `rate` by no more than [`MAX_OVERRUN`] over [`RATE_WINDOW`].
fn shared_rate(rate: f64, holders: f64) -> f64 {
    let seconds = |span: TimeSpan| span.0 as f64 / 1000.0;
    let most = rate * seconds(RATE_WINDOW) + MAX_OVERRUN - holders;
    (most / seconds(RATE_WINDOW + BURST_TIME)).clamp(0.0, rate)
}

/// The rate at which each of `processes` may send to an endpoint without a lease while no collector
/// allocates its `rate`, in requests a second. `None` if that is less than one: what each process
/// may have accumulated would exceed the rate.
pub fn own_share(rate: RequestRate, processes: u32) -> Option<f64> {
    let part = rate.per_s() / f64::from(processes.max(1));
    (part >= 1.0).then_some(part)
}

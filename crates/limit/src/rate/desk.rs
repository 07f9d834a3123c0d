//! The side that hands out leases.

use super::bucket::SAVED_TIME;
use crate::pool::{ALLOT_TIME, ANSWER_TIME};
use oleander_kind::hash::{mix_bits, rendezvous_weight};
use oleander_kind::{ClockTime, InstanceId, RequestRate, ServiceName, TimeSpan};
use std::collections::BTreeMap;

/// A process counts here from this long after its first report: until then a collector that it reported to before may
/// count it, and hand out leases by that.
const SETTLE_TIME: TimeSpan = TimeSpan(2 * ALLOT_TIME.0);
/// Nothing is handed out for this long after the first report: holders are chosen once all processes count, as each that
/// holds a lease for a moment only may send a request.
const BEGIN_TIME: TimeSpan = TimeSpan(SETTLE_TIME.0 + ANSWER_TIME.0);
/// A process gets leases for this long after it was last asked for the endpoint's service: a rate that is held where
/// nobody asks is lost.
const ASKED_LASTS: TimeSpan = TimeSpan(3000);
/// Between two choices of an endpoint's holders.
const CHOICE_PERIOD: TimeSpan = TimeSpan(250);
/// Holders of a rate near 0. A second one keeps the endpoint asked while the first finds no use for it.
const LEAST_HOLDERS: f64 = 2.0;
/// Further holders for each request a second: few, as each may save up one request.
const HOLDERS_PER_RATE: f64 = 0.4;
/// The operators count an endpoint's requests over this time.
const COUNTED_TIME: TimeSpan = TimeSpan(4000);
/// Requests by which its rate may be passed in that time by what holders saved up.
const SAVED_MOST: f64 = 2.0;
/// A lease of less, in requests a second, is not worth telling.
const LEAST_LEASE: f64 = 0.01;

/// Names a life of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct RateKey(u64);

impl RateKey {
    /// The key of the life of `instance` that began at `life`, in Unix milliseconds.
    pub fn of(instance: &InstanceId, life: u64) -> Self {
        RateKey(mix_bits(instance.stable_hash() ^ mix_bits(life)))
    }
}

/// An endpoint that named a limit.
#[derive(Clone, Copy, Debug)]
pub struct RatedEndpoint<'a> {
    /// Which one.
    pub key: RateKey,
    /// Its service.
    pub service: &'a ServiceName,
    /// What it takes.
    pub rate: RequestRate,
}

#[derive(Debug)]
struct DeskMember {
    since: ClockTime,
    heard_at: ClockTime,
    asked: BTreeMap<ServiceName, ClockTime>,
}

#[derive(Debug)]
struct HandedLease {
    member: InstanceId,
    per_s: f64,
    ends_at: ClockTime,
}

#[derive(Debug, Default)]
struct HandedRate {
    holders: Vec<InstanceId>,
    chosen_at: Option<ClockTime>,
    leases: Vec<HandedLease>,
}

impl HandedRate {
    /// What other processes than `member` may be sending by leases that have not ended. A holder that did not hear of its last
    /// lease goes by the one before, so the larger one counts.
    fn held_by_others(&self, member: &InstanceId) -> f64 {
        let mut held: BTreeMap<&InstanceId, f64> = BTreeMap::new();
        for lease in self.leases.iter().filter(|lease| lease.member != *member) {
            let most = held.entry(&lease.member).or_default();
            *most = most.max(lease.per_s);
        }
        held.values().sum()
    }
}

/// The rates of endpoints, at the process that collects.
#[derive(Debug, Default)]
pub struct RateDesk {
    began_at: Option<ClockTime>,
    members: BTreeMap<InstanceId, DeskMember>,
    rates: BTreeMap<RateKey, HandedRate>,
}

impl RateDesk {
    /// Notes that a process reports which was `asked` for these services since its last report.
    pub fn note_member<'a>(
        &mut self,
        id: &InstanceId,
        asked: impl Iterator<Item = &'a ServiceName>,
        now: ClockTime,
    ) {
        self.began_at.get_or_insert(now);
        self.members.retain(|_, member| now - member.heard_at < ALLOT_TIME);
        let member = self.members.entry(id.clone()).or_insert_with(|| DeskMember {
            since: now,
            heard_at: now,
            asked: BTreeMap::new(),
        });
        member.heard_at = now;
        asked.for_each(|service| {
            member.asked.insert(service.clone(), now);
        });
    }

    /// Whether it hands rates out yet.
    pub fn hands_out(&self, now: ClockTime) -> bool {
        self.began_at.is_some_and(|at| now >= at + BEGIN_TIME)
    }

    /// Forgets endpoints that name no limit any more; `named` says which do.
    pub fn keep(&mut self, named: impl Fn(RateKey) -> bool) {
        self.rates.retain(|key, _| named(*key));
    }

    /// The part of each rate that is handed out here, in 0 to 1, of `serving` processes that share it: in a cut each side hands
    /// out what belongs to its own processes.
    pub fn part(&self, serving: u32, now: ClockTime) -> f64 {
        let counted = self.members.values().filter(|member| counts(member, now)).count();
        (counted as f64 / f64::from(serving.max(1))).min(1.0)
    }

    /// What `member` may send to `endpoint` by a lease that begins now, in requests a second, if so large a `part` of its rate is
    /// handed out here; none if it gets no lease.
    pub fn lease(
        &mut self,
        member: &InstanceId,
        endpoint: RatedEndpoint<'_>,
        (part, now): (f64, ClockTime),
    ) -> Option<f64> {
        if !self.hands_out(now) {
            return None;
        }
        let rate = endpoint.rate.per_s() * part;
        let is_due =
            |handed: &HandedRate| handed.chosen_at.is_none_or(|at| now - at >= CHOICE_PERIOD);
        if self.rates.get(&endpoint.key).is_none_or(is_due) {
            let holders = self.choose(endpoint, (rate, now));
            let handed = self.rates.entry(endpoint.key).or_default();
            handed.holders = holders;
            handed.chosen_at = Some(now);
        }
        let handed = self.rates.get_mut(&endpoint.key)?;
        handed.leases.retain(|lease| lease.ends_at > now);
        if !handed.holders.contains(member) {
            return None;
        }
        let count = handed.holders.len() as f64;
        let per_s = (shared_rate(rate, count) / count).min(rate - handed.held_by_others(member));
        if per_s < LEAST_LEASE {
            return None;
        }
        let ends_at = now + ALLOT_TIME;
        handed.leases.push(HandedLease { member: member.clone(), per_s, ends_at });
        Some(per_s)
    }

    /// The processes that are to share `rate`: the same ones as long as the members stay, and others for each endpoint.
    fn choose(
        &self,
        endpoint: RatedEndpoint<'_>,
        (rate, now): (f64, ClockTime),
    ) -> Vec<InstanceId> {
        let is_asked = |member: &DeskMember| {
            member.asked.get(endpoint.service).is_some_and(|at| now - *at < ASKED_LASTS)
        };
        let counted = || self.members.iter().filter(|(_, member)| counts(member, now));
        let asked = counted().filter(|(_, member)| is_asked(member));
        let mut ranked: Vec<_> = asked.map(|(id, _)| id).collect();
        if ranked.is_empty() {
            ranked = counted().map(|(id, _)| id).collect();
        }
        let weight = |id: &&InstanceId| rendezvous_weight(endpoint.key.0, id.stable_hash());
        ranked.sort_by_cached_key(|id| std::cmp::Reverse(weight(id)));
        ranked.truncate((LEAST_HOLDERS + HOLDERS_PER_RATE * rate) as usize);
        ranked.into_iter().cloned().collect()
    }
}

fn counts(member: &DeskMember, now: ClockTime) -> bool {
    now - member.heard_at < ALLOT_TIME && now >= member.since + SETTLE_TIME
}

/// What `holders` may send together, in requests a second, so that what each may save up passes `rate` by no more than
/// [`SAVED_MOST`] over [`COUNTED_TIME`].
fn shared_rate(rate: f64, holders: f64) -> f64 {
    let seconds = |span: TimeSpan| span.0 as f64 / 1000.0;
    let most = rate * seconds(COUNTED_TIME) + SAVED_MOST - holders;
    (most / seconds(COUNTED_TIME + SAVED_TIME)).clamp(0.0, rate)
}

/// What each of `processes` may send to an endpoint without a lease while nobody hands out its `rate`, in requests a second;
/// none if that is less than one: what each may have saved up would pass the rate.
pub fn own_part(rate: RequestRate, processes: u32) -> Option<f64> {
    let part = rate.per_s() / f64::from(processes.max(1));
    (part >= 1.0).then_some(part)
}

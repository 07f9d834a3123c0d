//! Plans how many endpoints a service needs, in which failure domains, and in which market.
//!
//! Reclaimable endpoints cost a fraction, but all of a failure domain may be reclaimed at once,
//! with seconds of notice. The plan therefore spreads them with spare capacity for the loss of one
//! domain, and orders on-demand endpoints only for what is missing while reclaimable ones are
//! unavailable.

use oleander_call::{EngineRule, ScaleRule};
use oleander_kind::endpoint::InstanceMarket;
use oleander_kind::{ClockTime, DomainName, RequestRate, ServiceName, TimeSpan};
use oleander_plat::ScaleOrder;
use std::collections::BTreeMap;

/// The time of an engine's step without its streams.
const STEP_MS: f64 = 3.27;
/// The time that each stream adds to a step.
const STREAM_STEP_MS: f64 = 0.0823;
/// The target utilization of an engine. Prompts arrive in clusters and vary widely in size; above
/// about this utilization the wait for the first token exceeds the objective.
const TARGET_UTILIZATION: f64 = 0.65;
/// The part of an engine's slots that should be in use.
const TARGET_SLOT_USE: f64 = 0.7;
/// The factor of reclaimable endpoints over those needed: the loss of one of three domains leaves a
/// third more than needed. Reclaimable endpoints cost a fraction of on-demand ones, and an
/// on-demand one that is ordered at the loss takes seconds to start.
const RECLAIMABLE_FACTOR: f64 = 2.0;
/// The same factor while the demand is unknown, over the number of endpoints at the start: the loss
/// of one of three domains leaves that number.
const UNKNOWN_NEED_FACTOR: f64 = 1.5;
/// Reclaimable endpoints in addition to [`RECLAIMABLE_FACTOR`] times the need, for rises of demand
/// that are faster than a start.
const RECLAIMABLE_EXTRA: u32 = 1;
/// How long the highest need counts. Reclaimable endpoints are so cheap that following each wave of
/// demand down and up costs more in late answers than it saves.
const PEAK_TIME: TimeSpan = TimeSpan(15_000);
/// How long the highest need counts for on-demand endpoints, which cost several times as much: the
/// time of one start and a cluster of requests.
const RECENT_PEAK_TIME: TimeSpan = TimeSpan(5000);
/// The backoff before a domain that refused an order is asked again.
const REFUSAL_BACKOFF: TimeSpan = TimeSpan(2500);
/// Domains whose reclaimable endpoints are lost within this time belong to one wave of reclaims.
/// Two domains lost 0.6 s apart were followed by the two others 6 s later.
const WAVE_TIME: TimeSpan = TimeSpan(3000);
/// The time beyond the usual start after which an ordered endpoint that does not serve is ordered
/// again.
const START_MARGIN: TimeSpan = TimeSpan(2500);

/// Numbers of endpoints by market.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MarketCount {
    /// Reclaimable endpoints.
    pub reclaimable: u32,
    /// On-demand endpoints.
    pub on_demand: u32,
}

impl MarketCount {
    /// The number of endpoints of a market.
    pub fn of(self, market: InstanceMarket) -> u32 {
        match market {
            InstanceMarket::Reclaimable => self.reclaimable,
            InstanceMarket::OnDemand => self.on_demand,
        }
    }
}

/// The state of a service in a failure domain.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainStatus {
    /// The failure domain.
    pub domain: DomainName,
    /// The price of a second on demand.
    pub price: f64,
    /// Endpoints that take work.
    pub live: MarketCount,
}

/// The endpoints that a service needs, with the peak of recent seconds.
#[derive(Clone, Debug, Default)]
pub struct PeakNeed {
    samples: Vec<(ClockTime, f64)>,
}

impl PeakNeed {
    /// The highest need within the time that counts for on-demand endpoints.
    pub fn recent_peak(&self, now: ClockTime) -> f64 {
        let recent = self.samples.iter().filter(|(at, _)| now - *at < RECENT_PEAK_TIME);
        recent.map(|(_, value)| *value).fold(0.0, f64::max)
    }

    /// Records the current need, in endpoints.
    pub fn note(&mut self, needed: f64, now: ClockTime) {
        self.samples.retain(|(at, value)| now - *at < PEAK_TIME && *value > needed);
        self.samples.push((now, needed));
    }

    /// The highest need within the time that counts for reclaimable endpoints.
    pub fn peak(&self) -> f64 {
        self.samples.iter().map(|(_, value)| *value).fold(0.0, f64::max)
    }
}

/// The number of engines that the demand keeps at the target utilization, if each reads
/// `read_per_ms` prompt tokens a millisecond.
pub fn needed_engines(
    engine: &EngineRule,
    read_per_ms: f64,
    (unread_tokens_per_s, answer_tokens_per_s): (f64, f64),
    running: u32,
) -> f64 {
    let reading = unread_tokens_per_s / (read_per_ms * 1000.0);
    let work = reading + answer_tokens_per_s * token_ms(engine.slots) / 1000.0;
    let slots = f64::from(engine.slots.max(1)) * TARGET_SLOT_USE;
    (work / TARGET_UTILIZATION).max(f64::from(running) / slots)
}

/// The capacity lost to rate limits, in engines: an engine with one of these `limits` counts as the
/// part that it accepts of its usual rate, where `requests_per_s` need `needed` engines.
pub fn engines_lost_to_limits(
    limits: impl Iterator<Item = RequestRate>,
    requests_per_s: f64,
    needed: f64,
) -> f64 {
    let usual = requests_per_s / needed.max(1.0);
    if usual <= 0.0 {
        return 0.0;
    }
    limits.map(|limit| 1.0 - (limit.per_s() / usual).min(1.0)).sum()
}

/// The engine time of one answer token, in ms: a step produces one token for each stream, so its
/// time is shared by as many streams as should run at once.
fn token_ms(slots: u32) -> f64 {
    let streams = f64::from(slots.max(1)) * TARGET_SLOT_USE;
    STEP_MS / streams + STREAM_STEP_MS
}

/// The inputs of a plan.
pub struct ScaleInputs<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// Its bounds and prices.
    pub rule: &'a ScaleRule,
    /// Its state in each failure domain.
    pub domains: &'a [DomainStatus],
    /// The peak number of endpoints needed; `None` while the demand is unknown.
    pub needed: Option<f64>,
    /// Endpoints needed now.
    pub needed_now: f64,
    /// The most endpoints that served at once before any were ordered.
    pub baseline: u32,
    /// The current time.
    pub now: ClockTime,
}

/// Service, failure domain, and whether the order is for reclaimable endpoints.
type OrderKey = (ServiceName, DomainName, bool);

/// The outcome of an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The order was accepted.
    Made,
    /// No endpoints of that kind are available there.
    Refused,
    /// The order was not sent, or its answer was lost. It says nothing about availability: when it
    /// counted as a refusal, an outage of the platform's store had on-demand endpoints ordered in
    /// place of reclaimable ones that served.
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct OrderRecord {
    count: u32,
    at: ClockTime,
    outcome: OrderOutcome,
}

/// The orders sent and the endpoints lost, as far as this duty holder knows.
#[derive(Clone, Debug, Default)]
pub struct OrderHistory {
    orders: BTreeMap<OrderKey, OrderRecord>,
    domains: BTreeMap<(ServiceName, DomainName), DomainRecord>,
    baselines: BTreeMap<ServiceName, u32>,
}

/// The history of a domain's reclaimable endpoints.
#[derive(Clone, Copy, Debug, Default)]
struct DomainRecord {
    live: u32,
    lost_at: Option<ClockTime>,
}

impl OrderHistory {
    fn key(order: &ScaleOrder) -> OrderKey {
        let reclaimable = order.market == InstanceMarket::Reclaimable;
        (order.service.clone(), order.domain.clone(), reclaimable)
    }

    /// Records an order and its outcome.
    pub fn note(&mut self, order: &ScaleOrder, outcome: OrderOutcome, now: ClockTime) {
        let past = OrderRecord { count: order.count, at: now, outcome };
        self.orders.insert(Self::key(order), past);
    }

    /// Records the state of a service, and which domains lost all their reclaimable endpoints since
    /// the last call.
    pub fn note_status(&mut self, service: &ServiceName, domains: &[DomainStatus], now: ClockTime) {
        for status in domains {
            let key = (service.clone(), status.domain.clone());
            let past = self.domains.entry(key).or_default();
            if past.live > 0 && status.live.reclaimable == 0 {
                past.lost_at = Some(now);
            }
            past.live = status.live.reclaimable;
        }
        self.note_baseline(service, domains);
    }

    /// Records the number of endpoints of one market, until some were ordered. Endpoints ordered
    /// while the demand is unknown are no evidence of it: if they counted, more would be ordered
    /// each time.
    fn note_baseline(&mut self, service: &ServiceName, domains: &[DomainStatus]) {
        let mut made = self.orders.iter().filter(|(_, past)| past.outcome == OrderOutcome::Made);
        if made.any(|((name, ..), _)| name == service) {
            return;
        }
        let sum = |market| domains.iter().map(|status| status.live.of(market)).sum();
        let most = u32::max(sum(InstanceMarket::Reclaimable), sum(InstanceMarket::OnDemand));
        let known = self.baselines.entry(service.clone()).or_default();
        *known = most.max(*known);
    }

    /// The most endpoints of one market that served at once before any were ordered.
    pub fn baseline(&self, service: &ServiceName) -> u32 {
        self.baselines.get(service).copied().unwrap_or_default()
    }

    /// The number of domains of `service` that the last wave of reclaims took.
    fn last_wave(&self, service: &ServiceName) -> usize {
        let own = self.domains.iter().filter(|((name, _), _)| name == service);
        let losses: Vec<ClockTime> = own.filter_map(|(_, past)| past.lost_at).collect();
        let latest = losses.iter().max().copied();
        losses.iter().filter(|at| latest.is_some_and(|latest| latest - **at < WAVE_TIME)).count()
    }

    /// Whether the last order for reclaimable endpoints was refused in any domain.
    fn was_refused(&self, service: &ServiceName) -> bool {
        let mut past = self
            .orders
            .iter()
            .filter(|((name, _, reclaimable), _)| name == service && *reclaimable);
        past.any(|(_, past)| past.outcome == OrderOutcome::Refused)
    }

    /// The number of endpoints ordered so recently that they may still be starting.
    fn starting(&self, key: &OrderKey, start_timeout: TimeSpan, now: ClockTime) -> u32 {
        let past = self.orders.get(key);
        let recent =
            past.filter(|past| past.outcome == OrderOutcome::Made && now - past.at < start_timeout);
        recent.map_or(0, |past| past.count)
    }

    fn refused_recently(&self, key: &OrderKey, now: ClockTime) -> bool {
        let recent = |past: &OrderRecord| now - past.at < REFUSAL_BACKOFF;
        self.orders
            .get(key)
            .is_some_and(|past| past.outcome == OrderOutcome::Refused && recent(past))
    }

    /// Whether any domain recently refused reclaimable endpoints of `service`.
    fn any_refused_recently(&self, service: &ServiceName, now: ClockTime) -> bool {
        self.orders.iter().any(|((name, _, reclaimable), past)| {
            let refused = past.outcome == OrderOutcome::Refused;
            name == service && *reclaimable && refused && now - past.at < REFUSAL_BACKOFF
        })
    }

    /// Whether an order must be sent, given that `live` endpoints serve.
    fn is_due(
        &self,
        order: &ScaleOrder,
        live: u32,
        start_timeout: TimeSpan,
        now: ClockTime,
    ) -> bool {
        let count = order.count;
        match self.orders.get(&Self::key(order)) {
            None => count != live,
            Some(past) if past.outcome != OrderOutcome::Made => {
                count != live && now - past.at >= REFUSAL_BACKOFF
            }
            Some(past) if past.count != count => true,
            // Ordered and not serving after the time of a start: they were reclaimed, or the order
            // was lost.
            Some(past) => count > live && now - past.at >= start_timeout,
        }
    }
}

/// The orders to send now.
///
/// While reclaimable endpoints are unavailable, one domain at a time is asked for them: mostly no
/// domain has any then, and each order attempt costs money.
pub fn plan_orders(facts: &ScaleInputs<'_>, history: &OrderHistory) -> Vec<ScaleOrder> {
    let wanted = wanted_counts(facts, history);
    let start_timeout = facts.rule.boot + START_MARGIN;
    let mut unavailable = history.any_refused_recently(facts.service, facts.now);
    let mut orders = Vec::new();
    for (status, want) in facts.domains.iter().zip(&wanted) {
        for market in [InstanceMarket::OnDemand, InstanceMarket::Reclaimable] {
            if market == InstanceMarket::Reclaimable && facts.rule.reclaimable_price.is_none() {
                continue;
            }
            let (count, live) = (want.of(market), status.live.of(market));
            let order = ScaleOrder {
                service: facts.service.clone(),
                domain: status.domain.clone(),
                market,
                count,
            };
            let asks_more = market == InstanceMarket::Reclaimable && count > live;
            if !history.is_due(&order, live, start_timeout, facts.now) || (asks_more && unavailable)
            {
                continue;
            }
            unavailable |= asks_more && history.was_refused(facts.service);
            orders.push(order);
        }
    }
    orders
}

/// The number of endpoints to have in each domain.
fn wanted_counts(facts: &ScaleInputs<'_>, history: &OrderHistory) -> Vec<MarketCount> {
    // While the demand is unknown: as many as there were, as reclaimable ones.
    let (needed, reclaimable) = match facts.needed {
        Some(needed) => {
            let reclaimable = (needed * RECLAIMABLE_FACTOR).ceil() as u32 + RECLAIMABLE_EXTRA;
            (facts.needed_now.ceil() as u32, reclaimable)
        }
        None => (facts.baseline, (f64::from(facts.baseline) * UNKNOWN_NEED_FACTOR).ceil() as u32),
    };
    let mut wanted = vec![MarketCount::default(); facts.domains.len()];
    if facts.rule.reclaimable_price.is_some() {
        spread_reclaimable(facts, reclaimable, &mut wanted);
    }
    let missing = needed.max(1).saturating_sub(reliable_reclaimable(facts, history));
    spread_on_demand(facts, history, missing, &mut wanted);
    wanted
}

/// The number of reclaimable endpoints that the plan can rely on.
///
/// Reclaims come in waves. While lost endpoints cannot be replaced, as many domains as the last
/// wave took, and at least one, count as lost as well, those with most endpoints first: an
/// on-demand endpoint takes seconds to start, and in that time the callers of a whole service would
/// wait for what is left.
fn reliable_reclaimable(facts: &ScaleInputs<'_>, history: &OrderHistory) -> u32 {
    let mut live: Vec<u32> = facts.domains.iter().map(|status| status.live.reclaimable).collect();
    live.sort_unstable_by(|a, b| b.cmp(a));
    let lost = if history.was_refused(facts.service) {
        history.last_wave(facts.service).max(1)
    } else {
        0
    };
    live.iter().skip(lost).sum()
}

/// Spreads reclaimable endpoints evenly, starting with the cheap domains; each domain gets its
/// minimum.
fn spread_reclaimable(facts: &ScaleInputs<'_>, total: u32, wanted: &mut [MarketCount]) {
    let mut order: Vec<usize> = (0..facts.domains.len()).collect();
    order.sort_by(|a, b| facts.domains[*a].price.total_cmp(&facts.domains[*b].price));
    let mut left = total;
    for want in wanted.iter_mut() {
        want.reclaimable = facts.rule.least;
        left = left.saturating_sub(facts.rule.least);
    }
    while left > 0 {
        let open = order.iter().filter(|at| wanted[**at].reclaimable < facts.rule.most);
        let Some(at) = open.min_by_key(|at| wanted[**at].reclaimable) else { return };
        wanted[*at].reclaimable += 1;
        left -= 1;
    }
}

/// Places `total` on-demand endpoints where some exist already, then where they are cheap. Both
/// markets together must not exceed a domain's maximum, so reclaimable endpoints that do not serve
/// yet are reduced.
fn spread_on_demand(
    facts: &ScaleInputs<'_>,
    history: &OrderHistory,
    total: u32,
    wanted: &mut [MarketCount],
) {
    let mut order: Vec<usize> = (0..facts.domains.len()).collect();
    let refused = |at: usize| {
        let key = (facts.service.clone(), facts.domains[at].domain.clone(), false);
        history.refused_recently(&key, facts.now)
    };
    let start_timeout = facts.rule.boot + START_MARGIN;
    // Endpoints that are starting count as existing. When they did not, 28 of them were given up
    // 0.6 s before they served, in favour of a cheaper domain that had just lost its own: 4 s
    // without half of the engines.
    let existing = |at: usize| {
        let key = (facts.service.clone(), facts.domains[at].domain.clone(), false);
        let starting = history.starting(&key, start_timeout, facts.now);
        facts.domains[at].live.on_demand.max(starting)
    };
    order.sort_by(|a, b| {
        let rank = |at: usize| (refused(at), existing(at) == 0);
        let price = |at: usize| facts.domains[at].price;
        rank(*a).cmp(&rank(*b)).then(price(*a).total_cmp(&price(*b)))
    });
    let mut left = total;
    // Existing endpoints first: moving them would drain and start engines for no gain.
    for at in order.iter().copied() {
        let count = left.min(existing(at)).min(facts.rule.most);
        wanted[at].on_demand = count;
        left -= count;
    }
    for at in order {
        // Reclaimable endpoints that serve are not replaced by expensive ones that have yet to
        // start.
        let room = facts.rule.most.saturating_sub(facts.domains[at].live.reclaimable);
        let more = left.min(room.saturating_sub(wanted[at].on_demand));
        wanted[at].on_demand += more;
        left -= more;
        let rest = facts.rule.most.saturating_sub(wanted[at].on_demand);
        wanted[at].reclaimable = wanted[at].reclaimable.min(rest);
    }
}

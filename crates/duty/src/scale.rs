//! How many endpoints of a service to have, where, and how bought.
//!
//! Reclaimable endpoints cost a fraction and may go, all of a failure domain at once, on seconds of
//! notice. So the plan keeps them spread with room for the loss of one domain, and buys on demand
//! only what is missing while they are not to be had.

use oleander_call::{EngineRule, ScaleRule};
use oleander_kind::endpoint::InstanceMarket;
use oleander_kind::{ClockTime, DomainName, RequestRate, ServiceName, TimeSpan};
use oleander_plat::ScaleOrder;
use std::collections::BTreeMap;

/// Time of an engine's step, in ms: by itself, and more for each stream in it.
const STEP_MS: f64 = 3.27;
const STREAM_STEP_MS: f64 = 0.0823;
/// The part of its time that an engine should be at work. Prompts come in clumps and of very
/// different sizes; above about this part the wait for the first token grows past the objective.
const WORK_PART: f64 = 0.65;
/// The part of an engine's places that should be taken.
const SLOT_PART: f64 = 0.7;
/// How many endpoints to have in calm, as a factor of those needed: the loss of one of three domains
/// leaves a third more than is needed. Reclaimable ones cost a fraction of those on demand, and one on
/// demand that is ordered at the loss takes seconds to start.
const SPREAD_FACTOR: f64 = 2.0;
/// The same while nothing is known of the demand, on what there was at the start: the loss of one of
/// three domains leaves that.
const UNKNOWN_FACTOR: f64 = 1.5;
/// Endpoints above that, against jumps of demand faster than a start.
const SPREAD_EXTRA: u32 = 1;
/// How long the highest need counts. Reclaimable endpoints are so cheap that going up and down with
/// each wave costs more in late answers than it saves.
const PEAK_TIME: TimeSpan = TimeSpan(15_000);
/// How long the highest need counts for endpoints on demand, which cost several times as much: one
/// start and a clump of requests.
const RECENT_TIME: TimeSpan = TimeSpan(5000);
/// Pause before a domain that had nothing to give is asked again.
const REFUSED_PAUSE: TimeSpan = TimeSpan(2500);
/// Domains whose reclaimable endpoints go within this time are lost in one wave. Two that went 0.6 s apart
/// were followed by the two others 6 s later.
const WAVE_TIME: TimeSpan = TimeSpan(3000);
/// Time beyond the usual start after which an ordered endpoint that is not there is asked for again.
const LATE_START: TimeSpan = TimeSpan(2500);

/// Endpoints of one market.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MarketCount {
    /// Reclaimable.
    pub reclaimable: u32,
    /// On demand.
    pub on_demand: u32,
}

impl MarketCount {
    /// The count of a market.
    pub fn of(self, market: InstanceMarket) -> u32 {
        match market {
            InstanceMarket::Reclaimable => self.reclaimable,
            InstanceMarket::OnDemand => self.on_demand,
        }
    }
}

/// How a service stands in a failure domain.
#[derive(Clone, Debug, PartialEq)]
pub struct DomainStand {
    /// The domain.
    pub domain: DomainName,
    /// Price of a second on demand.
    pub price: f64,
    /// Endpoints that take work.
    pub live: MarketCount,
}

/// What a service needs, as a running peak.
#[derive(Clone, Debug, Default)]
pub struct ServiceNeed {
    samples: Vec<(ClockTime, f64)>,
}

impl ServiceNeed {
    /// The highest need of the last seconds.
    pub fn recent_peak(&self, now: ClockTime) -> f64 {
        let recent = self.samples.iter().filter(|(at, _)| now - *at < RECENT_TIME);
        recent.map(|(_, value)| *value).fold(0.0, f64::max)
    }

    /// Notes what is needed now, in endpoints.
    pub fn note(&mut self, needed: f64, now: ClockTime) {
        self.samples.retain(|(at, value)| now - *at < PEAK_TIME && *value > needed);
        self.samples.push((now, needed));
    }

    /// The highest need of late.
    pub fn peak(&self) -> f64 {
        self.samples.iter().map(|(_, value)| *value).fold(0.0, f64::max)
    }
}

/// Engines that the work asked for keeps busy to the wanted part, if each reads `read_per_ms` prompt
/// tokens a millisecond.
pub fn needed_engines(
    engine: &EngineRule,
    read_per_ms: f64,
    (unread_tokens_per_s, answer_tokens_per_s): (f64, f64),
    running: u32,
) -> f64 {
    let reading = unread_tokens_per_s / (read_per_ms * 1000.0);
    let work = reading + answer_tokens_per_s * token_ms(engine.slots) / 1000.0;
    let places = f64::from(engine.slots.max(1)) * SLOT_PART;
    (work / WORK_PART).max(f64::from(running) / places)
}

/// Engines by which a service has fewer than it counts, as some named a limit: each takes only its `limits`' part of what
/// an engine gets at which `requests_per_s` need `needed` engines.
pub fn lost_to_limits(
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

/// Engine time of one answer token, in ms: a step brings each stream one, so it is shared by as many as should run at once.
fn token_ms(slots: u32) -> f64 {
    let streams = f64::from(slots.max(1)) * SLOT_PART;
    STEP_MS / streams + STREAM_STEP_MS
}

/// What a plan looks at.
pub struct ScaleFacts<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// Its bounds and prices.
    pub rule: &'a ScaleRule,
    /// How it stands in each domain.
    pub domains: &'a [DomainStand],
    /// Endpoints needed at the most of late; none while nothing is known of the demand.
    pub needed: Option<f64>,
    /// Endpoints needed now.
    pub needed_now: f64,
    /// The most endpoints that served at once before any were ordered.
    pub baseline: u32,
    /// The time.
    pub now: ClockTime,
}

type OrderKey = (ServiceName, DomainName, bool);

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderEnd {
    /// It was taken.
    Made,
    /// None of that kind are to be had there.
    Refused,
    /// It did not leave, or its answer is lost. It says nothing of what is to be had: taken for a refusal,
    /// silence of the platform's store had on-demand endpoints ordered in the place of ones that served.
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct PastOrder {
    count: u32,
    at: ClockTime,
    end: OrderEnd,
}

/// What was ordered, and what was lost, as far as this holder knows.
#[derive(Clone, Debug, Default)]
pub struct OrderMemory {
    orders: BTreeMap<OrderKey, PastOrder>,
    domains: BTreeMap<(ServiceName, DomainName), DomainPast>,
    baselines: BTreeMap<ServiceName, u32>,
}

/// What a domain's reclaimable endpoints were.
#[derive(Clone, Copy, Debug, Default)]
struct DomainPast {
    live: u32,
    lost_at: Option<ClockTime>,
}

impl OrderMemory {
    fn key(order: &ScaleOrder) -> OrderKey {
        let reclaimable = order.market == InstanceMarket::Reclaimable;
        (order.service.clone(), order.domain.clone(), reclaimable)
    }

    /// Notes an order and how it ended.
    pub fn note(&mut self, order: &ScaleOrder, end: OrderEnd, now: ClockTime) {
        let past = PastOrder { count: order.count, at: now, end };
        self.orders.insert(Self::key(order), past);
    }

    /// Notes how a service stands, and which domains have lost all their reclaimable endpoints since the
    /// last look.
    pub fn note_stand(&mut self, service: &ServiceName, domains: &[DomainStand], now: ClockTime) {
        for stand in domains {
            let key = (service.clone(), stand.domain.clone());
            let past = self.domains.entry(key).or_default();
            if past.live > 0 && stand.live.reclaimable == 0 {
                past.lost_at = Some(now);
            }
            past.live = stand.live.reclaimable;
        }
        self.note_baseline(service, domains);
    }

    /// Notes how many endpoints of one market there are, until some were ordered. What was ordered while nothing was known of
    /// the demand is no sign of it: counted in, it had more ordered each time.
    fn note_baseline(&mut self, service: &ServiceName, domains: &[DomainStand]) {
        let mut made = self.orders.iter().filter(|(_, past)| past.end == OrderEnd::Made);
        if made.any(|((name, ..), _)| name == service) {
            return;
        }
        let sum = |market| domains.iter().map(|stand| stand.live.of(market)).sum();
        let most = u32::max(sum(InstanceMarket::Reclaimable), sum(InstanceMarket::OnDemand));
        let known = self.baselines.entry(service.clone()).or_default();
        *known = most.max(*known);
    }

    /// The most endpoints of one market that served at once before any were ordered.
    pub fn baseline(&self, service: &ServiceName) -> u32 {
        self.baselines.get(service).copied().unwrap_or_default()
    }

    /// How many domains of `service` the last wave of reclaims took.
    fn last_wave(&self, service: &ServiceName) -> usize {
        let own = self.domains.iter().filter(|((name, _), _)| name == service);
        let losses: Vec<ClockTime> = own.filter_map(|(_, past)| past.lost_at).collect();
        let latest = losses.iter().max().copied();
        losses.iter().filter(|at| latest.is_some_and(|latest| latest - **at < WAVE_TIME)).count()
    }

    /// Whether the newest answer of some domain about reclaimable endpoints was a refusal.
    fn was_refused(&self, service: &ServiceName) -> bool {
        let mut past = self.orders.iter().filter(|((name, _, cheap), _)| name == service && *cheap);
        past.any(|(_, past)| past.end == OrderEnd::Refused)
    }

    /// Endpoints that were ordered so lately that they may still be starting.
    fn starting(&self, key: &OrderKey, patience: TimeSpan, now: ClockTime) -> u32 {
        let past = self.orders.get(key);
        let lately = past.filter(|past| past.end == OrderEnd::Made && now - past.at < patience);
        lately.map_or(0, |past| past.count)
    }

    fn refused_lately(&self, key: &OrderKey, now: ClockTime) -> bool {
        let lately = |past: &PastOrder| now - past.at < REFUSED_PAUSE;
        self.orders.get(key).is_some_and(|past| past.end == OrderEnd::Refused && lately(past))
    }

    /// Whether any domain refused reclaimable endpoints of `service` a moment ago.
    fn dry_lately(&self, service: &ServiceName, now: ClockTime) -> bool {
        self.orders.iter().any(|((name, _, reclaimable), past)| {
            let refused = past.end == OrderEnd::Refused;
            name == service && *reclaimable && refused && now - past.at < REFUSED_PAUSE
        })
    }

    /// Whether an order must be sent, given that `live` endpoints serve.
    fn is_due(&self, order: &ScaleOrder, live: u32, patience: TimeSpan, now: ClockTime) -> bool {
        let count = order.count;
        match self.orders.get(&Self::key(order)) {
            None => count != live,
            Some(past) if past.end != OrderEnd::Made => {
                count != live && now - past.at >= REFUSED_PAUSE
            }
            Some(past) if past.count != count => true,
            // Asked for, and not there after the time of a start: taken away, or the order is lost.
            Some(past) => count > live && now - past.at >= patience,
        }
    }
}

/// The orders to send now.
///
/// While reclaimable endpoints are not to be had, one domain at a time is asked for them: mostly
/// none has any then, and each question is paid for.
pub fn plan_orders(facts: &ScaleFacts<'_>, memory: &OrderMemory) -> Vec<ScaleOrder> {
    let wanted = wanted_counts(facts, memory);
    let patience = facts.rule.boot + LATE_START;
    let mut dry = memory.dry_lately(facts.service, facts.now);
    let mut orders = Vec::new();
    for (stand, want) in facts.domains.iter().zip(&wanted) {
        for market in [InstanceMarket::OnDemand, InstanceMarket::Reclaimable] {
            if market == InstanceMarket::Reclaimable && facts.rule.reclaimable_price.is_none() {
                continue;
            }
            let (count, live) = (want.of(market), stand.live.of(market));
            let order = ScaleOrder {
                service: facts.service.clone(),
                domain: stand.domain.clone(),
                market,
                count,
            };
            let asks_more = market == InstanceMarket::Reclaimable && count > live;
            if !memory.is_due(&order, live, patience, facts.now) || (asks_more && dry) {
                continue;
            }
            dry |= asks_more && memory.was_refused(facts.service);
            orders.push(order);
        }
    }
    orders
}

/// The counts to have, by domain.
fn wanted_counts(facts: &ScaleFacts<'_>, memory: &OrderMemory) -> Vec<MarketCount> {
    // While the demand is not known: as many as there were, bought cheaply.
    let (needed, calm) = match facts.needed {
        Some(needed) => {
            let calm = (needed * SPREAD_FACTOR).ceil() as u32 + SPREAD_EXTRA;
            (facts.needed_now.ceil() as u32, calm)
        }
        None => (facts.baseline, (f64::from(facts.baseline) * UNKNOWN_FACTOR).ceil() as u32),
    };
    let mut wanted = vec![MarketCount::default(); facts.domains.len()];
    if facts.rule.reclaimable_price.is_some() {
        spread_reclaimable(facts, calm, &mut wanted);
    }
    let missing = needed.max(1).saturating_sub(safe_reclaimable(facts, memory));
    spread_on_demand(facts, memory, missing, &mut wanted);
    wanted
}

/// Reclaimable endpoints that can be counted on.
///
/// Reclaims come in waves. While lost ones cannot be replaced, as many domains as the last wave took, and
/// one at the least, are taken for lost as well, those with most endpoints first: an endpoint on demand
/// takes seconds to start, and in these the callers of a whole service would wait for what is left.
fn safe_reclaimable(facts: &ScaleFacts<'_>, memory: &OrderMemory) -> u32 {
    let mut live: Vec<u32> = facts.domains.iter().map(|stand| stand.live.reclaimable).collect();
    live.sort_unstable_by(|a, b| b.cmp(a));
    let lost =
        if memory.was_refused(facts.service) { memory.last_wave(facts.service).max(1) } else { 0 };
    live.iter().skip(lost).sum()
}

/// Spreads reclaimable endpoints evenly, the cheap domains first; each domain gets its least.
fn spread_reclaimable(facts: &ScaleFacts<'_>, total: u32, wanted: &mut [MarketCount]) {
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

/// Puts `total` on-demand endpoints where some are already, then where they are cheap. Both markets
/// together may not pass a domain's most, so reclaimable ones that do not serve yet yield.
fn spread_on_demand(
    facts: &ScaleFacts<'_>,
    memory: &OrderMemory,
    total: u32,
    wanted: &mut [MarketCount],
) {
    let mut order: Vec<usize> = (0..facts.domains.len()).collect();
    let refused = |at: usize| {
        let key = (facts.service.clone(), facts.domains[at].domain.clone(), false);
        memory.refused_lately(&key, facts.now)
    };
    let patience = facts.rule.boot + LATE_START;
    // Those that are starting count as well. Taken for none, 28 of them were given up 0.6 s before they
    // served, for a domain that was cheaper and had just been emptied: 4 s without half of the engines.
    let there = |at: usize| {
        let key = (facts.service.clone(), facts.domains[at].domain.clone(), false);
        let starting = memory.starting(&key, patience, facts.now);
        facts.domains[at].live.on_demand.max(starting)
    };
    order.sort_by(|a, b| {
        let rank = |at: usize| (refused(at), there(at) == 0);
        let price = |at: usize| facts.domains[at].price;
        rank(*a).cmp(&rank(*b)).then(price(*a).total_cmp(&price(*b)))
    });
    let mut left = total;
    // Those that are there already first: moving them would empty and start engines for nothing.
    for at in order.iter().copied() {
        let count = left.min(there(at)).min(facts.rule.most);
        wanted[at].on_demand = count;
        left -= count;
    }
    for at in order {
        // Reclaimable endpoints that serve are not given up for dear ones that have yet to start.
        let room = facts.rule.most.saturating_sub(facts.domains[at].live.reclaimable);
        let more = left.min(room.saturating_sub(wanted[at].on_demand));
        wanted[at].on_demand += more;
        left -= more;
        let rest = facts.rule.most.saturating_sub(wanted[at].on_demand);
        wanted[at].reclaimable = wanted[at].reclaimable.min(rest);
    }
}

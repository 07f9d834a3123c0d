//! Orders endpoints from the cloud according to the demand of each service.

use super::{DUTY_PERIOD, DutyLease};
use crate::events::event;
use crate::node::FrontNode;
use crate::releases;
use oleander_call::{EngineRule, RuleSet, ScaleRule};
use oleander_duty::{
    DomainStatus, MarketCount, OrderHistory, OrderOutcome, PeakNeed, ScaleInputs,
    engines_lost_to_limits, needed_engines, plan_orders,
};
use oleander_kind::endpoint::InstanceMarket;
use oleander_kind::{ClockTime, DomainName, ServiceName, TimeSpan};
use oleander_mesh::{EndpointHash, ServicePeak};
use oleander_pace::ASSUMED_PER_MS;
use oleander_plat::{DutyAnswer, DutyPort, ScaleOrder};
use std::collections::BTreeMap;
use std::rc::Rc;

/// How long the endpoint list must be known before orders are planned. Endpoints that start together with this
/// process enter the list within about two heartbeats; before that, too few of them are counted.
const LIST_SETTLE_TIME: TimeSpan = TimeSpan(3000);
/// How long a service must have demand before its need is used: the averages have filled by then.
const DEMAND_SETTLE_TIME: TimeSpan = TimeSpan(4000);

/// What orders for one service are based on.
#[derive(Default)]
struct ServiceState {
    need: PeakNeed,
    demand_since: Option<ClockTime>,
    /// Whether the need was received from the previous holder of the lease.
    inherited: bool,
}

/// Orders endpoints while the lease is held.
pub(super) async fn scale_services(
    node: Rc<FrontNode>,
    cloud: Rc<dyn DutyPort>,
    lease: Rc<DutyLease>,
) {
    let mut memory = OrderHistory::default();
    let mut states: BTreeMap<ServiceName, ServiceState> = BTreeMap::new();
    let mut fence = 0;
    loop {
        actix_rt::time::sleep(DUTY_PERIOD.duration()).await;
        let Some(held) = lease.fence() else { continue };
        if held != fence {
            // Another holder of the lease may have ordered endpoints meanwhile.
            memory = OrderHistory::default();
            states = inherit_peaks(&node);
            fence = held;
        }
        let Some(rules) = node.current_rules() else { continue };
        let known_since = node.endpoints_feed.get().known_since;
        if known_since.is_none_or(|since| node.clock.now() - since < LIST_SETTLE_TIME) {
            continue;
        }
        let orders = plan_due_orders(&node, &rules, &mut states, &mut memory);
        publish_peaks(&node, &states);
        for order in orders {
            send_order(&node, cloud.as_ref(), lease.as_ref(), &order, &mut memory).await;
        }
    }
}

fn plan_due_orders(
    node: &FrontNode,
    rules: &RuleSet,
    states: &mut BTreeMap<ServiceName, ServiceState>,
    memory: &mut OrderHistory,
) -> Vec<ScaleOrder> {
    let mut orders = Vec::new();
    for service in rules.services() {
        let (Some(scale), Some(engine)) = (&service.scale, &service.engine) else { continue };
        let state = states.entry(service.name.clone()).or_default();
        let needed = peak_need(node, &service.name, engine, state);
        let domains = domain_statuses(node, &service.name, scale);
        memory.note_status(&service.name, &domains, node.clock.now());
        let needed_now = state.need.recent_peak(node.clock.now());
        let lost = endpoints_lost_to_limits(node, &service.name, needed_now);
        let facts = ScaleInputs {
            service: &service.name,
            rule: scale,
            domains: &domains,
            needed: needed.map(|needed| needed + lost),
            needed_now: needed_now + lost,
            baseline: memory.baseline(&service.name),
            now: node.clock.now(),
        };
        let planned = plan_orders(&facts, memory);
        // During a roll-out the endpoints of both versions are counted. An order for fewer could remove those of
        // either version.
        let in_rollout = releases::is_under_way(node, &service.name);
        let live = |order: &ScaleOrder| {
            let mut states = domains.iter().filter(|state| state.domain == order.domain);
            states.next().map_or(0, |state| state.live.of(order.market))
        };
        orders
            .extend(planned.into_iter().filter(|order| !in_rollout || order.count >= live(order)));
    }
    orders
}

/// Number of endpoints that a service lacks because listed endpoints signalled rate limits.
fn endpoints_lost_to_limits(node: &FrontNode, service: &ServiceName, needed: f64) -> f64 {
    let mesh = node.mesh.borrow();
    let Some(collector) = mesh.collector.as_ref() else { return 0.0 };
    let asked = collector.demand_of(service, node.clock.now()).requests;
    let board = node.endpoints.borrow();
    let facts = board.of_service(service).iter().filter_map(|key| board.get(*key));
    let limits = facts.filter(|fact| fact.takes_work()).filter_map(|fact| fact.declared.limit.rate);
    engines_lost_to_limits(limits, asked, needed)
}

/// Updates the need of a service with the present demand, and returns the peak need; `None` until the demand has
/// been observed for long enough.
fn peak_need(
    node: &FrontNode,
    service: &ServiceName,
    engine: &EngineRule,
    state: &mut ServiceState,
) -> Option<f64> {
    let now = node.clock.now();
    let mesh = node.mesh.borrow();
    let collector = mesh.collector.as_ref()?;
    let demand = collector.demand_of(service, now);
    let board = node.endpoints.borrow();
    let facts = board.of_service(service).iter().filter_map(|key| board.get(*key));
    let running = facts
        .map(|fact| collector.requests_at(EndpointHash::of(&fact.entry.instance, fact.entry.life)))
        .sum();
    if demand.requests > 0.0 {
        state.demand_since.get_or_insert(now);
    }
    let tokens = (demand.unread_tokens, demand.answer_tokens);
    let since = state.demand_since?;
    let per_ms = node.measured_per_ms(service);
    // The assumed speed is low. A need computed with it would be too high, remain in the peak need, and order
    // engines that are not needed. The speed is measured before such engines have started.
    if per_ms.is_none() && now - since < DEMAND_SETTLE_TIME {
        return None;
    }
    let per_ms = per_ms.unwrap_or(ASSUMED_PER_MS);
    state.need.note(needed_engines(engine, per_ms, tokens, running), now);
    let known = state.inherited || now - since >= DEMAND_SETTLE_TIME;
    known.then(|| state.need.peak())
}

/// Shares the peak needs of services with the other processes, so that the next holder of the lease has them.
fn publish_peaks(node: &FrontNode, states: &BTreeMap<ServiceName, ServiceState>) {
    let known = states.iter().filter(|(_, state)| state.demand_since.is_some());
    let peak = |(service, state): (&ServiceName, &ServiceState)| ServicePeak {
        service: service.clone(),
        needed: state.need.peak(),
    };
    node.mesh.borrow_mut().peaks = known.map(peak).collect();
}

/// The needs of services as received from the previous holder of the lease.
fn inherit_peaks(node: &FrontNode) -> BTreeMap<ServiceName, ServiceState> {
    let now = node.clock.now();
    let state = |peak: &ServicePeak| {
        let mut state = ServiceState { inherited: true, ..ServiceState::default() };
        state.need.note(peak.needed, now);
        state.demand_since = Some(now);
        (peak.service.clone(), state)
    };
    node.mesh.borrow().peaks.iter().map(state).collect()
}

/// Price and number of usable endpoints in each failure domain.
fn domain_statuses(
    node: &FrontNode,
    service: &ServiceName,
    scale: &ScaleRule,
) -> Vec<DomainStatus> {
    let board = node.endpoints.borrow();
    let live = |domain: &DomainName| {
        let mut count = MarketCount::default();
        for key in board.of_service(service) {
            let Some(fact) = board.get(*key) else { continue };
            if fact.entry.domain != *domain || !fact.takes_work() || fact.doubted {
                continue;
            }
            match fact.entry.market {
                InstanceMarket::Reclaimable => count.reclaimable += 1,
                InstanceMarket::OnDemand => count.on_demand += 1,
            }
        }
        count
    };
    let state = |(domain, price): &(DomainName, f64)| DomainStatus {
        domain: domain.clone(),
        price: *price,
        live: live(domain),
    };
    scale.domain_prices.iter().map(state).collect()
}

async fn send_order(
    node: &FrontNode,
    cloud: &dyn DutyPort,
    lease: &DutyLease,
    order: &ScaleOrder,
    memory: &mut OrderHistory,
) {
    let answer = cloud.order_endpoints(lease, order).await;
    let end = match &answer {
        Ok(DutyAnswer::Done) => OrderOutcome::Made,
        Ok(DutyAnswer::Refused(_)) => OrderOutcome::Refused,
        Err(_) => OrderOutcome::Unknown,
    };
    node.meter.count_order(end == OrderOutcome::Made);
    event!(node, EndpointsOrdered;
        "service" => order.service.as_str(), "domain" => order.domain.as_str(),
        "market" => format!("{:?}", order.market), "count" => order.count,
        "fence" => lease.fence(), "answer" => format!("{answer:?}"));
    memory.note(order, end, node.clock.now());
}

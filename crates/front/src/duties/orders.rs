//! Orders of endpoints, by what is asked of each service.

use super::{DUTY_PERIOD, DutyLease};
use crate::events::event;
use crate::node::FrontNode;
use crate::releases;
use oleander_call::{EngineRule, RuleSet, ScaleRule};
use oleander_duty::{
    DomainStand, MarketCount, OrderEnd, OrderMemory, ScaleFacts, ServiceNeed, lost_to_limits,
    needed_engines, plan_orders,
};
use oleander_kind::endpoint::InstanceMarket;
use oleander_kind::{ClockTime, DomainName, ServiceName, TimeSpan};
use oleander_mesh::{EndpointMark, ServicePeak};
use oleander_pace::ASSUMED_PER_MS;
use oleander_plat::{DutyAnswer, DutyPort, ScaleOrder};
use std::collections::BTreeMap;
use std::rc::Rc;

/// Endpoints that start together with this process enter the list within about two heartbeats;
/// before that, "as many as there are" would be too few.
const LIST_SETTLE: TimeSpan = TimeSpan(3000);
/// Demand is believed after this time: its averages have filled by then.
const DEMAND_SETTLE: TimeSpan = TimeSpan(4000);

#[derive(Default)]
struct ServiceStand {
    need: ServiceNeed,
    asked_since: Option<ClockTime>,
    /// Whether the need was told by the last holder.
    inherited: bool,
}

/// Orders endpoints while the lease is held.
pub(super) async fn scale_services(
    node: Rc<FrontNode>,
    cloud: Rc<dyn DutyPort>,
    lease: Rc<DutyLease>,
) {
    let mut memory = OrderMemory::default();
    let mut stands: BTreeMap<ServiceName, ServiceStand> = BTreeMap::new();
    let mut fence = 0;
    loop {
        actix_rt::time::sleep(DUTY_PERIOD.duration()).await;
        let Some(held) = lease.fence() else { continue };
        if held != fence {
            // Another holder may have ordered meanwhile.
            memory = OrderMemory::default();
            stands = inherit_peaks(&node);
            fence = held;
        }
        let Some(rules) = node.current_rules() else { continue };
        let known_since = node.endpoints_feed.get().known_since;
        if known_since.is_none_or(|since| node.clock.now() - since < LIST_SETTLE) {
            continue;
        }
        let orders = due_orders(&node, &rules, &mut stands, &mut memory);
        share_peaks(&node, &stands);
        for order in orders {
            send_order(&node, cloud.as_ref(), lease.as_ref(), &order, &mut memory).await;
        }
    }
}

fn due_orders(
    node: &FrontNode,
    rules: &RuleSet,
    stands: &mut BTreeMap<ServiceName, ServiceStand>,
    memory: &mut OrderMemory,
) -> Vec<ScaleOrder> {
    let mut orders = Vec::new();
    for service in rules.services() {
        let (Some(scale), Some(engine)) = (&service.scale, &service.engine) else { continue };
        let stand = stands.entry(service.name.clone()).or_default();
        let needed = needed_of(node, &service.name, engine, stand);
        let domains = domain_stands(node, &service.name, scale);
        memory.note_stand(&service.name, &domains, node.clock.now());
        let needed_now = stand.need.recent_peak(node.clock.now());
        let lost = lost_endpoints(node, &service.name, needed_now);
        let facts = ScaleFacts {
            service: &service.name,
            rule: scale,
            domains: &domains,
            needed: needed.map(|needed| needed + lost),
            needed_now: needed_now + lost,
            baseline: memory.baseline(&service.name),
            now: node.clock.now(),
        };
        let planned = plan_orders(&facts, memory);
        // While a version is tried the endpoints of both are counted. Taking some away would take either.
        let is_tried = releases::is_under_way(node, &service.name);
        let live = |order: &ScaleOrder| {
            let mut stands = domains.iter().filter(|stand| stand.domain == order.domain);
            stands.next().map_or(0, |stand| stand.live.of(order.market))
        };
        orders.extend(planned.into_iter().filter(|order| !is_tried || order.count >= live(order)));
    }
    orders
}

/// Endpoints by which a service has fewer than are listed, as some named a limit.
fn lost_endpoints(node: &FrontNode, service: &ServiceName, needed: f64) -> f64 {
    let mesh = node.mesh.borrow();
    let Some(collector) = mesh.collector.as_ref() else { return 0.0 };
    let asked = collector.demand_of(service, node.clock.now()).requests;
    let board = node.endpoints.borrow();
    let facts = board.of_service(service).iter().filter_map(|key| board.get(*key));
    let limits = facts.filter(|fact| fact.takes_work()).filter_map(|fact| fact.said.limit.rate);
    lost_to_limits(limits, asked, needed)
}

fn needed_of(
    node: &FrontNode,
    service: &ServiceName,
    engine: &EngineRule,
    stand: &mut ServiceStand,
) -> Option<f64> {
    let now = node.clock.now();
    let mesh = node.mesh.borrow();
    let collector = mesh.collector.as_ref()?;
    let demand = collector.demand_of(service, now);
    let board = node.endpoints.borrow();
    let facts = board.of_service(service).iter().filter_map(|key| board.get(*key));
    let running = facts
        .map(|fact| collector.requests_at(EndpointMark::of(&fact.entry.instance, fact.entry.life)))
        .sum();
    if demand.requests > 0.0 {
        stand.asked_since.get_or_insert(now);
    }
    let tokens = (demand.unread_tokens, demand.answer_tokens);
    let since = stand.asked_since?;
    let per_ms = node.measured_per_ms(service);
    // A need by the careful figure would count for as long as the highest need does, and order engines
    // that nobody needs; the speed is known before these have started.
    if per_ms.is_none() && now - since < DEMAND_SETTLE {
        return None;
    }
    let per_ms = per_ms.unwrap_or(ASSUMED_PER_MS);
    stand.need.note(needed_engines(engine, per_ms, tokens, running), now);
    let known = stand.inherited || now - since >= DEMAND_SETTLE;
    known.then(|| stand.need.peak())
}

/// Tells the other processes what services need, so that the next holder knows it at once.
fn share_peaks(node: &FrontNode, stands: &BTreeMap<ServiceName, ServiceStand>) {
    let known = stands.iter().filter(|(_, stand)| stand.asked_since.is_some());
    let peak = |(service, stand): (&ServiceName, &ServiceStand)| ServicePeak {
        service: service.clone(),
        needed: stand.need.peak(),
    };
    node.mesh.borrow_mut().peaks = known.map(peak).collect();
}

/// Begins with what the last holder told.
fn inherit_peaks(node: &FrontNode) -> BTreeMap<ServiceName, ServiceStand> {
    let now = node.clock.now();
    let stand = |peak: &ServicePeak| {
        let mut stand = ServiceStand { inherited: true, ..ServiceStand::default() };
        stand.need.note(peak.needed, now);
        stand.asked_since = Some(now);
        (peak.service.clone(), stand)
    };
    node.mesh.borrow().peaks.iter().map(stand).collect()
}

fn domain_stands(node: &FrontNode, service: &ServiceName, scale: &ScaleRule) -> Vec<DomainStand> {
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
    let stand = |(domain, price): &(DomainName, f64)| DomainStand {
        domain: domain.clone(),
        price: *price,
        live: live(domain),
    };
    scale.domain_prices.iter().map(stand).collect()
}

async fn send_order(
    node: &FrontNode,
    cloud: &dyn DutyPort,
    lease: &DutyLease,
    order: &ScaleOrder,
    memory: &mut OrderMemory,
) {
    let answer = cloud.order_endpoints(lease, order).await;
    let end = match &answer {
        Ok(DutyAnswer::Done) => OrderEnd::Made,
        Ok(DutyAnswer::Refused(_)) => OrderEnd::Refused,
        Err(_) => OrderEnd::Unknown,
    };
    node.meter.count_order(end == OrderEnd::Made);
    event!(node, EndpointsOrdered;
        "service" => order.service.as_str(), "domain" => order.domain.as_str(),
        "market" => format!("{:?}", order.market), "count" => order.count,
        "fence" => lease.fence(), "answer" => format!("{answer:?}"));
    memory.note(order, end, node.clock.now());
}

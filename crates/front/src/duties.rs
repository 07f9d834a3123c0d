//! Control work: kept under one lease by the process that collects.

use crate::events::event;
use crate::node::FrontNode;
use bytes::Bytes;
use oleander_call::{EngineRule, RuleSet, ScaleRule};
use oleander_duty::usage::window_of;
use oleander_duty::{
    DomainStand, MarketCount, OrderMemory, ScaleFacts, ServiceNeed, UsageDuty, UsageStep,
    needed_engines, plan_orders,
};
use oleander_kind::endpoint::InstanceMarket;
use oleander_kind::{AccountName, ClockTime, ServiceName, TimeSpan};
use oleander_lease::{LeaseAction, LeaseKeeper, LeaseRecord, LeaseSaid};
use oleander_mesh::{LeaseNotice, MeshCollector, ServicePeak};
use oleander_plat::{
    DutyAnswer, DutyPort, DutyStamp, FeedGuard, FeedKind, FeedObject, FeedWrite, PlatError,
    ScaleOrder, UsageReport,
};
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

/// The object that holds the lease of the control work.
const LEASE_NAME: &str = "control";
/// Between two looks at what is to be done.
const DUTY_PERIOD: TimeSpan = TimeSpan(200);
/// Lease time that must be left when a call is sent: the call is checked by its fencing token, so
/// this only keeps calls that are sure to be refused from being made.
const CALL_MARGIN: TimeSpan = TimeSpan(100);
/// A process that began a moment ago does not know the others yet, and would take the lease from
/// nobody's hands only to lose the collecting to another.
const SETTLE_TIME: TimeSpan = TimeSpan(600);
/// Usage reports that the store keeps; the oldest is overwritten. Two times what can be under way.
const KEPT_REPORTS: u64 = 8;
/// Endpoints that start together with this process enter the list within about two heartbeats;
/// before that, "as many as there are" would be too few.
const LIST_SETTLE: TimeSpan = TimeSpan(3000);
/// Demand is believed after this time: its averages have filled by then.
const DEMAND_SETTLE: TimeSpan = TimeSpan(4000);

/// The lease, shared by the tasks of the duties.
pub struct DutyLease {
    keeper: RefCell<LeaseKeeper>,
}

/// How long a lease that could not be renewed because nobody reaches the store still stands. Nobody
/// else can have taken it meanwhile, and where calls are fenced one that is sent too late is refused.
const OVERDUE_TIME: TimeSpan = TimeSpan(10_000);

impl DutyLease {
    fn stamp(&self, node: &FrontNode) -> Option<DutyStamp> {
        let now = node.clock.now();
        let keeper = self.keeper.borrow();
        let overdue = || {
            let stands = node.bounds().fenced && store_is_away(node);
            keeper.overdue_fence(now, OVERDUE_TIME).filter(|_| stands)
        };
        let fence = keeper.fence(now, CALL_MARGIN).or_else(overdue)?;
        Some(DutyStamp { holder: node.settings.instance.clone(), fence })
    }
}

/// Whether the store answers neither this process nor any that reports here.
fn store_is_away(node: &FrontNode) -> bool {
    let now = node.clock.now();
    let lost = node.rules_feed.get().lost_since.is_some();
    let mesh = node.mesh.borrow();
    let outdone = |collector: &MeshCollector| collector.is_outdone(&node.settings.instance, now);
    lost && mesh.collector.as_ref().is_some_and(|collector| !outdone(collector))
}

/// Does the control work until the task is ended.
pub async fn do_duties(node: Rc<FrontNode>, cloud: Rc<dyn DutyPort>) {
    let life = node.mesh.borrow().view.me().life;
    let lasts = TimeSpan(node.bounds().lease_ms);
    let keeper = LeaseKeeper::new(node.settings.instance.clone(), life, lasts).inheriting();
    let lease = Rc::new(DutyLease { keeper: RefCell::new(keeper) });
    if node.bounds().usage_window_s > 0.0 {
        actix_rt::spawn(report_usage(node.clone(), cloud.clone(), lease.clone()));
    }
    actix_rt::spawn(scale_services(node.clone(), cloud, lease.clone()));
    loop {
        keep_lease(&node, &lease).await;
        actix_rt::time::sleep(DUTY_PERIOD.duration()).await;
    }
}

fn collects(node: &FrontNode) -> bool {
    let now = node.clock.now();
    let mesh = node.mesh.borrow();
    let settled = |since: ClockTime| now - since >= SETTLE_TIME;
    !mesh.view.me().leaving
        && mesh.view.collects()
        && mesh.collector.as_ref().is_some_and(|collector| settled(collector.began_at()))
}

async fn keep_lease(node: &FrontNode, lease: &DutyLease) {
    let now = node.clock.now();
    if let Some(notice) = node.mesh.borrow().lease.clone() {
        lease.keeper.borrow_mut().hear(notice.revision, notice.record, now);
    }
    let succeeded = node.mesh.borrow().is_succeeded(now);
    if node.mesh.borrow().view.me().leaving || succeeded {
        // The process that collects now need not wait for the end of the lease.
        let action = lease.keeper.borrow_mut().release(now);
        return act_on_lease(node, lease, action).await;
    }
    if !collects(node) {
        return;
    }
    let action = lease.keeper.borrow_mut().tick(now);
    act_on_lease(node, lease, action).await;
}

async fn act_on_lease(node: &FrontNode, lease: &DutyLease, action: LeaseAction) {
    let held = lease.stamp(node).is_some();
    let said = match action {
        LeaseAction::Wait => return,
        LeaseAction::Read => read_lease(node).await,
        LeaseAction::Write { version, record } => write_lease(node, version, &record).await,
    };
    let now = node.clock.now();
    lease.keeper.borrow_mut().said(said, now);
    let keeper = lease.keeper.borrow();
    let seen = keeper.seen().cloned().zip(keeper.view(now).version);
    if let Some((record, revision)) = seen {
        node.mesh.borrow_mut().lease = Some(LeaseNotice { revision, record });
    }
    drop(keeper);
    let holds = lease.stamp(node).map(|stamp| stamp.fence);
    if held != holds.is_some() {
        event!(node, LeaseChanged; "fence" => holds);
    }
}

async fn read_lease(node: &FrontNode) -> LeaseSaid {
    match node.store.read(FeedKind::Leases, LEASE_NAME).await {
        Ok(None) => LeaseSaid::Read(None),
        Ok(Some(object)) => said_of(node, &object),
        Err(fault) => not_done(node, &fault),
    }
}

fn said_of(node: &FrontNode, object: &FeedObject) -> LeaseSaid {
    match serde_json::from_slice::<LeaseRecord>(&object.body) {
        Ok(record) => LeaseSaid::Read(Some((object.revision, record))),
        Err(fault) => {
            event!(node, LeaseFault; "fault" => fault.to_string());
            LeaseSaid::NotDone
        }
    }
}

fn not_done(node: &FrontNode, fault: &PlatError) -> LeaseSaid {
    event!(node, LeaseFault; "fault" => fault.to_string());
    if fault.may_have_happened() { LeaseSaid::Unknown } else { LeaseSaid::NotDone }
}

async fn write_lease(node: &FrontNode, version: Option<u64>, record: &LeaseRecord) -> LeaseSaid {
    let Some(body) = encode(node, record) else { return LeaseSaid::NotDone };
    let guard = version.map_or(FeedGuard::Absent, FeedGuard::Is);
    match node.store.write(FeedKind::Leases, LEASE_NAME, guard, body).await {
        Ok(FeedWrite::Made(revision)) => LeaseSaid::Written(revision),
        Ok(FeedWrite::Refused(_)) => {
            event!(node, LeaseFault; "fault" => "another wrote it meanwhile");
            LeaseSaid::Changed
        }
        Err(fault) => not_done(node, &fault),
    }
}

fn encode(node: &FrontNode, value: &impl Serialize) -> Option<Bytes> {
    match serde_json::to_vec(value) {
        Ok(text) => Some(Bytes::from(text)),
        Err(fault) => {
            event!(node, InternalFault; "fault" => fault.to_string());
            None
        }
    }
}

/// True time at this process.
pub fn true_now(node: &FrontNode) -> ClockTime {
    node.mesh.borrow().clock.read(node.clock.now(), node.clock.wall())
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct FixedReport {
    window: u64,
    counts: BTreeMap<AccountName, u64>,
}

/// Reports usage while the lease is held.
async fn report_usage(node: Rc<FrontNode>, cloud: Rc<dyn DutyPort>, lease: Rc<DutyLease>) {
    let bounds = node.bounds();
    let length = TimeSpan((bounds.usage_window_s * 1000.0) as u64);
    let due = TimeSpan((bounds.usage_due_s * 1000.0) as u64);
    let mut duty: Option<(u64, UsageDuty)> = None;
    loop {
        actix_rt::time::sleep(DUTY_PERIOD.duration()).await;
        let Some(stamp) = lease.stamp(&node).filter(|_| collects(&node)) else {
            duty = None;
            continue;
        };
        let now = true_now(&node);
        let fence = stamp.fence;
        let current = match duty.take() {
            Some((known, duty)) if known == fence => duty,
            _ => begin_usage(&node, length, due, now),
        };
        let (_, duty) = duty.insert((fence, current));
        let UsageStep::Report(window) = duty.next(now, |since| all_reported(&node, since)) else {
            continue;
        };
        if duty.is_late(window, now) || report_window(&node, cloud.as_ref(), &stamp, window).await {
            duty.done(window);
            let mut mesh = node.mesh.borrow_mut();
            mesh.reported_window = mesh.reported_window.max(window);
            if let Some(collector) = &mut mesh.collector {
                collector.forget_usage(window);
            }
        }
    }
}

/// A duty that goes on after the windows that are known to be reported.
fn begin_usage(node: &FrontNode, length: TimeSpan, due: TimeSpan, now: ClockTime) -> UsageDuty {
    let mut duty = UsageDuty::begin(length, due, now);
    let reported = node.mesh.borrow().reported_window;
    if reported <= window_of(now, length) {
        duty.done(reported);
    }
    duty
}

fn all_reported(node: &FrontNode, since: ClockTime) -> bool {
    let mesh = node.mesh.borrow();
    let now = node.clock.now();
    let true_now = mesh.clock.read(now, node.clock.wall());
    let since = now - (true_now - since);
    mesh.collector.as_ref().is_some_and(|collector| collector.all_reported_since(&mesh.view, since))
}

/// Reports one window; says whether nothing is left to do for it.
///
/// The counts are fixed in the store before they are sent. Whoever repeats the call, after a lost
/// answer or as the next holder, sends the same; two different reports of a window would be billed
/// twice.
async fn report_window(
    node: &FrontNode,
    cloud: &dyn DutyPort,
    stamp: &DutyStamp,
    window: u64,
) -> bool {
    let counts = {
        let mesh = node.mesh.borrow();
        mesh.collector.as_ref().map(|collector| collector.usage_of(window)).unwrap_or_default()
    };
    let Some(fixed) = fix_report(node, FixedReport { window, counts }).await else {
        return false;
    };
    if fixed.window != window || fixed.counts.is_empty() {
        return true;
    }
    let report = UsageReport { window, counts: fixed.counts };
    match cloud.report_usage(stamp, &report).await {
        Ok(DutyAnswer::Done) => {
            node.meter.count_usage(true);
            event!(node, UsageReported; "window" => window,
                "requests" => report.counts.values().sum::<u64>());
            true
        }
        Ok(DutyAnswer::Refused(words)) => {
            node.meter.count_usage(false);
            event!(node, UsageFault;
                "window" => window, "fence" => stamp.fence, "words" => words);
            false
        }
        Err(fault) => {
            node.meter.count_usage(false);
            event!(node, UsageFault;
                "window" => window, "fault" => fault.to_string());
            false
        }
    }
}

/// Fixes a report in its place of the store; gives back what is fixed for the window. `None` if
/// that is not known now.
async fn fix_report(node: &FrontNode, report: FixedReport) -> Option<FixedReport> {
    if report.counts.is_empty() {
        return Some(report);
    }
    let name = format!("{}", report.window % KEPT_REPORTS);
    let body = encode(node, &report)?;
    let mut guard = FeedGuard::Absent;
    if let Some(revision) = node.report_revisions.borrow().get(&name).copied() {
        guard = FeedGuard::Is(revision);
    }
    for _ in 0..3 {
        match node.store.write(FeedKind::UsageReports, &name, guard, body.clone()).await {
            Ok(FeedWrite::Made(revision)) => {
                node.report_revisions.borrow_mut().insert(name, revision);
                return Some(report);
            }
            Ok(FeedWrite::Refused(Some(object))) => {
                let known: FixedReport = serde_json::from_slice(&object.body).ok()?;
                if known.window >= report.window {
                    return Some(known);
                }
                guard = FeedGuard::Is(object.revision);
            }
            Ok(FeedWrite::Refused(None)) => guard = FeedGuard::Absent,
            Err(fault) => {
                event!(node, UsageFault;
                    "window" => report.window, "fault" => fault.to_string());
                return None;
            }
        }
    }
    None
}

#[derive(Default)]
struct ServiceStand {
    need: ServiceNeed,
    asked_since: Option<ClockTime>,
    baseline: u32,
    /// Whether the need was told by the last holder.
    inherited: bool,
}

/// Orders endpoints while the lease is held.
async fn scale_services(node: Rc<FrontNode>, cloud: Rc<dyn DutyPort>, lease: Rc<DutyLease>) {
    let mut memory = OrderMemory::default();
    let mut stands: BTreeMap<ServiceName, ServiceStand> = BTreeMap::new();
    let mut fence = 0;
    loop {
        actix_rt::time::sleep(DUTY_PERIOD.duration()).await;
        let Some(stamp) = lease.stamp(&node).filter(|_| collects(&node)) else { continue };
        if stamp.fence != fence {
            // Another holder may have ordered meanwhile.
            memory = OrderMemory::default();
            stands = inherit_peaks(&node);
            fence = stamp.fence;
        }
        let Some(rules) = node.current_rules() else { continue };
        let known_since = node.endpoints_feed.get().known_since;
        if known_since.is_none_or(|since| node.clock.now() - since < LIST_SETTLE) {
            continue;
        }
        let orders = due_orders(&node, &rules, &mut stands, &memory);
        share_peaks(&node, &stands);
        for order in orders {
            send_order(&node, cloud.as_ref(), &stamp, &order, &mut memory).await;
        }
    }
}

fn due_orders(
    node: &FrontNode,
    rules: &RuleSet,
    stands: &mut BTreeMap<ServiceName, ServiceStand>,
    memory: &OrderMemory,
) -> Vec<ScaleOrder> {
    let mut orders = Vec::new();
    for service in rules.services() {
        let (Some(scale), Some(engine)) = (&service.scale, &service.engine) else { continue };
        let stand = stands.entry(service.name.clone()).or_default();
        let needed = needed_of(node, &service.name, engine, stand);
        let domains = domain_stands(node, &service.name, scale);
        let sum = |market| domains.iter().map(|stand| stand.live.of(market)).sum();
        let most = u32::max(sum(InstanceMarket::Reclaimable), sum(InstanceMarket::OnDemand));
        stand.baseline = stand.baseline.max(most);
        let facts = ScaleFacts {
            service: &service.name,
            rule: scale,
            domains: &domains,
            needed,
            needed_now: stand.need.recent_peak(node.clock.now()),
            baseline: stand.baseline,
            now: node.clock.now(),
        };
        orders.extend(plan_orders(&facts, memory));
    }
    orders
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
    let is_ours = |instance| {
        board
            .key(instance)
            .and_then(|key| board.get(key))
            .is_some_and(|fact| fact.entry.service == *service)
    };
    let loads = collector.loads(now);
    let running =
        loads.iter().filter(|load| is_ours(&load.instance)).map(|load| load.requests).sum();
    if demand.requests > 0.0 {
        stand.asked_since.get_or_insert(now);
    }
    let tokens = (demand.unread_tokens, demand.answer_tokens);
    stand.need.note(needed_engines(engine, tokens, running), now);
    let since = stand.asked_since?;
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
    let live = |domain: &oleander_kind::DomainName| {
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
    let stand = |(domain, price): &(oleander_kind::DomainName, f64)| DomainStand {
        domain: domain.clone(),
        price: *price,
        live: live(domain),
    };
    scale.domain_prices.iter().map(stand).collect()
}

async fn send_order(
    node: &FrontNode,
    cloud: &dyn DutyPort,
    stamp: &DutyStamp,
    order: &ScaleOrder,
    memory: &mut OrderMemory,
) {
    let answer = cloud.order_endpoints(stamp, order).await;
    let refused = match &answer {
        Ok(DutyAnswer::Done) => false,
        Ok(DutyAnswer::Refused(_)) | Err(_) => true,
    };
    node.meter.count_order(!refused);
    event!(node, EndpointsOrdered;
        "service" => order.service.as_str(), "domain" => order.domain.as_str(),
        "market" => format!("{:?}", order.market), "count" => order.count,
        "fence" => stamp.fence, "answer" => format!("{answer:?}"));
    memory.note(order, refused, node.clock.now());
}

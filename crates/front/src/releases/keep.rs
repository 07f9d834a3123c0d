//! Carries out the orders of roll-outs while this process holds the lease of the control work.

use super::desk::RunningOrder;
use super::refresh;
use crate::duties::DutyLease;
use crate::events::event;
use crate::node::FrontNode;
use compact_str::CompactString;
use oleander_kind::{ClockTime, ServiceName, TimeSpan};
use oleander_mesh::EndpointHash;
use oleander_plat::{FeedEvent, FeedKind, FeedObject, PlatError, WatchOutcome, WriteOutcome};
use oleander_release::{
    ExposureBounds, OrderEntry, OrderFault, PlanAction, PlanInputs, ReleasePlan, ReleaseStage,
    ReleaseState, exposure_account,
};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

/// Between two looks at the orders under way.
const STEP_PERIOD: TimeSpan = TimeSpan(100);
/// How long a watch of the orders waits for a change. They change rarely; a version that appears ends the wait.
const WATCH_WAIT: TimeSpan = TimeSpan(2500);
/// The first pause after the store did not answer, and the longest.
const FAULT_PAUSES: (TimeSpan, TimeSpan) = (TimeSpan(100), TimeSpan(1000));
/// How long a completed order is told: longer than the entries of endpoints that were stopped stay listed.
const COMPLETED_TOLD: TimeSpan = TimeSpan(10_000);
/// A report that was made just before the moment from which a version gets all may come this much after it.
const REPORT_MARGIN: TimeSpan = TimeSpan(100);

/// The orders as the store has them, by the names of their objects.
type KnownOrders = BTreeMap<String, Result<OrderEntry, String>>;

/// Follows and carries out the orders until the task is ended.
pub(crate) async fn keep_releases(node: Rc<FrontNode>, lease: Rc<DutyLease>) {
    let mut orders = KnownOrders::new();
    let mut told = BTreeSet::new();
    let mut from = None;
    let (first, longest) = FAULT_PAUSES;
    let mut pause = first;
    loop {
        if lease.fence().is_none() {
            forget(&node);
            (orders, from) = (KnownOrders::new(), None);
            actix_rt::time::sleep(STEP_PERIOD.duration()).await;
            continue;
        }
        let outcome = {
            let asking = ask_store(&node, &mut orders, &mut from);
            tokio::pin!(asking);
            loop {
                tokio::select! {
                    outcome = &mut asking => break outcome,
                    () = actix_rt::time::sleep(STEP_PERIOD.duration()) => {
                        carry_out(&node, &lease).await;
                    }
                }
            }
        };
        match outcome {
            Ok(()) => {
                pause = first;
                if let Some(mark) = from {
                    take_orders(&node, &orders, mark, &mut told);
                }
                carry_out(&node, &lease).await;
            }
            Err(fault) => {
                event!(node, RecordFault;
                    "record" => FeedKind::Releases.name(), "fault" => fault.to_string());
                from = None;
                pause = node.back_off(pause, longest).await;
            }
        }
    }
}

/// Another process holds the lease, or none.
fn forget(node: &FrontNode) {
    let mut desk = node.releases.borrow_mut();
    desk.running.clear();
    desk.read_mark = None;
}

/// Reads the orders, or waits until they change or news of them is wanted.
async fn ask_store(
    node: &FrontNode,
    orders: &mut KnownOrders,
    from: &mut Option<u64>,
) -> Result<(), PlatError> {
    let Some(revision) = *from else {
        let page = node.store.list(FeedKind::Releases).await?;
        *orders = page.objects.iter().map(|object| known_order(node, object)).collect();
        *from = Some(page.as_of);
        return Ok(());
    };
    let answer = tokio::select! {
        answer = node.store.watch(FeedKind::Releases, revision, WATCH_WAIT) => answer?,
        // A version appeared that may be under an order: the list tells at once.
        () = node.orders_wanted.notified() => WatchOutcome::HistoryLost,
    };
    match answer {
        WatchOutcome::Changes(events, as_of) => {
            for change in events {
                match change {
                    FeedEvent::Put(object) => orders.extend([known_order(node, &object)]),
                    FeedEvent::Gone { name, .. } => {
                        orders.remove(name.as_str());
                    }
                }
            }
            *from = Some(as_of);
        }
        WatchOutcome::HistoryLost => *from = None,
    }
    Ok(())
}

fn known_order(node: &FrontNode, object: &FeedObject) -> (String, Result<OrderEntry, String>) {
    (object.name.to_string(), node.dialect.decode_release(object))
}

/// Begins orders that are new, and gives up those that were changed or removed.
fn take_orders(node: &FrontNode, orders: &KnownOrders, mark: u64, told: &mut BTreeSet<String>) {
    let now = node.clock.now();
    node.releases.borrow_mut().read_mark = Some(mark);
    let mut kept = BTreeSet::new();
    for (name, order) in orders {
        let entry = match order {
            Ok(entry) => entry,
            Err(fault) => {
                tell_fault(node, told, (name, OrderFault::Unreadable, fault));
                continue;
            }
        };
        kept.insert(entry.order.service.clone());
        if let Err(fault) = check_order(node, entry) {
            tell_fault(node, told, (name, fault, &format!("{:?}", entry.order)));
            if fault == OrderFault::BadTime {
                hold(node, (entry.order.service.clone(), entry.order.to.clone()));
            }
            continue;
        }
        take_order(node, (name, entry), told, now);
    }
    let running: Vec<ServiceName> = node.releases.borrow().running.keys().cloned().collect();
    for service in running.into_iter().filter(|service| !kept.contains(service)) {
        withdraw(node, &service, told);
    }
    refresh(node);
}

fn check_order(node: &FrontNode, entry: &OrderEntry) -> oleander_release::Result<()> {
    let order = &entry.order;
    let is_known =
        node.current_rules().is_some_and(|rules| rules.service(&order.service).is_some());
    let board = node.endpoints.borrow();
    let facts = board.of_service(&order.service).iter().filter_map(|key| board.get(*key));
    let versions: BTreeSet<&CompactString> =
        facts.filter(|fact| fact.takes_work()).map(|fact| &fact.entry.release).collect();
    let is_decided = entry.state().is_some_and(|state| state != ReleaseState::Running);
    if is_decided {
        return Ok(());
    }
    order.check(is_known, &versions.into_iter().collect::<Vec<_>>())
}

fn take_order(
    node: &FrontNode,
    (name, entry): (&str, &OrderEntry),
    told: &mut BTreeSet<String>,
    now: ClockTime,
) {
    let service = &entry.order.service;
    let known = node.releases.borrow().running.get(service).map(|known| known.entry.order.clone());
    if known.as_ref() == Some(&entry.order) {
        if let Some(running) = node.releases.borrow_mut().running.get_mut(service) {
            running.entry = entry.clone();
        }
        return;
    }
    if known.is_some() {
        withdraw(node, service, told);
    }
    // What was completed before this process heard of it is as if there were no order.
    if entry.state() == Some(ReleaseState::Completed) {
        return;
    }
    let bounds = node.bounds();
    let exposure =
        ExposureBounds { share: bounds.release_share, slack: f64::from(bounds.release_slack) };
    let mut desk = node.releases.borrow_mut();
    let heard = desk.book.news(now).told;
    let before = heard.iter().find(|told| told.service == *service);
    let plan = ReleasePlan::begin(entry.order.clone(), (exposure, entry.state()), before, now);
    event!(node, ReleaseStaged;
        "service" => service.as_str(), "to" => entry.order.to.as_str(),
        "stage" => format!("{:?}", plan.stage()), "lasts_ms" => entry.order.lasts.0,
        "revision" => entry.revision, "number" => plan.number());
    let sent = before.filter(|told| told.to == entry.order.to).map_or(0, |told| told.sent);
    let running = RunningOrder::new(name.to_owned(), entry.clone(), (plan, sent));
    desk.withdrawn.remove(&(service.clone(), entry.order.to.clone()));
    desk.running.insert(service.clone(), running);
}

/// An order under way was changed or removed: its version gets nothing.
fn withdraw(node: &FrontNode, service: &ServiceName, told: &mut BTreeSet<String>) {
    let Some(running) = node.releases.borrow_mut().running.remove(service) else { return };
    let order = running.plan.order().clone();
    if running.plan.is_open() {
        let text = format!("{order:?}");
        tell_fault(node, told, (&running.name, OrderFault::Withdrawn, &text));
        hold(node, (order.service, order.to));
    }
}

fn hold(node: &FrontNode, version: (ServiceName, CompactString)) {
    node.releases.borrow_mut().withdrawn.insert(version);
}

/// Logs what is wrong with an order, once.
fn tell_fault(
    node: &FrontNode,
    told: &mut BTreeSet<String>,
    (name, fault, text): (&str, OrderFault, &str),
) {
    if told.insert(format!("{name} {fault:?} {text}")) {
        event!(node, ReleaseFault;
            "order" => name, "code" => fault.code().number(), "fault" => fault.to_string(),
            "text" => text);
    }
}

/// Takes the next step of each order under way.
async fn carry_out(node: &FrontNode, lease: &DutyLease) {
    let services: Vec<ServiceName> = node.releases.borrow().running.keys().cloned().collect();
    for service in services {
        let now = node.clock.now();
        let facts = plan_facts(node, &service, now);
        let actions = {
            let mut desk = node.releases.borrow_mut();
            let Some(running) = desk.running.get_mut(&service) else { continue };
            running.plan.step(&facts, now)
        };
        drop_completed(node, &service, now);
        for action in actions {
            match action {
                PlanAction::Announce(stage) => tell_stage(node, &service, (stage, &facts)),
                PlanAction::Write(state) if lease.fence().is_some() => {
                    write_state(node, &service, state).await;
                }
                PlanAction::Write(_) => {}
            }
        }
    }
}

/// Forgets an order that was completed a while ago. Until then the processes are told not to use what is left on their lists of
/// the former version; later ones that appear without an order serve.
fn drop_completed(node: &FrontNode, service: &ServiceName, now: ClockTime) {
    let mut desk = node.releases.borrow_mut();
    let Some(running) = desk.running.get_mut(service) else { return };
    if running.plan.stage() != ReleaseStage::Completed {
        return;
    }
    let since = *running.completed_at.get_or_insert(now);
    if now - since >= COMPLETED_TOLD && running.entry.state() == Some(ReleaseState::Completed) {
        desk.running.remove(service);
    }
}

fn tell_stage(
    node: &FrontNode,
    service: &ServiceName,
    (stage, facts): (ReleaseStage, &PlanInputs),
) {
    let desk = node.releases.borrow();
    let Some(running) = desk.running.get(service) else { return };
    event!(node, ReleaseStaged;
        "service" => service.as_str(), "to" => running.plan.order().to.as_str(),
        "stage" => format!("{stage:?}"), "number" => running.plan.number(),
        "seen" => running.plan.case.seen(), "score" => format!("{:.1}", running.plan.case.score()),
        "sent" => facts.sent, "handed" => facts.handed, "endpoints" => facts.trial_endpoints);
}

fn plan_facts(node: &FrontNode, service: &ServiceName, now: ClockTime) -> PlanInputs {
    let desk = node.releases.borrow();
    let Some(running) = desk.running.get(service) else { return PlanInputs::default() };
    let board = node.endpoints.borrow();
    let mesh = node.mesh.borrow();
    let Some(collector) = mesh.collector.as_ref() else { return PlanInputs::default() };
    let order = running.plan.order();
    let account = exposure_account(service, &order.to);
    let handed = collector.windows().find(|(name, _)| **name == account);
    let live = board.of_service(service).iter().filter_map(|key| board.get(*key));
    let live = live.filter(|fact| fact.takes_work() && fact.entry.release == order.to);
    let is_left = match running.plan.stage() {
        ReleaseStage::Moving { full_at } => {
            let facts = board.of_service(service).iter().filter_map(|key| board.get(*key));
            let former = facts.filter(|fact| fact.entry.release != order.to);
            let marks: BTreeSet<EndpointHash> = former
                .map(|fact| EndpointHash::of(&fact.entry.instance, fact.entry.life))
                .collect();
            let plan = (service, running.plan.number());
            collector.all_left_version(&mesh.view, (plan, &marks), full_at + REPORT_MARGIN)
        }
        _ => false,
    };
    PlanInputs {
        sent: running.sent(),
        rate_per_s: collector.demand_of(service, now).requests,
        handed: handed.map_or(0.0, |(_, stand)| (stand.spent + stand.open) as f64),
        trial_endpoints: live.count(),
        is_left,
    }
}

/// Writes how an order stands, unless the object was changed meanwhile: then the watch tells.
async fn write_state(node: &FrontNode, service: &ServiceName, state: ReleaseState) {
    let Some((name, revision, to)) = ({
        let desk = node.releases.borrow();
        desk.running.get(service).map(|running| {
            (running.name.clone(), running.entry.revision, running.plan.order().to.clone())
        })
    }) else {
        return;
    };
    let status = match node.dialect.encode_release_state(state, &to) {
        Ok(status) => status,
        Err(fault) => {
            event!(node, InternalFault; "fault" => fault);
            return;
        }
    };
    let written = node.store.write_status(FeedKind::Releases, &name, revision, status).await;
    event!(node, ReleaseWritten;
        "service" => service.as_str(), "to" => to.as_str(), "state" => format!("{state:?}"),
        "revision" => revision, "answer" => format!("{written:?}"));
    let mut desk = node.releases.borrow_mut();
    let Some(running) = desk.running.get_mut(service).filter(|running| running.name == name) else {
        return;
    };
    match written {
        Ok(WriteOutcome::Made(revision)) => {
            running.entry.revision = revision;
            running.entry.state = Some((state, to));
            running.plan.note_written(state);
        }
        Ok(WriteOutcome::Refused(Some(object))) => running.entry.revision = object.revision,
        Ok(WriteOutcome::Refused(None)) | Err(_) => {}
    }
}

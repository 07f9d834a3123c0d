//! Reads the operators' orders from the store, and begins and withdraws roll-outs by them.

use super::desk::RunningOrder;
use super::refresh;
use crate::era;
use crate::events::event;
use crate::node::FrontNode;
use crate::told::shown_name;
use compact_str::CompactString;
use oleander_kind::{ClockTime, ServiceName, StoreEra, TimeSpan};
use oleander_plat::{FeedEvent, FeedKind, FeedObject, PlatError, WatchOutcome};
use oleander_release::{ExposureBounds, OrderEntry, OrderFault, ReleasePlan, ReleaseState};
use std::collections::{BTreeMap, BTreeSet};

/// How long a watch of the orders waits for a change. Orders change rarely, and a new version ends
/// the wait.
const WATCH_WAIT: TimeSpan = TimeSpan(2500);

/// The decoded orders in the store, by object name.
pub(super) type KnownOrders = BTreeMap<String, Result<OrderEntry, String>>;

/// Lists the orders, or waits until they change or a new version requires a fresh list.
pub(super) async fn read_or_watch(
    node: &FrontNode,
    orders: &mut KnownOrders,
    from: &mut Option<u64>,
) -> Result<(), PlatError> {
    let era = era::known_era(node);
    let Some(revision) = from.filter(|revision| StoreEra::of(*revision) >= era) else {
        let page = node.store.list(FeedKind::Releases).await?;
        era::check_answer(node)?;
        *orders = page.objects.iter().map(|object| decode_order(node, object)).collect();
        *from = Some(page.as_of);
        return Ok(());
    };
    let answer = tokio::select! {
        answer = node.store.watch(FeedKind::Releases, revision, WATCH_WAIT) => answer?,
        // A new version may be under an order: a fresh list shows it at once.
        () = node.orders_refresh.notified() => WatchOutcome::HistoryLost,
        () = era::until_later(node, StoreEra::of(revision)) => WatchOutcome::HistoryLost,
    };
    era::note_store_era(node);
    match answer {
        WatchOutcome::Changes(_, as_of) if StoreEra::of(as_of) > StoreEra::of(revision) => {
            *from = None;
        }
        WatchOutcome::Changes(events, as_of) => {
            for change in events {
                match change {
                    FeedEvent::Put(object) => orders.extend([decode_order(node, &object)]),
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

fn decode_order(node: &FrontNode, object: &FeedObject) -> (String, Result<OrderEntry, String>) {
    (object.name.to_string(), node.dialect.decode_release(object))
}

/// Starts new orders and withdraws those that were changed or removed.
pub(super) fn apply_orders(node: &FrontNode, orders: &KnownOrders, list_revision: u64) {
    let now = node.clock.now();
    node.releases.borrow_mut().read_revision = Some(list_revision);
    let mut kept = BTreeSet::new();
    for (name, order) in orders {
        let entry = match order {
            Ok(entry) => entry,
            Err(fault) => {
                log_fault(node, (name, OrderFault::Unreadable, fault));
                continue;
            }
        };
        kept.insert(entry.order.service.clone());
        if let Err(fault) = check_order(node, entry) {
            log_fault(node, (name, fault, &format!("{:?}", entry.order)));
            if fault == OrderFault::BadTime {
                block_version(node, (entry.order.service.clone(), entry.order.to.clone()));
            }
            continue;
        }
        apply_order(node, (name, entry), now);
    }
    // The operators write again what the store lost; an order that began anew would get its slack twice.
    if !era::is_relisting(node) {
        let running: Vec<ServiceName> = node.releases.borrow().running.keys().cloned().collect();
        for service in running.into_iter().filter(|service| !kept.contains(service)) {
            withdraw(node, &service);
        }
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

fn apply_order(node: &FrontNode, (name, entry): (&str, &OrderEntry), now: ClockTime) {
    let service = &entry.order.service;
    let known = node.releases.borrow().running.get(service).map(|known| known.entry.order.clone());
    if known.as_ref() == Some(&entry.order) {
        if let Some(running) = node.releases.borrow_mut().running.get_mut(service) {
            running.entry = entry.clone();
            running.plan.note_read(entry.state());
        }
        return;
    }
    if known.is_some() {
        withdraw(node, service);
    }
    // An order that was completed before this process knew it is ignored.
    if entry.state() == Some(ReleaseState::Completed) {
        return;
    }
    let bounds = node.bounds();
    let exposure =
        ExposureBounds { share: bounds.release_share, slack: f64::from(bounds.release_slack) };
    let mut rollouts = node.releases.borrow_mut();
    let shared = rollouts.book.news(now).told;
    let before = shared.iter().find(|known| known.service == *service);
    let plan = ReleasePlan::begin(entry.order.clone(), (exposure, entry.state()), before, now);
    event!(node, ReleaseStaged;
        "service" => service.as_str(), "to" => entry.order.to.as_str(),
        "stage" => format!("{:?}", plan.stage()), "lasts_ms" => entry.order.lasts.0,
        "revision" => entry.revision, "number" => plan.number());
    let sent = before.filter(|known| known.to == entry.order.to).map_or(0, |told| told.sent);
    let running = RunningOrder::new(name.to_owned(), entry.clone(), (plan, sent));
    rollouts.withdrawn.remove(&(service.clone(), entry.order.to.clone()));
    rollouts.running.insert(service.clone(), running);
}

/// Withdraws an order that was changed or removed: its version receives no more requests.
fn withdraw(node: &FrontNode, service: &ServiceName) {
    let Some(running) = node.releases.borrow_mut().running.remove(service) else { return };
    let order = running.plan.order().clone();
    if running.plan.is_open() {
        let text = format!("{order:?}");
        log_fault(node, (&running.name, OrderFault::Withdrawn, &text));
        block_version(node, (order.service, order.to));
    }
}

fn block_version(node: &FrontNode, version: (ServiceName, CompactString)) {
    node.releases.borrow_mut().withdrawn.insert(version);
}

/// Logs a fault of an order, once.
fn log_fault(node: &FrontNode, (name, fault, text): (&str, OrderFault, &str)) {
    if node.told.note(FeedKind::Releases, name, &format!("{fault:?} {text}")) {
        event!(node, ReleaseFault;
            "order" => shown_name(name).as_str(), "code" => fault.code().number(), "fault" => fault.to_string(),
            "text" => text);
    }
}

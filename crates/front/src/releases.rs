//! Which version of a service a request goes to, and the orders of roll-outs at the process that collects.

mod desk;
mod keep;
mod lane;

pub use desk::{ReleaseDesk, RunningOrder};
pub(crate) use keep::keep_releases;

use crate::limits;
use crate::node::FrontNode;
use compact_str::CompactString;
use oleander_kind::{AccountName, ServiceName, TimeSpan};
use oleander_limit::PoolLimit;
use oleander_mesh::{NodeReport, RouteEvidence, ServiceDemand};
use oleander_place::{EndpointBoard, EndpointFact, EndpointKey};
use oleander_release::{ListedVersion, TRIAL_GRANTS, VersionLane, exposure_limit};

/// The fewest endpoints of a version that get its requests while it is tried.
const LEAST_TRIED: usize = 3;

/// Whether roll-outs are carried out here.
pub(crate) fn are_served(node: &FrontNode) -> bool {
    node.bounds().release_share > 0.0
}

/// Notes on the board which endpoints take requests, by their versions and what is known of orders.
pub(crate) fn refresh(node: &FrontNode) {
    if !are_served(node) {
        return;
    }
    let now = node.clock.now();
    let mut board = node.endpoints.borrow_mut();
    let mut desk = node.releases.borrow_mut();
    let services: Vec<ServiceName> = board.services().map(|(name, _)| name.clone()).collect();
    let mut lacks_news = false;
    for service in &services {
        let listed = listed_versions(&board, service);
        lacks_news |= desk.book.update_versions(service, &listed, now);
        let tried = tried_endpoints(&board, service, (&desk, node.bounds().release_share));
        for key in board.of_service(service).to_vec() {
            let Some(fact) = board.get_mut(key) else { continue };
            let version = (service, &fact.entry.release);
            fact.serves = desk.book.takes(version, VersionLane::Serving, now);
            fact.is_tried = tried.contains(&key);
        }
    }
    desk.refreshed(now);
    if lacks_news {
        node.orders_wanted.notify_one();
    }
}

/// The versions of a service's endpoints that take work.
fn listed_versions(board: &EndpointBoard, service: &ServiceName) -> Vec<ListedVersion> {
    let mut listed: Vec<ListedVersion> = Vec::new();
    let facts = board.of_service(service).iter().filter_map(|key| board.get(*key));
    for entry in facts.filter(|fact| fact.takes_work()).map(|fact| &fact.entry) {
        match listed.iter_mut().find(|one| one.version == entry.release) {
            Some(one) => {
                one.revision = one.revision.min(entry.revision);
                one.life = one.life.min(entry.life);
            }
            None => listed.push(ListedVersion {
                version: entry.release.clone(),
                revision: entry.revision,
                life: entry.life,
            }),
        }
    }
    listed
}

/// The endpoints that get what a version under an order gets.
///
/// While it is tried these are few, the same at all processes: each has as much to do as an endpoint of the version that
/// serves, so that a version shows that is bad under load.
fn tried_endpoints(
    board: &EndpointBoard,
    service: &ServiceName,
    (desk, share): (&ReleaseDesk, f64),
) -> Vec<EndpointKey> {
    let Some(to) = desk.book.tried(service) else { return Vec::new() };
    let is_tried = |fact: &EndpointFact| fact.takes_work() && fact.entry.release == *to;
    let keyed = |key: &EndpointKey| {
        let fact = board.get(*key).filter(|fact| is_tried(fact))?;
        Some((fact.entry.instance.stable_hash(), *key))
    };
    let mut keys: Vec<_> = board.of_service(service).iter().filter_map(keyed).collect();
    if !desk.book.is_moving(service) {
        let few = (keys.len() as f64 * share).ceil() as usize;
        keys.sort_by_key(|(hash, _)| *hash);
        keys.truncate(few.max(LEAST_TRIED));
    }
    keys.into_iter().map(|(_, key)| key).collect()
}

/// A request that goes to the version under an order, and the account that it was paid from.
#[derive(Clone, Debug)]
pub(crate) struct TriedPayment(AccountName);

/// Decides whether a request goes to the version under an order, and pays for it. `lot` is drawn in 0 to 1; its answer is
/// expected to last for `takes`.
pub(crate) async fn take_lane(
    node: &FrontNode,
    service: &ServiceName,
    (lot, takes): (f64, TimeSpan),
) -> Option<TriedPayment> {
    if !are_served(node) {
        return None;
    }
    let now = node.clock.now();
    if node.releases.borrow().is_refresh_due(now) {
        refresh(node);
    }
    let share = node.bounds().release_share;
    let (account, is_moving) = {
        let desk = node.releases.borrow();
        let account = desk.book.paying_account(service, (lot, share), (takes, now))?;
        (account, desk.book.is_moving(service))
    };
    // While a version is tried a request that finds nothing handed out goes where it always went. One that would outlast the
    // moment at which the former version is left is worth a word with the ledger.
    let is_paid = limits::pay_tried(node, &account, is_moving).await;
    is_paid.then_some(TriedPayment(account))
}

/// Gives back what was paid for an attempt that certainly did not run.
pub(crate) fn give_back(node: &FrontNode, payment: &TriedPayment) {
    node.limits.borrow_mut().give_back(&payment.0, 1);
}

/// Up to how many requests may go to a version, if `account` is that of an order.
pub(crate) fn limit_of(node: &FrontNode, account: &AccountName) -> Option<PoolLimit> {
    let desk = node.releases.borrow();
    let running = desk.plan_of(account)?;
    Some(exposure_limit(running.plan.max_granted(running.sent())))
}

/// The requests of versions under orders that this process should hold.
pub(crate) fn hold_tried(node: &FrontNode) {
    let accounts = node.releases.borrow().book.trial_accounts();
    node.limits.borrow_mut().hold_least(&accounts, TRIAL_GRANTS);
}

/// The route that evidence of an endpoint is told by; none if no order is under way for its service.
pub(crate) fn told_route(
    node: &FrontNode,
    service: &ServiceName,
    route: &CompactString,
) -> Option<CompactString> {
    node.releases.borrow().book.tried(service).map(|_| route.clone())
}

/// Takes what a report tells of versions under orders.
pub(crate) fn note_evidence(node: &FrontNode, report: &NodeReport) {
    let now = node.clock.now();
    let board = node.endpoints.borrow();
    let mut desk = node.releases.borrow_mut();
    for RouteEvidence { route, seen } in &report.route_evidence {
        let Some(fact) = board.key(&seen.instance).and_then(|key| board.get(key)) else { continue };
        // What a leaving endpoint fails is no fault of its version.
        if !fact.takes_work() || !seen.tally.is_plausible() {
            continue;
        }
        let Some(running) = desk.running.get_mut(&fact.entry.service) else { continue };
        if fact.entry.release == running.plan.order().to {
            let instance = CompactString::from(seen.instance.as_str());
            running.plan.comparison.record_trial(route, &instance, &seen.tally);
        } else {
            running.plan.comparison.record_serving(route, &seen.tally, now);
        }
    }
}

/// Counts requests that were sent, for the orders of their services.
pub(crate) fn note_sent(node: &FrontNode, demand: &[ServiceDemand], before: &[ServiceDemand]) {
    let mut desk = node.releases.borrow_mut();
    for asked in demand {
        let known = before.iter().find(|known| known.service == asked.service);
        // A process that was not heard of before may have sent most of them before the order.
        let new = known.map_or(0, |known| asked.sent.saturating_sub(known.sent));
        if let Some(running) = desk.running.get_mut(&asked.service) {
            running.add_sent(new);
        }
    }
}

/// Whether a version of the service is under an order that is not decided.
pub(crate) fn is_under_way(node: &FrontNode, service: &ServiceName) -> bool {
    node.releases.borrow().book.tried(service).is_some()
}

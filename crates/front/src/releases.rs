//! Roll-outs of service versions: decides which version a request goes to, and tracks the
//! operators' orders while this process is the collector.
//!
//! A version under an order that is not decided yet is called the candidate.

mod desk;
mod keep;
mod lane;
mod orders;
mod steps;

pub use desk::{RolloutState, RunningOrder};
pub(crate) use keep::run_rollouts;

use crate::limits;
use crate::node::FrontNode;
use compact_str::CompactString;
use oleander_kind::{AccountName, ServiceName, TimeSpan};
use oleander_limit::PoolLimit;
use oleander_mesh::{NodeReport, RouteEvidence, ServiceDemand};
use oleander_place::{EndpointBoard, EndpointFact, EndpointKey};
use oleander_release::{ListedVersion, TRIAL_GRANTS, VersionLane, exposure_limit};

/// The fewest endpoints of a candidate that receive its requests while it is tried.
const MIN_CANDIDATE_ENDPOINTS: usize = 3;

/// Whether this process carries out roll-outs.
pub(crate) fn are_rollouts_enabled(node: &FrontNode) -> bool {
    node.bounds().release_share > 0.0
}

/// Updates which endpoints on the board receive requests, from their versions and the known orders.
pub(crate) fn refresh(node: &FrontNode) {
    if !are_rollouts_enabled(node) {
        return;
    }
    let now = node.clock.now();
    let mut board = node.endpoints.borrow_mut();
    let mut rollouts = node.releases.borrow_mut();
    let services: Vec<ServiceName> = board.services().map(|(name, _)| name.clone()).collect();
    let mut lacks_orders = false;
    for service in &services {
        let listed = listed_versions(&board, service);
        lacks_orders |= rollouts.book.update_versions(service, &listed, now);
        let tried = candidate_endpoints(&board, service, (&rollouts, node.bounds().release_share));
        for key in board.of_service(service).to_vec() {
            let Some(fact) = board.get_mut(key) else { continue };
            let version = (service, &fact.entry.release);
            fact.serves = rollouts.book.takes(version, VersionLane::Serving, now);
            fact.is_tried = tried.contains(&key);
        }
    }
    rollouts.mark_refreshed(now);
    if lacks_orders {
        node.orders_refresh.notify_one();
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

/// The endpoints that receive the requests of the candidate.
///
/// While it is tried these are few, and the same at all processes: each has as much load as an
/// endpoint of the serving version, so that a version that fails under load shows it.
fn candidate_endpoints(
    board: &EndpointBoard,
    service: &ServiceName,
    (rollouts, share): (&RolloutState, f64),
) -> Vec<EndpointKey> {
    let Some(to) = rollouts.book.tried(service) else { return Vec::new() };
    let is_tried = |fact: &EndpointFact| fact.takes_work() && fact.entry.release == *to;
    let keyed = |key: &EndpointKey| {
        let fact = board.get(*key).filter(|fact| is_tried(fact))?;
        Some((fact.entry.instance.stable_hash(), *key))
    };
    let mut keys: Vec<_> = board.of_service(service).iter().filter_map(keyed).collect();
    if !rollouts.book.is_moving(service) {
        let few = (keys.len() as f64 * share).ceil() as usize;
        keys.sort_by_key(|(hash, _)| *hash);
        keys.truncate(few.max(MIN_CANDIDATE_ENDPOINTS));
    }
    keys.into_iter().map(|(_, key)| key).collect()
}

/// Marks a request that goes to the candidate, with the account that paid for it.
#[derive(Clone, Debug)]
pub(crate) struct CandidatePayment(AccountName);

/// Decides whether a request goes to the candidate, and pays for it. `draw` is random in 0 to 1;
/// its answer is expected to take `expected`.
pub(crate) async fn pay_for_candidate(
    node: &FrontNode,
    service: &ServiceName,
    (draw, expected): (f64, TimeSpan),
) -> Option<CandidatePayment> {
    if !are_rollouts_enabled(node) {
        return None;
    }
    let now = node.clock.now();
    if node.releases.borrow().is_refresh_due(now) {
        refresh(node);
    }
    let share = node.bounds().release_share;
    let (account, is_moving) = {
        let rollouts = node.releases.borrow();
        let account = rollouts.book.paying_account(service, (draw, share), (expected, now))?;
        (account, rollouts.book.is_moving(service))
    };
    // While a candidate is tried, a request for which no budget is allotted goes to the serving
    // version. While requests are being moved to the candidate, the ledger is asked for budget: the
    // request would still run when the former version is no longer used.
    let is_charged = limits::charge_rollout(node, &account, is_moving).await;
    is_charged.then_some(CandidatePayment(account))
}

/// Refunds an attempt that certainly did not run.
pub(crate) fn refund(node: &FrontNode, payment: &CandidatePayment) {
    node.limits.borrow_mut().give_back(&payment.0, 1);
}

/// The exposure limit of a candidate, if `account` is the one that its requests are charged to.
pub(crate) fn exposure_limit_of(node: &FrontNode, account: &AccountName) -> Option<PoolLimit> {
    let rollouts = node.releases.borrow();
    let running = rollouts.order_paid_by(account)?;
    Some(exposure_limit(running.plan.max_granted(running.sent())))
}

/// Requests the budget for candidates that this process should hold in reserve.
pub(crate) fn reserve_candidates(node: &FrontNode) {
    let accounts = node.releases.borrow().book.trial_accounts();
    node.limits.borrow_mut().set_min_held(&accounts, TRIAL_GRANTS);
}

/// The route by which evidence about an endpoint is reported; `None` if no order is under way for
/// its service.
pub(crate) fn evidence_route(
    node: &FrontNode,
    service: &ServiceName,
    route: &CompactString,
) -> Option<CompactString> {
    node.releases.borrow().book.tried(service).map(|_| route.clone())
}

/// Records the evidence of a report about versions under orders.
pub(crate) fn record_evidence(node: &FrontNode, report: &NodeReport) {
    let now = node.clock.now();
    let board = node.endpoints.borrow();
    let mut rollouts = node.releases.borrow_mut();
    for RouteEvidence { route, seen } in &report.route_evidence {
        let Some(fact) = board.key(&seen.instance).and_then(|key| board.get(key)) else { continue };
        // Failures of a leaving endpoint say nothing about its version.
        if !fact.takes_work() || !seen.tally.is_plausible() {
            continue;
        }
        let Some(running) = rollouts.running.get_mut(&fact.entry.service) else { continue };
        if fact.entry.release == running.plan.order().to {
            let instance = CompactString::from(seen.instance.as_str());
            running.plan.comparison.record_trial(route, &instance, &seen.tally);
        } else {
            running.plan.comparison.record_serving(route, &seen.tally, now);
        }
    }
}

/// Counts the requests that were sent, for the orders of their services.
pub(crate) fn record_sent(node: &FrontNode, demand: &[ServiceDemand], before: &[ServiceDemand]) {
    let mut rollouts = node.releases.borrow_mut();
    for asked in demand {
        let known = before.iter().find(|known| known.service == asked.service);
        // A process without an earlier report may have sent most of its requests before the order.
        let new = known.map_or(0, |known| asked.sent.saturating_sub(known.sent));
        if let Some(running) = rollouts.running.get_mut(&asked.service) {
            running.add_sent(new);
        }
    }
}

/// Whether the service has an order that is not decided.
pub(crate) fn is_under_way(node: &FrontNode, service: &ServiceName) -> bool {
    node.releases.borrow().book.tried(service).is_some()
}

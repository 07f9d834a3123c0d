//! Builds the report of this process to the collector.

use super::bulk::bound_update;
use super::state::MeshState;
use crate::evidence::report_evidence;
use crate::node::FrontNode;
use crate::{releases, words};
use oleander_kind::{AccountName, ClockTime, ServiceName, TimeSpan};
use oleander_limit::AllotmentClaim;
use oleander_mesh::{
    AccountClaim, EndpointHash, EndpointLoad, LedgerHandover, NodeReport, NodeUsage, ServiceDemand,
    ServicePace, UsageCount, signals_hash,
};
use oleander_pace::PaceEstimator;

/// What a report contains about limits.
pub(super) enum LimitContent {
    /// Nothing, because the receiver may not be the collector.
    Nothing,
    /// Claims, and the ledger to hand over if this process kept one until now.
    Claims(Option<LedgerHandover>),
}

/// Builds the report.
pub(super) fn make_report(node: &FrontNode, limit_content: LimitContent) -> NodeReport {
    let (with_claims, handed) = match limit_content {
        LimitContent::Nothing => (false, None),
        LimitContent::Claims(handed) => (true, handed),
    };
    let mesh = node.mesh.borrow();
    let now = node.clock.lease_now();
    releases::reserve_candidates(node);
    let mut limits = node.limits.borrow_mut();
    let claims = with_claims.then(|| limits.claims(now).into_iter().map(claim_of).collect());
    let usage = node.usage.borrow().counts().map(usage_of).collect();
    let roster = node.roster.borrow();
    let update_for_collector =
        |theirs| bound_update(node, roster.update_for(theirs, None, node.incarnation_id));
    let roster_update = mesh.wants_roster.as_ref().map(update_for_collector);
    let mut suspects = node.suspects.borrow_mut();
    let rules_text = mesh.wants_rules.then(|| node.rules.borrow().text().cloned()).flatten();
    let (evidence, route_evidence) = report_evidence(node);
    NodeReport {
        member: mesh.view.me().clone(),
        wall: node.clock.wall(),
        term: mesh.view.term(),
        members_hash: mesh.view.members_hash(),
        served: node.rules_feed.get().is_served() && node.endpoints_feed.get().is_served(),
        rules: node.rules.borrow().status(node.clock.now()),
        roster: roster.status(node.clock.now()).for_report(),
        roster_version: roster.followed(),
        claims,
        bond: limits.bond(now),
        handed,
        usage,
        loads: own_loads(node),
        demand: own_demand(node),
        paces: own_paces(node),
        evidence,
        words: words::next_reported(node),
        signals_hash: signals_hash(&words::known_signals(node)),
        route_evidence,
        releases: node.releases.borrow().book.followed(),
        suspects: suspects.next_report(node.clock.now()),
        suspects_hash: suspects.shared_hash(),
        inherited_usage: inherited_usage(&mesh, node.clock.now()),
        unreached: mesh.view.unreached(node.clock.now()),
        rules_text,
        roster_update,
    }
}

/// The usage counts of other processes that the next collector needs.
///
/// A process that stopped has sent its last counts to the collector alone. If the collector stops
/// as well before the window is reported, they would be lost with it.
fn inherited_usage(mesh: &MeshState, now: ClockTime) -> Vec<NodeUsage> {
    /// Long enough for the successor to be chosen and to receive a report.
    const INHERITED_RETENTION: TimeSpan = TimeSpan(3000);
    let leaving = mesh.view.me().leaving;
    match (&mesh.collector, &mesh.inherited_usage) {
        (Some(collector), _) if leaving => collector.usage(),
        (_, Some((usage, since))) if now - *since < INHERITED_RETENTION => usage.clone(),
        _ => Vec::new(),
    }
}

fn claim_of((account, claim): (AccountName, AllotmentClaim)) -> AccountClaim {
    AccountClaim { account, claim }
}

fn usage_of((window, account, count): (u64, &AccountName, u64)) -> UsageCount {
    UsageCount { window, account: account.clone(), count }
}

fn own_loads(node: &FrontNode) -> Vec<EndpointLoad> {
    let board = node.endpoints.borrow();
    let busy = board.iter().filter(|(_, fact)| fact.own.requests > 0);
    let load = |fact: &oleander_place::EndpointFact| EndpointLoad {
        endpoint: EndpointHash::of(&fact.entry.instance, fact.entry.life),
        requests: fact.own.requests,
        unread_tokens: fact.own.unread_tokens,
    };
    busy.map(|(_, fact)| load(fact)).collect()
}

fn own_paces(node: &FrontNode) -> Vec<ServicePace> {
    let paces = node.paces.borrow();
    let pace = |(service, book): (&ServiceName, &PaceEstimator)| {
        Some(ServicePace { service: service.clone(), read: book.pace()? })
    };
    paces.iter().filter_map(pace).collect()
}

fn own_demand(node: &FrontNode) -> Vec<ServiceDemand> {
    node.demand.borrow().values().cloned().collect()
}

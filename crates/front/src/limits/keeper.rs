//! Starts, hands over and ends the ledger of account limits at the collector.

use crate::events::event;
use crate::mesh::state::MeshState;
use crate::node::FrontNode;
use oleander_kind::ResultCode;
use oleander_limit::{LedgerState, PROMISE_LIFETIME, PoolLedger, PriorLedger};
use oleander_mesh::{LedgerHandover, MeshCollector, WindowHandover};

/// Starts the ledger of a process that has become the collector, if it received the state of the windows recently.
/// Otherwise the state is read from the store first.
pub(crate) fn begin_ledger(node: &FrontNode, mesh: &mut MeshState) {
    if mesh.ended_ledger.is_some() && mesh.view.collects() {
        return;
    }
    let windows = node.limits.borrow().known_windows(node.clock.lease_now());
    if windows.iter().any(|(_, known)| known.age <= PROMISE_LIFETIME) {
        let state = LedgerState { windows, others: None };
        let prior = PriorLedger::Reported { state, lasts: PROMISE_LIFETIME };
        begin_ledger_from(node, mesh, prior, "told");
    } else {
        node.ledger_wanted.notify_one();
    }
}

/// Starts the ledger with the windows of `prior`; `by` names their source in the log.
pub(crate) fn begin_ledger_from(
    node: &FrontNode,
    mesh: &mut MeshState,
    prior: PriorLedger,
    by: &'static str,
) {
    let now = node.clock.now();
    let Some(collector) = &mut mesh.collector else { return };
    let windows = prior.windows();
    let age = windows.iter().map(|(_, known)| known.age.0).max();
    event!(node, LedgerBegan; "by" => by, "windows" => windows.len(), "age_ms" => age);
    // Each ledger has its own id, even if the process had another ledger before. If the present ledger has allotted nothing,
    // the new one takes over its id, because processes that it has answered refer to that id.
    let unused = collector.ledger().filter(|ledger| ledger.is_unused());
    let source = unused.map_or_else(|| node.random(), PoolLedger::source);
    collector.begin_ledger(PoolLedger::begin(source, prior, now));
}

/// Takes over the ledger of another process, unless at least as many processes report to the ledger here already.
///
/// A process that was suspended for seconds is the collector for itself alone when it wakes, until the others report to it
/// again. Its own ledger does not know what they admitted meanwhile, so they would be counted correctly only after a
/// whole window. What it admitted itself under that ledger is counted as admitted under an unknown one.
pub(crate) fn accept_handover(node: &FrontNode, mesh: &mut MeshState, handed: &LedgerHandover) {
    let now = node.clock.now();
    let ledger = mesh.collector.as_ref().and_then(MeshCollector::ledger);
    let keeps_own =
        |ledger: &PoolLedger| !ledger.is_unused() && ledger.member_count(now) >= handed.members;
    if ledger.is_some_and(keeps_own) {
        return;
    }
    let windows = handed.windows.iter().map(|entry| (entry.account.clone(), entry.window.clone()));
    let state = LedgerState { windows: windows.collect(), others: handed.others };
    begin_ledger_from(node, mesh, PriorLedger::HandedOver(state), "handed");
}

/// Ends the ledger of a process that is no longer the collector, and returns the state to hand over. The state is returned
/// until another collector has it or may have it.
pub(crate) fn end_ledger(node: &FrontNode) -> Option<LedgerHandover> {
    let now = node.clock.now();
    let mut mesh = node.mesh.borrow_mut();
    if let Some(ledger) = mesh.collector.as_mut().and_then(MeshCollector::take_ledger) {
        event!(node, LedgerEnded);
        mesh.ended_ledger = Some(ledger);
    }
    let ledger = mesh.ended_ledger.as_ref()?;
    let handed = |(account, window)| WindowHandover { account, window };
    let LedgerState { windows, others } = ledger.hand_over(now);
    let windows = windows.into_iter().map(handed).collect();
    Some(LedgerHandover { members: ledger.member_count(now), windows, others })
}

/// Resumes a ledger that was ended here and that no other process took over.
///
/// A process that reports to another collector may be redirected back to itself. A ledger started from the state received
/// earlier would take the windows of all accounts for nearly full each time.
pub(crate) fn resume_ledger(node: &FrontNode, mesh: &mut MeshState) {
    if let Some(ledger) = mesh.ended_ledger.take()
        && let Some(collector) = mesh.collector.as_mut().filter(|it| it.ledger().is_none())
    {
        event!(node, LedgerBegan; "by" => "resumed");
        collector.begin_ledger(ledger);
    }
}

/// Logs claims that were rejected because they cannot be true.
pub(crate) fn log_rejected_claims(node: &FrontNode, collector: &mut MeshCollector) {
    let count = collector.take_claims_left_out();
    if count > 0 {
        event!(node, ClaimsLeftOut; "count" => count, "code" => ResultCode::PeerBadClaim.number());
    }
}

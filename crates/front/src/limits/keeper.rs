//! Begins and ends the ledger of a process that collects.

use crate::events::event;
use crate::mesh::state::MeshState;
use crate::node::FrontNode;
use oleander_kind::ResultCode;
use oleander_limit::{LedgerPast, PoolLedger, TOLD_LASTS};
use oleander_mesh::{HandedLedger, HandedWindow, MeshCollector};

/// Begins the ledger of a process that begins to collect, if it was told lately how the windows stand; if not, the store
/// is asked first.
pub(crate) fn begin_ledger(node: &FrontNode, mesh: &mut MeshState) {
    if mesh.ended_ledger.is_some() && mesh.view.collects() {
        return;
    }
    let windows = node.limits.borrow().known_windows(node.clock.lease_now());
    if windows.iter().any(|(_, known)| known.age <= TOLD_LASTS) {
        let past = LedgerPast::Told { windows, lasts: TOLD_LASTS };
        begin_ledger_by(node, mesh, past, "told");
    } else {
        node.ledger_wanted.notify_one();
    }
}

/// Begins the ledger by what is known of the time before.
pub(crate) fn begin_ledger_by(
    node: &FrontNode,
    mesh: &mut MeshState,
    past: LedgerPast,
    by: &'static str,
) {
    let now = node.clock.now();
    let Some(collector) = &mut mesh.collector else { return };
    let windows = past.windows();
    let age = windows.iter().map(|(_, known)| known.age.0).max();
    event!(node, LedgerBegan; "by" => by, "windows" => windows.len(), "age_ms" => age);
    // Each ledger has a name of its own, also a second one of the same process. One that handed out nothing and is begun
    // anew is the same: processes that it answered go by it already.
    let same = collector.ledger().filter(|ledger| ledger.is_untouched());
    let source = same.map_or_else(|| node.random(), PoolLedger::source);
    collector.begin_ledger(PoolLedger::begin(source, past, now));
}

/// Takes the ledger that another process kept until now, unless more processes count here already.
///
/// A process that stood still for seconds collects for itself alone when it wakes, until the others come back to it. By its own
/// ledger, which knows nothing of what they let in meanwhile, they would count here after a whole window only. What it
/// let in itself by that ledger counts as by one that is not known.
pub(crate) fn take_handed(node: &FrontNode, mesh: &mut MeshState, handed: &HandedLedger) {
    let now = node.clock.now();
    let ledger = mesh.collector.as_ref().and_then(MeshCollector::ledger);
    let stays =
        |ledger: &PoolLedger| !ledger.is_untouched() && ledger.member_count(now) >= handed.members;
    if ledger.is_some_and(stays) {
        return;
    }
    let windows = handed.windows.iter().map(|told| (told.account.clone(), told.window.clone()));
    begin_ledger_by(node, mesh, LedgerPast::Handed(windows.collect()), "handed");
}

/// Ends the ledger of a process that goes over to another collector; gives what that has to know, until it is known
/// that one has it or may have it.
pub(crate) fn end_ledger(node: &FrontNode) -> Option<HandedLedger> {
    let now = node.clock.now();
    let mut mesh = node.mesh.borrow_mut();
    if let Some(ledger) = mesh.collector.as_mut().and_then(MeshCollector::take_ledger) {
        event!(node, LedgerEnded);
        mesh.ended_ledger = Some(ledger);
    }
    let ledger = mesh.ended_ledger.as_ref()?;
    let handed = |(account, window)| HandedWindow { account, window };
    let windows = ledger.hand_over(now).into_iter().map(handed).collect();
    Some(HandedLedger { members: ledger.member_count(now), windows })
}

/// Goes on with a ledger that was ended here and that nobody took over.
///
/// A process that goes over to another collector may be sent back by it. Beginning anew by what was told before, all
/// accounts' windows were taken for nearly full each time.
pub(crate) fn resume_ledger(node: &FrontNode, mesh: &mut MeshState) {
    if let Some(ledger) = mesh.ended_ledger.take()
        && let Some(collector) = mesh.collector.as_mut().filter(|it| it.ledger().is_none())
    {
        event!(node, LedgerBegan; "by" => "resumed");
        collector.begin_ledger(ledger);
    }
}

/// Logs claims that could not be true.
pub(crate) fn tell_left_out(node: &FrontNode, collector: &mut MeshCollector) {
    let count = collector.take_claims_left_out();
    if count > 0 {
        event!(node, ClaimsLeftOut; "count" => count, "code" => ResultCode::PeerBadClaim.number());
    }
}

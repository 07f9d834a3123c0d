//! Reports to the collector four times a second, and looks for the others.

use super::collect::collect;
use super::digest::take_digest;
use super::make::{LimitNews, make_report};
use super::parts::fetch_list;
use super::{MeshState, end_after_sleep, note_fitness};
use crate::events::event;
use crate::node::FrontNode;
use crate::{limits, releases, suspects, words};
use actix::Addr;
use compact_str::CompactString;
use oleander_kind::{ClockTime, TimeSpan};
use oleander_limit::ANSWER_TIMEOUT;
use oleander_list::RosterUpdate;
use oleander_mesh::{MemberInfo, MemberList, MeshBody, MeshCollector, NodeReport};
use oleander_wire::{CallPeer, ClosePeer, PeerHub};
use std::rc::Rc;

/// Between two reports: allotments outlast two of them.
const REPORT_PERIOD: TimeSpan = TimeSpan(250);
/// How long a collector may take to answer. Longer than a pause for a slow machine's turn, shorter
/// than two periods, so that the next one is asked before allotments end.
const ANSWER_LIMIT: TimeSpan = ANSWER_TIMEOUT;
/// A process that wakes this much too late is slow itself or stood still: what seemed slow to it may have
/// waited in its own sockets, and it does not speak against endpoints. Half of the shortest objective.
const LATE_WAKING: TimeSpan = TimeSpan(50);
/// Collectors asked in one round, if the first ones do not answer.
const MOST_ASKED: usize = 3;
/// How often a collector asks the seeds. Two groups of processes that know nothing of each other,
/// after a cut or a start at the same moment, find together through them.
const SEED_PERIOD: TimeSpan = TimeSpan(4000);

/// Reports to the collector until the task is ended.
pub async fn report_period(node: Rc<FrontNode>, hub: Addr<PeerHub<MeshBody>>) {
    let mut seeds_asked = ClockTime(0);
    loop {
        report_once(&node, &hub).await;
        let now = node.clock.now();
        if node.mesh.borrow().view.collects() && now - seeds_asked > SEED_PERIOD {
            seeds_asked = now;
            ask_seeds(&node, &hub).await;
        }
        let due_at = node.clock.now() + REPORT_PERIOD;
        actix_rt::time::sleep(REPORT_PERIOD.duration()).await;
        let late = node.clock.now() - due_at;
        if late > LATE_WAKING {
            node.evidence.borrow_mut().withhold();
            event!(node, EvidenceWithheld; "late_ms" => late.0);
        }
    }
}

async fn report_once(node: &Rc<FrontNode>, hub: &Addr<PeerHub<MeshBody>>) {
    note_fitness(node);
    releases::refresh(node);
    suspects::settle(node);
    words::take_own_parts(node);
    // A process that begins goes by the collector that the others go by. Choosing for itself, from
    // what it knows then, half of the processes once stayed apart for a turn after they were killed.
    let undecided = node.mesh.borrow().view.chosen().is_none();
    if undecided || node.mesh.borrow().view.others().next().is_none() {
        ask_seeds(node, hub).await;
    }
    for _ in 0..MOST_ASKED {
        end_after_sleep(node);
        let collector = {
            let mut mesh = node.mesh.borrow_mut();
            let now = node.clock.now();
            mesh.view.sweep(now);
            let true_now = mesh.clock.read(now, node.clock.wall());
            let before = mesh.view.chosen().cloned();
            if before.as_ref().is_some_and(|id| mesh.is_from(id, now)) {
                mesh.view.keep_collector(true_now);
            }
            let member = mesh.view.choose_collector(true_now, now);
            if before.as_ref() != Some(&member.id) {
                event!(node, CollectorChosen; "collector" => member.id.as_str());
            }
            member
        };
        if collector.id == node.settings.instance {
            report_here(node).await;
            return;
        }
        drop_old_collector(node);
        if report_to(node, hub, &collector).await {
            return;
        }
    }
}

/// Reports to this process itself, which collects.
async fn report_here(node: &FrontNode) {
    let _exchange = node.limit_exchange.lock().await;
    let claimed_at = node.clock.lease_now();
    let report = make_report(node, LimitNews::Claims(None));
    if let MeshBody::Digest(digest) = collect(node, report) {
        note_taken(node);
        take_digest(node, *digest, (TimeSpan(0), claimed_at));
    }
}

/// Reports to another process; says whether it collects.
///
/// One that did not answer before may be gone. Until it answers, this process keeps its ledger if it has one (the others
/// may have come here as that one was lost), and asks the ledger that it went by for room: with the claims under way
/// to a process that is gone, every request that is short would wait for it.
async fn report_to(
    node: &Rc<FrontNode>,
    hub: &Addr<PeerHub<MeshBody>>,
    collector: &MemberInfo,
) -> bool {
    let is_sure = {
        let mesh = node.mesh.borrow();
        mesh.is_from(&collector.id, node.clock.now()) && !mesh.has_ledger()
    };
    if !is_sure {
        let now = node.clock.lease_now();
        let report = make_report(node, LimitNews::Nothing);
        if !call_collector(node, hub, collector, (report, now)).await {
            return false;
        }
    }
    // A claim that is under way is the only one of its account.
    let _exchange = node.limit_exchange.lock().await;
    let claimed_at = node.clock.lease_now();
    let report = make_report(node, LimitNews::Claims(limits::end_ledger(node)));
    call_collector(node, hub, collector, (report, claimed_at)).await
}

/// Notes that the collector has what the last report told.
fn note_taken(node: &FrontNode) {
    node.evidence.borrow_mut().taken();
    node.suspects.borrow_mut().note_taken();
    words::note_taken(node);
}

/// Ends the collecting of a process to which nobody reports any more. What it knows of the account
/// windows grows old; going on with that later would let accounts in as if they had spent nothing.
fn drop_old_collector(node: &FrontNode) {
    /// Longer than a report that is asked for again.
    const UNUSED: TimeSpan = TimeSpan(1000);
    let now = node.clock.now();
    let mut mesh = node.mesh.borrow_mut();
    let heard = mesh.collector.as_ref().and_then(MeshCollector::heard_at);
    if heard.is_some_and(|at| now - at > UNUSED) {
        mesh.end_collecting(now);
        event!(node, CollectingEnded);
    }
}

/// Asks the seeds for the members they know.
async fn ask_seeds(node: &Rc<FrontNode>, hub: &Addr<PeerHub<MeshBody>>) {
    for seed in node.seeds() {
        if seed == node.settings.peer {
            continue;
        }
        let address: CompactString = seed.to_string().into();
        let body = MeshBody::Greet(node.mesh.borrow().view.me().clone());
        if let Some(MeshBody::Members(list)) =
            call_peer(node, hub, (address, body), ANSWER_LIMIT).await
        {
            take_members(node, list);
        }
    }
}

/// Asks another process; none if it did not answer, which is logged.
pub(super) async fn call_peer(
    node: &FrontNode,
    hub: &Addr<PeerHub<MeshBody>>,
    (address, body): (CompactString, MeshBody),
    limit: TimeSpan,
) -> Option<MeshBody> {
    let call = CallPeer { address: address.clone(), body, limit };
    match hub.send(call).await {
        Ok(Ok(answer)) => Some(answer),
        Ok(Err(fault)) => {
            event!(node, MemberFault; "fault" => fault.to_string());
            hub.do_send(ClosePeer(address));
            None
        }
        Err(fault) => {
            event!(node, InternalFault; "fault" => fault.to_string());
            None
        }
    }
}

/// Goes by the collector that another process named.
fn follow_collector(mesh: &mut MeshState, node: &FrontNode, member: MemberInfo) {
    let now = node.clock.now();
    let true_now = mesh.clock.read(now, node.clock.wall());
    event!(node, CollectorChosen; "collector" => member.id.as_str(), "sent" => true);
    mesh.view.follow_collector(member, true_now, now);
}

fn take_members(node: &FrontNode, list: MemberList) {
    let now = node.clock.now();
    let mut mesh = node.mesh.borrow_mut();
    // The first is the seed itself.
    for (at, member) in list.members.into_iter().enumerate() {
        mesh.view.take(member, at == 0, now);
    }
    let undecided = mesh.view.chosen().is_none();
    if let Some(member) = list.collector.filter(|_| undecided) {
        follow_collector(&mut mesh, node, member);
    }
}

async fn call_collector(
    node: &Rc<FrontNode>,
    hub: &Addr<PeerHub<MeshBody>>,
    collector: &MemberInfo,
    (report, claimed_at): (NodeReport, ClockTime),
) -> bool {
    let again = report.clone();
    let hands_over = report.handed.is_some();
    // A link may have fallen silent while the process at its end lives: a new one tells.
    let mut outcome = call_address(node, hub, collector.address, (report, claimed_at)).await;
    if outcome == CallOutcome::Failed {
        outcome = call_address(node, hub, collector.address, (again, claimed_at)).await;
    }
    if outcome != CallOutcome::Elsewhere && hands_over {
        // It has the ledger that was ended here, or may have it. A second one would hand out the same.
        node.mesh.borrow_mut().ended_ledger = None;
    }
    if outcome == CallOutcome::Failed {
        event!(node, CollectorSilent; "collector" => collector.id.as_str());
        node.mesh.borrow_mut().view.mark_unresponsive(&collector.id, node.clock.now());
    }
    outcome == CallOutcome::Taken
}

/// How a report to another process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallOutcome {
    /// It was answered with a digest.
    Taken,
    /// Another process is to be asked.
    Elsewhere,
    /// It was not answered.
    Failed,
}

async fn call_address(
    node: &Rc<FrontNode>,
    hub: &Addr<PeerHub<MeshBody>>,
    address: std::net::SocketAddr,
    (report, claimed_at): (NodeReport, ClockTime),
) -> CallOutcome {
    let sent_at = node.clock.now();
    let address: CompactString = address.to_string().into();
    let body = MeshBody::Report(Box::new(report));
    match call_peer(node, hub, (address, body), ANSWER_LIMIT).await {
        Some(MeshBody::Digest(digest)) => {
            note_taken(node);
            if digest.roster_update == RosterUpdate::InParts {
                fetch_list(node, digest.from.address, digest.roster.mark());
            }
            take_digest(node, *digest, (node.clock.now() - sent_at, claimed_at));
            CallOutcome::Taken
        }
        Some(MeshBody::Leaving(member)) => {
            node.mesh.borrow_mut().view.take(member, true, node.clock.now());
            CallOutcome::Elsewhere
        }
        Some(MeshBody::Follow(member)) => {
            follow_collector(&mut node.mesh.borrow_mut(), node, member);
            CallOutcome::Elsewhere
        }
        Some(
            MeshBody::Report(_)
            | MeshBody::Greet(_)
            | MeshBody::Members(_)
            | MeshBody::RequestLimit(_)
            | MeshBody::Allotted(_)
            | MeshBody::RequestPart(_)
            | MeshBody::Part(_),
        )
        | None => CallOutcome::Failed,
    }
}

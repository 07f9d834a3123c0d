//! Reports to the collector four times a second, and finds the other processes.

use super::collect::collect;
use super::digest::apply_digest;
use super::make::{LimitContent, make_report};
use super::parts::fetch_list;
use super::rules::fetch_rules;
use super::{MeshState, end_collecting_after_stall, update_fitness};
use crate::events::event;
use crate::node::FrontNode;
use crate::{dispatch, limits, origins, paths, releases, suspects, words};
use actix::Addr;
use compact_str::CompactString;
use oleander_kind::{ClockTime, TimeSpan};
use oleander_limit::ANSWER_TIMEOUT;
use oleander_list::RosterUpdate;
use oleander_mesh::{MemberInfo, MemberList, MeshBody, MeshCollector, NodeReport};
use oleander_wire::{CallPeer, ClosePeer, PeerHub};
use std::rc::Rc;

/// Interval between reports. Allotments outlast two of them.
const REPORT_PERIOD: TimeSpan = TimeSpan(250);
/// How long a collector may take to answer. Longer than a scheduling pause of a slow machine;
/// shorter than two periods, so that the next candidate is asked before allotments end.
const REPORT_TIMEOUT: TimeSpan = ANSWER_TIMEOUT;
/// A process that wakes this much too late is slow itself or was suspended. Answers that seemed
/// slow may have waited in its own sockets, so it discards its evidence about endpoints. Half of
/// the shortest latency objective.
const MAX_WAKE_DELAY: TimeSpan = TimeSpan(50);
/// Most collectors asked in one round, if the first ones do not answer.
const MAX_COLLECTORS_ASKED: usize = 3;
/// How often a collector asks the seeds. Two groups of processes that do not know each other, after
/// a network partition or a start at the same moment, find each other through them.
const SEED_PERIOD: TimeSpan = TimeSpan(4000);

/// Reports to the collector until the task is aborted.
pub async fn run_reports(node: Rc<FrontNode>, hub: Addr<PeerHub<MeshBody>>) {
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
        if late > MAX_WAKE_DELAY {
            node.evidence.borrow_mut().discard();
            event!(node, EvidenceWithheld; "late_ms" => late.0);
        }
    }
}

async fn report_once(node: &Rc<FrontNode>, hub: &Addr<PeerHub<MeshBody>>) {
    update_fitness(node);
    paths::watch_paths(node);
    releases::refresh(node);
    origins::watch_versions(node);
    suspects::refresh_quarantine(node);
    words::apply_local_shares(node);
    words::update_room_shares(node);
    dispatch::update_dispatch(node);
    // A new process adopts the collector of the others. When each chose one itself, from the few
    // members it knew, half of the processes that were killed and restarted followed a different
    // collector for a whole term.
    let undecided = node.mesh.borrow().view.chosen().is_none();
    if undecided || node.mesh.borrow().view.others().next().is_none() {
        ask_seeds(node, hub).await;
    }
    for _ in 0..MAX_COLLECTORS_ASKED {
        end_collecting_after_stall(node);
        let collector = {
            let mut mesh = node.mesh.borrow_mut();
            let now = node.clock.now();
            mesh.view.sweep(now);
            let true_now = mesh.clock.read(now, node.clock.wall());
            let before = mesh.view.chosen().cloned();
            if before.as_ref().is_some_and(|id| mesh.is_current_collector(id, now)) {
                mesh.view.keep_collector(true_now);
            }
            let member = mesh.view.choose_collector(true_now, now);
            if before.as_ref() != Some(&member.id) {
                event!(node, CollectorChosen; "collector" => member.id.as_str());
            }
            member
        };
        if collector.id == node.settings.instance {
            report_locally(node).await;
            return;
        }
        end_unused_collecting(node);
        if report_to(node, hub, &collector).await {
            return;
        }
    }
}

/// Reports to this process itself, which is the collector.
async fn report_locally(node: &FrontNode) {
    let _exchange = node.limit_exchange.lock().await;
    let claimed_at = node.clock.lease_now();
    let report = make_report(node, LimitContent::Claims(None));
    if let MeshBody::Digest(digest) = collect(node, report) {
        confirm_report(node);
        apply_digest(node, *digest, (TimeSpan(0), claimed_at));
    }
}

/// Reports to another process; returns whether that one is the collector.
///
/// A process that has not answered before may be gone. Until it answers, this process keeps its
/// ledger if it has one (the others may have switched to this process because the former ledger was
/// lost), and asks the previous ledger for more of the limits. If the claims were sent to a process
/// that is gone, each request that needs more of a limit would wait for it.
async fn report_to(
    node: &Rc<FrontNode>,
    hub: &Addr<PeerHub<MeshBody>>,
    collector: &MemberInfo,
) -> bool {
    let is_confirmed = {
        let mesh = node.mesh.borrow();
        mesh.is_current_collector(&collector.id, node.clock.now()) && !mesh.has_ledger()
    };
    if !is_confirmed {
        let now = node.clock.lease_now();
        let report = make_report(node, LimitContent::Nothing);
        if !call_collector(node, hub, collector, (report, now)).await {
            return false;
        }
    }
    // Each account has at most one claim under way.
    let _exchange = node.limit_exchange.lock().await;
    let claimed_at = node.clock.lease_now();
    let report = make_report(node, LimitContent::Claims(limits::end_ledger(node)));
    call_collector(node, hub, collector, (report, claimed_at)).await
}

/// Drops what the last report carried from the queues, because the collector received it.
fn confirm_report(node: &FrontNode) {
    node.evidence.borrow_mut().confirm_report();
    node.suspects.borrow_mut().acknowledge_report();
    words::confirm_report(node);
}

/// Stops collecting if no process reports here any more. The account windows known here grow old;
/// using them later would admit accounts as if they had spent nothing.
fn end_unused_collecting(node: &FrontNode) {
    /// Longer than a report with one retry.
    const UNUSED_TIMEOUT: TimeSpan = TimeSpan(1000);
    let now = node.clock.now();
    let mut mesh = node.mesh.borrow_mut();
    let last_report_at = mesh.collector.as_ref().and_then(MeshCollector::heard_at);
    if last_report_at.is_some_and(|at| now - at > UNUSED_TIMEOUT) {
        mesh.end_collecting(now);
        event!(node, CollectingEnded);
    }
}

/// Asks the seeds for the members that they know.
async fn ask_seeds(node: &Rc<FrontNode>, hub: &Addr<PeerHub<MeshBody>>) {
    for seed in node.seeds() {
        if seed == node.settings.peer {
            continue;
        }
        let address: CompactString = seed.to_string().into();
        let body = MeshBody::Greet(node.mesh.borrow().view.me().clone());
        if let Some(MeshBody::Members(list)) =
            call_peer(node, hub, (address, body), REPORT_TIMEOUT).await
        {
            apply_members(node, list);
        }
    }
}

/// Calls another process; `None` if it did not answer, which is logged.
pub(crate) async fn call_peer(
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

/// Adopts the collector that another process named.
fn follow_collector(mesh: &mut MeshState, node: &FrontNode, member: MemberInfo) {
    let now = node.clock.now();
    let true_now = mesh.clock.read(now, node.clock.wall());
    event!(node, CollectorChosen; "collector" => member.id.as_str(), "sent" => true);
    mesh.view.follow_collector(member, true_now, now);
}

fn apply_members(node: &FrontNode, list: MemberList) {
    let now = node.clock.now();
    let mut mesh = node.mesh.borrow_mut();
    // The first member is the seed itself, which has just answered.
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
    let retry = report.clone();
    let hands_over = report.handed.is_some();
    // A connection may be dead although its peer is alive; a new one shows it.
    let mut outcome = call_address(node, hub, collector.address, (report, claimed_at)).await;
    if outcome == ReportOutcome::Failed {
        outcome = call_address(node, hub, collector.address, (retry, claimed_at)).await;
    }
    if outcome != ReportOutcome::Redirected && hands_over {
        // The receiver has, or may have, the ledger that was ended here. A second ledger would hand
        // out the same limits again.
        node.mesh.borrow_mut().ended_ledger = None;
    }
    if outcome == ReportOutcome::Failed {
        event!(node, CollectorSilent; "collector" => collector.id.as_str());
        node.mesh.borrow_mut().view.mark_unresponsive(&collector.id, node.clock.now());
    }
    outcome == ReportOutcome::Answered
}

/// How another process responded to a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ReportOutcome {
    /// Answered with a digest.
    Answered,
    /// Another process has to be asked.
    Redirected,
    /// No answer, or one that does not fit a report.
    Failed,
}

async fn call_address(
    node: &Rc<FrontNode>,
    hub: &Addr<PeerHub<MeshBody>>,
    address: std::net::SocketAddr,
    (report, claimed_at): (NodeReport, ClockTime),
) -> ReportOutcome {
    let sent_at = node.clock.now();
    let address: CompactString = address.to_string().into();
    let body = MeshBody::Report(Box::new(report));
    match call_peer(node, hub, (address, body), REPORT_TIMEOUT).await {
        Some(MeshBody::Digest(digest)) => {
            confirm_report(node);
            if digest.roster_update == RosterUpdate::InParts {
                fetch_list(node, digest.from.address, digest.roster.mark());
            }
            let collector = digest.from.clone();
            apply_digest(node, *digest, (node.clock.now() - sent_at, claimed_at));
            if collector.takes_parts {
                fetch_rules(node, collector.address);
            }
            ReportOutcome::Answered
        }
        Some(MeshBody::Leaving(member)) => {
            node.mesh.borrow_mut().view.take(member, true, node.clock.now());
            ReportOutcome::Redirected
        }
        Some(MeshBody::Follow(member)) => {
            follow_collector(&mut node.mesh.borrow_mut(), node, member);
            ReportOutcome::Redirected
        }
        Some(
            MeshBody::Report(_)
            | MeshBody::Greet(_)
            | MeshBody::Members(_)
            | MeshBody::RequestLimit(_)
            | MeshBody::Allotted(_)
            | MeshBody::RequestPart(_)
            | MeshBody::Part(_)
            | MeshBody::RequestRules(_)
            | MeshBody::RulesPart(_)
            | MeshBody::KeepOrigins(_)
            | MeshBody::OriginsKept
            | MeshBody::AskOrigin(_)
            | MeshBody::Origin(_),
        )
        | None => ReportOutcome::Failed,
    }
}

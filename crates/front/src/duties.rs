//! Control work: ordering endpoints, reporting usage and executing roll-outs. The collector does it while it holds
//! one lease, so that only one process does it at a time.

mod orders;
mod usage;

use crate::era;
use crate::events::event;
use crate::node::FrontNode;
use crate::releases;
use bytes::Bytes;
use oleander_kind::{ClockTime, TimeSpan};
use oleander_lease::{LeaseAction, LeaseManager, LeaseRecord, LeaseReply};
use oleander_mesh::{LeaseNotice, MeshCollector};
use oleander_plat::{
    DutyPermit, DutyPort, DutyStamp, FeedCondition, FeedKind, FeedObject, PlatError, WriteOutcome,
};
use orders::scale_services;
use serde::Serialize;
use std::cell::RefCell;
use std::rc::Rc;
pub(crate) use usage::PersistedReport;
use usage::report_usage;

/// Name of the store object that holds the lease for control work.
const LEASE_NAME: &str = "control";
/// Interval between two checks for control work to do.
const DUTY_PERIOD: TimeSpan = TimeSpan(200);
/// Lease time that must be left when a call is sent to a platform that checks fencing tokens. It only avoids
/// calls that are certain to be refused.
const CALL_MARGIN: TimeSpan = TimeSpan(100);
/// Lease time that must be left for a platform that does not check fencing tokens. There a call takes effect
/// whenever it arrives, and a lost packet is retransmitted after up to a second; no other process may hold the
/// lease by then. At most a third of the lease time: the lease is renewed after a third, so that this much is
/// left even after a failed renewal.
const UNFENCED_MARGIN: TimeSpan = TimeSpan(1000);
/// How long a process must be the collector before it takes the lease. A process that has just started does not
/// know the others yet; it would take a free lease and then lose the role of collector to another process.
const SETTLE_TIME: TimeSpan = TimeSpan(600);

/// The lease for control work, shared by the tasks that do this work.
pub struct DutyLease {
    node: Rc<FrontNode>,
    keeper: RefCell<LeaseManager>,
}

/// How long after its expiry a lease may still be used if no process can reach the store to renew it. No other process can have
/// taken it meanwhile, and where calls are fenced a call that is sent too late is refused.
const OVERDUE_LIFETIME: TimeSpan = TimeSpan(10_000);

impl DutyLease {
    /// The fencing token of the lease, if it is held and this process is the collector. It tells whether to start
    /// work; the right to make a call is checked again when the call is sent.
    pub(crate) fn fence(&self) -> Option<u64> {
        let now = self.node.clock.lease_now();
        let keeper = self.keeper.borrow();
        let overdue =
            || keeper.overdue_fence(now, OVERDUE_LIFETIME).filter(|_| self.allows_overdue());
        keeper
            .fence(now, self.margin())
            .or_else(overdue)
            .filter(|_| is_settled_collector(&self.node))
    }

    fn margin(&self) -> TimeSpan {
        let bounds = self.node.bounds();
        if bounds.fenced { CALL_MARGIN } else { UNFENCED_MARGIN.min(TimeSpan(bounds.lease_ms / 3)) }
    }

    fn allows_overdue(&self) -> bool {
        self.node.bounds().fenced && store_is_unreachable(&self.node)
    }
}

impl DutyPermit for DutyLease {
    fn stamp(&self) -> Option<DutyStamp> {
        self.fence()?;
        let now = self.node.clock.lease_now();
        let mut keeper = self.keeper.borrow_mut();
        let fence = match keeper.fence_for_call(now, self.margin()) {
            None if self.allows_overdue() => keeper.fence_for_overdue_call(now, OVERDUE_LIFETIME),
            held => held,
        };
        if fence.is_none() {
            event!(self.node, CallWithheld; "fence" => self.node.mesh.borrow().lease.as_ref().map(|l| l.record.fence));
        }
        Some(DutyStamp { holder: self.node.settings.instance.clone(), fence: fence? })
    }
}

/// Whether the store is unreachable for this process and for all that report to it.
fn store_is_unreachable(node: &FrontNode) -> bool {
    let now = node.clock.now();
    let lost = node.rules_feed.get().lost_since.is_some();
    let mesh = node.mesh.borrow();
    let is_other_served =
        |collector: &MeshCollector| collector.is_other_served(&node.settings.instance, now);
    lost && mesh.collector.as_ref().is_some_and(|collector| !is_other_served(collector))
}

/// Does the control work until the task is cancelled.
pub async fn run_duties(node: Rc<FrontNode>, cloud: Rc<dyn DutyPort>) {
    let life = node.mesh.borrow().view.me().life;
    let lasts = TimeSpan(node.bounds().lease_ms);
    let keeper = LeaseManager::new(node.settings.instance.clone(), life, lasts);
    let keeper = keeper.with_takeover().with_start(node.clock.lease_now());
    let lease = Rc::new(DutyLease { node: node.clone(), keeper: RefCell::new(keeper) });
    if node.bounds().usage_window_s > 0.0 {
        actix_rt::spawn(report_usage(node.clone(), cloud.clone(), lease.clone()));
    }
    actix_rt::spawn(scale_services(node.clone(), cloud, lease.clone()));
    if releases::are_rollouts_enabled(&node) {
        actix_rt::spawn(releases::run_rollouts(node.clone(), lease.clone()));
    }
    loop {
        keep_lease(&node, &lease).await;
        actix_rt::time::sleep(DUTY_PERIOD.duration()).await;
    }
}

/// Whether this process is the collector, has been it for long enough to know the other processes, and is not leaving.
pub(crate) fn is_settled_collector(node: &FrontNode) -> bool {
    let now = node.clock.now();
    let mesh = node.mesh.borrow();
    let settled = |since: ClockTime| now - since >= SETTLE_TIME;
    !mesh.view.me().leaving
        && mesh.view.collects()
        && mesh.collector.as_ref().is_some_and(|collector| settled(collector.began_at()))
}

/// Acquires, renews or releases the lease, as the role of this process requires.
async fn keep_lease(node: &FrontNode, lease: &DutyLease) {
    let now = node.clock.lease_now();
    lease.keeper.borrow_mut().note_era(node.store_era.get(), now);
    if let Some(notice) = node.mesh.borrow().lease.clone() {
        lease.keeper.borrow_mut().note_change(notice.revision, notice.record, now);
    }
    let succeeded = node.mesh.borrow().has_successor(node.clock.now());
    if node.mesh.borrow().view.me().leaving || succeeded {
        // The next collector need not wait until the lease expires.
        let action = lease.keeper.borrow_mut().release(now);
        return act_on_lease(node, lease, action).await;
    }
    if !is_settled_collector(node) {
        return;
    }
    let action = lease.keeper.borrow_mut().tick(now);
    act_on_lease(node, lease, action).await;
}

async fn act_on_lease(node: &FrontNode, lease: &DutyLease, action: LeaseAction) {
    let held = lease.fence().is_some();
    let reply = match action {
        LeaseAction::Wait => return,
        LeaseAction::Read => read_lease(node).await,
        LeaseAction::Write { version, record } => write_lease(node, version, &record).await,
    };
    era::note_store_era(node);
    let now = node.clock.lease_now();
    lease.keeper.borrow_mut().note_era(node.store_era.get(), now);
    lease.keeper.borrow_mut().said(reply, now);
    let keeper = lease.keeper.borrow();
    let seen = keeper.seen().cloned().zip(keeper.view(now).version);
    if let Some((record, revision)) = seen {
        node.mesh.borrow_mut().lease = Some(LeaseNotice { revision, record });
    }
    drop(keeper);
    let fence = lease.fence();
    if held != fence.is_some() {
        event!(node, LeaseChanged; "fence" => fence);
    }
}

async fn read_lease(node: &FrontNode) -> LeaseReply {
    match node.store.read(FeedKind::Leases, LEASE_NAME).await {
        Ok(None) => LeaseReply::Read(None),
        Ok(Some(object)) => decode_lease(node, &object),
        Err(fault) => note_call_failure(node, &fault),
    }
}

fn decode_lease(node: &FrontNode, object: &FeedObject) -> LeaseReply {
    match serde_json::from_slice::<LeaseRecord>(&object.body) {
        Ok(record) => LeaseReply::Read(Some((object.revision, record))),
        Err(fault) => {
            event!(node, LeaseFault; "fault" => fault.to_string());
            LeaseReply::NotDone
        }
    }
}

fn note_call_failure(node: &FrontNode, fault: &PlatError) -> LeaseReply {
    event!(node, LeaseFault; "fault" => fault.to_string());
    if fault.may_have_taken_effect() { LeaseReply::Unknown } else { LeaseReply::NotDone }
}

async fn write_lease(node: &FrontNode, version: Option<u64>, record: &LeaseRecord) -> LeaseReply {
    let Some(body) = encode(node, record) else { return LeaseReply::NotDone };
    let guard = version.map_or(FeedCondition::Absent, FeedCondition::Is);
    match node.store.write(FeedKind::Leases, LEASE_NAME, guard, body).await {
        Ok(WriteOutcome::Made(revision)) => LeaseReply::Written(revision),
        Ok(WriteOutcome::Refused(_)) => {
            event!(node, LeaseFault; "fault" => "the lease was changed by another process in the meantime");
            LeaseReply::Changed
        }
        Err(fault) => note_call_failure(node, &fault),
    }
}

/// Encodes a value as JSON for the store; an error is logged.
pub(crate) fn encode(node: &FrontNode, value: &impl Serialize) -> Option<Bytes> {
    match serde_json::to_vec(value) {
        Ok(text) => Some(Bytes::from(text)),
        Err(fault) => {
            event!(node, InternalFault; "fault" => fault.to_string());
            None
        }
    }
}

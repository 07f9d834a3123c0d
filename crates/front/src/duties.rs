//! Control work: kept under one lease by the process that collects.

mod orders;
mod usage;

use crate::events::event;
use crate::node::FrontNode;
use crate::releases;
use bytes::Bytes;
use oleander_kind::{ClockTime, TimeSpan};
use oleander_lease::{LeaseAction, LeaseKeeper, LeaseRecord, LeaseSaid};
use oleander_mesh::{LeaseNotice, MeshCollector};
use oleander_plat::{
    DutyPermit, DutyPort, DutyStamp, FeedGuard, FeedKind, FeedObject, FeedWrite, PlatError,
};
use orders::scale_services;
use serde::Serialize;
use std::cell::RefCell;
use std::rc::Rc;
use usage::report_usage;

/// The object that holds the lease of the control work.
const LEASE_NAME: &str = "control";
/// Between two looks at what is to be done.
const DUTY_PERIOD: TimeSpan = TimeSpan(200);
/// Lease time that must be left when a call is sent to a platform that checks its fencing token: this
/// only keeps calls that are sure to be refused from being made.
const CALL_MARGIN: TimeSpan = TimeSpan(100);
/// The same for a platform that does not check. The call takes effect whenever it arrives, and a lost
/// packet is sent again after up to a second; by then nobody else may hold the lease. At most a third of
/// the lease: it is renewed after as long, so that this much is left also after a renewal that failed.
const UNCHECKED_MARGIN: TimeSpan = TimeSpan(1000);
/// A process that began a moment ago does not know the others yet, and would take the lease from
/// nobody's hands only to lose the collecting to another.
const SETTLE_TIME: TimeSpan = TimeSpan(600);

/// The lease, shared by the tasks of the duties.
pub struct DutyLease {
    node: Rc<FrontNode>,
    keeper: RefCell<LeaseKeeper>,
}

/// How long a lease that could not be renewed because nobody reaches the store still stands. Nobody
/// else can have taken it meanwhile, and where calls are fenced one that is sent too late is refused.
const OVERDUE_TIME: TimeSpan = TimeSpan(10_000);

impl DutyLease {
    /// The token of the lease, if it is held and this process collects. It says what to begin, and is
    /// no right to call: that is looked up as a call leaves.
    pub(crate) fn fence(&self) -> Option<u64> {
        let now = self.node.clock.lease_now();
        let keeper = self.keeper.borrow();
        let overdue = || keeper.overdue_fence(now, OVERDUE_TIME).filter(|_| self.stands_overdue());
        keeper.fence(now, self.margin()).or_else(overdue).filter(|_| collects(&self.node))
    }

    fn margin(&self) -> TimeSpan {
        let bounds = self.node.bounds();
        if bounds.fenced {
            CALL_MARGIN
        } else {
            UNCHECKED_MARGIN.min(TimeSpan(bounds.lease_ms / 3))
        }
    }

    fn stands_overdue(&self) -> bool {
        self.node.bounds().fenced && store_is_away(&self.node)
    }
}

impl DutyPermit for DutyLease {
    fn stamp(&self) -> Option<DutyStamp> {
        self.fence()?;
        let now = self.node.clock.lease_now();
        let mut keeper = self.keeper.borrow_mut();
        let fence = match keeper.act(now, self.margin()) {
            None if self.stands_overdue() => keeper.act_overdue(now, OVERDUE_TIME),
            held => held,
        }?;
        Some(DutyStamp { holder: self.node.settings.instance.clone(), fence })
    }
}

/// Whether the store answers neither this process nor any that reports here.
fn store_is_away(node: &FrontNode) -> bool {
    let now = node.clock.now();
    let lost = node.rules_feed.get().lost_since.is_some();
    let mesh = node.mesh.borrow();
    let outdone = |collector: &MeshCollector| collector.is_outdone(&node.settings.instance, now);
    lost && mesh.collector.as_ref().is_some_and(|collector| !outdone(collector))
}

/// Does the control work until the task is ended.
pub async fn do_duties(node: Rc<FrontNode>, cloud: Rc<dyn DutyPort>) {
    let life = node.mesh.borrow().view.me().life;
    let lasts = TimeSpan(node.bounds().lease_ms);
    let keeper = LeaseKeeper::new(node.settings.instance.clone(), life, lasts);
    let keeper = keeper.inheriting().begun(node.clock.lease_now());
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

/// Whether this process collects, and has for long enough to know the others.
pub(crate) fn collects(node: &FrontNode) -> bool {
    let now = node.clock.now();
    let mesh = node.mesh.borrow();
    let settled = |since: ClockTime| now - since >= SETTLE_TIME;
    !mesh.view.me().leaving
        && mesh.view.collects()
        && mesh.collector.as_ref().is_some_and(|collector| settled(collector.began_at()))
}

async fn keep_lease(node: &FrontNode, lease: &DutyLease) {
    let now = node.clock.lease_now();
    if let Some(notice) = node.mesh.borrow().lease.clone() {
        lease.keeper.borrow_mut().hear(notice.revision, notice.record, now);
    }
    let succeeded = node.mesh.borrow().has_successor(node.clock.now());
    if node.mesh.borrow().view.me().leaving || succeeded {
        // The process that collects now need not wait for the end of the lease.
        let action = lease.keeper.borrow_mut().release(now);
        return act_on_lease(node, lease, action).await;
    }
    if !collects(node) {
        return;
    }
    let action = lease.keeper.borrow_mut().tick(now);
    act_on_lease(node, lease, action).await;
}

async fn act_on_lease(node: &FrontNode, lease: &DutyLease, action: LeaseAction) {
    let held = lease.fence().is_some();
    let said = match action {
        LeaseAction::Wait => return,
        LeaseAction::Read => read_lease(node).await,
        LeaseAction::Write { version, record } => write_lease(node, version, &record).await,
    };
    let now = node.clock.lease_now();
    lease.keeper.borrow_mut().said(said, now);
    let keeper = lease.keeper.borrow();
    let seen = keeper.seen().cloned().zip(keeper.view(now).version);
    if let Some((record, revision)) = seen {
        node.mesh.borrow_mut().lease = Some(LeaseNotice { revision, record });
    }
    drop(keeper);
    let holds = lease.fence();
    if held != holds.is_some() {
        event!(node, LeaseChanged; "fence" => holds);
    }
}

async fn read_lease(node: &FrontNode) -> LeaseSaid {
    match node.store.read(FeedKind::Leases, LEASE_NAME).await {
        Ok(None) => LeaseSaid::Read(None),
        Ok(Some(object)) => said_of(node, &object),
        Err(fault) => not_done(node, &fault),
    }
}

fn said_of(node: &FrontNode, object: &FeedObject) -> LeaseSaid {
    match serde_json::from_slice::<LeaseRecord>(&object.body) {
        Ok(record) => LeaseSaid::Read(Some((object.revision, record))),
        Err(fault) => {
            event!(node, LeaseFault; "fault" => fault.to_string());
            LeaseSaid::NotDone
        }
    }
}

fn not_done(node: &FrontNode, fault: &PlatError) -> LeaseSaid {
    event!(node, LeaseFault; "fault" => fault.to_string());
    if fault.may_have_happened() { LeaseSaid::Unknown } else { LeaseSaid::NotDone }
}

async fn write_lease(node: &FrontNode, version: Option<u64>, record: &LeaseRecord) -> LeaseSaid {
    let Some(body) = encode(node, record) else { return LeaseSaid::NotDone };
    let guard = version.map_or(FeedGuard::Absent, FeedGuard::Is);
    match node.store.write(FeedKind::Leases, LEASE_NAME, guard, body).await {
        Ok(FeedWrite::Made(revision)) => LeaseSaid::Written(revision),
        Ok(FeedWrite::Refused(_)) => {
            event!(node, LeaseFault; "fault" => "another wrote it meanwhile");
            LeaseSaid::Changed
        }
        Err(fault) => not_done(node, &fault),
    }
}

/// Encodes an object of ours for the store.
pub(crate) fn encode(node: &FrontNode, value: &impl Serialize) -> Option<Bytes> {
    match serde_json::to_vec(value) {
        Ok(text) => Some(Bytes::from(text)),
        Err(fault) => {
            event!(node, InternalFault; "fault" => fault.to_string());
            None
        }
    }
}

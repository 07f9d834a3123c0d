//! Takes the steps of the roll-outs under way and writes their states.

use crate::duties::DutyLease;
use crate::events::event;
use crate::node::FrontNode;
use oleander_kind::{ClockTime, ServiceName, TimeSpan};
use oleander_mesh::EndpointHash;
use oleander_plat::{FeedKind, WriteOutcome};
use oleander_release::{PlanAction, PlanInputs, ReleaseStage, ReleaseState, exposure_account};
use std::collections::BTreeSet;

/// How long a completed order is still shared: longer than the entries of stopped endpoints stay
/// listed.
const COMPLETED_RETENTION: TimeSpan = TimeSpan(10_000);
/// Covers a report that was made just before the moment from which a version receives all requests
/// and arrives after it.
const REPORT_MARGIN: TimeSpan = TimeSpan(100);

/// Takes the next step of each order under way.
pub(super) async fn step_orders(node: &FrontNode, lease: &DutyLease) {
    let services: Vec<ServiceName> = node.releases.borrow().running.keys().cloned().collect();
    for service in services {
        let now = node.clock.now();
        let facts = plan_facts(node, &service, now);
        let actions = {
            let mut rollouts = node.releases.borrow_mut();
            let Some(running) = rollouts.running.get_mut(&service) else { continue };
            running.plan.step(&facts, now)
        };
        drop_completed(node, &service, now);
        for action in actions {
            match action {
                PlanAction::Announce(stage) => log_stage(node, &service, (stage, &facts)),
                PlanAction::Write(state) if lease.fence().is_some() => {
                    write_state(node, &service, state).await;
                }
                PlanAction::Write(_) => {}
            }
        }
    }
}

/// Drops an order some time after its completion. Until then the processes keep avoiding endpoints
/// of the former version that are still listed; afterwards, endpoints of any version that appear
/// without an order serve requests.
fn drop_completed(node: &FrontNode, service: &ServiceName, now: ClockTime) {
    let mut rollouts = node.releases.borrow_mut();
    let Some(running) = rollouts.running.get_mut(service) else { return };
    if running.plan.stage() != ReleaseStage::Completed {
        return;
    }
    let since = *running.completed_at.get_or_insert(now);
    if now - since >= COMPLETED_RETENTION && running.entry.state() == Some(ReleaseState::Completed)
    {
        rollouts.running.remove(service);
    }
}

fn log_stage(node: &FrontNode, service: &ServiceName, (stage, facts): (ReleaseStage, &PlanInputs)) {
    let rollouts = node.releases.borrow();
    let Some(running) = rollouts.running.get(service) else { return };
    event!(node, ReleaseStaged;
        "service" => service.as_str(), "to" => running.plan.order().to.as_str(),
        "stage" => format!("{stage:?}"), "number" => running.plan.number(),
        "seen" => running.plan.comparison.seen(), "score" => format!("{:.1}", running.plan.comparison.score()),
        "sent" => facts.sent, "handed" => facts.granted, "endpoints" => facts.trial_endpoints);
}

fn plan_facts(node: &FrontNode, service: &ServiceName, now: ClockTime) -> PlanInputs {
    let rollouts = node.releases.borrow();
    let Some(running) = rollouts.running.get(service) else { return PlanInputs::default() };
    let board = node.endpoints.borrow();
    let mesh = node.mesh.borrow();
    let Some(collector) = mesh.collector.as_ref() else { return PlanInputs::default() };
    let order = running.plan.order();
    let account = exposure_account(service, &order.to);
    let granted = collector.windows().find(|(name, _)| **name == account);
    let live = board.of_service(service).iter().filter_map(|key| board.get(*key));
    let live = live.filter(|fact| fact.takes_work() && fact.entry.release == order.to);
    let is_former_idle = match running.plan.stage() {
        ReleaseStage::Moving { full_at } => {
            let facts = board.of_service(service).iter().filter_map(|key| board.get(*key));
            let former = facts.filter(|fact| fact.entry.release != order.to);
            let marks: BTreeSet<EndpointHash> = former
                .map(|fact| EndpointHash::of(&fact.entry.instance, fact.entry.life))
                .collect();
            let plan = (service, running.plan.number());
            collector.all_left_version(&mesh.view, (plan, &marks), full_at + REPORT_MARGIN)
        }
        _ => false,
    };
    PlanInputs {
        sent: running.sent(),
        rate_per_s: collector.demand_of(service, now).requests,
        granted: granted.map_or(0.0, |(_, stand)| (stand.spent + stand.open) as f64),
        trial_endpoints: live.count(),
        is_former_idle,
    }
}

/// Writes the state of an order, unless the object has changed; the watch reports such a change.
async fn write_state(node: &FrontNode, service: &ServiceName, state: ReleaseState) {
    let Some((name, revision, to)) = ({
        let rollouts = node.releases.borrow();
        rollouts.running.get(service).map(|running| {
            (running.name.clone(), running.entry.revision, running.plan.order().to.clone())
        })
    }) else {
        return;
    };
    let status = match node.dialect.encode_release_state(state, &to) {
        Ok(status) => status,
        Err(fault) => {
            event!(node, InternalFault; "fault" => fault);
            return;
        }
    };
    let written = node.store.write_status(FeedKind::Releases, &name, revision, status).await;
    event!(node, ReleaseWritten;
        "service" => service.as_str(), "to" => to.as_str(), "state" => format!("{state:?}"),
        "revision" => revision, "answer" => format!("{written:?}"));
    let mut rollouts = node.releases.borrow_mut();
    let Some(running) = rollouts.running.get_mut(service).filter(|running| running.name == name)
    else {
        return;
    };
    match written {
        Ok(WriteOutcome::Made(revision)) => {
            running.entry.revision = revision;
            running.entry.state = Some((state, to));
            running.plan.note_written(state);
        }
        Ok(WriteOutcome::Refused(Some(object))) => running.entry.revision = object.revision,
        Ok(WriteOutcome::Refused(None)) | Err(_) => {}
    }
}

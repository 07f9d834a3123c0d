//! Carries out roll-out orders while this process holds the lease for control work.

use super::orders::{KnownOrders, apply_orders, read_or_watch};
use super::steps::step_orders;
use crate::duties::DutyLease;
use crate::events::event;
use crate::node::FrontNode;
use oleander_kind::TimeSpan;
use oleander_plat::FeedKind;
use std::rc::Rc;

/// Interval between steps of the orders under way.
const STEP_PERIOD: TimeSpan = TimeSpan(100);
/// The first and the longest delay before a retry when the store does not answer.
const RETRY_DELAYS: (TimeSpan, TimeSpan) = (TimeSpan(100), TimeSpan(1000));

/// Follows and carries out the orders until the task is aborted.
pub(crate) async fn run_rollouts(node: Rc<FrontNode>, lease: Rc<DutyLease>) {
    let mut orders = KnownOrders::new();
    let mut from = None;
    let (first, longest) = RETRY_DELAYS;
    let mut pause = first;
    loop {
        if lease.fence().is_none() {
            clear_orders(&node);
            (orders, from) = (KnownOrders::new(), None);
            actix_rt::time::sleep(STEP_PERIOD.duration()).await;
            continue;
        }
        let outcome = {
            let reading = read_or_watch(&node, &mut orders, &mut from);
            tokio::pin!(reading);
            loop {
                tokio::select! {
                    outcome = &mut reading => break outcome,
                    () = actix_rt::time::sleep(STEP_PERIOD.duration()) => {
                        step_orders(&node, &lease).await;
                    }
                }
            }
        };
        match outcome {
            Ok(()) => {
                pause = first;
                if let Some(list_revision) = from {
                    apply_orders(&node, &orders, list_revision);
                }
                step_orders(&node, &lease).await;
            }
            Err(fault) => {
                event!(node, RecordFault;
                    "record" => FeedKind::Releases.name(), "fault" => fault.to_string());
                from = None;
                pause = node.back_off(pause, longest).await;
            }
        }
    }
}

/// Drops the orders under way, because this process does not hold the lease.
fn clear_orders(node: &FrontNode) {
    let mut rollouts = node.releases.borrow_mut();
    rollouts.running.clear();
    rollouts.read_revision = None;
}

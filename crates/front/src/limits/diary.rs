//! Logs once a second what this process admitted for accounts near their limits, and what the ledger counted for them.
//!
//! A limit holds over all processes together. When a window exceeded its limit, these lines show which processes
//! admitted the tokens, and by which allotments.

use crate::events::event;
use crate::mesh::limit_by_name;
use crate::mesh::state::MeshState;
use crate::node::FrontNode;
use oleander_kind::{AccountName, TimeSpan};
use oleander_limit::{GateStatus, WindowStatus};
use oleander_mesh::MeshCollector;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::rc::Rc;

/// Interval between two log lines of an account.
const LOG_PERIOD: TimeSpan = TimeSpan(1000);

/// Totals of each account as last logged, and its tokens for retries since this process started.
#[derive(Debug, Default)]
pub struct SpendTracker {
    logged: HashMap<AccountName, LoggedSpend>,
    retried: HashMap<AccountName, u64>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct LoggedSpend {
    spent: u64,
    from_share: u64,
    retried: u64,
}

impl SpendTracker {
    /// Counts the tokens of a retry.
    pub fn note_retry_tokens(&mut self, account: &AccountName, tokens: u64) {
        *self.retried.entry(account.clone()).or_default() += tokens;
    }

    /// Change of an account's totals since they were last logged, given the tokens admitted from allotments and from
    /// this process's own share; none if there is no change.
    fn unlogged_spend(
        &mut self,
        account: &AccountName,
        (spent, from_share): (u64, u64),
    ) -> Option<LoggedSpend> {
        let retried = self.retried.get(account).copied().unwrap_or_default();
        let now = LoggedSpend { spent, from_share, retried };
        let before = self.logged.insert(account.clone(), now).unwrap_or_default();
        let change = LoggedSpend {
            spent: now.spent.saturating_sub(before.spent),
            from_share: now.from_share - before.from_share,
            retried: now.retried - before.retried,
        };
        (change != LoggedSpend::default()).then_some(change)
    }
}

/// Writes the log lines until the task is cancelled.
pub async fn log_limits(node: Rc<FrontNode>) {
    loop {
        actix_rt::time::sleep(LOG_PERIOD.duration()).await;
        log_spent(&node);
        log_windows(&node);
    }
}

fn log_spent(node: &FrontNode) {
    let now = node.clock.lease_now();
    let Some(rules) = node.current_rules() else { return };
    let limits = node.limits.borrow();
    let mut tracker = node.spend_tracker.borrow_mut();
    for (account, status) in limits.statuses(now) {
        let Some(limit) = limit_by_name(node, &rules, account) else { continue };
        let Some(change) = tracker.unlogged_spend(account, (status.spent, status.own_spent)) else {
            continue;
        };
        let is_near_limit = status.window as f64 * 2.0 > limit.capacity();
        if !is_near_limit && change.from_share == 0 {
            continue;
        }
        event!(node, AccountSpent;
            "account" => account.as_str(), "tokens" => change.spent, "sent_again" => change.retried,
            "own" => change.from_share, "held" => status.held, "told_ms" => status.answer_age.map(|age| age.0));
    }
}

fn log_windows(node: &FrontNode) {
    let mesh = node.mesh.borrow();
    let Some(collector) = &mesh.collector else { return };
    for (account, status) in collector.windows().filter(|(_, status)| status.is_near_limit()) {
        event!(node, AccountWindow;
            "account" => account.as_str(), "spent" => status.spent, "open" => status.open,
            "capacity" => status.capacity, "holders" => status.holders);
    }
}

/// Allotments of this process and, if it runs the ledger, the ledger's counts, for the state dump.
pub(crate) fn dump_limits(node: &FrontNode, mesh: &MeshState) -> Value {
    let now = node.clock.lease_now();
    let limits = node.limits.borrow();
    let held = |(account, status): (&AccountName, GateStatus)| {
        json!({
            "account": account.as_str(),
            "held": status.held,
            "spent": status.spent,
            "own_spent": status.own_spent,
            "told_ms": status.answer_age.map(|age| age.0),
        })
    };
    let counted = |(account, status): (&AccountName, WindowStatus)| {
        json!({
            "account": account.as_str(),
            "spent": status.spent,
            "open": status.open,
            "capacity": status.capacity,
            "holders": status.holders,
        })
    };
    let windows = mesh.collector.iter().flat_map(MeshCollector::windows);
    json!({
        "held": limits.statuses(now).map(held).collect::<Vec<_>>(),
        "counted": windows.map(counted).collect::<Vec<_>>(),
    })
}

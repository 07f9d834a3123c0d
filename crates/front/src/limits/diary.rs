//! Tells, once a second, what this process let in of accounts that come near their limits, and what the ledger has
//! counted of them.
//!
//! Operators judge an account over all processes. From a window that was passed, these lines lead to the processes that
//! let it in and to what each of them went by.

use crate::events::event;
use crate::mesh::limit_by_name;
use crate::mesh::state::MeshState;
use crate::node::FrontNode;
use oleander_kind::{AccountName, TimeSpan};
use oleander_limit::{GateStand, WindowStand};
use oleander_mesh::MeshCollector;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::rc::Rc;

/// Between two lines of an account.
const LOG_PERIOD: TimeSpan = TimeSpan(1000);

/// What the last lines told, and what was sent again since this process began.
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
    /// Notes tokens of an attempt after the first of its request.
    pub fn note_retry_tokens(&mut self, account: &AccountName, tokens: u64) {
        *self.retried.entry(account.clone()).or_default() += tokens;
    }

    /// What is new of an account since its last line, of what was let in by allotments and by this process's own
    /// part; none if nothing is.
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

/// Tells until the task is ended.
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
    let mut tracker = node.spend_diary.borrow_mut();
    for (account, stand) in limits.stands(now) {
        let Some(limit) = limit_by_name(node, &rules, account) else { continue };
        let Some(change) = tracker.unlogged_spend(account, (stand.spent, stand.own_spent)) else {
            continue;
        };
        let presses = stand.window as f64 * 2.0 > limit.capacity();
        if !presses && change.from_share == 0 {
            continue;
        }
        event!(node, AccountSpent;
            "account" => account.as_str(), "tokens" => change.spent, "sent_again" => change.retried,
            "own" => change.from_share, "held" => stand.held, "told_ms" => stand.told_age.map(|age| age.0));
    }
}

fn log_windows(node: &FrontNode) {
    let mesh = node.mesh.borrow();
    let Some(collector) = &mesh.collector else { return };
    for (account, stand) in collector.windows().filter(|(_, stand)| stand.presses()) {
        event!(node, AccountWindow;
            "account" => account.as_str(), "spent" => stand.spent, "open" => stand.open,
            "capacity" => stand.capacity, "holders" => stand.holders);
    }
}

/// What this process holds of accounts and, if it has the ledger, what it counted, for the state dump.
pub(crate) fn dump_limits(node: &FrontNode, mesh: &MeshState) -> Value {
    let now = node.clock.lease_now();
    let limits = node.limits.borrow();
    let held = |(account, stand): (&AccountName, GateStand)| {
        json!({
            "account": account.as_str(),
            "held": stand.held,
            "spent": stand.spent,
            "own_spent": stand.own_spent,
            "told_ms": stand.told_age.map(|age| age.0),
        })
    };
    let counted = |(account, stand): (&AccountName, WindowStand)| {
        json!({
            "account": account.as_str(),
            "spent": stand.spent,
            "open": stand.open,
            "capacity": stand.capacity,
            "holders": stand.holders,
        })
    };
    let windows = mesh.collector.iter().flat_map(MeshCollector::windows);
    json!({
        "held": limits.stands(now).map(held).collect::<Vec<_>>(),
        "counted": windows.map(counted).collect::<Vec<_>>(),
    })
}

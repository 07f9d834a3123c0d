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
use oleander_limit::{GateStatus, WindowStatus};
use oleander_mesh::MeshCollector;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::rc::Rc;

/// Between two lines of an account.
const TELL_PERIOD: TimeSpan = TimeSpan(1000);

/// What the last lines told, and what was sent again since this process began.
#[derive(Debug, Default)]
pub struct SpendDiary {
    told: HashMap<AccountName, ToldSpend>,
    sent_again: HashMap<AccountName, u64>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ToldSpend {
    spent: u64,
    own: u64,
    sent_again: u64,
}

impl SpendDiary {
    /// Notes tokens of an attempt after the first of its request.
    pub fn note_sent_again(&mut self, account: &AccountName, tokens: u64) {
        *self.sent_again.entry(account.clone()).or_default() += tokens;
    }

    /// What is new of an account since its last line, of what was let in by allotments and by this process's own
    /// part; none if nothing is.
    fn news_of(&mut self, account: &AccountName, (spent, own): (u64, u64)) -> Option<ToldSpend> {
        let sent_again = self.sent_again.get(account).copied().unwrap_or_default();
        let now = ToldSpend { spent, own, sent_again };
        let before = self.told.insert(account.clone(), now).unwrap_or_default();
        let news = ToldSpend {
            spent: now.spent.saturating_sub(before.spent),
            own: now.own - before.own,
            sent_again: now.sent_again - before.sent_again,
        };
        (news != ToldSpend::default()).then_some(news)
    }
}

/// Tells until the task is ended.
pub async fn tell_limits(node: Rc<FrontNode>) {
    loop {
        actix_rt::time::sleep(TELL_PERIOD.duration()).await;
        tell_spent(&node);
        tell_windows(&node);
    }
}

fn tell_spent(node: &FrontNode) {
    let now = node.clock.lease_now();
    let Some(rules) = node.current_rules() else { return };
    let limits = node.limits.borrow();
    let mut diary = node.spend_diary.borrow_mut();
    for (account, stand) in limits.statuses(now) {
        let Some(limit) = limit_by_name(node, &rules, account) else { continue };
        let Some(news) = diary.news_of(account, (stand.spent, stand.own_spent)) else { continue };
        let is_near_limit = stand.window as f64 * 2.0 > limit.capacity();
        if !is_near_limit && news.own == 0 {
            continue;
        }
        event!(node, AccountSpent;
            "account" => account.as_str(), "tokens" => news.spent, "sent_again" => news.sent_again,
            "own" => news.own, "held" => stand.held, "told_ms" => stand.answer_age.map(|age| age.0));
    }
}

fn tell_windows(node: &FrontNode) {
    let mesh = node.mesh.borrow();
    let Some(collector) = &mesh.collector else { return };
    for (account, stand) in collector.windows().filter(|(_, stand)| stand.is_near_limit()) {
        event!(node, AccountWindow;
            "account" => account.as_str(), "spent" => stand.spent, "open" => stand.open,
            "capacity" => stand.capacity, "holders" => stand.holders);
    }
}

/// What this process holds of accounts and, if it has the ledger, what it counted, for the state dump.
pub(crate) fn dump_limits(node: &FrontNode, mesh: &MeshState) -> Value {
    let now = node.clock.lease_now();
    let limits = node.limits.borrow();
    let held = |(account, stand): (&AccountName, GateStatus)| {
        json!({
            "account": account.as_str(),
            "held": stand.held,
            "spent": stand.spent,
            "own_spent": stand.own_spent,
            "told_ms": stand.answer_age.map(|age| age.0),
        })
    };
    let counted = |(account, stand): (&AccountName, WindowStatus)| {
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
        "held": limits.statuses(now).map(held).collect::<Vec<_>>(),
        "counted": windows.map(counted).collect::<Vec<_>>(),
    })
}

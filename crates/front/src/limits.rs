//! Tells, once a second, what this process let in of accounts that come near their limits, and what the collector
//! has counted of them.
//!
//! Operators judge an account over all processes. From a window that was passed, these lines lead to the processes that
//! let it in and to what each of them went by.

use crate::events::event;
use crate::node::FrontNode;
use oleander_kind::{AccountName, TimeSpan};
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
    sent_again: u64,
}

impl SpendDiary {
    /// Notes tokens of an attempt after the first of its request.
    pub fn note_sent_again(&mut self, account: &AccountName, tokens: u64) {
        *self.sent_again.entry(account.clone()).or_default() += tokens;
    }

    /// What is new of an account since its last line; none if nothing is.
    fn news_of(&mut self, account: &AccountName, spent: u64) -> Option<ToldSpend> {
        let sent_again = self.sent_again.get(account).copied().unwrap_or_default();
        let now = ToldSpend { spent, sent_again };
        let before = self.told.insert(account.clone(), now).unwrap_or_default();
        let news = ToldSpend {
            spent: now.spent.saturating_sub(before.spent),
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
    let now = node.clock.now();
    let limits = node.limits.borrow();
    let mut diary = node.spend_diary.borrow_mut();
    for (account, stand) in limits.stands(now) {
        let Some(news) = diary.news_of(account, stand.spent).filter(|_| stand.presses) else {
            continue;
        };
        event!(node, AccountSpent;
            "account" => account.as_str(), "tokens" => news.spent, "sent_again" => news.sent_again,
            "room" => stand.room, "news_ms" => stand.news_age.map(|age| age.0));
    }
}

fn tell_windows(node: &FrontNode) {
    let now = node.clock.now();
    let mesh = node.mesh.borrow();
    let Some(collector) = &mesh.collector else { return };
    for (account, stand) in collector.windows(now).filter(|(_, stand)| stand.presses()) {
        event!(node, AccountWindow;
            "account" => account.as_str(), "spent" => stand.spent, "capacity" => stand.capacity,
            "spenders" => stand.spenders);
    }
}

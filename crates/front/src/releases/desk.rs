//! What a process knows of roll-outs.

use oleander_kind::{AccountName, ClockTime, ServiceName, TimeSpan};
use oleander_release::{OrderEntry, OrderNews, ReleasePlan, VersionRouter, exposure_account};
use std::collections::{BTreeMap, BTreeSet};

/// How old what the board says of versions may be while an order is under way: the moment from which a version gets all
/// requests must not be missed by more.
const REFRESH_TIME: TimeSpan = TimeSpan(50);

/// An order that this process carries out.
#[derive(Clone, Debug)]
pub struct RunningOrder {
    /// How far it is.
    pub plan: ReleasePlan,
    /// The order as the store has it.
    pub entry: OrderEntry,
    /// The name of its object.
    pub name: String,
    sent: u64,
    /// Since when it is completed.
    pub completed_at: Option<ClockTime>,
}

impl RunningOrder {
    /// An order that begins here, since which `sent` requests of its service were sent.
    pub fn new(name: String, entry: OrderEntry, (plan, sent): (ReleasePlan, u64)) -> Self {
        RunningOrder { plan, entry, name, sent, completed_at: None }
    }

    /// Requests of the service that were sent since.
    pub fn sent(&self) -> f64 {
        self.sent as f64
    }

    /// Counts more of them.
    pub fn add_sent(&mut self, requests: u64) {
        self.sent += requests;
    }
}

/// What a process knows of roll-outs, and the orders that it carries out.
#[derive(Debug, Default)]
pub struct ReleaseDesk {
    /// What it goes by.
    pub book: VersionRouter,
    /// The orders that it carries out while it collects, by service.
    pub running: BTreeMap<ServiceName, RunningOrder>,
    /// Versions of orders that were withdrawn while they ran here.
    pub withdrawn: BTreeSet<(ServiceName, compact_str::CompactString)>,
    /// The store's revision as of which this process itself read the orders; none while it does not follow them.
    pub read_mark: Option<u64>,
    /// Whether an endpoint was listed whose version takes nothing as far as is known.
    pub is_stale: bool,
    refreshed_at: ClockTime,
}

impl ReleaseDesk {
    /// What to tell the others.
    pub fn news(&self, now: ClockTime) -> OrderNews {
        let known = self.book.news(now);
        let Some(mark) = self.read_mark else { return known };
        let told =
            self.running.values().map(|running| running.plan.told(running.sent, now)).collect();
        let held: BTreeSet<_> = known.held.into_iter().chain(self.withdrawn.clone()).collect();
        OrderNews { mark: mark.max(known.mark), told, held: held.into_iter().collect() }
    }

    /// The order that is paid from `account`.
    pub fn plan_of(&self, account: &AccountName) -> Option<&RunningOrder> {
        self.running.values().find(|running| {
            let order = running.plan.order();
            exposure_account(&order.service, &order.to) == *account
        })
    }

    /// Notes that the board was brought up.
    pub fn refreshed(&mut self, now: ClockTime) {
        self.refreshed_at = now;
        self.is_stale = false;
    }

    /// Whether the board has to be brought up before a request is placed.
    pub fn is_refresh_due(&self, now: ClockTime) -> bool {
        now - self.refreshed_at >= REFRESH_TIME && self.book.any_moving()
    }
}

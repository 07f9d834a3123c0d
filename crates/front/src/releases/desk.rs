//! The roll-out state of a process.

use oleander_kind::{AccountName, ClockTime, ServiceName, TimeSpan};
use oleander_release::{OrderEntry, OrderNews, ReleasePlan, VersionRouter, exposure_account};
use std::collections::{BTreeMap, BTreeSet};

/// How old the board's version data may be while an order is under way. The moment from which a
/// version receives all requests must not be missed by more than this.
const REFRESH_TIME: TimeSpan = TimeSpan(50);

/// An order that this process carries out.
#[derive(Clone, Debug)]
pub struct RunningOrder {
    /// Its progress.
    pub plan: ReleasePlan,
    /// The order as the store has it.
    pub entry: OrderEntry,
    /// The name of its object.
    pub name: String,
    sent: u64,
    /// When it was completed.
    pub completed_at: Option<ClockTime>,
}

impl RunningOrder {
    /// Starts an order, since which `sent` requests of its service were sent already.
    pub fn new(name: String, entry: OrderEntry, (plan, sent): (ReleasePlan, u64)) -> Self {
        RunningOrder { plan, entry, name, sent, completed_at: None }
    }

    /// Requests of the service that were sent since the order began.
    pub fn sent(&self) -> f64 {
        self.sent as f64
    }

    /// Counts further requests.
    pub fn add_sent(&mut self, requests: u64) {
        self.sent += requests;
    }
}

/// What a process knows about roll-outs, and the orders that it carries out.
#[derive(Debug, Default)]
pub struct RolloutState {
    /// The orders and versions that it applies to requests.
    pub book: VersionRouter,
    /// The orders that it carries out while it is the collector, by service.
    pub running: BTreeMap<ServiceName, RunningOrder>,
    /// Versions whose orders were withdrawn while they ran here.
    pub withdrawn: BTreeSet<(ServiceName, compact_str::CompactString)>,
    /// The store revision at which this process itself last read the orders; `None` while it does
    /// not follow them.
    pub read_revision: Option<u64>,
    /// Whether an endpoint was listed whose version receives no requests by the known orders.
    pub is_stale: bool,
    refreshed_at: ClockTime,
}

impl RolloutState {
    /// The roll-out state to share with the other processes.
    pub fn summary(&self, now: ClockTime) -> OrderNews {
        let known = self.book.news(now);
        let Some(mark) = self.read_revision else { return known };
        let told =
            self.running.values().map(|running| running.plan.told(running.sent, now)).collect();
        let held: BTreeSet<_> = known.held.into_iter().chain(self.withdrawn.clone()).collect();
        OrderNews { mark: mark.max(known.mark), told, held: held.into_iter().collect() }
    }

    /// The order whose candidate is paid from `account`.
    pub fn order_paid_by(&self, account: &AccountName) -> Option<&RunningOrder> {
        self.running.values().find(|running| {
            let order = running.plan.order();
            exposure_account(&order.service, &order.to) == *account
        })
    }

    /// Notes that the board was updated.
    pub fn mark_refreshed(&mut self, now: ClockTime) {
        self.refreshed_at = now;
        self.is_stale = false;
    }

    /// Whether the board has to be updated before a request is placed.
    pub fn is_refresh_due(&self, now: ClockTime) -> bool {
        now - self.refreshed_at >= REFRESH_TIME && self.book.any_moving()
    }
}

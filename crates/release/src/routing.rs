//! What one process goes by: which versions of a service take its requests.
//!
//! Every version but the one that serves may be under an order that has not been heard of yet. The store's revision tells: an
//! order is written before its endpoints are, so that who knows the orders as of an entry's revision knows whether there is one
//! for its version. Until then the endpoint gets nothing, unless its version serves already.

use crate::exposure::exposure_account;
use compact_str::CompactString;
use oleander_kind::{AccountName, ClockTime, ServiceName, TimeSpan};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// For how long versions of which nothing is known wait for news of the orders. Then the oldest one serves: callers of a
/// process that hears nobody are not refused for that.
const UNKNOWN_VERSION_TIMEOUT: TimeSpan = TimeSpan(2000);

/// The part of the share that goes on being tried while requests that last long move.
const MOVING_TRIAL_FRACTION: f64 = 0.1;

/// What the processes are told of an order's stage.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnnouncedStage {
    /// The version gets a part of the requests.
    #[serde(rename = "t")]
    Trying,
    /// It gets all of them from a moment on.
    #[serde(rename = "m")]
    Moving {
        /// In how long; 0 if it has passed.
        #[serde(rename = "f")]
        full_in: TimeSpan,
    },
    /// It has all requests.
    #[serde(rename = "c")]
    Completed,
    /// It gets nothing.
    #[serde(rename = "b")]
    Back,
}

/// What the processes are told of an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderStatus {
    /// The service.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// The version.
    #[serde(rename = "v")]
    pub to: CompactString,
    /// How far it is.
    #[serde(rename = "p")]
    pub stage: AnnouncedStage,
    /// Raised with each change.
    #[serde(rename = "n")]
    pub number: u64,
    /// In how long it must be decided.
    #[serde(rename = "e")]
    pub ends_in: TimeSpan,
    /// Requests of the service that were sent since the order: a process that collects next goes on from there.
    #[serde(rename = "r", default)]
    pub sent: u64,
}

/// What the processes are told of all orders.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderNews {
    /// The store's revision as of which the orders are known; 0 if they are not.
    #[serde(rename = "m", default)]
    pub mark: u64,
    /// The orders.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub told: Vec<OrderStatus>,
    /// Versions that get nothing although no order names them any more: it was withdrawn before it was decided.
    #[serde(rename = "h", default, skip_serializing_if = "Vec::is_empty")]
    pub held: Vec<(ServiceName, CompactString)>,
}

/// Which endpoints a request may go to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum VersionLane {
    /// Those of the versions that serve.
    #[default]
    Serving,
    /// Those of the version under an order.
    Trial,
}

/// A version of a service, as its endpoints' entries show it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedVersion {
    /// The version.
    pub version: CompactString,
    /// The lowest revision of its entries.
    pub revision: u64,
    /// When the first life of its endpoints began, if they say so.
    pub life: u64,
}

#[derive(Clone, Debug)]
struct KnownOrder {
    told: OrderStatus,
    at: ClockTime,
}

impl KnownOrder {
    /// Whether it is neither completed nor rolled back.
    fn is_open(&self) -> bool {
        matches!(self.told.stage, AnnouncedStage::Trying | AnnouncedStage::Moving { .. })
    }

    fn is_moving(&self) -> bool {
        matches!(self.told.stage, AnnouncedStage::Moving { .. })
    }

    /// Whether the version gets all requests by now.
    fn is_full(&self, now: ClockTime) -> bool {
        match self.told.stage {
            AnnouncedStage::Moving { full_in } => now >= self.at + full_in,
            AnnouncedStage::Completed => true,
            AnnouncedStage::Trying | AnnouncedStage::Back => false,
        }
    }
}

/// What one process knows of orders and versions.
#[derive(Clone, Debug, Default)]
pub struct VersionRouter {
    mark: u64,
    orders: BTreeMap<ServiceName, KnownOrder>,
    held: BTreeSet<(ServiceName, CompactString)>,
    /// Versions that serve.
    open: BTreeMap<ServiceName, BTreeSet<CompactString>>,
    unknown_since: BTreeMap<ServiceName, ClockTime>,
}

impl VersionRouter {
    /// The revision as of which the orders are known.
    pub fn mark(&self) -> u64 {
        self.mark
    }

    /// Takes news that was written `late` ago at the most. Older news than what is known is left out.
    pub fn apply_news(&mut self, news: &OrderNews, late: TimeSpan, now: ClockTime) {
        if news.mark < self.mark || news.mark == 0 {
            return;
        }
        self.mark = news.mark;
        self.held.extend(news.held.iter().cloned());
        self.hold_withdrawn_versions(&news.told);
        let at = now - late;
        let heard =
            |told: &OrderStatus| (told.service.clone(), KnownOrder { told: told.clone(), at });
        self.orders = news.told.iter().map(heard).collect();
        // A version that was held back and is ordered again goes by its order.
        for told in &news.told {
            self.held.remove(&(told.service.clone(), told.to.clone()));
        }
        for told in news.told.iter().filter(|told| told.stage == AnnouncedStage::Completed) {
            let open = self.open.entry(told.service.clone()).or_default();
            open.clear();
            open.insert(told.to.clone());
        }
    }

    /// Holds the versions of orders that were not completed and are not there any more.
    fn hold_withdrawn_versions(&mut self, told: &[OrderStatus]) {
        let is_told = |order: &KnownOrder| {
            let same =
                |one: &OrderStatus| one.service == order.told.service && one.to == order.told.to;
            told.iter().any(same)
        };
        let is_done = |order: &KnownOrder| order.told.stage == AnnouncedStage::Completed;
        let gone = self.orders.values().filter(|order| !is_done(order) && !is_told(order));
        let gone = gone.map(|order| (order.told.service.clone(), order.told.to.clone()));
        self.held.extend(gone.collect::<Vec<_>>());
    }

    /// The accounts from which requests to versions under orders are paid.
    pub fn trial_accounts(&self) -> Vec<AccountName> {
        let account = |order: &KnownOrder| exposure_account(&order.told.service, &order.told.to);
        self.orders.values().filter(|order| order.is_open()).map(account).collect()
    }

    /// What this process was told, for one that collects from now on and for the others.
    pub fn news(&self, now: ClockTime) -> OrderNews {
        let told = |order: &KnownOrder| {
            let ago = now - order.at;
            let left = |span: TimeSpan| TimeSpan(span.0.saturating_sub(ago.0));
            let stage = match &order.told.stage {
                AnnouncedStage::Moving { full_in } => {
                    AnnouncedStage::Moving { full_in: left(*full_in) }
                }
                other => other.clone(),
            };
            OrderStatus { stage, ends_in: left(order.told.ends_in), ..order.told.clone() }
        };
        OrderNews {
            mark: self.mark,
            told: self.orders.values().map(told).collect(),
            held: self.held.iter().cloned().collect(),
        }
    }

    /// The plans that this process goes by, for its reports.
    pub fn followed(&self) -> Vec<(ServiceName, u64)> {
        let followed = |order: &KnownOrder| (order.told.service.clone(), order.told.number);
        self.orders.values().map(followed).collect()
    }

    /// The version of a service that is under an order which is neither completed nor rolled back.
    pub fn tried(&self, service: &ServiceName) -> Option<&CompactString> {
        let order = self.orders.get(service).filter(|order| order.is_open())?;
        Some(&order.told.to)
    }

    /// Whether a version is about to get all requests of a service.
    pub fn is_moving(&self, service: &ServiceName) -> bool {
        self.orders.get(service).is_some_and(KnownOrder::is_moving)
    }

    /// Whether that holds for any service.
    pub fn any_moving(&self) -> bool {
        self.orders.values().any(KnownOrder::is_moving)
    }

    /// Takes the versions that a service's endpoints have; says whether news of the orders is lacking for some.
    pub fn update_versions(
        &mut self,
        service: &ServiceName,
        listed: &[ListedVersion],
        now: ClockTime,
    ) -> bool {
        let is_listed = |version: &CompactString| listed.iter().any(|one| one.version == *version);
        self.held.retain(|(other, version)| other != service || is_listed(version));
        let mut open = self.open.remove(service).unwrap_or_default();
        open.retain(is_listed);
        let mut unknown = Vec::new();
        for one in listed {
            if open.contains(&one.version) || self.is_governed(service, &one.version) {
                continue;
            }
            if self.mark >= one.revision {
                open.insert(one.version.clone());
            } else {
                unknown.push(one);
            }
        }
        let since = *self.unknown_since.entry(service.clone()).or_insert(now);
        if unknown.is_empty() {
            self.unknown_since.remove(service);
        } else if open.is_empty() && (unknown.len() == 1 || now - since >= UNKNOWN_VERSION_TIMEOUT)
        {
            // There is no other that one alone could be compared with.
            let oldest = unknown.iter().min_by_key(|one| (one.life, one.revision));
            open.extend(oldest.map(|one| one.version.clone()));
        }
        self.open.insert(service.clone(), open);
        !unknown.is_empty()
    }

    /// Whether an order, or the end of one, says what a version gets.
    fn is_governed(&self, service: &ServiceName, version: &CompactString) -> bool {
        let order = self.orders.get(service);
        let ordered = order.is_some_and(|order| {
            order.told.to == *version && order.told.stage != AnnouncedStage::Completed
        });
        ordered || self.held.contains(&(service.clone(), version.clone()))
    }

    /// Whether endpoints of a version take requests on a lane.
    pub fn takes(
        &self,
        (service, version): (&ServiceName, &CompactString),
        lane: VersionLane,
        now: ClockTime,
    ) -> bool {
        let order = self.orders.get(service);
        if let Some(order) = order.filter(|order| order.is_full(now)) {
            return order.told.to == *version;
        }
        match lane {
            VersionLane::Trial => self.tried(service) == Some(version),
            VersionLane::Serving => {
                let is_open = self.open.get(service).is_some_and(|open| open.contains(version));
                is_open && !self.is_governed(service, version)
            }
        }
    }

    /// The account from which a request has to be paid to go to the version under an order; none if it goes to those that
    /// serve. `lot` is drawn in 0 to 1; `share` is the part that is tried; `takes` is how long the answer is expected to last.
    pub fn paying_account(
        &self,
        service: &ServiceName,
        (lot, share): (f64, f64),
        (takes, now): (TimeSpan, ClockTime),
    ) -> Option<AccountName> {
        let order = self.orders.get(service).filter(|order| !order.is_full(now))?;
        let is_wanted = match order.told.stage {
            AnnouncedStage::Trying => lot < share,
            // It would still run at the former version when that is to be left.
            AnnouncedStage::Moving { full_in } => {
                lot < share * MOVING_TRIAL_FRACTION || now + takes >= order.at + full_in
            }
            AnnouncedStage::Completed | AnnouncedStage::Back => false,
        };
        is_wanted.then(|| exposure_account(service, &order.told.to))
    }
}

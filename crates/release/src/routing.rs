//! Routing decisions of one process: which versions of a service take its requests.
//!
//! Any version except the serving one may be subject to an order that this process has not heard of
//! yet. The store revision settles this: an order is written before the endpoints of its version
//! are, so a process that knows the orders as of an entry's revision knows whether there is one for
//! its version. Until then the endpoint gets no requests, unless its version serves already.

use crate::exposure::exposure_account;
use compact_str::CompactString;
use oleander_kind::{AccountName, ClockTime, ServiceName, TimeSpan};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// How long unknown versions wait for the orders. After that the oldest version serves, so that
/// callers of an isolated process are not refused.
const UNKNOWN_VERSION_TIMEOUT: TimeSpan = TimeSpan(2000);

/// The fraction of the trial share that continues while requests with long answers move.
const MOVING_TRIAL_FRACTION: f64 = 0.1;

/// The stage of an order as sent between processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum AnnouncedStage {
    /// The version gets a share of the requests.
    #[serde(rename = "t")]
    Trying,
    /// The version gets all requests from a set time on.
    #[serde(rename = "m")]
    Moving {
        /// Time until then; 0 if it has passed.
        #[serde(rename = "f")]
        full_in: TimeSpan,
    },
    /// The version gets all requests.
    #[serde(rename = "c")]
    Completed,
    /// The version gets no requests: it was rolled back.
    #[serde(rename = "b")]
    Back,
}

/// The state of an order as sent between processes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderStatus {
    /// The service.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// The version.
    #[serde(rename = "v")]
    pub to: CompactString,
    /// The stage of the roll-out.
    #[serde(rename = "p")]
    pub stage: AnnouncedStage,
    /// Incremented with each change.
    #[serde(rename = "n")]
    pub number: u64,
    /// Time left until the order must be decided.
    #[serde(rename = "e")]
    pub ends_in: TimeSpan,
    /// Requests of the service sent since the order, from which the next collector continues.
    #[serde(rename = "r", default)]
    pub sent: u64,
}

/// The state of all orders as sent between processes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderNews {
    /// The store revision as of which the orders are known; 0 if they are not known.
    #[serde(rename = "m", default)]
    pub mark: u64,
    /// The orders.
    #[serde(rename = "o", default, skip_serializing_if = "Vec::is_empty")]
    pub told: Vec<OrderStatus>,
    /// Versions that get no requests although no order names them any more, because the order was
    /// withdrawn before it was decided.
    #[serde(rename = "h", default, skip_serializing_if = "Vec::is_empty")]
    pub held: Vec<(ServiceName, CompactString)>,
}

/// The set of endpoints that a request may be routed to.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum VersionLane {
    /// Endpoints of the serving versions.
    #[default]
    Serving,
    /// Endpoints of the version under trial.
    Trial,
}

/// A version of a service as shown by the registry entries of its endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ListedVersion {
    /// The version.
    pub version: CompactString,
    /// The lowest revision of its entries.
    pub revision: u64,
    /// The start of the earliest incarnation of its endpoints, if the entries state it.
    pub life: u64,
}

#[derive(Clone, Debug)]
struct KnownOrder {
    status: OrderStatus,
    at: ClockTime,
}

impl KnownOrder {
    /// Whether the order is neither completed nor rolled back.
    fn is_open(&self) -> bool {
        matches!(self.status.stage, AnnouncedStage::Trying | AnnouncedStage::Moving { .. })
    }

    fn is_moving(&self) -> bool {
        matches!(self.status.stage, AnnouncedStage::Moving { .. })
    }

    /// Whether the version gets all requests by now.
    fn is_full(&self, now: ClockTime) -> bool {
        match self.status.stage {
            AnnouncedStage::Moving { full_in } => now >= self.at + full_in,
            AnnouncedStage::Completed => true,
            AnnouncedStage::Trying | AnnouncedStage::Back => false,
        }
    }
}

/// The orders and versions known to one process, and the routing that follows from them.
#[derive(Clone, Debug, Default)]
pub struct VersionRouter {
    mark: u64,
    orders: BTreeMap<ServiceName, KnownOrder>,
    held: BTreeSet<(ServiceName, CompactString)>,
    /// Versions that take the requests of a service, apart from one under trial.
    serving: BTreeMap<ServiceName, BTreeSet<CompactString>>,
    unknown_since: BTreeMap<ServiceName, ClockTime>,
}

impl VersionRouter {
    /// Returns the store revision as of which the orders are known.
    pub fn mark(&self) -> u64 {
        self.mark
    }

    /// Applies news that was written at most `late` ago. News older than the known state is
    /// ignored.
    pub fn apply_news(&mut self, news: &OrderNews, late: TimeSpan, now: ClockTime) {
        if news.mark < self.mark || news.mark == 0 {
            return;
        }
        self.mark = news.mark;
        self.held.extend(news.held.iter().cloned());
        self.hold_withdrawn_versions(&news.told);
        let at = now - late;
        let known =
            |told: &OrderStatus| (told.service.clone(), KnownOrder { status: told.clone(), at });
        self.orders = news.told.iter().map(known).collect();
        // A held version that is ordered again follows its new order.
        for told in &news.told {
            self.held.remove(&(told.service.clone(), told.to.clone()));
        }
        for told in news.told.iter().filter(|told| told.stage == AnnouncedStage::Completed) {
            let serving_versions = self.serving.entry(told.service.clone()).or_default();
            serving_versions.clear();
            serving_versions.insert(told.to.clone());
        }
    }

    /// Holds the versions of orders that disappeared before they were completed.
    fn hold_withdrawn_versions(&mut self, told: &[OrderStatus]) {
        let is_current = |order: &KnownOrder| {
            let same = |one: &OrderStatus| {
                one.service == order.status.service && one.to == order.status.to
            };
            told.iter().any(same)
        };
        let is_done = |order: &KnownOrder| order.status.stage == AnnouncedStage::Completed;
        let gone = self.orders.values().filter(|order| !is_done(order) && !is_current(order));
        let gone = gone.map(|order| (order.status.service.clone(), order.status.to.clone()));
        self.held.extend(gone.collect::<Vec<_>>());
    }

    /// Returns the accounts that pay for requests to versions under trial.
    pub fn trial_accounts(&self) -> Vec<AccountName> {
        let account =
            |order: &KnownOrder| exposure_account(&order.status.service, &order.status.to);
        self.orders.values().filter(|order| order.is_open()).map(account).collect()
    }

    /// Returns the known state as news, for the next collector and for the other processes.
    pub fn news(&self, now: ClockTime) -> OrderNews {
        let told = |order: &KnownOrder| {
            let ago = now - order.at;
            let left = |span: TimeSpan| TimeSpan(span.0.saturating_sub(ago.0));
            let stage = match &order.status.stage {
                AnnouncedStage::Moving { full_in } => {
                    AnnouncedStage::Moving { full_in: left(*full_in) }
                }
                other => other.clone(),
            };
            OrderStatus { stage, ends_in: left(order.status.ends_in), ..order.status.clone() }
        };
        OrderNews {
            mark: self.mark,
            told: self.orders.values().map(told).collect(),
            held: self.held.iter().cloned().collect(),
        }
    }

    /// Returns the plan number of each service that this process follows, for its reports.
    pub fn followed(&self) -> Vec<(ServiceName, u64)> {
        let followed = |order: &KnownOrder| (order.status.service.clone(), order.status.number);
        self.orders.values().map(followed).collect()
    }

    /// Returns the version of a service that is under an undecided order.
    pub fn tried(&self, service: &ServiceName) -> Option<&CompactString> {
        let order = self.orders.get(service).filter(|order| order.is_open())?;
        Some(&order.status.to)
    }

    /// Whether a version is about to get all requests of a service.
    pub fn is_moving(&self, service: &ServiceName) -> bool {
        self.orders.get(service).is_some_and(KnownOrder::is_moving)
    }

    /// Whether any service has a version that is about to get all of its requests.
    pub fn any_moving(&self) -> bool {
        self.orders.values().any(KnownOrder::is_moving)
    }

    /// Updates the versions of a service's endpoints; returns whether the orders are still unknown
    /// for some of them.
    pub fn update_versions(
        &mut self,
        service: &ServiceName,
        listed: &[ListedVersion],
        now: ClockTime,
    ) -> bool {
        let is_listed = |version: &CompactString| listed.iter().any(|one| one.version == *version);
        self.held.retain(|(other, version)| other != service || is_listed(version));
        let mut serving_versions = self.serving.remove(service).unwrap_or_default();
        serving_versions.retain(is_listed);
        let mut unknown = Vec::new();
        for one in listed {
            if serving_versions.contains(&one.version) || self.is_governed(service, &one.version) {
                continue;
            }
            if self.mark >= one.revision {
                serving_versions.insert(one.version.clone());
            } else {
                unknown.push(one);
            }
        }
        let since = *self.unknown_since.entry(service.clone()).or_insert(now);
        if unknown.is_empty() {
            self.unknown_since.remove(service);
        } else if serving_versions.is_empty()
            && (unknown.len() == 1 || now - since >= UNKNOWN_VERSION_TIMEOUT)
        {
            // A single unknown version serves at once: there is no other to compare it with.
            let oldest = unknown.iter().min_by_key(|one| (one.life, one.revision));
            serving_versions.extend(oldest.map(|one| one.version.clone()));
        }
        self.serving.insert(service.clone(), serving_versions);
        !unknown.is_empty()
    }

    /// Whether a current or a withdrawn order decides what a version gets.
    fn is_governed(&self, service: &ServiceName, version: &CompactString) -> bool {
        let order = self.orders.get(service);
        let ordered = order.is_some_and(|order| {
            order.status.to == *version && order.status.stage != AnnouncedStage::Completed
        });
        ordered || self.held.contains(&(service.clone(), version.clone()))
    }

    /// Whether endpoints of a version of a service may get requests that are routed on `lane`.
    pub fn takes(
        &self,
        (service, version): (&ServiceName, &CompactString),
        lane: VersionLane,
        now: ClockTime,
    ) -> bool {
        let order = self.orders.get(service);
        if let Some(order) = order.filter(|order| order.is_full(now)) {
            return order.status.to == *version;
        }
        match lane {
            VersionLane::Trial => self.tried(service) == Some(version),
            VersionLane::Serving => {
                let is_open = self
                    .serving
                    .get(service)
                    .is_some_and(|serving_versions| serving_versions.contains(version));
                is_open && !self.is_governed(service, version)
            }
        }
    }

    /// Returns the account that must pay for a request to go to the version under trial, or `None`
    /// if the request goes to the serving versions. `random` is drawn uniformly from 0 to 1,
    /// `share` is the trial fraction, `expected` is the expected duration of the answer.
    pub fn paying_account(
        &self,
        service: &ServiceName,
        (random, share): (f64, f64),
        (expected, now): (TimeSpan, ClockTime),
    ) -> Option<AccountName> {
        let order = self.orders.get(service).filter(|order| !order.is_full(now))?;
        let is_wanted = match order.status.stage {
            AnnouncedStage::Trying => random < share,
            // The request would still be running at the former version when that version must be
            // idle.
            AnnouncedStage::Moving { full_in } => {
                random < share * MOVING_TRIAL_FRACTION || now + expected >= order.at + full_in
            }
            AnnouncedStage::Completed | AnnouncedStage::Back => false,
        };
        is_wanted.then(|| exposure_account(service, &order.status.to))
    }
}

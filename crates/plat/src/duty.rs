//! Control work at the platform's cloud: usage reports and orders for endpoints.

use crate::port::Result;
use futures_util::future::LocalBoxFuture;
use oleander_kind::endpoint::InstanceMarket;
use oleander_kind::{AccountName, DomainName, InstanceId, ServiceName};
use std::collections::BTreeMap;

/// Who calls, and by which right.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyStamp {
    /// The holder of the lease.
    pub holder: InstanceId,
    /// Its fencing token.
    pub fence: u64,
}

/// What the platform said.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DutyAnswer {
    /// Taken.
    Done,
    /// Refused: a higher fencing token was seen, or there is nothing to give; with its words.
    Refused(String),
}

/// The usage of one window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// The window's number.
    pub window: u64,
    /// Requests that began to run, by account.
    pub counts: BTreeMap<AccountName, u64>,
}

/// How many endpoints to have.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScaleOrder {
    /// The service.
    pub service: ServiceName,
    /// Where.
    pub domain: DomainName,
    /// How bought.
    pub market: InstanceMarket,
    /// How many.
    pub count: u32,
}

/// The cloud. Every call is bounded in time by its implementation.
pub trait DutyPort {
    /// Sends a usage report.
    fn report_usage<'a>(
        &'a self,
        stamp: &'a DutyStamp,
        report: &'a UsageReport,
    ) -> LocalBoxFuture<'a, Result<DutyAnswer>>;

    /// Orders endpoints.
    fn order_endpoints<'a>(
        &'a self,
        stamp: &'a DutyStamp,
        order: &'a ScaleOrder,
    ) -> LocalBoxFuture<'a, Result<DutyAnswer>>;
}

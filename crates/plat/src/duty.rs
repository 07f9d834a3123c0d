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

/// The right to make one call, looked up as the call leaves.
///
/// A holder that looks at its lease, waits for a connection or for another call, and then sends by
/// that look may have stood still for seconds in between: another process holds the lease by then and
/// has acted, and a platform that does not check fencing tokens takes both. So a port is never given a
/// stamp; it asks for one once nothing is left to wait for.
pub trait DutyPermit {
    /// The stamp of a call that leaves at once; none if the lease is not held now.
    fn stamp(&self) -> Option<DutyStamp>;
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

/// The cloud. Every call is bounded in time by its implementation, and takes its stamp from the permit
/// after the last wait before its first byte leaves; without a stamp nothing is sent.
pub trait DutyPort {
    /// Sends a usage report.
    fn report_usage<'a>(
        &'a self,
        permit: &'a dyn DutyPermit,
        report: &'a UsageReport,
    ) -> LocalBoxFuture<'a, Result<DutyAnswer>>;

    /// Orders endpoints.
    fn order_endpoints<'a>(
        &'a self,
        permit: &'a dyn DutyPermit,
        order: &'a ScaleOrder,
    ) -> LocalBoxFuture<'a, Result<DutyAnswer>>;
}

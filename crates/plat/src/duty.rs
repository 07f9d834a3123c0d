//! Interface to the cloud for control duties, which only the holder of a lease performs: usage reports and scaling
//! orders.

use crate::port::Result;
use futures_util::future::LocalBoxFuture;
use oleander_kind::endpoint::InstanceMarket;
use oleander_kind::{AccountName, DomainName, InstanceId, ServiceName};
use std::collections::BTreeMap;

/// Lease holder and fencing token that a control call carries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DutyStamp {
    /// Holder of the lease.
    pub holder: InstanceId,
    /// Fencing token of the lease.
    pub fence: u64,
}

/// Permission to make one control call, checked at the moment the call is sent.
///
/// A process that checks its lease and then waits for a connection or another call may be paused for
/// seconds in between. Another process may have acquired the lease and acted meanwhile, and a platform
/// that does not check fencing tokens accepts both calls. A [`DutyPort`] is therefore never given a
/// stamp in advance; it asks for one when nothing is left to wait for.
pub trait DutyPermit {
    /// Returns the stamp for a call that is sent immediately, or none if the lease is not held.
    fn stamp(&self) -> Option<DutyStamp>;
}

/// The platform's answer to a control call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DutyAnswer {
    /// The call was accepted.
    Done,
    /// The call was refused, because a higher fencing token was seen or no capacity is available. Holds the answer's
    /// text.
    Refused(String),
}

/// Usage of all accounts in one window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UsageReport {
    /// Number of the window.
    pub window: u64,
    /// Number of requests that started executing, by account.
    pub counts: BTreeMap<AccountName, u64>,
}

/// Number of endpoints wanted for a service in one failure domain and market.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ScaleOrder {
    /// Service.
    pub service: ServiceName,
    /// Failure domain.
    pub domain: DomainName,
    /// Market on which the instances are bought.
    pub market: InstanceMarket,
    /// Wanted number of endpoints.
    pub count: u32,
}

/// Control calls to the cloud.
///
/// Implementations apply a timeout to every call and take the stamp from the permit after the last wait
/// before the first byte is sent. Without a stamp nothing is sent.
pub trait DutyPort {
    /// Sends a usage report.
    fn report_usage<'a>(
        &'a self,
        permit: &'a dyn DutyPermit,
        report: &'a UsageReport,
    ) -> LocalBoxFuture<'a, Result<DutyAnswer>>;

    /// Sets the wanted number of endpoints.
    fn order_endpoints<'a>(
        &'a self,
        permit: &'a dyn DutyPermit,
        order: &'a ScaleOrder,
    ) -> LocalBoxFuture<'a, Result<DutyAnswer>>;
}

//! Endpoint records as the platform's endpoint list and its notices report them.

use crate::{ClockTime, DomainName, InstanceId, ServiceName, VersionName};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// The lifecycle stage of an endpoint as the platform's list reports it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointStage {
    /// Requested from the platform, but not serving yet.
    #[default]
    Starting,
    /// Serving requests.
    Live,
    /// Draining: it finishes the requests in progress and accepts no new ones.
    Leaving,
    /// Terminated.
    Gone,
}

/// A rate in requests per second, stored in thousandths so that it compares equal in every process.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestRate(u32);

impl RequestRate {
    /// Stored units in one request per second.
    const SCALE: f64 = 1000.0;

    /// Creates a rate of `per_s` requests per second. Values out of range are clamped.
    pub fn per_second(per_s: f64) -> Self {
        RequestRate((per_s * Self::SCALE).round() as u32)
    }

    /// Returns the rate in requests per second.
    pub fn per_s(self) -> f64 {
        f64::from(self.0) / Self::SCALE
    }
}

impl std::fmt::Display for RequestRate {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/s", self.per_s())
    }
}

/// The purchase type of an instance.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceMarket {
    /// Low-priced capacity that the cloud may reclaim with a few seconds of notice.
    #[default]
    Reclaimable,
    /// Higher-priced capacity that runs until it is terminated.
    OnDemand,
}

/// The kind of service an endpoint provides.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointRole {
    /// A model inference engine with streaming, a prefix cache and load reports.
    #[default]
    Engine,
    /// A plain HTTP service.
    Plain,
}

/// One entry of the platform's endpoint list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// The instance it runs on.
    pub instance: InstanceId,
    /// The service it belongs to.
    pub service: ServiceName,
    /// Network address as `ip:port`.
    pub address: CompactString,
    /// Its failure domain.
    pub domain: DomainName,
    /// The cloud provider's machine type.
    pub class: CompactString,
    /// The purchase type of its instance.
    pub market: InstanceMarket,
    /// Engine or plain service.
    pub role: EndpointRole,
    /// The model version it has loaded; empty for plain services.
    pub version: VersionName,
    /// Its lifecycle stage.
    pub stage: EndpointStage,
    /// Wall-clock time at which a leaving instance is terminated.
    pub ends_at: Option<ClockTime>,
    /// The client token of the order that started it.
    pub token: CompactString,
    /// Wall-clock time at which it started.
    pub started_at: ClockTime,
}

//! What is known of an endpoint, as lists and notices tell it.

use crate::{ClockTime, DomainName, InstanceId, ServiceName, VersionName};
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// Where an endpoint stands in its life, as the platform's list tells it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointStage {
    /// Asked for; not answering yet.
    #[default]
    Starting,
    /// Answers requests.
    Live,
    /// Told to leave: it finishes what it has and takes nothing new.
    Leaving,
    /// Ended.
    Gone,
}

/// Requests a second, kept in thousandths so that two processes compare it exactly.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RequestRate(u32);

impl RequestRate {
    /// Thousandths of a request a second.
    const SCALE: f64 = 1000.0;

    /// The rate of `per_s` requests a second; a figure out of range becomes the nearest one.
    pub fn per_second(per_s: f64) -> Self {
        RequestRate((per_s * Self::SCALE).round() as u32)
    }

    /// Requests a second.
    pub fn per_s(self) -> f64 {
        f64::from(self.0) / Self::SCALE
    }
}

impl std::fmt::Display for RequestRate {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{}/s", self.per_s())
    }
}

/// How an instance is bought.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum InstanceMarket {
    /// Cheap; may be reclaimed on seconds of notice.
    #[default]
    Reclaimable,
    /// Dear; stays until it is ended.
    OnDemand,
}

/// What an endpoint does.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum EndpointRole {
    /// A model engine with streams, prefix cache and load reports.
    #[default]
    Engine,
    /// A plain HTTP service.
    Plain,
}

/// One endpoint as the platform's list shows it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointRecord {
    /// The instance it runs on.
    pub instance: InstanceId,
    /// The service it answers for.
    pub service: ServiceName,
    /// `ip:port`.
    pub address: CompactString,
    /// Its failure domain.
    pub domain: DomainName,
    /// Machine class, as the cloud names it.
    pub class: CompactString,
    /// How it was bought.
    pub market: InstanceMarket,
    /// Engine or plain service.
    pub role: EndpointRole,
    /// The model version it has loaded; empty for plain services.
    pub version: VersionName,
    /// Its stage.
    pub stage: EndpointStage,
    /// Wall-clock time at which a leaving instance ends.
    pub ends_at: Option<ClockTime>,
    /// The client token it was started with.
    pub token: CompactString,
    /// Wall-clock time of its start.
    pub started_at: ClockTime,
}

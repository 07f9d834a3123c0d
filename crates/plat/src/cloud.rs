//! Client of the cloud API, which starts and ends instances and reports prices and reclaim notices.

use crate::client::new_client;
use crate::http::send_error;
use crate::names::encode_name;
use crate::port::{PlatError, Result};
use awc::Client;
use awc::http::StatusCode;
use compact_str::CompactString;
use oleander_kind::{
    ClockTime, DomainName, EndpointRole, InstanceId, InstanceMarket, ResultCode, ServiceName,
    TimeSpan, VersionName,
};
use serde::{Deserialize, Serialize};

/// Request to start an instance. Its token makes a repeated request idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// Idempotency token: the cloud answers a repeated request with the first instance.
    pub token: CompactString,
    /// Service that the instance will run.
    pub service: ServiceName,
    /// Whether it will be an engine or a plain service.
    pub role: EndpointRole,
    /// Model version to load; empty for plain services.
    pub version: VersionName,
    /// Failure domain.
    pub domain: DomainName,
    /// Machine class.
    pub class: CompactString,
    /// Market on which the instance is bought.
    pub market: InstanceMarket,
}

/// The cloud's answer to a start request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartAnswer {
    /// The instance.
    pub instance: InstanceId,
}

/// Notice that the cloud will reclaim an instance.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CloudNotice {
    /// The instance.
    pub instance: InstanceId,
    /// Wall-clock time at which the instance ends.
    pub ends_at: ClockTime,
}

/// Price of a machine class in one failure domain and market.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PriceEntry {
    /// Failure domain.
    pub domain: DomainName,
    /// Machine class.
    pub class: CompactString,
    /// Market.
    pub market: InstanceMarket,
    /// Price per hour, in millionths of the currency.
    pub micros_per_hour: u64,
}

/// Client of the cloud API at one address.
#[derive(Clone)]
pub struct CloudClient {
    client: Client,
    base: CompactString,
}

impl CloudClient {
    /// Creates a client of the cloud API at `base` whose calls end after `timeout`.
    pub fn new(base: &str, timeout: TimeSpan) -> Self {
        CloudClient { client: new_client(timeout), base: base.into() }
    }

    /// Starts an instance.
    ///
    /// # Errors
    /// [`PlatError::Refused`] if the cloud has no such instance available.
    pub async fn start(&self, order: &StartOrder) -> Result<StartAnswer> {
        let request = self.client.post(format!("{}/instances", self.base));
        let mut response = request.send_json(order).await.map_err(|fault| send_error(&fault))?;
        check_status(response.status())?;
        let answer = response.json().await;
        answer.map_err(|fault| PlatError::OutcomeUnknown(fault.to_string()))
    }

    /// Ends `instance`. The call is idempotent: an unknown instance counts as ended.
    ///
    /// # Errors
    /// [`PlatError`] if the call was not sent, was refused, or has an unknown outcome.
    pub async fn end(&self, instance: &InstanceId) -> Result<()> {
        let name = encode_name(instance.as_str().as_bytes());
        let request = self.client.delete(format!("{}/instances/{name}", self.base));
        let response = request.send().await.map_err(|fault| send_error(&fault))?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(());
        }
        check_status(response.status())
    }

    /// Returns the pending reclaim notices.
    ///
    /// # Errors
    /// [`PlatError`] if the call was not sent, was refused, or has an unknown outcome.
    pub async fn notices(&self) -> Result<Vec<CloudNotice>> {
        self.get_json("notices").await
    }

    /// Returns the current prices.
    ///
    /// # Errors
    /// [`PlatError`] if the call was not sent, was refused, or has an unknown outcome.
    pub async fn prices(&self) -> Result<Vec<PriceEntry>> {
        self.get_json("prices").await
    }

    async fn get_json<T: serde::de::DeserializeOwned>(&self, path: &str) -> Result<T> {
        let sent = self.client.get(format!("{}/{path}", self.base)).send().await;
        let mut response = sent.map_err(|fault| send_error(&fault))?;
        check_status(response.status())?;
        let answer = response.json().await;
        answer.map_err(|fault| PlatError::OutcomeUnknown(fault.to_string()))
    }
}

fn check_status(status: StatusCode) -> Result<()> {
    if status.is_success() {
        return Ok(());
    }
    if status.is_server_error() && status != StatusCode::SERVICE_UNAVAILABLE {
        return Err(PlatError::OutcomeUnknown(format!("status {status}")));
    }
    Err(PlatError::Refused(ResultCode::StoreRefused, format!("status {status}")))
}

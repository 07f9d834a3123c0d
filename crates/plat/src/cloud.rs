//! The cloud API: starts and ends instances, tells prices and notices.

use crate::http::{new_client, send_error};
use crate::port::{PlatError, Result};
use awc::Client;
use awc::http::StatusCode;
use compact_str::CompactString;
use oleander_kind::{
    ClockTime, DomainName, EndpointRole, InstanceId, InstanceMarket, ResultCode, ServiceName,
    TimeSpan, VersionName,
};
use serde::{Deserialize, Serialize};

/// A start that is asked for. The token makes a repeated ask one start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartOrder {
    /// Client token: the cloud answers a repeat with the first instance.
    pub token: CompactString,
    /// The service it is for.
    pub service: ServiceName,
    /// Engine or plain service.
    pub role: EndpointRole,
    /// The model version to load; empty for plain services.
    pub version: VersionName,
    /// Failure domain.
    pub domain: DomainName,
    /// Machine class.
    pub class: CompactString,
    /// How it is bought.
    pub market: InstanceMarket,
}

/// What the cloud says to a start.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StartAnswer {
    /// The instance.
    pub instance: InstanceId,
}

/// A notice that an instance will be reclaimed.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CloudNotice {
    /// The instance.
    pub instance: InstanceId,
    /// Wall-clock time of its end.
    pub ends_at: ClockTime,
}

/// A price.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PriceEntry {
    /// Failure domain.
    pub domain: DomainName,
    /// Machine class.
    pub class: CompactString,
    /// Market.
    pub market: InstanceMarket,
    /// Price of an hour, in millionths of the currency.
    pub micros_per_hour: u64,
}

/// The cloud API at one address.
#[derive(Clone)]
pub struct CloudClient {
    client: Client,
    base: CompactString,
}

impl CloudClient {
    /// The cloud at `base`; each call may take `limit`.
    pub fn new(base: &str, limit: TimeSpan) -> Self {
        CloudClient { client: new_client(limit), base: base.into() }
    }

    /// Asks for a start.
    ///
    /// # Errors
    /// [`PlatError::Refused`] if the cloud has no such instance now.
    pub async fn start(&self, order: &StartOrder) -> Result<StartAnswer> {
        let request = self.client.post(format!("{}/instances", self.base));
        let mut response = request.send_json(order).await.map_err(|fault| send_error(&fault))?;
        check_status(response.status())?;
        let answer = response.json().await;
        answer.map_err(|fault| PlatError::OutcomeUnknown(fault.to_string()))
    }

    /// Asks for the end of `instance`; ending it again does no harm.
    ///
    /// # Errors
    /// As the port says.
    pub async fn end(&self, instance: &InstanceId) -> Result<()> {
        let request = self.client.delete(format!("{}/instances/{instance}", self.base));
        let response = request.send().await.map_err(|fault| send_error(&fault))?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(());
        }
        check_status(response.status())
    }

    /// The notices that stand now.
    ///
    /// # Errors
    /// As the port says.
    pub async fn notices(&self) -> Result<Vec<CloudNotice>> {
        self.get_json("notices").await
    }

    /// The prices of now.
    ///
    /// # Errors
    /// As the port says.
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

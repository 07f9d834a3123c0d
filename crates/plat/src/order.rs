//! Orders to endpoints, with the lease's fencing token.

use crate::http::{new_client, send_error};
use crate::port::{PlatError, Result};
use awc::Client;
use compact_str::CompactString;
use oleander_kind::{ResultCode, TimeSpan, VersionName};
use serde::{Deserialize, Serialize};

/// What an endpoint is told to become. Each order names the whole wanted state, so that repeating
/// it changes nothing.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum OrderKind {
    /// Have this version and these adapters loaded.
    Load {
        /// The version.
        version: VersionName,
        /// Its weights in the weight store.
        weights: CompactString,
        /// Its adapters.
        adapters: Vec<CompactString>,
    },
    /// Take nothing new.
    Drain,
}

/// An order with its fence.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointOrder {
    /// The fencing token of the lease it was given under.
    pub fence: u64,
    /// The order.
    #[serde(flatten)]
    pub kind: OrderKind,
}

/// What the endpoint has after an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderAnswer {
    /// The version that answers requests.
    pub version: VersionName,
    /// Whether it is still loading.
    pub loading: bool,
    /// The highest fence it has seen; 0 if it does not check.
    pub fence: u64,
}

/// Sends orders.
#[derive(Clone)]
pub struct OrderClient {
    client: Client,
}

impl OrderClient {
    /// A client whose calls may take `limit`.
    pub fn new(limit: TimeSpan) -> Self {
        OrderClient { client: new_client(limit) }
    }

    /// Whether the endpoint at `address` says that it has no work. A plain service that reports no
    /// load counts as idle: it takes nothing new, and its calls are short.
    pub async fn is_idle(&self, address: &str) -> bool {
        #[derive(Deserialize)]
        struct LoadProbe {
            running: u32,
            waiting: u32,
        }
        let sent = self.client.get(format!("http://{address}/load")).send().await;
        let Ok(mut response) = sent else { return false };
        match response.json::<LoadProbe>().await {
            Ok(load) => load.running + load.waiting == 0,
            Err(_) => true,
        }
    }

    /// Sends `order` to the endpoint at `address`.
    ///
    /// # Errors
    /// [`ResultCode::StoreConflict`] if the endpoint has seen a higher fence.
    pub async fn send(&self, address: &str, order: &EndpointOrder) -> Result<OrderAnswer> {
        let request = self.client.post(format!("http://{address}/orders"));
        let mut response = request.send_json(order).await.map_err(|fault| send_error(&fault))?;
        if response.status().as_u16() == 409 {
            let detail = "the endpoint has seen a higher fence".to_owned();
            return Err(PlatError::Refused(ResultCode::StoreConflict, detail));
        }
        if !response.status().is_success() {
            let detail = format!("status {}", response.status());
            return Err(PlatError::Refused(ResultCode::StoreRefused, detail));
        }
        let answer = response.json().await;
        answer.map_err(|fault| PlatError::OutcomeUnknown(fault.to_string()))
    }
}

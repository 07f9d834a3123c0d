//! Client that sends orders to endpoints under the fencing token of a lease.

use crate::client::new_client;
use crate::http::send_error;
use crate::port::{PlatError, Result};
use awc::Client;
use compact_str::CompactString;
use oleander_kind::{ResultCode, TimeSpan, VersionName};
use serde::{Deserialize, Serialize};

/// State that an endpoint is ordered to reach. Each order names the whole state, so that repeating it
/// is idempotent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum OrderKind {
    /// Load this version and these adapters.
    Load {
        /// Model version.
        version: VersionName,
        /// Name of its weights in the weight store.
        weights: CompactString,
        /// Adapters to load with it.
        adapters: Vec<CompactString>,
    },
    /// Accept no new requests.
    Drain,
}

/// Order to an endpoint with the fencing token that authorizes it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointOrder {
    /// Fencing token of the lease under which the order is sent.
    pub fence: u64,
    /// Wanted state.
    #[serde(flatten)]
    pub kind: OrderKind,
}

/// State of an endpoint after an order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OrderAnswer {
    /// Version that serves requests.
    pub version: VersionName,
    /// Whether the endpoint is still loading.
    pub loading: bool,
    /// Highest fencing token that the endpoint has seen; 0 if it does not check them.
    pub fence: u64,
}

/// Client that sends orders to endpoints.
#[derive(Clone)]
pub struct OrderClient {
    client: Client,
}

impl OrderClient {
    /// Creates a client whose calls end after `timeout`.
    pub fn new(timeout: TimeSpan) -> Self {
        OrderClient { client: new_client(timeout) }
    }

    /// Returns whether the endpoint at `address` reports that it has no work. A plain service that
    /// reports no load counts as idle, because it accepts nothing new and its calls are short.
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
    /// [`ResultCode::StoreConflict`] if the endpoint has seen a higher fencing token.
    pub async fn send(&self, address: &str, order: &EndpointOrder) -> Result<OrderAnswer> {
        let request = self.client.post(format!("http://{address}/orders"));
        let mut response = request.send_json(order).await.map_err(|fault| send_error(&fault))?;
        if response.status().as_u16() == 409 {
            let detail = "the endpoint has seen a higher fencing token".to_owned();
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

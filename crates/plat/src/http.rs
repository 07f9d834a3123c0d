//! Clients of the platform's object API and endpoint list over HTTP.
//!
//! `GET /objects/NAME` answers 200 with an `ETag`, or 404; with `?watch=V&wait_ms=W` it waits for a
//! version above V and answers 304 if none came. `PUT` takes `If-Match` or `If-None-Match: *` and
//! answers 200, 412, 413 or 429. `DELETE` takes `If-Match`.

use crate::client::new_client;
use crate::json::{self, JsonSlice};
use crate::names::encode_parts;
use crate::port::{
    EndpointList, EndpointListing, ObjectStore, PlatError, Result, StoredObject, VersionCondition,
    WatchAnswer,
};
use awc::error::{ConnectError, SendRequestError};
use awc::http::StatusCode;
use awc::http::header::{ETAG, IF_MATCH, IF_NONE_MATCH};
use awc::{Client, ClientResponse};
use bytes::Bytes;
use compact_str::CompactString;
use oleander_kind::{ResultCode, TimeSpan};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;

/// Maximum length of an object that is read, in bytes.
const MAX_VALUE_BYTES: usize = 2 << 20;
/// Maximum length of an endpoint list that is read, in bytes.
const MAX_LIST_BYTES: usize = 8 << 20;

/// The most faults of one read that are told.
const MAX_FAULTS: usize = 16;
/// Length to which a record that cannot be decoded is cut where it is told of, in bytes.
const MAX_SHOWN_BYTES: usize = 60;

/// Client of the object API at one address.
#[derive(Clone)]
pub struct HttpStore {
    client: Client,
    base: CompactString,
    timeout: TimeSpan,
}

/// Returns whether a failed send certainly wrote no byte of the request.
///
/// The HTTP library also reports `Disconnected` as a connect error when the peer closes a connection
/// before it answers. The request has been written by then and may have been executed: treating it as
/// never sent issued a batch code three times.
pub fn never_sent(fault: &SendRequestError) -> bool {
    match fault {
        SendRequestError::Url(_) => true,
        SendRequestError::Connect(cause) => !matches!(cause, ConnectError::Disconnected),
        _ => false,
    }
}

/// Classifies a failed send by whether the request may have taken effect.
pub fn send_error(fault: &SendRequestError) -> PlatError {
    if never_sent(fault) {
        return PlatError::NotSent(fault.to_string());
    }
    PlatError::OutcomeUnknown(fault.to_string())
}

fn version_of<S>(response: &ClientResponse<S>) -> Result<u64> {
    let tag = response.headers().get(ETAG).and_then(|value| value.to_str().ok());
    tag.and_then(|text| text.trim_matches('"').parse().ok()).ok_or_else(|| {
        PlatError::OutcomeUnknown(
            "the answer has no readable ETag with the object's version".to_owned(),
        )
    })
}

fn status_error(status: StatusCode) -> PlatError {
    let code = match status.as_u16() {
        412 => ResultCode::StoreConflict,
        413 => ResultCode::StoreTooLarge,
        429 => ResultCode::StoreBusy,
        404 => ResultCode::StoreMissing,
        503 => ResultCode::StoreRefused,
        other if other >= 500 => {
            return PlatError::OutcomeUnknown(format!("status {other}"));
        }
        _ => ResultCode::StoreRefused,
    };
    PlatError::Refused(code, format!("status {status}"))
}

impl HttpStore {
    /// Creates a client of the object API at `base` (`http://ip:port`) whose calls end after `timeout`.
    pub fn new(base: &str, timeout: TimeSpan) -> Self {
        HttpStore { client: new_client(timeout), base: base.into(), timeout }
    }

    fn url(&self, name: &str) -> String {
        format!("{}/objects/{}", self.base, encode_parts(name))
    }
}

impl ObjectStore for HttpStore {
    async fn read(&self, name: &str) -> Result<Option<StoredObject>> {
        let sent = self.client.get(self.url(name)).send().await;
        let mut response = sent.map_err(|fault| send_error(&fault))?;
        match response.status() {
            StatusCode::OK => {
                let version = version_of(&response)?;
                let body = response.body().limit(MAX_VALUE_BYTES).await;
                let bytes = body.map_err(|fault| PlatError::OutcomeUnknown(fault.to_string()))?;
                Ok(Some(StoredObject { version, bytes }))
            }
            StatusCode::NOT_FOUND => Ok(None),
            status => Err(status_error(status)),
        }
    }

    async fn write(&self, name: &str, guard: VersionCondition, bytes: Bytes) -> Result<u64> {
        let request = self.client.put(self.url(name));
        let request = match guard {
            VersionCondition::Absent => request.insert_header((IF_NONE_MATCH, "*")),
            VersionCondition::Is(version) => {
                request.insert_header((IF_MATCH, format!("\"{version}\"")))
            }
        };
        let response = request.send_body(bytes).await.map_err(|fault| send_error(&fault))?;
        match response.status() {
            StatusCode::OK | StatusCode::CREATED => version_of(&response),
            status => Err(status_error(status)),
        }
    }

    async fn remove(&self, name: &str, version: u64) -> Result<()> {
        let request = self.client.delete(self.url(name));
        let request = request.insert_header((IF_MATCH, format!("\"{version}\"")));
        let response = request.send().await.map_err(|fault| send_error(&fault))?;
        match response.status() {
            StatusCode::OK | StatusCode::NO_CONTENT => Ok(()),
            status => Err(status_error(status)),
        }
    }

    async fn watch(&self, name: &str, seen: u64, wait_ms: u64) -> Result<WatchAnswer> {
        let url = format!("{}?watch={seen}&wait_ms={wait_ms}", self.url(name));
        let request = self.client.get(url).timeout(TimeSpan(self.timeout.0 + wait_ms).duration());
        let mut response = request.send().await.map_err(|fault| send_error(&fault))?;
        match response.status() {
            StatusCode::OK => {
                let version = version_of(&response)?;
                let body = response.body().limit(MAX_VALUE_BYTES).await;
                let bytes = body.map_err(|fault| PlatError::OutcomeUnknown(fault.to_string()))?;
                Ok(WatchAnswer::Newer(StoredObject { version, bytes }))
            }
            StatusCode::NOT_MODIFIED => Ok(WatchAnswer::Same),
            status => Err(status_error(status)),
        }
    }
}

/// Client of the endpoint list at one address.
#[derive(Clone)]
pub struct HttpList {
    client: Client,
    url: CompactString,
    /// The faults of the last read.
    faults: Rc<RefCell<BTreeSet<String>>>,
}

impl HttpList {
    /// Creates a client of the list at `url` whose calls end after `timeout`.
    pub fn new(url: &str, timeout: TimeSpan) -> Self {
        HttpList { client: new_client(timeout), url: url.into(), faults: Rc::default() }
    }

    /// Decodes a list, each record on its own: one that cannot be decoded costs the others nothing.
    fn decode_list(&self, text: &[u8]) -> json::Result<EndpointListing> {
        let items = JsonSlice::of(text).and_then(JsonSlice::items)?;
        let (mut records, mut faults) = (Vec::new(), BTreeSet::new());
        for item in items {
            match item.decode() {
                Ok(record) => records.push(record),
                Err(fault) => {
                    faults.insert(format!("{}: {fault}", shown(item)));
                }
            }
        }
        let known = self.faults.replace(faults.clone());
        let new_faults = faults.difference(&known).take(MAX_FAULTS).cloned().collect();
        Ok(EndpointListing { records, new_faults })
    }
}

/// The beginning of a record's text.
fn shown(item: JsonSlice<'_>) -> String {
    let text = item.bytes();
    text[..text.len().min(MAX_SHOWN_BYTES)].escape_ascii().to_string()
}

impl EndpointList for HttpList {
    async fn list(&self) -> Result<EndpointListing> {
        let sent = self.client.get(self.url.as_str()).send().await;
        let mut response = sent.map_err(|fault| send_error(&fault))?;
        if response.status() != StatusCode::OK {
            return Err(status_error(response.status()));
        }
        let unreadable = |fault: String| PlatError::OutcomeUnknown(fault);
        let body = response.body().limit(MAX_LIST_BYTES).await;
        let text = body.map_err(|fault| unreadable(fault.to_string()))?;
        self.decode_list(&text).map_err(|fault| unreadable(fault.to_string()))
    }
}

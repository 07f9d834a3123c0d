//! Interfaces to the platform's object API and endpoint list, and the error of all platform calls.

use bytes::Bytes;
use compact_str::CompactString;
use oleander_kind::{EndpointRecord, ResultCode};
use quick_error::quick_error;
use std::future::Future;

quick_error! {
    /// Why a call to the platform failed.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PlatError {
        /// The call was not sent, so it had no effect.
        NotSent(detail: String) {
            display("{}: {}", ResultCode::StoreUnsent, detail)
        }
        /// The platform refused the call, so it had no effect.
        Refused(code: ResultCode, detail: String) {
            display("{}: {}", code, detail)
        }
        /// The call was sent but no usable answer came back. It may have taken effect.
        OutcomeUnknown(detail: String) {
            display("{}: {}", ResultCode::StoreUnknown, detail)
        }
    }
}

impl PlatError {
    /// Returns the result code of the error.
    pub fn code(&self) -> ResultCode {
        match self {
            PlatError::NotSent(_) => ResultCode::StoreUnsent,
            PlatError::Refused(code, _) => *code,
            PlatError::OutcomeUnknown(_) => ResultCode::StoreUnknown,
        }
    }

    /// Returns whether the call may have taken effect in spite of the error.
    pub fn may_have_taken_effect(&self) -> bool {
        matches!(self, PlatError::OutcomeUnknown(_))
    }
}

/// Result of a platform call.
pub type Result<T> = std::result::Result<T, PlatError>;

/// Object of the object API, as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredObject {
    /// Version, which rises with each write.
    pub version: u64,
    /// Content.
    pub bytes: Bytes,
}

/// Precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionCondition {
    /// The object does not exist.
    Absent,
    /// The object has this version.
    Is(u64),
}

impl VersionCondition {
    /// Returns the condition that the object is still as it was read; none means that it did not exist.
    pub fn of(version: Option<u64>) -> Self {
        version.map_or(VersionCondition::Absent, VersionCondition::Is)
    }
}

/// Result of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchAnswer {
    /// The object has a newer version.
    Newer(StoredObject),
    /// Nothing changed while the watch waited.
    Same,
}

/// Object API with versions, conditional writes and watches.
pub trait ObjectStore {
    /// Reads an object; `None` if there is none.
    fn read(&self, name: &str) -> impl Future<Output = Result<Option<StoredObject>>>;

    /// Writes an object if `guard` holds and returns its new version. Otherwise the error is
    /// [`ResultCode::StoreConflict`].
    fn write(
        &self,
        name: &str,
        guard: VersionCondition,
        bytes: Bytes,
    ) -> impl Future<Output = Result<u64>>;

    /// Removes an object that still has `version`.
    fn remove(&self, name: &str, version: u64) -> impl Future<Output = Result<()>>;

    /// Waits up to `wait_ms` for a version above `seen`.
    fn watch(
        &self,
        name: &str,
        seen: u64,
        wait_ms: u64,
    ) -> impl Future<Output = Result<WatchAnswer>>;
}

/// The list of endpoints as it was read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct EndpointListing {
    /// The records that can be decoded.
    pub records: Vec<EndpointRecord>,
    /// What is wrong with the others, as far as the read before did not have it.
    pub new_faults: Vec<String>,
}

/// The platform's list of endpoints. It is stale at times: it may show endpoints that are gone and lack new ones.
pub trait EndpointList {
    /// Reads the current list.
    fn list(&self) -> impl Future<Output = Result<EndpointListing>>;
}

/// Reads the objects `names` and concatenates them; `None` if one is missing.
///
/// # Errors
/// The error of the first read that fails.
pub async fn read_parts(
    store: &impl ObjectStore,
    names: impl Iterator<Item = CompactString>,
) -> Result<Option<Vec<u8>>> {
    let mut joined = Vec::new();
    for name in names {
        let Some(part) = store.read(&name).await? else { return Ok(None) };
        joined.extend_from_slice(&part.bytes);
    }
    Ok(Some(joined))
}

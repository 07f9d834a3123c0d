//! The ports.

use bytes::Bytes;
use compact_str::CompactString;
use oleander_kind::{EndpointRecord, ResultCode};
use quick_error::quick_error;
use std::future::Future;

quick_error! {
    /// Why a call to the platform brought no answer.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum PlatError {
        /// Nothing left this process; nothing changed.
        NotSent(detail: String) {
            display("{}: {}", ResultCode::StoreUnsent, detail)
        }
        /// The platform said no; nothing changed.
        Refused(code: ResultCode, detail: String) {
            display("{}: {}", code, detail)
        }
        /// The call left and no answer came: it may have taken effect.
        OutcomeUnknown(detail: String) {
            display("{}: {}", ResultCode::StoreUnknown, detail)
        }
    }
}

impl PlatError {
    /// The result code.
    pub fn code(&self) -> ResultCode {
        match self {
            PlatError::NotSent(_) => ResultCode::StoreUnsent,
            PlatError::Refused(code, _) => *code,
            PlatError::OutcomeUnknown(_) => ResultCode::StoreUnknown,
        }
    }

    /// Whether the call may have taken effect.
    pub fn may_have_happened(&self) -> bool {
        matches!(self, PlatError::OutcomeUnknown(_))
    }
}

/// The result of a platform call.
pub type Result<T> = std::result::Result<T, PlatError>;

/// An object as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredObject {
    /// Its version; rises with each write.
    pub version: u64,
    /// Its bytes.
    pub bytes: Bytes,
}

/// The condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum VersionGuard {
    /// Only if there is no such object.
    Absent,
    /// Only if the object still has this version.
    Is(u64),
}

impl VersionGuard {
    /// The guard that matches what was read.
    pub fn of(version: Option<u64>) -> Self {
        version.map_or(VersionGuard::Absent, VersionGuard::Is)
    }
}

/// What a watch brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchAnswer {
    /// The object has a newer version.
    Newer(StoredObject),
    /// Nothing changed while the watch waited.
    Same,
}

/// The object API: versions, conditional updates, watches.
pub trait ObjectStore {
    /// Reads an object; `None` if there is none.
    fn read(&self, name: &str) -> impl Future<Output = Result<Option<StoredObject>>>;

    /// Writes an object under `guard` and returns its new version. A failed guard is
    /// [`ResultCode::StoreConflict`].
    fn write(
        &self,
        name: &str,
        guard: VersionGuard,
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

/// The platform's list of endpoints. It lags: it may show what is gone and miss what is new.
pub trait EndpointList {
    /// The list as the platform shows it now.
    fn list(&self) -> impl Future<Output = Result<Vec<EndpointRecord>>>;
}

/// Reads the objects `names` and joins them; `None` if one is missing.
///
/// # Errors
/// The first read's error.
pub async fn read_joined(
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

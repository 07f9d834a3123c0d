//! The submission's and the views' calls to the object API.

use crate::Result;
use crate::command::CtlError;
use bytes::Bytes;
use oleander_bundle::store::StoreReply;
use oleander_bundle::{BundleHead, HEAD_NAME, SignedBundle, SubmitStep, SubmitTask};
use oleander_kind::{ResultCode, TimeSpan};
use oleander_plat::{HttpStore, ObjectStore, PlatError, VersionCondition, read_parts};

/// The longest wait for one call.
const CALL_LIMIT: TimeSpan = TimeSpan(5000);

/// The object API at `base`.
pub fn open_store(base: &str) -> HttpStore {
    HttpStore::new(base, CALL_LIMIT)
}

/// Reads the accepted bundle; none if there is none yet.
///
/// # Errors
/// The platform's, or [`ResultCode::BundleTorn`].
pub async fn read_accepted(store: &HttpStore) -> Result<Option<SignedBundle>> {
    let Some(object) = store.read(HEAD_NAME).await? else {
        return Ok(None);
    };
    let head: BundleHead = serde_json::from_slice(&object.bytes).map_err(torn)?;
    let Some(bytes) = read_parts(store, head.part_names()).await? else {
        return Err(torn("a part is missing"));
    };
    Ok(Some(SignedBundle::parse(&bytes)?))
}

fn torn(detail: impl std::fmt::Display) -> CtlError {
    CtlError::Coded(ResultCode::BundleTorn, detail.to_string())
}

/// Makes `bundle` the accepted one.
///
/// # Errors
/// [`ResultCode::BundleConflict`] if another was first, or the platform's.
pub async fn submit(store: &HttpStore, bundle: &SignedBundle) -> Result<()> {
    let mut task = SubmitTask::new(bundle);
    let mut step = task.begin();
    loop {
        let said = match step {
            SubmitStep::Accepted => return Ok(()),
            SubmitStep::Conflict => {
                let detail = "the parent is not the accepted bundle".to_owned();
                return Err(CtlError::Coded(ResultCode::BundleConflict, detail));
            }
            SubmitStep::Failed(code) => {
                return Err(CtlError::Coded(code, "the bundle is not accepted".to_owned()));
            }
            SubmitStep::PutPart { name, bytes } => {
                said_of(store.write(&name, VersionCondition::Absent, Bytes::from(bytes)).await)
            }
            SubmitStep::SwapHead { version, head } => {
                let bytes = Bytes::from(serde_json::to_vec(&head).unwrap_or_default());
                said_of(store.write(HEAD_NAME, VersionCondition::of(version), bytes).await)
            }
            SubmitStep::ReadHead => read_head(store).await,
        };
        step = task.advance(said);
    }
}

async fn read_head(store: &HttpStore) -> StoreReply {
    match store.read(HEAD_NAME).await {
        Ok(None) => StoreReply::Head(None),
        Ok(Some(object)) => match serde_json::from_slice(&object.bytes) {
            Ok(head) => StoreReply::Head(Some((object.version, head))),
            Err(_) => StoreReply::NotDone(ResultCode::BundleTorn),
        },
        // Reading again does no harm, however the first read ended.
        Err(PlatError::OutcomeUnknown(_)) => StoreReply::Unknown,
        Err(fault) => StoreReply::NotDone(fault.code()),
    }
}

fn said_of(written: oleander_plat::Result<u64>) -> StoreReply {
    match written {
        Ok(_) => StoreReply::Written,
        Err(PlatError::OutcomeUnknown(_)) => StoreReply::Unknown,
        Err(fault) if fault.code() == ResultCode::StoreConflict => StoreReply::Changed,
        Err(fault) => StoreReply::NotDone(fault.code()),
    }
}

//! Carries out the lease keeper's and the plan's reads and writes.

use bytes::Bytes;
use oleander_fleet::{PlanObject, plan_name};
use oleander_kind::{ClockTime, ResultCode, ServiceName};
use oleander_lease::{LeaseAction, LeaseManager, LeaseRecord, LeaseReply};
use oleander_plat::{HttpStore, ObjectStore, PlatError, VersionCondition};

/// Carries out one action of a lease keeper and tells it what the store said. `read_now` is asked
/// for the time after the call.
pub async fn step_lease(
    store: &HttpStore,
    name: &str,
    (keeper, action): (&mut LeaseManager, LeaseAction),
    read_now: impl Fn() -> ClockTime,
) {
    let said = match action {
        LeaseAction::Wait => return,
        LeaseAction::Read => match store.read(name).await {
            Ok(found) => read_record(found),
            Err(_) => LeaseReply::NotDone,
        },
        LeaseAction::Write { version, record } => {
            let bytes = Bytes::from(serde_json::to_vec(&record).unwrap_or_default());
            match store.write(name, VersionCondition::of(version), bytes).await {
                Ok(version) => LeaseReply::Written(version),
                Err(PlatError::OutcomeUnknown(_)) => LeaseReply::Unknown,
                Err(fault) if fault.code() == ResultCode::StoreConflict => LeaseReply::Changed,
                Err(_) => LeaseReply::NotDone,
            }
        }
    };
    keeper.said(said, read_now());
}

fn read_record(found: Option<oleander_plat::StoredObject>) -> LeaseReply {
    let Some(object) = found else {
        return LeaseReply::Read(None);
    };
    match serde_json::from_slice::<LeaseRecord>(&object.bytes) {
        Ok(record) => LeaseReply::Read(Some((object.version, record))),
        Err(_) => LeaseReply::NotDone,
    }
}

/// A plan with the version it was read at.
#[derive(Debug, Default)]
pub struct KeptPlan {
    /// The version; none if there is no such object.
    pub version: Option<u64>,
    /// The plan.
    pub plan: PlanObject,
}

/// Reads a service's plan.
///
/// # Errors
/// As the port says; a plan that cannot be read is [`ResultCode::StoreRefused`].
pub async fn read_plan(
    store: &HttpStore,
    service: &ServiceName,
) -> oleander_plat::Result<KeptPlan> {
    let Some(object) = store.read(&plan_name(service)).await? else {
        return Ok(KeptPlan::default());
    };
    let plan = serde_json::from_slice(&object.bytes)
        .map_err(|fault| PlatError::Refused(ResultCode::StoreRefused, fault.to_string()))?;
    Ok(KeptPlan { version: Some(object.version), plan })
}

/// Writes a service's plan and returns its version.
///
/// # Errors
/// As the port says; [`ResultCode::StoreConflict`] if another process wrote it.
pub async fn write_plan(
    store: &HttpStore,
    service: &ServiceName,
    kept: &KeptPlan,
) -> oleander_plat::Result<u64> {
    let bytes = Bytes::from(serde_json::to_vec(&kept.plan).unwrap_or_default());
    store.write(&plan_name(service), VersionCondition::of(kept.version), bytes).await
}

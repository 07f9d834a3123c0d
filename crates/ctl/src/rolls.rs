//! `roll …`: starts, pauses and shows the roll of a service's model version.

use crate::Result;
use crate::command::{CommandLine, CtlError};
use crate::platform::{open_store, read_accepted};
use bytes::Bytes;
use oleander_fleet::{PlanObject, RollStage, RollState, plan_name};
use oleander_kind::{ResultCode, ServiceName, VersionName};
use oleander_plat::{HttpStore, ObjectStore, PlatError, VersionCondition};

/// How often a change is tried while the fleet process writes the same plan.
const TRIES: usize = 20;

/// Runs `roll VERB SERVICE`.
pub async fn roll(line: &CommandLine, verb: &str) -> Result<String> {
    let service = ServiceName::from(line.need_word(2, "SERVICE")?);
    let store = open_store(line.need_platform()?);
    match verb {
        "status" => show(line, &store, &service).await,
        "start" => {
            let version = accepted_version(&store, &service).await?;
            change(&store, &service, |roll| {
                if roll.version != version || roll.stage == RollStage::Idle {
                    *roll = RollState { version: version.clone(), ..RollState::default() };
                }
                roll.stage = RollStage::Running;
                roll.why = "started by an operator".to_owned();
            })
            .await
        }
        "pause" => set_stage(&store, &service, RollStage::Paused).await,
        "resume" => set_stage(&store, &service, RollStage::Running).await,
        other => Err(CtlError::Usage(format!("unknown roll command: {other}"))),
    }
}

async fn accepted_version(store: &HttpStore, service: &ServiceName) -> Result<VersionName> {
    let accepted = read_accepted(store).await?;
    let entry = accepted.as_ref().and_then(|bundle| bundle.content.services.get(service));
    let model = entry.and_then(|entry| entry.model.as_ref());
    model.map(|model| model.version.clone()).ok_or_else(|| {
        let detail = format!("no accepted bundle gives {service} a model");
        CtlError::Coded(ResultCode::BundleFault, detail)
    })
}

async fn set_stage(store: &HttpStore, service: &ServiceName, stage: RollStage) -> Result<String> {
    change(store, service, |roll| {
        if roll.stage != RollStage::Complete && roll.stage != RollStage::Idle {
            roll.stage = stage;
            roll.why = "set by an operator".to_owned();
        }
    })
    .await
}

async fn change(
    store: &HttpStore,
    service: &ServiceName,
    edit: impl Fn(&mut RollState),
) -> Result<String> {
    for _ in 0..TRIES {
        let found = store.read(&plan_name(service)).await?;
        let version = found.as_ref().map(|object| object.version);
        let mut plan: PlanObject = match &found {
            Some(object) => serde_json::from_slice(&object.bytes)
                .map_err(|fault| CtlError::Coded(ResultCode::StoreRefused, fault.to_string()))?,
            None => PlanObject::default(),
        };
        edit(&mut plan.roll);
        let bytes = Bytes::from(serde_json::to_vec(&plan).unwrap_or_default());
        match store.write(&plan_name(service), VersionCondition::of(version), bytes).await {
            Ok(_) => return Ok(format!("{service}: {}\n", describe(&plan.roll))),
            // The edit is the same however often it is made, so both are tried again.
            Err(PlatError::OutcomeUnknown(_)) => {}
            Err(fault) if fault.code() == ResultCode::StoreConflict => {}
            Err(fault) => return Err(fault.into()),
        }
    }
    let detail = "the plan kept changing; try again".to_owned();
    Err(CtlError::Coded(ResultCode::StoreConflict, detail))
}

async fn show(line: &CommandLine, store: &HttpStore, service: &ServiceName) -> Result<String> {
    let found = store.read(&plan_name(service)).await?;
    let plan: PlanObject =
        found.and_then(|object| serde_json::from_slice(&object.bytes).ok()).unwrap_or_default();
    if line.json {
        return Ok(serde_json::to_string(&plan.roll).unwrap_or_default() + "\n");
    }
    Ok(format!("{service}: {}\n", describe(&plan.roll)))
}

fn describe(roll: &RollState) -> String {
    format!("{:?} to {}: {}", roll.stage, roll.version, roll.why)
}

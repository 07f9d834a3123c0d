//! Concurrent runs under random faults, each repeatable from its seed as far as threads allow.

use crate::cell::call_settings;
use crate::cluster::{CALLER_KEY, EntryCommand, Rig, RigControl, RigSettings};
use crate::fault::RigFault;
use oleander_load::caller::CallerDesk;
use oleander_load::run::{plan_call, read_runs};
use oleander_load::{BrokenRule, CallKind, CallRecord, CheckInput};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::time::Duration;

/// What came of a run.
#[derive(Clone, Debug)]
pub struct ChaosOutcome {
    /// The seed.
    pub seed: u64,
    /// The faults that were made, with the time after the start in milliseconds.
    pub faults: Vec<(u64, RigFault)>,
    /// What was broken.
    pub broken: Vec<BrokenRule>,
    /// What callers saw.
    pub calls: Vec<CallRecord>,
}

/// Calls of one run.
const CALLS: usize = 60;
/// Over how long they start, in milliseconds.
const RUN_MS: u64 = 1500;
/// How long the last call may take.
const RUN_LIMIT: Duration = Duration::from_secs(60);

/// Faults that a run may have, each at most once: enough stays alive to answer.
const FAULTS: &[RigFault] = &[
    RigFault::KillOther,
    RigFault::StopOther,
    RigFault::EndDomain,
    RigFault::ReclaimDomain,
    RigFault::CutStreams,
    RigFault::CutAfterRun,
    RigFault::LoseAnswers,
    RigFault::StoreDown,
    RigFault::StoreSlow,
    RigFault::StoreStale,
    RigFault::ListStale,
];

/// Makes one run of `seed`.
///
/// # Errors
/// If the rig does not come up.
pub async fn run_chaos(seed: u64) -> Result<ChaosOutcome, String> {
    let mut random = StdRng::seed_from_u64(seed);
    let rig = Rig::start(RigSettings { entries: 4, ..RigSettings::default() }, |_, _| None).await?;
    let control = RigControl {
        standin: rig.standin.clone(),
        commands: std::sync::Arc::new(std::sync::Mutex::new(
            rig.entries.iter().map(|entry| entry.commands.clone()).collect(),
        )),
    };
    let faults = plan_faults(&mut random);
    for (at, fault) in faults.clone() {
        let control = control.clone();
        let number = random.gen_range(0..4);
        actix_rt::spawn(async move {
            actix_rt::time::sleep(Duration::from_millis(at)).await;
            fault.make(number, &control).await;
        });
    }
    let desk = CallerDesk::new(rig.addresses(), CALLER_KEY.into());
    let settings = call_settings(seed);
    let mut running = Vec::new();
    for _ in 0..CALLS {
        let kind = [CallKind::Rewrite, CallKind::Label, CallKind::Code][random.gen_range(0..3)];
        let plan = plan_call(&settings, kind, &mut random);
        let at = Duration::from_millis(random.gen_range(0..RUN_MS));
        let desk = desk.clone();
        running.push(actix_rt::spawn(async move {
            actix_rt::time::sleep(at).await;
            desk.call(plan).await
        }));
    }
    let mut calls = Vec::new();
    for call in running {
        match actix_rt::time::timeout(RUN_LIMIT, call).await {
            Ok(Ok(record)) => calls.push(record),
            _ => return Err(format!("seed {seed}: a call did not end")),
        }
    }
    let runs = read_runs(&desk, &rig.standin).await;
    let broken = oleander_load::check_history(&CheckInput { calls: &calls, runs: &runs });
    for entry in &rig.entries {
        let _ = entry.commands.send(EntryCommand::Kill);
    }
    Ok(ChaosOutcome { seed, faults, broken, calls })
}

fn plan_faults(random: &mut StdRng) -> Vec<(u64, RigFault)> {
    let count = random.gen_range(1..=3);
    let mut faults: Vec<(u64, RigFault)> = Vec::new();
    while faults.len() < count {
        let fault = FAULTS[random.gen_range(0..FAULTS.len())];
        if faults.iter().all(|(_, made)| *made != fault) {
            faults.push((random.gen_range(100..RUN_MS), fault));
        }
    }
    faults
}

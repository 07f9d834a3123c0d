//! One cell of the fault matrix: a fault, or a pair, at a step, and what the callers saw.

use crate::cluster::{CALLER_KEY, MODEL, PLAIN, Rig, RigControl, RigSettings, VERSION};
use crate::fault::RigFault;
use oleander_edge::{EntryStep, StepFuture, StepHook};
use oleander_load::caller::CallerDesk;
use oleander_load::run::{plan_call, read_runs};
use oleander_load::{BrokenRule, CallEnd, CallKind, CallRecord, CheckInput, LoadSettings};
use rand::SeedableRng;
use rand::rngs::StdRng;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

/// How long a cell's calls may take.
const CELL_LIMIT: Duration = Duration::from_secs(40);
/// Tokens of a cell's stream.
const TOKENS: u32 = 500;

/// What came of a cell.
#[derive(Clone, Debug)]
pub struct CellOutcome {
    /// Whether the step was reached, so that the fault was made.
    pub reached: bool,
    /// What was broken.
    pub broken: Vec<BrokenRule>,
    /// How each call ended.
    pub calls: Vec<CallRecord>,
}

impl CellOutcome {
    /// A word for the table.
    pub fn word(&self) -> String {
        if !self.broken.is_empty() {
            return format!("BROKEN {}", self.broken.len());
        }
        if !self.reached {
            return "-".to_owned();
        }
        let ends: Vec<String> = self.calls.iter().map(end_word).collect();
        ends.join(" ")
    }
}

fn end_word(call: &CallRecord) -> String {
    match call.end {
        CallEnd::Answered => "ok".to_owned(),
        CallEnd::Refused { code, .. } => code.to_string(),
        CallEnd::Lost => "lost".to_owned(),
    }
}

/// Settings for planning a rig's calls.
pub fn call_settings(seed: u64) -> LoadSettings {
    LoadSettings {
        entries: Vec::new(),
        standin: "".into(),
        key: CALLER_KEY.into(),
        model: MODEL.into(),
        plain: PLAIN.into(),
        versions: vec![VERSION.into()],
        run_ms: 1,
        rewrites_per_s: 0.0,
        rewrite_tokens: TOKENS,
        labels_per_s: 0.0,
        codes_per_s: 0.0,
        seed,
        reclaims: Vec::new(),
        settle_ms: 0,
    }
}

fn cell_hook(
    step: EntryStep,
    faults: Vec<RigFault>,
    control: RigControl,
    reached: Arc<AtomicBool>,
) -> StepHook {
    Arc::new(move |passed| -> StepFuture {
        let first = passed == step && !reached.swap(true, Ordering::SeqCst);
        if !first {
            return Box::pin(std::future::ready(()));
        }
        let (faults, control) = (faults.clone(), control.clone());
        Box::pin(async move {
            for fault in faults {
                fault.make(0, &control).await;
            }
        })
    })
}

/// Runs one cell: a stream, a label check and a batch code go to entry 0, and `faults` are made
/// when it first passes `step`.
///
/// # Errors
/// If the rig does not come up.
pub async fn run_cell(
    step: EntryStep,
    faults: &[RigFault],
    seed: u64,
) -> Result<CellOutcome, String> {
    let reached = Arc::new(AtomicBool::new(false));
    let hook = |number: usize, control: RigControl| {
        (number == 0).then(|| cell_hook(step, faults.to_vec(), control, reached.clone()))
    };
    let rig = Rig::start(RigSettings::default(), hook).await?;
    let mut desk = CallerDesk::new(rig.addresses(), CALLER_KEY.into());
    if let Some(desk) = std::rc::Rc::get_mut(&mut desk) {
        desk.first_to_first = true;
    }
    let settings = call_settings(seed);
    let mut random = StdRng::seed_from_u64(seed);
    let mut running = Vec::new();
    for kind in [CallKind::Rewrite, CallKind::Label, CallKind::Code] {
        let plan = plan_call(&settings, kind, &mut random);
        running.push(actix_rt::spawn(desk.clone().call(plan)));
    }
    let mut calls = Vec::new();
    for call in running {
        match actix_rt::time::timeout(CELL_LIMIT, call).await {
            Ok(Ok(record)) => calls.push(record),
            _ => return Err("a call did not end".to_owned()),
        }
    }
    let runs = read_runs(&desk, &rig.standin).await;
    let broken = oleander_load::check_history(&CheckInput { calls: &calls, runs: &runs });
    Ok(CellOutcome { reached: reached.load(Ordering::SeqCst), broken, calls })
}

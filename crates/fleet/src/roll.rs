//! The roll of a model version: by waves, pausing itself on a regression.

use oleander_kind::{ClockTime, EndpointRecord, EndpointStage, InstanceId, TimeSpan, VersionName};
use serde::{Deserialize, Serialize};

/// How a roll stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum RollStage {
    /// No roll was started for the version in the bundle.
    #[default]
    Idle,
    /// Waves go on.
    Running,
    /// Stopped by an operator or by itself; `why` tells.
    Paused,
    /// Every replica has the version.
    Complete,
}

/// The roll of one service, kept in its plan object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct RollState {
    /// The version rolled to.
    pub version: VersionName,
    /// How it stands.
    pub stage: RollStage,
    /// Replicas ordered to load the version and not yet seen with it.
    pub loading: Vec<InstanceId>,
    /// When the newest wave was ordered (wall clock).
    pub wave_at: ClockTime,
    /// Why it stands as it does.
    pub why: String,
}

/// The largest part of the live replicas in one wave, in percent; at least one replica.
const WAVE_PERCENT: usize = 20;
/// A replica that has not loaded the version after this time makes the roll pause itself.
pub const LOAD_LIMIT: TimeSpan = TimeSpan::secs(120);

/// The next replicas to order, or why there are none.
///
/// A wave goes out only when the one before is complete and every domain's replicas answer, so
/// that the capacity missing at any time is one wave's.
pub fn next_wave(
    roll: &mut RollState,
    replicas: &[EndpointRecord],
    wanted: usize,
    now: ClockTime,
) -> Vec<InstanceId> {
    if roll.stage != RollStage::Running {
        return Vec::new();
    }
    let live = |record: &&EndpointRecord| record.stage == EndpointStage::Live;
    let has = |record: &&EndpointRecord| record.version == roll.version;
    let lives = |id: &InstanceId| replicas.iter().filter(live).any(|r| r.instance == *id);
    let done = |id: &InstanceId| replicas.iter().filter(has).any(|r| r.instance == *id);
    let still: Vec<InstanceId> =
        roll.loading.iter().filter(|id| lives(id) && !done(id)).cloned().collect();
    roll.loading = still;
    if !roll.loading.is_empty() {
        if now - roll.wave_at >= LOAD_LIMIT {
            roll.stage = RollStage::Paused;
            roll.why = format!("{} did not load in time", roll.loading[0]);
        }
        return Vec::new();
    }
    let mut behind: Vec<&EndpointRecord> =
        replicas.iter().filter(live).filter(|r| r.version != roll.version).collect();
    if behind.is_empty() {
        roll.stage = RollStage::Complete;
        roll.why = "every live replica has the version".to_owned();
        return Vec::new();
    }
    let answering = replicas.iter().filter(live).count();
    if answering * 10 < wanted * 9 {
        roll.why = format!("waits: {answering} of {wanted} replicas answer");
        return Vec::new();
    }
    let size = (answering * WAVE_PERCENT / 100).max(1);
    behind.sort_by(|a, b| a.domain.cmp(&b.domain).then_with(|| a.instance.cmp(&b.instance)));
    let wave: Vec<InstanceId> = behind.iter().take(size).map(|r| r.instance.clone()).collect();
    roll.loading = wave.clone();
    roll.wave_at = now;
    roll.why = format!("{} replicas are behind", behind.len());
    wave
}

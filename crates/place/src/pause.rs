//! How often the streams of a service pause for longer than allowed.

use oleander_kind::{ClockTime, TimeSpan};

/// The half-life of the counts: long enough for some tens of streams to end at one process of a
/// large deployment.
const HALF_LIFE: TimeSpan = TimeSpan::secs(60);
/// Streams that are assumed to have been on time before any ended, so that the first late one
/// proves nothing.
const ASSUMED_ON_TIME: f64 = 4.0;
/// The fraction of late streams from which on pauses get their full weight. Where hardly any stream
/// is late, long prompts are not the cause.
const FULL_WEIGHT_PART: f64 = 0.04;

/// Decayed counts of the streams that ended, and of those that paused for too long.
///
/// Engines read prompts in chunks, and no configuration tells their size. In chunks of 4,096 tokens
/// a long prompt makes the streams beside it pause; in chunks of 1,024 it does not, and keeping it
/// away from them only makes its shared parts be read again: of the long answers of such a service
/// 0.94 were on time without weighting pauses, 0.90 with it.
#[derive(Clone, Copy, Debug, Default)]
pub struct PauseRecord {
    ended: f64,
    late: f64,
    at: ClockTime,
}

impl PauseRecord {
    /// Counts a stream that ended, and whether it paused for too long.
    pub fn note(&mut self, is_late: bool, now: ClockTime) {
        let kept = (now - self.at).decay_factor(HALF_LIFE);
        self.ended = self.ended * kept + 1.0;
        self.late = self.late * kept + f64::from(u8::from(is_late));
        self.at = now;
    }

    /// The weight of pauses in placement, in 0 to 1.
    pub fn weight(&self) -> f64 {
        let part = self.late / (self.ended + ASSUMED_ON_TIME);
        (part / FULL_WEIGHT_PART).min(1.0)
    }
}

//! Estimates how fast model engines read prompts, from the timing of callers' requests.
//!
//! No configuration tells the speed, and it differs by a factor of two and more between customers.
//! Placement, load shedding and scaling all depend on it: with an estimate of twice the true speed,
//! prompts queue behind more than can be read in time, and half of the engines needed are ordered.
//!
//! Each process samples its own requests; the collector merges the estimates of all processes, so
//! that a process that has just started uses the others' estimate at once. Everything is a pure
//! function of samples and time.

use oleander_kind::{ClockTime, TimeSpan};
use serde::{Deserialize, Serialize};

/// Prompt tokens a millisecond that are assumed until there are enough samples. A conservative
/// value: too low a speed orders one engine too many and sheds somewhat early for the two seconds
/// until the speed is known; too high a speed lets queues grow.
pub const ASSUMED_PER_MS: f64 = 60.0;
/// The quantile of the sampled speeds that is used: it represents prompts that shared their engine
/// with few others. The median varies with the load, this quantile hardly.
const SPEED_QUANTILE: f64 = 0.8;
/// The factor by which an idle engine reads faster than this quantile shows: between two chunks of
/// a prompt an engine generates the tokens of running streams. Engines that read 57 and 125 tokens
/// a millisecond when idle showed 39, and 58 to 62: the estimate is 0.9 to 1.4 times the true
/// speed.
const IDLE_FACTOR: f64 = 2.0;

/// Shorter reads are not sampled: connecting, the first step and the way back take as long.
const MIN_READ_TOKENS: u64 = 500;
/// A prompt of this length or longer has this weight, in tokens. The weight of a shorter one falls
/// with the square of its length. A short prompt waits for a step and a chunk of another
/// prompt, which no process knows of, for as long as its own reading takes: weighted by tokens
/// alone, with 2,400 tokens per prompt, a busy service's engines seemed to read 44 to 105 tokens a
/// millisecond instead of 125.
const FULL_WEIGHT_TOKENS: f64 = 8000.0;
/// The most tokens of other prompts that may be queued ahead of a sample, as a part of its own.
/// What is known of those is up to half a second old.
const MAX_QUEUED_PART: f64 = 0.25;
/// The tokens over all processes after which an estimate is used: half a dozen long prompts or a
/// hundred and twenty of 1,800 tokens, which a present deployment reads in about a second.
const MIN_SEEN_TOKENS: f64 = 50_000.0;
/// The half-life of samples: long enough for some dozens of samples at one process, short compared
/// to a change of the engines' model.
const HALF_LIFE: TimeSpan = TimeSpan::secs(10);
/// How long the fastest first token counts as the part of a first token's time that is not reading.
const FLOOR_LIFETIME: TimeSpan = TimeSpan::secs(10);
/// The upper bound on the part of a first token's time that is not reading: the first step of
/// present engines takes 16 ms, the network round trip up to 3. Where all prompts are long the
/// fastest first token is mostly reading, and without the bound the first estimates of a process
/// were off by up to four times.
const MAX_FLOOR: TimeSpan = TimeSpan(20);

/// Speeds are kept in steps of a twelfth of an octave, 6 %, up to 4,096 tokens a millisecond.
const STEPS_AN_OCTAVE: usize = 12;
const OCTAVES: usize = 12;

/// A sample of one prompt that was read.
#[derive(Clone, Copy, Debug)]
pub struct ReadSample {
    /// The tokens of it that the engine had to read.
    pub own: u64,
    /// The tokens of other prompts that waited there when it was sent.
    pub queued: u64,
    /// The time from sending it to its first event.
    pub took: TimeSpan,
}

/// The estimated reading speed of a service's engines.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReadPace {
    /// The prompt tokens that an idle engine reads in a millisecond.
    #[serde(rename = "p")]
    pub per_ms: f32,
    /// The tokens that the estimate is based on; recent ones and long prompts have more weight.
    #[serde(rename = "w")]
    pub seen: f32,
}

impl ReadPace {
    /// Whether the estimate is based on enough samples to be used.
    pub fn is_sure(&self) -> bool {
        f64::from(self.seen) >= MIN_SEEN_TOKENS
    }
}

/// The decaying weights of the speeds sampled for one service.
///
/// The estimate uses a high quantile of the speeds: engines that have become slow do not distort
/// it, and those that answer without reading only do if a fifth of the prompts go to them.
#[derive(Clone, Debug)]
pub struct PaceEstimator {
    weights: Vec<f64>,
    decayed_at: ClockTime,
    floor: MinFirstToken,
}

impl Default for PaceEstimator {
    fn default() -> Self {
        PaceEstimator {
            weights: vec![0.0; STEPS_AN_OCTAVE * OCTAVES],
            decayed_at: ClockTime(0),
            floor: MinFirstToken::default(),
        }
    }
}

impl PaceEstimator {
    /// Records a prompt whose first event arrived at `now`.
    pub fn note(&mut self, sample: ReadSample, now: ClockTime) {
        self.floor.note(sample.took, now);
        let readable = sample.own >= MIN_READ_TOKENS;
        if !readable || sample.queued as f64 > MAX_QUEUED_PART * sample.own as f64 {
            return;
        }
        self.decay(now);
        let reading = sample.took.0.saturating_sub(self.floor.min().0).max(1);
        let per_ms = (sample.own + sample.queued) as f64 / reading as f64;
        let step = (per_ms.max(1.0).log2() * STEPS_AN_OCTAVE as f64) as usize;
        let last = self.weights.len() - 1;
        let tokens = (sample.own as f64).min(FULL_WEIGHT_TOKENS);
        self.weights[step.min(last)] += tokens * tokens / FULL_WEIGHT_TOKENS;
    }

    fn decay(&mut self, now: ClockTime) {
        let factor = (now - self.decayed_at).decay_factor(HALF_LIFE);
        self.weights.iter_mut().for_each(|weight| *weight *= factor);
        self.decayed_at = now;
    }

    /// The estimate from the samples, however few they are; `None` if there are none. It persists
    /// while no new samples arrive.
    pub fn pace(&self) -> Option<ReadPace> {
        let seen: f64 = self.weights.iter().sum();
        if seen <= 0.0 {
            return None;
        }
        let speed = |step: usize| ((step as f64 + 0.5) / STEPS_AN_OCTAVE as f64).exp2();
        let weighed = self.weights.iter().enumerate().map(|(step, weight)| (speed(step), *weight));
        let per_ms = IDLE_FACTOR * value_at(SPEED_QUANTILE, weighed, seen)?;
        Some(ReadPace { per_ms: per_ms as f32, seen: seen as f32 })
    }
}

/// The value below which `part` of the weights lie; the values are in rising order and the weights
/// add up to `total`.
fn value_at(part: f64, weighed: impl Iterator<Item = (f64, f64)>, total: f64) -> Option<f64> {
    let mut below = 0.0;
    weighed
        .into_iter()
        .find(|(_, weight)| {
            below += weight;
            below >= total * part
        })
        .map(|(value, _)| value)
}

/// Merges the estimates of several processes; `None` if the result is not sure.
pub fn merge_paces(paces: impl Iterator<Item = ReadPace>) -> Option<ReadPace> {
    let mut found: Vec<ReadPace> = paces.collect();
    found.sort_by(|a, b| a.per_ms.total_cmp(&b.per_ms));
    let seen: f64 = found.iter().map(|pace| f64::from(pace.seen)).sum();
    let weighed = found.iter().map(|pace| (f64::from(pace.per_ms), f64::from(pace.seen)));
    let joined = ReadPace { per_ms: value_at(0.5, weighed, seen)? as f32, seen: seen as f32 };
    joined.is_sure().then_some(joined)
}

/// The fastest recent first token, over two time spans; the older one is dropped when a new one
/// begins.
#[derive(Clone, Copy, Debug, Default)]
struct MinFirstToken {
    previous: Option<TimeSpan>,
    min: Option<TimeSpan>,
    began_at: ClockTime,
}

impl MinFirstToken {
    fn note(&mut self, took: TimeSpan, now: ClockTime) {
        if now - self.began_at >= FLOOR_LIFETIME {
            *self = MinFirstToken { previous: self.min, min: None, began_at: now };
        }
        self.min = Some(self.min.map_or(took, |min| min.min(took)));
    }

    fn min(&self) -> TimeSpan {
        let min = self.previous.into_iter().chain(self.min).min();
        min.unwrap_or(TimeSpan(0)).min(MAX_FLOOR)
    }
}

//! How fast model engines read prompts, from what the requests of callers show.
//!
//! No configuration tells the speed, and it differs by a factor of two and more between customers.
//! Placing, refusing and the number of engines all go by it: with a speed that is twice the true one,
//! prompts queue behind what cannot be read in time, and half of the engines needed are ordered.
//!
//! Each process notes its own requests; the collector joins what the processes found, so that one that
//! has just begun goes by the others' figure at once. All of it is a pure function of samples and time.

use oleander_kind::{ClockTime, TimeSpan};
use serde::{Deserialize, Serialize};

/// Prompt tokens a millisecond that are assumed until enough was seen. A careful figure: too low a speed orders an engine too many and refuses somewhat
/// early for the two seconds until it is known; too high a one lets queues grow.
pub const ASSUMED_PER_MS: f64 = 60.0;
/// Which of the samples is gone by, as the part of them that are slower: prompts that shared their engine
/// with few others. The middle one moves with the load, this one hardly.
const QUICK_PART: f64 = 0.8;
/// How much faster an engine reads that does nothing else than this sample shows: between two pieces of a
/// prompt it makes the tokens of running streams. Engines that read 57 and 125 tokens a millisecond alone
/// showed 39, and 58 to 62: the figure is 0.9 to 1.4 of the true one.
const ALONE_FACTOR: f64 = 2.0;

/// Shorter readings say little: connecting, the first step and the way back take as long.
const SHORTEST_READ: u64 = 500;
/// A prompt of this length counts for as many tokens, a shorter one for less by the square, a longer one
/// for no more. A short prompt waits for a step and a piece of another's prompt, which no process knows
/// of, for as long as it is read itself: by its tokens alone, 2,400 of them each, a busy service's engines
/// seemed to read 44 to 105 tokens a millisecond instead of 125.
const HEAVIEST_READ: f64 = 8000.0;
/// The part of what was ahead of a sample that may have been others' prompts. What is known of those is
/// up to half a second old.
const MOST_QUEUED: f64 = 0.25;
/// Tokens read after which a figure is used, over all processes: half a dozen long prompts or a hundred
/// and twenty of 1,800 tokens, which a deployment of today reads in about a second.
const ENOUGH_READ: f64 = 50_000.0;
/// Half of what was seen counts no more after this time: long enough for some dozens of samples at one
/// process, short against a change of the engines' model.
const HALF_LIFE: TimeSpan = TimeSpan::secs(10);
/// For how long the quickest first token counts as the time that no reading takes.
const FLOOR_TIME: TimeSpan = TimeSpan::secs(10);
/// The most of a first token's time that is not reading: the first step of today's engines takes 16 ms,
/// the ways there and back up to 3. Where all prompts are long the quickest one is mostly reading, and
/// the first figures of a process were off by up to four times.
const LONGEST_FLOOR: TimeSpan = TimeSpan(20);

/// Speeds are kept in steps of a twelfth of an octave, 6 %, up to 4,096 tokens a millisecond.
const STEPS_AN_OCTAVE: usize = 12;
const OCTAVES: usize = 12;

/// One prompt that was read.
#[derive(Clone, Copy, Debug)]
pub struct ReadSample {
    /// Tokens of it that the engine had to read.
    pub own: u64,
    /// Tokens of others' prompts that waited there when it was sent.
    pub queued: u64,
    /// From sending it to its first event.
    pub took: TimeSpan,
}

/// What samples say of a service's engines.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct ReadPace {
    /// Prompt tokens that an engine which does nothing else reads in a millisecond.
    #[serde(rename = "p")]
    pub per_ms: f32,
    /// Tokens that this was seen on, recent ones and long prompts counted more.
    #[serde(rename = "w")]
    pub seen: f32,
}

impl ReadPace {
    /// Whether enough was seen to go by it.
    pub fn is_sure(&self) -> bool {
        f64::from(self.seen) >= ENOUGH_READ
    }
}

/// Samples of one service, as weights of speeds that fade.
///
/// A quick one of them is used: engines that have turned slow do not spoil the figure,
/// and those that answer without reading only if a fifth of the prompts go to them.
#[derive(Clone, Debug)]
pub struct PaceBook {
    weights: Vec<f64>,
    faded_at: ClockTime,
    floor: QuickestFirst,
}

impl Default for PaceBook {
    fn default() -> Self {
        PaceBook {
            weights: vec![0.0; STEPS_AN_OCTAVE * OCTAVES],
            faded_at: ClockTime(0),
            floor: QuickestFirst::default(),
        }
    }
}

impl PaceBook {
    /// Notes a prompt whose first event came at `now`.
    pub fn note(&mut self, sample: ReadSample, now: ClockTime) {
        self.floor.note(sample.took, now);
        let readable = sample.own >= SHORTEST_READ;
        if !readable || sample.queued as f64 > MOST_QUEUED * sample.own as f64 {
            return;
        }
        self.fade(now);
        let reading = sample.took.0.saturating_sub(self.floor.least().0).max(1);
        let per_ms = (sample.own + sample.queued) as f64 / reading as f64;
        let step = (per_ms.max(1.0).log2() * STEPS_AN_OCTAVE as f64) as usize;
        let last = self.weights.len() - 1;
        let tokens = (sample.own as f64).min(HEAVIEST_READ);
        self.weights[step.min(last)] += tokens * tokens / HEAVIEST_READ;
    }

    fn fade(&mut self, now: ClockTime) {
        let factor = (now - self.faded_at).decay_factor(HALF_LIFE);
        self.weights.iter_mut().for_each(|weight| *weight *= factor);
        self.faded_at = now;
    }

    /// What the samples say, however few they are; none if there are none. What was known stays while
    /// nothing is seen.
    pub fn pace(&self) -> Option<ReadPace> {
        let seen: f64 = self.weights.iter().sum();
        if seen <= 0.0 {
            return None;
        }
        let speed = |step: usize| ((step as f64 + 0.5) / STEPS_AN_OCTAVE as f64).exp2();
        let weighed = self.weights.iter().enumerate().map(|(step, weight)| (speed(step), *weight));
        let per_ms = ALONE_FACTOR * value_at(QUICK_PART, weighed, seen)?;
        Some(ReadPace { per_ms: per_ms as f32, seen: seen as f32 })
    }
}

/// The value below which `part` of the weights lie, which rise to `total` in the order of the values.
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

/// What several processes found, as one figure; none if it is not sure.
pub fn join_paces(paces: impl Iterator<Item = ReadPace>) -> Option<ReadPace> {
    let mut found: Vec<ReadPace> = paces.collect();
    found.sort_by(|a, b| a.per_ms.total_cmp(&b.per_ms));
    let seen: f64 = found.iter().map(|pace| f64::from(pace.seen)).sum();
    let weighed = found.iter().map(|pace| (f64::from(pace.per_ms), f64::from(pace.seen)));
    let joined = ReadPace { per_ms: value_at(0.5, weighed, seen)? as f32, seen: seen as f32 };
    joined.is_sure().then_some(joined)
}

/// The quickest first token of late, over two spans of time of which the older is forgotten.
#[derive(Clone, Copy, Debug, Default)]
struct QuickestFirst {
    before: Option<TimeSpan>,
    least: Option<TimeSpan>,
    began_at: ClockTime,
}

impl QuickestFirst {
    fn note(&mut self, took: TimeSpan, now: ClockTime) {
        if now - self.began_at >= FLOOR_TIME {
            *self = QuickestFirst { before: self.least, least: None, began_at: now };
        }
        self.least = Some(self.least.map_or(took, |least| least.min(took)));
    }

    fn least(&self) -> TimeSpan {
        let least = self.before.into_iter().chain(self.least).min();
        least.unwrap_or(TimeSpan(0)).min(LONGEST_FLOOR)
    }
}

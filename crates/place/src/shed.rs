//! Load shedding: which requests an overloaded service refuses at once.
//!
//! Prompts queued behind more than can be read within the objective are all answered late. Refusing
//! the excess lets the others be answered in time, and tells the refused callers at once.

use crate::choose::PlacementChoice;
use oleander_kind::hash::mix_bits;
use oleander_kind::{ClockTime, TimeSpan};

/// The factor by which the first token takes longer than reading the prompts ahead: engines
/// generate tokens of running streams in between, and prompts arrive that this process has not been
/// told of.
const WAIT_FACTOR: f64 = 2.2;
/// The multiple of the objective that requests of the most urgent rank may wait in a queue. Half of
/// the requests that are expected to take the objective take less; refusing these costs more than
/// it gains.
const URGENT_FACTOR: f64 = 1.6;
/// The same for all other ranks, which yield to the most urgent one.
const OTHER_FACTOR: f64 = 1.2;
/// The factor by which engines take longer than the reading alone for the prompts that they have at
/// once; it determines what they read in a second of overload.
const READ_FACTOR: f64 = 1.5;
/// The averaging time of the offered load, in milliseconds: long enough for some ten requests at
/// one process of many, short compared to a wave of callers.
const OFFERED_TIME_MS: f64 = 1500.0;
/// The shortest delay after which a refused caller may retry.
const MIN_RETRY_DELAY: TimeSpan = TimeSpan(200);

/// The tokens that may wait ahead of a request of `rank` and `objective` at an engine that reads
/// `read_per_ms` tokens a millisecond.
pub fn queue_limit(objective: TimeSpan, rank: u8, read_per_ms: f64) -> u64 {
    let factor = if rank == 0 { URGENT_FACTOR } else { OTHER_FACTOR };
    (objective.0 as f64 * factor / WAIT_FACTOR * read_per_ms) as u64
}

/// The load of a service, as one process sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServiceLoad {
    /// Prompt tokens that wait at all its engines.
    pub queue: u64,
    /// Engines that take work.
    pub engines: u32,
    /// The prompt tokens a second that callers offer to all processes.
    pub offered_per_s: f64,
    /// Prompt tokens that an idle engine reads in a millisecond.
    pub read_per_ms: f64,
}

/// The part of the requests to admit, if `limit` tokens may wait at one engine.
///
/// Queue lengths are known half a second late. With those alone, every process would send as long
/// as the queues look short, and half a second's work of all processes would arrive at once. The
/// offered load and the reading speed are known better, so the part follows their ratio, and the
/// queue only corrects it towards the limit.
fn admitted_part(load: &ServiceLoad, limit: u64) -> f64 {
    /// The target fill of the queue, as a part of what may wait.
    const TARGET_FILL: f64 = 1.0;
    /// Below this part of the target nothing is refused at random.
    const MIN_FILL: f64 = 0.8;
    /// The gain of the correction: a queue half again as long as the target stops all requests.
    const CORRECTION: f64 = 2.0;
    let most = f64::from(load.engines) * limit as f64;
    let filled = load.queue as f64 / most.max(1.0);
    if filled < MIN_FILL * TARGET_FILL {
        return 1.0;
    }
    let read_per_s = f64::from(load.engines) * load.read_per_ms * 1000.0 / READ_FACTOR;
    let part = read_per_s / load.offered_per_s.max(1.0);
    (part * (1.0 + CORRECTION * (TARGET_FILL - filled))).clamp(0.0, 1.0)
}

/// The delay after which a request with this choice should be retried; `None` if it is admitted.
///
/// It is refused if it would wait for too long at any endpoint, or at random if more is offered
/// than the engines can read. Retries are spread over as long again, so that callers refused
/// together do not retry together.
pub fn shed_delay(
    choice: &PlacementChoice,
    load: &ServiceLoad,
    limit: u64,
    salt: u64,
) -> Option<TimeSpan> {
    let draw = mix_bits(salt) as f64 / u64::MAX as f64;
    if choice.queue() <= limit && draw < admitted_part(load, limit) {
        return None;
    }
    let wait = (choice.queue() as f64 / load.read_per_ms * WAIT_FACTOR) as u64;
    let wait = wait.max(MIN_RETRY_DELAY.0);
    Some(TimeSpan(wait + salt % wait))
}

/// An average of tokens a second.
#[derive(Clone, Copy, Debug, Default)]
pub struct OfferedRate {
    per_s: f64,
    at: ClockTime,
}

impl OfferedRate {
    /// Counts tokens of an offered request.
    pub fn note(&mut self, tokens: u64, now: ClockTime) {
        let kept = (-((now - self.at).0 as f64) / OFFERED_TIME_MS).exp();
        self.per_s = self.per_s * kept + tokens as f64 * 1000.0 / OFFERED_TIME_MS;
        self.at = now;
    }

    /// The average rate, as of the last request.
    pub fn per_s(&self) -> f64 {
        self.per_s
    }
}

//! Which requests an overloaded service refuses at once.
//!
//! Prompts that wait behind more than can be read within the objective are all answered late. Refusing
//! as many as are too many lets the others be answered in time, and tells their callers at once.

use crate::choose::PlaceChoice;
use oleander_kind::hash::mix_bits;
use oleander_kind::{ClockTime, TimeSpan};

/// The first token takes this many times as long as the prompts ahead take to be read: engines make
/// tokens of running streams in between, and prompts come that a process has not heard of.
const WAIT_FACTOR: f64 = 2.2;
/// Times the objective that the most urgent rank may wait behind others. Half of the requests that are
/// expected to take the objective take less; refusing these costs more than it brings.
const URGENT_TIMES: f64 = 1.6;
/// The same for all other ranks, which make room for the most urgent one.
const OTHER_TIMES: f64 = 1.2;
/// How many times as long as the reading alone engines take for a prompt that they have at once; what
/// they read in a second of overload.
const READ_FACTOR: f64 = 1.5;
/// What is offered is averaged over this time, in milliseconds: long enough for some ten requests at
/// one process of many, short against a wave of callers.
const OFFERED_TIME_MS: f64 = 1500.0;
/// The shortest time after which a refused caller may come back.
const SHORTEST_RETURN: TimeSpan = TimeSpan(200);

/// Tokens that may wait before a request of `rank` and `objective` at an engine that reads
/// `read_per_ms` tokens a millisecond.
pub fn queue_limit(objective: TimeSpan, rank: u8, read_per_ms: f64) -> u64 {
    let times = if rank == 0 { URGENT_TIMES } else { OTHER_TIMES };
    (objective.0 as f64 * times / WAIT_FACTOR * read_per_ms) as u64
}

/// How a service stands, as one process sees it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ServicePressure {
    /// Prompt tokens that wait at all its engines.
    pub queue: u64,
    /// Engines that take work.
    pub engines: u32,
    /// Prompt tokens a second that all processes are asked to have read.
    pub offered_per_s: f64,
    /// Prompt tokens that an engine reads in a millisecond if it does nothing else.
    pub read_per_ms: f64,
}

/// The part of the requests to be taken, by how many tokens may wait at one engine.
///
/// Queues are known half a second late. Going by them alone, every process sends as long as they look
/// short, and half a second's work of all of them arrives at once. What is offered and what engines
/// read are known better, so the part follows their ratio, and the queue only corrects it: towards
/// what may wait.
fn admitted_part(pressure: &ServicePressure, limit: u64) -> f64 {
    /// Where the queue is held, as a part of what may wait.
    const AIM: f64 = 1.0;
    /// Below this part of it nothing is refused by lot.
    const BEGIN: f64 = 0.8;
    /// How strongly it is drawn there: a queue half again as long stops all.
    const CORRECTION: f64 = 2.0;
    let most = f64::from(pressure.engines) * limit as f64;
    let filled = pressure.queue as f64 / most.max(1.0);
    if filled < BEGIN * AIM {
        return 1.0;
    }
    let read_per_s = f64::from(pressure.engines) * pressure.read_per_ms * 1000.0 / READ_FACTOR;
    let part = read_per_s / pressure.offered_per_s.max(1.0);
    (part * (1.0 + CORRECTION * (AIM - filled))).clamp(0.0, 1.0)
}

/// When a request with this choice should come back; none if it is taken.
///
/// It is refused if it would wait for too long wherever it goes, or by lot if more is offered than the
/// engines read. Returns are spread over as long again, so that those who are refused together do not
/// come back together.
pub fn shed_until(
    choice: &PlaceChoice,
    pressure: &ServicePressure,
    limit: u64,
    salt: u64,
) -> Option<TimeSpan> {
    let lot = mix_bits(salt) as f64 / u64::MAX as f64;
    if choice.queue() <= limit && lot < admitted_part(pressure, limit) {
        return None;
    }
    let wait = (choice.queue() as f64 / pressure.read_per_ms * WAIT_FACTOR) as u64;
    let wait = wait.max(SHORTEST_RETURN.0);
    Some(TimeSpan(wait + salt % wait))
}

/// Tokens a second, averaged.
#[derive(Clone, Copy, Debug, Default)]
pub struct OfferedRate {
    per_s: f64,
    at: ClockTime,
}

impl OfferedRate {
    /// Counts tokens asked for.
    pub fn note(&mut self, tokens: u64, now: ClockTime) {
        let kept = (-((now - self.at).0 as f64) / OFFERED_TIME_MS).exp();
        self.per_s = self.per_s * kept + tokens as f64 * 1000.0 / OFFERED_TIME_MS;
        self.at = now;
    }

    /// The rate, as of the last count.
    pub fn per_s(&self) -> f64 {
        self.per_s
    }
}

//! How long a service takes to answer.

use oleander_kind::{ClockTime, TimeSpan};

/// How long an answer counts for half of what it did: some hundred answers at a dispatcher of a busy service,
/// short compared to a change of load.
const HALF_LIFE: TimeSpan = TimeSpan(1000);

/// The mean time of a service's answers at one process; later ones have more weight.
#[derive(Clone, Copy, Debug, Default)]
pub struct AnswerTimes {
    total_ms: f64,
    count: f64,
    noted_at: ClockTime,
}

impl AnswerTimes {
    /// Records an answer that took `took` from sending the request to its end.
    pub fn note(&mut self, took: TimeSpan, now: ClockTime) {
        let kept = (now - self.noted_at).decay_factor(HALF_LIFE);
        self.total_ms = self.total_ms * kept + took.0 as f64;
        self.count = self.count * kept + 1.0;
        self.noted_at = now;
    }

    /// The mean; `None` before the first answer.
    pub fn mean(&self) -> Option<TimeSpan> {
        (self.count > 0.0).then(|| TimeSpan((self.total_ms / self.count).round() as u64))
    }

    /// The time from one free place to the next at a process that has `places` of them; `None` if it has none,
    /// or before the first answer.
    pub fn place_interval(&self, places: u32) -> Option<TimeSpan> {
        let mean = self.mean().filter(|_| places > 0)?;
        Some(TimeSpan((mean.0 / u64::from(places)).max(1)))
    }
}

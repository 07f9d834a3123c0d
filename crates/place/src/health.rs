//! Health of an endpoint, from its recent answers.

use oleander_kind::{ClockTime, TimeSpan};

/// What an attempt shows about its endpoint's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerGrade {
    /// A complete, valid answer.
    Good,
    /// A failure that the endpoint reported, or an invalid or truncated answer.
    Bad,
    /// No connection, or no answer.
    Dead,
}

/// The half-life of the counts: long enough for a few answers at a tenth of a small deployment's
/// traffic, short enough that a recovered endpoint is used again within seconds.
const HALF_LIFE: TimeSpan = TimeSpan(2500);
/// The first backoff from an unreachable endpoint.
const MIN_BACKOFF: TimeSpan = TimeSpan(300);
/// The longest backoff; doubling ends here, so that an endpoint that restarted is found again
/// within a few seconds even if no list update reports it.
const MAX_BACKOFF: TimeSpan = TimeSpan(3000);

/// Exponentially decayed counts of an endpoint's answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct HealthRecord {
    good: f64,
    bad: f64,
    counted_at: ClockTime,
    backoffs: u32,
    backoff_until: ClockTime,
    good_at: ClockTime,
}

impl HealthRecord {
    /// Counts the outcome of an attempt.
    pub fn note(&mut self, grade: AnswerGrade, now: ClockTime) {
        self.decay(now);
        match grade {
            AnswerGrade::Good => {
                self.good += 1.0;
                self.good_at = now;
                self.backoffs = 0;
                self.backoff_until = ClockTime(0);
            }
            AnswerGrade::Bad => self.bad += 1.0,
            AnswerGrade::Dead => {
                self.bad += 1.0;
                let backoff = TimeSpan(MIN_BACKOFF.0 << self.backoffs.min(8)).min(MAX_BACKOFF);
                // Attempts that began before the first of them failed count as one failure.
                if now >= self.backoff_until {
                    self.backoffs += 1;
                    self.backoff_until = now + backoff;
                }
            }
        }
    }

    fn decay(&mut self, now: ClockTime) {
        let factor = (now - self.counted_at).decay_factor(HALF_LIFE);
        self.good *= factor;
        self.bad *= factor;
        self.counted_at = now;
    }

    /// The share of its answers that failed, in 0 to 1; one good answer is assumed in addition.
    pub fn failure_share(&self, now: ClockTime) -> f64 {
        let factor = (now - self.counted_at).decay_factor(HALF_LIFE);
        let (good, bad) = (self.good * factor, self.bad * factor);
        bad / (good + bad + 1.0)
    }

    /// When it last gave a complete, valid answer; 0 if it never did.
    pub fn good_at(&self) -> ClockTime {
        self.good_at
    }

    /// Whether requests avoid it because it could not be reached.
    pub fn is_backing_off(&self, now: ClockTime) -> bool {
        now < self.backoff_until
    }
}

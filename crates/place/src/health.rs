//! How an endpoint has been answering.

use oleander_kind::{ClockTime, TimeSpan};

/// How an attempt spoke for its endpoint's health.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerGrade {
    /// A whole, sound answer.
    Good,
    /// A failure that the endpoint told of, or a spoiled or broken answer.
    Bad,
    /// No connection, or silence.
    Dead,
}

/// Half of what was seen is forgotten after this time: long enough for a few answers at a tenth of
/// a small deployment's traffic, short enough that a mended endpoint is back within seconds.
const HALF_LIFE: TimeSpan = TimeSpan(2500);
/// The first time an unreachable endpoint is left alone.
const FIRST_REST: TimeSpan = TimeSpan(300);
/// The longest time it is left alone; doubling ends here, so that one that restarted is found again
/// within a few seconds even if no list tells of it.
const LONGEST_REST: TimeSpan = TimeSpan(3000);

/// Decayed counts of an endpoint's answers.
#[derive(Clone, Copy, Debug, Default)]
pub struct HealthRecord {
    good: f64,
    bad: f64,
    counted_at: ClockTime,
    rests: u32,
    rests_until: ClockTime,
    good_at: ClockTime,
}

impl HealthRecord {
    /// Counts an attempt.
    pub fn note(&mut self, grade: AnswerGrade, now: ClockTime) {
        self.decay(now);
        match grade {
            AnswerGrade::Good => {
                self.good += 1.0;
                self.good_at = now;
                self.rests = 0;
                self.rests_until = ClockTime(0);
            }
            AnswerGrade::Bad => self.bad += 1.0,
            AnswerGrade::Dead => {
                self.bad += 1.0;
                let rest = TimeSpan(FIRST_REST.0 << self.rests.min(8)).min(LONGEST_REST);
                // Attempts that began before the first of them failed are one failure, not many.
                if now >= self.rests_until {
                    self.rests += 1;
                    self.rests_until = now + rest;
                }
            }
        }
    }

    fn decay(&mut self, now: ClockTime) {
        let factor = (now - self.counted_at).part_left(HALF_LIFE);
        self.good *= factor;
        self.bad *= factor;
        self.counted_at = now;
    }

    /// The share of its answers that failed, in 0 to 1; one good answer is assumed besides.
    pub fn failure_share(&self, now: ClockTime) -> f64 {
        let factor = (now - self.counted_at).part_left(HALF_LIFE);
        let (good, bad) = (self.good * factor, self.bad * factor);
        bad / (good + bad + 1.0)
    }

    /// When it last gave a whole, sound answer; 0 if it never did.
    pub fn good_at(&self) -> ClockTime {
        self.good_at
    }

    /// Whether it is left alone after it could not be reached.
    pub fn rests(&self, now: ClockTime) -> bool {
        now < self.rests_until
    }
}

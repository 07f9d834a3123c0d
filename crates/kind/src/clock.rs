//! Time as a value. Decisions are handed the time; only the edge reads a clock.

use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};

/// A point in time, in milliseconds. Monotonic inside a process; wall-clock time (since 1970)
/// where a doc comment says so.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ClockTime(pub u64);

/// A length of time, in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct TimeSpan(pub u64);

impl TimeSpan {
    /// A span of whole seconds.
    pub const fn secs(seconds: u64) -> Self {
        TimeSpan(seconds * 1000)
    }

    /// What is left after this span of a value that halves in each `half_life`, in 0 to 1.
    pub fn part_left(self, half_life: TimeSpan) -> f64 {
        0.5_f64.powf(self.0 as f64 / half_life.0 as f64)
    }

    /// The span as the standard library's duration.
    pub const fn duration(self) -> std::time::Duration {
        std::time::Duration::from_millis(self.0)
    }
}

impl Add<TimeSpan> for ClockTime {
    type Output = ClockTime;

    fn add(self, span: TimeSpan) -> ClockTime {
        ClockTime(self.0.saturating_add(span.0))
    }
}

impl Add<TimeSpan> for TimeSpan {
    type Output = TimeSpan;

    fn add(self, other: TimeSpan) -> TimeSpan {
        TimeSpan(self.0.saturating_add(other.0))
    }
}

impl Sub<ClockTime> for ClockTime {
    type Output = TimeSpan;

    /// The span since `earlier`; zero if `earlier` is later.
    fn sub(self, earlier: ClockTime) -> TimeSpan {
        TimeSpan(self.0.saturating_sub(earlier.0))
    }
}

impl Sub<TimeSpan> for ClockTime {
    type Output = ClockTime;

    fn sub(self, span: TimeSpan) -> ClockTime {
        ClockTime(self.0.saturating_sub(span.0))
    }
}

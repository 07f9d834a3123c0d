//! Time values. Decision code takes the current time as an argument, and only the I/O layer reads a
//! clock.

use serde::{Deserialize, Serialize};
use std::ops::{Add, Sub};

/// A point in time in milliseconds: monotonic time within one process, or wall-clock time since
/// the Unix epoch where a doc comment says so.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ClockTime(pub u64);

/// A duration in milliseconds.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct TimeSpan(pub u64);

impl TimeSpan {
    /// Creates a span from whole seconds.
    pub const fn secs(seconds: u64) -> Self {
        TimeSpan(seconds * 1000)
    }

    /// Returns the exponential decay factor, from 0 to 1, after this span for a value with the given
    /// `half_life`.
    pub fn decay_factor(self, half_life: TimeSpan) -> f64 {
        0.5_f64.powf(self.0 as f64 / half_life.0 as f64)
    }

    /// Converts the span to a standard library duration.
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

    /// Returns the span since `earlier`, or zero if `earlier` is later.
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

//! True time, from clocks some of which are wrong.
//!
//! Usage windows begin at fixed true times, but a machine's wall clock may jump by seconds and
//! back. The median of all members' clocks stays right as long as fewer than half of them jump
//! together; between two digests only monotonic clocks are used.

use oleander_kind::{ClockTime, TimeSpan};

/// The median of `offsets`; `None` if it is empty.
pub fn median_offset(mut offsets: Vec<i64>) -> Option<i64> {
    let middle = offsets.len() / 2;
    if offsets.is_empty() {
        return None;
    }
    let (_, median, _) = offsets.select_nth_unstable(middle);
    Some(*median)
}

/// The offset of a wall clock that reads `wall` from a monotonic clock that reads `now`.
pub fn wall_offset(wall: ClockTime, now: ClockTime) -> i64 {
    wall.0 as i64 - now.0 as i64
}

/// True time, kept as an offset from the monotonic clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrueClock {
    offset: Option<i64>,
}

impl TrueClock {
    /// Sets true time from a digest; `trip` is the duration of the exchange.
    pub fn set(&mut self, true_time: ClockTime, trip: TimeSpan, now: ClockTime) {
        self.offset = Some(wall_offset(true_time + TimeSpan(trip.0 / 2), now));
    }

    /// True time at `now`, or `wall`, the local wall clock, if no digest was received yet.
    pub fn read(&self, now: ClockTime, wall: ClockTime) -> ClockTime {
        match self.offset {
            Some(offset) => ClockTime((now.0 as i64 + offset).max(0) as u64),
            None => wall,
        }
    }
}

/// Detects that this process did not run for a while. While its machine is suspended the monotonic
/// clock stops and the wall clock does not; while the process alone is stopped both clocks go on,
/// and the next check is late.
///
/// A collector that resumes after seconds would treat its accounts' windows and its reports as
/// current although another process collects by now. It has to start over. A step of the wall clock
/// cannot be told from a suspension, but starting over costs little then.
#[derive(Clone, Copy, Debug, Default)]
pub struct PauseDetector {
    offset: Option<i64>,
    checked_at: Option<ClockTime>,
}

impl PauseDetector {
    /// Whether the process was suspended or stopped since the last check. Called several times a
    /// second.
    pub fn was_paused(&mut self, wall: ClockTime, now: ClockTime) -> bool {
        /// Longer than a collector may be silent before its reporters leave it, in milliseconds.
        const MAX_OFFSET_CHANGE_MS: u64 = 800;
        /// The same between two checks. They are up to 0.9 s apart while a process calls peers that
        /// are gone.
        const MAX_CHECK_GAP: TimeSpan = TimeSpan(2000);
        let offset = wall_offset(wall, now);
        let last = self.offset.replace(offset);
        let checked_at = self.checked_at.replace(now);
        let was_suspended = last.is_some_and(|last| offset.abs_diff(last) > MAX_OFFSET_CHANGE_MS);
        was_suspended || checked_at.is_some_and(|at| now - at > MAX_CHECK_GAP)
    }
}

/// How far a wall clock that reads `wall` is behind true time.
pub fn wall_lag(wall: ClockTime, true_now: ClockTime) -> TimeSpan {
    true_now - wall
}

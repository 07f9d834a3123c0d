//! True time, from clocks of which some are wrong.
//!
//! Usage windows begin at fixed true times, and a machine's time of day may jump by seconds and back.
//! The middle of all members' clocks stays right as long as fewer than half of them jump together;
//! between two digests only steady clocks count.

use oleander_kind::{ClockTime, TimeSpan};

/// The middle of `offsets`; none if there are none.
pub fn median_offset(mut offsets: Vec<i64>) -> Option<i64> {
    let middle = offsets.len() / 2;
    if offsets.is_empty() {
        return None;
    }
    let (_, median, _) = offsets.select_nth_unstable(middle);
    Some(*median)
}

/// How far a clock that says `wall` is ahead of a steady clock that says `now`.
pub fn wall_offset(wall: ClockTime, now: ClockTime) -> i64 {
    wall.0 as i64 - now.0 as i64
}

/// True time by a steady clock and an offset.
#[derive(Clone, Copy, Debug, Default)]
pub struct TrueClock {
    offset: Option<i64>,
}

impl TrueClock {
    /// Takes true time as a digest told it; `trip` is how long the exchange took.
    pub fn set(&mut self, true_time: ClockTime, trip: TimeSpan, now: ClockTime) {
        self.offset = Some(wall_offset(true_time + TimeSpan(trip.0 / 2), now));
    }

    /// True time at `now`; `wall`, the own time of day, until something better was heard.
    pub fn read(&self, now: ClockTime, wall: ClockTime) -> ClockTime {
        match self.offset {
            Some(offset) => ClockTime((now.0 as i64 + offset).max(0) as u64),
            None => wall,
        }
    }
}

/// Notices that this process stood still. While its machine is suspended its steady clock does not count, its time of
/// day does; while it alone is stopped, both do, and it looks later than it meant to.
///
/// A collector that stood still for seconds takes its accounts' windows and its reports for new when
/// it wakes, while another collects. It has to begin anew. A time of day that was set looks the same,
/// and beginning anew costs little then.
#[derive(Clone, Copy, Debug, Default)]
pub struct SleepWatch {
    offset: Option<i64>,
    looked_at: Option<ClockTime>,
}

impl SleepWatch {
    /// Whether the process stood still since the last look. It looks several times a second.
    pub fn slept(&mut self, wall: ClockTime, now: ClockTime) -> bool {
        /// Longer than a collector is silent before its reporters leave it, in milliseconds.
        const LONG: u64 = 800;
        /// The same between two looks. They are up to 0.9 s apart while a process asks for others that are gone.
        const LATE: TimeSpan = TimeSpan(2000);
        let offset = wall_offset(wall, now);
        let last = self.offset.replace(offset);
        let looked_at = self.looked_at.replace(now);
        let was_suspended = last.is_some_and(|last| offset.abs_diff(last) > LONG);
        was_suspended || looked_at.is_some_and(|at| now - at > LATE)
    }
}

/// How far a clock that says `wall` is behind true time.
pub fn wall_lag(wall: ClockTime, true_now: ClockTime) -> TimeSpan {
    true_now - wall
}

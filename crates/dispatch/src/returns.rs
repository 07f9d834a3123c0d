//! When refused callers are told to come back.

use oleander_kind::{ClockTime, TimeSpan};

/// One in so many places is meant for callers that come back. With more of them, those that were refused keep
/// out those that come for the first time, and all are late.
const PLACES_PER_RETURN: u64 = 4;
/// The shortest time to come back in: sooner, a caller finds the same line.
const MIN_RETURN: TimeSpan = TimeSpan(100);

/// The times at which refused callers of one service come back: in the order in which they were refused, and
/// no more of them at once than places come free for them.
#[derive(Clone, Copy, Debug, Default)]
pub struct ReturnSchedule {
    last: ClockTime,
}

impl ReturnSchedule {
    /// The time in which the next refused caller should come back, if it has `left` to be served and a place
    /// comes free every `interval`. Beyond what it has left there is none for it, and it is told just that.
    pub fn next(&mut self, (now, left): (ClockTime, TimeSpan), interval: TimeSpan) -> TimeSpan {
        let spaced = self.last + TimeSpan(interval.0 * PLACES_PER_RETURN);
        let at = spaced.max(now + MIN_RETURN);
        if at - now > left {
            return left.max(MIN_RETURN);
        }
        self.last = at;
        at - now
    }
}

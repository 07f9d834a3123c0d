//! The only place that reads clocks.

use oleander_kind::ClockTime;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// The clocks of one process.
#[derive(Clone, Copy, Debug)]
pub struct NodeClock {
    started: Instant,
}

impl Default for NodeClock {
    fn default() -> Self {
        NodeClock { started: Instant::now() }
    }
}

impl NodeClock {
    /// Monotonic time since a little before the process began. It starts well above zero, so that
    /// "long ago" can be written as zero.
    pub fn now(&self) -> ClockTime {
        const HEAD_START_MS: u64 = 1_000_000;
        let since = u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX);
        ClockTime(HEAD_START_MS + since)
    }

    /// Wall-clock time since 1970.
    pub fn wall(&self) -> ClockTime {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        ClockTime(since.map_or(0, |span| u64::try_from(span.as_millis()).unwrap_or(u64::MAX)))
    }
}

//! Clocks of a process. No other module reads the system's clocks.

use nix::time::{ClockId, clock_gettime};
use oleander_kind::{ClockTime, TimeSpan};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Offset of the monotonic clocks, in milliseconds, so that time zero lies well before the start of the process.
const CLOCK_OFFSET_MS: u64 = 1_000_000;

/// The clocks of one process.
///
/// The monotonic clock is that of the async runtime, which also drives its timers. Tests that advance it
/// simulate minutes without waiting.
#[derive(Clone, Copy, Debug)]
pub struct NodeClock {
    started: Instant,
    /// Reading of the boot-time clock, which includes suspended time, at the start of the process.
    started_boottime: Option<Duration>,
    /// Wall-clock time at the start, if the wall clock then follows the monotonic clock.
    wall_start: Option<ClockTime>,
}

impl Default for NodeClock {
    fn default() -> Self {
        NodeClock { started: Instant::now(), started_boottime: since_boot(), wall_start: None }
    }
}

/// Time since the machine booted, including time in which it was suspended; none if the system has no
/// such clock.
fn since_boot() -> Option<Duration> {
    clock_gettime(ClockId::CLOCK_BOOTTIME).ok().map(Duration::from)
}

fn millis(span: Duration) -> u64 {
    u64::try_from(span.as_millis()).unwrap_or(u64::MAX)
}

impl NodeClock {
    /// Creates clocks that all follow the runtime's clock, for tests that advance it.
    pub fn from_runtime() -> Self {
        let system = NodeClock::default();
        NodeClock { started_boottime: None, wall_start: Some(system.wall()), ..system }
    }

    /// Returns the monotonic time, which starts at a fixed offset when the process starts.
    pub fn now(&self) -> ClockTime {
        ClockTime(CLOCK_OFFSET_MS + millis(self.started.elapsed()))
    }

    /// Returns the monotonic time like [`now`](Self::now), but including time in which the machine was suspended.
    ///
    /// Other processes see a lease expire while its holder is suspended. With a clock that stops
    /// during suspension, the holder would resume and use the rest of the lease concurrently with its
    /// successor. A system without such a clock does not suspend its machines unnoticed, so the
    /// monotonic clock suffices there.
    pub fn lease_now(&self) -> ClockTime {
        let since = self.started_boottime.zip(since_boot()).map(|(start, now)| now - start);
        since.map_or_else(|| self.now(), |span| ClockTime(CLOCK_OFFSET_MS + millis(span)))
    }

    /// Returns the wall-clock time since 1970.
    pub fn wall(&self) -> ClockTime {
        if let Some(from) = self.wall_start {
            return from + TimeSpan(millis(self.started.elapsed()));
        }
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        ClockTime(since.map_or(0, millis))
    }
}

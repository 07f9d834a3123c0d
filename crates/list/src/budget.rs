//! Bounds how fast a process sends the content of its list.
//!
//! Hundreds of processes may lack thousands of entries at the same moment. Sent to all of them at once,
//! the entries fill the sender's link for seconds. Its short answers, which carry limits and show that it
//! is alive, then arrive too late, its reporters choose another process, and that one sends them the
//! same entries again.

use oleander_kind::{ClockTime, TimeSpan};

/// The part of a link that list content may take; the rest is for callers and for short answers.
const LINK_PART: f64 = 0.3;
/// The time over which unused bytes accumulate.
const BURST_TIME: TimeSpan = TimeSpan(250);
/// The longest time for which nothing may be sent after too much was. Small updates are sent whatever is left, and
/// a wave of them must not keep parts from being sent long after it.
const MAX_DEBT_TIME: TimeSpan = TimeSpan(1000);

/// Bytes of list content that a process may send.
#[derive(Clone, Debug)]
pub struct SendBudget {
    bytes_per_ms: f64,
    /// Negative after a message that was larger than what was left.
    left: f64,
    updated_at: ClockTime,
}

impl SendBudget {
    /// The budget of a process whose link carries `link_mbps` megabits a second.
    pub fn of_link(link_mbps: f64) -> Self {
        let bytes_per_ms = link_mbps * 125.0 * LINK_PART;
        let left = bytes_per_ms * BURST_TIME.0 as f64;
        SendBudget { bytes_per_ms, left, updated_at: ClockTime(0) }
    }

    /// Whether a message may be sent now.
    ///
    /// It may then exceed what is left, so that one larger than the burst can be sent at all; the next
    /// one waits for as much longer.
    pub fn is_open(&mut self, now: ClockTime) -> bool {
        let most = self.bytes_per_ms * BURST_TIME.0 as f64;
        let earned = (now - self.updated_at).0 as f64 * self.bytes_per_ms;
        self.left = (self.left + earned).min(most);
        self.updated_at = now;
        self.left > 0.0
    }

    /// Takes the bytes of a message that is sent.
    pub fn take(&mut self, bytes: usize) {
        let most_debt = self.bytes_per_ms * MAX_DEBT_TIME.0 as f64;
        self.left = (self.left - bytes as f64).max(-most_debt);
    }
}

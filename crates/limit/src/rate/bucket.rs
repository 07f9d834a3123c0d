//! The side that sends by a lease.

use crate::pool::ALLOT_TIME;
use oleander_kind::{ClockTime, TimeSpan};

/// For how long a process may save up besides one request: the next caller comes within this time where many ask.
pub(super) const SAVED_TIME: TimeSpan = TimeSpan(200);

/// What the first lease of an endpoint's life brings, in requests. With nothing, 0.3 a second are not used for seconds where processes
/// begin anew one after the other; with a whole one, holders that change while reports are lost pass the bound.
const FIRST_LEVEL: f64 = 0.5;

/// A process's part of an endpoint's rate: a request whenever enough time has passed since the last one.
///
/// All times are by a clock that goes on while the machine is suspended. Nothing is gained without a lease: a holder
/// that lost one for a while would else send for that time besides what others were handed. What was saved up before stays, and
/// the first lease brings half a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateBucket {
    per_s: f64,
    /// Requests that it may send, as of `filled_at`.
    level: f64,
    filled_at: ClockTime,
    ends_at: ClockTime,
}

impl RateBucket {
    /// Takes a lease of `per_s` requests a second that was asked for at `sent_at`.
    pub fn renew(&mut self, per_s: f64, (sent_at, now): (ClockTime, ClockTime)) {
        let is_first = self.ends_at == ClockTime::default();
        self.level = if is_first { FIRST_LEVEL } else { self.saved(now.min(self.ends_at)) };
        self.filled_at = now;
        self.per_s = per_s;
        self.ends_at = sent_at + ALLOT_TIME;
    }

    /// Gives up the lease.
    pub fn end(&mut self) {
        *self = RateBucket::default();
    }

    /// Requests that it may send by its lease.
    fn level(&self, now: ClockTime) -> f64 {
        if now < self.ends_at { self.saved(now) } else { 0.0 }
    }

    fn saved(&self, now: ClockTime) -> f64 {
        let gained = self.per_s * seconds(now - self.filled_at);
        (self.level + gained).min(1.0 + self.per_s * seconds(SAVED_TIME))
    }

    /// Whether a request may be sent.
    pub fn is_ready(&self, now: ClockTime) -> bool {
        self.level(now) >= 1.0
    }

    /// Takes a request that may be sent; says whether there was one.
    pub fn take(&mut self, now: ClockTime) -> bool {
        let is_ready = self.is_ready(now);
        if is_ready {
            self.level = self.level(now) - 1.0;
            self.filled_at = now;
        }
        is_ready
    }

    /// In how long a request may be sent if the lease goes on; none without one.
    pub fn ready_in(&self, now: ClockTime) -> Option<TimeSpan> {
        let holds = now < self.ends_at && self.per_s > 0.0;
        let lacks = (1.0 - self.level(now)).max(0.0);
        holds.then(|| TimeSpan((lacks * 1000.0 / self.per_s).ceil() as u64))
    }

    /// Requests a second of the lease; none without one.
    pub fn per_s(&self, now: ClockTime) -> Option<f64> {
        (now < self.ends_at).then_some(self.per_s)
    }
}

fn seconds(span: TimeSpan) -> f64 {
    span.0 as f64 / 1000.0
}

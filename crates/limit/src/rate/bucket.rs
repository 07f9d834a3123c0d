//! The token bucket through which a lease holder sends requests.

use crate::pool::ALLOTMENT_LIFETIME;
use oleander_kind::{ClockTime, TimeSpan};

/// The time for which a bucket accumulates requests in addition to one whole request: under demand
/// the next caller arrives within this time.
pub(super) const BURST_TIME: TimeSpan = TimeSpan(200);

/// What the first lease on an endpoint's incarnation adds, in requests. With 0, a rate of 0.3 a
/// second stays unused for seconds when processes restart one after another; with 1, changes of
/// holders during report loss exceed the bound on requests.
const INITIAL_LEVEL: f64 = 0.5;

/// A process's share of an endpoint's rate: one request whenever enough time has passed since the
/// last.
///
/// All times are by a clock that keeps running while the machine is suspended. The bucket fills
/// only under a lease: a holder that lost its lease for a while would otherwise send what
/// accumulated in that time in addition to what other processes were granted. What it accumulated
/// before the loss is kept, and the first lease adds half a request.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RateBucket {
    per_s: f64,
    /// Requests that may be sent, as of `filled_at`.
    level: f64,
    filled_at: ClockTime,
    ends_at: ClockTime,
}

impl RateBucket {
    /// Applies a lease of `per_s` requests a second that was requested at `sent_at`.
    pub fn renew(&mut self, per_s: f64, (sent_at, now): (ClockTime, ClockTime)) {
        let is_first = self.ends_at == ClockTime::default();
        self.level = if is_first { INITIAL_LEVEL } else { self.saved(now.min(self.ends_at)) };
        self.filled_at = now;
        self.per_s = per_s;
        self.ends_at = sent_at + ALLOTMENT_LIFETIME;
    }

    /// Drops the lease.
    pub fn end(&mut self) {
        *self = RateBucket::default();
    }

    /// Requests that may be sent under the lease.
    fn level(&self, now: ClockTime) -> f64 {
        if now < self.ends_at { self.saved(now) } else { 0.0 }
    }

    fn saved(&self, now: ClockTime) -> f64 {
        let gained = self.per_s * seconds(now - self.filled_at);
        (self.level + gained).min(1.0 + self.per_s * seconds(BURST_TIME))
    }

    /// Whether a request may be sent now.
    pub fn is_ready(&self, now: ClockTime) -> bool {
        self.level(now) >= 1.0
    }

    /// Takes one request from the bucket if there is one, and returns whether there was.
    pub fn take(&mut self, now: ClockTime) -> bool {
        let is_ready = self.is_ready(now);
        if is_ready {
            self.level = self.level(now) - 1.0;
            self.filled_at = now;
        }
        is_ready
    }

    /// The time until a request may be sent if the lease is renewed; `None` without a lease.
    pub fn ready_in(&self, now: ClockTime) -> Option<TimeSpan> {
        let holds = now < self.ends_at && self.per_s > 0.0;
        let lacks = (1.0 - self.level(now)).max(0.0);
        holds.then(|| TimeSpan((lacks * 1000.0 / self.per_s).ceil() as u64))
    }

    /// The lease's rate in requests a second; `None` without a lease.
    pub fn per_s(&self, now: ClockTime) -> Option<f64> {
        (now < self.ends_at).then_some(self.per_s)
    }
}

fn seconds(span: TimeSpan) -> f64 {
    span.0 as f64 / 1000.0
}

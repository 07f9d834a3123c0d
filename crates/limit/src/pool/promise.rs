//! Announced upper bounds on what a ledger grants.
//!
//! A ledger that dies takes with it the record of what it granted since its last report. It
//! therefore announces an upper bound, called a promise, before it grants up to it, and stays
//! within the bound that every process which recently received a report knows. The next ledger
//! counts that bound as spent.

use super::message::PoolLimit;
use oleander_kind::{ClockTime, TimeSpan};
use std::collections::VecDeque;

/// How long a reported promise can be relied on: a ledger stays within each promise until a later
/// one is this old. A process whose last report is older than this cannot start a ledger from it.
/// The time covers a report period, two late answers and a change of collector.
pub const PROMISE_LIFETIME: TimeSpan = TimeSpan(1200);
/// The interval between two promises: one report period.
const PROMISE_PERIOD: TimeSpan = TimeSpan(250);
/// The factor by which grants may grow from one promise to the next.
const GROWTH_FACTOR: f64 = 2.0;

#[derive(Clone, Copy, Debug)]
struct PromiseMark {
    at: ClockTime,
    /// Tokens granted by then.
    total: f64,
    promise: f64,
}

/// The promises of one account; all values are tokens since the ledger began.
#[derive(Debug)]
pub struct PromiseLog {
    marks: VecDeque<PromiseMark>,
}

/// The least that may be granted from one promise to the next, however little was granted before:
/// the burst that operators allow. A larger value would let an account's demand rise more freely,
/// but would count more as spent after the loss of a ledger.
pub fn min_promise(limit: &PoolLimit) -> f64 {
    limit.burst + limit.rate_per_s * PROMISE_LIFETIME.0 as f64 / 1000.0
}

impl PromiseLog {
    /// Starts with the first promise.
    pub fn begin(limit: &PoolLimit, now: ClockTime) -> Self {
        let first = PromiseMark { at: now, total: 0.0, promise: min_promise(limit) };
        PromiseLog { marks: VecDeque::from([first]) }
    }

    /// Makes the next promise if one is due; `total` tokens are granted by now.
    pub fn renew(&mut self, total: f64, (limit, now): (&PoolLimit, ClockTime)) {
        let (Some(first), Some(last)) = (self.marks.front(), self.marks.back()) else { return };
        if now - last.at < PROMISE_PERIOD {
            return;
        }
        let step = min_promise(limit).max((total - first.total) * GROWTH_FACTOR);
        let promise = last.promise.max(total + step);
        self.marks.push_back(PromiseMark { at: now, total, promise });
        while self.marks.get(1).is_some_and(|mark| now - mark.at >= PROMISE_LIFETIME) {
            self.marks.pop_front();
        }
    }

    /// The promise that the ledger must stay within.
    pub fn binding(&self) -> f64 {
        self.marks.front().map_or(0.0, |mark| mark.promise)
    }

    /// The promise that the ledger announces.
    pub fn reported(&self) -> f64 {
        self.marks.back().map_or(0.0, |mark| mark.promise)
    }
}

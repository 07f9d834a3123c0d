//! Up to how much a ledger may have handed out, as others know it.
//!
//! A ledger that dies takes with it what it handed out since it last told. So it tells beforehand how far it will go, and goes
//! no further than what everybody who heard of it lately was told: the next ledger takes that for spent.

use super::allot::PoolLimit;
use oleander_kind::{ClockTime, TimeSpan};
use std::collections::VecDeque;

/// A promise binds its ledger from this long after it was made. A process that was told less lately can't begin a
/// ledger by it: a report period, two late answers and a turn to the next collector.
pub const TOLD_LASTS: TimeSpan = TimeSpan(1200);
/// Between two promises: a period of reports.
const RENEW_TIME: TimeSpan = TimeSpan(250);
/// How much faster than before it may be handed out.
const STEP_TIMES: f64 = 2.0;

#[derive(Clone, Copy, Debug)]
struct PromiseMark {
    at: ClockTime,
    /// What was handed out by then.
    total: f64,
    promise: f64,
}

/// The promises of one account; all figures are tokens since the ledger began.
#[derive(Debug)]
pub struct PromiseBook {
    marks: VecDeque<PromiseMark>,
}

/// What may be handed out from one promise to the next, however little was before: what the operators let come at once.
/// More would let an account jump more freely, and take more for spent after the loss of a ledger.
pub fn first_promise(limit: &PoolLimit) -> f64 {
    limit.burst + limit.rate_per_s * TOLD_LASTS.0 as f64 / 1000.0
}

impl PromiseBook {
    /// Begins with the first promise.
    pub fn begin(limit: &PoolLimit, now: ClockTime) -> Self {
        let first = PromiseMark { at: now, total: 0.0, promise: first_promise(limit) };
        PromiseBook { marks: VecDeque::from([first]) }
    }

    /// Makes the next promise if it is time; `total` is handed out by now.
    pub fn renew(&mut self, total: f64, (limit, now): (&PoolLimit, ClockTime)) {
        let (Some(first), Some(last)) = (self.marks.front(), self.marks.back()) else { return };
        if now - last.at < RENEW_TIME {
            return;
        }
        let step = first_promise(limit).max((total - first.total) * STEP_TIMES);
        let promise = last.promise.max(total + step);
        self.marks.push_back(PromiseMark { at: now, total, promise });
        while self.marks.get(1).is_some_and(|mark| now - mark.at >= TOLD_LASTS) {
            self.marks.pop_front();
        }
    }

    /// What the ledger keeps to.
    pub fn binding(&self) -> f64 {
        self.marks.front().map_or(0.0, |mark| mark.promise)
    }

    /// What it tells.
    pub fn told(&self) -> f64 {
        self.marks.back().map_or(0.0, |mark| mark.promise)
    }
}

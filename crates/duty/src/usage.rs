//! Usage by window of true time.

use oleander_kind::{AccountName, ClockTime, TimeSpan};
use std::collections::BTreeMap;

/// How long after a window's end its counts are taken to be complete: a few reporting periods of
/// 250 ms, and the time that the last plain request of the window takes.
const SETTLE_TIME: TimeSpan = TimeSpan(1500);
/// How long a member that has not reported since the window's end is waited for, as a part of the
/// time until the report is due. What is left is for lost answers and a change of holder.
const WAIT_PART: f64 = 0.45;
/// Windows that a process keeps if nobody reports them. Two times what can still be reported.
const MOST_WINDOWS: usize = 8;

/// Number of the window that `time` lies in.
pub fn window_of(time: ClockTime, length: TimeSpan) -> u64 {
    time.0 / length.0.max(1)
}

/// What one process counted.
#[derive(Debug)]
pub struct UsageBook {
    length: TimeSpan,
    counts: BTreeMap<u64, BTreeMap<AccountName, u64>>,
}

impl UsageBook {
    /// An empty book of windows of `length`.
    pub fn new(length: TimeSpan) -> Self {
        UsageBook { length, counts: BTreeMap::new() }
    }

    /// Counts a request of `account` that began to run at the true time `at`.
    pub fn note(&mut self, account: &AccountName, at: ClockTime) {
        let window = self.counts.entry(window_of(at, self.length)).or_default();
        *window.entry(account.clone()).or_insert(0) += 1;
        while self.counts.len() > MOST_WINDOWS {
            self.counts.pop_first();
        }
    }

    /// Forgets windows up to `window`: they are reported.
    pub fn forget(&mut self, window: u64) {
        self.counts.retain(|known, _| *known > window);
    }

    /// All counts.
    pub fn counts(&self) -> impl Iterator<Item = (u64, &AccountName, u64)> {
        self.counts.iter().flat_map(|(window, accounts)| {
            accounts.iter().map(|(account, count)| (*window, account, *count))
        })
    }
}

/// What the holder of the duty does next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UsageStep {
    /// Nothing yet.
    Wait,
    /// Fix the report of this window in the store, then send it.
    Report(u64),
}

/// Which windows are reported.
#[derive(Clone, Debug)]
pub struct UsageDuty {
    length: TimeSpan,
    due: TimeSpan,
    reported: u64,
}

impl UsageDuty {
    /// A duty that begins at the true time `now`. Windows whose report would come too late by then
    /// are left out.
    pub fn begin(length: TimeSpan, due: TimeSpan, now: ClockTime) -> Self {
        let oldest = window_of(now - due, length);
        UsageDuty { length, due, reported: oldest.saturating_sub(1) }
    }

    /// Windows up to this number are reported, or too old for it.
    pub fn reported(&self) -> u64 {
        self.reported
    }

    /// The end of a window.
    pub fn end_of(&self, window: u64) -> ClockTime {
        ClockTime((window + 1) * self.length.0)
    }

    /// What to do at the true time `now`. `complete` says whether every member has reported since
    /// the end of a window.
    pub fn next(&self, now: ClockTime, complete: impl Fn(ClockTime) -> bool) -> UsageStep {
        let window = self.reported + 1;
        let end = self.end_of(window);
        let settled = end + SETTLE_TIME;
        let latest = end + TimeSpan((self.due.0 as f64 * WAIT_PART) as u64);
        if now < settled || (now < latest && !complete(settled)) {
            return UsageStep::Wait;
        }
        UsageStep::Report(window)
    }

    /// Notes that a window is reported, or that nothing can be done for it any more.
    pub fn done(&mut self, window: u64) {
        self.reported = self.reported.max(window);
    }

    /// Whether a report of `window` would come too late.
    pub fn is_late(&self, window: u64, now: ClockTime) -> bool {
        now > self.end_of(window) + self.due
    }
}

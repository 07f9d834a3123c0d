//! Usage counts, by windows of true time.

use oleander_kind::{AccountName, ClockTime, TimeSpan};
use std::collections::BTreeMap;

/// How long after a window's end its counts are assumed to be complete: a few report periods of 250
/// ms, and the duration of the last plain request of the window.
const SETTLE_TIME: TimeSpan = TimeSpan(1500);
/// How long to wait for a member that has not reported since the window's end, as a fraction of the
/// time until the report is due. The rest is for lost answers and a change of the duty holder.
const WAIT_PART: f64 = 0.45;
/// The number of windows that a process keeps if nobody reports them: twice the number that can
/// still be reported.
const MAX_WINDOWS: usize = 8;

/// The number of the window that contains `time`.
pub fn window_of(time: ClockTime, length: TimeSpan) -> u64 {
    time.0 / length.0.max(1)
}

/// Usage counted by one process.
#[derive(Debug)]
pub struct UsageCounter {
    length: TimeSpan,
    counts: BTreeMap<u64, BTreeMap<AccountName, u64>>,
}

impl UsageCounter {
    /// Creates empty counts for windows of `length`.
    pub fn new(length: TimeSpan) -> Self {
        UsageCounter { length, counts: BTreeMap::new() }
    }

    /// Counts a request of `account` that began to run at the true time `at`.
    pub fn note(&mut self, account: &AccountName, at: ClockTime) {
        let window = self.counts.entry(window_of(at, self.length)).or_default();
        *window.entry(account.clone()).or_insert(0) += 1;
        while self.counts.len() > MAX_WINDOWS {
            self.counts.pop_first();
        }
    }

    /// Drops windows up to `window`, which are reported.
    pub fn forget(&mut self, window: u64) {
        self.counts.retain(|known, _| *known > window);
    }

    /// All counts, with their window and account.
    pub fn counts(&self) -> impl Iterator<Item = (u64, &AccountName, u64)> {
        self.counts.iter().flat_map(|(window, accounts)| {
            accounts.iter().map(|(account, count)| (*window, account, *count))
        })
    }
}

/// The next step of the duty holder.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum UsageStep {
    /// Nothing is due yet.
    Wait,
    /// Write the report of this window to the store, then send it.
    Report(u64),
}

/// Tracks which windows are reported.
#[derive(Clone, Debug)]
pub struct UsageReporter {
    length: TimeSpan,
    due: TimeSpan,
    /// Windows up to this number are reported, or too old to be.
    reported: u64,
}

impl UsageReporter {
    /// Starts at the true time `now`. Windows whose report would be past its due time by then are
    /// skipped.
    pub fn begin(length: TimeSpan, due: TimeSpan, now: ClockTime) -> Self {
        let oldest = window_of(now - due, length);
        UsageReporter { length, due, reported: oldest.saturating_sub(1) }
    }

    /// Windows up to this number are reported, or too old to be.
    pub fn reported(&self) -> u64 {
        self.reported
    }

    /// The end of a window.
    pub fn end_of(&self, window: u64) -> ClockTime {
        ClockTime((window + 1) * self.length.0)
    }

    /// The next step at the true time `now`. `complete` tells whether every member has reported
    /// since the given time.
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

    /// Records that a window is reported, or can no longer be.
    pub fn done(&mut self, window: u64) {
        self.reported = self.reported.max(window);
    }

    /// Whether a process that knows no counts of `window` at the true time `now`, and has collected them since
    /// `since`, may merely not have received them yet: what the collector before it had counted comes with the first
    /// reports of the process that has it.
    pub fn may_lack_counts(
        &self,
        window: u64,
        (since, now): (ClockTime, ClockTime),
        has_counts: bool,
    ) -> bool {
        /// Several report periods, and the time in which two collectors find each other.
        const ARRIVAL_TIME: TimeSpan = TimeSpan(2000);
        !has_counts && since > self.end_of(window) && now - since < ARRIVAL_TIME
    }

    /// Whether a report of `window` would be past its due time.
    pub fn is_late(&self, window: u64, now: ClockTime) -> bool {
        now > self.end_of(window) + self.due
    }
}

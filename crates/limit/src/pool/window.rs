//! Tokens spent over a sliding window.

use oleander_kind::{ClockTime, TimeSpan};
use std::collections::VecDeque;

/// The length of a slot; spending is aggregated per slot.
const SLOT_TIME: TimeSpan = TimeSpan(250);

#[derive(Clone, Copy, Debug)]
struct SpendSlot {
    began_at: ClockTime,
    /// The time of the last spending in the slot. The slot stays in the window until this time has
    /// left it, so that no tokens leave early.
    at: ClockTime,
    tokens: f64,
}

/// Tokens spent, in slots ordered from the oldest.
#[derive(Clone, Debug, Default)]
pub struct SpendWindow {
    slots: VecDeque<SpendSlot>,
    sum: f64,
}

impl SpendWindow {
    /// Counts `tokens` that were spent at `at` or earlier.
    pub fn spend(&mut self, tokens: f64, at: ClockTime) {
        if tokens <= 0.0 {
            return;
        }
        self.sum += tokens;
        let place = self.slots.partition_point(|slot| slot.at <= at);
        let last = self.slots.back_mut().filter(|slot| at - slot.began_at < SLOT_TIME);
        match last {
            Some(slot) if slot.at <= at => {
                slot.at = at;
                slot.tokens += tokens;
            }
            _ => self.slots.insert(place, SpendSlot { began_at: at, at, tokens }),
        }
    }

    /// Removes tokens that were counted at `at` and turned out not to be spent.
    pub fn take_back(&mut self, tokens: f64, at: ClockTime) {
        if let Some(slot) = self.slots.iter_mut().find(|slot| slot.at >= at) {
            let taken = tokens.min(slot.tokens);
            slot.tokens -= taken;
            self.sum -= taken;
        }
    }

    /// Drops slots whose last spending was before `before`.
    pub fn forget(&mut self, before: ClockTime) {
        while self.slots.front().is_some_and(|slot| slot.at < before) {
            self.slots.pop_front();
        }
        self.sum = self.slots.iter().map(|slot| slot.tokens).sum();
    }

    /// The sum of all tokens in the window.
    pub fn sum(&self) -> f64 {
        self.sum
    }

    /// The time until `tokens` have left a window of `length`; at most the whole window.
    pub fn freed_in(&self, tokens: f64, (length, now): (TimeSpan, ClockTime)) -> TimeSpan {
        let mut freed = 0.0;
        let enough = self.slots.iter().find(|slot| {
            freed += slot.tokens;
            freed >= tokens
        });
        enough.map_or(length, |slot| slot.at + length - now)
    }

    /// Tokens spent in each second before `now`, the last second first, for `seconds` seconds.
    pub fn by_second(&self, now: ClockTime, seconds: usize) -> Vec<u32> {
        let mut sums = vec![0.0; seconds];
        for slot in &self.slots {
            let back = (now - slot.at).0 as usize / 1000;
            if let Some(sum) = sums.get_mut(back) {
                *sum += slot.tokens;
            }
        }
        sums.into_iter().map(|sum| sum.ceil() as u32).collect()
    }
}

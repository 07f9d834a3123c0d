//! Attempts that broke, until it is known whether their endpoints ended.

use crate::print::RequestPrint;
use crate::record::EndedLife;
use oleander_kind::{ClockTime, TimeSpan};
use std::collections::VecDeque;

/// How long an attempt that broke and the news that its endpoint ended may lie apart: an entry lapses after
/// three heartbeats of 1.2 s.
const TOGETHER: TimeSpan = TimeSpan(4000);
/// Between two looks at one endpoint: each costs it a connection, and all that broke with it in one moment
/// need one look.
const LOOK_PAUSE: TimeSpan = TimeSpan(500);
/// Attempts and ends that are remembered: what all endpoints of a large service run at once.
const MOST_KEPT: usize = 1024;

#[derive(Clone, Debug)]
struct BrokenRun {
    print: RequestPrint,
    life: EndedLife,
    at: ClockTime,
}

/// Attempts of this process that broke, and endpoints that ended a moment ago.
///
/// Connections break for many reasons, most of them the endpoint's or the network's own. An attempt counts
/// against its request only if the endpoint ended: its port is closed, its entry lapsed, or its next
/// life began.
#[derive(Debug, Default)]
pub struct EndWatch {
    broken: VecDeque<BrokenRun>,
    ended: VecDeque<(EndedLife, ClockTime)>,
    looked: VecDeque<(EndedLife, ClockTime)>,
}

impl EndWatch {
    /// Notes that an attempt at `life` broke; says whether that life is known to have ended.
    pub fn note_broken(&mut self, print: RequestPrint, life: &EndedLife, at: ClockTime) -> bool {
        self.sweep(at);
        if self.ended.iter().any(|(ended, _)| ended == life) {
            return true;
        }
        push_bounded(&mut self.broken, BrokenRun { print, life: life.clone(), at });
        false
    }

    /// Notes that `life` ended; gives the requests whose attempts broke there, and when.
    pub fn note_ended(
        &mut self,
        life: &EndedLife,
        now: ClockTime,
    ) -> Vec<(RequestPrint, ClockTime)> {
        self.sweep(now);
        if self.ended.iter().all(|(ended, _)| ended != life) {
            push_bounded(&mut self.ended, (life.clone(), now));
        }
        let is_under = |broken: &BrokenRun| broken.life == *life;
        let (under, others): (VecDeque<_>, _) = self.broken.drain(..).partition(is_under);
        self.broken = others;
        under.into_iter().map(|broken| (broken.print, broken.at)).collect()
    }

    /// Whether somebody should look whether `life` has ended; no if somebody did a moment ago.
    pub fn begin_look(&mut self, life: &EndedLife, now: ClockTime) -> bool {
        self.looked.retain(|(_, at)| now - *at < LOOK_PAUSE);
        let looks = self.looked.iter().all(|(looked, _)| looked != life);
        if looks {
            push_bounded(&mut self.looked, (life.clone(), now));
        }
        looks
    }

    fn sweep(&mut self, now: ClockTime) {
        self.broken.retain(|broken| now - broken.at < TOGETHER);
        self.ended.retain(|(_, at)| now - *at < TOGETHER);
    }
}

fn push_bounded<T>(queue: &mut VecDeque<T>, item: T) {
    if queue.len() >= MOST_KEPT {
        queue.pop_front();
    }
    queue.push_back(item);
}

//! Attempts that broke, until it is known whether their endpoints ended.

use crate::print::RequestPrint;
use crate::record::{EndedLife, RequestEnd};
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
    end: RequestEnd,
}

/// When what happened to an attempt that broke.
#[derive(Clone, Copy, Debug)]
pub struct BrokenTimes {
    /// When it was sent.
    pub sent_at: ClockTime,
    /// When its endpoint last gave a whole answer here: what broke there before was not its end.
    pub lived_at: ClockTime,
    /// When it broke.
    pub at: ClockTime,
}

/// What an attempt that broke says of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BrokenMark {
    /// Its endpoint is known to have ended: the request ran there.
    Ended,
    /// Nothing until the endpoint is known to have ended.
    Open,
    /// Nothing: something had broken there before it was sent. Requests that are sent to an endpoint that has
    /// ended break as well, and none of them ended it.
    Late,
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
    /// Notes that an attempt at `life` broke.
    pub fn note_broken(
        &mut self,
        print: RequestPrint,
        life: &EndedLife,
        times: BrokenTimes,
    ) -> BrokenMark {
        let BrokenTimes { sent_at, lived_at, at } = times;
        self.sweep(at);
        let before = |end: &RequestEnd| lived_at < end.at && end.at < sent_at;
        let was_broken = |broken: &BrokenRun| broken.end.life == *life && before(&broken.end);
        let was_ended = |(ended, since): &(EndedLife, ClockTime)| ended == life && *since < sent_at;
        if self.broken.iter().any(was_broken) || self.ended.iter().any(was_ended) {
            return BrokenMark::Late;
        }
        if self.ended.iter().any(|(ended, _)| ended == life) {
            return BrokenMark::Ended;
        }
        let end = RequestEnd { life: life.clone(), at, ran: at - sent_at };
        push_bounded(&mut self.broken, BrokenRun { print, end });
        BrokenMark::Open
    }

    /// Notes that `life` ended; gives the requests whose attempts broke there.
    pub fn note_ended(
        &mut self,
        life: &EndedLife,
        now: ClockTime,
    ) -> Vec<(RequestPrint, RequestEnd)> {
        self.sweep(now);
        if self.ended.iter().all(|(ended, _)| ended != life) {
            push_bounded(&mut self.ended, (life.clone(), now));
        }
        let is_under = |broken: &BrokenRun| broken.end.life == *life;
        let (under, others): (VecDeque<_>, _) = self.broken.drain(..).partition(is_under);
        self.broken = others;
        under.into_iter().map(|broken| (broken.print, broken.end)).collect()
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
        self.broken.retain(|broken| now - broken.end.at < TOGETHER);
        self.ended.retain(|(_, at)| now - *at < TOGETHER);
    }
}

fn push_bounded<T>(queue: &mut VecDeque<T>, item: T) {
    if queue.len() >= MOST_KEPT {
        queue.pop_front();
    }
    queue.push_back(item);
}

//! What an endpoint said of itself in its answers.

use crate::board::EndpointFact;
use oleander_kind::{ClockTime, InstanceId, RequestRate, TimeSpan};
use oleander_limit::RateBucket;
use std::collections::VecDeque;

/// What an endpoint said of itself in this life.
///
/// `lease_now` is the time by the clock of leases: a rest and a lease end while the machine is suspended.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct OwnWords {
    /// The limit that it named for itself, or that it names none any more.
    pub limit: LimitWord,
    /// This process's part of that limit.
    pub bucket: RateBucket,
    /// Whether it leaves.
    pub leaves: bool,
    /// Until when it wants no request of this process.
    pub rests_until: ClockTime,
}

impl OwnWords {
    /// Whether it lets this process send it a request.
    pub fn is_open(&self, lease_now: ClockTime) -> bool {
        let has_turn = self.limit.rate.is_none() || self.bucket.is_ready(lease_now);
        has_turn && lease_now >= self.rests_until
    }

    /// In how long it lets this process send it a request, if not now.
    pub fn opens_in(&self, lease_now: ClockTime) -> Option<TimeSpan> {
        let turn_in = self.turn_in(lease_now).unwrap_or_default();
        (!self.is_open(lease_now)).then(|| turn_in.max(self.rests_until - lease_now))
    }

    /// In how long its limit lets a request of this process in. Without a part of that, it is when it takes the next one of
    /// any process.
    fn turn_in(&self, lease_now: ClockTime) -> Option<TimeSpan> {
        let rate = self.limit.rate?;
        let any = || TimeSpan((1000.0 / rate.per_s()).ceil() as u64);
        Some(self.bucket.ready_in(lease_now).unwrap_or_else(any))
    }

    /// Takes the request that it may be sent now; says whether it may.
    pub fn take_turn(&mut self, lease_now: ClockTime) -> bool {
        self.is_open(lease_now) && (self.limit.rate.is_none() || self.bucket.take(lease_now))
    }

    /// Whether it ever said something that all processes are to know.
    pub fn is_shared(&self) -> bool {
        self.leaves || self.limit.asked_at > ClockTime(0)
    }
}

/// Lives whose words are kept, as many as there are: a wave of a large fleet, and the one before.
const MOST_KEPT: usize = 1024;

/// What endpoints said that are not listed; the oldest first. The list may lose an entry and bring it back, and the word of a
/// new endpoint may come before its entry.
#[derive(Debug, Default)]
pub(crate) struct KeptWords(VecDeque<(InstanceId, u64, OwnWords)>);

impl KeptWords {
    /// Keeps what an endpoint said whose entry is gone.
    pub(crate) fn put(&mut self, fact: &EndpointFact) {
        if fact.said != OwnWords::default() {
            *self.of(&fact.entry.instance, fact.entry.life) = fact.said;
        }
    }

    /// What the life of `instance` said that began at `life`, which is listed again.
    pub(crate) fn take(&mut self, instance: &InstanceId, life: u64) -> OwnWords {
        let place = self.place(instance, life).and_then(|at| self.0.remove(at));
        place.map(|(_, _, said)| said).unwrap_or_default()
    }

    /// The same of one that is not listed, for change.
    pub(crate) fn of(&mut self, instance: &InstanceId, life: u64) -> &mut OwnWords {
        let at = self.place(instance, life).unwrap_or_else(|| {
            if self.0.len() >= MOST_KEPT {
                self.0.pop_front();
            }
            self.0.push_back((instance.clone(), life, OwnWords::default()));
            self.0.len() - 1
        });
        &mut self.0[at].2
    }

    fn place(&self, instance: &InstanceId, life: u64) -> Option<usize> {
        self.0.iter().position(|(other, lived, _)| other == instance && *lived == life)
    }
}

/// How many requests a second an endpoint takes from all processes together, as an answer of it said.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LimitWord {
    /// The rate; none if the answer named no limit.
    pub rate: Option<RequestRate>,
    /// When the request was sent that was answered so. Answers overtake one another; of two the one whose request
    /// was sent later is the newer.
    pub asked_at: ClockTime,
}

impl LimitWord {
    /// Whether this word takes the place of `known`: it is newer, or of the same moment and stricter.
    pub fn replaces(&self, known: &LimitWord) -> bool {
        let stricter = match (self.rate, known.rate) {
            (Some(rate), Some(known)) => rate < known,
            (rate, known) => rate.is_some() && known.is_none(),
        };
        self.asked_at > known.asked_at || (self.asked_at == known.asked_at && stricter)
    }
}

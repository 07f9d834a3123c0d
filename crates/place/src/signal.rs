//! Signals that an endpoint sends about itself in its answers: rate limit, backoff and leaving.

use crate::board::EndpointFact;
use crate::brittle::{BrittleSignal, RoomWindow};
use oleander_kind::{ClockTime, InstanceId, RequestRate, TimeSpan};
use oleander_limit::RateBucket;
use std::collections::VecDeque;

/// The signals of one incarnation of an endpoint.
///
/// `lease_now` is the time by the lease clock: backoffs and leases must expire while the machine is
/// suspended.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct EndpointSignals {
    /// The rate limit that it declared, or that it declares none any more.
    pub limit: RateSignal,
    /// This process's share of that limit.
    pub bucket: RateBucket,
    /// Whether it is leaving.
    pub leaves: bool,
    /// Until when it asked this process to send no request.
    pub backoff_until: ClockTime,
    /// Whether it declared that it is brittle, or that it is not any more.
    pub brittle: BrittleSignal,
    /// The requests that it has room for while it is brittle.
    pub room: RoomWindow,
}

impl EndpointSignals {
    /// Whether its signals allow this process to send it a request.
    pub fn is_available(&self, lease_now: ClockTime) -> bool {
        let is_under_limit = self.limit.rate.is_none() || self.bucket.is_ready(lease_now);
        is_under_limit && lease_now >= self.backoff_until
    }

    /// The time until its signals allow this process to send it a request, if they do not now.
    pub fn available_in(&self, lease_now: ClockTime) -> Option<TimeSpan> {
        let limit_wait = self.limit_wait(lease_now).unwrap_or_default();
        (!self.is_available(lease_now)).then(|| limit_wait.max(self.backoff_until - lease_now))
    }

    /// The time until its rate limit allows a request of this process. Without a share of the
    /// limit, that is the interval between two requests of all processes.
    fn limit_wait(&self, lease_now: ClockTime) -> Option<TimeSpan> {
        let rate = self.limit.rate?;
        let any = || TimeSpan((1000.0 / rate.per_s()).ceil() as u64);
        Some(self.bucket.ready_in(lease_now).unwrap_or_else(any))
    }

    /// Takes permission to send it one request now; returns whether that is allowed.
    pub fn try_acquire(&mut self, lease_now: ClockTime) -> bool {
        self.is_available(lease_now) && (self.limit.rate.is_none() || self.bucket.take(lease_now))
    }

    /// Whether it ever sent a signal that all processes must know.
    pub fn is_shared(&self) -> bool {
        let has_limit = self.limit.asked_at > ClockTime(0);
        self.leaves || has_limit || self.has_declared_brittle()
    }

    /// Whether it declared whether it is brittle.
    pub fn has_declared_brittle(&self) -> bool {
        self.brittle.asked_at > ClockTime(0) && !self.brittle.is_presumed
    }
}

/// The most incarnations whose signals are kept: those of two successive waves of a large fleet.
const MAX_CACHED: usize = 1024;

/// Signals of endpoints that are not listed, the oldest first. The list may lose an entry and bring
/// it back, and the signal of a new endpoint may arrive before its entry.
#[derive(Debug, Default)]
pub(crate) struct SignalCache(VecDeque<(InstanceId, u64, EndpointSignals)>);

impl SignalCache {
    /// Keeps the signals of an endpoint whose entry was removed.
    pub(crate) fn put(&mut self, fact: &EndpointFact) {
        if fact.declared != EndpointSignals::default() {
            *self.of(&fact.entry.instance, fact.entry.life) = fact.declared;
        }
    }

    /// Takes the signals of an incarnation of `instance` that is listed again.
    pub(crate) fn take(&mut self, instance: &InstanceId, incarnation: u64) -> EndpointSignals {
        let place = self.place(instance, incarnation).and_then(|at| self.0.remove(at));
        place.map(|(_, _, declared)| declared).unwrap_or_default()
    }

    /// The mutable signals of an incarnation that is not listed.
    pub(crate) fn of(&mut self, instance: &InstanceId, incarnation: u64) -> &mut EndpointSignals {
        let at = self.place(instance, incarnation).unwrap_or_else(|| {
            if self.0.len() >= MAX_CACHED {
                self.0.pop_front();
            }
            self.0.push_back((instance.clone(), incarnation, EndpointSignals::default()));
            self.0.len() - 1
        });
        &mut self.0[at].2
    }

    fn place(&self, instance: &InstanceId, incarnation: u64) -> Option<usize> {
        self.0.iter().position(|(other, known, _)| other == instance && *known == incarnation)
    }
}

/// The number of requests a second that an endpoint accepts from all processes together, as
/// declared in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RateSignal {
    /// The rate; `None` if the answer declared no limit.
    pub rate: Option<RequestRate>,
    /// When the request was sent whose answer declared it. Answers may arrive out of order; of two
    /// signals the one whose request was sent later is the newer.
    pub asked_at: ClockTime,
}

impl RateSignal {
    /// Whether this signal replaces `known`: it is newer, or equally old and stricter.
    pub fn replaces(&self, known: &RateSignal) -> bool {
        let stricter = match (self.rate, known.rate) {
            (Some(rate), Some(known)) => rate < known,
            (rate, known) => rate.is_some() && known.is_none(),
        };
        self.asked_at > known.asked_at || (self.asked_at == known.asked_at && stricter)
    }
}

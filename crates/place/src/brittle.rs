//! Room at brittle endpoints.
//!
//! A brittle endpoint ends if it has to turn away more than a few requests a second for want of room,
//! counting those of all processes. Refusals must therefore not be the way to find out that it is full.
//! All processes together keep their requests at it within a window. The window is divided into permits,
//! and each process works out by itself which of them it holds, from the members that all know: what a
//! process does within its permits needs no news of the others. If there are few permits for each process,
//! some of them hold all, the senders of the service, and the others relay their requests to these: a permit
//! is of use only where a request is.
//!
//! Being brittle is a state of a service, and each of its endpoints declares it in its answers. An endpoint that
//! has not been heard since another one declared it is presumed to be brittle: it looks empty to all processes,
//! which would otherwise fill it at once.

use oleander_kind::{ClockTime, TimeSpan};

/// How long an endpoint that refused a request for want of room gets no further one from a process that
/// knows of it: as long as the operators count refusals.
const REFUSAL_PAUSE: TimeSpan = TimeSpan(1000);
/// How long a window that was reduced stays as it is, and then grows by a request.
const GROWTH_PERIOD: TimeSpan = TimeSpan(1500);
/// The part of a window that is left after a refusal, in quarters.
const KEPT_QUARTERS: u32 = 3;

/// Permits of a sender at all endpoints of a service together. With so many, requests that come at random rarely
/// find those of two senders in use while the service is not overloaded.
const PERMITS_PER_SENDER: u32 = 4;

/// The number of processes, of `members`, that send to the brittle endpoints of a service, which run `slots` requests
/// at once.
pub fn sender_count(slots: u32, members: usize) -> usize {
    ((slots / PERMITS_PER_SENDER) as usize).clamp(1, members.max(1))
}

/// Whether an endpoint is brittle, as declared in an answer.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct BrittleSignal {
    /// The refusals a second for want of room that it survives; `None` if it is not brittle.
    pub refusals: Option<u32>,
    /// When the request was sent whose answer declared it. Of two signals the later one is the newer.
    pub asked_at: ClockTime,
    /// Whether another endpoint of the service declared it.
    pub is_presumed: bool,
}

impl BrittleSignal {
    /// Whether this signal replaces `known`: it is newer, or equally old and stricter.
    pub fn replaces(&self, known: &BrittleSignal) -> bool {
        let is_stricter = self.refusals.is_some() && known.refusals.is_none();
        self.asked_at > known.asked_at || (self.asked_at == known.asked_at && is_stricter)
    }
}

/// What endpoints of a service declared that is presumed of one that nobody has heard.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct BrittleRecord {
    /// The last signal of a brittle one.
    signal: BrittleSignal,
    /// The window of the one that refused a request last.
    room: RoomWindow,
    /// When the last brittle one had left the list; `None` if one is listed, or was a moment ago.
    left_at: Option<ClockTime>,
}

impl BrittleRecord {
    /// Adds what a brittle endpoint declared that is listed, or leaves the list now.
    pub(crate) fn add(&mut self, signal: BrittleSignal, room: RoomWindow) {
        if signal.refusals.is_some() && signal.asked_at >= self.signal.asked_at {
            self.signal = signal;
        }
        self.room.merge(RoomWindow { is_presumed: false, ..room });
        self.left_at = None;
    }

    /// Updates the time since when no brittle endpoint is listed. Returns whether the record is still valid.
    pub(crate) fn expire(&mut self, now: ClockTime) -> bool {
        /// Longer than all endpoints of a service are gone after they fell over together.
        const VALID_TIME: TimeSpan = TimeSpan(60_000);
        now - *self.left_at.get_or_insert(now) < VALID_TIME
    }

    /// The signal and the window that are presumed; `None` if no endpoint was brittle.
    pub(crate) fn presumption(&self) -> Option<(BrittleSignal, RoomWindow)> {
        self.signal.refusals?;
        let signal = BrittleSignal { is_presumed: true, ..self.signal };
        Some((signal, RoomWindow { is_presumed: true, ..self.room }))
    }
}

/// The requests that a brittle endpoint is assumed to have room for.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RoomWindow {
    /// The window after the last refusal; `None` if it refused none for want of room.
    pub reduced: Option<u32>,
    /// When that refusal came.
    pub refused_at: ClockTime,
    /// Whether another endpoint of the service refused it.
    pub is_presumed: bool,
}

impl RoomWindow {
    /// Records that the endpoint, which runs `slots` requests at once, refused one for want of room.
    pub fn note_refusal(&mut self, slots: u32, now: ClockTime) {
        let kept = (self.current(slots, now) * KEPT_QUARTERS / 4).max(1);
        *self = RoomWindow { reduced: Some(kept), refused_at: now, is_presumed: false };
    }

    /// Applies what another process knows; returns whether that is news. The later refusal counts, and any rather than
    /// one of another endpoint.
    pub fn merge(&mut self, other: RoomWindow) -> bool {
        let is_later = other.reduced != self.reduced && other.refused_at > self.refused_at;
        let is_news = other.reduced.is_some() && (self.is_presumed || is_later);
        if is_news {
            *self = other;
        }
        is_news
    }

    /// The window now, of an endpoint that runs `slots` requests at once. None may wait: how many can
    /// is not known.
    pub fn current(&self, slots: u32, now: ClockTime) -> u32 {
        let Some(reduced) = self.reduced else { return slots };
        let grown = (now - self.refused_at).0 / GROWTH_PERIOD.0;
        slots.min(reduced.saturating_add(grown.try_into().unwrap_or(u32::MAX)))
    }

    /// Whether the endpoint itself refused a request, at most `time` ago.
    pub(crate) fn has_refused(&self, time: TimeSpan, now: ClockTime) -> bool {
        self.reduced.is_some() && !self.is_presumed && now - self.refused_at < time
    }

    /// How much longer the endpoint gets no request because it refused one.
    pub fn pause_left(&self, now: ClockTime) -> TimeSpan {
        match self.reduced {
            Some(_) => (self.refused_at + REFUSAL_PAUSE) - now,
            None => TimeSpan(0),
        }
    }
}

/// A process's place among the senders that share an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoomShare {
    /// The number of senders that come before it; `None` if it is none.
    pub rank: Option<u32>,
    /// The number of senders.
    pub senders: u32,
    /// Requests that fit into the endpoint's memory; `None` if memory does not bound them.
    pub memory_bound: Option<u32>,
}

impl RoomShare {
    /// The place of the process with `own` weight, `None` if it is no sender, among the `other` senders.
    pub fn among(own: Option<u64>, others: impl Iterator<Item = u64>) -> Self {
        let (before, others) = others.fold((0, 0), |(before, count), other| {
            (before + u32::from(own.is_some_and(|own| other > own)), count + 1)
        });
        let senders = others + u32::from(own.is_some());
        RoomShare { rank: own.map(|_| before), senders, memory_bound: None }
    }

    /// The requests that an endpoint with `slots` runs at once.
    pub fn running_at_once(&self, slots: u32) -> u32 {
        self.memory_bound.map_or(slots, |bound| slots.min(bound))
    }

    /// The requests that the process may have at the endpoint at once, whatever the others do. Those of
    /// all processes add up to `window`.
    pub fn permits(&self, window: u32) -> u32 {
        let part = |rank| window / self.senders + u32::from(rank < window % self.senders);
        self.rank.map_or(0, part)
    }
}

/// The requests at a brittle endpoint, as one process knows them.
#[derive(Clone, Copy, Debug)]
pub struct RoomUse {
    /// Requests of this process.
    pub own: u32,
    /// Requests of the other processes, by their last reports.
    pub others: u32,
    /// The requests that it has room for.
    pub window: u32,
    /// This process's place among those that share it; `None` before it is known.
    pub share: Option<RoomShare>,
    /// The permits that it had before its share changed, if others may not know of the change yet.
    pub former_permits: Option<u32>,
}

impl RoomUse {
    /// The requests that this process may have there at once.
    pub fn permits(&self) -> u32 {
        let permits = self.share.map_or(0, |share| share.permits(self.window));
        self.former_permits.map_or(permits, |former| permits.min(former))
    }

    /// Whether the endpoint has room, by the last reports.
    pub fn is_free(&self) -> bool {
        self.own + self.others < self.window
    }

    /// Whether this process may send one more request.
    pub fn has_room(&self) -> bool {
        self.is_free() && self.own < self.permits()
    }
}

//! Whether the room of a service is short.

use oleander_kind::{ClockTime, TimeSpan};

/// The part of the places in use, in the mean of a second, from which on room is short. Beyond it, requests
/// that are spread without knowing of one another wait at one endpoint while another has places left, for longer
/// than a relayed request takes more.
const SHORT_FROM: f64 = 0.75;
/// The part at which it no longer is.
const AMPLE_BELOW: f64 = 0.5;
/// How long room has to be ample before requests are sent by all processes again. Demand that comes in waves
/// would otherwise switch back and forth.
const AMPLE_TIME: TimeSpan = TimeSpan(5000);
/// The half-life of what is averaged: two reports of the other processes.
const HALF_LIFE: TimeSpan = TimeSpan(500);

/// The use of a service's room at one moment, as a process knows it.
#[derive(Clone, Copy, Debug)]
pub struct RoomSample {
    /// Requests that its endpoints run at once.
    pub places: u32,
    /// Requests of all processes there.
    pub requests: u32,
    /// The processes that send to it.
    pub processes: u32,
}

/// Whether the room of a service is short, by the samples so far.
#[derive(Clone, Copy, Debug, Default)]
pub struct ShortRoom {
    used: f64,
    noted_at: ClockTime,
    /// Since when little of the room was used; `None` while it is not.
    ample_since: Option<ClockTime>,
    is_short: bool,
}

impl ShortRoom {
    /// Adds a sample; returns whether room is short. A service that has a place for each process is never
    /// short of it in this sense: what a process knows of its own requests is then enough.
    pub fn note(&mut self, sample: RoomSample, now: ClockTime) -> bool {
        let is_shared = sample.places > 0 && sample.places < sample.processes;
        if !is_shared {
            *self = ShortRoom::default();
            return false;
        }
        let kept = (now - self.noted_at).decay_factor(HALF_LIFE);
        let used = f64::from(sample.requests) / f64::from(sample.places);
        self.used = self.used * kept + used * (1.0 - kept);
        self.noted_at = now;
        if self.used >= AMPLE_BELOW {
            self.ample_since = None;
        } else if self.is_short {
            let since = *self.ample_since.get_or_insert(now);
            self.is_short = now - since < AMPLE_TIME;
        }
        self.is_short |= self.used >= SHORT_FROM;
        self.is_short
    }

    /// Whether room is short by the last sample.
    pub fn is_short(&self) -> bool {
        self.is_short
    }

    /// The part of the places in use, in the mean.
    pub fn used(&self) -> f64 {
        self.used
    }
}

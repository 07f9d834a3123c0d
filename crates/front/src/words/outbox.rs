//! Tracks the endpoint signals that the collector may not have received yet.

use oleander_kind::RequestRate;
use oleander_place::EndpointKey;
use std::collections::HashSet;

/// The latest signals of an endpoint that all processes need to know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SignalState {
    /// Its rate limit, if it has one.
    pub limit: Option<RequestRate>,
    /// Whether it is leaving.
    pub leaves: bool,
    /// The refusals a second at which it falls over, if it is brittle.
    pub brittle: Option<u32>,
    /// The requests that it is assumed to have room for since it refused one.
    pub window: Option<u32>,
}

/// Endpoints whose signals have to be reported, kept until a report that carried them was answered.
#[derive(Default)]
pub struct SignalOutbox {
    pending: HashSet<EndpointKey>,
    in_flight: Vec<(EndpointKey, Option<SignalState>)>,
}

impl SignalOutbox {
    /// Adds an endpoint whose signals changed.
    pub fn add(&mut self, key: EndpointKey) {
        self.pending.insert(key);
    }

    /// Starts a report; returns the endpoints to include. `state_of` returns the current signals of
    /// an endpoint.
    pub fn next_reported(
        &mut self,
        state_of: impl Fn(EndpointKey) -> Option<SignalState>,
    ) -> Vec<EndpointKey> {
        self.in_flight = self.pending.iter().map(|key| (*key, state_of(*key))).collect();
        self.in_flight.iter().map(|(key, _)| *key).collect()
    }

    /// Removes what the last report carried, now that it was answered. Signals that changed since
    /// then stay for the next one.
    pub fn confirm_report(&mut self, state_of: impl Fn(EndpointKey) -> Option<SignalState>) {
        for (key, reported) in std::mem::take(&mut self.in_flight) {
            if state_of(key) == reported {
                self.pending.remove(&key);
            }
        }
    }
}

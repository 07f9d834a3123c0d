//! The part of a service's places that one dispatcher has.

use crate::board::{EndpointBoard, EndpointFact};
use crate::brittle::RoomShare;
use oleander_kind::hash::rendezvous_weight;
use oleander_kind::{ClockTime, InstanceId, ServiceName};

/// Requests at an endpoint for each two that it runs at once: while the answer to one and the next request
/// are on their way, it has another one to run.
const SENT_PER_TWO_SLOTS: u32 = 3;

/// One dispatcher's part of the places at each endpoint of a service.
#[derive(Clone, Copy, Debug)]
pub struct PlaceShare<'a> {
    /// This process.
    pub own: &'a InstanceId,
    /// All dispatchers of the service.
    pub dispatchers: &'a [InstanceId],
}

impl PlaceShare<'_> {
    /// The requests that this process may have at an endpoint at once. Those of all dispatchers add up to what
    /// the endpoint is sent, and each has one at least.
    pub fn permits(&self, fact: &EndpointFact) -> u32 {
        let endpoint = fact.entry.instance.stable_hash();
        let weight = |id: &InstanceId| rendezvous_weight(endpoint, id.stable_hash());
        let own = self.dispatchers.contains(self.own).then(|| weight(self.own));
        let others = self.dispatchers.iter().filter(|id| *id != self.own).map(weight);
        let window = (fact.entry.slots * SENT_PER_TWO_SLOTS).div_ceil(2);
        RoomShare::among(own, others).permits(window).max(u32::from(own.is_some()))
    }

    /// Whether this process may send one more request to an endpoint.
    pub fn has_place(&self, fact: &EndpointFact) -> bool {
        fact.own.requests < self.permits(fact)
    }
}

/// Whether requests are better sent to an endpoint than kept waiting for another one.
///
/// An endpoint that fails at once always has places free. Chosen by these alone, it would get most requests.
pub(crate) fn is_sound(fact: &EndpointFact, now: ClockTime) -> bool {
    /// With more failures, it rather fails a request than that it answers.
    const MAX_FAILURE_SHARE: f64 = 0.5;
    fact.is_trusted(now) && fact.health.failure_share(now) < MAX_FAILURE_SHARE
}

/// The places of a dispatcher at the endpoints of a service.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SharedPlaces {
    /// All of them.
    pub total: u32,
    /// Those that are free.
    pub free: u32,
}

/// Counts the places of `share` at the endpoints that would be chosen now.
pub fn count_places(
    board: &EndpointBoard,
    (service, share): (&ServiceName, &PlaceShare<'_>),
    (now, lease_now): (ClockTime, ClockTime),
) -> SharedPlaces {
    let facts = board.of_service(service).iter().filter_map(|key| board.get(*key));
    let working = facts.filter(|fact| fact.takes_work() && fact.serves);
    let working: Vec<_> = working.filter(|fact| fact.declared.is_available(lease_now)).collect();
    let is_any_sound = working.iter().any(|fact| is_sound(fact, now));
    let usable = working.iter().filter(|fact| !is_any_sound || is_sound(fact, now));
    usable.fold(SharedPlaces::default(), |places, fact| {
        let permits = share.permits(fact);
        let free = permits.saturating_sub(fact.own.requests);
        SharedPlaces { total: places.total + permits, free: places.free + free }
    })
}

//! Which processes dispatch the requests of a service.

use oleander_kind::InstanceId;
use oleander_kind::hash::rendezvous_weight;
use std::cmp::Reverse;

/// Places of a service for each dispatcher. With fewer, a dispatcher's requests often wait while another one
/// has places left.
const PLACES_PER_DISPATCHER: u32 = 4;
/// The fewest dispatchers: while one that ended is found out, the others have two thirds of the room.
const MIN_DISPATCHERS: usize = 3;

/// A process that may dispatch.
#[derive(Clone, Copy, Debug)]
pub struct DispatchCandidate<'a> {
    /// Its instance.
    pub id: &'a InstanceId,
    /// The capacity of its instance, on any scale that all processes share.
    pub capacity: u32,
}

/// Chooses the dispatchers of a service with the hash `service` and `places` places at all its endpoints.
///
/// Processes that know the same members choose the same ones: first those of the largest instances, since each
/// dispatcher takes the requests of many processes; among equals an order that hardly changes with the members.
pub fn choose_dispatchers<'a>(
    candidates: impl Iterator<Item = DispatchCandidate<'a>>,
    (service, places): (u64, u32),
) -> Vec<InstanceId> {
    let mut ranked: Vec<_> = candidates
        .map(|one| {
            (Reverse((one.capacity, rendezvous_weight(service, one.id.stable_hash()))), one.id)
        })
        .collect();
    ranked.sort_unstable_by_key(|(rank, _)| *rank);
    let count = ((places / PLACES_PER_DISPATCHER) as usize).max(MIN_DISPATCHERS);
    ranked.into_iter().take(count).map(|(_, id)| id.clone()).collect()
}

//! Works out which processes send to the brittle endpoints of a service, and this process's place among them at
//! each endpoint.
//!
//! All processes choose the same senders, from the members and the endpoint list. A member that stops is none: it
//! relays its callers' requests to the senders, and finishes those that it has sent.

use crate::node::FrontNode;
use oleander_kind::hash::rendezvous_weight;
use oleander_kind::{InstanceId, ServiceName};
use oleander_mesh::MeshView;
use oleander_place::{EndpointBoard, EndpointFact, EndpointKey, RoomShare, sender_count};
use std::collections::{BTreeSet, HashMap};

/// By service with brittle endpoints, the processes that send requests to these.
#[derive(Debug, Default)]
pub struct RoomSenders(HashMap<ServiceName, Vec<InstanceId>>);

impl RoomSenders {
    /// Whether a process sends requests to the brittle endpoints of a service.
    pub(crate) fn contains(&self, service: &ServiceName, id: &InstanceId) -> bool {
        self.0.get(service).is_some_and(|senders| senders.contains(id))
    }

    /// All services and their senders.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&ServiceName, &[InstanceId])> {
        self.0.iter().map(|(service, senders)| (service, senders.as_slice()))
    }
}

/// Updates the senders of each service with brittle endpoints, and this process's place among them.
pub(crate) fn update_room_shares(node: &FrontNode) {
    let services: BTreeSet<ServiceName> = {
        let mut board = node.endpoints.borrow_mut();
        board.expire_brittle(node.clock.now());
        let brittle = board.iter().filter(|(_, fact)| fact.is_brittle());
        brittle.map(|(_, fact)| fact.entry.service.clone()).collect()
    };
    node.room_senders.borrow_mut().0.retain(|service, _| services.contains(service));
    services.iter().for_each(|service| update_shares(node, service));
}

/// Does the same for the service of an endpoint.
pub(super) fn update_service(node: &FrontNode, key: EndpointKey) {
    let service = node.endpoints.borrow().get(key).map(|fact| fact.entry.service.clone());
    if let Some(service) = service {
        update_shares(node, &service);
    }
}

fn update_shares(node: &FrontNode, service: &ServiceName) {
    let mut board = node.endpoints.borrow_mut();
    let slots = brittle_slots(&board, service);
    let senders = choose_senders(&node.mesh.borrow().view, service, slots);
    let memory_bound = memory_bound(node, service);
    for key in board.of_service(service).to_vec() {
        if let Some(fact) = board.get_mut(key).filter(|fact| fact.is_brittle()) {
            let share = share_at(fact, &senders, &node.settings.instance);
            fact.set_room_share(RoomShare { memory_bound, ..share }, node.clock.now());
        }
    }
    node.room_senders.borrow_mut().0.insert(service.clone(), senders);
}

/// The requests that the brittle endpoints of a service run at once, by the list alone: all processes know it.
fn brittle_slots(board: &EndpointBoard, service: &ServiceName) -> u32 {
    let facts = board.of_service(service).iter().filter_map(|key| board.get(*key));
    facts.filter(|fact| fact.is_brittle() && fact.takes_work()).map(|fact| fact.entry.slots).sum()
}

/// Chooses among the members that reach the service, in an order that hardly changes with the members.
fn choose_senders(view: &MeshView, service: &ServiceName, slots: u32) -> Vec<InstanceId> {
    let members = std::iter::once(view.me()).chain(view.others());
    let able = members
        .filter(|member| !member.leaving && !member.unreached_services.contains(service))
        .map(|member| &member.id);
    let weight = |id: &InstanceId| rendezvous_weight(service.stable_hash(), id.stable_hash());
    let mut able: Vec<(u64, &InstanceId)> = able.map(|id| (weight(id), id)).collect();
    able.sort_unstable_by(|one, other| other.cmp(one));
    able.truncate(sender_count(slots, able.len()));
    able.into_iter().map(|(_, id)| id.clone()).collect()
}

fn share_at(fact: &EndpointFact, senders: &[InstanceId], own: &InstanceId) -> RoomShare {
    let endpoint = fact.entry.instance.stable_hash();
    let weight = |id: &InstanceId| rendezvous_weight(endpoint, id.stable_hash());
    let own_weight = senders.contains(own).then(|| weight(own));
    let others = senders.iter().filter(|id| *id != own).map(weight);
    RoomShare::among(own_weight, others)
}

/// The requests of the size that this process has seen that fit into the memory of an engine of `service`;
/// `None` if its endpoints are no engines.
fn memory_bound(node: &FrontNode, service: &ServiceName) -> Option<u32> {
    let rules = node.current_rules()?;
    let memory_tokens = rules.service(service)?.engine.as_ref()?.memory_tokens;
    let demand = node.demand.borrow();
    let seen = demand.get(service).filter(|seen| seen.requests > 0)?;
    let tokens = (seen.unread_tokens + seen.answer_tokens) / seen.requests;
    Some((memory_tokens / tokens.max(1)).clamp(1, u64::from(u32::MAX)) as u32)
}

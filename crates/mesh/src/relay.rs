//! The choice of the peer to which a process relays a request, if it reaches no endpoint itself.

use crate::message::MemberInfo;
use oleander_kind::hash::{mix_bits, rendezvous_weight};
use oleander_kind::{DomainName, InstanceId, ServiceName};
use std::net::SocketAddr;

/// How much likelier a peer of the own failure domain is drawn than one of another: bytes between
/// domains cost money, but a domain with a single peer left must not send it everything.
const OWN_DOMAIN_WEIGHT: f64 = 2.0;

/// A request that needs a peer.
#[derive(Clone, Copy, Debug)]
pub struct RelayRequest<'a> {
    /// The service that has to serve it.
    pub service: &'a ServiceName,
    /// The failure domain of this process.
    pub domain: &'a DomainName,
    /// Whether the request is a stream that has to go on at a certain version.
    pub is_bound: bool,
    /// Peers that must not be tried again.
    pub tried: &'a [InstanceId],
    /// Draws the two peers; requests with the same salt go to the same ones.
    pub salt: u64,
}

/// Chooses a peer that says it reaches endpoints of the service: of two drawn by weight, the one
/// with fewer relayed requests of this process (`in_flight`). `None` if there is none.
pub fn choose_peer<'a>(
    members: impl Iterator<Item = &'a MemberInfo>,
    in_flight: impl Fn(&InstanceId) -> u32,
    request: &RelayRequest<'_>,
) -> Option<(&'a InstanceId, SocketAddr)> {
    let able = members.filter(|member| {
        !member.leaving
            && !member.unreached_services.contains(request.service)
            && !request.tried.contains(&member.id)
            && (member.binds_streams || !request.is_bound)
    });
    let able = able.filter_map(|member| Some((member, member.caller_address?)));
    let mut drawn: Vec<_> =
        able.map(|(member, address)| (draw(member, request), member, address)).collect();
    drawn.sort_by(|one, other| one.0.total_cmp(&other.0));
    let drawn = drawn.into_iter().take(2).map(|(_, member, address)| (&member.id, address));
    drawn.min_by_key(|(id, _)| in_flight(id))
}

/// A random number that is exponentially distributed with the member's weight as its rate. The
/// smallest belongs to each member as often as its weight says.
fn draw(member: &MemberInfo, request: &RelayRequest<'_>) -> f64 {
    let random = rendezvous_weight(mix_bits(request.salt), member.id.stable_hash());
    let uniform = (random as f64 + 1.0) / (u64::MAX as f64 + 2.0);
    let weight = if member.domain == *request.domain { OWN_DOMAIN_WEIGHT } else { 1.0 };
    -uniform.ln() / weight
}

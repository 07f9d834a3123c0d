//! Fetches an endpoint list, or a large update of it, from peers in parts.

use super::report::call_peer;
use crate::events::event;
use crate::node::FrontNode;
use crate::roster;
use oleander_kind::TimeSpan;
use oleander_list::{PartRequest, PartStep, PartsAssembler};
use oleander_mesh::MeshBody;
use std::net::SocketAddr;
use std::rc::Rc;

/// Timeout for one part. Nothing else waits for it.
const PART_TIMEOUT: TimeSpan = TimeSpan(400);
/// Interval between fetches of a whole list.
const FETCH_PERIOD: TimeSpan = TimeSpan(1000);
/// Most peers asked for one list, if some do not have it.
const MAX_PEERS_ASKED: usize = 4;

/// Starts to fetch the missing part of the list, unless a fetch started shortly before. It asks the
/// process at `first`, which has the list as of `list_revision`, and others only if that one does
/// not answer: most of them lack it as well.
pub(super) fn fetch_list(node: &Rc<FrontNode>, first: SocketAddr, list_revision: u64) {
    let now = node.clock.now();
    let mut mesh = node.mesh.borrow_mut();
    if mesh.fetched_at.is_some_and(|at| now - at < FETCH_PERIOD) {
        return;
    }
    mesh.fetched_at = Some(now);
    drop(mesh);
    actix_rt::spawn(fetch(node.clone(), first, list_revision));
}

async fn fetch(node: Rc<FrontNode>, first: SocketAddr, list_revision: u64) {
    let mut assembler = PartsAssembler::default();
    let mut request = {
        let status = node.roster.borrow().status(node.clock.now());
        let known = status.freshness.filter(|_| !status.needs_whole);
        PartRequest { since: known.map(|freshness| freshness.mark), after: None }
    };
    let mut peer = Some(first);
    let mut asked = 1;
    while let Some(address) = peer.filter(|_| asked <= MAX_PEERS_ASKED) {
        match fetch_part(&node, address, (&mut assembler, request.clone(), list_revision)).await {
            PartStep::RequestAfter(name) => request.after = Some(name),
            PartStep::Joined(parts) => return roster::apply_parts(&node, &parts),
            PartStep::TooOld => {
                peer = random_peer(&node);
                asked += 1;
            }
        }
    }
    event!(node, MemberFault; "fault" => "none of the asked peers has the endpoint list");
}

async fn fetch_part(
    node: &FrontNode,
    address: SocketAddr,
    (assembler, request, list_revision): (&mut PartsAssembler, PartRequest, u64),
) -> PartStep {
    let Some(hub) = node.peers.get() else { return PartStep::TooOld };
    let asked_at = node.clock.now();
    let call = (address.to_string().into(), MeshBody::RequestPart(request));
    match call_peer(node, hub, call, PART_TIMEOUT).await {
        Some(MeshBody::Part(part)) => {
            assembler.take(*part, list_revision, (asked_at, node.clock.now()))
        }
        _ => PartStep::TooOld,
    }
}

/// A random peer, of the same failure domain if there is one, because traffic between domains is
/// billed.
fn random_peer(node: &FrontNode) -> Option<SocketAddr> {
    let mesh = node.mesh.borrow();
    let open: Vec<_> = mesh.view.others().filter(|member| !member.leaving).collect();
    let near: Vec<_> =
        open.iter().filter(|member| member.domain == node.settings.domain).copied().collect();
    let from = if near.is_empty() { open } else { near };
    let at = node.random() as usize % from.len().max(1);
    from.get(at).map(|member| member.address)
}

//! Asks peers for an endpoint list, or for many changes of it, part by part.

use super::report::call_peer;
use crate::events::event;
use crate::node::FrontNode;
use crate::roster;
use oleander_kind::TimeSpan;
use oleander_list::{PartRequest, PartStep, PartsAssembler};
use oleander_mesh::MeshBody;
use std::net::SocketAddr;
use std::rc::Rc;

/// How long a peer may take for a part. Nothing else waits for it.
const PART_LIMIT: TimeSpan = TimeSpan(400);
/// Between two times that a process asks for a whole list.
const FETCH_PAUSE: TimeSpan = TimeSpan(1000);
/// Peers asked for one list at the most, if some do not have it.
const MOST_ASKED: usize = 4;

/// Begins to ask for what this process lacks of the list, unless that was begun a moment ago: the process at `first`, which
/// has it as of `mark`, and others only if that one does not answer. Most of them lack it as well.
pub(super) fn fetch_list(node: &Rc<FrontNode>, first: SocketAddr, mark: u64) {
    let now = node.clock.now();
    let mut mesh = node.mesh.borrow_mut();
    if mesh.fetched_at.is_some_and(|at| now - at < FETCH_PAUSE) {
        return;
    }
    mesh.fetched_at = Some(now);
    drop(mesh);
    actix_rt::spawn(fetch(node.clone(), first, mark));
}

async fn fetch(node: Rc<FrontNode>, first: SocketAddr, mark: u64) {
    let mut book = PartsAssembler::default();
    let mut ask = {
        let status = node.roster.borrow().status(node.clock.now());
        let known = status.freshness.filter(|_| !status.needs_whole);
        PartRequest { since: known.map(|freshness| freshness.mark), after: None }
    };
    let mut peer = Some(first);
    let mut asked = 1;
    while let Some(address) = peer.filter(|_| asked <= MOST_ASKED) {
        match fetch_part(&node, address, (&mut book, ask.clone(), mark)).await {
            PartStep::RequestAfter(name) => ask.after = Some(name),
            PartStep::Joined(parts) => return roster::apply_parts(&node, &parts),
            PartStep::TooOld => {
                peer = peer_by_lot(&node);
                asked += 1;
            }
        }
    }
    event!(node, MemberFault; "fault" => "no peer that was asked has the endpoint list");
}

async fn fetch_part(
    node: &FrontNode,
    address: SocketAddr,
    (book, ask, mark): (&mut PartsAssembler, PartRequest, u64),
) -> PartStep {
    let Some(hub) = node.peers.get() else { return PartStep::TooOld };
    let asked_at = node.clock.now();
    let call = (address.to_string().into(), MeshBody::RequestPart(ask));
    match call_peer(node, hub, call, PART_LIMIT).await {
        Some(MeshBody::Part(part)) => book.take(*part, mark, (asked_at, node.clock.now())),
        _ => PartStep::TooOld,
    }
}

/// A peer of the same failure domain, if there is one: bytes between domains are paid for.
fn peer_by_lot(node: &FrontNode) -> Option<SocketAddr> {
    let mesh = node.mesh.borrow();
    let open: Vec<_> = mesh.view.others().filter(|member| !member.leaving).collect();
    let near: Vec<_> =
        open.iter().filter(|member| member.domain == node.settings.domain).copied().collect();
    let from = if near.is_empty() { open } else { near };
    let at = node.random() as usize % from.len().max(1);
    from.get(at).map(|member| member.address)
}

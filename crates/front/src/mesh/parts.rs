//! Fetches an endpoint list, or a large update of it, from peers in parts.

use super::report::call_peer;
use crate::events::event;
use crate::node::FrontNode;
use crate::roster;
use oleander_kind::TimeSpan;
use oleander_list::{PartRequest, PartStep, PartsAssembler};
use oleander_mesh::{MemberInfo, MeshBody};
use std::net::SocketAddr;
use std::rc::Rc;

/// Timeout for one part. Nothing else waits for it.
pub(super) const PART_TIMEOUT: TimeSpan = TimeSpan(400);
/// Interval between fetches of a whole list.
const FETCH_PERIOD: TimeSpan = TimeSpan(250);
/// How long one fetch may take. Later the list has been learned in another way, or a new fetch has fewer entries
/// to ask for.
const FETCH_TIMEOUT: TimeSpan = TimeSpan(3000);
/// Most peers asked in a row that do not have a newer list, or do not send it now.
const MAX_PEERS_ASKED: usize = 6;
/// First and longest pause before another peer is asked; doubled each time.
pub(super) const PEER_PAUSES: (TimeSpan, TimeSpan) = (TimeSpan(25), TimeSpan(200));

/// Starts to fetch the missing part of the list, unless a fetch is under way or started shortly before.
/// It asks the process at `first`, which has the list as of `list_revision`, and others if that one does
/// not send it now. Any list newer than this process's own is accepted from them: changes since then
/// are few, and come with the next answer of the collector.
pub(super) fn fetch_list(node: &Rc<FrontNode>, first: SocketAddr, list_revision: u64) {
    let now = node.clock.now();
    let mut mesh = node.mesh.borrow_mut();
    if mesh.is_fetching || mesh.fetched_at.is_some_and(|at| now - at < FETCH_PERIOD) {
        return;
    }
    (mesh.fetched_at, mesh.is_fetching) = (Some(now), true);
    drop(mesh);
    let node = node.clone();
    actix_rt::spawn(async move {
        let fetching = fetch(&node, first, list_revision);
        if actix_rt::time::timeout(FETCH_TIMEOUT.duration(), fetching).await.is_err() {
            event!(node, MemberFault; "fault" => "the endpoint list was not fetched in time");
        }
        node.mesh.borrow_mut().is_fetching = false;
    });
}

async fn fetch(node: &FrontNode, first: SocketAddr, list_revision: u64) {
    let mut assembler = PartsAssembler::default();
    let (mut request, own_revision) = {
        let status = node.roster.borrow().status(node.clock.now());
        let own_revision = status.mark();
        let known = status.freshness.filter(|_| !status.needs_whole);
        let since = known.map(|freshness| freshness.mark);
        (PartRequest { since, after: None }, own_revision)
    };
    let mut peer = Some((first, list_revision));
    let (mut pause, longest) = PEER_PAUSES;
    let mut refused = 0;
    while let Some((address, least)) = peer.filter(|_| refused < MAX_PEERS_ASKED) {
        match fetch_part(node, address, (&mut assembler, request.clone(), least)).await {
            PartStep::RequestAfter(name) => {
                request.after = Some(name);
                (pause, refused) = (PEER_PAUSES.0, 0);
            }
            PartStep::Joined(parts) => return roster::apply_parts(node, &parts),
            PartStep::TooOld => {
                pause = node.back_off(pause, longest).await;
                peer = random_peer(node, |_| true).map(|address| (address, own_revision + 1));
                refused += 1;
            }
        }
    }
    event!(node, MemberFault; "fault" => "none of the asked peers sent the endpoint list");
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

/// A random peer that is `able`, of the same failure domain if there is one, because traffic between
/// domains is billed.
pub(super) fn random_peer(
    node: &FrontNode,
    able: impl Fn(&MemberInfo) -> bool,
) -> Option<SocketAddr> {
    let mesh = node.mesh.borrow();
    let others = mesh.view.others().filter(|member| !member.leaving);
    let open: Vec<_> = others.filter(|member| able(member)).collect();
    let near: Vec<_> =
        open.iter().filter(|member| member.domain == node.settings.domain).copied().collect();
    let from = if near.is_empty() { open } else { near };
    let at = node.random() as usize % from.len().max(1);
    from.get(at).map(|member| member.address)
}

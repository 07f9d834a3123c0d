//! Fetches newer rules from peers in parts, and sends them.

use super::parts::{PART_TIMEOUT, PEER_PAUSES, random_peer};
use super::report::call_peer;
use crate::events::event;
use crate::node::FrontNode;
use crate::rules::{RulesSource, apply_rules};
use oleander_kind::TimeSpan;
use oleander_mesh::{MeshBody, RulesFetch, RulesPart, RulesRequest, RulesStep};
use std::net::SocketAddr;
use std::rc::Rc;

/// How long rules that were received and did not come into force are not fetched again. A process that reads another
/// format may be told of them for as long as it runs.
const UNREADABLE_PAUSE: TimeSpan = TimeSpan(5000);

/// Answers a request for a part of the rules.
pub(super) fn answer_rules_request(node: &FrontNode, request: &RulesRequest) -> Option<RulesPart> {
    let book = node.rules.borrow();
    if book.version() <= request.own {
        return None;
    }
    let mut budget = node.list_budget.borrow_mut();
    if !budget.is_open(node.clock.now()) {
        node.meter.count_list_withheld("rules");
        return None;
    }
    let part = book.part(request)?;
    budget.take(part.bytes());
    Some(part)
}

/// What a fetch received.
#[derive(Debug, Default)]
struct FetchCount {
    bytes: usize,
    parts: u32,
    refused: u32,
}

/// Starts to fetch the rules that a peer is known to have, unless a fetch is under way. It asks the process at
/// `first`, and others if that one does not send them now.
pub(super) fn fetch_rules(node: &Rc<FrontNode>, first: SocketAddr) {
    let now = node.clock.now();
    let Some(told) = node.rules.borrow().told(now) else { return };
    let mut mesh = node.mesh.borrow_mut();
    let is_barred = mesh
        .unreadable_rules
        .is_some_and(|(version, until)| told.version <= version && now < until);
    if is_barred || mesh.is_fetching_rules {
        return;
    }
    mesh.is_fetching_rules = true;
    drop(mesh);
    let node = node.clone();
    actix_rt::spawn(async move {
        fetch(&node, first).await;
        node.mesh.borrow_mut().is_fetching_rules = false;
    });
}

/// Asks one process after the other until the newest rules that any is known to have are in force, or none has said
/// for a while that it has newer ones.
async fn fetch(node: &FrontNode, first: SocketAddr) {
    let began = node.clock.now();
    let mut fetch = RulesFetch::default();
    let mut count = FetchCount::default();
    let mut peer = Some(first);
    let (mut pause, longest) = PEER_PAUSES;
    while node.rules_are_superseded() {
        let step = match peer {
            Some(address) => fetch_part(node, address, (&mut fetch, &mut count)).await,
            None => RulesStep::AskOther,
        };
        match step {
            RulesStep::RequestMore => pause = PEER_PAUSES.0,
            RulesStep::AskOther => {
                count.refused += 1;
                pause = node.back_off(pause, longest).await;
                // Peers may have got them meanwhile; the first process has them, but may have to send them to many.
                let other = || random_peer(node, |member| member.takes_parts);
                peer = Some(first).filter(|_| count.refused % 2 == 0).or_else(other);
            }
            RulesStep::Joined(object) => {
                event!(node, RulesFetched;
                    "ms" => (node.clock.now() - began).0, "bytes" => count.bytes,
                    "parts" => count.parts, "refused" => count.refused);
                let version = fetch.version();
                apply_rules(node, &object, RulesSource::Peer);
                if node.rules.borrow().version() < version {
                    let until = node.clock.now() + UNREADABLE_PAUSE;
                    node.mesh.borrow_mut().unreadable_rules = Some((version, until));
                    return;
                }
                fetch = RulesFetch::default();
            }
        }
    }
}

async fn fetch_part(
    node: &FrontNode,
    address: SocketAddr,
    (fetch, count): (&mut RulesFetch, &mut FetchCount),
) -> RulesStep {
    let Some(hub) = node.peers.get() else { return RulesStep::AskOther };
    let request = fetch.request(node.rules.borrow().version());
    let call = (address.to_string().into(), MeshBody::RequestRules(request));
    let Some(MeshBody::RulesPart(Some(part))) = call_peer(node, hub, call, PART_TIMEOUT).await
    else {
        return RulesStep::AskOther;
    };
    count.parts += 1;
    count.bytes += part.bytes();
    let book = node.rules.borrow();
    match fetch.take(*part, book.pieces().map(AsRef::as_ref)) {
        Ok(step) => step,
        Err(fault) => {
            event!(node, RulesUnreadable; "fault" => fault.to_string(), "by" => "peer");
            RulesStep::AskOther
        }
    }
}

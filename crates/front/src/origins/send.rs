//! Sends records of streams to the processes that keep copies.

use crate::events::event;
use crate::mesh::call_peer;
use crate::node::FrontNode;
use oleander_kind::TimeSpan;
use oleander_mesh::{MemberInfo, MeshBody};
use oleander_origin::{COPIES, HolderCandidate, OriginEntry, StreamKey, choose_holders};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long records wait for others to the same process.
const BATCH_TIME: Duration = Duration::from_millis(20);
/// Timeout of a message; nothing waits for its answer.
const SEND_TIMEOUT: TimeSpan = TimeSpan(400);
/// How often a message is sent until it is answered. A connection that has fallen silent is replaced after the
/// first time.
const MAX_SENDS: u32 = 2;
/// Most records in a message, some tens of kilobytes.
const MAX_BATCH: usize = 500;

/// The processes that keep the record of a stream, in order. With `leaving`, those that stop count too: they know
/// what they got before.
pub(super) fn holders(
    node: &FrontNode,
    key: StreamKey,
    (count, leaving): (usize, bool),
) -> Vec<SocketAddr> {
    let mesh = node.mesh.borrow();
    let able = |member: &&MemberInfo| member.binds_streams && (leaving || !member.leaving);
    let members: Vec<&MemberInfo> = mesh.view.others().filter(able).collect();
    let candidates =
        members.iter().map(|member| HolderCandidate { id: &member.id, domain: &member.domain });
    let chosen = choose_holders(key, candidates, count);
    let address = |holder: &HolderCandidate<'_>| {
        members.iter().find(|member| member.id == *holder.id).map(|member| member.address)
    };
    chosen.iter().filter_map(address).collect()
}

/// The processes that have the record of a stream if one was sent, whoever began it: they are chosen from all
/// members, this process among them.
pub(super) fn keepers(node: &FrontNode, key: StreamKey) -> Vec<SocketAddr> {
    let mesh = node.mesh.borrow();
    let me = mesh.view.me();
    let able = |member: &&MemberInfo| member.binds_streams;
    let members: Vec<&MemberInfo> =
        std::iter::once(me).chain(mesh.view.others()).filter(able).collect();
    let candidates =
        members.iter().map(|member| HolderCandidate { id: &member.id, domain: &member.domain });
    let chosen = choose_holders(key, candidates, COPIES);
    let keeps = |member: &&&MemberInfo| {
        let is_chosen = chosen.iter().any(|holder| *holder.id == member.id);
        is_chosen && member.id != me.id && !member.leaving
    };
    members.iter().filter(keeps).map(|member| member.address).collect()
}

/// Queues a record for the processes that keep it.
pub(super) fn queue(node: &FrontNode, entry: OriginEntry) {
    let holders = holders(node, entry.key, (COPIES, false));
    let mut origins = node.origins.borrow_mut();
    for address in holders {
        origins.outbox.entry(address).or_default().push(entry.clone());
    }
    node.origins_queued.notify_one();
}

/// Queues all records, because this process will end.
pub(crate) fn hand_over(node: &FrontNode) {
    let records = node.origins.borrow().book.all(node.clock.now());
    records.into_iter().for_each(|record| queue(node, record));
}

/// Sends what is queued until the task is aborted.
pub(crate) async fn run_sender(node: Rc<FrontNode>) {
    loop {
        node.origins_queued.notified().await;
        actix_rt::time::sleep(BATCH_TIME).await;
        let batches = std::mem::take(&mut node.origins.borrow_mut().outbox);
        for (address, records) in batches {
            actix_rt::spawn(send(node.clone(), address, records));
        }
    }
}

async fn send(node: Rc<FrontNode>, address: SocketAddr, records: Vec<OriginEntry>) {
    let Some(hub) = node.peers.get() else { return };
    for batch in records.chunks(MAX_BATCH) {
        let mut is_kept = false;
        let mut sends = 0;
        while !is_kept && sends < MAX_SENDS {
            let call = (address.to_string().into(), MeshBody::KeepOrigins(batch.to_vec()));
            let answer = call_peer(&node, hub, call, SEND_TIMEOUT).await;
            is_kept = matches!(answer, Some(MeshBody::OriginsKept));
            sends += 1;
        }
        node.meter.count_origins_sent(batch.len() as u64, is_kept);
        if !is_kept {
            event!(node, OriginsUnsent; "peer" => address.to_string(), "records" => batch.len());
        }
    }
}

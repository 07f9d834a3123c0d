//! Brings the newest bundle here: by a watch at the store if this process is a relay, from peers
//! otherwise, and from peers alone while the store is down.

use crate::node::EntryNode;
use crate::peers::{is_relay, news_targets};
use bytes::Bytes;
use compact_str::CompactString;
use oleander_bundle::{ApplyOutcome, BundleHead, HEAD_NAME, SignedBundle};
use oleander_kind::TimeSpan;
use oleander_plat::{ObjectStore, WatchAnswer, read_parts};
use oleander_wire::PeerBody;
use std::rc::Rc;

/// How long a peer may take to send a bundle.
const PULL_LIMIT: TimeSpan = TimeSpan(3000);
/// Between two tries while the store is down.
const DOWN_PAUSE: TimeSpan = TimeSpan(500);
/// Between two looks whether this process became a relay.
const RELAY_PAUSE: TimeSpan = TimeSpan(1000);

/// Watches the head for as long as the process lives, when it is its turn.
pub async fn watch_bundles(node: Rc<EntryNode>) {
    let mut seen = 0;
    loop {
        // A process without a bundle asks the store itself, whoever the relays are.
        if node.generation() > 0 && !is_relay(&node) {
            actix_rt::time::sleep(RELAY_PAUSE.duration()).await;
            continue;
        }
        let wait_ms = node.settings.times.watch_ms;
        let watched = node.store.watch(HEAD_NAME, seen, wait_ms).await;
        node.board.borrow_mut().store_up = watched.is_ok();
        match watched {
            Ok(WatchAnswer::Same) => note_newest(&node),
            Ok(WatchAnswer::Newer(object)) => {
                if fetch_bundle(&node, &object.bytes).await {
                    seen = object.version;
                } else {
                    actix_rt::time::sleep(DOWN_PAUSE.duration()).await;
                }
            }
            Err(_) => {
                let jitter = TimeSpan(DOWN_PAUSE.0 + node.random() % DOWN_PAUSE.0);
                actix_rt::time::sleep(jitter.duration()).await;
            }
        }
    }
}

fn note_newest(node: &EntryNode) {
    node.board.borrow_mut().bundle_seen = node.clock.now();
}

/// Reads the bundle that a head names. Returns whether the head needs no further look.
async fn fetch_bundle(node: &Rc<EntryNode>, head: &Bytes) -> bool {
    let Ok(head) = serde_json::from_slice::<BundleHead>(head) else {
        slog::error!(node.log, "the bundle head cannot be read");
        return true;
    };
    if head.generation <= node.generation() {
        note_newest(node);
        return true;
    }
    let Ok(Some(bytes)) = read_parts(&node.store, head.part_names()).await else { return false };
    offer(node, &bytes);
    true
}

/// Offers a bundle's bytes to the gate. A refused one changes nothing.
pub fn offer(node: &Rc<EntryNode>, bytes: &[u8]) {
    let offered = SignedBundle::parse(bytes).and_then(|bundle| {
        let mut gate = node.gate.borrow_mut();
        gate.offer(bundle)
    });
    match offered {
        Ok(ApplyOutcome::Same) => note_newest(node),
        Ok(ApplyOutcome::Applied) => apply(node),
        Err(fault) => {
            slog::warn!(node.log, "a bundle was refused";
                "code" => fault.code().number(), "detail" => fault.to_string());
        }
    }
}

fn apply(node: &Rc<EntryNode>) {
    let bundle = node.gate.borrow().current().cloned();
    let generation = node.generation();
    {
        let mut board = node.board.borrow_mut();
        board.bundle = bundle;
        board.bundle_seen = node.clock.now();
    }
    slog::info!(node.log, "a bundle is in force"; "generation" => generation);
    tell_bundle(node, generation);
}

/// Tells a few members of the new generation; each that lacks it asks for it and tells others.
fn tell_bundle(node: &Rc<EntryNode>, generation: u64) {
    let address = node.members.borrow().me().address.clone();
    for target in news_targets(node, generation) {
        let node = node.clone();
        let body = PeerBody::BundleNews { generation, address: address.clone() };
        actix_rt::spawn(async move {
            let _ = node.call_peer(&target, body, PULL_LIMIT).await;
        });
    }
}

/// Compares a peer's generation with ours, and asks for its bundle if it is newer.
pub fn compare(node: &Rc<EntryNode>, generation: u64, address: &CompactString) {
    if generation <= node.generation() {
        return;
    }
    actix_rt::spawn(pull(node.clone(), address.clone()));
}

/// Asks the peer at `address` for a newer bundle.
pub async fn pull(node: Rc<EntryNode>, address: CompactString) {
    let generation = node.generation();
    let reply = node.call_peer(&address, PeerBody::AskBundle { generation }, PULL_LIMIT).await;
    if let Ok(PeerBody::BundleIs { bytes: Some(bytes) }) = reply
        && node.generation() <= generation
    {
        offer(&node, &bytes);
    }
}

/// Answers a peer that asks for a bundle newer than `generation`.
pub fn answer_ask(node: &EntryNode, generation: u64) -> PeerBody {
    let gate = node.gate.borrow();
    let newer = gate.current().filter(|bundle| bundle.content.generation > generation);
    PeerBody::BundleIs { bytes: newer.map(|bundle| Bytes::from(bundle.to_bytes())) }
}

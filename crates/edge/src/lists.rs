//! The endpoint list: read here if this process is a relay, heard from peers otherwise.

use crate::node::EntryNode;
use crate::peers::{is_relay, news_targets};
use compact_str::CompactString;
use oleander_kind::hash::{HASH_SEED, stable_hash};
use oleander_kind::{ClockTime, EndpointRecord, TimeSpan};
use oleander_list::{ListChange, ListSummary};
use oleander_plat::{EndpointList, EndpointListing, HttpList};
use oleander_wire::PeerBody;
use std::rc::Rc;

/// A process that heard of no read for this long reads the list itself, relay or not.
const SILENT_LIMIT: TimeSpan = TimeSpan::secs(10);
/// How long a peer may take for news or its whole list.
const PEER_LIMIT: TimeSpan = TimeSpan(2000);
/// Reads that are asked for out of turn share one read in this time.
const WANTED_PAUSE: TimeSpan = TimeSpan(20);

/// Reads the list for as long as the process lives, when it is its turn.
pub async fn read_lists(node: Rc<EntryNode>) {
    let limit = TimeSpan(node.settings.times.platform_ms);
    let list = HttpList::new(&node.settings.list, limit);
    let period = TimeSpan(node.settings.times.list_ms).duration();
    loop {
        if is_reader(&node) {
            match list.list().await {
                Ok(listing) => take_listing(&node, listing),
                Err(fault) => {
                    slog::warn!(node.log, "the endpoint list was not read"; "detail" => fault.to_string());
                }
            }
        }
        tokio::select! {
            () = actix_rt::time::sleep(period) => {}
            () = node.list_wanted.notified() => {
                actix_rt::time::sleep(WANTED_PAUSE.duration()).await;
            }
        }
    }
}

fn take_listing(node: &Rc<EntryNode>, listing: EndpointListing) {
    for fault in &listing.new_faults {
        slog::warn!(node.log, "a record of the endpoint list is left out"; "detail" => fault);
    }
    let wall = node.clock.wall();
    let change = node.list.borrow_mut().apply_read(listing.records, wall);
    pass_on(node, &change);
    apply(node);
}

/// Whether this process reads the list itself: a relay, one that knows nothing yet, or one that
/// heard of no read for long, because the relays of its domain are gone or cut off.
fn is_reader(node: &EntryNode) -> bool {
    let keeper = node.list.borrow();
    let silent = node.clock.wall() - keeper.mark().stamp >= SILENT_LIMIT;
    keeper.is_empty() || silent || is_relay(node)
}

/// Takes a change from a peer; what of it is news here is passed on.
pub fn take_news(node: &Rc<EntryNode>, change: &ListChange) {
    let news = node.list.borrow_mut().apply_change(change);
    pass_on(node, &news);
    if !news.is_empty() {
        apply(node);
    }
}

/// Compares a peer's mark with ours and fills a gap from it.
pub fn compare(node: &Rc<EntryNode>, mark: ListSummary, address: &CompactString) {
    let wall = node.clock.wall();
    if node.list.borrow_mut().compare(mark, wall) {
        actix_rt::spawn(fill_gap(node.clone(), address.clone()));
    }
}

async fn fill_gap(node: Rc<EntryNode>, address: CompactString) {
    let reply = node.call_peer(&address, PeerBody::AskList, PEER_LIMIT).await;
    if let Ok(PeerBody::ListIs { stamp, records }) = reply {
        node.list.borrow_mut().apply_snapshot(records, stamp);
        apply(&node);
    }
}

/// Answers a peer that has a gap.
pub fn whole_list(node: &EntryNode) -> PeerBody {
    let keeper = node.list.borrow();
    PeerBody::ListIs { stamp: keeper.mark().stamp, records: keeper.records().cloned().collect() }
}

/// Tells a few members what changed. Each passes on only what is news to it, so a change reaches
/// everybody in a few rounds and then dies out.
fn pass_on(node: &Rc<EntryNode>, change: &ListChange) {
    if change.is_empty() {
        return;
    }
    let seed = stable_hash(HASH_SEED, &change.stamp.0.to_le_bytes());
    for target in news_targets(node, seed) {
        let node = node.clone();
        let body = PeerBody::ListNews { change: change.clone() };
        actix_rt::spawn(async move {
            let _ = node.call_peer(&target, body, PEER_LIMIT).await;
        });
    }
}

/// Writes the list to the board.
fn apply(node: &EntryNode) {
    let records: Vec<EndpointRecord> = node.list.borrow().records().cloned().collect();
    let leaving: Vec<(_, Option<ClockTime>)> = records
        .iter()
        .filter(|record| record.ends_at.is_some())
        .map(|record| (record.instance.clone(), record.ends_at))
        .collect();
    let now = node.clock.now();
    node.board.borrow_mut().apply_list(records, now);
    for (instance, ends_at) in leaving {
        node.note_leaving(&instance, ends_at);
    }
}

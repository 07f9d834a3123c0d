//! Reads the endpoint list, and the endpoints' load reports and cache events.

use crate::node::EntryNode;
use oleander_board::{EndpointKey, ReportedLoad};
use oleander_kind::hash::rendezvous_weight;
use oleander_kind::{EndpointRole, TimeSpan};
use oleander_plat::{EndpointList, HttpList};
use oleander_route::note_load;
use serde::Deserialize;
use std::rc::Rc;

/// Endpoints whose load and cache events one entry follows. With more endpoints than this each
/// entry follows its own part, chosen so that the parts cover all evenly.
const FOLLOWED: usize = 48;
/// Between two load reports of one endpoint.
const LOAD_PERIOD: TimeSpan = TimeSpan(500);
/// How long a load report may take.
const LOAD_LIMIT: TimeSpan = TimeSpan(800);
/// Cache events are read every this many load reports.
const EVENTS_EVERY: u64 = 4;

/// Reads the list for as long as the process lives.
pub async fn read_lists(node: Rc<EntryNode>) {
    let limit = TimeSpan(node.settings.times.platform_ms);
    let list = HttpList::new(&node.settings.list, limit);
    let period = TimeSpan(node.settings.times.list_ms).duration();
    loop {
        if let Ok(records) = list.list().await {
            take_records(&node, records);
        }
        tokio::select! {
            () = actix_rt::time::sleep(period) => {}
            () = node.list_wanted.notified() => {
                // A cut stream asks for a fresh list; many at once share one read.
                actix_rt::time::sleep(TimeSpan(20).duration()).await;
            }
        }
    }
}

fn take_records(node: &EntryNode, records: Vec<oleander_kind::EndpointRecord>) {
    let leaving: Vec<_> = records
        .iter()
        .filter(|record| record.ends_at.is_some())
        .map(|record| (record.instance.clone(), record.ends_at))
        .collect();
    for (instance, ends_at) in leaving {
        node.note_leaving(&instance, ends_at);
    }
    let now = node.clock.now();
    node.board.borrow_mut().take_list(records, now);
}

/// Follows load and cache events for as long as the process lives.
pub async fn follow_loads(node: Rc<EntryNode>) {
    let mut round = 0;
    loop {
        let followed = followed(&node);
        let mut reading = Vec::new();
        for (key, address) in followed {
            let node = node.clone();
            reading.push(actix_rt::spawn(async move {
                read_load(&node, key, &address).await;
                if round % EVENTS_EVERY == 0 {
                    read_cache_events(&node, key, &address).await;
                }
            }));
        }
        for task in reading {
            let _ = task.await;
        }
        round += 1;
        actix_rt::time::sleep(LOAD_PERIOD.duration()).await;
    }
}

fn followed(node: &EntryNode) -> Vec<(EndpointKey, String)> {
    let board = node.board.borrow();
    let me = node.me().stable_hash();
    let mut engines: Vec<_> = board
        .endpoints
        .iter()
        .filter(|(_, fact)| fact.record.role == EndpointRole::Engine && !fact.leaving)
        .filter(|(_, fact)| !fact.record.address.is_empty())
        .map(|(key, fact)| {
            let weight = rendezvous_weight(me, fact.record.instance.stable_hash());
            (weight, key, fact.record.address.to_string())
        })
        .collect();
    engines.sort_by_key(|(weight, ..)| std::cmp::Reverse(*weight));
    engines.truncate(FOLLOWED);
    engines.into_iter().map(|(_, key, address)| (key, address)).collect()
}

async fn read_load(node: &EntryNode, key: EndpointKey, address: &str) {
    let url = format!("http://{address}/load");
    let sent = node.client.get(url).timeout(LOAD_LIMIT.duration()).send().await;
    let Ok(mut response) = sent else { return };
    if let Ok(load) = response.json::<ReportedLoad>().await {
        let now = node.clock.now();
        note_load(&mut node.board.borrow_mut(), key, load, now);
    }
}

#[derive(Deserialize)]
struct CacheEvent {
    seq: u64,
    block: u64,
    added: bool,
}

async fn read_cache_events(node: &EntryNode, key: EndpointKey, address: &str) {
    let after = node.board.borrow().endpoints.get(key).map_or(0, |fact| fact.cache_seq);
    let url = format!("http://{address}/events?after={after}");
    let sent = node.client.get(url).timeout(LOAD_LIMIT.duration()).send().await;
    let Ok(mut response) = sent else { return };
    const EVENTS_LIMIT: usize = 1 << 20;
    let Ok(events) = response.json::<Vec<CacheEvent>>().limit(EVENTS_LIMIT).await else {
        return;
    };
    let events: Vec<_> = events.iter().map(|e| (e.seq, e.block, e.added)).collect();
    let mut board = node.board.borrow_mut();
    node.router.borrow_mut().take_events(&mut board, key, &events);
}

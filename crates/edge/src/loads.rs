//! Follows the load reports and cache events of some engines, within the control budget.

use crate::node::EntryNode;
use oleander_board::{EndpointKey, ReportedLoad};
use oleander_kind::hash::rendezvous_weight;
use oleander_kind::{EndpointRole, TimeSpan};
use oleander_route::note_load;
use serde::Deserialize;
use std::rc::Rc;

/// Engines that one entry follows. With more engines than this each entry follows its own part,
/// chosen by rendezvous, so that the parts cover all evenly as members come and go.
const FOLLOWED: usize = 24;
/// Reports read a second. A report is some 330 bytes with its headers, so this is half of the 8 KB
/// a second that a node may spend on control.
const REPORTS_PER_S: u64 = 12;
/// The shortest pause between two rounds.
const SHORTEST_ROUND: TimeSpan = TimeSpan(250);
/// How long a report may take.
const REPORT_LIMIT: TimeSpan = TimeSpan(800);
/// Cache events are read in one of so many rounds, and only while all engines are followed: with
/// more, their volume alone would break the budget, and the record of what was sent must do.
const EVENTS_EVERY: u64 = 4;
/// The most bytes of cache events that are read at once.
const EVENTS_LIMIT: usize = 1 << 20;

/// Follows loads for as long as the process lives.
pub async fn follow_loads(node: Rc<EntryNode>) {
    let mut round = 0;
    loop {
        let (followed, all) = followed(&node);
        let with_events = all && round % EVENTS_EVERY == 0;
        let mut reading = Vec::new();
        for (key, address) in &followed {
            let (node, key, address) = (node.clone(), *key, address.clone());
            reading.push(actix_rt::spawn(async move {
                read_load(&node, key, &address).await;
                if with_events {
                    read_cache_events(&node, key, &address).await;
                }
            }));
        }
        for task in reading {
            let _ = task.await;
        }
        round += 1;
        let pace = TimeSpan(followed.len() as u64 * 1000 / REPORTS_PER_S);
        actix_rt::time::sleep(pace.max(SHORTEST_ROUND).duration()).await;
    }
}

/// The engines followed here, and whether these are all.
fn followed(node: &EntryNode) -> (Vec<(EndpointKey, String)>, bool) {
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
    let all = engines.len() <= FOLLOWED;
    engines.sort_by_key(|(weight, ..)| std::cmp::Reverse(*weight));
    engines.truncate(FOLLOWED);
    (engines.into_iter().map(|(_, key, address)| (key, address)).collect(), all)
}

async fn read_load(node: &EntryNode, key: EndpointKey, address: &str) {
    let url = format!("http://{address}/load");
    let sent = node.client.get(url).timeout(REPORT_LIMIT.duration()).send().await;
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
    let sent = node.client.get(url).timeout(REPORT_LIMIT.duration()).send().await;
    let Ok(mut response) = sent else { return };
    let Ok(events) = response.json::<Vec<CacheEvent>>().limit(EVENTS_LIMIT).await else { return };
    let events: Vec<_> = events.iter().map(|e| (e.seq, e.block, e.added)).collect();
    let mut board = node.board.borrow_mut();
    node.router.borrow_mut().apply_cache_events(&mut board, key, &events);
}

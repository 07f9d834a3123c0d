//! Moves a stream away from an endpoint that is about to end.
//!
//! The stream goes on there until another endpoint has begun to answer: a leaving endpoint may yet finish it,
//! and the other ones may be full, hang or fail.

use crate::drive::{StreamJob, cancel_at};
use crate::kv::copy_kv;
use crate::node::EntryNode;
use crate::open::{
    BodyStream, SEARCH_PAUSE, body_stream, choose_untried, note_sent, send_request, take_head,
    take_leaving,
};
use compact_str::CompactString;
use futures_util::StreamExt;
use futures_util::stream::once;
use oleander_board::EndpointKey;
use oleander_kind::InstanceId;
use oleander_route::{note_ended, note_failure, note_first_token};
use std::future::ready;
use std::rc::Rc;

/// A stream at its next endpoint, which has begun to answer.
pub struct MovedStream {
    /// The answer from the token on that was shown last when it was asked for.
    pub body: BodyStream,
    /// Where it runs.
    pub place: BesidePlace,
}

/// A place where a stream runs beside the one that is read. Unless it is kept, the stream is cancelled
/// there when this is dropped.
pub struct BesidePlace {
    node: Rc<EntryNode>,
    is_kept: bool,
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Its instance.
    pub instance: InstanceId,
    /// Its address.
    pub address: CompactString,
    /// The handle of the stream there.
    pub handle: CompactString,
}

impl BesidePlace {
    /// The stream goes on here.
    pub fn keep(&mut self) {
        self.is_kept = true;
    }
}

impl Drop for BesidePlace {
    fn drop(&mut self) {
        if self.is_kept {
            return;
        }
        note_ended(&mut self.node.board.borrow_mut(), self.endpoint);
        let (node, address) = (self.node.clone(), self.address.clone());
        let handle = self.handle.clone();
        actix_rt::spawn(async move { cancel_at(&node, &address, &handle).await });
    }
}

/// Looks for an endpoint other than `source` until one has begun to answer. `attempt` is the number that
/// its attempt has.
pub async fn prepare_move(
    node: &Rc<EntryNode>,
    job: &StreamJob,
    source: &InstanceId,
    attempt: u32,
) -> MovedStream {
    let mut tried = vec![source.clone()];
    let mut number = 0;
    loop {
        let Some(target) = choose_untried(node, job, &tried) else {
            // Whoever refused for lack of room may have some later.
            tried.truncate(1);
            node.list_wanted.notify_one();
            actix_rt::time::sleep(SEARCH_PAUSE.duration()).await;
            continue;
        };
        number += 1;
        let handle = format!("{}.{}.{attempt}.{number}", job.live.id, node.me());
        let Some(place) = beside_place(node, target, handle) else { continue };
        let instance = place.instance.clone();
        if let Some(moved) = open_beside(node, job, place, attempt).await {
            return moved;
        }
        tried.push(instance);
    }
}

fn beside_place(node: &Rc<EntryNode>, key: EndpointKey, handle: String) -> Option<BesidePlace> {
    let board = node.board.borrow();
    let record = &board.endpoints.get(key)?.record;
    Some(BesidePlace {
        node: node.clone(),
        is_kept: false,
        endpoint: key,
        instance: record.instance.clone(),
        address: record.address.clone(),
        handle: handle.into(),
    })
}

/// Copies the KV to `place` and runs the stream there from the shown tokens on; `None` if its endpoint does
/// not answer with events.
async fn open_beside(
    node: &Rc<EntryNode>,
    job: &StreamJob,
    place: BesidePlace,
    attempt: u32,
) -> Option<MovedStream> {
    let endpoint = place.endpoint;
    let prefill = note_sent(node, job, endpoint);
    copy_kv(node, job, endpoint).await;
    let shown = job.live.shown();
    node.meter.count_retry("rerun");
    node.meter.count_recomputed(prefill + shown, "rerun");
    let note_fault =
        || note_failure(&mut node.board.borrow_mut(), endpoint, &node.health, node.clock.now());
    let response = match send_request(node, job, (&place.address, &place.handle, attempt)).await {
        Ok(response) => response,
        Err(fault) => {
            log_fault(node, job, &place, &fault.to_string());
            note_fault();
            return None;
        }
    };
    if !response.status().is_success() {
        log_fault(node, job, &place, response.status().as_str());
        take_leaving(node, &response, &place.instance);
        if !response.headers().contains_key("x-not-run") {
            note_fault();
        }
        return None;
    }
    take_head(node, job, &response, &place.instance);
    let mut body = body_stream(response);
    let Some(Ok(begin)) = body.next().await else {
        log_fault(node, job, &place, "ended before an event");
        note_fault();
        return None;
    };
    note_first_token(&mut node.board.borrow_mut(), endpoint, prefill);
    let body = once(ready(Ok(begin))).chain(body);
    Some(MovedStream { body: Box::pin(body), place })
}

fn log_fault(node: &EntryNode, job: &StreamJob, place: &BesidePlace, fault: &str) {
    slog::info!(node.log, "a stream stays at its leaving endpoint";
        "request" => job.live.id.as_str(), "tried" => place.instance.as_str(), "fault" => fault);
}

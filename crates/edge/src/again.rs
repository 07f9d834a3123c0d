//! `GET /v1/requests/ID`: any entry answers for any request.

use crate::admit::{header, know_caller};
use crate::book::{LiveRequest, LiveStage, ShownPiece};
use crate::chat::{NodeData, answer_live, whole_chat};
use crate::drive::{StreamJob, drive_stream};
use crate::node::EntryNode;
use crate::refuse::{ID_HEADER, RefusalNote};
use crate::shadow::{holders, put_shadow};
use crate::sse::{EventKind, read_events};
use actix_web::http::StatusCode;
use actix_web::web::Path;
use actix_web::{HttpRequest, HttpResponse};
use bytes::Bytes;
use oleander_claim::{ClaimKey, claim_key, request_digest};
use oleander_hold::CallerHold;
use oleander_kind::{InstanceId, RequestId, ResultCode, TimeSpan, read_chat_head};
use oleander_wire::{KeptAnswer, PeerBody, RequestLookup, ShadowRecord};
use std::cell::RefCell;
use std::rc::Rc;

/// How long a member may take to say what it knows.
const FIND_LIMIT: TimeSpan = TimeSpan(1500);

/// Answers a caller that comes back for a request.
pub async fn again(node: NodeData, request: HttpRequest, id: Path<String>) -> HttpResponse {
    let caller = match know_caller(&node, &request, false) {
        Ok(caller) => caller,
        Err(note) => return note.response(),
    };
    let Some(id) = RequestId::parse(&id) else {
        return RefusalNote::new(ResultCode::UnknownRequest).response();
    };
    let key = claim_key(&caller.account, id.as_str());
    let after = header(&request, "last-event-id").parse().unwrap_or(0);
    let live = node.book.borrow().live(key);
    if let Some(live) = live.filter(|live| live.stage() != LiveStage::Moved) {
        return answer_here(live, after).await;
    }
    let found = find(&node, key, None).await;
    // It may have come here while others were asked.
    let live = node.book.borrow().live(key);
    if let Some(live) = live.filter(|live| live.stage() != LiveStage::Moved) {
        return answer_here(live, after).await;
    }
    match found {
        RequestLookup::Kept(answer) => kept_response(&answer, after),
        RequestLookup::Running(record) => {
            let live = adopt(&node, key, *record);
            answer_here(live, after).await
        }
        RequestLookup::Busy => RefusalNote::new(ResultCode::StillRunning).id(&id).response(),
        RequestLookup::Nothing => RefusalNote::new(ResultCode::UnknownRequest).id(&id).response(),
    }
}

async fn answer_here(live: Rc<LiveRequest>, after: u64) -> HttpResponse {
    let reader = live.attach();
    let record = live.record.borrow().as_ref().map(|record| record.stream);
    match record {
        Some(stream) => answer_live(live, reader, stream, after).await,
        None => crate::plain::answer_plain(&live).await,
    }
}

/// What this process, `first`, or the members that the key points at know of a request.
pub async fn find(node: &EntryNode, key: ClaimKey, first: Option<&InstanceId>) -> RequestLookup {
    let here = find_here(node, key);
    if here != RequestLookup::Nothing {
        return here;
    }
    let mut addresses = Vec::new();
    addresses.extend(first.and_then(|id| node.peer_address(id)));
    addresses.extend(holders(node, key).into_iter().map(|member| member.address));
    let mut best = RequestLookup::Nothing;
    for address in addresses {
        let answer = node.call_peer(&address, PeerBody::FindRequest { key }, FIND_LIMIT).await;
        match answer {
            Ok(PeerBody::Found { found: RequestLookup::Nothing }) | Err(_) => {}
            Ok(PeerBody::Found { found: RequestLookup::Busy }) => best = RequestLookup::Busy,
            Ok(PeerBody::Found { found }) => return found,
            Ok(_) => {}
        }
    }
    best
}

/// What this process knows of a request.
pub fn find_here(node: &EntryNode, key: ClaimKey) -> RequestLookup {
    let book = node.book.borrow();
    if let Some(answer) = book.kept(key) {
        return RequestLookup::Kept(answer.clone());
    }
    if let Some(live) = book.live(key) {
        return match live.record.borrow().as_ref() {
            Some(record) if live.stage() != LiveStage::Trying => {
                let mut record = record.clone();
                record.shown = live.shown_bytes();
                RequestLookup::Running(Box::new(record))
            }
            _ => RequestLookup::Busy,
        };
    }
    match book.held(key) {
        Some(record) => RequestLookup::Running(Box::new(record.clone())),
        None => RequestLookup::Nothing,
    }
}

/// Goes on with a request that another entry began.
pub fn adopt(node: &Rc<EntryNode>, key: ClaimKey, mut record: ShadowRecord) -> Rc<LiveRequest> {
    let owner = std::mem::replace(&mut record.owner, node.me().clone());
    if let Some(address) = node.peer_address(&owner).filter(|_| owner != *node.me()) {
        let node = node.clone();
        actix_rt::spawn(async move {
            let _ = node.call_peer(&address, PeerBody::Taken { key }, FIND_LIMIT).await;
        });
    }
    let digest = request_digest("POST", crate::chat::CHAT_PATH, &record.body);
    let now = node.clock.now();
    let mut live = LiveRequest::new(record.id.clone(), record.account.clone(), digest, now);
    live.movable = true;
    let shown = std::mem::take(&mut record.shown);
    for event in read_events(shown) {
        if let (EventKind::Piece, Some(end)) = (event.kind, event.end) {
            live.show(ShownPiece { end, raw: event.raw, last: false });
        }
    }
    let head = read_chat_head(&record.body).unwrap_or_default();
    let deadline = now + (record.deadline - node.clock.wall());
    let hold = CallerHold::open(&node.holds);
    hold.count_admitted(record.body.len());
    live.hold(hold);
    slog::info!(node.log, "a request is taken over"; "request" => record.id.as_str());
    live.record = RefCell::new(Some(record));
    let live = Rc::new(live);
    // It was accepted by the entry that began it, so it must go on until it is whole.
    live.set_stage(LiveStage::Accepted);
    node.book.borrow_mut().begin(key, live.clone());
    // The only copy may have been held here, and a resumed stream sends none.
    actix_rt::spawn(put_shadow(node.clone(), key, live.clone()));
    let job =
        StreamJob { key, live: live.clone(), head, deadline, adopted: true, tried: Vec::new() };
    actix_rt::spawn(drive_stream(node.clone(), job));
    live
}

/// A kept answer as a response; a stream goes on after the caller's last token.
pub fn kept_response(answer: &KeptAnswer, after: u64) -> HttpResponse {
    let is_chat = answer.tokens > 0;
    if is_chat && !answer.events {
        return whole_chat(&answer.id, &answer.body);
    }
    let status = StatusCode::from_u16(answer.status).unwrap_or(StatusCode::OK);
    let mut response = HttpResponse::build(status);
    response.insert_header((ID_HEADER, answer.id.as_str()));
    if is_chat {
        response.content_type("text/event-stream");
        return response.body(events_after(&answer.body, after));
    }
    for (name, value) in &answer.headers {
        response.append_header((name.as_str(), value.as_ref()));
    }
    response.body(answer.body.clone())
}

fn events_after(events: &Bytes, after: u64) -> Bytes {
    let later = read_events(events.clone())
        .into_iter()
        .filter(|event| event.kind != EventKind::Piece || event.end.is_none_or(|end| end > after));
    let mut joined = Vec::new();
    later.for_each(|event| joined.extend_from_slice(&event.raw));
    Bytes::from(joined)
}

//! `POST /v1/chat/completions`: model requests, streamed or whole.

use crate::admit::{
    KnownCaller, count_limits, deadline, header, know_caller, read_body, request_id,
};
use crate::book::{LiveRequest, LiveStage, ReaderGuard};
use crate::drive::{StreamJob, drive_stream};
use crate::node::EntryNode;
use crate::refuse::{ID_HEADER, RefusalNote, Result};
use crate::sse::event_text;
use crate::steps::EntryStep;
use actix_web::web::{Data, Payload};
use actix_web::{HttpRequest, HttpResponse};
use bytes::{Bytes, BytesMut};
use oleander_bundle::ServiceEntry;
use oleander_claim::{ClaimKey, claim_key, request_digest};
use oleander_kind::{
    ChatHead, ClockTime, RequestId, ResultCode, ServiceName, VersionName, read_chat_head,
};
use oleander_wire::ShadowRecord;
use std::cell::RefCell;
use std::rc::Rc;

/// The path of model requests.
pub const CHAT_PATH: &str = "/v1/chat/completions";
const DEFAULT_PRIORITY: u8 = 5;
const LOWEST_PRIORITY: u8 = 9;

/// What handlers share.
pub type NodeData = Data<Rc<EntryNode>>;

struct ChatAsk {
    id: RequestId,
    key: ClaimKey,
    digest: [u8; 16],
    head: ChatHead,
    body: Bytes,
    service: ServiceName,
    deadline: ClockTime,
}

/// Answers a model request.
pub async fn chat(node: NodeData, request: HttpRequest, payload: Payload) -> HttpResponse {
    answer_chat(&node, request, payload).await.unwrap_or_else(|note| note.response())
}

async fn answer_chat(
    node: &Rc<EntryNode>,
    request: HttpRequest,
    payload: Payload,
) -> Result<HttpResponse> {
    let caller = know_caller(node, &request, true)?;
    let id = request_id(node, &request)?;
    let (body, hold) = read_body(node, &request, payload).await?;
    node.step(EntryStep::Received).await;
    let head = read_chat_head(&body).map_err(|fault| {
        let detail = fault.to_string();
        RefusalNote::new(ResultCode::BadBody).id(&id).detail(&detail)
    })?;
    let service = find_service(&caller, &head, &id)?;
    let ask = ChatAsk {
        key: claim_key(&caller.account, id.as_str()),
        digest: request_digest("POST", CHAT_PATH, &body),
        deadline: deadline(node, &request),
        id,
        head,
        body,
        service,
    };
    if let Some(again) = answer_repeat(node, &ask) {
        return again;
    }
    node.meter.count_request(ask.service.as_str());
    let tokens = ask.head.prompt_tokens() + u64::from(ask.head.output_token_limit());
    count_limits(node, &caller, tokens, &ask.id)?;
    node.step(EntryStep::Admitted).await;
    node.earn_retry(&ask.service);
    let live = begin_live(node, &caller, &ask, &request);
    let reader = live.attach();
    let stream = ask.head.stream;
    let job = StreamJob {
        key: ask.key,
        live: live.clone(),
        head: ask.head,
        deadline: ask.deadline,
        adopted: false,
        tried: Vec::new(),
    };
    live.hold(hold);
    actix_rt::spawn(drive_stream(node.clone(), job));
    Ok(answer_live(live, reader, stream, 0).await)
}

fn find_service(caller: &KnownCaller, head: &ChatHead, id: &RequestId) -> Result<ServiceName> {
    let name = ServiceName(head.model.clone());
    let known: Option<&ServiceEntry> = caller.bundle.content.services.get(&name);
    match known {
        Some(service) if service.engine => Ok(name),
        _ => Err(RefusalNote::new(ResultCode::UnknownModel).id(id).detail(name.as_str())),
    }
}

/// The answer to a call whose key was used before: the same request goes on with what is known of
/// it, another request with its key is a conflict.
fn answer_repeat(node: &Rc<EntryNode>, ask: &ChatAsk) -> Option<Result<HttpResponse>> {
    let kept = node.book.borrow().kept(ask.key).cloned();
    let live = node.book.borrow().live(ask.key);
    let digest = kept.as_ref().map(|kept| kept.digest).or(live.map(|live| live.digest))?;
    if digest != ask.digest {
        return Some(Err(RefusalNote::new(ResultCode::KeyConflict).id(&ask.id)));
    }
    let location = format!("/v1/requests/{}", ask.id);
    let mut response = HttpResponse::SeeOther();
    response.insert_header(("location", location));
    Some(Ok(response.insert_header((ID_HEADER, ask.id.as_str())).finish()))
}

fn begin_live(
    node: &EntryNode,
    caller: &KnownCaller,
    ask: &ChatAsk,
    request: &HttpRequest,
) -> Rc<LiveRequest> {
    let priority = header(request, "x-priority").parse().unwrap_or(DEFAULT_PRIORITY);
    let left = ask.deadline - node.clock.now();
    let record = ShadowRecord {
        id: ask.id.clone(),
        account: caller.account.clone(),
        service: ask.service.clone(),
        body: ask.body.clone(),
        stream: ask.head.stream,
        owner: node.me().clone(),
        version: VersionName::default(),
        endpoint: Default::default(),
        address: Default::default(),
        handle: Default::default(),
        priority: priority.min(LOWEST_PRIORITY),
        deadline: node.clock.wall() + left,
        shown: Bytes::new(),
    };
    let now = node.clock.now();
    let mut live = LiveRequest::new(ask.id.clone(), caller.account.clone(), ask.digest, now);
    live.run_on = header(request, "x-run-on") == "true";
    live.movable = true;
    live.record = RefCell::new(Some(record));
    let live = Rc::new(live);
    node.book.borrow_mut().begin(ask.key, live.clone());
    live
}

/// Answers a caller from a live request: `stream` as events from the token after `after`, else as
/// one whole answer.
pub async fn answer_live(
    live: Rc<LiveRequest>,
    reader: ReaderGuard,
    stream: bool,
    after: u64,
) -> HttpResponse {
    match live.accepted().await {
        LiveStage::Failed(code) => return failed(&live, code),
        LiveStage::Moved => return see_other(&live.id),
        _ if stream => return stream_live(live, reader, after),
        _ => {}
    }
    match live.ended().await {
        LiveStage::Failed(code) => failed(&live, code),
        LiveStage::Moved => see_other(&live.id),
        _ => whole_chat(&live.id, &live.shown_bytes()),
    }
}

fn failed(live: &LiveRequest, code: ResultCode) -> HttpResponse {
    RefusalNote::new(code).id(&live.id).response()
}

/// Sends a caller to the request's own address: through the balancer it reaches an entry that
/// stays, and that entry finds the request.
pub fn see_other(id: &RequestId) -> HttpResponse {
    HttpResponse::SeeOther()
        .insert_header(("location", format!("/v1/requests/{id}")))
        .insert_header((ID_HEADER, id.as_str()))
        .insert_header(("connection", "close"))
        .finish()
}

struct LiveCursor {
    live: Rc<LiveRequest>,
    _reader: ReaderGuard,
    next: usize,
    /// Tokens the caller has. An entry that took the request over fetches the answer from its
    /// beginning, so pieces with these tokens may still come; the caller must not see them twice.
    after: u64,
    done: bool,
}

fn stream_live(live: Rc<LiveRequest>, reader: ReaderGuard, after: u64) -> HttpResponse {
    let id = live.id.clone();
    let next = 0;
    let cursor = LiveCursor { live, _reader: reader, next, after, done: false };
    HttpResponse::Ok()
        .insert_header((ID_HEADER, id.as_str()))
        .insert_header(("cache-control", "no-store"))
        .content_type("text/event-stream")
        .streaming(futures_util::stream::unfold(cursor, next_chunk))
}

async fn next_chunk(mut cursor: LiveCursor) -> Option<(std::io::Result<Bytes>, LiveCursor)> {
    if cursor.done {
        return None;
    }
    let live = cursor.live.clone();
    loop {
        let changed = live.changed();
        let pieces = live.pieces_from(cursor.next);
        if !pieces.is_empty() {
            cursor.next += pieces.len();
            let unseen: Vec<Bytes> = pieces
                .into_iter()
                .filter(|piece| piece.last || piece.end > cursor.after)
                .map(|piece| piece.raw)
                .collect();
            if unseen.is_empty() {
                continue;
            }
            return Some((Ok(join_pieces(unseen)), cursor));
        }
        match live.stage() {
            LiveStage::Whole => return None,
            LiveStage::Failed(code) => {
                cursor.done = true;
                let body = RefusalNote::new(code).id(&live.id).body();
                return Some((Ok(Bytes::from(format!("event: error\ndata: {body}\n\n"))), cursor));
            }
            LiveStage::Moved => {
                cursor.done = true;
                return Some((Ok(moved_event(&live)), cursor));
            }
            LiveStage::Trying | LiveStage::Accepted => changed.await,
        }
    }
}

fn join_pieces(mut pieces: Vec<Bytes>) -> Bytes {
    if pieces.len() == 1 {
        return pieces.pop().unwrap_or_default();
    }
    let mut joined = BytesMut::new();
    pieces.iter().for_each(|piece| joined.extend_from_slice(piece));
    joined.freeze()
}

/// The last event of a stream whose entry is leaving: where to go on, and from which token.
fn moved_event(live: &LiveRequest) -> Bytes {
    let cursor = serde_json::json!({
        "resume": format!("/v1/requests/{}", live.id),
        "last_event_id": live.shown(),
    });
    Bytes::from(format!("event: moved\ndata: {cursor}\n\n"))
}

/// The whole answer as one chat completion, put together from its events.
pub fn whole_chat(id: &RequestId, events: &Bytes) -> HttpResponse {
    let events = crate::sse::read_events(events.clone());
    let text: String = events.iter().map(|event| event_text(&event.raw)).collect();
    let tokens = events.iter().filter_map(|event| event.end).max().unwrap_or(0);
    HttpResponse::Ok().insert_header((ID_HEADER, id.as_str())).json(serde_json::json!({
        "id": id,
        "object": "chat.completion",
        "choices": [{
            "index": 0,
            "message": { "role": "assistant", "content": text },
            "finish_reason": "length",
        }],
        "usage": { "completion_tokens": tokens },
    }))
}

//! Plain services: calls pass through unchanged, at most once where they must not repeat.

use crate::admit::{
    KnownCaller, count_limits, deadline, header, know_caller, read_body, request_id,
};
use crate::again::{find, kept_response};
use crate::book::{LiveRequest, LiveStage};
use crate::chat::NodeData;
use crate::claims::AskClaim;
use crate::node::EntryNode;
use crate::open::take_leaving;
use crate::refuse::{ID_HEADER, RefusalNote, Result};
use crate::shadow::put_answer;
use crate::steps::EntryStep;
use actix_web::web::Payload;
use actix_web::{HttpRequest, HttpResponse};
use awc::error::SendRequestError;
use awc::http::StatusCode;
use awc::http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use bytes::Bytes;
use oleander_board::EndpointKey;
use oleander_claim::{ClaimKey, ClaimRecord, ClaimVerdict, claim_key, request_digest};
use oleander_flow::{Admitted, EndState, NextStep, Received, RequestFlow, RequestSpec};
use oleander_kind::ident::uuid_v7_millis;
use oleander_kind::{ClockTime, InstanceId, RequestId, ResultCode, ServiceName, TimeSpan};
use oleander_member::owner_of;
use oleander_plat::never_sent;
use oleander_route::{RouteRequest, note_ended, note_failure, note_success};
use oleander_wire::{KeptAnswer, PeerBody, RequestLookup};
use std::rc::Rc;

/// The most attempts of one call.
const MOST_ATTEMPTS: u32 = 4;
/// The longest wait for a claim.
const CLAIM_WAIT: TimeSpan = TimeSpan(3000);
/// The longest answer of a plain service, in bytes.
const ANSWER_LIMIT: usize = 32 << 20;

/// Headers that belong to one connection and are not passed on (RFC 9110, section 7.6.1).
const HOP_HEADERS: &[&str] = &[
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "host",
    "content-length",
    "authorization",
    "expect",
];

struct PlainAsk {
    id: RequestId,
    key: ClaimKey,
    digest: [u8; 16],
    service: ServiceName,
    method: awc::http::Method,
    target: String,
    headers: Vec<(String, Vec<u8>)>,
    body: Bytes,
    idempotent: bool,
    /// Whether no earlier call can have had its key: the key was made here, or the caller says so.
    first: bool,
    deadline: ClockTime,
}

/// Answers a call to a plain service.
pub async fn plain(node: NodeData, request: HttpRequest, payload: Payload) -> HttpResponse {
    answer_call(&node, request, payload).await.unwrap_or_else(|note| note.response())
}

async fn answer_call(
    node: &Rc<EntryNode>,
    request: HttpRequest,
    payload: Payload,
) -> Result<HttpResponse> {
    let caller = know_caller(node, &request, true)?;
    let (service, tail) = split_service(&request);
    let entry = caller.bundle.content.services.get(&service).filter(|entry| !entry.engine);
    let Some(entry) = entry else {
        return Err(RefusalNote::new(ResultCode::UnknownRoute).detail(request.path()));
    };
    let method = request.method().as_str();
    let idempotent = entry.is_idempotent(method, &tail);
    let headers = passed_headers(node, &request)?;
    let id = request_id(node, &request)?;
    let (body, hold) = read_body(node, &request, payload).await?;
    let query = request.query_string();
    let target = if query.is_empty() { tail } else { format!("{tail}?{query}") };
    let ask = PlainAsk {
        key: claim_key(&caller.account, id.as_str()),
        digest: request_digest(method, &target, &body),
        method: awc::http::Method::from_bytes(method.as_bytes()).unwrap_or_default(),
        deadline: deadline(node, &request),
        id,
        service,
        target,
        headers,
        body,
        idempotent,
        first: is_first(&request),
    };
    node.meter.count_request(ask.service.as_str());
    count_limits(node, &caller, 0, &ask.id)?;
    node.earn_retry(&ask.service);
    let response =
        if idempotent { call_often(node, &ask).await } else { call_once(node, &caller, ask).await };
    node.limits.borrow_mut().release(&caller.account);
    drop(hold);
    Ok(response)
}

fn split_service(request: &HttpRequest) -> (ServiceName, String) {
    let path = request.path().trim_start_matches('/');
    let (service, tail) = path.split_once('/').unwrap_or((path, ""));
    (ServiceName::from(service), format!("/{tail}"))
}

fn passed_headers(node: &EntryNode, request: &HttpRequest) -> Result<Vec<(String, Vec<u8>)>> {
    let listed = header(request, "connection").to_ascii_lowercase();
    let named: Vec<&str> = listed.split(',').map(str::trim).collect();
    let passed: Vec<(String, Vec<u8>)> = request
        .headers()
        .iter()
        .filter(|(name, _)| !HOP_HEADERS.contains(&name.as_str()))
        .filter(|(name, _)| !named.contains(&name.as_str()))
        .map(|(name, value)| (name.as_str().to_owned(), value.as_bytes().to_vec()))
        .collect();
    let bytes: usize = passed.iter().map(|(name, value)| name.len() + value.len()).sum();
    if bytes > node.settings.bounds.header_bytes {
        return Err(RefusalNote::new(ResultCode::HeaderTooLarge));
    }
    Ok(passed)
}

/// A call that may run twice: tried until it has a whole answer or the budget is spent.
async fn call_often(node: &Rc<EntryNode>, ask: &PlainAsk) -> HttpResponse {
    match run_call(node, ask).await {
        Ok(answer) => plain_response(&answer),
        Err(ending) => ended_response(node, ask, ending),
    }
}

fn ended_response(node: &EntryNode, ask: &PlainAsk, ending: EndState) -> HttpResponse {
    let code = match ending {
        EndState::Refused(code) | EndState::Uncertain(code) => code,
        EndState::Complete => ResultCode::EndpointBroken,
    };
    node.meter.count_result(code.number());
    oleander_board::log_code(&node.log, ask.id.as_str(), code, "call ended");
    RefusalNote::new(code).id(&ask.id).response()
}

/// A call that must run at most once: claimed first, sent once, its answer kept.
async fn call_once(node: &Rc<EntryNode>, caller: &KnownCaller, ask: PlainAsk) -> HttpResponse {
    let Some(key_time) = uuid_v7_millis(ask.id.as_str()) else {
        return RefusalNote::new(ResultCode::BadIdempotencyKey).id(&ask.id).response();
    };
    if let Some(response) = answer_same_key(node, &ask).await {
        return response;
    }
    let now = node.clock.now();
    let live = Rc::new(LiveRequest::new(ask.id.clone(), caller.account.clone(), ask.digest, now));
    node.book.borrow_mut().begin(ask.key, live.clone());
    // The work goes on when the caller hangs up: the call may have run, and its answer is kept.
    let working = actix_rt::spawn(claim_and_send(node.clone(), ask, live, ClockTime(key_time)));
    working.await.unwrap_or_else(|_| RefusalNote::new(ResultCode::Uncertain).response())
}

/// What a call gets whose key is known here: the running call's answer, the kept one, a conflict.
async fn answer_same_key(node: &Rc<EntryNode>, ask: &PlainAsk) -> Option<HttpResponse> {
    let live = node.book.borrow().live(ask.key)?;
    if live.digest != ask.digest {
        return Some(RefusalNote::new(ResultCode::KeyConflict).id(&ask.id).response());
    }
    Some(answer_plain(&live).await)
}

/// Waits for a plain call's answer.
pub async fn answer_plain(live: &Rc<LiveRequest>) -> HttpResponse {
    match live.ended().await {
        LiveStage::Failed(code) => RefusalNote::new(code).id(&live.id).response(),
        _ => match live.kept() {
            Some(answer) => plain_response(&answer),
            None => RefusalNote::new(ResultCode::AnswerDropped).id(&live.id).response(),
        },
    }
}

async fn claim_and_send(
    node: Rc<EntryNode>,
    ask: PlainAsk,
    live: Rc<LiveRequest>,
    key_time: ClockTime,
) -> HttpResponse {
    node.step(EntryStep::ClaimAsked).await;
    let response = match claim(&node, &ask, key_time).await {
        ClaimVerdict::Granted => send_claimed(&node, &ask, &live).await,
        ClaimVerdict::Held(record) => answer_held(&node, &ask, &record).await,
        ClaimVerdict::Unavailable(code) => {
            let code = unclaimed_code(code, ask.first);
            live.set_stage(LiveStage::Failed(code));
            node.meter.count_result(code.number());
            RefusalNote::new(code).id(&ask.id).response()
        }
    };
    if live.stage() == LiveStage::Trying {
        // Others who waited on this call with the same key find the answer where it is kept.
        live.set_stage(LiveStage::Failed(ResultCode::StillRunning));
    }
    node.book.borrow_mut().end(ask.key);
    response
}

/// Whether the call is the first with its key.
fn is_first(request: &HttpRequest) -> bool {
    let retries = header(request, "x-retry-count");
    let retries =
        if retries.is_empty() { header(request, "x-stainless-retry-count") } else { retries };
    header(request, "idempotency-key").is_empty() || retries == "0"
}

/// What a caller is told whose claim cannot be written. This call did not run; but with the store
/// out of reach nobody knows whether an earlier one with its key did, whose entry may be dead.
/// "Not run" would be false then, and the caller might ask with a new key for what it has already.
fn unclaimed_code(code: ResultCode, first: bool) -> ResultCode {
    match code {
        ResultCode::StoreDown if !first => ResultCode::KeyUnsettled,
        code => code,
    }
}

/// Claims at the member that owns the key's shard, or here if that member is not reached. Both ask
/// with the same nonce, so that it does not matter whose write was made.
async fn claim(node: &EntryNode, ask: &PlainAsk, key_time: ClockTime) -> ClaimVerdict {
    let record = ClaimRecord {
        key: ask.key,
        digest: ask.digest,
        nonce: node.random(),
        owner: node.me().clone(),
        key_time,
    };
    let wait = CLAIM_WAIT.min(ask.deadline - node.clock.now());
    let shard = ask.key.shard(node.settings.claim_shards);
    let owner = {
        let members = node.members.borrow();
        let key = oleander_kind::hash::mix_bits(u64::from(shard));
        owner_of(&members, key).map(|member| (member.id.clone(), member.address.clone()))
    };
    if let Some((id, address)) = owner.filter(|(id, _)| id != node.me()) {
        let body = PeerBody::AskClaim { record: record.clone(), wait_ms: wait.0 };
        match node.call_peer(&address, body, wait).await {
            Ok(PeerBody::ClaimIs { verdict }) => return verdict.into(),
            _ => slog::warn!(node.log, "the claim owner is not reached"; "owner" => id.as_str()),
        }
    }
    let asked = node.claims.send(AskClaim { record, wait }).await;
    asked.unwrap_or(ClaimVerdict::Unavailable(ResultCode::StoreDown))
}

async fn send_claimed(node: &Rc<EntryNode>, ask: &PlainAsk, live: &LiveRequest) -> HttpResponse {
    node.step(EntryStep::ClaimGranted).await;
    match run_call(node, ask).await {
        Ok(mut answer) => {
            node.step(EntryStep::CallAnswered).await;
            answer.account = live.account.clone();
            let now = node.clock.now();
            node.book.borrow_mut().keep(ask.key, answer.clone(), now);
            put_answer(node, ask.key, answer.clone()).await;
            node.step(EntryStep::CallKept).await;
            live.complete(answer.clone());
            plain_response(&answer)
        }
        Err(ending) => {
            let response = ended_response(node, ask, ending);
            if let EndState::Refused(code) | EndState::Uncertain(code) = ending {
                keep_failure(node, ask, live, code).await;
                live.set_stage(LiveStage::Failed(code));
            }
            response
        }
    }
}

/// Keeps a failed call's answer too: a repeat of the key must be told the same, and a call that
/// did not run needs a new key, because this one is claimed.
async fn keep_failure(node: &EntryNode, ask: &PlainAsk, live: &LiveRequest, code: ResultCode) {
    let detail = "this key is used up; repeat with a new key if the call is still wanted";
    let body = RefusalNote::new(code).id(&ask.id).detail(detail).body();
    let answer = KeptAnswer {
        id: ask.id.clone(),
        account: live.account.clone(),
        digest: ask.digest,
        status: code.status(),
        headers: vec![("content-type".into(), Bytes::from_static(b"application/json"))],
        body: Bytes::from(body.to_string()),
        tokens: 0,
        events: false,
    };
    let now = node.clock.now();
    node.book.borrow_mut().keep(ask.key, answer.clone(), now);
    put_answer(node, ask.key, answer).await;
}

/// The answer to a call whose key another call claimed.
async fn answer_held(node: &EntryNode, ask: &PlainAsk, record: &ClaimRecord) -> HttpResponse {
    if record.digest != ask.digest {
        return RefusalNote::new(ResultCode::KeyConflict).id(&ask.id).response();
    }
    // This process' own book now holds the asking call itself, so only kept answers count here.
    let kept = node.book.borrow().kept(ask.key).cloned();
    if let Some(answer) = kept {
        return kept_response(&answer, 0);
    }
    match find_elsewhere(node, ask.key, &record.owner).await {
        RequestLookup::Kept(answer) => kept_response(&answer, 0),
        RequestLookup::Busy | RequestLookup::Running(_) => {
            RefusalNote::new(ResultCode::StillRunning).id(&ask.id).response()
        }
        RequestLookup::Nothing => RefusalNote::new(ResultCode::Uncertain).id(&ask.id).response(),
    }
}

async fn find_elsewhere(node: &EntryNode, key: ClaimKey, owner: &InstanceId) -> RequestLookup {
    // The call that asks is itself in the book; it is taken out while others are asked.
    let own = node.book.borrow().live(key);
    node.book.borrow_mut().end(key);
    let found = find(node, key, Some(owner).filter(|id| *id != node.me())).await;
    if let Some(own) = own {
        node.book.borrow_mut().begin(key, own);
    }
    found
}

/// Runs the attempts of one call.
async fn run_call(
    node: &Rc<EntryNode>,
    ask: &PlainAsk,
) -> std::result::Result<KeptAnswer, EndState> {
    let spec = RequestSpec {
        id: ask.id.clone(),
        idempotent: ask.idempotent,
        resumable: false,
        deadline: ask.deadline,
        max_attempts: MOST_ATTEMPTS,
    };
    let admitted = RequestFlow::<Received>::new(spec).admit(node.clock.now());
    let mut flow = admitted.map_err(EndState::Refused)?;
    let mut tried = Vec::new();
    let mut retries = 0;
    loop {
        if choose(node, ask, &tried).is_none() {
            // Everyone was tried once; an endpoint that cut one connection may keep the next.
            tried.clear();
        }
        let Some(endpoint) = choose(node, ask, &tried) else {
            return Err(flow.give_up(ResultCode::NoEndpoint));
        };
        let step = match attempt(node, ask, flow, (endpoint, &mut tried)).await {
            Ok(answer) => return Ok(answer),
            Err(step) => step,
        };
        match step {
            NextStep::Ended(ending) => return Err(ending),
            NextStep::Again { flow: next, .. } => {
                if !node.spend_retry(&ask.service) {
                    return Err(next.give_up(ResultCode::BudgetSpent));
                }
                node.meter.count_retry("plain");
                let pause = node.retry_pause(&ask.service, retries);
                actix_rt::time::sleep(pause.duration()).await;
                retries += 1;
                flow = next;
            }
        }
    }
}

fn choose(node: &EntryNode, ask: &PlainAsk, tried: &[InstanceId]) -> Option<EndpointKey> {
    let route =
        RouteRequest { service: &ask.service, version: None, blocks: &[], prompt_tokens: 0, tried };
    let board = node.board.borrow();
    node.router.borrow_mut().choose(&board, &route, node.clock.now(), node.random())
}

async fn attempt(
    node: &Rc<EntryNode>,
    ask: &PlainAsk,
    flow: RequestFlow<Admitted>,
    (endpoint, tried): (EndpointKey, &mut Vec<InstanceId>),
) -> std::result::Result<KeptAnswer, NextStep> {
    let target = {
        let board = node.board.borrow();
        let fact = board.endpoints.get(endpoint);
        fact.map(|fact| (fact.record.instance.clone(), fact.record.address.clone()))
    };
    let (instance, address) = target.unwrap_or_default();
    tried.push(instance.clone());
    let placed = flow.place(instance.clone());
    if let Some(fact) = node.board.borrow_mut().endpoints.get_mut(endpoint) {
        fact.in_flight += 1;
    }
    let sent = send_call(node, ask, &address).await;
    note_ended(&mut node.board.borrow_mut(), endpoint);
    let now = node.clock.now();
    let mut response = match sent {
        Ok(response) => response,
        Err(fault) if never_sent(&fault) => {
            note_failure(&mut node.board.borrow_mut(), endpoint, &node.health, now);
            return Err(placed.connect_failed(now));
        }
        Err(_) => {
            note_failure(&mut node.board.borrow_mut(), endpoint, &node.health, now);
            return Err(placed.begin_write().connection_lost(now, true));
        }
    };
    let mut running = placed.begin_write();
    take_leaving(node, &response, &instance);
    if response.headers().contains_key("x-not-run") {
        return Err(running.refused_by_endpoint(now));
    }
    if !states_end(&ask.method, &response) {
        return Err(running.connection_lost(node.clock.now(), true));
    }
    let Ok(body) = response.body().limit(ANSWER_LIMIT).await else {
        return Err(running.connection_lost(node.clock.now(), true));
    };
    // The client checked the length or the last chunk: a body that ends early is an error above.
    running.take_chunk(0, 1);
    running.finish(1);
    note_success(&mut node.board.borrow_mut(), endpoint);
    node.meter.count_result(0);
    let headers = response
        .headers()
        .iter()
        .filter(|(name, _)| !HOP_HEADERS.contains(&name.as_str()))
        .filter(|(name, _)| name.as_str() != ID_HEADER)
        .map(|(name, value)| (name.as_str().into(), Bytes::copy_from_slice(value.as_bytes())))
        .collect();
    Ok(KeptAnswer {
        id: ask.id.clone(),
        account: Default::default(),
        digest: ask.digest,
        status: response.status().as_u16(),
        headers,
        body,
        tokens: 0,
        events: false,
    })
}

/// Whether the head says where the body ends. The client takes a body that ends with its connection for empty.
fn states_end(method: &awc::http::Method, response: &awc::ClientResponse) -> bool {
    let framing = [CONTENT_LENGTH, TRANSFER_ENCODING];
    let status = response.status();
    let is_bodiless = status == StatusCode::NO_CONTENT || status == StatusCode::NOT_MODIFIED;
    *method == awc::http::Method::HEAD
        || is_bodiless
        || framing.iter().any(|name| response.headers().contains_key(name))
}

async fn send_call(
    node: &EntryNode,
    ask: &PlainAsk,
    address: &str,
) -> std::result::Result<awc::ClientResponse, SendRequestError> {
    let client = if ask.idempotent { &node.client } else { &node.single_client };
    let url = format!("http://{address}{}", ask.target);
    let mut request = client.request(ask.method.clone(), url);
    for (name, value) in &ask.headers {
        request = request.insert_header((name.as_str(), value.as_slice()));
    }
    let left = ask.deadline - node.clock.now();
    let request = request
        .insert_header((ID_HEADER, ask.id.as_str()))
        .insert_header(("idempotency-key", ask.id.as_str()))
        .timeout(left.duration());
    request.send_body(ask.body.clone()).await
}

fn plain_response(answer: &KeptAnswer) -> HttpResponse {
    kept_response(answer, 0)
}

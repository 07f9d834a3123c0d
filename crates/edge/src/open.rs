//! Opens an attempt of a stream: asks for it where it ran, or sends the request to an endpoint.

use crate::book::LiveStage;
use crate::drive::{Attempt, StreamJob};
use crate::node::EntryNode;
use crate::shadow;
use crate::sse::event_text;
use crate::steps::EntryStep;
use awc::ClientResponse;
use awc::error::SendRequestError;
use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use oleander_board::EndpointKey;
use oleander_flow::{Admitted, NextStep, RequestFlow, Running};
use oleander_kind::{ClockTime, InstanceId, ResultCode, TimeSpan, VersionName};
use oleander_plat::never_sent;
use oleander_route::{RouteRequest, note_ended, note_failure};
use std::pin::Pin;
use std::rc::Rc;

/// Between two looks for an endpoint while an accepted stream has none.
pub(crate) const SEARCH_PAUSE: TimeSpan = TimeSpan(100);

/// The bytes of an answer as they come.
pub type BodyStream = Pin<Box<dyn Stream<Item = Result<Bytes, ()>>>>;

/// What came of opening an attempt.
pub enum Opened {
    /// The endpoint answers.
    Body {
        /// The answer.
        body: BodyStream,
        /// The endpoint.
        endpoint: EndpointKey,
        /// Prompt tokens it computes for it.
        prefill: u64,
    },
    /// It does not; this follows.
    Next(NextStep),
}

/// An opened attempt with its flow, or what follows.
pub type OpenOutcome = Result<(Option<RequestFlow<Running>>, Opened), Attempt>;

/// Asks the endpoint that ran the stream for it, from the token after the last one shown.
pub async fn open_resume(
    node: &Rc<EntryNode>,
    job: &mut StreamJob,
    flow: RequestFlow<Admitted>,
) -> OpenOutcome {
    let record = job.live.record.borrow().clone();
    let Some(record) = record else {
        return Ok((None, Opened::Next(give_up_step(flow))));
    };
    let shown = job.live.shown();
    let known = node.board.borrow().endpoint_key(&record.endpoint);
    let running = flow.place(record.endpoint.clone()).begin_write();
    let now = node.clock.now();
    let Some(endpoint) = known else {
        return Ok((None, Opened::Next(running.connection_lost(now, false))));
    };
    let url = format!("http://{}/v1/streams/{}?offset={shown}", record.address, record.handle);
    match node.client.get(url).send().await {
        Ok(response) if response.status().is_success() => {
            node.meter.count_retry("resume");
            if let Some(fact) = node.board.borrow_mut().endpoints.get_mut(endpoint) {
                fact.in_flight += 1;
            }
            job.live.set_stage(LiveStage::Accepted);
            let body = body_stream(response);
            Ok((Some(running), Opened::Body { body, endpoint, prefill: 0 }))
        }
        _ => Ok((None, Opened::Next(running.connection_lost(node.clock.now(), false)))),
    }
}

fn give_up_step(flow: RequestFlow<Admitted>) -> NextStep {
    NextStep::Ended(flow.give_up(ResultCode::Uncertain))
}

/// Chooses an endpoint and sends the request, with the shown tokens as the start of the answer.
pub async fn open_fresh(
    node: &Rc<EntryNode>,
    job: &mut StreamJob,
    flow: RequestFlow<Admitted>,
) -> OpenOutcome {
    let (flow, endpoint) = find_endpoint(node, job, flow).await?;
    let (instance, address) = {
        let board = node.board.borrow();
        let Some(fact) = board.endpoints.get(endpoint) else {
            return Ok((
                None,
                Opened::Next(flow.place(InstanceId::default()).connect_failed(node.clock.now())),
            ));
        };
        (fact.record.instance.clone(), fact.record.address.clone())
    };
    node.step(EntryStep::Placed).await;
    let placed = flow.place(instance.clone());
    let attempt = placed.attempt();
    let handle = format!("{}.{}.{attempt}", job.live.id, node.me());
    let shown = job.live.shown();
    shadow::update_place(job, (&instance, &address, &handle));
    // The shadow travels while the endpoint works: it costs the caller nothing.
    let shadowing = actix_rt::spawn(shadow::put_shadow(node.clone(), job.key, job.live.clone()));
    let prefill = note_sent(node, job, endpoint);
    if shown > 0 {
        node.meter.count_retry("rerun");
        node.meter.count_recomputed(prefill + shown, "rerun");
    }
    let sent = send_request(node, job, (&address, &handle, attempt)).await;
    let now = node.clock.now();
    let outcome = match sent {
        Err(fault) if never_sent(&fault) => {
            let mut board = node.board.borrow_mut();
            note_failure(&mut board, endpoint, &node.health, now);
            Opened::Next(placed.connect_failed(now))
        }
        Err(_) => {
            note_failure(&mut node.board.borrow_mut(), endpoint, &node.health, now);
            Opened::Next(placed.begin_write().connection_lost(now, false))
        }
        Ok(response) if response.status().is_success() => {
            let running = placed.begin_write();
            node.step(EntryStep::FirstByteBack).await;
            take_head(node, job, &response, &instance);
            let _ = actix_rt::time::timeout(TimeSpan(250).duration(), shadowing).await;
            node.step(EntryStep::Shadowed).await;
            job.live.set_stage(LiveStage::Accepted);
            let body = body_stream(response);
            return Ok((Some(running), Opened::Body { body, endpoint, prefill }));
        }
        Ok(response) => {
            take_leaving(node, &response, &instance);
            let not_run = response.headers().contains_key("x-not-run");
            let running = placed.begin_write();
            if not_run {
                Opened::Next(running.refused_by_endpoint(now))
            } else {
                note_failure(&mut node.board.borrow_mut(), endpoint, &node.health, now);
                Opened::Next(running.connection_lost(now, false))
            }
        }
    };
    note_ended(&mut node.board.borrow_mut(), endpoint);
    job.tried.push(instance);
    Ok((None, outcome))
}

/// Finds an endpoint. A stream that was accepted waits for one until its deadline; one that was
/// not is refused at once, because the caller can do better than wait here.
async fn find_endpoint(
    node: &Rc<EntryNode>,
    job: &mut StreamJob,
    flow: RequestFlow<Admitted>,
) -> Result<(RequestFlow<Admitted>, EndpointKey), Attempt> {
    loop {
        if let Some(endpoint) = choose_endpoint(node, job) {
            return Ok((flow, endpoint));
        }
        if !job.tried.is_empty() {
            // Everyone was tried; whoever refused for lack of room may have some now.
            job.tried.clear();
            if let Some(endpoint) = choose_endpoint(node, job) {
                return Ok((flow, endpoint));
            }
        }
        let accepted = job.live.stage() != LiveStage::Trying;
        if !accepted {
            return Err(Attempt::Ended(flow.give_up(ResultCode::NoEndpoint)));
        }
        if node.clock.now() >= job.deadline {
            return Err(Attempt::Ended(flow.give_up(ResultCode::DeadlinePassed)));
        }
        node.list_wanted.notify_one();
        actix_rt::time::sleep(SEARCH_PAUSE.duration()).await;
    }
}

/// The endpoint to try next, if one takes work.
fn choose_endpoint(node: &EntryNode, job: &StreamJob) -> Option<EndpointKey> {
    choose_untried(node, job, &job.tried)
}

/// The endpoint to try next except for those in `tried`, if one takes work.
pub(crate) fn choose_untried(
    node: &EntryNode,
    job: &StreamJob,
    tried: &[InstanceId],
) -> Option<EndpointKey> {
    let service = job.service();
    let version = job.version();
    let pinned = (!version.as_str().is_empty()).then_some(&version);
    let ask = RouteRequest {
        service: &service,
        version: pinned,
        blocks: &job.head.blocks,
        prompt_tokens: job.head.prompt_tokens(),
        tried,
    };
    let board = node.board.borrow();
    node.router.borrow_mut().choose(&board, &ask, node.clock.now(), node.random())
}

/// Counts a request that is sent to `endpoint`. Returns the prompt tokens that it computes for it.
pub(crate) fn note_sent(node: &EntryNode, job: &StreamJob, endpoint: EndpointKey) -> u64 {
    let service = job.service();
    let ask = RouteRequest {
        service: &service,
        version: None,
        blocks: &job.head.blocks,
        prompt_tokens: job.head.prompt_tokens(),
        tried: &[],
    };
    node.router.borrow_mut().note_sent(&mut node.board.borrow_mut(), endpoint, &ask)
}

/// Sends the request to `address` as attempt `attempt`, with the shown tokens as the start of the answer.
///
/// # Errors
/// The client's, if no head came.
pub(crate) async fn send_request(
    node: &EntryNode,
    job: &StreamJob,
    (address, handle, attempt): (&str, &str, u32),
) -> Result<
    ClientResponse<impl Stream<Item = Result<Bytes, awc::error::PayloadError>> + use<>>,
    SendRequestError,
> {
    let (body, priority, version) = {
        let record = job.live.record.borrow();
        let Some(record) = record.as_ref() else {
            return Err(SendRequestError::Timeout);
        };
        (record.body.clone(), record.priority, record.version.clone())
    };
    let body = engine_body(job, body);
    let mut request = node
        .client
        .post(format!("http://{address}/v1/chat/completions"))
        .insert_header(("content-type", "application/json"))
        .insert_header(("x-stream-id", handle))
        .insert_header(("x-priority", priority.to_string()))
        .insert_header(("x-version", version.as_str()));
    if attempt > 1 {
        request = request.insert_header(("x-rerun", "1"));
    }
    let left = job.deadline - node.clock.now();
    request.timeout(left.duration()).send_body(body).await
}

/// The body as the engine gets it: as it came, unless the caller wants no stream (the engine is
/// always asked for one) or tokens were shown already.
fn engine_body(job: &StreamJob, body: Bytes) -> Bytes {
    let shown = job.live.shown();
    if job.head.stream && shown == 0 {
        return body;
    }
    let Ok(mut value) = serde_json::from_slice::<serde_json::Value>(&body) else {
        return body;
    };
    value["stream"] = serde_json::Value::Bool(true);
    if shown > 0 {
        let pieces = job.live.pieces_from(0);
        let text: String = pieces.iter().map(|piece| event_text(&piece.raw)).collect();
        value["continue_from"] = serde_json::json!({ "tokens": shown, "text": text });
    }
    serde_json::to_vec(&value).map_or(body, Bytes::from)
}

/// The body of `response` as it comes.
pub(crate) fn body_stream<S>(response: ClientResponse<S>) -> BodyStream
where
    S: Stream<Item = Result<Bytes, awc::error::PayloadError>> + Unpin + 'static,
{
    Box::pin(response.map(|chunk| chunk.map_err(|_| ())))
}

/// Takes what the head of an answer says of its endpoint.
pub(crate) fn take_head<S>(
    node: &EntryNode,
    job: &StreamJob,
    response: &ClientResponse<S>,
    instance: &InstanceId,
) {
    take_leaving(node, response, instance);
    let version = response.headers().get("x-version").and_then(|value| value.to_str().ok());
    if let (Some(version), Some(record)) = (version, job.live.record.borrow_mut().as_mut())
        && record.version.as_str().is_empty()
    {
        // A request that began on a version ends on that version.
        record.version = VersionName::from(version);
    }
}

/// Takes the word of an endpoint that says in its answer that it is leaving.
pub fn take_leaving<S>(node: &EntryNode, response: &ClientResponse<S>, instance: &InstanceId) {
    let value = response.headers().get("x-leaving").and_then(|value| value.to_str().ok());
    if let Some(text) = value {
        let ends_at = text.parse().ok().map(ClockTime);
        node.note_leaving(instance, ends_at);
    }
}

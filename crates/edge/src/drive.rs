//! Drives one stream through its attempts until its answer is whole.
//!
//! The decisions are `oleander-flow`'s; `open` makes the calls, and here their answers are read.

use crate::book::{LiveRequest, LiveStage, ShownPiece};
use crate::moves::{MovedStream, prepare_move};
use crate::node::EntryNode;
use crate::open::{BodyStream, Opened, open_fresh, open_resume};
use crate::shadow;
use crate::sse::{AnswerEvent, EventKind, EventReader};
use crate::steps::EntryStep;
use bytes::Bytes;
use compact_str::CompactString;
use futures_util::StreamExt;
use futures_util::future::{FutureExt, LocalBoxFuture};
use oleander_board::EndpointKey;
use oleander_claim::ClaimKey;
use oleander_flow::{
    Admitted, ChunkVerdict, EndState, NextStep, Received, RequestFlow, RequestSpec, RetryPlan,
    Running,
};
use oleander_kind::{ChatHead, ClockTime, InstanceId, ResultCode, TimeSpan, VersionName};
use oleander_route::{note_ended, note_failure, note_first_token, note_success};
use std::rc::Rc;

/// The most attempts of one stream. Each loses an endpoint, so only a wave reaches it.
const MOST_ATTEMPTS: u32 = 24;
/// This long before a leaving endpoint's end its streams begin to be moved: time to copy KV and to be
/// admitted elsewhere.
const MOVE_MARGIN: TimeSpan = TimeSpan(1500);
/// An endpoint that sends nothing for this long while a stream runs counts as lost.
const SILENCE_LIMIT: TimeSpan = TimeSpan(60_000);
/// How long a stream whose caller went away waits for it to come back.
const RETURN_LIMIT: TimeSpan = TimeSpan(5000);

/// A stream to be driven.
pub struct StreamJob {
    /// Its key in the book.
    pub key: ClaimKey,
    /// What callers read.
    pub live: Rc<LiveRequest>,
    /// The request's head.
    pub head: ChatHead,
    /// When the caller wants the answer (monotonic).
    pub deadline: ClockTime,
    /// Whether another entry began it: its stream is asked for first.
    pub adopted: bool,
    /// Endpoints that did not take it, or lost it.
    pub tried: Vec<InstanceId>,
}

/// How an attempt ended.
pub enum Attempt {
    /// The answer is whole.
    Whole,
    /// The request ends without a whole answer.
    Ended(EndState),
    /// Another attempt follows.
    Again(RequestFlow<Admitted>, RetryPlan),
    /// The caller went away and did not come back.
    Deserted(RequestFlow<Running>),
}

/// Drives `job` to its end and closes its books.
pub async fn drive_stream(node: Rc<EntryNode>, mut job: StreamJob) {
    let ending = run_attempts(&node, &mut job).await;
    close_books(&node, &job, ending);
    node.step(EntryStep::Kept).await;
}

fn first_flow(node: &EntryNode, job: &StreamJob) -> Result<RequestFlow<Admitted>, ResultCode> {
    let spec = RequestSpec {
        id: job.live.id.clone(),
        idempotent: true,
        resumable: true,
        deadline: job.deadline,
        max_attempts: MOST_ATTEMPTS,
    };
    let flow = RequestFlow::<Received>::new(spec);
    if job.adopted {
        let endpoint = job.live.record.borrow().as_ref().map(|record| record.endpoint.clone());
        return Ok(flow.adopt(endpoint.unwrap_or_default(), job.live.shown()));
    }
    flow.admit(node.clock.now())
}

async fn run_attempts(node: &Rc<EntryNode>, job: &mut StreamJob) -> EndState {
    let mut flow = match first_flow(node, job) {
        Ok(flow) => flow,
        Err(code) => return EndState::Refused(code),
    };
    let mut plan = if job.adopted { RetryPlan::ResumeSame } else { RetryPlan::RerunElsewhere };
    let mut retries = 0;
    loop {
        match run_attempt(node, job, flow, plan).await {
            Attempt::Whole => return EndState::Complete,
            Attempt::Ended(ending) => return ending,
            Attempt::Deserted(running) => {
                cancel_upstream(node, job).await;
                return running.stop(ResultCode::Cancelled);
            }
            Attempt::Again(next, next_plan) => {
                let service = job.service();
                // An accepted stream must survive; only one that was not accepted yet is given
                // up when the budget is spent.
                let accepted = job.live.stage() != LiveStage::Trying;
                if !accepted && !node.spend_retry(&service) {
                    return next.give_up(ResultCode::BudgetSpent);
                }
                if next_plan == RetryPlan::RerunElsewhere {
                    let pause = node.retry_pause(&service, retries);
                    actix_rt::time::sleep(pause.duration()).await;
                    retries += 1;
                }
                flow = next;
                plan = next_plan;
            }
        }
        if job.live.stage() == LiveStage::Moved {
            return EndState::Complete;
        }
    }
}

impl StreamJob {
    /// Its service.
    pub fn service(&self) -> oleander_kind::ServiceName {
        let record = self.live.record.borrow();
        record.as_ref().map(|record| record.service.clone()).unwrap_or_default()
    }

    /// The version it began on; empty if it did not begin.
    pub fn version(&self) -> VersionName {
        let record = self.live.record.borrow();
        record.as_ref().map(|record| record.version.clone()).unwrap_or_default()
    }
}

async fn run_attempt(
    node: &Rc<EntryNode>,
    job: &mut StreamJob,
    flow: RequestFlow<Admitted>,
    plan: RetryPlan,
) -> Attempt {
    let opened = match plan {
        RetryPlan::ResumeSame => open_resume(node, job, flow).await,
        RetryPlan::RerunElsewhere => open_fresh(node, job, flow).await,
    };
    match opened {
        Err(attempt) => attempt,
        Ok((_, Opened::Next(step))) => next_attempt(step),
        Ok((flow, Opened::Body { body, endpoint, prefill })) => {
            let Some(flow) = flow else {
                return Attempt::Ended(EndState::Complete);
            };
            read_answer(node, job, flow, (body, endpoint, prefill)).await
        }
    }
}

fn next_attempt(step: NextStep) -> Attempt {
    match step {
        NextStep::Again { flow, plan } => Attempt::Again(flow, plan),
        NextStep::Ended(ending) => Attempt::Ended(ending),
    }
}

/// Why the reading of an answer ended.
enum ReadEnd {
    /// The answer is whole, or another entry's.
    Whole,
    /// It broke off.
    Cut,
    /// The caller went away and did not come back.
    Deserted,
    /// Its deadline passed.
    Late,
}

async fn read_answer(
    node: &Rc<EntryNode>,
    job: &mut StreamJob,
    mut flow: RequestFlow<Running>,
    (body, mut endpoint, prefill): (BodyStream, EndpointKey, u64),
) -> Attempt {
    let begun = (body, &mut endpoint, prefill);
    let end = read_to_end(node, job, &mut flow, begun).await;
    let attempt = match end {
        ReadEnd::Whole => Attempt::Whole,
        ReadEnd::Cut => cut_answer(node, job, flow, endpoint),
        ReadEnd::Deserted => Attempt::Deserted(flow),
        ReadEnd::Late => {
            cancel_upstream(node, job).await;
            Attempt::Ended(flow.stop(ResultCode::DeadlinePassed))
        }
    };
    note_ended(&mut node.board.borrow_mut(), endpoint);
    attempt
}

async fn read_to_end(
    node: &Rc<EntryNode>,
    job: &StreamJob,
    flow: &mut RequestFlow<Running>,
    (body, endpoint, prefill): (BodyStream, &mut EndpointKey, u64),
) -> ReadEnd {
    let mut body = Some(body);
    let mut reader = EventReader::default();
    let mut first = true;
    let mut half = false;
    let mut deserted_since = None;
    let mut moving: Option<LocalBoxFuture<'_, MovedStream>> = None;
    loop {
        let move_at = move_time(node, *endpoint);
        let desert_at = desert_time(node, &job.live, &mut deserted_since);
        tokio::select! {
            chunk = next_chunk(&mut body) => {
                if first && let Some(Ok(_)) = chunk {
                    first = false;
                    note_first_token(&mut node.board.borrow_mut(), *endpoint, prefill);
                    node.meter.note_first_token((node.clock.now() - job.live.began).0 as f64);
                }
                let taken = match chunk {
                    Some(Ok(bytes)) => {
                        reader.push(&bytes);
                        take_events(node, job, flow, &mut reader)
                    }
                    _ => TakenEvents::Broken,
                };
                match taken {
                    TakenEvents::More => pass_half(node, job, &mut half).await,
                    TakenEvents::Whole => {
                        node.step(EntryStep::Finished).await;
                        note_success(&mut node.board.borrow_mut(), *endpoint);
                        return ReadEnd::Whole;
                    }
                    // Another endpoint is being prepared: the stream goes on there.
                    TakenEvents::Broken if moving.is_some() => body = None,
                    TakenEvents::Broken => return ReadEnd::Cut,
                }
            }
            () = actix_rt::time::sleep(SILENCE_LIMIT.duration()) => {
                return ReadEnd::Cut;
            }
            () = sleep_until(node, move_at), if moving.is_none() => {
                let source = flow.endpoint().cloned().unwrap_or_default();
                let attempt = flow.attempt() + 1;
                let prepared = async move { prepare_move(node, job, &source, attempt).await };
                moving = Some(prepared.boxed_local());
            }
            moved = next_move(&mut moving) => {
                moving = None;
                reader = EventReader::default();
                (body, *endpoint) = move_on(node, job, flow, (*endpoint, moved));
            }
            () = sleep_until(node, Some(job.deadline)), if body.is_none() => {}
            () = node.notices.notified() => {}
            () = job.live.deserted(), if desert_at.is_none() && !job.live.run_on => {}
            () = sleep_until(node, desert_at) => {
                return ReadEnd::Deserted;
            }
        }
        if job.live.is_given_away() {
            job.live.set_stage(LiveStage::Moved);
        }
        if job.live.stage() == LiveStage::Moved {
            return ReadEnd::Whole;
        }
        if node.clock.now() >= job.deadline {
            return ReadEnd::Late;
        }
    }
}

/// The next part of the answer; pending if the connection is gone.
async fn next_chunk(body: &mut Option<BodyStream>) -> Option<Result<Bytes, ()>> {
    match body {
        Some(body) => body.next().await,
        None => std::future::pending().await,
    }
}

/// The prepared move; pending if none is being prepared.
async fn next_move(moving: &mut Option<LocalBoxFuture<'_, MovedStream>>) -> MovedStream {
    match moving {
        Some(moving) => moving.await,
        None => std::future::pending().await,
    }
}

/// Leaves the endpoint that is about to end for the one that has begun to answer.
fn move_on(
    node: &Rc<EntryNode>,
    job: &StreamJob,
    flow: &mut RequestFlow<Running>,
    (left, moved): (EndpointKey, MovedStream),
) -> (Option<BodyStream>, EndpointKey) {
    let MovedStream { body, mut place } = moved;
    place.keep();
    cancel_later(node, job);
    note_ended(&mut node.board.borrow_mut(), left);
    flow.move_to(place.instance.clone());
    shadow::update_place(job, (&place.instance, &place.address, &place.handle));
    actix_rt::spawn(shadow::put_shadow(node.clone(), job.key, job.live.clone()));
    (Some(body), place.endpoint)
}

async fn pass_half(node: &EntryNode, job: &StreamJob, passed: &mut bool) {
    if !*passed && 2 * job.live.shown() >= u64::from(job.head.output_token_limit()) {
        *passed = true;
        node.step(EntryStep::MidStream).await;
    }
}

/// When a stream whose caller has gone is given up; none while it is read or runs on without.
///
/// Kept as a time across the loop's rounds: a wait that began anew with every token would never end
/// while the engine works for nobody.
fn desert_time(
    node: &EntryNode,
    live: &LiveRequest,
    since: &mut Option<ClockTime>,
) -> Option<ClockTime> {
    if live.run_on || live.has_reader() {
        *since = None;
        return None;
    }
    Some(*since.get_or_insert(node.clock.now()) + RETURN_LIMIT)
}

/// When a stream must leave `endpoint`, as monotonic time; none while it may stay.
fn move_time(node: &EntryNode, endpoint: EndpointKey) -> Option<ClockTime> {
    let board = node.board.borrow();
    let ends_at = board.endpoints.get(endpoint)?.ends_at?;
    let left = (ends_at - node.clock.wall()).0.saturating_sub(MOVE_MARGIN.0);
    Some(node.clock.now() + TimeSpan(left))
}

async fn sleep_until(node: &EntryNode, at: Option<ClockTime>) {
    match at {
        None => std::future::pending().await,
        Some(at) => actix_rt::time::sleep((at - node.clock.now()).duration()).await,
    }
}

enum TakenEvents {
    More,
    Whole,
    Broken,
}

fn take_events(
    node: &EntryNode,
    job: &StreamJob,
    flow: &mut RequestFlow<Running>,
    reader: &mut EventReader,
) -> TakenEvents {
    loop {
        match reader.next_event() {
            Err(_) => return TakenEvents::Broken,
            Ok(None) => return TakenEvents::More,
            Ok(Some(event)) => match take_event(node, job, flow, event) {
                TakenEvents::More => {}
                other => return other,
            },
        }
    }
}

fn take_event(
    node: &EntryNode,
    job: &StreamJob,
    flow: &mut RequestFlow<Running>,
    event: AnswerEvent,
) -> TakenEvents {
    match (event.kind, event.end) {
        (EventKind::Piece, Some(end)) => {
            // The engines number each event by its last token; an event shows one token.
            let start = end.saturating_sub(1);
            match flow.take_chunk(start, end - start) {
                ChunkVerdict::Deliver { .. } => {
                    node.meter.count_tokens(1);
                    job.live.show(ShownPiece { end, raw: event.raw, last: false });
                    TakenEvents::More
                }
                ChunkVerdict::Drop => TakenEvents::More,
                // The missing tokens are fetched by asking for the stream from the shown offset.
                ChunkVerdict::Gap { .. } => TakenEvents::Broken,
            }
        }
        (EventKind::Finish, Some(end)) => {
            if !flow.finish(end) {
                return TakenEvents::Broken;
            }
            job.live.show(ShownPiece { end, raw: event.raw, last: true });
            let done = Bytes::from_static(b"data: [DONE]\n\n");
            job.live.show(ShownPiece { end, raw: done, last: true });
            TakenEvents::Whole
        }
        (EventKind::Done, _) => TakenEvents::Broken,
        (_, None) => TakenEvents::More,
    }
}

fn cut_answer(
    node: &EntryNode,
    job: &mut StreamJob,
    flow: RequestFlow<Running>,
    endpoint: EndpointKey,
) -> Attempt {
    let now = node.clock.now();
    note_failure(&mut node.board.borrow_mut(), endpoint, &node.health, now);
    node.list_wanted.notify_one();
    let lives = node.board.borrow().endpoints.get(endpoint).is_some();
    if let Some(instance) = flow.endpoint() {
        job.tried.push(instance.clone());
    }
    next_attempt(flow.connection_lost(now, lives))
}

/// Tells the endpoint that nobody wants the stream any more, so that it computes no more of it.
pub async fn cancel_upstream(node: &EntryNode, job: &StreamJob) {
    if let Some((address, handle)) = upstream(job) {
        cancel_at(node, &address, &handle).await;
    }
}

/// The same without waiting for the endpoint's answer.
fn cancel_later(node: &Rc<EntryNode>, job: &StreamJob) {
    let Some((address, handle)) = upstream(job) else { return };
    let node = node.clone();
    actix_rt::spawn(async move { cancel_at(&node, &address, &handle).await });
}

/// The address of the endpoint that runs the stream, and its handle there.
fn upstream(job: &StreamJob) -> Option<(CompactString, CompactString)> {
    let record = job.live.record.borrow();
    record.as_ref().map(|record| (record.address.clone(), record.handle.clone()))
}

/// Cancels the stream of `handle` at the endpoint at `address`.
pub async fn cancel_at(node: &EntryNode, address: &str, handle: &str) {
    let url = format!("http://{address}/v1/streams/{handle}");
    let limit = TimeSpan(1000).duration();
    if let Err(fault) = node.client.delete(url).timeout(limit).send().await {
        slog::info!(node.log, "a stream was not cancelled";
            "handle" => handle, "fault" => fault.to_string());
    }
}

fn close_books(node: &Rc<EntryNode>, job: &StreamJob, ending: EndState) {
    let moved = job.live.stage() == LiveStage::Moved;
    if moved {
        node.book.borrow_mut().end(job.key);
        return;
    }
    match ending {
        EndState::Complete => {
            shadow::keep_stream(node, job.key, &job.live);
            job.live.set_stage(LiveStage::Whole);
            node.meter.count_result(0);
        }
        EndState::Refused(code) | EndState::Uncertain(code) => {
            job.live.set_stage(LiveStage::Failed(code));
            node.meter.count_result(code.number());
            oleander_board::log_code(&node.log, job.live.id.as_str(), code, "stream ended");
        }
    }
    node.book.borrow_mut().end(job.key);
    job.live.release();
    // A request that another entry admitted was counted there.
    if !job.adopted {
        node.limits.borrow_mut().release(&job.live.account);
    }
    shadow::drop_shadow(node, job.key, &job.live);
}

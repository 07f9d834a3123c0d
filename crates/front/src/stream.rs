//! Forwards answers that are server-sent event streams, and resumes broken ones.

use crate::answer::AnswerStage;
use crate::answering::EarlyAnswer;
use crate::attempt::SILENCE_TOLERANCE;
use crate::drive::{AttemptOutcome, CallContext};
use crate::events::event;
use crate::standby::AnswerSilence;
use crate::work::WorkGuard;
use crate::{origins, paths};
use actix_http::StatusCode;
use actix_http::header::HeaderMap;
use bytes::{Bytes, BytesMut};
use oleander_call::{AttemptEnd, EventSplitter, RepeatRule, StreamTail, TailVerdict};
use oleander_kind::TimeSpan;
use oleander_outlet::{BodyEnd, BodyPart, IdleLink, LinkError};
use std::time::Duration;
use tokio::time::Instant;

/// Multiple of the route's pause objective after which another endpoint is sought for a silent stream.
/// An engine that has to prefill a prompt again in the middle of a stream is silent for a few hundred
/// milliseconds; callers disconnect after about eight such pauses.
const STALL_PAUSES: u32 = 3;

/// Forwards events to the caller as they arrive.
///
/// The response head is sent with the first event, so that an attempt that breaks before it can be
/// retried unnoticed by the caller. Only complete events are sent: a stream that breaks in the middle of
/// an event is resumed after the last complete one. The end is framed as the endpoint framed it. Without `work`, a peer answers, which accounts for the
/// work of the endpoint.
pub(crate) async fn forward_events(
    context: &mut CallContext<'_, '_>,
    early: EarlyAnswer,
    mut work: Option<&mut WorkGuard>,
) -> (AttemptOutcome, Option<IdleLink>) {
    let (mut head, mut body, read) = early.into_parts();
    let mut read = Some(read).filter(|read| !read.is_empty());
    let status = head.status;
    let mut headers = std::mem::replace(head.headers_mut(), HeaderMap::new());
    context.node.dialect.strip_answer(&mut headers);
    let mut headers = Some(headers);
    let mut splitter = EventSplitter::default();
    let expected_end = body.expected_end();
    let goes_on = context.last_event.is_some();
    let mut resumes = context.answer.stage() != AnswerStage::Waiting;
    let patience = work.as_ref().and_then(|_| context.first_patience());
    let mut silence = AnswerSilence::begin(patience);
    let (node, key) = (context.node.clone(), work.as_ref().map(|work| work.key()));
    let mut are_parts_sound = false;
    let body_end = loop {
        let part = match read.take() {
            Some(read) => Some(Some(Ok(BodyPart::Bytes(read)))),
            None => {
                let reading = node.run_until_replaced(key, body.next());
                let must_state = context.answer.must_state_end();
                let is_complete = |end| {
                    let tail =
                        StreamTail::after(&splitter, end == BodyEnd::Stated, (goes_on, must_state));
                    tail.verdict() == TailVerdict::Complete
                };
                let is_end = |read: &Option<oleander_outlet::Result<BodyPart>>| match read {
                    Some(Ok(BodyPart::Bytes(_))) => false,
                    Some(Ok(BodyPart::End(end))) => !is_complete(*end),
                    Some(Err(_)) | None => true,
                };
                context.read_patiently(silence, reading, is_end).await
            }
        };
        let bytes = match part {
            Some(Some(Ok(BodyPart::Bytes(bytes)))) => bytes,
            Some(Some(Ok(BodyPart::End(end)))) => break end,
            Some(broken) => {
                context.fault = Some(describe_break(broken.and_then(Result::err)));
                return (AttemptOutcome::Ended(AttemptEnd::Broken, None), None);
            }
            None => return (AttemptOutcome::Ended(AttemptEnd::TimedOut, None), None),
        };
        splitter.push(&bytes);
        let Some(out) = complete_events(context, &mut splitter) else {
            return (AttemptOutcome::Ended(AttemptEnd::Broken, None), None);
        };
        if out.is_empty() {
            continue;
        }
        if let Some(work) = &mut work {
            paths::note_answered(&node, &context.service);
            work.note_prompt_read();
            work.note_answered();
            context.answer_began.get_or_insert_with(Instant::now);
            if work.has_survived() && !std::mem::replace(&mut are_parts_sound, true) {
                context.note_sound_parts();
            }
        }
        if context.answer.stage() == AnswerStage::Waiting {
            origins::bind_begun(context);
            context.record_usage(Duration::ZERO);
            context.note_read();
            context.first_chunk_at = Some(Instant::now());
        } else if resumes {
            context.node.meter.count_resume();
            event!(context.node, StreamResumed;
                "request" => context.call.id.as_str(),
                "endpoint" => context.endpoint.as_ref().map(|id| id.as_str()),
                "version" => context.version.as_deref(),
                "last_event" => context.last_event);
        }
        resumes = false;
        note_chunk(context);
        if write_events(context, (status, expected_end), &mut headers, out).await.is_err() {
            return (AttemptOutcome::CallerGone, None);
        }
        silence = AnswerSilence::begin(context.stall_patience(key.is_none()));
    };
    let caller = (goes_on, context.answer.must_state_end());
    let tail = StreamTail::after(&splitter, body_end == BodyEnd::Stated, caller);
    let rest = splitter.take_rest();
    context.body_end = Some(body_end);
    context.rest_bytes = rest.len();
    match tail.verdict() {
        TailVerdict::Complete => {}
        TailVerdict::BrokenOff => return (AttemptOutcome::Ended(AttemptEnd::Broken, None), None),
        TailVerdict::Unstated => return (AttemptOutcome::Ended(AttemptEnd::Unstated, None), None),
    }
    let written = async {
        if context.answer.stage() == AnswerStage::Waiting {
            let headers = headers.take().unwrap_or_default();
            let received = (rest.into_bytes(), body_end);
            return context.answer.write_received(status, headers, received).await;
        }
        write_events(context, (status, expected_end), &mut headers, rest.into_bytes()).await?;
        context.answer.finish().await
    };
    match written.await {
        Ok(()) => {
            note_pauses(context);
            (AttemptOutcome::Delivered, body.into_idle())
        }
        Err(_) => (AttemptOutcome::CallerGone, None),
    }
}

/// Why an answer broke off: by a `fault` of its connection, or because the endpoint has started again.
pub(crate) fn describe_break(fault: Option<LinkError>) -> String {
    fault.map_or_else(|| "the endpoint has started again".to_owned(), |fault| fault.to_string())
}

/// The complete events in `splitter` that the caller has not received yet; `None` if an event is too long.
fn complete_events(
    context: &mut CallContext<'_, '_>,
    splitter: &mut EventSplitter,
) -> Option<Bytes> {
    let mut out = BytesMut::new();
    while let Some(event) = splitter.next_event().ok()? {
        if !event.is_after(context.last_event) {
            continue;
        }
        context.last_event = event.id.or(context.last_event);
        out.extend_from_slice(&event.raw);
    }
    Some(out.freeze())
}

async fn write_events(
    context: &mut CallContext<'_, '_>,
    (status, end): (StatusCode, BodyEnd),
    headers: &mut Option<HeaderMap>,
    chunk: Bytes,
) -> std::io::Result<()> {
    if context.answer.stage() == AnswerStage::Waiting {
        // A resumed stream keeps the head of its first attempt.
        context.answer.begin_stream(status, headers.take().unwrap_or_default(), end)?;
    }
    if chunk.is_empty() {
        return Ok(());
    }
    context.answer.write_chunk(chunk).await
}

/// Updates the longest pause between two chunks, including the time that a resumption took.
fn note_chunk(context: &mut CallContext<'_, '_>) {
    let now = Instant::now();
    if let Some(before) = context.last_chunk_at.replace(now) {
        let pause = TimeSpan(now.duration_since(before).as_millis() as u64);
        context.longest_pause = context.longest_pause.max(Some(pause));
    }
}

/// Records whether a finished stream paused for longer than the route allows. A stream that took less than twice
/// that pause is not counted: hardly any prompt can have been prefilled at its engine meanwhile.
fn note_pauses(context: &CallContext<'_, '_>) {
    let (Some(longest), Some(first_chunk_at)) = (context.route().pause, context.first_chunk_at)
    else {
        return;
    };
    if first_chunk_at.elapsed() >= 2 * longest.duration() {
        context.node.note_paused(&context.service, context.longest_pause > Some(longest));
    }
}

impl CallContext<'_, '_> {
    /// How long a stream may be silent until another attempt is prepared; `None` if there can be none. A peer that
    /// relays it prepares one itself.
    fn stall_patience(&self, is_relayed: bool) -> Option<Duration> {
        let route = self.route();
        let is_resumable = route.repeat == RepeatRule::Resume && !is_relayed;
        let pause = route.pause.filter(|_| is_resumable)?;
        Some((pause.duration() * STALL_PAUSES).max(SILENCE_TOLERANCE))
    }
}

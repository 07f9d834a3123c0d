//! Forwards answers that are server-sent event streams, and resumes broken ones.

use crate::answer::AnswerStage;
use crate::answering::{AnswerFault, EarlyAnswer, StreamPart};
use crate::attempt::SILENCE_TOLERANCE;
use crate::drive::{AttemptOutcome, CallContext};
use crate::events::event;
use crate::standby::AnswerSilence;
use crate::work::WorkGuard;
use crate::{origins, paths};
use actix_http::StatusCode;
use actix_http::header::HeaderMap;
use bytes::Bytes;
use oleander_call::{AttemptEnd, RepeatRule, TailVerdict};
use oleander_kind::TimeSpan;
use oleander_outlet::{BodyEnd, IdleLink};
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
/// an event is resumed after the last complete one. The end is framed as the endpoint framed it. Without `work`, a peer
/// answers, which accounts for the work of the endpoint.
pub(crate) async fn forward_events(
    context: &mut CallContext<'_, '_>,
    mut early: EarlyAnswer,
    mut work: Option<&mut WorkGuard>,
) -> (AttemptOutcome, Option<IdleLink>) {
    let status = early.head.status;
    let mut headers = std::mem::replace(early.head.headers_mut(), HeaderMap::new());
    context.node.dialect.strip_answer(&mut headers);
    let mut headers = Some(headers);
    let expected_end = early.body.expected_end();
    let goes_on = context.last_event.is_some();
    let mut resumes = context.answer.stage() != AnswerStage::Waiting;
    let patience = work.as_ref().and_then(|_| context.first_patience());
    let mut silence = AnswerSilence::begin(patience);
    let (node, key) = (context.node.clone(), work.as_ref().map(|work| work.key()));
    let mut are_parts_sound = false;
    let (body_end, verdict) = loop {
        let reading = node.run_until_replaced(key, early.next_part(context.last_event, goes_on));
        let is_end = |read: &Option<Result<StreamPart, AnswerFault>>| match read {
            Some(Ok(StreamPart::Events)) => false,
            Some(Ok(StreamPart::End(_, verdict))) => *verdict != TailVerdict::Complete,
            Some(Err(_)) | None => true,
        };
        match context.read_patiently(silence, reading, is_end).await {
            Some(Some(Ok(StreamPart::Events))) => {}
            Some(Some(Ok(StreamPart::End(end, verdict)))) => break (end, verdict),
            Some(broken) => {
                let fault = broken.and_then(Result::err).unwrap_or(AnswerFault::Restarted);
                context.fault = Some(fault.to_string());
                return (AttemptOutcome::Ended(AttemptEnd::Broken, None), None);
            }
            None => return (AttemptOutcome::Ended(AttemptEnd::TimedOut, None), None),
        }
        let out = joined_events(context, &mut early);
        if let Some(work) = &mut work {
            paths::note_answered(&node, &context.service, work.key());
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
    let rest = early.take_rest();
    context.body_end = Some(body_end);
    context.rest_bytes = rest.len();
    let fault = match verdict {
        TailVerdict::Complete => None,
        TailVerdict::BrokenOff => Some(AttemptEnd::Broken),
        TailVerdict::Unproven => context.prove_end(key).await.attempt_end(),
    };
    if let Some(end) = fault {
        return (AttemptOutcome::Ended(end, None), None);
    }
    context.leave_standby(silence);
    let written = async {
        if context.answer.stage() == AnswerStage::Waiting {
            let headers = headers.take().unwrap_or_default();
            let body = (rest.into_bytes().into(), body_end);
            return context.answer.write_complete(status, headers, body).await;
        }
        write_events(context, (status, expected_end), &mut headers, rest.into_bytes()).await?;
        context.answer.finish().await
    };
    match written.await {
        Ok(()) => {
            note_pauses(context);
            (AttemptOutcome::Delivered, early.body.into_idle())
        }
        Err(_) => (AttemptOutcome::CallerGone, None),
    }
}

/// The events that were received, which the caller will have.
fn joined_events(context: &mut CallContext<'_, '_>, early: &mut EarlyAnswer) -> Bytes {
    let events = early.take_events();
    context.last_event = events.iter().rev().find_map(|event| event.id).or(context.last_event);
    events.iter().map(|event| event.raw.as_ref()).collect::<Vec<_>>().concat().into()
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

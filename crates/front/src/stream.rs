//! Answers that are streams of events.

use crate::answer::AnswerStage;
use crate::drive::{AttemptOutcome, CallRun};
use crate::events::event;
use crate::work::WorkGuard;
use actix_http::ResponseHead;
use actix_http::header::HeaderMap;
use bytes::{Bytes, BytesMut};
use oleander_call::{AttemptEnd, EventCutter, RepeatRule};
use oleander_kind::TimeSpan;
use oleander_outlet::{BodyLink, IdleLink};
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Times the longest pause of an on-time stream after which a silent stream is gone on with
/// elsewhere. An engine that has to read a prompt again in the middle of a stream is silent for a
/// few hundred milliseconds; callers leave after about eight such pauses.
const PAUSE_PATIENCE: u32 = 3;

/// Passes events on as they come.
///
/// The head leaves with the first event, so that an attempt that breaks before it can be replaced
/// without a trace. Only whole events leave: a stream that breaks in the middle of one goes on from
/// the last whole one.
pub async fn pass_events(
    run: &mut CallRun<'_, '_>,
    mut body: BodyLink,
    mut head: ResponseHead,
    work: &mut WorkGuard,
) -> (AttemptOutcome, Option<IdleLink>) {
    let status = head.status;
    let mut headers = std::mem::replace(head.headers_mut(), HeaderMap::new());
    run.node.dialect.strip_answer(&mut headers);
    let mut headers = Some(headers);
    let mut cutter = EventCutter::default();
    let mut resumes = run.answer.stage() != AnswerStage::Waiting;
    let mut limit = run.first_limit();
    let (node, key) = (run.node.clone(), work.key());
    loop {
        let bytes = match timeout_at(limit, node.run_until_replaced(key, body.next())).await {
            Ok(Some(Ok(Some(bytes)))) => bytes,
            Ok(Some(Ok(None))) => break,
            Ok(Some(Err(_)) | None) => {
                return (AttemptOutcome::Ended(AttemptEnd::Broken, None), None);
            }
            Err(_) => return (AttemptOutcome::Ended(AttemptEnd::Silent, None), None),
        };
        cutter.push(&bytes);
        let Some(out) = whole_events(run, &mut cutter) else {
            return (AttemptOutcome::Ended(AttemptEnd::Broken, None), None);
        };
        if out.is_empty() {
            continue;
        }
        work.prompt_read();
        work.answered();
        if run.answer.stage() == AnswerStage::Waiting {
            run.note_began(Duration::ZERO);
            run.note_read();
            run.first_at = Some(Instant::now());
        } else if resumes {
            run.node.meter.count_resume();
            event!(run.node, StreamResumed;
                "request" => run.call.id.as_str(),
                "endpoint" => run.endpoint.as_ref().map(|id| id.as_str()),
                "last_event" => run.last_event);
        }
        resumes = false;
        note_piece(run);
        if write_piece(run, status, &mut headers, out).await.is_err() {
            return (AttemptOutcome::CallerGone, None);
        }
        limit = pause_limit(run);
    }
    let rest = cutter.take_rest();
    let written = async {
        write_piece(run, status, &mut headers, rest).await?;
        run.answer.finish().await
    };
    match written.await {
        Ok(()) => {
            note_ended(run);
            (AttemptOutcome::Delivered, body.into_idle())
        }
        Err(_) => (AttemptOutcome::CallerGone, None),
    }
}

/// The whole events that `cutter` holds, without those the caller has; `None` if one has no end.
fn whole_events(run: &mut CallRun<'_, '_>, cutter: &mut EventCutter) -> Option<Bytes> {
    let mut out = BytesMut::new();
    while let Some(event) = cutter.next_event().ok()? {
        let known = matches!((event.id, run.last_event), (Some(id), Some(last)) if id <= last);
        if known {
            continue;
        }
        run.last_event = event.id.or(run.last_event);
        out.extend_from_slice(&event.raw);
    }
    Some(out.freeze())
}

async fn write_piece(
    run: &mut CallRun<'_, '_>,
    status: actix_http::StatusCode,
    headers: &mut Option<HeaderMap>,
    piece: Bytes,
) -> std::io::Result<()> {
    if run.answer.stage() == AnswerStage::Waiting {
        // A stream that goes on elsewhere keeps the head it began with.
        run.answer.begin(status, headers.take().unwrap_or_default())?;
    }
    if piece.is_empty() {
        return Ok(());
    }
    run.answer.piece(piece).await
}

/// Notes how long the caller waited for this piece since the one before, a change of the engine
/// included.
fn note_piece(run: &mut CallRun<'_, '_>) {
    let now = Instant::now();
    if let Some(before) = run.piece_at.replace(now) {
        let pause = TimeSpan(now.duration_since(before).as_millis() as u64);
        run.pause = run.pause.max(Some(pause));
    }
}

/// Notes of a stream that came to its end whether it paused for too long. One that ran for less than twice the
/// longest pause says nothing: hardly any prompt was read meanwhile.
fn note_ended(run: &CallRun<'_, '_>) {
    let (Some(longest), Some(first_at)) = (run.route().pause, run.first_at) else { return };
    if first_at.elapsed() >= 2 * longest.duration() {
        run.node.note_paused(&run.service, run.pause > Some(longest));
    }
}

fn pause_limit(run: &CallRun<'_, '_>) -> Instant {
    let route = run.route();
    match (route.repeat, route.pause) {
        (RepeatRule::Resume, Some(pause)) => {
            run.deadline.min(Instant::now() + pause.duration() * PAUSE_PATIENCE)
        }
        _ => run.deadline,
    }
}

//! Forwards answers that are not streams, buffered until they are complete.

use crate::answering::{AnswerFault, EarlyAnswer};
use crate::drive::{AttemptOutcome, CallContext, EndpointAnswer};
use crate::standby::AnswerSilence;
use oleander_call::{AnswerHead, AttemptEnd};
use oleander_outlet::{BodyEnd, IdleLink};
use oleander_place::EndpointKey;
use std::time::Duration;
use tokio::time::{Instant, timeout};

/// Largest body that is buffered, in bytes; a longer one fails the attempt. Buffering lets a retry replace
/// an answer that breaks off. Answers of plain services are a few kilobytes.
pub(crate) const BUFFER_LIMIT: usize = 4 << 20;

/// How long the rest of an answer is read that is not passed on, so that its connection can be kept.
const REST_TIME: Duration = Duration::from_millis(20);

/// Reads a complete answer and writes it to the caller. A server error is returned instead, because a
/// retry may succeed, and so is whatever cannot go on with a begun stream. Without a `key`, a peer answers.
pub(crate) async fn forward_whole(
    context: &mut CallContext<'_, '_>,
    mut early: EarlyAnswer,
    answer_head: &AnswerHead,
    key: Option<EndpointKey>,
) -> (AttemptOutcome, Option<IdleLink>) {
    // Another endpoint has begun to answer, or nothing of this answer is passed on.
    let is_useless = context.standby.is_some() && !context.may_forward(early.head.status);
    if answer_head.not_run || is_useless {
        let end = if answer_head.not_run { AttemptEnd::RefusedNotRun } else { AttemptEnd::Failed };
        let rest = timeout(REST_TIME, early.body.skip()).await;
        let link = rest.is_ok_and(|rest| rest.is_ok()).then(|| early.body.into_idle());
        return (AttemptOutcome::Ended(end, None), link.flatten());
    }
    let (node, hold) = (context.node.clone(), context.hold.clone());
    let patience = key.and_then(|_| context.first_patience());
    let reading = node.run_until_replaced(key, early.read_whole(&hold));
    let is_end = |read: &Option<Result<BodyEnd, AnswerFault>>| !matches!(read, Some(Ok(_)));
    let body_end =
        match context.read_patiently(AnswerSilence::begin(patience), reading, is_end).await {
            Some(Some(Ok(end))) => end,
            Some(broken) => {
                let fault = broken.and_then(Result::err).unwrap_or(AnswerFault::Restarted);
                context.fault = Some(fault.to_string());
                return (AttemptOutcome::Ended(AttemptEnd::Broken, None), None);
            }
            None => return (AttemptOutcome::Ended(AttemptEnd::TimedOut, None), None),
        };
    context.body_end = Some(body_end);
    if body_end == BodyEnd::Closed
        && let Some(end) = context.prove_end(key).await.attempt_end()
    {
        return (AttemptOutcome::Ended(end, None), None);
    }
    let (mut head, body, kept) = early.into_parts();
    let link = body.into_idle();
    context.node.dialect.strip_answer(head.headers_mut());
    let headers = std::mem::replace(head.headers_mut(), actix_http::header::HeaderMap::new());
    let received = EndpointAnswer { status: head.status, headers, body: (kept, body_end) };
    if !context.may_forward(head.status) {
        return (AttemptOutcome::Ended(AttemptEnd::Failed, Some(received)), link);
    }
    context.first_chunk_at = Some(Instant::now());
    match context.answer.write_received(received).await {
        Ok(()) => (AttemptOutcome::Delivered, link),
        Err(_) => (AttemptOutcome::CallerGone, link),
    }
}

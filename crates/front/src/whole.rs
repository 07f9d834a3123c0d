//! Forwards answers that are not streams, buffered until they are complete.

use crate::answering::{EarlyAnswer, StreamFault};
use crate::drive::{AttemptOutcome, CallContext, EndpointAnswer};
use bytes::BytesMut;
use oleander_call::{AnswerHead, AttemptEnd};
use oleander_outlet::{BodyPart, IdleLink};
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
    early: EarlyAnswer,
    answer_head: &AnswerHead,
    key: Option<EndpointKey>,
) -> (AttemptOutcome, Option<IdleLink>) {
    let (mut head, mut body, read) = early.into_parts();
    // Another endpoint has begun to answer, or nothing of this answer is passed on.
    let is_useless = context.standby.is_some() && !context.may_forward(head.status);
    if answer_head.not_run || is_useless {
        let end = if answer_head.not_run { AttemptEnd::RefusedNotRun } else { AttemptEnd::Failed };
        let rest = timeout(REST_TIME, body.skip()).await;
        let link = rest.is_ok_and(|rest| rest.is_ok()).then(|| body.into_idle());
        return (AttemptOutcome::Ended(end, None), link.flatten());
    }
    let mut bytes = BytesMut::from(read);
    let node = context.node.clone();
    let body_end = loop {
        match node.run_until_replaced(key, body.next()).await {
            Some(Ok(BodyPart::Bytes(more))) if bytes.len() + more.len() <= BUFFER_LIMIT => {
                bytes.extend_from_slice(&more);
            }
            Some(Ok(BodyPart::End(end))) => break end,
            broken => {
                let fault = match broken {
                    Some(Ok(_)) => StreamFault::AnswerTooLong,
                    Some(Err(fault)) => fault.into(),
                    None => StreamFault::Restarted,
                };
                context.fault = Some(fault.to_string());
                return (AttemptOutcome::Ended(AttemptEnd::Broken, None), None);
            }
        }
    };
    context.body_end = Some(body_end);
    let link = body.into_idle();
    context.node.dialect.strip_answer(head.headers_mut());
    let headers = std::mem::replace(head.headers_mut(), actix_http::header::HeaderMap::new());
    let received =
        EndpointAnswer { status: head.status, headers, body: (bytes.freeze(), body_end) };
    if !context.may_forward(head.status) {
        return (AttemptOutcome::Ended(AttemptEnd::Failed, Some(received)), link);
    }
    context.first_chunk_at = Some(Instant::now());
    match context.answer.write_received(received.status, received.headers, received.body).await {
        Ok(()) => (AttemptOutcome::Delivered, link),
        Err(_) => (AttemptOutcome::CallerGone, link),
    }
}

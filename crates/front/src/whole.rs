//! Answers of one body.

use crate::drive::{AttemptOutcome, CallRun, OwnAnswer};
use actix_http::ResponseHead;
use bytes::BytesMut;
use oleander_call::{AnswerMark, AttemptEnd};
use oleander_outlet::{BodyLink, IdleLink};
use oleander_place::EndpointKey;
use tokio::time::Instant;

/// The longest body that is held until it is whole, in bytes. Holding it lets another attempt
/// replace an answer that breaks off; answers of plain services are a few kilobytes.
const HELD_LIMIT: usize = 4 << 20;

/// Reads a whole answer and gives it to the caller, or back to the caller of this function if
/// another attempt may do better.
pub async fn pass_whole(
    run: &mut CallRun<'_, '_>,
    mut body: BodyLink,
    mut head: ResponseHead,
    mark: &AnswerMark,
    key: EndpointKey,
) -> (AttemptOutcome, Option<IdleLink>) {
    let mut bytes = BytesMut::new();
    let node = run.node.clone();
    loop {
        match node.run_until_replaced(key, body.next()).await {
            Some(Ok(Some(more))) if bytes.len() + more.len() <= HELD_LIMIT => {
                bytes.extend_from_slice(&more);
            }
            Some(Ok(None)) => break,
            Some(Ok(Some(_)) | Err(_)) | None => {
                let end = if mark.not_run { AttemptEnd::RefusedNotRun } else { AttemptEnd::Broken };
                return (AttemptOutcome::Ended(end, None), None);
            }
        }
    }
    let link = body.into_idle();
    if mark.not_run {
        return (AttemptOutcome::Ended(AttemptEnd::RefusedNotRun, None), link);
    }
    run.node.dialect.strip_answer(head.headers_mut());
    let headers = std::mem::replace(head.headers_mut(), actix_http::header::HeaderMap::new());
    let own = OwnAnswer { status: head.status, headers, body: bytes.freeze() };
    if head.status.is_server_error() {
        return (AttemptOutcome::Ended(AttemptEnd::Failed, Some(own)), link);
    }
    run.first_at = Some(Instant::now());
    match run.answer.whole(own.status, own.headers, own.body).await {
        Ok(()) => (AttemptOutcome::Delivered, link),
        Err(_) => (AttemptOutcome::CallerGone, link),
    }
}

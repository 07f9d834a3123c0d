//! Finds the version to which a stream is bound.

use super::send::{holders, keepers, queue};
use super::take_up_span;
use crate::drive::CallContext;
use crate::events::event;
use crate::mesh::call_peer;
use crate::node::FrontNode;
use compact_str::CompactString;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use oleander_call::{AnswerShape, CallHead, RouteRule};
use oleander_kind::{AccountName, ClockTime, ResultCode, ServiceName, TimeSpan};
use oleander_mesh::{MeshBody, OriginQuestion};
use oleander_origin::{
    ASKED_HOLDERS, InquiryStep, OriginAnswer, OriginBasis, OriginInquiry, OwnKnowledge, StreamKey,
};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// How long another process may take to answer.
const ASK_TIMEOUT: TimeSpan = TimeSpan(300);
/// How long the store's next confirmation of the list is awaited, and the pause between two looks.
const CONFIRM_TIMEOUT: TimeSpan = TimeSpan(700);
const CONFIRM_PAUSE: Duration = Duration::from_millis(20);
/// Retry-After time if no other process answered: one that does not answer is taken for gone by then.
const UNANSWERED_RETRY: TimeSpan = TimeSpan(500);

/// The software version to which a request is bound.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum StreamBinding {
    /// To none: no part of an answer exists.
    Free,
    /// To this one.
    To(CompactString),
    /// To one that is not known here. Nobody may go on with the stream.
    Unknown,
}

impl StreamBinding {
    /// The version, if it is bound to one that is known.
    pub(crate) fn version(&self) -> Option<&str> {
        match self {
            StreamBinding::To(version) => Some(version),
            StreamBinding::Free | StreamBinding::Unknown => None,
        }
    }
}

/// Why a stream cannot be taken up now.
#[derive(Clone, Copy, Debug)]
pub(crate) struct BindingRefusal {
    pub code: ResultCode,
    /// The Retry-After time, if coming back can help.
    pub retry: Option<TimeSpan>,
}

/// The key of the stream that a request begins or takes up.
pub(crate) fn stream_key(
    call: &CallHead,
    account: Option<&AccountName>,
    service: &ServiceName,
) -> StreamKey {
    StreamKey::of(account, service, call.resumes.as_ref().unwrap_or(&call.id))
}

/// Binds a request that takes up a stream to the version that began it; others are free.
pub(crate) async fn bind_request(
    node: &Rc<FrontNode>,
    (call, route): (&CallHead, &RouteRule),
    (account, service): (Option<&AccountName>, &ServiceName),
) -> Result<StreamBinding, BindingRefusal> {
    let takes_up = call.last_event.is_some() || call.resumes.is_some() || call.origin.is_some();
    if route.shape != AnswerShape::Events || !takes_up {
        return Ok(StreamBinding::Free);
    }
    let told = call.origin.as_ref().filter(|_| call.relayed_attempts.is_some());
    if let Some(version) = told {
        return Ok(StreamBinding::To(version.clone()));
    }
    let question = OriginQuestion {
        key: stream_key(call, account, service),
        service: service.clone(),
        span: take_up_span(node, service),
    };
    let asked_at = node.clock.now();
    let inquiry = inquire(node, &question).await;
    log_inquiry(node, call, service, (&inquiry, asked_at));
    match inquiry.found {
        Some((version, _)) => Ok(StreamBinding::To(version)),
        None => {
            let is_unanswered = inquiry.asked > 0 && inquiry.answered == 0;
            let retry = is_unanswered.then_some(UNANSWERED_RETRY);
            Err(BindingRefusal { code: ResultCode::OriginUnknown, retry })
        }
    }
}

/// What an inquiry came to, and how many processes were asked and answered.
struct InquiryOutcome {
    found: Option<(CompactString, OriginBasis)>,
    asked: usize,
    answered: usize,
}

async fn inquire(node: &Rc<FrontNode>, question: &OriginQuestion) -> InquiryOutcome {
    let arrived_at = node.clock.now();
    let keepers = keepers(node, question.key);
    let own = own_knowledge(node, question, arrived_at);
    let (mut inquiry, step) = OriginInquiry::begin(own, keepers.len());
    let mut outcome = InquiryOutcome { found: None, asked: 0, answered: 0 };
    match step {
        InquiryStep::Bound(version, basis) => {
            outcome.found = Some((version, basis));
            return outcome;
        }
        InquiryStep::Unknown => return outcome,
        InquiryStep::Open => {}
    }
    let asked = holders(node, question.key, (ASKED_HOLDERS, true));
    outcome.asked = asked.len();
    let mut answers: FuturesUnordered<_> =
        asked.into_iter().map(|address| ask(node, address, question.clone())).collect();
    while let Some((address, answer)) = answers.next().await {
        let Some(answer) = answer else { continue };
        outcome.answered += 1;
        match inquiry.take(&answer, keepers.contains(&address)) {
            InquiryStep::Bound(version, basis) => {
                outcome.found = Some((version, basis));
                return outcome;
            }
            InquiryStep::Unknown => return outcome,
            InquiryStep::Open => {}
        }
    }
    let is_confirmed =
        inquiry.awaits_confirmation() && list_confirmed_since(node, arrived_at).await;
    // The confirmation may have brought another version.
    let confirmed = own_knowledge(node, question, node.clock.now()).alone.filter(|_| is_confirmed);
    if let InquiryStep::Bound(version, basis) = inquiry.conclude(confirmed.as_ref()) {
        outcome.found = Some((version, basis));
    }
    outcome
}

fn own_knowledge(node: &FrontNode, question: &OriginQuestion, now: ClockTime) -> OwnKnowledge {
    let origins = node.origins.borrow();
    let OriginQuestion { key, service, span } = question;
    OwnKnowledge {
        record: origins.book.get(*key, now).map(|record| record.version.clone()),
        alone: origins.history.alone(service, *span, now).cloned(),
        only_seen: origins.history.only_seen(service, *span, now).cloned(),
    }
}

async fn ask(
    node: &FrontNode,
    address: SocketAddr,
    question: OriginQuestion,
) -> (SocketAddr, Option<OriginAnswer>) {
    let Some(hub) = node.peers.get() else { return (address, None) };
    let call = (address.to_string().into(), MeshBody::AskOrigin(question));
    match call_peer(node, hub, call, ASK_TIMEOUT).await {
        Some(MeshBody::Origin(answer)) => (address, Some(answer)),
        _ => (address, None),
    }
}

/// Waits until the store has confirmed the endpoint list at or after `since`.
async fn list_confirmed_since(node: &FrontNode, since: ClockTime) -> bool {
    let until = node.clock.now() + CONFIRM_TIMEOUT;
    loop {
        if node.roster.borrow().freshness().is_some_and(|freshness| freshness.at >= since) {
            return true;
        }
        if node.clock.now() >= until {
            return false;
        }
        actix_rt::time::sleep(CONFIRM_PAUSE).await;
    }
}

fn log_inquiry(
    node: &FrontNode,
    call: &CallHead,
    service: &ServiceName,
    (inquiry, asked_at): (&InquiryOutcome, ClockTime),
) {
    let (request, resumes) = (call.id.as_str(), call.resumes.as_deref());
    let took_ms = (node.clock.now() - asked_at).0;
    node.meter.count_binding(inquiry.found.as_ref().map_or("unknown", |(_, basis)| basis.name()));
    match &inquiry.found {
        Some((version, basis)) => event!(node, StreamBound;
            "request" => request, "resumes" => resumes, "service" => service.as_str(),
            "version" => version.as_str(), "by" => basis.name(), "took_ms" => took_ms,
            "last_event" => call.last_event),
        None => event!(node, StreamUnbound;
            "request" => request, "resumes" => resumes, "service" => service.as_str(),
            "asked" => inquiry.asked, "answered" => inquiry.answered, "took_ms" => took_ms,
            "last_event" => call.last_event,
            "watched_ms" => node.origins.borrow().history.watched_for(node.clock.now()).map(|span| span.0)),
    }
}

/// Binds a stream whose first event has arrived, and records its version for callers that take it up.
pub(crate) fn bind_begun(context: &mut CallContext<'_, '_>) {
    if context.binding == StreamBinding::Free {
        context.binding = context.version.clone().map_or(StreamBinding::Unknown, StreamBinding::To);
    }
    context.answer.note_origin(context.binding.version().map(CompactString::from));
    let Some(version) = context.binding.version().map(CompactString::from) else { return };
    let node = context.node;
    let (now, span) = (node.clock.now(), take_up_span(node, &context.service));
    let key = stream_key(&context.call, context.account.as_ref(), &context.service);
    let is_certain = {
        let origins = node.origins.borrow();
        origins.history.alone(&context.service, span, now).is_some()
    };
    let own = (&context.service, &version);
    let entry = node.origins.borrow_mut().book.note_own(key, own, (now, span));
    if !is_certain {
        queue(node, entry);
    }
}

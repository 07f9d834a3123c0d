//! Serves one request: checks it, chooses an endpoint, sends it, retries it if allowed, and answers it.
//!
//! The decisions are made by the crates `call` and `place`. This module does the I/O and reports the
//! result of each attempt to them as an [`AttemptEnd`].

use crate::answer::{AnswerStage, AnswerWriter};
use crate::answering::KeptBody;
use crate::dispatch::{self, HeldPlace};
use crate::events::event;
use crate::ingress::CallerRequest;
use crate::limits::{self, QuotaCharge};
use crate::node::FrontNode;
use crate::origins::{self, StreamBinding};
use crate::relay::{self, NextHop, RelayCause};
use crate::releases::CandidatePayment;
use crate::standby::StandbyAttempt;
use crate::suspects;
use crate::trace::{CallStage, CallTrace, TraceGuard};
use actix_http::header::HeaderMap;
use actix_http::{RequestHead, StatusCode};
use compact_str::CompactString;
use oleander_board::StopStage;
use oleander_call::{
    AccountRule, AttemptEnd, AttemptRecord, CallHead, NextStep, RetryBarrier, RouteKey, RouteRule,
    RuleSet, RuleView, admit_call,
};
use oleander_hold::{BodyChain, CallerHold};
use oleander_kind::hash::{HASH_SEED, mix_bits, stable_hash};
use oleander_kind::{AccountName, InstanceId, ResultCode, ServiceName, TimeSpan};
use oleander_outlet::BodyEnd;
use oleander_place::{
    AnswerGrade, EndpointKey, PlacementChoice, PlacementRequest, RoomUse, choose_endpoint,
    queue_limit, shed_delay,
};
use oleander_suspect::{AttemptSuspects, EndpointIncarnation, RequestContent, SuspectFingerprint};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::time::{Instant, timeout_at};

/// Retry-After time if no endpoint is available: a lost endpoint is replaced or found again within
/// about this time.
const NO_ENDPOINT_RETRY: TimeSpan = TimeSpan(300);

/// Retry-After time while this process drains: the caller's next connection reaches another process.
const DRAINING_RETRY: TimeSpan = TimeSpan(20);

/// Result of serving a request; an error means that the connection to the caller must be closed.
pub type CallOutcome = io::Result<()>;

/// How one attempt ended.
pub enum AttemptOutcome {
    /// The complete answer was written to the caller.
    Delivered,
    /// The caller disconnected, so that its answer could not be written.
    CallerGone,
    /// The attempt failed and may be retried; with the endpoint's answer, if one was received to its end.
    Ended(AttemptEnd, Option<EndpointAnswer>),
}

/// Complete answer of an endpoint, kept back until it is decided whether the request is retried.
pub struct EndpointAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers to pass on to the caller.
    pub headers: HeaderMap,
    /// The body, and what showed that it had ended.
    pub body: (KeptBody, BodyEnd),
}

/// State of one request while it is served.
pub struct CallContext<'a, 'b> {
    /// The front process that serves it.
    pub node: &'a Rc<FrontNode>,
    /// Writes the answer to the caller.
    pub answer: &'a mut AnswerWriter<'b>,
    /// The parsed request head.
    pub call: CallHead,
    /// Tokens that each attempt takes from the account's rate limit; none if it has no limit.
    pub(crate) charge: Option<QuotaCharge>,
    /// Fingerprints of the content, by which a repeated request is recognized, and of the parts of its prompt that
    /// others may share: all but the last.
    pub(crate) suspects: AttemptSuspects,
    /// Charge for an attempt on the version that is being rolled out; none if it goes to a version in service.
    pub(crate) rollout_payment: Option<CandidatePayment>,
    /// When the request times out.
    pub deadline: Instant,
    /// ID of the last stream event that the caller has received.
    pub last_event: Option<u64>,
    /// The rules that were in force when the request arrived.
    pub(crate) rules: Rc<RuleSet>,
    pub(crate) route: RouteKey,
    pub(crate) service: ServiceName,
    pub(crate) account: Option<AccountName>,
    /// Priority of the account, or of the route if the account has none.
    pub(crate) rank: u8,
    pub(crate) request: RequestHead,
    pub(crate) body: BodyChain,
    /// What its caller makes this process hold.
    pub(crate) hold: Rc<CallerHold>,
    /// The attempts so far, from which it is decided whether another may be sent.
    pub(crate) record: AttemptRecord,
    /// Endpoints that failed or refused an attempt.
    pub(crate) tried: Vec<EndpointKey>,
    /// Endpoints that were asked beside a silent one, and left because they did not answer soon.
    pub(crate) left: Vec<EndpointKey>,
    /// Endpoint of the attempt under way.
    pub(crate) current: Option<EndpointKey>,
    /// Endpoint of the last attempt.
    pub(crate) endpoint: Option<InstanceId>,
    /// Software version of that endpoint.
    pub(crate) version: Option<CompactString>,
    /// The software version to which the request is bound.
    pub(crate) binding: StreamBinding,
    /// Incarnation and address of the endpoint of the last attempt.
    pub(crate) last_target: Option<(EndpointIncarnation, SocketAddr)>,
    /// The last choice of an endpoint, with the figures it was based on.
    pub(crate) chosen: Option<PlacementChoice>,
    /// Room at the endpoint of the last attempt as it was sent; `None` if it was not known to be brittle.
    pub(crate) room_use: Option<RoomUse>,
    /// Age of the endpoint list at that choice.
    pub(crate) list_age: Option<TimeSpan>,
    /// Whether the request was counted as usage: it is known to have started at an endpoint.
    pub(crate) usage_recorded: bool,
    /// When the last attempt was sent.
    pub(crate) sent_at: Option<Instant>,
    /// When the answer of the last attempt began.
    pub(crate) answer_began: Option<Instant>,
    /// When the first part of the answer was received.
    pub(crate) first_chunk_at: Option<Instant>,
    /// When the last chunk of the stream was received.
    pub(crate) last_chunk_at: Option<Instant>,
    /// Longest pause between two chunks of the stream.
    pub(crate) longest_pause: Option<TimeSpan>,
    /// What showed that the last answer had ended.
    pub(crate) body_end: Option<BodyEnd>,
    /// Bytes of a stream that followed its last complete event.
    pub(crate) rest_bytes: usize,
    /// What broke the last attempt, for the log.
    pub(crate) fault: Option<String>,
    /// The peer to which the request was relayed last.
    pub(crate) peer: Option<InstanceId>,
    /// Whether that peer may be serving it now.
    pub(crate) peer_in_flight: bool,
    /// Why the next attempt goes to a peer; `None` if it goes to an endpoint. It is not charged here, whatever the
    /// path does meanwhile.
    pub(crate) relays_next: Option<RelayCause>,
    /// The place that it holds at the endpoints of its service until it is sent, if this process dispatches it.
    pub(crate) held_place: Option<HeldPlace>,
    /// Whether the request was added to the demand of its service.
    pub(crate) has_demanded: bool,
    /// Whether the request added to the retry budget of its service.
    pub(crate) has_earned: bool,
    /// What kept the request from being sent again after its last attempt.
    pub(crate) barrier: Option<RetryBarrier>,
    /// Why an answer that had begun was cut.
    pub(crate) cut_cause: Option<CutCause>,
    /// The attempt that takes over from a silent one.
    pub(crate) standby: Option<Box<StandbyAttempt>>,
    /// What the log line of the request is written from; filled when the context is dropped.
    pub(crate) trace: Option<&'a mut CallTrace>,
}

/// Why an answer that had begun was cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutCause {
    /// The caller's connection broke.
    Caller,
    /// The request's deadline passed.
    Deadline,
    /// An attempt ended in this way and none could follow it.
    Attempt(AttemptEnd),
    /// No peer served it to the end.
    Peers,
    /// It could not go on, for this reason.
    Refused(ResultCode),
}

impl CutCause {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            CutCause::Caller => "caller",
            CutCause::Deadline => "deadline",
            CutCause::Attempt(end) => end.name(),
            CutCause::Peers => "peers",
            CutCause::Refused(code) => code.name(),
        }
    }
}

/// Serves one request and writes its log line.
///
/// # Errors
/// If the connection to the caller must be closed.
pub async fn serve_call<'a>(
    node: &'a Rc<FrontNode>,
    request: CallerRequest,
    answer: &mut AnswerWriter<'a>,
) -> CallOutcome {
    let mut trace = TraceGuard::new(node);
    let outcome = answer_call(node, request, answer, &mut trace.trace).await;
    trace.finish(answer, &outcome);
    outcome
}

async fn answer_call<'a>(
    node: &'a Rc<FrontNode>,
    mut request: CallerRequest,
    answer: &mut AnswerWriter<'a>,
    trace: &mut CallTrace,
) -> CallOutcome {
    let arrived = trace.arrived;
    let call = match node.dialect.parse_request(&request.head) {
        Ok(call) => call,
        Err(code) => return answer.refuse(code, None).await,
    };
    trace.request = call.id.clone();
    trace.resumes = call.resumes.clone();
    if call.relayed_attempts.is_some() {
        answer.mark_relayed(node.dialect.as_ref());
    }
    let rules = node.current_rules();
    let view = RuleView {
        rules: rules.as_deref(),
        fresh: node.rules_are_fresh(),
        superseded: node.rules_are_superseded(),
    };
    trace.rules = node.rules.borrow().version();
    trace.fresh = view.fresh;
    let admitted = match admit_call(view, &call) {
        Ok(admitted) => admitted,
        Err(code) => return answer.refuse(code, retry_after(code)).await,
    };
    let Some(rules) = rules else {
        return answer.refuse(ResultCode::NoBundle, Some(NO_ENDPOINT_RETRY)).await;
    };
    let route = rules.route(admitted.route);
    if matches!(node.stop.get(), StopStage::Draining | StopStage::Stopped) {
        // The request could outlast the process. The load balancer sends the next connection to another one.
        answer.close_after();
        return answer.refuse(ResultCode::Draining, Some(DRAINING_RETRY)).await;
    }
    let Some(service) = route.service_for(stream_salt(&call)).cloned() else {
        return answer.refuse(ResultCode::NoEndpoint, Some(NO_ENDPOINT_RETRY)).await;
    };
    trace.service = service.0.clone();
    let account = admitted.account.map(|key| rules.account(key));
    trace.account = account.map(|account| account.name.clone());
    let rank = account.and_then(|account| account.rank).unwrap_or(route.rank);
    trace.rank = Some(rank);
    let fingerprint = request_fingerprint(account, &call, &request);
    let suspects = AttemptSuspects { request: fingerprint, parts: shared_parts(&service, &call) };
    trace.fingerprint = Some(fingerprint);
    if let Some(left) = suspects::refused_for(node, &suspects) {
        return answer.refuse(ResultCode::RequestHeld, Some(left)).await;
    }
    let owner = account.map(|account| &account.name);
    let max_wait = call.max_wait.unwrap_or(route.timeout).min(route.timeout);
    let deadline = arrived + max_wait.duration();
    trace.max_wait = Some(max_wait);
    trace.stage = CallStage::Origin;
    let binding = origins::bind_request(node, (&call, route), (owner, &service));
    let binding = match timeout_at(deadline, binding).await {
        Ok(Ok(binding)) => binding,
        Ok(Err(refusal)) => return answer.refuse(refusal.code, refusal.retry).await,
        Err(_) => return answer.refuse(ResultCode::DeadlineNotRun, None).await,
    };
    // A peer that serves the request charges it. Tokens that this process held would be missing there.
    let relays = relay_cause(node, (&call, &service), &binding);
    let charged = account.filter(|_| relays.is_none());
    let charge = charged.and_then(|account| QuotaCharge::of(node, account, &call));
    trace.stage = CallStage::Ledger;
    if let Some(charge) = &charge {
        let charging = limits::charge_quota(node, charge, call.id.as_str());
        match timeout_at(deadline, charging).await {
            Ok(Ok(())) => {}
            Ok(Err(retry)) => return answer.refuse(ResultCode::LimitReached, Some(retry)).await,
            Err(_) => return answer.refuse(ResultCode::DeadlineNotRun, None).await,
        }
    }
    let relayed = call.relayed_attempts.unwrap_or(u32::MAX).max(1);
    let max_attempts = route.max_attempts.min(relayed);
    node.dialect.strip_request(&mut request.head.headers);
    if relays.is_none() {
        node.earn_retry(&service);
    }
    let mut context = CallContext {
        node,
        answer,
        deadline,
        last_event: call.last_event,
        call,
        charge,
        rollout_payment: None,
        suspects,
        rank,
        account: account.map(|account| account.name.clone()),
        record: AttemptRecord::new(route.repeat, max_attempts),
        route: admitted.route,
        rules: rules.clone(),
        service,
        request: request.head,
        body: request.body,
        hold: request.hold,
        tried: Vec::new(),
        left: Vec::new(),
        current: None,
        endpoint: None,
        version: None,
        binding,
        last_target: None,
        chosen: None,
        room_use: None,
        list_age: None,
        usage_recorded: false,
        sent_at: None,
        answer_began: None,
        first_chunk_at: None,
        last_chunk_at: None,
        longest_pause: None,
        body_end: None,
        rest_bytes: 0,
        fault: None,
        peer: None,
        peer_in_flight: false,
        relays_next: relays,
        held_place: None,
        has_demanded: false,
        has_earned: relays.is_none(),
        barrier: None,
        cut_cause: None,
        standby: None,
        trace: Some(trace),
    };
    let outcome = match timeout_at(context.deadline, context.serve()).await {
        Ok(outcome) => outcome,
        Err(_) => context.expire().await,
    };
    context.refund_unused();
    outcome
}

/// Why a request is relayed before anything else is done for it; `None` if it is not.
fn relay_cause(
    node: &FrontNode,
    call: (&CallHead, &ServiceName),
    binding: &StreamBinding,
) -> Option<RelayCause> {
    if relay::is_relayed_at_once(node, call, binding) {
        return Some(RelayCause::Path);
    }
    dispatch::is_dispatched_elsewhere(node, call, binding).then_some(RelayCause::Dispatch)
}

fn request_fingerprint(
    account: Option<&AccountRule>,
    call: &CallHead,
    request: &CallerRequest,
) -> SuspectFingerprint {
    let uri = &request.head.uri;
    SuspectFingerprint::of(RequestContent {
        account: account.map(|account| &account.name),
        method: request.head.method.as_str(),
        host: &call.host,
        path: uri.path_and_query().map_or(call.path.as_str(), |path| path.as_str()),
        body: request.body.segments(),
    })
}

fn shared_parts(service: &ServiceName, call: &CallHead) -> Rc<[SuspectFingerprint]> {
    let shared = call.parts.split_last().map_or(&[][..], |(_, shared)| shared);
    shared.iter().map(|part| SuspectFingerprint::of_part(service, part.id)).collect()
}

/// Retry-After time for a refusal; none if a retry cannot succeed.
fn retry_after(code: ResultCode) -> Option<TimeSpan> {
    (code.status() == StatusCode::SERVICE_UNAVAILABLE.as_u16()).then_some(NO_ENDPOINT_RETRY)
}

/// Hash of the id of the attempt that began the stream, or else of the request id: a stream that is taken up goes
/// to the service that began it.
fn stream_salt(call: &CallHead) -> u64 {
    let id = call.resumes.as_ref().unwrap_or(&call.id);
    mix_bits(stable_hash(HASH_SEED, id.as_bytes()))
}

/// Hash of the request id, used to spread choices and retry times over requests.
pub(crate) fn call_salt(call: &CallHead) -> u64 {
    mix_bits(stable_hash(HASH_SEED, call.id.as_bytes()))
}

impl CallContext<'_, '_> {
    /// The route that the request matched.
    pub fn route(&self) -> &RouteRule {
        self.rules.route(self.route)
    }

    pub(crate) fn note_trace(&self, trace: &mut CallTrace) {
        trace.sent = self.record.sent() + u32::from(self.first_chunk_at.is_some());
        trace.may_have_run = self.record.may_have_run() || self.is_in_flight();
        trace.peer = self.peer.clone();
        trace.endpoint = self.endpoint.clone();
        trace.version = self.version.clone();
        trace.chosen = self.chosen;
        trace.list_age = self.list_age;
        trace.last_event = self.last_event;
        trace.longest_pause = self.longest_pause;
        trace.body_end = self.body_end;
        trace.rest_bytes = self.rest_bytes;
        trace.barrier = self.barrier;
        trace.cut_cause = self.cut_cause;
        trace.silent_ms = self.last_chunk_at.map(|at| at.elapsed().as_millis() as u64);
        trace.first_ms =
            self.first_chunk_at.map(|at| at.duration_since(trace.arrived).as_millis() as u64);
    }

    async fn serve(&mut self) -> CallOutcome {
        loop {
            let outcome = match self.standby.take() {
                Some(standby) => self.take_over(*standby).await,
                None => match self.place().await {
                    Ok(choice) => self.attempt(choice).await,
                    Err(outcome) => return outcome,
                },
            };
            match outcome {
                AttemptOutcome::Delivered => return Ok(()),
                AttemptOutcome::CallerGone => return self.cut(CutCause::Caller),
                AttemptOutcome::Ended(end, received) => {
                    self.refund_unrun_attempt(end);
                    if let Some(outcome) = self.decide_next(end, received).await {
                        return outcome;
                    }
                }
            }
        }
    }

    /// Chooses an endpoint for the next attempt.
    ///
    /// # Errors
    /// The outcome of the request, if it goes to no endpoint of this process's choice.
    async fn place(&mut self) -> Result<PlacementChoice, CallOutcome> {
        match self.next_hop() {
            _ if self.relays_next == Some(RelayCause::Dispatch) => {
                return Err(self.serve_by_dispatchers().await);
            }
            _ if self.relays_next.is_some() => return Err(self.serve_by_peers().await),
            NextHop::Peer => return Err(self.serve_by_peers().await),
            NextHop::Nowhere => {
                self.note_unserved_demand();
                return Err(self.give_up(ResultCode::NoEndpoint).await);
            }
            NextHop::Endpoint => self.hold_place().await?,
        }
        let Some(choice) = self.choose_for_rollout().await else {
            return Err(self.refuse_unplaced().await);
        };
        if let Some(retry_in) = self.overload_retry_after(&choice) {
            // A refused request counts as demand too, so that more endpoints are ordered for it.
            self.note_demand(choice.unread);
            self.chosen = Some(choice);
            return Err(self.answer.refuse(ResultCode::Overloaded, Some(retry_in)).await);
        }
        Ok(choice)
    }

    /// Whether an endpoint or a peer may be serving the request now.
    fn is_in_flight(&self) -> bool {
        self.current.is_some() || self.peer_in_flight
    }

    /// Refunds the charge of a request that certainly did not run.
    fn refund_unused(&self) {
        let is_answered = self.first_chunk_at.is_some();
        let has_run = is_answered || self.record.may_have_run() || self.is_in_flight();
        if let Some(charge) = self.charge.as_ref().filter(|_| !has_run) {
            limits::refund_quota(self.node, charge);
        }
    }

    /// Decides whether a failed attempt is retried. Returns `None` if so; otherwise answers the caller
    /// and returns the outcome of the request.
    async fn decide_next(
        &mut self,
        end: AttemptEnd,
        received: Option<EndpointAnswer>,
    ) -> Option<CallOutcome> {
        self.record.note(end);
        self.answer.note_sent(self.record.sent());
        let by_peer = self.next_hop() == NextHop::Peer;
        self.barrier = self.secure_retry(end, by_peer).await.err();
        let again = self.barrier.is_none();
        self.relays_next = (again && by_peer).then_some(RelayCause::Path);
        self.node.meter.count_attempt(end.name());
        event!(self.node, AttemptEnded;
            "request" => self.call.id.as_str(),
            "endpoint" => self.endpoint.as_ref().map(|id| id.as_str()),
            "version" => self.version.as_deref(), "end" => end.name(), "sent" => self.record.sent(), "last_event" => self.last_event,
            "body_end" => self.body_end.map(BodyEnd::name), "rest" => self.rest_bytes, "fault" => self.fault.as_deref(),
            "print" => self.suspects.request.to_string(), "parts" => self.part_names(),
            "ran_ms" => self.sent_at.map(|at| at.elapsed().as_millis() as u64),
            "fallen" => self.may_have_fallen(),
            "again" => again, "barred" => self.barrier.map(RetryBarrier::name), "list_ms" => self.list_age.map(|age| age.0));
        // The record counts new endpoints. What goes on at one that has the request, or had it, was counted then.
        let is_known = self.standby.is_some() || (again && self.may_ask_again());
        let step = match is_known {
            true => NextStep::Retry,
            false => self.record.next_step(end, again),
        };
        match (step, received) {
            (NextStep::Retry, _) => None,
            (NextStep::Forward, Some(received)) if self.answer.stage() == AnswerStage::Waiting => {
                Some(self.answer.write_received(received).await)
            }
            _ if self.answer.stage() != AnswerStage::Waiting => {
                let is_late = Instant::now() >= self.deadline;
                let cause = if is_late { CutCause::Deadline } else { CutCause::Attempt(end) };
                Some(self.cut(cause))
            }
            (NextStep::Forward, _) => Some(self.give_up(ResultCode::Uncertain).await),
            (NextStep::GiveUp(ResultCode::NoEndpoint), _) => Some(self.refuse_unplaced().await),
            (NextStep::GiveUp(code), _) => Some(self.give_up(code).await),
        }
    }

    /// Takes what another attempt needs from the retry budget and the account's limit.
    ///
    /// # Errors
    /// What keeps the request from being sent again.
    async fn secure_retry(&self, end: AttemptEnd, by_peer: bool) -> Result<(), RetryBarrier> {
        if self.standby.is_some() {
            return Ok(());
        }
        let ensure = |holds: bool, barrier| if holds { Ok(()) } else { Err(barrier) };
        ensure(Instant::now() < self.deadline, RetryBarrier::Deadline)?;
        let may_send = self.record.may_send() || self.may_ask_again();
        ensure(may_send || by_peer, RetryBarrier::Attempts)?;
        let refused = suspects::refused_for(self.node, &self.suspects);
        ensure(refused.is_none(), RetryBarrier::Quarantined)?;
        ensure(by_peer || self.choose().is_some(), RetryBarrier::NoEndpoint)?;
        // A request that did not run is charged already, and a peer charges what is relayed to it.
        let charge = self.charge.as_ref().filter(|_| end.may_have_run() && !by_peer);
        self.pay_for_retry(charge, self.record.sent() > 0).await
    }

    /// Takes what another attempt uses up: `charge`, and a retry of the budget if it `is_repeat`. Takes neither if
    /// one cannot be had.
    ///
    /// # Errors
    /// Which of them cannot.
    pub(crate) async fn pay_for_retry(
        &self,
        charge: Option<&QuotaCharge>,
        is_repeat: bool,
    ) -> Result<(), RetryBarrier> {
        if is_repeat && self.node.retries_left(&self.service) == 0 {
            return Err(RetryBarrier::Budget);
        }
        if let Some(charge) = charge
            && !limits::charge_retry(self.node, charge, self.call.id.as_str()).await
        {
            return Err(RetryBarrier::Limit);
        }
        if is_repeat && !self.node.spend_retry(&self.service) {
            if let Some(charge) = charge {
                limits::refund_quota(self.node, charge);
            }
            return Err(RetryBarrier::Budget);
        }
        Ok(())
    }

    /// Closes the connection to the caller in the middle of its answer.
    pub(crate) fn cut(&mut self, cause: CutCause) -> CallOutcome {
        self.cut_cause = Some(cause);
        self.node.meter.count_cut(&self.service.0, cause.name());
        Err(io::ErrorKind::ConnectionAborted.into())
    }

    /// The fingerprints of the shared parts of the prompt, for the log.
    fn part_names(&self) -> String {
        let names: Vec<String> = self.suspects.parts.iter().map(ToString::to_string).collect();
        names.join(" ")
    }

    /// Ends the request with a refusal, or by closing the connection if the answer has begun.
    pub(crate) async fn give_up(&mut self, code: ResultCode) -> CallOutcome {
        if self.answer.stage() != AnswerStage::Waiting {
            let by_peers = self.peer.is_some();
            return self.cut(if by_peers { CutCause::Peers } else { CutCause::Refused(code) });
        }
        // An attempt may have run, so a code that says "not run" would be false.
        let code = if self.record.may_have_run() && code.guarantees_not_run() {
            ResultCode::Uncertain
        } else {
            code
        };
        self.answer.refuse(code, retry_after(code)).await
    }

    /// Ends the request because its deadline has passed.
    async fn expire(&mut self) -> CallOutcome {
        if let Some(key) = self.current {
            self.grade(key, AnswerGrade::Bad);
            if self.last_chunk_at.is_none() {
                self.note_broken(key, AttemptEnd::TimedOut);
            }
        }
        if self.answer.stage() != AnswerStage::Waiting {
            return self.cut(CutCause::Deadline);
        }
        let sent = self.is_in_flight() || self.record.sent() > 0;
        let code = if sent { ResultCode::DeadlinePassed } else { ResultCode::DeadlineNotRun };
        self.give_up(code).await
    }

    /// Chooses an endpoint for the next attempt; `None` if there is none.
    pub(crate) fn choose(&self) -> Option<PlacementChoice> {
        if self.binding == StreamBinding::Unknown {
            return None;
        }
        let mut tried = self.tried.clone();
        if !self.record.may_send() && self.may_ask_again() {
            tried.extend(self.new_endpoints());
        }
        let request = PlacementRequest { tried: &tried, ..self.placement_request() };
        let (board, prefixes) = (self.node.endpoints.borrow(), self.node.prefixes.borrow());
        // The place that it holds may be at an endpoint that is not for this request.
        let elsewhere = || {
            let request = PlacementRequest { places: None, ..request.clone() };
            choose_endpoint(&board, &prefixes, &request)
        };
        let choice = choose_endpoint(&board, &prefixes, &request);
        if request.places.is_some() { choice.or_else(elsewhere) } else { choice }
    }

    /// The input for the choice of an endpoint.
    pub(crate) fn placement_request(&self) -> PlacementRequest<'_> {
        let tokens = self.call.tokens.unwrap_or_default();
        PlacementRequest {
            service: &self.service,
            engine: self.is_engine(),
            prompt_tokens: tokens.prompt,
            parts: &self.call.parts,
            tried: &self.tried,
            domain: &self.node.settings.domain,
            queue_limit: self.queue_limit(),
            read_per_ms: self.node.read_per_ms(&self.service),
            is_trial: self.rollout_payment.is_some(),
            version: self.binding.version(),
            pause: self.route().pause,
            pause_weight: self.node.pause_weight(&self.service),
            repeatable: self.route().repeat.may_run_again(),
            places: self.held_place.as_ref().map(HeldPlace::share),
            salt: call_salt(&self.call),
            now: self.node.clock.now(),
            lease_now: self.node.clock.lease_now(),
        }
    }

    /// Records the age of the endpoint list at the choice of an endpoint.
    pub(crate) fn note_list_age(&mut self) {
        self.list_age = self.node.roster_age();
        if let Some(age) = self.list_age {
            self.node.meter.record_list_age(age.0 as f64);
        }
    }

    fn queue_limit(&self) -> u64 {
        queue_limit(self.route().objective, self.rank, self.node.read_per_ms(&self.service))
    }

    /// The Retry-After time if the service is overloaded. A stream of which the caller has received a
    /// part is always resumed, because that part would be lost otherwise.
    fn overload_retry_after(&self, choice: &PlacementChoice) -> Option<TimeSpan> {
        let fresh = self.record.sent() == 0 && self.last_event.is_none();
        if !fresh || !self.is_engine() {
            return None;
        }
        // The load of a peer's callers is counted at the peer.
        let is_own = self.call.relayed_attempts.is_none();
        let offered = if is_own { choice.unread } else { 0 };
        let pressure = self.node.note_offered(&self.service, offered);
        shed_delay(choice, &pressure, self.queue_limit(), call_salt(&self.call))
    }

    /// Whether the rules declare the endpoints of the service as engines.
    pub(crate) fn is_engine(&self) -> bool {
        self.rules.service(&self.service).is_some_and(|service| service.engine.is_some())
    }
}

//! One request: admitted, placed, sent, perhaps sent again, answered.
//!
//! The decisions are in `call` and `place`; here connections are opened, and their ends are turned
//! into [`AttemptEnd`]s.

use crate::answer::{AnswerStage, AnswerWriter};
use crate::events::event;
use crate::ingress::CallerRequest;
use crate::limits::{self, Payment};
use crate::node::FrontNode;
use crate::releases::CandidatePayment;
use crate::suspects;
use crate::trace::{CallTrace, TraceGuard};
use actix_http::header::HeaderMap;
use actix_http::{RequestHead, StatusCode};
use bytes::Bytes;
use oleander_board::StopStage;
use oleander_call::{
    AccountRule, AttemptEnd, AttemptRecord, CallHead, NextStep, RouteKey, RouteRule, RuleSet,
    RuleView, admit_call,
};
use oleander_kind::hash::{HASH_START, mix_bits, stable_hash};
use oleander_kind::{AccountName, InstanceId, ResultCode, ServiceName, TimeSpan};
use oleander_place::{
    AnswerGrade, EndpointKey, PlaceAsk, PlaceChoice, choose_endpoint, queue_limit, shed_until,
};
use oleander_suspect::{EndedLife, RequestContent, RequestPrint};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::time::{Instant, timeout_at};

/// When a caller that was refused for want of an endpoint may come back: a lost endpoint is replaced
/// or found again within about this time.
const RETURN_TIME: TimeSpan = TimeSpan(300);

/// When a caller that met a stopping process may come back: its next connection goes elsewhere.
const LEAVING_RETURN: TimeSpan = TimeSpan(20);

/// How the request is seen by its caller: an error means that the connection must be closed.
pub type CallOutcome = io::Result<()>;

/// How one attempt ended.
pub enum AttemptOutcome {
    /// The caller has its whole answer.
    Delivered,
    /// The caller is gone, or its answer was cut for good.
    CallerGone,
    /// Another attempt may follow; with the endpoint's own answer, if it made one.
    Ended(AttemptEnd, Option<OwnAnswer>),
}

/// A whole answer that an endpoint made, held back while another attempt is weighed.
pub struct OwnAnswer {
    /// Status.
    pub status: StatusCode,
    /// Headers, for the caller.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
}

/// One request under way.
pub struct CallRun<'a, 'b> {
    /// The process.
    pub node: &'a Rc<FrontNode>,
    /// The caller's side.
    pub answer: &'a mut AnswerWriter<'b>,
    /// The request in the engine's terms.
    pub call: CallHead,
    /// What each attempt takes of its account's limit.
    pub(crate) payment: Option<Payment>,
    /// What tells that it is the same as another.
    pub print: RequestPrint,
    /// What it paid to go to the version under the order of a roll-out; none if it goes to those that serve.
    pub(crate) trial: Option<CandidatePayment>,
    /// When it must be answered.
    pub deadline: Instant,
    /// The last event that its caller has.
    pub last_event: Option<u64>,
    pub(crate) rules: Rc<RuleSet>,
    pub(crate) route: RouteKey,
    pub(crate) service: ServiceName,
    pub(crate) account: Option<AccountName>,
    pub(crate) rank: u8,
    pub(crate) request: RequestHead,
    pub(crate) body: Bytes,
    pub(crate) record: AttemptRecord,
    pub(crate) tried: Vec<EndpointKey>,
    pub(crate) current: Option<EndpointKey>,
    /// The endpoint of the last attempt.
    pub(crate) endpoint: Option<InstanceId>,
    /// Its life, and where it listens.
    pub(crate) ran_at: Option<(EndedLife, SocketAddr)>,
    /// What the last choice of an endpoint went by.
    pub(crate) chosen: Option<PlaceChoice>,
    /// How old the endpoint list was then.
    pub(crate) list_age: Option<TimeSpan>,
    /// Whether it is known to have begun to run.
    pub(crate) has_begun: bool,
    /// When the request was last sent.
    pub(crate) sent_at: Option<Instant>,
    /// When the first part of an answer reached this process.
    pub(crate) first_at: Option<Instant>,
    /// When the last piece of a stream reached this process.
    pub(crate) piece_at: Option<Instant>,
    /// The longest pause between two pieces.
    pub(crate) pause: Option<TimeSpan>,
}

/// Answers one request, and tells of it.
///
/// # Errors
/// If the connection to the caller must be closed.
pub async fn serve_call(
    node: &Rc<FrontNode>,
    request: CallerRequest,
    answer: &mut AnswerWriter<'_>,
) -> CallOutcome {
    let mut trace = TraceGuard::new(node);
    let outcome = answer_call(node, request, answer, &mut trace.trace).await;
    trace.tell(answer, &outcome);
    outcome
}

async fn answer_call(
    node: &Rc<FrontNode>,
    mut request: CallerRequest,
    answer: &mut AnswerWriter<'_>,
    trace: &mut CallTrace,
) -> CallOutcome {
    let arrived = trace.arrived;
    let call = match node.dialect.read_call(&request.head) {
        Ok(call) => call,
        Err(code) => return answer.refuse(code, None).await,
    };
    trace.request = call.id.clone();
    let rules = node.current_rules();
    let view = RuleView { rules: rules.as_deref(), fresh: node.rules_are_fresh() };
    trace.rules = node.rules.borrow().version();
    trace.fresh = view.fresh;
    let admitted = match admit_call(view, &call) {
        Ok(admitted) => admitted,
        Err(code) => return answer.refuse(code, return_time(code)).await,
    };
    let Some(rules) = rules else {
        return answer.refuse(ResultCode::NoBundle, Some(RETURN_TIME)).await;
    };
    let route = rules.route(admitted.route);
    if node.stop.get() == StopStage::Draining {
        // It would outlast the process. The balancer sends the next connection elsewhere.
        answer.close_after();
        return answer.refuse(ResultCode::Draining, Some(LEAVING_RETURN)).await;
    }
    let Some(service) = route.service_for(call_salt(&call)).cloned() else {
        return answer.refuse(ResultCode::NoEndpoint, Some(RETURN_TIME)).await;
    };
    trace.service = service.0.clone();
    let account = admitted.account.map(|key| rules.account(key));
    let print = print_of(account, &call, &request);
    trace.print = Some(print);
    if let Some(left) = suspects::held_for(node, &print) {
        return answer.refuse(ResultCode::RequestHeld, Some(left)).await;
    }
    let payment = account.and_then(|account| Payment::of(node, account, &call));
    if let Some(payment) = &payment
        && let Err(retry) = limits::pay(node, payment, call.id.as_str()).await
    {
        return answer.refuse(ResultCode::LimitReached, Some(retry)).await;
    }
    let patience = call.patience.unwrap_or(route.timeout).min(route.timeout);
    node.dialect.strip_request(&mut request.head.headers);
    node.earn_retry(&service);
    let mut run = CallRun {
        node,
        answer,
        deadline: arrived + patience.duration(),
        last_event: call.last_event,
        call,
        payment,
        trial: None,
        print,
        rank: account.and_then(|account| account.rank).unwrap_or(route.rank),
        account: account.map(|account| account.name.clone()),
        record: AttemptRecord::new(route.repeat, route.most_attempts),
        route: admitted.route,
        rules: rules.clone(),
        service,
        request: request.head,
        body: request.body,
        tried: Vec::new(),
        current: None,
        endpoint: None,
        ran_at: None,
        chosen: None,
        list_age: None,
        has_begun: false,
        sent_at: None,
        first_at: None,
        piece_at: None,
        pause: None,
    };
    let outcome = match timeout_at(run.deadline, run.run()).await {
        Ok(outcome) => outcome,
        Err(_) => run.expire().await,
    };
    run.give_back();
    run.note_trace(trace);
    outcome
}

fn print_of(
    account: Option<&AccountRule>,
    call: &CallHead,
    request: &CallerRequest,
) -> RequestPrint {
    let uri = &request.head.uri;
    RequestPrint::of(RequestContent {
        account: account.map(|account| &account.name),
        method: request.head.method.as_str(),
        host: &call.host,
        path: uri.path_and_query().map_or(call.path.as_str(), |path| path.as_str()),
        body: &request.body,
    })
}

/// When a refused caller may come back; none for refusals that are final.
fn return_time(code: ResultCode) -> Option<TimeSpan> {
    (code.status() == StatusCode::SERVICE_UNAVAILABLE.as_u16()).then_some(RETURN_TIME)
}

pub(crate) fn call_salt(call: &CallHead) -> u64 {
    mix_bits(stable_hash(HASH_START, call.id.as_bytes()))
}

impl CallRun<'_, '_> {
    /// The request's route.
    pub fn route(&self) -> &RouteRule {
        self.rules.route(self.route)
    }

    fn note_trace(&self, trace: &mut CallTrace) {
        trace.sent = self.record.sent() + u32::from(self.first_at.is_some());
        trace.may_have_run = self.record.may_have_run() || self.current.is_some();
        trace.endpoint = self.endpoint.clone();
        trace.chosen = self.chosen;
        trace.list_age = self.list_age;
        trace.last_event = self.last_event;
        trace.pause = self.pause;
        trace.first_ms =
            self.first_at.map(|at| at.duration_since(trace.arrived).as_millis() as u64);
    }

    async fn run(&mut self) -> CallOutcome {
        loop {
            let Some(choice) = self.choose_for_rollout().await else {
                return self.refuse_unplaced().await;
            };
            if let Some(back_in) = self.overloaded(&choice) {
                // What is refused is needed all the same: more endpoints are ordered for it.
                self.note_demand(choice.unread);
                self.chosen = Some(choice);
                return self.answer.refuse(ResultCode::Overloaded, Some(back_in)).await;
            }
            match self.attempt(choice).await {
                AttemptOutcome::Delivered => return Ok(()),
                AttemptOutcome::CallerGone => return Err(io::ErrorKind::ConnectionAborted.into()),
                AttemptOutcome::Ended(end, own) => {
                    self.refund_unrun_attempt(end);
                    if let Some(outcome) = self.after(end, own).await {
                        return outcome;
                    }
                }
            }
        }
    }

    /// Pays for another attempt after one that may have run: operators count the tokens of each that runs.
    async fn pay_again(&self, end: AttemptEnd) -> bool {
        match &self.payment {
            Some(payment) if end.may_have_run() => {
                limits::pay_again(self.node, payment, self.call.id.as_str()).await
            }
            _ => true,
        }
    }

    /// Gives back what was paid for a request that certainly did not run.
    fn give_back(&self) {
        let is_answered = self.first_at.is_some();
        let has_run = is_answered || self.record.may_have_run() || self.current.is_some();
        if let Some(payment) = self.payment.as_ref().filter(|_| !has_run) {
            limits::give_back(self.node, payment);
        }
    }

    /// Judges an attempt that ended; an outcome if the request is over.
    async fn after(&mut self, end: AttemptEnd, own: Option<OwnAnswer>) -> Option<CallOutcome> {
        self.record.note(end);
        let again = self.record.may_send()
            && suspects::held_for(self.node, &self.print).is_none()
            && self.choose().is_some()
            && (self.record.sent() == 0 || self.node.spend_retry(&self.service))
            && self.pay_again(end).await;
        self.node.meter.count_attempt(end.name());
        event!(self.node, AttemptEnded;
            "request" => self.call.id.as_str(),
            "endpoint" => self.endpoint.as_ref().map(|id| id.as_str()),
            "end" => end.name(), "sent" => self.record.sent(), "last_event" => self.last_event,
            "print" => self.print.to_string(),
            "ran_ms" => self.sent_at.map(|at| at.elapsed().as_millis() as u64),
            "again" => again, "list_ms" => self.list_age.map(|age| age.0));
        match (self.record.next_step(end, again), own) {
            (NextStep::SendAgain, _) => None,
            (NextStep::PassOn, Some(own)) if self.answer.stage() == AnswerStage::Waiting => {
                Some(self.answer.whole(own.status, own.headers, own.body).await)
            }
            (NextStep::PassOn, _) => Some(self.give_up(ResultCode::Uncertain).await),
            (NextStep::GiveUp(ResultCode::NoEndpoint), _) => Some(self.refuse_unplaced().await),
            (NextStep::GiveUp(code), _) => Some(self.give_up(code).await),
        }
    }

    /// Ends the request without an answer of an endpoint.
    pub(crate) async fn give_up(&mut self, code: ResultCode) -> CallOutcome {
        if self.answer.stage() != AnswerStage::Waiting {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        // Nothing of a request that may be repeated is lost by asking again.
        let code = if self.record.may_have_run() && code.says_not_run() {
            ResultCode::Uncertain
        } else {
            code
        };
        self.answer.refuse(code, return_time(code)).await
    }

    /// The deadline passed.
    async fn expire(&mut self) -> CallOutcome {
        if let Some(key) = self.current {
            self.grade(key, AnswerGrade::Bad);
            if self.piece_at.is_none() {
                self.note_broken(key, AttemptEnd::Silent);
            }
        }
        let sent = self.current.is_some() || self.record.sent() > 0;
        let code = if sent { ResultCode::DeadlinePassed } else { ResultCode::DeadlineNotRun };
        self.give_up(code).await
    }

    pub(crate) fn choose(&self) -> Option<PlaceChoice> {
        let ask = self.place_ask();
        choose_endpoint(&self.node.endpoints.borrow(), &self.node.prefixes.borrow(), &ask)
    }

    pub(crate) fn place_ask(&self) -> PlaceAsk<'_> {
        let tokens = self.call.tokens.unwrap_or_default();
        PlaceAsk {
            service: &self.service,
            engine: self.is_engine(),
            prompt_tokens: tokens.prompt,
            parts: &self.call.parts,
            tried: &self.tried,
            domain: &self.node.settings.domain,
            queue_limit: self.queue_limit(),
            read_per_ms: self.node.read_per_ms(&self.service),
            is_trial: self.trial.is_some(),
            pause: self.route().pause,
            pause_weight: self.node.pause_weight(&self.service),
            repeatable: self.route().repeat.may_run_again(),
            salt: call_salt(&self.call),
            now: self.node.clock.now(),
            lease_now: self.node.clock.lease_now(),
        }
    }

    /// Notes how old the list was that an endpoint was chosen from.
    pub(crate) fn note_list_age(&mut self) {
        self.list_age = self.node.roster_age();
        if let Some(age) = self.list_age {
            self.node.meter.note_list_age(age.0 as f64);
        }
    }

    fn queue_limit(&self) -> u64 {
        queue_limit(self.route().objective, self.rank, self.node.read_per_ms(&self.service))
    }

    /// When the caller should come back if the service is overloaded. A stream that its caller has a
    /// part of is gone on with in any case: the part would be lost.
    fn overloaded(&self, choice: &PlaceChoice) -> Option<TimeSpan> {
        let fresh = self.record.sent() == 0 && self.last_event.is_none();
        if !fresh || !self.is_engine() {
            return None;
        }
        let pressure = self.node.note_offered(&self.service, choice.unread);
        shed_until(choice, &pressure, self.queue_limit(), call_salt(&self.call))
    }

    pub(crate) fn is_engine(&self) -> bool {
        self.rules.service(&self.service).is_some_and(|service| service.engine.is_some())
    }
}

//! One request: admitted, placed, sent, perhaps sent again, answered.
//!
//! The decisions are in `call` and `place`; here connections are opened, and their ends are turned
//! into [`AttemptEnd`]s.

use crate::answer::{AnswerStage, AnswerWriter};
use crate::ingress::CallerRequest;
use crate::mesh::pool_limit;
use crate::node::FrontNode;
use crate::work::WorkGuard;
use crate::{stream, whole};
use actix_http::header::HeaderMap;
use actix_http::{RequestHead, ResponseHead, StatusCode, Version};
use bytes::Bytes;
use oleander_board::StopStage;
use oleander_call::{
    AccountRule, AnswerMark, AnswerShape, AttemptEnd, AttemptRecord, AttemptStamp, CallHead,
    NextStep, RepeatRule, RouteKey, RouteRule, RuleSet, RuleView, TokenCount, admit_call,
};
use oleander_kind::endpoint::EndpointStage;
use oleander_kind::hash::{HASH_START, mix_bits, stable_hash};
use oleander_kind::{AccountName, InstanceId, ResultCode, ServiceName, TimeSpan};
use oleander_limit::LimitVerdict;
use oleander_outlet::{IdleLink, LinkError, SentLink, SocketBounds};
use oleander_place::{AnswerGrade, EndpointKey, PlaceAsk, PlaceChoice, choose_endpoint};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Time to make a connection to an endpoint: a lost opening packet is sent again after a second,
/// and by then another endpoint has answered.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// How long an idle connection to an endpoint is kept if the endpoint does not say.
const IDLE_KEPT: Duration = Duration::from_millis(2000);
/// The part of an endpoint's own idle time that is used, so that it does not close a connection
/// while a request is on its way on it.
const IDLE_PART: f64 = 0.6;
/// The most idle connections to one endpoint.
const IDLE_MOST: usize = 32;
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
    /// When it must be answered.
    pub deadline: Instant,
    /// The last event that its caller has.
    pub last_event: Option<u64>,
    rules: Rc<RuleSet>,
    route: RouteKey,
    service: ServiceName,
    account: Option<AccountName>,
    rank: u8,
    request: RequestHead,
    body: Bytes,
    record: AttemptRecord,
    tried: Vec<EndpointKey>,
    current: Option<EndpointKey>,
}

/// Answers one request.
///
/// # Errors
/// If the connection to the caller must be closed.
pub async fn serve_call(
    node: &Rc<FrontNode>,
    mut request: CallerRequest,
    answer: &mut AnswerWriter<'_>,
) -> CallOutcome {
    let arrived = Instant::now();
    let call = match node.dialect.read_call(&request.head) {
        Ok(call) => call,
        Err(code) => return answer.refuse(code, None).await,
    };
    let rules = node.current_rules();
    let view = RuleView { rules: rules.as_deref(), fresh: node.rules_are_fresh() };
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
    let account = admitted.account.map(|key| rules.account(key));
    if let Some(account) = account
        && let Some(retry) = over_limit(node, account, &call)
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
    };
    match timeout_at(run.deadline, run.run()).await {
        Ok(outcome) => outcome,
        Err(_) => run.expire().await,
    }
}

/// When a request beyond its account's limit may come back; none if it is within.
fn over_limit(node: &FrontNode, account: &AccountRule, call: &CallHead) -> Option<TimeSpan> {
    let limit = pool_limit(node, account)?;
    let tokens = call.tokens.map_or(account.plain_tokens, TokenCount::total);
    let at = (node.process_count.get(), node.clock.now());
    match node.limits.borrow_mut().admit(&account.name, &limit, tokens, at) {
        LimitVerdict::Pass => None,
        LimitVerdict::Refuse { retry_ms } => {
            slog::debug!(node.log, "a request is over its account's limit";
                "request" => call.id.as_str(), "account" => account.name.as_str(),
                "tokens" => tokens, "retry_ms" => retry_ms, "limit" => format!("{limit:?}"));
            Some(TimeSpan(retry_ms))
        }
    }
}

/// When a refused caller may come back; none for refusals that are final.
fn return_time(code: ResultCode) -> Option<TimeSpan> {
    (code.status() == StatusCode::SERVICE_UNAVAILABLE.as_u16()).then_some(RETURN_TIME)
}

fn call_salt(call: &CallHead) -> u64 {
    mix_bits(stable_hash(HASH_START, call.id.as_bytes()))
}

/// What an attempt needs to know of its endpoint.
struct AttemptTarget {
    key: EndpointKey,
    instance: InstanceId,
    address: SocketAddr,
}

impl CallRun<'_, '_> {
    /// The request's route.
    pub fn route(&self) -> &RouteRule {
        self.rules.route(self.route)
    }

    async fn run(&mut self) -> CallOutcome {
        loop {
            let Some(choice) = self.choose() else {
                return self.give_up(ResultCode::NoEndpoint).await;
            };
            match self.attempt(choice).await {
                AttemptOutcome::Delivered => return Ok(()),
                AttemptOutcome::CallerGone => return Err(io::ErrorKind::ConnectionAborted.into()),
                AttemptOutcome::Ended(end, own) => {
                    if let Some(outcome) = self.after(end, own).await {
                        return outcome;
                    }
                }
            }
        }
    }

    /// Judges an attempt that ended; an outcome if the request is over.
    async fn after(&mut self, end: AttemptEnd, own: Option<OwnAnswer>) -> Option<CallOutcome> {
        self.record.note(end);
        let again = self.record.may_send()
            && self.choose().is_some()
            && (self.record.sent() == 0 || self.node.spend_retry(&self.service));
        match (self.record.next_step(end, again), own) {
            (NextStep::SendAgain, _) => None,
            (NextStep::PassOn, Some(own)) if self.answer.stage() == AnswerStage::Waiting => {
                Some(self.answer.whole(own.status, own.headers, own.body).await)
            }
            (NextStep::PassOn, _) => Some(self.give_up(ResultCode::Uncertain).await),
            (NextStep::GiveUp(code), _) => Some(self.give_up(code).await),
        }
    }

    /// Ends the request without an answer of an endpoint.
    async fn give_up(&mut self, code: ResultCode) -> CallOutcome {
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
        }
        let sent = self.current.is_some() || self.record.sent() > 0;
        let code = if sent { ResultCode::DeadlinePassed } else { ResultCode::DeadlineNotRun };
        self.give_up(code).await
    }

    fn choose(&self) -> Option<PlaceChoice> {
        let tokens = self.call.tokens.unwrap_or_default();
        let ask = PlaceAsk {
            service: &self.service,
            engine: self.is_engine(),
            prompt_tokens: tokens.prompt,
            parts: &self.call.parts,
            tried: &self.tried,
            domain: &self.node.settings.domain,
            salt: call_salt(&self.call),
            now: self.node.clock.now(),
        };
        choose_endpoint(&self.node.endpoints.borrow(), &self.node.prefixes.borrow(), &ask)
    }

    fn is_engine(&self) -> bool {
        self.rules.service(&self.service).is_some_and(|service| service.engine.is_some())
    }

    async fn attempt(&mut self, choice: PlaceChoice) -> AttemptOutcome {
        let Some(target) = self.target(choice.key) else {
            return AttemptOutcome::Ended(AttemptEnd::NotSent, None);
        };
        self.current = Some(target.key);
        self.note_demand(&choice);
        let mut work = WorkGuard::begin(self.node, target.key, choice.unread);
        let outcome = self.attempt_at(&target, &mut work).await;
        self.current = None;
        outcome
    }

    fn note_demand(&self, choice: &PlaceChoice) {
        let first = self.record.sent() == 0;
        let answer = self.call.tokens.map_or(0, |tokens| tokens.answer);
        let guess = self.call.length_hint.unwrap_or(answer).min(answer.max(1));
        self.node.note_demand(&self.service, |demand| {
            demand.requests += u64::from(first);
            demand.unread_tokens += choice.unread;
            demand.answer_tokens += guess;
        });
    }

    /// Notes that the request began to run at its endpoint `ago`.
    pub fn note_began(&self, ago: Duration) {
        if let Some(account) = &self.account {
            self.node.note_usage(account, TimeSpan(ago.as_millis() as u64));
        }
    }

    fn target(&self, key: EndpointKey) -> Option<AttemptTarget> {
        let board = self.node.endpoints.borrow();
        let entry = &board.get(key)?.entry;
        let usable = entry.stage == EndpointStage::Live;
        let instance = entry.instance.clone();
        usable.then_some(AttemptTarget { key, instance, address: entry.address })
    }

    async fn attempt_at(&mut self, target: &AttemptTarget, work: &mut WorkGuard) -> AttemptOutcome {
        let (mut sent, reused) = match self.send(target).await {
            Ok(sent) => sent,
            Err(fault) => {
                self.note_fault(target, &fault);
                self.tried.push(target.key);
                return AttemptOutcome::Ended(AttemptEnd::NotSent, None);
            }
        };
        let limit = self.first_limit();
        let sent_at = Instant::now();
        match self.read_own_head(&mut sent, limit).await {
            Ok((sent, head, mark)) => {
                if !mark.not_run && self.route().shape == AnswerShape::Whole {
                    self.note_began(sent_at.elapsed());
                }
                self.take_answer(target, work, sent, (head, mark)).await
            }
            Err(fault) => {
                let byte_left = sent.is_none_or(|sent| sent.byte_left());
                let end = match fault {
                    _ if !byte_left => AttemptEnd::NotSent,
                    LinkError::Late(_) => AttemptEnd::Silent,
                    _ => AttemptEnd::Broken,
                };
                // A kept connection that ends at once was most likely closed for its age.
                if !reused || end == AttemptEnd::Silent {
                    self.note_fault(target, &fault);
                }
                if reused && end == AttemptEnd::Silent {
                    // Kept connections fall silent together, when what lies between forgets them.
                    self.node.pool.borrow_mut().clear();
                }
                if end != AttemptEnd::NotSent || !reused {
                    self.tried.push(target.key);
                }
                AttemptOutcome::Ended(end, None)
            }
        }
    }

    async fn send(
        &mut self,
        target: &AttemptTarget,
    ) -> oleander_outlet::Result<(Option<SentLink>, bool)> {
        let kept = self.node.pool.borrow_mut().take(&target.instance);
        let reused = kept.is_some();
        let link = match kept {
            Some(link) => link,
            None => IdleLink::open(target.address, CONNECT_LIMIT, SocketBounds::default()).await?,
        };
        let head = self.request_head(target);
        let sent = link.send(&self.node.http, head, self.body.clone())?;
        if !self.call.parts.is_empty() {
            let now = self.node.clock.now();
            self.node.prefixes.borrow_mut().note(&self.call.parts, target.key, now);
        }
        Ok((Some(sent), reused))
    }

    fn request_head(&self, target: &AttemptTarget) -> RequestHead {
        let mut head = RequestHead::default();
        head.method = self.request.method.clone();
        head.uri = self.request.uri.clone();
        head.version = Version::HTTP_11;
        head.headers = self.request.headers.clone();
        let stamp = AttemptStamp {
            instance: target.instance.clone(),
            account: self.account.clone(),
            left: self.left(),
            last_event: self.last_event,
            rank: self.is_engine().then_some(self.rank),
        };
        self.node.dialect.stamp_request(&mut head.headers, &stamp);
        head
    }

    fn left(&self) -> TimeSpan {
        let left = self.deadline.saturating_duration_since(Instant::now());
        TimeSpan(left.as_millis() as u64)
    }

    /// Until when an endpoint may be silent before its answer begins.
    ///
    /// Where another attempt is allowed, an endpoint that hangs is given up after a few times the
    /// objective: late for this caller, but in time to be served. Where none is, waiting costs
    /// nothing and the answer may still come.
    pub fn first_limit(&self) -> Instant {
        /// Times the objective; a queue of that length is no sign of a dead endpoint yet.
        const PATIENCE: u32 = 3;
        let route = self.route();
        let last = self.record.sent() + 1 >= route.most_attempts;
        if last || route.repeat == RepeatRule::Once {
            return self.deadline;
        }
        self.deadline.min(Instant::now() + route.objective.duration() * PATIENCE)
    }

    /// Reads heads until one belongs to this request. `slot` is empty after an error that used the
    /// link up.
    async fn read_own_head(
        &mut self,
        slot: &mut Option<SentLink>,
        limit: Instant,
    ) -> oleander_outlet::Result<(SentLink, ResponseHead, AnswerMark)> {
        /// Foreign answers that are read away; an endpoint that sends more is broken.
        const MOST_FOREIGN: u32 = 2;
        let late = |_| LinkError::Late(Duration::ZERO);
        let spent = || LinkError::Malformed("answers to other requests".to_owned());
        for _ in 0..=MOST_FOREIGN {
            let sent = slot.as_mut().ok_or_else(spent)?;
            let head = timeout_at(limit, sent.read_head()).await.map_err(late)??;
            let mark = self.node.dialect.read_answer(&head);
            let sent = slot.take().ok_or_else(spent)?;
            if mark.belongs_to(&self.call.id) {
                return Ok((sent, head, mark));
            }
            let mut foreign = sent.into_body(&head);
            let reading = async {
                while foreign.next().await?.is_some() {}
                Ok(())
            };
            timeout_at(limit, reading).await.map_err(late)??;
            *slot = foreign.into_waiting(&self.node.http);
        }
        Err(spent())
    }

    async fn take_answer(
        &mut self,
        target: &AttemptTarget,
        work: &mut WorkGuard,
        sent: SentLink,
        (head, mark): (ResponseHead, AnswerMark),
    ) -> AttemptOutcome {
        let events = self.route().shape == AnswerShape::Events && mark.is_success();
        if !mark.is_sound(&self.call.id) {
            self.tried.push(target.key);
            self.grade(target.key, AnswerGrade::Bad);
            return AttemptOutcome::Ended(AttemptEnd::Broken, None);
        }
        let body = sent.into_body(&head);
        let (outcome, link) = if events {
            stream::pass_events(self, body, head, work).await
        } else {
            whole::pass_whole(self, body, head, &mark).await
        };
        match &outcome {
            AttemptOutcome::Delivered => self.grade(target.key, AnswerGrade::Good),
            AttemptOutcome::CallerGone => {}
            AttemptOutcome::Ended(..) => {
                self.tried.push(target.key);
                self.grade(target.key, AnswerGrade::Bad);
            }
        }
        if let Some(link) = link {
            let said = mark.keeps_idle.map(|span| span.duration().mul_f64(IDLE_PART));
            let keep = said.unwrap_or(IDLE_KEPT);
            self.node.pool.borrow_mut().put(&target.instance, link, keep, IDLE_MOST);
        }
        outcome
    }

    fn note_fault(&self, target: &AttemptTarget, fault: &LinkError) {
        let grade = match fault {
            LinkError::Unreached(_) | LinkError::Late(_) => AnswerGrade::Dead,
            LinkError::Cut(_) | LinkError::Malformed(_) => AnswerGrade::Bad,
        };
        self.grade(target.key, grade);
        slog::debug!(self.node.log, "an attempt failed";
            "request" => self.call.id.as_str(), "endpoint" => target.instance.as_str(),
            "fault" => fault.to_string());
    }

    fn grade(&self, key: EndpointKey, grade: AnswerGrade) {
        let now = self.node.clock.now();
        if let Some(fact) = self.node.endpoints.borrow_mut().get_mut(key) {
            fact.health.note(grade, now);
        }
    }
}

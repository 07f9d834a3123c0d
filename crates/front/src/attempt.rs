//! Sends a request to one endpoint and reads the answer: one attempt.
//!
//! Grades the endpoint by the result, and reports failures to the other processes.

use crate::answer::AnswerStage;
use crate::answering::{AttemptLink, EarlyAnswer, LinkState};
use crate::drive::{AttemptOutcome, CallContext};
use crate::events::event;
use crate::paths::PathWait;
use crate::standby::{AnswerSilence, StandbyAttempt};
use crate::suspects::FailedAttempt;
use crate::work::{AnswerWait, WorkGuard};
use crate::{paths, releases, stream, suspects, whole, words};
use actix_http::{RequestHead, ResponseHead, StatusCode, Version};
use compact_str::CompactString;
use oleander_call::{
    AnswerHead, AnswerShape, AttemptEnd, AttemptHeaders, EndpointSignal, RepeatRule,
};
use oleander_kind::{ClockTime, TimeSpan};
use oleander_outlet::{IdleLink, LinkError, SentLink};
use oleander_pace::ReadSample;
use oleander_place::{
    AnswerGrade, EndpointFact, EndpointKey, PathState, PlacementChoice, RoomUse,
    expected_first_byte,
};
use oleander_suspect::{AttemptTimes, EndpointIncarnation};
use std::fmt::Display;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Timeout of a connection to an endpoint. A lost SYN is sent again only after a second, and by then
/// another endpoint has answered.
pub(crate) const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// How long an idle connection is pooled if the endpoint announces no keep-alive time.
pub(crate) const IDLE_TIMEOUT: Duration = Duration::from_millis(2000);
/// Fraction of an endpoint's keep-alive time for which a connection is pooled, so that the endpoint
/// does not close it while a request is in flight.
pub(crate) const IDLE_FRACTION: f64 = 0.6;
/// Most idle connections pooled for one endpoint.
pub(crate) const MAX_IDLE_LINKS: usize = 32;

/// How long a sound endpoint may say nothing, and some time for its next event to arrive. A stream that was
/// resumed elsewhere sooner would run at two endpoints, and the one that was silent goes on for a while.
pub(crate) const SILENCE_TOLERANCE: Duration = Duration::from_millis(1300);

/// A pooled connection that fails within this time was already closed by its endpoint, not broken by the
/// request: a round trip between failure domains takes 3 ms, and the shortest work of an endpoint about 15 ms.
pub(crate) const STALE_LINK_WINDOW: Duration = Duration::from_millis(8);

/// The time since `sent_at`.
pub(crate) fn sent_for(sent_at: Instant) -> TimeSpan {
    TimeSpan(sent_at.elapsed().as_millis() as u64)
}

/// The endpoint of an attempt.
pub(crate) struct AttemptTarget {
    pub key: EndpointKey,
    pub life: EndpointIncarnation,
    pub address: SocketAddr,
    version: CompactString,
}

impl AttemptTarget {
    /// Its key, incarnation and address.
    pub(crate) fn identity(&self) -> (EndpointKey, (EndpointIncarnation, SocketAddr)) {
        (self.key, (self.life.clone(), self.address))
    }
}

impl CallContext<'_, '_> {
    /// Sends the request to the chosen endpoint and passes on its answer.
    pub async fn attempt(&mut self, choice: PlacementChoice) -> AttemptOutcome {
        let held_place = self.held_place.take();
        let Some(target) =
            self.target(choice.key).filter(|_| self.spend_endpoint_limit(choice.key))
        else {
            return AttemptOutcome::Ended(AttemptEnd::NotSent, None);
        };
        let work = self.begin_work(&target, &choice);
        drop(held_place);
        self.run_attempt((target, choice), work, None).await
    }

    /// Goes on with an attempt that was sent while the one before it was silent.
    pub(crate) async fn take_over(&mut self, standby: StandbyAttempt) -> AttemptOutcome {
        let StandbyAttempt { target, choice, work, link, payment, .. } = standby;
        self.rollout_payment = payment;
        self.run_attempt((target, choice), work, Some(link)).await
    }

    /// Counts an attempt in the load of its endpoint.
    pub(crate) fn begin_work(&self, target: &AttemptTarget, choice: &PlacementChoice) -> WorkGuard {
        let route = releases::evidence_route(self.node, &self.service, &self.route().name);
        let waits = (self.expected_wait(choice), route);
        WorkGuard::begin(self.node, target.key, choice.unread, waits)
    }

    async fn run_attempt(
        &mut self,
        (target, choice): (AttemptTarget, PlacementChoice),
        mut work: WorkGuard,
        link: Option<AttemptLink>,
    ) -> AttemptOutcome {
        self.current = Some(target.key);
        self.endpoint = Some(target.life.instance.clone());
        self.version = Some(target.version.clone());
        self.last_target = Some((target.life.clone(), target.address));
        (self.sent_at, self.answer_began) = (None, None);
        (self.body_end, self.rest_bytes, self.fault) = (None, 0, None);
        self.chosen = Some(choice);
        self.room_use = self.room_use(target.key);
        self.note_list_age();
        let _waiting = PathWait::begin(self.node, &self.service);
        let outcome = self.send_and_read(&target, &mut work, link).await;
        self.current = None;
        match &outcome {
            AttemptOutcome::CallerGone | AttemptOutcome::Ended(AttemptEnd::TimedOut, _) => {}
            AttemptOutcome::Delivered | AttemptOutcome::Ended(..) => work.note_done(),
        }
        self.count_version(&target, &outcome);
        match &outcome {
            AttemptOutcome::Delivered => {
                suspects::note_answer(self.node, self.suspects.request);
                self.note_sound_parts();
            }
            AttemptOutcome::Ended(end, _) if !work.has_survived() => {
                self.note_broken(target.key, *end)
            }
            AttemptOutcome::Ended(..) | AttemptOutcome::CallerGone => {}
        }
        outcome
    }

    /// Reports a broken attempt, because the request may have crashed its endpoint. An endpoint that
    /// signalled that it is leaving is left out: it ends all its requests. So is a brittle one that
    /// refused requests a moment ago: it falls over under refusals and not under a request.
    pub(crate) fn note_broken(&self, key: EndpointKey, end: AttemptEnd) {
        if let (Some(target), Some(sent_at)) = (self.last_target.clone(), self.sent_at) {
            self.note_broken_at((key, target), sent_at, end);
        }
    }

    /// As [`note_broken`](Self::note_broken), of an attempt that was sent at `sent_at`.
    pub(crate) fn note_broken_at(
        &self,
        (key, (life, address)): (EndpointKey, (EndpointIncarnation, SocketAddr)),
        sent_at: Instant,
        end: AttemptEnd,
    ) {
        let (takes_work, last_answer_at) = {
            let board = self.node.endpoints.borrow();
            let fact = board.get(key);
            let now = self.node.clock.now();
            if fact.is_some_and(|fact| fact.may_have_fallen(now)) {
                return;
            }
            let last_answer_at = fact.map(|fact| fact.health.good_at()).unwrap_or_default();
            (fact.map(EndpointFact::takes_work), last_answer_at)
        };
        if takes_work == Some(false) {
            return;
        }
        let was_cut = match end {
            AttemptEnd::Broken => true,
            AttemptEnd::TimedOut => false,
            AttemptEnd::NotSent
            | AttemptEnd::RefusedNotRun
            | AttemptEnd::Failed
            | AttemptEnd::Unstated => return,
        };
        let at = self.node.clock.now();
        let ran = sent_for(sent_at);
        let times = AttemptTimes { sent_at: at - ran, last_answer_at, at };
        let may_probe = was_cut && takes_work.is_some();
        let broken = FailedAttempt { life, address, times, may_probe };
        suspects::note_broken(self.node, self.suspects.clone(), broken);
    }

    /// Whether the endpoint of the last attempt may have fallen over, so that its end is charged to no request.
    pub(crate) fn may_have_fallen(&self) -> bool {
        let board = self.node.endpoints.borrow();
        let fact = self.chosen.and_then(|choice| board.get(choice.key));
        fact.is_some_and(|fact| fact.may_have_fallen(self.node.clock.now()))
    }

    /// Notes that the endpoint survived the beginning of the answer, which is when a part of a prompt crashes it.
    pub(crate) fn note_sound_parts(&self) {
        let began_at = self.answer_began.unwrap_or_else(Instant::now);
        let began_at = self.node.clock.now() - sent_for(began_at);
        suspects::note_sound_parts(self.node, &self.suspects.parts, began_at);
    }

    /// How long the first part of the answer is expected to take.
    pub(crate) fn expected_wait(&self, choice: &PlacementChoice) -> AnswerWait {
        let read_per_ms = self.node.read_per_ms(&self.service);
        let expected = expected_first_byte(choice, self.is_engine(), read_per_ms);
        AnswerWait { expected, objective: self.route().objective }
    }

    /// Adds an attempt that has a connection to the demand of its service.
    fn note_attempt_demand(&mut self) {
        self.note_demand(self.chosen.map_or(0, |choice| choice.unread));
        if self.record.sent() == 0 {
            self.node.note_demand(&self.service, |demand| demand.sent += 1);
        }
    }

    /// Adds a request that no endpoint could be asked for to the demand of its service, once: its caller wants
    /// it served all the same. The process that relayed it counts it.
    pub(crate) fn note_unserved_demand(&mut self) {
        if !self.has_demanded && self.call.relayed_attempts.is_none() {
            self.note_demand(self.call.tokens.unwrap_or_default().prompt);
        }
    }

    /// Adds the request to the demand of its service; `unread` is the number of prompt tokens that have to be
    /// prefilled.
    pub(crate) fn note_demand(&mut self, unread: u64) {
        self.has_demanded = true;
        let first = self.record.sent() == 0;
        let answer = self.call.tokens.map_or(0, |tokens| tokens.answer);
        let expected_answer = self.call.length_hint.unwrap_or(answer).min(answer.max(1));
        self.node.note_demand(&self.service, |demand| {
            demand.requests += u64::from(first);
            demand.unread_tokens += unread;
            demand.answer_tokens += expected_answer;
        });
    }

    /// Counts the request, which started at its endpoint `ago`, as usage; once, however often it is sent.
    ///
    /// Requests that failed at the endpoint count, and so do requests whose answers were lost in transit: the
    /// endpoint has done the work. Without them, reported usage was 8 to 15 % too low while all endpoints
    /// failed half of their requests or lost a quarter of their answers.
    pub fn record_usage(&mut self, ago: Duration) {
        if std::mem::replace(&mut self.usage_recorded, true) {
            return;
        }
        if let Some(account) = &self.account {
            self.node.note_usage(account, TimeSpan(ago.as_millis() as u64));
        }
    }

    /// Records a sample of the engine's prefill speed: the time until the first event arrived.
    pub fn note_read(&self) {
        let (Some(choice), Some(sent_at)) = (self.chosen, self.sent_at) else { return };
        if choice.held == 0 && self.call.parts.len() > 1 {
            // The engine may have cached the shared prompt parts for another process, so the sample
            // would show it faster than it is.
            return;
        }
        let took = TimeSpan(sent_at.elapsed().as_millis() as u64);
        let sample = ReadSample { own: choice.unread, queued: choice.queue(), took };
        self.node.note_read(&self.service, sample);
    }

    pub(crate) fn room_use(&self, key: EndpointKey) -> Option<RoomUse> {
        let now = self.node.clock.now();
        self.node.endpoints.borrow().get(key)?.room_use(now)
    }

    pub(crate) fn target(&self, key: EndpointKey) -> Option<AttemptTarget> {
        let board = self.node.endpoints.borrow();
        let fact = board.get(key)?;
        let (entry, usable) = (&fact.entry, fact.takes_work());
        let life = suspects::life_of(entry);
        let (address, version) = (entry.address, entry.release.clone());
        usable.then_some(AttemptTarget { key, life, address, version })
    }

    /// Counts the attempt by its endpoint's version, if this process handles roll-outs.
    fn count_version(&self, target: &AttemptTarget, outcome: &AttemptOutcome) {
        if !releases::are_rollouts_enabled(self.node) {
            return;
        }
        let end = match outcome {
            AttemptOutcome::Delivered => "delivered",
            AttemptOutcome::CallerGone => "caller_gone",
            AttemptOutcome::Ended(end, _) => end.name(),
        };
        self.node.meter.count_version(&self.service.0, &target.version, end);
    }

    /// Takes one request from this process's share of the endpoint's rate limit; returns whether there was one.
    pub(crate) fn spend_endpoint_limit(&self, key: EndpointKey) -> bool {
        let now = self.node.clock.lease_now();
        let mut board = self.node.endpoints.borrow_mut();
        board.get_mut(key).is_some_and(|fact| fact.declared.try_acquire(now))
    }

    async fn send_and_read(
        &mut self,
        target: &AttemptTarget,
        work: &mut WorkGuard,
        link: Option<AttemptLink>,
    ) -> AttemptOutcome {
        let sending = async {
            match link {
                Some(link) => Ok(link),
                None => self.send(target).await,
            }
        };
        let link = match sending.await {
            Ok(link) => link,
            Err(fault) => {
                self.note_fault(target, work, &fault);
                self.tried.push(target.key);
                return AttemptOutcome::Ended(AttemptEnd::NotSent, None);
            }
        };
        self.note_attempt_demand();
        let AttemptLink { state, reused, sent_at } = link;
        self.sent_at = Some(sent_at);
        let (mut sent, early) = match state {
            LinkState::Sent(sent) => (Some(sent), None),
            LinkState::Answering(early) => (None, Some(early)),
            LinkState::Taken => (None, None),
        };
        let answering = async {
            match early {
                Some(early) => Ok(early),
                None => self.read_matching_head(target.key, &mut sent).await,
            }
        };
        match answering.await {
            Ok(early) => {
                let answer_head = self.node.dialect.parse_answer(&early.head);
                self.node.meter.count_unread_tokens(work.unread_tokens());
                let begins_later = self.forwards_events(early.head.status);
                if !answer_head.not_run && !begins_later {
                    self.record_usage(sent_at.elapsed());
                }
                self.handle_answer(target, work, (early, answer_head)).await
            }
            Err(fault) => {
                self.fault = Some(fault.to_string());
                let may_have_sent = sent.is_none_or(|sent| sent.may_have_sent());
                let end = match fault {
                    _ if !may_have_sent => AttemptEnd::NotSent,
                    LinkError::TimedOut(_) => AttemptEnd::TimedOut,
                    _ => AttemptEnd::Broken,
                };
                // A pooled connection that fails at once was most likely closed by its idle timeout.
                if !reused || end == AttemptEnd::TimedOut {
                    self.note_fault(target, work, &fault);
                }
                if !reused && matches!(fault, LinkError::Interrupted(_)) {
                    // Something in between may have accepted the connection and not reached the endpoint.
                    paths::note_unreached(self.node, &self.service, (target.key, &fault));
                }
                if reused && end == AttemptEnd::TimedOut {
                    self.drop_silent_links(target, self.node.clock.now() - sent_for(sent_at));
                }
                if end != AttemptEnd::NotSent || !reused {
                    self.tried.push(target.key);
                }
                let closed_for_age = reused && sent_at.elapsed() < STALE_LINK_WINDOW;
                if end == AttemptEnd::Broken && !closed_for_age {
                    // The endpoint received the request before it closed: it may have done the work.
                    self.record_usage(sent_at.elapsed());
                }
                AttemptOutcome::Ended(end, None)
            }
        }
    }

    /// Drops the connections that may be as silent as one to `target`. Connections go silent together when a
    /// device on the path drops its state. If another endpoint was heard since then, only this one is
    /// silent, as a sound one may be for a second.
    fn drop_silent_links(&self, target: &AttemptTarget, sent_at: ClockTime) {
        if paths::was_heard_since(self.node, &self.service, sent_at) {
            self.node.pool.borrow_mut().forget(&target.life.instance);
        } else {
            self.node.pool.borrow_mut().clear();
        }
    }

    async fn send(&self, target: &AttemptTarget) -> oleander_outlet::Result<AttemptLink> {
        let kept = self.node.pool.borrow_mut().take(&target.life.instance);
        let reused = kept.is_some();
        let link = match kept {
            Some(link) => link,
            None => self.dial(target).await?,
        };
        self.send_on(target, (link, reused))
    }

    /// Encodes the request for a connection to its endpoint.
    pub(crate) fn send_on(
        &self,
        target: &AttemptTarget,
        (link, reused): (IdleLink, bool),
    ) -> oleander_outlet::Result<AttemptLink> {
        let head = self.request_head(target);
        let sent = link.send(&self.node.http, head, self.body.clone())?;
        if !self.call.parts.is_empty() {
            let now = self.node.clock.now();
            self.node.prefixes.borrow_mut().note(&self.call.parts, target.key, now);
        }
        Ok(AttemptLink::new(sent, reused))
    }

    pub(crate) async fn dial(&self, target: &AttemptTarget) -> oleander_outlet::Result<IdleLink> {
        let dialed = self.node.dialer.dial(target.address, CONNECT_TIMEOUT).await;
        if let Err(fault) = &dialed {
            paths::note_unreached(self.node, &self.service, (target.key, fault));
        }
        dialed
    }

    fn request_head(&self, target: &AttemptTarget) -> RequestHead {
        let mut head = RequestHead::default();
        head.method = self.request.method.clone();
        head.uri = self.request.uri.clone();
        head.version = Version::HTTP_11;
        head.headers = self.request.headers.clone();
        let stamp = AttemptHeaders {
            instance: target.life.instance.clone(),
            account: self.account.clone(),
            left: self.time_left(),
            last_event: self.last_event,
            rank: self.is_engine().then_some(self.rank),
        };
        self.node.dialect.stamp_request(&mut head.headers, &stamp);
        head
    }

    pub(crate) fn time_left(&self) -> TimeSpan {
        let left = self.deadline.saturating_duration_since(Instant::now());
        TimeSpan(left.as_millis() as u64)
    }

    /// How long an attempt may be silent before its answer begins until another one is prepared; `None` if there
    /// can be none.
    ///
    /// It is a few times the latency objective: the answer is late, but there is time for another attempt.
    pub fn first_patience(&self) -> Option<Duration> {
        /// Multiple of the latency objective; up to this, the delay can be caused by a queue at the endpoint.
        const OBJECTIVES_WAITED: u32 = 3;
        let route = self.route();
        let waited = route.objective.duration() * OBJECTIVES_WAITED;
        match route.repeat {
            RepeatRule::Once => None,
            RepeatRule::Resume => Some(waited.max(SILENCE_TOLERANCE)),
            RepeatRule::Idempotent => Some(waited),
        }
    }

    /// Reads response heads until one belongs to this request. `slot` is empty after an error on a
    /// connection that cannot be used further.
    async fn read_matching_head(
        &mut self,
        key: EndpointKey,
        slot: &mut Option<SentLink>,
    ) -> oleander_outlet::Result<EarlyAnswer> {
        /// Answers to other requests that are discarded; an endpoint that sends more is broken.
        const MAX_FOREIGN: u32 = 2;
        let began = self.sent_at.unwrap_or_else(Instant::now);
        let silence = AnswerSilence::begin(self.first_patience());
        let asked_at = self.node.clock.now() - sent_for(began);
        let late = || LinkError::TimedOut(began.elapsed());
        let exhausted = || LinkError::Malformed("answers to other requests".to_owned());
        let ended = || LinkError::Interrupted(io::ErrorKind::ConnectionReset.into());
        for _ in 0..=MAX_FOREIGN {
            let sent = slot.as_mut().ok_or_else(exhausted)?;
            let node = self.node.clone();
            let reading = node.run_until_replaced(Some(key), sent.read_head());
            let (id, is_begun) =
                (self.call.id.clone(), self.answer.stage() != AnswerStage::Waiting);
            let is_end = |read: &Option<oleander_outlet::Result<ResponseHead>>| match read {
                Some(Ok(head)) => {
                    let answer = node.dialect.parse_answer(head);
                    let is_rejection = is_begun && !answer.is_success();
                    answer.fails(&id) || (is_rejection && answer.belongs_to(&id))
                }
                Some(Err(_)) | None => true,
            };
            let read = self.read_patiently(silence, reading, is_end).await;
            let head = read.ok_or_else(late)?.ok_or_else(ended)??;
            paths::note_answered(self.node, &self.service, key);
            let answer_head = self.node.dialect.parse_answer(&head);
            let sent = slot.take().ok_or_else(exhausted)?;
            words::apply_answer_signals(self.node, (key, &answer_head), (&self.call.id, asked_at));
            if answer_head.belongs_to(&self.call.id) {
                return Ok(EarlyAnswer::new(sent.into_body(&head), head));
            }
            let mut foreign = sent.into_body(&head);
            let skipped = self.read_patiently(silence, foreign.skip(), Result::is_err).await;
            skipped.ok_or_else(late)??;
            *slot = foreign.await_next_answer(&self.node.http);
        }
        Err(exhausted())
    }

    /// Whether an answer with `status` is a stream of events.
    pub(crate) fn forwards_events(&self, status: StatusCode) -> bool {
        self.route().shape == AnswerShape::Events && status.is_success()
    }

    /// Whether an answer with `status` can be passed on: a begun stream goes on with events alone.
    pub(crate) fn may_forward(&self, status: StatusCode) -> bool {
        match self.answer.stage() {
            AnswerStage::Waiting => !status.is_server_error(),
            AnswerStage::Begun | AnswerStage::Done => self.forwards_events(status),
        }
    }

    async fn handle_answer(
        &mut self,
        target: &AttemptTarget,
        work: &mut WorkGuard,
        (early, answer_head): (EarlyAnswer, AnswerHead),
    ) -> AttemptOutcome {
        let events = self.forwards_events(early.head.status);
        if !events {
            self.answer_began = Some(Instant::now());
        }
        if !answer_head.is_sound(&self.call.id) {
            self.tried.push(target.key);
            self.note_failure(target, work, AnswerGrade::Bad);
            return AttemptOutcome::Ended(AttemptEnd::Broken, None);
        }
        let (outcome, link) = if events {
            stream::forward_events(self, early, Some(work)).await
        } else {
            whole::forward_whole(self, early, &answer_head, Some(target.key)).await
        };
        match &outcome {
            AttemptOutcome::Delivered => {
                self.grade(target.key, AnswerGrade::Good);
                work.note_answered();
            }
            AttemptOutcome::CallerGone => {}
            // It may have fallen silent, as a sound one does for a while.
            AttemptOutcome::Ended(AttemptEnd::Unstated, _) => self.tried.push(target.key),
            AttemptOutcome::Ended(AttemptEnd::RefusedNotRun, _) => {
                self.tried.push(target.key);
                self.note_refusal(target, work, (&answer_head, self.room_use));
            }
            AttemptOutcome::Ended(..) => {
                self.tried.push(target.key);
                self.note_failure(target, work, AnswerGrade::Bad);
            }
        }
        // A connection to an incarnation that has ended is of no use to the next one.
        let lives = self.node.endpoints.borrow().get(target.key).is_some();
        if let Some(link) = link.filter(|_| lives) {
            let announced =
                answer_head.keep_alive.map(|span| span.duration().mul_f64(IDLE_FRACTION));
            let keep = announced.unwrap_or(IDLE_TIMEOUT);
            self.node.keep_link(&target.life.instance, link, keep);
        }
        outcome
    }

    /// Counts a refusal unless it says that the endpoint is healthy: it has signalled a backoff, and says when it
    /// accepts requests again, or it is brittle and full.
    pub(crate) fn note_refusal(
        &self,
        target: &AttemptTarget,
        work: &mut WorkGuard,
        (answer_head, room_use): (&AnswerHead, Option<RoomUse>),
    ) {
        let signals_backoff = matches!(answer_head.backoff, EndpointSignal::Present(_));
        let is_healthy = signals_backoff
            || (answer_head.is_full() && words::note_full(self.node, target.key, room_use));
        if !is_healthy {
            self.note_failure(target, work, AnswerGrade::Bad);
        }
    }

    /// Counts a failure in the health of the endpoint at this process, and in the evidence for the collector.
    pub(crate) fn note_failure(
        &self,
        target: &AttemptTarget,
        work: &mut WorkGuard,
        grade: AnswerGrade,
    ) {
        self.grade(target.key, grade);
        work.note_failed();
    }

    /// Counts a failed connection or exchange, and logs it.
    pub(crate) fn note_fault(
        &self,
        target: &AttemptTarget,
        work: &mut WorkGuard,
        fault: &LinkError,
    ) {
        let grade = match fault {
            LinkError::ConnectFailed(_) | LinkError::TimedOut(_) => AnswerGrade::Dead,
            LinkError::Interrupted(_) | LinkError::Malformed(_) => AnswerGrade::Bad,
        };
        if self.may_be_own_path(fault) {
            self.grade(target.key, grade);
        } else {
            self.note_failure(target, work, grade);
        }
        if suspects::is_port_closed(fault) && self.node.takes_work(target.key) {
            suspects::note_port_closed(self.node, &target.life);
        }
        self.log_fault(target, fault);
    }

    /// Logs what broke a connection or an answer.
    pub(crate) fn log_fault(&self, target: &AttemptTarget, fault: &dyn Display) {
        event!(self.node, AttemptFault;
            "request" => self.call.id.as_str(), "endpoint" => target.life.instance.as_str(),
            "fault" => fault.to_string());
    }

    /// Whether a failure may come from the path of this process: no endpoint of the service was reached
    /// lately, or none was heard since the request was sent. It then says nothing about the endpoint.
    fn may_be_own_path(&self, fault: &LinkError) -> bool {
        let now = self.node.clock.now();
        let is_heard = || {
            self.sent_at.is_none_or(|sent_at| {
                paths::was_heard_since(self.node, &self.service, now - sent_for(sent_at))
            })
        };
        match fault {
            LinkError::Malformed(_) => false,
            LinkError::TimedOut(_) if !is_heard() => true,
            LinkError::ConnectFailed(_) | LinkError::Interrupted(_) | LinkError::TimedOut(_) => {
                paths::path_state(self.node, &self.service) != PathState::Open
            }
        }
    }

    /// Updates the health of an endpoint, as this process sees it, by the result of an attempt.
    pub(crate) fn grade(&self, key: EndpointKey, grade: AnswerGrade) {
        let now = self.node.clock.now();
        if let Some(fact) = self.node.endpoints.borrow_mut().get_mut(key) {
            fact.health.note(grade, now);
        }
    }
}

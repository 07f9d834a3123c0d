//! Prepares the next attempt of a request while its endpoint says nothing.
//!
//! A silent endpoint may be sound and go on, and a request that has left it cannot come back. So its attempt
//! goes on until another endpoint has begun to answer: everything that the next attempt needs is taken first, it is
//! sent, and only when an event of its stream, or its whole plain answer, has arrived is the silent one ended. Two endpoints may have a request
//! for a moment only; if the new one has said nothing by then, it is the one that is left. Whatever fails on the way
//! leaves the request where it is.

use crate::answering::{AttemptLink, LinkState, StreamPart};
use crate::attempt::{AttemptTarget, IDLE_TIMEOUT, STALE_LINK_WINDOW, sent_for};
use crate::drive::CallContext;
use crate::events::event;
use crate::releases::{CandidatePayment, refund};
use crate::work::WorkGuard;
use crate::{limits, paths, suspects, words};
use actix_http::ResponseHead;
use oleander_call::{AttemptEnd, RetryBarrier, TailVerdict};
use oleander_kind::hash::mix_bits;
use oleander_kind::{InstanceId, TimeSpan};
use oleander_outlet::{IdleLink, LinkError};
use oleander_place::{
    AnswerGrade, EndpointKey, PlacementChoice, PlacementRequest, choose_endpoint,
};
use std::cell::Cell;
use std::pin::pin;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Interval between attempts to prepare another one while an endpoint stays silent.
const RECHECK_PERIOD: Duration = Duration::from_millis(250);

/// How long the new attempt is waited for before one of the two is ended. Two endpoints have the request
/// meanwhile, which operators allow for 400 ms; the rest is for timers that fire late and the way to the endpoints.
const ANSWER_WAIT: Duration = Duration::from_millis(250);

/// Part of [`ANSWER_WAIT`] in which the new endpoint has to be expected to answer; the estimate leaves out what other
/// processes send there meanwhile.
const EXPECTED_WAIT: TimeSpan = TimeSpan(ANSWER_WAIT.as_millis() as u64 / 2);

/// Longer than a sound endpoint is silent.
const HANG_TIME: Duration = Duration::from_secs(3);

/// Part of a silence in which what is received from other endpoints shows nothing, as it may have been sent before.
const HEARING_MARGIN: TimeSpan = TimeSpan(20);

/// Since when nothing was received from an endpoint or peer, and how long that may last until another attempt is
/// prepared; `None` if there can be none.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnswerSilence {
    began: Instant,
    patience: Option<Duration>,
}

impl AnswerSilence {
    /// A silence that begins now.
    pub(crate) fn begin(patience: Option<Duration>) -> Self {
        AnswerSilence { began: Instant::now(), patience }
    }

    /// When another attempt is prepared; not after `deadline`.
    fn prepare_at(&self, deadline: Instant) -> Instant {
        self.patience.map_or(deadline, |patience| deadline.min(self.began + patience))
    }

    /// Whether the endpoint more likely hangs than goes on.
    fn is_hang(&self) -> bool {
        self.began.elapsed() >= HANG_TIME
    }

    /// Whether it has lasted so long that another endpoint is tried although none was heard meanwhile: for twice its
    /// patience, or less if the time until `deadline` is too short for that and an answer.
    fn is_long(&self, deadline: Instant) -> bool {
        self.patience.is_some_and(|patience| {
            self.began.elapsed() >= 2 * patience || self.began + 3 * patience > deadline
        })
    }
}

/// An attempt that was sent while the one before it was silent.
pub(crate) struct StandbyAttempt {
    pub target: AttemptTarget,
    pub choice: PlacementChoice,
    pub work: WorkGuard,
    pub link: AttemptLink,
    /// Whether its answer can take the place of the silent one.
    has_answered: bool,
    /// Charge for an attempt on the version that is being rolled out.
    pub payment: Option<CandidatePayment>,
}

/// A connection that a request can be sent on.
struct OpenLink {
    link: IdleLink,
    /// How long it may be idle; `None` if it is new.
    kept_limit: Option<Duration>,
}

/// Why no other attempt could take over.
enum StandbyFault {
    /// Nothing was sent.
    Barred(RetryBarrier),
    /// The endpoint could not be reached, or refused the request.
    Failed(EndpointKey, AttemptEnd),
    /// The endpoint said nothing while two might have the request.
    Unanswered(EndpointKey),
    /// The silent endpoint went on before this one answered.
    Left(EndpointKey),
}

impl StandbyFault {
    /// What kept an attempt from being sent.
    fn barrier(&self) -> Option<RetryBarrier> {
        match self {
            StandbyFault::Barred(barrier) => Some(*barrier),
            _ => None,
        }
    }

    /// The endpoint that was asked.
    fn asked(&self) -> Option<EndpointKey> {
        match self {
            StandbyFault::Barred(_) => None,
            StandbyFault::Failed(key, _)
            | StandbyFault::Unanswered(key)
            | StandbyFault::Left(key) => Some(*key),
        }
    }

    /// How an attempt ended that was sent, for logs and metrics.
    fn end_name(&self) -> Option<&'static str> {
        match self {
            StandbyFault::Barred(_) => None,
            StandbyFault::Failed(_, end) => Some(end.name()),
            StandbyFault::Unanswered(_) => Some("unanswered"),
            StandbyFault::Left(_) => Some("left"),
        }
    }
}

impl CallContext<'_, '_> {
    /// Waits for `reading`. If the silence exceeds its patience, another attempt is prepared beside. Returns `None` if
    /// that one takes over, or if the deadline has passed. If the present attempt ends by what was read, as `is_end`
    /// tells, while another one is on its way, that one is kept for it.
    pub(crate) async fn read_patiently<T>(
        &mut self,
        silence: AnswerSilence,
        reading: impl Future<Output = T>,
        is_end: impl Fn(&T) -> bool,
    ) -> Option<T> {
        let mut reading = pin!(reading);
        if let Ok(read) = timeout_at(silence.prepare_at(self.deadline), &mut reading).await {
            return Some(read);
        }
        self.barrier = None;
        while Instant::now() < self.deadline {
            let sent_to = Cell::new(None);
            let (read, prepared) = {
                let mut preparing = pin!(self.prepare_attempt(silence, &sent_to));
                tokio::select! {
                    biased;
                    read = &mut reading => match sent_to.get().is_some() && is_end(&read) {
                        true => (Some(read), Some(preparing.await)),
                        false => (Some(read), None),
                    },
                    prepared = &mut preparing => (None, Some(prepared)),
                }
            };
            match prepared {
                Some(Ok(standby)) if read.is_some() || self.may_replace(silence, &standby) => {
                    self.standby = Some(Box::new(standby));
                }
                Some(Ok(standby)) => {
                    let key = standby.target.key;
                    self.note_standby_fault(silence, StandbyFault::Unanswered(key));
                }
                Some(Err(fault)) => self.note_standby_fault(silence, fault),
                None => {
                    if let Some(key) = sent_to.get() {
                        self.note_standby_fault(silence, StandbyFault::Left(key));
                    }
                }
            }
            if read.is_some() || self.standby.is_some() {
                return read;
            }
            let recheck_at = self.deadline.min(Instant::now() + RECHECK_PERIOD);
            if let Ok(read) = timeout_at(recheck_at, &mut reading).await {
                return Some(read);
            }
        }
        None
    }

    /// Leaves the attempt that was kept for the case that the present one's answer was not whole.
    pub(crate) fn leave_standby(&mut self, silence: AnswerSilence) {
        if let Some(standby) = self.standby.take() {
            self.note_standby_fault(silence, StandbyFault::Left(standby.target.key));
        }
    }

    /// Whether `standby` takes the place of the attempt that is silent: it has begun to answer, or that one hangs while
    /// others answer.
    fn may_replace(&self, silence: AnswerSilence, standby: &StandbyAttempt) -> bool {
        standby.has_answered || (silence.is_hang() && self.others_answer(silence))
    }

    /// Whether another endpoint of the service sent a part of an answer since the silence began.
    fn others_answer(&self, silence: AnswerSilence) -> bool {
        let since = self.node.clock.now() - sent_for(silence.began) + HEARING_MARGIN;
        paths::was_answered_since(self.node, &self.service, (self.current, since))
    }

    /// Notes that an endpoint was left that had been asked beside the silent one, and may have run the request.
    fn note_left(&mut self, key: EndpointKey) {
        if !self.left.contains(&key) {
            self.record.note_beside();
            self.left.push(key);
        }
    }

    fn instance_of(&self, key: EndpointKey) -> Option<InstanceId> {
        let board = self.node.endpoints.borrow();
        board.get(key).map(|fact| fact.entry.instance.clone())
    }

    /// Notes that no other attempt took over, once for each reason.
    fn note_standby_fault(&mut self, silence: AnswerSilence, fault: StandbyFault) {
        let (barrier, end) = (fault.barrier(), fault.end_name());
        let asked = fault.asked().and_then(|key| self.instance_of(key));
        match fault {
            StandbyFault::Barred(_) => {}
            StandbyFault::Failed(key, end) => {
                // What could not be sent shows nothing about later endpoints.
                if end != AttemptEnd::NotSent {
                    self.record.note(end);
                }
                self.tried.push(key);
            }
            StandbyFault::Unanswered(key) | StandbyFault::Left(key) => self.note_left(key),
        }
        self.answer.note_sent(self.record.sent());
        if let Some(end) = end {
            self.node.meter.count_attempt(end);
        }
        if barrier.is_some() && self.barrier == barrier {
            return;
        }
        self.barrier = barrier;
        event!(self.node, EndpointSilent;
            "request" => self.call.id.as_str(), "service" => self.service.as_str(),
            "endpoint" => self.endpoint.as_ref().map(|id| id.as_str()),
            "silent_ms" => silence.began.elapsed().as_millis() as u64, "last_event" => self.last_event,
            "asked" => asked.as_ref().map(|id| id.as_str()), "barred" => barrier.map(RetryBarrier::name), "end" => end,
            "sent" => self.record.sent());
    }

    /// Whether an attempt may follow the present one, as far as that is known without asking anyone.
    fn may_follow(&self, silence: AnswerSilence) -> Result<(), RetryBarrier> {
        let ensure = |holds: bool, barrier| if holds { Ok(()) } else { Err(barrier) };
        ensure(self.may_send_beside() || self.may_return(silence), RetryBarrier::Attempts)?;
        let refused = suspects::refused_for(self.node, &self.suspects);
        ensure(refused.is_none(), RetryBarrier::Quarantined)?;
        let has_time = self.time_left().duration() > ANSWER_WAIT;
        ensure(has_time, RetryBarrier::Deadline)?;
        ensure(self.node.retries_left(&self.service) > 0, RetryBarrier::Budget)?;
        let is_full = self.charge.as_ref().is_some_and(|charge| limits::is_full(self.node, charge));
        ensure(!is_full, RetryBarrier::Limit)
    }

    /// Whether the rules allow to send the request to one more endpoint.
    fn may_send_beside(&self) -> bool {
        let mut record = self.record;
        record.note(AttemptEnd::TimedOut);
        record.may_send()
    }

    /// Whether an endpoint that was left may be asked once more: the silent one hangs, and others answer.
    fn may_return(&self, silence: AnswerSilence) -> bool {
        self.may_ask_again() && silence.is_hang() && self.others_answer(silence)
    }

    /// Whether the rules allow to ask an endpoint once more that was left. They bound the endpoints that get a request.
    pub(crate) fn may_ask_again(&self) -> bool {
        let is_untried = |key: &EndpointKey| !self.tried.contains(key);
        self.record.may_send_again() && self.left.iter().any(is_untried)
    }

    /// The endpoints that have not been left, which the request must not reach if the rules allow no more.
    pub(crate) fn new_endpoints(&self) -> Vec<EndpointKey> {
        let board = self.node.endpoints.borrow();
        let keys = board.of_service(&self.service).iter().copied();
        keys.filter(|key| !self.left.contains(key)).collect()
    }

    /// The endpoints to which the request must not be sent beside the silent one.
    fn barred_beside(&self) -> Vec<EndpointKey> {
        let mut barred = self.tried.clone();
        barred.extend(self.current);
        match self.may_send_beside() {
            true => barred.extend(&self.left),
            false => barred.extend(self.new_endpoints()),
        }
        barred
    }

    /// Sends the request to another endpoint. Returns when that has begun to answer, or was waited for long enough.
    async fn prepare_attempt(
        &self,
        silence: AnswerSilence,
        sent_to: &Cell<Option<EndpointKey>>,
    ) -> Result<StandbyAttempt, StandbyFault> {
        self.may_follow(silence).map_err(StandbyFault::Barred)?;
        let (choice, is_trial) = self.choose_standby(silence).map_err(StandbyFault::Barred)?;
        let no_endpoint = StandbyFault::Barred(RetryBarrier::NoEndpoint);
        let Some(target) = self.target(choice.key) else { return Err(no_endpoint) };
        let mut work = self.begin_work(&target, &choice);
        let link = match self.open_link(&target, silence).await {
            Ok(link) => link,
            Err(fault) => {
                self.note_fault(&target, &mut work, &fault);
                work.note_done();
                return Err(StandbyFault::Failed(target.key, AttemptEnd::NotSent));
            }
        };
        let OpenLink { link, kept_limit } = link;
        let paying = async {
            // Opening it took a while.
            self.may_follow(silence)?;
            self.pay_for_attempt(choice.key, is_trial).await
        };
        let payment = match paying.await {
            Ok(payment) => payment,
            Err(barrier) => {
                work.note_done();
                let limit = kept_limit.unwrap_or(IDLE_TIMEOUT);
                self.node.keep_link(&target.life.instance, link, limit);
                return Err(StandbyFault::Barred(barrier));
            }
        };
        let sent = self.send_on(&target, (link, kept_limit.is_some()));
        sent_to.set(sent.is_ok().then_some(target.key));
        let end = match sent {
            Ok(mut link) => match self.await_answer(&target, &mut work, &mut link).await {
                Ok(has_answered) => {
                    return Ok(StandbyAttempt {
                        target,
                        choice,
                        work,
                        link,
                        has_answered,
                        payment,
                    });
                }
                Err(end) => end,
            },
            Err(fault) => {
                self.note_fault(&target, &mut work, &fault);
                AttemptEnd::NotSent
            }
        };
        if !end.may_have_run() {
            self.refund_attempt(payment.as_ref());
        }
        work.note_done();
        Err(StandbyFault::Failed(target.key, end))
    }

    /// Waits for a moment for a part of the answer to a new attempt; returns whether one came.
    ///
    /// # Errors
    /// How the attempt ended.
    async fn await_answer(
        &self,
        target: &AttemptTarget,
        work: &mut WorkGuard,
        link: &mut AttemptLink,
    ) -> Result<bool, AttemptEnd> {
        let until = link.sent_at + ANSWER_WAIT;
        if let LinkState::Sent(sent) = &mut link.state {
            let head = match timeout_at(until, sent.read_head()).await {
                Err(_) => return Ok(false),
                Ok(Ok(head)) => head,
                Ok(Err(fault)) => {
                    return Err(self.note_broken_standby(target, work, (link, fault)));
                }
            };
            self.judge_early_head(target, work, (link, &head))?;
            link.begin_answer(head);
        }
        let LinkState::Answering(early) = &mut link.state else { return Ok(false) };
        let is_stream = self.forwards_events(early.head.status);
        let goes_on = self.last_event.is_some();
        let reading = async {
            if is_stream {
                return early.next_part(self.last_event, goes_on).await;
            }
            let end = early.read_whole(&self.hold).await?;
            Ok(StreamPart::End(end, TailVerdict::Complete))
        };
        let Ok(read) = timeout_at(until, reading).await else { return Ok(false) };
        match read {
            Ok(StreamPart::Events | StreamPart::End(_, TailVerdict::Complete)) => return Ok(true),
            Ok(StreamPart::End(_, TailVerdict::Unproven)) => return Err(AttemptEnd::Unstated),
            Ok(StreamPart::End(_, TailVerdict::BrokenOff)) => {}
            Err(fault) => self.log_fault(target, &fault),
        }
        self.note_failure(target, work, AnswerGrade::Bad);
        self.note_broken_at(target.identity(), link.sent_at, AttemptEnd::Broken);
        Err(AttemptEnd::Broken)
    }

    /// Applies what the head of a new attempt's answer says.
    ///
    /// # Errors
    /// How the attempt ended, if its endpoint refused or failed it.
    fn judge_early_head(
        &self,
        target: &AttemptTarget,
        work: &mut WorkGuard,
        (link, head): (&AttemptLink, &ResponseHead),
    ) -> Result<(), AttemptEnd> {
        let answer_head = self.node.dialect.parse_answer(head);
        let asked_at = self.node.clock.now() - sent_for(link.sent_at);
        paths::note_answered(self.node, &self.service, target.key);
        let signals = (target.key, &answer_head);
        words::apply_answer_signals(self.node, signals, (&self.call.id, asked_at));
        if answer_head.belongs_to(&self.call.id) && answer_head.not_run {
            let room_use = self.room_use(target.key);
            self.note_refusal(target, work, (&answer_head, room_use));
            return Err(AttemptEnd::RefusedNotRun);
        }
        let is_sound = answer_head.is_sound(&self.call.id);
        if is_sound && self.may_forward(head.status) {
            return Ok(());
        }
        self.note_failure(target, work, AnswerGrade::Bad);
        Err(if is_sound { AttemptEnd::Failed } else { AttemptEnd::Broken })
    }

    fn note_broken_standby(
        &self,
        target: &AttemptTarget,
        work: &mut WorkGuard,
        (link, fault): (&AttemptLink, LinkError),
    ) -> AttemptEnd {
        // A kept connection that fails at once was most likely closed by its idle timeout.
        if !(link.reused && link.sent_at.elapsed() < STALE_LINK_WINDOW) {
            self.note_fault(target, work, &fault);
        }
        if !link.may_have_sent() {
            return AttemptEnd::NotSent;
        }
        self.note_broken_at(target.identity(), link.sent_at, AttemptEnd::Broken);
        AttemptEnd::Broken
    }

    /// Chooses an endpoint that very likely takes the request and answers it; also tells whether it is one of the
    /// candidate version, to which the stream is bound. If all endpoints are silent, or the way to them, another one
    /// is no better, so that the request waits longer.
    fn choose_standby(
        &self,
        silence: AnswerSilence,
    ) -> Result<(PlacementChoice, bool), RetryBarrier> {
        if !(self.others_answer(silence) || silence.is_long(self.deadline)) {
            return Err(RetryBarrier::NoneAnswers);
        }
        let serving = || self.choose_other(silence, false).map(|choice| (choice, false));
        let bound = || self.choose_other(silence, true).map(|choice| (choice, true));
        let choice = serving().or_else(|| self.binding.version().and_then(|_| bound()));
        let choice = choice.ok_or(RetryBarrier::NoEndpoint)?;
        let is_soon = self.expected_wait(&choice.0).expected <= EXPECTED_WAIT;
        if is_soon || silence.is_hang() { Ok(choice) } else { Err(RetryBarrier::Slow) }
    }

    fn choose_other(&self, silence: AnswerSilence, is_trial: bool) -> Option<PlacementChoice> {
        let tried = self.barred_beside();
        let request = self.placement_request();
        // Each time other endpoints are compared.
        let salt = mix_bits(request.salt ^ silence.began.elapsed().as_millis() as u64);
        let request =
            PlacementRequest { tried: &tried, repeatable: false, is_trial, salt, ..request };
        let board = self.node.endpoints.borrow();
        let choice = choose_endpoint(&board, &self.node.prefixes.borrow(), &request)?;
        let fact = board.get(choice.key)?;
        let is_free =
            fact.has_free_place() && (!request.engine || choice.queue() <= request.queue_limit);
        (fact.is_trusted(request.now) && (is_free || silence.is_long(self.deadline)))
            .then_some(choice)
    }

    /// A connection to an endpoint. Without a sign that the way works, only a new
    /// one shows that the endpoint can be reached.
    async fn open_link(
        &self,
        target: &AttemptTarget,
        silence: AnswerSilence,
    ) -> Result<OpenLink, LinkError> {
        let since = self.node.clock.now() - sent_for(silence.began) + HEARING_MARGIN;
        let is_reached = paths::was_heard_since(self.node, &self.service, since);
        let take = || self.node.pool.borrow_mut().take_with_limit(&target.life.instance);
        match is_reached.then(take).flatten() {
            Some((link, limit)) => Ok(OpenLink { link, kept_limit: Some(limit) }),
            None => self.dial(target).await.map(|link| OpenLink { link, kept_limit: None }),
        }
    }

    /// Takes what the attempt uses up: a part of the candidate's exposure if it `is_trial`, tokens, a retry, a part of
    /// the endpoint's rate limit.
    async fn pay_for_attempt(
        &self,
        key: EndpointKey,
        is_trial: bool,
    ) -> Result<Option<CandidatePayment>, RetryBarrier> {
        let payment = if is_trial { self.pay_for_bound().await } else { None };
        if is_trial && payment.is_none() {
            return Err(RetryBarrier::Exposure);
        }
        if let Err(barrier) = self.pay_for_retry(self.charge.as_ref(), true).await {
            if let Some(payment) = &payment {
                refund(self.node, payment);
            }
            return Err(barrier);
        }
        if !self.spend_endpoint_limit(key) {
            self.refund_attempt(payment.as_ref());
            return Err(RetryBarrier::NoEndpoint);
        }
        Ok(payment)
    }

    fn refund_attempt(&self, payment: Option<&CandidatePayment>) {
        if let Some(payment) = payment {
            refund(self.node, payment);
        }
        if let Some(charge) = &self.charge {
            limits::refund_quota(self.node, charge);
        }
    }
}

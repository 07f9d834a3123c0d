//! Prepares the next attempt of a request while its endpoint says nothing.
//!
//! A silent endpoint may be sound and go on, and a request that has left it cannot come back. So its attempt
//! goes on until another endpoint has taken the request: everything that the next attempt needs is taken first,
//! it is sent, and only if it is not refused at once is the silent one ended. Whatever fails on the way costs
//! the request nothing.

use crate::attempt::{AttemptTarget, sent_for};
use crate::drive::CallContext;
use crate::events::event;
use crate::releases::{CandidatePayment, refund};
use crate::work::WorkGuard;
use crate::{limits, paths, suspects, words};
use actix_http::ResponseHead;
use oleander_call::{AttemptEnd, RetryBarrier};
use oleander_kind::TimeSpan;
use oleander_outlet::{IdleLink, LinkError, SentLink};
use oleander_place::{EndpointKey, PlacementChoice, PlacementRequest, choose_endpoint};
use std::cell::Cell;
use std::pin::pin;
use std::time::Duration;
use tokio::time::{Instant, timeout, timeout_at};

/// Interval between attempts to prepare another one while an endpoint stays silent.
const RECHECK_PERIOD: Duration = Duration::from_millis(250);

/// How long a refusal of the new attempt is waited for before the silent one is ended: some round trips between
/// failure domains. Meanwhile two endpoints may have the request, so it is kept short.
const REFUSAL_WAIT: Duration = Duration::from_millis(40);

/// Part of a silence that tells nothing: what was received at its beginning may have been sent before.
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

    /// Whether it has lasted so long that another endpoint is tried although none was heard meanwhile.
    fn is_long(&self) -> bool {
        self.patience.is_some_and(|patience| self.began.elapsed() >= 2 * patience)
    }
}

/// An attempt that was sent while the one before it was silent.
pub(crate) struct StandbyAttempt {
    pub target: AttemptTarget,
    pub choice: PlacementChoice,
    pub work: WorkGuard,
    pub link: StandbyLink,
    /// Charge for an attempt on the version that is being rolled out.
    pub payment: Option<CandidatePayment>,
}

/// The connection of an attempt that was sent.
pub(crate) struct StandbyLink {
    pub sent: SentLink,
    /// Whether the connection carried another request before.
    pub reused: bool,
    pub sent_at: Instant,
    /// The head of the answer, if it has been read.
    pub head: Option<ResponseHead>,
}

/// Why no other attempt could take over.
enum StandbyFault {
    /// Nothing was sent.
    Barred(RetryBarrier),
    /// The endpoint could not be reached, or refused the request.
    Failed(EndpointKey, AttemptEnd),
}

/// What takes over from a silent attempt.
enum NextInLine {
    Endpoint(Box<StandbyAttempt>),
    /// A peer, to which a connection is open.
    Peer,
}

impl CallContext<'_, '_> {
    /// Waits for `reading`. If the silence exceeds its patience, another attempt is prepared beside. Returns `None` if
    /// that one takes over, or if the deadline has passed.
    pub(crate) async fn read_patiently<T>(
        &mut self,
        silence: AnswerSilence,
        reading: impl Future<Output = T>,
    ) -> Option<T> {
        let mut reading = pin!(reading);
        if let Ok(read) = timeout_at(silence.prepare_at(self.deadline), &mut reading).await {
            return Some(read);
        }
        while Instant::now() < self.deadline {
            let is_sent = Cell::new(false);
            let preparing = self.prepare_next(silence, &is_sent);
            let prepared = tokio::select! {
                biased;
                read = &mut reading => Err(read),
                prepared = preparing => Ok(prepared),
            };
            match prepared {
                Err(read) => {
                    if is_sent.get() {
                        self.record.note_beside();
                    }
                    return Some(read);
                }
                Ok(Ok(NextInLine::Endpoint(standby))) => {
                    self.standby = Some(standby);
                    return None;
                }
                Ok(Ok(NextInLine::Peer)) => return None,
                Ok(Err(fault)) => self.note_standby_fault(silence, fault),
            }
            let recheck_at = self.deadline.min(Instant::now() + RECHECK_PERIOD);
            if let Ok(read) = timeout_at(recheck_at, &mut reading).await {
                return Some(read);
            }
        }
        None
    }

    async fn prepare_next(
        &self,
        silence: AnswerSilence,
        is_sent: &Cell<bool>,
    ) -> Result<NextInLine, StandbyFault> {
        if self.relay_turn.is_some() {
            return self
                .prepare_peer()
                .await
                .map(|()| NextInLine::Peer)
                .map_err(StandbyFault::Barred);
        }
        let standby = self.prepare_endpoint(silence, is_sent).await?;
        Ok(NextInLine::Endpoint(Box::new(standby)))
    }

    /// Notes that no other attempt took over, once for each reason.
    fn note_standby_fault(&mut self, silence: AnswerSilence, fault: StandbyFault) {
        let (barrier, end) = match fault {
            StandbyFault::Barred(barrier) => (Some(barrier), None),
            StandbyFault::Failed(key, end) => {
                self.record.note(end);
                self.answer.note_sent(self.record.sent());
                self.node.meter.count_attempt(end.name());
                self.tried.push(key);
                (None, Some(end))
            }
        };
        if barrier.is_some() && self.barrier == barrier {
            return;
        }
        self.barrier = barrier;
        event!(self.node, EndpointSilent;
            "request" => self.call.id.as_str(), "service" => self.service.as_str(),
            "endpoint" => self.endpoint.as_ref().map(|id| id.as_str()),
            "peer" => self.peer.as_ref().map(|id| id.as_str()),
            "silent_ms" => silence.began.elapsed().as_millis() as u64, "last_event" => self.last_event,
            "barred" => barrier.map(RetryBarrier::name), "end" => end.map(AttemptEnd::name),
            "sent" => self.record.sent());
    }

    /// Whether the rules would allow an attempt after the present one.
    fn may_follow(&self) -> Result<(), RetryBarrier> {
        let mut record = self.record;
        record.note(AttemptEnd::TimedOut);
        if !record.may_send() {
            return Err(RetryBarrier::Attempts);
        }
        if suspects::refused_for(self.node, &self.suspects).is_some() {
            return Err(RetryBarrier::Quarantined);
        }
        Ok(())
    }

    /// Sends the request to another endpoint. Returns when that has not refused it at once.
    async fn prepare_endpoint(
        &self,
        silence: AnswerSilence,
        is_sent: &Cell<bool>,
    ) -> Result<StandbyAttempt, StandbyFault> {
        self.may_follow().map_err(StandbyFault::Barred)?;
        let is_heard = self.was_heard_since(silence.began);
        let choice = self.choose_standby().filter(|_| is_heard || silence.is_long());
        let no_endpoint = StandbyFault::Barred(RetryBarrier::NoEndpoint);
        let Some((choice, is_trial)) = choice else { return Err(no_endpoint) };
        let Some(target) = self.target(choice.key) else { return Err(no_endpoint) };
        if self.node.retries_left(&self.service) == 0 {
            // Checked before a connection is opened.
            return Err(StandbyFault::Barred(RetryBarrier::Budget));
        }
        let mut work = self.begin_work(&target, &choice);
        let link = match self.open_link(&target, is_heard).await {
            Ok(link) => link,
            Err(fault) => {
                self.note_fault(&target, &mut work, &fault);
                work.note_done();
                return Err(StandbyFault::Failed(target.key, AttemptEnd::NotSent));
            }
        };
        let payment = match self.pay_for_attempt(choice.key, is_trial).await {
            Ok(payment) => payment,
            Err(barrier) => {
                work.note_done();
                return Err(StandbyFault::Barred(barrier));
            }
        };
        let sent = self.send_on(&target, link);
        is_sent.set(sent.is_ok());
        let end = match sent {
            Ok(mut link) => match self.await_refusal(&target, &mut work, &mut link).await {
                None => return Ok(StandbyAttempt { target, choice, work, link, payment }),
                Some(end) => end,
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

    /// Waits for a moment whether the endpoint of a new attempt refuses it, and returns how it then ended.
    async fn await_refusal(
        &self,
        target: &AttemptTarget,
        work: &mut WorkGuard,
        link: &mut StandbyLink,
    ) -> Option<AttemptEnd> {
        let room_use = self.room_use(target.key);
        let asked_at = self.node.clock.now() - sent_for(link.sent_at);
        let head = match timeout(REFUSAL_WAIT, link.sent.read_head()).await {
            Err(_) => return None,
            Ok(Ok(head)) => head,
            Ok(Err(fault)) => {
                self.note_fault(target, work, &fault);
                let is_unsent = !link.sent.may_have_sent();
                return Some(if is_unsent { AttemptEnd::NotSent } else { AttemptEnd::Broken });
            }
        };
        let answer_head = self.node.dialect.parse_answer(&head);
        if !answer_head.not_run || !answer_head.belongs_to(&self.call.id) {
            link.head = Some(head);
            return None;
        }
        paths::note_reached(self.node, &self.service);
        words::apply_answer_signals(
            self.node,
            (target.key, &answer_head),
            (&self.call.id, asked_at),
        );
        self.note_refusal(target, work, (&answer_head, room_use));
        Some(AttemptEnd::RefusedNotRun)
    }

    /// Whether an endpoint of the service was heard after a silence had begun, so that it is not all of them that
    /// are silent, or the way to them.
    fn was_heard_since(&self, began: Instant) -> bool {
        let since = self.node.clock.now() - sent_for(began) + HEARING_MARGIN;
        paths::was_heard_since(self.node, &self.service, since)
    }

    /// Chooses an endpoint that very likely takes the request and answers it; also tells whether it is one of the
    /// candidate version, to which the stream is bound.
    fn choose_standby(&self) -> Option<(PlacementChoice, bool)> {
        let serving = || self.choose_other(false).map(|choice| (choice, false));
        let bound = || self.choose_other(true).map(|choice| (choice, true));
        serving().or_else(|| self.binding.version().and_then(|_| bound()))
    }

    fn choose_other(&self, is_trial: bool) -> Option<PlacementChoice> {
        let mut tried = self.tried.clone();
        tried.extend(self.current);
        let request = self.placement_request();
        let request = PlacementRequest { tried: &tried, repeatable: false, is_trial, ..request };
        let board = self.node.endpoints.borrow();
        let choice = choose_endpoint(&board, &self.node.prefixes.borrow(), &request)?;
        let fact = board.get(choice.key)?;
        let is_quick = !request.engine || choice.queue() <= request.queue_limit;
        (fact.is_trusted(request.now) && fact.has_free_place() && is_quick).then_some(choice)
    }

    /// A connection to an endpoint, and whether it was used before. Without a sign that the way works, only a new
    /// one shows that the endpoint can be reached.
    async fn open_link(
        &self,
        target: &AttemptTarget,
        is_heard: bool,
    ) -> Result<(IdleLink, bool), LinkError> {
        let take = || self.node.pool.borrow_mut().take(&target.life.instance);
        match is_heard.then(take).flatten() {
            Some(link) => Ok((link, true)),
            None => self.dial(target).await.map(|link| (link, false)),
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

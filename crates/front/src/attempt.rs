//! One attempt at one endpoint: a connection, the request on it, and the answer that came.

use crate::drive::{AttemptOutcome, CallRun};
use crate::events::event;
use crate::suspects::FailedAttempt;
use crate::work::{FirstWait, WorkGuard};
use crate::{releases, stream, suspects, whole, words};
use actix_http::{RequestHead, ResponseHead, Version};
use compact_str::CompactString;
use oleander_call::{AnswerMark, AnswerShape, AttemptEnd, AttemptStamp, RepeatRule, SaidWord};
use oleander_kind::TimeSpan;
use oleander_outlet::{IdleLink, LinkError, SentLink, SocketBounds};
use oleander_pace::ReadSample;
use oleander_place::{AnswerGrade, EndpointFact, EndpointKey, PlaceChoice, expected_first};
use oleander_suspect::{BrokenTimes, EndedLife};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::{Instant, timeout_at};

/// Time to make a connection to an endpoint: a lost opening packet is sent again after a second,
/// and by then another endpoint has answered.
pub(crate) const CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// How long an idle connection to an endpoint is kept if the endpoint does not say.
pub(crate) const IDLE_KEPT: Duration = Duration::from_millis(2000);
/// The part of an endpoint's own idle time that is used, so that it does not close a connection
/// while a request is on its way on it.
const IDLE_PART: f64 = 0.6;
/// The most idle connections to one endpoint.
pub(crate) const IDLE_MOST: usize = 32;

/// A kept connection that its endpoint had closed already ends within this time: two crossings of failure
/// domains take 3 ms, and the shortest work of an endpoint some 15.
const CLOSING_RACE: Duration = Duration::from_millis(8);

/// What an attempt needs to know of its endpoint.
struct AttemptTarget {
    key: EndpointKey,
    life: EndedLife,
    address: SocketAddr,
    version: CompactString,
}

impl CallRun<'_, '_> {
    /// Makes an attempt at the endpoint chosen.
    pub async fn attempt(&mut self, choice: PlaceChoice) -> AttemptOutcome {
        let Some(target) = self.target(choice.key).filter(|_| self.take_turn(choice.key)) else {
            return AttemptOutcome::Ended(AttemptEnd::NotSent, None);
        };
        self.current = Some(target.key);
        self.endpoint = Some(target.life.instance.clone());
        self.ran_at = Some((target.life.clone(), target.address));
        self.sent_at = None;
        self.chosen = Some(choice);
        self.note_list_age();
        self.note_demand(choice.unread);
        if self.record.sent() == 0 {
            self.node.note_demand(&self.service, |demand| demand.sent += 1);
        }
        let route = releases::evidence_route(self.node, &self.service, &self.route().name);
        let waits = (self.first_wait(&choice), route);
        let mut work = WorkGuard::begin(self.node, target.key, choice.unread, waits);
        let outcome = self.attempt_at(&target, &mut work).await;
        self.current = None;
        self.count_version(&target, &outcome);
        match &outcome {
            AttemptOutcome::Delivered => suspects::note_answer(self.node, self.print),
            AttemptOutcome::Ended(end, _) if !work.is_borne() => self.note_broken(target.key, *end),
            AttemptOutcome::Ended(..) | AttemptOutcome::CallerGone => {}
        }
        outcome
    }

    /// Notes an attempt that broke: its endpoint may have ended under the request. One that said that it leaves
    /// ends whatever it runs.
    pub(crate) fn note_broken(&self, key: EndpointKey, end: AttemptEnd) {
        let (Some((life, address)), Some(sent_at)) = (self.ran_at.clone(), self.sent_at) else {
            return;
        };
        let (takes_work, lived_at) = {
            let board = self.node.endpoints.borrow();
            let fact = board.get(key);
            let lived_at = fact.map(|fact| fact.health.good_at()).unwrap_or_default();
            (fact.map(EndpointFact::takes_work), lived_at)
        };
        if takes_work == Some(false) {
            return;
        }
        let was_cut = match end {
            AttemptEnd::Broken => true,
            AttemptEnd::Silent => false,
            AttemptEnd::NotSent | AttemptEnd::RefusedNotRun | AttemptEnd::Failed => return,
        };
        let at = self.node.clock.now();
        let ran = TimeSpan(sent_at.elapsed().as_millis() as u64);
        let times = BrokenTimes { sent_at: at - ran, lived_at, at };
        let may_probe = was_cut && takes_work.is_some();
        let broken = FailedAttempt { life, address, times, may_probe };
        suspects::note_broken(self.node, self.print, broken);
    }

    fn first_wait(&self, choice: &PlaceChoice) -> FirstWait {
        let read_per_ms = self.node.read_per_ms(&self.service);
        let expected = expected_first(choice, self.is_engine(), read_per_ms);
        FirstWait { expected, objective: self.route().objective }
    }

    /// Counts what the request asks of its service, of which `unread` tokens of its prompt have to be read.
    pub(crate) fn note_demand(&self, unread: u64) {
        let first = self.record.sent() == 0;
        let answer = self.call.tokens.map_or(0, |tokens| tokens.answer);
        let guess = self.call.length_hint.unwrap_or(answer).min(answer.max(1));
        self.node.note_demand(&self.service, |demand| {
            demand.requests += u64::from(first);
            demand.unread_tokens += unread;
            demand.answer_tokens += guess;
        });
    }

    /// Notes that the request began to run at its endpoint `ago`; once, however often it is sent.
    ///
    /// Failures that an endpoint made itself count, and so do answers that were lost on the way: it has done
    /// the work. Without these, usage was told 8 to 15 in 100 too low while all endpoints failed half of
    /// their requests, or lost a quarter of their answers.
    pub fn note_began(&mut self, ago: Duration) {
        if std::mem::replace(&mut self.has_begun, true) {
            return;
        }
        if let Some(account) = &self.account {
            self.node.note_usage(account, TimeSpan(ago.as_millis() as u64));
        }
    }

    /// Notes that the engine has read the prompt: its first event came.
    pub fn note_read(&self) {
        let (Some(choice), Some(sent_at)) = (self.chosen, self.sent_at) else { return };
        if choice.held == 0 && self.call.parts.len() > 1 {
            // Another process may have had the engine read its shared parts: it seems quicker than
            // it is.
            return;
        }
        let took = TimeSpan(sent_at.elapsed().as_millis() as u64);
        let sample = ReadSample { own: choice.unread, queued: choice.queue(), took };
        self.node.note_read(&self.service, sample);
    }

    fn target(&self, key: EndpointKey) -> Option<AttemptTarget> {
        let board = self.node.endpoints.borrow();
        let fact = board.get(key)?;
        let (entry, usable) = (&fact.entry, fact.takes_work());
        let life = suspects::life_of(entry);
        let (address, version) = (entry.address, entry.release.clone());
        usable.then_some(AttemptTarget { key, life, address, version })
    }

    /// Counts the attempt for its endpoint's version where roll-outs are carried out.
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

    /// Takes this process's next request of a limited endpoint; says whether there is one.
    fn take_turn(&self, key: EndpointKey) -> bool {
        let now = self.node.clock.lease_now();
        let mut board = self.node.endpoints.borrow_mut();
        board.get_mut(key).is_some_and(|fact| fact.said.take_turn(now))
    }

    async fn attempt_at(&mut self, target: &AttemptTarget, work: &mut WorkGuard) -> AttemptOutcome {
        let (mut sent, reused) = match self.send(target).await {
            Ok(sent) => sent,
            Err(fault) => {
                self.note_fault(target, work, &fault);
                self.tried.push(target.key);
                return AttemptOutcome::Ended(AttemptEnd::NotSent, None);
            }
        };
        let limit = self.first_limit();
        let sent_at = Instant::now();
        self.sent_at = Some(sent_at);
        match self.read_own_head(target.key, &mut sent, limit).await {
            Ok((sent, head, mark)) => {
                self.node.meter.count_unread(work.unread_tokens());
                let begins_later = mark.is_success() && self.route().shape == AnswerShape::Events;
                if !mark.not_run && !begins_later {
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
                    self.note_fault(target, work, &fault);
                }
                if reused && end == AttemptEnd::Silent {
                    // Kept connections fall silent together, when what lies between forgets them.
                    self.node.pool.borrow_mut().clear();
                }
                if end != AttemptEnd::NotSent || !reused {
                    self.tried.push(target.key);
                }
                let closed_for_age = reused && sent_at.elapsed() < CLOSING_RACE;
                if end == AttemptEnd::Broken && !closed_for_age {
                    // The endpoint had the request and closed: its answer is lost, not its work.
                    self.note_began(sent_at.elapsed());
                }
                AttemptOutcome::Ended(end, None)
            }
        }
    }

    async fn send(
        &mut self,
        target: &AttemptTarget,
    ) -> oleander_outlet::Result<(Option<SentLink>, bool)> {
        let kept = self.node.pool.borrow_mut().take(&target.life.instance);
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
            instance: target.life.instance.clone(),
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
        key: EndpointKey,
        slot: &mut Option<SentLink>,
        limit: Instant,
    ) -> oleander_outlet::Result<(SentLink, ResponseHead, AnswerMark)> {
        /// Foreign answers that are read away; an endpoint that sends more is broken.
        const MOST_FOREIGN: u32 = 2;
        let began = Instant::now();
        let asked_at = self.node.clock.now();
        let late = |_| LinkError::Late(began.elapsed());
        let spent = || LinkError::Malformed("answers to other requests".to_owned());
        let ended = || LinkError::Cut(io::ErrorKind::ConnectionReset.into());
        for _ in 0..=MOST_FOREIGN {
            let sent = slot.as_mut().ok_or_else(spent)?;
            let reading = self.node.run_until_replaced(key, sent.read_head());
            let head = timeout_at(limit, reading).await.map_err(late)?.ok_or_else(ended)??;
            let mark = self.node.dialect.read_answer(&head);
            let sent = slot.take().ok_or_else(spent)?;
            words::apply_answer_mark(self.node, (key, &mark), (&self.call.id, asked_at));
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
            self.note_failure(target, work, AnswerGrade::Bad);
            return AttemptOutcome::Ended(AttemptEnd::Broken, None);
        }
        let asks_for_rest = matches!(mark.rest, SaidWord::Said(_));
        let body = sent.into_body(&head);
        let (outcome, link) = if events {
            stream::pass_events(self, body, head, work).await
        } else {
            whole::pass_whole(self, body, head, &mark, target.key).await
        };
        match &outcome {
            AttemptOutcome::Delivered => {
                self.grade(target.key, AnswerGrade::Good);
                work.answered();
            }
            AttemptOutcome::CallerGone => {}
            // It is sound, and says when it takes requests again.
            AttemptOutcome::Ended(AttemptEnd::RefusedNotRun, _) if asks_for_rest => {
                self.tried.push(target.key);
            }
            AttemptOutcome::Ended(..) => {
                self.tried.push(target.key);
                self.note_failure(target, work, AnswerGrade::Bad);
            }
        }
        // A connection to a life that has ended since is of no use to the next one.
        let lives = self.node.endpoints.borrow().get(target.key).is_some();
        if let Some(link) = link.filter(|_| lives) {
            let said = mark.keeps_idle.map(|span| span.duration().mul_f64(IDLE_PART));
            let keep = said.unwrap_or(IDLE_KEPT);
            self.node.pool.borrow_mut().put(&target.life.instance, link, keep, IDLE_MOST);
        }
        outcome
    }

    /// Notes a failure of the endpoint, for this process and for all.
    fn note_failure(&self, target: &AttemptTarget, work: &mut WorkGuard, grade: AnswerGrade) {
        self.grade(target.key, grade);
        work.failed();
    }

    fn note_fault(&self, target: &AttemptTarget, work: &mut WorkGuard, fault: &LinkError) {
        let grade = match fault {
            LinkError::Unreached(_) | LinkError::Late(_) => AnswerGrade::Dead,
            LinkError::Cut(_) | LinkError::Malformed(_) => AnswerGrade::Bad,
        };
        self.note_failure(target, work, grade);
        if suspects::is_port_closed(fault) && self.node.takes_work(target.key) {
            suspects::note_ended(self.node, &target.life, "port closed");
        }
        event!(self.node, AttemptFault;
            "request" => self.call.id.as_str(), "endpoint" => target.life.instance.as_str(),
            "fault" => fault.to_string());
    }

    pub(crate) fn grade(&self, key: EndpointKey, grade: AnswerGrade) {
        let now = self.node.clock.now();
        if let Some(fact) = self.node.endpoints.borrow_mut().get_mut(key) {
            fact.health.note(grade, now);
        }
    }
}

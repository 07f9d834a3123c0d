//! Tracks the requests that this process has in flight at each endpoint, and samples how they end.

use crate::dispatch;
use crate::evidence::AnswerTicket;
use crate::node::FrontNode;
use compact_str::CompactString;
use oleander_judge::AnswerSample;
use oleander_kind::{ClockTime, TimeSpan};
use oleander_place::{EndpointKey, WorkLoad};
use std::rc::Rc;

/// How long the first part of an answer is expected to take.
#[derive(Clone, Copy, Debug)]
pub struct AnswerWait {
    /// Estimate by the queue at the endpoint.
    pub expected: TimeSpan,
    /// Latency objective of the route.
    pub objective: TimeSpan,
}

impl AnswerWait {
    /// When the answer to a request sent at `now` is overdue. It is later than a healthy endpoint takes, and
    /// early enough that a hanging endpoint is noticed before its callers give up.
    fn overdue_at(&self, now: ClockTime) -> ClockTime {
        /// Multiple of the expected time, or of the latency objective if that is longer.
        const OVERDUE_FACTOR: u64 = 2;
        now + TimeSpan(self.expected.max(self.objective).0 * OVERDUE_FACTOR)
    }
}

/// Counts one attempt in the load of its endpoint until it is dropped.
pub struct WorkGuard {
    node: Rc<FrontNode>,
    key: EndpointKey,
    unread_tokens: u64,
    wait: AnswerWait,
    began_at: ClockTime,
    answered_at: Option<ClockTime>,
    ticket: Option<AnswerTicket>,
    /// Whether the endpoint has done with the request.
    is_done: bool,
    /// Name of the route, if samples are compared by route.
    route: Option<CompactString>,
}

impl WorkGuard {
    /// Counts an attempt for which the endpoint `key` has to prefill `unread_tokens` prompt tokens.
    pub fn begin(
        node: &Rc<FrontNode>,
        key: EndpointKey,
        unread_tokens: u64,
        (wait, route): (AnswerWait, Option<CompactString>),
    ) -> Self {
        let began_at = node.clock.now();
        let overdue_at = wait.overdue_at(began_at);
        let ticket = {
            let times = (began_at, overdue_at);
            node.evidence.borrow_mut().track_on_route(key, route.clone(), times)
        };
        let ticket = Some(ticket);
        let node = node.clone();
        let guard = WorkGuard {
            node,
            key,
            unread_tokens,
            wait,
            began_at,
            answered_at: None,
            ticket,
            is_done: false,
            route,
        };
        guard.update_load(|own| {
            own.requests += 1;
            own.unread_tokens += unread_tokens;
        });
        guard
    }

    /// The endpoint of the attempt.
    pub fn key(&self) -> EndpointKey {
        self.key
    }

    /// Prompt tokens that the endpoint still has to prefill.
    pub fn unread_tokens(&self) -> u64 {
        self.unread_tokens
    }

    /// Records that the first part of the answer has arrived.
    pub fn note_answered(&mut self) {
        let now = self.node.clock.now();
        self.answered_at.get_or_insert(now);
        let took = now - self.began_at;
        self.settle(Some(AnswerSample::Came { took, expected: self.wait.expected }));
    }

    /// Whether the endpoint has survived the request: its answer began more than `SURVIVAL_TIME` ago.
    pub fn has_survived(&self) -> bool {
        /// Requests that crash an endpoint were seen to do so 34 to 94 ms after they began; this is ten times that.
        const SURVIVAL_TIME: TimeSpan = TimeSpan(1000);
        let now = self.node.clock.now();
        self.answered_at.is_some_and(|at| now - at > SURVIVAL_TIME)
    }

    /// Records that the endpoint has done with the request: it answered or refused it, was not sent it, or closed the
    /// connection. Otherwise it may go on to run it for a while.
    pub fn note_done(&mut self) {
        self.is_done = true;
    }

    /// Records that the attempt failed at the endpoint, perhaps after its answer had begun.
    pub fn note_failed(&mut self) {
        if self.ticket.is_none() {
            let of = (self.key, self.route.clone());
            self.node.evidence.borrow_mut().note_on_route(of, AnswerSample::Failed);
        }
        self.settle(Some(AnswerSample::Failed));
    }

    fn settle(&mut self, sample: Option<AnswerSample>) {
        if let Some(ticket) = self.ticket.take() {
            self.node.evidence.borrow_mut().settle(ticket, sample);
        }
    }

    /// Records that the prompt was prefilled: the first event has arrived.
    pub fn note_prompt_read(&mut self) {
        let tokens = std::mem::take(&mut self.unread_tokens);
        self.update_load(|own| own.unread_tokens = own.unread_tokens.saturating_sub(tokens));
    }

    fn update_load(&self, act: impl FnOnce(&mut WorkLoad)) {
        if let Some(fact) = self.node.endpoints.borrow_mut().get_mut(self.key) {
            act(&mut fact.own);
        }
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.settle(None);
        self.note_prompt_read();
        self.update_load(|own| own.requests = own.requests.saturating_sub(1));
        let took = self.is_done.then(|| self.node.clock.now() - self.began_at);
        dispatch::note_ended(&self.node, self.key, took);
        if !self.is_done
            && let Some(fact) = self.node.endpoints.borrow_mut().get_mut(self.key)
        {
            fact.note_given_up(self.node.clock.now());
        }
    }
}

//! The work this process has at an endpoint, counted while it lasts.

use crate::evidence::AnswerTicket;
use crate::node::FrontNode;
use compact_str::CompactString;
use oleander_judge::AnswerSample;
use oleander_kind::{ClockTime, TimeSpan};
use oleander_place::{EndpointKey, WorkLoad};
use std::rc::Rc;

/// How long the first part of an answer is usually waited for.
#[derive(Clone, Copy, Debug)]
pub struct FirstWait {
    /// By what waits at the endpoint.
    pub expected: TimeSpan,
    /// By the route.
    pub objective: TimeSpan,
}

impl FirstWait {
    /// When an answer that was asked for at `now` is overdue: past all that a sound endpoint takes, so that
    /// a mute one shows before its callers give up.
    fn overdue_at(&self, now: ClockTime) -> ClockTime {
        const TIMES: u64 = 2;
        now + TimeSpan(self.expected.max(self.objective).0 * TIMES)
    }
}

/// One attempt's share of the load of its endpoint; gives it back when it is dropped.
pub struct WorkGuard {
    node: Rc<FrontNode>,
    key: EndpointKey,
    unread_tokens: u64,
    wait: FirstWait,
    began_at: ClockTime,
    answered_at: Option<ClockTime>,
    ticket: Option<AnswerTicket>,
    /// The route, if answers are compared by route.
    route: Option<CompactString>,
}

impl WorkGuard {
    /// Counts an attempt that makes `key` read `unread_tokens` tokens.
    pub fn begin(
        node: &Rc<FrontNode>,
        key: EndpointKey,
        unread_tokens: u64,
        (wait, route): (FirstWait, Option<CompactString>),
    ) -> Self {
        let began_at = node.clock.now();
        let overdue_at = wait.overdue_at(began_at);
        let ticket = node.evidence.borrow_mut().track_on_route(key, route.clone(), overdue_at);
        let ticket = Some(ticket);
        let node = node.clone();
        let answered_at = None;
        let guard =
            WorkGuard { node, key, unread_tokens, wait, began_at, answered_at, ticket, route };
        guard.change(|own| {
            own.requests += 1;
            own.unread_tokens += unread_tokens;
        });
        guard
    }

    /// The endpoint.
    pub fn key(&self) -> EndpointKey {
        self.key
    }

    /// Prompt tokens that are not known to be read yet.
    pub fn unread_tokens(&self) -> u64 {
        self.unread_tokens
    }

    /// The first part of the answer came.
    pub fn answered(&mut self) {
        let now = self.node.clock.now();
        self.answered_at.get_or_insert(now);
        let took = now - self.began_at;
        self.settle(Some(AnswerSample::Came { took, expected: self.wait.expected }));
    }

    /// Whether the endpoint has borne the request for a while: its answer began long ago.
    pub fn is_borne(&self) -> bool {
        /// A request that ends its endpoint was seen to do so 34 to 94 ms after it began; ten times that.
        const BORNE_AFTER: TimeSpan = TimeSpan(1000);
        let now = self.node.clock.now();
        self.answered_at.is_some_and(|at| now - at > BORNE_AFTER)
    }

    /// The attempt failed by the endpoint's fault, perhaps after its answer had begun.
    pub fn failed(&mut self) {
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

    /// The prompt was read: the first event came.
    pub fn prompt_read(&mut self) {
        let tokens = std::mem::take(&mut self.unread_tokens);
        self.change(|own| own.unread_tokens = own.unread_tokens.saturating_sub(tokens));
    }

    fn change(&self, act: impl FnOnce(&mut WorkLoad)) {
        if let Some(fact) = self.node.endpoints.borrow_mut().get_mut(self.key) {
            act(&mut fact.own);
        }
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.settle(None);
        self.prompt_read();
        self.change(|own| own.requests = own.requests.saturating_sub(1));
    }
}

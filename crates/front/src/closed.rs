//! Requests that no endpoint may be sent now, by what endpoints said of themselves.
//!
//! They are refused at once, as nothing here makes an endpoint open sooner, and their callers are told when one does.

use crate::answer::AnswerStage;
use crate::drive::{CallOutcome, CallRun, call_salt};
use crate::events::event;
use oleander_kind::{ResultCode, TimeSpan};
use oleander_place::{EndpointSignals, available_in};

/// The shortest time after which a caller may come back whom what endpoints said of themselves had refused.
const SHORTEST_OPENING: TimeSpan = TimeSpan(100);

/// When a caller may come back whom an endpoint turned away that rests from now on, while others are open: its next request
/// goes to one of those.
const ELSEWHERE_RETURN: TimeSpan = TimeSpan(20);

impl CallRun<'_, '_> {
    /// Refuses a request that no endpoint may be sent now.
    pub(crate) async fn refuse_unplaced(&mut self) -> CallOutcome {
        match self.available_in() {
            Some(back_in) if self.is_refusable() => {
                self.tell_closed(back_in);
                if self.record.sent() == 0 {
                    self.note_demand(self.call.tokens.unwrap_or_default().prompt);
                }
                self.answer.refuse(ResultCode::EndpointsFull, Some(back_in)).await
            }
            None if self.is_refusable() && self.was_asked_for_rest() => {
                self.answer.refuse(ResultCode::NoEndpoint, Some(ELSEWHERE_RETURN)).await
            }
            _ => self.give_up(ResultCode::NoEndpoint).await,
        }
    }

    /// Logs what endpoints said that keeps the request from them.
    fn tell_closed(&self, back_in: TimeSpan) {
        let now = self.node.clock.lease_now();
        let board = self.node.endpoints.borrow();
        let keys = board.of_service(&self.service).iter();
        let facts: Vec<_> = keys.filter_map(|key| board.get(*key)).collect();
        let count = |holds: &dyn Fn(&EndpointSignals) -> bool| {
            facts.iter().filter(|fact| holds(&fact.declared)).count()
        };
        event!(self.node, EndpointsClosed;
            "request" => self.call.id.as_str(), "service" => self.service.as_str(),
            "endpoints" => facts.len(), "limited" => count(&|declared| declared.limit.rate.is_some()),
            "with_part" => count(&|declared| declared.bucket.per_s(now).is_some()),
            "resting" => count(&|declared| now < declared.backoff_until),
            "leaving" => count(&|declared| declared.leaves), "tried" => self.tried.len(),
            "retry_ms" => back_in.0);
    }

    /// Whether the endpoint of the last attempt turned it away for a while, and another one is open.
    fn was_asked_for_rest(&self) -> bool {
        let now = self.node.clock.lease_now();
        let board = self.node.endpoints.borrow();
        let last = self.tried.last().and_then(|key| board.get(*key));
        last.is_some_and(|fact| now < fact.declared.backoff_until) && self.choose().is_some()
    }

    /// Whether "not run" would be true, and nothing of an answer has left.
    fn is_refusable(&self) -> bool {
        !self.record.may_have_run() && self.answer.stage() == AnswerStage::Waiting
    }

    /// When the caller may come back, if nothing but what endpoints said of themselves keeps the request from one. Those
    /// who are refused together do not come back together.
    fn available_in(&self) -> Option<TimeSpan> {
        let wait = available_in(&self.node.endpoints.borrow(), &self.place_ask())?;
        let wait = wait.max(SHORTEST_OPENING);
        Some(wait + TimeSpan(call_salt(&self.call) % wait.0))
    }
}

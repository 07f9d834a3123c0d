//! Refuses requests when no endpoint accepts any, by the rate limits, backoffs and leaving signals of the endpoints.
//!
//! Such a request is refused at once, because waiting here would not free an endpoint sooner. Its `Retry-After` time says
//! when an endpoint accepts requests again.

use crate::answer::AnswerStage;
use crate::drive::{CallContext, CallOutcome, call_salt};
use crate::events::event;
use oleander_kind::{ResultCode, TimeSpan};
use oleander_place::{EndpointSignals, available_in};

/// Shortest Retry-After time of a request refused because of signals of the endpoints.
const MIN_RETRY_AFTER: TimeSpan = TimeSpan(100);

/// Retry-After time if the endpoint of the last attempt signalled a backoff while others accept requests: the caller's next
/// request goes to one of those.
const ELSEWHERE_RETRY_AFTER: TimeSpan = TimeSpan(20);

impl CallContext<'_, '_> {
    /// Refuses a request for which no endpoint can be chosen.
    pub(crate) async fn refuse_unplaced(&mut self) -> CallOutcome {
        match self.available_again_in() {
            Some(retry_in) if self.may_refuse() && self.may_use_sender() => {
                self.serve_by_senders(retry_in).await
            }
            Some(retry_in) if self.may_refuse() => {
                self.log_unavailable(retry_in);
                if self.record.sent() == 0 {
                    self.note_unserved_demand();
                }
                self.answer.refuse(ResultCode::EndpointsFull, Some(retry_in)).await
            }
            None if self.may_refuse() && self.is_version_gone() => {
                self.node.meter.count_binding("gone");
                self.answer.refuse(ResultCode::OriginGone, None).await
            }
            None if self.may_refuse() && self.can_go_elsewhere() => {
                self.answer.refuse(ResultCode::NoEndpoint, Some(ELSEWHERE_RETRY_AFTER)).await
            }
            _ => {
                self.note_unserved_demand();
                self.give_up(ResultCode::NoEndpoint).await
            }
        }
    }

    /// Whether the request is bound to a version of which no endpoint takes requests.
    fn is_version_gone(&self) -> bool {
        let board = self.node.endpoints.borrow();
        let mut facts = board.of_service(&self.service).iter().filter_map(|key| board.get(*key));
        self.binding.version().is_some_and(|version| {
            !facts.any(|fact| fact.takes_work() && fact.entry.release == version)
        })
    }

    /// Logs for how many endpoints each of the reasons holds that exclude one.
    fn log_unavailable(&self, retry_in: TimeSpan) {
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
            "leaving" => count(&|declared| declared.leaves),
            "brittle" => count(&|declared| declared.brittle.refusals.is_some()), "tried" => self.tried.len(),
            "retry_ms" => retry_in.0);
    }

    /// Whether the endpoint of the last attempt is in a backoff and another endpoint can be chosen.
    fn can_go_elsewhere(&self) -> bool {
        let now = self.node.clock.lease_now();
        let board = self.node.endpoints.borrow();
        let last = self.tried.last().and_then(|key| board.get(*key));
        last.is_some_and(|fact| now < fact.declared.backoff_until) && self.choose().is_some()
    }

    /// Whether the request has certainly not run and no part of an answer was sent.
    pub(crate) fn may_refuse(&self) -> bool {
        !self.record.may_have_run() && self.answer.stage() == AnswerStage::Waiting
    }

    /// Time until an endpoint accepts the request, if only signals of the endpoints exclude it now. A
    /// jitter by request keeps callers that are refused together from retrying together.
    fn available_again_in(&self) -> Option<TimeSpan> {
        let wait = available_in(&self.node.endpoints.borrow(), &self.placement_request())?;
        let wait = wait.max(MIN_RETRY_AFTER);
        Some(wait + TimeSpan(call_salt(&self.call) % wait.0))
    }
}

//! Chooses the version that an attempt goes to.

use super::{CandidatePayment, pay_for_candidate, refund};
use crate::drive::{CallContext, call_salt};
use oleander_call::AttemptEnd;
use oleander_kind::TimeSpan;
use oleander_kind::hash::mix_bits;
use oleander_place::PlacementChoice;

/// The longest answer time of plain services, apart from rare outliers. For engines, the part of the
/// answer time that does not depend on the number of tokens.
const PLAIN_ANSWER_TIME: TimeSpan = TimeSpan(300);
/// The time of an engine for one token, in ms, with all its slots in use.
const TOKEN_MS: f64 = 6.0;
/// Callers may underestimate the length of an answer by this factor.
const LENGTH_MARGIN: f64 = 1.3;

impl CallContext<'_, '_> {
    /// Chooses an endpoint, of the candidate version if the request is one that goes there.
    pub(crate) async fn choose_for_rollout(&mut self) -> Option<PlacementChoice> {
        if self.binding.version().is_some() {
            return self.choose_bound().await;
        }
        let draw = mix_bits(call_salt(&self.call) ^ u64::from(self.record.sent())) as f64;
        let draw = draw / u64::MAX as f64;
        self.rollout_payment =
            pay_for_candidate(self.node, &self.service, (draw, self.expected_duration())).await;
        match self.choose() {
            Some(choice) => Some(choice),
            None => {
                let rollout_payment = self.rollout_payment.take()?;
                refund(self.node, &rollout_payment);
                self.choose()
            }
        }
    }

    /// Chooses an endpoint of the version to which the stream is bound. If that is the candidate, the attempt is
    /// paid for as any other.
    async fn choose_bound(&mut self) -> Option<PlacementChoice> {
        if let Some(choice) = self.choose() {
            return Some(choice);
        }
        self.rollout_payment = self.pay_for_bound().await;
        let choice = self.choose();
        if choice.is_none()
            && let Some(rollout_payment) = self.rollout_payment.take()
        {
            refund(self.node, &rollout_payment);
        }
        choice
    }

    /// Pays for an attempt at the candidate, to which the stream is bound; `None` if that is not allowed.
    pub(crate) async fn pay_for_bound(&self) -> Option<CandidatePayment> {
        /// Draws the candidate whatever its share.
        const FIRST_DRAW: f64 = 0.0;
        let expected = self.expected_duration();
        pay_for_candidate(self.node, &self.service, (FIRST_DRAW, expected)).await
    }

    /// Refunds an attempt that certainly did not run.
    pub(crate) fn refund_unrun_attempt(&mut self, end: AttemptEnd) {
        if let Some(rollout_payment) = self.rollout_payment.take().filter(|_| !end.may_have_run()) {
            refund(self.node, &rollout_payment);
        }
    }

    /// The expected duration of the whole answer.
    fn expected_duration(&self) -> TimeSpan {
        let Some(tokens) = self.call.tokens.filter(|_| self.is_engine()) else {
            return PLAIN_ANSWER_TIME;
        };
        let answer = self.call.length_hint.unwrap_or(tokens.answer).min(tokens.answer.max(1));
        let reading = tokens.prompt as f64 / self.node.read_per_ms(&self.service);
        let ms = reading + answer as f64 * TOKEN_MS * LENGTH_MARGIN;
        TimeSpan(ms as u64) + PLAIN_ANSWER_TIME
    }
}

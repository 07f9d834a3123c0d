//! Which version an attempt goes to.

use super::{give_back, take_lane};
use crate::drive::{CallContext, call_salt};
use oleander_call::AttemptEnd;
use oleander_kind::TimeSpan;
use oleander_kind::hash::mix_bits;
use oleander_place::PlacementChoice;

/// How long answers of plain services take at the most, but for a few, and what an engine's takes besides its tokens.
const PLAIN_TIME: TimeSpan = TimeSpan(300);
/// How long an engine takes for a token, in ms, with all its places taken.
const STEP_MS: f64 = 6.0;
/// Callers' guesses of the length of an answer may be this much too short.
const LENGTH_MARGIN: f64 = 1.3;

impl CallContext<'_, '_> {
    /// Chooses an endpoint, of the version under the order of a roll-out if the request is one that goes there.
    pub(crate) async fn choose_lane(&mut self) -> Option<PlacementChoice> {
        let lot = mix_bits(call_salt(&self.call) ^ u64::from(self.record.sent())) as f64;
        let lot = lot / u64::MAX as f64;
        self.rollout_payment = take_lane(self.node, &self.service, (lot, self.expected())).await;
        match self.choose() {
            Some(choice) => Some(choice),
            None => {
                let rollout_payment = self.rollout_payment.take()?;
                give_back(self.node, &rollout_payment);
                self.choose()
            }
        }
    }

    /// Gives back what was paid for an attempt that certainly did not run.
    pub(crate) fn leave_lane(&mut self, end: AttemptEnd) {
        if let Some(rollout_payment) = self.rollout_payment.take().filter(|_| !end.may_have_run()) {
            give_back(self.node, &rollout_payment);
        }
    }

    /// How long the whole answer is expected to take.
    fn expected(&self) -> TimeSpan {
        let Some(tokens) = self.call.tokens.filter(|_| self.is_engine()) else {
            return PLAIN_TIME;
        };
        let answer = self.call.length_hint.unwrap_or(tokens.answer).min(tokens.answer.max(1));
        let reading = tokens.prompt as f64 / self.node.read_per_ms(&self.service);
        let ms = reading + answer as f64 * STEP_MS * LENGTH_MARGIN;
        TimeSpan(ms as u64) + PLAIN_TIME
    }
}

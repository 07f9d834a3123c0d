//! The state machine of one roll-out, from the first request to the last.
//!
//! While a version is under trial it gets requests from a fraction of its bound. If it is found
//! sound after half of the order's time, the plan sets a cutover time from which the version gets
//! all requests. The cutover is late enough that the bound holds until the end of the order
//! whatever the version does, and all processes are told in advance. Requests that would run past
//! the cutover go to the new version before it, and are paid for from the bound as well. Once no
//! process has a request at the former version any more and none can send one there, the order is
//! completed: the former endpoints stop at once, and no request is cut.
//!
//! A version with too few answers by the end of its order is rolled back. The order can be given
//! again, whereas a bad version that got all requests cannot be taken back.

use crate::comparison::VersionComparison;
use crate::exposure::ExposureBounds;
use crate::order::{ReleaseOrder, ReleaseState};
use crate::routing::{AnnouncedStage, OrderStatus};
use oleander_kind::{ClockTime, TimeSpan};

/// The fraction of an order's time before which no move begins.
const TRIAL_TIME_FRACTION: f64 = 0.5;
/// Margin before the end of an order in which it is decided at the latest, so that the result is
/// written in time.
const DECISION_MARGIN: TimeSpan = TimeSpan(500);
/// The fraction of the remaining bound reserved for all requests after the cutover; the rest is for
/// those that would run past it.
const CUTOVER_FRACTION: f64 = 0.5;
/// Factor by which the request rate of the next seconds may differ from the last measured one.
const RATE_MARGIN: f64 = 1.1;
/// The longest time between cutover and the end of the order.
const MAX_FULL_TIME: TimeSpan = TimeSpan(3000);
/// The shortest time in which all processes learn of the cutover.
const ANNOUNCE_TIME: TimeSpan = TimeSpan(800);

/// Reasons for a roll-back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RollbackReason {
    /// Callers of the version got worse answers than those of the serving version.
    Bad,
    /// The version had too few answers by the end of the order.
    Undecided,
    /// The version has no endpoints any more.
    Gone,
    /// The order was withdrawn or cannot be carried out.
    Withdrawn,
}

/// The stage of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseStage {
    /// The version gets a share of the requests.
    Trying,
    /// The version gets all requests from the cutover on.
    Moving {
        /// The cutover time.
        full_at: ClockTime,
    },
    /// The version gets all requests.
    Completed,
    /// The version gets no requests.
    RolledBack(RollbackReason),
}

/// The observations that a step of the plan is based on.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlanInputs {
    /// Requests of the service sent since the order.
    pub sent: f64,
    /// Requests of the service per second.
    pub rate_per_s: f64,
    /// Requests granted to the version.
    pub granted: f64,
    /// Endpoints of the version that take requests.
    pub trial_endpoints: usize,
    /// Whether every process follows the current plan and has no request at the former version.
    pub is_former_idle: bool,
}

/// An action that results from a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanAction {
    /// The state of the order must be written to the store.
    Write(ReleaseState),
    /// The stage changed and must be announced.
    Announce(ReleaseStage),
}

/// A roll-out in progress.
#[derive(Clone, Debug)]
pub struct ReleasePlan {
    order: ReleaseOrder,
    bounds: ExposureBounds,
    ends_at: ClockTime,
    began_at: ClockTime,
    stage: ReleaseStage,
    /// Incremented with each change that processes must know.
    number: u64,
    /// Upper limit of granted requests during the move.
    move_bound: f64,
    written: Option<ReleaseState>,
    /// Comparison of the answers of both versions.
    pub comparison: VersionComparison,
}

impl ReleasePlan {
    /// Starts from an order as stored. A new collector continues from the state that it was told.
    pub fn begin(
        order: ReleaseOrder,
        (bounds, written): (ExposureBounds, Option<ReleaseState>),
        told: Option<&OrderStatus>,
        now: ClockTime,
    ) -> Self {
        let told = told.filter(|told| told.to == order.to);
        let ends_at = now + told.map_or(order.lasts, |told| told.ends_in);
        let stage = match (written, told.map(|told| &told.stage)) {
            (Some(ReleaseState::Completed), _) => ReleaseStage::Completed,
            (Some(ReleaseState::RolledBack), _) | (_, Some(AnnouncedStage::Back)) => {
                ReleaseStage::RolledBack(RollbackReason::Bad)
            }
            (_, Some(AnnouncedStage::Moving { full_in })) => {
                ReleaseStage::Moving { full_at: now + *full_in }
            }
            _ => ReleaseStage::Trying,
        };
        let number = told.map_or(0, |told| told.number) + 1;
        ReleasePlan {
            order,
            bounds,
            ends_at,
            began_at: now,
            stage,
            number,
            move_bound: 0.0,
            written,
            comparison: VersionComparison::default(),
        }
    }

    /// Returns the order.
    pub fn order(&self) -> &ReleaseOrder {
        &self.order
    }

    /// Returns the stage of the roll-out.
    pub fn stage(&self) -> ReleaseStage {
        self.stage
    }

    /// Returns the number of the last change.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Whether the order is neither completed nor rolled back.
    pub fn is_open(&self) -> bool {
        matches!(self.stage, ReleaseStage::Trying | ReleaseStage::Moving { .. })
    }

    /// Returns how many requests may be granted to the version, of `sent` requests since the order.
    pub fn max_granted(&self, sent: f64) -> f64 {
        match self.stage {
            ReleaseStage::Trying => self.bounds.trial_bound(sent),
            ReleaseStage::Moving { .. } => self.move_bound,
            ReleaseStage::Completed | ReleaseStage::RolledBack(_) => 0.0,
        }
    }

    /// Returns the state of the order as announced to the processes; `sent` requests of the service
    /// were sent since the order.
    pub fn told(&self, sent: u64, now: ClockTime) -> OrderStatus {
        let stage = match self.stage {
            ReleaseStage::Trying => AnnouncedStage::Trying,
            ReleaseStage::Moving { full_at } => AnnouncedStage::Moving { full_in: full_at - now },
            ReleaseStage::Completed => AnnouncedStage::Completed,
            ReleaseStage::RolledBack(_) => AnnouncedStage::Back,
        };
        OrderStatus {
            service: self.order.service.clone(),
            to: self.order.to.clone(),
            stage,
            number: self.number,
            ends_in: self.ends_at - now,
            sent,
        }
    }

    /// Records that the store holds this state.
    pub fn note_written(&mut self, state: ReleaseState) {
        self.written = Some(state);
    }

    /// Records the state that the store has: a store that came back from an older copy lacks what was
    /// written since.
    pub fn note_read(&mut self, state: Option<ReleaseState>) {
        self.written = state;
    }

    /// Withdraws the order: the version gets no requests.
    pub fn withdraw(&mut self) {
        self.enter(ReleaseStage::RolledBack(RollbackReason::Withdrawn));
    }

    /// Advances the plan and returns the resulting actions.
    pub fn step(&mut self, inputs: &PlanInputs, now: ClockTime) -> Vec<PlanAction> {
        self.comparison.evaluate(now);
        let before = self.stage;
        match self.stage {
            ReleaseStage::Trying => self.step_trial(inputs, now),
            ReleaseStage::Moving { full_at } => self.step_move(inputs, (full_at, now)),
            ReleaseStage::Completed | ReleaseStage::RolledBack(_) => {}
        }
        let wanted = match self.stage {
            ReleaseStage::Trying | ReleaseStage::Moving { .. } => ReleaseState::Running,
            ReleaseStage::Completed => ReleaseState::Completed,
            ReleaseStage::RolledBack(_) => ReleaseState::RolledBack,
        };
        let tell = (self.stage != before).then_some(PlanAction::Announce(self.stage));
        let is_withdrawn = self.stage == ReleaseStage::RolledBack(RollbackReason::Withdrawn);
        let write = self.written != Some(wanted) && !is_withdrawn;
        tell.into_iter().chain(write.then_some(PlanAction::Write(wanted))).collect()
    }

    fn step_trial(&mut self, inputs: &PlanInputs, now: ClockTime) {
        let tried = TimeSpan((self.order.lasts.0 as f64 * TRIAL_TIME_FRACTION) as u64);
        let is_tried = now - self.began_at >= tried || now + tried >= self.ends_at;
        if self.comparison.is_bad() {
            self.enter(ReleaseStage::RolledBack(RollbackReason::Bad));
        } else if is_tried && inputs.trial_endpoints > 0 && self.comparison.is_sound() {
            self.set_cutover(inputs, now);
        } else if now + DECISION_MARGIN >= self.ends_at {
            self.enter(ReleaseStage::RolledBack(RollbackReason::Undecided));
        }
    }

    fn step_move(&mut self, inputs: &PlanInputs, (full_at, now): (ClockTime, ClockTime)) {
        if self.comparison.is_bad() {
            self.enter(ReleaseStage::RolledBack(RollbackReason::Bad));
        } else if inputs.trial_endpoints == 0 {
            self.enter(ReleaseStage::RolledBack(RollbackReason::Gone));
        } else if now >= full_at && inputs.is_former_idle {
            self.enter(ReleaseStage::Completed);
        } else if now < full_at {
            // If the request rate rose since the cutover was set, the cutover is postponed; if more
            // requests arrived than expected, more may move before it.
            let remaining_bound = self.remaining_bound(inputs, now);
            let full_duration = full_traffic_time(remaining_bound, inputs.rate_per_s);
            if full_duration < self.ends_at - full_at {
                self.enter(ReleaseStage::Moving { full_at: self.ends_at - full_duration });
            } else {
                let reserved =
                    (self.ends_at - full_at).0 as f64 / 1000.0 * inputs.rate_per_s * RATE_MARGIN;
                self.move_bound += (remaining_bound - reserved).max(0.0);
            }
        }
    }

    /// Sets the cutover time.
    fn set_cutover(&mut self, inputs: &PlanInputs, now: ClockTime) {
        let remaining_bound = self.remaining_bound(inputs, now);
        let full_duration =
            full_traffic_time(remaining_bound * CUTOVER_FRACTION, inputs.rate_per_s);
        let full_at = (self.ends_at - full_duration).max(now + ANNOUNCE_TIME);
        self.move_bound = inputs.granted + remaining_bound * (1.0 - CUTOVER_FRACTION);
        self.enter(ReleaseStage::Moving { full_at });
    }

    /// Returns what is left of the bound, which is based on all requests expected until the end of
    /// the order.
    fn remaining_bound(&self, inputs: &PlanInputs, now: ClockTime) -> f64 {
        let to_come = (self.ends_at - now).0 as f64 / 1000.0 * inputs.rate_per_s / RATE_MARGIN;
        (self.bounds.move_bound(inputs.sent + to_come) - inputs.granted.max(self.move_bound))
            .max(0.0)
    }

    fn enter(&mut self, stage: ReleaseStage) {
        if self.stage != stage {
            self.stage = stage;
            self.number += 1;
        }
    }
}

/// Returns for how long a version that may get `requests` more requests can take all of the
/// service's requests.
fn full_traffic_time(requests: f64, rate_per_s: f64) -> TimeSpan {
    let seconds = requests / (rate_per_s * RATE_MARGIN).max(1.0);
    TimeSpan((seconds * 1000.0) as u64).min(MAX_FULL_TIME)
}

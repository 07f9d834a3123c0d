//! The way of one order, from the first request to the last.
//!
//! While a version is tried it gets what is handed out of a part of its bound. If it looks sound when half of its time is over, a
//! moment is set from which it gets all: so late that the bound holds until the order's end whatever the version does, and told
//! to all processes beforehand. Requests that would outlast that moment go to the version before it, and are handed out as
//! well. Once no process has anything at the former version any more, and none can send there, the order is completed: its
//! endpoints stop at once, and nothing is cut.
//!
//! A version on which too little was seen by its end is rolled back. Its order can be given again; a bad version that got all
//! requests can't be taken back.

use crate::comparison::VersionComparison;
use crate::exposure::ExposureBounds;
use crate::order::{ReleaseOrder, ReleaseState};
use crate::routing::{AnnouncedStage, OrderStatus};
use oleander_kind::{ClockTime, TimeSpan};

/// The part of an order's time after which a version may be moved to.
const TRIAL_TIME_FRACTION: f64 = 0.5;
/// An order is decided this long before its end at the latest, so that it is written in time.
const DECISION_MARGIN: TimeSpan = TimeSpan(500);
/// The part of what is remaining_bound of the bound that is for all requests after the moment that is set; the rest is for those that
/// would outlast it.
const CUTOVER_FRACTION: f64 = 0.5;
/// By how much the requests of the next seconds may be more, or fewer, than those of the last ones.
const RATE_MARGIN: f64 = 1.1;
/// The longest time for which a version gets all before its order ends.
const MAX_FULL_TIME: TimeSpan = TimeSpan(3000);
/// The shortest time in which all processes hear of the moment.
const ANNOUNCE_TIME: TimeSpan = TimeSpan(800);

/// Why a version was rolled back.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanReason {
    /// Its callers got worse answers.
    Bad,
    /// Too little was seen of it in its time.
    Undecided,
    /// It has no endpoint any more.
    Gone,
    /// The order was withdrawn, or cannot be carried out.
    Withdrawn,
}

/// How far an order is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleaseStage {
    /// The version gets a part of the requests.
    Trying,
    /// It gets all of them from a moment on.
    Moving {
        /// The moment.
        full_at: ClockTime,
    },
    /// It has all requests.
    Completed,
    /// It gets nothing.
    RolledBack(PlanReason),
}

/// What a plan looks at.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct PlanInputs {
    /// Requests of the service that were sent since the order.
    pub sent: f64,
    /// The same a second.
    pub rate_per_s: f64,
    /// Requests that were handed out to the version.
    pub handed: f64,
    /// Endpoints of the version that take requests.
    pub trial_endpoints: usize,
    /// Whether every process goes by the plan and has nothing at the former version.
    pub is_left: bool,
}

/// What follows.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PlanAction {
    /// The order's state is to be written.
    Write(ReleaseState),
    /// The stage changed.
    Announce(ReleaseStage),
}

/// One order under way.
#[derive(Clone, Debug)]
pub struct ReleasePlan {
    order: ReleaseOrder,
    bounds: ExposureBounds,
    ends_at: ClockTime,
    began_at: ClockTime,
    stage: ReleaseStage,
    /// Raised with each change that processes must know.
    number: u64,
    /// Up to how many requests are handed out while it moves.
    move_bound: f64,
    written: Option<ReleaseState>,
    /// What callers get of the versions.
    pub case: VersionComparison,
}

impl ReleasePlan {
    /// Begins with an order as the store has it. A process that collects from now on goes on from what it was told.
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
                ReleaseStage::RolledBack(PlanReason::Bad)
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
            case: VersionComparison::default(),
        }
    }

    /// The order.
    pub fn order(&self) -> &ReleaseOrder {
        &self.order
    }

    /// How far it is.
    pub fn stage(&self) -> ReleaseStage {
        self.stage
    }

    /// The number of its last change.
    pub fn number(&self) -> u64 {
        self.number
    }

    /// Whether it is neither completed nor rolled back.
    pub fn is_open(&self) -> bool {
        matches!(self.stage, ReleaseStage::Trying | ReleaseStage::Moving { .. })
    }

    /// Up to how many requests may be handed out to the version, of `sent` ones since the order.
    pub fn most(&self, sent: f64) -> f64 {
        match self.stage {
            ReleaseStage::Trying => self.bounds.trial_bound(sent),
            ReleaseStage::Moving { .. } => self.move_bound,
            ReleaseStage::Completed | ReleaseStage::RolledBack(_) => 0.0,
        }
    }

    /// What the processes are told; `sent` requests of the service were sent since the order.
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

    /// Notes that the store has this state.
    pub fn note_written(&mut self, state: ReleaseState) {
        self.written = Some(state);
    }

    /// The order was withdrawn: the version gets nothing.
    pub fn withdraw(&mut self) {
        self.enter(ReleaseStage::RolledBack(PlanReason::Withdrawn));
    }

    /// Goes on; gives what follows.
    pub fn step(&mut self, facts: &PlanInputs, now: ClockTime) -> Vec<PlanAction> {
        self.case.evaluate(now);
        let before = self.stage;
        match self.stage {
            ReleaseStage::Trying => self.step_trial(facts, now),
            ReleaseStage::Moving { full_at } => self.step_move(facts, (full_at, now)),
            ReleaseStage::Completed | ReleaseStage::RolledBack(_) => {}
        }
        let wanted = match self.stage {
            ReleaseStage::Trying | ReleaseStage::Moving { .. } => ReleaseState::Running,
            ReleaseStage::Completed => ReleaseState::Completed,
            ReleaseStage::RolledBack(_) => ReleaseState::RolledBack,
        };
        let tell = (self.stage != before).then_some(PlanAction::Announce(self.stage));
        let is_withdrawn = self.stage == ReleaseStage::RolledBack(PlanReason::Withdrawn);
        let write = self.written != Some(wanted) && !is_withdrawn;
        tell.into_iter().chain(write.then_some(PlanAction::Write(wanted))).collect()
    }

    fn step_trial(&mut self, facts: &PlanInputs, now: ClockTime) {
        let tried = TimeSpan((self.order.lasts.0 as f64 * TRIAL_TIME_FRACTION) as u64);
        let is_tried = now - self.began_at >= tried || now + tried >= self.ends_at;
        if self.case.is_bad() {
            self.enter(ReleaseStage::RolledBack(PlanReason::Bad));
        } else if is_tried && facts.trial_endpoints > 0 && self.case.is_sound() {
            self.set_cutover(facts, now);
        } else if now + DECISION_MARGIN >= self.ends_at {
            self.enter(ReleaseStage::RolledBack(PlanReason::Undecided));
        }
    }

    fn step_move(&mut self, facts: &PlanInputs, (full_at, now): (ClockTime, ClockTime)) {
        if self.case.is_bad() {
            self.enter(ReleaseStage::RolledBack(PlanReason::Bad));
        } else if facts.trial_endpoints == 0 {
            self.enter(ReleaseStage::RolledBack(PlanReason::Gone));
        } else if now >= full_at && facts.is_left {
            self.enter(ReleaseStage::Completed);
        } else if now < full_at {
            // If more is asked than when the moment was set, it is put off; if more came, more may move before it.
            let remaining_bound = self.remaining_bound(facts, now);
            let full = full_time(remaining_bound, facts.rate_per_s);
            if full < self.ends_at - full_at {
                self.enter(ReleaseStage::Moving { full_at: self.ends_at - full });
            } else {
                let kept =
                    (self.ends_at - full_at).0 as f64 / 1000.0 * facts.rate_per_s * RATE_MARGIN;
                self.move_bound += (remaining_bound - kept).max(0.0);
            }
        }
    }

    /// Sets the moment from which the version gets all.
    fn set_cutover(&mut self, facts: &PlanInputs, now: ClockTime) {
        let remaining_bound = self.remaining_bound(facts, now);
        let full = full_time(remaining_bound * CUTOVER_FRACTION, facts.rate_per_s);
        let full_at = (self.ends_at - full).max(now + ANNOUNCE_TIME);
        self.move_bound = facts.handed + remaining_bound * (1.0 - CUTOVER_FRACTION);
        self.enter(ReleaseStage::Moving { full_at });
    }

    /// What is remaining_bound of the bound, counted over all requests until the order's end.
    fn remaining_bound(&self, facts: &PlanInputs, now: ClockTime) -> f64 {
        let to_come = (self.ends_at - now).0 as f64 / 1000.0 * facts.rate_per_s / RATE_MARGIN;
        (self.bounds.move_bound(facts.sent + to_come) - facts.handed.max(self.move_bound)).max(0.0)
    }

    fn enter(&mut self, stage: ReleaseStage) {
        if self.stage != stage {
            self.stage = stage;
            self.number += 1;
        }
    }
}

/// For how long all requests may go to a version that may get `most` more.
fn full_time(most: f64, rate_per_s: f64) -> TimeSpan {
    let seconds = most / (rate_per_s * RATE_MARGIN).max(1.0);
    TimeSpan((seconds * 1000.0) as u64).min(MAX_FULL_TIME)
}

//! Decides which instances to start, end and order about, as pure functions of what is seen.
//!
//! Each action carries its reason. Starts are kept in the plan object before they are asked for,
//! so that a lost answer, or the death of the process, never buys an instance twice.

pub mod journal;
pub mod plan;
pub mod roll;
pub mod spread;

pub use journal::{JournalLine, PlanJournal};
pub use plan::{
    FleetAction, FleetView, PlanObject, StartIntent, StartState, plan_name, plan_round,
};
pub use roll::{RollStage, RollState};
pub use spread::{DomainNeed, spread_replicas};

//! Control duties that one process at a time performs: usage reports and orders for endpoints.
//!
//! Both are level-triggered: they compare the current state with what was requested, so that a lost
//! answer, a late effect or a new holder needs no special case.

pub mod scale;
pub mod usage;

pub use scale::{
    DomainStatus, MarketCount, OrderHistory, OrderOutcome, PeakNeed, ScaleInputs,
    engines_lost_to_limits, needed_engines, plan_orders,
};
pub use usage::{UsageCounter, UsageReporter, UsageStep};

//! Control work that one process at a time does: usage reports and orders for endpoints.
//!
//! Both are level-triggered: they look at how things stand and at what was asked for, so that a lost
//! answer, a late effect or a new holder needs no special case.

pub mod scale;
pub mod usage;

pub use scale::{
    DomainStand, MarketCount, OrderEnd, OrderMemory, ScaleFacts, ServiceNeed, lost_to_limits,
    needed_engines, plan_orders,
};
pub use usage::{UsageBook, UsageDuty, UsageStep};

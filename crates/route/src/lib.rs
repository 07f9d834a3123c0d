//! Chooses the endpoint of each attempt.
//!
//! Two costs are weighed in one unit, microseconds of engine time: the work that waits before this
//! request, and the prompt tokens that would be computed again because the endpoint lacks their
//! prefix. Nothing here asks anybody: a choice costs a few lookups.

pub mod choose;
pub mod health;
pub mod prefix;

pub use choose::{
    RouteAsk, RouteController, RoutePolicy, RouteSettings, note_ended, note_first_token, note_load,
};
pub use health::{HealthSettings, note_failure, note_success};
pub use prefix::PrefixRecord;

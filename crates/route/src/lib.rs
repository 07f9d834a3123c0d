//! Selects the endpoint for each attempt of a request.
//!
//! The cost of an endpoint, in microseconds of engine time, combines the work queued ahead of the
//! request with the prompt tokens that must be recomputed because their prefix is not in the
//! endpoint's cache. Selection uses only local state, without any communication, and costs a few
//! lookups.

pub mod choose;
pub mod health;
pub mod prefix;

pub use choose::{
    EndpointSelector, RoutePolicy, RouteRequest, RouteSettings, note_ended, note_first_token,
    note_load,
};
pub use health::{HealthSettings, note_failure, note_success};
pub use prefix::PrefixIndex;

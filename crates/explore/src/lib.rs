//! Explores every order of events of the protocols, with the decision code that runs in production.
//!
//! A breadth-first search over states that are compared by what they hold. Each model keeps a small
//! store, the messages on the way, and a bounded number of faults.

pub mod claims;
pub mod leases;
pub mod rosters;
pub mod search;
pub mod submits;

pub use search::{ExploreReport, SearchModel, explore};

//! The fleet process: leases, plans kept in the store, calls to the cloud, orders to endpoints.

pub mod admin;
pub mod keep;
pub mod round;

pub use round::{FleetNode, start_fleet};

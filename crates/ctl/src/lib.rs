//! The operators' tool: bundles, their roll, and what the system says of itself.

pub mod bundles;
pub mod command;
pub mod platform;
pub mod rolls;
pub mod trace;
pub mod views;

pub use command::{CtlError, run_command};

/// The result of a command.
pub type Result<T> = std::result::Result<T, CtlError>;

//! Load, histories and measurements, for tests and the demo.
//!
//! Callers here are open-loop: they ask by a seeded schedule, whatever the answers do. Each call is
//! recorded as it starts and ends; the checker judges the history against what must hold.

pub mod caller;
pub mod check;
pub mod history;
pub mod report;
pub mod run;
pub mod settings;

pub use check::{BrokenRule, CheckInput, check_history};
pub use history::{CallEnd, CallKind, CallRecord};
pub use report::LoadReport;
pub use run::run_load;
pub use settings::{LoadSettings, PlannedReclaim};

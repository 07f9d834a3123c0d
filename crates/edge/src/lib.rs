//! The entry process: HTTP towards callers and endpoints, and the actors that do I/O.
//!
//! What is decided lies in the decision crates. Here their actions are carried out, and what the
//! outside said is handed back to them.

pub mod admin;
pub mod admit;
pub mod again;
pub mod book;
pub mod chat;
pub mod claims;
pub mod drive;
pub mod entry;
pub mod kv;
pub mod lists;
pub mod loads;
pub mod moves;
pub mod node;
pub mod open;
pub mod peers;
pub mod plain;
pub mod refuse;
pub mod shadow;
pub mod spread;
pub mod sse;
pub mod steps;

pub use entry::{EntryProcess, start_entry, start_entry_with};
pub use steps::{EntryStep, StepFuture, StepHook};

//! The front process: it accepts requests of callers, sends them to endpoints, and exchanges state
//! with its peers.
//!
//! The decisions are made in other crates; this one performs the input and output for them and
//! passes the results back. It knows the platform only through [`PlatformDialect`] and the store's
//! port, which hide names and formats.

pub mod admin;
pub mod answer;
mod answering;
pub mod attempt;
mod closed;
mod connection;
pub mod discover;
mod dispatch;
pub mod drive;
pub mod duties;
mod era;
pub mod events;
pub mod evidence;
pub mod feed;
pub mod feeds;
mod holding;
pub mod ingress;
mod kept;
pub mod limits;
pub mod mesh;
pub mod meter;
pub mod node;
mod origins;
mod paths;
pub mod port;
pub mod process;
mod proof;
mod relay;
pub mod releases;
pub mod reload;
pub mod roster;
pub mod rules;
mod standby;
pub mod stream;
mod suspect_store;
pub mod suspects;
pub mod told;
mod trace;
pub mod whole;
mod window_store;
mod words;
pub mod work;

pub use node::FrontNode;
pub use port::PlatformDialect;
pub use process::{FrontPorts, FrontProcess, start_front};
pub use reload::SettingsFile;

//! The front process: callers on one side, endpoints on the other, peers beside it.
//!
//! It carries out what the decision crates say and hands back what the outside said. It knows the
//! platform only through [`PlatformDialect`] and the store's port; names and formats lie behind them.

pub mod admin;
pub mod answer;
pub mod attempt;
mod closed;
pub mod discover;
pub mod drive;
pub mod duties;
pub mod events;
pub mod evidence;
pub mod feed;
pub mod feeds;
pub mod ingress;
mod kept;
pub mod limits;
pub mod mesh;
pub mod meter;
pub mod node;
pub mod port;
pub mod process;
pub mod releases;
pub mod reload;
pub mod roster;
pub mod rules;
pub mod stream;
mod suspect_store;
pub mod suspects;
mod trace;
pub mod whole;
mod window_store;
mod words;
pub mod work;

pub use node::FrontNode;
pub use port::PlatformDialect;
pub use process::{FrontPorts, FrontProcess, start_front};

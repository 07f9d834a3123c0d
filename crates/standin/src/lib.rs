//! Small stand-ins for what the users' platform gives: for tests, the demo and measurements only.
//!
//! Each is a pure model with a thin HTTP face. Answers are a function of the request, so that a
//! crossed, cut or doubled answer shows. Faults are switched by a request to the stand-in.

pub mod answer;
pub mod cloud;
pub mod engine;
pub mod engine_http;
pub mod object;
pub mod object_http;
pub mod plain;
pub mod site;
pub mod weights;

pub use site::{StandinSettings, StandinSite};

/// Milliseconds since 1970.
pub fn wall_millis() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.map_or(0, |span| u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
}

//! What callers make a process hold.

pub mod chain;

pub use chain::{BodyBuffer, BodyChain, ChainCursor};

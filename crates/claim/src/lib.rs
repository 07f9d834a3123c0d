//! At most once: a non-idempotent request is claimed in the platform's store before it is sent.
//!
//! Claims lie in shards by key, and in books by the time the key carries. The entry that a shard
//! points at gathers claims for a short while
//! and writes them together; the store's version check is the fence. Ownership only saves writes:
//! two processes that both believe to own a shard still cannot both claim a key.

pub mod book;
pub mod keeper;
pub mod record;

pub use book::{BookName, HeadValue, SegmentName, SegmentValue};
pub use keeper::{BookKeeper, ClaimAction, ClaimAsk, ClaimSaid, ClaimSettings, ClaimVerdict};
pub use record::{ClaimKey, ClaimRecord, body_digest, claim_key};

//! At most once: a non-idempotent request is claimed in the platform's store before it is sent.
//!
//! Claims lie in shards by key, and in books by the time the key carries. The entry that a shard
//! points at gathers claims for a short while
//! and writes them together; the store's version check is the fence. Ownership only saves writes:
//! two processes that both believe to own a shard still cannot both claim a key.

pub mod keeper;
pub mod partition;
pub mod record;

pub use keeper::{
    ClaimAction, ClaimRequest, ClaimSettings, ClaimVerdict, PartitionKeeper, StoreReply,
};
pub use partition::{HeadValue, PartitionName, SegmentName, SegmentValue};
pub use record::{ClaimKey, ClaimRecord, claim_key, request_digest};

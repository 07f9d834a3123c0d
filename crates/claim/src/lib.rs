//! At-most-once execution: a non-idempotent request is claimed in the platform's store before it is sent.
//!
//! Claims are sharded by key and partitioned by the time that the key carries. The owner of a shard batches
//! claims for a short time and writes them together, with the store's version check as the fence. Ownership
//! of a shard only saves writes: two processes that both assume to own a shard cannot both claim a key.

pub mod keeper;
pub mod partition;
pub mod record;

pub use keeper::{
    ClaimAction, ClaimRequest, ClaimSettings, ClaimVerdict, PartitionKeeper, StoreReply,
};
pub use partition::{HeadValue, PartitionName, SegmentName, SegmentValue};
pub use record::{ClaimKey, ClaimRecord, claim_key, request_digest};

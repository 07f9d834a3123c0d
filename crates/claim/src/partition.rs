//! Storage format of claims. Each partition has a head object, which is rewritten, and immutable segments.

use crate::record::ClaimRecord;
use compact_str::CompactString;
use oleander_kind::hash::digest_bytes;
use oleander_kind::{ClockTime, TimeSpan};
use serde::{Deserialize, Serialize};

/// Name of a sealed segment: half of the digest of its bytes. Every write of a segment with this name has the
/// same bytes, so that a process that was suspended cannot change a segment that others have read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentName(pub [u8; 16]);

/// Content of the head object of a partition.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadValue {
    /// Sealed segments of the partition, the oldest first.
    pub segments: Vec<SegmentName>,
    /// Claims made since the last segment was sealed.
    pub claims: Vec<ClaimRecord>,
}

/// Content of a sealed segment, which never changes.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentValue {
    /// Claims in the segment.
    pub claims: Vec<ClaimRecord>,
}

impl SegmentValue {
    /// Encodes the segment; returns its name and bytes.
    pub fn seal(&self) -> (SegmentName, Vec<u8>) {
        let bytes = encode(self);
        let mut name = [0; 16];
        name.copy_from_slice(&digest_bytes(&bytes)[..16]);
        (SegmentName(name), bytes)
    }
}

/// Length of the time span whose keys are in one partition.
pub const PARTITION_SPAN: TimeSpan = TimeSpan::secs(600);

/// Name of a partition of claims: a shard of keys, and the time span of the times that the keys carry.
///
/// A key is looked up only in its own partition. A process that takes over a shard therefore reads only the
/// partitions of requested keys, usually the newest one, instead of a day of claims. A partition whose keys
/// are all older than the retention is removed as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PartitionName {
    /// Number of the shard.
    pub shard: u32,
    /// Number of the time span, counted from 1970.
    pub span: u64,
}

impl PartitionName {
    /// The partition of a key in `shard` that carries `key_time` (wall clock).
    pub fn of(shard: u32, key_time: ClockTime) -> PartitionName {
        PartitionName { shard, span: key_time.0 / PARTITION_SPAN.0 }
    }

    /// Whether every key in the partition is older than `retention` at `wall`.
    pub fn is_expired(self, retention: TimeSpan, wall: ClockTime) -> bool {
        ClockTime((self.span + 1) * PARTITION_SPAN.0) + retention <= wall
    }

    /// Store name of the head object.
    pub fn head(self) -> CompactString {
        format!("claims/{}/{}/head", self.shard, self.span).into()
    }

    /// Store name of a sealed segment.
    pub fn segment(self, segment: SegmentName) -> CompactString {
        let hex: String = segment.0.iter().map(|byte| format!("{byte:02x}")).collect();
        format!("claims/{}/{}/{hex}", self.shard, self.span).into()
    }
}

/// Encodes a value as CBOR.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Encoding to memory fails only for values without a CBOR form; all values stored here have one.
    let _ = ciborium::into_writer(value, &mut bytes);
    bytes
}

/// Decodes a value from CBOR; `None` if the bytes are invalid.
pub fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    ciborium::from_reader(bytes).ok()
}

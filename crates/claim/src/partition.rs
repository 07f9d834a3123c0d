//! How claims lie in the store, in books: a head that is rewritten, and sealed segments.

use crate::record::ClaimRecord;
use compact_str::CompactString;
use oleander_kind::hash::digest_bytes;
use oleander_kind::{ClockTime, TimeSpan};
use serde::{Deserialize, Serialize};

/// Names a sealed segment: half of the digest of its bytes. Whoever writes a segment of this name
/// writes the same bytes, so that a process that was paused can never change what others rely on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentName(pub [u8; 16]);

/// The head object of a book.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadValue {
    /// The sealed segments that count, the oldest first.
    pub segments: Vec<SegmentName>,
    /// The newest claims.
    pub claims: Vec<ClaimRecord>,
}

/// A sealed segment: never changed.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentValue {
    /// Its claims.
    pub claims: Vec<ClaimRecord>,
}

impl SegmentValue {
    /// The segment's name and bytes.
    pub fn seal(&self) -> (SegmentName, Vec<u8>) {
        let bytes = encode(self);
        let mut name = [0; 16];
        name.copy_from_slice(&digest_bytes(&bytes)[..16]);
        (SegmentName(name), bytes)
    }
}

/// The length of time whose keys lie in one book.
pub const PARTITION_SPAN: TimeSpan = TimeSpan::secs(600);

/// Names one book of claims: a shard of keys, and the span of time that the keys themselves carry.
///
/// A key is only ever looked for in its own book. A process that takes a shard over therefore reads
/// the books of the keys it is asked about, which is the newest one as a rule, and not a day's
/// claims; and a book whose span is past the horizon is removed as a whole.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct PartitionName {
    /// The shard.
    pub shard: u32,
    /// The number of the span since 1970.
    pub span: u64,
}

impl PartitionName {
    /// The book of a key in `shard` that carries `key_time` (wall clock).
    pub fn of(shard: u32, key_time: ClockTime) -> PartitionName {
        PartitionName { shard, span: key_time.0 / PARTITION_SPAN.0 }
    }

    /// Whether every key in it is older than `retention` at `wall`.
    pub fn is_expired(self, retention: TimeSpan, wall: ClockTime) -> bool {
        ClockTime((self.span + 1) * PARTITION_SPAN.0) + retention <= wall
    }

    /// The name of its head object.
    pub fn head(self) -> CompactString {
        format!("claims/{}/{}/head", self.shard, self.span).into()
    }

    /// The name of one of its sealed segments.
    pub fn segment(self, segment: SegmentName) -> CompactString {
        let hex: String = segment.0.iter().map(|byte| format!("{byte:02x}")).collect();
        format!("claims/{}/{}/{hex}", self.shard, self.span).into()
    }
}

/// The CBOR of a value.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    // Writing to memory fails only for values that cannot be encoded at all, which these can.
    let _ = ciborium::into_writer(value, &mut bytes);
    bytes
}

/// Reads a value; `None` if the bytes are not one.
pub fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Option<T> {
    ciborium::from_reader(bytes).ok()
}

//! How the claims of a shard lie in the store: a head that is rewritten, and sealed segments.

use crate::record::ClaimRecord;
use compact_str::CompactString;
use oleander_kind::ClockTime;
use oleander_kind::hash::digest_bytes;
use serde::{Deserialize, Serialize};

/// Names a sealed segment: half of the digest of its bytes. Whoever writes a segment of this name
/// writes the same bytes, so that a process that was paused can never change what others rely on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentName(pub [u8; 16]);

/// A sealed segment as the head names it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentRef {
    /// Its name.
    #[serde(rename = "s")]
    pub name: SegmentName,
    /// The newest time that a key in it carries (wall clock).
    #[serde(rename = "t")]
    pub newest_key: ClockTime,
}

/// The head object of a shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadValue {
    /// The sealed segments that count, the oldest first.
    pub segments: Vec<SegmentRef>,
    /// The newest claims.
    pub claims: Vec<ClaimRecord>,
}

/// A sealed segment: never changed, removed when its newest key is past the horizon.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentValue {
    /// Its claims.
    pub claims: Vec<ClaimRecord>,
}

impl SegmentValue {
    /// The segment's reference and bytes.
    pub fn seal(&self) -> (SegmentRef, Vec<u8>) {
        let bytes = encode(self);
        let mut name = [0; 16];
        name.copy_from_slice(&digest_bytes(&bytes)[..16]);
        let newest = self.claims.iter().map(|record| record.key_time).max();
        let newest_key = newest.unwrap_or_default();
        (SegmentRef { name: SegmentName(name), newest_key }, bytes)
    }
}

/// The name of a shard's head.
pub fn head_name(shard: u32) -> CompactString {
    format!("claims/{shard}/head").into()
}

/// The name of a shard's sealed segment.
pub fn segment_name(shard: u32, segment: SegmentName) -> CompactString {
    let hex: String = segment.0.iter().map(|byte| format!("{byte:02x}")).collect();
    format!("claims/{shard}/{hex}").into()
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

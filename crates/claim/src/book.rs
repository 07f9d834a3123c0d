//! How the claims of a shard lie in the store: a head that is rewritten, and sealed segments.

use crate::record::ClaimRecord;
use compact_str::CompactString;
use serde::{Deserialize, Serialize};

/// The head object of a shard.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HeadValue {
    /// The first sealed segment that still counts.
    pub first: u32,
    /// One past the last sealed segment.
    pub sealed: u32,
    /// The newest claims.
    pub claims: Vec<ClaimRecord>,
}

/// A sealed segment: never changed, removed when its newest key is past the horizon.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentValue {
    /// Its claims.
    pub claims: Vec<ClaimRecord>,
}

/// The name of a shard's head.
pub fn head_name(shard: u32) -> CompactString {
    format!("claims/{shard}/head").into()
}

/// The name of a shard's sealed segment.
pub fn segment_name(shard: u32, segment: u32) -> CompactString {
    format!("claims/{shard}/{segment}").into()
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

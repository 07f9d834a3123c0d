//! The record of one claim, and the digests that identify it.

use oleander_kind::hash::digest_parts;
use oleander_kind::{AccountName, ClockTime, InstanceId};
use serde::{Deserialize, Serialize};

/// Key of a claim: half of the digest of account and idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ClaimKey(pub [u8; 16]);

impl ClaimKey {
    /// The shard of the key, out of `shards`.
    pub fn shard(self, shards: u32) -> u32 {
        let prefix = u32::from_le_bytes([self.0[0], self.0[1], self.0[2], self.0[3]]);
        prefix % shards.max(1)
    }
}

fn truncate(digest: [u8; 32]) -> [u8; 16] {
    let mut short = [0; 16];
    short.copy_from_slice(&digest[..16]);
    short
}

/// The claim key of an account's idempotency key. Equal keys of different accounts are different claims.
pub fn claim_key(account: &AccountName, key: &str) -> ClaimKey {
    ClaimKey(truncate(digest_parts(&[account.as_str().as_bytes(), key.as_bytes()])))
}

/// Digest of method, path with query, and body, which distinguishes requests with the same idempotency key.
pub fn request_digest(method: &str, path: &str, body: &[u8]) -> [u8; 16] {
    truncate(digest_parts(&[method.as_bytes(), path.as_bytes(), body]))
}

/// A claim as it is stored.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClaimRecord {
    /// Key of the claim.
    #[serde(rename = "k")]
    pub key: ClaimKey,
    /// Digest of the request.
    #[serde(rename = "d")]
    pub digest: [u8; 16],
    /// Generated for each claim request; identifies the requester's own claim after the reply to its write was lost.
    #[serde(rename = "n")]
    pub nonce: u64,
    /// The entry process that may send the request and that keeps its answer.
    #[serde(rename = "o")]
    pub owner: InstanceId,
    /// Wall-clock time that the idempotency key carries.
    #[serde(rename = "t")]
    pub key_time: ClockTime,
}

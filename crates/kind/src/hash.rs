//! Hash functions whose results are the same in every process: digests, stable hashes and
//! rendezvous weights.

use sha2::{Digest, Sha256};

/// A 32-byte SHA-256 digest.
pub type Sha256Digest = [u8; 32];

/// Returns the SHA-256 of `parts`. Each part is preceded by its length, so that different lists
/// with the same concatenation have different digests.
pub fn digest_parts(parts: &[&[u8]]) -> Sha256Digest {
    hash_parts(parts).finalize().into()
}

/// Returns the same digest as [`digest_parts`] of `parts` and one more that is given in segments.
pub fn digest_with_body(parts: &[&[u8]], segments: &[impl AsRef<[u8]>]) -> Sha256Digest {
    let mut hasher = hash_parts(parts);
    let length: usize = segments.iter().map(|segment| segment.as_ref().len()).sum();
    hasher.update((length as u64).to_le_bytes());
    segments.iter().for_each(|segment| hasher.update(segment));
    hasher.finalize().into()
}

fn hash_parts(parts: &[&[u8]]) -> Sha256 {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher
}

/// Returns the SHA-256 of `bytes` without a length prefix.
pub fn digest_bytes(bytes: &[u8]) -> Sha256Digest {
    Sha256::digest(bytes).into()
}

/// Returns the FNV-1a hash of `bytes`, continued from `state`. It is fast and the same in all
/// builds, but not cryptographically secure.
pub fn stable_hash(state: u64, bytes: &[u8]) -> u64 {
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    bytes.iter().fold(state, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(PRIME))
}

/// The initial state for [`stable_hash`]: the 64-bit FNV offset basis.
pub const HASH_SEED: u64 = 0xcbf2_9ce4_8422_2325;

/// Mixes the bits of `value` with the SplitMix64 finalizer, so that similar inputs give unrelated
/// outputs.
pub const fn mix_bits(value: u64) -> u64 {
    let mut mixed = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// Returns the rendezvous hashing weight of `member` for `key`. The member with the highest weight
/// owns the key. When a member is removed, only the keys that it owned change owner.
pub fn rendezvous_weight(key: u64, member: u64) -> u64 {
    mix_bits(key ^ mix_bits(member))
}

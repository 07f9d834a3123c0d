//! Hashing that every process computes alike: digests and rendezvous weights.

use sha2::{Digest, Sha256};

/// A 32-byte SHA-256 digest.
pub type ByteDigest = [u8; 32];

/// SHA-256 of `parts`, each preceded by its length so that no two lists of parts collide.
pub fn digest_parts(parts: &[&[u8]]) -> ByteDigest {
    let mut hasher = Sha256::new();
    for part in parts {
        hasher.update((part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.finalize().into()
}

/// SHA-256 of `bytes` alone.
pub fn digest_bytes(bytes: &[u8]) -> ByteDigest {
    Sha256::digest(bytes).into()
}

/// FNV-1a of `bytes`, continued from `state`. Fast and stable across builds; not for secrets.
pub fn stable_hash(state: u64, bytes: &[u8]) -> u64 {
    const PRIME: u64 = 0x0000_0100_0000_01b3;
    bytes.iter().fold(state, |hash, byte| (hash ^ u64::from(*byte)).wrapping_mul(PRIME))
}

/// The state [`stable_hash`] starts from.
pub const HASH_START: u64 = 0xcbf2_9ce4_8422_2325;

/// Spreads the bits of `value` (the finalizer of SplitMix64), so that near inputs part far.
pub fn mix_bits(value: u64) -> u64 {
    let mut mixed = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

/// The rendezvous weight of `member` for `key`: the member with the highest weight owns the key.
/// When a member goes, only its own keys move.
pub fn rendezvous_weight(key: u64, member: u64) -> u64 {
    mix_bits(key ^ mix_bits(member))
}

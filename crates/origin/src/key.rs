//! Identifies a stream across processes.

use oleander_kind::hash::digest_parts;
use oleander_kind::{AccountName, ServiceName};
use serde::{Deserialize, Serialize};

/// Streams are kept at the same processes by groups of this number, so that a process exchanges records with few
/// others, whatever the number of processes.
const GROUPS: u128 = 16;

/// A stream: its client account, its service, and the id of the caller's attempt that brought its first event.
///
/// The first 16 bytes of a SHA-256: no account can construct the key of another account's stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct StreamKey(u128);

impl StreamKey {
    /// The key of the stream that the attempt `id` began.
    pub fn of(account: Option<&AccountName>, service: &ServiceName, id: &str) -> Self {
        let account = account.map_or("", AccountName::as_str);
        let digest =
            digest_parts(&[account.as_bytes(), service.as_str().as_bytes(), id.as_bytes()]);
        let bits = digest.iter().take(16).fold(0, |bits, byte| bits << 8 | u128::from(*byte));
        StreamKey(bits)
    }

    /// Reads the digits that [`Display`](std::fmt::Display) writes.
    pub fn parse(text: &str) -> Option<Self> {
        u128::from_str_radix(text, 16).ok().map(StreamKey)
    }

    /// The group whose streams are kept at the same processes.
    pub fn group(self) -> u64 {
        (self.0 % GROUPS) as u64
    }
}

/// Hexadecimal digits.
impl std::fmt::Display for StreamKey {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:x}", self.0)
    }
}

//! Identifier types that are sent between processes.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! string_id {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(
            Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub CompactString);

        impl $name {
            /// Returns the name as a string slice.
            pub fn as_str(&self) -> &str {
                &self.0
            }

            /// Returns a 64-bit hash of the name that is the same in every process.
            pub fn stable_hash(&self) -> u64 {
                crate::hash::stable_hash(crate::hash::HASH_SEED, self.0.as_bytes())
            }
        }

        impl From<&str> for $name {
            fn from(text: &str) -> Self {
                $name(CompactString::from(text))
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }
    };
}

string_id!(
    /// The name of a client account, the unit of billing and rate limits.
    AccountName
);
string_id!(
    /// The name of a failure domain, whose instances may be reclaimed or lost together.
    DomainName
);
string_id!(
    /// The ID of an instance, either one of the platform's own processes or an endpoint.
    InstanceId
);
string_id!(
    /// The ID of a request over all its attempts: the caller's idempotency key if it sent one.
    RequestId
);
string_id!(
    /// The name of a service that callers address.
    ServiceName
);
string_id!(
    /// The name of a model version.
    VersionName
);

/// Maximum length in bytes of a request ID that a caller supplies.
pub const MAX_REQUEST_ID_BYTES: usize = 128;

impl RequestId {
    /// Parses a request ID from a caller: 1 to [`MAX_REQUEST_ID_BYTES`] ASCII letters, digits, `-`, `_`, `.`, `:`.
    pub fn parse(text: &str) -> Option<RequestId> {
        let fits = !text.is_empty() && text.len() <= MAX_REQUEST_ID_BYTES;
        let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
        (fits && text.bytes().all(plain)).then(|| RequestId::from(text))
    }
}

/// Returns the timestamp of a version 7 UUID (RFC 9562, section 5.7) in wall-clock milliseconds, or
/// `None` if `text` is not a version 7 UUID.
pub fn uuid_v7_millis(text: &str) -> Option<u64> {
    const DASH_POSITIONS: [usize; 4] = [8, 13, 18, 23];
    const UUID_LENGTH: usize = 36;
    const VERSION_POSITION: usize = 14;
    const VARIANT_POSITION: usize = 19;
    let bytes = text.as_bytes();
    if bytes.len() != UUID_LENGTH || bytes[VERSION_POSITION] != b'7' {
        return None;
    }
    if !b"89abAB".contains(&bytes[VARIANT_POSITION]) {
        return None;
    }
    let well_formed = bytes.iter().enumerate().all(|(at, byte)| {
        if DASH_POSITIONS.contains(&at) { *byte == b'-' } else { byte.is_ascii_hexdigit() }
    });
    if !well_formed {
        return None;
    }
    let digits = format!("{}{}", &text[0..8], &text[9..13]);
    u64::from_str_radix(&digits, 16).ok()
}

/// Formats a version 7 UUID from wall-clock milliseconds and random bits.
pub fn format_uuid_v7(millis: u64, random: u128) -> String {
    const VERSION: u128 = 7 << 76;
    const VARIANT: u128 = 2 << 62;
    const RANDOM_MASK: u128 = (0xfff << 64) | ((1 << 62) - 1);
    let value = (u128::from(millis) << 80) | VERSION | VARIANT | (random & RANDOM_MASK);
    let hex = format!("{value:032x}");
    format!("{}-{}-{}-{}-{}", &hex[0..8], &hex[8..12], &hex[12..16], &hex[16..20], &hex[20..32])
}

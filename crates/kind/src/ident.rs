//! Names that cross process borders.

use compact_str::CompactString;
use serde::{Deserialize, Serialize};
use std::fmt;

macro_rules! text_name {
    ($(#[$meta:meta])* $name:ident) => {
        $(#[$meta])*
        #[derive(
            Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub CompactString);

        impl $name {
            /// The name as text.
            pub fn as_str(&self) -> &str {
                &self.0
            }

            /// A 64-bit hash of the name, the same in every process.
            pub fn stable_hash(&self) -> u64 {
                crate::hash::stable_hash(crate::hash::HASH_START, self.0.as_bytes())
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

text_name!(
    /// A client account: who is billed and limited.
    AccountName
);
text_name!(
    /// A failure domain: what may be reclaimed or lost as one.
    DomainName
);
text_name!(
    /// An instance of ours or of the endpoints'.
    InstanceId
);
text_name!(
    /// One request, for its whole life; the caller's idempotency key where it gave one.
    RequestId
);
text_name!(
    /// A service that callers name.
    ServiceName
);
text_name!(
    /// A model version.
    VersionName
);

/// The longest request id that is taken from a caller, in bytes.
pub const REQUEST_ID_LIMIT: usize = 128;

impl RequestId {
    /// Reads a caller's id: 1 to [`REQUEST_ID_LIMIT`] ASCII letters, digits, `-`, `_`, `.`, `:`.
    pub fn parse(text: &str) -> Option<RequestId> {
        let fits = !text.is_empty() && text.len() <= REQUEST_ID_LIMIT;
        let plain = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.:".contains(&byte);
        (fits && text.bytes().all(plain)).then(|| RequestId::from(text))
    }
}

/// The wall-clock milliseconds that a version 7 UUID carries (RFC 9562, section 5.7), or nothing
/// if `text` is no such UUID.
pub fn uuid_v7_millis(text: &str) -> Option<u64> {
    const DASHES: [usize; 4] = [8, 13, 18, 23];
    const UUID_LENGTH: usize = 36;
    const VERSION_AT: usize = 14;
    const VARIANT_AT: usize = 19;
    let bytes = text.as_bytes();
    if bytes.len() != UUID_LENGTH || bytes[VERSION_AT] != b'7' {
        return None;
    }
    if !b"89abAB".contains(&bytes[VARIANT_AT]) {
        return None;
    }
    let well_formed = bytes.iter().enumerate().all(|(at, byte)| {
        if DASHES.contains(&at) { *byte == b'-' } else { byte.is_ascii_hexdigit() }
    });
    if !well_formed {
        return None;
    }
    let digits = format!("{}{}", &text[0..8], &text[9..13]);
    u64::from_str_radix(&digits, 16).ok()
}

/// Writes a version 7 UUID from wall-clock milliseconds and random bits.
pub fn write_uuid_v7(millis: u64, random: u128) -> String {
    const VERSION: u128 = 7 << 76;
    const VARIANT: u128 = 2 << 62;
    const RANDOM_MASK: u128 = (0xfff << 64) | ((1 << 62) - 1);
    let value = (u128::from(millis) << 80) | VERSION | VARIANT | (random & RANDOM_MASK);
    let hex = format!("{value:032x}");
    format!("{}-{}-{}-{}-{}", &hex[0..8], &hex[8..12], &hex[12..16], &hex[16..20], &hex[20..32])
}

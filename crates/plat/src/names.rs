//! Names in the paths and queries of calls.
//!
//! Any writer may choose any name. One that stood in a path or a query as it is would end it early, mean another object,
//! or make the call invalid.

use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, PercentEncode, percent_encode};

/// All bytes but the unreserved ones (RFC 3986, section 2.3), which alone mean themselves everywhere.
const ENCODED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');

/// Encodes a name for a path or a query.
pub fn encode_name(name: &[u8]) -> PercentEncode<'_> {
    percent_encode(name, ENCODED)
}

/// Encodes a name that consists of several parts for a path. The slashes between them stay.
pub fn encode_parts(name: &str) -> String {
    let parts: Vec<_> =
        name.split('/').map(|part| encode_name(part.as_bytes()).to_string()).collect();
    parts.join("/")
}

//! Request fingerprints, which identify a request across its callers' retries.

use oleander_kind::AccountName;
use oleander_kind::hash::digest_parts;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A digest of a request's content: equal for each retry by its caller, at any process.
///
/// The account is included, so that nobody can have another account's request refused. The id, the
/// deadline and the last event received are excluded, since they differ between retries. 128 bits
/// of SHA-256: nobody can construct two requests of one account with equal fingerprints.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestFingerprint(u128);

/// The content of a request that identifies it.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// The client account; `None` on public routes.
    pub account: Option<&'a AccountName>,
    /// The method.
    pub method: &'a str,
    /// The requested host.
    pub host: &'a str,
    /// The path including the query.
    pub path: &'a str,
    /// The body.
    pub body: &'a [u8],
}

impl RequestFingerprint {
    /// Computes the fingerprint of a request.
    pub fn of(content: RequestContent<'_>) -> Self {
        let account = content.account.map_or("", AccountName::as_str);
        let digest = digest_parts(&[
            account.as_bytes(),
            content.method.as_bytes(),
            content.host.as_bytes(),
            content.path.as_bytes(),
            content.body,
        ]);
        let bits = digest.iter().take(16).fold(0, |bits, byte| bits << 8 | u128::from(*byte));
        RequestFingerprint(bits)
    }

    /// Parses the output of [`Display`](fmt::Display).
    pub fn parse(text: &str) -> Option<Self> {
        u128::from_str_radix(text, 16).ok().map(RequestFingerprint)
    }

    /// The low 64 bits, which are evenly distributed.
    pub fn low_bits(self) -> u64 {
        self.0 as u64
    }
}

impl fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for RequestFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

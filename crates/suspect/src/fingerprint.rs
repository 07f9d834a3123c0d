//! What tells that two attempts of callers are the same request.

use oleander_kind::AccountName;
use oleander_kind::hash::digest_parts;
use serde::{Deserialize, Serialize};
use std::fmt;

/// A digest of what a request asks: the same for each attempt of its caller, at any process.
///
/// The account is part of it, so that nobody can have another account's request refused. The id, the time
/// left and the last event seen are not, since they differ from one attempt to the next. 128 bits of SHA-256:
/// two requests of one account that share them cannot be made on purpose.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct RequestFingerprint(u128);

/// What a request asks.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// Whose it is; none on public routes.
    pub account: Option<&'a AccountName>,
    /// The method.
    pub method: &'a str,
    /// The host asked for.
    pub host: &'a str,
    /// The path with its query.
    pub path: &'a str,
    /// The body.
    pub body: &'a [u8],
}

impl RequestFingerprint {
    /// The print of a request.
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

    /// Reads what [`Display`](fmt::Display) writes.
    pub fn parse(text: &str) -> Option<Self> {
        u128::from_str_radix(text, 16).ok().map(RequestFingerprint)
    }

    /// A number that spreads prints evenly.
    pub fn spread(self) -> u64 {
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

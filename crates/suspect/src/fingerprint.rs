//! Fingerprints of what may crash an endpoint: a request, the same across its callers' retries, or a part that many
//! prompts share.

use bytes::Bytes;
use oleander_kind::hash::{digest_parts, digest_with_body};
use oleander_kind::{AccountName, ServiceName};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The first bits of all fingerprints of parts. In the digest itself, so that processes that know of requests alone
/// keep the two apart when they pass them on.
const PART_MARK: u32 = 0x7061_7274;

/// A digest of a request's content: equal for each retry by its caller, at any process. Or of a part of the prompts
/// of a service: equal for all requests with that part.
///
/// In a request's digest the account is included, so that nobody can have another account's request refused. The id, the
/// deadline and the last event received are excluded, since they differ between retries. 128 bits
/// of SHA-256: nobody can construct two requests of one account with equal fingerprints.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct SuspectFingerprint(u128);

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
    /// The body, in segments.
    pub body: &'a [Bytes],
}

impl SuspectFingerprint {
    /// Computes the fingerprint of a request.
    pub fn of(content: RequestContent<'_>) -> Self {
        let account = content.account.map_or("", AccountName::as_str);
        let parts = [account, content.method, content.host, content.path].map(str::as_bytes);
        let digest = digest_with_body(&parts, content.body);
        SuspectFingerprint(leading_bits(&digest, 16))
    }

    /// Computes the fingerprint of a part of the prompts of a service. The account is not part of it: whoever sends
    /// it, such a part crashes the endpoint.
    pub fn of_part(service: &ServiceName, part: u64) -> Self {
        let service = service.as_str().as_bytes();
        let service_bits = leading_bits(&digest_parts(&[service]), 2);
        let bits = leading_bits(&digest_parts(&[service, &part.to_le_bytes()]), 10);
        SuspectFingerprint(u128::from(PART_MARK) << 96 | service_bits << 80 | bits)
    }

    /// The service of a part, by some bits of a digest of its name.
    pub(crate) fn service_bits(self) -> u16 {
        (self.0 >> 80) as u16
    }

    /// Whether it is the fingerprint of a part.
    pub fn is_part(self) -> bool {
        self.0 >> 96 == u128::from(PART_MARK)
    }

    /// Parses the output of [`Display`](fmt::Display).
    pub fn parse(text: &str) -> Option<Self> {
        u128::from_str_radix(text, 16).ok().map(SuspectFingerprint)
    }

    /// The low 64 bits, which are evenly distributed.
    pub fn low_bits(self) -> u64 {
        self.0 as u64
    }
}

fn leading_bits(digest: &[u8], bytes: usize) -> u128 {
    digest.iter().take(bytes).fold(0, |bits, byte| bits << 8 | u128::from(*byte))
}

impl fmt::Display for SuspectFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for SuspectFingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

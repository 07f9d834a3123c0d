//! Settings of `oleander-entry`.

use crate::reader::{FieldCheck, FieldFault, require};
use compact_str::CompactString;
use oleander_kind::{DomainName, InstanceId};
use serde::Deserialize;
use std::net::SocketAddr;

/// A peer that a process may join through.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSetting {
    /// The peer's instance.
    pub instance: InstanceId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Its peer address.
    pub address: SocketAddr,
}

/// Bounds on what one caller may hold here.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RequestBounds {
    /// The longest body, in bytes.
    pub body_bytes: usize,
    /// The most request bytes held at once, over all requests.
    pub held_bytes: usize,
    /// The most bytes of kept answers.
    pub kept_bytes: usize,
    /// The longest time a kept answer stays, in seconds.
    pub kept_s: u64,
    /// The longest time a body may take to arrive, in milliseconds.
    pub body_ms: u64,
    /// The most bytes of headers that are passed on.
    pub header_bytes: usize,
    /// The time a request may take unless the caller asks for less, in seconds.
    pub deadline_s: u64,
}

impl Default for RequestBounds {
    fn default() -> Self {
        RequestBounds {
            body_bytes: 16 << 20,
            held_bytes: 96 << 20,
            kept_bytes: 48 << 20,
            kept_s: 600,
            body_ms: 30_000,
            header_bytes: 32 << 10,
            deadline_s: 3600,
        }
    }
}

/// Periods and waits.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EntryTimes {
    /// Between two probes of peers, in milliseconds.
    pub probe_ms: u64,
    /// Between two reads of the endpoint list, in milliseconds.
    pub list_ms: u64,
    /// How long one watch waits at the object API, in milliseconds.
    pub watch_ms: u64,
    /// How long a claim waits for others to share its write, in milliseconds, besides the wait
    /// that the store's rate asks for.
    pub claim_linger_ms: u64,
    /// Claim writes a second that all processes together may make.
    pub claim_writes_per_s: u64,
    /// How long a planned stop lets requests finish before it moves them, in milliseconds.
    pub drain_ms: u64,
    /// How long readiness is withdrawn before the listener closes, in milliseconds.
    pub unready_ms: u64,
    /// The longest wait for one call to the platform, in milliseconds.
    pub platform_ms: u64,
}

impl Default for EntryTimes {
    fn default() -> Self {
        EntryTimes {
            probe_ms: 1000,
            list_ms: 500,
            watch_ms: 10_000,
            claim_linger_ms: 0,
            claim_writes_per_s: 240,
            drain_ms: 20_000,
            unready_ms: 500,
            platform_ms: 2000,
        }
    }
}

/// Settings of one entry process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// This instance's name.
    pub instance: InstanceId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Where callers are served.
    pub listen: SocketAddr,
    /// Where state, metrics, health and readiness are served.
    pub admin: SocketAddr,
    /// Where peers connect.
    pub peer: SocketAddr,
    /// The platform's object API, `http://ip:port`.
    pub platform: CompactString,
    /// The platform's endpoint list, `http://ip:port/path`.
    pub list: CompactString,
    /// The operator keys (ed25519, hex) that a first bundle is trusted by.
    pub root_keys: Vec<CompactString>,
    /// How many root keys must sign the first bundle.
    #[serde(default = "one")]
    pub root_quorum: usize,
    /// Peers to join through.
    #[serde(default)]
    pub peers: Vec<PeerSetting>,
    /// Bounds on requests.
    #[serde(default)]
    pub bounds: RequestBounds,
    /// Periods and waits.
    #[serde(default)]
    pub times: EntryTimes,
    /// How many claim shards there are; the same for every process.
    #[serde(default = "four")]
    pub claim_shards: u32,
}

fn one() -> usize {
    1
}

fn four() -> u32 {
    4
}

const KEY_HEX_LENGTH: usize = 64;
const MOST_CLAIM_SHARDS: u32 = 256;
const SMALLEST_BODY_LIMIT: usize = 1024;
const LONGEST_LINGER_MS: u64 = 100;

/// Checks the operator keys that processes and tools are given.
///
/// # Errors
/// The field and the rule it breaks.
pub fn check_root_keys(
    keys: &[CompactString],
    quorum: usize,
) -> std::result::Result<(), FieldFault> {
    let hex_key = |key: &CompactString| {
        key.len() == KEY_HEX_LENGTH && key.bytes().all(|byte| byte.is_ascii_hexdigit())
    };
    require(!keys.is_empty(), "root_keys", "names no key; nobody could sign a bundle")?;
    require(keys.iter().all(hex_key), "root_keys", "a key is not 64 hexadecimal digits")?;
    require(
        (1..=keys.len()).contains(&quorum),
        "root_quorum",
        "must be at least 1 and at most the number of root keys",
    )
}

impl FieldCheck for EntrySettings {
    fn check(&self) -> std::result::Result<(), FieldFault> {
        require(!self.instance.as_str().is_empty(), "instance", "is empty")?;
        require(!self.domain.as_str().is_empty(), "domain", "is empty")?;
        require(self.platform.starts_with("http://"), "platform", "must start with http://")?;
        require(self.list.starts_with("http://"), "list", "must start with http://")?;
        check_root_keys(&self.root_keys, self.root_quorum)?;
        require(
            (1..=MOST_CLAIM_SHARDS).contains(&self.claim_shards),
            "claim_shards",
            "must be from 1 to 256",
        )?;
        let bounds = &self.bounds;
        require(bounds.body_bytes >= SMALLEST_BODY_LIMIT, "body_bytes", "must be 1024 or more")?;
        require(
            bounds.held_bytes >= bounds.body_bytes,
            "held_bytes",
            "must be at least body_bytes, or the longest body never fits",
        )?;
        let times = &self.times;
        require(times.probe_ms > 0, "probe_ms", "must be above 0")?;
        require(times.list_ms > 0, "list_ms", "must be above 0")?;
        require(
            times.claim_linger_ms <= LONGEST_LINGER_MS,
            "claim_linger_ms",
            "must be 100 or less; every non-idempotent request waits for it",
        )?;
        require(times.claim_writes_per_s > 0, "claim_writes_per_s", "must be above 0")?;
        require(times.platform_ms > 0, "platform_ms", "must be above 0")
    }
}

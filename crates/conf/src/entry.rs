//! Settings of `oleander-entry`, with their defaults and checks.

use crate::front::{check_descriptors, default_descriptors};
use crate::reader::{FieldCheck, FieldError, require};
use compact_str::CompactString;
use oleander_kind::{DomainName, InstanceId};
use serde::Deserialize;
use std::net::SocketAddr;

/// Peer through which a process may join the cluster.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSetting {
    /// Instance of the peer.
    pub instance: InstanceId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Address on which it accepts peer connections.
    pub address: SocketAddr,
}

/// Limits on requests and on the memory that they and their answers take in one process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RequestBounds {
    /// Maximum length of a request body, in bytes.
    pub body_bytes: usize,
    /// Maximum number of request bytes held in memory over all requests.
    pub held_bytes: usize,
    /// Maximum number of bytes of retained answers.
    pub kept_bytes: usize,
    /// Maximum retention of an answer, in seconds.
    pub kept_s: u64,
    /// Timeout for receiving a request body, in milliseconds.
    pub body_ms: u64,
    /// Maximum number of header bytes that are forwarded.
    pub header_bytes: usize,
    /// Deadline of a request unless the caller sets a shorter one, in seconds.
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

/// Periods and timeouts.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EntryTimes {
    /// Period of peer probes, in milliseconds.
    pub probe_ms: u64,
    /// Period of reads of the endpoint list, in milliseconds.
    pub list_ms: u64,
    /// Time that one watch waits at the object API, in milliseconds.
    pub watch_ms: u64,
    /// Time that a claim waits for others to be written in the same batch, in milliseconds. It adds
    /// to the wait that the store's write rate imposes.
    pub claim_linger_ms: u64,
    /// Maximum number of claim writes a second over all processes.
    pub claim_writes_per_s: u64,
    /// Time that a planned stop gives requests to finish before it moves them, in milliseconds.
    pub drain_ms: u64,
    /// Time between withdrawing readiness and closing the listener, in milliseconds.
    pub unready_ms: u64,
    /// Timeout of one call to the platform, in milliseconds.
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
    /// Name of this instance.
    pub instance: InstanceId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Address on which callers are served.
    pub listen: SocketAddr,
    /// Address on which state, metrics, health and readiness are served.
    pub admin: SocketAddr,
    /// Address on which peers connect.
    pub peer: SocketAddr,
    /// The platform's object API, `http://ip:port`.
    pub platform: CompactString,
    /// The platform's endpoint list, `http://ip:port/path`.
    pub list: CompactString,
    /// Operator keys (ed25519, hex) that are trusted to sign the first bundle.
    pub root_keys: Vec<CompactString>,
    /// Number of root keys that must sign the first bundle.
    #[serde(default = "default_root_quorum")]
    pub root_quorum: usize,
    /// Peers through which to join the cluster.
    #[serde(default)]
    pub peers: Vec<PeerSetting>,
    /// Limits on requests.
    #[serde(default)]
    pub bounds: RequestBounds,
    /// Periods and timeouts.
    #[serde(default)]
    pub times: EntryTimes,
    /// Descriptors that the process may open, those for files included. Callers' connections get a part of them.
    #[serde(default = "default_descriptors")]
    pub descriptors: usize,
    /// Number of claim shards, which must be the same for every process.
    #[serde(default = "default_claim_shards")]
    pub claim_shards: u32,
}

fn default_root_quorum() -> usize {
    1
}

fn default_claim_shards() -> u32 {
    4
}

const KEY_HEX_LENGTH: usize = 64;
const MAX_CLAIM_SHARDS: u32 = 256;
const MIN_BODY_BYTES: usize = 1024;
const MAX_CLAIM_LINGER_MS: u64 = 100;

/// Checks the operator keys in the settings of processes and tools.
///
/// # Errors
/// The field and the rule it breaks.
pub fn check_root_keys(
    keys: &[CompactString],
    quorum: usize,
) -> std::result::Result<(), FieldError> {
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
    fn check(&self) -> std::result::Result<(), FieldError> {
        require(!self.instance.as_str().is_empty(), "instance", "is empty")?;
        require(!self.domain.as_str().is_empty(), "domain", "is empty")?;
        require(self.platform.starts_with("http://"), "platform", "must start with http://")?;
        require(self.list.starts_with("http://"), "list", "must start with http://")?;
        check_root_keys(&self.root_keys, self.root_quorum)?;
        require(
            (1..=MAX_CLAIM_SHARDS).contains(&self.claim_shards),
            "claim_shards",
            "must be from 1 to 256",
        )?;
        check_descriptors(self.descriptors)?;
        let bounds = &self.bounds;
        require(bounds.body_bytes >= MIN_BODY_BYTES, "body_bytes", "must be 1024 or more")?;
        require(
            bounds.held_bytes >= bounds.body_bytes,
            "held_bytes",
            "must be at least body_bytes, or the longest body never fits",
        )?;
        let times = &self.times;
        require(times.probe_ms > 0, "probe_ms", "must be above 0")?;
        require(times.list_ms > 0, "list_ms", "must be above 0")?;
        require(
            times.claim_linger_ms <= MAX_CLAIM_LINGER_MS,
            "claim_linger_ms",
            "must be 100 or less; every non-idempotent request waits for it",
        )?;
        require(times.claim_writes_per_s > 0, "claim_writes_per_s", "must be above 0")?;
        require(times.platform_ms > 0, "platform_ms", "must be above 0")
    }
}

//! Settings of `oleander-fleet`, with their defaults and checks.

use crate::entry::check_root_keys;
use crate::reader::{FieldCheck, FieldError, require};
use compact_str::CompactString;
use oleander_kind::{DomainName, InstanceId};
use serde::Deserialize;
use std::net::SocketAddr;

/// Settings of one fleet process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Address on which state, metrics, health and readiness are served.
    pub admin: SocketAddr,
    /// The platform's object API, `http://ip:port`.
    pub platform: CompactString,
    /// The platform's endpoint list, `http://ip:port/path`.
    pub list: CompactString,
    /// The cloud API, `http://ip:port`.
    pub cloud: CompactString,
    /// Operator keys (ed25519, hex) that are trusted to sign the first bundle.
    pub root_keys: Vec<CompactString>,
    /// Number of root keys that must sign the first bundle.
    #[serde(default = "default_root_quorum")]
    pub root_quorum: usize,
    /// Admin address (`ip:port`) of the entry process next to this one. It provides the bundle and
    /// names the services to stand by for. Without it the process reads both from the store and stands
    /// by for all services.
    #[serde(default)]
    pub entry: Option<SocketAddr>,
    /// Lifetime of a lease, in milliseconds.
    #[serde(default = "default_lease_ms")]
    pub lease_ms: u64,
    /// Period of planning rounds, in milliseconds.
    #[serde(default = "default_round_ms")]
    pub round_ms: u64,
    /// Timeout of one call, in milliseconds.
    #[serde(default = "default_call_ms")]
    pub call_ms: u64,
}

fn default_root_quorum() -> usize {
    1
}

fn default_lease_ms() -> u64 {
    6000
}

fn default_round_ms() -> u64 {
    500
}

fn default_call_ms() -> u64 {
    1000
}

impl FieldCheck for FleetSettings {
    fn check(&self) -> std::result::Result<(), FieldError> {
        require(!self.instance.as_str().is_empty(), "instance", "is empty")?;
        require(self.platform.starts_with("http://"), "platform", "must start with http://")?;
        require(self.list.starts_with("http://"), "list", "must start with http://")?;
        require(self.cloud.starts_with("http://"), "cloud", "must start with http://")?;
        check_root_keys(&self.root_keys, self.root_quorum)?;
        require(self.round_ms > 0, "round_ms", "must be above 0")?;
        require(self.call_ms > 0, "call_ms", "must be above 0")?;
        require(
            self.lease_ms >= 3 * self.call_ms,
            "lease_ms",
            "must be at least three times call_ms, or one slow renewal loses the lease",
        )
    }
}

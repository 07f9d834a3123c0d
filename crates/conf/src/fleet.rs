//! Settings of `oleander-fleet`.

use crate::entry::check_root_keys;
use crate::reader::{FieldCheck, FieldFault, require};
use compact_str::CompactString;
use oleander_kind::{DomainName, InstanceId};
use serde::Deserialize;
use std::net::SocketAddr;

/// Settings of one fleet process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FleetSettings {
    /// This instance's name.
    pub instance: InstanceId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Where state, metrics, health and readiness are served.
    pub admin: SocketAddr,
    /// The platform's object API, `http://ip:port`.
    pub platform: CompactString,
    /// The platform's endpoint list, `http://ip:port/path`.
    pub list: CompactString,
    /// The cloud API, `http://ip:port`.
    pub cloud: CompactString,
    /// The operator keys (ed25519, hex) that a first bundle is trusted by.
    pub root_keys: Vec<CompactString>,
    /// How many root keys must sign the first bundle.
    #[serde(default = "one")]
    pub root_quorum: usize,
    /// The admin address of the entry beside it, `ip:port`: it gives the bundle, and says for which
    /// services to stand by. Without it the process asks the store for both, and stands by for all.
    #[serde(default)]
    pub entry: Option<SocketAddr>,
    /// How long a lease lasts, in milliseconds.
    #[serde(default = "lease_default")]
    pub lease_ms: u64,
    /// Between two rounds of planning, in milliseconds.
    #[serde(default = "round_default")]
    pub round_ms: u64,
    /// The longest wait for one call, in milliseconds.
    #[serde(default = "call_default")]
    pub call_ms: u64,
}

fn one() -> usize {
    1
}

fn lease_default() -> u64 {
    6000
}

fn round_default() -> u64 {
    500
}

fn call_default() -> u64 {
    1000
}

impl FieldCheck for FleetSettings {
    fn check(&self) -> std::result::Result<(), FieldFault> {
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

//! Settings of a front process, with their defaults and checks.

use crate::reader::{FieldCheck, FieldError, require};
use oleander_kind::{DomainName, InstanceId};
use serde::Deserialize;
use std::net::{IpAddr, SocketAddr};

/// Settings of a front process, which serves callers and performs control duties while it holds their lease.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct FrontSettings {
    /// Name of this instance.
    pub instance: InstanceId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Address on which callers are served.
    pub listen: SocketAddr,
    /// Address on which the load balancer checks readiness.
    pub ready: SocketAddr,
    /// Address on which peers connect.
    pub peer: SocketAddr,
    /// Address on which operators read state and metrics.
    pub admin: SocketAddr,
    /// Peers to contact first; any of them may be gone.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address of the platform's cloud; none if endpoints are not scaled and usage is not reported.
    #[serde(default)]
    pub cloud: Option<SocketAddr>,
    /// Address of this instance from which connections to endpoints are opened; none if the system chooses it.
    #[serde(default)]
    pub source: Option<IpAddr>,
    /// Bandwidth of this instance's network link, in megabits a second.
    #[serde(default = "default_link_mbps")]
    pub link_mbps: f64,
    /// CPU quota of this instance, in cores.
    #[serde(default = "default_cores")]
    pub cores: f64,
    /// Memory of this instance, in megabytes. What callers can make the process hold is sized by it.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: f64,
    /// Descriptors that the process may open, those for files included. Callers' connections get a part of them.
    #[serde(default = "default_descriptors")]
    pub descriptors: usize,
    /// Whether a few processes send all requests of a service that has fewer places than there are processes,
    /// while its room is short.
    #[serde(default)]
    pub dispatch: bool,
    /// Timing and rate bounds that the operators set.
    pub bounds: FrontBounds,
}

/// Bandwidth of the users' current entry instances.
fn default_link_mbps() -> f64 {
    1000.0
}

/// CPU quota of the users' current entry instances.
fn default_cores() -> f64 {
    0.25
}

/// Memory of the users' current entry instances.
fn default_memory_mb() -> f64 {
    260.0
}

/// Descriptors of the users' current entry instances.
pub(crate) fn default_descriptors() -> usize {
    4100
}

/// Below this, the process itself and one request of the longest body do not fit side by side.
const MIN_MEMORY_MB: f64 = 32.0;
/// Below this, nothing is left for callers beside files, peers and endpoints.
const MIN_DESCRIPTORS: usize = 256;

/// Timing and rate bounds of a front process. Names of times end in the unit.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct FrontBounds {
    /// Time from a stop signal to the end of the process.
    pub grace_s: f64,
    /// Time within which a leaving endpoint gets its last new request.
    pub drain_ms: u64,
    /// Lifetime of a lease.
    pub lease_ms: u64,
    /// Whether the cloud refuses calls with an old fencing token.
    pub fenced: bool,
    /// Retry budget as a fraction of the requests of a service over all processes.
    pub retry_ratio: f64,
    /// Number of retries allowed beyond `retry_ratio`, over all processes.
    pub retry_slack: u32,
    /// Window over which retries are counted.
    pub retry_window_s: f64,
    /// Fraction by which an account's limit may be exceeded.
    pub limit_over: f64,
    /// Number of tokens by which a limit may be exceeded beyond `limit_over`.
    pub limit_slack: u64,
    /// Window over which limits are counted.
    pub limit_window_s: f64,
    /// Length of a usage window; 0 if usage is not reported.
    pub usage_window_s: f64,
    /// Time after the end of a window within which its usage must be reported.
    pub usage_due_s: f64,
    /// Time after a store outage until endpoints that the store lost are listed again.
    pub relist_ms: u64,
    /// Period of an endpoint's heartbeats to the store.
    pub heartbeat_ms: u64,
    /// Time within which a change of the rules takes effect.
    pub apply_ms: u64,
    /// Maximum fraction of a service's requests that an unproven version may get during a roll-out; 0 without roll-outs.
    pub release_share: f64,
    /// Number of requests that an unproven version may get beyond `release_share`.
    pub release_slack: u32,
}

impl Default for FrontBounds {
    /// Bounds of the users' current deployment.
    fn default() -> Self {
        FrontBounds {
            grace_s: 8.0,
            drain_ms: 2000,
            lease_ms: 3000,
            fenced: false,
            retry_ratio: 0.2,
            retry_slack: 0,
            retry_window_s: 10.0,
            limit_over: 0.0,
            limit_slack: 0,
            limit_window_s: 8.0,
            usage_window_s: 0.0,
            usage_due_s: 10.0,
            relist_ms: 2200,
            heartbeat_ms: 1200,
            apply_ms: 2000,
            release_share: 0.0,
            release_slack: 0,
        }
    }
}

pub(crate) fn check_descriptors(descriptors: usize) -> Result<(), FieldError> {
    require(descriptors >= MIN_DESCRIPTORS, "descriptors", "must be at least 256")
}

impl FieldCheck for FrontSettings {
    fn check(&self) -> Result<(), FieldError> {
        require(!self.instance.as_str().is_empty(), "instance", "must not be empty")?;
        require(!self.domain.as_str().is_empty(), "domain", "must not be empty")?;
        require(self.link_mbps > 0.0, "link_mbps", "must be more than 0")?;
        require(self.cores > 0.0, "cores", "must be more than 0")?;
        require(self.memory_mb >= MIN_MEMORY_MB, "memory_mb", "must be at least 32")?;
        check_descriptors(self.descriptors)?;
        self.bounds.check()
    }
}

impl FrontBounds {
    fn check(&self) -> Result<(), FieldError> {
        const MIN_MS: u64 = 100;
        const MIN_S: f64 = 0.1;
        let long = |ms: u64| ms >= MIN_MS;
        require(self.grace_s >= MIN_S, "grace_s", "must be at least 0.1")?;
        require(long(self.drain_ms), "drain_ms", "must be at least 100")?;
        require(long(self.lease_ms), "lease_ms", "must be at least 100")?;
        require(long(self.heartbeat_ms), "heartbeat_ms", "must be at least 100")?;
        require(long(self.apply_ms), "apply_ms", "must be at least 100")?;
        require(self.retry_window_s >= MIN_S, "retry_window_s", "must be at least 0.1")?;
        require(self.limit_window_s >= MIN_S, "limit_window_s", "must be at least 0.1")?;
        let window = self.usage_window_s;
        let reported = window == 0.0 || window >= MIN_S;
        require(reported, "usage_window_s", "must be 0, or at least 0.1")?;
        require((0.0..=1.0).contains(&self.retry_ratio), "retry_ratio", "must lie in 0 to 1")?;
        require((0.0..=1.0).contains(&self.limit_over), "limit_over", "must lie in 0 to 1")?;
        let share = self.release_share;
        require((0.0..=1.0).contains(&share), "release_share", "must lie in 0 to 1")
    }
}

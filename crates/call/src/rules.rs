//! The configuration set by operators: routes, services, client accounts and bounds.
//!
//! A [`RuleSet`] is immutable; a newer version replaces it as a whole. Keys are small numbers that
//! are valid only for the set that returned them.

use compact_str::CompactString;
use oleander_kind::{AccountName, DomainName, ServiceName, TimeSpan};
use std::collections::HashMap;
use std::rc::Rc;

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatRule {
    /// It may run any number of times.
    Idempotent,
    /// It may resume after the last event that its caller has.
    Resume,
    /// It runs at most once.
    Once,
}

impl RepeatRule {
    /// Whether it may be resent after it may have run.
    pub fn may_run_again(self) -> bool {
        self != RepeatRule::Once
    }
}

/// How an answer is delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerShape {
    /// As a single body.
    Whole,
    /// As a stream of events.
    Events,
}

/// Key of a route within the [`RuleSet`] that returned it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RouteKey(u32);

/// Key of a client account within the [`RuleSet`] that returned it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AccountKey(u32);

/// The configuration of a route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// The name used in logs.
    pub name: CompactString,
    /// The host that the route matches.
    pub host: CompactString,
    /// The path prefix that the route matches.
    pub prefix: CompactString,
    /// How answers are delivered.
    pub shape: AnswerShape,
    /// Whether requests may be repeated.
    pub repeat: RepeatRule,
    /// The maximum time until the whole answer.
    pub timeout: TimeSpan,
    /// The latency objective; for a stream, until its first event.
    pub objective: TimeSpan,
    /// The latency objective for the pause between two events of a stream.
    pub pause: Option<TimeSpan>,
    /// The priority; 0 goes first.
    pub rank: u8,
    /// The services that take the requests, with weights.
    pub services: Vec<(ServiceName, u32)>,
    /// Maximum number of endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Whether requests need no key.
    pub public: bool,
}

impl RouteRule {
    /// Returns the service for a request whose id hashes to `random`.
    pub fn service_for(&self, random: u64) -> Option<&ServiceName> {
        let total: u64 = self.services.iter().map(|(_, weight)| u64::from(*weight)).sum();
        let mut left = random.checked_rem(total)?;
        for (name, weight) in &self.services {
            if left < u64::from(*weight) {
                return Some(name);
            }
            left -= u64::from(*weight);
        }
        None
    }
}

/// The configuration of a service's model engines.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineRule {
    /// Maximum concurrent requests of one engine.
    pub slots: u32,
    /// Capacity of an engine's memory in tokens.
    pub memory_tokens: u64,
    /// Memory of a token in bytes.
    pub token_bytes: u64,
    /// Bandwidth of an engine's link in megabits per second.
    pub link_mbps: f64,
    /// Tokens per event.
    pub event_tokens: u32,
    /// Whether the memory of a running request can be copied to another engine.
    pub moves: bool,
}

/// Autoscaling bounds and prices of a service's endpoints.
#[derive(Clone, Debug, PartialEq)]
pub struct ScaleRule {
    /// The minimum in a failure domain, over both markets.
    pub least: u32,
    /// The maximum in a failure domain, over both markets.
    pub most: u32,
    /// Time from an order to the first request.
    pub boot: TimeSpan,
    /// Price of a reclaimable endpoint as a fraction of the on-demand price; `None` if there are no
    /// reclaimable ones.
    pub reclaimable_price: Option<f64>,
    /// On-demand price per second, by failure domain.
    pub domain_prices: Vec<(DomainName, f64)>,
}

/// The configuration of a service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Its name.
    pub name: ServiceName,
    /// Connections that one endpoint accepts from all callers together.
    pub max_connections: u32,
    /// Path of the request by which an endpoint is asked who it is. It runs nothing.
    pub identity_path: CompactString,
    /// Set if the endpoints are model engines.
    pub engine: Option<EngineRule>,
    /// Set if the system orders the endpoints itself.
    pub scale: Option<ScaleRule>,
}

/// The configuration of a client account.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountRule {
    /// Its name.
    pub name: AccountName,
    /// The API keys of its callers.
    pub keys: Vec<CompactString>,
    /// The priority, which overrides that of the route.
    pub rank: Option<u8>,
    /// Tokens per second; `None` means no limit.
    pub tokens_per_s: Option<u64>,
    /// Tokens beyond the rate that may be used at once.
    pub burst_tokens: u64,
    /// Tokens charged for a request without a token count.
    pub plain_tokens: u64,
}

/// Size limits and timeouts for callers' connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerBounds {
    /// Maximum size of a request head in bytes.
    pub head_bytes: usize,
    /// Maximum size of a request body in bytes.
    pub body_bytes: usize,
    /// Timeout from the first byte of a head to its last.
    pub head_timeout: TimeSpan,
    /// Timeout of an idle connection.
    pub idle_timeout: TimeSpan,
}

impl Default for CallerBounds {
    /// Bounds for the time before any rules are known, in which no request is admitted.
    fn default() -> Self {
        CallerBounds {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: TimeSpan(3000),
            idle_timeout: TimeSpan(15_000),
        }
    }
}

impl CallerBounds {
    /// The larger of each bound.
    pub fn larger(self, other: CallerBounds) -> CallerBounds {
        CallerBounds {
            head_bytes: self.head_bytes.max(other.head_bytes),
            body_bytes: self.body_bytes.max(other.body_bytes),
            head_timeout: self.head_timeout.max(other.head_timeout),
            idle_timeout: self.idle_timeout.max(other.idle_timeout),
        }
    }
}

/// The routes of one host, by their prefixes.
///
/// A host may have thousands of routes, but their prefixes have few lengths.
#[derive(Clone, Debug, Default)]
struct HostRoutes {
    /// The different lengths of the prefixes, longest first.
    lengths: Vec<usize>,
    by_prefix: HashMap<CompactString, RouteKey>,
}

impl HostRoutes {
    /// Adds a route; of two with the same prefix, the first counts.
    fn add(&mut self, prefix: &CompactString, key: RouteKey) {
        let length = prefix.len();
        let shorter = self.lengths.partition_point(|known| *known > length);
        if self.lengths.get(shorter) != Some(&length) {
            self.lengths.insert(shorter, length);
        }
        self.by_prefix.entry(prefix.clone()).or_insert(key);
    }

    fn longest_match(&self, path: &str) -> Option<RouteKey> {
        let prefixes = self.lengths.iter().filter_map(|length| path.get(..*length));
        prefixes.filter_map(|prefix| self.by_prefix.get(prefix)).copied().next()
    }
}

/// One version of the rules.
#[derive(Clone, Debug, Default)]
pub struct RuleSet {
    version: u64,
    bounds: CallerBounds,
    routes: Vec<RouteRule>,
    services: Vec<ServiceRule>,
    accounts: Vec<AccountRule>,
    by_host: HashMap<CompactString, HostRoutes>,
    by_key: HashMap<CompactString, AccountKey>,
}

impl RuleSet {
    /// Creates an empty set of version `version`.
    pub fn new(version: u64, bounds: CallerBounds) -> Self {
        RuleSet { version, bounds, ..RuleSet::default() }
    }

    /// Adds a route.
    pub fn with_route(mut self, route: RouteRule) -> Self {
        let key = RouteKey(self.routes.len() as u32);
        self.by_host.entry(route.host.clone()).or_default().add(&route.prefix, key);
        self.routes.push(route);
        self
    }

    /// Adds a service.
    pub fn with_service(mut self, service: ServiceRule) -> Self {
        self.services.push(service);
        self
    }

    /// Adds a client account.
    pub fn with_account(mut self, account: AccountRule) -> Self {
        let key = AccountKey(self.accounts.len() as u32);
        self.by_key.extend(account.keys.iter().map(|text| (text.clone(), key)));
        self.accounts.push(account);
        self
    }

    /// The version, which increases with each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Returns the limits for callers' connections.
    pub fn bounds(&self) -> CallerBounds {
        self.bounds
    }

    /// Returns the route with the longest matching prefix of `path` at `host`.
    pub fn route_of(&self, host: &str, path: &str) -> Option<RouteKey> {
        self.by_host.get(host)?.longest_match(path)
    }

    /// Returns the client account that owns the API key `text`.
    pub fn account_of(&self, text: &str) -> Option<AccountKey> {
        self.by_key.get(text).copied()
    }

    /// Returns the route with this route key.
    pub fn route(&self, key: RouteKey) -> &RouteRule {
        &self.routes[key.0 as usize]
    }

    /// Returns the client account with this account key.
    pub fn account(&self, key: AccountKey) -> &AccountRule {
        &self.accounts[key.0 as usize]
    }

    /// Returns the service of that name.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceRule> {
        self.services.iter().find(|service| service.name == *name)
    }

    /// Returns all routes.
    pub fn routes(&self) -> &[RouteRule] {
        &self.routes
    }

    /// Returns all services.
    pub fn services(&self) -> &[ServiceRule] {
        &self.services
    }

    /// Returns all client accounts.
    pub fn accounts(&self) -> &[AccountRule] {
        &self.accounts
    }

    /// Whether any client accounts exist, so that requests need a key.
    pub fn has_accounts(&self) -> bool {
        !self.accounts.is_empty()
    }
}

/// Holds the rules in force and never replaces them by an older version.
///
/// Versions reach a process in several ways (its own watch, a peer, a fresh list after an outage),
/// and each may deliver an older one late. Applying that would reopen removed routes and revoked
/// keys, so only a higher version is accepted.
#[derive(Clone, Debug, Default)]
pub struct CurrentRules {
    current: Option<Rc<RuleSet>>,
}

impl CurrentRules {
    /// Returns the rules in force, if any are known.
    pub fn current(&self) -> Option<&Rc<RuleSet>> {
        self.current.as_ref()
    }

    /// Returns the version in force; 0 if none is known.
    pub fn version(&self) -> u64 {
        self.current.as_ref().map_or(0, |rules| rules.version())
    }

    /// Whether rules of `version` would be accepted.
    pub fn wants(&self, version: u64) -> bool {
        self.current.is_none() || version > self.version()
    }

    /// Puts `rules` in force if they are newer; returns whether they were.
    pub fn offer(&mut self, rules: RuleSet) -> bool {
        let newer = self.wants(rules.version());
        if newer {
            self.current = Some(Rc::new(rules));
        }
        newer
    }
}

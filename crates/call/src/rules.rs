//! The rules that operators put in force: routes, services, client accounts and bounds.
//!
//! A set is immutable; a newer version replaces it whole. Keys are small numbers that are valid for
//! the set that gave them.

use compact_str::CompactString;
use oleander_kind::{AccountName, DomainName, ServiceName, TimeSpan};
use std::collections::HashMap;
use std::rc::Rc;

/// What may be repeated of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RepeatRule {
    /// It may run any number of times.
    Idempotent,
    /// It may run again from the last event its caller has.
    Resume,
    /// It runs at most once.
    Once,
}

impl RepeatRule {
    /// Whether it may be sent again after it may have run.
    pub fn may_run_again(self) -> bool {
        self != RepeatRule::Once
    }
}

/// How the answer comes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerShape {
    /// One body.
    Whole,
    /// A stream of events.
    Events,
}

/// A route of the [`RuleSet`] that gave it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RouteKey(u32);

/// A client account of the [`RuleSet`] that gave it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct AccountKey(u32);

/// One route.
#[derive(Clone, Debug, PartialEq)]
pub struct RouteRule {
    /// Its name, for logs.
    pub name: CompactString,
    /// The host it answers for.
    pub host: CompactString,
    /// The beginning of the paths it answers for.
    pub prefix: CompactString,
    /// How its answers come.
    pub shape: AnswerShape,
    /// What may be repeated.
    pub repeat: RepeatRule,
    /// The longest time a caller is kept waiting for the whole answer.
    pub timeout: TimeSpan,
    /// The latency objective: of a stream, until its first event.
    pub objective: TimeSpan,
    /// The longest pause between two events for which a stream is on time.
    pub pause: Option<TimeSpan>,
    /// The rank; 0 goes first.
    pub rank: u8,
    /// Where requests go, with weights.
    pub services: Vec<(ServiceName, u32)>,
    /// How many endpoints one request may be sent to.
    pub max_attempts: u32,
    /// Whether no key is asked for.
    pub public: bool,
}

impl RouteRule {
    /// The service that takes the request whose id hashes to `random`.
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

/// What the operator says of a service's model engines.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineRule {
    /// Requests that one engine runs at once.
    pub slots: u32,
    /// Tokens that fit an engine's memory.
    pub memory_tokens: u64,
    /// Bytes of memory a token takes.
    pub token_bytes: u64,
    /// The speed of an engine's link, in megabits a second.
    pub link_mbps: f64,
    /// Tokens that one event carries.
    pub event_tokens: u32,
    /// Whether a running request's memory can be copied to another engine.
    pub moves: bool,
}

/// How many endpoints of a service may be ordered, and what they cost.
#[derive(Clone, Debug, PartialEq)]
pub struct ScaleRule {
    /// The fewest in a failure domain, of both markets together.
    pub least: u32,
    /// The most in a failure domain, of both markets together.
    pub most: u32,
    /// Time from an order to the first request.
    pub boot: TimeSpan,
    /// Price of a reclaimable endpoint as a fraction of the on-demand price; none if there are no
    /// reclaimable ones.
    pub reclaimable_price: Option<f64>,
    /// Price of a second on demand, by failure domain.
    pub domain_prices: Vec<(DomainName, f64)>,
}

/// One service.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceRule {
    /// Its name.
    pub name: ServiceName,
    /// Connections that one endpoint takes from all callers together.
    pub max_connections: u32,
    /// Present if its endpoints are model engines.
    pub engine: Option<EngineRule>,
    /// Present if the system orders its endpoints.
    pub scale: Option<ScaleRule>,
}

/// One client account.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountRule {
    /// Its name.
    pub name: AccountName,
    /// The keys its callers show.
    pub keys: Vec<CompactString>,
    /// Its rank, which goes before the route's.
    pub rank: Option<u8>,
    /// Tokens a second; none means no limit.
    pub tokens_per_s: Option<u64>,
    /// Tokens beyond the rate that may come at once.
    pub burst_tokens: u64,
    /// Tokens that a request without a token count stands for.
    pub plain_tokens: u64,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CallerBounds {
    /// Bytes of a request's head.
    pub head_bytes: usize,
    /// Bytes of a request's body.
    pub body_bytes: usize,
    /// Time from the first byte of a head to its last.
    pub head_timeout: TimeSpan,
    /// Time a connection may be idle.
    pub idle_timeout: TimeSpan,
}

impl Default for CallerBounds {
    /// Bounds for the time before any rules are known; nothing is let in then.
    fn default() -> Self {
        CallerBounds {
            head_bytes: 16 << 10,
            body_bytes: 4 << 20,
            head_timeout: TimeSpan(3000),
            idle_timeout: TimeSpan(15_000),
        }
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
    by_host: HashMap<CompactString, Vec<RouteKey>>,
    by_key: HashMap<CompactString, AccountKey>,
}

impl RuleSet {
    /// An empty set of version `version`.
    pub fn new(version: u64, bounds: CallerBounds) -> Self {
        RuleSet { version, bounds, ..RuleSet::default() }
    }

    /// Adds a route.
    pub fn with_route(mut self, route: RouteRule) -> Self {
        let key = RouteKey(self.routes.len() as u32);
        let keys = self.by_host.entry(route.host.clone()).or_default();
        keys.push(key);
        let length = |key: &RouteKey| match self.routes.get(key.0 as usize) {
            Some(known) => known.prefix.len(),
            None => route.prefix.len(),
        };
        keys.sort_by_key(|key| std::cmp::Reverse(length(key)));
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

    /// The version; rises with each change.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// What callers may send.
    pub fn bounds(&self) -> CallerBounds {
        self.bounds
    }

    /// The route with the longest prefix of `path` at `host`.
    pub fn route_of(&self, host: &str, path: &str) -> Option<RouteKey> {
        let keys = self.by_host.get(host)?;
        let begins = |key: &&RouteKey| path.starts_with(self.route(**key).prefix.as_str());
        keys.iter().find(begins).copied()
    }

    /// The client account that holds the key `text`.
    pub fn account_of(&self, text: &str) -> Option<AccountKey> {
        self.by_key.get(text).copied()
    }

    /// A route.
    pub fn route(&self, key: RouteKey) -> &RouteRule {
        &self.routes[key.0 as usize]
    }

    /// A client account.
    pub fn account(&self, key: AccountKey) -> &AccountRule {
        &self.accounts[key.0 as usize]
    }

    /// A service by name.
    pub fn service(&self, name: &ServiceName) -> Option<&ServiceRule> {
        self.services.iter().find(|service| service.name == *name)
    }

    /// All routes.
    pub fn routes(&self) -> &[RouteRule] {
        &self.routes
    }

    /// All services.
    pub fn services(&self) -> &[ServiceRule] {
        &self.services
    }

    /// All client accounts.
    pub fn accounts(&self) -> &[AccountRule] {
        &self.accounts
    }

    /// Whether requests need a key.
    pub fn has_accounts(&self) -> bool {
        !self.accounts.is_empty()
    }
}

/// Holds the rules in force and never lets them go back.
///
/// Versions reach a process by several ways (its own watch, a peer, a fresh list after an outage),
/// and any of them may bring an older one late. Putting that in force would open dropped routes and
/// revoked keys again, so only a higher version is let in.
#[derive(Clone, Debug, Default)]
pub struct CurrentRules {
    current: Option<Rc<RuleSet>>,
}

impl CurrentRules {
    /// The rules in force, if any are known.
    pub fn current(&self) -> Option<&Rc<RuleSet>> {
        self.current.as_ref()
    }

    /// The version in force; 0 if none is known.
    pub fn version(&self) -> u64 {
        self.current.as_ref().map_or(0, |rules| rules.version())
    }

    /// Whether rules of `version` would be let in.
    pub fn wants(&self, version: u64) -> bool {
        self.current.is_none() || version > self.version()
    }

    /// Puts `rules` in force if they are newer; says whether they were.
    pub fn offer(&mut self, rules: RuleSet) -> bool {
        let newer = self.wants(rules.version());
        if newer {
            self.current = Some(Rc::new(rules));
        }
        newer
    }
}

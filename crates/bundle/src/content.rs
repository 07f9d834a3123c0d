//! What a bundle says, and the rules it must keep.

use crate::{BundleError, Result};
use compact_str::CompactString;
use oleander_kind::{AccountName, DomainName, ResultCode, ServiceName, VersionName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// The newest bundle format this release reads.
pub const FORMAT: u32 = 1;

/// Who may sign, and how many must.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SignPolicy {
    /// Operators' public keys (ed25519, hex), by operator name.
    pub keys: BTreeMap<CompactString, CompactString>,
    /// How many different operators must sign the next bundle.
    pub quorum: usize,
}

/// A client account.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountEntry {
    /// SHA-256 (hex) of each caller key that is taken. Keys themselves are never written.
    pub key_hashes: Vec<CompactString>,
    /// Requests a second, over all entries.
    pub requests_per_s: u32,
    /// Requests in flight, over all entries.
    pub in_flight: u32,
    /// Tokens a second, asked and generated, over all entries.
    pub tokens_per_s: u32,
}

/// One model version a service answers with.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelEntry {
    /// The version.
    pub version: VersionName,
    /// Its weights' name in the weight store.
    pub weights: CompactString,
    /// Adapters loaded with it.
    #[serde(default)]
    pub adapters: Vec<CompactString>,
}

/// A route of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteEntry {
    /// Path prefix, below the service's own.
    pub path: CompactString,
    /// HTTP method.
    pub method: CompactString,
    /// Whether running a call twice does no harm.
    pub idempotent: bool,
}

/// A service that callers name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// `true` for a model service, `false` for a plain one.
    pub engine: bool,
    /// The model version in service; none for plain services.
    #[serde(default)]
    pub model: Option<ModelEntry>,
    /// How many replicas are wanted.
    pub replicas: u32,
    /// Failure domains it may run in.
    pub domains: Vec<DomainName>,
    /// Machine class.
    pub class: CompactString,
    /// The largest share of replicas on reclaimable instances, in percent.
    pub reclaimable_percent: u32,
    /// Routes of a plain service. Unlisted ones are idempotent only for safe methods.
    #[serde(default)]
    pub routes: Vec<RouteEntry>,
    /// Time to the first token that is aimed at, in milliseconds.
    pub first_token_ms: u32,
}

/// All that a bundle says.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BundleContent {
    /// The format number.
    pub format: u32,
    /// Counts up by one from parent to child.
    pub generation: u64,
    /// The parent's digest in hex; empty for the first.
    pub parent: CompactString,
    /// Who may sign the next bundle.
    pub policy: SignPolicy,
    /// Client accounts.
    pub accounts: BTreeMap<AccountName, AccountEntry>,
    /// Services.
    pub services: BTreeMap<ServiceName, ServiceEntry>,
}

/// A rule that a bundle breaks.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BundleFault {
    /// The field, as a path.
    pub field: String,
    /// What is wrong.
    pub text: String,
}

const HASH_HEX_LENGTH: usize = 64;

fn is_hex_hash(text: &str) -> bool {
    text.len() == HASH_HEX_LENGTH && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

impl BundleContent {
    /// Reads a bundle's content from JSON.
    ///
    /// # Errors
    /// [`ResultCode::BundleMalformed`] with line and column, [`ResultCode::BundleFormat`] for a
    /// newer format.
    pub fn parse(bytes: &[u8]) -> Result<BundleContent> {
        #[derive(Deserialize)]
        struct FormatProbe {
            format: u32,
        }
        let refuse = |fault: serde_json::Error| {
            BundleError::Refused(ResultCode::BundleMalformed, fault.to_string())
        };
        let probe: FormatProbe = serde_json::from_slice(bytes).map_err(refuse)?;
        if probe.format > FORMAT {
            let detail = format!("format {} is above {FORMAT}", probe.format);
            return Err(BundleError::Refused(ResultCode::BundleFormat, detail));
        }
        serde_json::from_slice(bytes).map_err(refuse)
    }

    /// The canonical bytes: field order of the types, maps by key, no white space.
    pub fn canonical(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// The digest of the canonical bytes, in hex.
    pub fn digest(&self) -> CompactString {
        hex::encode(oleander_kind::hash::digest_bytes(&self.canonical())).into()
    }

    /// Every rule it breaks.
    pub fn faults(&self) -> Vec<BundleFault> {
        let mut faults = Vec::new();
        self.check_policy(&mut faults);
        self.check_accounts(&mut faults);
        for (name, service) in &self.services {
            check_service(name, service, &mut faults);
        }
        faults
    }

    /// Fails on the first fault.
    ///
    /// # Errors
    /// [`ResultCode::BundleFault`] naming the field.
    pub fn check(&self) -> Result<()> {
        match self.faults().first() {
            None => Ok(()),
            Some(fault) => {
                let detail = format!("{}: {}", fault.field, fault.text);
                Err(BundleError::Refused(ResultCode::BundleFault, detail))
            }
        }
    }

    fn check_policy(&self, faults: &mut Vec<BundleFault>) {
        let policy = &self.policy;
        if policy.quorum == 0 || policy.quorum > policy.keys.len() {
            fault(faults, "policy.quorum", "must be from 1 to the number of keys");
        }
        for (name, key) in &policy.keys {
            if !is_hex_hash(key) {
                fault(faults, &format!("policy.keys.{name}"), "is not 64 hexadecimal digits");
            }
        }
        let different: BTreeSet<_> = policy.keys.values().collect();
        if different.len() != policy.keys.len() {
            fault(faults, "policy.keys", "two operators have the same key");
        }
    }

    fn check_accounts(&self, faults: &mut Vec<BundleFault>) {
        let mut seen = BTreeSet::new();
        for (name, account) in &self.accounts {
            let at = format!("accounts.{name}");
            if account.key_hashes.iter().any(|hash| !is_hex_hash(hash)) {
                fault(faults, &format!("{at}.key_hashes"), "is not a SHA-256 in hexadecimal");
            }
            if account.key_hashes.iter().any(|hash| !seen.insert(hash)) {
                fault(faults, &format!("{at}.key_hashes"), "a key belongs to two accounts");
            }
            if account.requests_per_s == 0 || account.in_flight == 0 {
                fault(faults, &at, "a limit of 0 would refuse everything");
            }
        }
    }
}

fn check_service(name: &ServiceName, service: &ServiceEntry, faults: &mut Vec<BundleFault>) {
    let at = format!("services.{name}");
    if service.engine != service.model.is_some() {
        fault(faults, &format!("{at}.model"), "is needed for an engine, and only there");
    }
    if service.engine && !service.routes.is_empty() {
        fault(faults, &format!("{at}.routes"), "only plain services have routes");
    }
    if service.domains.is_empty() {
        fault(faults, &format!("{at}.domains"), "names no failure domain");
    }
    if service.replicas == 0 {
        fault(faults, &format!("{at}.replicas"), "must be above 0");
    }
    if service.reclaimable_percent > 100 {
        fault(faults, &format!("{at}.reclaimable_percent"), "must be 100 or less");
    }
    if service.routes.iter().any(|route| !route.path.starts_with('/')) {
        fault(faults, &format!("{at}.routes"), "a path does not start with /");
    }
}

fn fault(faults: &mut Vec<BundleFault>, field: &str, text: &str) {
    faults.push(BundleFault { field: field.to_owned(), text: text.to_owned() });
}

impl ServiceEntry {
    /// Whether a call of `method` on `path` may run twice. The longest listed prefix decides; an
    /// unlisted call may only if its method is safe (RFC 9110, section 9.2.1).
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        let listed = self
            .routes
            .iter()
            .filter(|route| route.method == method && path.starts_with(route.path.as_str()))
            .max_by_key(|route| route.path.len());
        match listed {
            Some(route) => route.idempotent,
            None => matches!(method, "GET" | "HEAD" | "OPTIONS"),
        }
    }
}

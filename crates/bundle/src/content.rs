//! Content of a bundle and its validation rules.

use crate::{BundleError, Result};
use compact_str::CompactString;
use oleander_kind::{AccountName, DomainName, ResultCode, ServiceName, VersionName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Newest bundle format that this release can read.
pub const BUNDLE_FORMAT: u32 = 1;

/// Operators who may sign a bundle, and the number of signatures required.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SignPolicy {
    /// Public keys of operators (ed25519, hex), by operator name.
    pub keys: BTreeMap<CompactString, CompactString>,
    /// Number of different operators who must sign the next bundle.
    pub quorum: usize,
}

/// Client account with its keys and limits.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct AccountEntry {
    /// SHA-256 (hex) of each accepted caller key. Keys themselves are never stored.
    pub key_hashes: Vec<CompactString>,
    /// Limit on requests a second, over all entry processes.
    pub requests_per_s: u32,
    /// Limit on requests in flight, over all entry processes.
    pub in_flight: u32,
    /// Limit on prompt and generated tokens a second, over all entry processes.
    pub tokens_per_s: u32,
}

/// Model version that a service runs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ModelEntry {
    /// Version name.
    pub version: VersionName,
    /// Name of its weights in the weight store.
    pub weights: CompactString,
    /// Adapters that are loaded with it.
    #[serde(default)]
    pub adapters: Vec<CompactString>,
}

/// A route of a plain service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RouteEntry {
    /// Path prefix relative to the path of the service.
    pub path: CompactString,
    /// HTTP method.
    pub method: CompactString,
    /// Whether a call may be executed more than once.
    pub idempotent: bool,
}

/// Service that callers address by name.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceEntry {
    /// `true` for a model service, `false` for a plain one.
    pub engine: bool,
    /// Model version to run; none for plain services.
    #[serde(default)]
    pub model: Option<ModelEntry>,
    /// Wanted number of replicas.
    pub replicas: u32,
    /// Failure domains in which the service may run.
    pub domains: Vec<DomainName>,
    /// Machine class.
    pub class: CompactString,
    /// Maximum percentage of replicas on reclaimable instances.
    pub reclaimable_percent: u32,
    /// Routes of a plain service. Unlisted calls are idempotent only if their method is safe.
    #[serde(default)]
    pub routes: Vec<RouteEntry>,
    /// Target for the time to first token, in milliseconds.
    pub first_token_ms: u32,
}

/// Content of a bundle, which operators sign.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BundleContent {
    /// Format number.
    pub format: u32,
    /// Generation, one higher than that of the parent.
    pub generation: u64,
    /// Digest of the parent in hex; empty for the first bundle.
    pub parent: CompactString,
    /// Who may sign the next bundle.
    pub policy: SignPolicy,
    /// Client accounts.
    pub accounts: BTreeMap<AccountName, AccountEntry>,
    /// Services.
    pub services: BTreeMap<ServiceName, ServiceEntry>,
}

/// Violation of a validation rule by a bundle.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct BundleFault {
    /// Path of the field.
    pub field: String,
    /// Description of the violation.
    pub text: String,
}

const HASH_HEX_LENGTH: usize = 64;

fn is_hex_hash(text: &str) -> bool {
    text.len() == HASH_HEX_LENGTH && text.bytes().all(|byte| byte.is_ascii_hexdigit())
}

impl BundleContent {
    /// Parses the content of a bundle from JSON.
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
        if probe.format > BUNDLE_FORMAT {
            let detail = format!("format {} is above {BUNDLE_FORMAT}", probe.format);
            return Err(BundleError::Refused(ResultCode::BundleFormat, detail));
        }
        serde_json::from_slice(bytes).map_err(refuse)
    }

    /// Returns the canonical bytes: JSON without white space, with fields in declaration order and maps sorted by key.
    pub fn canonical(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Returns the digest of the canonical bytes, in hex.
    pub fn digest(&self) -> CompactString {
        hex::encode(oleander_kind::hash::digest_bytes(&self.canonical())).into()
    }

    /// Returns all violations of the validation rules.
    pub fn faults(&self) -> Vec<BundleFault> {
        let mut faults = Vec::new();
        self.check_policy(&mut faults);
        self.check_accounts(&mut faults);
        for (name, service) in &self.services {
            check_service(name, service, &mut faults);
        }
        faults
    }

    /// Checks the validation rules and stops at the first violation.
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
    /// Returns whether a call of `method` on `path` may be executed more than once. The longest listed
    /// prefix decides; an unlisted call is idempotent only if its method is safe (RFC 9110, section 9.2.1).
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

//! Settings of a load run.

use compact_str::CompactString;
use oleander_conf::FieldCheck;
use oleander_conf::reader::{FieldError, require};
use serde::Deserialize;

/// A reclaim that the run asks the stand-in for.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlannedReclaim {
    /// After the start, in milliseconds.
    pub at_ms: u64,
    /// The failure domain.
    pub domain: CompactString,
    /// Its notice, in milliseconds.
    pub notice_ms: u64,
}

/// Settings of a load run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadSettings {
    /// The entries, as a balancer would have them: `ip:port`.
    pub entries: Vec<CompactString>,
    /// The stand-in, `http://ip:port`; empty to leave out what only it knows.
    #[serde(default)]
    pub standin: CompactString,
    /// The caller's key.
    pub key: CompactString,
    /// The model service.
    pub model: CompactString,
    /// The plain service.
    pub plain: CompactString,
    /// Versions whose answers are right.
    pub versions: Vec<CompactString>,
    /// How long to ask, in milliseconds.
    pub run_ms: u64,
    /// Rewrites a second.
    pub rewrites_per_s: f64,
    /// Tokens of a rewrite.
    pub rewrite_tokens: u32,
    /// Label checks a second.
    pub labels_per_s: f64,
    /// Batch codes a second.
    pub codes_per_s: f64,
    /// Seeds schedule and prompts.
    #[serde(default)]
    pub seed: u64,
    /// Reclaims during the run.
    #[serde(default)]
    pub reclaims: Vec<PlannedReclaim>,
    /// How long the last calls may take after the run, in milliseconds.
    #[serde(default = "settle_default")]
    pub settle_ms: u64,
}

fn settle_default() -> u64 {
    60_000
}

impl FieldCheck for LoadSettings {
    fn check(&self) -> Result<(), FieldError> {
        require(!self.entries.is_empty(), "entries", "names no entry")?;
        require(!self.versions.is_empty(), "versions", "names no version")?;
        require(self.run_ms > 0, "run_ms", "must be above 0")?;
        let rates = [self.rewrites_per_s, self.labels_per_s, self.codes_per_s];
        require(
            rates.iter().all(|rate| (0.0..=10_000.0).contains(rate)),
            "rewrites_per_s",
            "rates must be from 0 to 10000",
        )
    }
}

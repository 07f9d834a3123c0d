//! Decides whether a process applies a bundle that it was offered.

use crate::content::SignPolicy;
use crate::sign::SignedBundle;
use crate::{BundleError, Result};
use oleander_kind::ResultCode;
use std::rc::Rc;

/// Result of offering a valid bundle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    /// The bundle was applied and is now in force.
    Applied,
    /// The bundle was already in force.
    Same,
}

/// Holds the bundle in force and accepts only newer ones.
///
/// A store restored from a backup, a stale read or a lagging peer could return a process to accounts
/// and versions that operators replaced. The generation in force therefore never decreases, and a
/// bundle is applied as a whole or not at all.
#[derive(Debug, Default)]
pub struct BundleGate {
    root: SignPolicy,
    current: Option<Rc<SignedBundle>>,
}

impl BundleGate {
    /// Creates a gate without a bundle, whose first bundle must be signed under `root`.
    pub fn new(root: SignPolicy) -> Self {
        BundleGate { root, current: None }
    }

    /// Returns the bundle in force.
    pub fn current(&self) -> Option<&Rc<SignedBundle>> {
        self.current.as_ref()
    }

    /// Returns the generation in force; 0 if none.
    pub fn generation(&self) -> u64 {
        self.current.as_ref().map_or(0, |bundle| bundle.content.generation)
    }

    /// Validates `bundle`, whatever its source, and applies it if it is newer.
    ///
    /// A process that missed generations cannot verify the chain of policies in between, so it
    /// requires signatures under the policy that it knows. A policy change therefore rotates keys in
    /// two steps, in which old and new keys sign together; see docs/OPERATING.md.
    ///
    /// # Errors
    /// The result code of the refusal. The bundle in force stays.
    pub fn offer(&mut self, bundle: SignedBundle) -> Result<ApplyOutcome> {
        let content = &bundle.content;
        if let Some(current) = &self.current {
            if content.generation == current.content.generation {
                return self.check_same_generation(&bundle);
            }
            if content.generation < current.content.generation {
                let detail = format!(
                    "generation {} is not above {}",
                    content.generation, current.content.generation
                );
                return Err(BundleError::Refused(ResultCode::BundleStale, detail));
            }
        }
        let policy = self.current.as_ref().map_or(&self.root, |current| &current.content.policy);
        content.check()?;
        bundle.check_signed(policy)?;
        self.check_parent(&bundle)?;
        self.current = Some(Rc::new(bundle));
        Ok(ApplyOutcome::Applied)
    }

    fn check_same_generation(&self, bundle: &SignedBundle) -> Result<ApplyOutcome> {
        let same = self.current.as_ref().is_some_and(|held| held.content == bundle.content);
        if same {
            return Ok(ApplyOutcome::Same);
        }
        let detail = format!("another bundle is generation {}", bundle.content.generation);
        Err(BundleError::Refused(ResultCode::BundleConflict, detail))
    }

    fn check_parent(&self, bundle: &SignedBundle) -> Result<()> {
        let Some(current) = &self.current else {
            return Ok(());
        };
        let next = bundle.content.generation == current.content.generation + 1;
        if next && bundle.content.parent != current.content.digest() {
            let detail = "its parent is not the bundle in force".to_owned();
            return Err(BundleError::Refused(ResultCode::BundleConflict, detail));
        }
        Ok(())
    }
}

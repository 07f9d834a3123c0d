//! When a process takes a bundle into force.

use crate::content::SignPolicy;
use crate::sign::SignedBundle;
use crate::{BundleError, Result};
use oleander_kind::ResultCode;
use std::rc::Rc;

/// What became of an offered bundle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ApplyVerdict {
    /// It is in force now.
    Applied,
    /// It is the one in force.
    Same,
}

/// Holds the bundle in force and lets only newer ones in.
///
/// The store may be restored from a backup, a read may be stale, a peer may be behind: each would
/// take a process back to accounts and versions that operators replaced. The generation in force
/// therefore only rises, and a bundle goes in whole or not at all.
#[derive(Debug, Default)]
pub struct BundleGate {
    root: SignPolicy,
    current: Option<Rc<SignedBundle>>,
}

impl BundleGate {
    /// A gate whose first bundle must be signed under `root`.
    pub fn new(root: SignPolicy) -> Self {
        BundleGate { root, current: None }
    }

    /// The bundle in force.
    pub fn current(&self) -> Option<&Rc<SignedBundle>> {
        self.current.as_ref()
    }

    /// The generation in force; 0 if none.
    pub fn generation(&self) -> u64 {
        self.current.as_ref().map_or(0, |bundle| bundle.content.generation)
    }

    /// Offers `bundle`, whoever it came from.
    ///
    /// A process that missed generations cannot check the chain of policies between; it then asks
    /// for sign-off under the policy it knows. A policy change rolls the keys over in two steps
    /// (old and new keys sign together), which docs/OPERATING.md tells operators.
    ///
    /// # Errors
    /// The numbered reason. The bundle in force stays.
    pub fn offer(&mut self, bundle: SignedBundle) -> Result<ApplyVerdict> {
        let content = &bundle.content;
        if let Some(current) = &self.current {
            if content.generation == current.content.generation {
                return self.judge_same(&bundle);
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
        Ok(ApplyVerdict::Applied)
    }

    fn judge_same(&self, bundle: &SignedBundle) -> Result<ApplyVerdict> {
        let same = self.current.as_ref().is_some_and(|held| held.content == bundle.content);
        if same {
            return Ok(ApplyVerdict::Same);
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

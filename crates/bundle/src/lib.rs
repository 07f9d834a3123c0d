//! Signed bundles: the operators' desired state as one versioned value.
//!
//! A bundle consists of canonical bytes with a digest, the digest of its parent, and signatures. This
//! crate holds the rules that keep one sequence of bundles, as pure functions; the edge reads and
//! writes them.

pub mod apply;
pub mod content;
pub mod sign;
pub mod store;

pub use apply::{ApplyOutcome, BundleGate};
pub use content::{
    AccountEntry, BundleContent, BundleFault, ModelEntry, RouteEntry, ServiceEntry, SignPolicy,
};
pub use sign::{BundleSigner, SignedBundle};
pub use store::{BundleHead, HEAD_NAME, SubmitStep, SubmitTask, part_name};

use oleander_kind::ResultCode;
use quick_error::quick_error;

quick_error! {
    /// Why a bundle was refused.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum BundleError {
        /// Refused with a result code and a detail.
        Refused(code: ResultCode, detail: String) {
            display("{}: {}", code, detail)
        }
    }
}

impl BundleError {
    /// Returns the result code.
    pub fn code(&self) -> ResultCode {
        match self {
            BundleError::Refused(code, _) => *code,
        }
    }
}

/// Result of bundle operations.
pub type Result<T> = std::result::Result<T, BundleError>;

//! The signed-off bundle: what operators want, in one versioned value.
//!
//! A bundle is canonical bytes with a digest, its parent's digest, and sign-offs. The rules that
//! keep it one truth are here as pure functions; reading and writing it is the edge's work.

pub mod apply;
pub mod content;
pub mod sign;
pub mod store;

pub use apply::{ApplyVerdict, BundleGate};
pub use content::{
    AccountEntry, BundleContent, BundleFault, ModelEntry, RouteEntry, ServiceEntry, SignPolicy,
};
pub use sign::{SignedBundle, SigningDesk};
pub use store::{BundleHead, HEAD_NAME, SubmitStep, SubmitTask, part_name};

use oleander_kind::ResultCode;
use quick_error::quick_error;

quick_error! {
    /// Why a bundle was refused.
    #[derive(Debug, Clone, PartialEq, Eq)]
    pub enum BundleError {
        /// A numbered reason with its detail.
        Refused(code: ResultCode, detail: String) {
            display("{}: {}", code, detail)
        }
    }
}

impl BundleError {
    /// The result code.
    pub fn code(&self) -> ResultCode {
        match self {
            BundleError::Refused(code, _) => *code,
        }
    }
}

/// The result of bundle operations.
pub type Result<T> = std::result::Result<T, BundleError>;

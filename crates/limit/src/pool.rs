//! A sliding window of tokens per account across all processes, without a call per request.
//!
//! Operators count an account's tokens over sliding windows. A ledger in one process keeps each
//! account's window and grants allotments from it. The other processes admit requests against their
//! allotments, report what they admitted several times a second, and send a claim at once when they
//! run short. Whatever the demand and however stale the reports, no more is admitted than was
//! granted.

mod account;
mod gate;
mod ledger;
mod message;
mod prior;
mod promise;
mod window;

pub use account::WindowStatus;
pub use gate::{GateStatus, PoolGate};
pub use ledger::{PoolLedger, STORED_LIFETIME};
pub use message::{
    ALLOTMENT_LIFETIME, ANSWER_TIMEOUT, AllotmentClaim, AllotmentHolder, ClaimFault, LastLedger,
    PoolAllotment, PoolLimit, ReportedWindow, Result,
};
pub use prior::{KnownWindow, LedgerState, PassedOn, PriorLedger, UnreportedSpending};
pub use promise::PROMISE_LIFETIME;

//! Distributed limits per client account and per endpoint, without a store call per request.
//!
//! [`pool`] limits client accounts at the front processes: a ledger in one process grants
//! allotments of tokens, and no process admits more than it was granted. [`rate`] splits the
//! request rate that a limited endpoint accepts among all processes. [`owner`] and [`share`] limit
//! client accounts at the entry processes of the project's own protocol, which the code calls
//! entries: one entry, chosen by rendezvous hashing, owns an account's limit and grants the other
//! entries shares that expire.

pub mod owner;
pub mod pool;
pub mod rate;
pub mod share;

pub use owner::{DemandReport, LimitOwner, ShareGrant};
pub use pool::{
    ANSWER_TIMEOUT, AllotmentClaim, AllotmentHolder, ClaimFault, GateStatus, KnownWindow,
    LastLedger, LedgerState, PROMISE_LIFETIME, PassedOn, PoolAllotment, PoolGate, PoolLedger,
    PoolLimit, PriorLedger, ReportedWindow, STORED_LIFETIME, UnreportedSpending, WindowStatus,
};
pub use rate::{LimitedEndpoint, RateAllocator, RateBucket, RateKey, own_share};
pub use share::{AccountLimits, LimitGate, LimitVerdict};

//! Limits over all processes, per client account and per endpoint, without a store call per request.
//!
//! [`pool`] serves the front processes: a ledger hands out allotments, and nobody lets in more than it was handed.
//! [`rate`] keeps what endpoints in need take from all processes together.
//! [`owner`] and [`share`] serve the entries of the own interface: one entry, found by rendezvous, owns an account's
//! limit, and the others get shares that expire.

pub mod owner;
pub mod pool;
pub mod rate;
pub mod share;

pub use owner::{DemandReport, LimitOwner, ShareGrant};
pub use pool::{
    ANSWER_TIME, ClaimFault, GateStand, HoldClaim, KnownWindow, LedgerBond, LedgerPast,
    PoolAllotment, PoolGate, PoolLedger, PoolLimit, PoolSpender, STORED_LASTS, TOLD_LASTS,
    ToldWindow, WindowStand,
};
pub use rate::{RateBucket, RateDesk, RateKey, RatedEndpoint, own_part};
pub use share::{AccountLimits, LimitGate, LimitVerdict};

//! Limits per client account over all entries, without a store call per request.
//!
//! One entry, found by rendezvous, owns an account's limit. The others report their demand to it
//! about once a second and get a share that expires. Between reports each entry counts alone.

pub mod owner;
pub mod pool;
pub mod share;

pub use owner::{DemandReport, LimitOwner, ShareGrant};
pub use pool::{
    ANSWER_TIME, ClaimFault, GateStand, HoldClaim, KnownWindow, LedgerBond, LedgerPast,
    PoolAllotment, PoolGate, PoolLedger, PoolLimit, PoolSpender, STORED_LASTS, TOLD_LASTS,
    ToldWindow, WindowStand,
};
pub use share::{AccountLimits, LimitGate, LimitVerdict};

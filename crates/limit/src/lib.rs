//! Limits per client account over all entries, without a store call per request.
//!
//! One entry, found by rendezvous, owns an account's limit. The others report their demand to it
//! about once a second and get a share that expires. Between reports each entry counts alone.

pub mod owner;
pub mod pool;
pub mod share;

pub use owner::{DemandReport, LimitOwner, ShareGrant};
pub use pool::{
    GateStand, LevelNews, PoolGate, PoolLedger, PoolLimit, PoolSpender, SpendCount, SpentSlots,
    WindowStand,
};
pub use share::{AccountLimits, LimitGate, LimitVerdict};

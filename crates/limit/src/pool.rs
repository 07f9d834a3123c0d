//! One window of tokens an account over all processes, without a call per request.
//!
//! Operators count an account's tokens over sliding windows. A ledger at one process keeps each account's window
//! and hands out parts of it; the others let in what they were handed, report several times a second what they let in, and
//! ask when they are short. Whatever the demand and however old the news, no more is let in than was handed out.

mod account;
mod allot;
mod gate;
mod ledger;
mod past;
mod promise;
mod window;

pub use account::WindowStand;
pub use allot::{
    ALLOT_TIME, ANSWER_TIME, ClaimFault, HoldClaim, LedgerBond, PoolAllotment, PoolLimit,
    PoolSpender, Result, ToldWindow,
};
pub use gate::{GateStand, PoolGate};
pub use ledger::{PoolLedger, STORED_LASTS};
pub use past::{KnownWindow, LedgerPast};
pub use promise::TOLD_LASTS;

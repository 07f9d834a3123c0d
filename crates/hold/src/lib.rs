//! What callers make a process hold: connections, requests, and answers that are kept until they are taken.
//!
//! A caller that does not behave sends much, ends nothing and stays. The memory and the descriptors that this takes
//! come from one account, the [`HoldLedger`], which is sized by the machine. When it is full, the ledger says who gives
//! way: not the newest caller, or a crowd that came first would keep all others out, but the one that makes least
//! progress. The ledger decides without a clock or a socket; the [`HoldDesk`] tells the tasks of callers.

pub mod bounds;
pub mod chain;
pub mod desk;
pub mod ledger;

pub use bounds::HoldBounds;
pub use chain::{BodyBuffer, BodyChain, ChainCursor};
pub use desk::{AnswerClaim, CallerHold, HoldDesk};
pub use ledger::{HoldLedger, HoldRoom, HoldVerdict, HolderEviction, HolderKey, HolderPhase};

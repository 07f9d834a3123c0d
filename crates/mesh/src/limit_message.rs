//! What processes tell one another of limits of client accounts.

use oleander_kind::{AccountName, InstanceId};
use oleander_limit::{AllotmentClaim, KnownWindow, LastLedger, PoolAllotment};
use serde::{Deserialize, Serialize};

/// What a process says of its allotment of an account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountClaim {
    /// The account.
    #[serde(rename = "a")]
    pub account: AccountName,
    /// What it says.
    #[serde(rename = "n")]
    pub claim: AllotmentClaim,
}

/// A process that is short asks for room at once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitAsk {
    /// Its instance.
    #[serde(rename = "i")]
    pub id: InstanceId,
    /// Which life of it.
    #[serde(rename = "l")]
    pub life: u64,
    /// The ledger that it went by last.
    #[serde(rename = "b")]
    pub bond: Option<LastLedger>,
    /// The claim.
    #[serde(rename = "c")]
    pub claim: AccountClaim,
}

/// What a ledger that ended in order passes on to the next one.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandedLedger {
    /// How many processes counted there.
    #[serde(rename = "m")]
    pub members: u32,
    /// The windows of the accounts.
    #[serde(rename = "w")]
    pub windows: Vec<HandedWindow>,
}

/// An account's window as it is passed on.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HandedWindow {
    /// The account.
    #[serde(rename = "a")]
    pub account: AccountName,
    /// Its window.
    #[serde(rename = "w")]
    pub window: KnownWindow,
}

/// An account's allotment, for one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountAllotment {
    /// The account.
    #[serde(rename = "a")]
    pub account: AccountName,
    /// Its allotment.
    #[serde(rename = "n")]
    pub allotment: PoolAllotment,
}

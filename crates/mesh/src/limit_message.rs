//! Messages about the limits of client accounts.

use oleander_kind::{AccountName, InstanceId};
use oleander_limit::{AllotmentClaim, KnownWindow, LastLedger, PoolAllotment, UnreportedSpending};
use serde::{Deserialize, Serialize};

/// A process's claim on the limit of an account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountClaim {
    /// The account.
    #[serde(rename = "a")]
    pub account: AccountName,
    /// The claim.
    #[serde(rename = "n")]
    pub claim: AllotmentClaim,
}

/// A request for more of an account's limit, sent at once by a process whose allotment is nearly
/// used up.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LimitRequest {
    /// The instance of the process.
    #[serde(rename = "i")]
    pub id: InstanceId,
    /// Its incarnation.
    #[serde(rename = "l")]
    pub life: u64,
    /// The ledger that last gave it an allotment.
    #[serde(rename = "b")]
    pub bond: Option<LastLedger>,
    /// The claim.
    #[serde(rename = "c")]
    pub claim: AccountClaim,
}

/// The state that a ledger hands over to its successor on an orderly shutdown.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerHandover {
    /// The number of processes that took part in the ledger.
    #[serde(rename = "m")]
    pub members: u32,
    /// The windows of the accounts.
    #[serde(rename = "w")]
    pub windows: Vec<WindowHandover>,
    /// What accounts without a window may have spent before the ledger.
    #[serde(rename = "o", default, skip_serializing_if = "Option::is_none")]
    pub others: Option<UnreportedSpending>,
}

/// An account's window, as handed over.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct WindowHandover {
    /// The account.
    #[serde(rename = "a")]
    pub account: AccountName,
    /// Its window.
    #[serde(rename = "w")]
    pub window: KnownWindow,
}

/// An account's allotment for one process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountAllotment {
    /// The account.
    #[serde(rename = "a")]
    pub account: AccountName,
    /// Its allotment.
    #[serde(rename = "n")]
    pub allotment: PoolAllotment,
}

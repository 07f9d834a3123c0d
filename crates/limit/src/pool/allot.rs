//! What the ledger and the processes that hold allotments tell one another.

use oleander_kind::{InstanceId, TimeSpan};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// How long an allotment is good, by its holder's clock from when it asked, and by the ledger's from when it
/// answered, which is later: two periods of reports and a late answer, so that one lost report ends nothing.
pub const ALLOT_TIME: TimeSpan = TimeSpan(600);
/// How long a holder waits for an answer. An answer that comes later is not taken.
pub const ANSWER_TIME: TimeSpan = TimeSpan(300);

/// An account's limit, in tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolLimit {
    /// Tokens a second over all processes.
    pub rate_per_s: f64,
    /// Tokens that may come at once.
    pub burst: f64,
    /// Tokens by which the limit may be passed in a window.
    pub overshoot: f64,
    /// The window.
    pub window: TimeSpan,
}

/// How much longer than the operators' window spending counts: a request reaches its endpoint up to this much later
/// than it is paid for.
const WINDOW_MARGIN: TimeSpan = TimeSpan(400);
/// The part of the allowed overshoot that the ledger hands out: it makes up for the margin of the window, so
/// that an account at its limit gets all of it.
const HANDED_PART: f64 = 0.25;
/// The part that the processes have for themselves, by equal shares, for what no ledger answers. The rest is for
/// a process that begins anew within a window, and for requests on slow links.
const OWN_PART: f64 = 0.5;

impl PoolLimit {
    /// What is handed out over a window.
    pub fn capacity(&self) -> f64 {
        let seconds = self.window.0 as f64 / 1000.0;
        self.rate_per_s * seconds + self.burst + self.overshoot * HANDED_PART
    }

    /// What one of `processes` may let in over a window without an allotment.
    pub fn own_part(&self, processes: u32) -> f64 {
        self.overshoot * OWN_PART / f64::from(processes.max(1))
    }

    /// For how long spending counts.
    pub fn length(&self) -> TimeSpan {
        self.window + WINDOW_MARGIN
    }
}

/// What a process says of its allotment of an account.
///
/// Counts are whole sums since it began, so that a claim that is lost or comes twice changes nothing. The holder has
/// one claim of an account under way at a time and takes the answer to its last one only: whatever the ledger
/// answered to earlier ones and this one does not name is void.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HoldClaim {
    /// Raised with each claim.
    #[serde(rename = "n")]
    pub number: u64,
    /// Tokens that it let in by allotments.
    #[serde(rename = "t")]
    pub spent: u64,
    /// Up to how many its allotment lets it go; no more than `spent` if it has none.
    #[serde(rename = "h")]
    pub ceiling: u64,
    /// Which ledger the allotment is of.
    #[serde(rename = "f")]
    pub source: u64,
    /// Tokens of a request that waits for room; 0 if none does.
    #[serde(rename = "w")]
    pub needs: u64,
    /// Tokens a second at which it lets the account in.
    #[serde(rename = "v")]
    pub pace: u64,
}

/// The ledger that a process went by last.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LedgerBond {
    /// The ledger.
    #[serde(rename = "f")]
    pub source: u64,
    /// For how much longer it may count the process among its own, in milliseconds.
    #[serde(rename = "l")]
    pub left: TimeSpan,
    /// How long ago the process last let something in by it, in milliseconds; none if it never did.
    #[serde(rename = "s")]
    pub spent_ago: Option<TimeSpan>,
}

quick_error! {
    /// Why a claim gets no answer.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum ClaimFault {
        /// A later claim of the holder was answered.
        Late {
            display("a later claim was answered")
        }
        /// The holder names more than it was handed.
        Impossible {
            display("the claim names more than was handed out")
        }
    }
}

/// The result of a claim.
pub type Result<T> = std::result::Result<T, ClaimFault>;

/// The ledger's answer to a claim.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolAllotment {
    /// The number of the claim.
    #[serde(rename = "n")]
    pub number: u64,
    /// Up to how many tokens since it began the holder may go.
    #[serde(rename = "h")]
    pub ceiling: u64,
    /// Which ledger it is of.
    #[serde(rename = "f")]
    pub source: u64,
    /// In how many milliseconds there will be room for what was needed, if there is none now.
    #[serde(rename = "r")]
    pub retry_ms: Option<u64>,
    /// The account's window, for the next ledger to begin with.
    #[serde(rename = "p")]
    pub window: ToldWindow,
}

/// An account's window as a ledger tells it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ToldWindow {
    /// What was counted in each second, the last second first.
    #[serde(rename = "s")]
    pub seconds: Vec<u32>,
    /// What is handed out and not counted yet, and what the ledger might hand out besides before it tells of that.
    #[serde(rename = "o")]
    pub open: u64,
}

impl ToldWindow {
    /// What was counted.
    pub fn sum(&self) -> u64 {
        self.seconds.iter().map(|tokens| u64::from(*tokens)).sum()
    }
}

/// A process that holds allotments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolSpender {
    /// Its instance.
    pub instance: InstanceId,
    /// Tells two lives of it apart.
    pub life: u64,
}

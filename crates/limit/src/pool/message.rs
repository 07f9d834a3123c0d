//! Messages between the ledger and the processes that hold allotments.

use oleander_kind::{InstanceId, TimeSpan};
use quick_error::quick_error;
use serde::{Deserialize, Serialize};

/// How long an allotment is valid, by its holder's clock from when it sent the claim, and by the
/// ledger's from when it answered, which is later. It covers two report periods and a late answer,
/// so that one lost report expires nothing.
pub const ALLOTMENT_LIFETIME: TimeSpan = TimeSpan(600);
/// How long a holder waits for an answer. A later answer is ignored.
pub const ANSWER_TIMEOUT: TimeSpan = TimeSpan(300);

/// An account's limit, in tokens.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PoolLimit {
    /// Tokens a second across all processes.
    pub rate_per_s: f64,
    /// Tokens that may be spent at once.
    pub burst: f64,
    /// Tokens by which the limit may be exceeded in a window.
    pub overshoot: f64,
    /// The length of the window.
    pub window: TimeSpan,
}

/// The time for which spending counts in addition to the operators' window: a request reaches its
/// endpoint up to this much later than its tokens are counted.
const WINDOW_MARGIN: TimeSpan = TimeSpan(400);
/// The part of the allowed overshoot that the ledger grants: it compensates for the margin of the
/// window, so that an account at its limit can use all of it.
const ALLOTTED_PART: f64 = 0.25;
/// The part of the allowed overshoot that the processes split equally, for requests that no ledger
/// answers. The rest covers processes that restart within a window and requests on slow links.
const UNALLOTTED_PART: f64 = 0.5;

impl PoolLimit {
    /// The tokens that may be granted over a window.
    pub fn capacity(&self) -> f64 {
        let seconds = self.window.0 as f64 / 1000.0;
        self.rate_per_s * seconds + self.burst + self.overshoot * ALLOTTED_PART
    }

    /// The tokens that one of `processes` may admit over a window without an allotment.
    pub fn own_share(&self, processes: u32) -> f64 {
        self.overshoot * UNALLOTTED_PART / f64::from(processes.max(1))
    }

    /// How long spent tokens count against the limit: the window and its margin.
    pub fn length(&self) -> TimeSpan {
        self.window + WINDOW_MARGIN
    }
}

/// A process's report on its allotment of an account, and its request for more.
///
/// Counts are totals since the process began, so that a lost or repeated claim changes nothing. The
/// holder has one claim per account in flight and accepts only the answer to its last one: whatever
/// the ledger granted in answer to earlier claims, and this one does not include, is void.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct AllotmentClaim {
    /// Sequence number, incremented with each claim.
    #[serde(rename = "n")]
    pub number: u64,
    /// Tokens that the process admitted under allotments.
    #[serde(rename = "t")]
    pub spent: u64,
    /// The total that its allotment lets it reach; no more than `spent` if it has none.
    #[serde(rename = "h")]
    pub ceiling: u64,
    /// The ledger that granted the allotment.
    #[serde(rename = "f")]
    pub source: u64,
    /// Tokens of a request that waits for capacity; 0 if none does.
    #[serde(rename = "w")]
    pub needs: u64,
    /// The rate at which it admits the account, in tokens a second.
    #[serde(rename = "v")]
    pub pace: u64,
}

/// The ledger that last answered a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LastLedger {
    /// The ledger's identifier.
    #[serde(rename = "f")]
    pub source: u64,
    /// For how much longer that ledger may count the process as its member, in milliseconds.
    #[serde(rename = "l")]
    pub left: TimeSpan,
    /// How long ago the process last admitted a request under that ledger, in milliseconds; `None`
    /// if it never did.
    #[serde(rename = "s")]
    pub spent_ago: Option<TimeSpan>,
}

quick_error! {
    /// Why a claim is rejected.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum ClaimFault {
        /// A later claim of the holder was already answered.
        Late {
            display("a later claim of the holder was already answered")
        }
        /// The holder claims more than it was granted.
        Impossible {
            display("the claim exceeds what was granted")
        }
    }
}

/// The result of a claim.
pub type Result<T> = std::result::Result<T, ClaimFault>;

/// The ledger's answer to a claim.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct PoolAllotment {
    /// The number of the claim that this answers.
    #[serde(rename = "n")]
    pub number: u64,
    /// The total that the holder may reach, in tokens since it began.
    #[serde(rename = "h")]
    pub ceiling: u64,
    /// The ledger that granted it.
    #[serde(rename = "f")]
    pub source: u64,
    /// The time until the needed tokens are free, in milliseconds, if they are not free now.
    #[serde(rename = "r")]
    pub retry_ms: Option<u64>,
    /// The account's window, from which the next ledger starts.
    #[serde(rename = "p")]
    pub window: ReportedWindow,
}

/// An account's window as a ledger reports it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedWindow {
    /// Tokens counted in each second, the last second first.
    #[serde(rename = "s")]
    pub seconds: Vec<u32>,
    /// Tokens granted and not yet counted, and those that the ledger might grant in addition before
    /// its next report.
    #[serde(rename = "o")]
    pub open: u64,
}

impl ReportedWindow {
    /// The sum of all counted tokens.
    pub fn sum(&self) -> u64 {
        self.seconds.iter().map(|tokens| u64::from(*tokens)).sum()
    }
}

/// A process that holds allotments.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AllotmentHolder {
    /// Its instance name.
    pub instance: InstanceId,
    /// The incarnation of the instance.
    pub life: u64,
}

//! Rate limits of client accounts: charging requests at one process, running the ledger at the collector, and logging
//! both.
//!
//! A ledger at the collector allots tokens of each account's window to the processes, which charge requests to them.

mod diary;
mod keeper;
mod pay;

pub(crate) use diary::dump_limits;
pub use diary::{SpendTracker, log_limits};
pub(crate) use keeper::{
    accept_handover, begin_ledger, begin_ledger_from, end_ledger, log_rejected_claims,
    resume_ledger,
};
pub(crate) use pay::charge_rollout;
pub(crate) use pay::is_full;
pub use pay::{QuotaCharge, charge_quota, charge_retry, refund_quota};

//! Limits of client accounts at one process: what it pays for attempts, the ledger while it collects, and what the log
//! tells of both.

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
pub use pay::{QuotaCharge, charge_quota, charge_retry, refund_quota};

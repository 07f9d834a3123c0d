//! Membership between our own instances: who is there, who is leaving, who may be dead.
//!
//! Each process probes one peer a period and passes on a bounded number of news with each message.
//! The cost of a process therefore does not depend on how many there are.

pub mod rank;
pub mod table;

pub use rank::{owner_of, ranked};
pub use table::{
    MemberAction, MemberRecord, MemberSettings, MemberStage, MemberTable, NewsItem, ProbeMessage,
};

//! Membership of the entry processes: which are alive, leaving, or suspected to have failed.
//!
//! Each process probes one peer per period and includes a bounded amount of gossip in each message.
//! The cost per process therefore does not depend on the number of members.

pub mod rank;
pub mod table;

pub use rank::{owner_of, ranked};
pub use table::{
    GossipItem, MemberAction, MemberRecord, MemberSettings, MemberStage, MemberTable, ProbeMessage,
};

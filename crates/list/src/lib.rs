//! Replicas of the endpoint list and the messages that keep them in sync.
//!
//! [`ListReplica`] is the list of an entry process, refreshed by polling the platform's list;
//! [`RosterReplica`] is the list of a front process, fed by a watch on the store. Both carry the
//! age of their data with it.
//!
//! At 370 nodes and 870 replicas one read of the list is about 200 KB. If every node read it twice
//! a second, that alone would take fifty times a node's control budget. Therefore two relays in
//! each failure domain read the list and forward changes, and probes carry a digest that reveals
//! gaps.

pub mod budget;
mod changes;
pub mod freshness;
pub mod keeper;
pub mod parts;
pub mod roster;
pub mod update;

pub use budget::SendBudget;
pub use freshness::{FreshnessNote, FreshnessStamp, StalenessLimits};
pub use keeper::{ListChange, ListReplica, ListSummary};
pub use parts::{JoinedParts, PartRequest, PartStep, PartsAssembler, RosterPart};
pub use roster::{
    DecodedEntry, DoubtedEndpoint, EntryDecoder, ExpiryTimes, RosterAction, RosterReplica,
    RosterStatus, RosterUpdate, RosterVersion,
};
pub use update::RosterContext;

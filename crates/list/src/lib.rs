//! The endpoint list, read by a few processes and passed on as changes.
//!
//! [`ListKeeper`] is the list of an entry, which a platform's list is polled for; [`RosterBook`]
//! that of a front process, which a store tells of changes. In both, how old news is travels with
//! it.
//!
//! At 370 nodes and 870 replicas one read is some 200 KB. Were each node to read it twice a second,
//! that alone would be fifty times a node's control budget. So two relays in each failure domain
//! read it, pass on what changed, and probes carry a digest by which a gap is noticed.

mod changes;
pub mod keeper;
pub mod parts;
pub mod roster;
pub mod taker;
pub mod vouch;

pub use keeper::{ListChange, ListKeeper, ListMark};
pub use parts::{JoinedParts, PartAsk, PartStep, PartsBook, RosterPart};
pub use roster::{
    DecodedEntry, DoubtNote, EntryDecoder, LapseTimes, RosterAction, RosterBook, RosterStand,
    RosterState, RosterUpdate,
};
pub use taker::RosterNews;
pub use vouch::{AgeLimits, StoreVouch, VouchNote};

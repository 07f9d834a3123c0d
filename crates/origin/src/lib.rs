//! The software version at which a stream began, and who knows it.
//!
//! What endpoints of two software versions write does not fit together, so a stream may go on only at
//! the version that began it. A caller that takes a stream up names the attempt that brought its first
//! event. It may ask any process, also after the one that began the stream has ended. Three sources
//! tell the version:
//!
//! - the record of the process that began the stream ([`OriginBook`]);
//! - copies of that record at a few other processes, chosen by the stream's key ([`choose_holders`]),
//!   which are sent whenever it is not certain that only one version serves;
//! - the fact that one version alone has served for as long as a stream may be taken up again
//!   ([`VersionHistory`]).
//!
//! [`OriginInquiry`] joins them. A stream whose version none of them tells is refused.
//!
//! Everything here is a state machine over values; the connections are elsewhere.

mod book;
mod history;
mod holders;
mod inquiry;
mod key;

pub use book::{MAX_RECORDS, OriginBook, OriginEntry, OriginRecord};
pub use history::VersionHistory;
pub use holders::{ASKED_HOLDERS, COPIES, HolderCandidate, choose_holders};
pub use inquiry::{InquiryStep, OriginAnswer, OriginBasis, OriginInquiry, OwnKnowledge};
pub use key::StreamKey;

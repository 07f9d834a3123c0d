//! Passes large texts between processes in small messages.
//!
//! The operators' rules may take hundreds of kilobytes, and most of their changes concern few of these. A text is cut
//! into pieces at places that its own content determines, so that two versions of it have all pieces in
//! common but those that changed. A process asks for the digests of the pieces, the *plan*, and then for the
//! pieces that it does not have. Nobody needs to know which version another process has, and any process
//! that has a piece may send it.
//!
//! Everything here is computed from values; the messages are sent elsewhere.

mod assembler;
mod cut;
mod pack;
mod pieces;

pub use assembler::TextAssembler;
pub use pack::PackedPiece;
pub use pieces::{PieceDigest, PieceMark, TextPieces};

use oleander_kind::ResultCode;
use quick_error::quick_error;

/// The largest text that is accepted from a peer, in bytes; the store's values have 1 MB.
pub const MAX_TEXT_BYTES: usize = 8 << 20;

quick_error! {
    /// What is wrong with a plan or a piece.
    #[derive(Clone, Copy, Debug, PartialEq, Eq)]
    pub enum BulkError {
        /// The plan has pieces of impossible lengths, or too many.
        BadPlan {
            display("{} BadPlan: the plan of a text is too large, or has impossible pieces", ResultCode::PeerBadText.number())
        }
        /// The piece is not part of the plan.
        Unasked {
            display("{} Unasked: a piece that is not part of the plan", ResultCode::PeerBadText.number())
        }
        /// The piece's content does not match its digest.
        Damaged {
            display("{} Damaged: a piece whose content does not match its digest", ResultCode::PeerBadText.number())
        }
    }
}

/// Results of this crate.
pub type Result<T> = std::result::Result<T, BulkError>;

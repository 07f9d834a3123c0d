//! Compresses pieces. Routes are alike, and a thin link carries a tenth of their bytes sooner than a small processor
//! unpacks them.

use crate::cut::MAX_PIECE_BYTES;
use crate::pieces::PieceDigest;
use bytes::Bytes;
use flate2::Compression;
use flate2::read::{DeflateDecoder, DeflateEncoder};
use serde::{Deserialize, Serialize};
use std::io::Read;

/// A compressed piece, as it is sent.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedPiece {
    /// The digest of the content.
    #[serde(rename = "d")]
    pub digest: PieceDigest,
    /// The content, in the format of RFC 1951.
    #[serde(rename = "b")]
    pub body: Bytes,
}

impl PackedPiece {
    /// About how many bytes the piece takes in a message.
    pub fn bytes(&self) -> usize {
        /// The digest and the lengths.
        const OVERHEAD_BYTES: usize = 26;
        self.body.len() + OVERHEAD_BYTES
    }

    /// The content, unless it is damaged.
    pub(crate) fn unpack(&self) -> Option<Bytes> {
        let mut content = Vec::new();
        // A damaged piece may unpack to any length.
        let mut reading = DeflateDecoder::new(&*self.body).take(MAX_PIECE_BYTES as u64 + 1);
        reading.read_to_end(&mut content).ok()?;
        (PieceDigest::of(&content) == self.digest).then(|| content.into())
    }
}

/// Compresses a piece.
pub(crate) fn pack(digest: PieceDigest, content: &[u8]) -> PackedPiece {
    let mut body = Vec::new();
    // Reading from a slice does not fail.
    let read = DeflateEncoder::new(content, Compression::default()).read_to_end(&mut body);
    debug_assert!(read.is_ok(), "a slice cannot fail");
    PackedPiece { digest, body: body.into() }
}

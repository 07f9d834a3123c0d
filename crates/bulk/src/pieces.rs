//! The pieces of a text that a process has.

use crate::cut::cut_text;
use crate::pack::{PackedPiece, pack};
use bytes::Bytes;
use oleander_kind::hash::digest_bytes;
use serde::{Deserialize, Serialize};
use std::cell::RefCell;
use std::collections::HashMap;
use std::ops::Range;

/// The first half of the SHA-256 of a piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PieceDigest(u128);

impl PieceDigest {
    /// The digest of a piece with this content.
    pub fn of(piece: &[u8]) -> Self {
        let digest = digest_bytes(piece);
        let (half, _) = digest.split_at(size_of::<u128>());
        PieceDigest(half.iter().fold(0, |bits, byte| (bits << 8) | u128::from(*byte)))
    }
}

/// One piece of a plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PieceMark {
    /// The digest of the piece.
    #[serde(rename = "d")]
    pub digest: PieceDigest,
    /// Its length in bytes.
    #[serde(rename = "n")]
    pub length: u32,
}

/// A text and its pieces.
#[derive(Debug)]
pub struct TextPieces {
    text: Bytes,
    plan: Vec<PieceMark>,
    ranges: HashMap<PieceDigest, Range<usize>>,
    /// Pieces that were asked for, in the form in which they are sent.
    packed: RefCell<HashMap<PieceDigest, PackedPiece>>,
}

impl TextPieces {
    /// Cuts a text.
    pub fn of(text: Bytes) -> Self {
        let cuts = cut_text(&text);
        let digests: Vec<_> =
            cuts.iter().map(|range| PieceDigest::of(&text[range.clone()])).collect();
        let mark = |(digest, range): (&PieceDigest, &Range<usize>)| PieceMark {
            digest: *digest,
            length: range.len() as u32,
        };
        let plan = digests.iter().zip(&cuts).map(mark).collect();
        let ranges = digests.into_iter().zip(cuts).collect();
        TextPieces { text, plan, ranges, packed: RefCell::default() }
    }

    /// The pieces in the order of the text.
    pub fn plan(&self) -> &[PieceMark] {
        &self.plan
    }

    /// The content of a piece.
    pub fn piece(&self, digest: PieceDigest) -> Option<Bytes> {
        self.ranges.get(&digest).map(|range| self.text.slice(range.clone()))
    }

    /// A piece in the form in which it is sent. It is packed once, however many ask for it.
    pub fn packed(&self, digest: PieceDigest) -> Option<PackedPiece> {
        let known = self.packed.borrow().get(&digest).cloned();
        known.or_else(|| {
            let packed = pack(digest, &self.piece(digest)?);
            self.packed.borrow_mut().insert(digest, packed.clone());
            Some(packed)
        })
    }
}

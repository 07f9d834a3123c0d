//! Joins a text from pieces of several processes.

use crate::cut::MAX_PIECE_BYTES;
use crate::pack::PackedPiece;
use crate::pieces::{PieceDigest, PieceMark, TextPieces};
use crate::{BulkError, MAX_TEXT_BYTES, Result};
use bytes::{Bytes, BytesMut};
use std::collections::{HashMap, HashSet};

/// A text that is being received.
///
/// Its plan may be replaced while it is: a newer version of the text has most pieces in common with the one
/// before, and those that were received are kept.
#[derive(Clone, Debug, Default)]
pub struct TextAssembler {
    plan: Vec<PieceMark>,
    found: HashMap<PieceDigest, Bytes>,
}

impl TextAssembler {
    /// Sets the plan, and takes the pieces that `own` has. Pieces that are not part of the plan are dropped.
    ///
    /// # Errors
    /// [`BulkError::BadPlan`]; the plan before stays.
    pub fn set_plan(&mut self, plan: Vec<PieceMark>, own: Option<&TextPieces>) -> Result<()> {
        let lengths = plan.iter().map(|mark| mark.length as usize);
        let is_sound = lengths.clone().all(|length| (1..=MAX_PIECE_BYTES).contains(&length));
        if plan.is_empty() || !is_sound || lengths.sum::<usize>() > MAX_TEXT_BYTES {
            return Err(BulkError::BadPlan);
        }
        let wanted: HashSet<PieceDigest> = plan.iter().map(|mark| mark.digest).collect();
        self.found.retain(|digest, _| wanted.contains(digest));
        for digest in wanted {
            if let Some(piece) = own.and_then(|own| own.piece(digest)) {
                self.found.insert(digest, piece);
            }
        }
        self.plan = plan;
        Ok(())
    }

    /// Whether a piece is part of the plan.
    pub fn wants(&self, digest: PieceDigest) -> bool {
        self.plan.iter().any(|mark| mark.digest == digest)
    }

    /// The first pieces that are missing, `most` at most.
    pub fn missing(&self, most: usize) -> Vec<PieceDigest> {
        let mut named = HashSet::new();
        let digests = self.plan.iter().map(|mark| mark.digest);
        let missing = digests.filter(|digest| !self.found.contains_key(digest));
        missing.filter(|digest| named.insert(*digest)).take(most).collect()
    }

    /// Takes a piece of the plan.
    ///
    /// # Errors
    /// [`BulkError::Unasked`] and [`BulkError::Damaged`]; the piece is dropped.
    pub fn take(&mut self, piece: &PackedPiece) -> Result<()> {
        let mark = self.plan.iter().find(|mark| mark.digest == piece.digest);
        let length = mark.ok_or(BulkError::Unasked)?.length as usize;
        let content = piece.unpack().filter(|content| content.len() == length);
        let content = content.ok_or(BulkError::Damaged)?;
        self.found.insert(piece.digest, content);
        Ok(())
    }

    /// The whole text; `None` while pieces are missing.
    pub fn joined(&self) -> Option<Bytes> {
        let pieces: Option<Vec<&Bytes>> =
            self.plan.iter().map(|mark| self.found.get(&mark.digest)).collect();
        let pieces = pieces.filter(|pieces| !pieces.is_empty())?;
        let mut text = BytesMut::with_capacity(pieces.iter().map(|piece| piece.len()).sum());
        pieces.into_iter().for_each(|piece| text.extend_from_slice(piece));
        Some(text.freeze())
    }
}

//! Transfer of the rules in parts.
//!
//! The rules may be larger than a thin link carries in the time for which a process waits for an answer. Reports and
//! digests name their version alone; who lacks it asks for its pieces, of any process that has it.

use crate::rules::RulesBook;
use compact_str::CompactString;
use oleander_bulk::{PackedPiece, PieceDigest, PieceMark, TextAssembler, TextPieces};
use oleander_plat::FeedObject;
use serde::{Deserialize, Serialize};

/// Bytes of pieces in one part, but for a single larger piece: a fiftieth of a second of a link of 10 Mbit/s.
const PART_BYTES: usize = 24 << 10;
/// Most pieces that one request names; about as many as fit into a part.
const MAX_ASKED: usize = 64;

/// A request for a part of the rules.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RulesRequest {
    /// The version in force at the requester: only a later one helps.
    #[serde(rename = "o")]
    pub own: u64,
    /// The version whose plan the requester has; 0 if it has none.
    #[serde(rename = "v")]
    pub planned: u64,
    /// The pieces that it lacks.
    #[serde(rename = "p")]
    pub pieces: Vec<PieceDigest>,
}

/// A part of the rules.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RulesPart {
    /// The version in force at the sender.
    #[serde(rename = "v")]
    pub version: u64,
    /// The name of the object.
    #[serde(rename = "n")]
    pub name: CompactString,
    /// Its revision in the store.
    #[serde(rename = "r")]
    pub revision: u64,
    /// The pieces of the whole text, if the requester has the plan of another version.
    #[serde(rename = "l")]
    pub plan: Option<Vec<PieceMark>>,
    /// Requested pieces that the sender has, as many as fit.
    #[serde(rename = "p")]
    pub pieces: Vec<PackedPiece>,
}

impl RulesPart {
    /// About how many bytes the part takes in a message.
    pub fn bytes(&self) -> usize {
        /// A digest and a length.
        const MARK_BYTES: usize = 26;
        let plan = self.plan.as_ref().map_or(0, |plan| plan.len() * MARK_BYTES);
        plan + self.pieces.iter().map(PackedPiece::bytes).sum::<usize>()
    }
}

impl RulesBook {
    /// Answers a request; `None` if the rules here are not newer than the requester's.
    pub fn part(&self, request: &RulesRequest) -> Option<RulesPart> {
        let version = self.version();
        let text = self.text().filter(|_| version > request.own)?;
        let known = self.pieces()?;
        let plan = (version != request.planned).then(|| known.plan().to_vec());
        let mut left = PART_BYTES;
        let mut pieces = Vec::new();
        for piece in request.pieces.iter().filter_map(|digest| known.packed(*digest)) {
            if !pieces.is_empty() && piece.bytes() > left {
                break;
            }
            left = left.saturating_sub(piece.bytes());
            pieces.push(piece);
        }
        let (name, revision) = (text.name.clone(), text.revision);
        Some(RulesPart { version, name, revision, plan, pieces })
    }
}

/// What follows a part.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RulesStep {
    /// More pieces are missing.
    RequestMore,
    /// The sender had none of the missing pieces: another process is asked.
    AskOther,
    /// The rules are whole.
    Joined(FeedObject),
}

/// Rules that are being received, of the newest version that any asked process has.
#[derive(Clone, Debug, Default)]
pub struct RulesFetch {
    assembler: TextAssembler,
    planned: u64,
    name: CompactString,
    revision: u64,
}

impl RulesFetch {
    /// The version of the plan; 0 without one.
    pub fn version(&self) -> u64 {
        self.planned
    }

    /// The next request of a process that has version `own` in force.
    pub fn request(&self, own: u64) -> RulesRequest {
        RulesRequest { own, planned: self.planned, pieces: self.assembler.missing(MAX_ASKED) }
    }

    /// Takes a part; `own` are the pieces of the rules in force.
    ///
    /// # Errors
    /// What is wrong with the part; the rest of it is left out.
    pub fn take(
        &mut self,
        part: RulesPart,
        own: Option<&TextPieces>,
    ) -> oleander_bulk::Result<RulesStep> {
        let newer = part.plan.filter(|_| part.version > self.planned);
        let is_newer = newer.is_some();
        if let Some(plan) = newer {
            self.assembler.set_plan(plan, own)?;
            (self.planned, self.name, self.revision) = (part.version, part.name, part.revision);
        }
        for piece in &part.pieces {
            // The sender may have been asked by the plan of an older version.
            if !is_newer || self.assembler.wants(piece.digest) {
                self.assembler.take(piece)?;
            }
        }
        if let Some(body) = self.assembler.joined() {
            let (name, revision) = (self.name.clone(), self.revision);
            return Ok(RulesStep::Joined(FeedObject { name, revision, body }));
        }
        let helped = is_newer || !part.pieces.is_empty();
        Ok(if helped { RulesStep::RequestMore } else { RulesStep::AskOther })
    }
}

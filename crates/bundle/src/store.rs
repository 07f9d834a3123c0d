//! Layout of a bundle in the platform's store, and the steps that submit it.

use crate::sign::SignedBundle;
use compact_str::CompactString;
use oleander_kind::ResultCode;
use serde::{Deserialize, Serialize};

/// Name of the object that refers to the newest bundle. It is written last and only by compare-and-set.
pub const HEAD_NAME: &str = "bundle/head";

/// Maximum size of one part, below the platform's limit of one megabyte for a value.
pub const MAX_PART_BYTES: usize = 900_000;

/// Content of the head object.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BundleHead {
    /// Newest generation.
    pub generation: u64,
    /// Digest of its content.
    pub digest: CompactString,
    /// Digest of its stored bytes, which is part of the names of the parts.
    pub stored: CompactString,
    /// Number of parts.
    pub parts: u32,
    /// Digests of the previously accepted bundles, newest first; at most [`MAX_PAST_DIGESTS`].
    #[serde(default)]
    pub past: Vec<CompactString>,
}

/// Maximum number of earlier digests in the head.
pub const MAX_PAST_DIGESTS: usize = 32;

/// Returns the name of part `index` of the stored bytes with digest `stored`.
pub fn part_name(stored: &str, index: u32) -> CompactString {
    format!("bundle/{stored}/{index}").into()
}

impl BundleHead {
    /// Returns the names of the parts, in order.
    pub fn part_names(&self) -> impl Iterator<Item = CompactString> + '_ {
        (0..self.parts).map(|index| part_name(&self.stored, index))
    }
}

/// Step of a submission: the next call to the store, or the final result.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitStep {
    /// Create this part. An existing part has the same bytes, because its name holds their digest.
    PutPart {
        /// Name of the object.
        name: CompactString,
        /// Content of the part.
        bytes: Vec<u8>,
    },
    /// Read the head object and its version.
    ReadHead,
    /// Replace the head if its version is still `version` (none: create it).
    SwapHead {
        /// Version that was read.
        version: Option<u64>,
        /// New head.
        head: BundleHead,
    },
    /// The bundle was accepted.
    Accepted,
    /// Another bundle was accepted first, or the parent is not the head.
    Conflict,
    /// A call to the store failed; no change is known to have been made.
    Failed(ResultCode),
}

/// The store's reply to a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreReply {
    /// The write was made.
    Written,
    /// The head was read, with its version; none if it does not exist.
    Head(Option<(u64, BundleHead)>),
    /// The object had a different version.
    Changed,
    /// The call was refused or was not sent.
    NotDone(ResultCode),
    /// The answer was lost: the write may or may not have been made.
    Unknown,
}

/// Submission of one bundle, as a state machine without I/O.
///
/// If two operators submit concurrently, only one succeeds: the head is replaced only at the version
/// whose digest the bundle names as its parent.
#[derive(Clone, Debug)]
pub struct SubmitTask {
    head: BundleHead,
    parent: CompactString,
    parts: Vec<Vec<u8>>,
    next_part: usize,
    lost_answers: u32,
    state: SubmitState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SubmitState {
    Parts,
    Reading { swapped: bool },
    Swapping,
}

/// Maximum number of lost answers in one submission. One more makes it fail.
const MAX_LOST_ANSWERS: u32 = 20;

impl SubmitTask {
    /// Creates a submission of `bundle`.
    pub fn new(bundle: &SignedBundle) -> Self {
        let bytes = bundle.to_bytes();
        let stored = hex::encode(oleander_kind::hash::digest_bytes(&bytes));
        let parts: Vec<Vec<u8>> = bytes.chunks(MAX_PART_BYTES).map(<[u8]>::to_vec).collect();
        let head = BundleHead {
            generation: bundle.content.generation,
            digest: bundle.content.digest(),
            stored: stored.into(),
            parts: u32::try_from(parts.len()).unwrap_or(u32::MAX),
            past: Vec::new(),
        };
        SubmitTask {
            head,
            parent: bundle.content.parent.clone(),
            parts,
            next_part: 0,
            lost_answers: 0,
            state: SubmitState::Parts,
        }
    }

    /// Returns the first step.
    pub fn begin(&mut self) -> SubmitStep {
        self.put_part_or_read()
    }

    /// Returns the step that follows the store's `reply`.
    pub fn advance(&mut self, reply: StoreReply) -> SubmitStep {
        if reply == StoreReply::Unknown {
            self.lost_answers += 1;
            if self.lost_answers > MAX_LOST_ANSWERS {
                return SubmitStep::Failed(ResultCode::StoreUnknown);
            }
        }
        match self.state {
            SubmitState::Parts => self.after_part(reply),
            SubmitState::Reading { swapped } => self.after_read(reply, swapped),
            SubmitState::Swapping => self.after_swap(reply),
        }
    }

    fn put_part_or_read(&mut self) -> SubmitStep {
        match self.parts.get(self.next_part) {
            Some(bytes) => SubmitStep::PutPart {
                name: part_name(&self.head.stored, self.next_part as u32),
                bytes: bytes.clone(),
            },
            None => {
                self.state = SubmitState::Reading { swapped: false };
                SubmitStep::ReadHead
            }
        }
    }

    fn after_part(&mut self, reply: StoreReply) -> SubmitStep {
        match reply {
            StoreReply::NotDone(code) => return SubmitStep::Failed(code),
            // The name holds the digest of the bytes, so an existing part has the right content.
            StoreReply::Written | StoreReply::Changed => self.next_part += 1,
            StoreReply::Unknown | StoreReply::Head(_) => {}
        }
        self.put_part_or_read()
    }

    fn after_read(&mut self, reply: StoreReply, swapped: bool) -> SubmitStep {
        let found = match reply {
            StoreReply::Head(found) => found,
            StoreReply::NotDone(code) if !swapped => return SubmitStep::Failed(code),
            StoreReply::NotDone(_) => return SubmitStep::Failed(ResultCode::StoreUnknown),
            _ => return SubmitStep::ReadHead,
        };
        // Resolves a lost answer to the swap: if the head is this bundle, the swap succeeded. Another
        // operator may have submitted a successor since; the head then lists this bundle in `past`.
        let ours = |head: &BundleHead| {
            head.digest == self.head.digest || head.past.contains(&self.head.digest)
        };
        if found.as_ref().is_some_and(|(_, head)| ours(head)) {
            return SubmitStep::Accepted;
        }
        let parent = found.as_ref().map_or("", |(_, head)| head.digest.as_str());
        let generation = found.as_ref().map_or(0, |(_, head)| head.generation);
        if parent != self.parent || self.head.generation != generation + 1 {
            return SubmitStep::Conflict;
        }
        self.state = SubmitState::Swapping;
        let version = found.as_ref().map(|(version, _)| *version);
        if let Some((_, before)) = found {
            self.head.past = vec![before.digest];
            self.head.past.extend(before.past.into_iter().take(MAX_PAST_DIGESTS - 1));
        }
        SubmitStep::SwapHead { version, head: self.head.clone() }
    }

    fn after_swap(&mut self, reply: StoreReply) -> SubmitStep {
        match reply {
            StoreReply::Written => SubmitStep::Accepted,
            StoreReply::NotDone(code) => SubmitStep::Failed(code),
            StoreReply::Changed | StoreReply::Unknown | StoreReply::Head(_) => {
                self.state = SubmitState::Reading { swapped: true };
                SubmitStep::ReadHead
            }
        }
    }
}

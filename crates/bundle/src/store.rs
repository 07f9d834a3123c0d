//! How a bundle lies in the platform's store, and the steps that put it there.

use crate::sign::SignedBundle;
use compact_str::CompactString;
use oleander_kind::ResultCode;
use serde::{Deserialize, Serialize};

/// The object that names the newest bundle. It is written last and only by compare-and-set.
pub const HEAD_NAME: &str = "bundle/head";

/// The most bytes of one part, below the platform's limit of a megabyte a value.
pub const PART_BYTES: usize = 900_000;

/// What the head object says.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BundleHead {
    /// The newest generation.
    pub generation: u64,
    /// Its content's digest.
    pub digest: CompactString,
    /// The digest of its stored bytes, under which the parts lie.
    pub stored: CompactString,
    /// How many parts there are.
    pub parts: u32,
    /// Digests of the accepted bundles before it, the newest first; at most [`PAST_KEPT`].
    #[serde(default)]
    pub past: Vec<CompactString>,
}

/// How many earlier digests a head names.
pub const PAST_KEPT: usize = 32;

/// The name of part `index` of the stored bytes with digest `stored`.
pub fn part_name(stored: &str, index: u32) -> CompactString {
    format!("bundle/{stored}/{index}").into()
}

impl BundleHead {
    /// The names of its parts, in order.
    pub fn part_names(&self) -> impl Iterator<Item = CompactString> + '_ {
        (0..self.parts).map(|index| part_name(&self.stored, index))
    }
}

/// One step of a submission: what to ask the store next, or how it ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum SubmitStep {
    /// Create this part; a part that is there already is the same bytes by its name.
    PutPart {
        /// The object's name.
        name: CompactString,
        /// Its bytes.
        bytes: Vec<u8>,
    },
    /// Read the head and its version.
    ReadHead,
    /// Replace the head if its version is still `version` (none: create it).
    SwapHead {
        /// The version read.
        version: Option<u64>,
        /// The new head.
        head: BundleHead,
    },
    /// The bundle is the accepted one.
    Accepted,
    /// Another bundle came first, or the parent is not the head.
    Conflict,
    /// The store could not be asked; nothing is known to have changed.
    Failed(ResultCode),
}

/// What the store said to a step.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoreSaid {
    /// The write was made.
    Written,
    /// The object was read: its version and head, or nothing is there.
    Head(Option<(u64, BundleHead)>),
    /// The object's version was another.
    Changed,
    /// The call was refused, or never reached the store.
    NotDone(ResultCode),
    /// The answer was lost: the write may or may not have been made.
    Unknown,
}

/// Submits one bundle. Two operators who race get one winner: the head is swapped only against the
/// version whose digest the bundle names as its parent.
#[derive(Clone, Debug)]
pub struct SubmitTask {
    head: BundleHead,
    parent: CompactString,
    parts: Vec<Vec<u8>>,
    next_part: usize,
    unknowns: u32,
    state: SubmitState,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SubmitState {
    Parts,
    Reading { swapped: bool },
    Swapping,
}

/// How often one step is asked again after a lost answer.
const MOST_UNKNOWNS: u32 = 20;

impl SubmitTask {
    /// A submission of `bundle`.
    pub fn new(bundle: &SignedBundle) -> Self {
        let bytes = bundle.to_bytes();
        let stored = hex::encode(oleander_kind::hash::digest_bytes(&bytes));
        let parts: Vec<Vec<u8>> = bytes.chunks(PART_BYTES).map(<[u8]>::to_vec).collect();
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
            unknowns: 0,
            state: SubmitState::Parts,
        }
    }

    /// The first step.
    pub fn begin(&mut self) -> SubmitStep {
        self.put_part_or_read()
    }

    /// The step after the store said `said`.
    pub fn advance(&mut self, said: StoreSaid) -> SubmitStep {
        if said == StoreSaid::Unknown {
            self.unknowns += 1;
            if self.unknowns > MOST_UNKNOWNS {
                return SubmitStep::Failed(ResultCode::StoreUnknown);
            }
        }
        match self.state {
            SubmitState::Parts => self.after_part(said),
            SubmitState::Reading { swapped } => self.after_read(said, swapped),
            SubmitState::Swapping => self.after_swap(said),
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

    fn after_part(&mut self, said: StoreSaid) -> SubmitStep {
        match said {
            StoreSaid::NotDone(code) => return SubmitStep::Failed(code),
            // The name is the digest of the bytes, so a part that exists is the right one.
            StoreSaid::Written | StoreSaid::Changed => self.next_part += 1,
            StoreSaid::Unknown | StoreSaid::Head(_) => {}
        }
        self.put_part_or_read()
    }

    fn after_read(&mut self, said: StoreSaid, swapped: bool) -> SubmitStep {
        let found = match said {
            StoreSaid::Head(found) => found,
            StoreSaid::NotDone(code) if !swapped => return SubmitStep::Failed(code),
            StoreSaid::NotDone(_) => return SubmitStep::Failed(ResultCode::StoreUnknown),
            _ => return SubmitStep::ReadHead,
        };
        // A lost answer to the swap is settled here: if the head is ours, the swap was made. By now
        // another operator may have built on it; the head then names ours among those before it.
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
            self.head.past.extend(before.past.into_iter().take(PAST_KEPT - 1));
        }
        SubmitStep::SwapHead { version, head: self.head.clone() }
    }

    fn after_swap(&mut self, said: StoreSaid) -> SubmitStep {
        match said {
            StoreSaid::Written => SubmitStep::Accepted,
            StoreSaid::NotDone(code) => SubmitStep::Failed(code),
            StoreSaid::Changed | StoreSaid::Unknown | StoreSaid::Head(_) => {
                self.state = SubmitState::Reading { swapped: true };
                SubmitStep::ReadHead
            }
        }
    }
}

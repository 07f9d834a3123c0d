//! The processes that keep copies of a record.

use crate::key::StreamKey;
use oleander_kind::hash::rendezvous_weight;
use oleander_kind::{DomainName, InstanceId};

/// Copies of a record at other processes. Several processes may be killed at one moment.
pub const COPIES: usize = 3;
/// Processes that are asked for a record: one more than keep it, as the one that asks or the one that sent it may
/// be among those that come first.
pub const ASKED_HOLDERS: usize = 5;

/// A process that may keep copies.
#[derive(Clone, Copy, Debug)]
pub struct HolderCandidate<'a> {
    /// The process.
    pub id: &'a InstanceId,
    /// Its failure domain.
    pub domain: &'a DomainName,
}

/// Chooses `count` of the candidates for a stream: in the order of rendezvous hashing, but one of each failure
/// domain before a second one of any. All processes choose the same ones from the same candidates, and one that
/// comes or goes changes one choice at most. So the processes that are chosen from all members are among those that
/// any one of them chooses from the others, and a process that is not among these is the one that chose.
pub fn choose_holders<'a>(
    key: StreamKey,
    candidates: impl Iterator<Item = HolderCandidate<'a>>,
    count: usize,
) -> Vec<HolderCandidate<'a>> {
    let mut ranked: Vec<_> = candidates.collect();
    ranked.sort_by_cached_key(|candidate| {
        let weight = rendezvous_weight(key.group(), candidate.id.stable_hash());
        (std::cmp::Reverse(weight), candidate.id.clone())
    });
    let mut chosen: Vec<HolderCandidate<'a>> = Vec::new();
    while chosen.len() < count && !ranked.is_empty() {
        let used = |domain: &DomainName| chosen.iter().filter(|one| one.domain == domain).count();
        let least = ranked.iter().map(|candidate| used(candidate.domain)).min();
        let next = ranked.iter().position(|candidate| Some(used(candidate.domain)) == least);
        chosen.extend(next.map(|at| ranked.remove(at)));
    }
    chosen
}

//! Which prompt parts were sent to which endpoint, and when.

use crate::board::EndpointKey;
use oleander_call::PromptPart;
use oleander_kind::{ClockTime, TimeSpan};
use std::collections::HashMap;

/// How long a part is assumed to stay in an engine's memory after its last use there. Engines evict
/// the least recently used parts first; within this time the memory of today's engines (about
/// 900,000 tokens) receives less new text than it holds.
const PART_RETENTION: TimeSpan = TimeSpan::secs(20);

/// The prompt parts that this process sent to each endpoint.
#[derive(Debug, Default)]
pub struct PrefixRecord {
    parts: HashMap<u64, Vec<(EndpointKey, ClockTime)>>,
}

impl PrefixRecord {
    /// Records that a prompt with `parts` was sent to `endpoint`.
    pub fn note(&mut self, parts: &[PromptPart], endpoint: EndpointKey, now: ClockTime) {
        for part in parts {
            let places = self.parts.entry(part.id).or_default();
            match places.iter_mut().find(|(key, _)| *key == endpoint) {
                Some(place) => place.1 = now,
                None => places.push((endpoint, now)),
            }
        }
    }

    /// The tokens of the leading `parts` that `endpoint` should have cached.
    pub fn held(&self, parts: &[PromptPart], endpoint: EndpointKey, now: ClockTime) -> u64 {
        let is_held = |part: &&PromptPart| self.is_held(part.id, endpoint, now);
        parts.iter().take_while(is_held).map(|part| part.tokens).sum()
    }

    fn is_held(&self, part: u64, endpoint: EndpointKey, now: ClockTime) -> bool {
        let places = self.parts.get(&part).map_or(&[][..], Vec::as_slice);
        places.iter().any(|(key, at)| *key == endpoint && now - *at < PART_RETENTION)
    }

    /// Drops records older than the retention.
    pub fn sweep(&mut self, now: ClockTime) {
        self.parts.retain(|_, places| {
            places.retain(|(_, at)| now - *at < PART_RETENTION);
            !places.is_empty()
        });
    }

    /// The number of known parts.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Whether no part is known.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }
}

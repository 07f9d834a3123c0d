//! Which endpoint was given which prompt part, and when.

use crate::board::EndpointKey;
use oleander_call::PromptPart;
use oleander_kind::{ClockTime, TimeSpan};
use std::collections::HashMap;

/// How long a part is taken to lie in an engine's memory after it was last used there. Parts yield
/// least recently used first; within this time the memory of today's engines (about 900,000 tokens)
/// takes in less new text than it holds.
const PART_KEPT: TimeSpan = TimeSpan::secs(20);

/// What this process sent where.
#[derive(Debug, Default)]
pub struct PrefixRecord {
    parts: HashMap<u64, Vec<(EndpointKey, ClockTime)>>,
}

impl PrefixRecord {
    /// Notes that a prompt with `parts` was sent to `endpoint`.
    pub fn note(&mut self, parts: &[PromptPart], endpoint: EndpointKey, now: ClockTime) {
        for part in parts {
            let places = self.parts.entry(part.id).or_default();
            match places.iter_mut().find(|(key, _)| *key == endpoint) {
                Some(place) => place.1 = now,
                None => places.push((endpoint, now)),
            }
        }
    }

    /// Tokens of the beginning of `parts` that `endpoint` should hold.
    pub fn held(&self, parts: &[PromptPart], endpoint: EndpointKey, now: ClockTime) -> u64 {
        let is_held = |part: &&PromptPart| self.is_held(part.id, endpoint, now);
        parts.iter().take_while(is_held).map(|part| part.tokens).sum()
    }

    fn is_held(&self, part: u64, endpoint: EndpointKey, now: ClockTime) -> bool {
        let places = self.parts.get(&part).map_or(&[][..], Vec::as_slice);
        places.iter().any(|(key, at)| *key == endpoint && now - *at < PART_KEPT)
    }

    /// Forgets what is too old to count.
    pub fn sweep(&mut self, now: ClockTime) {
        self.parts.retain(|_, places| {
            places.retain(|(_, at)| now - *at < PART_KEPT);
            !places.is_empty()
        });
    }

    /// How many parts are known.
    pub fn len(&self) -> usize {
        self.parts.len()
    }

    /// Whether no part is known.
    pub fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }
}

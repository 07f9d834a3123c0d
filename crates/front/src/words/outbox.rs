//! What the collector may not know yet of what endpoints said.

use oleander_place::{EndpointKey, LimitWord};
use std::collections::HashSet;

/// Endpoints of which something is to be told, until a report that told it was answered.
#[derive(Default)]
pub struct WordOutbox {
    untold: HashSet<EndpointKey>,
    on_the_way: Vec<(EndpointKey, Option<LimitWord>)>,
}

impl WordOutbox {
    /// Notes that an endpoint said something.
    pub fn add(&mut self, key: EndpointKey) {
        self.untold.insert(key);
    }

    /// The endpoints that the next report tells of; `word_of` gives what is known of one.
    pub fn next_told(
        &mut self,
        word_of: impl Fn(EndpointKey) -> Option<LimitWord>,
    ) -> Vec<EndpointKey> {
        self.on_the_way = self.untold.iter().map(|key| (*key, word_of(*key))).collect();
        self.on_the_way.iter().map(|(key, _)| *key).collect()
    }

    /// Notes that the last report was answered. What was said since is told by the next one.
    pub fn taken(&mut self, word_of: impl Fn(EndpointKey) -> Option<LimitWord>) {
        for (key, told) in std::mem::take(&mut self.on_the_way) {
            let said = word_of(key);
            if said.map(|word| word.rate) == told.map(|word| word.rate) {
                self.untold.remove(&key);
            }
        }
    }
}

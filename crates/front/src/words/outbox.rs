//! What the collector may not know yet of what endpoints said.

use oleander_kind::RequestRate;
use oleander_place::EndpointKey;
use std::collections::HashSet;

/// What an endpoint said last of what all processes are to know.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SaidState {
    /// Its limit.
    pub limit: Option<RequestRate>,
    /// Whether it leaves.
    pub leaves: bool,
}

/// Endpoints of which something is to be told, until a report that told it was answered.
#[derive(Default)]
pub struct WordOutbox {
    untold: HashSet<EndpointKey>,
    on_the_way: Vec<(EndpointKey, Option<SaidState>)>,
}

impl WordOutbox {
    /// Notes that an endpoint said something.
    pub fn add(&mut self, key: EndpointKey) {
        self.untold.insert(key);
    }

    /// The endpoints that the next report tells of; `said_of` gives what one said.
    pub fn next_told(
        &mut self,
        said_of: impl Fn(EndpointKey) -> Option<SaidState>,
    ) -> Vec<EndpointKey> {
        self.on_the_way = self.untold.iter().map(|key| (*key, said_of(*key))).collect();
        self.on_the_way.iter().map(|(key, _)| *key).collect()
    }

    /// Notes that the last report was answered. What was said since is told by the next one.
    pub fn taken(&mut self, said_of: impl Fn(EndpointKey) -> Option<SaidState>) {
        for (key, told) in std::mem::take(&mut self.on_the_way) {
            if said_of(key) == told {
                self.untold.remove(&key);
            }
        }
    }
}

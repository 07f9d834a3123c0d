//! An index of the prefix blocks that endpoints are believed to have cached.

use oleander_board::EndpointKey;
use std::collections::{HashMap, VecDeque};

/// Maximum number of endpoints indexed for one block.
const MAX_HOLDERS: usize = 3;

#[derive(Clone, Copy)]
struct BlockHolder {
    endpoint: EndpointKey,
    epoch: u32,
}

#[derive(Clone, Copy, Default)]
struct HolderList {
    holders: [Option<BlockHolder>; MAX_HOLDERS],
    next: u8,
    stamp: u64,
}

/// A bounded index of the endpoints to which each prefix block was sent, or that reported it.
///
/// Engines publish cache events late and with gaps. The index is therefore built from the requests
/// that this process sent, and cache events only correct it. After a gap in an endpoint's events,
/// its indexed blocks count half (see `cached_blocks`) until they are seen again.
pub struct PrefixIndex {
    blocks: HashMap<u64, HolderList>,
    order: VecDeque<(u64, u64)>,
    clock: u64,
    limit: usize,
}

impl PrefixIndex {
    /// Creates an index of at most `limit` blocks.
    pub fn new(limit: usize) -> Self {
        PrefixIndex { blocks: HashMap::new(), order: VecDeque::new(), clock: 0, limit }
    }

    /// Returns the number of indexed blocks.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Returns whether the index is empty.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Notes that `endpoint` has cached `block` in its cache epoch `epoch`.
    pub fn note(&mut self, block: u64, endpoint: EndpointKey, epoch: u32) {
        self.clock += 1;
        let list = self.blocks.entry(block).or_default();
        list.stamp = self.clock;
        let holder = BlockHolder { endpoint, epoch };
        let known = list.holders.iter_mut().flatten().find(|known| known.endpoint == endpoint);
        match known {
            Some(known) => *known = holder,
            None => {
                list.holders[usize::from(list.next)] = Some(holder);
                list.next = (list.next + 1) % MAX_HOLDERS as u8;
            }
        }
        self.order.push_back((block, self.clock));
        self.evict_oldest();
    }

    /// Notes that `endpoint` evicted `block`.
    pub fn remove_holder(&mut self, block: u64, endpoint: EndpointKey) {
        let Some(list) = self.blocks.get_mut(&block) else {
            return;
        };
        for holder in &mut list.holders {
            if holder.is_some_and(|holder| holder.endpoint == endpoint) {
                *holder = None;
            }
        }
    }

    /// Returns the endpoints that are believed to have cached `block`.
    pub fn holders(&self, block: u64) -> impl Iterator<Item = EndpointKey> + '_ {
        let list = self.blocks.get(&block);
        list.into_iter().flat_map(|list| list.holders.iter().flatten().map(|held| held.endpoint))
    }

    /// Returns how many leading blocks of `blocks` the endpoint is believed to have cached in its
    /// cache epoch `epoch`. If the last of them was indexed before a gap in the endpoint's events,
    /// they count half.
    pub fn cached_blocks(&self, blocks: &[u64], endpoint: EndpointKey, epoch: u32) -> usize {
        // A cache that holds a block also holds all blocks before it, so binary search finds the length.
        let held = blocks.partition_point(|block| self.holder(*block, endpoint).is_some());
        let Some(last) = held.checked_sub(1) else {
            return 0;
        };
        let is_current =
            self.holder(blocks[last], endpoint).is_some_and(|held| held.epoch == epoch);
        if is_current { held } else { held / 2 }
    }

    fn holder(&self, block: u64, endpoint: EndpointKey) -> Option<BlockHolder> {
        let list = self.blocks.get(&block)?;
        list.holders.iter().flatten().find(|held| held.endpoint == endpoint).copied()
    }

    fn evict_oldest(&mut self) {
        while self.blocks.len() > self.limit {
            let Some((block, stamp)) = self.order.pop_front() else {
                return;
            };
            if self.blocks.get(&block).is_some_and(|list| list.stamp == stamp) {
                self.blocks.remove(&block);
            }
        }
        // Noting a block again leaves its earlier entry in the queue. Remove stale entries at the front.
        while self.order.len() > 2 * self.limit {
            let Some((block, stamp)) = self.order.pop_front() else {
                return;
            };
            if self.blocks.get(&block).is_some_and(|list| list.stamp == stamp) {
                self.order.push_back((block, stamp));
            }
        }
    }
}

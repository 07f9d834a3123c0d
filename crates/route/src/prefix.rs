//! What this process believes the endpoints' prefix caches hold.

use oleander_board::EndpointKey;
use std::collections::{HashMap, VecDeque};

/// Endpoints remembered for one block.
const HOLDERS: usize = 3;

#[derive(Clone, Copy)]
struct BlockHolder {
    endpoint: EndpointKey,
    epoch: u32,
}

#[derive(Clone, Copy, Default)]
struct HolderList {
    holders: [Option<BlockHolder>; HOLDERS],
    next: u8,
    stamp: u64,
}

/// A bounded record of which endpoint was sent, or reported, which prefix block.
///
/// The engines publish cache events late and with gaps. The record is therefore made first from
/// what this process itself sent, and events only correct it. After a gap everything known of that
/// endpoint counts half (see `cached_blocks`), until it is seen again.
pub struct PrefixRecord {
    blocks: HashMap<u64, HolderList>,
    order: VecDeque<(u64, u64)>,
    clock: u64,
    limit: usize,
}

impl PrefixRecord {
    /// A record of at most `limit` blocks.
    pub fn new(limit: usize) -> Self {
        PrefixRecord { blocks: HashMap::new(), order: VecDeque::new(), clock: 0, limit }
    }

    /// How many blocks are remembered.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Notes that `endpoint` has `block`, as known in its cache epoch `epoch`.
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
                list.next = (list.next + 1) % HOLDERS as u8;
            }
        }
        self.order.push_back((block, self.clock));
        self.shrink();
    }

    /// Notes that `endpoint` dropped `block`.
    pub fn drop_block(&mut self, block: u64, endpoint: EndpointKey) {
        let Some(list) = self.blocks.get_mut(&block) else {
            return;
        };
        for holder in &mut list.holders {
            if holder.is_some_and(|holder| holder.endpoint == endpoint) {
                *holder = None;
            }
        }
    }

    /// The endpoints believed to hold `block`.
    pub fn holders(&self, block: u64) -> impl Iterator<Item = EndpointKey> + '_ {
        let list = self.blocks.get(&block);
        list.into_iter().flat_map(|list| list.holders.iter().flatten().map(|held| held.endpoint))
    }

    /// How many leading blocks of `blocks` the endpoint is believed to hold, in its cache epoch
    /// `epoch`. Blocks known only from before a gap in its events count half.
    pub fn cached_blocks(&self, blocks: &[u64], endpoint: EndpointKey, epoch: u32) -> usize {
        // A cache holds a block only with all blocks before it, so the length can be searched for.
        let held = blocks.partition_point(|block| self.holder(*block, endpoint).is_some());
        let Some(last) = held.checked_sub(1) else {
            return 0;
        };
        let sure = self.holder(blocks[last], endpoint).is_some_and(|held| held.epoch == epoch);
        if sure { held } else { held / 2 }
    }

    fn holder(&self, block: u64, endpoint: EndpointKey) -> Option<BlockHolder> {
        let list = self.blocks.get(&block)?;
        list.holders.iter().flatten().find(|held| held.endpoint == endpoint).copied()
    }

    fn shrink(&mut self) {
        while self.blocks.len() > self.limit {
            let Some((block, stamp)) = self.order.pop_front() else {
                return;
            };
            if self.blocks.get(&block).is_some_and(|list| list.stamp == stamp) {
                self.blocks.remove(&block);
            }
        }
        // Blocks noted again leave stale marks behind; drop those in front.
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

//! Keeps the list of one process, as a pure state machine.

use oleander_kind::hash::{HASH_START, mix_bits, stable_hash};
use oleander_kind::{ClockTime, EndpointRecord, EndpointStage, InstanceId, TimeSpan};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A record that reads miss for this long is gone. One read may miss lines, or all of them.
const MISSING_LIMIT: TimeSpan = TimeSpan::secs(5);
/// A record that was gone is believed again only this long after: a relay whose list lags would
/// otherwise bring the dead back.
const BURIED_LIMIT: TimeSpan = TimeSpan::secs(15);
/// A digest that differs from a peer's for this long is a gap, not news on its way.
const GAP_LIMIT: TimeSpan = TimeSpan::secs(3);

/// What changed between two reads.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListChange {
    /// When the list was read (wall clock).
    pub stamp: ClockTime,
    /// Digest of the whole list then.
    #[serde(default)]
    pub digest: u64,
    /// New and changed records.
    pub records: Vec<EndpointRecord>,
    /// Instances that are gone.
    pub gone: Vec<InstanceId>,
}

impl ListChange {
    /// Whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.gone.is_empty()
    }
}

/// What a probe carries of the list.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListMark {
    /// The newest read that this process heard of (wall clock).
    pub stamp: ClockTime,
    /// Digest of its records.
    pub digest: u64,
}

/// The list of one process.
#[derive(Debug, Default)]
pub struct ListKeeper {
    records: BTreeMap<InstanceId, EndpointRecord>,
    missing: BTreeMap<InstanceId, ClockTime>,
    buried: BTreeMap<InstanceId, ClockTime>,
    mark: ListMark,
    differs_since: Option<ClockTime>,
}

fn record_hash(record: &EndpointRecord) -> u64 {
    let mut state = stable_hash(HASH_START, record.instance.as_str().as_bytes());
    state = stable_hash(state, record.address.as_bytes());
    state = stable_hash(state, record.version.as_str().as_bytes());
    state = stable_hash(state, &[record.stage as u8]);
    mix_bits(state)
}

impl ListKeeper {
    /// The records.
    pub fn records(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.records.values()
    }

    /// How many records there are.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// What probes carry.
    pub fn mark(&self) -> ListMark {
        self.mark
    }

    /// Takes a whole list that was read here at wall-clock time `now`, and tells what to pass on.
    pub fn take_read(&mut self, read: Vec<EndpointRecord>, now: ClockTime) -> ListChange {
        let mut change = ListChange { stamp: now, ..ListChange::default() };
        let mut unseen: BTreeMap<InstanceId, ()> =
            self.records.keys().map(|id| (id.clone(), ())).collect();
        for record in read {
            unseen.remove(&record.instance);
            self.missing.remove(&record.instance);
            if self.put(&record, now) {
                change.records.push(record);
            }
        }
        for id in unseen.into_keys() {
            let since = *self.missing.entry(id.clone()).or_insert(now);
            if now - since >= MISSING_LIMIT {
                self.bury(&id, now);
                change.gone.push(id);
            }
        }
        change.digest = self.mark.digest;
        self.mark.stamp = self.mark.stamp.max(now);
        change
    }

    /// Takes a change that a peer passed on. Returns what of it was news, to be passed on again.
    pub fn take_change(&mut self, change: &ListChange) -> ListChange {
        let mut news =
            ListChange { stamp: change.stamp, digest: change.digest, ..ListChange::default() };
        for record in &change.records {
            if self.put(record, change.stamp) {
                news.records.push(record.clone());
            }
        }
        for id in &change.gone {
            if self.records.contains_key(id) {
                self.bury(id, change.stamp);
                news.gone.push(id.clone());
            }
        }
        // Only a list that is whole as of a read is as new as it. One that missed an earlier change
        // would pass for the newest; who took it whole dropped what it lacks for `BURIED_LIMIT`.
        if self.mark.digest == change.digest {
            self.mark.stamp = self.mark.stamp.max(change.stamp);
        }
        news
    }

    /// Takes a peer's whole list, after a gap.
    pub fn take_whole(&mut self, whole: Vec<EndpointRecord>, stamp: ClockTime) -> ListChange {
        let listed: Vec<InstanceId> = whole.iter().map(|record| record.instance.clone()).collect();
        let gone = self.records.keys().filter(|id| !listed.contains(id)).cloned().collect();
        let digest = whole.iter().fold(0, |digest, record| digest ^ record_hash(record));
        self.differs_since = None;
        self.take_change(&ListChange { stamp, digest, records: whole, gone })
    }

    /// Compares a peer's mark with ours. Returns whether to ask the peer for its whole list: its
    /// read is the newer one and the digests have differed for a while.
    pub fn compare(&mut self, peer: ListMark, now: ClockTime) -> bool {
        if peer.digest == self.mark.digest {
            self.mark.stamp = self.mark.stamp.max(peer.stamp);
            self.differs_since = None;
            return false;
        }
        if peer.stamp <= self.mark.stamp {
            return false;
        }
        let since = *self.differs_since.get_or_insert(now);
        now - since >= GAP_LIMIT
    }

    fn put(&mut self, record: &EndpointRecord, stamp: ClockTime) -> bool {
        if record.stage == EndpointStage::Gone {
            return false;
        }
        let buried = self.buried.get(&record.instance);
        if buried.is_some_and(|at| stamp - *at < BURIED_LIMIT) {
            return false;
        }
        if let Some(known) = self.records.get(&record.instance) {
            // An instance never goes back to an earlier stage; a list that says so is older.
            if record_hash(known) == record_hash(record) || stage_rank(known) > stage_rank(record) {
                return false;
            }
        }
        self.buried.remove(&record.instance);
        if let Some(known) = self.records.insert(record.instance.clone(), record.clone()) {
            self.mark.digest ^= record_hash(&known);
        }
        self.mark.digest ^= record_hash(record);
        true
    }

    fn bury(&mut self, id: &InstanceId, at: ClockTime) {
        self.missing.remove(id);
        if let Some(known) = self.records.remove(id) {
            self.mark.digest ^= record_hash(&known);
            self.buried.retain(|_, buried| at - *buried < TimeSpan(4 * BURIED_LIMIT.0));
            self.buried.insert(id.clone(), at);
        }
    }
}

fn stage_rank(record: &EndpointRecord) -> u8 {
    match record.stage {
        EndpointStage::Starting => 0,
        EndpointStage::Live => 1,
        EndpointStage::Leaving => 2,
        EndpointStage::Gone => 3,
    }
}

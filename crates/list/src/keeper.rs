//! The endpoint list of an entry process, as a pure state machine: it is read from the platform by
//! a few processes, which forward the changes to the others.

use oleander_kind::hash::{HASH_SEED, mix_bits, stable_hash};
use oleander_kind::{ClockTime, EndpointRecord, EndpointStage, InstanceId, TimeSpan};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A record that is missing from reads for this long is removed. A single read may lack some
/// records, or all of them.
const MISSING_TIMEOUT: TimeSpan = TimeSpan::secs(5);
/// A removed record is not accepted again for this long: a relay with a lagging list would
/// otherwise bring it back.
const TOMBSTONE_LIFETIME: TimeSpan = TimeSpan::secs(15);
/// A digest that differs from a peer's for this long indicates a lost change; a shorter difference
/// is a change still in transit.
const MISMATCH_TIMEOUT: TimeSpan = TimeSpan::secs(3);

/// The difference between two reads of the list.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListChange {
    /// When the list was read (wall clock).
    pub stamp: ClockTime,
    /// Digest of the whole list at that time.
    #[serde(default)]
    pub digest: u64,
    /// New and changed records.
    pub records: Vec<EndpointRecord>,
    /// Instances that were removed.
    pub gone: Vec<InstanceId>,
}

impl ListChange {
    /// Whether nothing changed.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty() && self.gone.is_empty()
    }
}

/// Summary of a list, carried by probes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListSummary {
    /// The time of the newest read that this process knows of (wall clock).
    pub stamp: ClockTime,
    /// Digest of its records.
    pub digest: u64,
}

/// An entry process's replica of the endpoint list.
#[derive(Debug, Default)]
pub struct ListReplica {
    records: BTreeMap<InstanceId, EndpointRecord>,
    missing: BTreeMap<InstanceId, ClockTime>,
    tombstones: BTreeMap<InstanceId, ClockTime>,
    mark: ListSummary,
    mismatch_since: Option<ClockTime>,
}

fn record_hash(record: &EndpointRecord) -> u64 {
    let mut state = stable_hash(HASH_SEED, record.instance.as_str().as_bytes());
    state = stable_hash(state, record.address.as_bytes());
    state = stable_hash(state, record.version.as_str().as_bytes());
    state = stable_hash(state, &[record.stage as u8]);
    mix_bits(state)
}

impl ListReplica {
    /// The records of the list.
    pub fn records(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.records.values()
    }

    /// The number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether the list has no records.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// The summary of the list, which probes carry.
    pub fn mark(&self) -> ListSummary {
        self.mark
    }

    /// Applies a whole list that this process read at wall-clock time `now`; returns the change to
    /// forward to peers.
    pub fn apply_read(&mut self, read: Vec<EndpointRecord>, now: ClockTime) -> ListChange {
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
            if now - since >= MISSING_TIMEOUT {
                self.remove_record(&id, now);
                change.gone.push(id);
            }
        }
        change.digest = self.mark.digest;
        self.mark.stamp = self.mark.stamp.max(now);
        change
    }

    /// Applies a change from a peer; returns the part that was new here and has to be forwarded.
    pub fn apply_change(&mut self, change: &ListChange) -> ListChange {
        let mut new_changes =
            ListChange { stamp: change.stamp, digest: change.digest, ..ListChange::default() };
        for record in &change.records {
            if self.put(record, change.stamp) {
                new_changes.records.push(record.clone());
            }
        }
        for id in &change.gone {
            if self.records.contains_key(id) {
                self.remove_record(id, change.stamp);
                new_changes.gone.push(id.clone());
            }
        }
        // Only a list that is complete as of a read is as new as that read. A list that missed an
        // earlier change would otherwise count as the newest, and a peer that copied it would
        // reject the missing entries for `TOMBSTONE_LIFETIME`.
        if self.mark.digest == change.digest {
            self.mark.stamp = self.mark.stamp.max(change.stamp);
        }
        new_changes
    }

    /// Applies a peer's whole list after a gap was detected.
    pub fn apply_snapshot(&mut self, whole: Vec<EndpointRecord>, stamp: ClockTime) -> ListChange {
        let listed: Vec<InstanceId> = whole.iter().map(|record| record.instance.clone()).collect();
        let gone = self.records.keys().filter(|id| !listed.contains(id)).cloned().collect();
        let digest = whole.iter().fold(0, |digest, record| digest ^ record_hash(record));
        self.mismatch_since = None;
        self.apply_change(&ListChange { stamp, digest, records: whole, gone })
    }

    /// Compares a peer's summary with this list's. Returns whether to request the peer's whole
    /// list: its read is newer and the digests have differed for a while.
    pub fn compare(&mut self, peer: ListSummary, now: ClockTime) -> bool {
        if peer.digest == self.mark.digest {
            self.mark.stamp = self.mark.stamp.max(peer.stamp);
            self.mismatch_since = None;
            return false;
        }
        if peer.stamp <= self.mark.stamp {
            return false;
        }
        let since = *self.mismatch_since.get_or_insert(now);
        now - since >= MISMATCH_TIMEOUT
    }

    fn put(&mut self, record: &EndpointRecord, stamp: ClockTime) -> bool {
        if record.stage == EndpointStage::Gone {
            return false;
        }
        let tombstone = self.tombstones.get(&record.instance);
        if tombstone.is_some_and(|at| stamp - *at < TOMBSTONE_LIFETIME) {
            return false;
        }
        if let Some(known) = self.records.get(&record.instance) {
            // An instance never returns to an earlier stage, so a list that says so is older.
            if record_hash(known) == record_hash(record) || stage_rank(known) > stage_rank(record) {
                return false;
            }
        }
        self.tombstones.remove(&record.instance);
        if let Some(known) = self.records.insert(record.instance.clone(), record.clone()) {
            self.mark.digest ^= record_hash(&known);
        }
        self.mark.digest ^= record_hash(record);
        true
    }

    fn remove_record(&mut self, id: &InstanceId, at: ClockTime) {
        self.missing.remove(id);
        if let Some(known) = self.records.remove(id) {
            self.mark.digest ^= record_hash(&known);
            self.tombstones
                .retain(|_, removed_at| at - *removed_at < TimeSpan(4 * TOMBSTONE_LIFETIME.0));
            self.tombstones.insert(id.clone(), at);
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

//! Records of the versions at which streams began.

use crate::key::StreamKey;
use compact_str::CompactString;
use oleander_kind::{ClockTime, ServiceName, TimeSpan};
use serde::{Deserialize, Serialize};
use std::collections::{HashMap, HashSet};

/// Most records that a process keeps. A process begins tens of streams a second, and each record lasts for some
/// tens of seconds.
pub const MAX_RECORDS: usize = 50_000;

/// A record as it is sent to another process.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OriginEntry {
    /// The stream.
    #[serde(rename = "k")]
    pub key: StreamKey,
    /// The version that began it; `None` if two are known.
    #[serde(rename = "v")]
    pub version: Option<CompactString>,
    /// How much longer it may be taken up.
    #[serde(rename = "t")]
    pub left: TimeSpan,
}

/// What is known of the beginning of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OriginRecord {
    /// The version that began it; `None` if two were told, so that neither can be trusted.
    pub version: Option<CompactString>,
    /// Until when it may be taken up.
    pub until: ClockTime,
    /// The service, if this process delivered events of the stream.
    service: Option<ServiceName>,
}

/// The records of one process: of the streams that it delivered, and copies for other processes.
#[derive(Debug, Default)]
pub struct OriginBook {
    records: HashMap<StreamKey, OriginRecord>,
    rejected: u64,
    changes: u64,
}

impl OriginBook {
    /// Records that this process delivers a stream of `service` that began at `version`.
    pub fn note_own(
        &mut self,
        key: StreamKey,
        (service, version): (&ServiceName, &CompactString),
        (now, span): (ClockTime, TimeSpan),
    ) -> OriginEntry {
        let entry = OriginEntry { key, version: Some(version.clone()), left: span };
        self.merge(&entry, now);
        if let Some(record) = self.records.get_mut(&key) {
            record.service = Some(service.clone());
            return OriginEntry { version: record.version.clone(), ..entry };
        }
        entry
    }

    /// Adds a record of another process. Two versions for one stream contradict each other; then neither counts.
    pub fn merge(&mut self, entry: &OriginEntry, now: ClockTime) {
        let until = now + entry.left;
        if let Some(known) = self.records.get_mut(&entry.key).filter(|known| known.until > now) {
            if known.version != entry.version && known.version.is_some() {
                known.version = None;
                self.changes += 1;
            }
            known.until = known.until.max(until);
            return;
        }
        if self.records.len() >= MAX_RECORDS {
            self.sweep(now);
        }
        if self.records.len() >= MAX_RECORDS {
            self.rejected += 1;
            return;
        }
        let record = OriginRecord { version: entry.version.clone(), until, service: None };
        self.records.insert(entry.key, record);
        self.changes += 1;
    }

    /// The record of a stream that may still be taken up.
    pub fn get(&self, key: StreamKey, now: ClockTime) -> Option<&OriginRecord> {
        self.records.get(&key).filter(|record| record.until > now)
    }

    /// The records of streams of `service` that this process delivered, to be sent to others.
    pub fn own_of(&self, service: &ServiceName, now: ClockTime) -> Vec<OriginEntry> {
        self.entries(now, |record| record.service.as_ref() == Some(service))
    }

    /// All records, to be sent to others before this process ends.
    pub fn all(&self, now: ClockTime) -> Vec<OriginEntry> {
        self.entries(now, |_| true)
    }

    /// The records that must outlast this process: those of the streams that it delivered of `services`, and the copies
    /// for other processes. At most `most`, those that may be taken up longest.
    pub fn lasting(
        &self,
        services: &HashSet<ServiceName>,
        most: usize,
        now: ClockTime,
    ) -> Vec<OriginEntry> {
        let is_wanted = |record: &OriginRecord| {
            record.service.as_ref().is_none_or(|service| services.contains(service))
        };
        let mut entries = self.entries(now, is_wanted);
        entries.sort_unstable_by_key(|entry| std::cmp::Reverse(entry.left));
        entries.truncate(most);
        entries
    }

    /// Number of changes so far: records that were added, and those of which a second version was told.
    pub fn changes(&self) -> u64 {
        self.changes
    }

    fn entries(
        &self,
        now: ClockTime,
        is_wanted: impl Fn(&OriginRecord) -> bool,
    ) -> Vec<OriginEntry> {
        let live = self.records.iter().filter(|(_, record)| record.until > now);
        let entry = |(key, record): (&StreamKey, &OriginRecord)| OriginEntry {
            key: *key,
            version: record.version.clone(),
            left: record.until - now,
        };
        live.filter(|(_, record)| is_wanted(record)).map(entry).collect()
    }

    /// Drops the records of streams that cannot be taken up any more.
    pub fn sweep(&mut self, now: ClockTime) {
        self.records.retain(|_, record| record.until > now);
    }

    /// Number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Number of records that were not kept because there were too many.
    pub fn rejected(&self) -> u64 {
        self.rejected
    }
}

//! The object API as a pure model: versions, conditional updates, call counting, a rate limit.

use bytes::Bytes;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Faults of the object API.
#[derive(Clone, Copy, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ObjectFaults {
    /// Refuses every call.
    pub down: bool,
    /// Waits this long before each answer, in milliseconds.
    pub slow_ms: u64,
    /// The next so many writes take effect and lose their answers.
    pub lose_answers: u32,
    /// Reads show the value before the newest write.
    pub stale: bool,
}

/// Calls counted by kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CallCounts {
    /// Reads.
    pub reads: u64,
    /// Writes and removals that were tried.
    pub writes: u64,
    /// Watches.
    pub watches: u64,
    /// Calls over the rate.
    pub over_rate: u64,
    /// Writes whose guard failed.
    pub conflicts: u64,
}

/// Limits of the object API.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ObjectLimits {
    /// Writes a second.
    pub writes_per_s: u64,
    /// Reads and watches a second.
    pub reads_per_s: u64,
    /// The largest value, in bytes.
    pub value_bytes: usize,
}

impl Default for ObjectLimits {
    fn default() -> Self {
        ObjectLimits { writes_per_s: 300, reads_per_s: 2000, value_bytes: 1 << 20 }
    }
}

/// Why a call was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ObjectRefusal {
    /// The guard did not hold.
    Conflict,
    /// The value is too large.
    TooLarge,
    /// The rate is used up.
    Busy,
    /// The API is down.
    Down,
}

#[derive(Clone, Debug)]
struct StoredValue {
    version: u64,
    bytes: Bytes,
    before: Option<(u64, Bytes)>,
}

/// The object API.
#[derive(Debug, Default)]
pub struct ObjectModel {
    objects: BTreeMap<String, StoredValue>,
    next_version: u64,
    counts: CallCounts,
    limits: ObjectLimits,
    second: u64,
    writes_in_second: u64,
    reads_in_second: u64,
    /// The faults that are switched on.
    pub faults: ObjectFaults,
}

impl ObjectModel {
    /// An empty store with `limits`.
    pub fn new(limits: ObjectLimits) -> Self {
        ObjectModel { limits, ..ObjectModel::default() }
    }

    /// Calls counted so far.
    pub fn counts(&self) -> CallCounts {
        self.counts
    }

    fn turn_second(&mut self, now_ms: u64) {
        if now_ms / 1000 != self.second {
            self.second = now_ms / 1000;
            self.writes_in_second = 0;
            self.reads_in_second = 0;
        }
    }

    fn admit_read(&mut self, now_ms: u64) -> Result<(), ObjectRefusal> {
        self.turn_second(now_ms);
        if self.faults.down {
            return Err(ObjectRefusal::Down);
        }
        self.reads_in_second += 1;
        if self.reads_in_second > self.limits.reads_per_s {
            self.counts.over_rate += 1;
            return Err(ObjectRefusal::Busy);
        }
        Ok(())
    }

    fn admit_write(&mut self, now_ms: u64) -> Result<(), ObjectRefusal> {
        self.turn_second(now_ms);
        self.counts.writes += 1;
        if self.faults.down {
            return Err(ObjectRefusal::Down);
        }
        self.writes_in_second += 1;
        if self.writes_in_second > self.limits.writes_per_s {
            self.counts.over_rate += 1;
            return Err(ObjectRefusal::Busy);
        }
        Ok(())
    }

    /// Reads an object.
    ///
    /// # Errors
    /// [`ObjectRefusal::Busy`] or [`ObjectRefusal::Down`].
    pub fn read(&mut self, name: &str, now_ms: u64) -> Result<Option<(u64, Bytes)>, ObjectRefusal> {
        self.counts.reads += 1;
        self.admit_read(now_ms)?;
        Ok(self.visible(name))
    }

    /// Counts a watch as one call.
    ///
    /// # Errors
    /// As [`ObjectModel::read`].
    pub fn begin_watch(&mut self, now_ms: u64) -> Result<(), ObjectRefusal> {
        self.counts.watches += 1;
        self.admit_read(now_ms)
    }

    /// What a reader sees of `name`.
    pub fn visible(&self, name: &str) -> Option<(u64, Bytes)> {
        let value = self.objects.get(name)?;
        if self.faults.stale {
            return value.before.clone();
        }
        Some((value.version, value.bytes.clone()))
    }

    /// Names that start with `prefix`.
    ///
    /// # Errors
    /// As [`ObjectModel::read`].
    pub fn names(&mut self, prefix: &str, now_ms: u64) -> Result<Vec<String>, ObjectRefusal> {
        self.counts.reads += 1;
        self.admit_read(now_ms)?;
        let matching = self.objects.keys().filter(|name| name.starts_with(prefix));
        Ok(matching.cloned().collect())
    }

    /// Writes an object if its version is `expected` (`None`: if there is none).
    ///
    /// # Errors
    /// The refusal; nothing changed.
    pub fn write(
        &mut self,
        name: &str,
        expected: Option<u64>,
        bytes: Bytes,
        now_ms: u64,
    ) -> Result<u64, ObjectRefusal> {
        self.admit_write(now_ms)?;
        if bytes.len() > self.limits.value_bytes {
            return Err(ObjectRefusal::TooLarge);
        }
        let current = self.objects.get(name);
        if current.map(|value| value.version) != expected {
            self.counts.conflicts += 1;
            return Err(ObjectRefusal::Conflict);
        }
        self.next_version += 1;
        let before = current.map(|value| (value.version, value.bytes.clone()));
        let value = StoredValue { version: self.next_version, bytes, before };
        self.objects.insert(name.to_owned(), value);
        Ok(self.next_version)
    }

    /// Removes an object that has `version`.
    ///
    /// # Errors
    /// The refusal; nothing changed.
    pub fn remove(&mut self, name: &str, version: u64, now_ms: u64) -> Result<(), ObjectRefusal> {
        self.admit_write(now_ms)?;
        if self.objects.get(name).map(|value| value.version) != Some(version) {
            self.counts.conflicts += 1;
            return Err(ObjectRefusal::Conflict);
        }
        self.objects.remove(name);
        Ok(())
    }

    /// Whether this write's answer gets lost.
    pub fn takes_answer(&mut self) -> bool {
        let lost = self.faults.lose_answers > 0;
        self.faults.lose_answers = self.faults.lose_answers.saturating_sub(1);
        lost
    }
}

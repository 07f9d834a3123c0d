//! Persists the records of this process in the store, while several versions serve.
//!
//! All processes may be killed at once, and a list that a restarted process reads does not tell which version began a
//! stream that broke off. So each process writes its records, and the copies that it keeps for others, to an object of
//! its own, and reads it when it starts. A record that was not written before the kill is missing, and its stream is
//! refused. One that is read long after its time does no harm: it tells of a single stream what began it.

use super::StreamOrigins;
use crate::duties::encode;
use crate::events::event;
use crate::kept::StoredRecord;
use crate::node::FrontNode;
use bytes::Bytes;
use compact_str::CompactString;
use oleander_kind::TimeSpan;
use oleander_origin::{OriginEntry, StreamKey};
use oleander_plat::{FeedKind, FeedObject};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Least time between two writes of one process, and the part of it for each process that serves: all processes together
/// write 40 times a second at most, a tenth of what the store takes.
const WRITE_PERIOD: TimeSpan = TimeSpan(500);
const PROCESS_PERIOD: TimeSpan = TimeSpan(25);
/// Most records in an object: some 400 kilobytes, where the store takes a megabyte.
const MAX_STORED: usize = 8000;
/// The longest time for which a record that was read is kept.
const MAX_LEFT: TimeSpan = TimeSpan(600_000);

/// The stored object.
#[derive(Debug, Default, Serialize, Deserialize)]
struct StoredOrigins {
    versions: Vec<StoredVersion>,
}

/// The streams that began at one version.
#[derive(Debug, Serialize, Deserialize)]
struct StoredVersion {
    /// None if two versions were told of these streams.
    version: Option<CompactString>,
    /// The key of each stream in hexadecimal digits, and how much longer it may be taken up, in milliseconds.
    streams: Vec<(CompactString, TimeSpan)>,
}

/// Writes the records of this process to its object in the store, and reads them when it starts.
pub(crate) struct OriginStore;

/// The changes of the records that the stored object has; none if it may lack some.
type StoredChanges = Option<u64>;

impl StoredRecord for OriginStore {
    type Mark = StoredChanges;

    const KIND: FeedKind = FeedKind::Origins;

    fn name<'a>(&self, node: &'a FrontNode) -> &'a str {
        node.settings.instance.as_str()
    }

    fn check_period(&self, node: &FrontNode) -> TimeSpan {
        let share = TimeSpan(PROCESS_PERIOD.0 * u64::from(node.process_count()));
        let period = WRITE_PERIOD.max(share);
        // Processes that were started at one moment do not write at one moment.
        TimeSpan(period.0 + node.random() % (period.0 / 2 + 1))
    }

    fn is_writer(&self, _node: &FrontNode) -> bool {
        true
    }

    fn take(&mut self, node: &FrontNode, object: Option<&FeedObject>) -> StoredChanges {
        let was_empty = node.origins.borrow().book.is_empty();
        if let Some(object) = object {
            load_object(node, object);
        }
        was_empty.then(|| node.origins.borrow().book.changes())
    }

    fn current(&mut self, node: &FrontNode) -> Option<(Bytes, StoredChanges)> {
        let origins = node.origins.borrow();
        if origins.uncertain.is_empty() {
            return None;
        }
        let stored = stored_origins(&origins, node);
        Some((encode(node, &stored)?, Some(origins.book.changes())))
    }
}

fn load_object(node: &FrontNode, object: &FeedObject) {
    let stored = serde_json::from_slice(&object.body).unwrap_or_else(|fault| {
        // An unreadable object is replaced by the next write.
        event!(node, RecordFault;
            "record" => FeedKind::Origins.name(), "fault" => fault.to_string());
        StoredOrigins::default()
    });
    let entries = decode_entries(&stored);
    event!(node, OriginsRead; "records" => entries.len());
    super::keep_records(node, &entries);
}

fn decode_entries(stored: &StoredOrigins) -> Vec<OriginEntry> {
    let entries = stored.versions.iter().flat_map(|StoredVersion { version, streams }| {
        streams.iter().filter_map(|(key, left)| {
            let (key, left) = (StreamKey::parse(key)?, (*left).min(MAX_LEFT));
            Some(OriginEntry { key, version: version.clone(), left })
        })
    });
    entries.collect()
}

fn stored_origins(origins: &StreamOrigins, node: &FrontNode) -> StoredOrigins {
    let entries = origins.book.lasting(&origins.uncertain, MAX_STORED, node.clock.now());
    let mut versions: BTreeMap<Option<CompactString>, Vec<_>> = BTreeMap::new();
    for OriginEntry { key, version, left } in entries {
        versions.entry(version).or_default().push((key.to_string().into(), left));
    }
    let versions =
        versions.into_iter().map(|(version, streams)| StoredVersion { version, streams });
    StoredOrigins { versions: versions.collect() }
}

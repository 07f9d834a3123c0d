//! Persists the requests that crashed endpoints, for processes that start when no running process
//! knows them.
//!
//! If all processes are killed at once their records are lost. Without the stored copy, each
//! request that was quarantined would crash three more endpoints.

use crate::duties::{encode, is_settled_collector};
use crate::events::event;
use crate::kept::StoredRecord;
use crate::node::FrontNode;
use crate::suspects;
use bytes::Bytes;
use compact_str::CompactString;
use oleander_kind::{ClockTime, TimeSpan};
use oleander_plat::{FeedKind, FeedObject};
use oleander_suspect::{
    CRASH_RETENTION, CrashUpdate, EndpointIncarnation, SuspectFingerprint, SuspectUpdate,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Interval between checks for changes, and so between writes: a sixth of the time within which
/// processes must know, so that many endpoints ending at once cost two store calls a second.
const CHECK_PERIOD: TimeSpan = TimeSpan(500);
/// The stored object.
#[derive(Debug, Default, Serialize, Deserialize)]
struct StoredSuspects {
    requests: Vec<StoredRequest>,
}

/// A request that crashed endpoints.
#[derive(Debug, Serialize, Deserialize)]
struct StoredRequest {
    /// The fingerprint of the request, in hexadecimal digits.
    print: CompactString,
    /// The endpoints that ended while they ran it.
    ends: Vec<StoredEnd>,
    /// When it was last answered, in cluster time.
    #[serde(default)]
    answered_at: Option<ClockTime>,
}

/// One endpoint that ended.
#[derive(Debug, Serialize, Deserialize)]
struct StoredEnd {
    life: EndpointIncarnation,
    /// Cluster time, in Unix milliseconds.
    at: ClockTime,
    /// How long the request had been running there, in milliseconds.
    ran: TimeSpan,
    /// Which request it was, if `print` names a part of its prompt.
    #[serde(default)]
    under: u64,
}

/// Pairs of a request and an endpoint that ended under it.
type StoredEnds = BTreeSet<(SuspectFingerprint, EndpointIncarnation)>;

/// Writes the requests to the store while this process is the collector.
pub struct SuspectStore;

impl StoredRecord for SuspectStore {
    type Mark = StoredEnds;

    const KIND: FeedKind = FeedKind::Suspects;

    fn check_period(&self, _node: &FrontNode) -> TimeSpan {
        CHECK_PERIOD
    }

    fn is_writer(&self, node: &FrontNode) -> bool {
        is_settled_collector(node)
    }

    fn take(&mut self, node: &FrontNode, object: Option<&FeedObject>) -> StoredEnds {
        object.map(|object| load_object(node, object)).unwrap_or_default()
    }

    fn current(&mut self, node: &FrontNode) -> Option<(Bytes, StoredEnds)> {
        let (list, ends) = current_suspects(node);
        Some((encode(node, &list)?, ends))
    }
}

fn load_object(node: &FrontNode, object: &FeedObject) -> StoredEnds {
    let list = serde_json::from_slice(&object.body).unwrap_or_else(|fault| {
        // An unreadable object is replaced by the next write.
        event!(node, RecordFault;
            "record" => FeedKind::Suspects.name(), "fault" => fault.to_string());
        StoredSuspects::default()
    });
    let notes = decode_notes(&list, node.true_now());
    suspects::apply_notes(node, &notes);
    let ends = |note: &SuspectUpdate| -> StoredEnds {
        note.ends.iter().map(|end| (note.print, end.life.clone())).collect()
    };
    notes.iter().flat_map(ends).collect()
}

fn decode_notes(list: &StoredSuspects, true_now: ClockTime) -> Vec<SuspectUpdate> {
    let note = |request: &StoredRequest| {
        let print = SuspectFingerprint::parse(&request.print)?;
        let end = |end: &StoredEnd| CrashUpdate {
            life: end.life.clone(),
            age: true_now - end.at,
            ran: end.ran,
            under: end.under,
        };
        let ends: Vec<_> =
            request.ends.iter().map(end).filter(|end| end.age < CRASH_RETENTION).collect();
        let answered = request.answered_at.map(|at| true_now - at);
        (!ends.is_empty()).then_some(SuspectUpdate { print, ends, answered })
    };
    list.requests.iter().filter_map(note).collect()
}

fn current_suspects(node: &FrontNode) -> (StoredSuspects, StoredEnds) {
    let (now, true_now) = (node.clock.now(), node.true_now());
    let notes = node.suspects.borrow().stored(now);
    let request = |note: &SuspectUpdate| StoredRequest {
        print: note.print.to_string().into(),
        ends: note.ends.iter().map(|end| stored_end(end, true_now)).collect(),
        answered_at: note.answered.map(|age| true_now - age),
    };
    let ends = |note: &SuspectUpdate| -> StoredEnds {
        note.ends.iter().map(|end| (note.print, end.life.clone())).collect()
    };
    let list = StoredSuspects { requests: notes.iter().map(request).collect() };
    (list, notes.iter().flat_map(ends).collect())
}

fn stored_end(end: &CrashUpdate, true_now: ClockTime) -> StoredEnd {
    StoredEnd { life: end.life.clone(), at: true_now - end.age, ran: end.ran, under: end.under }
}

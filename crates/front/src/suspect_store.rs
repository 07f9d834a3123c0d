//! Keeps the requests under which endpoints ended in the store, for processes that begin when none is left that
//! knows.
//!
//! All processes may be killed at once. What they knew is gone then, and three more endpoints would end under
//! each request that was held back.

use crate::duties::{collects, encode};
use crate::events::event;
use crate::kept::StoredRecord;
use crate::node::FrontNode;
use crate::suspects;
use bytes::Bytes;
use compact_str::CompactString;
use oleander_kind::{ClockTime, TimeSpan};
use oleander_plat::{FeedKind, FeedObject};
use oleander_suspect::{
    CRASH_RETENTION, CrashUpdate, EndpointIncarnation, RequestFingerprint, SuspectUpdate,
};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// Between two looks whether something changed, and so between two writes: a sixth of the time in which processes
/// must know, so that a wave of ends costs two calls a second.
const CHECK_PERIOD: TimeSpan = TimeSpan(500);
/// What the object says.
#[derive(Debug, Default, Serialize, Deserialize)]
struct SuspectList {
    requests: Vec<ListedRequest>,
}

/// A request under which endpoints ended.
#[derive(Debug, Serialize, Deserialize)]
struct ListedRequest {
    /// Its print, in hexadecimal digits.
    print: CompactString,
    /// The ends.
    ends: Vec<ListedEnd>,
}

/// An end of an endpoint.
#[derive(Debug, Serialize, Deserialize)]
struct ListedEnd {
    life: EndpointIncarnation,
    /// In true time, in Unix milliseconds.
    at: ClockTime,
    /// How long the request had run there, in milliseconds.
    ran: TimeSpan,
}

/// Which endpoints ended under which requests.
type ListedEnds = BTreeSet<(RequestFingerprint, EndpointIncarnation)>;

/// Keeps the requests in the store while this process collects.
pub struct SuspectStore;

impl StoredRecord for SuspectStore {
    type Mark = ListedEnds;

    const KIND: FeedKind = FeedKind::Suspects;
    const CHECK_PERIOD: TimeSpan = CHECK_PERIOD;

    fn is_writer(&self, node: &FrontNode) -> bool {
        collects(node)
    }

    fn take(&mut self, node: &FrontNode, object: Option<&FeedObject>) -> ListedEnds {
        object.map(|object| take_object(node, object)).unwrap_or_default()
    }

    fn current(&mut self, node: &FrontNode) -> Option<(Bytes, ListedEnds)> {
        let (list, ends) = listed_now(node);
        Some((encode(node, &list)?, ends))
    }
}

fn take_object(node: &FrontNode, object: &FeedObject) -> ListedEnds {
    let list = serde_json::from_slice(&object.body).unwrap_or_else(|fault| {
        // Whoever wrote it, the next change replaces it.
        event!(node, RecordFault;
            "record" => FeedKind::Suspects.name(), "fault" => fault.to_string());
        SuspectList::default()
    });
    let notes = notes_of(&list, node.true_now());
    suspects::take_notes(node, &notes);
    let ends = |note: &SuspectUpdate| -> ListedEnds {
        note.ends.iter().map(|end| (note.print, end.life.clone())).collect()
    };
    notes.iter().flat_map(ends).collect()
}

fn notes_of(list: &SuspectList, true_now: ClockTime) -> Vec<SuspectUpdate> {
    let note = |request: &ListedRequest| {
        let print = RequestFingerprint::parse(&request.print)?;
        let end = |end: &ListedEnd| CrashUpdate {
            life: end.life.clone(),
            age: true_now - end.at,
            ran: end.ran,
        };
        let ends: Vec<_> =
            request.ends.iter().map(end).filter(|end| end.age < CRASH_RETENTION).collect();
        (!ends.is_empty()).then_some(SuspectUpdate { print, ends, answered: None })
    };
    list.requests.iter().filter_map(note).collect()
}

fn listed_now(node: &FrontNode) -> (SuspectList, ListedEnds) {
    let (now, true_now) = (node.clock.now(), node.true_now());
    let notes = node.suspects.borrow().shared(now);
    let under = || notes.iter().filter(|note| !note.ends.is_empty());
    let request = |note: &SuspectUpdate| ListedRequest {
        print: note.print.to_string().into(),
        ends: note.ends.iter().map(|end| listed_end(end, true_now)).collect(),
    };
    let ends = |note: &SuspectUpdate| -> ListedEnds {
        note.ends.iter().map(|end| (note.print, end.life.clone())).collect()
    };
    let list = SuspectList { requests: under().map(request).collect() };
    (list, under().flat_map(ends).collect())
}

fn listed_end(end: &CrashUpdate, true_now: ClockTime) -> ListedEnd {
    ListedEnd { life: end.life.clone(), at: true_now - end.age, ran: end.ran }
}

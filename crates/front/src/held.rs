//! Keeps the requests that are held back in the store, for processes that begin when none is left that knows.
//!
//! All processes may be killed at once. What they knew is gone then, and three more endpoints would end under
//! each request that was held back. The process that collects writes one object whenever what is held back
//! changes, and reads it once as it begins to collect; the others hear of it by its digests. Calls grow neither
//! with processes nor with requests.

use crate::duties::{collects, encode};
use crate::events::event;
use crate::node::FrontNode;
use crate::suspects;
use compact_str::CompactString;
use oleander_kind::{ClockTime, TimeSpan};
use oleander_plat::{FeedGuard, FeedKind, FeedObject, FeedWrite};
use oleander_suspect::{ENDS_KEPT, EndedLife, RequestPrint, SuspectNote, SuspectRecord};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::rc::Rc;

/// The object's name.
const HELD_NAME: &str = "all";
/// Between two looks whether something changed: a fifteenth of the time in which processes must know.
const LOOK_PERIOD: TimeSpan = TimeSpan(200);
/// The first pause after a call that failed, and the longest.
const FAULT_PAUSES: (TimeSpan, TimeSpan) = (TimeSpan(200), TimeSpan(2000));

/// What the object says.
#[derive(Debug, Default, Serialize, Deserialize)]
struct HeldList {
    requests: Vec<HeldRequest>,
}

/// A request that is held back.
#[derive(Debug, Serialize, Deserialize)]
struct HeldRequest {
    /// Its print, in hexadecimal digits.
    print: CompactString,
    /// The ends that it is held back for.
    ends: Vec<HeldEnd>,
}

/// An end of an endpoint.
#[derive(Debug, Serialize, Deserialize)]
struct HeldEnd {
    life: EndedLife,
    /// In true time, in Unix milliseconds.
    at: ClockTime,
}

/// What is held back for which ends.
type HeldEnds = BTreeSet<(RequestPrint, EndedLife)>;

/// The object as this process knows it.
struct KnownList {
    guard: FeedGuard,
    ends: HeldEnds,
}

/// Keeps the object while this process collects, until the task is ended.
pub async fn keep_held(node: Rc<FrontNode>) {
    let mut known = None;
    let (first, longest) = FAULT_PAUSES;
    let mut pause = first;
    loop {
        actix_rt::time::sleep(LOOK_PERIOD.duration()).await;
        if !collects(&node) {
            known = None;
            continue;
        }
        let list = match known.take() {
            Some(list) => Some(list),
            None => read_list(&node).await,
        };
        known = match list {
            Some(list) => keep_list(&node, list).await,
            None => None,
        };
        pause = match known {
            Some(_) => first,
            None => node.back_off(pause, longest).await,
        };
    }
}

/// Reads the object and takes what it says; none if the store did not answer.
async fn read_list(node: &FrontNode) -> Option<KnownList> {
    match node.store.read(FeedKind::HeldRequests, HELD_NAME).await {
        Ok(None) => Some(KnownList { guard: FeedGuard::Absent, ends: HeldEnds::new() }),
        Ok(Some(object)) => Some(take_object(node, &object)),
        Err(fault) => {
            event!(node, HeldFault; "fault" => fault.to_string());
            None
        }
    }
}

fn take_object(node: &FrontNode, object: &FeedObject) -> KnownList {
    let list = serde_json::from_slice(&object.body).unwrap_or_else(|fault| {
        // Whoever wrote it, the next change replaces it.
        event!(node, HeldFault; "fault" => fault.to_string());
        HeldList::default()
    });
    let notes = notes_of(&list, node.true_now());
    suspects::take_notes(node, &notes);
    let ends = |note: &SuspectNote| -> HeldEnds {
        note.ends.iter().map(|(life, _)| (note.print, life.clone())).collect()
    };
    KnownList { guard: FeedGuard::Is(object.revision), ends: notes.iter().flat_map(ends).collect() }
}

fn notes_of(list: &HeldList, true_now: ClockTime) -> Vec<SuspectNote> {
    let note = |request: &HeldRequest| {
        let print = RequestPrint::parse(&request.print)?;
        let ends = request.ends.iter().map(|end| (end.life.clone(), true_now - end.at));
        let ends: Vec<_> = ends.filter(|(_, age)| *age < ENDS_KEPT).collect();
        (!ends.is_empty()).then_some(SuspectNote { print, ends, answered: None })
    };
    list.requests.iter().filter_map(note).collect()
}

/// Writes what is held back if it changed; none if the object must be read anew.
async fn keep_list(node: &FrontNode, known: KnownList) -> Option<KnownList> {
    let (list, ends) = held_now(node);
    if ends == known.ends {
        return Some(known);
    }
    let body = encode(node, &list)?;
    match node.store.write(FeedKind::HeldRequests, HELD_NAME, known.guard, body).await {
        Ok(FeedWrite::Made(revision)) => Some(KnownList { guard: FeedGuard::Is(revision), ends }),
        Ok(FeedWrite::Refused(object)) => object.map(|object| take_object(node, &object)),
        Err(fault) => {
            event!(node, HeldFault; "fault" => fault.to_string());
            None
        }
    }
}

fn held_now(node: &FrontNode) -> (HeldList, HeldEnds) {
    let (now, true_now) = (node.clock.now(), node.true_now());
    let suspects = node.suspects.borrow();
    let request = |(print, record): (RequestPrint, &SuspectRecord)| HeldRequest {
        print: print.to_string().into(),
        ends: record
            .ends()
            .iter()
            .map(|end| HeldEnd { life: end.life.clone(), at: true_now - (now - end.at) })
            .collect(),
    };
    let ends = |(print, record): (RequestPrint, &SuspectRecord)| -> HeldEnds {
        record.ends().iter().map(|end| (print, end.life.clone())).collect()
    };
    let list = HeldList { requests: suspects.held().map(request).collect() };
    (list, suspects.held().flat_map(ends).collect())
}

//! Keeps the requests under which endpoints ended in the store, for processes that begin when none is left that
//! knows.
//!
//! All processes may be killed at once. What they knew is gone then, and three more endpoints would end under
//! each request that was held back. The process that collects writes one object when what all know
//! changes, and reads it once as it begins to collect; the others hear of it by its digests. Calls grow neither
//! with processes nor with requests.

use crate::duties::{collects, encode};
use crate::events::event;
use crate::node::FrontNode;
use crate::suspects;
use compact_str::CompactString;
use oleander_kind::{ClockTime, TimeSpan};
use oleander_plat::{FeedGuard, FeedKind, FeedObject, FeedWrite};
use oleander_suspect::{ENDS_KEPT, EndNote, EndedLife, RequestPrint, SuspectNote};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::rc::Rc;

/// The object's name.
const SUSPECTS_NAME: &str = "all";
/// Between two looks whether something changed, and so between two writes: a sixth of the time in which processes
/// must know, so that a wave of ends costs two calls a second.
const LOOK_PERIOD: TimeSpan = TimeSpan(500);
/// The first pause after a call that failed, and the longest.
const FAULT_PAUSES: (TimeSpan, TimeSpan) = (TimeSpan(200), TimeSpan(2000));

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
    life: EndedLife,
    /// In true time, in Unix milliseconds.
    at: ClockTime,
    /// How long the request had run there, in milliseconds.
    ran: TimeSpan,
}

/// Which endpoints ended under which requests.
type ListedEnds = BTreeSet<(RequestPrint, EndedLife)>;

/// The object as this process knows it.
struct KnownList {
    guard: FeedGuard,
    ends: ListedEnds,
}

/// Keeps the object while this process collects, until the task is ended.
pub async fn keep_suspects(node: Rc<FrontNode>) {
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
    match node.store.read(FeedKind::Suspects, SUSPECTS_NAME).await {
        Ok(None) => Some(KnownList { guard: FeedGuard::Absent, ends: ListedEnds::new() }),
        Ok(Some(object)) => Some(take_object(node, &object)),
        Err(fault) => {
            event!(node, SuspectFault; "fault" => fault.to_string());
            None
        }
    }
}

fn take_object(node: &FrontNode, object: &FeedObject) -> KnownList {
    let list = serde_json::from_slice(&object.body).unwrap_or_else(|fault| {
        // Whoever wrote it, the next change replaces it.
        event!(node, SuspectFault; "fault" => fault.to_string());
        SuspectList::default()
    });
    let notes = notes_of(&list, node.true_now());
    suspects::take_notes(node, &notes);
    let ends = |note: &SuspectNote| -> ListedEnds {
        note.ends.iter().map(|end| (note.print, end.life.clone())).collect()
    };
    KnownList { guard: FeedGuard::Is(object.revision), ends: notes.iter().flat_map(ends).collect() }
}

fn notes_of(list: &SuspectList, true_now: ClockTime) -> Vec<SuspectNote> {
    let note = |request: &ListedRequest| {
        let print = RequestPrint::parse(&request.print)?;
        let end = |end: &ListedEnd| EndNote {
            life: end.life.clone(),
            age: true_now - end.at,
            ran: end.ran,
        };
        let ends: Vec<_> = request.ends.iter().map(end).filter(|end| end.age < ENDS_KEPT).collect();
        (!ends.is_empty()).then_some(SuspectNote { print, ends, answered: None })
    };
    list.requests.iter().filter_map(note).collect()
}

/// Writes what all are to know if it changed; none if the object must be read anew.
async fn keep_list(node: &FrontNode, known: KnownList) -> Option<KnownList> {
    let (list, ends) = listed_now(node);
    if ends == known.ends {
        return Some(known);
    }
    let body = encode(node, &list)?;
    match node.store.write(FeedKind::Suspects, SUSPECTS_NAME, known.guard, body).await {
        Ok(FeedWrite::Made(revision)) => Some(KnownList { guard: FeedGuard::Is(revision), ends }),
        Ok(FeedWrite::Refused(object)) => object.map(|object| take_object(node, &object)),
        Err(fault) => {
            event!(node, SuspectFault; "fault" => fault.to_string());
            None
        }
    }
}

fn listed_now(node: &FrontNode) -> (SuspectList, ListedEnds) {
    let (now, true_now) = (node.clock.now(), node.true_now());
    let notes = node.suspects.borrow().shared(now);
    let under = || notes.iter().filter(|note| !note.ends.is_empty());
    let request = |note: &SuspectNote| ListedRequest {
        print: note.print.to_string().into(),
        ends: note.ends.iter().map(|end| listed_end(end, true_now)).collect(),
    };
    let ends = |note: &SuspectNote| -> ListedEnds {
        note.ends.iter().map(|end| (note.print, end.life.clone())).collect()
    };
    let list = SuspectList { requests: under().map(request).collect() };
    (list, under().flat_map(ends).collect())
}

fn listed_end(end: &EndNote, true_now: ClockTime) -> ListedEnd {
    ListedEnd { life: end.life.clone(), at: true_now - end.age, ran: end.ran }
}

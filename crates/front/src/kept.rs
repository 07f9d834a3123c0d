//! Objects that the collecting process keeps in the store, for processes that begin when none is left that knows.
//!
//! All processes may be killed at once, and what they knew is gone then. The process that collects reads such an object
//! once as it begins to collect, and writes it when what all know changes; the others hear of it by its digests.
//! Calls grow neither with processes nor with requests.

use crate::events::event;
use crate::node::FrontNode;
use bytes::Bytes;
use oleander_kind::TimeSpan;
use oleander_plat::{FeedGuard, FeedKind, FeedObject, FeedWrite};
use std::rc::Rc;
use tokio::sync::Notify;

/// The first pause after a call that failed, and the longest.
const FAULT_BACKOFF: (TimeSpan, TimeSpan) = (TimeSpan(200), TimeSpan(2000));

/// What is kept in one object.
pub trait StoredRecord {
    /// What differs if the object must be written.
    type Mark: PartialEq;

    /// The object's kind.
    const KIND: FeedKind;
    /// The object's name.
    const NAME: &'static str = "all";
    /// Between two looks whether something is to be done.
    const CHECK_PERIOD: TimeSpan;

    /// What ends the pause between two looks early, if anything does.
    fn wake(_node: &FrontNode) -> Option<&Notify> {
        None
    }

    /// Whether this process keeps the object.
    fn is_writer(&self, node: &FrontNode) -> bool;

    /// Whether the object is to be read although it is known.
    fn must_reload(&self, _node: &FrontNode) -> bool {
        false
    }

    /// Takes what the object says; there may be none.
    fn take(&mut self, node: &FrontNode, object: Option<&FeedObject>) -> Self::Mark;

    /// What the object should say; none if there is nothing to say.
    fn current(&mut self, node: &FrontNode) -> Option<(Bytes, Self::Mark)>;

    /// Notes that the store has what `current` gave last.
    fn note_written(&mut self, _node: &FrontNode) {}

    /// Notes that the store did not say what the object holds.
    fn note_read_failure(&mut self, _node: &FrontNode) {}
}

/// The object as this process knows it.
struct CachedObject<M> {
    guard: FeedGuard,
    mark: M,
}

/// Keeps an object until the task is ended.
pub async fn sync_record<R: StoredRecord>(node: Rc<FrontNode>, mut record: R) {
    let mut known = None;
    let (first, longest) = FAULT_BACKOFF;
    let mut pause = first;
    loop {
        let asleep = actix_rt::time::sleep(R::CHECK_PERIOD.duration());
        match R::wake(&node) {
            Some(wake) => tokio::select! {
                () = asleep => {}
                () = wake.notified() => {}
            },
            None => asleep.await,
        }
        if !record.is_writer(&node) {
            known = None;
            continue;
        }
        let object = match known.take().filter(|_| !record.must_reload(&node)) {
            Some(object) => Some(object),
            None => read_object(&node, &mut record).await,
        };
        known = match object {
            Some(object) => write_object(&node, &mut record, object).await,
            None => None,
        };
        pause = match known {
            Some(_) => first,
            None => node.back_off(pause, longest).await,
        };
    }
}

/// Reads the object and takes what it says; none if the store did not answer.
async fn read_object<R: StoredRecord>(
    node: &FrontNode,
    record: &mut R,
) -> Option<CachedObject<R::Mark>> {
    match node.store.read(R::KIND, R::NAME).await {
        Ok(object) => Some(cached_object(node, record, object.as_ref())),
        Err(fault) => {
            event!(node, RecordFault; "record" => R::KIND.name(), "fault" => fault.to_string());
            record.note_read_failure(node);
            None
        }
    }
}

fn cached_object<R: StoredRecord>(
    node: &FrontNode,
    record: &mut R,
    object: Option<&FeedObject>,
) -> CachedObject<R::Mark> {
    let guard = object.map_or(FeedGuard::Absent, |object| FeedGuard::Is(object.revision));
    CachedObject { guard, mark: record.take(node, object) }
}

/// Writes the object if it should say something else; none if it must be read anew.
async fn write_object<R: StoredRecord>(
    node: &FrontNode,
    record: &mut R,
    known: CachedObject<R::Mark>,
) -> Option<CachedObject<R::Mark>> {
    let Some((body, mark)) = record.current(node) else { return Some(known) };
    if mark == known.mark {
        return Some(known);
    }
    match node.store.write(R::KIND, R::NAME, known.guard, body).await {
        Ok(FeedWrite::Made(revision)) => {
            record.note_written(node);
            Some(CachedObject { guard: FeedGuard::Is(revision), mark })
        }
        Ok(FeedWrite::Refused(object)) => {
            object.map(|object| cached_object(node, record, Some(&object)))
        }
        Err(fault) => {
            event!(node, RecordFault; "record" => R::KIND.name(), "fault" => fault.to_string());
            None
        }
    }
}

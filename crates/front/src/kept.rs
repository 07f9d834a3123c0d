//! Persists shared state in the store, so that it survives a restart of all processes.
//!
//! All processes may be killed at once, and their memory is lost then. The collector reads a record once when it
//! becomes the collector, and writes it when the shared state changes; the other processes receive the state in its
//! digests. So the number of store calls grows neither with processes nor with requests. A record of which each process
//! has an object of its own must itself bound the calls of all of them, by its check period.

use crate::era;
use crate::events::event;
use crate::node::FrontNode;
use bytes::Bytes;
use oleander_kind::{StoreEra, TimeSpan};
use oleander_plat::{FeedCondition, FeedKind, FeedObject, WriteOutcome};
use std::rc::Rc;
use tokio::sync::Notify;

/// The first and the longest backoff after a failed store call.
const FAULT_BACKOFF: (TimeSpan, TimeSpan) = (TimeSpan(200), TimeSpan(2000));

/// State that is persisted as one store object.
pub trait StoredRecord {
    /// Compares contents of the object: it is written when the mark of the current content differs from that of the
    /// stored one.
    type Mark: PartialEq;

    /// Kind of the store object.
    const KIND: FeedKind;

    /// Name of the store object.
    fn name<'a>(&self, _node: &'a FrontNode) -> &'a str {
        "all"
    }

    /// Time until the next check whether the object must be read or written.
    fn check_period(&self, node: &FrontNode) -> TimeSpan;

    /// Notification that triggers a check before the interval is over, if there is one.
    fn wake(_node: &FrontNode) -> Option<&Notify> {
        None
    }

    /// Whether this process reads and writes the object at present.
    fn is_writer(&self, node: &FrontNode) -> bool;

    /// Whether the object must be read again although its revision is known.
    fn must_reload(&self, _node: &FrontNode) -> bool {
        false
    }

    /// Applies the object that was read, or its absence, and returns the mark of its content.
    fn take(&mut self, node: &FrontNode, object: Option<&FeedObject>) -> Self::Mark;

    /// The content that the object should have, with its mark; none if it need not be written.
    fn current(&mut self, node: &FrontNode) -> Option<(Bytes, Self::Mark)>;

    /// Called after the content that `current` returned last was written.
    fn note_written(&mut self, _node: &FrontNode) {}

    /// Called after a read of the object failed.
    fn note_read_failure(&mut self, _node: &FrontNode) {}
}

/// Revision and content of the object as last read or written.
struct CachedObject<M> {
    guard: FeedCondition,
    mark: M,
    /// The era of the store in which it was read or written; a later one may have an older object.
    era: StoreEra,
}

/// Reads and writes the object of `record` until the task is cancelled.
///
/// A failed call is made again after a while, or at once when the store answers a feed of this process again: what was
/// noted during an outage would be lost if all processes were killed shortly after it.
pub async fn sync_record<R: StoredRecord>(node: Rc<FrontNode>, mut record: R) {
    let mut known = None;
    let (first, longest) = FAULT_BACKOFF;
    let mut pause = first;
    loop {
        // The store may answer again while a call still fails.
        let returned = node.store_returned.notified();
        let is_writer = record.is_writer(&node);
        known = if is_writer { sync_object(&node, &mut record, known).await } else { None };
        pause = if is_writer && known.is_none() {
            let checked_later = async {
                let next = node.back_off(pause, longest).await;
                until_check(&node, &record).await;
                next
            };
            tokio::select! {
                next = checked_later => next,
                () = returned => first,
            }
        } else {
            until_check(&node, &record).await;
            first
        };
    }
}

/// Waits until the next check of the object is due.
async fn until_check<R: StoredRecord>(node: &FrontNode, record: &R) {
    let asleep = actix_rt::time::sleep(record.check_period(node).duration());
    match R::wake(node) {
        Some(wake) => tokio::select! {
            () = asleep => {}
            () = wake.notified() => {}
        },
        None => asleep.await,
    }
}

/// Reads the object if it is not known, and writes it if its content has changed; none if a call failed.
async fn sync_object<R: StoredRecord>(
    node: &FrontNode,
    record: &mut R,
    known: Option<CachedObject<R::Mark>>,
) -> Option<CachedObject<R::Mark>> {
    let is_current = |object: &CachedObject<_>| object.era >= era::known_era(node);
    let known = known.filter(is_current).filter(|_| !record.must_reload(node));
    let object = match known {
        Some(object) => object,
        None => read_object(node, record).await?,
    };
    write_object(node, record, object).await
}

/// Reads and applies the object; none if the read failed.
async fn read_object<R: StoredRecord>(
    node: &FrontNode,
    record: &mut R,
) -> Option<CachedObject<R::Mark>> {
    match node.store.read(R::KIND, record.name(node)).await {
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
    let guard = object.map_or(FeedCondition::Absent, |object| FeedCondition::Is(object.revision));
    era::note_store_era(node);
    CachedObject { guard, mark: record.take(node, object), era: era::answered_era(node) }
}

/// Writes the object if its content has changed; none if it must be read again.
async fn write_object<R: StoredRecord>(
    node: &FrontNode,
    record: &mut R,
    known: CachedObject<R::Mark>,
) -> Option<CachedObject<R::Mark>> {
    let Some((body, mark)) = record.current(node) else { return Some(known) };
    if mark == known.mark {
        return Some(known);
    }
    match node.store.write(R::KIND, record.name(node), known.guard, body).await {
        Ok(WriteOutcome::Made(revision)) => {
            record.note_written(node);
            Some(CachedObject { guard: FeedCondition::Is(revision), mark, era: known.era })
        }
        Ok(WriteOutcome::Refused(object)) => {
            object.map(|object| cached_object(node, record, Some(&object)))
        }
        Err(fault) => {
            event!(node, RecordFault; "record" => R::KIND.name(), "fault" => fault.to_string());
            None
        }
    }
}

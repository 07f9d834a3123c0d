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
const FAULT_PAUSES: (TimeSpan, TimeSpan) = (TimeSpan(200), TimeSpan(2000));

/// What is kept in one object.
pub trait KeptRecord {
    /// What differs if the object must be written.
    type Mark: PartialEq;

    /// The object's kind.
    const KIND: FeedKind;
    /// The object's name.
    const NAME: &'static str = "all";
    /// Between two looks whether something is to be done.
    const LOOK_PERIOD: TimeSpan;

    /// What ends the pause between two looks early, if anything does.
    fn wake(_node: &FrontNode) -> Option<&Notify> {
        None
    }

    /// Whether this process keeps the object.
    fn is_kept_by(&self, node: &FrontNode) -> bool;

    /// Whether the object is to be read although it is known.
    fn must_read(&self, _node: &FrontNode) -> bool {
        false
    }

    /// Takes what the object says; there may be none.
    fn take(&mut self, node: &FrontNode, object: Option<&FeedObject>) -> Self::Mark;

    /// What the object should say; none if there is nothing to say.
    fn current(&mut self, node: &FrontNode) -> Option<(Bytes, Self::Mark)>;

    /// Notes that the store has what `current` gave last.
    fn note_written(&mut self, _node: &FrontNode) {}

    /// Notes that the store did not say what the object holds.
    fn note_unread(&mut self, _node: &FrontNode) {}
}

/// The object as this process knows it.
struct KnownObject<M> {
    guard: FeedGuard,
    mark: M,
}

/// Keeps an object until the task is ended.
pub async fn keep_record<R: KeptRecord>(node: Rc<FrontNode>, mut record: R) {
    let mut known = None;
    let (first, longest) = FAULT_PAUSES;
    let mut pause = first;
    loop {
        let asleep = actix_rt::time::sleep(R::LOOK_PERIOD.duration());
        match R::wake(&node) {
            Some(wake) => tokio::select! {
                () = asleep => {}
                () = wake.notified() => {}
            },
            None => asleep.await,
        }
        if !record.is_kept_by(&node) {
            known = None;
            continue;
        }
        let object = match known.take().filter(|_| !record.must_read(&node)) {
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
async fn read_object<R: KeptRecord>(
    node: &FrontNode,
    record: &mut R,
) -> Option<KnownObject<R::Mark>> {
    match node.store.read(R::KIND, R::NAME).await {
        Ok(object) => Some(known_object(node, record, object.as_ref())),
        Err(fault) => {
            event!(node, RecordFault; "record" => R::KIND.name(), "fault" => fault.to_string());
            record.note_unread(node);
            None
        }
    }
}

fn known_object<R: KeptRecord>(
    node: &FrontNode,
    record: &mut R,
    object: Option<&FeedObject>,
) -> KnownObject<R::Mark> {
    let guard = object.map_or(FeedGuard::Absent, |object| FeedGuard::Is(object.revision));
    KnownObject { guard, mark: record.take(node, object) }
}

/// Writes the object if it should say something else; none if it must be read anew.
async fn write_object<R: KeptRecord>(
    node: &FrontNode,
    record: &mut R,
    known: KnownObject<R::Mark>,
) -> Option<KnownObject<R::Mark>> {
    let Some((body, mark)) = record.current(node) else { return Some(known) };
    if mark == known.mark {
        return Some(known);
    }
    match node.store.write(R::KIND, R::NAME, known.guard, body).await {
        Ok(FeedWrite::Made(revision)) => {
            record.note_written(node);
            Some(KnownObject { guard: FeedGuard::Is(revision), mark })
        }
        Ok(FeedWrite::Refused(object)) => {
            object.map(|object| known_object(node, record, Some(&object)))
        }
        Err(fault) => {
            event!(node, RecordFault; "record" => R::KIND.name(), "fault" => fault.to_string());
            None
        }
    }
}

//! Interface to the platform's store: objects by kind, with lists, watches and conditional writes.

use crate::port::Result;
use bytes::Bytes;
use compact_str::CompactString;
use futures_util::future::LocalBoxFuture;
use oleander_kind::{StoreEra, TimeSpan};
use serde::{Deserialize, Serialize};

/// Kind of an object that the system reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FeedKind {
    /// The operators' configuration; read only.
    Rules,
    /// Endpoint entries; read only.
    Endpoints,
    /// Processes of the system.
    Members,
    /// Leases for control duties.
    Leases,
    /// Usage reports, whose content is fixed in the store before they are sent.
    UsageReports,
    /// Records of requests under which endpoints crashed.
    Suspects,
    /// Recent admissions of client accounts.
    Windows,
    /// The versions at which streams began, an object of each process.
    Origins,
    /// Roll-out orders. Their bodies hold the order and the status written to it.
    Releases,
}

impl FeedKind {
    /// Returns the name for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            FeedKind::Rules => "rules",
            FeedKind::Endpoints => "endpoints",
            FeedKind::Members => "members",
            FeedKind::Leases => "leases",
            FeedKind::UsageReports => "usage_reports",
            FeedKind::Suspects => "suspects",
            FeedKind::Windows => "windows",
            FeedKind::Origins => "origins",
            FeedKind::Releases => "releases",
        }
    }
}

/// An object of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedObject {
    /// Name, unique within the kind; empty if it cannot be read.
    pub name: CompactString,
    /// Revision of the last change, over all eras of the store ([`StoreEra`]).
    pub revision: u64,
    /// Content in the platform's encoding; a JSON string that says why, if the object cannot be read.
    pub body: Bytes,
}

/// Snapshot of all objects of a kind.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedPage {
    /// The objects.
    pub objects: Vec<FeedObject>,
    /// Revision of the store from which a watch continues.
    pub as_of: u64,
}

/// A change of one object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FeedEvent {
    /// An object was created or changed.
    Put(FeedObject),
    /// An object was removed.
    Gone {
        /// Name of the object.
        name: CompactString,
        /// Revision of the removed object or of the removal. An object written after it stays.
        revision: u64,
    },
}

/// Result of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchOutcome {
    /// Changes, oldest first, and the revision from which to continue.
    Changes(Vec<FeedEvent>, u64),
    /// The store no longer has the requested history; the objects must be listed again.
    HistoryLost,
}

/// Precondition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedCondition {
    /// The object does not exist.
    Absent,
    /// The object has this revision.
    Is(u64),
}

/// Result of a conditional write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The write was made; holds the object's new revision.
    Made(u64),
    /// The condition did not hold; holds the current object, if there is one.
    Refused(Option<FeedObject>),
}

/// The platform's store. Implementations apply a timeout to every call.
///
/// All revisions are those of [`StoreEra`], so that a later one is higher also after the store came
/// back from an older copy. An answer of an earlier era than the known one is an error, and a write
/// whose condition names a revision of an earlier era is refused.
pub trait FeedStore {
    /// Lists all objects of `kind`.
    fn list(&self, kind: FeedKind) -> LocalBoxFuture<'_, Result<FeedPage>>;

    /// Returns changes of `kind` after revision `from`, waiting up to `wait` for the first.
    fn watch(
        &self,
        kind: FeedKind,
        from: u64,
        wait: TimeSpan,
    ) -> LocalBoxFuture<'_, Result<WatchOutcome>>;

    /// The bytes of the answer to the last watch of `kind` that have arrived, to tell a silent store from a large
    /// answer. The default, for stores without connections, is none.
    fn watch_arrived(&self, _kind: FeedKind) -> usize {
        0
    }

    /// Writes the status of an operators' object if the object still has this revision. The default, for stores
    /// without such objects, refuses.
    fn write_status<'a>(
        &'a self,
        _kind: FeedKind,
        _name: &'a str,
        _revision: u64,
        _status: Bytes,
    ) -> LocalBoxFuture<'a, Result<WriteOutcome>> {
        Box::pin(std::future::ready(Ok(WriteOutcome::Refused(None))))
    }

    /// Reads one object; `None` if it does not exist.
    fn read<'a>(
        &'a self,
        kind: FeedKind,
        name: &'a str,
    ) -> LocalBoxFuture<'a, Result<Option<FeedObject>>>;

    /// Writes an object under a condition.
    fn write<'a>(
        &'a self,
        kind: FeedKind,
        name: &'a str,
        guard: FeedCondition,
        body: Bytes,
    ) -> LocalBoxFuture<'a, Result<WriteOutcome>>;

    /// The highest era of the store's answers so far; `None` before the first answer.
    fn era(&self) -> Option<StoreEra> {
        None
    }

    /// Takes the text of an era that could not be read, if there was one since the last call.
    fn take_unreadable_era(&self) -> Option<CompactString> {
        None
    }

    /// Closes pooled connections, which can stall permanently, so that the next call opens a new one.
    fn reset_connections(&self) {}

    /// Removes an object.
    fn remove<'a>(&'a self, kind: FeedKind, name: &'a str) -> LocalBoxFuture<'a, Result<()>>;
}

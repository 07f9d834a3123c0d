//! The store as a feed: objects by kind, with lists, watches and conditional writes.

use crate::port::Result;
use bytes::Bytes;
use compact_str::CompactString;
use futures_util::future::LocalBoxFuture;
use oleander_kind::TimeSpan;
use serde::{Deserialize, Serialize};

/// The kinds of object that the system reads or writes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum FeedKind {
    /// The operators' rules; read only.
    Rules,
    /// The endpoints; read only.
    Endpoints,
    /// The processes of the system.
    Members,
    /// Leases of control work.
    Leases,
    /// Usage reports, as they were fixed before they were sent.
    UsageReports,
    /// Requests under which endpoints ended.
    Suspects,
    /// What was let in of the accounts lately.
    Windows,
    /// Orders of roll-outs. Their bodies hold what was ordered and what was written of it.
    Releases,
}

impl FeedKind {
    /// The name, for logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            FeedKind::Rules => "rules",
            FeedKind::Endpoints => "endpoints",
            FeedKind::Members => "members",
            FeedKind::Leases => "leases",
            FeedKind::UsageReports => "usage_reports",
            FeedKind::Suspects => "suspects",
            FeedKind::Windows => "windows",
            FeedKind::Releases => "releases",
        }
    }
}

/// One object.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedObject {
    /// Its name, unique within its kind; empty if what the platform showed cannot be read as an object.
    pub name: CompactString,
    /// The revision of its last change.
    pub revision: u64,
    /// What it says, encoded as the platform encodes it.
    pub body: Bytes,
}

/// All objects of a kind at one revision.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct FeedPage {
    /// The objects.
    pub objects: Vec<FeedObject>,
    /// The store's revision; watches go on from here.
    pub as_of: u64,
}

/// One change.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum FeedEvent {
    /// An object was created or changed.
    Put(FeedObject),
    /// An object was removed.
    Gone {
        /// Its name.
        name: CompactString,
        /// The revision that it had, or that of its removal; what was written after it stays.
        revision: u64,
    },
}

/// What a watch brought.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedAnswer {
    /// Changes, oldest first, and the revision to go on from.
    Changes(Vec<FeedEvent>, u64),
    /// The history asked for is gone; only a new list helps.
    HistoryLost,
}

/// The condition of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FeedGuard {
    /// Only if there is no such object.
    Absent,
    /// Only if the object still has this revision.
    Is(u64),
}

/// How a conditional write ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum FeedWrite {
    /// It was made; the object's new revision.
    Made(u64),
    /// The condition did not hold; the object as it is, if there is one.
    Refused(Option<FeedObject>),
}

/// The store. Every call is bounded in time by its implementation.
pub trait FeedStore {
    /// All objects of `kind`.
    fn list(&self, kind: FeedKind) -> LocalBoxFuture<'_, Result<FeedPage>>;

    /// Changes of `kind` after revision `from`; waits up to `wait` for the first.
    fn watch(
        &self,
        kind: FeedKind,
        from: u64,
        wait: TimeSpan,
    ) -> LocalBoxFuture<'_, Result<FeedAnswer>>;

    /// Writes what the system says of an operators' object, if it still has this revision. A store that has no such
    /// objects refuses.
    fn write_status<'a>(
        &'a self,
        _kind: FeedKind,
        _name: &'a str,
        _revision: u64,
        _status: Bytes,
    ) -> LocalBoxFuture<'a, Result<FeedWrite>> {
        Box::pin(std::future::ready(Ok(FeedWrite::Refused(None))))
    }

    /// One object.
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
        guard: FeedGuard,
        body: Bytes,
    ) -> LocalBoxFuture<'a, Result<FeedWrite>>;

    /// Gives up kept connections, so that the next call makes a new one: they can fall silent for good.
    fn reset_connections(&self) {}

    /// Removes an object.
    fn remove<'a>(&'a self, kind: FeedKind, name: &'a str) -> LocalBoxFuture<'a, Result<()>>;
}

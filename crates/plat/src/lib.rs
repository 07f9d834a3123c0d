//! Interfaces to the platform: object store, endpoint list, cloud and orders to endpoints.
//!
//! Support for another platform is one new file beside `http.rs`. Errors distinguish the three cases
//! that callers must handle differently: the call was not sent, it was refused, or its outcome is unknown.

pub mod client;
pub mod cloud;
pub mod duty;
pub mod feed;
pub mod http;
pub mod json;
pub mod names;
pub mod order;
pub mod port;

pub use client::{new_client, new_connector};
pub use cloud::{CloudClient, CloudNotice, PriceEntry, StartAnswer, StartOrder};
pub use duty::{DutyAnswer, DutyPermit, DutyPort, DutyStamp, ScaleOrder, UsageReport};
pub use feed::{
    FeedCondition, FeedEvent, FeedKind, FeedObject, FeedPage, FeedStore, WatchOutcome, WriteOutcome,
};
pub use http::{HttpList, HttpStore, never_sent};
pub use order::{EndpointOrder, OrderAnswer, OrderClient, OrderKind};
pub use port::{
    EndpointList, EndpointListing, ObjectStore, PlatError, Result, StoredObject, VersionCondition,
    WatchAnswer, read_parts,
};

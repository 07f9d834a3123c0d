//! The platform behind narrow ports: an object API, an endpoint list, a cloud and endpoints' orders.
//!
//! A real platform is one new file beside `http.rs`. Every error tells apart what the decisions
//! must know: the call never left, it was refused, or its outcome is unknown.

pub mod cloud;
pub mod duty;
pub mod feed;
pub mod http;
pub mod order;
pub mod port;

pub use cloud::{CloudClient, CloudNotice, PriceEntry, StartAnswer, StartOrder};
pub use duty::{DutyAnswer, DutyPermit, DutyPort, DutyStamp, ScaleOrder, UsageReport};
pub use feed::{
    FeedAnswer, FeedEvent, FeedGuard, FeedKind, FeedObject, FeedPage, FeedStore, FeedWrite,
};
pub use http::{HttpList, HttpStore, never_sent};
pub use order::{EndpointOrder, OrderAnswer, OrderClient, OrderKind};
pub use port::{
    EndpointList, ObjectStore, PlatError, Result, StoredObject, VersionGuard, WatchAnswer,
    read_joined,
};

//! Basic types shared by all other crates: identifiers, time values, result codes, endpoint
//! records, hashes and chat request fields.
//!
//! This crate does no I/O and makes no decisions. It lets the decision crates share types without
//! depending on one another.

pub mod arena;
pub mod chat;
pub mod clock;
pub mod code;
pub mod endpoint;
pub mod era;
pub mod hash;
pub mod ident;

pub use arena::{ArenaKey, ItemArena};
pub use chat::{ChatHead, read_chat_head};
pub use clock::{ClockTime, TimeSpan};
pub use code::ResultCode;
pub use endpoint::{EndpointRecord, EndpointRole, EndpointStage, InstanceMarket, RequestRate};
pub use era::StoreEra;
pub use ident::{AccountName, DomainName, InstanceId, RequestId, ServiceName, VersionName};

//! The words every other crate speaks: identities, times, result codes and peer messages.
//!
//! Nothing here does I/O or decides anything. The crate exists so that the decision crates can
//! share types without depending on one another.

pub mod arena;
pub mod chat;
pub mod clock;
pub mod code;
pub mod endpoint;
pub mod hash;
pub mod ident;

pub use arena::{ArenaKey, ItemArena};
pub use chat::{ChatHead, read_chat_head};
pub use clock::{ClockTime, TimeSpan};
pub use code::ResultCode;
pub use endpoint::{EndpointRecord, EndpointRole, EndpointStage, InstanceMarket, RequestRate};
pub use ident::{AccountName, DomainName, InstanceId, RequestId, ServiceName, VersionName};

//! Connections to endpoints and to the platform, with the facts that a proxy's truth depends on.
//!
//! A client library answers "it failed". Whether a request may be sent again, and whether "not run"
//! may be said, depends on more: may a byte have left, was the answer whole by its own framing, did
//! the connection end or break, is anything left on it that belongs to nobody. So connections are
//! kept here, with the codec of the library underneath.

pub mod link;
pub mod pool;
pub mod socket;

pub use link::{BodyLink, HttpCodec, IdleLink, LinkError, Result, SentLink};
pub use pool::LinkPool;
pub use socket::{SocketBounds, configure_socket, listen_socket};

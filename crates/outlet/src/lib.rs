//! Connections to endpoints and to the platform that report what a proxy must know.
//!
//! A client library reports only that a request failed. Whether a request may be resent, and
//! whether "not run" may be stated, depends on more: whether a byte may have been sent, whether the
//! answer was complete by its own framing, whether the connection was closed or broke, and whether
//! unexpected bytes remain on it. Connections are therefore managed here, on top of the library's
//! codec.

pub mod dial;
mod head;
pub mod link;
pub mod overhead;
pub mod pool;
pub mod socket;

pub use dial::{EndpointDialer, TcpDialer};
pub use head::HeadWatch;
pub use link::{BodyEnd, BodyLink, BodyPart, HttpCodec, IdleLink, LinkError, Result, SentLink};
pub use overhead::OverheadCount;
pub use pool::LinkPool;
pub use socket::{SocketBounds, configure_socket, listen_socket, set_reset_on_close};

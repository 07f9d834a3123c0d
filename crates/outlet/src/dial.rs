//! The port through which connections to endpoints are opened.
//!
//! Every other network path of a process is separate from this one: it may lose all of its paths to
//! endpoints while callers, peers and the store still reach it.

use crate::link::{IdleLink, Result};
use crate::socket::SocketBounds;
use futures_util::future::{FutureExt, LocalBoxFuture};
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

/// Opens connections to endpoints.
pub trait EndpointDialer {
    /// Connects to an endpoint within `limit`.
    ///
    /// # Errors
    /// [`LinkError::ConnectFailed`](crate::LinkError::ConnectFailed); no byte of a request has been
    /// sent.
    fn dial(&self, address: SocketAddr, limit: Duration) -> LocalBoxFuture<'_, Result<IdleLink>>;
}

/// Opens TCP connections with the default [`SocketBounds`].
#[derive(Clone, Copy, Debug, Default)]
pub struct TcpDialer {
    /// The local address that connections come from; `None` if the system chooses it.
    pub source: Option<IpAddr>,
}

impl EndpointDialer for TcpDialer {
    fn dial(&self, address: SocketAddr, limit: Duration) -> LocalBoxFuture<'_, Result<IdleLink>> {
        IdleLink::open_from(self.source, address, limit, SocketBounds::default()).boxed_local()
    }
}

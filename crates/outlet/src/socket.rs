//! Options of sockets.

use socket2::{Domain, SockRef, Socket, TcpKeepalive, Type};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Connections that may wait to be accepted. After a restart every caller of a failure domain comes
/// at once; a full queue drops them for a second each.
const ACCEPT_BACKLOG: i32 = 1024;

/// How soon a connection that fell silent is given up.
///
/// A connection whose other side lost power, or that a device on the way forgot, shows no end. Only
/// probes and unacknowledged bytes tell.
#[derive(Clone, Copy, Debug)]
pub struct SocketBounds {
    /// Idle time before the first probe, and between probes.
    pub probe_period: Duration,
    /// Probes without an answer before the connection counts as dead.
    pub probes: u32,
    /// How long written bytes may stay unacknowledged.
    pub unacked_timeout: Duration,
}

impl Default for SocketBounds {
    /// Dead after 3 s, which is half of what a caller of a stream bears without an event, so that
    /// the other half is left for another endpoint.
    fn default() -> Self {
        SocketBounds {
            probe_period: Duration::from_secs(1),
            probes: 2,
            unacked_timeout: Duration::from_secs(3),
        }
    }
}

/// Sets the options of a connection: no delay of small writes, and `bounds`.
///
/// # Errors
/// The system's.
pub fn configure_socket(stream: &TcpStream, bounds: SocketBounds) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let probes = TcpKeepalive::new()
        .with_time(bounds.probe_period)
        .with_interval(bounds.probe_period)
        .with_retries(bounds.probes);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(bounds.unacked_timeout))
}

/// Listens at `address`. The address may be taken again right after an earlier process ended.
///
/// # Errors
/// The system's.
pub fn listen_socket(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    TcpListener::from_std(socket.into())
}

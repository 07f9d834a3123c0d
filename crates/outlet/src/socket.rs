//! Socket options.

use socket2::{Domain, SockRef, Socket, TcpKeepalive, Type};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};

/// Length of the accept queue. After a restart all callers of a failure domain connect at once; a
/// full queue delays each dropped one by a second.
const ACCEPT_BACKLOG: i32 = 1024;

/// How soon an unresponsive connection is given up.
///
/// A connection whose peer lost power, or whose state a middlebox dropped, shows no end. Only
/// keepalive probes and unacknowledged bytes reveal it.
#[derive(Clone, Copy, Debug)]
pub struct SocketBounds {
    /// Idle time before the first keepalive probe, and interval between probes.
    pub probe_period: Duration,
    /// How long sent bytes or probes may stay unacknowledged.
    pub unacked_timeout: Duration,
}

impl Default for SocketBounds {
    /// Dead after 3 s, half of the time that a caller of a stream waits for an event, so that the
    /// other half is left for another endpoint.
    fn default() -> Self {
        SocketBounds {
            probe_period: Duration::from_secs(1),
            unacked_timeout: Duration::from_secs(3),
        }
    }
}

/// Sets the options of a connection: TCP_NODELAY and `bounds`.
///
/// A TCP_USER_TIMEOUT that is set also decides when probes give up, whatever their number. No
/// number is therefore set, and `unacked_timeout` is the only bound.
///
/// # Errors
/// Returns the error of the system call.
pub fn configure_socket(stream: &TcpStream, bounds: SocketBounds) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let probes =
        TcpKeepalive::new().with_time(bounds.probe_period).with_interval(bounds.probe_period);
    let socket = SockRef::from(stream);
    socket.set_tcp_keepalive(&probes)?;
    socket.set_tcp_user_timeout(Some(bounds.unacked_timeout))
}

/// Sets whether `stream` is reset when it is closed, also when the process ends, so that the other side
/// cannot take the end of the connection for the end of what it receives.
///
/// # Errors
/// Returns the error of the system call.
pub fn set_reset_on_close(stream: &TcpStream, resets: bool) -> std::io::Result<()> {
    SockRef::from(stream).set_linger(resets.then_some(Duration::ZERO))
}

/// Listens at `address`, which can be reused right after an earlier process ended.
///
/// # Errors
/// Returns the error of the system call.
pub fn listen_socket(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(ACCEPT_BACKLOG)?;
    TcpListener::from_std(socket.into())
}

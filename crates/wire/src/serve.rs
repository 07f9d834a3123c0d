//! Incoming peer connections: accepts them, dispatches calls to a handler and sends the answers.

use crate::hub::{PeerMessage, TrafficCounters, websocket_config};
use crate::message::{PeerBody, encode_frame, read_frame};
use bytes::Bytes;
use futures_util::{SinkExt, StreamExt};
use oleander_outlet::{SocketBounds, configure_socket};
use std::future::Future;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::sync::Arc;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{Semaphore, mpsc};
use tokio::task::{JoinHandle, JoinSet};
use tokio_tungstenite::tungstenite::Message as WsMessage;

/// Maximum number of answers queued for one connection.
const MAX_QUEUED_ANSWERS: usize = 1024;
/// Maximum number of concurrent calls per connection. Further calls wait in the socket buffer.
const MAX_CONCURRENT_CALLS: usize = 256;

/// Handles calls from peers.
pub trait PeerHandler<B = PeerBody>: 'static {
    /// Handles one call and returns the answer.
    fn answer(&self, body: B) -> Pin<Box<dyn Future<Output = B>>>;
}

/// A running listener for peer connections. Dropping it closes the listener and all connections it
/// accepted.
pub struct PeerListener {
    address: SocketAddr,
    accepting: JoinHandle<()>,
}

impl PeerListener {
    /// Returns the local address of the listener.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for PeerListener {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

/// Binds the listening socket for peer connections. Port 0 selects any free port.
///
/// # Errors
/// Returns the operating system's error if the address cannot be bound.
pub async fn bind_peer_listener(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Accepts peer connections on `listener` and answers their calls with `handler`.
///
/// # Errors
/// Returns the operating system's error if the listener has no local address.
pub fn serve_peers<B: PeerMessage>(
    listener: TcpListener,
    handler: Rc<dyn PeerHandler<B>>,
    traffic: Rc<TrafficCounters>,
) -> std::io::Result<PeerListener> {
    let address = listener.local_addr()?;
    let accepting = actix_rt::spawn(async move {
        let mut connections = JoinSet::new();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                Some(_) = connections.join_next() => continue,
            };
            let Ok((stream, _)) = accepted else { continue };
            if configure_socket(&stream, SocketBounds::default()).is_err() {
                continue;
            }
            connections.spawn_local(serve_connection(stream, handler.clone(), traffic.clone()));
        }
    });
    Ok(PeerListener { address, accepting })
}

async fn serve_connection<B: PeerMessage>(
    stream: TcpStream,
    handler: Rc<dyn PeerHandler<B>>,
    traffic: Rc<TrafficCounters>,
) {
    let opened =
        tokio_tungstenite::accept_async_with_config(stream, Some(websocket_config())).await;
    let Ok(socket) = opened else { return };
    let (mut sink, mut source) = socket.split();
    let (answers, mut queue) = mpsc::channel::<Bytes>(MAX_QUEUED_ANSWERS);
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_CALLS));
    loop {
        tokio::select! {
            answer = queue.recv() => {
                let Some(answer) = answer else { return };
                traffic.count_sent(answer.len());
                if sink.send(WsMessage::Binary(answer)).await.is_err() {
                    return;
                }
            }
            message = source.next() => {
                let Some(Ok(message)) = message else { return };
                let WsMessage::Binary(bytes) = message else { continue };
                traffic.count_received(bytes.len());
                let Ok(frame) = read_frame(&bytes) else { return };
                let Ok(permit) = permits.clone().acquire_owned().await else { return };
                let answers = answers.clone();
                let handler = handler.clone();
                actix_rt::spawn(async move {
                    let body = handler.answer(frame.body).await;
                    let _ = answers.send(encode_frame(frame.number, body)).await;
                    drop(permit);
                });
            }
        }
    }
}

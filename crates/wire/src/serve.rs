//! Incoming links.

use crate::hub::{LinkBody, TrafficCount, link_config};
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

/// Answers that may wait for one link.
const ANSWER_QUEUE: usize = 1024;
/// Calls of one peer that are worked on at once; more wait in the socket.
const CALLS_AT_ONCE: usize = 256;

/// Answers calls of peers.
pub trait PeerHandler<B = PeerBody>: 'static {
    /// Answers one call.
    fn answer(&self, body: B) -> Pin<Box<dyn Future<Output = B>>>;
}

/// A listener for peers; dropping it closes it, and the links that it accepted.
pub struct PeerListener {
    address: SocketAddr,
    accepting: JoinHandle<()>,
}

impl PeerListener {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for PeerListener {
    fn drop(&mut self) {
        self.accepting.abort();
    }
}

/// Takes the address at which peers will be answered (port 0: any free one).
///
/// # Errors
/// The system's, if it cannot listen there.
pub async fn bind_peers(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}

/// Answers peers at `listener`.
///
/// # Errors
/// The system's, if the listener has no address.
pub fn listen_peers<B: LinkBody>(
    listener: TcpListener,
    handler: Rc<dyn PeerHandler<B>>,
    traffic: Rc<TrafficCount>,
) -> std::io::Result<PeerListener> {
    let address = listener.local_addr()?;
    let accepting = actix_rt::spawn(async move {
        let mut links = JoinSet::new();
        loop {
            let accepted = tokio::select! {
                accepted = listener.accept() => accepted,
                Some(_) = links.join_next() => continue,
            };
            let Ok((stream, _)) = accepted else { continue };
            if configure_socket(&stream, SocketBounds::default()).is_err() {
                continue;
            }
            links.spawn_local(serve_link(stream, handler.clone(), traffic.clone()));
        }
    });
    Ok(PeerListener { address, accepting })
}

async fn serve_link<B: LinkBody>(
    stream: TcpStream,
    handler: Rc<dyn PeerHandler<B>>,
    traffic: Rc<TrafficCount>,
) {
    let opened = tokio_tungstenite::accept_async_with_config(stream, Some(link_config())).await;
    let Ok(socket) = opened else { return };
    let (mut sink, mut source) = socket.split();
    let (answers, mut queue) = mpsc::channel::<Bytes>(ANSWER_QUEUE);
    let places = Arc::new(Semaphore::new(CALLS_AT_ONCE));
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
                let Ok(place) = places.clone().acquire_owned().await else { return };
                let answers = answers.clone();
                let handler = handler.clone();
                actix_rt::spawn(async move {
                    let body = handler.answer(frame.body).await;
                    let _ = answers.send(encode_frame(frame.number, body)).await;
                    drop(place);
                });
            }
        }
    }
}

//! Outgoing peer connections. Each peer has one WebSocket connection, opened on the first call and
//! closed when idle.

use crate::message::{MAX_FRAME_BYTES, PeerBody, encode_frame, read_frame};
use crate::{Result, WireError};
use actix::{Actor, AsyncContext, Context, Handler, Message, ResponseFuture};
use bytes::Bytes;
use compact_str::CompactString;
use futures_util::{SinkExt, StreamExt};
use oleander_kind::TimeSpan;
use oleander_outlet::{SocketBounds, configure_socket};
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio_tungstenite::tungstenite::Message as WsMessage;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;

/// Maximum number of frames queued for one connection.
const MAX_QUEUED_FRAMES: usize = 1024;
/// Connections without calls for this long are closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Timeout for the TCP connect and, separately, for the WebSocket handshake.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);
/// How long answers are still read from a connection that is used no more; longer than calls between front
/// processes wait.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_secs(2);

/// Counters for bytes and frames exchanged with peers.
#[derive(Debug, Default)]
pub struct TrafficCounters {
    /// Bytes sent.
    pub sent: Cell<u64>,
    /// Bytes received.
    pub received: Cell<u64>,
    /// Frames sent and received.
    pub frames: Cell<u64>,
    /// Bytes of requests and answers replicated for other processes, as opposed to control messages.
    pub held: Cell<u64>,
}

impl TrafficCounters {
    /// Counts one sent frame of `bytes` bytes.
    pub fn count_sent(&self, bytes: usize) {
        self.sent.set(self.sent.get() + bytes as u64);
        self.frames.set(self.frames.get() + 1);
    }

    /// Counts one received frame of `bytes` bytes.
    pub fn count_received(&self, bytes: usize) {
        self.received.set(self.received.get() + bytes as u64);
        self.frames.set(self.frames.get() + 1);
    }
}

/// Returns the WebSocket configuration of peer connections, which bounds messages and frames to
/// [`MAX_FRAME_BYTES`].
pub fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .max_message_size(Some(MAX_FRAME_BYTES))
        .max_frame_size(Some(MAX_FRAME_BYTES))
}

type PendingCalls<B> = Rc<RefCell<HashMap<u64, oneshot::Sender<B>>>>;

/// A message type that can be exchanged over peer connections.
pub trait PeerMessage: Serialize + DeserializeOwned + 'static {}

impl<B: Serialize + DeserializeOwned + 'static> PeerMessage for B {}

struct PeerConnection<B> {
    queue: mpsc::Sender<Bytes>,
    pending: PendingCalls<B>,
    used_at: Instant,
}

/// Sends a call to the peer at `address` and waits for its answer.
#[derive(Message)]
#[rtype(result = "Result<B>")]
pub struct CallPeer<B: PeerMessage = PeerBody> {
    /// Network address of the peer as `ip:port`.
    pub address: CompactString,
    /// The message to send.
    pub body: B,
    /// Timeout for the answer.
    pub limit: TimeSpan,
}

/// Gives up the connection to a peer that does not answer. A connection can stop delivering data
/// permanently while new connections work, so the next call opens a new one. Calls that were sent on it
/// before keep their time limits, as the peer may yet answer them.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ClosePeer(pub CompactString);

/// Actor that owns the outgoing peer connections and matches answers to calls.
pub struct PeerHub<B: PeerMessage = PeerBody> {
    connections: HashMap<CompactString, PeerConnection<B>>,
    next_number: u64,
    traffic: Rc<TrafficCounters>,
}

impl<B: PeerMessage> PeerHub<B> {
    /// Creates a hub without connections that counts its traffic in `traffic`.
    pub fn new(traffic: Rc<TrafficCounters>) -> Self {
        PeerHub { connections: HashMap::new(), next_number: 0, traffic }
    }

    fn connection(&mut self, address: &CompactString) -> &mut PeerConnection<B> {
        let closed =
            self.connections.get(address).is_some_and(|connection| connection.queue.is_closed());
        if closed {
            self.connections.remove(address);
        }
        let traffic = self.traffic.clone();
        self.connections
            .entry(address.clone())
            .or_insert_with(|| open_connection(address.clone(), traffic))
    }

    fn close_idle(&mut self) {
        self.connections.retain(|_, connection| {
            let busy = !connection.pending.borrow().is_empty();
            busy || connection.used_at.elapsed() < IDLE_TIMEOUT
        });
    }
}

impl<B: PeerMessage> Actor for PeerHub<B> {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.run_interval(IDLE_TIMEOUT / 4, |hub, _| hub.close_idle());
    }
}

impl<B: PeerMessage> Handler<ClosePeer> for PeerHub<B> {
    type Result = ();

    fn handle(&mut self, close: ClosePeer, _: &mut Self::Context) {
        self.connections.remove(&close.0);
    }
}

impl<B: PeerMessage> Handler<CallPeer<B>> for PeerHub<B> {
    type Result = ResponseFuture<Result<B>>;

    fn handle(&mut self, call: CallPeer<B>, _: &mut Self::Context) -> Self::Result {
        self.next_number += 1;
        let number = self.next_number;
        let CallPeer { address, body, limit } = call;
        let frame = encode_frame(number, body);
        let connection = self.connection(&address);
        connection.used_at = Instant::now();
        let (answer, receiver) = oneshot::channel();
        connection.pending.borrow_mut().insert(number, answer);
        let pending = connection.pending.clone();
        let queued = connection.queue.try_send(frame).is_ok();
        Box::pin(async move {
            let unreached = || WireError::Unreached(address.to_string());
            if !queued {
                pending.borrow_mut().remove(&number);
                return Err(unreached());
            }
            let outcome = actix_rt::time::timeout(limit.duration(), receiver).await;
            pending.borrow_mut().remove(&number);
            match outcome {
                Ok(Ok(body)) => Ok(body),
                Ok(Err(_)) => Err(unreached()),
                Err(_) => Err(WireError::Timeout(address.to_string())),
            }
        })
    }
}

fn open_connection<B: PeerMessage>(
    address: CompactString,
    traffic: Rc<TrafficCounters>,
) -> PeerConnection<B> {
    let (queue, frames) = mpsc::channel(MAX_QUEUED_FRAMES);
    let pending = PendingCalls::<B>::default();
    let calls = pending.clone();
    actix_rt::spawn(async move {
        let _ = run_connection(&address, frames, &calls, &traffic).await;
        // Dropping the senders fails all pending calls immediately.
        calls.borrow_mut().clear();
    });
    PeerConnection { queue, pending, used_at: Instant::now() }
}

async fn run_connection<B: PeerMessage>(
    address: &str,
    mut frames: mpsc::Receiver<Bytes>,
    calls: &PendingCalls<B>,
    traffic: &TrafficCounters,
) -> Result<()> {
    let unreached = || WireError::Unreached(address.to_owned());
    let connecting = actix_rt::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = connecting.map_err(|_| unreached())?.map_err(|_| unreached())?;
    configure_socket(&stream, SocketBounds::default()).map_err(|_| unreached())?;
    let url = format!("ws://{address}/peer");
    let opening =
        tokio_tungstenite::client_async_with_config(url, stream, Some(websocket_config()));
    let opened = actix_rt::time::timeout(CONNECT_TIMEOUT, opening).await;
    let (socket, _) = opened.map_err(|_| unreached())?.map_err(|_| unreached())?;
    let (mut sink, mut source) = socket.split();
    let mut ends_at = None;
    while ends_at.is_none() || !calls.borrow().is_empty() {
        tokio::select! {
            frame = frames.recv(), if ends_at.is_none() => {
                let Some(frame) = frame else {
                    ends_at = Some(tokio::time::Instant::now() + LATE_ANSWER_TIMEOUT);
                    continue;
                };
                traffic.count_sent(frame.len());
                let sent = sink.send(WsMessage::Binary(frame)).await;
                sent.map_err(|_| unreached())?;
            }
            () = reached(ends_at) => return Ok(()),
            message = source.next() => {
                let message = message.ok_or_else(unreached)?.map_err(|_| unreached())?;
                let WsMessage::Binary(bytes) = message else { continue };
                traffic.count_received(bytes.len());
                let frame = read_frame(&bytes)?;
                let sender = calls.borrow_mut().remove(&frame.number);
                if let Some(sender) = sender {
                    let _ = sender.send(frame.body);
                }
            }
        }
    }
    Ok(())
}

/// Returns at `time`; never if there is none.
async fn reached(time: Option<tokio::time::Instant>) {
    match time {
        Some(time) => tokio::time::sleep_until(time).await,
        None => std::future::pending().await,
    }
}

//! Outgoing links: one a peer, made when first needed, closed when idle.

use crate::message::{FRAME_LIMIT, PeerBody, encode_frame, read_frame};
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

/// Frames that may wait for one link.
const LINK_QUEUE: usize = 1024;
/// A link without a call for this long is closed.
const LINK_IDLE: Duration = Duration::from_secs(60);
/// Time to make a connection.
const CONNECT_LIMIT: Duration = Duration::from_secs(2);

/// Bytes and frames to and from peers.
#[derive(Debug, Default)]
pub struct TrafficCount {
    /// Bytes sent.
    pub sent: Cell<u64>,
    /// Bytes received.
    pub received: Cell<u64>,
    /// Frames sent and received.
    pub frames: Cell<u64>,
    /// Bytes of requests and answers that are held for others; not control.
    pub held: Cell<u64>,
}

impl TrafficCount {
    /// Counts a frame that was sent.
    pub fn count_sent(&self, bytes: usize) {
        self.sent.set(self.sent.get() + bytes as u64);
        self.frames.set(self.frames.get() + 1);
    }

    /// Counts a frame that was received.
    pub fn count_received(&self, bytes: usize) {
        self.received.set(self.received.get() + bytes as u64);
        self.frames.set(self.frames.get() + 1);
    }
}

/// The frame limits of every link.
pub fn link_config() -> WebSocketConfig {
    WebSocketConfig::default().max_message_size(Some(FRAME_LIMIT)).max_frame_size(Some(FRAME_LIMIT))
}

type WaitingCalls<B> = Rc<RefCell<HashMap<u64, oneshot::Sender<B>>>>;

/// What travels on links.
pub trait LinkBody: Serialize + DeserializeOwned + 'static {}

impl<B: Serialize + DeserializeOwned + 'static> LinkBody for B {}

struct PeerLink<B> {
    queue: mpsc::Sender<Bytes>,
    waiting: WaitingCalls<B>,
    used_at: Instant,
}

/// A call to the peer at `address`.
#[derive(Message)]
#[rtype(result = "Result<B>")]
pub struct CallPeer<B: LinkBody = PeerBody> {
    /// `ip:port`.
    pub address: CompactString,
    /// The message.
    pub body: B,
    /// How long to wait for the answer.
    pub limit: TimeSpan,
}

/// Closes the link to a peer that does not answer. A connection may fall silent for good while new
/// ones work; the next call then makes a new one.
#[derive(Message)]
#[rtype(result = "()")]
pub struct ForgetPeer(pub CompactString);

/// Owns the outgoing links.
pub struct PeerHub<B: LinkBody = PeerBody> {
    links: HashMap<CompactString, PeerLink<B>>,
    next_number: u64,
    traffic: Rc<TrafficCount>,
}

impl<B: LinkBody> PeerHub<B> {
    /// A hub without links that counts into `traffic`.
    pub fn new(traffic: Rc<TrafficCount>) -> Self {
        PeerHub { links: HashMap::new(), next_number: 0, traffic }
    }

    fn link(&mut self, address: &CompactString) -> &mut PeerLink<B> {
        let closed = self.links.get(address).is_some_and(|link| link.queue.is_closed());
        if closed {
            self.links.remove(address);
        }
        let traffic = self.traffic.clone();
        self.links.entry(address.clone()).or_insert_with(|| open_link(address.clone(), traffic))
    }

    fn close_idle(&mut self) {
        self.links.retain(|_, link| {
            let busy = !link.waiting.borrow().is_empty();
            busy || link.used_at.elapsed() < LINK_IDLE
        });
    }
}

impl<B: LinkBody> Actor for PeerHub<B> {
    type Context = Context<Self>;

    fn started(&mut self, context: &mut Self::Context) {
        context.run_interval(LINK_IDLE / 4, |hub, _| hub.close_idle());
    }
}

impl<B: LinkBody> Handler<ForgetPeer> for PeerHub<B> {
    type Result = ();

    fn handle(&mut self, forget: ForgetPeer, _: &mut Self::Context) {
        self.links.remove(&forget.0);
    }
}

impl<B: LinkBody> Handler<CallPeer<B>> for PeerHub<B> {
    type Result = ResponseFuture<Result<B>>;

    fn handle(&mut self, call: CallPeer<B>, _: &mut Self::Context) -> Self::Result {
        self.next_number += 1;
        let number = self.next_number;
        let CallPeer { address, body, limit } = call;
        let frame = encode_frame(number, body);
        let link = self.link(&address);
        link.used_at = Instant::now();
        let (answer, answered) = oneshot::channel();
        link.waiting.borrow_mut().insert(number, answer);
        let waiting = link.waiting.clone();
        let queued = link.queue.try_send(frame).is_ok();
        Box::pin(async move {
            let unreached = || WireError::Unreached(address.to_string());
            if !queued {
                waiting.borrow_mut().remove(&number);
                return Err(unreached());
            }
            let outcome = actix_rt::time::timeout(limit.duration(), answered).await;
            waiting.borrow_mut().remove(&number);
            match outcome {
                Ok(Ok(body)) => Ok(body),
                Ok(Err(_)) => Err(unreached()),
                Err(_) => Err(WireError::Timeout(address.to_string())),
            }
        })
    }
}

fn open_link<B: LinkBody>(address: CompactString, traffic: Rc<TrafficCount>) -> PeerLink<B> {
    let (queue, frames) = mpsc::channel(LINK_QUEUE);
    let waiting = WaitingCalls::<B>::default();
    let calls = waiting.clone();
    actix_rt::spawn(async move {
        let _ = run_link(&address, frames, &calls, &traffic).await;
        // Whoever still waits learns at once that no answer comes.
        calls.borrow_mut().clear();
    });
    PeerLink { queue, waiting, used_at: Instant::now() }
}

async fn run_link<B: LinkBody>(
    address: &str,
    mut frames: mpsc::Receiver<Bytes>,
    calls: &WaitingCalls<B>,
    traffic: &TrafficCount,
) -> Result<()> {
    let unreached = || WireError::Unreached(address.to_owned());
    let connecting = actix_rt::time::timeout(CONNECT_LIMIT, TcpStream::connect(address)).await;
    let stream = connecting.map_err(|_| unreached())?.map_err(|_| unreached())?;
    configure_socket(&stream, SocketBounds::default()).map_err(|_| unreached())?;
    let url = format!("ws://{address}/peer");
    let opening = tokio_tungstenite::client_async_with_config(url, stream, Some(link_config()));
    let opened = actix_rt::time::timeout(CONNECT_LIMIT, opening).await;
    let (socket, _) = opened.map_err(|_| unreached())?.map_err(|_| unreached())?;
    let (mut sink, mut source) = socket.split();
    loop {
        tokio::select! {
            frame = frames.recv() => {
                let Some(frame) = frame else { return Ok(()) };
                traffic.count_sent(frame.len());
                let sent = sink.send(WsMessage::Binary(frame)).await;
                sent.map_err(|_| unreached())?;
            }
            message = source.next() => {
                let message = message.ok_or_else(unreached)?.map_err(|_| unreached())?;
                let WsMessage::Binary(bytes) = message else { continue };
                traffic.count_received(bytes.len());
                let frame = read_frame(&bytes)?;
                let waiter = calls.borrow_mut().remove(&frame.number);
                if let Some(waiter) = waiter {
                    let _ = waiter.send(frame.body);
                }
            }
        }
    }
}

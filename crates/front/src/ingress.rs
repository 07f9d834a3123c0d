//! Accepts callers' HTTP connections, has their requests read and answered one after another, and cancels a request
//! whose caller disconnects.
//!
//! The connection loop of `actix_http` fixes its limits when it is built. Here the limits change with
//! the rules in force, so this module has its own loop and uses only the codec of `actix_http`.

mod closing;
mod reading;

use self::closing::{linger, refuse_and_close};
use crate::answer::{AnswerStage, AnswerWriter};
use crate::connection::{ConnectionEnd, ConnectionTrace};
use crate::drive::serve_call;
use crate::events::event;
use crate::holding::log_gave_way;
use crate::node::FrontNode;
use actix_http::h1::Codec;
use actix_http::{Request, RequestHead};
use bytes::BytesMut;
use compact_str::CompactString;
use oleander_board::StopStage;
use oleander_call::CallerBounds;
use oleander_hold::{BodyChain, CallerHold};
use oleander_kind::ResultCode;
use oleander_outlet::{SocketBounds, configure_socket};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::tcp::ReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

/// Bytes reserved for one read.
const READ_SIZE: usize = 4096;
/// Most bytes of pipelined requests that are buffered while one is answered, for which there was room when that one was
/// read; the rest stays in the socket.
const PIPELINE_LIMIT: usize = READ_SIZE;

/// A caller's request, read completely.
pub struct CallerRequest {
    /// Request line and headers.
    pub head: RequestHead,
    /// The complete body.
    pub body: BodyChain,
    /// What its connection holds.
    pub(crate) hold: Rc<CallerHold>,
}

/// Accepts connections of callers until the process stops and has no request under way.
pub async fn accept_callers(node: Rc<FrontNode>, listener: TcpListener) {
    loop {
        tokio::select! {
            biased;
            accepted = accept_next(&node, &listener) => match accepted {
                Ok((stream, _)) => spawn_connection(&node, stream),
                Err(fault) => {
                    // Most likely the process is out of file descriptors; connections that close release some soon.
                    event!(node, CallerFault; "fault" => fault.to_string());
                    actix_rt::time::sleep(Duration::from_millis(20)).await;
                }
            },
            () = node.close_idle.notified() => {
                if node.stop.get() != StopStage::Serving && node.in_flight.get() == 0 {
                    break;
                }
            }
        }
    }
    // What waits to be accepted would be reset with the listener.
    tokio::task::yield_now().await;
    while let Ok(accepted) = timeout(Duration::ZERO, listener.accept()).await {
        match accepted {
            Ok((stream, _)) => spawn_connection(&node, stream),
            Err(fault) => {
                event!(node, CallerFault; "fault" => fault.to_string());
                return;
            }
        }
    }
}

/// Accepts a connection when callers may have another one. Until then it waits in the queue of the socket.
async fn accept_next(
    node: &FrontNode,
    listener: &TcpListener,
) -> io::Result<(TcpStream, SocketAddr)> {
    node.holds.until_acceptable().await;
    listener.accept().await
}

fn spawn_connection(node: &Rc<FrontNode>, stream: TcpStream) {
    let connection = CallerConnection {
        node: node.clone(),
        stream,
        codec: Codec::new(node.http.config().clone()),
        buffer: BytesMut::new(),
        discarded: 0,
        partial: None,
        hold: CallerHold::open(&node.holds),
        trace: ConnectionTrace::new(node),
    };
    actix_rt::spawn(serve_connection(connection));
}

/// A caller's connection.
struct CallerConnection {
    node: Rc<FrontNode>,
    stream: TcpStream,
    codec: Codec,
    buffer: BytesMut,
    /// Bytes that were read and discarded after the last answer.
    discarded: usize,
    /// The request of which only the body is not read to its end.
    partial: Option<Request>,
    hold: Rc<CallerHold>,
    trace: ConnectionTrace,
}

async fn serve_connection(mut connection: CallerConnection) {
    if let Err(fault) = configure_socket(&connection.stream, SocketBounds::default()) {
        event!(connection.node, CallerFault; "fault" => fault.to_string());
    }
    let end = connection.serve().await;
    let left = connection.take_unanswered(end).await;
    connection.trace.end(end, left);
    let CallerConnection { node, stream, mut codec, hold, trace: _trace, .. } = connection;
    hold.leave();
    if let ConnectionEnd::Refused(code) = end {
        let lingers = code != ResultCode::MemoryFull || !hold.is_closing_many();
        refuse_and_close(&node, stream, &mut codec, (code, lingers)).await;
    }
}

fn caller_bounds(node: &FrontNode) -> CallerBounds {
    node.rules.borrow().current().map_or_else(CallerBounds::default, |rules| rules.bounds())
}

impl CallerConnection {
    /// Answers requests until the connection ends.
    async fn serve(&mut self) -> ConnectionEnd {
        let (node, hold) = (self.node.clone(), self.hold.clone());
        loop {
            let read = tokio::select! {
                biased;
                read = self.read_request() => read,
                () = node.until_stopped() => Err(match self.trace.is_reading() {
                    true => ConnectionEnd::Refused(ResultCode::Draining),
                    false => ConnectionEnd::Stop,
                }),
                _ = hold.until_evicted() => match self.give_way().await {
                    Ok(()) => continue,
                    Err(end) => Err(end),
                },
            };
            let request = match read {
                Ok(request) => request,
                Err(end) => {
                    self.note_gave_way();
                    return end;
                }
            };
            match self.answer(request).await {
                NextUse::Request => {
                    self.trace.note_answered();
                    self.rest();
                }
                NextUse::Close => return ConnectionEnd::Unfinished,
                NextUse::CallerGone => return ConnectionEnd::Caller,
                NextUse::Linger => {
                    self.hold.leave();
                    self.discarded = linger(&mut self.stream).await;
                    return ConnectionEnd::Answered;
                }
            }
        }
    }

    /// Keeps no more than what was sent of the next request.
    fn rest(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = BytesMut::new();
        }
        self.hold.rest(self.buffer.capacity());
    }

    /// Ends the connection in favour of others, unless it rested and a request is in its socket.
    async fn give_way(&mut self) -> Result<(), ConnectionEnd> {
        if self.trace.is_reading() {
            return Err(ConnectionEnd::Refused(ResultCode::MemoryFull));
        }
        self.end_unless_sent(ConnectionEnd::GaveWay).await?;
        self.hold.begin();
        Ok(())
    }

    /// Logs a request that gave way, and drops what was read of it.
    fn note_gave_way(&mut self) {
        let Some(eviction) = self.hold.eviction().filter(|_| self.trace.is_reading()) else {
            return;
        };
        let request = self.partial.as_ref().and_then(|request| self.request_id(request));
        log_gave_way(&self.node, request.as_deref(), &eviction);
        self.buffer = BytesMut::new();
    }

    fn request_id(&self, request: &Request) -> Option<CompactString> {
        self.node.dialect.parse_request(request.head()).ok().map(|call| call.id)
    }

    /// Answers one request.
    async fn answer(&mut self, (mut request, body): (Request, BodyChain)) -> NextUse {
        let CallerConnection { node, stream, codec, buffer, hold, .. } = self;
        node.in_flight.set(node.in_flight.get() + 1);
        let _guard = InflightGuard(&node.in_flight);
        let (mut reader, writer) = stream.split();
        let mut answer =
            AnswerWriter::new(writer, codec, false).follow_stop(&node.stop).follow_hold(hold);
        let head = std::mem::take(request.head_mut());
        let request = CallerRequest { head, body, hold: hold.clone() };
        if buffer.is_empty() {
            *buffer = BytesMut::new();
        }
        // Boxed, as most connections rest and have none.
        let serving = Box::pin(serve_call(node, request, &mut answer));
        tokio::select! {
            biased;
            outcome = serving => match outcome {
                Ok(()) if answer.can_reuse() => NextUse::Request,
                Ok(()) => end_answered(&mut answer).await,
                Err(_) => NextUse::Close,
            },
            () = wait_caller_close(&mut reader, buffer) => NextUse::CallerGone,
            eviction = hold.until_evicted() => {
                log_gave_way(node, None, &eviction);
                NextUse::Close
            }
            () = node.until_stopped() => match answer.stage() {
                AnswerStage::Waiting => {
                    // It may be under way at an endpoint.
                    match answer.refuse(ResultCode::Uncertain, None).await {
                        Ok(()) => end_answered(&mut answer).await,
                        Err(_) => NextUse::Close,
                    }
                }
                AnswerStage::Begun | AnswerStage::Done => NextUse::Close,
            },
        }
    }
}

struct InflightGuard<'a>(&'a Cell<usize>);

impl Drop for InflightGuard<'_> {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// What a connection is used for after an answer.
enum NextUse {
    /// For another request.
    Request,
    /// For nothing.
    Close,
    /// For nothing: the caller closed it before it had its answer.
    CallerGone,
    /// This side was closed in an orderly way; the caller still has to read what was sent.
    Linger,
}

/// Closes this side of the connection after an answer to its end.
async fn end_answered(answer: &mut AnswerWriter<'_>) -> NextUse {
    match answer.shut_down().await {
        Ok(()) => NextUse::Linger,
        Err(_) => NextUse::Close,
    }
}

/// Waits until the caller closes its side. Bytes that it sends meanwhile are buffered as pipelined requests.
async fn wait_caller_close(reader: &mut ReadHalf<'_>, buffer: &mut BytesMut) {
    while buffer.len() < PIPELINE_LIMIT {
        if reader.readable().await.is_err() {
            return;
        }
        buffer.reserve(READ_SIZE);
        match reader.try_read_buf(buffer) {
            Err(fault) if fault.kind() == io::ErrorKind::WouldBlock => {}
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
    std::future::pending().await
}

//! Accepts callers' HTTP connections, reads requests within the configured size and time limits, and
//! cancels a request whose caller disconnects.
//!
//! The connection loop of `actix_http` fixes its limits when it is built. Here the limits change with
//! the rules in force, so this module has its own loop and uses only the codec of `actix_http`.

use crate::answer::{AnswerStage, AnswerWriter};
use crate::connection::{ConnectionEnd, ConnectionTrace, UnansweredBytes};
use crate::drive::serve_call;
use crate::events::event;
use crate::holding::{log_gave_way, log_room_full};
use crate::node::FrontNode;
use actix_codec::Decoder;
use actix_http::error::ParseError;
use actix_http::h1::{Codec, Message, MessageType};
use actix_http::header::CONTENT_LENGTH;
use actix_http::{Request, RequestHead};
use bytes::BytesMut;
use compact_str::CompactString;
use oleander_board::StopStage;
use oleander_call::CallerBounds;
use oleander_hold::bounds::REQUEST_BYTES;
use oleander_hold::{BodyBuffer, BodyChain, CallerHold};
use oleander_kind::{ResultCode, TimeSpan};
use oleander_outlet::{OverheadCount, SocketBounds, configure_socket};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::ReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, timeout, timeout_at};

/// Bytes reserved for one read.
const READ_SIZE: usize = 4096;
/// Most bytes of pipelined requests that are buffered while one is answered, for which there was room when that one was
/// read; the rest stays in the socket.
const PIPELINE_LIMIT: usize = READ_SIZE;
/// Bytes that are read of a body whose head says that it is too long, while the limit may grow.
const OVERSIZE_BYTES: usize = 64 << 10;
/// Shortest Retry-After time of a request that gave way to others.
const MEMORY_RETRY: TimeSpan = TimeSpan(500);
/// How long what the caller still sends is read and discarded after the last answer of a connection, so that the
/// caller sees the answer instead of a connection reset.
const LINGER_TIME: Duration = Duration::from_millis(500);
/// Most bytes that are read and discarded then.
const LINGER_BYTES: usize = 1 << 20;
/// How long a request that crosses the close of an idle connection is watched for: more than a round trip to any
/// caller.
const CROSSING_TIME: Duration = Duration::from_millis(100);

/// How long a connection is left open while the process stops: a caller that has just had an answer, or has just
/// connected, may be sending a request, which is refused as not run.
const SETTLE_TIME: Duration = Duration::from_millis(200);

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

    /// Claims the memory of a request, of which the body and the head take so many bytes.
    async fn claim(&self, bytes: usize) -> Result<(), ConnectionEnd> {
        let claimed = self.hold.claim_request(bytes).await;
        claimed.map_err(|room| {
            if self.hold.eviction().is_none() {
                log_room_full(&self.node, room);
            }
            ConnectionEnd::Refused(ResultCode::MemoryFull)
        })
    }

    /// The larger of the bounds that were in force at a moment and those that are now.
    ///
    /// A caller may count on the newest ones as soon as they are written, and on older ones for what it has begun.
    fn bounds_since(&self, before: CallerBounds) -> CallerBounds {
        before.larger(caller_bounds(&self.node))
    }

    /// Waits for a request and reads it; an error is the end of the connection.
    async fn read_request(&mut self) -> Result<(Request, BodyChain), ConnectionEnd> {
        if self.buffer.is_empty() {
            self.wait_first_byte().await?;
        }
        self.hold.begin();
        self.hold.note_moved(self.buffer.len());
        self.trace.note_begun(self.buffer.len());
        let begun = caller_bounds(&self.node);
        let (request, head_bytes) = self.read_head(begun).await?;
        self.trace.note_head();
        let length = announced_length(&request);
        let has_continue = request.head().expect();
        self.partial = Some(request);
        let body = self.read_body((length, has_continue), head_bytes, begun).await?;
        self.trace.note_complete();
        self.hold.complete();
        let request = self.partial.take().ok_or(ConnectionEnd::Unfinished)?;
        Ok((request, body))
    }

    fn request_id(&self, request: &Request) -> Option<CompactString> {
        self.node.dialect.parse_request(request.head()).ok().map(|call| call.id)
    }

    /// What was sent on the connection and gets no answer, as it ends. If this process closes an idle connection, that
    /// includes what was under way to it then.
    async fn take_unanswered(&mut self, end: ConnectionEnd) -> UnansweredBytes {
        let crossed = end.is_idle_close() && self.buffer.is_empty();
        // On one that was used a request may come at any time.
        let is_hurried =
            end == ConnectionEnd::GaveWay && !self.trace.is_used() && self.hold.is_closing_many();
        if crossed && !is_hurried {
            self.watch_crossing().await;
        }
        let count = self.buffer.len() + self.discarded;
        let is_refused = matches!(end, ConnectionEnd::Refused(_));
        let partial = self.partial.take();
        let request = match partial.as_ref().and_then(|request| self.request_id(request)) {
            None if !is_refused => self.buffered_id(),
            request => request,
        };
        UnansweredBytes { count, request, crossed: crossed && count > 0 }
    }

    /// Id of the request whose head is in the buffer.
    fn buffered_id(&mut self) -> Option<CompactString> {
        match self.codec.decode(&mut self.buffer) {
            Ok(Some(Message::Item(request))) => self.request_id(&request),
            _ => None,
        }
    }

    /// Closes this side, and copies what the caller sends before it sees that. It is not taken from the socket: a
    /// connection that is closed with unread bytes is reset, which tells the caller that its request did not run.
    async fn watch_crossing(&mut self) {
        if self.stream.shutdown().await.is_err() {
            return;
        }
        let mut scratch = vec![0; READ_SIZE];
        // The connection is closed whether or not the caller has closed its side by then.
        if let Ok(Ok(count)) = timeout(CROSSING_TIME, self.stream.peek(&mut scratch)).await {
            self.buffer.extend_from_slice(&scratch[..count]);
        }
    }

    /// Waits for the first byte of a request; fails if the caller closed the connection, the idle
    /// timeout passed, or the process closes idle connections because it stops.
    async fn wait_first_byte(&mut self) -> Result<(), ConnectionEnd> {
        let (since, mut bounds) = (Instant::now(), caller_bounds(&self.node));
        loop {
            let limit = bounds.idle_timeout;
            tokio::select! {
                biased;
                ready = self.stream.readable() => {
                    ready.map_err(|fault| ConnectionEnd::Broken(fault.kind()))?;
                    if self.read_first().await? {
                        return Ok(());
                    }
                }
                () = self.node.close_idle.notified() => {
                    if self.trace.idle_for() >= SETTLE_TIME {
                        return self.end_unless_sent(ConnectionEnd::Stop).await;
                    }
                }
                () = self.node.rules_changed.notified() => bounds = self.bounds_since(bounds),
                () = tokio::time::sleep_until(since + limit.duration()) => {
                    bounds = self.bounds_since(bounds);
                    if bounds.idle_timeout <= limit {
                        return self.end_unless_sent(ConnectionEnd::Idle).await;
                    }
                }
            }
        }
    }

    /// Reads the first bytes of a request, for which memory is taken only now; returns whether there were any.
    async fn read_first(&mut self) -> Result<bool, ConnectionEnd> {
        self.claim(READ_SIZE).await?;
        self.buffer.reserve(READ_SIZE);
        match self.stream.try_read_buf(&mut self.buffer) {
            Err(fault) if fault.kind() == io::ErrorKind::WouldBlock => {
                self.buffer = BytesMut::new();
                self.claim(0).await?;
                Ok(false)
            }
            read => some_bytes(read).map(|_| true),
        }
    }

    /// Ends an idle connection, unless a request is in its socket that the runtime has not seen yet.
    async fn end_unless_sent(&mut self, end: ConnectionEnd) -> Result<(), ConnectionEnd> {
        tokio::task::yield_now().await;
        self.buffer.reserve(READ_SIZE);
        match self.stream.try_read_buf(&mut self.buffer) {
            Err(fault) if fault.kind() == io::ErrorKind::WouldBlock => Err(end),
            read => some_bytes(read).map(drop),
        }
    }

    /// Reads the head of a request that began under the limits `begun`; also returns its length in bytes.
    async fn read_head(&mut self, begun: CallerBounds) -> Result<(Request, usize), ConnectionEnd> {
        let since = Instant::now();
        let refused = |code| Err(ConnectionEnd::Refused(code));
        loop {
            let bounds = self.bounds_since(begun);
            let buffered = self.buffer.len();
            match self.codec.decode(&mut self.buffer) {
                Ok(Some(Message::Item(request))) => {
                    let length = buffered - self.buffer.len();
                    let too_long = length > bounds.head_bytes;
                    let upgrade = self.codec.message_type() == MessageType::Stream;
                    return match (too_long, upgrade) {
                        (true, _) => refused(ResultCode::HeaderTooLarge),
                        (_, true) => refused(ResultCode::BadHead),
                        _ => Ok((request, length)),
                    };
                }
                Ok(Some(Message::Chunk(_))) => return refused(ResultCode::BadHead),
                Ok(None) if buffered > bounds.head_bytes => {
                    return refused(ResultCode::HeaderTooLarge);
                }
                Ok(None) => {}
                Err(ParseError::TooLarge) => return refused(ResultCode::HeaderTooLarge),
                Err(_) => return refused(ResultCode::BadHead),
            }
            match timeout_at(since + bounds.head_timeout.duration(), self.read_more(0)).await {
                Ok(read) => drop(read?),
                Err(_) if bounds.head_timeout < self.bounds_since(begun).head_timeout => {}
                Err(_) => return refused(ResultCode::SlowHead),
            }
        }
    }

    /// Reads the body of a request that began under the limits `begun`, whose head took `head_bytes`. Its length may
    /// be known.
    async fn read_body(
        &mut self,
        (length, has_continue): (Option<usize>, bool),
        head_bytes: usize,
        begun: CallerBounds,
    ) -> Result<BodyChain, ConnectionEnd> {
        // The headers share the buffer that they were read into, which may be twice as long.
        let served_bytes = REQUEST_BYTES + 2 * head_bytes;
        let mut body = BodyBuffer::new(length);
        self.claim(served_bytes + self.held_with(&body)).await?;
        if self.codec.message_type() == MessageType::None {
            return Ok(BodyChain::default());
        }
        if has_continue {
            let written = self.stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
            written.map_err(|fault| ConnectionEnd::Broken(fault.kind()))?;
        }
        let refused = |code| Err(ConnectionEnd::Refused(code));
        let mut overhead = OverheadCount::default();
        overhead.note_read(self.buffer.len());
        let mut since = Instant::now();
        loop {
            let bounds = self.bounds_since(begun);
            match self.codec.decode(&mut self.buffer) {
                Ok(Some(Message::Chunk(Some(bytes)))) => {
                    body.push(&bytes);
                    overhead.note_content(bytes.len());
                }
                Ok(Some(Message::Chunk(None))) => return Ok(body.finish()),
                Ok(Some(Message::Item(_))) | Err(_) => return refused(ResultCode::BadHead),
                Ok(None) => {
                    let until = since + bounds.idle_timeout.duration();
                    if length.is_some_and(|length| length > bounds.body_bytes)
                        && body.len() >= OVERSIZE_BYTES
                    {
                        self.wait_larger_limit(length, begun).await?;
                        since = Instant::now();
                        continue;
                    }
                    let held = served_bytes + self.held_with(&body);
                    match timeout_at(until, self.read_more(held)).await {
                        Ok(read) => {
                            overhead.note_read(read?);
                            since = Instant::now();
                        }
                        Err(_) if bounds.idle_timeout < self.bounds_since(begun).idle_timeout => {}
                        Err(_) => return refused(ResultCode::SlowBody),
                    }
                }
            }
            if body.len() > bounds.body_bytes || overhead.is_exceeded(self.buffer.len()) {
                return refused(ResultCode::BodyTooLarge);
            }
        }
    }

    /// The memory that the buffer takes, and the body with what is buffered and the next read.
    fn held_with(&self, body: &BodyBuffer) -> usize {
        self.buffer.capacity() + body.held_with(self.buffer.len() + READ_SIZE)
    }

    /// Leaves the rest of a body that is too long in the socket, as the limit may be about to grow.
    ///
    /// # Errors
    /// The refusal, if it does not.
    async fn wait_larger_limit(
        &mut self,
        length: Option<usize>,
        begun: CallerBounds,
    ) -> Result<(), ConnectionEnd> {
        let until = Instant::now() + TimeSpan(self.node.bounds().apply_ms).duration();
        loop {
            let changed = self.node.rules_changed.notified();
            if length <= Some(self.bounds_since(begun).body_bytes) {
                return Ok(());
            }
            if timeout_at(until, changed).await.is_err() {
                return Err(ConnectionEnd::Refused(ResultCode::BodyTooLarge));
            }
        }
    }

    /// Reads more bytes of a request, of which `held` bytes of memory are taken besides the buffer's growth; returns
    /// how many.
    async fn read_more(&mut self, held: usize) -> Result<usize, ConnectionEnd> {
        let free = self.buffer.capacity() - self.buffer.len();
        let grown = if free < READ_SIZE { 2 * self.buffer.len() + READ_SIZE } else { 0 };
        self.claim(held.max(self.buffer.capacity()) + grown).await?;
        self.buffer.reserve(READ_SIZE);
        let count = some_bytes(self.stream.read_buf(&mut self.buffer).await)?;
        self.trace.note_read(count);
        self.hold.note_moved(count);
        Ok(count)
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

/// The number of bytes read, or how the connection ended.
fn some_bytes(read: io::Result<usize>) -> Result<usize, ConnectionEnd> {
    match read {
        Ok(0) => Err(ConnectionEnd::Caller),
        Ok(count) => Ok(count),
        Err(fault) => Err(ConnectionEnd::Broken(fault.kind())),
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

/// Retry-After time of a request that gave way to others: callers come back one after the other, when others have ended.
fn memory_retry(node: &FrontNode) -> TimeSpan {
    TimeSpan(MEMORY_RETRY.0 + node.random() % MEMORY_RETRY.0)
}

/// The length of a body that the head of its request tells.
fn announced_length(request: &Request) -> Option<usize> {
    request.head().headers().get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// Refuses a request that was not read completely, and closes the connection. If it `lingers`, the rest of the
/// request is read first: closing a socket with unread bytes resets the connection, and the caller would lose
/// the refusal.
async fn refuse_and_close(
    node: &FrontNode,
    mut stream: TcpStream,
    codec: &mut Codec,
    (code, lingers): (ResultCode, bool),
) {
    let written = {
        let (_, writer) = stream.split();
        let mut answer = AnswerWriter::new(writer, codec, true);
        // A peer may have sent it, and has to know that this process refused it.
        answer.mark_relayed(node.dialect.as_ref());
        let retry = (code == ResultCode::MemoryFull).then(|| memory_retry(node));
        // Answers before it may not have been taken.
        let refusing = timeout(LINGER_TIME, answer.refuse(code, retry));
        refusing.await.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()))
    };
    if written.is_ok() && stream.shutdown().await.is_ok() && lingers {
        linger(&mut stream).await;
    }
}

/// Discards what the caller still sends, as unread bytes would reset the connection when it is closed, and the
/// caller could lose the end of its answer. Returns how many bytes that were.
async fn linger(stream: &mut TcpStream) -> usize {
    let mut discarded = 0;
    // The connection is closed whether or not the rest could be read.
    let _ = timeout(LINGER_TIME, Box::pin(discard(stream, &mut discarded))).await;
    discarded
}

async fn discard(stream: &mut TcpStream, discarded: &mut usize) -> io::Result<()> {
    let mut scratch = [0; READ_SIZE];
    while *discarded < LINGER_BYTES {
        match stream.read(&mut scratch).await? {
            0 => break,
            count => *discarded += count,
        }
    }
    Ok(())
}

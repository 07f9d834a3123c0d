//! Accepts callers' HTTP connections, reads requests within the configured size and time limits, and
//! cancels a request whose caller disconnects.
//!
//! The connection loop of `actix_http` fixes its limits when it is built. Here the limits change with
//! the rules in force, so this module has its own loop and uses only the codec of `actix_http`.

use crate::answer::AnswerWriter;
use crate::drive::serve_call;
use crate::events::event;
use crate::node::FrontNode;
use actix_codec::Decoder;
use actix_http::error::ParseError;
use actix_http::h1::{Codec, Message, MessageType};
use actix_http::{Request, RequestHead};
use bytes::{Bytes, BytesMut};
use oleander_board::StopStage;
use oleander_call::CallerBounds;
use oleander_kind::ResultCode;
use oleander_outlet::{SocketBounds, configure_socket};
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::ReadHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, timeout_at};

/// Bytes reserved for one read.
const READ_SIZE: usize = 4096;
/// Most bytes of pipelined requests that are buffered while one is answered; the rest stays in the socket.
const PIPELINE_LIMIT: usize = 64 << 10;
/// How long what the caller still sends is read and discarded after the last answer of a connection, so that the
/// caller sees the answer instead of a connection reset.
const LINGER_TIME: Duration = Duration::from_millis(500);
/// Most bytes that are read and discarded then.
const LINGER_BYTES: usize = 1 << 20;

/// A caller's request, read completely.
pub struct CallerRequest {
    /// Request line and headers.
    pub head: RequestHead,
    /// The complete body.
    pub body: Bytes,
}

/// Accepts connections of callers until the task is cancelled.
pub async fn accept_callers(node: Rc<FrontNode>, listener: TcpListener) {
    loop {
        match listener.accept().await {
            Ok((stream, _)) => {
                actix_rt::spawn(serve_connection(node.clone(), stream));
            }
            Err(fault) => {
                // Most likely the process is out of file descriptors; connections that close release some soon.
                event!(node, CallerFault; "fault" => fault.to_string());
                actix_rt::time::sleep(Duration::from_millis(20)).await;
            }
        }
    }
}

enum HeadOutcome {
    Read(Request),
    Closed,
    Refused(ResultCode),
}

async fn serve_connection(node: Rc<FrontNode>, mut stream: TcpStream) {
    if let Err(fault) = configure_socket(&stream, SocketBounds::default()) {
        event!(node, CallerFault; "fault" => fault.to_string());
    }
    let mut codec = Codec::new(node.http.config().clone());
    let mut buffer = BytesMut::new();
    loop {
        let bounds = caller_bounds(&node);
        let outcome = read_head(&node, &mut stream, &mut codec, &mut buffer, bounds).await;
        let request = match outcome {
            HeadOutcome::Read(request) => request,
            HeadOutcome::Closed => return,
            HeadOutcome::Refused(code) => return refuse_and_close(stream, &mut codec, code).await,
        };
        let body = read_body(&mut stream, &mut codec, &mut buffer, &request, bounds).await;
        let body = match body {
            Ok(body) => body,
            Err(Some(code)) => return refuse_and_close(stream, &mut codec, code).await,
            Err(None) => return,
        };
        let answered =
            answer_request(&node, &mut stream, &mut codec, &mut buffer, (request, body)).await;
        match answered {
            NextUse::Request => {}
            NextUse::Close => return,
            NextUse::Linger => return linger(&mut stream).await,
        }
    }
}

fn caller_bounds(node: &FrontNode) -> CallerBounds {
    node.rules.borrow().current().map_or_else(CallerBounds::default, |rules| rules.bounds())
}

/// Waits for a request and reads its head within the limits of `bounds`.
async fn read_head(
    node: &FrontNode,
    stream: &mut TcpStream,
    codec: &mut Codec,
    buffer: &mut BytesMut,
    bounds: CallerBounds,
) -> HeadOutcome {
    if buffer.is_empty() && !wait_first_byte(node, stream, buffer, bounds).await {
        return HeadOutcome::Closed;
    }
    let until = Instant::now() + bounds.head_timeout.duration();
    loop {
        let buffered = buffer.len();
        match codec.decode(buffer) {
            Ok(Some(Message::Item(request))) => {
                let too_long = buffered - buffer.len() > bounds.head_bytes;
                let upgrade = codec.message_type() == MessageType::Stream;
                return match (too_long, upgrade) {
                    (true, _) => HeadOutcome::Refused(ResultCode::HeaderTooLarge),
                    (_, true) => HeadOutcome::Refused(ResultCode::BadHead),
                    _ => HeadOutcome::Read(request),
                };
            }
            Ok(Some(Message::Chunk(_))) => return HeadOutcome::Refused(ResultCode::BadHead),
            Ok(None) if buffered > bounds.head_bytes => {
                return HeadOutcome::Refused(ResultCode::HeaderTooLarge);
            }
            Ok(None) => {}
            Err(ParseError::TooLarge) => {
                return HeadOutcome::Refused(ResultCode::HeaderTooLarge);
            }
            Err(_) => return HeadOutcome::Refused(ResultCode::BadHead),
        }
        buffer.reserve(READ_SIZE);
        match timeout_at(until, stream.read_buf(buffer)).await {
            Ok(Ok(0)) | Ok(Err(_)) => return HeadOutcome::Closed,
            Ok(Ok(_)) => {}
            Err(_) => return HeadOutcome::Refused(ResultCode::SlowHead),
        }
    }
}

/// Waits for the first byte of a request; returns false if the caller closed the connection, the idle
/// timeout passed, or the process closes idle connections because it stops.
async fn wait_first_byte(
    node: &FrontNode,
    stream: &mut TcpStream,
    buffer: &mut BytesMut,
    bounds: CallerBounds,
) -> bool {
    buffer.reserve(READ_SIZE);
    tokio::select! {
        biased;
        read = stream.read_buf(buffer) => matches!(read, Ok(count) if count > 0),
        () = node.close_idle.notified() => false,
        () = tokio::time::sleep(bounds.idle_timeout.duration()) => false,
    }
}

/// Reads a request's body. `Err(None)` means that the caller disconnected.
async fn read_body(
    stream: &mut TcpStream,
    codec: &mut Codec,
    buffer: &mut BytesMut,
    request: &Request,
    bounds: CallerBounds,
) -> Result<Bytes, Option<ResultCode>> {
    if codec.message_type() == MessageType::None {
        return Ok(Bytes::new());
    }
    if request.head().expect() {
        let written = stream.write_all(b"HTTP/1.1 100 Continue\r\n\r\n").await;
        written.map_err(|_| None)?;
    }
    let mut body = BytesMut::new();
    loop {
        match codec.decode(buffer) {
            Ok(Some(Message::Chunk(Some(bytes)))) => body.extend_from_slice(&bytes),
            Ok(Some(Message::Chunk(None))) => return Ok(body.freeze()),
            Ok(Some(Message::Item(_))) | Err(_) => return Err(Some(ResultCode::BadHead)),
            Ok(None) => {
                buffer.reserve(READ_SIZE);
                let read =
                    tokio::time::timeout(bounds.idle_timeout.duration(), stream.read_buf(buffer));
                match read.await {
                    Ok(Ok(0)) | Ok(Err(_)) => return Err(None),
                    Ok(Ok(_)) => {}
                    Err(_) => return Err(Some(ResultCode::SlowBody)),
                }
            }
        }
        if body.len() > bounds.body_bytes {
            return Err(Some(ResultCode::BodyTooLarge));
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
    /// This side was closed in an orderly way; the caller still has to read what was sent.
    Linger,
}

/// Answers one request.
async fn answer_request(
    node: &Rc<FrontNode>,
    stream: &mut TcpStream,
    codec: &mut Codec,
    buffer: &mut BytesMut,
    (mut request, body): (Request, Bytes),
) -> NextUse {
    node.in_flight.set(node.in_flight.get() + 1);
    let _guard = InflightGuard(&node.in_flight);
    let (mut reader, writer) = stream.split();
    let closes = node.stop.get() != StopStage::Serving;
    let mut answer = AnswerWriter::new(writer, codec, closes);
    let head = std::mem::take(request.head_mut());
    let request = CallerRequest { head, body };
    tokio::select! {
        biased;
        outcome = serve_call(node, request, &mut answer) => {
            match outcome {
                Ok(()) if answer.can_reuse() => NextUse::Request,
                Ok(()) if answer.has_ended_connection() => NextUse::Linger,
                Ok(()) | Err(_) => NextUse::Close,
            }
        }
        () = wait_caller_close(&mut reader, buffer) => NextUse::Close,
    }
}

/// Waits until the caller closes its side. Bytes that it sends meanwhile are buffered as pipelined requests.
async fn wait_caller_close(reader: &mut ReadHalf<'_>, buffer: &mut BytesMut) {
    while buffer.len() < PIPELINE_LIMIT {
        buffer.reserve(READ_SIZE);
        match reader.read_buf(buffer).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
    std::future::pending().await
}

/// Refuses a request that was not read completely, and closes the connection. The rest of the request
/// is read first: closing a socket with unread bytes resets the connection, and the caller would lose
/// the refusal.
async fn refuse_and_close(mut stream: TcpStream, codec: &mut Codec, code: ResultCode) {
    let written = {
        let (_, writer) = stream.split();
        AnswerWriter::new(writer, codec, true).refuse(code, None).await
    };
    if written.is_ok() && stream.shutdown().await.is_ok() {
        linger(&mut stream).await;
    }
}

/// Discards what the caller still sends, as unread bytes would reset the connection when it is closed, and the
/// caller could lose the end of its answer.
async fn linger(stream: &mut TcpStream) {
    // The connection is closed whether or not the rest could be read.
    let _ = tokio::time::timeout(LINGER_TIME, discard(stream)).await;
}

async fn discard(stream: &mut TcpStream) -> io::Result<()> {
    let mut left = LINGER_BYTES;
    let mut scratch = [0; READ_SIZE];
    while left > 0 {
        let count = stream.read(&mut scratch).await?;
        if count == 0 {
            return Ok(());
        }
        left = left.saturating_sub(count);
    }
    Ok(())
}

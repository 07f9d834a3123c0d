//! Closes connections: what crosses the close is told, and who is refused or answered gets to see it.

use super::reading::some_bytes;
use super::{CallerConnection, READ_SIZE};
use crate::answer::AnswerWriter;
use crate::connection::{ConnectionEnd, UnansweredBytes};
use crate::node::FrontNode;
use actix_codec::Decoder;
use actix_http::h1::{Codec, Message};
use compact_str::CompactString;
use oleander_kind::{ResultCode, TimeSpan};
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::timeout;

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

impl CallerConnection {
    /// What was sent on the connection and gets no answer, as it ends. If this process closes an idle connection, that
    /// includes what was under way to it then.
    pub(super) async fn take_unanswered(&mut self, end: ConnectionEnd) -> UnansweredBytes {
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

    /// Ends an idle connection, unless a request is in its socket that the runtime has not seen yet.
    pub(super) async fn end_unless_sent(
        &mut self,
        end: ConnectionEnd,
    ) -> Result<(), ConnectionEnd> {
        tokio::task::yield_now().await;
        self.buffer.reserve(READ_SIZE);
        match self.stream.try_read_buf(&mut self.buffer) {
            Err(fault) if fault.kind() == io::ErrorKind::WouldBlock => Err(end),
            read => some_bytes(read).map(drop),
        }
    }
}

/// Retry-After time of a request that gave way to others: callers come back one after the other, when others have ended.
fn memory_retry(node: &FrontNode) -> TimeSpan {
    TimeSpan(MEMORY_RETRY.0 + node.random() % MEMORY_RETRY.0)
}

/// Refuses a request that was not read completely, and closes the connection. If it `lingers`, the rest of the
/// request is read first: closing a socket with unread bytes resets the connection, and the caller would lose
/// the refusal.
pub(super) async fn refuse_and_close(
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
pub(super) async fn linger(stream: &mut TcpStream) -> usize {
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

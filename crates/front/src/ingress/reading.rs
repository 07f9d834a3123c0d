//! Reads requests within the limits on their size and time, and claims their memory before it is taken.

use super::{CallerConnection, READ_SIZE, caller_bounds};
use crate::connection::ConnectionEnd;
use crate::holding::log_room_full;
use actix_codec::Decoder;
use actix_http::Request;
use actix_http::error::ParseError;
use actix_http::h1::{Message, MessageType};
use actix_http::header::CONTENT_LENGTH;
use bytes::BytesMut;
use oleander_call::CallerBounds;
use oleander_hold::bounds::REQUEST_BYTES;
use oleander_hold::{BodyBuffer, BodyChain};
use oleander_kind::{ResultCode, TimeSpan};
use oleander_outlet::OverheadCount;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::{Instant, timeout_at};

/// Bytes that are read of a body whose head says that it is too long, while the limit may grow.
const OVERSIZE_BYTES: usize = 64 << 10;
/// How long a connection is left open while the process stops: a caller that has just had an answer, or has just
/// connected, may be sending a request, which is refused as not run.
const SETTLE_TIME: Duration = Duration::from_millis(200);

impl CallerConnection {
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
    pub(super) async fn read_request(&mut self) -> Result<(Request, BodyChain), ConnectionEnd> {
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
}

/// The number of bytes read, or how the connection ended.
pub(super) fn some_bytes(read: io::Result<usize>) -> Result<usize, ConnectionEnd> {
    match read {
        Ok(0) => Err(ConnectionEnd::Caller),
        Ok(count) => Ok(count),
        Err(fault) => Err(ConnectionEnd::Broken(fault.kind())),
    }
}

/// The length of a body that the head of its request tells.
fn announced_length(request: &Request) -> Option<usize> {
    request.head().headers().get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

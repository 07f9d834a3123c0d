//! Encodes and writes the HTTP response to a caller.

use crate::drive::EndpointAnswer;
use crate::port::PlatformDialect;
use actix_codec::Encoder;
use actix_http::body::BodySize;
use actix_http::h1::{Codec, Message};
use actix_http::header::{
    CONTENT_LENGTH, CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER, TRANSFER_ENCODING,
};
use actix_http::{ConnectionType, Response, StatusCode};
use bytes::{Buf, Bytes, BytesMut};
use compact_str::CompactString;
use oleander_board::StopStage;
use oleander_call::RelayedAnswer;
use oleander_hold::{BodyChain, CallerHold};
use oleander_kind::{ResultCode, TimeSpan};
use oleander_outlet::{BodyEnd, set_reset_on_close};
use std::cell::Cell;
use std::io;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::WriteHalf;

/// How much of an answer has been encoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AnswerStage {
    /// Not begun; any answer is still possible.
    Waiting,
    /// The head was encoded.
    Begun,
    /// The complete answer was written.
    Done,
}

/// Writes the answer to one request.
///
/// The end of an answer is framed as strongly as its endpoint framed it: an answer that ended with its
/// connection ends with the caller's. If the writer is dropped before the answer is complete, the connection
/// is closed, or reset if a close would be taken for the end.
pub struct AnswerWriter<'a> {
    writer: WriteHalf<'a>,
    codec: &'a mut Codec,
    out: BytesMut,
    /// Whether a part of the answer waits for the caller to take it.
    is_writing: bool,
    hold: Option<&'a CallerHold>,
    stage: AnswerStage,
    closes: bool,
    stop: Option<&'a Cell<StopStage>>,
    /// What shows the caller that the answer has ended.
    end: BodyEnd,
    status: u16,
    code: Option<ResultCode>,
    marks: Option<&'a dyn PlatformDialect>,
    sent: u32,
    origin: Option<CompactString>,
}

impl<'a> AnswerWriter<'a> {
    /// Creates a writer for an answer that has not begun. If `closes`, the answer has the header
    /// `Connection: close`.
    pub fn new(writer: WriteHalf<'a>, codec: &'a mut Codec, closes: bool) -> Self {
        AnswerWriter {
            writer,
            codec,
            out: BytesMut::new(),
            is_writing: false,
            hold: None,
            stage: AnswerStage::Waiting,
            closes,
            stop: None,
            end: BodyEnd::Stated,
            status: 0,
            code: None,
            marks: None,
            sent: 0,
            origin: None,
        }
    }

    /// Adds `Connection: close` to the answer if the process stops by the time it begins.
    pub fn follow_stop(mut self, stop: &'a Cell<StopStage>) -> Self {
        self.stop = Some(stop);
        self
    }

    /// Counts what the caller takes of a long answer, by which it is judged whether the answer gives way.
    pub fn follow_hold(mut self, hold: &'a CallerHold) -> Self {
        self.hold = Some(hold);
        self
    }

    /// How much of the answer has been encoded.
    pub fn stage(&self) -> AnswerStage {
        self.stage
    }

    /// HTTP status of the answer; 0 before it begins.
    pub fn status(&self) -> u16 {
        self.status
    }

    /// Whether a part of the answer waits for the caller to take it.
    pub fn is_writing(&self) -> bool {
        self.is_writing
    }

    /// Result code of the refusal; none if the answer is not a refusal.
    pub fn code(&self) -> Option<ResultCode> {
        self.code
    }

    /// Adds `Connection: close` to the answer, if it has not begun.
    pub fn close_after(&mut self) {
        self.closes = true;
    }

    /// Marks the answer as one to a relayed request, in the way of `dialect`.
    pub fn mark_relayed(&mut self, dialect: &'a dyn PlatformDialect) {
        self.marks = Some(dialect);
    }

    /// Records to how many endpoints the request was sent so far, for the mark of a relayed one.
    pub fn note_sent(&mut self, sent: u32) {
        self.sent = sent;
    }

    /// Closes this side of the connection after a complete answer; the caller still has to read what was sent.
    ///
    /// # Errors
    /// An I/O error of the connection.
    pub async fn shut_down(&mut self) -> io::Result<()> {
        match self.end {
            // The end of the answer did so.
            BodyEnd::Closed => Ok(()),
            BodyEnd::Stated => self.writer.shutdown().await,
        }
    }

    /// Records the software version to which the stream is bound, for the mark of a relayed one.
    pub fn note_origin(&mut self, origin: Option<CompactString>) {
        self.origin = origin;
    }

    /// Begins an answer whose length is not known; its end is shown as `end` says. The head is sent with the
    /// first chunk.
    ///
    /// # Errors
    /// An I/O error of the connection.
    pub fn begin_stream(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        end: BodyEnd,
    ) -> io::Result<()> {
        self.end = end;
        if end == BodyEnd::Closed {
            self.closes = true;
            set_reset_on_close(self.writer.as_ref(), true)?;
        }
        self.encode_head(status, headers, BodySize::Stream)
    }

    fn encode_head(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        size: BodySize,
    ) -> io::Result<()> {
        let mut response = Response::with_body(status, ());
        *response.headers_mut() = headers;
        if self.end == BodyEnd::Closed {
            response.head_mut().no_chunking(true);
            response.headers_mut().remove(CONTENT_LENGTH);
            response.headers_mut().remove(TRANSFER_ENCODING);
        }
        if let Some(dialect) = self.marks {
            let code = self.code.map_or(0, ResultCode::number);
            let answer = RelayedAnswer { code, sent: self.sent, origin: self.origin.clone() };
            dialect.stamp_relay_answer(response.headers_mut(), answer);
        }
        self.closes |= self.stop.is_some_and(|stop| stop.get() != StopStage::Serving);
        if self.closes {
            response.head_mut().set_connection_type(ConnectionType::Close);
        }
        self.stage = AnswerStage::Begun;
        self.status = status.as_u16();
        self.codec.encode(Message::Item((response, size)), &mut self.out)
    }

    /// Writes a chunk of the body.
    ///
    /// # Errors
    /// An I/O error: the caller has disconnected.
    pub async fn write_chunk(&mut self, bytes: Bytes) -> io::Result<()> {
        self.codec.encode(Message::Chunk(Some(bytes)), &mut self.out)?;
        self.flush().await
    }

    /// Ends an answer of unknown length.
    ///
    /// # Errors
    /// An I/O error of the connection.
    pub async fn finish(&mut self) -> io::Result<()> {
        self.codec.encode(Message::Chunk(None), &mut self.out)?;
        self.flush().await?;
        if self.end == BodyEnd::Closed {
            set_reset_on_close(self.writer.as_ref(), false)?;
            self.writer.shutdown().await?;
        }
        self.stage = AnswerStage::Done;
        Ok(())
    }

    /// Writes an answer of an endpoint, which keeps its room until then.
    ///
    /// # Errors
    /// An I/O error of the connection.
    pub async fn write_received(&mut self, received: EndpointAnswer) -> io::Result<()> {
        let EndpointAnswer { status, headers, body: (kept, end) } = received;
        self.write_complete(status, headers, (kept.bytes.clone(), end)).await
    }

    /// Writes an answer that ended as `end` says.
    ///
    /// # Errors
    /// An I/O error of the connection.
    pub async fn write_complete(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        (body, end): (BodyChain, BodyEnd),
    ) -> io::Result<()> {
        match end {
            BodyEnd::Stated => self.write_whole(status, headers, body).await,
            BodyEnd::Closed => {
                self.begin_stream(status, headers, end)?;
                if let Some(hold) = self.hold {
                    hold.begin_writing();
                }
                for segment in body.segments() {
                    self.write_chunk(segment.clone()).await?;
                }
                self.flush().await?;
                self.finish().await
            }
        }
    }

    /// Writes a complete answer.
    ///
    /// # Errors
    /// An I/O error of the connection.
    pub async fn write_whole(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        body: impl Into<BodyChain>,
    ) -> io::Result<()> {
        let body = body.into();
        self.encode_head(status, headers, BodySize::Sized(body.len() as u64))?;
        self.flush_with(&body).await?;
        self.stage = AnswerStage::Done;
        Ok(())
    }

    /// Writes a refusal with its result code, and a `Retry-After` header if `retry` is given.
    ///
    /// # Errors
    /// An I/O error of the connection.
    pub async fn refuse(&mut self, code: ResultCode, retry: Option<TimeSpan>) -> io::Result<()> {
        self.code = Some(code);
        let status = StatusCode::from_u16(code.status()).unwrap_or(StatusCode::BAD_GATEWAY);
        let mut headers = HeaderMap::new();
        headers.insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
        if let Some(retry) = retry {
            let seconds = format!("{:.3}", retry.0 as f64 / 1000.0);
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(RETRY_AFTER, value);
            }
        }
        let body = serde_json::json!({
            "code": code.number(), "name": code.name(), "error": code.text(),
        });
        self.write_whole(status, headers, Bytes::from(body.to_string())).await
    }

    /// Whether the connection can be used for another request.
    pub fn can_reuse(&self) -> bool {
        self.stage == AnswerStage::Done && !self.closes && self.codec.keep_alive()
    }

    async fn flush(&mut self) -> io::Result<()> {
        self.flush_with(&BodyChain::default()).await
    }

    /// Writes what was encoded, and a body after it.
    async fn flush_with(&mut self, body: &BodyChain) -> io::Result<()> {
        let mut unsent = body.cursor();
        unsent.push_front(self.out.split().freeze());
        self.is_writing = true;
        while unsent.has_remaining() {
            let count = self.writer.write_buf(&mut unsent).await?;
            if count == 0 {
                return Err(io::ErrorKind::WriteZero.into());
            }
            if let Some(hold) = self.hold.filter(|_| !body.is_empty()) {
                hold.note_written(count, unsent.has_remaining());
            }
        }
        self.is_writing = false;
        Ok(())
    }
}

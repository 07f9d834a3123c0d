//! Encodes and writes the HTTP response to a caller.

use crate::port::PlatformDialect;
use actix_codec::Encoder;
use actix_http::body::BodySize;
use actix_http::h1::{Codec, Message};
use actix_http::header::{CONTENT_TYPE, HeaderMap, HeaderValue, RETRY_AFTER};
use actix_http::{ConnectionType, Response, StatusCode};
use bytes::{Bytes, BytesMut};
use oleander_call::RelayedAnswer;
use oleander_kind::{ResultCode, TimeSpan};
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

/// Writes the answer to one request. The connection is closed if it is dropped before the answer is
/// complete, so that the caller cannot take a truncated answer for a complete one.
pub struct AnswerWriter<'a> {
    writer: WriteHalf<'a>,
    codec: &'a mut Codec,
    out: BytesMut,
    stage: AnswerStage,
    closes: bool,
    status: u16,
    code: Option<ResultCode>,
    marks: Option<&'a dyn PlatformDialect>,
    sent: u32,
}

impl<'a> AnswerWriter<'a> {
    /// Creates a writer for an answer that has not begun. If `closes`, the answer has the header
    /// `Connection: close`.
    pub fn new(writer: WriteHalf<'a>, codec: &'a mut Codec, closes: bool) -> Self {
        AnswerWriter {
            writer,
            codec,
            out: BytesMut::new(),
            stage: AnswerStage::Waiting,
            closes,
            status: 0,
            code: None,
            marks: None,
            sent: 0,
        }
    }

    /// How much of the answer has been encoded.
    pub fn stage(&self) -> AnswerStage {
        self.stage
    }

    /// HTTP status of the answer; 0 before it begins.
    pub fn status(&self) -> u16 {
        self.status
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

    /// Begins an answer with a chunked body. The head is sent with the first chunk.
    ///
    /// # Errors
    /// An I/O error of the connection.
    pub fn begin_stream(&mut self, status: StatusCode, headers: HeaderMap) -> io::Result<()> {
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
        if let Some(dialect) = self.marks {
            let code = self.code.map_or(0, ResultCode::number);
            let answer = RelayedAnswer { code, sent: self.sent };
            dialect.stamp_relay_answer(response.headers_mut(), answer);
        }
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

    /// Ends a chunked body.
    ///
    /// # Errors
    /// An I/O error of the connection.
    pub async fn finish(&mut self) -> io::Result<()> {
        self.codec.encode(Message::Chunk(None), &mut self.out)?;
        self.flush().await?;
        self.stage = AnswerStage::Done;
        Ok(())
    }

    /// Writes a complete answer.
    ///
    /// # Errors
    /// An I/O error of the connection.
    pub async fn write_whole(
        &mut self,
        status: StatusCode,
        headers: HeaderMap,
        body: Bytes,
    ) -> io::Result<()> {
        self.encode_head(status, headers, BodySize::Sized(body.len() as u64))?;
        if !body.is_empty() {
            self.codec.encode(Message::Chunk(Some(body)), &mut self.out)?;
        }
        self.flush().await?;
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
        self.writer.write_all(&self.out).await?;
        self.out.clear();
        Ok(())
    }
}

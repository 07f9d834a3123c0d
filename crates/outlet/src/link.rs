//! One HTTP/1.1 connection as a typestate: idle → sent → answering → idle again, or dropped.
//!
//! Dropping a link in any state closes its connection, which is how a request is cancelled.

use crate::head::check_head;
use crate::overhead::OverheadCount;
use crate::socket::{SocketBounds, configure_socket};
use actix_codec::{Decoder, Encoder};
use actix_http::body::BodySize;
use actix_http::h1::{ClientCodec, ClientPayloadCodec, Message, MessageType};
use actix_http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use actix_http::{
    ConnectionType, KeepAlive, Method, RequestHead, RequestHeadType, ResponseHead, ServiceConfig,
    StatusCode, Version,
};
use bytes::{Buf, Bytes, BytesMut};
use oleander_hold::{BodyChain, ChainCursor};
use quick_error::quick_error;
use std::io;
use std::net::{IpAddr, SocketAddr};
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};

/// Bytes per read. Most events and small answers fit.
const READ_SIZE: usize = 4096;

quick_error! {
    /// Reasons why a connection cannot be used any more.
    #[derive(Debug)]
    pub enum LinkError {
        /// No connection could be established.
        ConnectFailed(cause: io::Error) {
            display("connection failed: {}", cause)
        }
        /// The connection broke or ended before the answer was complete.
        Interrupted(cause: io::Error) {
            display("connection ended before the answer was complete: {}", cause)
        }
        /// The connection delivered bytes that are not HTTP.
        Malformed(detail: String) {
            display("invalid HTTP: {}", detail)
        }
        /// The time limit expired.
        TimedOut(limit: Duration) {
            display("no data within {:?}", limit)
        }
    }
}

/// The result of link operations.
pub type Result<T> = std::result::Result<T, LinkError>;

fn unexpected_eof() -> LinkError {
    LinkError::Interrupted(io::ErrorKind::UnexpectedEof.into())
}

/// Creates the codecs of links; one per process, because the library keeps a timer for each
/// configuration.
#[derive(Clone)]
pub struct HttpCodec {
    config: ServiceConfig,
}

impl Default for HttpCodec {
    fn default() -> Self {
        // Enabled, so that the library does not ask to close after each answer; the pool decides
        // how long idle links are kept.
        let keep = KeepAlive::Timeout(Duration::from_secs(60));
        HttpCodec { config: ServiceConfig::new(keep, Duration::ZERO, Duration::ZERO, false, None) }
    }
}

impl HttpCodec {
    /// Returns the library's configuration, for the codec on the callers' side.
    pub fn config(&self) -> &ServiceConfig {
        &self.config
    }
}

/// A connection without a request in flight.
pub struct IdleLink {
    stream: TcpStream,
    buffer: BytesMut,
    /// What was read since the last request was sent.
    overhead: OverheadCount,
    answers: u32,
    idle_since: Instant,
}

async fn connect(source: Option<IpAddr>, address: SocketAddr) -> io::Result<TcpStream> {
    let Some(source) = source else { return TcpStream::connect(address).await };
    let socket = if source.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }?;
    socket.bind(SocketAddr::new(source, 0))?;
    socket.connect(address).await
}

impl IdleLink {
    /// Connects to `address` within `limit`.
    ///
    /// # Errors
    /// [`LinkError::ConnectFailed`]; no byte of a request has been sent.
    pub async fn open(address: SocketAddr, limit: Duration, bounds: SocketBounds) -> Result<Self> {
        Self::open_from(None, address, limit, bounds).await
    }

    /// Connects to `address` within `limit`, from the local address `source` if one is given.
    ///
    /// # Errors
    /// As [`open`](Self::open).
    pub async fn open_from(
        source: Option<IpAddr>,
        address: SocketAddr,
        limit: Duration,
        bounds: SocketBounds,
    ) -> Result<Self> {
        let connecting = tokio::time::timeout(limit, connect(source, address)).await;
        let late = |_| LinkError::ConnectFailed(io::ErrorKind::TimedOut.into());
        let stream = connecting.map_err(late)?.map_err(LinkError::ConnectFailed)?;
        configure_socket(&stream, bounds).map_err(LinkError::ConnectFailed)?;
        let (buffer, overhead) = (BytesMut::new(), OverheadCount::default());
        Ok(IdleLink { stream, buffer, overhead, answers: 0, idle_since: Instant::now() })
    }

    /// Number of complete answers received on this connection.
    pub fn answers(&self) -> u32 {
        self.answers
    }

    /// How long the connection has been idle.
    pub fn idle_for(&self) -> Duration {
        self.idle_since.elapsed()
    }

    /// Whether the connection is still open and has no unread bytes.
    ///
    /// Sending on a connection that its endpoint has closed would leave it uncertain whether the
    /// request ran; an unread byte would be taken for the start of the next answer.
    pub fn is_reusable(&self) -> bool {
        let mut probe = [0; 1];
        let read = self.stream.try_read(&mut probe);
        self.buffer.is_empty()
            && matches!(read, Err(fault) if fault.kind() == io::ErrorKind::WouldBlock)
    }

    /// Encodes a request for sending. Nothing is sent before the head of the answer is read. The body is not copied.
    ///
    /// # Errors
    /// [`LinkError::Malformed`] if the head cannot be encoded as HTTP/1.1.
    pub fn send(
        mut self,
        codec: &HttpCodec,
        head: RequestHead,
        body: impl Into<BodyChain>,
    ) -> Result<SentLink> {
        let body = body.into();
        self.overhead = OverheadCount::default();
        let mut coder = ClientCodec::new(codec.config.clone());
        let head_only = head.method == Method::HEAD;
        let length = match (body.is_empty(), &head.method) {
            (true, &Method::GET | &Method::HEAD) => BodySize::None,
            _ => BodySize::Sized(body.len() as u64),
        };
        let mut encoded = BytesMut::new();
        let item = Message::Item((RequestHeadType::Owned(head), length));
        let malformed = |fault: io::Error| LinkError::Malformed(fault.to_string());
        coder.encode(item, &mut encoded).map_err(malformed)?;
        let mut unsent = body.cursor();
        unsent.push_front(encoded.freeze());
        Ok(SentLink { link: self, coder, unsent, may_have_sent: false, head_only })
    }
}

impl IdleLink {
    /// Counts bytes that were read.
    fn note_read(&mut self, count: usize) -> Result<()> {
        self.overhead.note_read(count);
        if self.overhead.is_exceeded(self.buffer.len()) {
            return Err(LinkError::Malformed("too many bytes that are no answer".to_owned()));
        }
        Ok(())
    }
}

/// A connection with a request in flight whose answer has not started.
pub struct SentLink {
    link: IdleLink,
    coder: ClientCodec,
    unsent: ChainCursor,
    may_have_sent: bool,
    head_only: bool,
}

impl SentLink {
    /// Whether a byte of the request may have been sent.
    pub fn may_have_sent(&self) -> bool {
        self.may_have_sent
    }

    /// Sends the rest of the request and reads the head of the answer. An endpoint may answer
    /// before it has read the whole body; the rest is then not sent, and the link is not reused.
    ///
    /// # Errors
    /// Any; [`may_have_sent`](Self::may_have_sent) tells whether the endpoint may have received
    /// anything.
    pub async fn read_head(&mut self) -> Result<ResponseHead> {
        loop {
            check_head(&self.link.buffer)?;
            let decoded = self.coder.decode(&mut self.link.buffer);
            let head = decoded.map_err(|fault| LinkError::Malformed(fault.to_string()))?;
            match head {
                Some(head) if head.status.is_informational() => {}
                Some(head) => return check_framing(head),
                None => self.progress().await?,
            }
        }
    }

    /// Sends or reads some bytes, whichever is possible first.
    async fn progress(&mut self) -> Result<()> {
        self.link.buffer.reserve(READ_SIZE);
        let (mut reader, mut writer) = self.link.stream.split();
        let read = if !self.unsent.has_remaining() {
            reader.read_buf(&mut self.link.buffer).await
        } else {
            tokio::select! {
                biased;
                written = writer.write_buf(&mut self.unsent) => {
                    let count = written.map_err(LinkError::Interrupted)?;
                    self.may_have_sent |= count > 0;
                    return Ok(());
                }
                read = reader.read_buf(&mut self.link.buffer) => read,
            }
        };
        match read {
            Ok(0) => Err(unexpected_eof()),
            Ok(count) => self.link.note_read(count),
            Err(fault) => Err(LinkError::Interrupted(fault)),
        }
    }

    /// Whether nothing but the end of the connection will show the end of the body that follows `head`.
    fn ends_with_connection(&self, head: &ResponseHead) -> bool {
        let length = head.headers().get(CONTENT_LENGTH);
        let is_empty = length.is_some_and(|length| length.as_bytes() == b"0");
        match self.coder.message_type() {
            _ if self.has_no_body(head) || is_empty => false,
            // The library treats an HTTP/1.1 answer without a length as empty; it ends with its
            // connection (RFC 9112, section 6.3).
            MessageType::None | MessageType::Stream => true,
            MessageType::Payload => head.version == Version::HTTP_10 && length.is_none(),
        }
    }

    fn has_no_body(&self, head: &ResponseHead) -> bool {
        self.head_only || matches!(head.status, StatusCode::NO_CONTENT | StatusCode::NOT_MODIFIED)
    }

    /// Returns the link for reading the body that follows `head`.
    pub fn into_body(self, head: &ResponseHead) -> BodyLink {
        let closes = head.connection_type() == ConnectionType::Close;
        let reusable = self.coder.keep_alive()
            && !closes
            && head.version == Version::HTTP_11
            && !self.unsent.has_remaining();
        let length = head.headers().get(CONTENT_LENGTH);
        let is_empty = length.is_some_and(|length| length.as_bytes() == b"0");
        let framing = if self.ends_with_connection(head) {
            BodyFraming::UntilClose
        } else if self.has_no_body(head) || is_empty {
            BodyFraming::Ended(BodyEnd::Stated)
        } else {
            BodyFraming::Encoded(self.coder.into_payload_codec())
        };
        BodyLink { link: self.link, framing, reusable }
    }
}

/// Rejects a head whose framing contradicts itself (RFC 9112, section 6.3): such a head states no end.
fn check_framing(head: ResponseHead) -> Result<ResponseHead> {
    let headers = head.headers();
    let has_length = headers.contains_key(CONTENT_LENGTH);
    let is_encoded = headers.contains_key(TRANSFER_ENCODING);
    if is_encoded && (has_length || head.version != Version::HTTP_11) {
        return Err(LinkError::Malformed("contradicting framing".to_owned()));
    }
    Ok(head)
}

/// What shows that a body has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyEnd {
    /// The endpoint said so: the length is reached, or the last chunk was received.
    Stated,
    /// The connection was closed in an orderly way, and the framing says nothing about the end. The body may
    /// be complete, or the endpoint may have ended while it was writing.
    Closed,
}

impl BodyEnd {
    /// The name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            BodyEnd::Stated => "stated",
            BodyEnd::Closed => "closed",
        }
    }
}

/// The next part of a body.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum BodyPart {
    /// Some bytes.
    Bytes(Bytes),
    /// Nothing follows.
    End(BodyEnd),
}

enum BodyFraming {
    /// A length or chunked encoding.
    Encoded(ClientPayloadCodec),
    /// The body lasts until the connection ends.
    UntilClose,
    /// The body has ended.
    Ended(BodyEnd),
}

/// A connection whose answer body is being read.
pub struct BodyLink {
    link: IdleLink,
    framing: BodyFraming,
    reusable: bool,
}

impl BodyLink {
    /// What will show the end of the body, by its framing.
    pub fn expected_end(&self) -> BodyEnd {
        match self.framing {
            BodyFraming::Encoded(_) => BodyEnd::Stated,
            BodyFraming::UntilClose => BodyEnd::Closed,
            BodyFraming::Ended(end) => end,
        }
    }

    /// Returns the next bytes of the body, or how it ended.
    ///
    /// # Errors
    /// [`LinkError::Interrupted`] if the connection ended too early or broke,
    /// [`LinkError::Malformed`] if the framing is invalid.
    pub async fn next(&mut self) -> Result<BodyPart> {
        let part = self.next_part().await?;
        if let BodyPart::Bytes(bytes) = &part {
            self.link.overhead.note_content(bytes.len());
        }
        Ok(part)
    }

    async fn next_part(&mut self) -> Result<BodyPart> {
        loop {
            match &mut self.framing {
                BodyFraming::Ended(end) => return Ok(BodyPart::End(*end)),
                BodyFraming::UntilClose if !self.link.buffer.is_empty() => {
                    return Ok(BodyPart::Bytes(self.link.buffer.split().freeze()));
                }
                BodyFraming::UntilClose => {
                    self.reusable = false;
                    if self.read_more().await? == 0 {
                        self.framing = BodyFraming::Ended(BodyEnd::Closed);
                    }
                }
                BodyFraming::Encoded(coder) => {
                    let decoded = coder.decode(&mut self.link.buffer);
                    match decoded.map_err(|fault| LinkError::Malformed(fault.to_string()))? {
                        Some(Some(bytes)) => return Ok(BodyPart::Bytes(bytes)),
                        Some(None) => self.framing = BodyFraming::Ended(BodyEnd::Stated),
                        None => {
                            if self.read_more().await? == 0 {
                                return Err(unexpected_eof());
                            }
                        }
                    }
                }
            }
        }
    }

    /// Reads the rest of the body without keeping it. None of it counts as content, so a body without end is given up.
    ///
    /// # Errors
    /// As [`next`](Self::next).
    pub async fn skip(&mut self) -> Result<BodyEnd> {
        loop {
            if let BodyPart::End(end) = self.next_part().await? {
                return Ok(end);
            }
        }
    }

    async fn read_more(&mut self) -> Result<usize> {
        self.link.buffer.reserve(READ_SIZE);
        let read = self.link.stream.read_buf(&mut self.link.buffer).await;
        let count = read.map_err(LinkError::Interrupted)?;
        self.link.note_read(count)?;
        Ok(count)
    }

    fn is_stated(&self) -> bool {
        matches!(self.framing, BodyFraming::Ended(BodyEnd::Stated))
    }

    /// Returns the link if its answer was read completely and it can carry another request.
    pub fn into_idle(self) -> Option<IdleLink> {
        let whole = self.is_stated();
        let mut link = self.link;
        if !whole || !self.reusable || !link.buffer.is_empty() {
            return None;
        }
        link.buffer = BytesMut::new();
        link.answers += 1;
        link.idle_since = Instant::now();
        Some(link)
    }

    /// Returns the link to wait for another answer, after a complete one that belongs to no current
    /// request.
    ///
    /// An endpoint that answered an earlier request twice leaves the second answer where the next
    /// one is expected. Without waiting for another answer, a request that must not be repeated
    /// would be lost, although its own answer comes right after.
    pub fn await_next_answer(self, codec: &HttpCodec) -> Option<SentLink> {
        (self.is_stated() && self.reusable).then(|| SentLink {
            link: self.link,
            coder: ClientCodec::new(codec.config.clone()),
            unsent: ChainCursor::default(),
            may_have_sent: true,
            head_only: false,
        })
    }
}

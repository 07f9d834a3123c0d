//! Counts how callers' connections end, and logs those that end with something sent and not answered.

use crate::events::event;
use crate::node::FrontNode;
use compact_str::CompactString;
use oleander_board::StopStage;
use oleander_kind::ResultCode;
use std::io::ErrorKind;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::Instant;

/// Why a caller's connection ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The caller closed it.
    Caller,
    /// It broke.
    Broken(ErrorKind),
    /// It was idle for too long.
    Idle,
    /// It gave way to others while nothing was asked on it.
    GaveWay,
    /// This process stops.
    Stop,
    /// A request could not be read to its end, and was refused.
    Refused(ResultCode),
    /// The last answer ended it.
    Answered,
    /// The last answer could not be written to its end.
    Unfinished,
}

impl ConnectionEnd {
    /// The name in the log and in the metrics.
    pub fn name(self) -> &'static str {
        match self {
            ConnectionEnd::Caller => "caller",
            ConnectionEnd::Broken(_) => "broken",
            ConnectionEnd::Idle => "idle",
            ConnectionEnd::GaveWay | ConnectionEnd::Refused(ResultCode::MemoryFull) => "gave_way",
            ConnectionEnd::Stop | ConnectionEnd::Refused(ResultCode::Draining) => "stop",
            ConnectionEnd::Refused(ResultCode::SlowHead | ResultCode::SlowBody) => "time",
            ConnectionEnd::Refused(_) => "malformed",
            ConnectionEnd::Answered => "answered",
            ConnectionEnd::Unfinished => "unfinished",
        }
    }

    fn code(self) -> Option<ResultCode> {
        match self {
            ConnectionEnd::Refused(code) => Some(code),
            _ => None,
        }
    }

    fn fault(self) -> Option<ErrorKind> {
        match self {
            ConnectionEnd::Broken(fault) => Some(fault),
            _ => None,
        }
    }

    /// Whether this process closes the connection while nothing is asked on it, so that a request may cross the close.
    pub fn is_idle_close(self) -> bool {
        matches!(self, ConnectionEnd::Idle | ConnectionEnd::GaveWay | ConnectionEnd::Stop)
    }
}

/// Bytes that a caller sent on a connection that ends, and that are part of no answered request.
#[derive(Clone, Debug, Default)]
pub struct UnansweredBytes {
    /// How many there are; at most the size of one read of those that crossed its close.
    pub count: usize,
    /// Id of the request to which they belong, if its head is complete.
    pub request: Option<CompactString>,
    /// Whether they came only after this process had closed its side.
    pub crossed: bool,
}

/// What was read of a request that is not complete.
#[derive(Clone, Copy, Debug)]
struct PartialRequest {
    bytes: usize,
    has_head: bool,
    began: Instant,
}

/// Follows the requests on one connection, and counts it as open until it is dropped. Its end is counted, and
/// logged if something that was sent on it has no answer.
pub struct ConnectionTrace {
    node: Rc<FrontNode>,
    /// Requests that were read completely.
    requests: u64,
    /// When the connection was opened or its last answer ended.
    idle_since: Instant,
    reading: Option<PartialRequest>,
    has_ended: bool,
}

impl ConnectionTrace {
    /// Follows a connection that was opened now.
    pub fn new(node: &Rc<FrontNode>) -> Self {
        node.connections.set(node.connections.get() + 1);
        ConnectionTrace {
            node: node.clone(),
            requests: 0,
            idle_since: Instant::now(),
            reading: None,
            has_ended: false,
        }
    }

    /// The first bytes of a request have been read.
    pub fn note_begun(&mut self, bytes: usize) {
        self.reading = Some(PartialRequest { bytes, has_head: false, began: Instant::now() });
    }

    /// More bytes of it have been read.
    pub fn note_read(&mut self, count: usize) {
        if let Some(reading) = &mut self.reading {
            reading.bytes += count;
        }
    }

    /// Its head is complete.
    pub fn note_head(&mut self) {
        if let Some(reading) = &mut self.reading {
            reading.has_head = true;
        }
    }

    /// It is complete.
    pub fn note_complete(&mut self) {
        self.reading = None;
        self.requests += 1;
    }

    /// Its answer has ended, and the connection is idle.
    pub fn note_answered(&mut self) {
        self.idle_since = Instant::now();
    }

    /// Whether a request was read in part.
    pub fn is_reading(&self) -> bool {
        self.reading.is_some()
    }

    /// Whether a request was read on it.
    pub fn is_used(&self) -> bool {
        self.requests > 0
    }

    /// How long the connection has been idle.
    pub fn idle_for(&self) -> Duration {
        self.idle_since.elapsed()
    }

    /// No more requests are read, and `left` of a further one is dropped.
    pub fn end(&mut self, end: ConnectionEnd, left: UnansweredBytes) {
        self.has_ended = true;
        if left.count > 0 && self.reading.is_none() {
            self.note_begun(left.count);
        }
        let is_unused = self.requests == 0 && self.reading.is_none();
        self.node.meter.count_connection_end(end.name(), self.reading.is_some(), is_unused);
        let Some(reading) = self.reading else { return };
        let idle = reading.began.duration_since(self.idle_since);
        event!(self.node, ConnectionCut;
            "request" => left.request.as_deref(), "why" => end.name(),
            "code" => end.code().map(ResultCode::number),
            "fault" => end.fault().map(|fault| fault.to_string()), "crossed" => left.crossed,
            "bytes" => reading.bytes, "part" => if reading.has_head { "body" } else { "head" },
            "first" => self.requests == 0, "idle_ms" => idle.as_millis() as u64,
            "ms" => reading.began.elapsed().as_millis() as u64,
            "stops" => self.node.stop.get() != StopStage::Serving);
    }
}

impl Drop for ConnectionTrace {
    fn drop(&mut self) {
        if !self.has_ended {
            self.end(ConnectionEnd::Stop, UnansweredBytes::default());
        }
        self.node.connections.set(self.node.connections.get().saturating_sub(1));
    }
}

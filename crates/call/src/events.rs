//! Splits a byte stream into complete server-sent events.
//!
//! An endpoint may stop in the middle of an event. Only complete events are passed on, so that a
//! stream can resume at another endpoint right after the last event its caller has.

use bytes::{Bytes, BytesMut};

/// The largest accepted event in bytes; an endpoint that sends a larger one is considered broken.
pub const EVENT_LIMIT: usize = 1 << 20;

/// A complete event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompleteEvent {
    /// The bytes of the event including the terminating blank line.
    pub raw: Bytes,
    /// The number of the event, if it has one.
    pub id: Option<u64>,
}

impl CompleteEvent {
    /// Whether a caller whose last event was `last_event` does not have it yet.
    pub fn is_after(&self, last_event: Option<u64>) -> bool {
        !matches!((self.id, last_event), (Some(id), Some(last)) if id <= last)
    }
}

/// Error for an event larger than [`EVENT_LIMIT`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLong;

/// Buffers bytes and returns complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    searched: usize,
    scan: LineScan,
    count: u64,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Number of events returned so far.
    pub fn count(&self) -> u64 {
        self.count
    }

    /// Whether what follows the last complete event is part of one.
    pub fn is_inside_event(&self) -> bool {
        is_inside_event(&self.buffer)
    }

    /// Returns and removes what follows the last complete event.
    pub fn take_rest(&mut self) -> StreamRest {
        self.searched = 0;
        StreamRest(self.buffer.split().freeze())
    }

    /// Returns the next complete event, if there is one.
    ///
    /// # Errors
    /// [`EventTooLong`] if no event ends within the limit.
    pub fn next_event(&mut self) -> Result<Option<CompleteEvent>, EventTooLong> {
        let unread = &self.buffer[self.searched..];
        let Some(length) = self.scan.event_end(unread) else {
            self.searched = self.buffer.len();
            return if self.buffer.len() > EVENT_LIMIT { Err(EventTooLong) } else { Ok(None) };
        };
        let raw = self.buffer.split_to(self.searched + length).freeze();
        self.searched = 0;
        self.count += 1;
        Ok(Some(CompleteEvent { id: event_id(&raw), raw }))
    }
}

fn is_inside_event(rest: &[u8]) -> bool {
    let is_end = |byte: &u8| matches!(byte, b'\n' | b'\r');
    let mut lines = rest.split(is_end).rev();
    let unfinished = lines.next().unwrap_or_default();
    !unfinished.is_empty() || lines.any(|line| !line.is_empty() && !line.starts_with(b":"))
}

/// The bytes that follow the last complete event of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamRest(Bytes);

impl StreamRest {
    /// Whether the bytes are part of an event. Blank lines and complete comment lines are not.
    pub fn is_inside_event(&self) -> bool {
        is_inside_event(&self.0)
    }

    /// Number of bytes.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Whether nothing follows.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }

    /// The bytes.
    pub fn into_bytes(self) -> Bytes {
        self.0
    }
}

/// How a line ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum LineEnd {
    #[default]
    Lf,
    Cr,
    CrLf,
}

/// Finds blank lines in bytes that arrive in parts. Lines end with LF, CR or CRLF.
#[derive(Clone, Copy, Debug, Default)]
struct LineScan {
    is_line_empty: bool,
    line_end: LineEnd,
    /// Whether the last byte was a CR.
    after_cr: bool,
    /// Whether that CR ended a blank line, and the LF that follows it in this stream has not arrived.
    awaits_lf: bool,
}

impl LineScan {
    /// Returns the end of the first blank line in `bytes`, which follow those seen before.
    fn event_end(&mut self, bytes: &[u8]) -> Option<usize> {
        bytes.iter().enumerate().find_map(|(at, byte)| match self.step(*byte) {
            ScanStep::More => None,
            ScanStep::EndBefore => Some(at),
            ScanStep::EndAfter => Some(at + 1),
        })
    }

    fn step(&mut self, byte: u8) -> ScanStep {
        if std::mem::take(&mut self.awaits_lf) {
            self.is_line_empty = false;
            if byte == b'\n' {
                self.after_cr = false;
                return ScanStep::EndAfter;
            }
            self.after_cr = false;
            return ScanStep::EndBefore;
        }
        let completes_crlf = byte == b'\n' && self.after_cr;
        self.after_cr = byte == b'\r';
        match byte {
            b'\n' if completes_crlf => {
                self.line_end = LineEnd::CrLf;
                ScanStep::More
            }
            b'\r' if self.is_line_empty && self.line_end == LineEnd::CrLf => {
                self.awaits_lf = true;
                ScanStep::More
            }
            b'\n' | b'\r' if self.is_line_empty => {
                self.is_line_empty = false;
                ScanStep::EndAfter
            }
            b'\n' | b'\r' => {
                self.is_line_empty = true;
                self.line_end = if byte == b'\n' { LineEnd::Lf } else { LineEnd::Cr };
                ScanStep::More
            }
            _ => {
                self.is_line_empty = false;
                ScanStep::More
            }
        }
    }
}

/// Where an event ended, seen from the byte that was scanned.
enum ScanStep {
    More,
    /// The byte belongs to the next event.
    EndBefore,
    EndAfter,
}

fn event_id(raw: &[u8]) -> Option<u64> {
    raw.split(|byte| matches!(byte, b'\n' | b'\r')).find_map(|line| {
        let text = std::str::from_utf8(line.strip_prefix(b"id:")?).ok()?;
        text.trim().parse().ok()
    })
}

//! Splits a stream of bytes into server-sent events, without copying them.

use bytes::{Buf, Bytes, BytesMut};

/// The longest event that is taken, in bytes.
pub const EVENT_LIMIT: usize = 1 << 20;

/// One event of an engine's stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AnswerEvent {
    /// The event as it came, with its closing blank line.
    pub raw: Bytes,
    /// One past the last token it shows, from its `id` line.
    pub end: Option<u64>,
    /// What it is.
    pub kind: EventKind,
}

/// What an event is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// A piece of the answer.
    Piece,
    /// The finish marker.
    Finish,
    /// The end of the stream.
    Done,
}

/// Collects bytes and gives out whole events.
#[derive(Debug, Default)]
pub struct EventReader {
    buffer: BytesMut,
    searched: usize,
}

/// An event longer than [`EVENT_LIMIT`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLong;

impl EventReader {
    /// Adds bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The next whole event, if there is one.
    ///
    /// # Errors
    /// [`EventTooLong`] if no event ends within the limit.
    pub fn next_event(&mut self) -> Result<Option<AnswerEvent>, EventTooLong> {
        let from = self.searched.saturating_sub(1);
        let found = self.buffer[from..].windows(2).position(|pair| pair == b"\n\n");
        let Some(at) = found else {
            self.searched = self.buffer.len();
            if self.buffer.len() > EVENT_LIMIT {
                return Err(EventTooLong);
            }
            return Ok(None);
        };
        self.searched = 0;
        let raw = self.buffer.split_to(from + at + 2).freeze();
        Ok(Some(read_event(raw)))
    }
}

fn read_event(raw: Bytes) -> AnswerEvent {
    let mut end = None;
    let mut kind = EventKind::Piece;
    for line in raw.split(|byte| *byte == b'\n') {
        if let Some(text) = line.strip_prefix(b"id:") {
            end = std::str::from_utf8(text).ok().and_then(|text| text.trim().parse().ok());
        } else if let Some(data) = line.strip_prefix(b"data:") {
            kind = data_kind(data);
        }
    }
    AnswerEvent { raw, end, kind }
}

fn data_kind(data: &[u8]) -> EventKind {
    const FINISH: &[u8] = b"\"finish_reason\":\"";
    if data.trim_ascii() == b"[DONE]" {
        return EventKind::Done;
    }
    // Text inside the answer cannot look like this: a quote in a JSON string is escaped.
    if data.windows(FINISH.len()).any(|window| window == FINISH) {
        return EventKind::Finish;
    }
    EventKind::Piece
}

/// Reads all events of `bytes`.
pub fn read_events(mut bytes: Bytes) -> Vec<AnswerEvent> {
    let mut reader = EventReader::default();
    reader.push(&bytes);
    bytes.advance(bytes.len());
    let mut events = Vec::new();
    while let Ok(Some(event)) = reader.next_event() {
        events.push(event);
    }
    events
}

/// The answer text of one event.
pub fn event_text(raw: &[u8]) -> String {
    let Some(start) = raw.windows(5).position(|window| window == b"data:") else {
        return String::new();
    };
    let value: serde_json::Value = serde_json::from_slice(&raw[start + 5..]).unwrap_or_default();
    let text = value.pointer("/choices/0/delta/content").and_then(|text| text.as_str());
    text.unwrap_or("").to_owned()
}

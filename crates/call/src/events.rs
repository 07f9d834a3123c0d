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

/// Error for an event larger than [`EVENT_LIMIT`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLong;

/// Buffers bytes and returns complete events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    searched: usize,
}

impl EventSplitter {
    /// Appends received bytes.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns and removes the bytes of an incomplete event.
    pub fn take_incomplete(&mut self) -> Bytes {
        self.searched = 0;
        self.buffer.split().freeze()
    }

    /// Returns the next complete event, if there is one.
    ///
    /// # Errors
    /// [`EventTooLong`] if no event ends within the limit.
    pub fn next_event(&mut self) -> Result<Option<CompleteEvent>, EventTooLong> {
        let from = self.searched.saturating_sub(3);
        let Some(length) = event_end(&self.buffer[from..]) else {
            self.searched = self.buffer.len();
            return if self.buffer.len() > EVENT_LIMIT { Err(EventTooLong) } else { Ok(None) };
        };
        self.searched = 0;
        let raw = self.buffer.split_to(from + length).freeze();
        Ok(Some(CompleteEvent { id: event_id(&raw), raw }))
    }
}

/// Returns the end of the first blank line in `bytes`. Lines may end with LF or CRLF.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut line_empty = false;
    for (at, byte) in bytes.iter().enumerate() {
        match byte {
            b'\n' if line_empty => return Some(at + 1),
            b'\n' => line_empty = true,
            b'\r' => {}
            _ => line_empty = false,
        }
    }
    None
}

fn event_id(raw: &[u8]) -> Option<u64> {
    raw.split(|byte| *byte == b'\n').find_map(|line| {
        let text = std::str::from_utf8(line.strip_prefix(b"id:")?).ok()?;
        text.trim().parse().ok()
    })
}

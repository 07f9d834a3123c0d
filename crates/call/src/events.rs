//! Cuts a stream of bytes into whole events.
//!
//! An endpoint may stop in the middle of an event. Only whole events are passed on, so that a stream
//! can go on at another endpoint right after the last one its caller has.

use bytes::{Bytes, BytesMut};

/// The longest event that is taken, in bytes; an endpoint that sends more is broken.
pub const EVENT_LIMIT: usize = 1 << 20;

/// One whole event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CompleteEvent {
    /// Its bytes, with the closing blank line.
    pub raw: Bytes,
    /// Its number, if it has one.
    pub id: Option<u64>,
}

/// An event longer than [`EVENT_LIMIT`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EventTooLong;

/// Collects bytes and gives out whole events.
#[derive(Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
    searched: usize,
}

impl EventSplitter {
    /// Adds bytes as they came.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// The bytes of an unfinished event.
    pub fn take_incomplete(&mut self) -> Bytes {
        self.searched = 0;
        self.buffer.split().freeze()
    }

    /// The next whole event, if there is one.
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

/// Where the first blank line of `bytes` ends. Lines may end with a line feed alone or with a
/// carriage return before it.
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

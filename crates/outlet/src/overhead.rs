//! Bounds what is read of a connection without being part of an answer.
//!
//! A peer in trouble may send bytes without end that are no content: heads that announce another head, extensions of
//! a chunk's length, trailers. The codec takes them out of its buffer as they come, so neither the buffer nor the
//! content grows, and only the peer's pace would end the reading.

/// Most bytes beyond the content, for a message of any size: some times as much as the longest head.
const ALLOWED_BYTES: u64 = 512 << 10;
/// Most bytes beyond the content for each byte of it. A chunk of one byte has five more.
const ALLOWED_PER_BYTE: u64 = 8;

/// The bytes read for one message, and those of them that were its content.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct OverheadCount {
    read: u64,
    content: u64,
}

impl OverheadCount {
    /// Counts bytes that were read from the connection.
    pub fn note_read(&mut self, bytes: usize) {
        self.read += bytes as u64;
    }

    /// Counts bytes of content that were taken from those read.
    pub fn note_content(&mut self, bytes: usize) {
        self.content += bytes as u64;
    }

    /// Whether more was read than a message may take; `buffered` bytes of it are not looked at yet.
    pub fn is_exceeded(&self, buffered: usize) -> bool {
        let overhead = self.read.saturating_sub(self.content + buffered as u64);
        overhead > ALLOWED_BYTES + self.content * ALLOWED_PER_BYTE
    }
}

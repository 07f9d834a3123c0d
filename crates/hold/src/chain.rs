//! Bodies in segments, so that they grow without being copied, and are sent more than once without a copy.

use bytes::{Buf, Bytes, BytesMut};
use std::collections::VecDeque;
use std::io::IoSlice;
use std::rc::Rc;

/// Bytes of a segment. All of one size, so that what a body leaves fits the next one.
const SEGMENT_BYTES: usize = 64 << 10;
/// Bytes of the first segment of a body of unknown length.
const FIRST_BYTES: usize = 4 << 10;

/// A complete body. Clones share its segments.
#[derive(Clone, Debug, Default)]
pub struct BodyChain {
    segments: Rc<[Bytes]>,
    length: usize,
}

impl BodyChain {
    /// How many bytes it has.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether it has none.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// Its segments in order.
    pub fn segments(&self) -> &[Bytes] {
        &self.segments
    }

    /// Its bytes in one piece, copied if there are several segments.
    pub fn to_bytes(&self) -> Bytes {
        match self.segments.as_ref() {
            [only] => only.clone(),
            segments => segments.concat().into(),
        }
    }

    /// Its bytes from the first one on, without a copy.
    pub fn cursor(&self) -> ChainCursor {
        ChainCursor { segments: self.segments.iter().cloned().collect(), left: self.length }
    }
}

impl From<Bytes> for BodyChain {
    fn from(bytes: Bytes) -> Self {
        let length = bytes.len();
        BodyChain { segments: Rc::new([bytes]), length }
    }
}

/// The bytes of a body that are not taken yet.
#[derive(Clone, Debug, Default)]
pub struct ChainCursor {
    segments: VecDeque<Bytes>,
    left: usize,
}

impl ChainCursor {
    /// Puts bytes before the others.
    pub fn push_front(&mut self, bytes: Bytes) {
        self.left += bytes.len();
        self.segments.push_front(bytes);
    }
}

impl Buf for ChainCursor {
    fn remaining(&self) -> usize {
        self.left
    }

    fn chunk(&self) -> &[u8] {
        self.segments.iter().find(|segment| !segment.is_empty()).map_or(&[], |segment| segment)
    }

    fn chunks_vectored<'a>(&'a self, into: &mut [IoSlice<'a>]) -> usize {
        let full = self.segments.iter().filter(|segment| !segment.is_empty());
        let pairs = into.iter_mut().zip(full);
        pairs.map(|(slice, segment)| *slice = IoSlice::new(segment)).count()
    }

    fn advance(&mut self, count: usize) {
        assert!(count <= self.left, "cannot advance past the end of a body");
        self.left -= count;
        let mut rest = count;
        while let Some(first) = self.segments.front_mut() {
            if rest < first.len() {
                first.advance(rest);
                return;
            }
            rest -= first.len();
            self.segments.pop_front();
        }
    }
}

/// A body that is being read.
#[derive(Debug, Default)]
pub struct BodyBuffer {
    full: Vec<Bytes>,
    last: BytesMut,
    length: usize,
    expected: Option<usize>,
}

impl BodyBuffer {
    /// An empty one, of a body of `expected` bytes if its length was told.
    pub fn new(expected: Option<usize>) -> Self {
        BodyBuffer { expected, ..BodyBuffer::default() }
    }

    /// How many bytes have been read.
    pub fn len(&self) -> usize {
        self.length
    }

    /// Whether none have.
    pub fn is_empty(&self) -> bool {
        self.length == 0
    }

    /// The memory that it will take with `more` bytes.
    pub fn held_with(&self, more: usize) -> usize {
        match self.length + more {
            0 => 0,
            length if length <= SEGMENT_BYTES => self.segment_size(length),
            length => length.div_ceil(SEGMENT_BYTES) * SEGMENT_BYTES,
        }
    }

    /// The size of a segment that has to hold `length` bytes, at most those of a whole segment.
    fn segment_size(&self, length: usize) -> usize {
        match self.expected {
            // What was announced may never come: memory is taken in steps all the same.
            Some(expected) if expected <= FIRST_BYTES => expected.max(length),
            _ => length.next_power_of_two().clamp(FIRST_BYTES, SEGMENT_BYTES),
        }
    }

    /// Appends bytes.
    pub fn push(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let fits = bytes.len().min(SEGMENT_BYTES - self.last.len());
            let (now, later) = bytes.split_at(fits);
            let needed = self.last.len() + fits;
            if needed > self.last.capacity() {
                self.grow(needed);
            }
            self.last.extend_from_slice(now);
            self.length += fits;
            if self.last.len() == SEGMENT_BYTES {
                self.full.push(std::mem::take(&mut self.last).freeze());
            }
            bytes = later;
        }
    }

    fn grow(&mut self, needed: usize) {
        let size = if self.full.is_empty() { self.segment_size(needed) } else { SEGMENT_BYTES };
        let mut larger = BytesMut::with_capacity(size);
        larger.extend_from_slice(&self.last);
        self.last = larger;
    }

    /// The complete body.
    pub fn finish(mut self) -> BodyChain {
        if !self.last.is_empty() {
            self.full.push(self.last.freeze());
        }
        BodyChain { segments: self.full.into(), length: self.length }
    }
}

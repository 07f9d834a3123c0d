//! Cuts a text where its content says so.
//!
//! Cut at fixed distances, all pieces behind an inserted byte would differ. Here the last few dozen bytes before a place
//! decide whether there is a cut, so the cuts behind a change are the same as before it.

use oleander_kind::hash::mix_bits;
use std::ops::Range;

/// Shortest piece, in bytes; only the last one may be shorter. Shorter pieces would take a larger plan.
const MIN_PIECE_BYTES: usize = 2 << 10;
/// Longest piece, in bytes.
pub(crate) const MAX_PIECE_BYTES: usize = 32 << 10;
/// One place in 2^13 is a cut, so that pieces have about 10 KB.
const CUT_BITS: u32 = 13;

/// A random number for each value of a byte, the same in every process and build.
const BYTE_NUMBERS: [u64; 256] = byte_numbers();

const fn byte_numbers() -> [u64; 256] {
    let mut numbers = [0; 256];
    let mut byte = 0;
    while byte < 256 {
        numbers[byte] = mix_bits(byte as u64 + 1);
        byte += 1;
    }
    numbers
}

/// The ranges of the pieces of `text`, in order.
pub(crate) fn cut_text(text: &[u8]) -> Vec<Range<usize>> {
    let mut ranges = Vec::new();
    let mut start = 0;
    while start < text.len() {
        let end = start + piece_length(&text[start..]);
        ranges.push(start..end);
        start = end;
    }
    ranges
}

fn piece_length(rest: &[u8]) -> usize {
    let longest = rest.len().min(MAX_PIECE_BYTES);
    // Each byte is shifted out after 64 more.
    let mut rolling = 0_u64;
    for (at, byte) in rest[..longest].iter().enumerate() {
        rolling = (rolling << 1).wrapping_add(BYTE_NUMBERS[usize::from(*byte)]);
        if at + 1 >= MIN_PIECE_BYTES && rolling >> (u64::BITS - CUT_BITS) == 0 {
            return at + 1;
        }
    }
    longest
}

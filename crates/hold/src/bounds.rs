//! The rooms of the account, sized by the machine, and the times by which connections give way.

use oleander_kind::TimeSpan;

/// Bytes that an open connection of a caller takes while nothing is asked on it.
pub const CONNECTION_BYTES: usize = 6 << 10;
/// Bytes that a request takes while it is served by two endpoints, besides its body and its head: the first of its answer
/// among them, so that answers which are short need no more room.
pub const REQUEST_BYTES: usize = (32 << 10) + ANSWER_BYTES;
/// Bytes of an answer that are in [`REQUEST_BYTES`].
pub const ANSWER_BYTES: usize = 8 << 10;
/// Bytes of a request that come from the room of small ones. Nearly all requests are smaller.
pub const SMALL_BYTES: usize = REQUEST_BYTES + (16 << 10);
/// Bytes of an answer beyond [`ANSWER_BYTES`] that do.
pub const SMALL_ANSWER_BYTES: usize = 8 << 10;
/// Descriptors that are left to files, and to what the process opens at its start.
const FILE_DESCRIPTORS: usize = 200;
/// Bytes beyond its room that one answer may take, so that answers which wait for one another go on.
pub const SPARE_BYTES: usize = 4 << 20;

/// How long a caller that has connected keeps its place in any case: its request may be on its way.
pub const FRESH_TIME: TimeSpan = TimeSpan(50);
/// After so long a caller that has sent nothing is taken for one that will not.
pub const SILENT_TIME: TimeSpan = TimeSpan(1000);
/// Bytes that a caller counts as having sent until then: a short head, which may be on its way.
pub const HEAD_BYTES: u64 = 500;

/// How much callers may make a process hold.
///
/// Of the memory a quarter is the process's own, for what it knows of endpoints, peers and accounts, and a sixteenth is
/// the allocator's. The rest is in this account.
///
/// Invariant: requests that are complete, and cannot give way, never fill the room of small ones, however many callers
/// send them; so an ordinary request always finds room.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HoldBounds {
    /// Connections of callers.
    pub connections: usize,
    /// Connections beyond these that are being closed.
    pub closing: usize,
    /// Bytes of heads, of small requests and answers, and of the first part of others.
    pub small_bytes: usize,
    /// Bytes of requests beyond their first part.
    pub large_bytes: usize,
    /// Bytes of answers beyond their first part, without the spare ones.
    pub answer_bytes: usize,
    /// Idle connections to endpoints.
    pub idle_links: usize,
}

impl HoldBounds {
    /// The bounds for a machine with so many bytes of memory and so many descriptors.
    ///
    /// A request takes a descriptor of its caller and, while another endpoint is asked beside a silent one, two of
    /// endpoints. A quarter of the sockets is the callers', half is left for their requests, an eighth for idle
    /// connections to endpoints, and an eighth for the store, the peers and operators.
    pub fn of_machine(memory_bytes: usize, descriptors: usize) -> Self {
        let sockets = descriptors.saturating_sub(FILE_DESCRIPTORS);
        let small_bytes = memory_bytes / 8 * 3;
        let served = small_bytes / (SMALL_BYTES + SMALL_ANSWER_BYTES);
        let all = (sockets / 4).min(served).max(2);
        let closing = (all / 8).max(1);
        HoldBounds {
            connections: all - closing,
            closing,
            small_bytes,
            large_bytes: memory_bytes / 16 * 3,
            answer_bytes: (memory_bytes / 16).saturating_sub(SPARE_BYTES),
            idle_links: (sockets / 8).max(1),
        }
    }

    /// The bounds of requests alone, a quarter for small ones unless the longest body would not fit then. Connections
    /// and answers are bounded elsewhere.
    pub fn of_requests(request_bytes: usize, longest_body: usize) -> Self {
        let beside_longest = (request_bytes + SMALL_BYTES).saturating_sub(longest_body);
        let small_bytes = (request_bytes / 4).min(beside_longest);
        let large_bytes = request_bytes - small_bytes;
        let rest = Self::of_machine(usize::MAX, usize::MAX / 8);
        HoldBounds { connections: usize::MAX / 2, small_bytes, large_bytes, ..rest }
    }
}

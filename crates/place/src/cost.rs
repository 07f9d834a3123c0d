//! The cost of placing a request at an endpoint, as the milliseconds that its caller or the callers
//! behind it will wait.

use crate::board::EndpointFact;
use crate::choose::{PlacementChoice, PlacementRequest};
use oleander_kind::TimeSpan;

/// The weight of tokens that are read again: they delay the caller that waits, and the callers
/// behind it whose text they evict from the engine's memory.
const REREAD_WEIGHT: f64 = 2.0;
/// What a running stream costs the others of its engine: it lengthens a step by about 0.08 ms
/// (users' sheets), and an event of 5 tokens takes 5 steps; spread over the 10 or so streams that
/// it affects, about 2 ms each.
const STREAM_COST_MS: f64 = 2.0;
/// The time that a plain request takes at an idle endpoint.
const PLAIN_WORK_MS: f64 = 15.0;
/// The time to an engine's first token apart from reading the prompt: a step, the first token and
/// the network round trip.
const FIRST_TOKEN_MS: f64 = 60.0;
/// The cost of crossing failure domains: two crossings of about 1.5 ms, and traffic that is paid
/// for.
pub(crate) const CROSS_DOMAIN_MS: f64 = 5.0;
/// The gain of sending to a rate-limited endpoint that accepts a request now: unused, that capacity
/// is lost.
pub(crate) const LIMITED_GAIN_MS: f64 = CROSS_DOMAIN_MS;
/// The cost of an endpoint whose slots are all taken: the request waits for a whole stream to end.
const FULL_ENDPOINT_MS: f64 = 1500.0;
/// The cost of a certain failure: the time to detect it and to start again elsewhere.
pub(crate) const FAILURE_MS: f64 = 400.0;

/// The cost of a stream that pauses for longer than its objective: it is late, and no wait saved
/// elsewhere compensates for that, so it costs as much as a failure.
const PAUSED_MS: f64 = FAILURE_MS;
/// The factor by which an engine takes longer than reading the prompts ahead alone: it generates
/// tokens between the chunks, and a third of the engines are slower by a third.
const READING_FACTOR: f64 = 2.2;
/// From this multiple of the longest allowed pause on, reading makes some of the streams on the
/// engine late, and from [`MAX_PAUSE_RATIO`] on all of them.
const MIN_PAUSE_RATIO: f64 = 0.7;
/// The reading time, as a multiple of the longest allowed pause, at which no concurrent stream is
/// on time.
const MAX_PAUSE_RATIO: f64 = 1.9;
/// Each token of a prompt attends to all tokens before it. At this length that takes as long as the
/// rest of the reading: for engines of two kinds it is 61,000 and 285,000 tokens, by their makers'
/// figures. This is the conservative one of the two: with a cost that is too high, prompts are
/// refused that could be read in time.
const QUADRATIC_TOKENS: f64 = 285_000.0;

/// The expected time until the chosen endpoint sends the first part of its answer.
pub fn expected_first_byte(choice: &PlacementChoice, engine: bool, read_per_ms: f64) -> TimeSpan {
    let ms = if engine {
        FIRST_TOKEN_MS + choice.tokens_ahead as f64 / read_per_ms
    } else {
        PLAIN_WORK_MS
    };
    TimeSpan(ms as u64)
}

/// The cost of a prompt at a model engine that has to read `unread` tokens of it.
pub(crate) fn engine_cost(fact: &EndpointFact, unread: u64, request: &PlacementRequest<'_>) -> f64 {
    let queue = fact.unread_tokens() as f64 / request.read_per_ms;
    let own = REREAD_WEIGHT * unread as f64 / request.read_per_ms;
    let full = if fact.requests() >= fact.entry.slots { FULL_ENDPOINT_MS } else { 0.0 };
    let paused = PAUSED_MS * paused_part(fact.unread_tokens() + unread, request);
    queue + own + full + (STREAM_COST_MS + paused) * f64::from(fact.requests())
}

/// The work of reading `tokens` of one prompt, in tokens of a short one.
pub(crate) fn reading_work(tokens: u64) -> u64 {
    let tokens = tokens as f64;
    (tokens * (1.0 + tokens / QUADRATIC_TOKENS)) as u64
}

/// The part of an engine's running streams that pause for too long while it reads `tokens`.
///
/// An engine generates tokens of its running streams between the chunks of a prompt that it reads.
/// An engine that reads for as long as a stream may pause makes all its streams late. For that
/// reason alone a seventh of the long answers were late, without any failure.
pub(crate) fn paused_part(tokens: u64, request: &PlacementRequest<'_>) -> f64 {
    let Some(pause) = request.pause else { return 0.0 };
    let reading = tokens as f64 / request.read_per_ms * READING_FACTOR;
    let filled = reading / (pause.0 as f64).max(1.0);
    request.pause_weight
        * ((filled - MIN_PAUSE_RATIO) / (MAX_PAUSE_RATIO - MIN_PAUSE_RATIO)).clamp(0.0, 1.0)
}

/// The cost of a request at an endpoint of a plain service.
pub(crate) fn plain_cost(fact: &EndpointFact) -> f64 {
    let slots = f64::from(fact.entry.slots.max(1));
    PLAIN_WORK_MS * f64::from(fact.requests()) / slots
}

/// The cost of a request at an endpoint of a plain service, of a dispatcher that may have `permits` requests
/// there: what it has itself shows how busy the endpoint is, since the other dispatchers do the same.
pub(crate) fn dispatched_cost(fact: &EndpointFact, permits: u32) -> f64 {
    PLAIN_WORK_MS * f64::from(fact.own.requests) / f64::from(permits.max(1))
}

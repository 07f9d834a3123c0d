//! What an endpoint costs a request, in milliseconds that its caller or the callers behind it will wait.

use crate::board::EndpointFact;
use crate::choose::{PlaceAsk, PlaceChoice};
use oleander_kind::TimeSpan;

/// Tokens read again count this often: once for the caller that waits, once for the callers behind
/// it whose text they push out of the engine's memory.
const REREAD_WEIGHT: f64 = 2.0;
/// What a running stream costs the others of its engine: a step grows by about 0.08 ms a stream
/// (users' sheets), and an event of 5 tokens takes 5 steps; spread over the 10 or so streams that
/// feel it, about 2 ms each.
const STREAM_COST_MS: f64 = 2.0;
/// Time that a plain request takes at an idle endpoint.
const PLAIN_WORK_MS: f64 = 15.0;
/// Time to an engine's first token apart from reading: a step, the first token and the ways there and back.
const FIRST_TOKEN_MS: f64 = 60.0;
/// What crossing failure domains costs: two crossings of about 1.5 ms, and bytes that are paid for.
pub(crate) const CROSSING_MS: f64 = 5.0;
/// What sending to a limited endpoint gains when it may be asked: what it takes is lost if it is not sent now.
pub(crate) const TURN_MS: f64 = CROSSING_MS;
/// An endpoint all of whose places are taken makes a request wait for a whole stream to end.
const FULL_MS: f64 = 1500.0;
/// What a certain failure would cost: the time to notice it and to begin again elsewhere.
pub(crate) const FAILURE_MS: f64 = 400.0;

/// What a stream costs that pauses for longer than its objective: it is late, and cannot be made good
/// by any wait that is saved elsewhere, so as much as a failure.
const PAUSED_MS: f64 = FAILURE_MS;
/// An engine reads for this many times as long as the prompts before it alone take: between the pieces it
/// makes tokens, and a third of the engines are slower by a third.
const READING_FACTOR: f64 = 2.2;
/// From this many times the longest pause on, reading makes some of the streams beside it late, and from
/// [`PAUSE_SURE`] on all of them.
const PAUSE_BEGIN: f64 = 0.7;
/// The length of reading, in times the longest pause, beside which no stream is on time.
const PAUSE_SURE: f64 = 1.9;
/// Each token of a prompt is weighed against all before it. At this length that takes as long as the rest
/// of the reading: engines of two kinds take 61,000 and 285,000 tokens, by their makers' figures. The
/// careful one of the two: counted as too long, prompts are refused that could be read in time.
const SQUARE_TOKENS: f64 = 285_000.0;

/// How long the first part of the answer of an endpoint chosen usually takes.
pub fn expected_first(choice: &PlaceChoice, engine: bool, read_per_ms: f64) -> TimeSpan {
    let ms = if engine {
        FIRST_TOKEN_MS + choice.tokens_ahead as f64 / read_per_ms
    } else {
        PLAIN_WORK_MS
    };
    TimeSpan(ms as u64)
}

/// What a model engine costs a prompt of which it has to read `unread` tokens.
pub(crate) fn engine_cost(fact: &EndpointFact, unread: u64, ask: &PlaceAsk<'_>) -> f64 {
    let queue = fact.unread_tokens() as f64 / ask.read_per_ms;
    let own = REREAD_WEIGHT * unread as f64 / ask.read_per_ms;
    let full = if fact.requests() >= fact.entry.slots { FULL_MS } else { 0.0 };
    let paused = PAUSED_MS * paused_part(fact.unread_tokens() + unread, ask);
    queue + own + full + (STREAM_COST_MS + paused) * f64::from(fact.requests())
}

/// The work of reading `tokens` of one prompt, in tokens of a short one.
pub(crate) fn reading_work(tokens: u64) -> u64 {
    let tokens = tokens as f64;
    (tokens * (1.0 + tokens / SQUARE_TOKENS)) as u64
}

/// The part of an engine's running streams that pause for too long while it reads `tokens`.
///
/// Tokens of running streams are made between the pieces of a prompt that is read. An engine that reads for
/// as long as a stream may pause makes all streams beside it late. A seventh of the long answers came late
/// for that alone, on a calm day without a failure.
pub(crate) fn paused_part(tokens: u64, ask: &PlaceAsk<'_>) -> f64 {
    let Some(pause) = ask.pause else { return 0.0 };
    let reading = tokens as f64 / ask.read_per_ms * READING_FACTOR;
    let filled = reading / (pause.0 as f64).max(1.0);
    ask.pause_weight * ((filled - PAUSE_BEGIN) / (PAUSE_SURE - PAUSE_BEGIN)).clamp(0.0, 1.0)
}

/// What a plain service costs.
pub(crate) fn plain_cost(fact: &EndpointFact) -> f64 {
    let slots = f64::from(fact.entry.slots.max(1));
    PLAIN_WORK_MS * f64::from(fact.requests()) / slots
}

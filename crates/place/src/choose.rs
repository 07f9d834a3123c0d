//! The choice itself: the endpoint with the least expected cost.
//!
//! Costs are milliseconds that a caller, or the callers behind it, will wait.

use crate::board::{EndpointBoard, EndpointFact, EndpointKey};
use crate::prefix::PrefixRecord;
use oleander_call::PromptPart;
use oleander_kind::hash::{mix_bits, rendezvous_weight};
use oleander_kind::{ClockTime, DomainName, ServiceName, TimeSpan};

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
const CROSSING_MS: f64 = 5.0;
/// An endpoint all of whose places are taken makes a request wait for a whole stream to end.
const FULL_MS: f64 = 1500.0;
/// What a certain failure would cost: the time to notice it and to begin again elsewhere.
const FAILURE_MS: f64 = 400.0;

/// What a stream costs that pauses for longer than its objective: it is late, and cannot be made good
/// by any wait that is saved elsewhere, so as much as a failure.
const PAUSED_MS: f64 = FAILURE_MS;
/// An engine reads for this many times as long as the prompts before it alone take: between the pieces it
/// makes tokens, and a third of the engines are slower by a third.
const READING_FACTOR: f64 = 2.2;
/// From this many times the longest pause on, reading makes some of the streams beside it late, and from
/// [`PAUSE_SURE`] on all of them. Of the streams beside a prompt of 24,000 tokens (1.06 times), 18 in 100
/// more paused for too long than beside short ones, at 34,000 55, at 44,000 (1.94 times) all (3,277 long
/// answers in 52 s, 68 engines that read 125 tokens a millisecond).
const PAUSE_BEGIN: f64 = 0.7;
/// The length of reading, in times the longest pause, beside which no stream is on time.
const PAUSE_SURE: f64 = 1.9;
/// Each token of a prompt is weighed against all before it. At this length that takes as long as the rest
/// of the reading: engines of two kinds take 61,000 and 285,000 tokens, by their makers' figures. Counted
/// by its length alone, a prompt of 55,000 tokens stood for half of the time that it takes, and short
/// questions that were put behind it waited for over two seconds.
const SQUARE_TOKENS: f64 = 120_000.0;

/// One in so many requests that may be repeated may go to an endpoint that is set aside: only answers tell
/// that it is well again, and health checks are paid for and may lie. Of 95 such requests a second that
/// look at two of 65 engines, each engine set aside gets one in five seconds; none that must not be
/// repeated goes there.
const TRIAL_PART: u64 = 16;
const TRIAL_SALT: u64 = 0x7472_6961_6c00_0000;

/// A request that looks for an endpoint.
#[derive(Clone, Debug)]
pub struct PlaceAsk<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// Whether its endpoints are model engines.
    pub engine: bool,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// The prompt's parts.
    pub parts: &'a [PromptPart],
    /// Endpoints that are not to be tried again.
    pub tried: &'a [EndpointKey],
    /// The failure domain of this process.
    pub domain: &'a DomainName,
    /// Tokens that may wait to be read at an engine before it is passed over while others have fewer.
    pub queue_limit: u64,
    /// Prompt tokens that an engine reads in a millisecond.
    pub read_per_ms: f64,
    /// The longest pause of an on-time stream; none if the request is no stream.
    pub pause: Option<TimeSpan>,
    /// Whether it may run again elsewhere if its endpoint fails it.
    pub repeatable: bool,
    /// Breaks ties; differs between requests.
    pub salt: u64,
    /// The time.
    pub now: ClockTime,
}

/// The endpoint chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlaceChoice {
    /// The endpoint.
    pub key: EndpointKey,
    /// Tokens that it has to read before it can answer this request, its queue included.
    pub tokens_ahead: u64,
    /// Tokens of this prompt that it is taken to hold.
    pub held: u64,
    /// What it has to read of this prompt, in tokens of a short one: long ones take more than their length.
    pub unread: u64,
    /// Requests that it has already, as far as this process knows.
    pub running: u32,
}

impl PlaceChoice {
    /// Tokens that wait to be read at the endpoint before this request's own.
    pub fn queue(&self) -> u64 {
        self.tokens_ahead - self.unread
    }
}

/// How long the first part of the answer of an endpoint chosen usually takes.
pub fn expected_first(choice: &PlaceChoice, engine: bool, read_per_ms: f64) -> TimeSpan {
    let ms = if engine {
        FIRST_TOKEN_MS + choice.tokens_ahead as f64 / read_per_ms
    } else {
        PLAIN_WORK_MS
    };
    TimeSpan(ms as u64)
}

/// Chooses an endpoint; none if the service has none that takes work.
///
/// Endpoints that rest after a failure, doubted ones and those that are set aside are left out, unless that would leave nobody: a wrong
/// suspicion of all of them must not refuse every request.
pub fn choose_endpoint(
    board: &EndpointBoard,
    prefixes: &PrefixRecord,
    ask: &PlaceAsk<'_>,
) -> Option<PlaceChoice> {
    let open: Vec<(EndpointKey, &EndpointFact)> = board
        .of_service(ask.service)
        .iter()
        .filter_map(|key| board.get(*key).map(|fact| (*key, fact)))
        .filter(|(key, fact)| fact.takes_work() && !ask.tried.contains(key))
        .collect();
    let tries_again = ask.repeatable && mix_bits(ask.salt ^ TRIAL_SALT).is_multiple_of(TRIAL_PART);
    let is_sound = |fact: &EndpointFact| tries_again || !fact.is_aside(ask.now);
    let awake = open
        .iter()
        .filter(|(_, fact)| !fact.health.rests(ask.now) && !fact.doubted && is_sound(fact));
    let awake: Vec<_> = awake.copied().collect();
    let candidates = if awake.is_empty() { open } else { awake };
    let home = home_endpoint(&candidates, ask);
    let best = |few: Vec<(EndpointKey, &EndpointFact)>| {
        let weighed = few.into_iter().map(|(key, fact)| weigh(key, fact, home, prefixes, ask));
        weighed.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, choice)| choice)
    };
    if !ask.engine {
        return best(candidates);
    }
    let choice = best(looked_at(candidates.clone(), home, ask))?;
    if choice.queue() <= ask.queue_limit {
        return Some(choice);
    }
    let short = |(_, fact): &(EndpointKey, &EndpointFact)| fact.unread_tokens() <= ask.queue_limit;
    let short: Vec<_> = candidates.into_iter().filter(short).collect();
    best(looked_at(short, None, ask)).or(Some(choice))
}

/// The engines that one request looks at: its home, and one drawn by lot; two by lot if it has no
/// home. A prompt so long that streams beside it pause looks at [`LONG_LOOKS`].
///
/// What is known of the other processes' work is up to half a second old, longer than most prompts
/// take to be read. If every process looks at every engine, all go to the one that looked idle: in
/// 100 ms one engine of 60 got 300 to 780 ms of reading while half of them got none (64
/// processes in a wave of load). Two choices spread prompts by hash and by lot, and still avoid a busy engine. See
/// `placing::many_processes_with_old_news_do_not_run_to_one_engine` for what callers get.
/// Worth of what callers got, less prices, with all engines and with two: 0.609 and 0.633 at 83 processes,
/// 0.481 and 0.601 at 64 (calm load), 0.532 and 0.570, 0.506 and 0.518, 0.536 and 0.544 at 8 and 9.
fn looked_at<'a>(
    open: Vec<(EndpointKey, &'a EndpointFact)>,
    home: Option<EndpointKey>,
    ask: &PlaceAsk<'_>,
) -> Vec<(EndpointKey, &'a EndpointFact)> {
    const PAIR: usize = 2;
    /// Long prompts are some ten a second among 65 engines, so few of them meet by old news at the engine
    /// that looked idle; of eight engines one runs hardly any streams.
    const LONG_LOOKS: usize = 8;
    let own = ask.prompt_tokens.saturating_sub(shared_tokens(shared_parts(ask.parts)));
    let own = reading_work(own);
    let looks = if paused_part(own, ask) > 0.0 { LONG_LOOKS } else { PAIR };
    let draw = |fact: &EndpointFact| mix_bits(ask.salt ^ fact.entry.instance.stable_hash());
    let mut drawn = open;
    drawn.sort_by_cached_key(|(key, fact)| (Some(*key) != home, draw(fact)));
    drawn.truncate(looks);
    drawn
}

/// The endpoint at which all processes look for the shared parts of a prompt. Rendezvous hashing makes
/// them agree without a message.
fn home_endpoint(
    candidates: &[(EndpointKey, &EndpointFact)],
    ask: &PlaceAsk<'_>,
) -> Option<EndpointKey> {
    let last = shared_parts(ask.parts).last()?;
    let weight = |(_, fact): &&(EndpointKey, &EndpointFact)| {
        rendezvous_weight(last.id, fact.entry.instance.stable_hash())
    };
    candidates.iter().max_by_key(weight).map(|(key, _)| *key)
}

fn shared_parts(parts: &[PromptPart]) -> &[PromptPart] {
    parts.split_last().map_or(&[], |(_, shared)| shared)
}

fn shared_tokens(parts: &[PromptPart]) -> u64 {
    parts.iter().map(|part| part.tokens).sum()
}

fn weigh(
    key: EndpointKey,
    fact: &EndpointFact,
    home: Option<EndpointKey>,
    prefixes: &PrefixRecord,
    ask: &PlaceAsk<'_>,
) -> (f64, PlaceChoice) {
    let held = if home == Some(key) {
        shared_tokens(shared_parts(ask.parts))
    } else {
        prefixes.held(ask.parts, key, ask.now)
    };
    let held = held.min(ask.prompt_tokens);
    let unread = reading_work(ask.prompt_tokens - held);
    let tokens_ahead = fact.unread_tokens() + unread;
    let work = if ask.engine { engine_cost(fact, unread, ask) } else { plain_cost(fact) };
    let crossing = if fact.entry.domain == *ask.domain { 0.0 } else { CROSSING_MS };
    let failing = FAILURE_MS * fact.health.failure_share(ask.now);
    // Under a millisecond: only breaks ties, so that equal endpoints share what comes.
    let tie = mix_bits(ask.salt ^ fact.entry.instance.stable_hash()) as f64 / u64::MAX as f64;
    (
        work + crossing + failing + tie,
        PlaceChoice { key, tokens_ahead, held, unread, running: fact.requests() },
    )
}

fn engine_cost(fact: &EndpointFact, unread: u64, ask: &PlaceAsk<'_>) -> f64 {
    let queue = fact.unread_tokens() as f64 / ask.read_per_ms;
    let own = REREAD_WEIGHT * unread as f64 / ask.read_per_ms;
    let full = if fact.requests() >= fact.entry.slots { FULL_MS } else { 0.0 };
    let paused = PAUSED_MS * paused_part(fact.unread_tokens() + unread, ask);
    queue + own + full + (STREAM_COST_MS + paused) * f64::from(fact.requests())
}

/// The work of reading `tokens` of one prompt, in tokens of a short one.
fn reading_work(tokens: u64) -> u64 {
    let tokens = tokens as f64;
    (tokens * (1.0 + tokens / SQUARE_TOKENS)) as u64
}

/// The part of an engine's running streams that pause for too long while it reads `tokens`.
///
/// Tokens of running streams are made between the pieces of a prompt that is read. An engine that reads for
/// as long as a stream may pause makes all streams beside it late. A seventh of the long answers came late
/// for that alone, on a calm day without a failure.
fn paused_part(tokens: u64, ask: &PlaceAsk<'_>) -> f64 {
    let Some(pause) = ask.pause else { return 0.0 };
    let reading = tokens as f64 / ask.read_per_ms * READING_FACTOR;
    let filled = reading / (pause.0 as f64).max(1.0);
    ((filled - PAUSE_BEGIN) / (PAUSE_SURE - PAUSE_BEGIN)).clamp(0.0, 1.0)
}

fn plain_cost(fact: &EndpointFact) -> f64 {
    let slots = f64::from(fact.entry.slots.max(1));
    PLAIN_WORK_MS * f64::from(fact.requests()) / slots
}

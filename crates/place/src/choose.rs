//! The choice itself: the endpoint with the least expected cost.
//!
//! Costs are in [`cost`](crate::cost).

use crate::board::{EndpointBoard, EndpointFact, EndpointKey};
use crate::cost::{
    CROSSING_MS, FAILURE_MS, TURN_MS, engine_cost, paused_part, plain_cost, reading_work,
};
use crate::prefix::PrefixRecord;
use oleander_call::PromptPart;
use oleander_kind::hash::{mix_bits, rendezvous_weight};
use oleander_kind::{ClockTime, DomainName, RequestRate, ServiceName, TimeSpan};

/// One in so many requests that may be repeated may go to an endpoint that is set aside: only answers tell
/// that it is well again, and health checks are paid for and may lie. An engine set aside gets one every few seconds;
/// none that must not be repeated goes there.
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
    /// How much pauses of streams are weighed, in 0 to 1; see [`PauseRecord`](crate::PauseRecord).
    pub pause_weight: f64,
    /// Whether it goes to the version under the order of a roll-out.
    pub is_trial: bool,
    /// Whether it may run again elsewhere if its endpoint fails it.
    pub repeatable: bool,
    /// Breaks ties; differs between requests.
    pub salt: u64,
    /// The time.
    pub now: ClockTime,
    /// The time by the clock of leases.
    pub lease_now: ClockTime,
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
    /// The limit that it named for itself, and how long ago the request was sent that it answered so; none if it
    /// names none.
    pub limit: Option<(RequestRate, TimeSpan)>,
}

impl PlaceChoice {
    /// Tokens that wait to be read at the endpoint before this request's own.
    pub fn queue(&self) -> u64 {
        self.tokens_ahead - self.unread
    }
}

/// Chooses an endpoint; none if the service has none that takes work, or takes it from this process now.
///
/// What endpoints say of themselves binds, whatever else there is to choose from.
///
/// Endpoints that rest after a failure, doubted ones and those that are set aside are left out, unless that
/// would leave nobody: a wrong suspicion of all of them must not refuse every request.
pub fn choose_endpoint(
    board: &EndpointBoard,
    prefixes: &PrefixRecord,
    ask: &PlaceAsk<'_>,
) -> Option<PlaceChoice> {
    let open = asked_ones(board, ask).filter(|(_, fact)| fact.said.is_open(ask.lease_now));
    let open: Vec<(EndpointKey, &EndpointFact)> = open.collect();
    let tries_again = ask.repeatable && mix_bits(ask.salt ^ TRIAL_SALT).is_multiple_of(TRIAL_PART);
    let is_sound = |fact: &EndpointFact| tries_again || fact.bad_trait(ask.now).is_none();
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

/// In how long an endpoint opens that the request could go to, if their own words are all that forbids it now. None if one
/// is open.
pub fn opens_in(board: &EndpointBoard, ask: &PlaceAsk<'_>) -> Option<TimeSpan> {
    let waits = asked_ones(board, ask).map(|(_, fact)| fact.said.opens_in(ask.lease_now));
    waits.collect::<Option<Vec<TimeSpan>>>()?.into_iter().min()
}

/// The endpoints that a request may go to, as far as they let it.
fn asked_ones<'a>(
    board: &'a EndpointBoard,
    ask: &PlaceAsk<'_>,
) -> impl Iterator<Item = (EndpointKey, &'a EndpointFact)> {
    let facts = board.of_service(ask.service).iter();
    facts
        .filter_map(|key| board.get(*key).map(|fact| (*key, fact)))
        .filter(|(_, fact)| if ask.is_trial { fact.is_tried } else { fact.serves })
        .filter(|(key, fact)| fact.takes_work() && !ask.tried.contains(key))
}

/// The engines that one request looks at: its home, and one drawn by lot; two by lot if it has no
/// home. A prompt so long that streams beside it pause looks at [`LONG_LOOKS`].
///
/// What is known of the other processes' work is up to half a second old, longer than most prompts
/// take to be read. If every process looks at every engine, all go to the one that looked idle, which gets several
/// times what it can read while others get nothing. Two choices spread prompts by hash and by lot, and still avoid a
/// busy engine. In a large fleet each process draws from those engines that it is told of. See `placing::many_processes_with_old_news_do_not_run_to_one_engine` for what callers get.
fn looked_at<'a>(
    open: Vec<(EndpointKey, &'a EndpointFact)>,
    home: Option<EndpointKey>,
    ask: &PlaceAsk<'_>,
) -> Vec<(EndpointKey, &'a EndpointFact)> {
    const PAIR: usize = 2;
    /// Long prompts are few against the engines, so hardly any two meet by old news at the engine that looked idle; of
    /// eight engines one runs hardly any streams.
    const LONG_LOOKS: usize = 8;
    let own = ask.prompt_tokens.saturating_sub(shared_tokens(shared_parts(ask.parts)));
    let own = reading_work(own);
    let looks = if paused_part(own, ask) > 0.0 { LONG_LOOKS } else { PAIR };
    let draw = |fact: &EndpointFact| mix_bits(ask.salt ^ fact.entry.instance.stable_hash());
    let mut drawn = open;
    drawn.sort_by_cached_key(|(key, fact)| (Some(*key) != home, !fact.is_told, draw(fact)));
    // A limited engine that may be asked now is idle, and what it could take is lost if nobody looks at it.
    let limited =
        drawn.iter().skip(looks).find(|(_, fact)| fact.said.limit.rate.is_some()).copied();
    drawn.truncate(looks);
    drawn.extend(limited);
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
    let turn = if fact.said.limit.rate.is_some() { TURN_MS } else { 0.0 };
    let limit = fact.said.limit.rate.map(|rate| (rate, ask.now - fact.said.limit.asked_at));
    (
        work + crossing + failing + tie - turn,
        PlaceChoice { key, tokens_ahead, held, unread, running: fact.requests(), limit },
    )
}

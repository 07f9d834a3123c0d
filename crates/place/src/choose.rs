//! Selection of the endpoint with the least expected cost.
//!
//! Costs are defined in [`cost`](crate::cost).

use crate::board::{EndpointBoard, EndpointFact, EndpointKey};
use crate::cost::{
    CROSS_DOMAIN_MS, FAILURE_MS, LIMITED_GAIN_MS, dispatched_cost, engine_cost, paused_part,
    plain_cost, reading_work,
};
use crate::prefix::PrefixRecord;
use crate::share::{PlaceShare, is_sound};
use oleander_call::PromptPart;
use oleander_kind::hash::{mix_bits, rendezvous_weight};
use oleander_kind::{ClockTime, DomainName, RequestRate, ServiceName, TimeSpan};

/// One in this many repeatable requests may go to an endpoint that is set aside: only answers show
/// that it has recovered, since health checks cost money and may be wrong. At this rate an engine
/// that is set aside gets a request every few seconds. Requests that must not be repeated never go
/// there.
const TRIAL_ONE_IN: u64 = 16;
const TRIAL_SALT: u64 = 0x7472_6961_6c00_0000;

/// A request that needs an endpoint.
#[derive(Clone, Debug)]
pub struct PlacementRequest<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// Whether its endpoints are model engines.
    pub engine: bool,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// The parts of the prompt.
    pub parts: &'a [PromptPart],
    /// Endpoints that must not be tried again.
    pub tried: &'a [EndpointKey],
    /// The failure domain of this process.
    pub domain: &'a DomainName,
    /// Tokens that may wait at an engine before it is passed over for others with shorter queues.
    pub queue_limit: u64,
    /// Prompt tokens that an engine reads in a millisecond.
    pub read_per_ms: f64,
    /// The longest pause of an on-time stream; `None` if the request is not a stream.
    pub pause: Option<TimeSpan>,
    /// The weight of stream pauses, in 0 to 1; see [`PauseRecord`](crate::PauseRecord).
    pub pause_weight: f64,
    /// Whether it goes to the version that is being rolled out.
    pub is_trial: bool,
    /// The only software version that may serve it; `None` if any may.
    pub version: Option<&'a str>,
    /// Whether it may run again elsewhere if its endpoint fails.
    pub repeatable: bool,
    /// The places of this process, if it dispatches the request; `None` if it sends it as any process does.
    pub places: Option<PlaceShare<'a>>,
    /// Breaks ties; different for each request.
    pub salt: u64,
    /// The current time.
    pub now: ClockTime,
    /// The current time by the lease clock.
    pub lease_now: ClockTime,
}

/// The chosen endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PlacementChoice {
    /// Its key.
    pub key: EndpointKey,
    /// Tokens that it must read before it can answer this request, including its queue.
    pub tokens_ahead: u64,
    /// Tokens of this prompt that it is assumed to have cached.
    pub held: u64,
    /// The work of reading the part of this prompt that is not cached, in tokens of a short prompt:
    /// a long one takes more than its length.
    pub unread: u64,
    /// Requests that it already has, as far as this process knows.
    pub running: u32,
    /// The rate limit that it declared, and the age of the request whose answer declared it; `None`
    /// if it declared none.
    pub limit: Option<(RequestRate, TimeSpan)>,
}

impl PlacementChoice {
    /// Tokens that wait at the endpoint ahead of this request's own.
    pub fn queue(&self) -> u64 {
        self.tokens_ahead - self.unread
    }
}

/// Chooses an endpoint; returns `None` if the service has none that takes work, or none that
/// accepts a request from this process now.
///
/// Rate limits, backoffs and the room of brittle endpoints always hold, whatever else there
/// is to choose from.
///
/// Endpoints that are backing off after a failure, doubted ones and those that are set aside are
/// left out, unless that would leave none: a wrong suspicion of all of them must not refuse every
/// request.
pub fn choose_endpoint(
    board: &EndpointBoard,
    prefixes: &PrefixRecord,
    request: &PlacementRequest<'_>,
) -> Option<PlacementChoice> {
    let available = eligible_endpoints(board, request)
        .filter(|(_, fact)| fact.declared.is_available(request.lease_now))
        .filter(|(_, fact)| fact.room_wait(request.now) == TimeSpan(0));
    let available: Vec<(EndpointKey, &EndpointFact)> = available.collect();
    let may_use_aside =
        request.repeatable && mix_bits(request.salt ^ TRIAL_SALT).is_multiple_of(TRIAL_ONE_IN);
    let is_usable = |fact: &EndpointFact| may_use_aside || fact.bad_trait(request.now).is_none();
    let healthy =
        available.iter().filter(|(_, fact)| fact.is_reachable(request.now) && is_usable(fact));
    let healthy: Vec<_> = healthy.copied().collect();
    let mut candidates = if healthy.is_empty() { available } else { healthy };
    if let Some(share) = &request.places {
        if candidates.iter().any(|(_, fact)| is_sound(fact, request.now)) {
            candidates.retain(|(_, fact)| is_sound(fact, request.now));
        }
        candidates.retain(|(_, fact)| share.has_place(fact));
    }
    let home = home_endpoint(&candidates, request);
    let best = |few: Vec<(EndpointKey, &EndpointFact)>| {
        let scored = few.into_iter().map(|(key, fact)| score(key, fact, home, prefixes, request));
        scored.min_by(|a, b| a.0.total_cmp(&b.0)).map(|(_, choice)| choice)
    };
    if !request.engine {
        return best(candidates);
    }
    let choice = best(sample_engines(candidates.clone(), home, request))?;
    if choice.queue() <= request.queue_limit {
        return Some(choice);
    }
    let short =
        |(_, fact): &(EndpointKey, &EndpointFact)| fact.unread_tokens() <= request.queue_limit;
    let short: Vec<_> = candidates.into_iter().filter(short).collect();
    best(sample_engines(short, None, request)).or(Some(choice))
}

/// The time until an endpoint becomes available for the request, if only the endpoints' own signals
/// exclude them now. `None` if one is available.
pub fn available_in(board: &EndpointBoard, request: &PlacementRequest<'_>) -> Option<TimeSpan> {
    let waits = eligible_endpoints(board, request).map(|(_, fact)| {
        let room_wait = fact.room_wait(request.now);
        let room_wait = (room_wait > TimeSpan(0)).then_some(room_wait);
        fact.declared.available_in(request.lease_now).max(room_wait)
    });
    waits.collect::<Option<Vec<TimeSpan>>>()?.into_iter().min()
}

/// Whether a brittle endpoint has room for the request by the last reports, at whatever process.
pub fn has_free_room(board: &EndpointBoard, request: &PlacementRequest<'_>) -> bool {
    let free = |fact: &EndpointFact| {
        let pause_left = fact.declared.room.pause_left(request.now);
        pause_left == TimeSpan(0) && fact.room_use(request.now).is_some_and(|room| room.is_free())
    };
    eligible_endpoints(board, request).any(|(_, fact)| free(fact))
}

/// The endpoints that may serve the request, whether or not their own signals allow it now.
fn eligible_endpoints<'a>(
    board: &'a EndpointBoard,
    request: &PlacementRequest<'_>,
) -> impl Iterator<Item = (EndpointKey, &'a EndpointFact)> {
    let facts = board.of_service(request.service).iter();
    facts
        .filter_map(|key| board.get(*key).map(|fact| (*key, fact)))
        .filter(|(_, fact)| if request.is_trial { fact.is_tried } else { fact.serves })
        .filter(|(_, fact)| request.version.is_none_or(|version| fact.entry.release == version))
        .filter(|(key, fact)| fact.takes_work() && !request.tried.contains(key))
}

/// The engines that one request compares: its home and one drawn at random, or two drawn at random
/// if it has no home. A prompt so long that streams beside it pause compares [`LONG_PROMPT_SAMPLE`]
/// engines.
///
/// What is known of the other processes' work is up to half a second old, longer than most prompts
/// take to be read. If every process compared all engines, all would choose the one that looked
/// idle, which would receive several times what it can read while others receive nothing. Two
/// choices spread prompts by hash and at random, and still avoid a busy engine. In a large fleet
/// each process draws from the engines whose load it receives reports on.
/// `placing::many_processes_with_stale_loads_do_not_overload_one_engine` measures the effect.
fn sample_engines<'a>(
    candidates: Vec<(EndpointKey, &'a EndpointFact)>,
    home: Option<EndpointKey>,
    request: &PlacementRequest<'_>,
) -> Vec<(EndpointKey, &'a EndpointFact)> {
    const SAMPLE: usize = 2;
    /// Large enough that one of the engines runs hardly any streams. Long prompts are few relative
    /// to the engines, so two rarely meet at an engine that looked idle by stale reports.
    const LONG_PROMPT_SAMPLE: usize = 8;
    let own = request.prompt_tokens.saturating_sub(shared_tokens(shared_parts(request.parts)));
    let own = reading_work(own);
    let sample_size = if paused_part(own, request) > 0.0 { LONG_PROMPT_SAMPLE } else { SAMPLE };
    let draw = |fact: &EndpointFact| mix_bits(request.salt ^ fact.entry.instance.stable_hash());
    let mut drawn = candidates;
    drawn
        .sort_by_cached_key(|(key, fact)| (Some(*key) != home, !fact.has_load_reports, draw(fact)));
    // A limited engine that accepts a request now is idle, and its capacity is lost if no request
    // considers it.
    let limited = drawn
        .iter()
        .skip(sample_size)
        .find(|(_, fact)| fact.declared.limit.rate.is_some())
        .copied();
    drawn.truncate(sample_size);
    drawn.extend(limited);
    drawn
}

/// The endpoint where all processes expect the shared parts of a prompt to be cached. Rendezvous
/// hashing makes them agree without communication.
fn home_endpoint(
    candidates: &[(EndpointKey, &EndpointFact)],
    request: &PlacementRequest<'_>,
) -> Option<EndpointKey> {
    let last = shared_parts(request.parts).last()?;
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

fn score(
    key: EndpointKey,
    fact: &EndpointFact,
    home: Option<EndpointKey>,
    prefixes: &PrefixRecord,
    request: &PlacementRequest<'_>,
) -> (f64, PlacementChoice) {
    let held = if home == Some(key) {
        shared_tokens(shared_parts(request.parts))
    } else {
        prefixes.held(request.parts, key, request.now)
    };
    let held = held.min(request.prompt_tokens);
    let unread = reading_work(request.prompt_tokens - held);
    let tokens_ahead = fact.unread_tokens() + unread;
    let work = match &request.places {
        _ if request.engine => engine_cost(fact, unread, request),
        Some(share) => dispatched_cost(fact, share.permits(fact)),
        None => plain_cost(fact),
    };
    let crossing = if fact.entry.domain == *request.domain { 0.0 } else { CROSS_DOMAIN_MS };
    let failing = FAILURE_MS * fact.health.failure_share(request.now);
    // Less than a millisecond: only breaks ties, so that equal endpoints share the load.
    let tie = mix_bits(request.salt ^ fact.entry.instance.stable_hash()) as f64 / u64::MAX as f64;
    let gain = if fact.declared.limit.rate.is_some() { LIMITED_GAIN_MS } else { 0.0 };
    let limit =
        fact.declared.limit.rate.map(|rate| (rate, request.now - fact.declared.limit.asked_at));
    (
        work + crossing + failing + tie - gain,
        PlacementChoice { key, tokens_ahead, held, unread, running: fact.requests(), limit },
    )
}

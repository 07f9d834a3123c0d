//! Endpoint selection for one request.

use crate::prefix::PrefixIndex;
use oleander_board::{Blackboard, EndpointFact, EndpointKey, ReportedLoad};
use oleander_kind::chat::BLOCK_TOKENS;
use oleander_kind::hash::{mix_bits, rendezvous_weight};
use oleander_kind::{
    ClockTime, DomainName, EndpointRole, InstanceId, ServiceName, TimeSpan, VersionName,
};

/// The load balancing policy. Policies other than [`RoutePolicy::Cost`] are baselines for
/// comparison.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RoutePolicy {
    /// Lowest cost of queued work plus prompt tokens to compute.
    #[default]
    Cost,
    /// Each endpoint in turn.
    RoundRobin,
    /// Fewest requests in flight from this process.
    LeastOutstanding,
    /// The less loaded of two randomly sampled endpoints.
    TwoChoices,
}

/// Parameters of the routing cost model.
#[derive(Clone, Copy, Debug)]
pub struct RouteSettings {
    /// Engine time to prefill one prompt token, in microseconds.
    pub prefill_token_us: u64,
    /// Weight of prompt tokens that would be recomputed, in percent of their prefill time. It is
    /// above 100 because the engine's other requests wait for the prefill too, and because another
    /// copy of a prefix evicts others from the cache.
    pub recompute_percent: u64,
    /// Percentage of an unindexed prompt that is assumed to be cached at its first home endpoint,
    /// because every process sends the prompt there.
    pub home_trust_percent: u64,
    /// Delay that each stream already at the endpoint adds to a request, in microseconds.
    pub stream_us: u64,
    /// Cost of using an endpoint in another failure domain, in microseconds.
    pub cross_domain_us: u64,
    /// Period after an endpoint is first seen in which its load counts double.
    pub slow_start: TimeSpan,
    /// Number of randomly sampled candidates in addition to those selected by prefix.
    pub random_candidates: usize,
    /// Number of home endpoints of a prefix, which rendezvous hashing selects alike in every process.
    pub home_candidates: usize,
}

impl Default for RouteSettings {
    fn default() -> Self {
        RouteSettings {
            prefill_token_us: 20,
            recompute_percent: 200,
            home_trust_percent: 90,
            stream_us: 4000,
            cross_domain_us: 1500,
            slow_start: TimeSpan(5000),
            random_candidates: 2,
            home_candidates: 2,
        }
    }
}

/// A request for which an endpoint is selected.
#[derive(Clone, Debug)]
pub struct RouteRequest<'a> {
    /// The requested service.
    pub service: &'a ServiceName,
    /// The required model version, or `None` for any version of the service.
    pub version: Option<&'a VersionName>,
    /// Block hashes of the prompt; empty for plain services.
    pub blocks: &'a [u64],
    /// Number of prompt tokens.
    pub prompt_tokens: u64,
    /// Endpoints that were already tried and did not accept the request.
    pub tried: &'a [InstanceId],
}

/// Selects endpoints for the requests of one process.
pub struct EndpointSelector {
    settings: RouteSettings,
    policy: RoutePolicy,
    domain: DomainName,
    prefixes: PrefixIndex,
    next_index: usize,
}

/// Maximum number of prefix blocks that one process indexes: 200,000 blocks of 16 tokens.
const MAX_INDEXED_BLOCKS: usize = 200_000;
/// Index of the block whose hash determines the home endpoints of a prompt. The fourth block lies
/// past a shared opening line; a shorter prompt uses its last block.
const HOME_BLOCK_INDEX: usize = 3;

impl EndpointSelector {
    /// Creates a selector for a process in `domain`.
    pub fn new(domain: DomainName, policy: RoutePolicy, settings: RouteSettings) -> Self {
        let prefixes = PrefixIndex::new(MAX_INDEXED_BLOCKS);
        EndpointSelector { settings, policy, domain, prefixes, next_index: 0 }
    }

    /// Returns the prefix index.
    pub fn prefixes(&mut self) -> &mut PrefixIndex {
        &mut self.prefixes
    }

    /// Returns the number of indexed prefix blocks.
    pub fn indexed_blocks(&self) -> usize {
        self.prefixes.len()
    }

    /// Selects an endpoint, or returns `None` if no endpoint accepts work. `random` seeds the sampling
    /// of candidates and so breaks ties.
    pub fn choose(
        &mut self,
        board: &Blackboard,
        request: &RouteRequest<'_>,
        now: ClockTime,
        random: u64,
    ) -> Option<EndpointKey> {
        let usable: Vec<EndpointKey> = board
            .endpoints_of(request.service)
            .iter()
            .copied()
            .filter(|key| is_usable(board, *key, request, now))
            .collect();
        match self.policy {
            RoutePolicy::RoundRobin => self.next_round_robin(&usable),
            RoutePolicy::LeastOutstanding => {
                let load = |key: &EndpointKey| board.endpoints.get(*key).map_or(0, |f| f.in_flight);
                usable.iter().copied().min_by_key(load)
            }
            RoutePolicy::TwoChoices => {
                let load =
                    |key: &EndpointKey| board.endpoints.get(*key).map_or(0, estimated_streams);
                sample(&usable, 2, random).into_iter().min_by_key(load)
            }
            RoutePolicy::Cost => self.cheapest(board, &usable, request, (now, random)),
        }
    }

    fn next_round_robin(&mut self, usable: &[EndpointKey]) -> Option<EndpointKey> {
        self.next_index = self.next_index.wrapping_add(1);
        if usable.is_empty() { None } else { Some(usable[self.next_index % usable.len()]) }
    }

    fn cheapest(
        &self,
        board: &Blackboard,
        usable: &[EndpointKey],
        request: &RouteRequest<'_>,
        (now, random): (ClockTime, u64),
    ) -> Option<EndpointKey> {
        let home = request
            .blocks
            .get(HOME_BLOCK_INDEX)
            .or(request.blocks.last())
            .and_then(|block| self.homes(board, usable, *block).first().copied());
        let candidates = self.candidates(board, usable, request, random);
        candidates.into_iter().min_by_key(|key| {
            let fact = board.endpoints.get(*key);
            fact.map_or(u64::MAX, |fact| self.cost((*key, home), fact, request, now))
        })
    }

    /// Returns a small set of endpoints to compare. If all endpoints were compared, every process
    /// would select the same least loaded one from the same stale report, a thundering herd that
    /// moves from endpoint to endpoint. The time would also grow with the number of endpoints.
    fn candidates(
        &self,
        board: &Blackboard,
        usable: &[EndpointKey],
        request: &RouteRequest<'_>,
        random: u64,
    ) -> Vec<EndpointKey> {
        let candidate_count = self.settings.random_candidates + self.settings.home_candidates;
        if usable.len() <= candidate_count {
            return usable.to_vec();
        }
        let mut candidates = sample(usable, self.settings.random_candidates, random);
        if let Some(block) = request.blocks.get(HOME_BLOCK_INDEX).or(request.blocks.last()) {
            candidates.extend(self.homes(board, usable, *block));
        }
        if let Some(block) = request.blocks.last() {
            candidates.extend(self.prefixes.holders(*block).filter(|key| usable.contains(key)));
        }
        candidates
    }

    /// Returns the home endpoints of a prefix by rendezvous hashing, which gives the same result in
    /// every process without communication.
    fn homes(&self, board: &Blackboard, usable: &[EndpointKey], block: u64) -> Vec<EndpointKey> {
        let weight = |key: &EndpointKey| {
            let fact = board.endpoints.get(*key);
            fact.map_or(0, |f| rendezvous_weight(block, f.record.instance.stable_hash()))
        };
        let mut best: Vec<(u64, EndpointKey)> = Vec::new();
        for key in usable {
            best.push((weight(key), *key));
            best.sort_by_key(|(weight, _)| std::cmp::Reverse(*weight));
            best.truncate(self.settings.home_candidates);
        }
        best.into_iter().map(|(_, key)| key).collect()
    }

    fn cost(
        &self,
        (key, home): (EndpointKey, Option<EndpointKey>),
        fact: &EndpointFact,
        request: &RouteRequest<'_>,
        now: ClockTime,
    ) -> u64 {
        let mut waiting = u64::from(estimated_streams(fact)) * self.settings.stream_us;
        waiting += estimated_prefill(fact) * self.settings.prefill_token_us;
        if now - fact.seen_at < self.settings.slow_start {
            waiting *= 2;
        }
        let cached = self.prefixes.cached_blocks(request.blocks, key, fact.cache_epoch) as u64;
        let mut missing = request.prompt_tokens.saturating_sub(cached * BLOCK_TOKENS);
        if home == Some(key) {
            missing = missing * (100 - self.settings.home_trust_percent.min(100)) / 100;
        }
        let recompute = missing * self.settings.prefill_token_us;
        let mut cost = waiting + recompute * self.settings.recompute_percent / 100;
        if fact.record.domain != self.domain {
            cost += self.settings.cross_domain_us;
        }
        cost
    }

    /// Notes that a request was sent, so that the next selection accounts for it before the next
    /// load report arrives. Returns the number of prompt tokens that the endpoint must prefill.
    pub fn note_sent(
        &mut self,
        board: &mut Blackboard,
        key: EndpointKey,
        request: &RouteRequest<'_>,
    ) -> u64 {
        let Some(fact) = board.endpoints.get_mut(key) else {
            return 0;
        };
        fact.in_flight += 1;
        fact.sent_since_report += 1;
        let mut prefill = 0;
        if fact.record.role == EndpointRole::Engine {
            let cached = self.prefixes.cached_blocks(request.blocks, key, fact.cache_epoch) as u64;
            prefill = request.prompt_tokens.saturating_sub(cached * BLOCK_TOKENS);
            fact.prefill_sent += prefill;
        }
        let epoch = fact.cache_epoch;
        for block in request.blocks {
            self.prefixes.note(*block, key, epoch);
        }
        prefill
    }

    /// Notes that these blocks were copied to `endpoint` from another endpoint.
    pub fn note_prefix_copy(&mut self, board: &Blackboard, blocks: &[u64], endpoint: EndpointKey) {
        let Some(fact) = board.endpoints.get(endpoint) else {
            return;
        };
        for block in blocks {
            self.prefixes.note(*block, endpoint, fact.cache_epoch);
        }
    }

    /// Applies cache events of an endpoint, given in order as `(number, block, added)`. A gap in the
    /// numbers starts a new cache epoch.
    pub fn apply_cache_events(
        &mut self,
        board: &mut Blackboard,
        key: EndpointKey,
        events: &[(u64, u64, bool)],
    ) {
        let Some(fact) = board.endpoints.get_mut(key) else {
            return;
        };
        for (number, block, added) in events {
            if *number > fact.cache_seq + 1 && fact.cache_seq > 0 {
                fact.cache_epoch += 1;
            }
            fact.cache_seq = fact.cache_seq.max(*number);
            if *added {
                self.prefixes.note(*block, key, fact.cache_epoch);
            } else {
                self.prefixes.remove_holder(*block, key);
            }
        }
    }
}

/// Notes that the first token of a request arrived, so that its `prefill` prompt tokens are no
/// longer pending.
pub fn note_first_token(board: &mut Blackboard, key: EndpointKey, prefill: u64) {
    if let Some(fact) = board.endpoints.get_mut(key) {
        fact.prefill_sent = fact.prefill_sent.saturating_sub(prefill);
    }
}

/// Notes that a request sent to `key` ended.
pub fn note_ended(board: &mut Blackboard, key: EndpointKey) {
    if let Some(fact) = board.endpoints.get_mut(key) {
        fact.in_flight = fact.in_flight.saturating_sub(1);
        if fact.in_flight == 0 {
            fact.prefill_sent = 0;
        }
    }
}

/// Notes a load report that arrived at `now`.
pub fn note_load(board: &mut Blackboard, key: EndpointKey, load: ReportedLoad, now: ClockTime) {
    if let Some(fact) = board.endpoints.get_mut(key) {
        fact.load = Some((now, load));
        fact.sent_since_report = 0;
    }
}

fn is_usable(
    board: &Blackboard,
    key: EndpointKey,
    request: &RouteRequest<'_>,
    now: ClockTime,
) -> bool {
    let Some(fact) = board.endpoints.get(key) else {
        return false;
    };
    let fits = request.version.is_none_or(|version| fact.record.version == *version);
    fits && fact.takes_work(now) && !request.tried.contains(&fact.record.instance)
}

/// Estimates the number of streams at an endpoint: its last report plus the requests sent by this
/// process since, or the requests in flight from this process if that is more.
fn estimated_streams(fact: &EndpointFact) -> u32 {
    let reported = fact.load.map_or(0, |(_, load)| load.running + load.waiting);
    (reported + fact.sent_since_report).max(fact.in_flight)
}

fn estimated_prefill(fact: &EndpointFact) -> u64 {
    let reported = fact.load.map_or(0, |(_, load)| load.prefill);
    reported.max(fact.prefill_sent)
}

fn sample(usable: &[EndpointKey], count: usize, random: u64) -> Vec<EndpointKey> {
    if usable.is_empty() {
        return Vec::new();
    }
    let pick = |at: usize| usable[(mix_bits(random ^ at as u64) % usable.len() as u64) as usize];
    (0..count).map(pick).collect()
}

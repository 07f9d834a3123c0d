//! The choice.

use crate::prefix::PrefixRecord;
use oleander_board::{Blackboard, EndpointFact, EndpointKey, ReportedLoad};
use oleander_kind::chat::BLOCK_TOKENS;
use oleander_kind::hash::{mix_bits, rendezvous_weight};
use oleander_kind::{
    ClockTime, DomainName, EndpointRole, InstanceId, ServiceName, TimeSpan, VersionName,
};

/// How endpoints are compared. The others than [`RoutePolicy::Cost`] are baselines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum RoutePolicy {
    /// Waiting work plus prompt tokens to compute.
    #[default]
    Cost,
    /// One after the other.
    RoundRobin,
    /// Fewest own requests in flight.
    LeastOutstanding,
    /// The less loaded of two at random.
    TwoChoices,
}

/// What the costs are made of.
#[derive(Clone, Copy, Debug)]
pub struct RouteSettings {
    /// Engine time of one prompt token, in microseconds.
    pub prefill_token_us: u64,
    /// Weight of prompt tokens that would be computed again, in percent of their own time. Above
    /// 100, because the engine's other requests wait for them too, and because a further copy of a
    /// prefix pushes others out of the cache.
    pub recompute_percent: u64,
    /// Part of a prompt that is taken for cached at its first home though nothing is known, in
    /// percent: every process sends the prompt there.
    pub home_trust_percent: u64,
    /// Delay a request suffers from each stream before it, in microseconds.
    pub stream_us: u64,
    /// Cost of leaving the failure domain, in microseconds.
    pub cross_domain_us: u64,
    /// An endpoint's load counts double while it is new for this long.
    pub slow_start: TimeSpan,
    /// Endpoints compared at random besides those the prefix points at.
    pub random_candidates: usize,
    /// Endpoints that the prefix points at in every process alike.
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

/// What is to be placed.
#[derive(Clone, Debug)]
pub struct RouteAsk<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The version it must run on; none for any that the service has.
    pub version: Option<&'a VersionName>,
    /// The prompt's block hashes; empty for plain calls.
    pub blocks: &'a [u64],
    /// Prompt tokens.
    pub prompt_tokens: u64,
    /// Endpoints that were tried already and did not take it.
    pub tried: &'a [InstanceId],
}

/// Chooses endpoints for one process.
pub struct RouteController {
    settings: RouteSettings,
    policy: RoutePolicy,
    domain: DomainName,
    record: PrefixRecord,
    turn: usize,
}

/// Blocks remembered by one process: 200,000 blocks of 16 tokens.
const RECORD_BLOCKS: usize = 200_000;
/// The block whose hash names a prompt's home: the fourth, past a shared opening line, or the last
/// of a shorter prompt.
const HOME_BLOCK: usize = 3;

impl RouteController {
    /// A controller for a process in `domain`.
    pub fn new(domain: DomainName, policy: RoutePolicy, settings: RouteSettings) -> Self {
        let record = PrefixRecord::new(RECORD_BLOCKS);
        RouteController { settings, policy, domain, record, turn: 0 }
    }

    /// The prefix record.
    pub fn record(&mut self) -> &mut PrefixRecord {
        &mut self.record
    }

    /// Blocks remembered.
    pub fn remembered(&self) -> usize {
        self.record.len()
    }

    /// Chooses an endpoint, or none if no endpoint takes work. `random` decides ties and samples.
    pub fn choose(
        &mut self,
        board: &Blackboard,
        ask: &RouteAsk<'_>,
        now: ClockTime,
        random: u64,
    ) -> Option<EndpointKey> {
        let usable: Vec<EndpointKey> = board
            .endpoints_of(ask.service)
            .iter()
            .copied()
            .filter(|key| is_usable(board, *key, ask, now))
            .collect();
        match self.policy {
            RoutePolicy::RoundRobin => self.next_in_turn(&usable),
            RoutePolicy::LeastOutstanding => {
                let load = |key: &EndpointKey| board.endpoints.get(*key).map_or(0, |f| f.in_flight);
                usable.iter().copied().min_by_key(load)
            }
            RoutePolicy::TwoChoices => {
                let load = |key: &EndpointKey| board.endpoints.get(*key).map_or(0, known_streams);
                sample(&usable, 2, random).into_iter().min_by_key(load)
            }
            RoutePolicy::Cost => self.cheapest(board, &usable, ask, (now, random)),
        }
    }

    fn next_in_turn(&mut self, usable: &[EndpointKey]) -> Option<EndpointKey> {
        self.turn = self.turn.wrapping_add(1);
        if usable.is_empty() { None } else { Some(usable[self.turn % usable.len()]) }
    }

    fn cheapest(
        &self,
        board: &Blackboard,
        usable: &[EndpointKey],
        ask: &RouteAsk<'_>,
        (now, random): (ClockTime, u64),
    ) -> Option<EndpointKey> {
        let home = ask
            .blocks
            .get(HOME_BLOCK)
            .or(ask.blocks.last())
            .and_then(|block| self.homes(board, usable, *block).first().copied());
        let candidates = self.candidates(board, usable, ask, random);
        candidates.into_iter().min_by_key(|key| {
            let fact = board.endpoints.get(*key);
            fact.map_or(u64::MAX, |fact| self.cost((*key, home), fact, ask, now))
        })
    }

    /// A few endpoints worth comparing. Comparing all would make every process choose the same
    /// least loaded one from the same late report, and the crowd would move from one endpoint to
    /// the next; and it would cost time with the number of endpoints.
    fn candidates(
        &self,
        board: &Blackboard,
        usable: &[EndpointKey],
        ask: &RouteAsk<'_>,
        random: u64,
    ) -> Vec<EndpointKey> {
        let wanted = self.settings.random_candidates + self.settings.home_candidates;
        if usable.len() <= wanted {
            return usable.to_vec();
        }
        let mut candidates = sample(usable, self.settings.random_candidates, random);
        if let Some(block) = ask.blocks.get(HOME_BLOCK).or(ask.blocks.last()) {
            candidates.extend(self.homes(board, usable, *block));
        }
        if let Some(block) = ask.blocks.last() {
            candidates.extend(self.record.holders(*block).filter(|key| usable.contains(key)));
        }
        candidates
    }

    /// The endpoints every process points this prefix at, without a word between processes.
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
        ask: &RouteAsk<'_>,
        now: ClockTime,
    ) -> u64 {
        let mut waiting = u64::from(known_streams(fact)) * self.settings.stream_us;
        waiting += known_prefill(fact) * self.settings.prefill_token_us;
        if now - fact.seen_at < self.settings.slow_start {
            waiting *= 2;
        }
        let held = self.record.cached_blocks(ask.blocks, key, fact.cache_epoch) as u64;
        let mut missing = ask.prompt_tokens.saturating_sub(held * BLOCK_TOKENS);
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

    /// Notes that a request was sent, so that the next choice sees it before any report does.
    /// Returns the prompt tokens it makes the endpoint compute.
    pub fn note_sent(
        &mut self,
        board: &mut Blackboard,
        key: EndpointKey,
        ask: &RouteAsk<'_>,
    ) -> u64 {
        let Some(fact) = board.endpoints.get_mut(key) else {
            return 0;
        };
        fact.in_flight += 1;
        fact.sent_since_report += 1;
        let mut prefill = 0;
        if fact.record.role == EndpointRole::Engine {
            let held = self.record.cached_blocks(ask.blocks, key, fact.cache_epoch) as u64;
            prefill = ask.prompt_tokens.saturating_sub(held * BLOCK_TOKENS);
            fact.prefill_sent += prefill;
        }
        let epoch = fact.cache_epoch;
        for block in ask.blocks {
            self.record.note(*block, key, epoch);
        }
        prefill
    }

    /// Notes that `endpoint` was given these blocks by another endpoint.
    pub fn prefer(&mut self, board: &Blackboard, blocks: &[u64], endpoint: EndpointKey) {
        let Some(fact) = board.endpoints.get(endpoint) else {
            return;
        };
        for block in blocks {
            self.record.note(*block, endpoint, fact.cache_epoch);
        }
    }

    /// Takes cache events of an endpoint: `(number, block, added)`, in order.
    pub fn take_events(
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
                self.record.note(*block, key, fact.cache_epoch);
            } else {
                self.record.drop_block(*block, key);
            }
        }
    }
}

/// Notes that the first token came, so that `prefill` prompt tokens no longer wait.
pub fn note_first_token(board: &mut Blackboard, key: EndpointKey, prefill: u64) {
    if let Some(fact) = board.endpoints.get_mut(key) {
        fact.prefill_sent = fact.prefill_sent.saturating_sub(prefill);
    }
}

/// Notes that a request sent to `key` is over.
pub fn note_ended(board: &mut Blackboard, key: EndpointKey) {
    if let Some(fact) = board.endpoints.get_mut(key) {
        fact.in_flight = fact.in_flight.saturating_sub(1);
        if fact.in_flight == 0 {
            fact.prefill_sent = 0;
        }
    }
}

/// Notes a load report that came at `now`.
pub fn note_load(board: &mut Blackboard, key: EndpointKey, load: ReportedLoad, now: ClockTime) {
    if let Some(fact) = board.endpoints.get_mut(key) {
        fact.load = Some((now, load));
        fact.sent_since_report = 0;
    }
}

fn is_usable(board: &Blackboard, key: EndpointKey, ask: &RouteAsk<'_>, now: ClockTime) -> bool {
    let Some(fact) = board.endpoints.get(key) else {
        return false;
    };
    let fits = ask.version.is_none_or(|version| fact.record.version == *version);
    fits && fact.takes_work(now) && !ask.tried.contains(&fact.record.instance)
}

/// Streams at an endpoint: its own late report plus what was sent from here since, or what is in
/// flight from here if that is more.
fn known_streams(fact: &EndpointFact) -> u32 {
    let reported = fact.load.map_or(0, |(_, load)| load.running + load.waiting);
    (reported + fact.sent_since_report).max(fact.in_flight)
}

fn known_prefill(fact: &EndpointFact) -> u64 {
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

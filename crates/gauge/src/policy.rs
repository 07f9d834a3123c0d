//! Routing policies against one another, in virtual time.
//!
//! The routing code that runs in production and the engines' model are driven with events: seeded
//! arrivals, steps and load reports that lag.
//! Every policy sees the same arrivals.

use oleander_board::{Blackboard, EndpointKey, ReportedLoad};
use oleander_kind::hash::mix_bits;
use oleander_kind::{
    ChatHead, ClockTime, DomainName, EndpointRecord, EndpointStage, InstanceId, ServiceName,
};
use oleander_load::report::TimeSummary;
use oleander_route::{
    EndpointSelector, RoutePolicy, RouteRequest, RouteSettings, note_ended, note_first_token,
    note_load,
};
use oleander_standin::engine::{EngineModel, EngineShape, StreamAsk};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// A user's shape.
#[derive(Clone, Copy, Debug)]
pub struct PolicyShape {
    /// Its name.
    pub name: &'static str,
    /// Entries.
    pub entries: usize,
    /// Engines.
    pub engines: usize,
    /// Requests a second.
    pub per_s: f64,
    /// Different long prompts.
    pub books: u64,
}

/// Both users' shapes.
pub const SHAPES: &[PolicyShape] = &[
    PolicyShape { name: "Retseptivabrik", entries: 9, engines: 9, per_s: 9.0, books: 60 },
    PolicyShape { name: "Tierra Alta", entries: 9, engines: 18, per_s: 18.0, books: 120 },
];

const DOMAINS: usize = 3;
const RUN_S: u64 = 120;
const BOOK_BLOCKS: u64 = 250;
const OWN_TOKENS: u64 = 40;
const ANSWER_TOKENS: u32 = 120;
const REPORT_US: u64 = 500_000;
/// Blocks an engine's cache holds: a third of the prompts of Retseptivabrik.
const CACHE_BLOCKS: usize = 5000;
const START_MS: u64 = 1_000_000;

/// What came of one run.
#[derive(Clone, Debug, Default)]
pub struct PolicyOutcome {
    /// Prompt tokens computed.
    pub prefilled: u64,
    /// Prompt tokens that one perfect cache would compute.
    pub perfect: u64,
    /// Time to the first token, in milliseconds.
    pub first_ms: TimeSummary,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum PolicyEvent {
    Arrive(usize),
    Step(usize),
    Report,
}

struct Request {
    at_us: u64,
    entry: usize,
    head: ChatHead,
    placed: Option<(usize, EndpointKey, u64)>,
    first_us: Option<u64>,
}

struct Entry {
    board: Blackboard,
    router: EndpointSelector,
}

struct PolicyRun {
    entries: Vec<Entry>,
    engines: Vec<EngineModel>,
    stepping: Vec<bool>,
    requests: Vec<Request>,
    open: BTreeMap<String, usize>,
    events: BinaryHeap<Reverse<(u64, PolicyEvent)>>,
    service: ServiceName,
    random: u64,
}

fn engine_name(at: usize) -> InstanceId {
    InstanceId::from(format!("i-{at:03}").as_str())
}

fn records(engines: usize) -> Vec<EndpointRecord> {
    let record = |at: usize| EndpointRecord {
        instance: engine_name(at),
        service: ServiceName::from("recipe-llm"),
        address: format!("{at}").into(),
        domain: DomainName::from(format!("d{}", at % DOMAINS).as_str()),
        stage: EndpointStage::Live,
        ..EndpointRecord::default()
    };
    (0..engines).map(record).collect()
}

fn engine_shape() -> EngineShape {
    EngineShape {
        step_us: 15_000,
        step_stream_us: 300,
        prefill_token_us: 60,
        prefill_chunk: 512,
        cache_blocks: CACHE_BLOCKS,
        ..EngineShape::default()
    }
}

fn plan_requests(shape: &PolicyShape, seed: u64) -> Vec<Request> {
    let mut random = StdRng::seed_from_u64(seed);
    let mut requests = Vec::new();
    let mut at = 0.0;
    loop {
        let uniform: f64 = random.gen_range(f64::EPSILON..1.0);
        at += -uniform.ln() / shape.per_s;
        if at >= RUN_S as f64 {
            return requests;
        }
        // A few prompts are asked for much more often than others.
        let skew: f64 = random.r#gen();
        let book = ((skew * skew) * shape.books as f64) as u64;
        let blocks = (0..BOOK_BLOCKS).map(|block| mix_bits(book << 20 | block)).collect();
        let prompt_tokens = BOOK_BLOCKS * 16 + OWN_TOKENS;
        requests.push(Request {
            at_us: (at * 1e6) as u64,
            entry: random.gen_range(0..shape.entries),
            head: ChatHead {
                blocks,
                prompt_bytes: prompt_tokens * 4,
                prompt_hash: random.r#gen(),
                max_tokens: Some(ANSWER_TOKENS),
                ..ChatHead::default()
            },
            placed: None,
            first_us: None,
        });
    }
}

/// Runs `policy` on `shape` with `seed`.
pub fn run_policy(
    shape: &PolicyShape,
    policy: RoutePolicy,
    settings: RouteSettings,
    seed: u64,
) -> PolicyOutcome {
    let entry = |at: usize| {
        let domain = DomainName::from(format!("d{}", at % DOMAINS).as_str());
        let mut board = Blackboard::new();
        board.apply_list(records(shape.engines), ClockTime(0));
        Entry { board, router: EndpointSelector::new(domain, policy, settings) }
    };
    let mut run = PolicyRun {
        entries: (0..shape.entries).map(entry).collect(),
        engines: (0..shape.engines)
            .map(|_| EngineModel::new(engine_shape(), "v1".into(), true))
            .collect(),
        stepping: vec![false; shape.engines],
        requests: plan_requests(shape, seed),
        open: BTreeMap::new(),
        events: BinaryHeap::new(),
        service: ServiceName::from("recipe-llm"),
        random: seed,
    };
    for (at, request) in run.requests.iter().enumerate() {
        run.events.push(Reverse((request.at_us, PolicyEvent::Arrive(at))));
    }
    run.events.push(Reverse((REPORT_US, PolicyEvent::Report)));
    while let Some(Reverse((now, event))) = run.events.pop() {
        if now > (RUN_S + 60) * 1_000_000 {
            break;
        }
        run.happen(now, event);
    }
    run.outcome(shape)
}

impl PolicyRun {
    fn clock(now_us: u64) -> ClockTime {
        ClockTime(START_MS + now_us / 1000)
    }

    fn happen(&mut self, now: u64, event: PolicyEvent) {
        match event {
            PolicyEvent::Arrive(at) => self.arrive(now, at),
            PolicyEvent::Step(engine) => self.step(now, engine),
            PolicyEvent::Report => self.report(now),
        }
    }

    fn arrive(&mut self, now: u64, at: usize) {
        self.random = mix_bits(self.random);
        let clock = Self::clock(now);
        let request = &self.requests[at];
        let entry = &mut self.entries[request.entry];
        let ask = RouteRequest {
            service: &self.service,
            version: None,
            blocks: &request.head.blocks,
            prompt_tokens: request.head.prompt_tokens(),
            tried: &[],
        };
        let Some(key) = entry.router.choose(&entry.board, &ask, clock, self.random) else { return };
        let prefill = entry.router.note_sent(&mut entry.board, key, &ask);
        let name = entry.board.endpoints.get(key).map(|fact| fact.record.address.to_string());
        let Some(engine) = name.and_then(|name| name.parse::<usize>().ok()) else { return };
        let id = format!("r{at}");
        let stream = StreamAsk {
            id: id.as_str().into(),
            head: request.head.clone(),
            version: "".into(),
            priority: 5,
            continue_from: 0,
            rerun: false,
        };
        if self.engines[engine].submit(stream, clock).is_ok() {
            self.requests[at].placed = Some((engine, key, prefill));
            self.open.insert(id, at);
        }
        if !self.stepping[engine] {
            self.stepping[engine] = true;
            self.events.push(Reverse((now, PolicyEvent::Step(engine))));
        }
    }

    fn step(&mut self, now: u64, engine: usize) {
        let Some(micros) = self.engines[engine].step(Self::clock(now)) else {
            self.stepping[engine] = false;
            return;
        };
        let then = now + micros;
        self.events.push(Reverse((then, PolicyEvent::Step(engine))));
        let mut done = Vec::new();
        for (id, at) in &self.open {
            let request = &mut self.requests[*at];
            let Some((placed, key, prefill)) = request.placed else { continue };
            if placed != engine {
                continue;
            }
            let Some(stream) = self.engines[engine].stream(id) else { continue };
            let entry = &mut self.entries[request.entry];
            if stream.made() > 0 && request.first_us.is_none() {
                request.first_us = Some(then);
                note_first_token(&mut entry.board, key, prefill);
            }
            if stream.is_done() {
                note_ended(&mut entry.board, key);
                done.push(id.clone());
            }
        }
        for id in done {
            self.open.remove(&id);
        }
    }

    fn report(&mut self, now: u64) {
        let clock = Self::clock(now);
        for (at, engine) in self.engines.iter().enumerate() {
            let load = engine.load();
            let report = ReportedLoad {
                running: load.running,
                waiting: load.waiting,
                prefill: load.prefill,
                step_us: load.step_us,
            };
            for entry in &mut self.entries {
                if let Some(key) = entry.board.endpoint_key(&engine_name(at)) {
                    note_load(&mut entry.board, key, report, clock);
                }
            }
        }
        if now < RUN_S * 1_000_000 {
            self.events.push(Reverse((now + REPORT_US, PolicyEvent::Report)));
        }
    }

    fn outcome(&self, shape: &PolicyShape) -> PolicyOutcome {
        let mut seen = std::collections::BTreeSet::new();
        let mut perfect = 0;
        for request in &self.requests {
            perfect += OWN_TOKENS;
            let fresh = request.head.blocks.first().is_some_and(|block| seen.insert(*block));
            perfect += if fresh { BOOK_BLOCKS * 16 } else { 0 };
        }
        let first = self
            .requests
            .iter()
            .filter_map(|request| Some((request.first_us?.saturating_sub(request.at_us)) / 1000));
        debug_assert_eq!(self.engines.len(), shape.engines);
        PolicyOutcome {
            prefilled: self.engines.iter().map(|engine| engine.counts().prefilled).sum(),
            perfect,
            first_ms: TimeSummary::of(first),
        }
    }
}

/// Every policy on both shapes, the median of `seeds` runs, as a table.
pub fn policy_text(seeds: u64) -> String {
    let mut text = String::from(
        "| shape | policy | prompt tokens computed / round robin | / one perfect cache | \
         first token p50 ms | p95 ms | p99 ms |\n|---|---|---|---|---|---|---|\n",
    );
    let policies = [
        RoutePolicy::RoundRobin,
        RoutePolicy::LeastOutstanding,
        RoutePolicy::TwoChoices,
        RoutePolicy::Cost,
    ];
    for shape in SHAPES {
        let mut baseline: Vec<u64> = Vec::new();
        for policy in policies {
            let runs: Vec<PolicyOutcome> = (1..=seeds)
                .map(|seed| run_policy(shape, policy, engine_settings(), seed))
                .collect();
            if policy == RoutePolicy::RoundRobin {
                baseline = runs.iter().map(|run| run.prefilled).collect();
            }
            let pairs = runs.iter().zip(&baseline);
            let ratio = spread(pairs.map(|(run, base)| run.prefilled as f64 / *base as f64));
            let perfect = spread(runs.iter().map(|run| run.prefilled as f64 / run.perfect as f64));
            let of = |pick: fn(&TimeSummary) -> u64| {
                spread(runs.iter().map(|run| pick(&run.first_ms) as f64)).0
            };
            text.push_str(&format!(
                "| {} | {policy:?} | {:.3} ({:.3} to {:.3}) | {:.2} ({:.2} to {:.2}) | {:.0} | {:.0} | {:.0} |\n",
                shape.name,
                ratio.0,
                ratio.1,
                ratio.2,
                perfect.0,
                perfect.1,
                perfect.2,
                of(|times| times.p50),
                of(|times| times.p95),
                of(|times| times.p99),
            ));
        }
    }
    text
}

/// Median, least and most.
fn spread(values: impl Iterator<Item = f64>) -> (f64, f64, f64) {
    let mut sorted: Vec<f64> = values.collect();
    sorted.sort_by(f64::total_cmp);
    let at = |index: usize| sorted.get(index).copied().unwrap_or(0.0);
    (at(sorted.len() / 2), at(0), at(sorted.len().saturating_sub(1)))
}

/// The router's settings for the engines of the runs.
fn engine_settings() -> RouteSettings {
    RouteSettings { prefill_token_us: 60, ..RouteSettings::default() }
}

/// A sweep of the router's knobs on both shapes, the median of `seeds` runs, as a table.
pub fn sweep_text(seeds: u64) -> String {
    let mut text = String::from(
        "| shape | recompute % | home trust % | homes | / one perfect cache | first token p50 ms | \
         p95 ms |\n|---|---|---|---|---|---|---|\n",
    );
    for shape in SHAPES {
        for recompute_percent in [100, 200, 400] {
            for home_trust_percent in [0, 50, 90] {
                for home_candidates in [1, 2] {
                    let settings = RouteSettings {
                        recompute_percent,
                        home_trust_percent,
                        home_candidates,
                        ..engine_settings()
                    };
                    let run = |seed| run_policy(shape, RoutePolicy::Cost, settings, seed);
                    let runs: Vec<PolicyOutcome> = (1..=seeds).map(run).collect();
                    let perfect =
                        spread(runs.iter().map(|run| run.prefilled as f64 / run.perfect as f64));
                    let of = |pick: fn(&TimeSummary) -> u64| {
                        spread(runs.iter().map(|run| pick(&run.first_ms) as f64)).0
                    };
                    text.push_str(&format!(
                        "| {} | {recompute_percent} | {home_trust_percent} | {home_candidates} | {:.2} | {:.0} | {:.0} |\n",
                        shape.name,
                        perfect.0,
                        of(|times| times.p50),
                        of(|times| times.p95),
                    ));
                }
            }
        }
    }
    text
}

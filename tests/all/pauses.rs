//! Streams beside long prompts, at many engines that read in chunks, in simulated time.

use crate::place::engines;
use oleandertack::kind::hash::mix_bits;
use oleandertack::kind::{ClockTime, DomainName, ServiceName, TimeSpan};
use oleandertack::place::{
    EndpointBoard, EndpointKey, PauseRecord, PlacementRequest, PrefixRecord, WorkLoad,
    choose_endpoint,
};
use std::collections::VecDeque;

const PROCESSES: usize = 195;
const ENGINES: usize = 48;
/// The period of reports on the others' work.
const REPORT_MS: u64 = 250;
/// Prompt tokens that an engine reads in a millisecond.
const READ_PER_MS: f64 = 125.0;
/// Tokens of one prompt that an engine reads in a step.
const PIECE: f64 = 4096.0;
/// The time of a step that reads nothing, and what each running stream adds to it.
const STEP_MS: f64 = 3.27;
const STEP_MS_PER_STREAM: f64 = 0.08;
/// Reading slows down with the length of a prompt: this for a million pairs of its tokens.
const MS_PER_MILLION_PAIRS: f64 = 0.263;
/// Tokens per event.
const EVENT_TOKENS: u32 = 7;
/// The longest pause of an on-time stream.
const PAUSE: TimeSpan = TimeSpan(400);
const START: u64 = 1_000_000;

/// A prompt that is queued or being read.
#[derive(Clone, Copy)]
struct WaitingPrompt {
    process: usize,
    tokens: f64,
    read: f64,
    events: u32,
}

/// A running stream.
struct RunningStream {
    process: usize,
    tokens_left: u32,
    event_at: f64,
    longest: f64,
    events: u32,
}

/// An engine that generates tokens between the chunks of prompts.
struct StepEngine {
    /// 1.0, or 1.3 for every third engine.
    slowness: f64,
    free_at: f64,
    prompts: VecDeque<WaitingPrompt>,
    streams: Vec<RunningStream>,
}

/// An event that an engine reports for a request.
enum EngineEvent {
    Read { process: usize, tokens: u64 },
    Done { process: usize, events: u32, longest: f64 },
}

impl StepEngine {
    fn new(at: usize) -> Self {
        let slowness = if at % 3 == 2 { 1.3 } else { 1.0 };
        StepEngine { slowness, free_at: 0.0, prompts: VecDeque::new(), streams: Vec::new() }
    }

    /// Runs the steps that begin before `now`.
    fn run_until(&mut self, now: f64) -> Vec<EngineEvent> {
        let mut news = Vec::new();
        while self.free_at < now {
            if self.prompts.is_empty() && self.streams.is_empty() {
                self.free_at = now;
                break;
            }
            self.step(&mut news);
        }
        news
    }

    fn step(&mut self, news: &mut Vec<EngineEvent>) {
        let mut took = STEP_MS + STEP_MS_PER_STREAM * self.streams.len() as f64;
        let mut read = None;
        if let Some(prompt) = self.prompts.front_mut() {
            let piece = PIECE.min(prompt.tokens - prompt.read);
            took += piece / READ_PER_MS + piece * prompt.read / 1e6 * MS_PER_MILLION_PAIRS;
            prompt.read += piece;
            read = (prompt.read >= prompt.tokens).then_some(*prompt);
        }
        self.free_at += took * self.slowness;
        let now = self.free_at;
        for stream in &mut self.streams {
            stream.tokens_left -= 1;
            if stream.tokens_left.is_multiple_of(EVENT_TOKENS) {
                stream.longest = stream.longest.max(now - stream.event_at);
                stream.event_at = now;
            }
        }
        let done = self.streams.extract_if(.., |stream| stream.tokens_left == 0);
        news.extend(done.map(|stream| EngineEvent::Done {
            process: stream.process,
            events: stream.events,
            longest: stream.longest,
        }));
        if let Some(prompt) = read {
            self.prompts.pop_front();
            let tokens_left = prompt.events * EVENT_TOKENS;
            let (process, events) = (prompt.process, prompt.events);
            let stream =
                RunningStream { process, tokens_left, event_at: now, longest: 0.0, events };
            self.streams.push(stream);
            news.push(EngineEvent::Read { process, tokens: prompt.tokens as u64 });
        }
    }
}

/// A process and its knowledge of the engines.
struct PlacingProcess {
    board: EndpointBoard,
    keys: Vec<EndpointKey>,
}

fn process() -> PlacingProcess {
    let (board, keys) = engines(ENGINES, 12);
    PlacingProcess { board, keys }
}

/// Processes, engines, and what the processes last reported to one another.
struct PauseSim {
    processes: Vec<PlacingProcess>,
    engines: Vec<StepEngine>,
    reported: Vec<Vec<WorkLoad>>,
    sums: Vec<WorkLoad>,
    random: u64,
}

impl PauseSim {
    fn new() -> Self {
        PauseSim {
            processes: (0..PROCESSES).map(|_| process()).collect(),
            engines: (0..ENGINES).map(StepEngine::new).collect(),
            reported: vec![vec![WorkLoad::default(); ENGINES]; PROCESSES],
            sums: vec![WorkLoad::default(); ENGINES],
            random: 7,
        }
    }

    fn draw(&mut self) -> f64 {
        self.random = mix_bits(self.random.wrapping_add(1));
        self.random as f64 / u64::MAX as f64
    }

    /// A log-normally distributed length with this mean, at most `most`.
    fn length(&mut self, mean: f64, spread: f64, most: f64) -> f64 {
        let normal = (0..12).map(|_| self.draw()).sum::<f64>() - 6.0;
        (mean * (spread * normal - spread * spread / 2.0).exp()).clamp(50.0, most)
    }

    /// A process reports its work and receives what the others reported.
    fn report(&mut self, at: usize) {
        let process = &mut self.processes[at];
        for (engine, key) in process.keys.iter().enumerate() {
            let fact = process.board.get_mut(*key).expect("known");
            let (reported, sum) = (&mut self.reported[at][engine], &mut self.sums[engine]);
            sum.requests = sum.requests + fact.own.requests - reported.requests;
            sum.unread_tokens = sum.unread_tokens + fact.own.unread_tokens - reported.unread_tokens;
            *reported = fact.own;
            fact.others = WorkLoad {
                requests: sum.requests - reported.requests,
                unread_tokens: sum.unread_tokens - reported.unread_tokens,
            };
        }
    }

    /// Places a prompt of `tokens` with an answer of `events`.
    fn place(&mut self, (tokens, events): (f64, u32), ms: u64) {
        let at = (self.draw() * PROCESSES as f64) as usize;
        let salt = self.draw().to_bits();
        let (service, domain) = (ServiceName::from("engine"), DomainName::from("kopli"));
        let request = PlacementRequest {
            service: &service,
            engine: true,
            prompt_tokens: tokens as u64,
            parts: &[],
            tried: &[],
            domain: &domain,
            queue_limit: u64::MAX,
            read_per_ms: READ_PER_MS,
            pause: Some(PAUSE),
            pause_weight: 1.0,
            is_trial: false,
            version: None,
            repeatable: false,
            places: None,
            salt,
            now: ClockTime(START + ms),
            lease_now: ClockTime(START + ms),
        };
        let process = &mut self.processes[at];
        let choice = choose_endpoint(&process.board, &PrefixRecord::default(), &request);
        let key = choice.expect("one of them").key;
        let fact = process.board.get_mut(key).expect("known");
        fact.own.requests += 1;
        fact.own.unread_tokens += tokens as u64;
        let engine = process.keys.iter().position(|known| *known == key).expect("known");
        let tokens = (tokens as u64) as f64;
        self.engines[engine].prompts.push_back(WaitingPrompt {
            process: at,
            tokens,
            read: 0.0,
            events,
        });
    }

    /// Runs the engines until `ms`; returns the longest pause of each long answer that ended.
    fn work(&mut self, ms: u64) -> Vec<f64> {
        let mut pauses = Vec::new();
        for at in 0..ENGINES {
            for news in self.engines[at].run_until(ms as f64) {
                let (EngineEvent::Read { process, .. } | EngineEvent::Done { process, .. }) = news;
                let process = &mut self.processes[process];
                let own = &mut process.board.get_mut(process.keys[at]).expect("known").own;
                match news {
                    EngineEvent::Read { tokens, .. } => own.unread_tokens -= tokens,
                    EngineEvent::Done { events, longest, .. } => {
                        own.requests -= 1;
                        pauses.extend((events > 12).then_some(longest));
                    }
                }
            }
        }
        pauses
    }
}

/// Simulates `seconds` of 95 long answers and 570 short ones a second; returns the part of the long
/// answers that paused for too long.
fn paused_part(seconds: u64) -> f64 {
    let mut play = PauseSim::new();
    let mut pauses = Vec::new();
    for ms in 0..seconds * 1000 {
        pauses.extend(play.work(ms));
        let due = (0..PROCESSES).filter(|at| (ms + *at as u64 * 37).is_multiple_of(REPORT_MS));
        due.for_each(|at| play.report(at));
        if play.draw() < 0.095 {
            let tokens = play.length(6610.0, 1.4, 54_600.0) + 600.0;
            let events = play.length(54.6, 0.44, 160.0) as u32;
            play.place((tokens, events.max(13)), ms);
        }
        if play.draw() < 0.57 {
            let tokens = play.length(1800.0, 1.3, 6870.0);
            play.place((tokens, 3), ms);
        }
    }
    pauses.iter().filter(|pause| **pause > PAUSE.0 as f64).count() as f64 / pauses.len() as f64
}

/// A stream pauses in the middle of an answer. Its engine received a prompt of 20,000 tokens or
/// more, and generates seven tokens of each running stream, one event, while it reads seven chunks
/// of it. No engine fails; the cause is where the long prompt is placed. When it compared the
/// queues of two engines only, 9.3 in 100 long answers paused for too long; now 6.1 do. Nine in ten
/// of them must be on time, and two in 100 are late by their first token, which leaves 8.
#[test]
fn long_prompts_go_to_engines_with_few_streams() {
    let paused = paused_part(20);

    assert!(paused < 0.08, "{paused}");
}

/// Long prompts are kept away from engines with their shared parts, which are read again elsewhere
/// without any gain: this service's engines read in chunks so small that no stream beside them
/// pauses. The observed pauses of its streams decide.
#[test]
fn pauses_are_weighted_only_where_streams_pause() {
    let weight = |late_each: u64| {
        let mut record = PauseRecord::default();
        for at in 1..=40 {
            record.note(at % late_each == 0, ClockTime(START + 500 * at));
        }
        record.weight()
    };

    assert_eq!(PauseRecord::default().weight(), 0.0);
    assert_eq!(weight(u64::MAX), 0.0);
    assert_eq!(weight(8), 1.0);
}

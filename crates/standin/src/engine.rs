//! A model engine as a pure model: continuous batching, a prefix cache in limited memory,
//! priorities, streams that can be resumed and cancelled, KV export and import.

use crate::answer::answer_seed;
use compact_str::CompactString;
use oleander_kind::chat::{BLOCK_TOKENS, ChatHead};
use oleander_kind::{ClockTime, VersionName};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap, VecDeque};

/// How fast and large an engine is.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineShape {
    /// Time of a step without any work, in microseconds.
    pub step_us: u64,
    /// More time a step for each stream in the batch, in microseconds.
    pub step_stream_us: u64,
    /// More time a step for each prompt token computed in it, in microseconds.
    pub prefill_token_us: u64,
    /// The most prompt tokens computed in one step.
    pub prefill_chunk: u64,
    /// The most streams in the batch.
    pub most_batch: usize,
    /// The most streams waiting; more are refused.
    pub most_waiting: usize,
    /// Prefix cache size, in blocks.
    pub cache_blocks: usize,
    /// How long a finished stream can still be fetched, in milliseconds.
    pub keep_ms: u64,
    /// A waiting stream rises one priority after this long, in milliseconds.
    pub aging_ms: u64,
}

impl Default for EngineShape {
    fn default() -> Self {
        EngineShape {
            step_us: 4000,
            step_stream_us: 250,
            prefill_token_us: 20,
            prefill_chunk: 1024,
            most_batch: 32,
            most_waiting: 256,
            cache_blocks: 20_000,
            keep_ms: 30_000,
            aging_ms: 4000,
        }
    }
}

/// What an engine has counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EngineCounts {
    /// Tokens generated.
    pub generated: u64,
    /// Prompt tokens computed.
    pub prefilled: u64,
    /// Prompt tokens found in the cache.
    pub cached: u64,
    /// Tokens computed that a lost attempt of the same request had already computed.
    pub recomputed: u64,
    /// Streams accepted.
    pub streams: u64,
    /// Streams cancelled.
    pub cancelled: u64,
    /// Streams refused before running.
    pub refused: u64,
}

/// Why a stream was refused before it ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RefusedBecause {
    /// The engine is leaving.
    Leaving,
    /// The queue is full.
    Full,
    /// The version asked for is not loaded.
    Version,
    /// It is loading.
    Loading,
}

/// One stream.
#[derive(Clone, Debug)]
pub struct EngineStream {
    seed: u64,
    blocks: Vec<u64>,
    prompt_tokens: u64,
    start: u64,
    made: u64,
    wanted: u64,
    priority: u8,
    arrived: ClockTime,
    prefill_left: Option<u64>,
    ended_at: Option<ClockTime>,
    rerun: bool,
}

impl EngineStream {
    /// The seed of its answer.
    pub fn seed(&self) -> u64 {
        self.seed
    }

    /// The first token it can show.
    pub fn start(&self) -> u64 {
        self.start
    }

    /// One past the newest token made.
    pub fn made(&self) -> u64 {
        self.made
    }

    /// Whether its answer is finished.
    pub fn is_done(&self) -> bool {
        self.made >= self.wanted
    }
}

/// A stream that is asked for.
#[derive(Clone, Debug)]
pub struct StreamAsk {
    /// Its name.
    pub id: CompactString,
    /// The request's head.
    pub head: ChatHead,
    /// The version that must answer; empty for any.
    pub version: VersionName,
    /// 0 is served first.
    pub priority: u8,
    /// Tokens already shown by an earlier attempt.
    pub continue_from: u64,
    /// Whether an earlier attempt was lost, so that computing again counts.
    pub rerun: bool,
}

/// Computed keys and values of one stream, on their way to another engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvBlob {
    /// Hashes of the blocks whose values it holds.
    pub blocks: Vec<u64>,
    /// The answer's seed.
    pub seed: u64,
    /// Answer tokens it covers.
    pub made: u64,
}

/// What a load report says.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadReport {
    /// Streams in the batch.
    pub running: u32,
    /// Streams waiting.
    pub waiting: u32,
    /// Prompt tokens not computed yet.
    pub prefill: u64,
    /// Time of the newest step, in microseconds.
    pub step_us: u64,
}

/// A change of the prefix cache.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CacheEvent {
    /// Counts up by one; a jump is a gap.
    pub seq: u64,
    /// The block.
    pub block: u64,
    /// Whether it was added or dropped.
    pub added: bool,
}

/// The engine.
#[derive(Debug)]
pub struct EngineModel {
    shape: EngineShape,
    version: VersionName,
    loading: Option<VersionName>,
    leaving: bool,
    fence: u64,
    checks_fence: bool,
    streams: BTreeMap<CompactString, EngineStream>,
    waiting: Vec<CompactString>,
    batch: Vec<CompactString>,
    cache: HashMap<u64, u64>,
    cache_order: VecDeque<(u64, u64)>,
    cache_clock: u64,
    events: VecDeque<CacheEvent>,
    event_seq: u64,
    imported: HashMap<u64, u64>,
    counts: EngineCounts,
    last_step_us: u64,
}

const EVENTS_KEPT: usize = 4096;

impl EngineModel {
    /// An engine that answers with `version`.
    pub fn new(shape: EngineShape, version: VersionName, checks_fence: bool) -> Self {
        EngineModel {
            shape,
            version,
            loading: None,
            leaving: false,
            fence: 0,
            checks_fence,
            streams: BTreeMap::new(),
            waiting: Vec::new(),
            batch: Vec::new(),
            cache: HashMap::new(),
            cache_order: VecDeque::new(),
            cache_clock: 0,
            events: VecDeque::new(),
            event_seq: 0,
            imported: HashMap::new(),
            counts: EngineCounts::default(),
            last_step_us: 0,
        }
    }

    /// Its counts.
    pub fn counts(&self) -> EngineCounts {
        self.counts
    }

    /// The version it answers with.
    pub fn version(&self) -> &VersionName {
        &self.version
    }

    /// The version it is loading.
    pub fn loading(&self) -> Option<&VersionName> {
        self.loading.as_ref()
    }

    /// Whether it is leaving.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Begins to leave: nothing new is taken.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// The highest fence seen; 0 if it does not check.
    pub fn fence(&self) -> u64 {
        if self.checks_fence { self.fence } else { 0 }
    }

    /// Lets an order of `fence` in, unless the engine checks and has seen a higher one.
    pub fn admit_order(&mut self, fence: u64) -> bool {
        if self.checks_fence && fence < self.fence {
            return false;
        }
        self.fence = self.fence.max(fence);
        true
    }

    /// Starts loading `version`; streams go on with the old one.
    pub fn begin_load(&mut self, version: VersionName) {
        if version != self.version {
            self.loading = Some(version);
        }
    }

    /// The load is complete. The cache of the old version is dropped.
    pub fn finish_load(&mut self) {
        if let Some(version) = self.loading.take() {
            self.version = version;
            self.cache.clear();
            self.cache_order.clear();
        }
    }

    /// Whether no stream is waiting or running.
    pub fn is_idle(&self) -> bool {
        self.batch.is_empty() && self.waiting.is_empty()
    }

    /// Takes a stream, or says why it does not run.
    ///
    /// # Errors
    /// The reason; nothing ran.
    pub fn submit(&mut self, ask: StreamAsk, now: ClockTime) -> Result<(), RefusedBecause> {
        if self.streams.contains_key(&ask.id) {
            return Ok(());
        }
        let refused = if self.leaving {
            Some(RefusedBecause::Leaving)
        } else if !ask.version.as_str().is_empty() && ask.version != self.version {
            Some(RefusedBecause::Version)
        } else if self.waiting.len() >= self.shape.most_waiting {
            Some(RefusedBecause::Full)
        } else {
            None
        };
        if let Some(reason) = refused {
            self.counts.refused += 1;
            return Err(reason);
        }
        self.counts.streams += 1;
        let stream = EngineStream {
            seed: answer_seed(ask.head.prompt_hash, self.version.as_str()),
            prompt_tokens: ask.head.prompt_tokens(),
            wanted: u64::from(ask.head.output_token_limit()),
            blocks: ask.head.blocks,
            start: ask.continue_from,
            made: ask.continue_from,
            priority: ask.priority,
            arrived: now,
            prefill_left: None,
            ended_at: None,
            rerun: ask.rerun,
        };
        self.waiting.push(ask.id.clone());
        self.streams.insert(ask.id, stream);
        Ok(())
    }

    /// The stream of `id`.
    pub fn stream(&self, id: &str) -> Option<&EngineStream> {
        self.streams.get(id)
    }

    /// Ends a stream that nobody wants any more.
    pub fn cancel(&mut self, id: &str) {
        self.batch.retain(|other| other != id);
        self.waiting.retain(|other| other != id);
        if let Some(stream) = self.streams.remove(id) {
            self.counts.cancelled += u64::from(!stream.is_done());
        }
    }

    /// The KV of a running stream.
    pub fn export_kv(&self, id: &str) -> Option<KvBlob> {
        let stream = self.streams.get(id)?;
        stream.prefill_left.filter(|left| *left == 0)?;
        Some(KvBlob { blocks: stream.blocks.clone(), seed: stream.seed, made: stream.made })
    }

    /// Takes KV from another engine into the cache.
    pub fn import_kv(&mut self, blob: &KvBlob) {
        for block in &blob.blocks {
            self.touch_block(*block);
        }
        self.imported.insert(blob.seed, blob.made);
    }

    /// What a load report made now would say.
    pub fn load(&self) -> LoadReport {
        let prefill_of = |id: &CompactString| {
            self.streams.get(id).map_or(0, |s| s.prefill_left.unwrap_or(s.prompt_tokens))
        };
        LoadReport {
            running: self.batch.len() as u32,
            waiting: self.waiting.len() as u32,
            prefill: self.batch.iter().chain(&self.waiting).map(prefill_of).sum(),
            step_us: self.last_step_us,
        }
    }

    /// Cache events with numbers above `after`.
    pub fn events_after(&self, after: u64) -> Vec<CacheEvent> {
        self.events.iter().filter(|event| event.seq > after).copied().collect()
    }

    /// Whether block `block` is in the prefix cache.
    pub fn has_block(&self, block: u64) -> bool {
        self.cache.contains_key(&block)
    }

    /// Makes one step and returns how long it takes, in microseconds; nothing if there is no work.
    pub fn step(&mut self, now: ClockTime) -> Option<u64> {
        self.forget_old(now);
        self.fill_batch(now);
        if self.batch.is_empty() {
            return None;
        }
        let mut chunk = self.shape.prefill_chunk;
        let ids = std::mem::take(&mut self.batch);
        for id in &ids {
            self.advance_stream(id, &mut chunk, now);
        }
        let prefilled = self.shape.prefill_chunk - chunk;
        self.batch = ids
            .into_iter()
            .filter(|id| self.streams.get(id).is_some_and(|stream| !stream.is_done()))
            .collect();
        let streams = self.batch.len() as u64;
        self.last_step_us = self.shape.step_us
            + streams * self.shape.step_stream_us
            + prefilled * self.shape.prefill_token_us;
        Some(self.last_step_us)
    }

    fn fill_batch(&mut self, now: ClockTime) {
        while self.batch.len() < self.shape.most_batch && !self.waiting.is_empty() {
            let aging = self.shape.aging_ms.max(1);
            let rank = |id: &CompactString| {
                let stream = &self.streams[id];
                let aged = (now - stream.arrived).0 / aging;
                (u64::from(stream.priority).saturating_sub(aged), stream.arrived)
            };
            let best = (0..self.waiting.len()).min_by_key(|at| rank(&self.waiting[*at]));
            let Some(best) = best else { return };
            let id = self.waiting.remove(best);
            self.begin_prefill(&id);
            self.batch.push(id);
        }
    }

    fn begin_prefill(&mut self, id: &CompactString) {
        let Some(stream) = self.streams.get(id) else {
            return;
        };
        let hits = stream.blocks.iter().take_while(|block| self.cache.contains_key(block)).count();
        let cached = (hits as u64 * BLOCK_TOKENS).min(stream.prompt_tokens);
        let covered = self.imported.get(&stream.seed).copied().unwrap_or(0);
        let again = stream.start.saturating_sub(covered);
        let left = stream.prompt_tokens - cached + again;
        let rerun = stream.rerun;
        let blocks = stream.blocks.clone();
        self.counts.cached += cached;
        self.counts.prefilled += left;
        if rerun {
            self.counts.recomputed += left;
        }
        for block in blocks {
            self.touch_block(block);
        }
        if let Some(stream) = self.streams.get_mut(id) {
            stream.prefill_left = Some(left);
        }
    }

    fn advance_stream(&mut self, id: &CompactString, chunk: &mut u64, now: ClockTime) {
        let Some(stream) = self.streams.get_mut(id) else {
            return;
        };
        let left = stream.prefill_left.unwrap_or(0);
        if left > 0 {
            let now_computed = left.min(*chunk);
            *chunk -= now_computed;
            stream.prefill_left = Some(left - now_computed);
            if left > now_computed {
                return;
            }
        }
        if !stream.is_done() {
            stream.made += 1;
            self.counts.generated += 1;
        }
        if stream.is_done() && stream.ended_at.is_none() {
            stream.ended_at = Some(now);
        }
    }

    fn forget_old(&mut self, now: ClockTime) {
        let keep = self.shape.keep_ms;
        self.streams
            .retain(|_, stream| stream.ended_at.is_none_or(|ended| (now - ended).0 <= keep));
    }

    fn touch_block(&mut self, block: u64) {
        self.cache_clock += 1;
        let fresh = self.cache.insert(block, self.cache_clock).is_none();
        self.cache_order.push_back((block, self.cache_clock));
        if fresh {
            self.publish(block, true);
        }
        while self.cache.len() > self.shape.cache_blocks {
            let Some((oldest, used)) = self.cache_order.pop_front() else {
                return;
            };
            if self.cache.get(&oldest) == Some(&used) {
                self.cache.remove(&oldest);
                self.publish(oldest, false);
            }
        }
    }

    fn publish(&mut self, block: u64, added: bool) {
        self.event_seq += 1;
        self.events.push_back(CacheEvent { seq: self.event_seq, block, added });
        if self.events.len() > EVENTS_KEPT {
            self.events.pop_front();
        }
    }
}

//! The claim curve: claims a second and added latency against linger, at the store's limit.
//!
//! Drives the keepers that run in production with events in virtual time: seeded arrivals, a store
//! that takes a fixed time for each call and refuses writes over its rate.

use oleander_claim::{
    ClaimAction, ClaimKey, ClaimRecord, ClaimRequest, ClaimSettings, ClaimVerdict, PartitionKeeper,
    StoreReply,
};
use oleander_kind::{ClockTime, InstanceId, TimeSpan};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Writes a second that the store takes.
const STORE_WRITES_PER_S: u64 = 300;
/// Time of one store call, in milliseconds.
const STORE_MS: u64 = 3;
/// How long an asker waits, in milliseconds.
const WAIT_MS: u64 = 3000;
/// Virtual time of one run, in milliseconds.
const RUN_MS: u64 = 10_000;
const SHARDS: u64 = 4;
const START: u64 = 1_700_000_000_000;

/// One point of the curve.
#[derive(Clone, Debug)]
pub struct CurvePoint {
    /// Claims asked for a second.
    pub asked_per_s: u64,
    /// The linger, in milliseconds.
    pub linger_ms: u64,
    /// The least time between two writes of a book, in milliseconds; 0 for none.
    pub pace_ms: u64,
    /// The most claims in one write.
    pub most_batch: usize,
    /// Claims granted a second.
    pub granted_per_s: f64,
    /// Store writes a second that were made.
    pub writes_per_s: f64,
    /// Half were granted within this, in milliseconds.
    pub p50_ms: u64,
    /// 99 in 100 were granted within this, in milliseconds.
    pub p99_ms: u64,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CurveEvent {
    Ask { shard: u64, ticket: u64 },
    Store { shard: u64 },
    Tick { shard: u64 },
}

struct CurveRun {
    keepers: Vec<PartitionKeeper>,
    store_reply: Vec<Option<StoreReply>>,
    tick_at: Vec<u64>,
    events: BinaryHeap<Reverse<(u64, CurveEvent)>>,
    asked_at: BTreeMap<u64, u64>,
    latencies: Vec<u64>,
    second: u64,
    writes_in_second: u64,
    writes: u64,
    version: u64,
}

/// Runs one point with `seed`.
pub fn run_point(
    asked_per_s: u64,
    (linger_ms, pace_ms): (u64, u64),
    most_batch: usize,
    seed: u64,
) -> CurvePoint {
    let settings = ClaimSettings {
        linger: TimeSpan(linger_ms),
        write_interval: TimeSpan(pace_ms),
        most_batch,
        ..ClaimSettings::default()
    };
    let mut run = CurveRun {
        keepers: (0..SHARDS).map(|_| PartitionKeeper::new(settings)).collect(),
        store_reply: vec![None; SHARDS as usize],
        tick_at: vec![0; SHARDS as usize],
        events: BinaryHeap::new(),
        asked_at: BTreeMap::new(),
        latencies: Vec::new(),
        second: 0,
        writes_in_second: 0,
        writes: 0,
        version: 0,
    };
    let mut random = StdRng::seed_from_u64(seed);
    let asks = asked_per_s * RUN_MS / 1000;
    for ticket in 0..asks {
        let at = START + random.gen_range(0..RUN_MS);
        let shard = random.gen_range(0..SHARDS);
        run.events.push(Reverse((at, CurveEvent::Ask { shard, ticket })));
    }
    while let Some(Reverse((now, event))) = run.events.pop() {
        if now > START + RUN_MS {
            break;
        }
        run.happen(now, event);
    }
    run.latencies.sort_unstable();
    let at = |part: usize| {
        let count = run.latencies.len();
        run.latencies.get(count.saturating_sub(1) * part / 100).copied().unwrap_or(0)
    };
    let seconds = RUN_MS as f64 / 1000.0;
    CurvePoint {
        asked_per_s,
        linger_ms,
        pace_ms,
        most_batch,
        granted_per_s: run.latencies.len() as f64 / seconds,
        writes_per_s: run.writes as f64 / seconds,
        p50_ms: at(50),
        p99_ms: at(99),
    }
}

fn record(ticket: u64) -> ClaimRecord {
    let mut key = [0; 16];
    key[..8].copy_from_slice(&ticket.to_le_bytes());
    ClaimRecord {
        key: ClaimKey(key),
        digest: [0; 16],
        nonce: ticket,
        owner: InstanceId::from("entry"),
        key_time: ClockTime(START),
    }
}

impl CurveRun {
    fn happen(&mut self, now: u64, event: CurveEvent) {
        let clock = ClockTime(now);
        match event {
            CurveEvent::Ask { shard, ticket } => {
                self.asked_at.insert(ticket, now);
                let ask = ClaimRequest {
                    ticket,
                    record: record(ticket),
                    deadline: ClockTime(now + WAIT_MS),
                };
                let actions = self.keepers[shard as usize].ask(ask, clock, clock);
                self.carry_out(shard, actions, now);
            }
            CurveEvent::Store { shard } => {
                let Some(store_reply) = self.store_reply[shard as usize].take() else { return };
                let actions = self.keepers[shard as usize].store_reply(store_reply, clock, clock);
                self.carry_out(shard, actions, now);
            }
            CurveEvent::Tick { shard } => {
                let actions = self.keepers[shard as usize].tick(clock, clock);
                self.carry_out(shard, actions, now);
            }
        }
    }

    fn carry_out(&mut self, shard: u64, actions: Vec<ClaimAction>, now: u64) {
        for action in actions {
            let store_reply = match action {
                ClaimAction::Answer { ticket, verdict } => {
                    if verdict == ClaimVerdict::Granted {
                        self.latencies.push(now - self.asked_at[&ticket]);
                    }
                    continue;
                }
                ClaimAction::ReadHead | ClaimAction::ReadSegment(_) => StoreReply::Read(None),
                ClaimAction::WriteHead { .. } | ClaimAction::WriteSegment { .. } => self.write(now),
            };
            self.store_reply[shard as usize] = Some(store_reply);
            self.events.push(Reverse((now + STORE_MS, CurveEvent::Store { shard })));
        }
        if let Some(at) = self.keepers[shard as usize].next_tick() {
            let at = at.0.max(now + 1);
            let planned = &mut self.tick_at[shard as usize];
            if *planned <= now || at < *planned {
                *planned = at;
                self.events.push(Reverse((at, CurveEvent::Tick { shard })));
            }
        }
    }

    fn write(&mut self, now: u64) -> StoreReply {
        if now / 1000 != self.second {
            self.second = now / 1000;
            self.writes_in_second = 0;
        }
        self.writes_in_second += 1;
        if self.writes_in_second > STORE_WRITES_PER_S {
            return StoreReply::Busy;
        }
        self.writes += 1;
        self.version += 1;
        StoreReply::Written(self.version)
    }
}

/// Linger, pace and most claims a write. The first is one write a claim; the last is the default.
const POINTS: &[(u64, u64, usize)] =
    &[(0, 0, 1), (0, 0, 512), (2, 0, 512), (10, 0, 512), (20, 0, 512), (0, 16, 512)];

/// The curve as a table: the median of `seeds` runs a point.
pub fn curve_text(seeds: u64) -> String {
    let mut text = String::from(
        "| asked/s | linger ms | pace ms | most a write | granted/s | writes/s | p50 ms | p99 ms |\n\
         |---|---|---|---|---|---|---|---|\n",
    );
    for asked in &[100, 300, 1000, 3000] {
        for (linger, write_interval, batch) in POINTS {
            let mut points: Vec<CurvePoint> = (1..=seeds)
                .map(|seed| run_point(*asked, (*linger, *write_interval), *batch, seed))
                .collect();
            points.sort_by(|a, b| a.granted_per_s.total_cmp(&b.granted_per_s));
            let point = &points[points.len() / 2];
            text.push_str(&format!(
                "| {} | {} | {} | {} | {:.0} | {:.0} | {} | {} |\n",
                point.asked_per_s,
                point.linger_ms,
                point.pace_ms,
                point.most_batch,
                point.granted_per_s,
                point.writes_per_s,
                point.p50_ms,
                point.p99_ms
            ));
        }
    }
    text
}

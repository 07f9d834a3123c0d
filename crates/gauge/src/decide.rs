//! Decisions at full size: 370 nodes and 870 replicas, in this process, without a cluster.

use bytes::Bytes;
use oleander_board::Blackboard;
use oleander_claim::{
    ClaimAction, ClaimKey, ClaimRecord, ClaimRequest, ClaimSettings, PartitionKeeper, StoreReply,
};
use oleander_edge::sse::EventReader;
use oleander_kind::hash::mix_bits;
use oleander_kind::{
    AccountName, ClockTime, DomainName, EndpointRecord, EndpointStage, InstanceId, ServiceName,
    TimeSpan, read_chat_head,
};
use oleander_limit::{AccountLimits, DemandReport, LimitGate, LimitOwner};
use oleander_list::ListReplica;
use oleander_member::{MemberRecord, MemberSettings, MemberStage, MemberTable, ProbeMessage};
use oleander_route::{EndpointSelector, RoutePolicy, RouteRequest, RouteSettings};
use oleander_wire::{PeerBody, encode_frame};
use serde::{Deserialize, Serialize};
use std::hint::black_box;
use std::time::Instant;

/// Nodes at full size.
pub const NODES: usize = 370;
/// Replicas at full size.
pub const REPLICAS: usize = 870;
const DOMAINS: usize = 7;
const NOW: ClockTime = ClockTime(1_700_000_000_000);
/// Runs of each measure; the median counts.
const RUNS: usize = 5;

/// What one decision costs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct DecisionCost {
    /// Its name.
    pub name: String,
    /// The unit of `value`.
    pub unit: String,
    /// Median over the runs.
    pub value: f64,
    /// The least and the most.
    pub spread: (f64, f64),
}

fn cost(name: &str, unit: &str, mut run: impl FnMut() -> f64) -> DecisionCost {
    let mut values: Vec<f64> = (0..RUNS).map(|_| run()).collect();
    values.sort_by(f64::total_cmp);
    DecisionCost {
        name: name.to_owned(),
        unit: unit.to_owned(),
        value: values[RUNS / 2],
        spread: (values[0], values[RUNS - 1]),
    }
}

/// Nanoseconds of one of `times` calls of `act`.
fn nanos(times: u64, mut act: impl FnMut(u64)) -> f64 {
    let began = Instant::now();
    for at in 0..times {
        act(at);
    }
    began.elapsed().as_nanos() as f64 / times as f64
}

/// Measures every decision.
pub fn measure_decisions() -> Vec<DecisionCost> {
    let mut costs = Vec::new();
    costs.extend(member_costs());
    costs.extend(route_costs());
    costs.extend(list_costs());
    costs.extend(limit_costs());
    costs.extend(claim_costs());
    costs.extend(stream_costs());
    costs
}

fn domain(at: usize) -> DomainName {
    DomainName::from(format!("domain-{}", at % DOMAINS).as_str())
}

fn member(at: usize) -> MemberRecord {
    MemberRecord {
        id: InstanceId::from(format!("entry-{at:04}").as_str()),
        domain: domain(at),
        address: format!("10.0.{}.{}:7100", at / 250, at % 250).into(),
        incarnation: NOW.0,
        stage: MemberStage::Alive,
    }
}

fn table() -> MemberTable {
    let mut table = MemberTable::new(member(0), MemberSettings::default());
    (1..NODES).for_each(|at| table.join(member(at), NOW));
    // The joins are news; they are told until they are old.
    for _ in 0..1600 {
        table.handle_probe(&member(1), &quiet_probe(), 1, NOW);
    }
    table
}

fn quiet_probe() -> ProbeMessage {
    ProbeMessage { number: 1, generation: 1, news: Vec::new() }
}

fn probe_bytes(table: &mut MemberTable) -> f64 {
    let message = table.handle_probe(&member(1), &quiet_probe(), 1, NOW);
    let from = member(0);
    encode_frame(1, PeerBody::Probe { from, list: Default::default(), message }).len() as f64
}

fn member_costs() -> Vec<DecisionCost> {
    vec![
        cost("membership: one period", "µs", || {
            let mut table = table();
            nanos(2000, |at| {
                let now = NOW + TimeSpan(at);
                for action in table.tick(1, now, mix_bits(at)) {
                    if let oleander_member::MemberAction::Probe { to, message } = action {
                        let from = table.get(&to).cloned().unwrap_or_else(|| member(1));
                        table.handle_answer(&from, &message, now);
                    }
                }
            }) / 1000.0
        }),
        cost("membership: probe without news", "bytes", || probe_bytes(&mut table())),
        cost("membership: probe while 47 % leave", "bytes", || {
            let mut table = table();
            let leaving: Vec<MemberRecord> = (1..NODES * 47 / 100)
                .map(|at| MemberRecord { stage: MemberStage::Leaving, ..member(at) })
                .collect();
            table.apply_gossip(&leaving, NOW);
            probe_bytes(&mut table)
        }),
        cost("membership: owner of a key", "µs", || {
            let table = table();
            nanos(2000, |at| {
                black_box(oleander_member::owner_of(&table, at));
            }) / 1000.0
        }),
        cost("membership: state", "KB", || state_kb(table)),
    ]
}

/// Resident memory of this process in bytes.
fn resident() -> f64 {
    let statm = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1).and_then(|text| text.parse::<f64>().ok());
    pages.unwrap_or(0.0) * 4096.0
}

/// Memory of one value made by `make`, from many of them.
fn state_kb<T>(make: impl Fn() -> T) -> f64 {
    state_kb_of(40, make)
}

fn state_kb_of<T>(copies: usize, make: impl Fn() -> T) -> f64 {
    let before = resident();
    let kept: Vec<T> = (0..copies).map(|_| make()).collect();
    let after = resident();
    // Left in memory on purpose: what is freed would be used again by the next measure, which would
    // then seem to need nothing.
    std::mem::forget(black_box(kept));
    (after - before).max(0.0) / copies as f64 / 1000.0
}

fn replica(at: usize) -> EndpointRecord {
    EndpointRecord {
        instance: InstanceId::from(format!("i-{at:06}").as_str()),
        service: ServiceName::from("recipe-llm"),
        address: format!("10.1.{}.{}:8000", at / 250, at % 250).into(),
        domain: domain(at),
        class: "gpu-large".into(),
        version: "v1".into(),
        stage: EndpointStage::Live,
        token: format!("oleander:recipe-llm:1700000000000:{at}").into(),
        started_at: NOW,
        ..EndpointRecord::default()
    }
}

fn replicas() -> Vec<EndpointRecord> {
    (0..REPLICAS).map(replica).collect()
}

fn board() -> Blackboard {
    let mut board = Blackboard::new();
    board.apply_list(replicas(), NOW);
    board
}

fn route_costs() -> Vec<DecisionCost> {
    const PROMPT_BLOCKS: u64 = 64;
    let choose = |services_share: usize| {
        let mut board = Blackboard::new();
        board.apply_list((0..services_share).map(replica).collect(), NOW);
        let mut router =
            EndpointSelector::new(domain(0), RoutePolicy::Cost, RouteSettings::default());
        let service = ServiceName::from("recipe-llm");
        nanos(2000, |at| {
            let blocks: Vec<u64> =
                (0..PROMPT_BLOCKS).map(|block| mix_bits((at % 50) << 32 | block)).collect();
            let ask = RouteRequest {
                service: &service,
                version: None,
                blocks: &blocks,
                prompt_tokens: PROMPT_BLOCKS * 16,
                tried: &[],
            };
            if let Some(key) = router.choose(&board, &ask, NOW, mix_bits(at)) {
                router.note_sent(&mut board, key, &ask);
                oleander_route::choose::note_ended(&mut board, key);
            }
        }) / 1000.0
    };
    vec![
        cost("routing: one choice among 870", "µs", || choose(REPLICAS)),
        cost("routing: one choice among 100", "µs", || choose(100)),
        cost("routing: board of 870", "KB", || state_kb_of(200, board)),
        cost("routing: 200,000 prefix blocks", "KB", || {
            const PART: u64 = 5000;
            let board = board();
            let key = board.endpoints.iter().next().map(|(key, _)| key);
            state_kb(|| {
                let mut record = oleander_route::PrefixIndex::new(PART as usize);
                if let Some(key) = key {
                    (0..PART).for_each(|block| record.note(mix_bits(block), key, 0));
                }
                record
            }) * (200_000 / PART) as f64
        }),
    ]
}

fn list_costs() -> Vec<DecisionCost> {
    let whole = || {
        let records = replicas();
        encode_frame(1, PeerBody::ListIs { stamp: NOW, records }).len() as f64
    };
    vec![
        cost("list: one read of 870", "µs", || {
            let mut keeper = ListReplica::default();
            keeper.apply_read(replicas(), NOW);
            nanos(50, |at| {
                keeper.apply_read(replicas(), NOW + TimeSpan(at));
            }) / 1000.0
        }),
        cost("list: whole list sent", "bytes", whole),
        cost("list: one change sent", "bytes", || {
            let change = oleander_list::ListChange {
                stamp: NOW,
                digest: u64::MAX,
                records: vec![replica(1)],
                gone: Vec::new(),
            };
            encode_frame(1, PeerBody::ListNews { change }).len() as f64
        }),
        cost("list: state", "KB", || {
            state_kb_of(300, || {
                let mut keeper = ListReplica::default();
                keeper.apply_read(replicas(), NOW);
                keeper
            })
        }),
    ]
}

fn limit_costs() -> Vec<DecisionCost> {
    const ACCOUNTS: u64 = 1000;
    let limits = AccountLimits { requests_per_s: 100, in_flight: 1000, tokens_per_s: 100_000 };
    let name = |at: u64| AccountName::from(format!("account-{}", at % ACCOUNTS).as_str());
    vec![
        cost("limits: one admission", "µs", || {
            let mut gate = LimitGate::new(NODES as u32);
            nanos(20_000, |at| {
                let account = name(at);
                black_box(gate.admit(&account, &limits, 500, NOW + TimeSpan(at)));
                gate.release(&account);
            }) / 1000.0
        }),
        cost("limits: one grant by an owner with 370 reporters", "µs", || {
            let mut owner = LimitOwner::default();
            let account = name(1);
            let report = DemandReport { asked: 10, in_flight: 3 };
            let entries: Vec<InstanceId> = (0..NODES).map(|at| member(at).id).collect();
            nanos(3700, |at| {
                let entry = &entries[at as usize % NODES];
                black_box(owner.report(&account, entry, report, (NODES as u32, NOW)));
            }) / 1000.0
        }),
        cost("limits: report of one account", "bytes", || {
            let reports = vec![(name(1), DemandReport { asked: 10, in_flight: 3 })];
            let one = encode_frame(1, PeerBody::ReportDemand { entry: member(1).id, reports });
            let none =
                encode_frame(1, PeerBody::ReportDemand { entry: member(1).id, reports: vec![] });
            (one.len() - none.len()) as f64
        }),
    ]
}

fn claim(at: u64) -> ClaimRecord {
    let mut key = [0; 16];
    key[..8].copy_from_slice(&mix_bits(at).to_le_bytes());
    key[8..].copy_from_slice(&mix_bits(at + 1).to_le_bytes());
    ClaimRecord {
        key: ClaimKey(key),
        digest: key,
        nonce: mix_bits(at),
        owner: member(1).id,
        key_time: NOW,
    }
}

/// Asks for `count` claims in batches of `batch` at a keeper whose store always agrees.
fn claim_batches(count: u64, batch: usize) -> (PartitionKeeper, u64, usize) {
    let settings = ClaimSettings {
        linger: TimeSpan(0),
        write_interval: TimeSpan(0),
        most_batch: batch,
        ..Default::default()
    };
    let mut keeper = PartitionKeeper::new(settings);
    let (mut version, mut written, mut writes) = (0, 0, 0);
    for at in 0..count {
        let ask = ClaimRequest { ticket: at, record: claim(at), deadline: ClockTime(u64::MAX) };
        let mut actions = keeper.ask(ask, NOW, NOW);
        if (at + 1) % batch as u64 != 0 {
            // The write waits until the batch is full.
            actions.retain(|action| !matches!(action, ClaimAction::Answer { .. }));
        }
        while let Some(action) = actions.pop() {
            let store_reply = match action {
                ClaimAction::ReadHead | ClaimAction::ReadSegment(_) => StoreReply::Read(None),
                ClaimAction::WriteHead { bytes, .. } | ClaimAction::WriteSegment { bytes, .. } => {
                    version += 1;
                    writes += 1;
                    written += bytes.len();
                    StoreReply::Written(version)
                }
                _ => continue,
            };
            actions.extend(keeper.store_reply(store_reply, NOW, NOW));
        }
    }
    (keeper, writes, written)
}

fn claim_costs() -> Vec<DecisionCost> {
    const CLAIMS: u64 = 1000;
    vec![
        cost("claims: one claim, alone in its write", "µs", || {
            let began = Instant::now();
            black_box(claim_batches(CLAIMS, 1));
            began.elapsed().as_micros() as f64 / (CLAIMS) as f64
        }),
        cost("claims: a full head", "bytes", || {
            let head = oleander_claim::HeadValue {
                segments: Vec::new(),
                claims: (0..512).map(claim).collect(),
            };
            oleander_claim::partition::encode(&head).len() as f64
        }),
        cost("claims: one remembered claim", "bytes", || {
            const HELD: u64 = 512;
            let head = oleander_claim::HeadValue {
                segments: Vec::new(),
                claims: (0..HELD).map(claim).collect(),
            };
            let bytes = oleander_claim::partition::encode(&head);
            let read = || {
                let mut keeper = PartitionKeeper::new(ClaimSettings::default());
                let ask =
                    ClaimRequest { ticket: 1, record: claim(9999), deadline: ClockTime(u64::MAX) };
                keeper.ask(ask, NOW, NOW);
                keeper.store_reply(StoreReply::Read(Some((1, bytes.clone()))), NOW, NOW);
                keeper
            };
            state_kb_of(400, read) * 1000.0 / HELD as f64
        }),
    ]
}

fn stream_costs() -> Vec<DecisionCost> {
    let prompt = "flour, milk, eggs and salt ".repeat(300);
    let body = serde_json::json!({
        "model": "recipe-llm", "stream": true, "max_tokens": 400,
        "messages": [{ "role": "user", "content": prompt }],
    })
    .to_string();
    let kb = body.len() as f64 / 1000.0;
    let event = "id: 1\ndata: {\"id\":\"x\",\"object\":\"chat.completion.chunk\",\"choices\":\
                 [{\"index\":0,\"delta\":{\"content\":\"kalomi \"},\"finish_reason\":null}]}\n\n";
    let events = Bytes::from(event.repeat(100));
    vec![
        cost("requests: reading a head, by visitors", "µs/KB", || {
            nanos(2000, |_| {
                black_box(read_chat_head(body.as_bytes()).ok());
            }) / 1000.0
                / kb
        }),
        cost("requests: reading a head, by a tree", "µs/KB", || {
            nanos(2000, |_| {
                black_box(serde_json::from_str::<serde_json::Value>(&body).ok());
            }) / 1000.0
                / kb
        }),
        cost("tokens: reading one event", "ns", || {
            nanos(200, |_| {
                let mut reader = EventReader::default();
                reader.push(&events);
                while let Ok(Some(event)) = reader.next_event() {
                    black_box(event);
                }
            }) / 100.0
        }),
    ]
}

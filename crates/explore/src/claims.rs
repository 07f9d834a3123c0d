//! Claims: two processes that both believe to own a shard, and two requests with one key.

use crate::search::SearchModel;
use oleander_claim::{
    ClaimAction, ClaimKey, ClaimRecord, ClaimRequest, ClaimSettings, ClaimVerdict, PartitionKeeper,
    PartitionName, StoreReply,
};
use oleander_kind::{ClockTime, InstanceId, TimeSpan};
use std::collections::BTreeMap;

/// A mistake put in on purpose, to see that the search finds it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimBug {
    /// None.
    None,
    /// The store does not check versions.
    NoFence,
    /// A lost answer is taken for success.
    TrustLost,
}

/// The model's bounds.
#[derive(Clone, Copy, Debug)]
pub struct ClaimModel {
    /// Keepers.
    pub keepers: usize,
    /// Faults in one history.
    pub faults: u32,
    /// Claims in the head before it is sealed.
    pub seal_threshold: usize,
    /// The mistake.
    pub bug: ClaimBug,
}

#[derive(Clone, Debug)]
enum StoreCall {
    Read(String),
    Write { name: String, version: Option<u64>, bytes: Vec<u8> },
}

/// Everything that can differ.
#[derive(Clone, Debug)]
pub struct ClaimState {
    keepers: Vec<PartitionKeeper>,
    calls: Vec<Option<StoreCall>>,
    answers: Vec<Option<StoreReply>>,
    late: Vec<StoreCall>,
    objects: BTreeMap<String, (u64, Vec<u8>)>,
    next_version: u64,
    /// Where each request asks: keeper by request; none when it has an answer.
    asked: Vec<Option<usize>>,
    granted: Vec<bool>,
    faults: u32,
}

/// Something that happens.
#[derive(Clone, Copy, Debug)]
pub enum ClaimStep {
    /// Request asks at keeper.
    Ask(usize, usize),
    /// The store carries out a keeper's call.
    Execute(usize),
    /// The answer arrives.
    Deliver(usize),
    /// The call is carried out and its answer lost.
    LoseAnswer(usize),
    /// The call is lost.
    LoseCall(usize),
    /// The call is overtaken by its own time limit and may be carried out later.
    Delay(usize),
    /// A delayed call is carried out.
    ExecuteLate(usize),
    /// A keeper dies and starts anew; its requests ask again elsewhere.
    Crash(usize),
}

const NOW: ClockTime = ClockTime(1_000_000);
const REQUESTS: usize = 3;
const BOOK: PartitionName = PartitionName { shard: 0, span: 0 };

fn record(request: usize) -> ClaimRecord {
    // Two requests with one key, and one with another.
    let key = if request < 2 { 1 } else { 2 };
    ClaimRecord {
        key: ClaimKey([key; 16]),
        digest: [0; 16],
        nonce: request as u64 + 10,
        owner: InstanceId::from("entry"),
        key_time: NOW,
    }
}

impl ClaimModel {
    fn new_keeper(&self) -> PartitionKeeper {
        PartitionKeeper::new(ClaimSettings {
            linger: TimeSpan(0),
            write_interval: TimeSpan(0),
            seal_threshold: self.seal_threshold,
            ..ClaimSettings::default()
        })
    }

    fn carry_out(&self, state: &mut ClaimState, keeper: usize, actions: Vec<ClaimAction>) {
        for action in actions {
            let call = match action {
                ClaimAction::Answer { ticket, verdict } => {
                    let request = ticket as usize;
                    state.asked[request] = None;
                    state.granted[request] |= verdict == ClaimVerdict::Granted;
                    continue;
                }
                ClaimAction::ReadHead => StoreCall::Read(BOOK.head().to_string()),
                ClaimAction::ReadSegment(number) => {
                    StoreCall::Read(BOOK.segment(number).to_string())
                }
                ClaimAction::WriteHead { version, bytes } => {
                    StoreCall::Write { name: BOOK.head().to_string(), version, bytes }
                }
                ClaimAction::WriteSegment { segment, bytes } => {
                    let name = BOOK.segment(segment).to_string();
                    StoreCall::Write { name, version: None, bytes }
                }
            };
            debug_assert!(state.calls[keeper].is_none(), "one call at a time");
            state.calls[keeper] = Some(call);
        }
    }

    fn execute(&self, state: &mut ClaimState, call: StoreCall) -> StoreReply {
        match call {
            StoreCall::Read(name) => StoreReply::Read(state.objects.get(&name).cloned()),
            StoreCall::Write { name, version, bytes } => {
                let current = state.objects.get(&name).map(|(version, _)| *version);
                if current != version && self.bug != ClaimBug::NoFence {
                    return StoreReply::Changed;
                }
                state.next_version += 1;
                state.objects.insert(name, (state.next_version, bytes));
                StoreReply::Written(state.next_version)
            }
        }
    }

    fn lost(&self, state: &ClaimState, was_read: bool) -> StoreReply {
        match (self.bug, was_read) {
            (_, true) => StoreReply::NotDone,
            (ClaimBug::TrustLost, false) => StoreReply::Written(state.next_version),
            _ => StoreReply::Unknown,
        }
    }

    fn hear(&self, state: &mut ClaimState, keeper: usize, store_reply: StoreReply) {
        let actions = state.keepers[keeper].store_reply(store_reply, NOW, NOW);
        self.carry_out(state, keeper, actions);
    }
}

fn is_read(call: &StoreCall) -> bool {
    matches!(call, StoreCall::Read(_))
}

impl SearchModel for ClaimModel {
    type State = ClaimState;
    type Step = ClaimStep;

    fn start(&self) -> ClaimState {
        ClaimState {
            keepers: (0..self.keepers).map(|_| self.new_keeper()).collect(),
            calls: vec![None; self.keepers],
            answers: vec![None; self.keepers],
            late: Vec::new(),
            objects: BTreeMap::new(),
            next_version: 0,
            asked: vec![Some(usize::MAX); REQUESTS],
            granted: vec![false; REQUESTS],
            faults: 0,
        }
    }

    fn steps(&self, state: &ClaimState) -> Vec<ClaimStep> {
        let mut steps = Vec::new();
        for (request, asked) in state.asked.iter().enumerate() {
            if *asked == Some(usize::MAX) {
                steps.extend((0..self.keepers).map(|keeper| ClaimStep::Ask(request, keeper)));
            }
        }
        let may_fail = state.faults < self.faults;
        for keeper in 0..self.keepers {
            if state.answers[keeper].is_some() {
                steps.push(ClaimStep::Deliver(keeper));
            }
            if let Some(call) = &state.calls[keeper] {
                steps.push(ClaimStep::Execute(keeper));
                if may_fail {
                    steps.push(ClaimStep::LoseCall(keeper));
                }
                if may_fail && !is_read(call) {
                    steps.push(ClaimStep::LoseAnswer(keeper));
                    steps.push(ClaimStep::Delay(keeper));
                }
            }
            if may_fail {
                steps.push(ClaimStep::Crash(keeper));
            }
        }
        steps.extend((0..state.late.len()).map(ClaimStep::ExecuteLate));
        steps
    }

    fn apply(&self, state: &ClaimState, step: &ClaimStep) -> ClaimState {
        let mut next = state.clone();
        match *step {
            ClaimStep::Ask(request, keeper) => {
                next.asked[request] = Some(keeper);
                let ask = ClaimRequest {
                    ticket: request as u64,
                    record: record(request),
                    deadline: NOW + TimeSpan(1000),
                };
                let actions = next.keepers[keeper].ask(ask, NOW, NOW);
                self.carry_out(&mut next, keeper, actions);
            }
            ClaimStep::Execute(keeper) => {
                if let Some(call) = next.calls[keeper].take() {
                    let store_reply = self.execute(&mut next, call);
                    next.answers[keeper] = Some(store_reply);
                }
            }
            ClaimStep::Deliver(keeper) => {
                if let Some(store_reply) = next.answers[keeper].take() {
                    self.hear(&mut next, keeper, store_reply);
                }
            }
            ClaimStep::LoseAnswer(keeper) | ClaimStep::LoseCall(keeper) => {
                next.faults += 1;
                if let Some(call) = next.calls[keeper].take() {
                    let was_read = is_read(&call);
                    if matches!(step, ClaimStep::LoseAnswer(_)) {
                        self.execute(&mut next, call);
                    }
                    let store_reply = self.lost(&next, was_read);
                    self.hear(&mut next, keeper, store_reply);
                }
            }
            ClaimStep::Delay(keeper) => {
                next.faults += 1;
                if let Some(call) = next.calls[keeper].take() {
                    next.late.push(call);
                    let store_reply = self.lost(&next, false);
                    self.hear(&mut next, keeper, store_reply);
                }
            }
            ClaimStep::ExecuteLate(at) => {
                let call = next.late.remove(at);
                self.execute(&mut next, call);
            }
            ClaimStep::Crash(keeper) => {
                next.faults += 1;
                next.keepers[keeper] = self.new_keeper();
                next.calls[keeper] = None;
                next.answers[keeper] = None;
                for asked in &mut next.asked {
                    if *asked == Some(keeper) {
                        *asked = Some(usize::MAX);
                    }
                }
            }
        }
        next
    }

    fn broken(&self, state: &ClaimState) -> Option<String> {
        let both = state.granted[0] && state.granted[1];
        both.then(|| "two requests with one key were both granted".to_owned())
    }
}

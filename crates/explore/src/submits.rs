//! Submissions: operators who race for the head, one of them building on another's bundle.

use crate::search::SearchModel;
use oleander_bundle::store::StoreReply;
use oleander_bundle::{
    BundleContent, BundleHead, SignPolicy, SignedBundle, SubmitStep, SubmitTask,
};
use oleander_kind::ResultCode;
use std::collections::BTreeMap;

/// A mistake put in on purpose.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitBug {
    /// None.
    None,
    /// The store does not check versions.
    NoFence,
}

/// The model's bounds.
#[derive(Clone, Copy, Debug)]
pub struct SubmitModel {
    /// Faults in one history.
    pub faults: u32,
    /// The mistake.
    pub bug: SubmitBug,
}

#[derive(Clone, Debug)]
struct Operator {
    task: SubmitTask,
    next: Option<SubmitStep>,
    digest: String,
    started: bool,
}

/// Everything that can differ.
#[derive(Clone, Debug)]
pub struct SubmitState {
    operators: Vec<Operator>,
    head: Option<(u64, BundleHead)>,
    accepted_history: Vec<String>,
    late: Vec<(Option<u64>, BundleHead)>,
    next_version: u64,
    faults: u32,
}

/// Something that happens.
#[derive(Clone, Copy, Debug)]
pub enum OperatorStep {
    /// An operator begins.
    Begin(usize),
    /// The store carries out its call and the answer arrives.
    Execute(usize),
    /// The call is carried out and its answer lost.
    LoseAnswer(usize),
    /// The call is refused.
    Refuse(usize),
    /// The call is given up and may be carried out later.
    Delay(usize),
    /// A delayed swap is carried out.
    ExecuteLate(usize),
}

fn bundle(generation: u64, parent: &str, mark: u32) -> SignedBundle {
    SignedBundle::new(BundleContent {
        format: 1,
        generation,
        parent: parent.into(),
        policy: SignPolicy { keys: BTreeMap::new(), quorum: mark as usize },
        accounts: BTreeMap::new(),
        services: BTreeMap::new(),
    })
}

impl SubmitModel {
    fn swap(&self, state: &mut SubmitState, version: Option<u64>, head: BundleHead) -> StoreReply {
        let current = state.head.as_ref().map(|(version, _)| *version);
        if current != version && self.bug != SubmitBug::NoFence {
            return StoreReply::Changed;
        }
        state.next_version += 1;
        state.accepted_history.push(head.digest.to_string());
        state.head = Some((state.next_version, head));
        StoreReply::Written
    }

    fn execute(&self, state: &mut SubmitState, step: SubmitStep) -> StoreReply {
        match step {
            SubmitStep::PutPart { .. } => StoreReply::Written,
            SubmitStep::ReadHead => StoreReply::Head(state.head.clone()),
            SubmitStep::SwapHead { version, head } => self.swap(state, version, head),
            _ => StoreReply::NotDone(ResultCode::StoreRefused),
        }
    }
}

fn is_open(step: &SubmitStep) -> bool {
    matches!(step, SubmitStep::PutPart { .. } | SubmitStep::ReadHead | SubmitStep::SwapHead { .. })
}

impl SearchModel for SubmitModel {
    type State = SubmitState;
    type Step = OperatorStep;

    fn start(&self) -> SubmitState {
        let first = bundle(1, "", 1);
        let rival = bundle(1, "", 2);
        // The third operator builds on the first's bundle, so that the first may find its own
        // bundle already replaced when it settles a lost answer.
        let third = bundle(2, &first.content.digest(), 3);
        let operator = |signed: &SignedBundle| Operator {
            task: SubmitTask::new(signed),
            next: None,
            digest: signed.content.digest().to_string(),
            started: false,
        };
        SubmitState {
            operators: vec![operator(&first), operator(&rival), operator(&third)],
            head: None,
            accepted_history: Vec::new(),
            late: Vec::new(),
            next_version: 0,
            faults: 0,
        }
    }

    fn steps(&self, state: &SubmitState) -> Vec<OperatorStep> {
        let mut steps = Vec::new();
        let may_fail = state.faults < self.faults;
        for (at, operator) in state.operators.iter().enumerate() {
            if !operator.started {
                steps.push(OperatorStep::Begin(at));
            }
            let Some(next) = operator.next.as_ref().filter(|step| is_open(step)) else {
                continue;
            };
            steps.push(OperatorStep::Execute(at));
            if may_fail {
                steps.push(OperatorStep::LoseAnswer(at));
                steps.push(OperatorStep::Refuse(at));
                if matches!(next, SubmitStep::SwapHead { .. }) {
                    steps.push(OperatorStep::Delay(at));
                }
            }
        }
        steps.extend((0..state.late.len()).map(OperatorStep::ExecuteLate));
        steps
    }

    fn apply(&self, state: &SubmitState, step: &OperatorStep) -> SubmitState {
        let mut next = state.clone();
        let (at, said) = match *step {
            OperatorStep::Begin(at) => {
                let operator = &mut next.operators[at];
                operator.started = true;
                operator.next = Some(operator.task.begin());
                return next;
            }
            OperatorStep::ExecuteLate(at) => {
                let (version, head) = next.late.remove(at);
                self.swap(&mut next, version, head);
                return next;
            }
            OperatorStep::Execute(at) => {
                let Some(call) = next.operators[at].next.take() else {
                    return next;
                };
                (at, self.execute(&mut next, call))
            }
            OperatorStep::LoseAnswer(at) => {
                next.faults += 1;
                let Some(call) = next.operators[at].next.take() else {
                    return next;
                };
                self.execute(&mut next, call);
                (at, StoreReply::Unknown)
            }
            OperatorStep::Refuse(at) => {
                next.faults += 1;
                (at, StoreReply::NotDone(ResultCode::StoreRefused))
            }
            OperatorStep::Delay(at) => {
                next.faults += 1;
                if let Some(SubmitStep::SwapHead { version, head }) = next.operators[at].next.take()
                {
                    next.late.push((version, head));
                }
                (at, StoreReply::Unknown)
            }
        };
        let step = next.operators[at].task.advance(said);
        next.operators[at].next = Some(step);
        next
    }

    fn broken(&self, state: &SubmitState) -> Option<String> {
        let was_head = |digest: &String| state.accepted_history.contains(digest);
        for (at, operator) in state.operators.iter().enumerate() {
            let was = was_head(&operator.digest);
            match operator.next {
                Some(SubmitStep::Accepted) if !was => {
                    return Some(format!("operator {at} was told accepted, and was not"));
                }
                Some(SubmitStep::Conflict) if was => {
                    return Some(format!("operator {at} was told conflict, and was accepted"));
                }
                _ => {}
            }
        }
        let rivals = was_head(&state.operators[0].digest) && was_head(&state.operators[1].digest);
        rivals.then(|| "two bundles were accepted as one generation".to_owned())
    }
}

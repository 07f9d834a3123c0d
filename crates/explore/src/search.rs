//! The search.

use oleander_kind::hash::{HASH_SEED, stable_hash};
use std::collections::{HashMap, VecDeque};
use std::fmt::Debug;

/// A protocol as states and steps.
pub trait SearchModel {
    /// Everything that can differ between two moments.
    type State: Clone + Debug;
    /// Something that can happen.
    type Step: Clone + Debug;

    /// Where it begins.
    fn start(&self) -> Self::State;

    /// What can happen in `state`.
    fn steps(&self, state: &Self::State) -> Vec<Self::Step>;

    /// What `state` becomes.
    fn apply(&self, state: &Self::State, step: &Self::Step) -> Self::State;

    /// What tells `state` from others. A model that knows which differences do not matter leaves
    /// them out.
    fn identity(&self, state: &Self::State) -> String {
        format!("{state:?}")
    }

    /// What is broken in `state`, if anything.
    fn broken(&self, state: &Self::State) -> Option<String>;
}

/// What a search found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExploreReport {
    /// Different states seen.
    pub states: usize,
    /// Steps taken.
    pub steps: usize,
    /// Whether every state that can be reached was seen.
    pub complete: bool,
    /// The first broken rule, with the shortest way to it.
    pub broken: Option<(String, Vec<String>)>,
}

/// Two hashes of what the state holds: 128 bits, so that a collision among millions of states is
/// out of the question.
fn state_key<M: SearchModel>(model: &M, state: &M::State) -> StateKey {
    let text = model.identity(state);
    (stable_hash(HASH_SEED, text.as_bytes()), stable_hash(!HASH_SEED, text.as_bytes()))
}

type StateKey = (u64, u64);

/// Searches `model` until it is complete, broken, or has seen `most_states` states.
pub fn explore<M: SearchModel>(model: &M, most_states: usize) -> ExploreReport {
    let mut report = ExploreReport::default();
    let mut came_from: HashMap<StateKey, Option<(StateKey, String)>> = HashMap::new();
    let start = model.start();
    let start_key = state_key(model, &start);
    came_from.insert(start_key, None);
    let mut open = VecDeque::from([(start_key, start)]);
    while let Some((key, state)) = open.pop_front() {
        if let Some(rule) = model.broken(&state) {
            report.broken = Some((rule, path_to(&came_from, key)));
            break;
        }
        for step in model.steps(&state) {
            report.steps += 1;
            let next = model.apply(&state, &step);
            let next_key = state_key(model, &next);
            if came_from.contains_key(&next_key) {
                continue;
            }
            came_from.insert(next_key, Some((key, format!("{step:?}"))));
            open.push_back((next_key, next));
        }
        if came_from.len() >= most_states {
            break;
        }
    }
    report.states = came_from.len();
    report.complete = open.is_empty() && report.broken.is_none();
    report
}

fn path_to(
    came_from: &HashMap<StateKey, Option<(StateKey, String)>>,
    mut key: StateKey,
) -> Vec<String> {
    let mut path = Vec::new();
    while let Some(Some((before, step))) = came_from.get(&key) {
        path.push(step.clone());
        key = *before;
    }
    path.reverse();
    path
}

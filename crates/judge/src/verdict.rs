//! The comparison of a service's endpoints with one another.

use crate::book::EvidenceSum;
use serde::{Deserialize, Serialize};

/// Answers that must be known of an endpoint. Those of a large service answer some ten requests a second.
const ENOUGH_SEEN: f64 = 6.0;
/// The same of one that was set aside, and is asked little since.
pub const LEAST_SEEN: f64 = 1.5;
/// Endpoints of a service that must be known for a comparison: of two, none is the middle one.
const FEWEST_COMPARED: usize = 3;
/// How much larger a part than the middle one's must fail. An endpoint that fails less costs its callers
/// less than one endpoint fewer does.
const FAILS_MORE: f64 = 0.3;
/// The same in standard deviations of chance: requests of a sound service fail by themselves too, up to one
/// in seven, and one of 63 endpoints that are compared five times a second is unlucky soon.
const FAILS_DEVIATIONS: f64 = 5.0;
/// Where hardly any request fails, this part is taken for chance.
const LEAST_CHANCE: f64 = 0.05;
/// How much slower than the middle one an endpoint must be, in powers of two: twice as slow. Sound replicas
/// of one service differ by up to a third.
const SLOWER: f64 = 1.0;
/// The same in median deviations of the service's endpoints: where sound ones differ a lot, more is needed.
/// Six are four standard deviations of a normal spread.
const SLOWER_DEVIATIONS: f64 = 6.0;
/// The same by chance, over the square root of the answers: 4.5 standard deviations of one answer, whose
/// slowness varies by about one. With seven answers and without this, 10 sound engines of 68 were taken for
/// slow within half a minute.
const SLOWER_BY_CHANCE: f64 = 4.5;
/// An endpoint that was set aside stays so until it is this part of the way back to the others, so that it
/// does not come and go with each answer.
const WAY_BACK: f64 = 0.75;
/// At most this part of a service's endpoints is set aside, and one of three or more. Were there more, those left would be
/// overloaded by the load of the others, and seem bad next.
const MOST_ASIDE: f64 = 0.25;

/// In what an endpoint is worse than the others of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum BadTrait {
    /// It fails or leaves unanswered a larger part of its requests.
    #[serde(rename = "f")]
    Failing,
    /// It answers late for the work that it has.
    #[serde(rename = "s")]
    Slow,
}

/// What is known of one endpoint of a service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceEvidence<K> {
    /// The endpoint.
    pub endpoint: K,
    /// What all processes saw of it.
    pub sum: EvidenceSum,
    /// What was said of it before.
    pub before: Option<BadTrait>,
}

/// The endpoints of one service that are to be set aside, and why; the worst first.
pub fn judge_service<K: Copy>(known: &[ServiceEvidence<K>]) -> Vec<(K, BadTrait)> {
    let failing =
        Comparison::of(known.iter().filter(is_known).filter_map(|one| one.sum.failed_part()));
    let slow = Comparison::of(known.iter().filter(is_timed).filter_map(|one| one.sum.slowness()));
    let mut bad: Vec<(f64, K, BadTrait)> = known
        .iter()
        .filter_map(|one| {
            let (excess, bad_trait) = stands_out(one, failing.as_ref(), slow.as_ref())?;
            Some((excess, one.endpoint, bad_trait))
        })
        .collect();
    bad.sort_by(|a, b| b.0.total_cmp(&a.0));
    bad.truncate(most_aside(known.len()));
    bad.into_iter().map(|(_, endpoint, bad_trait)| (endpoint, bad_trait)).collect()
}

/// How many of so many endpoints of a service may be set aside at once.
pub fn most_aside(endpoints: usize) -> usize {
    let most = (endpoints as f64 * MOST_ASIDE) as usize;
    most.max(usize::from(endpoints >= FEWEST_COMPARED))
}

fn is_known<K>(one: &&ServiceEvidence<K>) -> bool {
    one.sum.seen() >= ENOUGH_SEEN
}

fn is_timed<K>(one: &&ServiceEvidence<K>) -> bool {
    one.sum.came >= ENOUGH_SEEN
}

/// By how many times its bound an endpoint exceeds the middle one, and in what; `None` if it does not.
fn stands_out<K>(
    one: &ServiceEvidence<K>,
    failing: Option<&Comparison>,
    slow: Option<&Comparison>,
) -> Option<(f64, BadTrait)> {
    let fails = fails_more(one, failing).map(|excess| (excess, BadTrait::Failing));
    let answers_late = is_slower(one, slow).map(|excess| (excess, BadTrait::Slow));
    let bad = [fails, answers_late].into_iter().flatten();
    let bad = bad.filter(|(excess, bad_trait)| *excess >= least_excess(one, *bad_trait));
    bad.max_by(|a, b| a.0.total_cmp(&b.0))
}

/// The part of its bound from which an endpoint stands out.
fn least_excess<K>(one: &ServiceEvidence<K>, bad_trait: BadTrait) -> f64 {
    if one.before == Some(bad_trait) { WAY_BACK } else { 1.0 }
}

fn fails_more<K>(one: &ServiceEvidence<K>, compared: Option<&Comparison>) -> Option<f64> {
    let was_aside = one.before == Some(BadTrait::Failing);
    let middle = compared?.middle;
    // One that was set aside is asked little: chance would free it with the first answers that fade.
    let bound = if was_aside { FAILS_MORE } else { FAILS_MORE.max(chance(middle, one.sum.seen())) };
    let is_known = is_known(&one) || (was_aside && one.sum.seen() >= LEAST_SEEN);
    let failed = one.sum.failed_part().filter(|_| is_known)?;
    Some((failed - middle) / bound)
}

/// By how much more than `middle` the part that fails of `seen` answers may be by chance.
fn chance(middle: f64, seen: f64) -> f64 {
    let part = middle.max(LEAST_CHANCE);
    FAILS_DEVIATIONS * (part * (1.0 - part) / seen.max(1.0)).sqrt()
}

fn is_slower<K>(one: &ServiceEvidence<K>, compared: Option<&Comparison>) -> Option<f64> {
    let was_aside = one.before == Some(BadTrait::Slow);
    let compared = compared?;
    let is_known = is_timed(&one) || (was_aside && one.sum.came >= LEAST_SEEN);
    let slowness = one.sum.slowness().filter(|_| is_known)?;
    let spread = SLOWER_DEVIATIONS * compared.deviation;
    let by_chance = if was_aside { 0.0 } else { SLOWER_BY_CHANCE / one.sum.came.sqrt() };
    Some((slowness - compared.middle) / SLOWER.max(spread).max(by_chance))
}

/// The middle value of a service's endpoints, and how far they lie from it in the middle.
#[derive(Clone, Copy, Debug)]
struct Comparison {
    middle: f64,
    deviation: f64,
}

impl Comparison {
    fn of(values: impl Iterator<Item = f64>) -> Option<Comparison> {
        let mut values: Vec<f64> = values.collect();
        if values.len() < FEWEST_COMPARED {
            return None;
        }
        let middle = median(&mut values);
        let mut deviations: Vec<f64> = values.iter().map(|value| (value - middle).abs()).collect();
        Some(Comparison { middle, deviation: median(&mut deviations) })
    }
}

/// The lower one of the two in the middle, if their number is even: where half of the endpoints are bad,
/// they are compared with the sound ones.
fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    values[(values.len() - 1) / 2]
}

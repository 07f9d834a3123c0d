//! Comparison of the endpoints of one service.

use crate::aggregate::EvidenceSum;
use serde::{Deserialize, Serialize};

/// Answers that an endpoint must have to be judged. An endpoint of a large service answers about
/// ten requests a second.
const MIN_ANSWERS: f64 = 6.0;
/// Answers that an endpoint that is set aside must have; it gets few requests.
pub const MIN_ANSWERS_ASIDE: f64 = 1.5;
/// Endpoints that a comparison needs: of two, neither is the median.
const MIN_COMPARED_ENDPOINTS: usize = 3;
/// By how much the failure rate of an outlier must exceed the median. An endpoint that fails less
/// often costs its callers less than the loss of one endpoint does.
const MIN_EXCESS_RATE: f64 = 0.3;
/// The excess failure rate of an outlier in standard deviations of sampling noise: requests of a
/// sound service fail too, up to one in seven, and with 63 endpoints compared five times a second
/// one is soon unlucky.
const FAILURE_DEVIATIONS: f64 = 5.0;
/// The least failure rate used for sampling noise, where hardly any request fails.
const MIN_NOISE_RATE: f64 = 0.05;
/// By how much slower than the median an outlier must be, in powers of two: twice as slow. Sound
/// replicas of one service differ by up to a third.
const MIN_SLOWDOWN_LOG2: f64 = 1.0;
/// The excess slowness of an outlier in median absolute deviations of the service's endpoints:
/// where sound ones differ a lot, more is needed. Six of them are four standard deviations of a
/// normal distribution.
const SLOWNESS_DEVIATIONS: f64 = 6.0;
/// The excess slowness that sampling noise explains, to be divided by the square root of the number
/// of answers: 4.5 standard deviations of one answer, whose slowness varies by about one. Without
/// it, and with seven answers each, 10 sound engines of 68 were found slow within half a minute.
const SLOWNESS_NOISE: f64 = 4.5;
/// Hysteresis: an endpoint that is set aside stays so until its excess falls below this fraction of
/// the bound, so that its state does not change with each answer.
const HYSTERESIS_FRACTION: f64 = 0.75;
/// At most this fraction of a service's endpoints is set aside, and at least one of three or more.
/// With more set aside, the rest would be overloaded by their load and be found bad next.
const MAX_ASIDE_FRACTION: f64 = 0.25;

/// In which way an endpoint is worse than the others of its service.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum BadTrait {
    /// It fails, or leaves unanswered, a larger fraction of its requests.
    #[serde(rename = "f")]
    Failing,
    /// It answers late for its load.
    #[serde(rename = "s")]
    Slow,
}

/// The observations of one endpoint of a service.
#[derive(Clone, Copy, Debug)]
pub struct ServiceEvidence<K> {
    /// The endpoint.
    pub endpoint: K,
    /// Observations of all processes.
    pub sum: EvidenceSum,
    /// The previous verdict.
    pub previous: Option<BadTrait>,
}

/// Returns the endpoints of one service that are to be set aside, so that they get few requests,
/// and why, worst first.
pub fn judge_service<K: Copy>(known: &[ServiceEvidence<K>]) -> Vec<(K, BadTrait)> {
    let failing = ServiceBaseline::of(
        known.iter().filter(has_enough_answers).filter_map(|one| one.sum.failure_rate()),
    );
    let slow = ServiceBaseline::of(
        known.iter().filter(has_enough_timings).filter_map(|one| one.sum.slowness()),
    );
    let mut bad: Vec<(f64, K, BadTrait)> = known
        .iter()
        .filter_map(|one| {
            let (excess, bad_trait) = outlier_excess(one, failing.as_ref(), slow.as_ref())?;
            Some((excess, one.endpoint, bad_trait))
        })
        .collect();
    bad.sort_by(|a, b| b.0.total_cmp(&a.0));
    bad.truncate(max_set_aside(known.len()));
    bad.into_iter().map(|(_, endpoint, bad_trait)| (endpoint, bad_trait)).collect()
}

/// Returns how many of `endpoints` endpoints of a service may be set aside at once.
pub fn max_set_aside(endpoints: usize) -> usize {
    let most = (endpoints as f64 * MAX_ASIDE_FRACTION) as usize;
    most.max(usize::from(endpoints >= MIN_COMPARED_ENDPOINTS))
}

fn has_enough_answers<K>(one: &&ServiceEvidence<K>) -> bool {
    one.sum.seen() >= MIN_ANSWERS
}

fn has_enough_timings<K>(one: &&ServiceEvidence<K>) -> bool {
    one.sum.came >= MIN_ANSWERS
}

/// Returns the ratio of an endpoint's excess over the median to the bound, and in what it is worse;
/// `None` if it is no outlier.
fn outlier_excess<K>(
    one: &ServiceEvidence<K>,
    failing: Option<&ServiceBaseline>,
    slow: Option<&ServiceBaseline>,
) -> Option<(f64, BadTrait)> {
    let fails = failure_excess(one, failing).map(|excess| (excess, BadTrait::Failing));
    let answers_late = slowness_excess(one, slow).map(|excess| (excess, BadTrait::Slow));
    let bad = [fails, answers_late].into_iter().flatten();
    let bad = bad.filter(|(excess, bad_trait)| *excess >= excess_threshold(one, *bad_trait));
    bad.max_by(|a, b| a.0.total_cmp(&b.0))
}

/// The ratio from which an endpoint is an outlier.
fn excess_threshold<K>(one: &ServiceEvidence<K>, bad_trait: BadTrait) -> f64 {
    if one.previous == Some(bad_trait) { HYSTERESIS_FRACTION } else { 1.0 }
}

fn failure_excess<K>(one: &ServiceEvidence<K>, baseline: Option<&ServiceBaseline>) -> Option<f64> {
    let was_aside = one.previous == Some(BadTrait::Failing);
    let median_value = baseline?.median_value;
    // An endpoint that is set aside gets few requests, so with the noise bound it would be cleared
    // as soon as its first observations decay.
    let bound = if was_aside {
        MIN_EXCESS_RATE
    } else {
        MIN_EXCESS_RATE.max(noise_bound(median_value, one.sum.seen()))
    };
    let has_enough_answers =
        has_enough_answers(&one) || (was_aside && one.sum.seen() >= MIN_ANSWERS_ASIDE);
    let failed = one.sum.failure_rate().filter(|_| has_enough_answers)?;
    Some((failed - median_value) / bound)
}

/// How far the failure rate of `seen` answers may exceed `median_value` through sampling noise.
fn noise_bound(median_value: f64, seen: f64) -> f64 {
    let rate = median_value.max(MIN_NOISE_RATE);
    FAILURE_DEVIATIONS * (rate * (1.0 - rate) / seen.max(1.0)).sqrt()
}

fn slowness_excess<K>(one: &ServiceEvidence<K>, baseline: Option<&ServiceBaseline>) -> Option<f64> {
    let was_aside = one.previous == Some(BadTrait::Slow);
    let baseline = baseline?;
    let is_judged = has_enough_timings(&one) || (was_aside && one.sum.came >= MIN_ANSWERS_ASIDE);
    let slowness = one.sum.slowness().filter(|_| is_judged)?;
    let spread = SLOWNESS_DEVIATIONS * baseline.deviation;
    let by_chance = if was_aside { 0.0 } else { SLOWNESS_NOISE / one.sum.came.sqrt() };
    Some((slowness - baseline.median_value) / MIN_SLOWDOWN_LOG2.max(spread).max(by_chance))
}

/// The median of a service's endpoints and their median absolute deviation.
#[derive(Clone, Copy, Debug)]
struct ServiceBaseline {
    median_value: f64,
    deviation: f64,
}

impl ServiceBaseline {
    fn of(values: impl Iterator<Item = f64>) -> Option<ServiceBaseline> {
        let mut values: Vec<f64> = values.collect();
        if values.len() < MIN_COMPARED_ENDPOINTS {
            return None;
        }
        let median_value = median(&mut values);
        let mut deviations: Vec<f64> =
            values.iter().map(|value| (value - median_value).abs()).collect();
        Some(ServiceBaseline { median_value, deviation: median(&mut deviations) })
    }
}

/// Takes the lower of the two middle values of an even number: if half of the endpoints are bad,
/// they are compared with the sound ones.
fn median(values: &mut [f64]) -> f64 {
    values.sort_by(f64::total_cmp);
    values[(values.len() - 1) / 2]
}

//! Statistical comparison of a new version's answers with those of the serving version.
//!
//! A sequential test for each route: each failure and each late answer of the new version raises
//! the score of its endpoint, and each good answer lowers it, by the log-likelihood ratio of a bad
//! version and one that equals the serving one. Scores decay, so that a version that degrades late
//! is found nearly as soon as one that is bad from the start. The baseline is what callers of the
//! serving version get at the same time, so a fault that hits both versions is no evidence. The
//! worst quarter of the endpoints is left out, because a few bad endpoints do not make a bad
//! version.

use compact_str::CompactString;
use oleander_judge::EvidenceTally;
use oleander_kind::{ClockTime, TimeSpan};
use std::collections::BTreeMap;

/// The score from which a version is bad; a sound one reaches it by chance once in about 160,000
/// answers.
const BAD_VERSION_SCORE: f64 = 12.0;
/// Lower bound of an endpoint's score, which limits how much good answers can offset.
const MIN_SCORE: f64 = -2.0;
/// Half-life of a score.
const SCORE_HALF_LIFE: TimeSpan = TimeSpan(4000);
/// One in this many endpoints, the worst ones, is left out.
const OUTLIER_DIVISOR: usize = 4;
/// The least by which the failure rate of a bad version exceeds the baseline.
const MIN_EXCESS_RATE: f64 = 0.2;
/// Increase of [`MIN_EXCESS_RATE`] as a fraction of the baseline: where half of the requests fail
/// anyway, a small excess is chance.
const EXCESS_FACTOR: f64 = 0.4;
/// Upper bound of the baseline failure rate.
const MAX_BASELINE_RATE: f64 = 0.5;
/// Lower bound of the baseline failure rate, so that a rare failure counts as chance.
const MIN_BASELINE_RATE: f64 = 0.01;
/// The least by which a bad version is slower, in powers of two: twice as slow.
const MIN_SLOWDOWN_LOG2: f64 = 1.0;
/// Weight, in answers, of the prior with which the baseline is blended while it has few answers.
const PRIOR_WEIGHT: f64 = 10.0;
/// Half-lives of the baseline. The worse of the two counts: a fault that begins at both versions
/// shows in the quick baseline as soon as in the answers of the new version.
const BASELINE_HALF_LIVES: [TimeSpan; 2] = [TimeSpan(1500), TimeSpan(250)];
/// Answers needed before a version can be found sound; a version that fails a fifth of them shows
/// no failure in as many once in 200 times.
const MIN_ANSWERS: f64 = 24.0;
/// Answers needed on each route that has at least [`MAIN_ROUTE_FRACTION`] of all answers.
const MIN_ANSWERS_PER_ROUTE: f64 = 8.0;
const MAIN_ROUTE_FRACTION: f64 = 0.1;
/// A version with a higher score is not found sound.
const MAX_SOUND_SCORE: f64 = 2.0;
/// No version is found sound while the failure rate of the serving version exceeds this.
const MAX_SOUND_BASELINE_RATE: f64 = 0.3;
/// Failures from which on a version is also judged by its total failure rate since the order.
const MIN_TOTAL_FAILURES: f64 = 30.0;
/// Margin by which that total failure rate must exceed the baseline, in addition to
/// [`TOTAL_DEVIATIONS`] standard deviations of sampling noise.
const TOTAL_MARGIN: f64 = 0.08;
const TOTAL_DEVIATIONS: f64 = 3.0;

#[derive(Clone, Copy, Debug, Default)]
struct DecayedSum {
    came: f64,
    failed: f64,
    slowness: f64,
    at: ClockTime,
}

impl DecayedSum {
    fn decayed(&self, half_life: TimeSpan, now: ClockTime) -> DecayedSum {
        let kept = (now - self.at).decay_factor(half_life);
        let (came, failed) = (self.came * kept, self.failed * kept);
        DecayedSum { came, failed, slowness: self.slowness * kept, at: now }
    }

    fn add(&mut self, tally: &EvidenceTally) {
        self.came += f64::from(tally.came);
        self.failed += f64::from(tally.failed);
        self.slowness += f64::from(tally.slowness);
    }

    fn failure_rate(&self) -> f64 {
        let prior = MIN_BASELINE_RATE * PRIOR_WEIGHT;
        (self.failed + prior) / (self.came + self.failed + PRIOR_WEIGHT)
    }

    fn mean_slowness(&self) -> f64 {
        self.slowness / (self.came + PRIOR_WEIGHT)
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct AnswerTotals {
    seen: f64,
    failed: f64,
}

impl AnswerTotals {
    fn add(&mut self, tally: &EvidenceTally) {
        self.seen += f64::from(tally.came) + f64::from(tally.failed);
        self.failed += f64::from(tally.failed);
    }

    fn failure_rate(&self) -> f64 {
        self.failed / self.seen.max(1.0)
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct EndpointScore {
    fails: f64,
    slow: f64,
    at: ClockTime,
}

impl EndpointScore {
    fn decayed(&self, now: ClockTime) -> EndpointScore {
        let kept = (now - self.at).decay_factor(SCORE_HALF_LIFE);
        EndpointScore { fails: self.fails * kept, slow: self.slow * kept, at: now }
    }
}

#[derive(Clone, Debug, Default)]
struct RouteComparison {
    /// Answers of the serving version, one sum for each of [`BASELINE_HALF_LIVES`].
    baseline: [DecayedSum; 2],
    /// Answers and failures of both versions since the order.
    baseline_total: AnswerTotals,
    trial_total: AnswerTotals,
    scores: BTreeMap<CompactString, EndpointScore>,
    /// Answers received since the last evaluation.
    pending: Vec<(CompactString, EvidenceTally)>,
}

impl RouteComparison {
    fn record_serving(&mut self, tally: &EvidenceTally, now: ClockTime) {
        for (sum, half_life) in self.baseline.iter_mut().zip(BASELINE_HALF_LIVES) {
            *sum = sum.decayed(half_life, now);
            sum.add(tally);
        }
        self.baseline_total.add(tally);
    }

    fn evaluate(&mut self, now: ClockTime) {
        let sums = self.baseline.iter().zip(BASELINE_HALF_LIVES);
        let baseline: Vec<DecayedSum> = sums.map(|(sum, life)| sum.decayed(life, now)).collect();
        let worse = |of: fn(&DecayedSum) -> f64| baseline.iter().map(of).fold(f64::MIN, f64::max);
        let baseline_rate = worse(DecayedSum::failure_rate).min(MAX_BASELINE_RATE);
        let bad_rate = baseline_rate + MIN_EXCESS_RATE + EXCESS_FACTOR * baseline_rate;
        let fail_step = (bad_rate / baseline_rate).ln();
        let good_step = ((1.0 - bad_rate) / (1.0 - baseline_rate)).ln();
        let baseline_slowness = worse(DecayedSum::mean_slowness);
        for (endpoint, tally) in self.pending.drain(..) {
            self.trial_total.add(&tally);
            let (came, failed) = (f64::from(tally.came), f64::from(tally.failed));
            let excess = f64::from(tally.slowness) - baseline_slowness * came;
            let slow_step =
                MIN_SLOWDOWN_LOG2 * excess - came * MIN_SLOWDOWN_LOG2 * MIN_SLOWDOWN_LOG2 / 2.0;
            let known = self.scores.entry(endpoint).or_default();
            let mut score = known.decayed(now);
            score.fails = (score.fails + failed * fail_step + came * good_step).max(MIN_SCORE);
            score.slow = (score.slow + slow_step).max(MIN_SCORE);
            *known = score;
        }
    }

    /// Returns the score of the version: the sum over its endpoints without the worst ones.
    fn score(&self, now: ClockTime) -> f64 {
        let sum = |of: fn(&EndpointScore) -> f64| -> f64 {
            let mut scores: Vec<f64> =
                self.scores.values().map(|score| of(&score.decayed(now))).collect();
            scores.sort_by(f64::total_cmp);
            scores.truncate(scores.len() - scores.len() / OUTLIER_DIVISOR);
            scores.iter().sum()
        };
        f64::max(sum(|score| score.fails), sum(|score| score.slow))
    }

    /// Whether the total failure rate of the version under trial exceeds what chance explains.
    /// Scores decay, so under low load a version that is only slightly worse would never reach the
    /// bound.
    fn total_rate_is_bad(&self) -> bool {
        let (trial, baseline) = (&self.trial_total, &self.baseline_total);
        let baseline_rate = baseline.failure_rate().max(MIN_BASELINE_RATE);
        let chance = (baseline_rate * (1.0 - baseline_rate) / trial.seen.max(1.0)).sqrt();
        let bound = baseline_rate + TOTAL_MARGIN + TOTAL_DEVIATIONS * chance;
        trial.failed >= MIN_TOTAL_FAILURES && trial.failure_rate() > bound
    }

    /// Whether the serving version itself has a high failure rate.
    fn baseline_is_failing(&self, now: ClockTime) -> bool {
        let sums = self.baseline.iter().zip(BASELINE_HALF_LIVES);
        let rates = sums.map(|(sum, life)| sum.decayed(life, now).failure_rate());
        rates.fold(0.0, f64::max) > MAX_SOUND_BASELINE_RATE
    }
}

/// Answers of a new version and of the serving version, by route.
#[derive(Clone, Debug, Default)]
pub struct VersionComparison {
    routes: BTreeMap<CompactString, RouteComparison>,
    evaluated_at: ClockTime,
}

impl VersionComparison {
    /// Adds answers of an endpoint of the serving version.
    pub fn record_serving(&mut self, route: &CompactString, tally: &EvidenceTally, now: ClockTime) {
        self.routes.entry(route.clone()).or_default().record_serving(tally, now);
    }

    /// Adds answers of an endpoint of the version under trial.
    pub fn record_trial(
        &mut self,
        route: &CompactString,
        endpoint: &CompactString,
        tally: &EvidenceTally,
    ) {
        let comparison = self.routes.entry(route.clone()).or_default();
        comparison.pending.push((endpoint.clone(), *tally));
    }

    /// Scores the answers received since the last evaluation against the current baseline.
    pub fn evaluate(&mut self, now: ClockTime) {
        self.routes.values_mut().for_each(|comparison| comparison.evaluate(now));
        self.evaluated_at = now;
    }

    /// Whether the version is bad on any route.
    pub fn is_bad(&self) -> bool {
        self.score() >= BAD_VERSION_SCORE
            || self.routes.values().any(RouteComparison::total_rate_is_bad)
    }

    /// Whether every main route has enough answers and nothing indicates a fault.
    pub fn is_sound(&self) -> bool {
        let all: f64 = self.routes.values().map(|comparison| comparison.baseline_total.seen).sum();
        let is_main = |comparison: &&RouteComparison| {
            comparison.baseline_total.seen >= all * MAIN_ROUTE_FRACTION
        };
        let mut main = self.routes.values().filter(is_main);
        let is_clear = main.all(|comparison| {
            comparison.trial_total.seen >= MIN_ANSWERS_PER_ROUTE
                && !comparison.baseline_is_failing(self.evaluated_at)
        });
        is_clear && self.seen() >= MIN_ANSWERS && self.score() <= MAX_SOUND_SCORE
    }

    /// Returns the number of answers of the version under trial, including failed ones.
    pub fn seen(&self) -> f64 {
        self.routes.values().map(|comparison| comparison.trial_total.seen).sum()
    }

    /// Returns the highest score of any route as of the last evaluation.
    pub fn score(&self) -> f64 {
        let scores = self.routes.values().map(|comparison| comparison.score(self.evaluated_at));
        scores.fold(f64::MIN, f64::max)
    }
}

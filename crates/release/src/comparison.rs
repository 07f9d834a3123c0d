//! Whether a version answers worse than the one that serves.
//!
//! A sequential test by route: each failure and each late answer of the version adds to its endpoint's score, each good answer
//! takes off, by how likely it is of a bad version and of one that is as good as the other. Scores fade, so that a version
//! that turns bad late is found nearly as soon as one that is bad from the start. What the other version's callers get at the
//! same time is the measure: a fault that hits both is no sign. The worst quarter of the endpoints is left out: a few bad
//! endpoints are no bad version.

use compact_str::CompactString;
use oleander_judge::EvidenceTally;
use oleander_kind::{ClockTime, TimeSpan};
use std::collections::BTreeMap;

/// The score from which a version is bad: by chance a sound one gets there once in some 160,000 answers.
const BAD_VERSION_SCORE: f64 = 12.0;
/// How far good answers of one endpoint can speak for it.
const MIN_SCORE: f64 = -2.0;
/// Half of a score counts no more after this time.
const SCORE_HALF_LIFE: TimeSpan = TimeSpan(4000);
/// One in so many endpoints, the worst ones, is left out.
const OUTLIER_DIVISOR: usize = 4;
/// The part of its answers that a bad version fails more than the other, at the least.
const MIN_EXCESS_RATE: f64 = 0.2;
/// The same as a part of what fails at the other: where half fails anyway, a few more are chance.
const EXCESS_FACTOR: f64 = 0.4;
/// Where more fails at the other version than this part, it is taken for this part.
const MAX_BASELINE_RATE: f64 = 0.5;
/// Where hardly any answer of the other version fails, this part is taken for chance.
const MIN_BASELINE_RATE: f64 = 0.01;
/// How much slower a bad version is, in powers of two, at the least: twice as slow.
const MIN_SLOWDOWN_LOG2: f64 = 1.0;
/// Answers of the other version that its part of failures is blended with while it has few.
const PRIOR_WEIGHT: f64 = 10.0;
/// Half of what is known of the other version counts no more after these times. The worse of the two counts: a fault that
/// begins at both shows in the quick one as soon as in the answers of the version tried.
const BASELINE_HALF_LIVES: [TimeSpan; 2] = [TimeSpan(1500), TimeSpan(250)];
/// Answers without which a version is not taken for sound: one that fails a fifth is still unseen after as many once in 200 times.
const MIN_ANSWERS: f64 = 24.0;
/// The same on each route that has at least [`MAIN_ROUTE_FRACTION`] of the answers.
const MIN_ANSWERS_PER_ROUTE: f64 = 8.0;
const MAIN_ROUTE_FRACTION: f64 = 0.1;
/// Above this score a version is not taken for sound.
const MAX_SOUND_SCORE: f64 = 2.0;
/// While more than this part fails at the version that serves, nothing is taken for sound by comparison with it.
const MAX_SOUND_BASELINE_RATE: f64 = 0.3;
/// From so many failures on a version is also judged by all that it answered since the order.
const MIN_TOTAL_FAILURES: f64 = 30.0;
/// By how much larger a part of its answers must have failed then, and by how many standard deviations of chance.
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
        let kept = (now - self.at).part_left(half_life);
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
        let kept = (now - self.at).part_left(SCORE_HALF_LIFE);
        EndpointScore { fails: self.fails * kept, slow: self.slow * kept, at: now }
    }
}

#[derive(Clone, Debug, Default)]
struct RouteComparison {
    /// What callers of the version that serves get, by [`BASELINE_HALF_LIVES`].
    baseline: [DecayedSum; 2],
    /// Answers of both versions since the order, and failures among them.
    baseline_total: AnswerTotals,
    trial_total: AnswerTotals,
    scores: BTreeMap<CompactString, EndpointScore>,
    /// What came since the last evaluate.
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
        let part = worse(DecayedSum::failure_rate).min(MAX_BASELINE_RATE);
        let bad_rate = part + MIN_EXCESS_RATE + EXCESS_FACTOR * part;
        let fail_step = (bad_rate / part).ln();
        let good_step = ((1.0 - bad_rate) / (1.0 - part)).ln();
        let baseline_value = worse(DecayedSum::mean_slowness);
        for (endpoint, tally) in self.pending.drain(..) {
            self.trial_total.add(&tally);
            let (came, failed) = (f64::from(tally.came), f64::from(tally.failed));
            let excess = f64::from(tally.slowness) - baseline_value * came;
            let slow_step =
                MIN_SLOWDOWN_LOG2 * excess - came * MIN_SLOWDOWN_LOG2 * MIN_SLOWDOWN_LOG2 / 2.0;
            let known = self.scores.entry(endpoint).or_default();
            let mut score = known.decayed(now);
            score.fails = (score.fails + failed * fail_step + came * good_step).max(MIN_SCORE);
            score.slow = (score.slow + slow_step).max(MIN_SCORE);
            *known = score;
        }
    }

    /// The score of the version: of all its endpoints but the worst ones.
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

    /// Whether it failed more since the order than chance explains. Scores fade, and where little is asked a version that is
    /// not much worse would never get far enough.
    fn total_rate_is_bad(&self) -> bool {
        let (tried, baseline) = (&self.trial_total, &self.baseline_total);
        let baseline_value = baseline.failure_rate().max(MIN_BASELINE_RATE);
        let chance = (baseline_value * (1.0 - baseline_value) / tried.seen.max(1.0)).sqrt();
        let bound = baseline_value + TOTAL_MARGIN + TOTAL_DEVIATIONS * chance;
        tried.failed >= MIN_TOTAL_FAILURES && tried.failure_rate() > bound
    }

    /// Whether the version that serves is itself in trouble.
    fn baseline_is_failing(&self, now: ClockTime) -> bool {
        let sums = self.baseline.iter().zip(BASELINE_HALF_LIVES);
        let parts = sums.map(|(sum, life)| sum.decayed(life, now).failure_rate());
        parts.fold(0.0, f64::max) > MAX_SOUND_BASELINE_RATE
    }
}

/// What callers got of a version and of the one that serves, by route.
#[derive(Clone, Debug, Default)]
pub struct VersionComparison {
    routes: BTreeMap<CompactString, RouteComparison>,
    evaluated_at: ClockTime,
}

impl VersionComparison {
    /// Takes answers of an endpoint of the version that serves.
    pub fn record_serving(&mut self, route: &CompactString, tally: &EvidenceTally, now: ClockTime) {
        self.routes.entry(route.clone()).or_default().record_serving(tally, now);
    }

    /// Takes answers of an endpoint of the version that is tried.
    pub fn record_trial(
        &mut self,
        route: &CompactString,
        endpoint: &CompactString,
        tally: &EvidenceTally,
    ) {
        let case = self.routes.entry(route.clone()).or_default();
        case.pending.push((endpoint.clone(), *tally));
    }

    /// Judges what came since the last evaluate by what the baseline version's callers got until now.
    pub fn evaluate(&mut self, now: ClockTime) {
        self.routes.values_mut().for_each(|case| case.evaluate(now));
        self.evaluated_at = now;
    }

    /// Whether the version is bad on some route.
    pub fn is_bad(&self) -> bool {
        self.score() >= BAD_VERSION_SCORE
            || self.routes.values().any(RouteComparison::total_rate_is_bad)
    }

    /// Whether enough was seen of it, on each main route, and nothing speaks against it.
    pub fn is_sound(&self) -> bool {
        let all: f64 = self.routes.values().map(|case| case.baseline_total.seen).sum();
        let is_main =
            |case: &&RouteComparison| case.baseline_total.seen >= all * MAIN_ROUTE_FRACTION;
        let mut main = self.routes.values().filter(is_main);
        let is_clear = main.all(|case| {
            case.trial_total.seen >= MIN_ANSWERS_PER_ROUTE
                && !case.baseline_is_failing(self.evaluated_at)
        });
        is_clear && self.seen() >= MIN_ANSWERS && self.score() <= MAX_SOUND_SCORE
    }

    /// Answers that were seen of it.
    pub fn seen(&self) -> f64 {
        self.routes.values().map(|case| case.trial_total.seen).sum()
    }

    /// The highest score of a route, as of the last evaluate.
    pub fn score(&self) -> f64 {
        let scores = self.routes.values().map(|case| case.score(self.evaluated_at));
        scores.fold(f64::MIN, f64::max)
    }
}

//! Reading speeds estimated from samples.

use arbtest::arbtest;
use oleandertack::kind::hash::mix_bits;
use oleandertack::kind::{ClockTime, TimeSpan};
use oleandertack::pace::{PaceEstimator, ReadPace, ReadSample, merge_paces};

const START: u64 = 1_000_000;
/// Connecting, the first step and the way back, in milliseconds.
const FLOOR_MS: f64 = 20.0;

/// The sample from an engine that reads `per_ms` when idle, for a prompt of `own` tokens behind
/// `queued` others. Between two chunks of a prompt it generates the tokens of running streams,
/// which takes as long again.
fn sample(own: u64, queued: u64, per_ms: f64) -> ReadSample {
    let took = FLOOR_MS + (own + queued) as f64 / per_ms * 2.0;
    ReadSample { own, queued, took: TimeSpan(took as u64) }
}

/// The estimate after a second of light traffic: 40 prompts of 100 to 12,000 tokens, each read at
/// the speed that `per_ms` gives for it.
fn seen(per_ms: impl Fn(u64) -> f64) -> Option<ReadPace> {
    let mut estimator = PaceEstimator::default();
    for at in 0..40 {
        let own = 100 + mix_bits(at) % 11_900;
        estimator.note(sample(own, 0, per_ms(at)), ClockTime(START + at * 25));
    }
    merge_paces(estimator.pace().into_iter())
}

fn assert_near(pace: Option<ReadPace>, per_ms: f64) {
    let found = pace.map(|pace| f64::from(pace.per_ms)).expect("a figure");
    assert!((found / per_ms - 1.0).abs() < 0.15, "{found} for {per_ms}");
}

#[test]
fn the_speed_of_any_engine_is_estimated_within_a_second_of_traffic() {
    for per_ms in [20.0, 57.0, 125.0, 400.0] {
        assert_near(seen(|_| per_ms), per_ms);
    }
}

/// Requests of a service are refused: half of its engines take five times as long for some seconds,
/// through partial failures or with prompts that no process knows of.
#[test]
fn slow_engines_do_not_distort_the_estimate() {
    assert_near(seen(|at| if at % 2 == 0 { 60.0 * 0.2 } else { 60.0 }), 60.0);
}

/// Queues grow: some engines answer at once without reading, or have cached prompts that no process
/// knows of.
#[test]
fn a_tenth_of_engines_that_answer_at_once_do_not_distort_the_estimate() {
    assert_near(seen(|at| if at % 10 == 0 { 60.0 * 50.0 } else { 60.0 }), 60.0);
}

#[test]
fn a_few_prompts_do_not_give_an_estimate() {
    let mut estimator = PaceEstimator::default();
    for at in 0..6 {
        estimator.note(sample(8000, 0, 60.0), ClockTime(START + at * 25));
    }

    assert_eq!(merge_paces(estimator.pace().into_iter()), None);
    assert!(estimator.pace().is_some_and(|pace| !pace.is_sure()));
}

/// Queue lengths are known half a second late, so a prompt behind many others says nothing about
/// the speed.
#[test]
fn queued_and_short_prompts_are_not_sampled() {
    let mut estimator = PaceEstimator::default();
    for at in 0..100 {
        estimator.note(sample(3000, 9000, 60.0), ClockTime(START + at * 25));
        estimator.note(sample(100, 0, 60.0), ClockTime(START + at * 25));
    }

    assert_eq!(estimator.pace(), None);
}

#[test]
fn the_estimate_follows_a_change_of_speed_and_survives_idle_time() {
    let mut estimator = PaceEstimator::default();
    let note = |estimator: &mut PaceEstimator, from: u64, per_ms| {
        for at in 0..200 {
            estimator.note(sample(4000, 0, per_ms), ClockTime(START + from + at * 50));
        }
    };
    note(&mut estimator, 0, 60.0);
    note(&mut estimator, 60_000, 120.0);

    assert_near(estimator.pace(), 120.0);
}

#[test]
fn arbitrary_samples_give_a_valid_speed_or_none() {
    arbtest(|u| {
        let mut estimator = PaceEstimator::default();
        let mut now = START;
        for _ in 0..u.int_in_range(0..=40)? {
            now += u.int_in_range(0..=20_000)?;
            let took = TimeSpan(u.int_in_range(0..=60_000)?);
            let sample = ReadSample {
                own: u.arbitrary::<u32>()?.into(),
                queued: u.arbitrary::<u32>()?.into(),
                took,
            };
            estimator.note(sample, ClockTime(now));
        }
        let pace = merge_paces([estimator.pace(), estimator.pace()].into_iter().flatten());
        assert!(pace.is_none_or(|pace| pace.per_ms.is_finite() && pace.per_ms > 0.0));
        Ok(())
    });
}

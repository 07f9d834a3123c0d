//! What is made of the times in which engines read prompts.

use arbtest::arbtest;
use oleandertack::kind::hash::mix_bits;
use oleandertack::kind::{ClockTime, TimeSpan};
use oleandertack::pace::{PaceBook, ReadPace, ReadSample, join_paces};

const START: u64 = 1_000_000;
/// Connecting, the first step and the way back, in milliseconds.
const FLOOR_MS: f64 = 20.0;

/// What an engine shows that reads `per_ms` alone, of a prompt of `own` tokens behind `queued` others.
/// Between two pieces of a prompt it makes the tokens of running streams, which takes as long again.
fn sample(own: u64, queued: u64, per_ms: f64) -> ReadSample {
    let took = FLOOR_MS + (own + queued) as f64 / per_ms * 2.0;
    ReadSample { own, queued, took: TimeSpan(took as u64) }
}

/// What a second of small traffic says: 40 prompts of 100 to 12,000 tokens, read at the speed that `per_ms`
/// gives for each.
fn seen(per_ms: impl Fn(u64) -> f64) -> Option<ReadPace> {
    let mut book = PaceBook::default();
    for at in 0..40 {
        let own = 100 + mix_bits(at) % 11_900;
        book.note(sample(own, 0, per_ms(at)), ClockTime(START + at * 25));
    }
    join_paces(book.pace().into_iter())
}

fn assert_near(pace: Option<ReadPace>, per_ms: f64) {
    let found = pace.map(|pace| f64::from(pace.per_ms)).expect("a figure");
    assert!((found / per_ms - 1.0).abs() < 0.15, "{found} for {per_ms}");
}

#[test]
fn the_speed_of_any_engine_is_found_within_a_second_of_traffic() {
    for per_ms in [20.0, 57.0, 125.0, 400.0] {
        assert_near(seen(|_| per_ms), per_ms);
    }
}

/// Requests of a service are refused: half of its engines work five times as long for some seconds, are
/// grey, or are busy with prompts that nobody knows of.
#[test]
fn slow_engines_do_not_spoil_the_figure() {
    assert_near(seen(|at| if at % 2 == 0 { 60.0 * 0.2 } else { 60.0 }), 60.0);
}

/// Queues grow: some engines answer at once without reading, or hold prompts that nobody knows of.
#[test]
fn a_tenth_of_engines_that_answer_at_once_does_not_spoil_the_figure() {
    assert_near(seen(|at| if at % 10 == 0 { 60.0 * 50.0 } else { 60.0 }), 60.0);
}

#[test]
fn a_few_prompts_are_not_enough() {
    let mut book = PaceBook::default();
    for at in 0..6 {
        book.note(sample(8000, 0, 60.0), ClockTime(START + at * 25));
    }

    assert_eq!(join_paces(book.pace().into_iter()), None);
    assert!(book.pace().is_some_and(|pace| !pace.is_sure()));
}

/// What waits at an engine is known half a second late. A prompt behind many others says nothing.
#[test]
fn prompts_behind_others_and_short_ones_do_not_count() {
    let mut book = PaceBook::default();
    for at in 0..100 {
        book.note(sample(3000, 9000, 60.0), ClockTime(START + at * 25));
        book.note(sample(100, 0, 60.0), ClockTime(START + at * 25));
    }

    assert_eq!(book.pace(), None);
}

#[test]
fn a_change_of_speed_is_followed_and_silence_changes_nothing() {
    let mut book = PaceBook::default();
    let note = |book: &mut PaceBook, from: u64, per_ms| {
        for at in 0..200 {
            book.note(sample(4000, 0, per_ms), ClockTime(START + from + at * 50));
        }
    };
    note(&mut book, 0, 60.0);
    note(&mut book, 60_000, 120.0);

    assert_near(book.pace(), 120.0);
}

#[test]
fn arbitrary_samples_give_a_speed_or_none() {
    arbtest(|u| {
        let mut book = PaceBook::default();
        let mut now = START;
        for _ in 0..u.int_in_range(0..=40)? {
            now += u.int_in_range(0..=20_000)?;
            let took = TimeSpan(u.int_in_range(0..=60_000)?);
            let sample = ReadSample {
                own: u.arbitrary::<u32>()?.into(),
                queued: u.arbitrary::<u32>()?.into(),
                took,
            };
            book.note(sample, ClockTime(now));
        }
        let pace = join_paces([book.pace(), book.pace()].into_iter().flatten());
        assert!(pace.is_none_or(|pace| pace.per_ms.is_finite() && pace.per_ms > 0.0));
        Ok(())
    });
}

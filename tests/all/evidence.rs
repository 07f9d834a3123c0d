//! Bad endpoints of a service, found by what many processes saw together, in virtual time.

use crate::mesh::{CollectorRig, NOW, TRUE_NOW, report, rig};
use crate::place::entry_of;
use arbtest::arbtest;
use oleandertack::front::evidence::EvidenceBuffer;
use oleandertack::judge::{
    AnswerSample, BadTrait, EvidenceBook, EvidenceTally, ServiceEvidence, judge_service,
};
use oleandertack::kind::hash::mix_bits;
use oleandertack::kind::{ClockTime, TimeSpan};
use oleandertack::mesh::{
    EndpointEvidence, EndpointJudge, EndpointLife, LifeMark, MeshCollector, NodeReport,
};
use oleandertack::place::EndpointBoard;
use std::collections::{BTreeMap, BTreeSet};

const START: u64 = 1_000_000;
/// How often a process reports.
const REPORT_MS: u64 = 250;
/// What sound endpoints of a service take, at the least and the most.
const SOUND_MS: (u64, u64) = (40, 160);
/// When an answer that does not come is overdue.
const OVERDUE_MS: u64 = 1000;
const EXPECTED: TimeSpan = TimeSpan(90);

/// How some endpoints are bad.
#[derive(Clone, Copy, PartialEq)]
enum BadKind {
    /// They take five times as long.
    Slow,
    /// They fail half of their requests at once.
    Failing,
    /// They leave half of their requests unanswered.
    Mute,
    /// They fail all requests for a second, and none in the next one.
    Flapping,
}

/// Endpoints, processes and callers.
struct JudgePlay {
    endpoints: usize,
    processes: usize,
    requests_per_s: u64,
    bad: Vec<usize>,
    kind: BadKind,
    /// When the bad ones are well again.
    mended_ms: u64,
    /// The part of the requests that fail everywhere, in a hundred.
    fail_anyway: u64,
}

/// A tenth of `endpoints` turn slow; ten requests a second for each.
fn play(endpoints: usize, kind: BadKind) -> JudgePlay {
    JudgePlay {
        endpoints,
        processes: 3 * endpoints,
        requests_per_s: 10 * endpoints as u64,
        bad: (0..(endpoints / 10).max(1)).collect(),
        kind,
        mended_ms: u64::MAX,
        fail_anyway: 0,
    }
}

/// What was said of each endpoint, by time; an empty trait is none.
type SaidTimes = BTreeMap<usize, Vec<(u64, Option<BadTrait>)>>;

impl JudgePlay {
    fn is_bad(&self, at: usize, ms: u64) -> bool {
        self.bad.contains(&at) && ms < self.mended_ms
    }

    /// When the first part of an answer comes that is asked for at `ms`, and how.
    fn answer(&self, at: usize, ms: u64, lot: u64) -> (u64, AnswerSample) {
        let sound = SOUND_MS.0 + lot % (SOUND_MS.1 - SOUND_MS.0);
        let came = |took| (took, AnswerSample::Came { took: TimeSpan(took), expected: EXPECTED });
        if (lot >> 16) % 100 < self.fail_anyway {
            return (sound, AnswerSample::Failed);
        }
        if !self.is_bad(at, ms) {
            return came(sound);
        }
        let half = (lot >> 32).is_multiple_of(2);
        match self.kind {
            BadKind::Slow => came(5 * sound),
            BadKind::Failing if half => (5, AnswerSample::Failed),
            BadKind::Mute if half => (OVERDUE_MS, AnswerSample::Overdue),
            BadKind::Flapping if (ms / 1000).is_multiple_of(2) => (5, AnswerSample::Failed),
            BadKind::Failing | BadKind::Mute | BadKind::Flapping => came(sound),
        }
    }

    /// Plays `seconds`; an endpoint that is set aside is asked once in two seconds.
    fn run(&self, seconds: u64) -> SaidTimes {
        let name = |at: usize| (format!("i-{at}").as_str().into(), LifeMark::default());
        let names: Vec<EndpointLife> = (0..self.endpoints).map(name).collect();
        let services = [names.clone()];
        let mut judge = EndpointJudge::default();
        let mut said: BTreeSet<usize> = BTreeSet::new();
        let mut times = SaidTimes::new();
        let mut on_the_way: BTreeMap<u64, Vec<(usize, AnswerSample)>> = BTreeMap::new();
        let mut random = 7_u64;
        let mut draw = |most: u64| {
            random = mix_bits(random.wrapping_add(1));
            random % most
        };
        for ms in 0..seconds * 1000 {
            if draw(1000) < self.requests_per_s % 1000 {
                self.ask(&said, ms, &mut draw, &mut on_the_way);
            }
            for _ in 0..self.requests_per_s / 1000 {
                self.ask(&said, ms, &mut draw, &mut on_the_way);
            }
            let now = ClockTime(START + ms);
            for (at, sample) in on_the_way.remove(&ms).unwrap_or_default() {
                let mut tally = EvidenceTally::default();
                tally.note(sample);
                judge.note_tally(names[at].clone(), tally, now);
            }
            if judge.is_due(now) {
                for change in judge.judge(&services, now) {
                    let at = names.iter().position(|name| *name == change.endpoint).expect("known");
                    times.entry(at).or_default().push((ms, change.bad_trait));
                    match change.bad_trait {
                        Some(_) => said.insert(at),
                        None => said.remove(&at),
                    };
                }
            }
        }
        times
    }

    fn ask(
        &self,
        said: &BTreeSet<usize>,
        ms: u64,
        draw: &mut impl FnMut(u64) -> u64,
        on_the_way: &mut BTreeMap<u64, Vec<(usize, AnswerSample)>>,
    ) {
        let at = draw(self.endpoints as u64) as usize;
        // One in twenty of the ten a second.
        if said.contains(&at) && draw(20) != 0 {
            return;
        }
        let process = draw(self.processes as u64);
        let (took, sample) = self.answer(at, ms, draw(u64::MAX));
        let reported = (ms + took).next_multiple_of(REPORT_MS) + process % REPORT_MS;
        on_the_way.entry(reported).or_default().push((at, sample));
    }

    /// When nine in ten of the bad endpoints were set aside.
    fn found(&self, said: &SaidTimes) -> u64 {
        let first = |at: &usize| said.get(at).map_or(u64::MAX, |times| times[0].0);
        let mut found: Vec<u64> = self.bad.iter().map(first).collect();
        found.sort_unstable();
        found[(found.len() - 1) * 9 / 10]
    }

    /// Sound endpoints that were ever set aside.
    fn wronged(&self, said: &SaidTimes) -> usize {
        said.keys().filter(|at| !self.bad.contains(at)).count()
    }
}

/// A label check waits on a slow replica as often as before, for as long as it is slow: each of hundreds of
/// processes meets it once a minute and forgets within seconds. By what all saw together, each of the slow
/// ones of 9, 63 and 300 endpoints is set aside within 2 s, failing and flapping ones within 1.8 s, mute ones
/// within 2.8 s, of which one passes until an answer is overdue. Within 3 s they are to be found, thirty of
/// their requests; mute ones may take until their first answers are overdue and reported besides.
#[test]
fn bad_endpoints_are_found_by_what_all_processes_saw() {
    for endpoints in [9, 63, 300] {
        for (kind, limit) in [
            (BadKind::Slow, 3000),
            (BadKind::Failing, 3000),
            (BadKind::Mute, 5000),
            (BadKind::Flapping, 3000),
        ] {
            let play = play(endpoints, kind);

            let said = play.run(8);

            let found = play.found(&said);
            assert!(found <= limit, "{endpoints}: {found} ms");
            assert!(play.wronged(&said) <= endpoints / 50, "{endpoints}: {said:?}");
        }
    }
}

/// A mended endpoint stands idle for good, because nobody asks it any more. A few real requests go on
/// going there, and ten seconds after the end of its trouble all may.
#[test]
fn a_mended_endpoint_takes_its_share_again() {
    let play = JudgePlay { mended_ms: 6000, ..play(63, BadKind::Slow) };

    let said = play.run(30);

    for at in &play.bad {
        let (back, bad_trait) = said[at].last().copied().expect("found");
        assert_eq!(bad_trait, None, "{said:?}");
        assert!(back <= 16_000, "{back}");
    }
}

/// Half of a service's endpoints fail, or all are slow at once: nobody is at fault more than the others, and
/// setting many aside would give their load to the rest. At most a quarter are.
#[test]
fn a_whole_service_that_is_slow_is_nobodys_fault() {
    let all = JudgePlay { bad: (0..63).collect(), ..play(63, BadKind::Slow) };
    let half = JudgePlay { bad: (0..31).collect(), ..play(63, BadKind::Failing) };
    let failing = JudgePlay { bad: Vec::new(), fail_anyway: 14, ..play(63, BadKind::Failing) };

    assert_eq!(all.run(8).len(), 0);
    assert_eq!(failing.run(30).len(), 0);
    let mut aside = 0_usize;
    let mut changes: Vec<_> =
        half.run(8).into_values().flatten().map(|(ms, said)| (ms, said.is_some())).collect();
    changes.sort_unstable();
    for (_, is_aside) in changes {
        aside = if is_aside { aside + 1 } else { aside - 1 };
        assert!(aside <= 63 / 4, "{aside}");
    }
}

/// A process that was cut off from everybody comes back, and tells of the failures of all that time as if
/// they were new: sound endpoints are set aside for all. What could not be told within a second is
/// forgotten; what a report lost on the way told is told again.
#[test]
fn evidence_that_could_not_be_told_is_forgotten() {
    let mut board = EndpointBoard::default();
    let key = board.put(entry_of("i-0", "kopli"));
    let mut outbox = EvidenceBuffer::default();
    let at = |ms| ClockTime(START + ms);
    outbox.next(at(0));

    outbox.note(key, AnswerSample::Failed);
    assert_eq!(outbox.next(at(100)).get(&key).map(|tally| tally.failed), Some(1));
    assert_eq!(outbox.next(at(600)).get(&key).map(|tally| tally.failed), Some(1));
    outbox.note(key, AnswerSample::Failed);
    assert_eq!(outbox.next(at(1200)).get(&key).map(|tally| tally.failed), Some(1));
    outbox.confirm_report();
    assert!(outbox.next(at(1300)).is_empty());
}

/// A mute endpoint shows only once its callers give up, after seconds. Its answer counts as overdue before,
/// and once.
#[test]
fn an_overdue_answer_counts_once() {
    let mut board = EndpointBoard::default();
    let key = board.put(entry_of("i-0", "kopli"));
    let mut outbox = EvidenceBuffer::default();
    let at = |ms| ClockTime(START + ms);
    let ticket = outbox.wait(key, at(500));

    assert!(outbox.next(at(400)).is_empty());
    assert_eq!(outbox.next(at(600)).get(&key).map(|tally| tally.failed), Some(1));
    outbox.confirm_report();
    outbox.settle(ticket, Some(AnswerSample::Failed));
    assert!(outbox.next(at(700)).is_empty());
}

/// One report with a count that cannot be true sets a sound endpoint aside for all. It is not believed.
#[test]
fn impossible_evidence_is_not_believed() {
    let honest = EvidenceTally { came: 3, failed: 1, slowness: 0.5 };
    let impossible = [
        EvidenceTally { failed: 60_000, ..honest },
        EvidenceTally { came: 60_000, ..honest },
        EvidenceTally { slowness: f32::NAN, ..honest },
        EvidenceTally { slowness: 1e9, ..honest },
    ];

    assert!(honest.is_possible());
    assert!(impossible.iter().all(|tally| !tally.is_possible()));
}

#[test]
fn never_more_than_a_quarter_is_set_aside() {
    arbtest(|u| {
        let now = ClockTime(START);
        let mut book = EvidenceBook::default();
        let count = u.int_in_range(1..=40_usize)?;
        for at in 0..count {
            let (came, failed) = (u.int_in_range(0..=50_u16)?, u.int_in_range(0..=50_u16)?);
            let slowness = f32::from(came) * u.int_in_range(-4..=4_i8)? as f32;
            book.note(at, EvidenceTally { came, failed, slowness }, now);
        }
        let known = |at| ServiceEvidence { endpoint: at, sum: book.sum(&at, now), before: None };
        let known: Vec<_> = (0..count).map(known).collect();

        let aside = judge_service(&known);

        assert!(aside.len() <= (count / 4).max(usize::from(count >= 3)), "{aside:?} of {count}");
        Ok(())
    })
    .size_min(256);
}

fn evidence(instance: &str, life: u64, failed: u16) -> EndpointEvidence {
    let tally = EvidenceTally { came: 3, failed, slowness: 0.0 };
    EndpointEvidence { instance: instance.into(), life: LifeMark::of(life), tally }
}

/// Sound endpoints of which one process after the other tells the same.
fn tell_of(rig: &mut CollectorRig, names: &[&str], failed: u16, now: ClockTime) -> usize {
    let reporters = ["front-1", "front-2", "front-3"];
    let told = reporters.iter().map(|reporter| {
        let evidence = names.iter().map(|name| evidence(name, 1, failed)).collect();
        let report = NodeReport { evidence, ..report(reporter) };
        let known = |(instance, life): &EndpointLife| {
            instance.as_str().starts_with("i-") && *life == LifeMark::of(1)
        };
        let left_out = rig.collector.note_evidence(&report, known, now);
        rig.take(report, now);
        left_out
    });
    told.sum()
}

fn four_endpoints() -> [Vec<EndpointLife>; 1] {
    [["i-0", "i-1", "i-2", "i-3"].map(|name| (name.into(), LifeMark::of(1))).to_vec()]
}

/// Callers of every process go on to a replica that fails, as each of them saw it fail once only. The
/// collector knows the sum; a report that is sent a second time, as its answer was lost, counts once, and
/// what is told of endpoints that nobody knows, or of another life, not at all.
#[test]
fn the_collector_tells_all_of_a_replica_that_fails() {
    let mut rig = rig();
    tell_of(&mut rig, &["i-0", "i-1", "i-2"], 0, NOW);
    let later = NOW + TimeSpan(300);
    let bad = vec![evidence("i-3", 1, 2), evidence("i-9", 2, 3), evidence("j-0", 1, 3)];
    let wall = TRUE_NOW + TimeSpan(300);
    let knows = |(instance, life): &EndpointLife| {
        instance.as_str().starts_with("i-") && *life == LifeMark::of(1)
    };
    let again = NodeReport { wall, evidence: bad, ..report("front-1") };
    assert_eq!(rig.collector.note_evidence(&again, knows, later), 2);
    rig.take(again.clone(), later);
    assert_eq!(rig.collector.note_evidence(&again, knows, later), 0);
    assert_eq!(rig.collector.judge(&four_endpoints(), later), []);

    for name in ["front-2", "front-3"] {
        let report = NodeReport { evidence: vec![evidence("i-3", 1, 4)], wall, ..report(name) };
        rig.collector.note_evidence(&report, knows, later);
        rig.take(report, later);
    }
    let changes = rig.collector.judge(&four_endpoints(), later);

    assert_eq!(changes.len(), 1);
    assert_eq!(changes[0].bad_trait, Some(BadTrait::Failing));
    let told = rig.take(report("front-2"), later).verdicts;
    assert_eq!(told.len(), 1);
    assert_eq!(told[0].instance, "i-3".into());

    // The next collector goes on from what it was told, and not for good.
    let next = MeshCollector::begin(later).with_verdicts(told.into_iter());
    rig.collector = next;
    assert_eq!(rig.collector.judge(&four_endpoints(), later + TimeSpan(1000)), []);
    assert_eq!(rig.take(report("front-2"), later + TimeSpan(1000)).verdicts.len(), 1);
    assert_eq!(rig.collector.judge(&four_endpoints(), later + TimeSpan(6000)).len(), 1);
}

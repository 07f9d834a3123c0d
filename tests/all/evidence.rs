//! Detection of bad endpoints from the observations of many processes, in virtual time.

use crate::mesh::{CollectorRig, NOW, TRUE_NOW, report, rig};
use crate::place::entry_of;
use arbtest::arbtest;
use oleandertack::front::evidence::EvidenceBuffer;
use oleandertack::judge::{
    AnswerSample, BadTrait, EvidenceAggregate, EvidenceTally, ServiceEvidence, judge_service,
};
use oleandertack::kind::hash::mix_bits;
use oleandertack::kind::{ClockTime, TimeSpan};
use oleandertack::mesh::{
    EndpointEvidence, EndpointIncarnation, IncarnationTag, MeshCollector, NodeReport,
    OutlierDetector,
};
use oleandertack::place::EndpointBoard;
use std::collections::{BTreeMap, BTreeSet};

const START: u64 = 1_000_000;
/// Report interval of a process.
const REPORT_MS: u64 = 250;
/// Shortest and longest answer time of a sound endpoint.
const SOUND_MS: (u64, u64) = (40, 160);
/// Time after which a missing answer is overdue.
const OVERDUE_MS: u64 = 1000;
const EXPECTED: TimeSpan = TimeSpan(90);

/// The fault of the bad endpoints.
#[derive(Clone, Copy, PartialEq)]
enum EndpointFault {
    /// They take five times as long.
    Slow,
    /// They fail half of their requests at once.
    Failing,
    /// They leave half of their requests unanswered.
    Mute,
    /// They fail all requests for a second, then none for a second, alternately.
    Flapping,
}

/// A simulation of endpoints, processes and callers.
struct OutlierSimulation {
    endpoints: usize,
    processes: usize,
    requests_per_s: u64,
    bad: Vec<usize>,
    kind: EndpointFault,
    /// When the bad endpoints recover.
    recovered_ms: u64,
    /// Percentage of requests that fail at every endpoint.
    base_failure_percent: u64,
}

/// A tenth of `endpoints` are bad; ten requests a second for each endpoint.
fn simulation(endpoints: usize, kind: EndpointFault) -> OutlierSimulation {
    OutlierSimulation {
        endpoints,
        processes: 3 * endpoints,
        requests_per_s: 10 * endpoints as u64,
        bad: (0..(endpoints / 10).max(1)).collect(),
        kind,
        recovered_ms: u64::MAX,
        base_failure_percent: 0,
    }
}

/// The verdicts on each endpoint by time; `None` clears it.
type VerdictTimes = BTreeMap<usize, Vec<(u64, Option<BadTrait>)>>;

impl OutlierSimulation {
    fn is_bad(&self, at: usize, ms: u64) -> bool {
        self.bad.contains(&at) && ms < self.recovered_ms
    }

    /// When the first part of the answer to a request sent at `ms` arrives, and its result.
    fn answer(&self, at: usize, ms: u64, random: u64) -> (u64, AnswerSample) {
        let sound = SOUND_MS.0 + random % (SOUND_MS.1 - SOUND_MS.0);
        let came = |took| (took, AnswerSample::Came { took: TimeSpan(took), expected: EXPECTED });
        if (random >> 16) % 100 < self.base_failure_percent {
            return (sound, AnswerSample::Failed);
        }
        if !self.is_bad(at, ms) {
            return came(sound);
        }
        let half = (random >> 32).is_multiple_of(2);
        match self.kind {
            EndpointFault::Slow => came(5 * sound),
            EndpointFault::Failing if half => (5, AnswerSample::Failed),
            EndpointFault::Mute if half => (OVERDUE_MS, AnswerSample::Overdue),
            EndpointFault::Flapping if (ms / 1000).is_multiple_of(2) => (5, AnswerSample::Failed),
            EndpointFault::Failing | EndpointFault::Mute | EndpointFault::Flapping => came(sound),
        }
    }

    /// Simulates `seconds`; an endpoint that is set aside gets one request in two seconds.
    fn run(&self, seconds: u64) -> VerdictTimes {
        let name = |at: usize| (format!("i-{at}").as_str().into(), IncarnationTag::default());
        let names: Vec<EndpointIncarnation> = (0..self.endpoints).map(name).collect();
        let services = [names.clone()];
        let mut judge = OutlierDetector::default();
        let mut set_aside: BTreeSet<usize> = BTreeSet::new();
        let mut times = VerdictTimes::new();
        let mut in_flight: BTreeMap<u64, Vec<(usize, AnswerSample)>> = BTreeMap::new();
        let mut random = 7_u64;
        let mut draw = |most: u64| {
            random = mix_bits(random.wrapping_add(1));
            random % most
        };
        for ms in 0..seconds * 1000 {
            if draw(1000) < self.requests_per_s % 1000 {
                self.ask(&set_aside, ms, &mut draw, &mut in_flight);
            }
            for _ in 0..self.requests_per_s / 1000 {
                self.ask(&set_aside, ms, &mut draw, &mut in_flight);
            }
            let now = ClockTime(START + ms);
            for (at, sample) in in_flight.remove(&ms).unwrap_or_default() {
                let mut tally = EvidenceTally::default();
                tally.note(sample);
                judge.note_tally(names[at].clone(), tally, now);
            }
            if judge.is_due(now) {
                for change in judge.judge(&services, now) {
                    let at = names.iter().position(|name| *name == change.endpoint).expect("known");
                    times.entry(at).or_default().push((ms, change.bad_trait));
                    match change.bad_trait {
                        Some(_) => set_aside.insert(at),
                        None => set_aside.remove(&at),
                    };
                }
            }
        }
        times
    }

    fn ask(
        &self,
        set_aside: &BTreeSet<usize>,
        ms: u64,
        draw: &mut impl FnMut(u64) -> u64,
        in_flight: &mut BTreeMap<u64, Vec<(usize, AnswerSample)>>,
    ) {
        let at = draw(self.endpoints as u64) as usize;
        // One in twenty of ten requests a second.
        if set_aside.contains(&at) && draw(20) != 0 {
            return;
        }
        let process = draw(self.processes as u64);
        let (took, sample) = self.answer(at, ms, draw(u64::MAX));
        let reported = (ms + took).next_multiple_of(REPORT_MS) + process % REPORT_MS;
        in_flight.entry(reported).or_default().push((at, sample));
    }

    /// When nine in ten of the bad endpoints were set aside.
    fn found(&self, verdicts: &VerdictTimes) -> u64 {
        let first = |at: &usize| verdicts.get(at).map_or(u64::MAX, |times| times[0].0);
        let mut found: Vec<u64> = self.bad.iter().map(first).collect();
        found.sort_unstable();
        found[(found.len() - 1) * 9 / 10]
    }

    /// Number of sound endpoints that were ever set aside.
    fn false_positives(&self, verdicts: &VerdictTimes) -> usize {
        verdicts.keys().filter(|at| !self.bad.contains(at)).count()
    }
}

/// Guards against slow replicas that stay in use: each of hundreds of processes sends one a request
/// once a minute and forgets the result within seconds. From the combined observations, slow
/// endpoints among 9, 63 and 300 are set aside within 2 s, failing and flapping ones within 1.8 s,
/// and mute ones within 2.8 s, one of which passes until an answer is overdue. The limit is 3 s,
/// thirty of their requests; mute ones may take longer, by the time until their first answers are
/// overdue and reported.
#[test]
fn bad_endpoints_are_found_from_combined_observations() {
    for endpoints in [9, 63, 300] {
        for (kind, limit) in [
            (EndpointFault::Slow, 3000),
            (EndpointFault::Failing, 3000),
            (EndpointFault::Mute, 5000),
            (EndpointFault::Flapping, 3000),
        ] {
            let simulation = simulation(endpoints, kind);

            let said = simulation.run(8);

            let found = simulation.found(&said);
            assert!(found <= limit, "{endpoints}: {found} ms");
            assert!(simulation.false_positives(&said) <= endpoints / 50, "{endpoints}: {said:?}");
        }
    }
}

/// Guards against a recovered endpoint that stays idle because it gets no requests. A few real
/// requests still go there, and ten seconds after it recovered it takes its full share.
#[test]
fn a_recovered_endpoint_takes_its_share_again() {
    let simulation =
        OutlierSimulation { recovered_ms: 6000, ..simulation(63, EndpointFault::Slow) };

    let said = simulation.run(30);

    for at in &simulation.bad {
        let (back, bad_trait) = said[at].last().copied().expect("found");
        assert_eq!(bad_trait, None, "{said:?}");
        assert!(back <= 16_000, "{back}");
    }
}

/// Half of a service's endpoints fail, or all of them are slow at once: no endpoint is worse than
/// the others, and setting many aside would move their load to the rest. At most a quarter are set
/// aside.
#[test]
fn a_uniformly_slow_service_has_no_outliers() {
    let all = OutlierSimulation { bad: (0..63).collect(), ..simulation(63, EndpointFault::Slow) };
    let half =
        OutlierSimulation { bad: (0..31).collect(), ..simulation(63, EndpointFault::Failing) };
    let failing = OutlierSimulation {
        bad: Vec::new(),
        base_failure_percent: 14,
        ..simulation(63, EndpointFault::Failing)
    };

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

/// Guards against a process that was isolated and then reports all failures of that time as if they
/// were new, so that sound endpoints are set aside. What could not be reported within a second is
/// dropped; what was in a lost report is sent again.
#[test]
fn unreported_evidence_expires() {
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

/// A mute endpoint shows only when its callers give up, after seconds. Its answer counts as overdue
/// before that, and only once.
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

/// Guards against a single report with implausible counts that would set a sound endpoint aside. It
/// is rejected.
#[test]
fn implausible_evidence_is_rejected() {
    let honest = EvidenceTally { came: 3, failed: 1, slowness: 0.5 };
    let impossible = [
        EvidenceTally { failed: 60_000, ..honest },
        EvidenceTally { came: 60_000, ..honest },
        EvidenceTally { slowness: f32::NAN, ..honest },
        EvidenceTally { slowness: 1e9, ..honest },
    ];

    assert!(honest.is_plausible());
    assert!(impossible.iter().all(|tally| !tally.is_plausible()));
}

#[test]
fn at_most_a_quarter_is_set_aside() {
    arbtest(|u| {
        let now = ClockTime(START);
        let mut book = EvidenceAggregate::default();
        let count = u.int_in_range(1..=40_usize)?;
        for at in 0..count {
            let (came, failed) = (u.int_in_range(0..=50_u16)?, u.int_in_range(0..=50_u16)?);
            let slowness = f32::from(came) * u.int_in_range(-4..=4_i8)? as f32;
            book.note(at, EvidenceTally { came, failed, slowness }, now);
        }
        let known = |at| ServiceEvidence { endpoint: at, sum: book.sum(&at, now), previous: None };
        let known: Vec<_> = (0..count).map(known).collect();

        let aside = judge_service(&known);

        assert!(aside.len() <= (count / 4).max(usize::from(count >= 3)), "{aside:?} of {count}");
        Ok(())
    })
    .size_min(256);
}

fn evidence(instance: &str, life: u64, failed: u16) -> EndpointEvidence {
    let tally = EvidenceTally { came: 3, failed, slowness: 0.0 };
    EndpointEvidence { instance: instance.into(), life: IncarnationTag::of(life), tally }
}

/// Reports the same observations of sound endpoints from several processes.
fn report_endpoints(rig: &mut CollectorRig, names: &[&str], failed: u16, now: ClockTime) -> usize {
    let reporters = ["front-1", "front-2", "front-3"];
    let told = reporters.iter().map(|reporter| {
        let evidence = names.iter().map(|name| evidence(name, 1, failed)).collect();
        let report = NodeReport { evidence, ..report(reporter) };
        let known = |(instance, life): &EndpointIncarnation| {
            instance.as_str().starts_with("i-") && *life == IncarnationTag::of(1)
        };
        let left_out = rig.collector.note_evidence(&report, known, now);
        rig.take(report, now);
        left_out
    });
    told.sum()
}

fn four_endpoints() -> [Vec<EndpointIncarnation>; 1] {
    [["i-0", "i-1", "i-2", "i-3"].map(|name| (name.into(), IncarnationTag::of(1))).to_vec()]
}

/// Callers of every process keep using a failing replica if each process saw it fail only once. The
/// collector knows the sum. A report that is sent again because its answer was lost counts once,
/// and observations of unknown endpoints or of another incarnation do not count.
#[test]
fn the_collector_announces_a_failing_replica() {
    let mut rig = rig();
    report_endpoints(&mut rig, &["i-0", "i-1", "i-2"], 0, NOW);
    let later = NOW + TimeSpan(300);
    let bad = vec![evidence("i-3", 1, 2), evidence("i-9", 2, 3), evidence("j-0", 1, 3)];
    let wall = TRUE_NOW + TimeSpan(300);
    let knows = |(instance, life): &EndpointIncarnation| {
        instance.as_str().starts_with("i-") && *life == IncarnationTag::of(1)
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

    // The next collector starts with the verdicts that it was told, and drops them later.
    let next = MeshCollector::begin(later).with_verdicts(told.into_iter());
    rig.collector = next;
    assert_eq!(rig.collector.judge(&four_endpoints(), later + TimeSpan(1000)), []);
    assert_eq!(rig.take(report("front-2"), later + TimeSpan(1000)).verdicts.len(), 1);
    assert_eq!(rig.collector.judge(&four_endpoints(), later + TimeSpan(6000)).len(), 1);
}

/// An answer that is overdue says nothing about its endpoint while this process hears from none of the
/// service, because its own path may be the cause.
#[test]
fn overdue_answers_count_once_another_endpoint_is_heard() {
    let mut board = EndpointBoard::default();
    let key = board.put(entry_of("i-0", "kopli"));
    let mut outbox = EvidenceBuffer::default();
    let at = |ms| ClockTime(START + ms);
    outbox.track_on_route(key, None, (at(0), at(200)));

    assert!(outbox.next_heard(at(400), |_, _| false).is_empty());
    let seen = outbox.next_heard(at(700), |_, sent_at| sent_at == at(0));

    assert!(seen.contains_key(&key));
}

/// What a process observed of endpoints that it may not have reached is withdrawn, and nothing else.
#[test]
fn evidence_about_one_service_is_discarded_alone() {
    let mut board = EndpointBoard::default();
    let [lost, other] = ["i-0", "i-1"].map(|name| board.put(entry_of(name, "kopli")));
    let mut outbox = EvidenceBuffer::default();
    let at = |ms| ClockTime(START + ms);
    outbox.note(lost, AnswerSample::Failed);
    outbox.note(other, AnswerSample::Failed);
    outbox.wait(lost, at(100));

    outbox.discard_of(|key| key == lost);

    let seen = outbox.next(at(400));
    assert_eq!((seen.contains_key(&lost), seen.contains_key(&other)), (false, true));
}

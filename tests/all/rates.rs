//! Rates of limited endpoints over many processes, as pure plays: reports that are lost, collectors that change, cuts.

use crate::seeds::seeds;
use arbtest::arbtest;
use oleandertack::kind::{ClockTime, InstanceId, RequestRate, ServiceName, TimeSpan};
use oleandertack::limit::pool::ALLOT_TIME;
use oleandertack::limit::{RateBucket, RateDesk, RateKey, RatedEndpoint, own_part};

const STEP: TimeSpan = TimeSpan(10);
const REPORT_PERIOD: u64 = 250;
const START: u64 = 1_000_000;
/// The operators count over this time, in milliseconds.
const COUNTED: u64 = 4000;

/// A safeguard that a play does without.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RateSafeguard {
    /// A side of a cut hands out the part of its own processes.
    Part,
    /// A lease ends.
    End,
    /// Few processes hold a rate.
    FewHolders,
}

/// What a play does with its processes.
#[derive(Clone, Copy, Debug)]
struct RatePlan {
    processes: usize,
    per_s: f64,
    /// Reports and answers that are lost, in thousandths.
    lost: u64,
    /// Requests for the endpoint's service at each process, a second.
    asked_per_s: f64,
    /// Between two ends of a collector, in milliseconds; 0 for none. The next one begins without a word.
    collector_lasts: u64,
    /// Whether half of the processes report to a collector of their own from the fourth to the twelfth second.
    cut: bool,
    without: Option<RateSafeguard>,
}

const CALM: RatePlan = RatePlan {
    processes: 9,
    per_s: 2.8,
    lost: 0,
    asked_per_s: 20.0,
    collector_lasts: 0,
    cut: false,
    without: None,
};

/// Sends at the endpoint, in milliseconds since the start.
fn sends(plan: RatePlan, lasts: u64, mut draw: impl FnMut(u64) -> u64) -> Vec<u64> {
    let service = ServiceName::from("s");
    let names: Vec<InstanceId> =
        (0..plan.processes).map(|at| format!("front-{at}").as_str().into()).collect();
    let key = RateKey::of(&"p-0".into(), 7);
    let rate = RequestRate::per_second(plan.per_s);
    let mut buckets = vec![RateBucket::default(); plan.processes];
    let mut desks = [RateDesk::default(), RateDesk::default()];
    let mut asked_at = vec![0; plan.processes];
    let mut sent = Vec::new();
    for ms in (0..lasts).step_by(STEP.0 as usize) {
        let now = ClockTime(START + ms);
        if plan.collector_lasts > 0 && ms % plan.collector_lasts == 0 {
            desks = [RateDesk::default(), RateDesk::default()];
        }
        let is_cut = plan.cut && (4000..12_000).contains(&ms);
        for (at, name) in names.iter().enumerate() {
            let reports = (ms + at as u64 * 37) % REPORT_PERIOD < STEP.0;
            if reports && draw(1000) >= plan.lost {
                let desk = &mut desks[usize::from(is_cut && at % 2 == 1)];
                desk.note_member(name, [&service].into_iter(), now);
                let endpoint = RatedEndpoint { key, service: &service, rate };
                let here = if is_cut { plan.processes.div_ceil(2) } else { plan.processes };
                let lacks_part = plan.without == Some(RateSafeguard::Part);
                let serving = if lacks_part { here } else { plan.processes };
                let lease = match plan.without {
                    Some(RateSafeguard::FewHolders) => Some(plan.per_s / plan.processes as f64),
                    _ => desk.lease(name, endpoint, (desk.part(serving as u32, now), now)),
                };
                let is_answered = draw(1000) >= plan.lost;
                if is_answered && desk.hands_out(now) {
                    asked_at[at] = ms;
                }
                if let Some(per_s) = lease.filter(|_| is_answered) {
                    buckets[at].renew(per_s, (now, now));
                }
            }
            let is_left = ms >= asked_at[at] + ALLOT_TIME.0;
            if is_left
                && ms % REPORT_PERIOD == 0
                && let Some(per_s) = own_part(rate, plan.processes as u32)
            {
                buckets[at].renew(per_s, (now, now));
            }
            if plan.without == Some(RateSafeguard::End)
                && let Some(per_s) = buckets[at].per_s(now).filter(|per_s| *per_s > 0.0)
            {
                buckets[at].renew(per_s, (now, now));
            }
            let asks = (draw(100_000) as f64) < plan.asked_per_s * STEP.0 as f64 * 100.0;
            if asks && buckets[at].take(now) {
                sent.push(ms);
            }
        }
    }
    sent
}

fn most_in_window(sent: &[u64]) -> usize {
    let count = |(at, first): (usize, &u64)| {
        sent[at..].iter().take_while(|ms| **ms < first + COUNTED).count()
    };
    sent.iter().enumerate().map(count).max().unwrap_or_default()
}

fn seeded(mut state: u64) -> impl FnMut(u64) -> u64 {
    move |below| {
        state = oleandertack::kind::hash::mix_bits(state);
        state % below
    }
}

/// An endpoint gets more than it takes, or much less, because of the number of processes that share its rate.
#[test]
fn a_rate_is_kept_and_used_at_nine_sixty_and_more_processes() {
    for processes in [9, 60, 195] {
        for seed in seeds(5) {
            let per_s = [0.3, 1.0, 2.8, 10.0, 50.0][seed as usize % 5];
            let plan = RatePlan { processes, per_s, ..CALM };

            let sent = sends(plan, 60_000, seeded(seed + 1));

            let most = most_in_window(&sent) as f64;
            assert!(most <= 4.0 * per_s + 2.0, "{plan:?}: {most}");
            let used = sent.iter().filter(|ms| **ms > 8000).count() as f64 / 52.0;
            let offered = 0.9 * plan.asked_per_s * 9.0;
            assert!(used >= (0.8 * per_s).min(offered), "{plan:?}: {used}");
        }
    }
}

/// An endpoint gets more than the operators allow: reports and answers are lost, collectors end without a word, and the
/// processes are cut in two.
#[test]
fn a_rate_holds_whatever_is_lost_and_whoever_collects() {
    arbtest(|u| {
        let plan = RatePlan {
            processes: u.int_in_range(1..=40)?,
            per_s: f64::from(u.int_in_range(3_u32..=500)?) / 10.0,
            lost: u.int_in_range(0..=600)?,
            asked_per_s: f64::from(u.int_in_range(1_u32..=30)?),
            collector_lasts: u.int_in_range(0..=5)? * 1500,
            cut: u.arbitrary()?,
            without: None,
        };
        let seed: u64 = u.arbitrary()?;

        let sent = sends(plan, 20_000, seeded(seed));

        let most = most_in_window(&sent) as f64;
        let allowed = 1.5 * 4.0 * plan.per_s + 5.0;
        assert!(most <= allowed, "{plan:?} seed {seed}: {most} of {allowed}");
        Ok(())
    });
}

/// The same at a low rate: holders change while half of the reports are lost, in a cut, and each brings a request of its own.
#[test]
fn a_low_rate_holds_while_its_holders_change() {
    let plan = RatePlan {
        processes: 23,
        per_s: 0.4,
        lost: 517,
        asked_per_s: 17.0,
        collector_lasts: 7500,
        cut: true,
        without: None,
    };

    let sent = sends(plan, 20_000, seeded(18_273_252_276_814_811_764));

    assert!(most_in_window(&sent) <= 7, "{}", most_in_window(&sent));
}

/// A safeguard is taken out, and no play shows what it is for.
#[test]
fn a_rate_is_passed_without_any_one_of_its_safeguards() {
    let passes = |plan: RatePlan| {
        let most = most_in_window(&sends(plan, 60_000, seeded(9))) as f64;
        most > 1.5 * 4.0 * plan.per_s + 5.0
    };
    let cut = RatePlan { processes: 40, per_s: 20.0, cut: true, ..CALM };
    let losing = RatePlan { processes: 100, lost: 300, ..cut };
    let large = RatePlan { processes: 195, ..CALM };
    let off = |plan, safeguard| RatePlan { without: Some(safeguard), ..plan };

    assert!(!passes(cut) && passes(off(cut, RateSafeguard::Part)));
    assert!(!passes(losing) && passes(off(losing, RateSafeguard::End)));
    assert!(!passes(large) && passes(off(large, RateSafeguard::FewHolders)));
}

/// An endpoint gets what was gained while it was not asked, all at once, from a process whose lease ended meanwhile.
#[test]
fn nothing_is_gained_without_a_lease() {
    let at = |ms| ClockTime(START + ms);
    let mut bucket = RateBucket::default();
    bucket.renew(2.0, (at(0), at(0)));

    assert!(!bucket.is_ready(at(240)) && bucket.take(at(260)), "half of one comes first");
    bucket.renew(2.0, (at(400), at(400)));
    assert!(bucket.is_ready(at(770)) && !bucket.is_ready(at(1001)), "the lease has ended");
    bucket.renew(2.0, (at(5000), at(5000)));
    assert!(bucket.take(at(5000)), "what was gained by the lease stays");
    assert!(!bucket.is_ready(at(5250)) && bucket.is_ready(at(5310)));
}

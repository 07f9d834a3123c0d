//! Request rates of limited endpoints across many processes, simulated with report loss, changes of
//! the collector and network partitions.

use crate::seeds::seeds;
use arbtest::arbtest;
use oleandertack::kind::{ClockTime, InstanceId, RequestRate, ServiceName, TimeSpan};
use oleandertack::limit::pool::ALLOTMENT_LIFETIME;
use oleandertack::limit::{LimitedEndpoint, RateAllocator, RateBucket, RateKey, own_share};

const STEP: TimeSpan = TimeSpan(10);
const REPORT_PERIOD: u64 = 250;
const START: u64 = 1_000_000;
/// The window over which operators count.
const COUNTED_MS: u64 = 4000;

/// A mechanism that a simulation disables to show that it is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RateSafeguard {
    /// Each side of a partition allocates only the part of its own processes.
    Part,
    /// A lease expires.
    End,
    /// Only a few processes hold leases on a rate.
    FewHolders,
}

/// The parameters of a simulation.
#[derive(Clone, Copy, Debug)]
struct RatePlan {
    processes: usize,
    per_s: f64,
    /// Reports and answers that are lost, in thousandths.
    lost: u64,
    /// Requests for the endpoint's service at each process, a second.
    asked_per_s: f64,
    /// Milliseconds between two crashes of the collector; 0 for none. The next collector starts
    /// without any state.
    collector_lasts: u64,
    /// Whether half of the processes report to a collector of their own from the fourth to the
    /// twelfth second.
    cut: bool,
    disabled: Option<RateSafeguard>,
}

const CALM: RatePlan = RatePlan {
    processes: 9,
    per_s: 2.8,
    lost: 0,
    asked_per_s: 20.0,
    collector_lasts: 0,
    cut: false,
    disabled: None,
};

/// The times at which requests are sent to the endpoint, in milliseconds since the start.
fn sends(plan: RatePlan, lasts: u64, mut draw: impl FnMut(u64) -> u64) -> Vec<u64> {
    let service = ServiceName::from("s");
    let names: Vec<InstanceId> =
        (0..plan.processes).map(|at| format!("front-{at}").as_str().into()).collect();
    let key = RateKey::of(&"p-0".into(), 7);
    let rate = RequestRate::per_second(plan.per_s);
    let mut buckets = vec![RateBucket::default(); plan.processes];
    let mut desks = [RateAllocator::default(), RateAllocator::default()];
    let mut asked_at = vec![0; plan.processes];
    let mut sent = Vec::new();
    for ms in (0..lasts).step_by(STEP.0 as usize) {
        let now = ClockTime(START + ms);
        if plan.collector_lasts > 0 && ms % plan.collector_lasts == 0 {
            desks = [RateAllocator::default(), RateAllocator::default()];
        }
        let is_cut = plan.cut && (4000..12_000).contains(&ms);
        for (at, name) in names.iter().enumerate() {
            let reports = (ms + at as u64 * 37) % REPORT_PERIOD < STEP.0;
            if reports && draw(1000) >= plan.lost {
                let desk = &mut desks[usize::from(is_cut && at % 2 == 1)];
                desk.note_member(name, [&service].into_iter(), now);
                let endpoint = LimitedEndpoint { key, service: &service, rate };
                let here = if is_cut { plan.processes.div_ceil(2) } else { plan.processes };
                let lacks_part = plan.disabled == Some(RateSafeguard::Part);
                let serving = if lacks_part { here } else { plan.processes };
                let lease = match plan.disabled {
                    Some(RateSafeguard::FewHolders) => Some(plan.per_s / plan.processes as f64),
                    _ => desk.lease(name, endpoint, (desk.part(serving as u32, now), now)),
                };
                let is_answered = draw(1000) >= plan.lost;
                if is_answered && desk.grants_leases(now) {
                    asked_at[at] = ms;
                }
                if let Some(per_s) = lease.filter(|_| is_answered) {
                    buckets[at].renew(per_s, (now, now));
                }
            }
            let is_left = ms >= asked_at[at] + ALLOTMENT_LIFETIME.0;
            if is_left
                && ms % REPORT_PERIOD == 0
                && let Some(per_s) = own_share(rate, plan.processes as u32)
            {
                buckets[at].renew(per_s, (now, now));
            }
            if plan.disabled == Some(RateSafeguard::End)
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
        sent[at..].iter().take_while(|ms| **ms < first + COUNTED_MS).count()
    };
    sent.iter().enumerate().map(count).max().unwrap_or_default()
}

fn seeded(mut state: u64) -> impl FnMut(u64) -> u64 {
    move |below| {
        state = oleandertack::kind::hash::mix_bits(state);
        state % below
    }
}

/// An endpoint receives more than it accepts, or much less, depending on the number of processes
/// that share its rate.
#[test]
fn a_rate_is_kept_and_used_whatever_the_process_count() {
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

/// An endpoint receives more than operators allow when reports and answers are lost, collectors
/// crash, and the network is partitioned.
#[test]
fn a_rate_holds_under_message_loss_and_collector_changes() {
    arbtest(|u| {
        let plan = RatePlan {
            processes: u.int_in_range(1..=40)?,
            per_s: f64::from(u.int_in_range(3_u32..=500)?) / 10.0,
            lost: u.int_in_range(0..=600)?,
            asked_per_s: f64::from(u.int_in_range(1_u32..=30)?),
            collector_lasts: u.int_in_range(0..=5)? * 1500,
            cut: u.arbitrary()?,
            disabled: None,
        };
        let seed: u64 = u.arbitrary()?;

        let sent = sends(plan, 20_000, seeded(seed));

        let most = most_in_window(&sent) as f64;
        let allowed = 1.5 * 4.0 * plan.per_s + 5.0;
        assert!(most <= allowed, "{plan:?} seed {seed}: {most} of {allowed}");
        Ok(())
    });
}

/// The same at a low rate: lease holders change during a partition while half of the reports are
/// lost, and each new holder adds a request of its own.
#[test]
fn a_low_rate_holds_while_lease_holders_change() {
    let plan = RatePlan {
        processes: 23,
        per_s: 0.4,
        lost: 517,
        asked_per_s: 17.0,
        collector_lasts: 7500,
        cut: true,
        disabled: None,
    };

    let sent = sends(plan, 20_000, seeded(18_273_252_276_814_811_764));

    assert!(most_in_window(&sent) <= 7, "{}", most_in_window(&sent));
}

/// A mechanism can be disabled without any simulation showing what it is for.
#[test]
fn a_rate_is_exceeded_without_any_one_of_its_safeguards() {
    let passes = |plan: RatePlan| {
        let most = most_in_window(&sends(plan, 60_000, seeded(9))) as f64;
        most > 1.5 * 4.0 * plan.per_s + 5.0
    };
    let cut = RatePlan { processes: 40, per_s: 20.0, cut: true, ..CALM };
    let losing = RatePlan { processes: 100, lost: 300, ..cut };
    let large = RatePlan { processes: 195, ..CALM };
    let off = |plan, safeguard| RatePlan { disabled: Some(safeguard), ..plan };

    assert!(!passes(cut) && passes(off(cut, RateSafeguard::Part)));
    assert!(!passes(losing) && passes(off(losing, RateSafeguard::End)));
    assert!(!passes(large) && passes(off(large, RateSafeguard::FewHolders)));
}

/// A process whose lease expired sends in one burst what accumulated while the endpoint was not in
/// use.
#[test]
fn a_bucket_fills_only_while_its_lease_is_valid() {
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

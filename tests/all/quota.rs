//! Account limits under random sequences of changes in demand, processes and ledgers.

use crate::pool::{MIXED_SIZES, PoolGroup, RATE, Safeguard, allowed, group};
use arbtest::arbitrary::{self, Unstructured};
use oleandertack::kind::hash::mix_bits;

const PROCESSES: usize = 6;

/// A change between two phases of demand.
#[derive(Clone, Copy, Debug)]
enum QuotaEvent {
    Nothing,
    HandOver,
    KillLedger,
    ChangeLedger,
    Isolate,
    Heal,
    Split,
    Join,
    RestartAll,
    StopStore,
    StartStore,
}

const EVENTS: [QuotaEvent; 11] = [
    QuotaEvent::Nothing,
    QuotaEvent::HandOver,
    QuotaEvent::KillLedger,
    QuotaEvent::ChangeLedger,
    QuotaEvent::Isolate,
    QuotaEvent::Heal,
    QuotaEvent::Split,
    QuotaEvent::Join,
    QuotaEvent::RestartAll,
    QuotaEvent::StopStore,
    QuotaEvent::StartStore,
];

/// A random subset of the processes.
fn some(random: &mut Unstructured<'_>) -> arbitrary::Result<Vec<usize>> {
    let mask: u8 = random.int_in_range(1..=(1 << (PROCESSES - 1)) - 1)?;
    Ok((0..PROCESSES).filter(|at| mask & (1 << at) != 0).collect())
}

fn apply(
    group: &mut PoolGroup,
    change: QuotaEvent,
    random: &mut Unstructured<'_>,
) -> arbitrary::Result<()> {
    match change {
        QuotaEvent::Nothing => {}
        QuotaEvent::HandOver => group.hand_over(),
        QuotaEvent::KillLedger => group.kill_ledger(0, 1),
        QuotaEvent::ChangeLedger => group.change_ledger(),
        QuotaEvent::Isolate => group.cut_off(some(random)?),
        QuotaEvent::Heal => group.cut_off(Vec::new()),
        QuotaEvent::Split => group.split(some(random)?),
        QuotaEvent::Join => group.join(),
        QuotaEvent::RestartAll => {
            group.power_off(random.int_in_range(0..=2500)?);
            group.restart_all();
        }
        QuotaEvent::StopStore => group.store_answers = false,
        QuotaEvent::StartStore => group.store_answers = true,
    }
    Ok(())
}

/// Draws how long a phase between two changes lasts, in milliseconds.
type DrawPause = fn(&mut Unstructured<'_>) -> arbitrary::Result<u64>;

/// Runs a random scenario in which the demand reaches up to 30 times the rate. Returns the worst
/// window as a fraction of what is allowed, and a log of the events.
fn play_scenario(
    random: &mut Unstructured<'_>,
    pause: DrawPause,
) -> arbitrary::Result<(f64, Vec<String>)> {
    /// The demand after the last change, which uses what is free by then.
    const LAST_TIMES: f64 = 10.0;
    const LAST_MS: u64 = 3_000;
    let mut group = loaded_group(None);
    let mut log = Vec::new();
    for _ in 0..random.int_in_range(2..=8)? {
        let change = *random.choose(&EVENTS)?;
        let ms = pause(random)?;
        let times = f64::from(random.int_in_range(0..=30u32)?)
            / if random.arbitrary()? { 1.0 } else { 20.0 };
        apply(&mut group, change, random)?;
        group.play(ms, times);
        log.push(format!("{change:?}, {times} times for {ms} ms"));
    }
    group.play(LAST_MS, LAST_TIMES);
    Ok((worst_part(&group), log))
}

/// Runs the scenario that the seed determines; the same each time.
fn draw_scenario(seed: u64, pause: DrawPause) -> (f64, Vec<String>) {
    /// More bytes than a scenario consumes.
    const BYTES: u64 = 256;
    let bytes: Vec<u8> =
        (0..BYTES).map(|at| mix_bits(seed.wrapping_mul(BYTES).wrapping_add(at)) as u8).collect();
    play_scenario(&mut Unstructured::new(&bytes), pause).expect("the bytes are enough")
}

/// An account exceeds its limit after a change at a bad moment: a ledger is killed or handed over
/// during a spike, a partition leads to two ledgers, or all processes are killed while the store is
/// unavailable. What was granted before counts as spent, and each process belongs to one ledger at
/// a time, so no sequence of these changes grants the same part twice.
#[test]
fn no_sequence_of_membership_changes_exceeds_the_limit() {
    for seed in seeds() {
        let (worst, log) = draw_scenario(seed, |random| random.int_in_range(50..=3_000));
        assert!(worst <= 1.0, "seed {seed}: {worst:.3} of what is allowed: {log:#?}");
    }
}

/// The same with changes that follow one another faster than processes report, so that a ledger may end
/// before anybody claimed anything from it.
#[test]
fn no_sequence_of_hurried_changes_exceeds_the_limit() {
    for seed in seeds() {
        let (worst, log) = draw_scenario(seed, |random| random.choose(&[0, 0, 30, 1_500]).copied());
        assert!(worst <= 1.0, "seed {seed}: {worst:.3} of what is allowed: {log:#?}");
    }
}

/// The seeds to run: a few, or as many as `QUOTA_SEEDS` says.
fn seeds() -> std::ops::Range<u64> {
    const FEW: u64 = 200;
    let asked = std::env::var("QUOTA_SEEDS").ok().and_then(|text| text.parse().ok());
    0..asked.unwrap_or(FEW)
}

fn loaded_group(disabled: Option<Safeguard>) -> PoolGroup {
    let mut group = group(PROCESSES);
    group.sizes = MIXED_SIZES;
    group.disabled = disabled;
    group.store_answers = true;
    group.play(3_000, 0.5);
    group
}

fn worst_part(group: &PoolGroup) -> f64 {
    group.worst_window() as f64 / allowed(RATE) as f64
}

/// A ledger that does not count earlier grants as spent admits a whole window again after each
/// change.
#[test]
fn a_ledger_that_ignores_prior_spending_exceeds_the_limit() {
    let play = |disabled| {
        let mut group = loaded_group(disabled);
        group.play(3_000, 10.0);
        group.kill_ledger(0, 1);
        group.play(3_000, 10.0);
        worst_part(&group)
    };

    assert!(play(None) <= 1.0);
    assert!(play(Some(Safeguard::PriorSpending)) > 1.0);
}

/// An account exceeds its limit after a partition has healed: what some processes admitted under
/// another ledger is missing from the window of the one that they return to, which grants their
/// part again.
#[test]
fn a_process_that_changes_ledger_does_not_get_its_share_twice() {
    let play = |disabled| {
        let mut group = loaded_group(disabled);
        group.split(vec![1, 2, 3, 4]);
        group.play(9_000, 10.0);
        group.join();
        group.play(6_000, 10.0);
        worst_part(&group)
    };

    assert!(play(None) <= 1.0);
    assert!(play(Some(Safeguard::MembershipHandover)) > 1.0);
}

/// An account exceeds its limit when the store becomes unavailable during a spike and all processes
/// are killed right after: nobody knows what was granted since the last write.
#[test]
fn allotments_stay_within_the_stored_promise() {
    let play = |disabled| {
        let mut group = loaded_group(disabled);
        group.store_answers = false;
        group.play(1_900, 30.0);
        group.restart_all();
        group.play(8_000, 30.0);
        worst_part(&group)
    };

    assert!(play(None) <= 1.0);
    assert!(play(Some(Safeguard::StorePromise)) > 1.0);
}

//! Scenarios of the lease of the control work: who takes it, when, and with which token.

use oleandertack::kind::{ClockTime, TimeSpan};
use oleandertack::lease::{LeaseAction, LeaseKeeper, LeaseRecord, LeaseSaid};

const LASTS: TimeSpan = TimeSpan(4000);
const START: ClockTime = ClockTime(100_000);

fn record(holder: &str, incarnation: u64) -> LeaseRecord {
    LeaseRecord { holder: holder.into(), incarnation, fence: 3, renewals: 7 }
}

fn keeper(incarnation: u64) -> LeaseKeeper {
    LeaseKeeper::new("front-0".into(), incarnation, LASTS).inheriting()
}

/// The keeper after it read `held` at [`START`].
fn reader(mut keeper: LeaseKeeper, held: LeaseRecord) -> LeaseKeeper {
    assert_eq!(keeper.tick(START), LeaseAction::Read);
    keeper.said(LeaseSaid::Read(Some((5, held))), START);
    keeper
}

fn written(action: LeaseAction) -> Option<LeaseRecord> {
    match action {
        LeaseAction::Write { record, .. } => Some(record),
        _ => None,
    }
}

/// Every process is killed at once and started again. The holder of the lease collects again after
/// a second, finds the lease of its earlier life in the store and waits for its end. Meanwhile
/// nobody orders endpoints, and if the store falls silent then, nobody does until it is back.
/// The process must take over from its own earlier life at once, under a higher token.
#[test]
fn a_restarted_holder_does_not_wait_for_its_earlier_life() {
    let mut keeper = reader(keeper(20), record("front-0", 10));

    let action = keeper.tick(START + TimeSpan(1));

    let taken = written(action).expect("the lease is taken");
    assert_eq!((taken.incarnation, taken.fence), (20, 4));
}

#[test]
fn an_earlier_life_never_takes_the_lease_of_a_later_one() {
    let mut keeper = reader(keeper(20), record("front-0", 30));

    let action = keeper.tick(START + TimeSpan(1));

    assert_eq!(action, LeaseAction::Read);
    assert_eq!(keeper.fence(START, TimeSpan(0)), None);
}

#[test]
fn the_lease_of_another_process_is_waited_for_with_the_clocks_margin() {
    let mut keeper = reader(keeper(20), record("front-1", 10));

    let early = keeper.tick(START + LASTS);
    keeper.said(LeaseSaid::Read(Some((5, record("front-1", 10)))), START + LASTS);
    let late = keeper.tick(START + TimeSpan(LASTS.0 * 11 / 10 + 1000));

    assert_eq!(early, LeaseAction::Read);
    assert_eq!(written(late).map(|taken| taken.fence), Some(4));
}

/// Orders that carry no token may still arrive after their sender was killed. A keeper of such work
/// waits for the end of the lease even if it was its own.
#[test]
fn a_keeper_of_unfenced_work_waits_for_its_earlier_life() {
    let unfenced = LeaseKeeper::new("front-0".into(), 20, LASTS);
    let mut keeper = reader(unfenced, record("front-0", 10));

    let action = keeper.tick(START + TimeSpan(1));

    assert_eq!(action, LeaseAction::Read);
}

#[test]
fn what_the_holder_tells_saves_reading_and_older_news_changes_nothing() {
    let mut keeper = keeper(20);
    keeper.hear(9, record("front-1", 10), START);

    keeper.hear(8, record("front-2", 10), START + TimeSpan(1));

    assert_eq!(keeper.seen().map(|seen| seen.holder.as_str()), Some("front-1"));
    assert!(!matches!(keeper.tick(START + TimeSpan(2)), LeaseAction::Write { .. }));
}

#[test]
fn an_overdue_token_stands_for_its_grace_only() {
    let mut keeper = reader(keeper(20), LeaseRecord::default());
    let taken = written(keeper.tick(START)).expect("a free lease is taken");
    keeper.said(LeaseSaid::Written(6), START);
    let end = START + LASTS;

    let in_grace = keeper.overdue_fence(end + TimeSpan(99), TimeSpan(100));
    let after = keeper.overdue_fence(end + TimeSpan(100), TimeSpan(100));

    assert_eq!((in_grace, after), (Some(taken.fence), None));
    assert_eq!(keeper.fence(end, TimeSpan(0)), None);
}

/// The collecting process goes by what another told of the lease, and that is old: the lease has
/// changed hands since. Its write is refused. If it then goes by the same old news again, it writes
/// and is refused for as long as it lives: no usage is reported and nobody orders endpoints, and
/// callers are refused once reclaims have used up what there is. Only reading settles it.
#[test]
fn a_refused_write_is_settled_by_reading_and_not_by_old_news() {
    let mut keeper = keeper(20);
    keeper.hear(9, LeaseRecord::default(), START);
    assert!(written(keeper.tick(START)).is_some());
    keeper.said(LeaseSaid::Changed, START);

    keeper.hear(9, LeaseRecord::default(), START);
    let action = keeper.tick(START);

    assert_eq!(action, LeaseAction::Read);
}

#[test]
fn news_later_than_a_refused_write_saves_the_reading() {
    let mut keeper = keeper(20);
    keeper.hear(9, LeaseRecord::default(), START);
    assert!(written(keeper.tick(START)).is_some());
    keeper.said(LeaseSaid::Unknown, START);

    keeper.hear(10, LeaseRecord::default(), START);

    assert!(written(keeper.tick(START)).is_some());
}

/// The holder of the lease as it takes it at `now`, with the version that its write makes.
fn taken(keeper: &mut LeaseKeeper, version: u64, now: ClockTime) -> u64 {
    let record = written(keeper.tick(now)).expect("the lease is taken");
    keeper.said(LeaseSaid::Written(version), now);
    record.fence
}

/// Two processes act on one matter within a second, and the platform takes them for two holders at
/// once. The first gives the lease back, as another collects now; the second acts and leaves; the first
/// takes it again under a higher token and acts. It must wait until its own last act is a lease ago.
#[test]
fn a_holder_that_got_the_lease_back_does_not_act_right_after_another() {
    let mut keeper = reader(keeper(20), LeaseRecord::default());
    taken(&mut keeper, 6, START);
    assert!(keeper.act(START, TimeSpan(0)).is_some());
    let released = written(keeper.release(START)).expect("it is given back");
    keeper.said(LeaseSaid::Written(7), START);
    let second = LeaseRecord { fence: released.fence + 1, ..released };
    keeper.hear(8, second, START + TimeSpan(100));
    let back = START + TimeSpan(1400);
    let fence = taken(&mut keeper, 9, back);

    let early = keeper.act(START + LASTS - TimeSpan(1), TimeSpan(0));
    let late = keeper.act(START + LASTS, TimeSpan(0));

    assert_eq!((early, late), (None, Some(fence)));
}

/// The same over a restart: the earlier life acted, another process took the lease and gave it back
/// while this one started.
#[test]
fn a_restarted_process_does_not_act_right_after_another() {
    let given_back = LeaseRecord { holder: "".into(), ..record("front-1", 10) };
    let mut keeper = reader(keeper(20).begun(START), given_back);
    let fence = taken(&mut keeper, 6, START);

    let early = keeper.act(START + TimeSpan(100), TimeSpan(0));
    keeper.tick(START + TimeSpan(3000));
    keeper.said(LeaseSaid::Written(7), START + TimeSpan(3000));
    let late = keeper.act(START + LASTS, TimeSpan(0));

    assert_eq!((early, late), (None, Some(fence)));
}

/// Usage of a window is not told, and no endpoint is ordered for 3 s: a process that began long ago takes
/// the lease for the first time, and waits as if its life had begun then.
#[test]
fn a_process_that_began_long_ago_acts_at_once() {
    let given_back = LeaseRecord { holder: "".into(), ..record("front-1", 10) };
    let begun = ClockTime(START.0 - LASTS.0);
    let mut keeper = reader(keeper(20).begun(begun), given_back);
    let fence = taken(&mut keeper, 6, START);

    assert_eq!(keeper.act(START, TimeSpan(0)), Some(fence));
}

/// A process that goes on under the token it has, or that takes the lease of its own earlier life, acts
/// at once: nobody acted in between.
#[test]
fn a_holder_that_was_not_followed_by_another_acts_at_once() {
    let mut first = reader(keeper(20), LeaseRecord::default());
    let mut restarted = reader(keeper(20), record("front-0", 10));
    let at = START + TimeSpan(10);
    let fences = [taken(&mut first, 6, START), taken(&mut restarted, 6, START)];

    let acts = [&mut first, &mut restarted].map(|keeper| keeper.act(at, TimeSpan(0)));

    assert_eq!(acts, fences.map(Some));
}

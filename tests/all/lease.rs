//! Tests of the control-work lease: which process takes it, when, and with which token.

use arbtest::arbtest;
use oleandertack::kind::{ClockTime, StoreEra, TimeSpan};
use oleandertack::lease::{FormerCaller, LeaseAction, LeaseManager, LeaseRecord, LeaseReply};

const DURATION: TimeSpan = TimeSpan(4000);
const START: ClockTime = ClockTime(100_000);

fn record(holder: &str, incarnation: u64) -> LeaseRecord {
    LeaseRecord { holder: holder.into(), incarnation, fence: 3, renewals: 7, callers: None }
}

fn manager(incarnation: u64) -> LeaseManager {
    LeaseManager::new("front-0".into(), incarnation, DURATION).with_takeover()
}

/// The manager after it has read `held` at [`START`].
fn reader(mut manager: LeaseManager, held: LeaseRecord) -> LeaseManager {
    assert_eq!(manager.tick(START), LeaseAction::Read);
    manager.said(LeaseReply::Read(Some((5, held))), START);
    manager
}

fn written(action: LeaseAction) -> Option<LeaseRecord> {
    match action {
        LeaseAction::Write { record, .. } => Some(record),
        _ => None,
    }
}

/// After a restart of all processes the lease holder collects again within a second and finds the
/// lease of its earlier incarnation in the store. If it waited for the end of that lease, no
/// endpoints would be ordered meanwhile, nor during a store outage that begins then. It must take
/// over from its earlier incarnation at once, with a higher token.
#[test]
fn a_restarted_holder_does_not_wait_for_its_earlier_incarnation() {
    let mut manager = reader(manager(20), record("front-0", 10));

    let action = manager.tick(START + TimeSpan(1));

    let taken = written(action).expect("the lease is taken");
    assert_eq!((taken.incarnation, taken.fence), (20, 4));
}

#[test]
fn an_earlier_incarnation_never_takes_the_lease_of_a_later_one() {
    let mut manager = reader(manager(20), record("front-0", 30));

    let action = manager.tick(START + TimeSpan(1));

    assert_eq!(action, LeaseAction::Read);
    assert_eq!(manager.fence(START, TimeSpan(0)), None);
}

#[test]
fn the_lease_of_another_process_is_taken_after_its_duration_and_the_clock_margin() {
    let mut manager = reader(manager(20), record("front-1", 10));

    let early = manager.tick(START + DURATION);
    manager.said(LeaseReply::Read(Some((5, record("front-1", 10)))), START + DURATION);
    let late = manager.tick(START + TimeSpan(DURATION.0 * 11 / 10 + 1000));

    assert_eq!(early, LeaseAction::Read);
    assert_eq!(written(late).map(|taken| taken.fence), Some(4));
}

/// Unfenced orders may still arrive after their sender was killed. A manager of such work waits for
/// the end of the lease even if its own earlier incarnation held it.
#[test]
fn a_manager_of_unfenced_work_waits_for_its_earlier_incarnation() {
    let unfenced = LeaseManager::new("front-0".into(), 20, DURATION);
    let mut manager = reader(unfenced, record("front-0", 10));

    let action = manager.tick(START + TimeSpan(1));

    assert_eq!(action, LeaseAction::Read);
}

#[test]
fn a_notice_of_the_holder_saves_a_read_and_older_notices_are_ignored() {
    let mut manager = manager(20);
    manager.note_change(9, record("front-1", 10), START);

    manager.note_change(8, record("front-2", 10), START + TimeSpan(1));

    assert_eq!(manager.seen().map(|seen| seen.holder.as_str()), Some("front-1"));
    assert!(!matches!(manager.tick(START + TimeSpan(2)), LeaseAction::Write { .. }));
}

#[test]
fn an_overdue_token_is_valid_for_its_grace_only() {
    let mut manager = reader(manager(20), LeaseRecord::default());
    let taken = written(manager.tick(START)).expect("a free lease is taken");
    manager.said(LeaseReply::Written(6), START);
    let end = START + DURATION;

    let in_grace = manager.overdue_fence(end + TimeSpan(99), TimeSpan(100));
    let after = manager.overdue_fence(end + TimeSpan(100), TimeSpan(100));

    assert_eq!((in_grace, after), (Some(taken.fence), None));
    assert_eq!(manager.fence(end, TimeSpan(0)), None);
}

/// Guards against repeating a refused write forever: the collector uses a notice of the lease that
/// is older than a change of holder, and its write is refused. If it used the same notice again, no
/// usage would be reported and no endpoints ordered, and callers would be refused once reclaims
/// have used up the capacity. Only a read resolves this.
#[test]
fn a_refused_write_is_resolved_by_a_read_and_not_by_an_old_notice() {
    let mut manager = manager(20);
    manager.note_change(9, LeaseRecord::default(), START);
    assert!(written(manager.tick(START)).is_some());
    manager.said(LeaseReply::Changed, START);

    manager.note_change(9, LeaseRecord::default(), START);
    let action = manager.tick(START);

    assert_eq!(action, LeaseAction::Read);
}

#[test]
fn a_notice_newer_than_a_refused_write_saves_the_read() {
    let mut manager = manager(20);
    manager.note_change(9, LeaseRecord::default(), START);
    assert!(written(manager.tick(START)).is_some());
    manager.said(LeaseReply::Unknown, START);

    manager.note_change(10, LeaseRecord::default(), START);

    assert!(written(manager.tick(START)).is_some());
}

/// Takes the lease at `now` with a write that makes `version`; returns the fencing token.
fn taken(manager: &mut LeaseManager, version: u64, now: ClockTime) -> u64 {
    let record = written(manager.tick(now)).expect("the lease is taken");
    manager.said(LeaseReply::Written(version), now);
    record.fence
}

/// Guards against two processes making calls on the same matter within a second, which the platform
/// takes for two simultaneous holders. The first releases the lease because another process
/// collects, the second makes a call and leaves, and the first takes the lease again with a higher
/// token. It must make no call until its own last one is a lease duration ago.
#[test]
fn a_holder_that_got_the_lease_back_makes_no_call_right_after_another() {
    let mut manager = reader(manager(20), LeaseRecord::default());
    taken(&mut manager, 6, START);
    assert!(manager.fence_for_call(START, TimeSpan(0)).is_some());
    let released = written(manager.release(START)).expect("it is given back");
    manager.said(LeaseReply::Written(7), START);
    let second = LeaseRecord { fence: released.fence + 1, ..released };
    manager.note_change(8, second, START + TimeSpan(100));
    let back = START + TimeSpan(1400);
    let fence = taken(&mut manager, 9, back);

    let early = manager.fence_for_call(START + DURATION - TimeSpan(1), TimeSpan(0));
    let late = manager.fence_for_call(START + DURATION, TimeSpan(0));

    assert_eq!((early, late), (None, Some(fence)));
}

/// The same across a restart: the earlier incarnation made calls, and another process took the
/// lease and released it while this one started.
#[test]
fn a_restarted_process_makes_no_call_right_after_another() {
    let given_back = LeaseRecord { holder: "".into(), ..record("front-1", 10) };
    let mut manager = reader(manager(20).with_start(START), given_back);
    let fence = taken(&mut manager, 6, START);

    let early = manager.fence_for_call(START + TimeSpan(100), TimeSpan(0));
    manager.tick(START + TimeSpan(3000));
    manager.said(LeaseReply::Written(7), START + TimeSpan(3000));
    let late = manager.fence_for_call(START + DURATION, TimeSpan(0));

    assert_eq!((early, late), (None, Some(fence)));
}

/// Guards against unreported usage and 3 s without orders of endpoints: a process that started long
/// ago takes the lease for the first time, and waits as if it had just started.
#[test]
fn a_process_that_started_long_ago_makes_calls_at_once() {
    let given_back = LeaseRecord { holder: "".into(), ..record("front-1", 10) };
    let with_start = ClockTime(START.0 - DURATION.0);
    let mut manager = reader(manager(20).with_start(with_start), given_back);
    let fence = taken(&mut manager, 6, START);

    assert_eq!(manager.fence_for_call(START, TimeSpan(0)), Some(fence));
}

/// A process that keeps its token, or that takes over the lease of its own earlier incarnation,
/// makes calls at once: no other process made any in between.
#[test]
fn a_holder_not_succeeded_by_another_makes_calls_at_once() {
    let mut first = reader(manager(20), LeaseRecord::default());
    let mut restarted = reader(manager(20), record("front-0", 10));
    let at = START + TimeSpan(10);
    let fences = [taken(&mut first, 6, START), taken(&mut restarted, 6, START)];

    let acts = [&mut first, &mut restarted].map(|manager| manager.fence_for_call(at, TimeSpan(0)));

    assert_eq!(acts, fences.map(Some));
}

/// A manager that holds the lease with token 4 since [`START`], in the first era.
fn holder_of_first_era() -> LeaseManager {
    let mut manager = manager(20);
    manager.note_era(Some(StoreEra(0)), START);
    let mut manager = reader(manager, record("front-0", 10));
    taken(&mut manager, 6, START);
    manager
}

/// Guards against a token that falls or is used twice: the store comes back from a copy that names
/// the holder before. The last holder takes the lease again at once, with a token above all lost ones.
#[test]
fn the_last_holder_takes_the_lease_again_after_the_store_came_back() {
    let mut manager = holder_of_first_era();
    let at = START + TimeSpan(100);

    manager.note_era(Some(StoreEra(1)), at);
    let meanwhile = manager.fence(at, TimeSpan(0));
    let action = manager.tick(at);
    manager.said(LeaseReply::Read(Some((5, record("front-1", 10)))), at);
    let fence = taken(&mut manager, 7, at);

    assert_eq!((meanwhile, action), (None, LeaseAction::Read));
    assert!(fence > 1_000_000 && manager.fence(at, TimeSpan(0)) == Some(fence), "{fence}");
}

/// Guards against two holders: the copy names an earlier holder, or nobody, and who took the lease
/// since the copy was made has not heard that the store came back.
#[test]
fn a_lease_in_the_copy_is_not_taken_before_a_lost_one_has_ended() {
    let free = LeaseRecord { holder: "".into(), ..record("front-1", 10) };
    for found in [None, Some((5, free)), Some((5, record("front-0", 10)))] {
        let mut manager = manager(20);
        manager.note_era(Some(StoreEra(0)), START);
        manager.note_era(Some(StoreEra(1)), START);
        manager.tick(START);
        manager.said(LeaseReply::Read(found.clone()), START);

        let early = manager.tick(START + DURATION);
        manager.said(LeaseReply::Read(found.clone()), START + DURATION);
        let late = manager.tick(START + DURATION + DURATION);

        assert_eq!(early, LeaseAction::Read, "{found:?}");
        assert!(written(late).is_some_and(|record| record.fence > 1_000_000), "{found:?}");
    }
}

/// Guards against work that stands still for a lease duration after each restart on a store that came
/// back long ago.
#[test]
fn a_record_of_the_current_era_is_taken_over_as_before() {
    let held = LeaseRecord { fence: 1_000_003, ..record("front-0", 10) };
    let mut manager = manager(20);
    manager.note_era(Some(StoreEra(1)), START);
    let mut manager = reader(manager, held);

    let fence = taken(&mut manager, 6, START + TimeSpan(1));

    assert_eq!(fence, 1_000_004);
}

/// Guards against a lease that nobody takes any more: the copy has none, and the last notice of it, from
/// before the store came back, is looked at before each decision.
#[test]
fn a_notice_of_an_earlier_era_does_not_keep_a_lost_lease_from_being_taken() {
    let mut manager = manager(20);
    manager.note_era(Some(StoreEra(0)), START);
    manager.note_era(Some(StoreEra(1)), START);
    let mut taken_at = None;
    for step in 0..100 {
        let now = START + TimeSpan(step * 200);
        manager.note_change(5, record("front-1", 10), now);
        match manager.tick(now) {
            LeaseAction::Write { .. } => {
                taken_at = Some(now);
                break;
            }
            LeaseAction::Read => manager.said(LeaseReply::Read(None), now),
            LeaseAction::Wait => {}
        }
    }

    assert!(taken_at.is_some_and(|at| at <= START + DURATION + DURATION), "{taken_at:?}");
}

/// Guards against unreported usage while processes are stopped in turn: a process that starts again and
/// gets the lease makes no call for a lease duration, although its earlier incarnation made none.
#[test]
fn a_restarted_process_waits_only_for_calls_that_its_earlier_incarnation_made() {
    let released = |callers| LeaseRecord { holder: "".into(), callers, ..record("front-1", 10) };
    let called = |holder: &str, ago| FormerCaller { holder: holder.into(), ago: TimeSpan(ago) };
    let first_call = |callers: Vec<FormerCaller>| {
        let mut manager = reader(manager(20).with_start(START), released(Some(callers)));
        taken(&mut manager, 6, START);
        let can_call = |at: &u64| {
            let now = START + TimeSpan(*at);
            manager.clone().fence_for_call(now, TimeSpan(0)).is_some()
        };
        (0..DURATION.0).step_by(10).find(can_call)
    };

    assert_eq!(first_call(vec![called("front-1", 0)]), Some(0));
    assert_eq!(first_call(vec![called("front-0", DURATION.0 - 500)]), Some(500));
    assert_eq!(first_call(vec![called("front-0", 0)]), None);
}

/// Guards against calls of two holders at once: the record of a released lease must name each process
/// that made calls within a lease duration, with no less than the time since then.
#[test]
fn a_released_lease_names_who_made_calls_under_it() {
    let mut silent = reader(manager(20), LeaseRecord::default());
    let mut calling = silent.clone();
    taken(&mut silent, 6, START);
    taken(&mut calling, 6, START);
    assert!(calling.fence_for_call(START + TimeSpan(100), TimeSpan(0)).is_some());

    let at = START + TimeSpan(400);
    let [silent, calling] = [silent, calling]
        .map(|mut manager| written(manager.release(at)).expect("it is given back").callers);

    assert_eq!(silent, Some(Vec::new()));
    let called = FormerCaller { holder: "front-0".into(), ago: TimeSpan(300) };
    assert_eq!(calling, Some(vec![called]));
}

/// The same if the holder died without releasing the lease: nobody knows when it made its last call.
#[test]
fn a_holder_that_did_not_release_the_lease_counts_as_calling_until_it_is_taken() {
    let died = LeaseRecord { callers: Some(Vec::new()), ..record("front-1", 10) };
    let mut manager = reader(manager(20), died);
    let late = START + DURATION + TimeSpan(600);

    let taken = written(manager.tick(late)).expect("the lease has expired");

    let called = FormerCaller { holder: "front-1".into(), ago: TimeSpan(0) };
    assert_eq!(taken.callers, Some(vec![called]));
}

/// Guards against calls of two holders at once: who made calls must not pass for known if a process of the
/// version before wrote the record, or if the store came back from a copy.
#[test]
fn who_made_calls_is_unknown_after_a_holder_that_does_not_tell_it() {
    let untold = |fence| LeaseRecord { holder: "".into(), fence, ..record("front-1", 10) };
    let told = LeaseRecord { callers: Some(Vec::new()), ..untold(3) };
    let mut held_long_ago = reader(manager(20), told.clone());
    taken(&mut held_long_ago, 6, START);
    held_long_ago.note_change(9, untold(5), START + TimeSpan(1000));
    let mut returned = manager(20);
    returned.note_era(Some(StoreEra(1)), START);
    let mut returned = reader(returned, told);

    let late = START + TimeSpan(DURATION.0 * 3);
    let callers = [&mut held_long_ago, &mut returned]
        .map(|manager| written(manager.tick(late)).expect("the lease is free").callers);

    assert_eq!(callers, [None, None]);
}

/// Guards against calls around those of another process: a process that got the lease back waits, is killed, and
/// its next incarnation takes the lease over and does not wait.
#[test]
fn an_incarnation_that_takes_the_lease_over_waits_like_the_one_before() {
    let called = FormerCaller { holder: "front-0".into(), ago: TimeSpan(500) };
    let held = LeaseRecord { callers: Some(vec![called]), ..record("front-0", 10) };
    let mut manager = reader(manager(20).with_start(START), held);
    taken(&mut manager, 6, START);

    let at = |ms| START + TimeSpan(ms);
    let early = manager.fence_for_call(at(DURATION.0 - 501), TimeSpan(0));
    let late = manager.fence_for_call(at(DURATION.0 - 500), TimeSpan(0));

    assert!(early.is_none() && late.is_some());
}

/// One process of [`no_order_of_stops_and_kills_lets_a_holder_call_around_another`].
struct LeasePlayer {
    name: &'static str,
    incarnation: u64,
    manager: LeaseManager,
}

impl LeasePlayer {
    fn start(name: &'static str, incarnation: u64, now: ClockTime) -> Self {
        let manager = LeaseManager::new(name.into(), incarnation, DURATION);
        LeasePlayer { name, incarnation, manager: manager.with_takeover().with_start(now) }
    }

    /// Carries out an action against the stored object.
    fn carry_out(
        &mut self,
        action: LeaseAction,
        stored: &mut Option<(u64, LeaseRecord)>,
        now: ClockTime,
    ) {
        let reply = match action {
            LeaseAction::Wait => return,
            LeaseAction::Read => LeaseReply::Read(stored.clone()),
            LeaseAction::Write { version, record } => {
                let known = stored.as_ref().map(|(version, _)| *version);
                if known == version {
                    let next = known.unwrap_or(0) + 1;
                    *stored = Some((next, record));
                    LeaseReply::Written(next)
                } else {
                    LeaseReply::Changed
                }
            }
        };
        self.manager.said(reply, now);
    }
}

/// Guards against calls of one process, another, and the first again within a lease duration, in whatever order
/// processes are stopped, killed and started again.
#[test]
fn no_order_of_stops_and_kills_lets_a_holder_call_around_another() {
    arbtest(|input| {
        let mut now = START;
        let mut stored = None;
        let mut players =
            ["front-0", "front-1", "front-2"].map(|name| LeasePlayer::start(name, 1, now));
        let mut calls: Vec<(&str, ClockTime)> = Vec::new();
        for _ in 0..60 {
            now = now + TimeSpan(input.int_in_range(0..=900)?);
            let player = &mut players[input.int_in_range(0..=2_usize)?];
            match input.int_in_range(0..=9_u8)? {
                0 => {
                    let action = player.manager.release(now);
                    player.carry_out(action, &mut stored, now);
                }
                1 | 2 => {
                    let action = player.manager.release(now);
                    player.carry_out(action, &mut stored, now);
                    *player = LeasePlayer::start(player.name, player.incarnation + 1, now);
                }
                3 => *player = LeasePlayer::start(player.name, player.incarnation + 1, now),
                _ => {
                    for _ in 0..3 {
                        let action = player.manager.tick(now);
                        player.carry_out(action, &mut stored, now);
                    }
                    if player.manager.fence_for_call(now, TimeSpan(0)).is_some() {
                        calls.push((player.name, now));
                    }
                }
            }
        }
        for (at, (last, ended)) in calls.iter().enumerate() {
            let recent = calls[..at].iter().rev().take_while(|(_, at)| *ended - *at < DURATION);
            let mut other = false;
            for (name, _) in recent {
                assert!(!(other && name == last), "{calls:?}");
                other |= name != last;
            }
        }
        Ok(())
    });
}

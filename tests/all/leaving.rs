//! Requests to endpoints that have left: how long each of several processes goes by old news of them,
//! whatever the store is to it.
//!
//! Each play is made at several moments of the processes' own periods, and the worst one counts. Time
//! is virtual: a sleep moves the clock of the play and waits for nothing of the machine.

use crate::plays::{PlayGroup, StoreMode, play};
use std::time::Duration;
use tokio::time::sleep;

/// The operators' bound for the last request to an endpoint that leaves, in milliseconds.
const DRAIN_MS: u64 = 2000;
/// The operators' bound for a change of the rules to be in force, in milliseconds.
const APPLY_MS: u64 = 2000;
/// How soon after the store's return the entries that it forgot are back, in milliseconds.
const RELIST_MS: u64 = 2200;
/// How long a play looks on.
const LOOK: Duration = Duration::from_secs(7);

/// Moments at which a play begins, over the longest period of a process: its wait for changes.
fn moments() -> impl Iterator<Item = Duration> {
    (0..10).map(|at| Duration::from_millis(at * 270))
}

/// Starts `count` processes and waits for `moment`.
async fn start(count: usize, moment: Duration) -> PlayGroup {
    let group = PlayGroup::start(count).await;
    sleep(moment).await;
    group
}

/// The store answers none of the processes that follow it any more; gives the others.
fn silence_followers(group: &PlayGroup) -> Vec<usize> {
    let watchers = group.watchers();
    watchers.iter().for_each(|at| group.ways[*at].set(StoreMode::Silent));
    let others = (0..group.processes.len()).filter(|at| !watchers.contains(at));
    let others: Vec<usize> = others.collect();
    assert!(!others.is_empty(), "all follow the store");
    others
}

fn longest(uses: &[u64]) -> u64 {
    uses.iter().copied().max().unwrap_or_default()
}

/// Requests reach an endpoint that has left. The store refused all processes for a blink and is
/// back; the endpoint leaves, its entry is removed, and the store says so. As the store was away a
/// moment ago, the removal is taken for an entry that the store forgot, and is only doubted.
#[test]
fn a_removal_that_the_store_tells_right_after_its_return_is_no_lapse() {
    for moment in moments() {
        play(async {
            let group = start(4, moment).await;
            group.set_all(StoreMode::Refused);
            sleep(Duration::from_millis(60)).await;
            group.set_all(StoreMode::Served);
            sleep(Duration::from_millis(250)).await;

            group.remove("i-0");
            let uses = group.uses_for("i-0", LOOK).await;

            assert!(longest(&uses) < DRAIN_MS, "{moment:?}: {uses:?}");
        });
    }
}

/// Requests reach an endpoint that has left, from processes that do not ask the store. The
/// collector hears nothing of the store; another process, which was refused for a blink, doubts the
/// entry that is missing from its list and passes its doubt on; at each process the doubt begins
/// anew.
#[test]
fn a_doubt_does_not_begin_anew_at_each_process() {
    for moment in moments() {
        play(async {
            let group = start(6, moment).await;
            let collector = group.collector();
            group.set_all(StoreMode::Refused);
            group.ways[collector].set(StoreMode::Silent);
            sleep(Duration::from_millis(60)).await;
            group.set_all(StoreMode::Served);
            group.ways[collector].set(StoreMode::Silent);
            sleep(Duration::from_millis(50)).await;

            group.remove("i-0");
            let uses = group.uses_for("i-0", LOOK).await;

            assert!(longest(&uses) < DRAIN_MS, "{moment:?}: {uses:?}");
        });
    }
}

/// The store is away for everybody for longer than entries last, and an entry is not back in time
/// after its return. It is doubted until then, and no longer, at every process: also at those that
/// hear of it from a process that hears of it.
#[test]
fn what_the_store_forgot_is_doubted_until_one_moment_everywhere() {
    for moment in moments() {
        play(async {
            let group = start(6, moment).await;
            group.set_all(StoreMode::Refused);
            group.remove("i-0");
            sleep(Duration::from_secs(5)).await;
            let kept = group.all_use("i-0");
            group.set_all(StoreMode::Served);
            group.ways[group.collector()].set(StoreMode::Silent);

            let uses = group.uses_for("i-0", LOOK).await;

            assert!(kept, "an entry was dropped while the store was away");
            let soonest = uses.iter().copied().min().unwrap_or_default();
            assert!(soonest > RELIST_MS - 300, "dropped before it could be back: {uses:?}");
            // The longest pause between calls that fail, and reports that bring the news.
            assert!(longest(&uses) < RELIST_MS + 1800, "{moment:?}: {uses:?}");
        });
    }
}

/// Requests reach an endpoint that has said that it leaves, from one process: the connection on
/// which it waits for changes fell silent a moment before. All others know, and tell it; it keeps
/// to what it has, as no call of its own has failed yet.
#[test]
fn a_process_whose_watch_fell_silent_goes_by_what_the_others_know() {
    for moment in moments() {
        play(async {
            let group = start(4, moment).await;
            let collector = group.collector();
            let silent = (0..4).find(|at| *at != collector).expect("another");
            group.ways[silent].silence_open();

            group.put("i-0", "draining");
            let uses = group.uses_for("i-0", LOOK).await;

            assert!(longest(&uses) < DRAIN_MS, "{moment:?}: {uses:?}");
        });
    }
}

/// Requests reach an endpoint that has said that it leaves, from processes that the store would
/// serve at once. They do not ask it, as four others do; the calls of all four fell silent a moment
/// before, which shows after seconds, and until then each counts as told of changes.
#[test]
fn processes_ask_the_store_themselves_when_nobody_has_heard_of_it() {
    for moment in moments() {
        play(async {
            let group = start(7, moment).await;
            let others = silence_followers(&group);

            group.put("i-0", "draining");
            let uses = group.uses_for("i-0", LOOK).await;

            let theirs: Vec<u64> = others.iter().map(|at| uses[*at]).collect();
            assert!(longest(&theirs) < DRAIN_MS, "{moment:?}: {uses:?}, of {others:?} {theirs:?}");
        });
    }
}

/// Connections to the store fall silent at every process at once, and an endpoint says that it
/// leaves. New connections work, so that any process could know.
#[test]
fn connections_that_fall_silent_everywhere_hide_no_leaving() {
    for moment in moments() {
        play(async {
            let group = start(7, moment).await;
            group.ways.iter().for_each(|way| way.silence_open());

            group.put("i-0", "draining");
            let uses = group.uses_for("i-0", LOOK).await;

            assert!(longest(&uses) < DRAIN_MS, "{moment:?}: {uses:?}");
        });
    }
}

/// A key that was taken away goes on being served, by processes that the store would tell at once.
/// They go by four others whose calls fell silent a moment before the rules changed.
#[test]
fn rules_change_everywhere_though_all_followers_fell_silent() {
    for moment in moments() {
        play(async {
            let group = start(7, moment).await;
            let others = silence_followers(&group);

            group.change_rules(9);
            let older = group.older_for(9, LOOK).await;

            let theirs: Vec<u64> = others.iter().map(|at| older[*at]).collect();
            assert!(longest(&theirs) < APPLY_MS, "{moment:?}: {older:?}, of {others:?} {theirs:?}");
        });
    }
}

/// The same where connections fall silent at every process, and new ones work.
#[test]
fn rules_change_everywhere_though_connections_fell_silent() {
    for moment in moments() {
        play(async {
            let group = start(7, moment).await;
            group.ways.iter().for_each(|way| way.silence_open());

            group.change_rules(9);
            let older = group.older_for(9, LOOK).await;

            assert!(longest(&older) < APPLY_MS, "{moment:?}: {older:?}");
        });
    }
}

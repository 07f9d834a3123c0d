//! Requests to endpoints that have left: how long each of several processes uses outdated endpoint
//! entries, for various faults of the store.
//!
//! Each test runs at several offsets within the processes' periods, and the worst result counts.
//! Time is virtual, so a sleep does not wait for real time.

use crate::plays::{ProcessGroup, StoreMode, play};
use std::time::Duration;
use tokio::time::sleep;

/// The operators' bound for the last request to a leaving endpoint, in milliseconds.
const MAX_DRAIN_MS: u64 = 2000;
/// The operators' bound for a rule change to be in force, in milliseconds.
const MAX_APPLY_MS: u64 = 2000;
/// How soon after a store outage lost entries are registered again, in milliseconds.
const RELIST_MS: u64 = 2200;
/// How long a test observes the processes.
const OBSERVE_TIME: Duration = Duration::from_secs(7);

/// Offsets at which a test starts, across the longest period of a process: its wait for changes.
fn start_offsets() -> impl Iterator<Item = Duration> {
    (0..10).map(|at| Duration::from_millis(at * 270))
}

/// Starts `count` processes and waits for `offset`.
async fn start(count: usize, offset: Duration) -> ProcessGroup {
    let group = ProcessGroup::start(count).await;
    sleep(offset).await;
    group
}

/// Silences the store for all processes that watch it; returns the others.
fn silence_followers(group: &ProcessGroup) -> Vec<usize> {
    let watchers = group.watchers();
    watchers.iter().for_each(|at| group.links[*at].set(StoreMode::Silent));
    let others = (0..group.processes.len()).filter(|at| !watchers.contains(at));
    let others: Vec<usize> = others.collect();
    assert!(!others.is_empty(), "all follow the store");
    others
}

/// The longest time of any process.
fn longest(uses: &[u64]) -> u64 {
    uses.iter().copied().max().unwrap_or_default()
}

/// Guards against requests to an endpoint that has left. The store refuses all processes for a
/// moment and returns; then the endpoint leaves and its entry is removed. Because of the recent
/// outage, the removal would count as an entry that the store lost, and would only be doubted.
#[test]
fn a_removal_right_after_a_store_outage_is_not_doubted() {
    for offset in start_offsets() {
        play(async {
            let group = start(4, offset).await;
            group.set_all(StoreMode::Refused);
            sleep(Duration::from_millis(60)).await;
            group.set_all(StoreMode::Served);
            sleep(Duration::from_millis(250)).await;

            group.remove("i-0");
            let uses = group.uses_for("i-0", OBSERVE_TIME).await;

            assert!(longest(&uses) < MAX_DRAIN_MS, "{offset:?}: {uses:?}");
        });
    }
}

/// Guards against requests to an endpoint that has left, from processes that do not watch the
/// store. The collector does not reach the store; another process, which was refused for a moment,
/// doubts the missing entry and passes the doubt on, and the period of doubt would restart at each
/// process.
#[test]
fn a_doubt_does_not_restart_at_each_process() {
    for offset in start_offsets() {
        play(async {
            let group = start(6, offset).await;
            let collector = group.collector();
            group.set_all(StoreMode::Refused);
            group.links[collector].set(StoreMode::Silent);
            sleep(Duration::from_millis(60)).await;
            group.set_all(StoreMode::Served);
            group.links[collector].set(StoreMode::Silent);
            sleep(Duration::from_millis(50)).await;

            group.remove("i-0");
            let uses = group.uses_for("i-0", OBSERVE_TIME).await;

            assert!(longest(&uses) < MAX_DRAIN_MS, "{offset:?}: {uses:?}");
        });
    }
}

/// The store is down for all processes for longer than entries last, and an entry is not registered
/// again in time after its return. The entry must be doubted until the same moment at every
/// process, including those that learn of it from another process.
#[test]
fn a_lost_entry_is_doubted_until_the_same_moment_at_all_processes() {
    for offset in start_offsets() {
        play(async {
            let group = start(6, offset).await;
            group.set_all(StoreMode::Refused);
            group.remove("i-0");
            sleep(Duration::from_secs(5)).await;
            let kept = group.all_use("i-0");
            group.set_all(StoreMode::Served);
            group.links[group.collector()].set(StoreMode::Silent);

            let uses = group.uses_for("i-0", OBSERVE_TIME).await;

            assert!(kept, "an entry was dropped while the store was away");
            let soonest = uses.iter().copied().min().unwrap_or_default();
            assert!(soonest > RELIST_MS - 300, "dropped before it could be back: {uses:?}");
            // The longest retry delay, plus the reports that carry the update.
            assert!(longest(&uses) < RELIST_MS + 1800, "{offset:?}: {uses:?}");
        });
    }
}

/// Guards against requests from one process to an endpoint that leaves. The connection on which
/// that process waits for changes fell silent just before. All others know and inform it, but no call
/// of its own has failed yet, and it would keep its own list.
#[test]
fn a_process_with_a_silent_watch_uses_updates_of_its_peers() {
    for offset in start_offsets() {
        play(async {
            let group = start(4, offset).await;
            let collector = group.collector();
            let silent = (0..4).find(|at| *at != collector).expect("another");
            group.links[silent].silence_open_connections();

            group.put("i-0", "draining");
            let uses = group.uses_for("i-0", OBSERVE_TIME).await;

            assert!(longest(&uses) < MAX_DRAIN_MS, "{offset:?}: {uses:?}");
        });
    }
}

/// Guards against requests to an endpoint that leaves, from processes that the store would serve at
/// once. They rely on four followers whose calls fell silent just before. That shows only after
/// seconds, and until then each follower would count as connected.
#[test]
fn processes_ask_the_store_themselves_when_no_follower_hears_from_it() {
    for offset in start_offsets() {
        play(async {
            let group = start(7, offset).await;
            let others = silence_followers(&group);

            group.put("i-0", "draining");
            let uses = group.uses_for("i-0", OBSERVE_TIME).await;

            let theirs: Vec<u64> = others.iter().map(|at| uses[*at]).collect();
            assert!(
                longest(&theirs) < MAX_DRAIN_MS,
                "{offset:?}: {uses:?}, of {others:?} {theirs:?}"
            );
        });
    }
}

/// The store connections of all processes fall silent at once, and an endpoint leaves. New
/// connections work, so each process could learn of it.
#[test]
fn a_leaving_endpoint_is_noticed_although_all_store_connections_fell_silent() {
    for offset in start_offsets() {
        play(async {
            let group = start(7, offset).await;
            group.links.iter().for_each(|way| way.silence_open_connections());

            group.put("i-0", "draining");
            let uses = group.uses_for("i-0", OBSERVE_TIME).await;

            assert!(longest(&uses) < MAX_DRAIN_MS, "{offset:?}: {uses:?}");
        });
    }
}

/// Guards against serving a revoked key, by processes that the store would serve at once. They rely
/// on four followers whose calls fell silent just before the rules changed.
#[test]
fn a_rule_change_reaches_all_processes_although_all_followers_are_silent() {
    for offset in start_offsets() {
        play(async {
            let group = start(7, offset).await;
            let others = silence_followers(&group);

            group.change_rules(9);
            let older = group.older_for(9, OBSERVE_TIME).await;

            let theirs: Vec<u64> = others.iter().map(|at| older[*at]).collect();
            assert!(
                longest(&theirs) < MAX_APPLY_MS,
                "{offset:?}: {older:?}, of {others:?} {theirs:?}"
            );
        });
    }
}

/// The same when the connections of all processes fall silent, and new ones work.
#[test]
fn a_rule_change_reaches_all_processes_although_all_store_connections_fell_silent() {
    for offset in start_offsets() {
        play(async {
            let group = start(7, offset).await;
            group.links.iter().for_each(|way| way.silence_open_connections());

            group.change_rules(9);
            let older = group.older_for(9, OBSERVE_TIME).await;

            assert!(longest(&older) < MAX_APPLY_MS, "{offset:?}: {older:?}");
        });
    }
}

//! Requests to endpoints that have left: how long each of several processes goes by old news of them,
//! whatever the store is to it.
//!
//! Each play is made at several moments of the processes' own periods, and the worst one counts.

use crate::plays::{PlayGroup, StoreMode, play};
use std::time::Duration;
use tokio::time::sleep;

/// The operators' bound for the last request to an endpoint that leaves, in milliseconds.
const DRAIN_MS: u64 = 2000;
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

fn longest(uses: &[u64]) -> u64 {
    uses.iter().copied().max().unwrap_or_default()
}

/// Requests reach an endpoint that has left, from processes that do not ask the store. The collector hears
/// nothing of the store; another process, which was refused for a blink, doubts the entry that is missing
/// from its list and passes its doubt on; at each process the doubt begins anew.
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

/// Requests reach an endpoint that has said that it leaves, from processes that the store would serve at
/// once. They do not ask it, as four others do; the calls of all four fell silent a moment before, which
/// shows after seconds, and until then each counts as told of changes.
#[test]
fn processes_ask_the_store_themselves_when_nobody_has_heard_of_it() {
    for moment in moments() {
        play(async {
            let group = start(7, moment).await;
            let watchers = group.watchers();
            for at in &watchers {
                group.ways[*at].set(StoreMode::Silent);
            }

            group.put("i-0", "draining");
            let uses = group.uses_for("i-0", LOOK).await;

            let others = (0..7).filter(|at| !watchers.contains(at));
            let others: Vec<u64> = others.map(|at| uses[at]).collect();
            assert!(!others.is_empty(), "all follow the store");
            assert!(longest(&others) < DRAIN_MS, "{moment:?}: {uses:?} of {watchers:?}");
        });
    }
}

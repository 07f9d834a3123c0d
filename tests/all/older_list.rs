//! A store that comes back from an older copy: the endpoint list.

use crate::plays::{ProcessGroup, StoreMode, entry, play};
use oleandertack::plat::FeedKind;
use std::time::Duration;
use tokio::time::sleep;

/// The time after which a leaving endpoint may get no request, in milliseconds.
const DRAIN_MS: u64 = 2000;
/// How long the store is away before it comes back.
const AWAY_TIME: Duration = Duration::from_millis(1000);

async fn seconds(count: u64) {
    sleep(Duration::from_secs(count)).await;
}

/// A group of four whose store has given out many revisions since the copy was made, the last ones
/// to entries that were written again.
async fn group_with_copy() -> (ProcessGroup, crate::plays::StoreCopy) {
    let group = ProcessGroup::start(4).await;
    let copy = group.copy();
    group.write_others(100);
    ["i-0", "i-1"].iter().for_each(|name| _ = group.put(name, "ready"));
    seconds(4).await;
    (group, copy)
}

/// Lets an endpoint leave; returns for how long, in milliseconds, each process still uses it.
async fn used_while_leaving(group: &ProcessGroup) -> Vec<u64> {
    group.put("i-0", "draining");
    group.uses_for("i-0", Duration::from_secs(6)).await
}

/// Guards against requests to a leaving endpoint: its leaving is written under a revision lower than
/// those known from before the store went back.
#[test]
fn an_endpoint_that_leaves_after_the_store_went_back_is_known_to_leave_in_time() {
    play(async {
        let (group, copy) = group_with_copy().await;
        group.set_all(StoreMode::Refused);
        sleep(AWAY_TIME).await;
        group.go_back(copy);
        group.set_all(StoreMode::Served);
        seconds(3).await;

        let used = used_while_leaving(&group).await;

        assert!(used.iter().all(|ms| *ms <= DRAIN_MS), "{used:?}");
    });
}

/// The same without any failed call, and with one process that the store does not answer: it goes by
/// the others, and its list of the lost history must not overrule theirs.
#[test]
fn a_process_without_the_store_learns_who_leaves_after_the_store_went_back() {
    play(async {
        let (group, copy) = group_with_copy().await;
        let cut = (0..4).find(|at| *at != group.collector()).expect("one that follows");
        group.links[cut].set(StoreMode::Silent);
        seconds(3).await;
        group.go_back(copy);
        seconds(4).await;

        let used = used_while_leaving(&group).await;

        assert!(used.iter().all(|ms| *ms <= DRAIN_MS), "{used:?} {cut}");
    });
}

/// Guards against using up the store's calls: every answer is taken for old, so that the list is read
/// anew without end.
#[test]
fn the_list_is_not_read_anew_without_end_after_the_store_went_back() {
    play(async {
        let (group, copy) = group_with_copy().await;
        let before = group.store_calls();
        seconds(5).await;
        let calm = group.store_calls() - before;

        group.go_back(copy);
        seconds(3).await;
        let before = group.store_calls();
        seconds(5).await;
        let after = group.store_calls() - before;

        assert!(after <= 2 * calm, "{after} calls in five seconds, {calm} before");
    });
}

/// Guards against requests to an endpoint that left in the seconds that the store lost: the copy
/// lists it as it was before.
#[test]
fn an_endpoint_that_is_known_to_leave_is_not_used_again_by_a_copy() {
    play(async {
        let (group, copy) = group_with_copy().await;
        group.put("i-0", "draining");
        seconds(2).await;

        group.go_back(copy);
        let used = group.uses_for("i-0", Duration::from_secs(6)).await;

        assert_eq!(used, [0; 4]);
    });
}

/// Guards against requests to an endpoint whose entry was removed in the seconds that the store lost:
/// the copy lists it again until the entry expires.
#[test]
fn an_endpoint_that_is_known_to_be_gone_is_a_last_resort_if_a_copy_lists_it() {
    play(async {
        let (group, copy) = group_with_copy().await;
        group.remove("i-0");
        seconds(3).await;

        group.go_back(copy);
        let used = group.prefers_for("i-0", Duration::from_secs(3)).await;
        group.remove("i-0");
        seconds(5).await;

        assert_eq!(used, [0; 4]);
        assert!(!group.all_use("i-0"));
    });
}

/// The same for an endpoint that lives: its entry had expired, and is in the copy.
#[test]
fn an_endpoint_that_a_copy_lists_again_is_used_if_its_entry_does_not_expire() {
    play(async {
        let (group, copy) = group_with_copy().await;
        group.remove("i-0");
        seconds(3).await;

        group.go_back(copy);
        seconds(8).await;

        assert!(group.all_prefer("i-0"));
    });
}

/// Guards against refusing callers: an endpoint started in the seconds that the store lost, and writes
/// its entry again within the time that endpoints take for it.
#[test]
fn an_endpoint_that_a_copy_lacks_is_kept_until_it_could_have_written_its_entry_again() {
    play(async {
        let (group, copy) = group_with_copy().await;
        group.put("i-9", "ready");
        seconds(2).await;

        group.go_back(copy);
        sleep(Duration::from_millis(1500)).await;
        let kept = group.all_use("i-9");
        group.put("i-9", "ready");
        seconds(3).await;

        assert!(kept && group.all_prefer("i-9"));
    });
}

/// Guards against keeping what an endpoint was before: in the lost seconds its entry was written, and
/// the number of that revision is given out again to another state of it.
#[test]
fn an_entry_under_a_revision_that_was_given_out_again_replaces_the_lost_one() {
    play(async {
        let (group, copy) = group_with_copy().await;
        let lost = group.put("i-0", "ready");
        seconds(2).await;

        group.go_back(copy);
        group.write_others(lost - group.revision() - 1);
        let given_again = group.put("i-0", "draining");
        let used = group.uses_for("i-0", Duration::from_secs(6)).await;

        assert_eq!(given_again, lost);
        assert!(used.iter().all(|ms| *ms <= DRAIN_MS), "{used:?}");
        assert_eq!(group.stored(FeedKind::Endpoints, "i-0"), Some(entry("draining")));
    });
}

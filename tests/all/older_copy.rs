//! A store that comes back from an older copy: rules, the lease for control work, and what the
//! processes wrote themselves.

use crate::plays::{ProcessGroup, play};
use oleandertack::front::FrontProcess;
use oleandertack::lease::LeaseRecord;
use oleandertack::plat::FeedKind;
use std::time::Duration;
use tokio::time::sleep;

/// The time within which rules have to be in force, in milliseconds.
const APPLY_MS: u64 = 2000;
/// The time within which the processes have written again what the store lost.
const REWRITE_TIME: Duration = Duration::from_secs(5);

async fn seconds(count: u64) {
    sleep(Duration::from_secs(count)).await;
}

fn lease(group: &ProcessGroup) -> Option<LeaseRecord> {
    let body = group.stored(FeedKind::Leases, "control")?;
    serde_json::from_slice(&body).ok()
}

/// Guards against rules that stay unknown while every watch is answered: the store goes back, the
/// rules are changed, and the store gives out the revision from which the processes watch before
/// they watch again.
#[test]
fn rules_changed_before_a_watched_revision_is_given_out_again_are_in_force_in_time() {
    play(async {
        let group = ProcessGroup::start(4).await;
        let copy = group.copy();
        group.write_others(20);
        seconds(4).await;

        group.go_back(copy);
        group.change_rules(8);
        group.write_others(40);
        let late = group.older_for(8, Duration::from_secs(6)).await;

        assert!(late.iter().all(|ms| *ms <= APPLY_MS), "{late:?}");
    });
}

/// Guards against a fencing token that two holders use, or that falls: the lease changed hands, and
/// the store goes back to the holder before.
#[test]
fn a_fencing_token_is_never_given_out_again_after_the_store_went_back() {
    play(async {
        let mut group = ProcessGroup::start_working(4).await;
        let copy = group.copy();
        let collector = group.collector();
        group.kill(&[collector], Duration::from_secs(8)).await;
        let lost = lease(&group).expect("a lease");

        group.go_back(copy);
        seconds(12).await;

        let lease = lease(&group).expect("a lease");
        assert!(lease.fence > lost.fence, "{lost:?} {lease:?}");
    });
}

/// Guards against fencing tokens that begin anew: the store goes back to before there was a lease.
#[test]
fn a_lost_lease_is_taken_again_with_a_higher_fencing_token() {
    play(async {
        let group = ProcessGroup::start_working(4).await;
        let lost = lease(&group).expect("a lease");

        group.go_back(group.copy_without(&[FeedKind::Leases]));
        seconds(12).await;

        let lease = lease(&group).expect("a lease");
        assert!(lease.fence > lost.fence, "{lost:?} {lease:?}");
    });
}

/// Guards against processes that cannot be found any more: the store goes back to before they
/// wrote their membership records, and later all of them are killed but one.
#[test]
fn membership_records_that_the_store_lost_are_written_again() {
    play(async {
        let group = ProcessGroup::start(4).await;

        group.go_back(group.copy_without(&[FeedKind::Members]));
        sleep(REWRITE_TIME).await;

        for at in 0..group.processes.len() {
            let name = format!("front-{at}");
            assert!(group.stored(FeedKind::Members, &name).is_some(), "{name}");
        }
    });
}

/// A group of four that carries out an order, and a copy of the store from before the order.
async fn group_with_order() -> (ProcessGroup, crate::plays::StoreCopy) {
    let group = ProcessGroup::start_releasing(4, (0.2, 20)).await;
    let copy = group.copy();
    group.order_release("v2", 60.0);
    seconds(3).await;
    (group, copy)
}

/// Guards against a roll-out without a status: the store lost the one that was written.
#[test]
fn a_lost_status_of_a_rollout_is_written_again() {
    play(async {
        let (group, copy) = group_with_order().await;
        let before = group.release_status();

        group.go_back(copy);
        group.order_release("v2", 60.0);
        seconds(5).await;

        assert!(before.contains("running"), "{before}");
        assert_eq!(group.release_status(), before);
    });
}

/// Guards against a roll-out that is withdrawn and begins anew, with a second slack for its exposure: the
/// store lost the order, and the operators write it again within the time that they take for it.
#[test]
fn a_lost_order_stands_until_the_operators_could_have_written_it_again() {
    play(async {
        let (group, copy) = group_with_order().await;
        let withdrawn = || {
            let is_withdrawn =
                |process: &FrontProcess| !process.node.releases.borrow().withdrawn.is_empty();
            group.processes.iter().any(is_withdrawn)
        };

        group.go_back(copy);
        seconds(1).await;
        let in_the_gap = withdrawn();
        group.order_release("v2", 60.0);
        seconds(5).await;

        assert!(!in_the_gap && !withdrawn());
    });
}

/// An order that is not written again is withdrawn.
#[test]
fn a_lost_order_that_is_not_written_again_is_withdrawn() {
    play(async {
        let (group, copy) = group_with_order().await;

        group.go_back(copy);
        seconds(8).await;

        let running = |process: &FrontProcess| !process.node.releases.borrow().running.is_empty();
        assert!(!group.processes.iter().any(running));
    });
}

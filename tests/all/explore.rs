//! Every order of events of the protocols, up to a bound, and the mistakes the search must find.

use oleandertack::explore::claims::{ClaimBug, ClaimModel};
use oleandertack::explore::leases::{LeaseBug, LeaseModel};
use oleandertack::explore::rosters::{RosterBug, RosterModel};
use oleandertack::explore::submits::{SubmitBug, SubmitModel};
use oleandertack::explore::{ExploreReport, explore};

const MOST_STATES: usize = 400_000;
/// Rounds multiply the histories of endpoint lists.
const MOST_LIST_STATES: usize = 1_500_000;

fn held(report: &ExploreReport) {
    assert_eq!(report.broken, None, "after {} states", report.states);
    assert!(report.complete, "{} states are not all", report.states);
    assert!(report.states > 1000, "only {} states were seen", report.states);
}

fn found(report: &ExploreReport) {
    assert!(report.broken.is_some(), "{} states hide the mistake", report.states);
}

#[test]
fn a_key_is_granted_once_whatever_is_lost_delayed_or_crashes() {
    let model = ClaimModel { keepers: 2, faults: 2, seal_threshold: 100, bug: ClaimBug::None };
    held(&explore(&model, MOST_STATES));
}

#[test]
fn a_key_is_granted_once_while_heads_are_sealed() {
    let model = ClaimModel { keepers: 2, faults: 1, seal_threshold: 1, bug: ClaimBug::None };
    held(&explore(&model, MOST_STATES));
}

#[test]
fn without_the_version_check_a_key_is_granted_twice() {
    let model = ClaimModel { keepers: 2, faults: 0, seal_threshold: 100, bug: ClaimBug::NoFence };
    found(&explore(&model, MOST_STATES));
}

#[test]
fn a_lost_answer_taken_for_success_grants_a_key_twice() {
    let model = ClaimModel { keepers: 2, faults: 1, seal_threshold: 100, bug: ClaimBug::TrustLost };
    found(&explore(&model, MOST_STATES));
}

#[test]
fn one_process_holds_a_lease_and_no_old_order_arrives_late() {
    let model =
        LeaseModel { faults: 2, units: 14, bug: LeaseBug::None, checked: false, returns: 0 };
    held(&explore(&model, MOST_STATES));
}

/// Guards against two holders of a lease: the store comes back from a copy that has an earlier holder,
/// or none, and the last holder has not heard of it.
#[test]
fn one_process_holds_a_lease_also_when_the_store_comes_back_from_an_older_copy() {
    let model = LeaseModel { faults: 0, units: 6, bug: LeaseBug::None, checked: false, returns: 1 };
    held(&explore(&model, MOST_STATES));
}

#[test]
fn a_lease_is_held_twice_if_nobody_notices_that_the_store_came_back() {
    let model =
        LeaseModel { faults: 0, units: 10, bug: LeaseBug::IgnoreEra, checked: false, returns: 1 };
    found(&explore(&model, MOST_STATES));
}

#[test]
fn a_lease_counted_from_the_answer_is_held_twice() {
    let model = LeaseModel {
        faults: 1,
        units: 14,
        bug: LeaseBug::CountFromAnswer,
        checked: false,
        returns: 0,
    };
    found(&explore(&model, MOST_STATES));
}

#[test]
fn an_order_sent_at_the_end_of_a_lease_arrives_after_its_successors() {
    let bug = LeaseBug::OrderAtTheEnd;
    let model = LeaseModel { faults: 1, units: u64::MAX, bug, checked: false, returns: 0 };
    found(&explore(&model, MOST_STATES));
}

#[test]
fn a_holder_that_orders_by_an_old_look_acts_after_its_successor() {
    let bug = LeaseBug::OrderByOldLook;
    let model = LeaseModel { faults: 1, units: 14, bug, checked: false, returns: 0 };
    found(&explore(&model, MOST_STATES));
}

#[test]
fn an_endpoint_that_checks_tokens_refuses_what_is_ordered_by_an_old_look() {
    let bug = LeaseBug::OrderByOldLook;
    let model = LeaseModel { faults: 0, units: 6, bug, checked: true, returns: 0 };
    held(&explore(&model, MOST_STATES));
}

#[test]
fn racing_operators_get_one_winner_and_are_told_the_truth() {
    let model = SubmitModel { faults: 3, bug: SubmitBug::None };
    held(&explore(&model, MOST_STATES));
}

#[test]
fn without_the_version_check_two_operators_win() {
    let model = SubmitModel { faults: 1, bug: SubmitBug::NoFence };
    found(&explore(&model, MOST_STATES));
}

#[test]
fn calm_processes_send_nothing_to_an_endpoint_that_has_left_and_drop_none_that_lives() {
    let model = RosterModel { faults: 2, rounds: 18, bug: RosterBug::None, returns: false };
    held(&explore(&model, MOST_LIST_STATES));
}

#[test]
fn taking_silence_for_news_keeps_an_endpoint_that_has_left() {
    let model =
        RosterModel { faults: 2, rounds: 26, bug: RosterBug::SilenceIsNews, returns: false };
    found(&explore(&model, MOST_STATES));
}

#[test]
fn taking_any_return_of_the_store_for_an_outage_keeps_an_endpoint_that_has_left() {
    let model =
        RosterModel { faults: 1, rounds: 26, bug: RosterBug::AnyReturnIsOutage, returns: false };
    found(&explore(&model, MOST_STATES));
}

#[test]
fn taking_lapsed_entries_for_removed_ones_drops_an_endpoint_that_lives() {
    let model =
        RosterModel { faults: 1, rounds: 26, bug: RosterBug::NothingLapses, returns: false };
    found(&explore(&model, MOST_STATES));
}

/// Guards against requests to an endpoint that leaves after the store came back from an older copy, and
/// against dropping one that lives.
#[test]
fn an_endpoint_that_leaves_after_the_store_came_back_from_a_copy_is_known_to_leave() {
    let model = RosterModel { faults: 1, rounds: 24, bug: RosterBug::None, returns: true };
    held(&explore(&model, MOST_LIST_STATES));
}

#[test]
fn bare_numbers_keep_an_endpoint_that_left_after_the_store_came_back_from_a_copy() {
    let model = RosterModel { faults: 1, rounds: 24, bug: RosterBug::BareNumbers, returns: true };
    found(&explore(&model, MOST_LIST_STATES));
}

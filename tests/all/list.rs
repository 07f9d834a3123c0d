//! The endpoint list as it is passed on between processes.

use oleandertack::kind::{ClockTime, EndpointRecord, EndpointStage, InstanceId, TimeSpan};
use oleandertack::list::ListKeeper;

const NOW: ClockTime = ClockTime(1_000_000);

fn record(name: &str, stage: EndpointStage) -> EndpointRecord {
    EndpointRecord { instance: InstanceId::from(name), stage, ..EndpointRecord::default() }
}

fn live(names: &[&str]) -> Vec<EndpointRecord> {
    names.iter().map(|name| record(name, EndpointStage::Live)).collect()
}

#[test]
fn a_change_makes_lists_alike_and_dies_out() {
    let (mut relay, mut other) = (ListKeeper::default(), ListKeeper::default());

    let change = relay.take_read(live(&["a", "b"]), NOW);
    let news = other.take_change(&change);
    let again = other.take_change(&change);

    assert_eq!(relay.mark(), other.mark());
    assert!(!news.is_empty() && again.is_empty());
}

#[test]
fn one_empty_read_removes_nothing() {
    let mut keeper = ListKeeper::default();
    keeper.take_read(live(&["a", "b"]), NOW);

    let change = keeper.take_read(Vec::new(), NOW + TimeSpan::secs(1));

    assert!(change.is_empty());
    assert_eq!(keeper.len(), 2);
}

#[test]
fn what_reads_miss_for_long_is_gone() {
    let mut keeper = ListKeeper::default();
    keeper.take_read(live(&["a", "b"]), NOW);
    keeper.take_read(live(&["a"]), NOW + TimeSpan::secs(1));

    let change = keeper.take_read(live(&["a"]), NOW + TimeSpan::secs(6));

    assert_eq!(change.gone, [InstanceId::from("b")]);
}

#[test]
fn a_relay_that_lags_neither_revives_the_dead_nor_the_leaving() {
    // The caller would be sent to an endpoint that ended. Another relay reads an older list and
    // passes on that the endpoint is live.
    let mut keeper = ListKeeper::default();
    keeper.take_read(live(&["a", "b"]), NOW);
    keeper.take_read(vec![record("a", EndpointStage::Leaving)], NOW + TimeSpan::secs(1));
    keeper.take_read(vec![record("a", EndpointStage::Leaving)], NOW + TimeSpan::secs(6));
    let mut lagging = ListKeeper::default();
    let old = lagging.take_read(live(&["a", "b"]), NOW + TimeSpan::secs(8));

    let news = keeper.take_change(&old);

    assert!(news.is_empty());
    assert_eq!(keeper.len(), 1);
}

#[test]
fn a_gap_is_noticed_by_the_digest_and_filled() {
    // A change is lost on the way to one process. Its digest differs from its peers' for longer
    // than news takes, so it asks for the whole list.
    let (mut full, mut gapped) = (ListKeeper::default(), ListKeeper::default());
    let first = full.take_read(live(&["a"]), NOW);
    gapped.take_change(&first);
    full.take_read(live(&["a", "b"]), NOW + TimeSpan::secs(1));

    let at_once = gapped.compare(full.mark(), NOW + TimeSpan::secs(1));
    let later = gapped.compare(full.mark(), NOW + TimeSpan::secs(5));
    let whole = full.records().cloned().collect();
    gapped.take_whole(whole, full.mark().stamp);

    assert!(!at_once && later);
    assert_eq!(gapped.mark(), full.mark());
}

/// Callers lose an endpoint that lives for 15 s. A process missed the change that named it and got a later one; it then
/// passed for one that had heard of a later read than the others, and another, which heard of no
/// relay for 3 s, took its list for the whole and dropped what it lacks.
#[test]
fn a_process_with_a_gap_does_not_pass_for_one_that_knows_the_newest_read() {
    let later = |seconds| NOW + TimeSpan::secs(seconds);
    let (mut relay, mut full, mut gapped) =
        (ListKeeper::default(), ListKeeper::default(), ListKeeper::default());
    let first = relay.take_read(live(&["a"]), NOW);
    let second = relay.take_read(live(&["a", "b"]), later(1));
    let third = relay.take_read(live(&["a", "b", "c"]), later(2));
    [&first, &second].iter().for_each(|change| drop(full.take_change(change)));
    [&first, &third].iter().for_each(|change| drop(gapped.take_change(change)));

    let asks = [later(2), later(6)].map(|now| full.compare(gapped.mark(), now));
    let repairs = [later(2), later(6)].map(|now| gapped.compare(relay.mark(), now));

    assert_eq!((asks, full.len()), ([false, false], 2));
    assert_eq!(repairs, [false, true]);
}

//! Tests of the endpoint list of a front process, updated by the store and by peers.

use arbtest::arbtest;
use bytes::Bytes;
use oleandertack::kind::{ClockTime, TimeSpan};
use oleandertack::list::freshness::{latest_answer_time, merge_newer};
use oleandertack::list::{
    DecodedEntry, DoubtedEndpoint, ExpiryTimes, FreshnessNote, FreshnessStamp, RosterAction,
    RosterContext, RosterReplica, RosterStatus, RosterUpdate,
};
use oleandertack::plat::{FeedEvent, FeedObject, FeedPage};

const NOW: ClockTime = ClockTime(1_000_000);

pub fn listed(name: &str, revision: u64) -> FeedObject {
    FeedObject { name: name.into(), revision, body: Bytes::new() }
}

/// The context of an update at `now`; all entries have the same incarnation.
pub fn roster_context(now: ClockTime) -> RosterContext<'static, ()> {
    let times = ExpiryTimes { min_expiry: TimeSpan(1800), relist_delay: TimeSpan(2200) };
    RosterContext { times, now, decode: &|_| Ok(DecodedEntry { life: 1, entry: () }) }
}

fn at(ms: u64) -> ClockTime {
    NOW + TimeSpan(ms)
}

fn freshness(mark: u64, ms: u64) -> FreshnessStamp {
    FreshnessStamp { mark, at: at(ms), by: "front-0".into() }
}

/// Applies a read of the store at `mark` with these entries, all of revision 1.
fn read_store(replica: &mut RosterReplica, names: &[&str], mark: u64, ms: u64) {
    let objects = names.iter().map(|name| listed(name, 1)).collect();
    let page = FeedPage { objects, as_of: mark };
    replica.apply_store_list(&page, freshness(mark, ms), &roster_context(at(ms)));
}

/// A replica that has been in contact with the store for so long that no entry can have expired.
fn settled(names: &[&str]) -> RosterReplica {
    let mut replica = RosterReplica::default();
    (0..4).for_each(|second| read_store(&mut replica, names, 10, second * 1000));
    replica
}

fn names(replica: &RosterReplica) -> Vec<String> {
    replica.objects().iter().map(|object| object.name.to_string()).collect()
}

fn gone(name: &str, revision: u64) -> FeedEvent {
    FeedEvent::Gone { name: name.into(), revision }
}

fn status(mark: u64, unsettled: Option<u64>, doubted: &[&str]) -> RosterStatus {
    let doubt = |name: &&str| DoubtedEndpoint {
        name: (*name).into(),
        left: TimeSpan(1500),
        is_listed: false,
    };
    RosterStatus {
        needs_whole: false,
        omits_doubts: false,
        freshness: Some(FreshnessNote { mark, age: TimeSpan(0), by: "front-1".into() }),
        sum: 0,
        unsettled: unsettled.map(TimeSpan),
        doubted: doubted.iter().map(doubt).collect(),
    }
}

/// Guards against requests to an endpoint that has left: its removal arrives 0.5 s after a store
/// outage of 0.4 s, which is too short for an entry to expire.
#[test]
fn no_entry_expires_in_a_short_store_outage() {
    let mut replica = settled(&["a", "b"]);
    read_store(&mut replica, &["a", "b"], 10, 3400);

    replica.apply_store_changes(&[gone("a", 11)], freshness(11, 3900), &roster_context(at(3900)));

    assert_eq!(names(&replica), ["b"]);
}

/// Guards against refusing callers when all endpoints of a service expire during a store outage.
/// The endpoints are kept until they had time to return, and as long as the store does not answer,
/// but no longer.
#[test]
fn expired_entries_are_kept_until_they_could_have_returned() {
    let mut replica = settled(&["a", "b"]);
    read_store(&mut replica, &[], 12, 8000);
    let doubted = replica.doubts().count();
    read_store(&mut replica, &["a"], 13, 9000);
    let back = (names(&replica).len(), replica.doubts().count());
    read_store(&mut replica, &["a"], 13, 10_100);
    let early = names(&replica).len();
    read_store(&mut replica, &["a"], 13, 10_200);

    assert_eq!((doubted, back, early), (2, (2, 1), 2));
    assert_eq!(names(&replica), ["a"]);
}

/// Guards against requests to an endpoint that has left. A process that was cut off doubts the
/// entries it missed and tells its peers. The peers were in contact with the store all the time:
/// they remove the endpoint, and one that has already removed it does not add it again.
#[test]
fn contact_with_the_store_overrides_a_peers_doubt() {
    let mut keeps = settled(&["a", "b"]);
    let mut dropped = settled(&["a", "b"]);
    read_store(&mut dropped, &["b"], 11, 3500);
    let told = status(12, Some(1500), &["a"]);
    let whole = RosterUpdate::Whole(vec![listed("a", 1), listed("b", 1)]);

    for replica in [&mut keeps, &mut dropped] {
        replica.apply_update(&whole, (&told, TimeSpan(0)), None, &roster_context(at(4000)));
    }

    assert_eq!((names(&keeps), names(&dropped)), (vec!["b".to_owned()], vec!["b".to_owned()]));
}

/// A process that was cut off itself adopts the doubt of a peer together with its deadline.
#[test]
fn a_doubt_keeps_its_deadline_when_passed_on() {
    let mut cut_off = settled(&["a", "b"]);
    let told = status(12, Some(1500), &["a"]);
    let whole = RosterUpdate::Whole(vec![listed("a", 1), listed("b", 1)]);

    let late = TimeSpan(100);
    let actions = cut_off.apply_update(&whole, (&told, late), None, &roster_context(at(9000)));
    let passed = cut_off.status(at(9400)).doubted;

    let until = at(9000 + 1500 - 100);
    assert_eq!(actions, [RosterAction::Doubt { name: "a".into(), until }]);
    assert_eq!(
        passed,
        [DoubtedEndpoint { name: "a".into(), left: TimeSpan(1000), is_listed: false }]
    );
}

/// Guards against requests to an endpoint that has left: whatever the order, number and delay of
/// updates from peers, the newest store revision among them decides.
#[test]
fn the_order_of_peer_updates_does_not_matter() {
    arbtest(|u| {
        // Entry number n exists up to revision 20 + n.
        let page = |mark: u64| {
            let there = (0..4).filter(|n| mark < 20 + n);
            there.map(|n| listed(&format!("e{n}"), 2 + n)).collect::<Vec<_>>()
        };
        let mut replica = settled(&[]);
        let mut newest = 10;
        for told in 0..u.int_in_range(1..=8)? {
            let mark = u.int_in_range(12..=26)?;
            let doubts: &[&str] = if u.arbitrary()? { &["e1"] } else { &[] };
            let status = status(mark, None, doubts);
            let whole = RosterUpdate::Whole(page(mark));
            let news = roster_context(at(3000 + told * 100));
            replica.apply_update(&whole, (&status, TimeSpan(0)), None, &news);
            newest = mark.max(newest);
        }

        let there: Vec<_> = page(newest).iter().map(|object| object.name.to_string()).collect();
        assert!(names(&replica).iter().all(|name| there.contains(name)), "{newest}: {replica:?}");
        Ok(())
    });
}

/// Guards against accepting a revoked key: data that one process got from the store and passed on
/// ages at every process from the time of the store's answer, whoever forwards it.
#[test]
fn freshness_counts_from_the_last_answer_of_the_store() {
    let mut known = None;
    let told = |mark, age| FreshnessNote { mark, age: TimeSpan(age), by: "front-2".into() };

    merge_newer(&mut known, told(5, 300).received(TimeSpan(100), NOW));
    let first = known.as_ref().map(|freshness| freshness.age(NOW));
    merge_newer(&mut known, told(5, 900).received(TimeSpan(0), NOW));
    merge_newer(&mut known, told(4, 0).received(TimeSpan(0), NOW));
    let older = known.as_ref().map(|freshness| freshness.age(NOW));
    merge_newer(&mut known, told(5, 10).received(TimeSpan(0), NOW + TimeSpan(500)));
    let newer = known.as_ref().map(|freshness| freshness.age(NOW + TimeSpan(500)));

    assert_eq!((first, older, newer), (Some(TimeSpan(400)), first, Some(TimeSpan(10))));
}

/// Guards against requests to endpoints that left seconds ago: a process was paused while its watch
/// waited, and the answer it read after resuming was treated as the current state of the store.
#[test]
fn an_answer_read_after_a_pause_counts_from_its_latest_possible_time() {
    let wait = TimeSpan(500);

    let in_time = latest_answer_time(NOW, wait, at(120));
    let woken = latest_answer_time(NOW, wait, at(4000));
    let listed = latest_answer_time(NOW, TimeSpan(0), at(250));

    assert_eq!((in_time, woken, listed), (at(120), at(500), NOW));
}

//! Message sizes in large fleets, in virtual time: reports and answers of hundreds of processes
//! with ten times as many endpoints.

use crate::mesh::{CollectorRig, NOW, endpoint_hash, report, rig};
use crate::plays::{ProcessGroup, entry, play};
use crate::roster::{listed, roster_context};
use oleandertack::front::mesh::MeshPeers;
use oleandertack::kind::hash::mix_bits;
use oleandertack::kind::{ClockTime, RequestRate, TimeSpan};
use oleandertack::list::{
    DoubtedEndpoint, FreshnessStamp, PartRequest, PartStep, PartsAssembler, RosterPart,
    RosterReplica, RosterStatus, RosterUpdate, RosterVersion, SendBudget,
};
use oleandertack::mesh::{
    EndpointHash, EndpointLoad, EndpointSignals, LoadTable, MeshBody, NodeReport, RateShare,
    digest_part_sizes, signals_hash,
};
use oleandertack::plat::{FeedEvent, FeedObject, FeedPage};
use oleandertack::wire::{PeerHandler, encode_frame};
use std::collections::BTreeMap;

/// Endpoints per process.
const ENDPOINTS_EACH: usize = 10;
/// Reports per process and second.
const REPORTS_PER_S: usize = 4;
/// The limit on bytes per second that the collector may send at 300 processes.
const MOST_PER_S: usize = 3_000_000;
/// Endpoints at which one process has requests.
const BUSY_EACH: usize = 20;

fn endpoint(number: usize) -> String {
    format!("i-{number:010x}")
}

fn busy_loads(process: usize, endpoints: usize) -> Vec<EndpointLoad> {
    let load = |index: usize| {
        let lot = mix_bits((process * BUSY_EACH + index) as u64);
        let number = (process * ENDPOINTS_EACH + index) % endpoints;
        EndpointLoad {
            endpoint: endpoint_hash(&endpoint(number), 7),
            requests: 1 + (lot % 5) as u32,
            unread_tokens: (lot >> 8) % 30_000,
        }
    };
    (0..BUSY_EACH).map(load).collect()
}

/// A collector with `processes` reporters, all of which have reported.
fn fleet(processes: usize) -> CollectorRig {
    let endpoints = processes * ENDPOINTS_EACH;
    let mut rig = rig();
    let marks: Vec<EndpointHash> =
        (0..endpoints).map(|at| endpoint_hash(&endpoint(at), 7)).collect();
    rig.collector.set_endpoints(BTreeMap::from([("engine".into(), marks)]));
    for process in 0..processes {
        rig.take(busy_report(process, endpoints), NOW);
    }
    rig
}

fn busy_report(process: usize, endpoints: usize) -> NodeReport {
    NodeReport { loads: busy_loads(process, endpoints), ..report(&format!("front-{process}")) }
}

/// Guards against saturating the collector's link by sending each process the load of every
/// endpoint: answers arrive too late, and processes without answers refuse callers for lack of
/// limits.
#[test]
fn load_messages_do_not_grow_with_processes_times_endpoints() {
    for processes in [100, 300] {
        let mut rig = fleet(processes);
        let members_hash = rig.members_hash();

        let settled = |process| NodeReport {
            members_hash,
            ..busy_report(process, processes * ENDPOINTS_EACH)
        };
        let told = |process| {
            let digest = rig.take(settled(process), NOW + TimeSpan(250));
            encode_frame(1, MeshBody::Digest(Box::new(digest))).len()
        };
        let bytes: usize = (0..processes).map(told).sum();

        let per_s = bytes * REPORTS_PER_S;
        assert!(per_s < MOST_PER_S, "{processes} processes: {per_s} bytes a second");
    }
}

/// Guards against sending requests to engines with long queues: a process that was not sent their
/// load treats them as idle.
#[test]
fn engines_not_listed_for_a_process_count_with_the_mean() {
    let mut table = LoadTable::default();
    let names: Vec<EndpointHash> = (0..1000).map(|at| endpoint_hash(&endpoint(at), 7)).collect();
    table.set_endpoints(BTreeMap::from([("engine".into(), names.clone())]));
    let load = |endpoint| EndpointLoad { endpoint, requests: 4, unread_tokens: 1000 };
    let mut all: Vec<EndpointLoad> = names.iter().copied().map(load).collect();
    all[5].unread_tokens = 900_000;
    table.note(&"front-1".into(), &all, NOW);
    table.note(&"front-2".into(), &[load(names[5])], NOW);

    let news = table.loads_for(&"front-2".into(), NOW);
    let own = table.loads_for(&"front-1".into(), NOW);

    let at = |told: &oleandertack::mesh::LoadUpdate, endpoint| {
        told.loads.iter().find(|load| load.endpoint == endpoint).copied()
    };
    // The most loaded endpoint is sent to all processes, each time without the reporter's own load.
    assert_eq!(at(&news, names[5]).map(|load| load.unread_tokens), Some(900_000));
    assert_eq!(at(&own, names[5]).map(|load| load.unread_tokens), Some(1000));
    assert!(news.loads.len() < 128, "{}", news.loads.len());
    let mean = &news.means[0];
    assert_eq!((mean.requests, mean.unread_tokens), (4, 1000));
}

/// Guards against load that stays on engines after its process fell silent, or that counts twice
/// when the process reports again.
#[test]
fn load_counts_once_and_ends_with_its_process() {
    let mut table = LoadTable::default();
    let at = endpoint_hash("i-0", 7);
    let load = |requests| [EndpointLoad { endpoint: at, requests, unread_tokens: 10 }];
    table.note(&"front-1".into(), &load(5), NOW);
    table.note(&"front-1".into(), &load(3), NOW + TimeSpan(250));
    table.note(&"front-2".into(), &load(2), NOW + TimeSpan(250));

    let both = table.requests_at(at);
    table.note(&"front-2".into(), &load(2), NOW + TimeSpan(1500));

    assert_eq!((both, table.requests_at(at)), (5, 2));
    assert!(table.loads_for(&"front-2".into(), NOW + TimeSpan(1500)).loads.is_empty());
}

const LIST_LENGTH: usize = 3000;

fn page(count: usize, as_of: u64) -> FeedPage {
    let objects = (0..count).map(|at| listed(&endpoint(at), 1 + at as u64)).collect();
    FeedPage { objects, as_of }
}

/// A replica that has been in contact with the store for so long until `now` that no entry can have
/// expired.
fn replica_in_contact(page: &FeedPage, now: ClockTime) -> RosterReplica {
    let mut book = RosterReplica::default();
    for ago in [3000, 2000, 1000, 0] {
        let at = now - TimeSpan(ago);
        let freshness = FreshnessStamp { mark: page.as_of, at, by: "front-0".into() };
        book.apply_store_list(page, freshness, &roster_context(at));
    }
    book
}

fn change(book: &mut RosterReplica, events: &[FeedEvent], mark: u64, now: ClockTime) {
    let freshness = FreshnessStamp { mark, at: now, by: "front-0".into() };
    book.apply_store_changes(events, freshness, &roster_context(now));
}

/// Guards against saturating all links at a start: two processes that read the store at slightly
/// different times differ by one entry, and the collector sends each the whole list.
#[test]
fn a_slightly_older_list_is_updated_by_changes() {
    let page = page(LIST_LENGTH, 5000);
    let mut collector = replica_in_contact(&page, NOW);
    let mut other = replica_in_contact(&page, NOW);
    let put = FeedEvent::Put(listed("i-new", 5001));
    let gone = FeedEvent::Gone { name: endpoint(7).as_str().into(), revision: 5002 };
    let later = NOW + TimeSpan(100);
    change(&mut collector, &[put, gone], 5002, later);

    let update = collector.update_for(&other.status(later), None, 9);
    let told = (&collector.status(later), TimeSpan(0));
    other.apply_update(&update, told, None, &roster_context(later));

    assert!(matches!(&update, RosterUpdate::Changes(events) if events.len() == 2), "{update:?}");
    assert_eq!(other.status(later).sum, collector.status(later).sum);
    assert_eq!(other.revision(), 5002);
}

/// Guards against requests to an endpoint that has left: a process whose list is older than the
/// kept changes was sent only some of the changes.
#[test]
fn changes_no_longer_kept_are_not_skipped() {
    let mut collector = replica_in_contact(&page(LIST_LENGTH, 5000), NOW);
    let mut other = RosterStatus { freshness: None, sum: 1, ..RosterStatus::default() };

    let unheard = collector.update_for(&other, None, 9);
    other = replica_in_contact(&page(LIST_LENGTH, 4999), NOW).status(NOW);
    other.sum = 1;
    let older = collector.update_for(&other, None, 9);
    // Changes for ten times the list's length, so that the first ones are dropped.
    for mark in 5001..5001 + 10 * LIST_LENGTH as u64 {
        change(&mut collector, &[FeedEvent::Put(listed("i-new", mark))], mark, NOW);
    }
    let lost =
        RosterStatus { sum: 1, ..replica_in_contact(&page(LIST_LENGTH, 5000), NOW).status(NOW) };

    assert_eq!(unheard, RosterUpdate::InParts);
    assert_eq!(older, RosterUpdate::InParts);
    assert_eq!(collector.update_for(&lost, None, 9), RosterUpdate::InParts);
}

/// Guards against processes that never get a list because it takes longer on their slow links than
/// they wait for an answer.
#[test]
fn a_whole_list_is_assembled_from_parts() {
    let mut sender = replica_in_contact(&page(LIST_LENGTH, 5000), NOW);
    let mut parts = PartsAssembler::default();
    let mut ask = PartRequest::default();
    let mut largest = 0;
    let whole = loop {
        let part = sender.part(&ask, NOW);
        let body = MeshBody::Part(Box::new(part.clone()));
        largest = largest.max(encode_frame(1, body).len());
        // Meanwhile an entry is removed that was in a part already sent.
        let first = endpoint(0);
        change(
            &mut sender,
            &[FeedEvent::Gone { name: first.as_str().into(), revision: 5001 }],
            5001,
            NOW,
        );
        match parts.take(part, 0, (NOW, NOW + TimeSpan(40))) {
            PartStep::RequestAfter(name) => ask.after = Some(name),
            PartStep::Joined(whole) => break whole,
            PartStep::TooOld => panic!("it is as new"),
        }
    };
    let mut taker = RosterReplica::default();
    taker.apply_parts(&whole, &roster_context(NOW));
    let rest = sender.update_for(&taker.status(NOW), None, 9);
    taker.apply_update(&rest, (&sender.status(NOW), TimeSpan(0)), None, &roster_context(NOW));

    // 30 KB take 24 ms on a link of 10 Mbit/s.
    assert!(largest < 40_000, "{largest}");
    assert!(matches!(&rest, RosterUpdate::Changes(events) if events.len() == 1), "{rest:?}");
    assert_eq!(taker.status(NOW).sum, sender.status(NOW).sum);
}

/// Guards against assembling a list from parts of an older and a newer list, which would lack
/// entries missing from the older one.
#[test]
fn parts_of_an_older_list_are_rejected() {
    let newer = replica_in_contact(&page(LIST_LENGTH, 5000), NOW);
    let older = replica_in_contact(&page(LIST_LENGTH - 1, 4000), NOW);
    let mut parts = PartsAssembler::default();
    let times = (NOW, NOW);
    let first = PartRequest::default();
    let empty = RosterPart { status: RosterStatus::default(), ..older.part(&first, NOW) };

    assert_eq!(parts.clone().take(older.part(&first, NOW), 4500, times), PartStep::TooOld);
    assert_eq!(parts.clone().take(empty, 0, times), PartStep::TooOld);
    let PartStep::RequestAfter(after) = parts.take(newer.part(&first, NOW), 0, times) else {
        panic!("there is more");
    };
    let second = PartRequest { since: None, after: Some(after.clone()) };
    assert_eq!(parts.take(older.part(&second, NOW), 0, times), PartStep::TooOld);
    let next: Vec<FeedObject> = newer.part(&second, NOW).objects;
    assert!(next.iter().all(|object| object.name > after));
}

/// Guards against late answers of the collector while hundreds of endpoints start or leave, when
/// each answer carries all changes.
#[test]
fn many_changes_travel_in_parts() {
    let page = page(LIST_LENGTH, 5000);
    let mut sender = replica_in_contact(&page, NOW);
    let mut taker = replica_in_contact(&page, NOW);
    let later = NOW + TimeSpan(100);
    let puts = (0..900).map(|at| FeedEvent::Put(listed(&endpoint(at), 5001 + at as u64)));
    let name = endpoint(LIST_LENGTH - 1).as_str().into();
    let gone = FeedEvent::Gone { name, revision: 6000 };
    change(&mut sender, &puts.chain([gone]).collect::<Vec<_>>(), 6000, later);

    let update = sender.update_for(&taker.status(later), None, 9);
    let mut parts = PartsAssembler::default();
    let mut ask = PartRequest { since: Some(taker.revision()), after: None };
    let mut asked = 1;
    let joined = loop {
        match parts.take(sender.part(&ask, later), 5000, (later, later)) {
            PartStep::RequestAfter(name) => ask.after = Some(name),
            PartStep::Joined(joined) => break joined,
            PartStep::TooOld => panic!("it is newer"),
        }
        asked += 1;
    };
    taker.apply_parts(&joined, &roster_context(later));

    assert_eq!((update, asked), (RosterUpdate::InParts, 9));
    assert_eq!(taker.status(later).sum, sender.status(later).sum);
    assert_eq!(taker.objects().len(), LIST_LENGTH - 1);
}

/// Guards against saturating links while hundreds of processes start: each start changes the
/// members, and every answer carried the whole member list.
#[test]
fn the_members_are_not_sent_at_each_change() {
    let mut rig = rig();
    let differs = || NodeReport { members_hash: 1, ..report("front-1") };

    let first = rig.take(differs(), NOW);
    let soon = rig.take(differs(), NOW + TimeSpan(10));
    let later = rig.take(differs(), NOW + TimeSpan(500));

    assert!(first.members.is_some() && soon.members.is_none() && later.members.is_some());
}

/// Guards against requests to an endpoint four seconds after it announced that it leaves: a process
/// missed that change in a watch after the store discarded its history, and was then sent only the
/// changes since the revision that it believed its list to have.
#[test]
fn a_list_with_a_hole_is_repaired_while_the_store_advances() {
    let page = page(100, 5000);
    let mut collector = replica_in_contact(&page, NOW);
    let mut other = replica_in_contact(&page, NOW);
    let missed = FeedEvent::Put(listed(&endpoint(3), 5001));
    change(&mut collector, &[missed], 5001, NOW);
    // The other process's watch was answered at the same revision but without the change.
    change(&mut other, &[], 5001, NOW);

    for step in 1..=3 {
        let (mark, now) = (5001 + step, NOW + TimeSpan(250 * step));
        change(&mut collector, &[FeedEvent::Put(listed("i-new", mark))], mark, now);
        let update = collector.update_for(&other.status(now), other.followed(), 9);
        let state = RosterVersion { source: 9, number: collector.change_count() };
        let told = (&collector.status(now), TimeSpan(0));
        other.apply_update(&update, told, Some(state), &roster_context(now));
        let age = other.freshness().map(|freshness| now - freshness.at);
        let agrees = other.status(now).sum == collector.status(now).sum;
        // An update known to be incomplete does not make the list fresher.
        assert!(agrees || age > Some(TimeSpan(0)), "step {step}");
    }

    let at_end = NOW + TimeSpan(750);
    assert_eq!(other.status(at_end).sum, collector.status(at_end).sum);
}

/// Guards against saturating the collector's link while endpoints are overloaded: their signals are
/// sent to all processes in each answer.
#[test]
fn a_hundred_limited_endpoints_add_little_to_an_exchange_once_known() {
    let signals = |at: u64| EndpointSignals {
        instance: format!("i-{at:08x}").as_str().into(),
        life: 1_790_000_000_000 + at,
        limit: Some(RequestRate::per_second(2.8)),
        age: TimeSpan(350),
        brittle: None,
        room: None,
        leaves: false,
    };
    let share = |at: u64| RateShare {
        endpoint: EndpointHash::of(&format!("i-{at:08x}").as_str().into(), at),
        per_s: 0.85,
    };
    let words: Vec<EndpointSignals> = (0..100).map(signals).collect();
    // Each of 60 processes has shares of five of a hundred endpoints that have three holders each.
    let shares: Vec<RateShare> = (0..5).map(share).collect();

    let (all, each) = (bytes_of(Some(words.clone()), Vec::new()), bytes_of(None, shares));

    assert!(all < 5000, "{all} bytes once");
    assert!(each < 80, "{each} bytes in each answer");
    let mut changed = words.clone();
    changed[7].age = TimeSpan(900);
    assert_eq!(signals_hash(&words), signals_hash(&changed), "an age is no change");
    changed.push(EndpointSignals { limit: None, ..signals(200) });
    assert_eq!(signals_hash(&words), signals_hash(&changed), "nor an end that others never knew");
    changed[7].limit = Some(RequestRate::per_second(2.7));
    assert_ne!(signals_hash(&words), signals_hash(&changed));
}

/// The bytes of an answer taken by these signals and shares.
fn bytes_of(words: Option<Vec<EndpointSignals>>, rates: Vec<RateShare>) -> usize {
    let mut digest = rig().take(report("front-1"), NOW);
    (digest.words, digest.rates) = (words, Some(rates));
    let account = digest_part_sizes(&digest);
    account.iter().find(|(part, _)| *part == "words").map(|(_, bytes)| *bytes).expect("counted")
}

/// Guards against late answers of the collector, and with them lost limits and a second collector, while
/// hundreds of processes lack thousands of entries of the endpoint list.
#[test]
fn list_content_leaves_most_of_the_link_to_short_answers() {
    const LINK_MBPS: f64 = 200.0;
    const LINK_BYTES_PER_S: usize = 25_000_000;
    const PART_BYTES: usize = 30_000;
    let mut budget = SendBudget::of_link(LINK_MBPS);
    let mut sent = 0;

    for ms in 0..2000 {
        let now = NOW + TimeSpan(ms);
        // Each of 300 processes asks for a part every 100 ms.
        for _ in 0..3 {
            if budget.is_open(now) {
                budget.take(PART_BYTES);
                sent += PART_BYTES;
            }
        }
    }

    assert!(sent / 2 < LINK_BYTES_PER_S * 4 / 10, "{sent} bytes in 2 s");
    assert!(sent / 2 > LINK_BYTES_PER_S / 5, "{sent} bytes in 2 s");
}

/// Guards against a process whose link is full of the endpoint list because many ask it for parts at the
/// same moment.
#[test]
fn a_process_does_not_send_every_part_that_it_is_asked_for_at_once() {
    const ASKED: usize = 3000;
    const LINK_BYTES_PER_S: usize = 125_000_000;
    play(async {
        let group = ProcessGroup::start(1).await;
        let registry = group.registry();
        let body = String::from_utf8(entry("ready").to_vec()).expect("text");
        (0..400).for_each(|at| registry.put(&endpoint(at), body.clone()));
        group.until_listed(403).await;
        let peers = MeshPeers(group.processes[0].node.clone());

        let mut bytes = 0;
        for _ in 0..ASKED {
            let answer = peers.answer(MeshBody::RequestPart(PartRequest::default())).await;
            bytes += encode_frame(1, answer).len();
        }

        assert!(bytes < LINK_BYTES_PER_S / 4, "{bytes} bytes at once");
    });
}

/// Guards against reports that fill the collector's link after processes lost touch with the store: each
/// names every entry that it doubts, four times a second.
#[test]
fn a_report_does_not_name_a_thousand_doubts() {
    let doubt = |at: usize| DoubtedEndpoint {
        name: endpoint(at).as_str().into(),
        left: TimeSpan(1000),
        is_listed: false,
    };
    let mut collector = replica_in_contact(&page(LIST_LENGTH, 5000), NOW);
    let known = collector.status(NOW);
    let mut theirs = replica_in_contact(&page(LIST_LENGTH, 5001), NOW).status(NOW);
    theirs.sum = 1;
    theirs.doubted = (0..1000).map(doubt).collect();

    let reported = theirs.clone().for_report();

    let bytes = |roster: RosterStatus| {
        let report = NodeReport { roster, ..report("front-1") };
        encode_frame(1, MeshBody::Report(Box::new(report))).len()
    };
    assert!(bytes(reported.clone()) < bytes(RosterStatus::default()) + 200);
    // Without the doubts the list must not be taken for newer, nor its freshness for one of all entries.
    assert!(collector.lacks(&theirs, NOW) && !collector.lacks(&reported, NOW));
    let told = (&reported, TimeSpan(0));
    let changes = RosterUpdate::Changes(Vec::new());
    collector.apply_update(&changes, told, None, &roster_context(NOW));
    assert_eq!(collector.status(NOW), known);
}

/// Guards against processes that get no parts of the list long after a wave of changes: small updates are sent
/// whatever the budget, and what they took was to be earned back first.
#[test]
fn parts_are_sent_again_within_a_second_after_a_wave_of_small_updates() {
    let mut budget = SendBudget::of_link(10.0);
    for ms in 0..10_000 {
        budget.is_open(NOW + TimeSpan(ms));
        budget.take(4000);
    }
    let end = NOW + TimeSpan(10_000);

    assert!(!budget.is_open(end));
    assert!(budget.is_open(end + TimeSpan(1001)));
}

//! Tests of the choice of the collector and of how it handles reports.

use crate::roster::{listed, roster_context};
use oleandertack::call::{AccountRule, CallerBounds, RuleSet};
use oleandertack::kind::{AccountName, ClockTime, InstanceId, TimeSpan};
use oleandertack::limit::{AllotmentClaim, PoolLedger, PoolLimit, PriorLedger};
use oleandertack::list::{FreshnessNote, RosterReplica, RosterStatus, RosterUpdate, RosterVersion};
use oleandertack::mesh::{
    AccountClaim, CollectorContext, EndpointHash, EndpointLoad, MemberInfo, MeshBody,
    MeshCollector, MeshDigest, MeshView, NodeReport, NodeUsage, PauseDetector, RulesStatus,
    ServicePace, TrueClock, UsageCount, collector_capacity, median_offset,
};
use oleandertack::pace::ReadPace;
use oleandertack::plat::FeedEvent;
use oleandertack::release::OrderNews;
use oleandertack::suspect::SuspectTracker;
use oleandertack::wire::encode_frame;

pub const NOW: ClockTime = ClockTime(1_000_000);
pub const TRUE_NOW: ClockTime = ClockTime(1_700_000_000_000);

fn member(name: &str) -> MemberInfo {
    MemberInfo {
        id: name.into(),
        domain: "kopli".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        life: 1,
        leaving: false,
        unfit: false,
        capacity: 0,
        caller_address: None,
        unreached_services: Vec::new(),
        binds_streams: true,
        takes_parts: true,
        edition: 0,
    }
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("front-{n}")).collect()
}

/// The views of processes that all know one another.
fn views(count: usize) -> Vec<MeshView> {
    let names = names(count);
    let view = |me: &String| {
        let mut view = MeshView::new(member(me));
        names.iter().for_each(|name| view.take(member(name), true, NOW));
        view
    };
    names.iter().map(view).collect()
}

fn choices(views: &mut [MeshView], true_now: ClockTime, now: ClockTime) -> Vec<InstanceId> {
    views.iter_mut().map(|view| view.choose_collector(true_now, now).id).collect()
}

#[test]
fn processes_that_know_one_another_choose_the_same_collector() {
    let chosen = choices(&mut views(9), TRUE_NOW, NOW);

    assert!(chosen.iter().all(|id| *id == chosen[0]), "{chosen:?}");
}

#[test]
fn a_collector_that_does_not_answer_is_skipped_and_retried() {
    let mut views = views(3);
    let first = choices(&mut views, TRUE_NOW, NOW)[0].clone();
    views.iter_mut().for_each(|view| view.mark_unresponsive(&first, NOW));

    let next = choices(&mut views, TRUE_NOW, NOW + TimeSpan(10));
    let later = choices(&mut views, TRUE_NOW + TimeSpan(5000), NOW + TimeSpan(5000));

    let others: Vec<_> = next.iter().filter(|id| **id != first).collect();
    assert!(others.len() >= 2 && others.iter().all(|id| *id == others[0]), "{next:?}");
    assert_eq!(later[0], first);
}

#[test]
fn the_collector_stays_for_its_term_when_a_member_of_higher_rank_joins() {
    // Guards against moving the collector with every restart while machines are restarted one after
    // the other: two collectors side by side gave out half of each limit.
    let mut view = MeshView::new(member("front-0"));
    let first = view.choose_collector(TRUE_NOW, NOW).id;

    names(9).iter().for_each(|name| view.take(member(name), true, NOW));
    let in_term = view.choose_collector(TRUE_NOW + TimeSpan(100), NOW + TimeSpan(100)).id;
    let next_term = view.choose_collector(TRUE_NOW + TimeSpan(5000), NOW + TimeSpan(5000)).id;

    assert_eq!(in_term, first);
    assert_eq!(next_term, choices(&mut views(9), TRUE_NOW, NOW)[0]);
}

#[test]
fn a_process_that_starts_follows_the_collector_of_the_others() {
    // Guards against exceeding a limit: five of nine processes were killed, restarted, and chose a
    // collector among themselves, while the other four kept theirs for the rest of the term.
    let first = choices(&mut views(9), TRUE_NOW, NOW)[0].clone();
    let kept = names(9).into_iter().rev().find(|name| *name != first.as_str()).expect("another");
    let mut starting = views(9).remove(0);

    starting.follow_collector(member(&kept), TRUE_NOW, NOW);
    let in_term = starting.choose_collector(TRUE_NOW + TimeSpan(10), NOW + TimeSpan(10)).id;
    let next_term = starting.choose_collector(TRUE_NOW + TimeSpan(5000), NOW + TimeSpan(5000)).id;

    assert_eq!(in_term.as_str(), kept);
    assert_eq!(next_term, first);
}

/// Guards against a collector on a slow link: one of 83 processes, with a link of 10 Mbit/s,
/// collects, and its digests saturate the link, so that limits become stale and processes query the
/// store themselves. Six others have twenty times the bandwidth; one of them must collect as long
/// as it is fit.
#[test]
fn instances_with_strong_links_collect_before_small_ones() {
    let strong = collector_capacity(200.0, 0.5);
    let small = collector_capacity(10.0, 0.12);
    let mut view = MeshView::new(MemberInfo { capacity: small, ..member("front-0") });
    let sized = |(at, name): (usize, String)| MemberInfo {
        capacity: if at < 3 { strong } else { small },
        ..member(&format!("other-{name}"))
    };
    names(40).into_iter().enumerate().map(sized).for_each(|member| view.take(member, true, NOW));

    let first = view.choose_collector(TRUE_NOW, NOW);
    view.mark_unresponsive(&first.id, NOW);
    let second = view.choose_collector(TRUE_NOW, NOW + TimeSpan(10));

    assert!(small < strong, "{small} {strong}");
    assert_eq!((first.capacity, second.capacity), (strong, strong));
    assert_ne!(first.id, second.id);
}

#[test]
fn a_member_that_leaves_or_is_refused_by_the_store_does_not_collect() {
    let mut all = views(4);
    let first = choices(&mut all, TRUE_NOW, NOW)[0].clone();
    for changed in [
        MemberInfo { leaving: true, edition: 1, ..member(first.as_str()) },
        MemberInfo { unfit: true, edition: 2, ..member(first.as_str()) },
    ] {
        all.iter_mut().for_each(|view| view.take(changed.clone(), true, NOW));

        let chosen = choices(&mut all, TRUE_NOW, NOW);

        let others = chosen.iter().zip(&all).filter(|(_, view)| view.me().id != first);
        assert!(others.into_iter().all(|(id, _)| *id != first), "{changed:?}");
    }
}

#[test]
fn old_member_info_is_ignored() {
    let mut view = MeshView::new(member("front-0"));
    view.take(MemberInfo { leaving: true, edition: 1, ..member("front-1") }, true, NOW);

    view.take(member("front-1"), false, NOW);
    assert_eq!(view.serving(), 1);

    view.take(MemberInfo { life: 2, ..member("front-1") }, false, NOW);
    assert_eq!(view.serving(), 2);
}

#[test]
fn true_time_is_the_median_of_the_clocks() {
    // Guards against counting usage in the wrong windows: the wall clock jumps by seconds on a
    // third of the machines and back again.
    assert_eq!(median_offset(vec![100, 101, 99, 2500, -1900]), Some(100));

    let mut clock = TrueClock::default();
    clock.set(TRUE_NOW, TimeSpan(10), NOW);
    let jumped = ClockTime(TRUE_NOW.0 + 60_000);
    assert_eq!(clock.read(NOW + TimeSpan(1000), jumped), TRUE_NOW + TimeSpan(1005));
}

/// A report without content.
pub fn report(name: &str) -> NodeReport {
    NodeReport {
        member: member(name),
        wall: TRUE_NOW,
        term: 0,
        members_hash: 0,
        served: false,
        rules: RulesStatus { version: 1, freshness: None },
        roster: status(1, 0, 1),
        roster_version: None,
        claims: Some(Vec::new()),
        bond: None,
        handed: None,
        usage: Vec::new(),
        loads: Vec::new(),
        demand: Vec::new(),
        inherited_usage: Vec::new(),
        paces: Vec::new(),
        evidence: Vec::new(),
        route_evidence: Vec::new(),
        releases: Vec::new(),
        suspects: Vec::new(),
        suspects_hash: 0,
        words: Vec::new(),
        signals_hash: 0,
        unreached: Vec::new(),
        rules_text: None,
        roster_update: None,
    }
}

fn count(window: u64, count: u64) -> UsageCount {
    UsageCount { window, account: "tartu".into(), count }
}

/// A collector and the state of its process.
pub struct CollectorRig {
    view: MeshView,
    pub collector: MeshCollector,
    rules: RuleSet,
    roster: RosterReplica,
    limit: Option<PoolLimit>,
    pub oldest_term: u64,
    paces: Vec<ServicePace>,
}

/// A collector that has received no report.
pub fn rig() -> CollectorRig {
    CollectorRig {
        view: views(3).remove(0),
        collector: MeshCollector::begin(NOW).with_ledger(PoolLedger::begin(
            1,
            PriorLedger::Absent,
            NOW,
        )),
        rules: RuleSet::new(1, CallerBounds::default()),
        roster: RosterReplica::default(),
        limit: None,
        oldest_term: 0,
        paces: Vec::new(),
    }
}

impl CollectorRig {
    pub fn take(&mut self, report: NodeReport, now: ClockTime) -> MeshDigest {
        let suspects = SuspectTracker::default();
        let context = CollectorContext {
            suspects: &suspects,
            rules: Some(&self.rules),
            rules_text: None,
            rules_status: RulesStatus { version: 5, freshness: None },
            roster: &self.roster,
            source: 9,
            limit_of: &|_: &AccountName| self.limit,
            reported_window: 0,
            peaks: Vec::new(),
            paces: self.paces.clone(),
            lease: None,
            releases: OrderNews::default(),
            oldest_term: self.oldest_term,
            now,
        };
        self.collector.take(report, &self.view, &context)
    }
}

impl CollectorRig {
    pub fn members_hash(&self) -> u64 {
        self.view.members_hash()
    }
}

/// The status of a process that was sent a list at `mark`, `age` ms ago.
fn status(mark: u64, age: u64, sum: u64) -> RosterStatus {
    let freshness = FreshnessNote { mark, age: TimeSpan(age), by: "front-2".into() };
    RosterStatus { freshness: Some(freshness), sum, ..RosterStatus::default() }
}

impl CollectorRig {
    /// The collector applies another process's list at `mark`.
    fn apply_list(&mut self, names: &[&str], mark: u64) {
        let objects = names.iter().map(|name| listed(name, 5)).collect();
        let update = RosterUpdate::Whole(objects);
        let sender = (&status(mark, 0, 1), TimeSpan(0));
        self.roster.apply_update(&update, sender, None, &roster_context(NOW));
    }

    /// Adds an account with a limit to the rules.
    pub fn limit_account(&mut self) {
        let account = AccountRule {
            name: "tartu".into(),
            keys: Vec::new(),
            rank: None,
            tokens_per_s: Some(1000),
            burst_tokens: 1000,
            plain_tokens: 200,
        };
        self.rules = RuleSet::new(1, CallerBounds::default()).with_account(account);
        let window = TimeSpan(8000);
        self.limit =
            Some(PoolLimit { rate_per_s: 1000.0, burst: 1000.0, overshoot: 100_000.0, window });
    }
}

#[test]
fn usage_received_twice_or_out_of_order_counts_once() {
    let mut rig = rig();

    rig.take(NodeReport { usage: vec![count(7, 5)], ..report("front-1") }, NOW);
    rig.take(NodeReport { usage: vec![count(7, 9)], ..report("front-1") }, NOW);
    rig.take(NodeReport { usage: vec![count(7, 5)], ..report("front-1") }, NOW);
    rig.take(NodeReport { usage: vec![count(7, 2)], ..report("front-2") }, NOW);

    assert_eq!(rig.collector.usage_of(7).get(&AccountName::from("tartu")), Some(&11));
}

#[test]
fn usage_of_a_stopped_process_reaches_the_next_collector() {
    // Guards against reporting too little usage: a process stopped, then the collector that had its
    // last counts, and the next collector never received them.
    let mut first = rig();
    first.take(NodeReport { usage: vec![count(7, 5)], ..report("front-1") }, NOW);
    let passed: Vec<NodeUsage> = first.collector.usage();

    let mut second = rig();
    second.take(NodeReport { inherited_usage: passed, ..report("front-0") }, NOW);

    assert_eq!(second.collector.usage_of(7).get(&AccountName::from("tartu")), Some(&5));
}

#[test]
fn a_process_with_the_collectors_list_gets_only_changes() {
    let mut rig = rig();
    rig.apply_list(&["i-0", "i-1"], 5);
    let first = rig.take(report("front-1"), NOW);
    let state = Some(first.roster_version);
    rig.apply_list(&["i-1"], 6);

    let later = rig.take(NodeReport { roster_version: state, ..report("front-1") }, NOW);
    let other = Some(RosterVersion { source: 8, number: 1 });
    let moved = rig.take(NodeReport { roster_version: other, ..report("front-1") }, NOW);
    let same = status(4, 0, rig.roster.status(NOW).sum);
    let alike = rig.take(NodeReport { roster: same, ..report("front-1") }, NOW);

    assert!(matches!(&first.roster_update, RosterUpdate::Whole(objects) if objects.len() == 2));
    let gone = FeedEvent::Gone { name: "i-0".into(), revision: 5 };
    assert_eq!(later.roster_update, RosterUpdate::Changes(vec![gone]));
    assert!(matches!(&moved.roster_update, RosterUpdate::Whole(objects) if objects.len() == 1));
    assert_eq!(alike.roster_update, RosterUpdate::Changes(Vec::new()));
}

#[test]
fn a_collector_requests_the_list_of_a_process_that_is_ahead() {
    // Guards against requests to a removed endpoint for 5 s: the collector's watch fell silent
    // without closing, and the collector counted as up to date although another process had the
    // change.
    let mut rig = rig();
    rig.apply_list(&["i-0"], 5);

    let ahead = NodeReport { served: true, roster: status(6, 0, 7), ..report("front-1") };
    let digest = rig.take(ahead, NOW);

    assert!(digest.wants_roster);
    assert_eq!(digest.roster_update, RosterUpdate::Behind);
    assert!(rig.collector.is_other_served(&"front-0".into(), NOW));
    // A process with the same list has nothing to send.
    let same = status(6, 0, rig.roster.status(NOW).sum);
    assert!(!rig.take(NodeReport { roster: same, ..report("front-1") }, NOW).wants_roster);
}

/// Guards against requests to endpoints that left seconds ago. After a pause the collector finds
/// reports in its sockets, whose ages hold for the time they were written, and passes their data on
/// as if they had just been written.
#[test]
fn ages_in_a_report_count_from_when_it_was_written() {
    let mut rig = rig();
    let later = |ms| NOW + TimeSpan(ms);
    let sent = |ms| NodeReport { wall: TRUE_NOW + TimeSpan(ms), ..report("front-1") };
    rig.take(sent(0), NOW);

    let in_time = rig.collector.report_delay(&sent(250), TRUE_NOW + TimeSpan(250), later(252));
    let late = rig.collector.report_delay(&sent(500), TRUE_NOW + TimeSpan(4500), later(4500));
    let unheard = NodeReport { wall: TRUE_NOW, ..report("front-2") };
    let unheard = rig.collector.report_delay(&unheard, TRUE_NOW + TimeSpan(3000), later(3000));

    assert_eq!((in_time, late, unheard), (TimeSpan(2), TimeSpan(4000), TimeSpan(3000)));
}

/// Guards against an account that gets 8 % too much. The collector dies 20 s after a follower first
/// learned of the other members. The follower knew them only from the collector's list, and removed
/// each 20 s after its first mention. It chooses another collector than processes that learned of a
/// member later, and two groups give out every account's limit independently.
#[test]
fn members_named_by_the_collector_are_kept() {
    let mut view = MeshView::new(member("front-1"));
    let others = || vec![member("front-0"), member("front-2"), member("front-3")];
    view.apply_members(others(), NOW);
    view.apply_members(others(), NOW + TimeSpan(19_000));

    view.sweep(NOW + TimeSpan(21_000));

    assert_eq!(view.serving(), 4);
}

#[test]
fn an_unchanged_member_list_refreshes_the_members() {
    let mut view = MeshView::new(member("front-1"));
    view.apply_members(vec![member("front-0"), member("front-2")], NOW);
    view.refresh_members(NOW + TimeSpan(19_000));

    view.sweep(NOW + TimeSpan(21_000));

    assert_eq!(view.serving(), 3);
}

#[test]
fn members_no_longer_named_are_removed() {
    let mut view = MeshView::new(member("front-1"));
    view.apply_members(vec![member("front-0"), member("front-2")], NOW);
    view.refresh_members(NOW + TimeSpan(1000));

    view.sweep(NOW + TimeSpan(21_000));

    assert_eq!(view.serving(), 1);
}

/// Guards against exceeding limits after a restart of all processes: each has three peers in its
/// settings, learns of all nine from them at once, and has no collector yet. With a third of the
/// limit each, it would admit three times its share.
#[test]
fn limits_are_shared_among_all_known_members_before_a_collector_answers() {
    let mut view = MeshView::new(member("front-0"));
    assert_eq!(view.limit_sharers(3), 3);

    names(9).iter().for_each(|name| view.take(member(name), false, NOW));

    assert_eq!(view.limit_sharers(3), 9);
}

/// Guards against unreported usage and limits given out twice for 5 s. A process that has just
/// returned has the highest priority. The others' clocks reach the term a few ms before its own:
/// they ask it to collect, and it redirected them to the previous collector for the whole term,
/// then collected alone.
#[test]
fn a_process_asked_before_its_own_clock_reaches_the_term_collects() {
    let term_begin = ClockTime(TRUE_NOW.0 / 5000 * 5000 + 5000);
    let first = choices(&mut views(4), term_begin, NOW)[0].clone();
    let last = names(4).iter().map(|name| InstanceId::from(name.as_str())).find(|id| *id != first);
    let mut asked = views(4).into_iter().find(|view| view.me().id == first).expect("one of them");
    let before = ClockTime(term_begin.0 - 10);
    asked.follow_collector(member(last.expect("another").as_str()), before, NOW);

    asked.enter_term(term_begin.0 / 5000, before, NOW);

    assert!(asked.collects());
    // The choice holds if its own clock has not reached the term at its next report.
    assert_eq!(asked.choose_collector(ClockTime(term_begin.0 - 5), NOW + TimeSpan(5)).id, first);
    assert_eq!(asked.choose_collector(term_begin + TimeSpan(100), NOW + TimeSpan(110)).id, first);
}

/// A process whose clock is wrong by minutes asks another to collect in a term that is far away.
#[test]
fn a_term_far_ahead_is_not_entered() {
    let mut view = views(4).remove(0);
    view.choose_collector(TRUE_NOW, NOW);
    let term = view.term();

    view.enter_term(term + 20, TRUE_NOW, NOW);

    assert_eq!(view.term(), term);
}

/// Guards against saturating the collector's link: 83 processes get a digest four times a second.
/// The size of a digest is stated in docs/CAPACITY.md.
#[test]
fn a_digest_of_a_large_deployment_stays_small() {
    let mut rig = rig();
    let accounts = (0..16).map(|number| AccountRule {
        name: format!("account-{number:02}").as_str().into(),
        keys: Vec::new(),
        rank: None,
        tokens_per_s: Some(1_000_000),
        burst_tokens: 1_000_000,
        plain_tokens: 200,
    });
    let empty = RuleSet::new(1, CallerBounds::default());
    rig.rules = accounts.fold(empty, RuleSet::with_account);
    let window = TimeSpan(8000);
    rig.limit = Some(PoolLimit { rate_per_s: 1e6, burst: 1e6, overshoot: 1e6, window });
    let claim = |number: usize| AccountClaim {
        account: format!("account-{number:02}").as_str().into(),
        claim: AllotmentClaim {
            number: 1,
            spent: 3_000_000,
            ceiling: 3_100_000,
            ..AllotmentClaim::default()
        },
    };
    let load = |number: usize| EndpointLoad {
        endpoint: endpoint_hash(&format!("i-{number:010}"), 1_750_000_000_000),
        requests: 12,
        unread_tokens: 40_000,
    };
    let busy = NodeReport {
        claims: Some((0..16).map(claim).collect()),
        loads: (0..75).map(load).collect(),
        ..report("front-1")
    };
    let settled = NOW + TimeSpan(600);
    rig.take(busy, settled);

    let state = Some(RosterVersion { source: 9, number: 0 });
    rig.apply_list(&[], 5);
    let known = NodeReport {
        roster_version: state,
        members_hash: rig.view.members_hash(),
        rules: RulesStatus { version: 5, freshness: None },
        ..report("front-2")
    };
    let digest = MeshBody::Digest(Box::new(rig.take(known, settled + TimeSpan(10))));

    let bytes = encode_frame(1, digest).len();
    assert!((1600..2000).contains(&bytes), "{bytes}");
}

/// Guards against refusing accounts below their limits for seconds: the collector was suspended
/// while the others chose another one, and resumed with its old windows because its monotonic clock
/// had stopped too.
#[test]
fn a_process_detects_that_it_was_paused() {
    let mut watch = PauseDetector::default();
    let later = |ms: u64| ClockTime(TRUE_NOW.0 + ms);

    assert!(!watch.was_paused(TRUE_NOW, NOW));
    assert!(!watch.was_paused(later(250), NOW + TimeSpan(250)));
    // Suspended for 4 s between two checks.
    assert!(watch.was_paused(later(4500), NOW + TimeSpan(500)));
    assert!(!watch.was_paused(later(4750), NOW + TimeSpan(750)));
    // Only the process was stopped: all its clocks went on.
    assert!(!watch.was_paused(later(5800), NOW + TimeSpan(1800)));
    assert!(watch.was_paused(later(9200), NOW + TimeSpan(5200)));
    assert!(!watch.was_paused(later(9450), NOW + TimeSpan(5450)));
}

/// Guards against a new endpoint that gets no requests for a second: it restarted under the same
/// name, and load that others still report for its earlier incarnation was counted for the new one.
#[test]
fn load_of_two_incarnations_of_an_endpoint_is_separate() {
    let mut rig = rig();
    let load = |life, requests| EndpointLoad {
        endpoint: endpoint_hash("i-0", life),
        requests,
        unread_tokens: 0,
    };
    let former = NodeReport { loads: vec![load(1000, 9)], ..report("front-1") };
    let next = NodeReport { loads: vec![load(9000, 2)], ..report("front-2") };
    rig.take(former, NOW);
    rig.take(next, NOW);

    let digest = rig.take(report("front-3"), NOW);

    let mut told = digest.loads.loads;
    told.sort_by_key(|load| load.requests);
    assert_eq!(told, [load(9000, 2), load(1000, 9)]);
}

/// The hash of an endpoint's incarnation.
pub fn endpoint_hash(instance: &str, life: u64) -> EndpointHash {
    EndpointHash::of(&instance.into(), life)
}

fn pace(service: &str, per_ms: f32, seen: f32) -> ServicePace {
    ServicePace { service: service.into(), read: ReadPace { per_ms, seen } }
}

/// Guards against refused callers or long queues at a process that has just started and has not
/// observed any prefill. The collector sends it what the others observed, and until they report,
/// what the previous collector knew.
#[test]
fn a_process_that_starts_is_sent_the_prefill_speed_of_engines() {
    let mut rig = rig();
    rig.paces = vec![pace("a", 50.0, 1e6), pace("b", 70.0, 1e6)];
    let saw = |name, per_ms| NodeReport { paces: vec![pace("a", per_ms, 3e4)], ..report(name) };
    rig.take(saw("front-1", 110.0), NOW);
    rig.take(saw("front-2", 120.0), NOW);
    // A process that uses an engine which has become slow.
    rig.take(saw("front-4", 20.0), NOW);

    let digest = rig.take(report("front-3"), NOW);

    let told: Vec<_> =
        digest.paces.iter().map(|pace| (pace.service.0.as_str(), pace.read.per_ms)).collect();
    assert_eq!(told, [("a", 110.0), ("b", 70.0)]);
}

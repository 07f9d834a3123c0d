//! Who collects, and what the collector makes of the reports.

use crate::roster::{listed, roster_news};
use oleandertack::call::{AccountRule, CallerBounds, RuleSet};
use oleandertack::kind::{AccountName, ClockTime, InstanceId, TimeSpan};
use oleandertack::limit::{HoldClaim, LedgerPast, PoolLedger, PoolLimit};
use oleandertack::list::{RosterBook, RosterStand, RosterState, RosterUpdate, VouchNote};
use oleandertack::mesh::{
    AccountClaim, CollectorFacts, EndpointLoad, EndpointMark, MemberCard, MeshBody, MeshCollector,
    MeshDigest, MeshView, NodeReport, NodeUsage, RulesStand, ServicePace, SleepWatch, TrueClock,
    UsageCount, collect_strength, median_offset,
};
use oleandertack::pace::ReadPace;
use oleandertack::plat::FeedEvent;
use oleandertack::release::OrderNews;
use oleandertack::suspect::SuspectTracker;
use oleandertack::wire::encode_frame;

pub const NOW: ClockTime = ClockTime(1_000_000);
pub const TRUE_NOW: ClockTime = ClockTime(1_700_000_000_000);

fn card(name: &str) -> MemberCard {
    MemberCard {
        id: name.into(),
        domain: "kopli".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        life: 1,
        leaving: false,
        unfit: false,
        strength: 0,
        edition: 0,
    }
}

fn names(count: usize) -> Vec<String> {
    (0..count).map(|n| format!("front-{n}")).collect()
}

/// Views of processes that all know one another.
fn views(count: usize) -> Vec<MeshView> {
    let names = names(count);
    let view = |me: &String| {
        let mut view = MeshView::new(card(me));
        names.iter().for_each(|name| view.take(card(name), true, NOW));
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
fn a_collector_that_does_not_answer_is_passed_over_and_tried_again() {
    let mut views = views(3);
    let first = choices(&mut views, TRUE_NOW, NOW)[0].clone();
    views.iter_mut().for_each(|view| view.shun(&first, NOW));

    let next = choices(&mut views, TRUE_NOW, NOW + TimeSpan(10));
    let later = choices(&mut views, TRUE_NOW + TimeSpan(5000), NOW + TimeSpan(5000));

    let others: Vec<_> = next.iter().filter(|id| **id != first).collect();
    assert!(others.len() >= 2 && others.iter().all(|id| *id == others[0]), "{next:?}");
    assert_eq!(later[0], first);
}

#[test]
fn the_collector_stays_for_its_turn_when_a_better_ranked_member_comes() {
    // Machines are stopped and started one after the other. Each that came back once took the
    // collecting over at once; two collectors side by side gave out half of each limit.
    let mut view = MeshView::new(card("front-0"));
    let first = view.choose_collector(TRUE_NOW, NOW).id;

    names(9).iter().for_each(|name| view.take(card(name), true, NOW));
    let in_turn = view.choose_collector(TRUE_NOW + TimeSpan(100), NOW + TimeSpan(100)).id;
    let next_turn = view.choose_collector(TRUE_NOW + TimeSpan(5000), NOW + TimeSpan(5000)).id;

    assert_eq!(in_turn, first);
    assert_eq!(next_turn, choices(&mut views(9), TRUE_NOW, NOW)[0]);
}

#[test]
fn a_process_that_begins_goes_by_the_collector_of_the_others() {
    // A limit is passed: five of nine processes were killed and, back again, chose a collector among
    // themselves, while the other four kept theirs for the rest of the turn.
    let first = choices(&mut views(9), TRUE_NOW, NOW)[0].clone();
    let kept = names(9).into_iter().rev().find(|name| *name != first.as_str()).expect("another");
    let mut begun = views(9).remove(0);

    begun.follow(card(&kept), TRUE_NOW, NOW);
    let in_turn = begun.choose_collector(TRUE_NOW + TimeSpan(10), NOW + TimeSpan(10)).id;
    let next_turn = begun.choose_collector(TRUE_NOW + TimeSpan(5000), NOW + TimeSpan(5000)).id;

    assert_eq!(in_turn.as_str(), kept);
    assert_eq!(next_turn, first);
}

/// Account levels grow old and processes ask the store themselves: of 83 processes one with a link of
/// 10 Mbit/s collects, and the digests it has to send fill that link. Six others have twenty times
/// the link; one of them is to collect as long as it is fit, and a small one only then.
#[test]
fn instances_with_strong_links_collect_before_small_ones() {
    let strong = collect_strength(200.0, 0.5);
    let small = collect_strength(10.0, 0.12);
    let mut view = MeshView::new(MemberCard { strength: small, ..card("front-0") });
    let sized = |(at, name): (usize, String)| MemberCard {
        strength: if at < 3 { strong } else { small },
        ..card(&format!("other-{name}"))
    };
    names(40).into_iter().enumerate().map(sized).for_each(|card| view.take(card, true, NOW));

    let first = view.choose_collector(TRUE_NOW, NOW);
    view.shun(&first.id, NOW);
    let second = view.choose_collector(TRUE_NOW, NOW + TimeSpan(10));

    assert!(small < strong, "{small} {strong}");
    assert_eq!((first.strength, second.strength), (strong, strong));
    assert_ne!(first.id, second.id);
}

#[test]
fn a_member_that_leaves_or_is_turned_away_by_the_store_does_not_collect() {
    let mut all = views(4);
    let first = choices(&mut all, TRUE_NOW, NOW)[0].clone();
    for changed in [
        MemberCard { leaving: true, edition: 1, ..card(first.as_str()) },
        MemberCard { unfit: true, edition: 2, ..card(first.as_str()) },
    ] {
        all.iter_mut().for_each(|view| view.take(changed.clone(), true, NOW));

        let chosen = choices(&mut all, TRUE_NOW, NOW);

        let others = chosen.iter().zip(&all).filter(|(_, view)| view.me().id != first);
        assert!(others.into_iter().all(|(id, _)| *id != first), "{changed:?}");
    }
}

#[test]
fn old_news_of_a_member_changes_nothing() {
    let mut view = MeshView::new(card("front-0"));
    view.take(MemberCard { leaving: true, edition: 1, ..card("front-1") }, true, NOW);

    view.take(card("front-1"), false, NOW);
    assert_eq!(view.serving(), 1);

    view.take(MemberCard { life: 2, ..card("front-1") }, false, NOW);
    assert_eq!(view.serving(), 2);
}

#[test]
fn true_time_is_the_middle_clock() {
    // The time of day jumps by seconds on a third of the machines and back again. Usage would be
    // counted into wrong windows.
    assert_eq!(median_offset(vec![100, 101, 99, 2500, -1900]), Some(100));

    let mut clock = TrueClock::default();
    clock.set(TRUE_NOW, TimeSpan(10), NOW);
    let jumped = ClockTime(TRUE_NOW.0 + 60_000);
    assert_eq!(clock.read(NOW + TimeSpan(1000), jumped), TRUE_NOW + TimeSpan(1005));
}

/// A report that tells of nothing.
pub fn report(name: &str) -> NodeReport {
    NodeReport {
        card: card(name),
        wall: TRUE_NOW,
        turn: 0,
        members_mark: 0,
        served: false,
        rules: RulesStand { version: 1, vouch: None },
        roster: stand(1, 0, 1),
        roster_state: None,
        claims: Some(Vec::new()),
        bond: None,
        handed: None,
        usage: Vec::new(),
        loads: Vec::new(),
        demand: Vec::new(),
        heritage: Vec::new(),
        paces: Vec::new(),
        evidence: Vec::new(),
        route_evidence: Vec::new(),
        releases: Vec::new(),
        suspects: Vec::new(),
        suspects_mark: 0,
        words: Vec::new(),
        words_mark: 0,
        unreached: Vec::new(),
        rules_text: None,
        roster_update: None,
    }
}

fn count(window: u64, count: u64) -> UsageCount {
    UsageCount { window, account: "tartu".into(), count }
}

/// A collector and what its process knows.
pub struct CollectorRig {
    view: MeshView,
    pub collector: MeshCollector,
    rules: RuleSet,
    roster: RosterBook,
    limit: Option<PoolLimit>,
    pub oldest_turn: u64,
    paces: Vec<ServicePace>,
}

/// A collector that has heard nobody.
pub fn rig() -> CollectorRig {
    CollectorRig {
        view: views(3).remove(0),
        collector: MeshCollector::begin(NOW).with_ledger(PoolLedger::begin(
            1,
            LedgerPast::Nothing,
            NOW,
        )),
        rules: RuleSet::new(1, CallerBounds::default()),
        roster: RosterBook::default(),
        limit: None,
        oldest_turn: 0,
        paces: Vec::new(),
    }
}

impl CollectorRig {
    pub fn take(&mut self, report: NodeReport, now: ClockTime) -> MeshDigest {
        let suspects = SuspectTracker::default();
        let facts = CollectorFacts {
            suspects: &suspects,
            rules: Some(&self.rules),
            rules_text: None,
            rules_stand: RulesStand { version: 5, vouch: None },
            roster: &self.roster,
            source: 9,
            limit_of: &|_: &AccountName| self.limit,
            reported_window: 0,
            peaks: Vec::new(),
            paces: self.paces.clone(),
            lease: None,
            releases: OrderNews::default(),
            oldest_turn: self.oldest_turn,
            now,
        };
        self.collector.take(report, &self.view, &facts)
    }
}

impl CollectorRig {
    pub fn members_mark(&self) -> u64 {
        self.view.mark()
    }
}

/// How a process stands that was told of a list as of `mark` some ms ago.
fn stand(mark: u64, age: u64, sum: u64) -> RosterStand {
    let vouch = VouchNote { mark, age: TimeSpan(age), by: "front-2".into() };
    RosterStand { vouch: Some(vouch), sum, ..RosterStand::default() }
}

impl CollectorRig {
    /// The collector takes the list of another process, as of `mark`.
    fn take_list(&mut self, names: &[&str], mark: u64) {
        let objects = names.iter().map(|name| listed(name, 5)).collect();
        let update = RosterUpdate::Whole(objects);
        let told = (&stand(mark, 0, 1), TimeSpan(0));
        self.roster.take_update(&update, told, None, &roster_news(NOW));
    }

    /// Gives the rules an account with a limit.
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
fn counts_that_come_twice_or_out_of_order_count_once() {
    let mut rig = rig();

    rig.take(NodeReport { usage: vec![count(7, 5)], ..report("front-1") }, NOW);
    rig.take(NodeReport { usage: vec![count(7, 9)], ..report("front-1") }, NOW);
    rig.take(NodeReport { usage: vec![count(7, 5)], ..report("front-1") }, NOW);
    rig.take(NodeReport { usage: vec![count(7, 2)], ..report("front-2") }, NOW);

    assert_eq!(rig.collector.usage_of(7).get(&AccountName::from("tartu")), Some(&11));
}

#[test]
fn counts_of_a_process_that_is_gone_reach_the_next_collector() {
    // A window's usage is too low: a process stopped, then the collector it had told its last counts
    // to, and the next one never heard of them.
    let mut first = rig();
    first.take(NodeReport { usage: vec![count(7, 5)], ..report("front-1") }, NOW);
    let passed: Vec<NodeUsage> = first.collector.usage();

    let mut second = rig();
    second.take(NodeReport { heritage: passed, ..report("front-0") }, NOW);

    assert_eq!(second.collector.usage_of(7).get(&AccountName::from("tartu")), Some(&5));
}

#[test]
fn a_process_that_has_the_collectors_list_gets_only_changes() {
    let mut rig = rig();
    rig.take_list(&["i-0", "i-1"], 5);
    let first = rig.take(report("front-1"), NOW);
    let state = Some(first.roster_state);
    rig.take_list(&["i-1"], 6);

    let later = rig.take(NodeReport { roster_state: state, ..report("front-1") }, NOW);
    let other = Some(RosterState { source: 8, number: 1 });
    let moved = rig.take(NodeReport { roster_state: other, ..report("front-1") }, NOW);
    let same = stand(4, 0, rig.roster.stand(NOW).sum);
    let alike = rig.take(NodeReport { roster: same, ..report("front-1") }, NOW);

    assert!(matches!(&first.roster_update, RosterUpdate::Whole(objects) if objects.len() == 2));
    let gone = FeedEvent::Gone { name: "i-0".into(), revision: 5 };
    assert_eq!(later.roster_update, RosterUpdate::Changes(vec![gone]));
    assert!(matches!(&moved.roster_update, RosterUpdate::Whole(objects) if objects.len() == 1));
    assert_eq!(alike.roster_update, RosterUpdate::Changes(Vec::new()));
}

#[test]
fn a_collector_asks_for_the_list_of_one_that_heard_more() {
    // Requests went to a removed endpoint for 5 s: the collector's watch had fallen silent without
    // an end, and it took itself for informed while another process had the news.
    let mut rig = rig();
    rig.take_list(&["i-0"], 5);

    let ahead = NodeReport { served: true, roster: stand(6, 0, 7), ..report("front-1") };
    let digest = rig.take(ahead, NOW);

    assert!(digest.wants_roster);
    assert_eq!(digest.roster_update, RosterUpdate::Behind);
    assert!(rig.collector.is_outdone(&"front-0".into(), NOW));
    // One whose list is the same has nothing to send.
    let same = stand(6, 0, rig.roster.stand(NOW).sum);
    assert!(!rig.take(NodeReport { roster: same, ..report("front-1") }, NOW).wants_roster);
}

/// Requests go to endpoints that left seconds ago. The collector stood still; when it wakes it
/// finds reports in its sockets that say how old their news was when they were written, and passes
/// it on as that old.
#[test]
fn what_a_report_says_of_its_age_holds_for_when_it_was_written() {
    let mut rig = rig();
    let later = |ms| NOW + TimeSpan(ms);
    let sent = |ms| NodeReport { wall: TRUE_NOW + TimeSpan(ms), ..report("front-1") };
    rig.take(sent(0), NOW);

    let in_time = rig.collector.lateness(&sent(250), TRUE_NOW + TimeSpan(250), later(252));
    let late = rig.collector.lateness(&sent(500), TRUE_NOW + TimeSpan(4500), later(4500));
    let unheard = NodeReport { wall: TRUE_NOW, ..report("front-2") };
    let unheard = rig.collector.lateness(&unheard, TRUE_NOW + TimeSpan(3000), later(3000));

    assert_eq!((in_time, late, unheard), (TimeSpan(2), TimeSpan(4000), TimeSpan(3000)));
}

/// The collector dies 20 s after a follower first heard of the others. The follower knew them by the
/// collector's list alone, which named them all the time, and forgot each 20 s after it had first
/// heard of it. It chooses another collector than those that heard of a member later; two groups
/// give out every account's limit by parts of their own, and an account runs 8 % too much.
#[test]
fn members_that_the_collector_goes_on_naming_are_not_forgotten() {
    let mut view = MeshView::new(card("front-1"));
    let others = || vec![card("front-0"), card("front-2"), card("front-3")];
    view.adopt(others(), NOW);
    view.adopt(others(), NOW + TimeSpan(19_000));

    view.sweep(NOW + TimeSpan(21_000));

    assert_eq!(view.serving(), 4);
}

#[test]
fn a_list_that_is_unchanged_is_as_good_as_one_that_is_sent() {
    let mut view = MeshView::new(card("front-1"));
    view.adopt(vec![card("front-0"), card("front-2")], NOW);
    view.confirm(NOW + TimeSpan(19_000));

    view.sweep(NOW + TimeSpan(21_000));

    assert_eq!(view.serving(), 3);
}

#[test]
fn members_that_nobody_names_any_more_are_forgotten() {
    let mut view = MeshView::new(card("front-1"));
    view.adopt(vec![card("front-0"), card("front-2")], NOW);
    view.confirm(NOW + TimeSpan(1000));

    view.sweep(NOW + TimeSpan(21_000));

    assert_eq!(view.serving(), 1);
}

/// Every process is killed at once and started again, and accounts press. Each names three others in
/// its settings, hears of all nine from them at once, and has no collector yet. By thirds each would
/// let in three times its part.
#[test]
fn limits_are_shared_among_all_that_are_heard_of_before_a_collector_tells() {
    let mut view = MeshView::new(card("front-0"));
    assert_eq!(view.sharers(3), 3);

    names(9).iter().for_each(|name| view.take(card(name), false, NOW));

    assert_eq!(view.sharers(3), 9);
}

/// A window's usage is not told, and limits are given out twice for 5 s. A process has just come back
/// and is the first by standing. The others' clocks reach the turn some ms before its own: they ask it
/// to collect, and it sent them to the last collector for the whole turn. Then it collected alone.
#[test]
fn a_process_that_is_asked_before_its_own_clock_reaches_the_turn_collects() {
    let turn_begin = ClockTime(TRUE_NOW.0 / 5000 * 5000 + 5000);
    let first = choices(&mut views(4), turn_begin, NOW)[0].clone();
    let last = names(4).iter().map(|name| InstanceId::from(name.as_str())).find(|id| *id != first);
    let mut asked = views(4).into_iter().find(|view| view.me().id == first).expect("one of them");
    let before = ClockTime(turn_begin.0 - 10);
    asked.follow(card(last.expect("another").as_str()), before, NOW);

    asked.enter_turn(turn_begin.0 / 5000, before, NOW);

    assert!(asked.collects());
    // And it stays so when its own clock has not reached the turn at its next report.
    assert_eq!(asked.choose_collector(ClockTime(turn_begin.0 - 5), NOW + TimeSpan(5)).id, first);
    assert_eq!(asked.choose_collector(turn_begin + TimeSpan(100), NOW + TimeSpan(110)).id, first);
}

/// A process whose clock is wrong by minutes asks another to collect in a turn that is far away.
#[test]
fn a_turn_far_ahead_is_not_entered() {
    let mut view = views(4).remove(0);
    view.choose_collector(TRUE_NOW, NOW);
    let turn = view.turn();

    view.enter_turn(turn + 20, TRUE_NOW, NOW);

    assert_eq!(view.turn(), turn);
}

/// Digests fill the collector's link: 83 processes get one four times a second. What one takes is a
/// figure of docs/CAPACITY.md.
#[test]
fn a_digest_of_a_grown_deployment_stays_small() {
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
        claim: HoldClaim {
            number: 1,
            spent: 3_000_000,
            ceiling: 3_100_000,
            ..HoldClaim::default()
        },
    };
    let load = |number: usize| EndpointLoad {
        endpoint: mark(&format!("i-{number:010}"), 1_750_000_000_000),
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

    let state = Some(RosterState { source: 9, number: 0 });
    rig.take_list(&[], 5);
    let known = NodeReport {
        roster_state: state,
        members_mark: rig.view.mark(),
        rules: RulesStand { version: 5, vouch: None },
        ..report("front-2")
    };
    let digest = MeshBody::Digest(Box::new(rig.take(known, settled + TimeSpan(10))));

    let bytes = encode_frame(1, digest).len();
    assert!((1600..2000).contains(&bytes), "{bytes}");
}

/// Accounts are refused for seconds below their limits. The collector was suspended; the others chose
/// another, and it went on with its old windows when it woke, as its steady clock had stood still too.
#[test]
fn a_process_notices_that_it_stood_still() {
    let mut watch = SleepWatch::default();
    let later = |ms: u64| ClockTime(TRUE_NOW.0 + ms);

    assert!(!watch.slept(TRUE_NOW, NOW));
    assert!(!watch.slept(later(250), NOW + TimeSpan(250)));
    // Suspended for 4 s between two looks.
    assert!(watch.slept(later(4500), NOW + TimeSpan(500)));
    assert!(!watch.slept(later(4750), NOW + TimeSpan(750)));
    // It alone was stopped: all its clocks went on.
    assert!(!watch.slept(later(5800), NOW + TimeSpan(1800)));
    assert!(watch.slept(later(9200), NOW + TimeSpan(5200)));
    assert!(!watch.slept(later(9450), NOW + TimeSpan(5450)));
}

/// A new endpoint gets nothing for a second: it started again under its name, and what the others still
/// report of its former life is counted as work of the new one.
#[test]
fn work_of_two_lives_of_an_endpoint_is_told_apart() {
    let mut rig = rig();
    let load =
        |life, requests| EndpointLoad { endpoint: mark("i-0", life), requests, unread_tokens: 0 };
    let former = NodeReport { loads: vec![load(1000, 9)], ..report("front-1") };
    let next = NodeReport { loads: vec![load(9000, 2)], ..report("front-2") };
    rig.take(former, NOW);
    rig.take(next, NOW);

    let digest = rig.take(report("front-3"), NOW);

    let mut told = digest.loads.loads;
    told.sort_by_key(|load| load.requests);
    assert_eq!(told, [load(9000, 2), load(1000, 9)]);
}

/// Names a life of an endpoint.
pub fn mark(instance: &str, life: u64) -> EndpointMark {
    EndpointMark::of(&instance.into(), life)
}

fn pace(service: &str, per_ms: f32, seen: f32) -> ServicePace {
    ServicePace { service: service.into(), read: ReadPace { per_ms, seen } }
}

/// A process that has just begun refuses callers, or lets queues grow: it has seen no engine read yet.
/// The collector tells it what the others saw, and what its predecessor told until they report.
#[test]
fn a_process_that_begins_is_told_how_fast_engines_read() {
    let mut rig = rig();
    rig.paces = vec![pace("a", 50.0, 1e6), pace("b", 70.0, 1e6)];
    let saw = |name, per_ms| NodeReport { paces: vec![pace("a", per_ms, 3e4)], ..report(name) };
    rig.take(saw("front-1", 110.0), NOW);
    rig.take(saw("front-2", 120.0), NOW);
    // One that goes by an engine which has turned slow.
    rig.take(saw("front-4", 20.0), NOW);

    let digest = rig.take(report("front-3"), NOW);

    let told: Vec<_> =
        digest.paces.iter().map(|pace| (pace.service.0.as_str(), pace.read.per_ms)).collect();
    assert_eq!(told, [("a", 110.0), ("b", 70.0)]);
}

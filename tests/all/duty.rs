//! Usage windows and orders for endpoints, in simulated time.

use oleandertack::call::{EngineRule, ScaleRule};
use oleandertack::duty::scale::{engines_lost_to_limits, needed_engines};
use oleandertack::duty::{
    DomainStatus, MarketCount, OrderHistory, OrderOutcome, PeakNeed, ScaleInputs, UsageCounter,
    UsageReporter, UsageStep, plan_orders,
};
use oleandertack::kind::endpoint::InstanceMarket;
use oleandertack::kind::{AccountName, ClockTime, RequestRate, ServiceName, TimeSpan};
use oleandertack::plat::ScaleOrder;

const NOW: ClockTime = ClockTime(1_000_000);
const LENGTH: TimeSpan = TimeSpan(5000);
const DUE: TimeSpan = TimeSpan(10_000);

#[test]
fn a_window_is_reported_when_complete_and_before_it_is_due() {
    let end = ClockTime(200 * LENGTH.0);
    let duty = UsageReporter::begin(LENGTH, DUE, ClockTime(end.0 - 1));
    let mut duty = duty.clone();
    duty.done(198);

    assert_eq!(duty.next(end + TimeSpan(1000), |_| true), UsageStep::Wait);
    assert_eq!(duty.next(end + TimeSpan(1600), |_| true), UsageStep::Report(199));
    // The report waits for a silent member, but not past its due time.
    assert_eq!(duty.next(end + TimeSpan(1600), |_| false), UsageStep::Wait);
    assert_eq!(duty.next(end + TimeSpan(4600), |_| false), UsageStep::Report(199));
    assert!(!duty.is_late(199, end + TimeSpan(4600)));
}

#[test]
fn a_new_holder_skips_windows_past_their_due_time() {
    let now = ClockTime(200 * LENGTH.0);

    let duty = UsageReporter::begin(LENGTH, DUE, now);

    assert_eq!(duty.reported(), 197);
    assert!(duty.is_late(197, now + TimeSpan(1)));
    assert!(!duty.is_late(198, now));
}

#[test]
fn counts_are_kept_until_they_are_reported() {
    let mut book = UsageCounter::new(LENGTH);
    let account = AccountName::from("tartu");
    book.note(&account, ClockTime(12_000));
    book.note(&account, ClockTime(16_000));

    book.forget(2);

    let left: Vec<_> = book.counts().map(|(window, _, count)| (window, count)).collect();
    assert_eq!(left, [(3, 1)]);
}

fn rule() -> ScaleRule {
    ScaleRule {
        least: 1,
        most: 6,
        boot: TimeSpan(4000),
        reclaimable_price: Some(0.18),
        domain_prices: Vec::new(),
    }
}

fn status(domain: &str, price: f64, reclaimable: u32, on_demand: u32) -> DomainStatus {
    let live = MarketCount { reclaimable, on_demand };
    DomainStatus { domain: domain.into(), price, live }
}

struct Planner {
    service: ServiceName,
    rule: ScaleRule,
    history: OrderHistory,
    now: ClockTime,
}

fn planner() -> Planner {
    Planner { service: "engine".into(), rule: rule(), history: OrderHistory::default(), now: NOW }
}

impl Planner {
    fn plan(&self, domains: &[DomainStatus], needed: Option<f64>) -> Vec<ScaleOrder> {
        let facts = ScaleInputs {
            service: &self.service,
            rule: &self.rule,
            domains,
            needed,
            needed_now: needed.unwrap_or(0.0),
            baseline: 9,
            now: self.now,
        };
        plan_orders(&facts, &self.history)
    }

    /// Plans and records the orders; if `unavailable`, reclaimable endpoints above those that serve
    /// are refused.
    fn round(
        &mut self,
        domains: &[DomainStatus],
        needed: f64,
        unavailable: bool,
    ) -> Vec<ScaleOrder> {
        self.history.note_status(&self.service, domains, self.now);
        let orders = self.plan(domains, Some(needed));
        for order in &orders {
            let live = domains.iter().find(|status| status.domain == order.domain);
            let live = live.map_or(0, |status| status.live.of(order.market));
            let more = order.market == InstanceMarket::Reclaimable && order.count > live;
            let end = if unavailable && more { OrderOutcome::Refused } else { OrderOutcome::Made };
            self.history.note(order, end, self.now);
        }
        self.now = self.now + TimeSpan(200);
        orders
    }
}

fn count(orders: &[ScaleOrder], domain: &str, market: InstanceMarket) -> Option<u32> {
    let matches = |order: &&ScaleOrder| order.domain.as_str() == domain && order.market == market;
    orders.iter().find(matches).map(|order| order.count)
}

use InstanceMarket::{OnDemand, Reclaimable};

#[test]
fn on_demand_endpoints_are_replaced_once_enough_reclaimable_ones_serve() {
    let planner = planner();
    let before = [status("a", 0.85, 0, 3), status("b", 1.2, 0, 3), status("c", 1.0, 0, 3)];
    let after = [status("a", 0.85, 3, 3), status("b", 1.2, 3, 3), status("c", 1.0, 3, 3)];

    let first = planner.plan(&before, None);
    let then = planner.plan(&after, None);

    // Six fit into a domain. Once as many reclaimable endpoints serve as there were on demand, the
    // expensive ones are given up, and half more reclaimable ones are ordered, so that the loss of
    // any one domain leaves nine.
    assert_eq!(first.len(), 3, "{first:?}");
    assert!(first.iter().all(|order| order.market == Reclaimable && order.count == 3));
    assert_eq!(["a", "b", "c"].map(|d| count(&then, d, OnDemand)), [Some(0); 3], "{then:?}");
    assert_eq!(["a", "b", "c"].map(|d| count(&then, d, Reclaimable)), [5, 4, 5].map(Some));
}

#[test]
fn reclaimable_endpoints_are_spread_to_survive_the_loss_of_a_domain() {
    // 4.8 are needed. The loss of any one failure domain leaves seven, a third more than that.
    let planner = planner();
    let statuses = [status("a", 0.85, 1, 0), status("b", 1.2, 1, 0), status("c", 1.0, 1, 0)];

    let orders = planner.plan(&statuses, Some(4.8));

    let wanted: Vec<_> =
        ["a", "b", "c"].iter().filter_map(|d| count(&orders, d, Reclaimable)).collect();
    assert_eq!(wanted.iter().sum::<u32>(), 11, "{orders:?}");
    assert!(wanted.iter().all(|count| (3..=4).contains(count)), "{wanted:?}");
}

#[test]
fn serving_endpoints_are_not_replaced_by_ones_that_have_yet_to_start() {
    // Callers of a whole service wait for seconds: of twelve engines a second reclaim leaves the
    // four of one domain, and the plan removes these to make room for six on demand.
    let mut planner = planner();
    let statuses = [status("a", 0.85, 4, 0), status("b", 1.2, 0, 0), status("c", 1.0, 0, 0)];
    let first = planner.round(&statuses, 9.0, true);

    let orders = planner.round(&statuses, 9.0, true);

    let latest =
        |domain| count(&orders, domain, OnDemand).or(count(&first, domain, OnDemand)).unwrap_or(0);
    let bought: u32 = ["a", "b", "c"].into_iter().map(latest).sum();
    let kept = count(&orders, "a", Reclaimable);
    assert!(kept.is_none_or(|count| count >= 4), "{orders:?}");
    assert_eq!(bought, 9, "{orders:?}");
}

/// Callers of a whole service wait for 4 s. Three domains are reclaimed one after the other; at the
/// second wave on-demand endpoints are ordered where there is room. At the third a cheaper domain
/// has room, and the endpoints that are about to serve are given up for others there.
#[test]
fn starting_endpoints_are_not_replaced_by_ones_in_a_cheaper_domain() {
    let mut planner = planner();
    let second = [status("a", 0.85, 4, 0), status("b", 1.2, 0, 0), status("c", 1.0, 0, 2)];
    planner.round(&second, 7.0, true);
    let bought = planner.round(&second, 7.0, true);
    let third = [status("a", 0.85, 0, 1), status("b", 1.2, 0, 0), status("c", 1.0, 0, 2)];

    let orders = planner.round(&third, 7.0, true);

    assert_eq!(count(&bought, "c", OnDemand), Some(6), "{bought:?}");
    assert!(count(&orders, "c", OnDemand).is_none_or(|count| count >= 6), "{orders:?}");
}

#[test]
fn another_domain_counts_as_lost_while_reclaimed_ones_cannot_be_replaced() {
    // Reclaims come in waves, 6 s apart, and a start takes 4 s. Waiting for the second notice
    // leaves 40 % of the capacity missing for 4 s.
    let mut planner = planner();
    let statuses = [status("a", 0.85, 0, 0), status("b", 1.2, 4, 0), status("c", 1.0, 4, 0)];

    let first = planner.round(&statuses, 7.0, true);
    let second = planner.round(&statuses, 7.0, true);

    assert!(count(&first, "a", Reclaimable).is_some_and(|count| count > 0));
    assert_eq!(count(&second, "a", OnDemand), Some(3), "{second:?}");
}

/// Callers of a whole service wait for 4 s: two of four domains are reclaimed within a second, and
/// the two others 6 s later. If only one more domain counts as lost, half of the engines needed are
/// starting by then; a wave of two may be followed by another of two.
#[test]
fn as_many_domains_as_the_last_wave_reclaimed_count_as_lost() {
    let mut planner = planner();
    let four = |counts: [u32; 4]| {
        let domains = ["a", "b", "c", "d"].into_iter().zip(counts);
        domains.map(|(name, count)| status(name, 1.0, count, 0)).collect::<Vec<_>>()
    };
    planner.round(&four([5, 5, 4, 4]), 8.0, false);
    planner.round(&four([5, 0, 4, 4]), 8.0, true);
    planner.round(&four([0, 0, 4, 4]), 8.0, true);

    let orders = planner.round(&four([0, 0, 4, 4]), 8.0, true);

    let bought = |domain| count(&orders, domain, OnDemand).unwrap_or(0);
    let sum: u32 = ["a", "b", "c", "d"].into_iter().map(bought).sum();
    assert_eq!(sum, 8, "{orders:?}");
}

/// On-demand engines are ordered beside reclaimable ones that all serve: calls to the platform get
/// no answer for some seconds, and that counts as a refusal.
#[test]
fn an_unanswered_order_does_not_count_as_a_refusal() {
    let mut planner = planner();
    let statuses = [status("a", 0.85, 3, 0), status("b", 1.2, 3, 0), status("c", 1.0, 3, 0)];
    for order in planner.plan(&statuses, Some(6.0)) {
        planner.history.note(&order, OrderOutcome::Unknown, NOW);
    }

    let orders = planner.plan(&statuses, Some(6.0));

    assert!(orders.iter().all(|order| order.market != OnDemand || order.count == 0), "{orders:?}");
}

#[test]
fn few_orders_are_sent_while_none_can_be_filled() {
    let mut planner = planner();
    let statuses = [status("a", 0.85, 0, 5), status("b", 1.2, 0, 0), status("c", 1.0, 0, 0)];

    let asked: usize = (0..75)
        .map(|_| planner.round(&statuses, 5.0, true))
        .map(|orders| orders.iter().filter(|order| order.market == Reclaimable).count())
        .sum();

    // 15 s: about one every 2.5 s.
    assert!((4..=9).contains(&asked), "{asked}");
}

#[test]
fn the_need_follows_work_and_slots_and_keeps_its_peak() {
    let engine = EngineRule {
        slots: 12,
        memory_tokens: 600_000,
        token_bytes: 35_136,
        link_mbps: 1.0,
        event_tokens: 9,
        moves: true,
    };
    let work = needed_engines(&engine, 125.0, (250_000.0, 0.0), 0);
    let places = needed_engines(&engine, 125.0, (0.0, 0.0), 84);
    assert!((work - 2.0 / 0.65).abs() < 0.01, "{work}");
    assert!((places - 10.0).abs() < 0.01, "{places}");

    let mut need = PeakNeed::default();
    need.note(5.0, NOW);
    need.note(2.0, NOW + TimeSpan(6000));
    assert_eq!(need.peak(), 5.0);
    assert_eq!(need.recent_peak(NOW + TimeSpan(6000)), 2.0);
    need.note(2.0, NOW + TimeSpan(16_000));
    assert_eq!(need.peak(), 2.0);
}

/// Operators pay for twice the endpoints that there were: while the demand is unknown, ordered
/// endpoints count as needed ones, and half as many again are ordered.
#[test]
fn ordered_endpoints_do_not_raise_the_baseline() {
    let service = ServiceName::from("engine");
    let mut history = OrderHistory::default();
    let statuses = |each| vec![status("a", 1.0, each, 0), status("b", 1.0, each, 0)];
    history.note_status(&service, &statuses(10), NOW);
    let order = ScaleOrder {
        service: service.clone(),
        domain: "a".into(),
        market: InstanceMarket::Reclaimable,
        count: 15,
    };

    history.note(&order, OrderOutcome::Made, NOW);
    history.note_status(&service, &statuses(15), NOW + TimeSpan(5000));

    assert_eq!(history.baseline(&service), 20);
}

/// Callers wait in the waves of a deployment whose engines have few slots: a step of such an engine
/// produces a fifth of the tokens, and too few engines are ordered.
#[test]
fn more_engines_are_needed_if_they_have_few_slots() {
    let engine = |slots| EngineRule {
        slots,
        memory_tokens: 600_000,
        token_bytes: 35_136,
        link_mbps: 1_500_000.0,
        event_tokens: 9,
        moves: true,
    };
    let answers = (0.0, 100_000.0);

    let many = needed_engines(&engine(64), 125.0, answers, 0);
    let few = needed_engines(&engine(12), 125.0, answers, 0);

    // 100,000 tokens a second: 0.155 ms each where 45 streams share a step, 0.47 ms where eight do.
    assert!((many - 23.9).abs() < 0.5, "{many}");
    assert!((few - 72.6).abs() < 1.0, "{few}");
}

/// No endpoint is ordered although most endpoints of a service accept next to nothing: they are
/// listed, and count as whole ones.
#[test]
fn limited_endpoints_count_by_their_rate_limit() {
    let limits = |per_s: [f64; 3]| per_s.into_iter().map(RequestRate::per_second);

    // 60 requests a second need 6 engines: 10 a second each.
    assert!((engines_lost_to_limits(limits([1.0, 5.0, 50.0]), 60.0, 6.0) - 1.4).abs() < 1e-9);
    assert!(engines_lost_to_limits(limits([1.0, 1.0, 1.0]), 0.0, 3.0).abs() < 1e-9);
    assert!((engines_lost_to_limits(limits([0.5, 0.5, 0.5]), 1.0, 0.2) - 1.5).abs() < 1e-9);
}

/// Guards against a window that nobody reports: its collector stops after its end, and the next holder takes
/// counts that it has not received yet for a window in which nothing ran.
#[test]
fn a_holder_that_collects_only_since_a_window_ended_waits_for_its_counts() {
    let end = ClockTime(LENGTH.0 * 10);
    let reporter = UsageReporter::begin(LENGTH, DUE, end);
    let window = 9;
    let (before, after) = (ClockTime(end.0 - 1), ClockTime(end.0 + 1));

    let soon = after + TimeSpan(500);
    assert!(reporter.may_lack_counts(window, (after, soon), false));
    assert!(!reporter.may_lack_counts(window, (before, soon), false));
    assert!(!reporter.may_lack_counts(window, (after, soon), true));
    // Windows in which nothing ran do not hold up the next ones.
    assert!(!reporter.may_lack_counts(window, (after, after + TimeSpan(2000)), false));
}

//! Usage windows and orders for endpoints, in virtual time.

use oleandertack::call::{EngineRule, ScaleRule};
use oleandertack::duty::scale::{lost_to_limits, needed_engines};
use oleandertack::duty::{
    DomainStand, MarketCount, OrderEnd, OrderMemory, ScaleFacts, ServiceNeed, UsageBook, UsageDuty,
    UsageStep, plan_orders,
};
use oleandertack::kind::endpoint::InstanceMarket;
use oleandertack::kind::{AccountName, ClockTime, RequestRate, ServiceName, TimeSpan};
use oleandertack::plat::ScaleOrder;

const NOW: ClockTime = ClockTime(1_000_000);
const LENGTH: TimeSpan = TimeSpan(5000);
const DUE: TimeSpan = TimeSpan(10_000);

#[test]
fn a_window_is_reported_once_it_is_complete_and_before_it_is_due() {
    let end = ClockTime(200 * LENGTH.0);
    let duty = UsageDuty::begin(LENGTH, DUE, ClockTime(end.0 - 1));
    let mut duty = duty.clone();
    duty.done(198);

    assert_eq!(duty.next(end + TimeSpan(1000), |_| true), UsageStep::Wait);
    assert_eq!(duty.next(end + TimeSpan(1600), |_| true), UsageStep::Report(199));
    // A silent member is waited for, but not until it is too late.
    assert_eq!(duty.next(end + TimeSpan(1600), |_| false), UsageStep::Wait);
    assert_eq!(duty.next(end + TimeSpan(4600), |_| false), UsageStep::Report(199));
    assert!(!duty.is_late(199, end + TimeSpan(4600)));
}

#[test]
fn a_new_holder_does_not_report_what_is_too_late() {
    let now = ClockTime(200 * LENGTH.0);

    let duty = UsageDuty::begin(LENGTH, DUE, now);

    assert_eq!(duty.reported(), 197);
    assert!(duty.is_late(197, now + TimeSpan(1)));
    assert!(!duty.is_late(198, now));
}

#[test]
fn counts_are_kept_until_they_are_reported() {
    let mut book = UsageBook::new(LENGTH);
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

fn stand(domain: &str, price: f64, reclaimable: u32, on_demand: u32) -> DomainStand {
    let live = MarketCount { reclaimable, on_demand };
    DomainStand { domain: domain.into(), price, live }
}

struct Planner {
    service: ServiceName,
    rule: ScaleRule,
    memory: OrderMemory,
    now: ClockTime,
}

fn planner() -> Planner {
    Planner { service: "engine".into(), rule: rule(), memory: OrderMemory::default(), now: NOW }
}

impl Planner {
    fn plan(&self, domains: &[DomainStand], needed: Option<f64>) -> Vec<ScaleOrder> {
        let facts = ScaleFacts {
            service: &self.service,
            rule: &self.rule,
            domains,
            needed,
            needed_now: needed.unwrap_or(0.0),
            baseline: 9,
            now: self.now,
        };
        plan_orders(&facts, &self.memory)
    }

    /// Plans and notes the orders; reclaimable ones above what serves are refused if `dry`.
    fn round(&mut self, domains: &[DomainStand], needed: f64, dry: bool) -> Vec<ScaleOrder> {
        self.memory.note_stand(&self.service, domains, self.now);
        let orders = self.plan(domains, Some(needed));
        for order in &orders {
            let live = domains.iter().find(|stand| stand.domain == order.domain);
            let live = live.map_or(0, |stand| stand.live.of(order.market));
            let more = order.market == InstanceMarket::Reclaimable && order.count > live;
            let end = if dry && more { OrderEnd::Refused } else { OrderEnd::Made };
            self.memory.note(order, end, self.now);
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
fn at_the_start_half_more_are_bought_cheaply_and_the_dear_ones_stay_until_enough_serve() {
    let planner = planner();
    let before = [stand("a", 0.85, 0, 3), stand("b", 1.2, 0, 3), stand("c", 1.0, 0, 3)];
    let after = [stand("a", 0.85, 3, 3), stand("b", 1.2, 3, 3), stand("c", 1.0, 3, 3)];

    let first = planner.plan(&before, None);
    let then = planner.plan(&after, None);

    // Six fit into a domain. Once as many serve as there were, the dear ones leave, and half more than
    // those are bought, so that the loss of any one domain leaves nine.
    assert_eq!(first.len(), 3, "{first:?}");
    assert!(first.iter().all(|order| order.market == Reclaimable && order.count == 3));
    assert_eq!(["a", "b", "c"].map(|d| count(&then, d, OnDemand)), [Some(0); 3], "{then:?}");
    assert_eq!(["a", "b", "c"].map(|d| count(&then, d, Reclaimable)), [5, 4, 5].map(Some));
}

#[test]
fn reclaimable_endpoints_are_spread_so_that_one_domain_can_be_lost() {
    // Needed are 4.8. Losing any one failure domain leaves seven, a third more than that.
    let planner = planner();
    let stands = [stand("a", 0.85, 1, 0), stand("b", 1.2, 1, 0), stand("c", 1.0, 1, 0)];

    let orders = planner.plan(&stands, Some(4.8));

    let wanted: Vec<_> =
        ["a", "b", "c"].iter().filter_map(|d| count(&orders, d, Reclaimable)).collect();
    assert_eq!(wanted.iter().sum::<u32>(), 11, "{orders:?}");
    assert!(wanted.iter().all(|count| (3..=4).contains(count)), "{wanted:?}");
}

#[test]
fn endpoints_that_serve_are_not_given_up_for_ones_that_have_yet_to_start() {
    // Callers of a whole service waited for seconds: of twelve engines a second reclaim left the
    // four of one domain, and the plan emptied these to make room for six on demand.
    let mut planner = planner();
    let stands = [stand("a", 0.85, 4, 0), stand("b", 1.2, 0, 0), stand("c", 1.0, 0, 0)];
    let first = planner.round(&stands, 9.0, true);

    let orders = planner.round(&stands, 9.0, true);

    let latest =
        |domain| count(&orders, domain, OnDemand).or(count(&first, domain, OnDemand)).unwrap_or(0);
    let bought: u32 = ["a", "b", "c"].into_iter().map(latest).sum();
    let kept = count(&orders, "a", Reclaimable);
    assert!(kept.is_none_or(|count| count >= 4), "{orders:?}");
    assert_eq!(bought, 9, "{orders:?}");
}

/// Callers of a whole service wait for 4 s. Three domains are reclaimed one after the other; at the second
/// wave endpoints on demand are ordered where there is room. At the third a cheaper domain has room,
/// and those that were about to start were given up for others there.
#[test]
fn endpoints_that_are_starting_are_not_given_up_for_ones_in_a_cheaper_domain() {
    let mut planner = planner();
    let second = [stand("a", 0.85, 4, 0), stand("b", 1.2, 0, 0), stand("c", 1.0, 0, 2)];
    planner.round(&second, 7.0, true);
    let bought = planner.round(&second, 7.0, true);
    let third = [stand("a", 0.85, 0, 1), stand("b", 1.2, 0, 0), stand("c", 1.0, 0, 2)];

    let orders = planner.round(&third, 7.0, true);

    assert_eq!(count(&bought, "c", OnDemand), Some(6), "{bought:?}");
    assert!(count(&orders, "c", OnDemand).is_none_or(|count| count >= 6), "{orders:?}");
}

#[test]
fn while_lost_ones_cannot_be_replaced_the_next_domain_is_taken_for_lost_too() {
    // Reclaims come in waves, 6 s apart, and a start takes 4 s. Waiting for the second notice left
    // 40 % of the capacity for 4 s.
    let mut planner = planner();
    let stands = [stand("a", 0.85, 0, 0), stand("b", 1.2, 4, 0), stand("c", 1.0, 4, 0)];

    let first = planner.round(&stands, 7.0, true);
    let second = planner.round(&stands, 7.0, true);

    assert!(count(&first, "a", Reclaimable).is_some_and(|count| count > 0));
    assert_eq!(count(&second, "a", OnDemand), Some(3), "{second:?}");
}

/// Callers of a whole service wait for 4 s: two of four domains were reclaimed within a second, and 6 s
/// later the two others. While one domain was taken for lost, half of the engines needed were on their way
/// by then; a wave of two may be followed by another of two.
#[test]
fn as_many_domains_as_the_last_wave_took_are_taken_for_lost_next() {
    let mut planner = planner();
    let four = |counts: [u32; 4]| {
        let domains = ["a", "b", "c", "d"].into_iter().zip(counts);
        domains.map(|(name, count)| stand(name, 1.0, count, 0)).collect::<Vec<_>>()
    };
    planner.round(&four([5, 5, 4, 4]), 8.0, false);
    planner.round(&four([5, 0, 4, 4]), 8.0, true);
    planner.round(&four([0, 0, 4, 4]), 8.0, true);

    let orders = planner.round(&four([0, 0, 4, 4]), 8.0, true);

    let bought = |domain| count(&orders, domain, OnDemand).unwrap_or(0);
    let sum: u32 = ["a", "b", "c", "d"].into_iter().map(bought).sum();
    assert_eq!(sum, 8, "{orders:?}");
}

/// Engines on demand are ordered beside reclaimable ones that all serve: calls to the platform got no
/// answer for some seconds, and that was taken for a sign that none are to be had.
#[test]
fn a_call_without_an_answer_says_nothing_of_what_is_to_be_had() {
    let mut planner = planner();
    let stands = [stand("a", 0.85, 3, 0), stand("b", 1.2, 3, 0), stand("c", 1.0, 3, 0)];
    for order in planner.plan(&stands, Some(6.0)) {
        planner.memory.note(&order, OrderEnd::Unknown, NOW);
    }

    let orders = planner.plan(&stands, Some(6.0));

    assert!(orders.iter().all(|order| order.market != OnDemand || order.count == 0), "{orders:?}");
}

#[test]
fn while_none_are_to_be_had_few_questions_are_asked() {
    let mut planner = planner();
    let stands = [stand("a", 0.85, 0, 5), stand("b", 1.2, 0, 0), stand("c", 1.0, 0, 0)];

    let asked: usize = (0..75)
        .map(|_| planner.round(&stands, 5.0, true))
        .map(|orders| orders.iter().filter(|order| order.market == Reclaimable).count())
        .sum();

    // 15 s: about one each 2.5 s.
    assert!((4..=9).contains(&asked), "{asked}");
}

#[test]
fn the_need_follows_work_and_places_and_remembers_its_peak() {
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

    let mut need = ServiceNeed::default();
    need.note(5.0, NOW);
    need.note(2.0, NOW + TimeSpan(6000));
    assert_eq!(need.peak(), 5.0);
    assert_eq!(need.recent_peak(NOW + TimeSpan(6000)), 2.0);
    need.note(2.0, NOW + TimeSpan(16_000));
    assert_eq!(need.peak(), 2.0);
}

/// Operators pay for twice the endpoints that there were: while nothing was known of the demand, what had been ordered counted
/// as what was needed, and half as many again were ordered.
#[test]
fn what_was_ordered_is_no_sign_of_the_demand() {
    let service = ServiceName::from("engine");
    let mut memory = OrderMemory::default();
    let stands = |each| vec![stand("a", 1.0, each, 0), stand("b", 1.0, each, 0)];
    memory.note_stand(&service, &stands(10), NOW);
    let order = ScaleOrder {
        service: service.clone(),
        domain: "a".into(),
        market: InstanceMarket::Reclaimable,
        count: 15,
    };

    memory.note(&order, OrderEnd::Made, NOW);
    memory.note_stand(&service, &stands(15), NOW + TimeSpan(5000));

    assert_eq!(memory.baseline(&service), 20);
}

/// Callers wait in the waves of a deployment whose engines have few places: a step of such an engine brings a fifth of the
/// tokens, and too few engines were ordered.
#[test]
fn engines_with_few_places_are_needed_in_greater_number() {
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

/// No endpoint is ordered while most of a service's take next to nothing: they are listed, and count as whole ones.
#[test]
fn limited_endpoints_count_as_what_they_take() {
    let limits = |per_s: [f64; 3]| per_s.into_iter().map(RequestRate::per_second);

    // 60 requests a second need 6 engines: 10 a second each.
    assert!((lost_to_limits(limits([1.0, 5.0, 50.0]), 60.0, 6.0) - 1.4).abs() < 1e-9);
    assert!(lost_to_limits(limits([1.0, 1.0, 1.0]), 0.0, 3.0).abs() < 1e-9);
    assert!((lost_to_limits(limits([0.5, 0.5, 0.5]), 1.0, 0.2) - 1.5).abs() < 1e-9);
}

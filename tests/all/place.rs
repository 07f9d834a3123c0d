//! The choice of an endpoint.

use oleandertack::call::PromptPart;
use oleandertack::judge::BadTrait;
use oleandertack::kind::endpoint::{EndpointStage, InstanceMarket};
use oleandertack::kind::hash::mix_bits;
use oleandertack::kind::{ClockTime, DomainName, RequestRate, ServiceName, TimeSpan};
use oleandertack::place::{
    AnswerGrade, EndpointBoard, EndpointEntry, EndpointKey, PlacementRequest, PrefixRecord,
    RateSignal, choose_endpoint,
};

const NOW: ClockTime = ClockTime(100_000);

/// A board of `count` engines with `slots` slots each.
pub fn engines(count: usize, slots: u32) -> (EndpointBoard, Vec<EndpointKey>) {
    let mut board = EndpointBoard::default();
    let entry = |at: usize| EndpointEntry { slots, ..entry_of(&format!("i-{at}"), "kopli") };
    let keys = (0..count).map(|at| board.put(entry(at))).collect();
    (board, keys)
}

/// An engine that takes work.
pub fn entry_of(name: &str, domain: &str) -> EndpointEntry {
    EndpointEntry {
        life: 0,
        instance: name.into(),
        service: "engine".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        domain: domain.into(),
        slots: 64,
        stage: EndpointStage::Live,
        market: InstanceMarket::OnDemand,
        ends_at: None,
        release: "v1".into(),
        revision: 1,
    }
}

fn board(count: usize) -> (EndpointBoard, Vec<EndpointKey>) {
    engines(count, 64)
}

struct Chooser {
    service: ServiceName,
    domain: DomainName,
    prefixes: PrefixRecord,
    repeatable: bool,
    now: ClockTime,
}

fn chooser() -> Chooser {
    Chooser {
        service: "engine".into(),
        domain: "kopli".into(),
        prefixes: PrefixRecord::default(),
        repeatable: false,
        now: NOW,
    }
}

impl Chooser {
    fn choose(
        &self,
        board: &EndpointBoard,
        parts: &[PromptPart],
        salt: u64,
    ) -> Option<EndpointKey> {
        let request = PlacementRequest {
            service: &self.service,
            engine: true,
            prompt_tokens: parts.iter().map(|part| part.tokens).sum::<u64>().max(1000),
            parts,
            tried: &[],
            domain: &self.domain,
            queue_limit: u64::MAX,
            read_per_ms: 125.0,
            pause: None,
            pause_weight: 0.0,
            is_trial: false,
            version: None,
            repeatable: self.repeatable,
            places: None,
            salt,
            now: self.now,
            lease_now: self.now,
        };
        choose_endpoint(board, &self.prefixes, &request).map(|choice| choice.key)
    }
}

fn parts(shared: u64, own: u64) -> Vec<PromptPart> {
    vec![PromptPart { id: shared, tokens: 5000 }, PromptPart { id: own, tokens: 1000 }]
}

#[test]
fn processes_agree_on_the_home_of_a_shared_part() {
    // Shared parts are read again at several engines if each process picks its own. Two processes
    // that have sent nothing yet must choose alike.
    let (board, _) = board(9);
    let (one, other) = (chooser(), chooser());

    for shared in 0..50 {
        let first = one.choose(&board, &parts(shared, 1), 1);
        let second = other.choose(&board, &parts(shared, 2), 2);
        assert_eq!(first, second);
    }
}

#[test]
fn shared_parts_are_spread_over_the_engines() {
    let (board, keys) = board(4);
    let chooser = chooser();

    let chosen = (0..200).filter_map(|shared| chooser.choose(&board, &parts(shared, 1), shared));
    let mut counts = vec![0; keys.len()];
    chosen.for_each(|key| counts[key.slot()] += 1);

    assert!(counts.iter().all(|count| (20..=90).contains(count)), "{counts:?}");
}

#[test]
fn a_long_queue_outweighs_a_cached_part() {
    // A caller waits in a long queue although other engines are idle, because its shared part is
    // cached at the busy one. Reading 5000 tokens again costs 40 ms; the queue is ten times that.
    let (mut board, _) = board(3);
    let chooser = chooser();
    let home = chooser.choose(&board, &parts(7, 1), 1).expect("one of three");
    board.get_mut(home).expect("known").others.unread_tokens = 50_000;

    let chosen = chooser.choose(&board, &parts(7, 2), 2);

    assert!(chosen.is_some_and(|key| key != home));
}

#[test]
fn a_leaving_endpoint_gets_no_request_and_stays_leaving() {
    // Requests reach an endpoint seconds after it signalled that it is leaving: an older entry of
    // the same incarnation arrives later, by another path.
    let (mut board, keys) = board(1);
    board.put(EndpointEntry { stage: EndpointStage::Leaving, ..entry_of("i-0", "kopli") });
    board.put(entry_of("i-0", "kopli"));

    assert_eq!(chooser().choose(&board, &[], 1), None);
    assert!(board.get(keys[0]).is_some_and(|fact| !fact.takes_work()));
}

/// Requests that must not be repeated continue to fail at a replica which all processes together
/// know to be failing. It is set aside; a few repeatable requests still try it, so that its
/// recovery is noticed.
#[test]
fn an_endpoint_set_aside_gets_only_a_few_repeatable_requests() {
    let (mut board, keys) = board(3);
    let until = NOW + TimeSpan(1000);
    board.get_mut(keys[0]).expect("known").aside = Some((BadTrait::Failing, until));
    let chosen = |repeatable, now| {
        let chooser = Chooser { repeatable, now, ..chooser() };
        let chosen = (0..640).filter(|salt| {
            chooser.choose(&board, &[], mix_bits(*salt)).expect("one of three") == keys[0]
        });
        chosen.count()
    };

    assert_eq!(chosen(false, NOW), 0);
    // One in sixteen may; two in three of these include it in their sample of two, and half of
    // those choose it.
    assert!((4..=40).contains(&chosen(true, NOW)), "{}", chosen(true, NOW));
    assert!(chosen(false, until) > 100);
}

#[test]
fn suspicion_of_all_endpoints_refuses_no_request() {
    // Every request of a service is refused: all its endpoints are in backoff after a partition
    // that has healed, or were lost from the list during a store outage.
    let (mut board, keys) = board(2);
    for key in keys {
        let fact = board.get_mut(key).expect("known");
        fact.health.note(AnswerGrade::Dead, NOW);
        fact.doubted = true;
    }

    assert!(chooser().choose(&board, &[], 1).is_some());
}

#[test]
fn a_doubted_endpoint_is_the_last_resort() {
    let (mut board, keys) = board(2);
    board.get_mut(keys[0]).expect("known").doubted = true;
    board.get_mut(keys[1]).expect("known").others.requests = 30;

    for salt in 0..20 {
        assert_eq!(chooser().choose(&board, &[], salt), Some(keys[1]));
    }
}

#[test]
fn an_endpoint_that_fails_half_its_requests_is_avoided_then_retried() {
    // Half the answers of one of three endpoints are failures while its health check passes. It
    // gets next to nothing, and is tried again some seconds after its last failure.
    let (mut board, keys) = board(3);
    let fact = board.get_mut(keys[0]).expect("known");
    for grade in [AnswerGrade::Bad, AnswerGrade::Good, AnswerGrade::Bad, AnswerGrade::Bad] {
        fact.health.note(grade, NOW);
    }
    let share = |at| board.get(keys[0]).map_or(0.0, |fact| fact.health.failure_share(at));

    let chosen = (0..100).filter(|salt| chooser().choose(&board, &[], *salt) == Some(keys[0]));

    assert_eq!(chosen.count(), 0);
    assert!(share(NOW + TimeSpan::secs(20)) < 0.05);
}

/// Declares a rate limit for an endpoint as if it had answered so at [`NOW`].
fn limit(board: &mut EndpointBoard, key: EndpointKey, per_s: f64) {
    let rate = Some(RequestRate::per_second(per_s));
    board.note_limit(key, RateSignal { rate, asked_at: NOW });
}

/// An overloaded endpoint is sent more than its rate limit by a path that bypasses it: as the last
/// resort, as the home of a shared part, or as a trial of an endpoint that may have recovered.
#[test]
fn no_request_exceeds_the_rate_limit_an_endpoint_declared() {
    let (mut board, keys) = board(2);
    limit(&mut board, keys[0], 2.0);
    let other = board.get_mut(keys[1]).expect("known");
    other.health.note(AnswerGrade::Dead, NOW);
    other.doubted = true;
    other.aside = Some((BadTrait::Failing, NOW + TimeSpan::secs(9)));
    let chooser = Chooser { repeatable: true, ..chooser() };

    for salt in 0..200 {
        assert_eq!(chooser.choose(&board, &parts(salt, 1), salt), Some(keys[1]));
    }
    limit(&mut board, keys[1], 4.0);
    assert_eq!(chooser.choose(&board, &[], 1), None);
}

/// All prompts of a limited engine go to the same other engine.
#[test]
fn prompts_of_a_limited_home_spread_over_several_engines() {
    let (mut board, keys) = board(6);
    let chooser = chooser();
    let home = |board: &EndpointBoard, shared| chooser.choose(board, &parts(shared, 1), 1);
    let shared: Vec<u64> =
        (0..200).filter(|shared| home(&board, *shared) == Some(keys[0])).collect();
    limit(&mut board, keys[0], 2.0);

    let next = |at: usize| shared.iter().filter(|it| home(&board, **it) == Some(keys[at])).count();

    assert!(shared.len() > 10);
    assert!(
        (1..6).all(|at| next(at) < shared.len() / 2),
        "{:?}",
        (1..6).map(next).collect::<Vec<_>>()
    );
}

/// A service appears idle and sheds no request in time, because limited engines have no queue.
#[test]
fn limited_engines_are_left_out_of_the_service_queue() {
    let (mut board, keys) = board(3);
    board.get_mut(keys[2]).expect("known").own.unread_tokens = 700;
    limit(&mut board, keys[0], 2.0);
    limit(&mut board, keys[1], 2.0);

    assert_eq!(board.queued_tokens(&"engine".into()), (700, 1));
}

/// A leaving endpoint is sent requests again: the list loses its entry and brings it back as live,
/// or reports the change later than the endpoint's own signal. A later incarnation of it serves.
#[test]
fn an_endpoint_stays_leaving_until_a_later_incarnation() {
    let entry = |life| EndpointEntry { life, ..entry_of("i-0", "kopli") };
    let takes_work = |board: &EndpointBoard| {
        let key = board.key(&"i-0".into()).and_then(|key| board.get(key));
        key.map(|fact| fact.takes_work())
    };
    let mut board = EndpointBoard::default();
    assert!(board.note_leaving(&"i-0".into(), 5));
    board.put(entry(5));
    assert_eq!(takes_work(&board), Some(false), "its signal arrived before the list's update");

    board.put(entry(5));
    board.remove(&"i-0".into());
    board.put(EndpointEntry { service: "other".into(), ..entry(5) });
    board.put(entry(5));
    assert_eq!(takes_work(&board), Some(false));

    board.put(entry(6));
    assert_eq!(takes_work(&board), Some(true));
    assert!(!board.note_leaving(&"i-0".into(), 5), "the signal is already known");
    assert_eq!(takes_work(&board), Some(true));
}

/// An endpoint in backoff or at its rate limit is sent requests that it does not accept: the list
/// loses its entry for a moment, and its signals are lost with it.
#[test]
fn the_signals_of_an_endpoint_outlast_its_entry() {
    let (mut board, keys) = board(2);
    limit(&mut board, keys[0], 2.0);
    let until = NOW + TimeSpan::secs(3);
    board.get_mut(keys[1]).expect("known").declared.backoff_until = until;
    for name in ["i-0", "i-1"] {
        let entry = board.remove(&name.into()).expect("listed").entry;
        board.put(entry);
    }

    let declared = |name: &str| {
        let key = board.key(&name.into()).expect("listed");
        board.get(key).expect("listed").declared
    };
    assert_eq!(declared("i-0").limit.rate, Some(RequestRate::per_second(2.0)));
    assert_eq!(
        (declared("i-1").available_in(NOW), declared("i-1").available_in(until)),
        (Some(TimeSpan(3000)), None)
    );
    assert_eq!(chooser().choose(&board, &[], 1), None);
}

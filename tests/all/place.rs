//! The choice of an endpoint.

use oleandertack::call::PromptPart;
use oleandertack::judge::BadTrait;
use oleandertack::kind::endpoint::{EndpointStage, InstanceMarket};
use oleandertack::kind::hash::mix_bits;
use oleandertack::kind::{ClockTime, DomainName, RequestRate, ServiceName, TimeSpan};
use oleandertack::place::{
    AnswerGrade, EndpointBoard, EndpointEntry, EndpointKey, LimitWord, PlaceAsk, PrefixRecord,
    choose_endpoint,
};

const NOW: ClockTime = ClockTime(100_000);

/// A board of `count` engines with so many places each.
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
        let ask = PlaceAsk {
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
            repeatable: self.repeatable,
            salt,
            now: self.now,
            lease_now: self.now,
        };
        choose_endpoint(board, &self.prefixes, &ask).map(|choice| choice.key)
    }
}

fn parts(shared: u64, own: u64) -> Vec<PromptPart> {
    vec![PromptPart { id: shared, tokens: 5000 }, PromptPart { id: own, tokens: 1000 }]
}

#[test]
fn processes_agree_on_where_a_shared_part_lies_without_a_word() {
    // Prompts are read again at several engines if each process picks its own. Two processes that
    // have sent nothing yet must choose alike.
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
fn a_full_queue_outweighs_a_kept_part() {
    // A caller waits behind a long queue although other engines are idle: its shared part lies at
    // the busy one. Reading 5000 tokens again costs 40 ms; the queue is ten times that.
    let (mut board, _) = board(3);
    let chooser = chooser();
    let home = chooser.choose(&board, &parts(7, 1), 1).expect("one of three");
    board.get_mut(home).expect("known").others.unread_tokens = 50_000;

    let chosen = chooser.choose(&board, &parts(7, 2), 2);

    assert!(chosen.is_some_and(|key| key != home));
}

#[test]
fn a_leaving_endpoint_gets_nothing_and_stays_leaving() {
    // Requests reach an endpoint seconds after it said that it leaves: an older entry of the same
    // life came later, by another way.
    let (mut board, keys) = board(1);
    board.put(EndpointEntry { stage: EndpointStage::Leaving, ..entry_of("i-0", "kopli") });
    board.put(entry_of("i-0", "kopli"));

    assert_eq!(chooser().choose(&board, &[], 1), None);
    assert!(board.get(keys[0]).is_some_and(|fact| !fact.takes_work()));
}

/// Requests that must not be repeated go on failing at a replica of which all processes together know that
/// it fails. It was set aside; a few requests that may run again still try it, so that it comes back.
#[test]
fn an_endpoint_that_is_set_aside_gets_a_few_repeatable_requests_only() {
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
    // One in sixteen may, of which two in three look at it among two, and half of these choose it.
    assert!((4..=40).contains(&chosen(true, NOW)), "{}", chosen(true, NOW));
    assert!(chosen(false, until) > 100);
}

#[test]
fn suspicion_of_all_refuses_nobody() {
    // Every request of a service is refused: all its endpoints rest after a cut that is over, or
    // were lost from the list while the store was away.
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
fn an_endpoint_that_fails_half_its_requests_is_left_and_found_again() {
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

/// Names a limit for an endpoint as if it had answered so at [`NOW`].
fn limit(board: &mut EndpointBoard, key: EndpointKey, per_s: f64) {
    let rate = Some(RequestRate::per_second(per_s));
    board.note_limit(key, LimitWord { rate, asked_at: NOW });
}

/// An endpoint in need is sent more than it takes by a way past its limit: as the last resort, as the home of a shared
/// part, as one that may be well again.
#[test]
fn no_way_leads_past_the_limit_that_an_endpoint_named() {
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

/// All prompts of a limited engine go to the same other one.
#[test]
fn what_a_limited_home_sheds_goes_to_several_engines() {
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

/// A service is taken for idle, and nobody is refused in time, as limited engines have no queue.
#[test]
fn limited_engines_do_not_count_among_those_whose_queues_are_short() {
    let (mut board, keys) = board(3);
    board.get_mut(keys[2]).expect("known").own.unread_tokens = 700;
    limit(&mut board, keys[0], 2.0);
    limit(&mut board, keys[1], 2.0);

    assert_eq!(board.queue_of(&"engine".into()), (700, 1));
}

/// An endpoint that leaves is sent requests again: the list loses its entry and brings it back as one that stays, or tells of
/// it later than the endpoint itself. A later life of it serves.
#[test]
fn an_endpoint_that_said_it_leaves_does_so_until_a_later_life() {
    let entry = |life| EndpointEntry { life, ..entry_of("i-0", "kopli") };
    let takes_work = |board: &EndpointBoard| {
        let key = board.key(&"i-0".into()).and_then(|key| board.get(key));
        key.map(|fact| fact.takes_work())
    };
    let mut board = EndpointBoard::default();
    assert!(board.note_leaving(&"i-0".into(), 5));
    board.put(entry(5));
    assert_eq!(takes_work(&board), Some(false), "it spoke before the list did");

    board.put(entry(5));
    board.remove(&"i-0".into());
    board.put(EndpointEntry { service: "other".into(), ..entry(5) });
    board.put(entry(5));
    assert_eq!(takes_work(&board), Some(false));

    board.put(entry(6));
    assert_eq!(takes_work(&board), Some(true));
    assert!(!board.note_leaving(&"i-0".into(), 5), "it is known");
    assert_eq!(takes_work(&board), Some(true));
}

/// An endpoint at rest or at its limit is sent what it does not want: the list loses its entry for a moment, and what it
/// said is lost with it.
#[test]
fn what_an_endpoint_said_outlasts_its_entry() {
    let (mut board, keys) = board(2);
    limit(&mut board, keys[0], 2.0);
    let until = NOW + TimeSpan::secs(3);
    board.get_mut(keys[1]).expect("known").said.rests_until = until;
    for name in ["i-0", "i-1"] {
        let entry = board.remove(&name.into()).expect("listed").entry;
        board.put(entry);
    }

    let said = |name: &str| {
        let key = board.key(&name.into()).expect("listed");
        board.get(key).expect("listed").said
    };
    assert_eq!(said("i-0").limit.rate, Some(RequestRate::per_second(2.0)));
    assert_eq!(
        (said("i-1").opens_in(NOW), said("i-1").opens_in(until)),
        (Some(TimeSpan(3000)), None)
    );
    assert_eq!(chooser().choose(&board, &[], 1), None);
}

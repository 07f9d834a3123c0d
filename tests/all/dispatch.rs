//! Services with fewer places than there are processes: the decisions of a dispatcher, and what callers of
//! several front processes get in virtual time.

use crate::brittle::{RUN_TIME, SLOTS, start_endpoints};
use crate::front::RULES;
use crate::place::engines;
use crate::plays::{ProcessGroup, play};
use crate::tried_once::TriedOnce;
use arbtest::arbtest;
use oleandertack::dispatch::{
    AccountShares, AccountTag, AnswerTimes, DispatchCandidate, ReturnSchedule, RoomRequest,
    RoomSample, ShortRoom, WaitLine, choose_dispatchers,
};
use oleandertack::kind::hash::mix_bits;
use oleandertack::kind::{AccountName, ClockTime, InstanceId, TimeSpan};
use oleandertack::place::{
    AnswerGrade, EndpointBoard, EndpointKey, PlaceShare, PlacementRequest, PrefixRecord,
    SharedPlaces, choose_endpoint, count_places,
};
use std::collections::HashMap;
use std::time::{Duration, Instant};
use tokio::time::sleep;

const NOW: ClockTime = ClockTime(10_000);

fn request(rank: u8, patience: u64) -> RoomRequest {
    request_of(1, rank, patience)
}

fn request_of(account: u64, rank: u8, patience: u64) -> RoomRequest {
    RoomRequest { rank, account: tag(account), due: NOW + TimeSpan(patience) }
}

fn tag(account: u64) -> AccountTag {
    AccountTag::of(Some(&AccountName::from(format!("account-{account}").as_str())))
}

/// No account took anything lately.
fn nothing(_: AccountTag) -> f64 {
    0.0
}

fn ids(count: usize) -> Vec<InstanceId> {
    (0..count).map(|at| format!("front-{at}").as_str().into()).collect()
}

fn choose(ids: &[InstanceId], places: u32) -> Vec<InstanceId> {
    let capacity = |id: &InstanceId| u32::from(id.as_str().ends_with('7'));
    let candidates = ids.iter().map(|id| DispatchCandidate { id, capacity: capacity(id) });
    choose_dispatchers(candidates, (77, places))
}

#[test]
fn the_more_urgent_gets_a_place_first_and_among_equals_who_is_due_first() {
    let mut line = WaitLine::default();
    let at = (NOW, TimeSpan(1));
    let (less_urgent, _) = line.enter(request(2, 100), at, nothing).expect("room");
    let (later, _) = line.enter(request(0, 100), at, nothing).expect("room");
    let (sooner, _) = line.enter(request(0, 50), at, nothing).expect("room");

    let order = [(); 3].map(|()| line.pop().map(|(ticket, _)| ticket));

    assert_eq!(order, [Some(sooner), Some(later), Some(less_urgent)]);
    assert!(line.is_empty());
}

/// Guards against requests that are taken out of the line by what is left of others that were let go together.
#[test]
fn tickets_of_a_cleared_line_are_not_given_out_again() {
    let mut line = WaitLine::default();
    let at = (NOW, TimeSpan(1));
    let (before, _) = line.enter(request(1, 100), at, nothing).expect("room");
    line.clear();
    let (after, _) = line.enter(request(1, 100), at, nothing).expect("room");

    let left = line.leave(before);

    assert!(left.is_none());
    assert_eq!(line.pop().map(|(ticket, _)| ticket), Some(after));
}

#[test]
fn a_request_that_cannot_begin_in_time_is_refused_on_arrival() {
    let mut line = WaitLine::default();
    let at = (NOW, TimeSpan(30));
    let entered = (0..5).filter(|_| line.enter(request(1, 100), at, nothing).is_ok()).count();

    let refusal = line.enter(request(1, 100), at, nothing);

    assert_eq!(entered, 3);
    assert_eq!(refusal, Err(TimeSpan(120)));
}

/// Guards against urgent requests that are refused because others wait.
#[test]
fn an_urgent_request_displaces_the_last_of_the_less_urgent() {
    let mut line = WaitLine::default();
    let at = (NOW, TimeSpan(30));
    let waiting: Vec<_> =
        (0..3).map(|_| line.enter(request(2, 100), at, nothing).expect("room").0).collect();

    let (urgent, displaced) = line.enter(request(0, 100), at, nothing).expect("room");

    assert_eq!(displaced, waiting.last().copied());
    assert_eq!(line.pop().map(|(ticket, _)| ticket), Some(urgent));
    assert_eq!(line.len(), 2);
}

/// Whatever ranks and objectives there are, a request that is due first is not passed by one of its rank, and the
/// least urgent is displaced first. With one rank and one objective, all that enter begin in time.
#[test]
fn whatever_waits_gets_a_place_in_its_turn_or_is_told() {
    arbtest(|random| {
        let interval = TimeSpan(random.int_in_range(1..=20)?);
        let (ranks, patience) =
            if random.arbitrary()? { (0..=0, 150..=150) } else { (0..=2, 0..=150) };
        let is_uniform = ranks.end() == &0;
        let mut line = WaitLine::default();
        let (mut now, mut next_place) = (NOW, NOW + interval);
        let mut waiting = HashMap::new();
        for _ in 0..random.int_in_range(1..=200)? {
            now = now + TimeSpan(random.int_in_range(0..=10)?);
            while next_place <= now {
                if let Some((ticket, _)) = line.pop() {
                    let (rank, due) = waiting.remove(&ticket).expect("it waits");
                    assert!(waiting.values().all(|other| (rank, due) <= *other), "out of its turn");
                    assert!(!is_uniform || next_place <= due + interval, "begins too late");
                }
                next_place = next_place + interval;
            }
            let rank = random.int_in_range(ranks.clone())?;
            let due = now + TimeSpan(random.int_in_range(patience.clone())?);
            if let Ok((ticket, displaced)) =
                line.enter(RoomRequest { rank, account: tag(1), due }, (now, interval), nothing)
            {
                waiting.insert(ticket, (rank, due));
                if let Some(ticket) = displaced {
                    let (gone, _) = waiting.remove(&ticket).expect("it waited");
                    assert!(
                        waiting.values().all(|(other, _)| *other <= gone),
                        "a less urgent one stays"
                    );
                }
            }
            assert_eq!(line.len(), waiting.len());
        }
        Ok(())
    });
}

/// One account sends nine times as much as each of the others. Three requests come for each two places, and the
/// others together ask for two thirds of these.
#[test]
fn a_pressing_account_does_not_displace_the_small_ones() {
    const ACCOUNTS: u64 = 8;
    let interval = TimeSpan(10);
    let mut line = WaitLine::default();
    let mut shares = AccountShares::default();
    let mut asked: HashMap<AccountTag, f64> = HashMap::new();
    let mut served: HashMap<AccountTag, f64> = HashMap::new();
    for step in 0..12_000_u64 {
        let now = NOW + TimeSpan(step * 10);
        let drawn = mix_bits(step) % (ACCOUNTS + 8);
        for account in
            [drawn, mix_bits(step ^ 99) % (ACCOUNTS + 8)].into_iter().take(1 + (step % 2) as usize)
        {
            let account = tag(account.min(ACCOUNTS - 1));
            *asked.entry(account).or_default() += 1.0;
            let request = RoomRequest { rank: 1, account, due: now + TimeSpan(80) };
            let _ = line.enter(request, (now, interval), |other| shares.taken(other, now));
        }
        if let Some((_, request)) = line.pop() {
            shares.note_taken(request.account, now);
            *served.entry(request.account).or_default() += 1.0;
        }
    }

    let part = |account| served[&tag(account)] / asked[&tag(account)];

    assert!((0..ACCOUNTS - 1).all(|account| part(account) > 0.95), "{asked:?} {served:?}");
    let all: f64 = served.values().sum();
    assert!(all > 0.99 * 12_000.0, "places stayed idle: {all}");
}

#[test]
fn an_account_alone_gets_all_places() {
    let mut line = WaitLine::default();
    let entered =
        (0..3).filter(|_| line.enter(request(1, 100), (NOW, TimeSpan(30)), nothing).is_ok());

    assert_eq!(entered.count(), 3);
    assert!(line.enter(request(1, 100), (NOW, TimeSpan(30)), nothing).is_err());
}

/// Guards against a decision that gets slow as many wait: far more than an objective allows.
#[test]
fn a_line_of_ten_thousand_is_entered_and_left_as_fast_as_a_short_one() {
    let mut line = WaitLine::default();
    let at = (NOW, TimeSpan(1));
    let tags: Vec<AccountTag> = (0..16).map(tag).collect();
    let request = |number: usize| {
        let (account, due) = (tags[number % tags.len()], NOW + TimeSpan(60_000));
        RoomRequest { rank: 1, account, due }
    };
    for number in 0..10_000 {
        line.enter(request(number), at, nothing).expect("room");
    }
    let began = Instant::now();
    for number in 0..1000 {
        line.enter(request(number), at, nothing).expect("room");
        line.pop().expect("some wait");
    }

    let mean = began.elapsed() / 1000;

    // Twenty microseconds are the aim of an optimized build, which this is not.
    assert!(mean < Duration::from_micros(200), "{mean:?}");
    assert_eq!(line.len(), 10_000);
}

#[test]
fn processes_that_know_the_same_members_choose_the_same_dispatchers() {
    for (count, places) in [(9, 6), (77, 18), (300, 42)] {
        let known = ids(count);
        let mut reversed = known.clone();
        reversed.reverse();

        let chosen = choose(&known, places);

        assert_eq!(chosen, choose(&reversed, places));
        assert_eq!(chosen.len(), (places as usize / 4).max(3));
        assert!(chosen[0].as_str().ends_with('7'), "the largest instances come first");
    }
}

/// Guards against a change of all dispatchers because one process ended.
#[test]
fn the_end_of_a_dispatcher_changes_only_its_own_place() {
    let known = ids(77);
    let chosen = choose(&known, 18);
    let rest: Vec<InstanceId> = known.into_iter().filter(|id| *id != chosen[1]).collect();

    let next = choose(&rest, 18);

    let kept = chosen.iter().filter(|id| next.contains(id)).count();
    assert_eq!(kept, chosen.len() - 1);
}

fn sample(requests: u32, processes: u32) -> RoomSample {
    RoomSample { places: 18, requests, processes }
}

fn note_for(room: &mut ShortRoom, sample: RoomSample, from: ClockTime, time: u64) -> bool {
    (0..time / 250).map(|at| room.note(sample, from + TimeSpan(at * 250))).last().expect("a sample")
}

#[test]
fn room_is_short_while_most_places_are_used_and_for_a_while_after() {
    let mut room = ShortRoom::default();

    let calm = note_for(&mut room, sample(8, 77), NOW, 5000);
    let busy = note_for(&mut room, sample(16, 77), NOW + TimeSpan(5000), 2000);
    let calm_again = note_for(&mut room, sample(2, 77), NOW + TimeSpan(7000), 3000);
    let long_calm = note_for(&mut room, sample(2, 77), NOW + TimeSpan(10_000), 5000);

    assert_eq!((calm, busy, calm_again, long_calm), (false, true, true, false));
}

#[test]
fn a_service_with_a_place_for_each_process_is_not_dispatched() {
    let mut room = ShortRoom::default();

    let is_short = note_for(&mut room, sample(18, 9), NOW, 5000);

    assert!(!is_short);
}

#[test]
fn who_was_refused_first_comes_back_first_and_not_all_at_once() {
    let mut returns = ReturnSchedule::default();
    let interval = TimeSpan(5);

    let times: Vec<u64> =
        (0..20).map(|_| returns.next((NOW, TimeSpan(2000)), interval).0).collect();

    assert!(times.windows(2).all(|pair| pair[1] - pair[0] >= 4 * interval.0), "{times:?}");
}

#[test]
fn nobody_is_told_to_come_back_later_than_it_can_be_served() {
    let mut returns = ReturnSchedule::default();

    let times: Vec<u64> =
        (0..500).map(|_| returns.next((NOW, TimeSpan(800)), TimeSpan(10)).0).collect();

    assert!(times.iter().all(|time| *time <= 800));
}

#[test]
fn places_come_free_as_often_as_answers_end() {
    let mut answers = AnswerTimes::default();
    (0..100).for_each(|at| answers.note(TimeSpan(60), NOW + TimeSpan(at * 10)));

    let interval = answers.place_interval(6);

    assert_eq!(interval, Some(TimeSpan(10)));
    assert_eq!(answers.place_interval(0), None);
}

/// The places of `share`, and where it would send a request.
fn placed(
    board: &EndpointBoard,
    share: PlaceShare<'_>,
    salt: u64,
) -> (SharedPlaces, Option<EndpointKey>) {
    let (service, domain) = ("engine".into(), "kopli".into());
    let request = PlacementRequest {
        service: &service,
        engine: false,
        prompt_tokens: 0,
        parts: &[],
        tried: &[],
        domain: &domain,
        queue_limit: u64::MAX,
        read_per_ms: 1.0,
        pause: None,
        pause_weight: 0.0,
        is_trial: false,
        version: None,
        repeatable: false,
        places: Some(share),
        salt,
        now: NOW,
        lease_now: NOW,
    };
    let places = count_places(board, (&service, &share), (NOW, NOW));
    (places, choose_endpoint(board, &PrefixRecord::default(), &request).map(|choice| choice.key))
}

#[test]
fn the_places_of_all_dispatchers_add_up_to_what_an_endpoint_is_sent() {
    let (board, keys) = engines(2, 6);
    for count in [1, 3, 4, 9] {
        let dispatchers = ids(count);
        let permits = |own| PlaceShare { own, dispatchers: &dispatchers };

        for fact in keys.iter().map(|key| board.get(*key).expect("known")) {
            let all = dispatchers.iter().map(|own| permits(own).permits(fact));
            assert_eq!(all.sum::<u32>(), 9, "{count} dispatchers");
        }
        assert_eq!(permits(&"another".into()).permits(board.get(keys[0]).expect("known")), 0);
    }
}

#[test]
fn a_dispatcher_sends_no_more_than_its_places_and_to_the_emptier_endpoint_first() {
    let (mut board, keys) = engines(2, 6);
    let dispatchers = ids(3);
    let share = PlaceShare { own: &dispatchers[0], dispatchers: &dispatchers };
    let mut sent = HashMap::new();
    for salt in 0..6 {
        let key = placed(&board, share, salt).1.expect("a place");
        board.get_mut(key).expect("known").own.requests += 1;
        *sent.entry(key).or_insert(0) += 1;
    }

    let (places, choice) = placed(&board, share, 6);

    assert_eq!((places, choice), (SharedPlaces { total: 6, free: 0 }, None));
    assert!(keys.iter().all(|key| sent[key] == 3), "{sent:?}");
}

/// Guards against an endpoint that fails at once and therefore always has places free: it would get most requests.
#[test]
fn an_endpoint_that_fails_most_requests_gets_none_while_a_sound_one_is_full() {
    let (mut board, keys) = engines(2, 6);
    let dispatchers = ids(3);
    let share = PlaceShare { own: &dispatchers[0], dispatchers: &dispatchers };
    for _ in 0..20 {
        board.get_mut(keys[0]).expect("known").health.note(AnswerGrade::Bad, NOW);
    }
    board.get_mut(keys[1]).expect("known").own.requests = 3;

    let (places, choice) = placed(&board, share, 1);

    assert_eq!((places.free, choice), (0, None));
}

/// Guards against a service that is not served because all of its endpoints fail requests.
#[test]
fn endpoints_that_all_fail_most_requests_are_used() {
    let (mut board, keys) = engines(2, 6);
    let dispatchers = ids(3);
    let share = PlaceShare { own: &dispatchers[0], dispatchers: &dispatchers };
    for key in &keys {
        (0..20).for_each(|_| {
            board.get_mut(*key).expect("known").health.note(AnswerGrade::Bad, NOW);
        });
    }

    let (places, choice) = placed(&board, share, 1);

    assert_eq!(places.free, 6);
    assert!(choice.is_some());
}

/// What callers of processes got that send to plain endpoints with queues of their own.
#[derive(Debug)]
struct DispatchPlay {
    processes: usize,
    endpoints: usize,
    /// Requests that come, as a part of what all endpoints can serve.
    load: f64,
    /// Dispatchers that are killed in the middle at one moment; they start again.
    killed: usize,
}

#[derive(Debug)]
struct DispatchTime {
    asked: f64,
    served: f64,
    in_time: f64,
    refused: f64,
    /// Requests in time that one queue over all places would have served.
    possible: f64,
}

impl DispatchPlay {
    /// Requests that may wait at an endpoint of its own accord.
    const OWN_QUEUE: usize = 16;
    const MEASURED: Duration = Duration::from_secs(8);

    async fn play(&self) -> DispatchTime {
        let mut group = ProcessGroup::start(self.processes).await;
        let objective = RUN_TIME * 5 / 2;
        let rules = RULES.replace("\"version\":7", "\"version\":8").replace(
            "\"target-latency-ms\":100",
            &format!("\"target-latency-ms\":{}", objective.as_millis()),
        );
        group.put_rules(&rules);
        group.remove_first_endpoints();
        let endpoints = start_endpoints(&group.registry(), self.endpoints).await;
        endpoints.iter().for_each(|endpoint| endpoint.most_waiting.set(Self::OWN_QUEUE));
        sleep(Duration::from_secs(2)).await;
        let capacity = (self.endpoints * SLOTS) as f64 / RUN_TIME.as_secs_f64();
        let per_s = self.load * capacity;
        let period = Duration::from_secs_f64(self.processes as f64 / per_s);
        let callers = TriedOnce::start_spread(&group, period);
        callers.objective.set(objective);
        sleep(period + Duration::from_secs(4)).await;
        let before = callers.total();
        if self.killed > 0 {
            let named = group.dispatchers();
            group.kill(&named[..self.killed], Duration::from_millis(700)).await;
            callers.follow(&group);
        }
        sleep(Self::MEASURED).await;
        let after = callers.total();
        callers.ends.set(true);
        let asked = f64::from(after.asked - before.asked);
        DispatchTime {
            asked,
            served: f64::from(after.served - before.served),
            in_time: f64::from(after.in_time - before.in_time),
            refused: f64::from(after.refused - before.refused),
            possible: asked.min(capacity * Self::MEASURED.as_secs_f64()),
        }
    }
}

/// Sixty processes send a third more to one endpoint than it can serve.
#[test]
fn an_overloaded_endpoint_answers_in_time_what_it_can_serve() {
    play(async {
        let overload = DispatchPlay { processes: 60, endpoints: 1, load: 1.3, killed: 0 };

        let time = overload.play().await;

        assert!(time.in_time > 0.9 * time.possible, "{time:?}");
        assert!(time.served - time.in_time < 0.03 * time.asked, "{time:?}");
        assert!(time.served + time.refused > 0.97 * time.asked, "{time:?}");
    });
}

/// Sixty processes send to two endpoints four fifths of what these can serve.
#[test]
fn endpoints_that_are_nearly_full_serve_all_callers() {
    play(async {
        let busy = DispatchPlay { processes: 60, endpoints: 2, load: 0.8, killed: 0 };

        let time = busy.play().await;

        assert!(time.in_time > 0.95 * time.asked, "{time:?}");
    });
}

/// Guards against a service that is not served, or not in time, because one of its dispatchers was killed.
#[test]
fn the_other_dispatchers_serve_while_one_is_killed() {
    play(async {
        let killed = DispatchPlay { processes: 20, endpoints: 2, load: 0.8, killed: 1 };

        let time = killed.play().await;

        assert!(time.served > 0.9 * time.asked, "{time:?}");
        assert!(time.in_time > 0.85 * time.asked, "{time:?}");
    });
}

/// Guards against a service that is not served until its dispatchers are back.
#[test]
fn the_service_is_served_while_all_dispatchers_are_killed() {
    play(async {
        let killed = DispatchPlay { processes: 20, endpoints: 2, load: 0.8, killed: 3 };

        let time = killed.play().await;

        assert!(time.served > 0.9 * time.asked, "{time:?}");
        assert!(time.in_time > 0.85 * time.asked, "{time:?}");
    });
}

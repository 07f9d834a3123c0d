//! The account of what callers hold, without clocks and sockets: who may hold more, and who gives way.

use arbtest::arbtest;
use bytes::{Buf, Bytes};
use oleandertack::board::NodeClock;
use oleandertack::hold::bounds::{CONNECTION_BYTES, SMALL_ANSWER_BYTES, SMALL_BYTES, SPARE_BYTES};
use oleandertack::hold::{
    BodyBuffer, CallerHold, HoldBounds, HoldDesk, HoldLedger, HoldRoom, HoldVerdict,
    HolderEviction, HolderKey, HolderPhase,
};
use oleandertack::kind::{ClockTime, TimeSpan};
use std::rc::Rc;
use std::time::Duration;
use tokio::time::timeout;

const START: ClockTime = ClockTime(1_000_000);
const KILOBYTE: usize = 1 << 10;
/// How long a caller waits for what has to happen.
const PATIENCE: Duration = Duration::from_secs(2);

fn bounds() -> HoldBounds {
    HoldBounds {
        connections: 4,
        closing: 2,
        small_bytes: 256 * KILOBYTE,
        large_bytes: 1024 * KILOBYTE,
        answer_bytes: 256 * KILOBYTE,
        idle_links: 4,
    }
}

fn at(ms: u64) -> ClockTime {
    START + TimeSpan(ms)
}

/// A ledger, and holders that began to send at the start and sent so many bytes, all of which are held.
fn readers(sent: &[usize]) -> (HoldLedger, Vec<HolderKey>) {
    let mut ledger = HoldLedger::new(bounds());
    let keys = sent.iter().map(|bytes| {
        let (key, _) = ledger.open(START);
        ledger.begin(key, START);
        ledger.note_moved(key, *bytes);
        let (verdict, _) = ledger.claim_request(key, *bytes, START);
        assert_eq!(verdict, HoldVerdict::Granted);
        key
    });
    let keys = keys.collect();
    (ledger, keys)
}

fn evicted(evictions: &[HolderEviction]) -> Vec<HolderKey> {
    evictions.iter().map(|eviction| eviction.key).collect()
}

/// Guards against refusing the newest, so that a crowd that came first keeps all others out.
#[test]
fn the_body_that_makes_least_progress_gives_way_to_a_new_one() {
    let (mut ledger, keys) = readers(&[500 * KILOBYTE, 600 * KILOBYTE]);
    let (new, _) = ledger.open(at(9990));
    ledger.begin(new, at(9990));
    ledger.note_moved(new, 10 * KILOBYTE);

    let (verdict, evictions) = ledger.claim_request(new, 300 * KILOBYTE, at(10_000));
    ledger.leave(keys[0], at(10_001));
    let (after, _) = ledger.claim_request(new, 300 * KILOBYTE, at(10_001));

    assert_eq!((verdict, after), (HoldVerdict::Wait, HoldVerdict::Granted));
    assert_eq!(evicted(&evictions), [keys[0]]);
}

/// Guards against taking a byte now and then for progress.
#[test]
fn a_body_that_drips_gives_way_whenever_its_last_byte_came() {
    let (mut ledger, keys) = readers(&[500 * KILOBYTE, 100 * KILOBYTE]);
    let (new, _) = ledger.open(at(59_000));
    ledger.begin(new, at(59_000));
    ledger.note_moved(new, 64 * KILOBYTE);
    ledger.note_moved(keys[1], 1);

    let (_, evictions) = ledger.claim_request(new, 700 * KILOBYTE, at(60_000));

    assert_eq!(evicted(&evictions), [keys[1], keys[0]]);
}

/// Guards against a request that is dropped after it was passed on, while "not run" is said of it.
#[test]
fn a_complete_request_never_gives_way() {
    let (mut ledger, keys) = readers(&[500 * KILOBYTE, 500 * KILOBYTE]);
    keys.iter().for_each(|key| ledger.complete(*key, at(1)));
    let (new, _) = ledger.open(at(2));
    ledger.begin(new, at(2));

    let (verdict, evictions) = ledger.claim_request(new, 500 * KILOBYTE, at(60_000));

    assert_eq!(verdict, HoldVerdict::Full(HoldRoom::Large));
    assert_eq!(evicted(&evictions), []);
}

/// Guards against large bodies that take the room of ordinary requests.
#[test]
fn a_small_request_has_room_beside_large_ones() {
    let (mut ledger, keys) = readers(&[550 * KILOBYTE, 550 * KILOBYTE]);
    keys.iter().for_each(|key| ledger.complete(*key, at(1)));
    let (new, _) = ledger.open(at(2));
    ledger.begin(new, at(2));

    let (verdict, _) = ledger.claim_request(new, SMALL_BYTES, at(3));

    assert_eq!(verdict, HoldVerdict::Granted);
}

/// Guards against giving the room of who has to leave to several at once.
#[test]
fn room_that_is_being_freed_is_waited_for() {
    let (mut ledger, keys) = readers(&[1000 * KILOBYTE]);
    let (first, second) = (ledger.open(at(900)).0, ledger.open(at(900)).0);
    for key in [first, second] {
        ledger.begin(key, at(900));
        ledger.note_moved(key, 200 * KILOBYTE);
    }

    let (one, evictions) = ledger.claim_request(first, 500 * KILOBYTE, at(1000));
    let (other, others) = ledger.claim_request(second, 500 * KILOBYTE, at(1000));

    assert_eq!((one, other), (HoldVerdict::Wait, HoldVerdict::Wait));
    assert_eq!((evicted(&evictions), evicted(&others)), (vec![keys[0]], vec![]));
}

/// Guards against silent callers that take all connections.
#[test]
fn the_oldest_unused_connection_gives_way_then_the_one_that_rests_longest() {
    let mut ledger = HoldLedger::new(bounds());
    let keys: Vec<_> = (0..4).map(|number| ledger.open(at(number)).0).collect();
    ledger.rest(keys[0], 0, at(10));
    ledger.rest(keys[1], 0, at(20));
    ledger.begin(keys[2], at(30));
    ledger.complete(keys[2], at(31));

    let (_, unused) = ledger.open(at(2000));
    let (_, resting) = ledger.open(at(2001));

    assert_eq!(evicted(&unused), [keys[3]]);
    assert_eq!(evicted(&resting), [keys[0]]);
}

/// Guards against ordinary callers far away, whose requests are on their way, that give way to one another while what a
/// crowd has begun stands still.
#[test]
fn a_connection_whose_request_may_be_on_its_way_gives_way_after_what_stands_still() {
    let mut ledger = HoldLedger::new(bounds());
    let crowd: Vec<_> = (0..3).map(|number| ledger.open(at(number)).0).collect();
    for (key, bytes) in crowd.iter().zip([200, 300, 1_000_000]) {
        ledger.begin(*key, at(5));
        ledger.note_moved(*key, bytes);
    }
    let (_, none) = ledger.open(at(9900));

    let (_, evictions) = ledger.open(at(10_000));

    assert_eq!(evicted(&none), []);
    assert_eq!(evicted(&evictions), [crowd[0]]);
}

/// Guards against cutting a request that waits for its answer.
#[test]
fn a_connection_that_waits_for_its_answer_does_not_give_way_to_a_new_one() {
    let mut ledger = HoldLedger::new(bounds());
    let keys: Vec<_> = (0..4).map(|number| ledger.open(at(number)).0).collect();
    keys.iter().for_each(|key| ledger.begin(*key, at(5)));
    keys.iter().for_each(|key| ledger.complete(*key, at(6)));

    let (new, evictions) = ledger.open(at(10));
    let later = ledger.make_room(at(100));

    assert_eq!(evicted(&evictions), []);
    assert_eq!(evicted(&later), [new]);
}

/// Guards against closing the connection of an ordinary caller before its request has come, while a crowd connects.
#[test]
fn a_connection_that_has_just_been_opened_does_not_give_way() {
    let mut ledger = HoldLedger::new(bounds());

    let opened: Vec<_> = (0..6).map(|_| ledger.open(at(0))).collect();

    assert!(opened.iter().all(|(_, evictions)| evictions.is_empty()));
    assert!(!ledger.may_accept());
    assert_eq!(ledger.make_room(at(100)).len(), 2);
}

/// Guards against a process that accepts nobody any more, as those that were to give way went on and rest now.
#[test]
fn connections_that_went_on_give_way_once_they_rest() {
    let mut ledger = HoldLedger::new(bounds());
    let keys: Vec<_> = (0..6).map(|number| ledger.open(at(100 * number)).0).collect();
    keys.iter().for_each(|key| ledger.begin(*key, at(600)));
    keys.iter().for_each(|key| ledger.rest(*key, 0, at(700)));

    let (before, evictions) = (ledger.may_accept(), ledger.make_room(at(701)));

    assert!(!before);
    assert_eq!(evicted(&evictions), [keys[0], keys[1]]);
}

/// Guards against more descriptors than callers may have, while closed connections take their time.
#[test]
fn nothing_is_accepted_while_too_many_connections_are_being_closed() {
    let mut ledger = HoldLedger::new(bounds());
    let keys: Vec<_> = (0..6).map(|number| ledger.open(at(number)).0).collect();

    let before = ledger.may_accept();
    ledger.close(keys[0]);

    assert_eq!((before, ledger.may_accept()), (false, true));
}

/// Guards against closing a connection on which a request has come meanwhile.
#[test]
fn a_request_revives_a_connection_that_was_to_give_way() {
    let mut ledger = HoldLedger::new(bounds());
    let keys: Vec<_> = (0..5).map(|number| ledger.open(at(number)).0).collect();

    ledger.begin(keys[0], at(10));
    let (verdict, _) = ledger.claim_request(keys[0], KILOBYTE, at(10));

    assert_eq!(verdict, HoldVerdict::Granted);
}

/// Guards against answers that wait for one another's room until all are too late.
#[test]
fn one_answer_at_a_time_goes_on_without_room() {
    let (mut ledger, keys) = readers(&[KILOBYTE, KILOBYTE]);
    keys.iter().for_each(|key| ledger.complete(*key, at(1)));
    let half = bounds().answer_bytes / 2 + SMALL_ANSWER_BYTES;
    keys.iter().for_each(|key| {
        assert_eq!(ledger.claim_answer(*key, half, at(2)).0, HoldVerdict::Granted);
    });

    let (spared, _) = ledger.claim_answer(keys[0], SPARE_BYTES, at(3));
    let (other, _) = ledger.claim_answer(keys[1], KILOBYTE, at(3));
    ledger.close(keys[0]);
    let (after, _) = ledger.claim_answer(keys[1], KILOBYTE, at(4));

    assert_eq!((spared, after), (HoldVerdict::Granted, HoldVerdict::Granted));
    assert_eq!(other, HoldVerdict::Full(HoldRoom::Answers));
}

/// Guards against answers that nobody reads and that keep the others waiting.
#[test]
fn an_answer_that_is_not_taken_gives_way_to_another() {
    let (mut ledger, keys) = readers(&[KILOBYTE, KILOBYTE]);
    keys.iter().for_each(|key| ledger.complete(*key, at(1)));
    ledger.claim_answer(keys[0], bounds().answer_bytes + SMALL_ANSWER_BYTES, at(2));
    ledger.begin_writing(keys[0], at(3));

    let (_, evictions) = ledger.claim_answer(keys[1], 2 * SMALL_BYTES, at(5000));

    assert_eq!(evicted(&evictions), [keys[0]]);
    assert_eq!(evictions[0].phase, HolderPhase::Writing);
}

/// What is held beyond lowered bounds is not given to others.
#[test]
fn lowered_bounds_hold_for_the_next_claim() {
    let (mut ledger, keys) = readers(&[1000 * KILOBYTE]);
    let (new, _) = ledger.open(at(900));
    ledger.begin(new, at(900));
    ledger.note_moved(new, 500 * KILOBYTE);
    ledger.set_bounds(HoldBounds { large_bytes: 512 * KILOBYTE, ..bounds() });

    let (verdict, evictions) = ledger.claim_request(new, 128 * KILOBYTE, at(1000));

    assert_eq!((verdict, evicted(&evictions)), (HoldVerdict::Wait, vec![keys[0]]));
}

/// Guards against counts that drift: whatever comes in whatever order, no room goes beyond its bound, and nothing is
/// left when all are gone.
#[test]
fn no_room_goes_beyond_its_bound_whatever_comes() {
    arbtest(|u| {
        let mut ledger = HoldLedger::new(bounds());
        let (mut keys, mut now) = (Vec::new(), START);
        for _ in 0..u.int_in_range(1..=80)? {
            now = now + TimeSpan(u.int_in_range(0..=500)?);
            let key = if keys.is_empty() { None } else { Some(*u.choose(&keys)?) };
            match (key, u.int_in_range(0..=8)?) {
                (None, _) | (_, 0) if ledger.may_accept() => keys.push(ledger.open(now).0),
                (Some(key), 1) => ledger.begin(key, now),
                (Some(key), 2) => ledger.complete(key, now),
                (Some(key), 3) => ledger.begin_writing(key, now),
                (Some(key), 4) => ledger.rest(key, 0, now),
                (Some(key), 5) => ledger.leave(key, now),
                (Some(key), 6) => {
                    let bytes = u.int_in_range(0..=1500 * KILOBYTE)?;
                    ledger.claim_request(key, bytes, now);
                }
                (Some(key), 7) => {
                    let bytes = u.int_in_range(0..=300 * KILOBYTE)?;
                    ledger.claim_answer(key, bytes, now);
                }
                (Some(key), _) => {
                    ledger.close(key);
                    keys.retain(|other| *other != key);
                }
                (None, _) => {}
            }
            for (room, spare) in [
                (HoldRoom::Small, SMALL_ANSWER_BYTES),
                (HoldRoom::Large, 0),
                (HoldRoom::Answers, SPARE_BYTES),
                (HoldRoom::Connections, 0),
            ] {
                assert!(ledger.used(room) <= ledger.bound(room) + spare, "{room:?}");
            }
        }
        keys.iter().for_each(|key| ledger.close(*key));
        assert!(HoldRoom::ALL.iter().all(|room| ledger.used(*room) == 0));
        assert!(ledger.may_accept());
        Ok(())
    });
}

/// The account and what is not in it fit the machine; a request of the longest body fits the account.
#[test]
fn the_rooms_of_a_machine_fit_its_memory_and_descriptors() {
    const LONGEST_BODY: usize = 4 << 20;
    for (megabytes, descriptors) in [(120, 3075), (160, 4100), (260, 4100), (512, 8192), (64, 456)]
    {
        let memory = megabytes * 1_000_000;

        let bounds = HoldBounds::of_machine(memory, descriptors);

        let connections = bounds.connections + bounds.closing;
        let bytes = bounds.small_bytes + bounds.large_bytes + bounds.answer_bytes + SPARE_BYTES;
        let held = bytes + connections * CONNECTION_BYTES;
        assert!(held <= memory * 3 / 4, "{megabytes} MB: {held} bytes");
        assert!(bounds.large_bytes > LONGEST_BODY, "{megabytes} MB");
        assert!(3 * connections + bounds.idle_links < descriptors - 200, "{descriptors}");
        let complete = connections * (SMALL_BYTES + SMALL_ANSWER_BYTES);
        assert!(complete <= bounds.small_bytes, "{megabytes} MB: {complete} bytes complete");
    }
}

/// A body is the same however it came, and takes no more than was claimed for it.
#[test]
fn a_body_in_segments_is_the_body_that_came() {
    arbtest(|u| {
        let length = u.int_in_range(0..=200 * KILOBYTE)?;
        let body: Vec<u8> = (0..length).map(|at| (at % 251) as u8).collect();
        let mut buffer = BodyBuffer::new(u.arbitrary::<bool>()?.then_some(length));
        let mut rest = body.as_slice();
        while !rest.is_empty() {
            let (piece, later) = rest.split_at(u.int_in_range(1..=rest.len())?);
            let claimed = buffer.held_with(piece.len());
            assert!(claimed >= buffer.len() + piece.len());
            buffer.push(piece);
            rest = later;
        }

        let chain = buffer.finish();
        let mut cursor = chain.cursor();
        cursor.push_front(Bytes::from_static(b"head"));
        let taken = cursor.copy_to_bytes(cursor.remaining());

        assert_eq!(chain.len(), length);
        assert_eq!(chain.to_bytes(), body);
        assert_eq!(&taken[..4], b"head");
        assert_eq!(&taken[4..], body);
        Ok(())
    });
}

/// A desk, and callers that hold so many bytes of requests, none of which is complete.
async fn reading_callers(sent: &[usize]) -> (Rc<HoldDesk>, Vec<Rc<CallerHold>>) {
    let desk = Rc::new(HoldDesk::new(bounds(), NodeClock::default()));
    let mut callers = Vec::new();
    for bytes in sent {
        let caller = CallerHold::open(&desk);
        caller.begin();
        caller.note_moved(*bytes);
        caller.claim_request(*bytes).await.expect("there is room");
        callers.push(caller);
    }
    (desk, callers)
}

/// Guards against a request that waits for one which was completed when it was told to give way, and keeps its room until
/// its answer has ended, while others could give way.
#[actix_rt::test]
async fn whoever_waits_asks_another_one_if_the_first_was_completed() {
    let (desk, callers) = reading_callers(&[500 * KILOBYTE, 600 * KILOBYTE]).await;
    let new = CallerHold::open(&desk);
    new.begin();

    let claiming = timeout(PATIENCE, new.claim_request(300 * KILOBYTE));
    let giving_way = async {
        let first = callers[0].until_evicted().await;
        callers[0].complete();
        let next = timeout(PATIENCE, callers[1].until_evicted()).await;
        callers[1].leave();
        (first, next)
    };
    let (claimed, (_, next)) = tokio::join!(claiming, giving_way);

    assert!(next.is_ok(), "nobody else was told to give way");
    assert_eq!(claimed.expect("an end"), Ok(()));
}

/// Guards against a request that waits on although a larger machine has room for it.
#[actix_rt::test]
async fn whoever_waits_goes_on_when_the_bounds_are_raised() {
    let (desk, callers) = reading_callers(&[500 * KILOBYTE, 600 * KILOBYTE]).await;
    let new = CallerHold::open(&desk);
    new.begin();

    let claiming = timeout(PATIENCE, new.claim_request(300 * KILOBYTE));
    let raising = async {
        callers[0].until_evicted().await;
        desk.set_bounds(HoldBounds { large_bytes: 4096 * KILOBYTE, ..bounds() });
    };
    let (claimed, ()) = tokio::join!(claiming, raising);

    assert_eq!(claimed.expect("an end"), Ok(()));
}

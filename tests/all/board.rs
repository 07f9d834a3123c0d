//! Tests of the endpoint state that a process derives from lists that lag.

use oleandertack::board::Blackboard;
use oleandertack::kind::{
    ClockTime, EndpointRecord, EndpointStage, InstanceId, ServiceName, TimeSpan,
};

const NOW: ClockTime = ClockTime(1_000_000);

fn record(name: &str) -> EndpointRecord {
    EndpointRecord {
        instance: InstanceId::from(name),
        service: ServiceName::from("recipe-llm"),
        address: "127.0.0.1:1".into(),
        stage: EndpointStage::Live,
        ..EndpointRecord::default()
    }
}

fn board_with(names: &[&str]) -> Blackboard {
    let mut board = Blackboard::new();
    board.apply_list(names.iter().map(|name| record(name)).collect(), NOW);
    board
}

fn usable(board: &Blackboard, now: ClockTime) -> usize {
    let keys = board.endpoints_of(&ServiceName::from("recipe-llm"));
    keys.iter().filter(|key| board.endpoints.get(**key).is_some_and(|f| f.takes_work(now))).count()
}

#[test]
fn an_empty_list_does_not_empty_the_pool() {
    // Guards against result 1008 "no endpoint" while every endpoint answers: the list lags to a time
    // before the endpoints started, and an absent entry is treated as an ended instance.
    let mut board = board_with(&["a", "b", "c"]);

    board.apply_list(Vec::new(), NOW + TimeSpan::secs(3));

    assert_eq!(usable(&board, NOW + TimeSpan::secs(3)), 3);
}

#[test]
fn an_unlisted_endpoint_that_failed_is_dropped() {
    let mut board = board_with(&["a", "b"]);
    let key = board.endpoint_key(&InstanceId::from("a")).expect("listed");
    board.endpoints.get_mut(key).expect("listed").failures = 1;

    board.apply_list(vec![record("b")], NOW + TimeSpan::secs(1));

    assert_eq!(board.endpoints.len(), 1);
}

#[test]
fn an_endpoint_unlisted_past_the_timeout_is_dropped_once_idle() {
    let mut board = board_with(&["a"]);
    let key = board.endpoint_key(&InstanceId::from("a")).expect("listed");
    board.endpoints.get_mut(key).expect("listed").in_flight = 1;
    board.apply_list(Vec::new(), NOW);

    board.apply_list(Vec::new(), NOW + TimeSpan::secs(61));
    let while_busy = board.endpoints.len();
    board.endpoints.get_mut(key).expect("kept").in_flight = 0;
    board.apply_list(Vec::new(), NOW + TimeSpan::secs(62));

    assert_eq!((while_busy, board.endpoints.len()), (1, 0));
}

#[test]
fn a_leaving_endpoint_stays_leaving_when_a_stale_list_shows_it_live() {
    // The endpoint signals in an answer that it is leaving; the list that is read next is older.
    let mut board = board_with(&["a", "b"]);
    board.mark_leaving(&InstanceId::from("a"), Some(NOW + TimeSpan::secs(5)));

    board.apply_list(vec![record("a"), record("b")], NOW + TimeSpan::secs(1));

    assert_eq!(usable(&board, NOW + TimeSpan::secs(1)), 1);
}

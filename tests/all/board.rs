//! What a process believes of endpoints, from lists that lag.

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
    board.take_list(names.iter().map(|name| record(name)).collect(), NOW);
    board
}

fn usable(board: &Blackboard, now: ClockTime) -> usize {
    let keys = board.endpoints_of(&ServiceName::from("recipe-llm"));
    keys.iter().filter(|key| board.endpoints.get(**key).is_some_and(|f| f.takes_work(now))).count()
}

#[test]
fn a_list_that_shows_nothing_does_not_empty_the_pool() {
    // Callers saw 1008 "no endpoint" while every endpoint answered. The list lagged to a time
    // before any endpoint, and a missing line was taken for an ended instance.
    let mut board = board_with(&["a", "b", "c"]);

    board.take_list(Vec::new(), NOW + TimeSpan::secs(3));

    assert_eq!(usable(&board, NOW + TimeSpan::secs(3)), 3);
}

#[test]
fn an_endpoint_that_is_not_listed_and_failed_is_dropped() {
    let mut board = board_with(&["a", "b"]);
    let key = board.endpoint_key(&InstanceId::from("a")).expect("listed");
    board.endpoints.get_mut(key).expect("listed").failures = 1;

    board.take_list(vec![record("b")], NOW + TimeSpan::secs(1));

    assert_eq!(board.endpoints.len(), 1);
}

#[test]
fn an_endpoint_that_is_not_listed_for_long_is_dropped_once_it_is_idle() {
    let mut board = board_with(&["a"]);
    let key = board.endpoint_key(&InstanceId::from("a")).expect("listed");
    board.endpoints.get_mut(key).expect("listed").in_flight = 1;
    board.take_list(Vec::new(), NOW);

    board.take_list(Vec::new(), NOW + TimeSpan::secs(61));
    let while_busy = board.endpoints.len();
    board.endpoints.get_mut(key).expect("kept").in_flight = 0;
    board.take_list(Vec::new(), NOW + TimeSpan::secs(62));

    assert_eq!((while_busy, board.endpoints.len()), (1, 0));
}

#[test]
fn a_leaving_endpoint_stays_so_when_a_lagging_list_shows_it_live() {
    // The endpoint says in its answer that it is leaving; the list read after that is older.
    let mut board = board_with(&["a", "b"]);
    board.mark_leaving(&InstanceId::from("a"), Some(NOW + TimeSpan::secs(5)));

    board.take_list(vec![record("a"), record("b")], NOW + TimeSpan::secs(1));

    assert_eq!(usable(&board, NOW + TimeSpan::secs(1)), 1);
}

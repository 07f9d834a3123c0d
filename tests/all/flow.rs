//! The states of a request: which results and retries are allowed after each failure.

use oleandertack::flow::{
    Admitted, ChunkVerdict, EndState, NextStep, Received, RequestFlow, RequestSpec, RetryPlan,
};
use oleandertack::kind::{ClockTime, InstanceId, RequestId, ResultCode};

const NOW: ClockTime = ClockTime(1000);
const LATE: ClockTime = ClockTime(100_000);

fn spec(idempotent: bool) -> RequestSpec {
    RequestSpec {
        id: RequestId::from("r1"),
        idempotent,
        resumable: idempotent,
        deadline: ClockTime(50_000),
        max_attempts: 3,
    }
}

fn admitted(idempotent: bool) -> RequestFlow<Admitted> {
    RequestFlow::<Received>::new(spec(idempotent)).admit(NOW).expect("before its deadline")
}

fn endpoint() -> InstanceId {
    InstanceId::from("i-1")
}

#[test]
fn a_request_past_its_deadline_is_refused_as_not_run() {
    let flow = RequestFlow::<Received>::new(spec(true));

    let refused = flow.admit(LATE).expect_err("past its deadline");

    assert_eq!(refused, ResultCode::DeadlineNotRun);
    assert!(refused.guarantees_not_run());
}

#[test]
fn an_unsafe_request_is_not_retried_if_its_connection_broke_after_the_write_began() {
    // The connection breaks after the write began and before an answer arrived. The endpoint may have run
    // the request, so a retry could run it twice (issue a second batch code).
    let running = admitted(false).place(endpoint()).begin_write();

    let step = running.connection_lost(NOW, true);

    assert!(matches!(step, NextStep::Ended(EndState::Uncertain(ResultCode::Uncertain))));
}

#[test]
fn a_request_that_moves_drops_what_its_former_endpoint_showed_again() {
    // The next endpoint was asked from token 1 on, and the former one went on to token 3 meanwhile.
    let mut running = admitted(true).place(endpoint()).begin_write();
    running.take_chunk(0, 3);

    running.move_to(InstanceId::from("i-2"));

    assert_eq!(running.take_chunk(1, 1), ChunkVerdict::Drop);
    assert_eq!(running.take_chunk(2, 2), ChunkVerdict::Deliver { skip: 1 });
    assert_eq!((running.endpoint(), running.attempt()), (Some(&InstanceId::from("i-2")), 2));
    assert!(running.finish(4));
}

#[test]
fn an_unsafe_request_that_the_endpoint_refused_unrun_is_sent_to_another() {
    // The first endpoint answers that it did not run the request. The bytes sent to it must not prevent a
    // retry at another endpoint.
    let running = admitted(false).place(endpoint()).begin_write();

    let step = running.refused_by_endpoint(NOW);

    assert!(matches!(step, NextStep::Again { .. }));
}

#[test]
fn a_refusal_after_an_uncertain_attempt_does_not_say_not_run() {
    // The first endpoint disconnects and may have run the request; the second refuses it. "Not run" would be
    // true of the second attempt only, so the result must be uncertain.
    let running = admitted(true).place(endpoint()).begin_write();
    let NextStep::Again { flow, .. } = running.connection_lost(NOW, false) else {
        panic!("an idempotent request is retried")
    };
    let running = flow.place(endpoint()).begin_write();
    let NextStep::Again { flow, .. } = running.refused_by_endpoint(NOW) else {
        panic!("a refused request is retried")
    };

    let end_state = flow.give_up(ResultCode::NoEndpoint);

    assert_eq!(end_state, EndState::Uncertain(ResultCode::Uncertain));
}

#[test]
fn a_failed_connection_counts_as_not_run() {
    let placed = admitted(false).place(endpoint());

    let step = placed.connect_failed(NOW);

    let NextStep::Again { flow, .. } = step else {
        panic!("no byte was sent, so the request is retried")
    };
    let end_state = flow.give_up(ResultCode::NoEndpoint);
    assert_eq!(end_state, EndState::Refused(ResultCode::NoEndpoint));
}

#[test]
fn a_broken_stream_is_first_resumed_at_the_same_endpoint() {
    // The connection to a running engine breaks after three tokens. The stream is resumed there from the
    // fourth token. Only if that fails too does the request run at another endpoint.
    let mut running = admitted(true).place(endpoint()).begin_write();
    running.take_chunk(0, 3);

    let NextStep::Again { flow, plan } = running.connection_lost(NOW, true) else {
        panic!("resumable")
    };
    assert_eq!(plan, RetryPlan::ResumeSame);
    let running = flow.place(endpoint()).begin_write();
    let NextStep::Again { flow, plan } = running.connection_lost(NOW, true) else {
        panic!("rerun")
    };

    assert_eq!(plan, RetryPlan::RerunElsewhere);
    assert_eq!(flow.delivered(), 3);
}

#[test]
fn late_overlapping_and_missing_chunks_do_not_reach_the_caller() {
    // The caller must get each token once and in order, although the engine repeats a delivered token after
    // a rerun and a chunk is lost afterwards.
    let mut running = admitted(true).place(endpoint()).begin_write();

    assert_eq!(running.take_chunk(0, 2), ChunkVerdict::Deliver { skip: 0 });
    assert_eq!(running.take_chunk(1, 2), ChunkVerdict::Deliver { skip: 1 });
    assert_eq!(running.take_chunk(0, 3), ChunkVerdict::Drop);
    assert_eq!(running.take_chunk(4, 1), ChunkVerdict::Gap { from: 3 });
}

#[test]
fn an_answer_with_missing_tokens_is_not_complete() {
    let mut running = admitted(true).place(endpoint()).begin_write();
    running.take_chunk(0, 2);

    assert!(!running.finish(3));
    assert!(running.finish(2));
}

#[test]
fn a_stream_that_makes_progress_is_retried_without_limit() {
    // A bad link breaks the stream after each token, and it is resumed each time. Guards against a fixed
    // number of attempts, which gave up accepted streams.
    let mut flow = admitted(true);
    for token in 0..50 {
        let mut running = flow.place(endpoint()).begin_write();
        running.take_chunk(token, 1);
        let NextStep::Again { flow: next, plan } = running.connection_lost(NOW, true) else {
            panic!("given up after {token} tokens")
        };
        assert_eq!(plan, RetryPlan::ResumeSame);
        flow = next;
    }

    assert_eq!(flow.delivered(), 50);
}

#[test]
fn attempts_without_progress_are_limited() {
    let mut flow = admitted(true);
    for _ in 0..2 {
        let NextStep::Again { flow: next, .. } = flow.place(endpoint()).connect_failed(NOW) else {
            panic!("three attempts are allowed")
        };
        flow = next;
    }

    let step = flow.place(endpoint()).connect_failed(NOW);

    assert!(matches!(step, NextStep::Ended(EndState::Refused(ResultCode::NoEndpoint))));
}

/// Tries every sequence of events up to `depth` and checks each end state against the facts.
fn walk(flow: RequestFlow<Admitted>, ran: bool, depth: u32, end_states: &mut u32) {
    if depth == 0 {
        check_end_state(flow.give_up(ResultCode::NoEndpoint), ran, end_states);
        return;
    }
    for event in 0..5 {
        let again = rebuild(&flow);
        let placed = again.place(endpoint());
        let (step, ran_now) = match event {
            0 => (placed.connect_failed(NOW), false),
            1 => (placed.begin_write().refused_by_endpoint(NOW), false),
            2 => (placed.begin_write().connection_lost(NOW, true), true),
            3 => (placed.begin_write().connection_lost(LATE, false), true),
            _ => (NextStep::Ended(placed.begin_write().stop(ResultCode::DeadlinePassed)), true),
        };
        let ran = ran || ran_now;
        match step {
            NextStep::Ended(end_state) => check_end_state(end_state, ran, end_states),
            NextStep::Again { flow: next, .. } => {
                assert!(
                    !ran || next.spec().idempotent,
                    "retried an unsafe request that may have run"
                );
                walk(next, ran, depth - 1, end_states);
            }
        }
    }
}

/// A flow with the same facts. Flows cannot be cloned, so that none is used twice; this builds an equal one
/// from the facts.
fn rebuild(flow: &RequestFlow<Admitted>) -> RequestFlow<Admitted> {
    let fresh = RequestFlow::<Received>::new(flow.spec().clone());
    if flow.facts().may_have_run {
        return fresh.adopt(endpoint(), 0);
    }
    fresh.admit(NOW).expect("before its deadline")
}

fn check_end_state(end_state: EndState, ran: bool, end_states: &mut u32) {
    *end_states += 1;
    if let EndState::Refused(code) = end_state {
        assert!(code.guarantees_not_run());
        assert!(!ran, "{code} was reported for a request that may have run");
    }
    if let EndState::Uncertain(code) = end_state {
        assert!(
            !code.guarantees_not_run(),
            "{code} says not run although the request may have run"
        );
    }
}

#[test]
fn not_run_is_true_and_no_unsafe_request_is_retried_in_every_sequence_of_events() {
    for idempotent in [true, false] {
        let mut end_states = 0;

        walk(admitted(idempotent), false, 5, &mut end_states);

        assert!(end_states > 100, "the walk reached only {end_states} end states");
    }
}

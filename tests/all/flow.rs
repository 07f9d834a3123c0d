//! The life of a request: what may be said and done after each failure.

use oleandertack::flow::{
    Admitted, CutPlan, EndState, FlowSpec, NextStep, PieceVerdict, Received, RequestFlow,
};
use oleandertack::kind::{ClockTime, InstanceId, RequestId, ResultCode};

const NOW: ClockTime = ClockTime(1000);
const LATE: ClockTime = ClockTime(100_000);

fn spec(idempotent: bool) -> FlowSpec {
    FlowSpec {
        id: RequestId::from("r1"),
        idempotent,
        resumable: idempotent,
        deadline: ClockTime(50_000),
        most_attempts: 3,
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
fn a_batch_code_whose_connection_broke_after_the_write_began_is_not_sent_again() {
    // The caller sees "uncertain". The entry begins to write, the connection breaks, no answer
    // comes. The endpoint may have issued the code: another attempt could issue a second one.
    let running = admitted(false).place(endpoint()).write_begins();

    let step = running.cut(NOW, true);

    assert!(matches!(step, NextStep::Ended(EndState::Doubtful(ResultCode::Uncertain))));
}

#[test]
fn a_batch_code_that_the_endpoint_refused_before_running_is_sent_to_another() {
    // The caller sees its code. The first endpoint says itself that it did not run the call, so
    // the bytes that left are no doubt any more.
    let running = admitted(false).place(endpoint()).write_begins();

    let step = running.refused_by_endpoint(NOW);

    assert!(matches!(step, NextStep::Again { .. }));
}

#[test]
fn a_refusal_after_a_doubt_does_not_say_not_run() {
    // The caller sees "uncertain". The first endpoint breaks off and may have run the request, the
    // second refuses it. "Not run" would be about the second only, and false of the first.
    let running = admitted(true).place(endpoint()).write_begins();
    let NextStep::Again { flow, .. } = running.cut(NOW, false) else { panic!("may run twice") };
    let running = flow.place(endpoint()).write_begins();
    let NextStep::Again { flow, .. } = running.refused_by_endpoint(NOW) else { panic!("again") };

    let ending = flow.give_up(ResultCode::NoEndpoint);

    assert_eq!(ending, EndState::Doubtful(ResultCode::Uncertain));
}

#[test]
fn a_failed_connection_leaves_no_doubt() {
    let placed = admitted(false).place(endpoint());

    let step = placed.connect_failed(NOW);

    let NextStep::Again { flow, .. } = step else { panic!("nothing left, so it may try again") };
    let ending = flow.give_up(ResultCode::NoEndpoint);
    assert_eq!(ending, EndState::Refused(ResultCode::NoEndpoint));
}

#[test]
fn a_cut_stream_is_first_asked_for_where_it_stood() {
    // The caller sees one stream. The connection to a living engine breaks after three tokens; the
    // stream is asked for from the fourth. Only when that fails too is it run elsewhere.
    let mut running = admitted(true).place(endpoint()).write_begins();
    running.piece(0, 3);

    let NextStep::Again { flow, plan } = running.cut(NOW, true) else { panic!("resumable") };
    assert_eq!(plan, CutPlan::ResumeSame);
    let running = flow.place(endpoint()).write_begins();
    let NextStep::Again { flow, plan } = running.cut(NOW, true) else { panic!("rerun") };

    assert_eq!(plan, CutPlan::RerunElsewhere);
    assert_eq!(flow.shown(), 3);
}

#[test]
fn late_frames_overlaps_and_gaps_do_not_reach_the_caller() {
    // The caller sees each token once and in order. After a rerun the engine repeats a token that
    // was shown, then a frame gets lost on the way.
    let mut running = admitted(true).place(endpoint()).write_begins();

    assert_eq!(running.piece(0, 2), PieceVerdict::Show { skip: 0 });
    assert_eq!(running.piece(1, 2), PieceVerdict::Show { skip: 1 });
    assert_eq!(running.piece(0, 3), PieceVerdict::Drop);
    assert_eq!(running.piece(4, 1), PieceVerdict::Gap { from: 3 });
}

#[test]
fn an_answer_that_lacks_tokens_is_not_whole() {
    let mut running = admitted(true).place(endpoint()).write_begins();
    running.piece(0, 2);

    assert!(!running.finish(3));
    assert!(running.finish(2));
}

#[test]
fn a_stream_that_gets_on_is_not_given_up_however_often_it_is_cut() {
    // The caller sees one whole answer. A bad link cuts the stream after each token; it is asked
    // for again each time. A fixed number of attempts once gave up accepted streams.
    let mut flow = admitted(true);
    for token in 0..50 {
        let mut running = flow.place(endpoint()).write_begins();
        running.piece(token, 1);
        let NextStep::Again { flow: next, plan } = running.cut(NOW, true) else {
            panic!("given up after {token} tokens")
        };
        assert_eq!(plan, CutPlan::ResumeSame);
        flow = next;
    }

    assert_eq!(flow.shown(), 50);
}

#[test]
fn attempts_that_bring_nothing_are_counted() {
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

/// Walks every sequence of events up to `depth` and checks each ending against the facts.
fn walk(flow: RequestFlow<Admitted>, ran: bool, depth: u32, endings: &mut u32) {
    if depth == 0 {
        judge(flow.give_up(ResultCode::NoEndpoint), ran, endings);
        return;
    }
    for event in 0..5 {
        let again = rebuild(&flow);
        let placed = again.place(endpoint());
        let (step, ran_now) = match event {
            0 => (placed.connect_failed(NOW), false),
            1 => (placed.write_begins().refused_by_endpoint(NOW), false),
            2 => (placed.write_begins().cut(NOW, true), true),
            3 => (placed.write_begins().cut(LATE, false), true),
            _ => (NextStep::Ended(placed.write_begins().stop(ResultCode::DeadlinePassed)), true),
        };
        let ran = ran || ran_now;
        match step {
            NextStep::Ended(ending) => judge(ending, ran, endings),
            NextStep::Again { flow: next, .. } => {
                assert!(!ran || next.spec().idempotent, "sent again past a doubt");
                walk(next, ran, depth - 1, endings);
            }
        }
    }
}

/// A flow with the same facts. Flows cannot be cloned, so that none is used twice; the walk makes
/// an equal one from the facts.
fn rebuild(flow: &RequestFlow<Admitted>) -> RequestFlow<Admitted> {
    let fresh = RequestFlow::<Received>::new(flow.spec().clone());
    if flow.facts().may_have_run {
        return fresh.adopt(endpoint(), 0);
    }
    fresh.admit(NOW).expect("before its deadline")
}

fn judge(ending: EndState, ran: bool, endings: &mut u32) {
    *endings += 1;
    if let EndState::Refused(code) = ending {
        assert!(code.guarantees_not_run());
        assert!(!ran, "{code} was said of a request that may have run");
    }
    if let EndState::Doubtful(code) = ending {
        assert!(!code.guarantees_not_run(), "{code} is no doubt");
    }
}

#[test]
fn not_run_is_true_and_nothing_is_repeated_past_a_doubt_in_every_sequence_of_events() {
    for idempotent in [true, false] {
        let mut endings = 0;

        walk(admitted(idempotent), false, 5, &mut endings);

        assert!(endings > 100, "the walk reached only {endings} endings");
    }
}

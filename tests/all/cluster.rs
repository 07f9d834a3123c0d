//! Whole requests through a small cluster, with a fault at one step. The full matrix is
//! `oleander-bench matrix`; here stand the cells that once broke, and one of each kind.

use oleandertack::edge::EntryStep;
use oleandertack::load::{CallEnd, CallKind};
use oleandertack::rig::{CellOutcome, RigFault, run_cell};

const SEED: u64 = 1;

fn cell(step: EntryStep, faults: &[RigFault]) -> CellOutcome {
    let outcome = actix_rt::System::new().block_on(run_cell(step, faults, SEED));
    let outcome = outcome.expect("the rig comes up and every call ends");
    assert!(outcome.reached, "{step:?} was not passed");
    outcome
}

fn end_of(outcome: &CellOutcome, kind: CallKind) -> CallEnd {
    let call = outcome.calls.iter().find(|call| call.kind == kind).expect("one of each kind");
    call.end.clone()
}

#[test]
fn a_batch_code_that_ran_and_lost_its_answer_is_not_sent_again() {
    // The caller sees "uncertain". The endpoint runs the call and closes the connection before it
    // answers. The HTTP library calls that a failed connect, which once counted as "never sent":
    // the call ran three times and its caller was told "not run".
    let outcome = cell(EntryStep::ClaimGranted, &[RigFault::CutAfterRun]);

    assert_eq!(outcome.broken, []);
    let uncertain = CallEnd::Refused { code: 2001, not_run: false };
    assert_eq!(end_of(&outcome, CallKind::Code), uncertain);
}

#[test]
fn a_caller_that_comes_back_after_its_entry_died_sees_no_token_twice() {
    // The caller sees one whole answer. Its entry dies in mid-stream; it asks another entry for the
    // tokens after the last one it has. That entry begins with an empty answer and fetches all of
    // it from the engine; the tokens that the caller has must not be shown again.
    let outcome = cell(EntryStep::MidStream, &[RigFault::KillEntry]);

    assert_eq!(outcome.broken, []);
    assert_eq!(end_of(&outcome, CallKind::Rewrite), CallEnd::Answered);
}

#[test]
fn a_stream_whose_entry_is_stopped_goes_on_at_another() {
    // The caller sees one whole answer. Its entry gets a planned stop in mid-stream, hands the
    // stream over when the drain time is up, and sends the caller away with a cursor.
    let outcome = cell(EntryStep::MidStream, &[RigFault::StopEntry]);

    assert_eq!(outcome.broken, []);
    assert!(outcome.calls.iter().all(|call| call.end == CallEnd::Answered));
}

#[test]
fn with_the_store_down_only_calls_that_must_not_repeat_are_refused() {
    // Line leads see their answers; batch codes are refused as "not run" at once, because their
    // claims cannot be written.
    let outcome = cell(EntryStep::ClaimAsked, &[RigFault::StoreDown]);

    assert_eq!(outcome.broken, []);
    let refused = CallEnd::Refused { code: 1009, not_run: true };
    assert_eq!(end_of(&outcome, CallKind::Code), refused);
    assert_eq!(end_of(&outcome, CallKind::Rewrite), CallEnd::Answered);
}

#[test]
fn a_claim_whose_answer_was_lost_is_settled_by_reading_back() {
    // The caller sees its batch code. The store writes the claim and loses the answer, three times;
    // the keeper reads the head and finds its own nonce.
    let outcome = cell(EntryStep::ClaimAsked, &[RigFault::LoseAnswers]);

    assert_eq!(outcome.broken, []);
    assert_eq!(end_of(&outcome, CallKind::Code), CallEnd::Answered);
}

#[test]
fn streams_survive_two_domains_reclaimed_one_after_the_other() {
    // The caller sees one whole answer. Its engine and then the engine it moved to get notice; the
    // stream is moved with its KV before each end.
    let outcome = cell(EntryStep::FirstByteBack, &[RigFault::ReclaimTwo]);

    assert_eq!(outcome.broken, []);
    assert_eq!(end_of(&outcome, CallKind::Rewrite), CallEnd::Answered);
}

#[test]
fn a_domain_that_ends_without_notice_costs_no_answer() {
    let outcome = cell(EntryStep::MidStream, &[RigFault::EndDomain, RigFault::ListStale]);

    assert_eq!(outcome.broken, []);
    assert_eq!(end_of(&outcome, CallKind::Rewrite), CallEnd::Answered);
}

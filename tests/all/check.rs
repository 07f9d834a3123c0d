//! The history checker finds a history that breaks each rule, and passes one that breaks none.

use oleandertack::load::{BrokenRule, CallEnd, CallKind, CallRecord, CheckInput, check_history};

fn call(kind: CallKind, end: CallEnd) -> CallRecord {
    CallRecord {
        id: "k1".into(),
        kind,
        started: 0,
        ended: 10,
        first: None,
        accepted: false,
        returns: 0,
        shown: String::new(),
        right: vec!["kalo mire ".to_owned()],
        end,
    }
}

fn answered(kind: CallKind) -> CallRecord {
    CallRecord { shown: "kalo mire ".to_owned(), ..call(kind, CallEnd::Answered) }
}

fn not_run() -> CallEnd {
    CallEnd::Refused { code: 1009, not_run: true }
}

fn check(call: CallRecord, runs: &[&str]) -> Vec<BrokenRule> {
    let runs: Vec<String> = runs.iter().map(|key| (*key).to_owned()).collect();
    check_history(&CheckInput { calls: &[call], runs: &runs })
}

#[test]
fn whole_answers_that_ran_once_break_nothing() {
    assert_eq!(check(answered(CallKind::Code), &["k1"]), []);
    assert_eq!(check(answered(CallKind::Rewrite), &[]), []);
    assert_eq!(check(call(CallKind::Code, not_run()), &[]), []);
}

#[test]
fn an_accepted_stream_without_an_answer_is_found() {
    let lost = CallRecord { accepted: true, ..call(CallKind::Rewrite, CallEnd::Lost) };

    assert!(matches!(check(lost, &[])[..], [BrokenRule::AcceptedAndLost { .. }]));
}

#[test]
fn cut_crossed_and_doubled_answers_are_found() {
    for shown in ["kalo ", "sone pavi ", "kalo kalo mire "] {
        let wrong = CallRecord { shown: shown.to_owned(), ..answered(CallKind::Rewrite) };

        assert!(matches!(check(wrong, &[])[..], [BrokenRule::WrongAnswer { .. }]), "{shown}");
    }
}

#[test]
fn shown_text_that_is_no_prefix_is_found() {
    let wrong = CallRecord { shown: "mire ".to_owned(), ..call(CallKind::Rewrite, CallEnd::Lost) };

    assert!(matches!(check(wrong, &[])[..], [BrokenRule::NotAPrefix { .. }]));
}

#[test]
fn a_false_not_run_is_found() {
    let broken = check(call(CallKind::Code, not_run()), &["k1"]);

    assert!(matches!(broken[..], [BrokenRule::FalseNotRun { .. }]));
}

#[test]
fn a_code_that_ran_twice_is_found_and_a_label_may() {
    let code = check(answered(CallKind::Code), &["k1", "k1"]);
    let label = check(answered(CallKind::Label), &["k1", "k1"]);

    assert!(matches!(code[..], [BrokenRule::RanTwice { times: 2, .. }]));
    assert_eq!(label, []);
}

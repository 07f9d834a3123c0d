//! Tracing a request by its id through log lines, and the rate limits of log events.

use oleandertack::ctl::trace::{join_lines, lines_of};
use oleandertack::front::events::{EventBudget, EventKind};
use oleandertack::kind::{ClockTime, TimeSpan};

const FIRST: &str = r#"
  4.7390 front-2 {"msg":"attempt_fault","level":"INFO","ts":"2026-08-24T02:47:22.738Z","instance":"front-2","process":"oleander-front","fault":"nothing for 1s","endpoint":"i-b2","request":"d1dc"}
not json that names d1dc
{"msg":"request_refused","level":"INFO","ts":"2026-08-24T02:47:22.739Z","instance":"front-2","process":"oleander-front","status":504,"endpoint":null,"request":"d1dc"}
{"msg":"request_done","level":"INFO","ts":"2026-08-24T02:47:22.740Z","instance":"front-2","process":"oleander-front","request":"other","via":"d1dc"}
"#;
const SECOND: &str = r#"{"msg":"request_refused","level":"INFO","ts":"2026-08-24T02:47:21.000Z","instance":"front-1","process":"oleander-front","code":1016,"request":"d1dc"}"#;

#[test]
fn log_lines_of_several_processes_are_joined_by_request_id() {
    let lines = join_lines("d1dc", &[FIRST.to_owned(), SECOND.to_owned()]);

    let events: Vec<_> = lines.iter().map(|l| (l.instance.as_str(), l.event.as_str())).collect();
    assert_eq!(
        events,
        [
            ("front-1", "request_refused"),
            ("front-2", "attempt_fault"),
            ("front-2", "request_refused")
        ]
    );
    assert!(lines[1].fields.contains(&("fault".to_owned(), "nothing for 1s".to_owned())));
    assert!(lines[2].fields.iter().all(|(name, _)| name != "endpoint"));
}

#[test]
fn a_request_id_in_no_line_has_no_lines() {
    assert!(lines_of("ffff", FIRST).is_empty());
}

#[test]
fn an_overload_does_not_flood_the_log_and_dropped_lines_are_counted() {
    let budget = EventBudget::default();
    let start = ClockTime(5000);
    let kind = EventKind::RequestDone;

    let written = (0..1000).filter(|_| budget.take(kind, start).0).count();
    let other = budget.take(EventKind::LeaseChanged, start).0;
    let (next, left_out) = budget.take(kind, start + TimeSpan(1000));

    assert_eq!(written, kind.budget() as usize);
    assert!(other && next);
    assert_eq!(left_out, Some(1000 - kind.budget()));
}

#[test]
fn failures_have_more_lines_than_successes() {
    assert!(EventKind::RequestRefused.budget() > EventKind::RequestDone.budget());
    assert!(EventKind::AttemptEnded.budget() > EventKind::RequestDone.budget());
}

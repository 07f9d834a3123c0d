//! Tests of routes, keys, attempts and events, without a network.

use arbtest::arbtest;
use oleandertack::call::{
    AccountRule, AnswerHead, AnswerShape, AttemptEnd, AttemptRecord, CallHead, CallerBounds,
    CurrentRules, EventSplitter, NextStep, RepeatRule, RouteRule, RuleSet, RuleView, StreamTail,
    TailVerdict, admit_call,
};
use oleandertack::kind::{ResultCode, TimeSpan};

const HOST: &str = "kitchen.example";

fn route(name: &str, prefix: &str) -> RouteRule {
    RouteRule {
        name: name.into(),
        host: HOST.into(),
        prefix: prefix.into(),
        shape: AnswerShape::Whole,
        repeat: RepeatRule::Once,
        timeout: TimeSpan(1000),
        objective: TimeSpan(100),
        pause: None,
        rank: 1,
        services: vec![("plain".into(), 1)],
        max_attempts: 2,
        public: false,
    }
}

fn account(name: &str, key: &str) -> AccountRule {
    AccountRule {
        name: name.into(),
        keys: vec![key.into()],
        rank: None,
        tokens_per_s: None,
        burst_tokens: 0,
        plain_tokens: 200,
    }
}

fn rules(version: u64) -> RuleSet {
    RuleSet::new(version, CallerBounds::default())
        .with_route(route("outer", "/a/"))
        .with_route(route("inner", "/a/b/"))
        .with_account(account("tartu", "key-1"))
}

fn call(path: &str, key: &str) -> CallHead {
    CallHead { host: HOST.into(), path: path.into(), key: key.into(), ..CallHead::default() }
}

fn admit(rules: Option<&RuleSet>, fresh: bool, head: &CallHead) -> Result<(), ResultCode> {
    admit_call(RuleView { rules, fresh, superseded: false }, head).map(|_| ())
}

#[test]
fn the_longest_prefix_of_the_host_wins() {
    let rules = rules(1);

    let name = |path| rules.route_of(HOST, path).map(|key| rules.route(key).name.to_string());

    assert_eq!(name("/a/x"), Some("outer".to_owned()));
    assert_eq!(name("/a/b/x"), Some("inner".to_owned()));
    assert_eq!(name("/ab/x"), None);
    assert_eq!(rules.route_of("other.example", "/a/x"), None);
}

/// Guards against requests that go by another route than the longest prefix, or the first of two alike, as the
/// table of prefixes and a search through all routes say it.
#[test]
fn the_table_of_prefixes_finds_what_a_search_finds() {
    arbtest::arbtest(|input| {
        let text =
            |input: &mut arbtest::arbitrary::Unstructured| -> arbtest::arbitrary::Result<String> {
                let length = input.int_in_range(0..=6)?;
                let mut text = "/".to_owned();
                for _ in 0..length {
                    text.push(*input.choose(&['a', 'b', '/', 'ü'])?);
                }
                Ok(text)
            };
        let count = input.int_in_range(0..=12)?;
        let mut rules = RuleSet::new(1, CallerBounds::default());
        for at in 0..count {
            rules = rules.with_route(route(&at.to_string(), &text(input)?));
        }
        let path = text(input)?;

        let found = rules.route_of(HOST, &path).map(|key| rules.route(key).name.clone());

        let matches = rules.routes().iter().filter(|route| path.starts_with(route.prefix.as_str()));
        // Of several greatest elements the last counts, so the first routes come last.
        let longest = matches.rev().max_by_key(|route| route.prefix.len());
        assert_eq!(found, longest.map(|route| route.name.clone()), "{path}");
        Ok(())
    });
}

#[test]
fn a_process_without_rules_does_not_report_an_unknown_route() {
    // A process that has just started must answer "come back". "No such route" would be final:
    // clients do not retry after it.
    assert_eq!(admit(None, false, &call("/a/x", "key-1")), Err(ResultCode::NoBundle));
}

#[test]
fn a_process_with_stale_rules_refuses_nothing_for_good() {
    // A route or key was just added, and the process does not receive changes from the store. Its
    // answer must be "come back", so that the caller is served elsewhere.
    let rules = rules(1);

    let unknown_route = admit(Some(&rules), false, &call("/new/x", "key-1"));
    let unknown_key = admit(Some(&rules), false, &call("/a/x", "key-2"));

    assert_eq!(unknown_route, Err(ResultCode::StaleBundle));
    assert_eq!(unknown_key, Err(ResultCode::StaleBundle));
    assert_eq!(admit(Some(&rules), true, &call("/new/x", "key-1")), Err(ResultCode::UnknownRoute));
    assert_eq!(admit(Some(&rules), true, &call("/a/x", "key-2")), Err(ResultCode::BadCallerKey));
}

#[test]
fn rules_are_never_replaced_by_older_ones() {
    // An old version arrives late, by another way than the newer one. It must not readmit a caller
    // whose key was revoked.
    let mut gate = CurrentRules::default();

    assert!(gate.offer(rules(7)));
    assert!(!gate.offer(rules(7)));
    assert!(!gate.offer(rules(3)));

    assert_eq!(gate.version(), 7);
}

#[test]
fn routes_split_their_requests_by_weight() {
    let split =
        RouteRule { services: vec![("old".into(), 90), ("new".into(), 10)], ..route("r", "/r/") };

    let old = (0..100).filter(|n| split.service_for(*n).is_some_and(|s| s.as_str() == "old"));

    assert_eq!(old.count(), 90);
}

const ENDS: [AttemptEnd; 6] = [
    AttemptEnd::NotSent,
    AttemptEnd::RefusedNotRun,
    AttemptEnd::Failed,
    AttemptEnd::Broken,
    AttemptEnd::Unstated,
    AttemptEnd::TimedOut,
];

#[test]
fn not_run_is_always_true_and_nothing_runs_twice() {
    // A supplier receives an order twice if a request that may have run is resent, or if a client
    // resends it because it was wrongly told "not run". All sequences of attempt results are tried.
    arbtest(|u| {
        let repeat = *u.choose(&[RepeatRule::Once, RepeatRule::Resume, RepeatRule::Idempotent])?;
        let mut record = AttemptRecord::new(repeat, u.int_in_range(1..=3)?);
        let mut may_have_run = 0;
        for _ in 0..6 {
            if !record.may_send() {
                break;
            }
            assert!(repeat != RepeatRule::Once || may_have_run == 0, "sent again");
            let end = *u.choose(&ENDS)?;
            record.note(end);
            may_have_run += u32::from(end.may_have_run());
            if let NextStep::GiveUp(code) = record.next_step(end, false) {
                assert!(!code.guarantees_not_run() || may_have_run == 0, "{code} after {end:?}");
            }
        }
        assert!(record.sent() <= 3);
        Ok(())
    });
}

#[test]
fn an_endpoint_failure_is_passed_on_when_no_retry_is_allowed() {
    let mut record = AttemptRecord::new(RepeatRule::Once, 2);

    record.note(AttemptEnd::Failed);

    assert_eq!(record.next_step(AttemptEnd::Failed, true), NextStep::Forward);
}

#[test]
fn unsealed_answers_are_not_sound() {
    // A corrupted endpoint sends bytes that parse as a success. The caller must not receive it.
    let whole =
        AnswerHead { status: 200, id: Some("r1".into()), sealed: true, ..AnswerHead::default() };

    assert!(whole.is_sound("r1"));
    assert!(!AnswerHead { sealed: false, ..whole.clone() }.is_sound("r1"));
    assert!(!AnswerHead { id: None, ..whole.clone() }.is_sound("r1"));
    assert!(!AnswerHead { encoded: true, ..whole.clone() }.is_sound("r1"));
    assert!(!whole.belongs_to("r2"));
}

#[test]
fn events_do_not_depend_on_chunk_boundaries() {
    let text = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c";
    arbtest(|u| {
        let mut splitter = EventSplitter::default();
        let mut ids = Vec::new();
        let mut rest = &text[..];
        while !rest.is_empty() {
            let (head, tail) = rest.split_at(u.int_in_range(1..=rest.len())?);
            splitter.push(head);
            while let Some(event) = splitter.next_event().expect("short events") {
                ids.push(event.id);
            }
            rest = tail;
        }

        assert_eq!(ids, [Some(1), Some(2)]);
        assert_eq!(&splitter.take_rest().into_bytes()[..], b"id: 3\ndata: c");
        Ok(())
    });
}

/// A part of an event is passed on, an event is lost or doubled, or a torn stream passes for whole, wherever it
/// breaks and however its lines end.
#[test]
fn a_stream_that_breaks_at_any_byte_yields_whole_events_and_no_stated_end() {
    let events =
        ["id: 1\ndata: a\n\n", ": ping\n\n", "v: 2\nid: 2\ndata: b\n\n", "id: 3\ndata:\n\n"];
    arbtest(|u| {
        let line_end = *u.choose(&["\n", "\r\n", "\r"])?;
        let events = events.map(|event| event.replace('\n', line_end));
        let whole = events.concat();
        let broken_at = u.int_in_range(0..=whole.len())?;
        let mut splitter = EventSplitter::default();
        let mut shown = Vec::new();
        let mut left = &whole.as_bytes()[..broken_at];
        while !left.is_empty() {
            let (part, tail) = left.split_at(u.int_in_range(1..=left.len())?);
            splitter.push(part);
            while let Some(event) = splitter.next_event().expect("short events") {
                shown.push(String::from_utf8_lossy(&event.raw).into_owned());
            }
            left = tail;
        }

        let count = shown.len();
        let is_inside_event = splitter.take_rest().is_inside_event();
        let tail =
            StreamTail { is_stated: false, is_inside_event, has_events: count > 0, goes_on: false };

        assert_eq!(shown, events[..count]);
        let passed: usize = events[..count].iter().map(String::len).sum();
        let begun = &whole[passed..broken_at];
        let has_begun = begun.chars().any(|letter| !matches!(letter, '\r' | '\n'));
        assert!(is_inside_event || !has_begun || begun.starts_with(':'), "{begun:?}");
        assert_ne!(tail.verdict(), TailVerdict::Complete);
        Ok(())
    });
}

#[test]
fn a_stream_is_complete_only_if_nothing_speaks_against_it() {
    let whole =
        StreamTail { is_stated: true, is_inside_event: false, has_events: true, goes_on: false };
    let closed = StreamTail { is_stated: false, ..whole };
    let none = StreamTail { has_events: false, ..closed };
    let cases = [
        (whole, TailVerdict::Complete),
        (StreamTail { has_events: false, ..whole }, TailVerdict::Complete),
        (StreamTail { is_inside_event: true, ..whole }, TailVerdict::BrokenOff),
        (closed, TailVerdict::Unproven),
        (StreamTail { is_inside_event: true, ..closed }, TailVerdict::BrokenOff),
        (none, TailVerdict::BrokenOff),
        (StreamTail { goes_on: true, ..none }, TailVerdict::Unproven),
    ];
    for (tail, verdict) in cases {
        assert_eq!(tail.verdict(), verdict, "{tail:?}");
    }
}

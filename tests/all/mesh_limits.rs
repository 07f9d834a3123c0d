//! Tests of claims in reports at the collector, and of the size of limit messages.

use crate::mesh::{NOW, TRUE_NOW, report, rig};
use oleandertack::kind::TimeSpan;
use oleandertack::limit::{AllotmentClaim, LastLedger, PoolAllotment, ReportedWindow};
use oleandertack::mesh::{AccountClaim, LimitRequest, MeshBody, NodeReport};
use oleandertack::wire::encode_frame;

/// The claim of a process on its one account, after `spent` tokens and without an allotment.
fn claims(number: u64, spent: u64, source: u64) -> Option<Vec<AccountClaim>> {
    let claim =
        AllotmentClaim { number, spent, ceiling: spent, source, ..AllotmentClaim::default() };
    Some(vec![AccountClaim { account: "tartu".into(), claim }])
}

/// The collector dies while an account is near its limit, and its successor has admitted nothing
/// for that account. It can continue the account's window only if it was told of it.
#[test]
fn a_process_is_sent_accounts_that_only_others_admitted() {
    let mut rig = rig();
    rig.limit_account();
    let settled = NOW + TimeSpan(600);
    let first = rig.take(NodeReport { claims: claims(1, 0, 0), ..report("front-1") }, settled);
    let source = first.allotments[0].allotment.source;

    rig.take(NodeReport { claims: claims(2, 5000, source), ..report("front-1") }, settled);
    let digest = rig.take(report("front-2"), settled + TimeSpan(10));

    let told = digest.allotments.first().map(|told| told.allotment.window.seconds[0]);
    assert_eq!(told, Some(5000));
}

/// Guards against refusing accounts for 4 s below their limits. The collector was paused for 7 s
/// while another one collected; it then found reports in its sockets from before the pause, and
/// counted all requests that their senders had admitted since as spent in the following moment.
#[test]
fn a_report_of_an_earlier_term_does_not_count_as_new_spending() {
    let mut rig = rig();
    rig.limit_account();
    let began = NOW + TimeSpan(600);
    let first =
        rig.take(NodeReport { term: 5, claims: claims(1, 0, 0), ..report("front-1") }, began);
    let source = first.allotments[0].allotment.source;
    let known = claims(2, 1000, source);
    rig.take(NodeReport { term: 5, claims: known, ..report("front-1") }, began);

    let woke = began + TimeSpan(7000);
    rig.oldest_term = 6;
    let late = claims(3, 1200, source);
    rig.take(NodeReport { term: 5, claims: late, ..report("front-1") }, woke);
    let news = NodeReport { term: 6, claims: claims(9, 17_000, source + 1), ..report("front-1") };
    let digest = rig.take(news, woke + TimeSpan(800));

    let told = digest.allotments.first().map(|told| told.allotment.window.seconds.clone());
    let seconds = told.unwrap_or_default();
    assert_eq!(seconds.len(), 9);
    assert!(seconds.iter().all(|second| *second < 2000), "{seconds:?}");
}

/// Limit requests and their answers must not saturate the link of a collector on a small instance,
/// as digests did.
#[test]
fn a_limit_request_and_its_answer_are_small() {
    let claim = AllotmentClaim {
        number: 1_000,
        spent: 30_000_000,
        ceiling: 30_100_000,
        source: u64::MAX,
        needs: 50_000,
        pace: 20_000,
    };
    let bond =
        Some(LastLedger { source: u64::MAX, left: TimeSpan(600), spent_ago: Some(TimeSpan(100)) });
    let claim = AccountClaim { account: "account-01".into(), claim };
    let ask = LimitRequest { id: "front-ylemiste-10".into(), life: TRUE_NOW.0, bond, claim };
    let window = ReportedWindow { seconds: vec![1_300_000; 9], open: 3_000_000 };
    let answer = PoolAllotment {
        number: 1_000,
        ceiling: 30_150_000,
        source: u64::MAX,
        retry_ms: Some(1_000),
        window,
    };

    let asked = encode_frame(1, MeshBody::RequestLimit(ask)).len();
    let answered = encode_frame(1, MeshBody::Allotted(Some(Box::new(answer)))).len();

    assert!(asked + answered <= 400, "{asked} and {answered}");
}

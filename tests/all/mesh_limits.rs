//! What the collector makes of claims in reports, and how large it is on the wire.

use crate::mesh::{NOW, TRUE_NOW, report, rig};
use oleandertack::kind::TimeSpan;
use oleandertack::limit::{AllotmentClaim, LastLedger, PoolAllotment, ReportedWindow};
use oleandertack::mesh::{AccountClaim, LimitAsk, MeshBody, NodeReport};
use oleandertack::wire::encode_frame;

/// What a process says of its one account, after `spent` tokens; it holds nothing.
fn claims(number: u64, spent: u64, source: u64) -> Option<Vec<AccountClaim>> {
    let claim =
        AllotmentClaim { number, spent, ceiling: spent, source, ..AllotmentClaim::default() };
    Some(vec![AccountClaim { account: "tartu".into(), claim }])
}

/// The collector dies while an account presses, and a process follows it that let in nothing of that
/// account. It can begin with the account's window only if it was told of it.
#[test]
fn a_process_is_told_of_accounts_that_only_others_let_in() {
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

/// Accounts are refused for 4 s below their limits. The collector stood still for 7 s while another
/// collected; when it woke it found reports in its sockets from before, and took all that their senders
/// had let in since for spent in the moment after.
#[test]
fn a_report_of_an_earlier_turn_is_not_taken_for_news_of_spending() {
    let mut rig = rig();
    rig.limit_account();
    let began = NOW + TimeSpan(600);
    let first =
        rig.take(NodeReport { turn: 5, claims: claims(1, 0, 0), ..report("front-1") }, began);
    let source = first.allotments[0].allotment.source;
    let known = claims(2, 1000, source);
    rig.take(NodeReport { turn: 5, claims: known, ..report("front-1") }, began);

    let woke = began + TimeSpan(7000);
    rig.oldest_turn = 6;
    let late = claims(3, 1200, source);
    rig.take(NodeReport { turn: 5, claims: late, ..report("front-1") }, woke);
    let news = NodeReport { turn: 6, claims: claims(9, 17_000, source + 1), ..report("front-1") };
    let digest = rig.take(news, woke + TimeSpan(800));

    let told = digest.allotments.first().map(|told| told.allotment.window.seconds.clone());
    let seconds = told.unwrap_or_default();
    assert_eq!(seconds.len(), 9);
    assert!(seconds.iter().all(|second| *second < 2000), "{seconds:?}");
}

/// Asks of processes that are short, and their answers, must not fill the link of a small collector as digests did.
#[test]
fn an_ask_for_room_and_its_answer_are_small() {
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
    let ask = LimitAsk { id: "front-ylemiste-10".into(), life: TRUE_NOW.0, bond, claim };
    let window = ReportedWindow { seconds: vec![1_300_000; 9], open: 3_000_000 };
    let answer = PoolAllotment {
        number: 1_000,
        ceiling: 30_150_000,
        source: u64::MAX,
        retry_ms: Some(1_000),
        window,
    };

    let asked = encode_frame(1, MeshBody::Ask(ask)).len();
    let answered = encode_frame(1, MeshBody::Allotted(Some(Box::new(answer)))).len();

    assert!(asked + answered <= 400, "{asked} and {answered}");
}

//! A store that comes back from an older copy of itself: what its answers say about it.

use crate::front::run;
use crate::scripted::{Act, scripted};
use arbtest::{arbitrary, arbtest};
use bytes::Bytes;
use oleandertack::kind::StoreEra;
use oleandertack::list::DoubtedEndpoint;
use oleandertack::outlet::HttpCodec;
use oleandertack::plat::{FeedCondition, FeedKind, FeedStore, WriteOutcome};
use oleandertack::platform::StoreClient;

/// An answer of the store with these header lines and an empty list.
fn answer(status: &str, lines: &str) -> Vec<Act> {
    let body = r#"{"items":[],"has-more":false,"as-of":4}"#;
    let text = format!(
        "HTTP/1.1 {status}\r\n{lines}Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    vec![Act::Say(text), Act::Close]
}

/// The eras that a client knows after each of these answers.
async fn known_after(answers: Vec<Vec<Act>>) -> Vec<Option<u64>> {
    let count = answers.len();
    let store = scripted(answers).await;
    let client = StoreClient::new(store.address, HttpCodec::default());
    let mut known = Vec::new();
    for _ in 0..count {
        let _ = client.list(FeedKind::Endpoints).await;
        known.push(client.era().map(|StoreEra(era)| era));
    }
    known
}

/// Guards against a process that goes on with revisions of a lost history: the first answer after
/// the store came back is a refusal or an error.
#[test]
fn answers_of_any_status_tell_the_era_of_the_store() {
    for status in ["200 OK", "404 Not Found", "410 Gone", "429 Busy", "503 Unavailable"] {
        let known = run(known_after(vec![answer(status, "Store-Era: 3\r\n")]));

        assert_eq!(known, [Some(3)], "{status}");
    }
}

/// Guards against going back to a lost history by an answer that was under way when the store came
/// back, and against taking an unreadable or missing era for a new one.
#[test]
fn a_lower_a_missing_and_an_unreadable_era_leave_the_known_one() {
    let lines = [
        "",
        "Store-Era: 2\r\n",
        "",
        "Store-Era: 1\r\n",
        "Store-Era: -1\r\n",
        "Store-Era: two\r\n",
        "Store-Era: 99999999999999999999999\r\n",
        "Store-Era: 1\r\nStore-Era: 3\r\n",
    ];

    let known = run(known_after(lines.iter().map(|line| answer("200 OK", line)).collect()));

    let two = Some(2);
    assert_eq!(known, [Some(0), two, two, two, two, two, two, Some(3)]);
}

/// Revisions order what a store says as eras first and its numbers then, and are the numbers themselves
/// on a store without eras, as processes of earlier versions send them.
#[test]
fn revisions_are_ordered_by_era_and_number() {
    arbtest(|u| {
        let mut any = || -> arbitrary::Result<(u64, u64)> {
            Ok((u.int_in_range(0..=1000)?, u.int_in_range(0..=1 << 39)?))
        };
        let (one, other) = (any()?, any()?);
        let revision = |(era, number): (u64, u64)| StoreEra(era).revision(number);

        assert_eq!(revision(one).cmp(&revision(other)), one.cmp(&other));
        assert_eq!((StoreEra::of(revision(one)).0, StoreEra::number(revision(one))), one);
        assert_eq!(StoreEra(0).revision(one.1), one.1);
        Ok(())
    });
}

/// A complete answer of the store in era `era`.
fn told(era: u64, status: &str, body: &str) -> Vec<Act> {
    let head = format!("HTTP/1.1 {status}\r\nStore-Era: {era}\r\nConnection: close\r\n");
    vec![Act::Say(format!("{head}Content-Length: {}\r\n\r\n{body}", body.len())), Act::Close]
}

const OBJECT: &str = r#"{"metadata":{"name":"a","revision":7},"spec":{}}"#;
const PAGE: &str = r#"{"items":[],"has-more":false,"as-of":4}"#;

/// Guards against a process that goes back to a lost history by an answer that was under way.
#[test]
fn an_answer_of_an_earlier_era_is_an_error() {
    run(async {
        let store = scripted(vec![told(2, "200 OK", PAGE), told(1, "200 OK", PAGE)]).await;
        let client = StoreClient::new(store.address, HttpCodec::default());

        let first = client.list(FeedKind::Endpoints).await;
        let second = client.list(FeedKind::Endpoints).await;

        assert_eq!(first.map(|page| page.as_of), Ok(StoreEra(2).revision(4)));
        assert!(second.is_err_and(|fault| fault.may_have_taken_effect()));
    });
}

/// Guards against replacing an object that nobody read: the number of the expected revision was given
/// out again to another one.
#[test]
fn a_write_on_a_revision_of_a_lost_era_is_not_sent_or_not_taken_for_made() {
    run(async {
        let answers =
            vec![told(1, "200 OK", OBJECT), told(2, "200 OK", OBJECT), told(2, "200 OK", OBJECT)];
        let store = scripted(answers).await;
        let client = StoreClient::new(store.address, HttpCodec::default());
        let body = || Bytes::from_static(b"{}");
        let read =
            client.read(FeedKind::Leases, "a").await.expect("it is read").expect("an object");
        let guard = FeedCondition::Is(read.revision);

        let made_meanwhile = client.write(FeedKind::Leases, "a", guard, body()).await;
        let not_sent = client.write(FeedKind::Leases, "a", guard, body()).await;

        assert_eq!(read.revision, StoreEra(1).revision(7));
        assert!(made_meanwhile.is_err_and(|fault| fault.may_have_taken_effect()));
        assert_eq!(not_sent, Ok(WriteOutcome::Refused(None)));
        let seen = store.seen.borrow();
        assert_eq!(seen.requests.len(), 2);
        assert!(String::from_utf8_lossy(&seen.requests[1].body).contains(r#""revision":7"#));
    });
}

/// Guards against lists that processes of the version before cannot read, or whose lists cannot be read.
#[test]
fn a_doubt_is_read_without_the_field_that_earlier_versions_lack() {
    let known = r#"{"n":"i-0","l":1500}"#;

    let doubt: DoubtedEndpoint = serde_json::from_str(known).expect("a doubt");

    assert!(!doubt.is_listed);
    assert_eq!(serde_json::to_string(&doubt).expect("written"), known);
}

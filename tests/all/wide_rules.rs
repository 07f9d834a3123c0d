//! Rules of hundreds of kilobytes, in virtual time: what processes send one another when they change, and what a
//! process does that has not got the newest ones.

use crate::front::{RULES, ask, front_with, object, request};
use crate::mesh::report;
use crate::plays::{ProcessGroup, StoreMode, play};
use crate::scripted::{Act, read_request, scripted};
use bytes::BytesMut;
use oleandertack::board::NodeClock;
use oleandertack::call::{CallerBounds, RuleSet};
use oleandertack::conf::FrontBounds;
use oleandertack::front::FrontPorts;
use oleandertack::front::mesh::MeshPeers;
use oleandertack::front::rules::{RulesSource, apply_rules};
use oleandertack::kind::hash::mix_bits;
use oleandertack::mesh::{MeshBody, MeshDigest, NodeReport, RulesStatus};
use oleandertack::outlet::{HttpCodec, TcpDialer};
use oleandertack::plat::{FeedKind, FeedStore};
use oleandertack::platform::StoreClient;
use oleandertack::wire::{PeerHandler, encode_frame};
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};

/// Routes of the wide rules; about 280 KB.
const ROUTES: u64 = 1400;
/// The most that a report or its answer may take, whatever the size of the rules.
const SMALL_FRAME_BYTES: usize = 8 << 10;

/// The code of the refusal of a request, which was not run, because the rules may be outdated.
const OUTDATED: &str = "1017";

/// Rules of `version` with `routes` more routes than usual.
pub fn wide_rules(version: u64, routes: u64) -> String {
    let route = |at: u64| {
        let name = format!("{:013x}", mix_bits(at));
        format!(
            r#"{{"name":"r-{name}","host":"h","path-prefix":"/{name}/","kind":"safe","timeout-ms":2000,"target-latency-ms":100,"priority":2,"service":"s","max-attempts":2,"sticky-sessions":false}},"#
        )
    };
    let more: String = (0..routes).map(route).collect();
    let rules = RULES.replace("\"version\":7", &format!("\"version\":{version}"));
    rules.replacen("\"routes\":[", &format!("\"routes\":[{more}"), 1)
}

/// Bytes that each process has sent to others.
fn sent_bytes(group: &ProcessGroup) -> Vec<u64> {
    group.processes.iter().map(|process| process.node.traffic.sent.get()).collect()
}

/// A group of `count` processes with wide rules of version 8, at rest.
async fn wide_group(count: usize) -> ProcessGroup {
    let group = ProcessGroup::start(count).await;
    group.put_rules(&wide_rules(8, ROUTES));
    group.until_rules(8).await;
    sleep(Duration::from_secs(3)).await;
    group
}

/// The bytes that the processes of `group` send, all and the busiest, until the rules in `text` of `version` are in
/// force everywhere.
async fn sent_for(group: &ProcessGroup, version: u64, text: &str) -> (u64, u64) {
    let before = sent_bytes(group);
    group.put_rules(text);
    group.until_rules(version).await;
    let sent: Vec<u64> =
        sent_bytes(group).iter().zip(&before).map(|(after, before)| after - before).collect();
    (sent.iter().sum(), sent.iter().copied().max().unwrap_or(0))
}

/// The answer of the collector of `group` to a report of a process that has rules of `version`.
async fn digest_for(group: &ProcessGroup, version: u64) -> MeshDigest {
    digest_of(group, version, report("front-late")).await
}

/// The answer of the collector of `group` to `reported` with rules of `version`.
async fn digest_of(group: &ProcessGroup, version: u64, reported: NodeReport) -> MeshDigest {
    let peers = MeshPeers(group.processes[group.collector()].node.clone());
    let reported = NodeReport { rules: RulesStatus { version, freshness: None }, ..reported };
    match peers.answer(MeshBody::Report(Box::new(reported))).await {
        MeshBody::Digest(digest) => *digest,
        other => panic!("no digest: {other:?}"),
    }
}

/// Guards against collectors that count as dead because their answers carry the rules: one takes longer on a thin link
/// than a reporter waits, and the next collector sends them again.
#[test]
fn the_answer_to_a_report_is_small_however_large_the_rules_are() {
    play(async {
        let group = wide_group(3).await;

        let digest = digest_for(&group, 7).await;

        let bytes = encode_frame(1, MeshBody::Digest(Box::new(digest))).len();
        assert!(bytes < SMALL_FRAME_BYTES, "{bytes} bytes");
    });
}

/// Guards against reports that carry the rules because their collector has older ones.
#[test]
fn a_collector_with_older_rules_does_not_ask_for_them_in_a_report() {
    play(async {
        let group = wide_group(3).await;

        let digest = digest_for(&group, 9).await;

        assert!(!digest.wants_rules);
    });
}

/// Guards against a link that is full after each change because the whole rules go to every process, whatever changed.
#[test]
fn a_small_change_of_wide_rules_takes_few_bytes_for_each_process() {
    const MOST_EACH: u64 = 48 << 10;
    for count in [4, 12] {
        play(async move {
            let group = wide_group(count).await;
            let text = wide_rules(9, ROUTES);
            let text = text.replace("\"idle-timeout-ms\":5000", "\"idle-timeout-ms\":4000");

            let (all, busiest) = sent_for(&group, 9, &text).await;

            assert!(
                all < MOST_EACH * count as u64,
                "{count} processes: {all} bytes, {busiest} of one"
            );
        });
    }
}

/// Guards against a change of hundreds of kilobytes that takes as much for each process: fifty of them fill the
/// link of the one that has it first for longer than a change may take.
#[test]
fn a_large_change_of_rules_takes_a_fraction_of_their_size_for_each_process() {
    const COUNT: usize = 12;
    play(async {
        let group = wide_group(COUNT).await;
        let text = wide_rules(9, 2 * ROUTES);

        let (all, busiest) = sent_for(&group, 9, &text).await;

        let most = text.len() as u64 * COUNT as u64 / 6;
        assert!(all < most, "{all} bytes of {most}, {busiest} of one process");
    });
}

/// Guards against requests that run by rules of which the process knows that newer ones had to be in force by now.
#[test]
fn a_process_that_knows_its_rules_to_be_outdated_refuses_requests() {
    const TOLD_VERSION: u64 = 9;
    play(async {
        let group = ProcessGroup::start(1).await;
        let process = &group.processes[0];
        let peers = MeshPeers(process.node.clone());
        group.set_all(StoreMode::Silent);
        let text = request("POST", "/open/x", "late", "", "");
        let mut refused = Vec::new();

        for _ in 0..16 {
            let rules = RulesStatus { version: TOLD_VERSION, freshness: None };
            let reported = NodeReport { rules, ..report("front-newer") };
            peers.answer(MeshBody::Report(Box::new(reported))).await;
            sleep(Duration::from_millis(250)).await;
            refused.push(ask(process.address(), &text).await.has(OUTDATED));
        }

        assert_eq!((refused.first(), refused.last()), (Some(&false), Some(&true)), "{refused:?}");
    });
}

/// Guards against processes that refuse everything while the store is away, although nobody has newer rules.
#[test]
fn a_process_that_knows_of_no_newer_rules_serves_by_old_ones() {
    play(async {
        let group = ProcessGroup::start(3).await;
        group.set_all(StoreMode::Silent);
        let text = request("POST", "/open/x", "late", "", "");

        sleep(Duration::from_secs(5)).await;
        let answer = ask(group.processes[0].address(), &text).await;

        assert!(!group.processes[0].node.rules_are_fresh());
        assert!(!answer.has(OUTDATED), "{}", answer.text);
    });
}

/// Guards against processes of a version without parts that do not get the rules from newer ones.
#[test]
fn a_process_that_takes_no_parts_gets_the_rules_with_the_answer() {
    play(async {
        let group = wide_group(3).await;
        let mut former = report("front-late");
        former.member.takes_parts = false;

        let older = digest_of(&group, 7, former.clone()).await;
        let newer = digest_of(&group, 9, former).await;

        assert!(older.rules_text.is_some() && newer.wants_rules);
    });
}

/// What a list of the rules ends with, and how long it took, if its store sends a list of 600 KB in `count` pieces with
/// `pause` between them.
async fn list_in_pieces(count: usize, pause: Duration) -> (Result<usize, String>, Duration) {
    let rules = wide_rules(8, 3000);
    let text = format!(
        r#"{{"items":[{{"metadata":{{"name":"main","revision":3}},"spec":{rules}}}],"has-more":false,"as-of":3}}"#
    );
    let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", text.len());
    let pieces = text.as_bytes().chunks(text.len() / count);
    let say = |piece: &[u8]| Act::Say(String::from_utf8_lossy(piece).into_owned());
    let script = pieces.flat_map(|piece| [say(piece), Act::Pause(pause)]);
    let store = scripted(vec![std::iter::once(Act::Say(head)).chain(script).collect()]).await;
    let client = StoreClient::new(store.address, HttpCodec::default());
    let began = Instant::now();
    let listed = client.list(FeedKind::Rules).await;
    let length = listed.map(|page| page.objects[0].body.len()).map_err(|fault| fault.to_string());
    (length, began.elapsed())
}

/// Guards against rules that never arrive on a thin link, because each call for them is given up while they are arriving.
#[test]
fn a_large_answer_of_the_store_may_take_longer_than_a_small_one() {
    play(async {
        let (length, took) = list_in_pieces(16, Duration::from_millis(125)).await;

        assert!(length.as_ref().is_ok_and(|length| *length > 500_000), "{length:?}");
        assert!(took > Duration::from_millis(1500), "{took:?}");
    });
}

/// Guards against a store that holds a call for as long as it sends a byte now and then.
#[test]
fn an_answer_of_the_store_that_trickles_is_given_up() {
    play(async {
        let (length, took) = list_in_pieces(10_000, Duration::from_millis(300)).await;

        assert!(length.is_err_and(|fault| fault.contains("bytes of its body arrived")));
        assert!(took < Duration::from_millis(1500), "{took:?}");
    });
}

/// Guards against rules that a process cannot read and fetches again and again, because the peer that has them goes on
/// saying so.
#[test]
fn rules_that_cannot_be_read_are_not_fetched_again_at_once() {
    const ONCE_AND_REPORTS: u64 = 400 << 10;
    play(async {
        let group = ProcessGroup::start(2).await;
        let node = &group.processes[group.collector()].node;
        let unreadable = object("main", wide_rules(9, ROUTES).replace("timeout-ms", "time"));
        let rules = RuleSet::new(9, CallerBounds::default());
        assert!(node.rules.borrow_mut().offer(rules, &unreadable));
        let before: u64 = sent_bytes(&group).iter().sum();

        sleep(Duration::from_secs(3)).await;

        let sent = sent_bytes(&group).iter().sum::<u64>() - before;
        assert!(sent < ONCE_AND_REPORTS, "{sent} bytes");
    });
}

/// A store whose lists are short and whose first change of the rules arrives in 24 pieces, 125 ms apart; returns its
/// address and how often the rules were asked for.
async fn slow_store() -> (SocketAddr, Rc<Cell<u32>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    let address = listener.local_addr().expect("an address");
    let asked = Rc::new(Cell::new(0));
    let counted = asked.clone();
    actix_rt::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            stream.set_nodelay(true).expect("an open connection");
            actix_rt::spawn(answer_calls(stream, counted.clone()));
        }
    });
    (address, asked)
}

async fn answer_calls(mut stream: TcpStream, asked: Rc<Cell<u32>>) {
    const PIECES: usize = 24;
    let mut buffer = BytesMut::new();
    while let Some(request) = read_request(&mut stream, &mut buffer).await {
        let is_rules = request.head.contains("/objects/config");
        let is_watch = request.head.contains("watch=");
        let is_first_watch = request.head.contains("watch=3&");
        asked.set(asked.get() + u32::from(is_rules));
        let object = |rules: &str| {
            format!(r#"{{"metadata":{{"name":"main","revision":3}},"spec":{rules}}}"#)
        };
        let body = match (is_rules, is_watch) {
            (true, true) if is_first_watch => {
                format!(r#"{{"events":[{{"object":{}}}],"as-of":4}}"#, object(&wide_rules(8, 4200)))
            }
            (true, true) => {
                let (_, wait) = request.head.split_once("wait-ms=").expect("a time to wait");
                let digits = wait.split(' ').next().unwrap_or_default();
                sleep(Duration::from_millis(digits.parse().expect("milliseconds"))).await;
                r#"{"events":[],"as-of":4}"#.to_owned()
            }
            (true, false) => {
                format!(r#"{{"items":[{}],"has-more":false,"as-of":3}}"#, object(RULES))
            }
            (false, true) => return std::future::pending().await,
            (false, false) => r#"{"items":[],"has-more":false,"as-of":3}"#.to_owned(),
        };
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        let pieces = if is_rules && is_first_watch { PIECES } else { 1 };
        let mut written = stream.write_all(head.as_bytes()).await;
        for piece in body.as_bytes().chunks(body.len().div_ceil(pieces)) {
            if written.is_err() {
                return;
            }
            if pieces > 1 {
                sleep(Duration::from_millis(125)).await;
            }
            written = stream.write_all(piece).await;
        }
    }
}

/// Guards against a watch that is taken for silent while its answer arrives: the whole rules are asked for again, and
/// the change is lost that was nearly there.
#[test]
fn a_watch_whose_large_answer_arrives_is_not_taken_for_silent() {
    play(async {
        let (address, asked) = slow_store().await;
        let ports = FrontPorts {
            store: Box::new(StoreClient::new(address, HttpCodec::default())),
            cloud: None,
            dialer: Rc::new(TcpDialer::default()),
            clock: NodeClock::from_runtime(),
        };
        let (process, _) = front_with(ports, FrontBounds::default()).await;

        sleep(Duration::from_millis(3500)).await;

        assert_eq!(process.node.rules.borrow().version(), 8);
        // One list, the watch, one that confirms what it brought, and the next.
        assert!(asked.get() <= 4, "{} calls", asked.get());
    });
}

/// Guards against a newer version whose routes nobody gets: text of an object that is not the operators' is no rules.
#[test]
fn rules_of_another_object_are_not_put_in_force() {
    play(async {
        let group = ProcessGroup::start(1).await;
        let node = &group.processes[0].node;

        let foreign = object("other", wide_rules(9, 1));
        apply_rules(node, &foreign, RulesSource::Peer);

        assert_eq!(node.rules.borrow().version(), 7);
    });
}

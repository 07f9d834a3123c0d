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
fn a_repeat_is_not_told_not_run_while_nobody_can_know() {
    // The caller sees "cannot be known now", or "uncertain" where a process that remembers the claim
    // is reached; which one depends on the key's shard. Its call ran, its entry died before the answer was
    // kept, and the store is down; the repeat reaches an entry that cannot read the claim. It once
    // said "not run", and the caller would have asked with a new key.
    let outcome = cell(EntryStep::CallAnswered, &[RigFault::StoreDown, RigFault::KillEntry]);

    assert_eq!(outcome.broken, []);
    let end = end_of(&outcome, CallKind::Code);
    let told = matches!(end, CallEnd::Refused { code: 2001 | 2008, not_run: false });
    assert!(told, "{end:?}");
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

/// Reads `response` until it holds `until`, and returns the number of its last event.
async fn read_until(response: &mut awc::ClientResponse, until: &str) -> (String, u64) {
    let mut text = String::new();
    while !text.contains(until) {
        match futures_util::StreamExt::next(response).await {
            Some(Ok(bytes)) => text.push_str(&String::from_utf8_lossy(&bytes)),
            _ => break,
        }
    }
    let whole = text.rsplit_once("\n\n").map_or("", |(whole, _)| whole);
    let mut ids = whole.lines().rev().filter_map(|line| line.strip_prefix("id: "));
    let last = ids.next().and_then(|id| id.parse().ok()).unwrap_or(0);
    (text, last)
}

#[actix_rt::test]
async fn a_caller_that_changes_entries_keeps_its_engine_stream() {
    // The caller sees one stream and nothing is computed again. Its connection breaks, and it comes
    // back through another entry. The first entry, whose caller is gone, once waited five seconds
    // for it and then cancelled the engine's stream under the second.
    use oleandertack::rig::cluster::{CALLER_KEY, MODEL};
    let rig = oleandertack::rig::Rig::start(Default::default(), |_, _| None).await.expect("up");
    let client = awc::Client::builder().timeout(std::time::Duration::from_secs(30)).finish();
    let auth = ("authorization", format!("Bearer {CALLER_KEY}"));
    let body = serde_json::json!({
        "model": MODEL, "stream": true, "max_tokens": 3500,
        "messages": [{ "role": "user", "content": "soup" }],
    });
    let url = format!("http://{}/v1/chat/completions", rig.entries[0].address);
    let request = client.post(url).insert_header(auth.clone());
    let sent = request.insert_header(("idempotency-key", "moving")).send_json(&body).await;
    let mut first = sent.expect("a stream");
    let (_, seen) = read_until(&mut first, "id: 20\n").await;
    drop(first);

    let url = format!("http://{}/v1/requests/moving", rig.entries[1].address);
    let request = client.get(url).insert_header(auth);
    let sent = request.insert_header(("last-event-id", seen.to_string())).send().await;
    let (text, last) = read_until(&mut sent.expect("a stream"), "[DONE]").await;

    assert!(text.contains("[DONE]"));
    assert_eq!(last, 3500);
    let mut response = client.get(format!("{}/totals", rig.standin)).send().await.expect("totals");
    let totals: serde_json::Value = response.json().await.expect("totals");
    assert_eq!(
        (&totals["engines"]["cancelled"], &totals["engines"]["recomputed"]),
        (&0.into(), &0.into())
    );
}

#[actix_rt::test]
async fn a_stream_whose_caller_does_not_come_back_is_cancelled() {
    // The engine stops working for a caller that hung up. The wait for its return once began anew
    // with every token, so that the stream ran to its end for nobody.
    use oleandertack::rig::cluster::{CALLER_KEY, MODEL};
    let rig = oleandertack::rig::Rig::start(Default::default(), |_, _| None).await.expect("up");
    let client = awc::Client::builder().timeout(std::time::Duration::from_secs(30)).finish();
    let body = serde_json::json!({
        "model": MODEL, "stream": true, "max_tokens": 100_000,
        "messages": [{ "role": "user", "content": "soup" }],
    });
    let url = format!("http://{}/v1/chat/completions", rig.entries[0].address);
    let request = client.post(url).insert_header(("authorization", format!("Bearer {CALLER_KEY}")));
    let mut first = request.send_json(&body).await.expect("a stream");
    read_until(&mut first, "id: 20\n").await;
    drop(first);

    let mut cancelled = 0;
    while cancelled == 0 {
        let mut totals =
            client.get(format!("{}/totals", rig.standin)).send().await.expect("totals");
        let totals: serde_json::Value = totals.json().await.expect("totals");
        assert!(totals["engines"]["generated"].as_u64() < Some(50_000), "it runs for nobody");
        cancelled = totals["engines"]["cancelled"].as_u64().unwrap_or(0);
    }

    assert_eq!(cancelled, 1);
}

/// The notice of a reclaim after which a stream's engine goes on and an entry prepares to leave it at once, in
/// milliseconds.
const SHORT_NOTICE_MS: u64 = 1500;
/// Tokens of a stream that ends well within the notice.
const SHORT_TOKENS: u64 = 250;

/// The failure domain of the only engine that runs a stream.
async fn domain_of_stream(rig: &oleandertack::rig::Rig) -> String {
    use oleandertack::rig::cluster::MODEL;
    let client = awc::Client::default();
    let mut list = client.get(format!("{}/list", rig.standin)).send().await.expect("a list");
    let list: serde_json::Value = list.json().await.expect("a list");
    for record in list.as_array().expect("records").iter().filter(|one| one["service"] == MODEL) {
        let url = format!("http://{}/counts", record["address"].as_str().expect("an address"));
        let mut counts = client.get(url).send().await.expect("counts");
        let counts: serde_json::Value = counts.json().await.expect("counts");
        if counts["streams"] == 1 {
            return record["domain"].as_str().expect("a domain").to_owned();
        }
    }
    panic!("no engine runs the stream");
}

/// Streams `SHORT_TOKENS` tokens, lets `disturb` act on the rig with the domain of the stream's engine,
/// and returns what the caller read.
async fn read_beside<F>(disturb: impl FnOnce(oleandertack::rig::Rig, String) -> F) -> (String, u64)
where
    F: Future<Output = oleandertack::rig::Rig>,
{
    use oleandertack::rig::cluster::{CALLER_KEY, MODEL};
    let settings = oleandertack::rig::RigSettings { engines: 1, ..Default::default() };
    let rig = oleandertack::rig::Rig::start(settings, |_, _| None).await.expect("up");
    let client = awc::Client::builder().timeout(std::time::Duration::from_secs(30)).finish();
    let body = serde_json::json!({
        "model": MODEL, "stream": true, "max_tokens": SHORT_TOKENS,
        "messages": [{ "role": "user", "content": "soup" }],
    });
    let url = format!("http://{}/v1/chat/completions", rig.entries[0].address);
    let request = client.post(url).insert_header(("authorization", format!("Bearer {CALLER_KEY}")));
    let mut response = request.send_json(&body).await.expect("a stream");
    read_until(&mut response, "id: 5\n").await;
    let domain = domain_of_stream(&rig).await;
    let _rig = disturb(rig, domain).await;
    let reading = read_until(&mut response, "[DONE]");
    let read = actix_rt::time::timeout(std::time::Duration::from_secs(6), reading).await;
    read.unwrap_or_default()
}

/// Gives notice to the endpoints of `domain`.
async fn give_notice(rig: &oleandertack::rig::Rig, domain: &str, notice_ms: u64) {
    let body = serde_json::json!({ "domain": domain, "notice_ms": notice_ms });
    let given = oleandertack::rig::cluster::post_json(&rig.standin, "/reclaim", &body).await;
    given.expect("notice");
}

/// Guards against a stream that is cut although its engine would have finished it. The engine gets notice, and
/// the entry leaves it 1.5 s before its end, with no other engine to go to.
#[actix_rt::test]
async fn a_stream_stays_at_a_leaving_engine_if_there_is_no_other() {
    use oleandertack::rig::cluster::DOMAINS;

    let (text, last) = read_beside(async |rig, domain| {
        for other in DOMAINS.iter().filter(|other| **other != domain) {
            give_notice(&rig, other, 0).await;
        }
        give_notice(&rig, &domain, SHORT_NOTICE_MS).await;
        rig
    })
    .await;

    assert!(text.contains("[DONE]"), "cut after token {last}");
    assert_eq!(last, SHORT_TOKENS);
}

/// The same failure where the other engines take the request and answer nothing.
#[actix_rt::test]
async fn a_stream_stays_at_a_leaving_engine_until_another_one_answers() {
    use oleandertack::rig::cluster::MODEL;

    let (text, last) = read_beside(async |rig, domain| {
        let hang = serde_json::json!({ "hang": true });
        for address in rig.endpoint_addresses(MODEL).await {
            let base = format!("http://{address}");
            let set = oleandertack::rig::cluster::post_json(&base, "/faults", &hang).await;
            set.expect("faults");
        }
        give_notice(&rig, &domain, SHORT_NOTICE_MS).await;
        rig
    })
    .await;

    assert!(text.contains("[DONE]"), "cut after token {last}");
    assert_eq!(last, SHORT_TOKENS);
}

/// Guards against a stream that stays at a leaving engine until that one ends although another one takes it.
#[actix_rt::test]
async fn a_stream_leaves_an_engine_before_its_end_once_another_one_answers() {
    let (cancelled, recomputed) = (std::cell::Cell::new(0), std::cell::Cell::new(u64::MAX));

    let (_, last) = read_beside(async |rig, domain| {
        give_notice(&rig, &domain, SHORT_NOTICE_MS).await;
        let client = awc::Client::default();
        let until = std::time::Instant::now() + std::time::Duration::from_millis(SHORT_NOTICE_MS);
        while cancelled.get() == 0 && std::time::Instant::now() < until {
            let url = format!("{}/totals", rig.standin);
            let mut totals = client.get(url).send().await.expect("totals");
            let totals: serde_json::Value = totals.json().await.expect("totals");
            cancelled.set(totals["engines"]["cancelled"].as_u64().expect("a count"));
            recomputed.set(totals["engines"]["recomputed"].as_u64().expect("a count"));
        }
        rig
    })
    .await;

    assert_eq!((cancelled.get(), last), (1, SHORT_TOKENS));
    assert!(recomputed.get() < SHORT_TOKENS, "no KV came: {} tokens again", recomputed.get());
}

/// Guards against a stream that is lost with the second of two entries. The first one dies, its caller comes back to
/// the entry that holds the copy, and that one goes on without a copy elsewhere and dies as well.
#[actix_rt::test]
async fn streams_survive_two_entries_that_die_one_after_the_other() {
    use oleandertack::rig::cluster::{CALLER_KEY, EntryCommand, MODEL};
    const STREAMS: usize = 8;
    const SETTLE_TIME: std::time::Duration = std::time::Duration::from_millis(2500);
    let rig = oleandertack::rig::Rig::start(Default::default(), |_, _| None).await.expect("up");
    let client = awc::Client::builder().timeout(std::time::Duration::from_secs(30)).finish();
    let auth = ("authorization", format!("Bearer {CALLER_KEY}"));
    let body = serde_json::json!({
        "model": MODEL, "stream": true, "max_tokens": 50_000,
        "messages": [{ "role": "user", "content": "soup" }],
    });
    let mut held = Vec::new();
    for number in 0..STREAMS {
        let url = format!("http://{}/v1/chat/completions", rig.entries[0].address);
        let request = client.post(url).insert_header(auth.clone());
        let key = ("idempotency-key", format!("twice-{number}"));
        let mut response = request.insert_header(key).send_json(&body).await.expect("a stream");
        read_until(&mut response, "id: 5\n").await;
        held.push(response);
    }

    let mut answered = Vec::new();
    for (dying, next) in [(0, 1), (1, 2)] {
        rig.entries[dying].commands.send(EntryCommand::Kill).expect("it runs");
        held.clear();
        answered.clear();
        for number in 0..STREAMS {
            let url = format!("http://{}/v1/requests/twice-{number}", rig.entries[next].address);
            let request = client.get(url).insert_header(auth.clone());
            let mut response = request.send().await.expect("an answer");
            answered.push(response.status().as_u16());
            if response.status().is_success() {
                read_until(&mut response, "id: 6\n").await;
            }
            held.push(response);
        }
        actix_rt::time::sleep(SETTLE_TIME).await;
    }

    assert_eq!(answered, [200; STREAMS]);
}

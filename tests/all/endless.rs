//! Bytes that are no answer and have no end, over real connections: from endpoints, the store, and callers.

use crate::front::{ask, front, good, request, run};
use crate::scripted::{Act, Scripted, scripted};
use oleandertack::outlet::HttpCodec;
use oleandertack::plat::{FeedKind, FeedStore};
use oleandertack::platform::StoreClient;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::net::tcp::OwnedReadHalf;

/// The time by which a caller has an answer or a failure. It would wait for two seconds.
const SOON: Duration = Duration::from_millis(1500);
/// The longest time of a call to the store, as far as its answer arrives.
const LONGEST_CALL: Duration = Duration::from_millis(5500);
/// The most that is read of an answer that does not end: that of a whole answer that is buffered, and some
/// more, also what the kernel takes before it is read.
const MOST_READ: usize = 12 << 20;
/// The same for the store, whose pages may be larger.
const MOST_LISTED: usize = 24 << 20;
/// The same for bytes of which none is content.
const MOST_OVERHEAD: usize = 8 << 20;

/// What an endpoint or a store sends, and whether it is content.
fn kinds() -> Vec<(&'static str, Vec<Act>, bool)> {
    let say = |text: &str| Act::Say(text.to_owned());
    let head =
        "HTTP/1.1 200 OK\r\nX-Oleandertack-Request-Id: {id}\r\nX-Oleandertack-Response-Seal: s\r\n";
    let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
    let foreign =
        "HTTP/1.1 200 OK\r\nX-Oleandertack-Request-Id: other\r\nContent-Length: 5\r\n\r\nother";
    let other =
        "HTTP/1.1 200 OK\r\nX-Oleandertack-Request-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n";
    let refusal = "HTTP/1.1 503 Busy\r\nX-Oleandertack-Request-Id: {id}\r\nX-Oleandertack-Not-Executed: full\r\n";
    let repeat = |text: &str| Act::Repeat(text.to_owned());
    vec![
        ("early heads", vec![repeat("HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n")], false),
        ("a header's value", vec![say(head), say("X-A: "), repeat("a")], false),
        ("headers", vec![say(head), repeat("X-A: a\r\n")], false),
        ("no head at all", vec![repeat("rubbish")], false),
        ("empty lines", vec![repeat("\r\n")], false),
        ("a chunk's extension", vec![say(&chunked), say("5"), repeat(";a=b")], false),
        ("spaces behind a chunk's size", vec![say(&chunked), say("5"), repeat(" ")], false),
        (
            "small chunks",
            vec![say(&chunked), repeat(&format!("1;{}\r\na\r\n", "e".repeat(500)))],
            false,
        ),
        ("trailers", vec![say(&chunked), say("5\r\nhello\r\n0\r\n"), repeat("X-A: a\r\n")], false),
        ("other answers", vec![repeat(foreign)], false),
        ("another answer's body", vec![say(other), repeat("5\r\nother\r\n")], false),
        (
            "a refusal's body",
            vec![
                say(&format!("{refusal}Transfer-Encoding: chunked\r\n\r\n")),
                repeat("5\r\nhello\r\n"),
            ],
            false,
        ),
        ("chunks", vec![say(&chunked), repeat("5\r\nhello\r\n")], true),
        ("a body until the close", vec![say(&format!("{head}\r\n")), repeat("hello")], true),
        (
            "a long body",
            vec![say(&format!("{head}Content-Length: 99999999999\r\n\r\n")), repeat("hello")],
            true,
        ),
    ]
}

/// Checks how much an endpoint could send, and what the caller got.
fn check(name: &str, endless: &Scripted, most_content: Option<usize>) {
    let most = most_content.unwrap_or(MOST_OVERHEAD);
    let sent = endless.seen.borrow().repeated;
    assert!(sent < most, "{name}: {sent} bytes");
}

/// Guards against requests that are held until their deadline, and a link and a processor that are kept busy, by an
/// endpoint that sends something without end.
#[test]
fn a_safe_request_goes_on_where_an_endpoint_sends_without_end() {
    for (name, acts, is_content) in kinds() {
        run(async move {
            let endless = scripted(vec![acts]).await;
            let sound = good("hello").await;
            let (_process, address) = front(&[endless.address, sound.address]).await;
            let began = Instant::now();

            let answer = ask(address, &request("POST", "/any/a", "r1", "", "")).await;

            assert_eq!(answer.status(), "200", "{name}: {}", answer.text);
            assert!(answer.text.ends_with("hello"), "{name}");
            assert!(began.elapsed() < SOON, "{name}: {:?}", began.elapsed());
            check(name, &endless, is_content.then_some(MOST_READ));
        });
    }
}

/// Guards against the same for requests that run once, which end in a failure that says they may have run.
#[test]
fn a_request_that_runs_once_fails_soon_where_an_endpoint_sends_without_end() {
    for (name, acts, is_content) in kinds() {
        run(async move {
            let endless = scripted(vec![acts]).await;
            let (_process, address) = front(&[endless.address]).await;
            let began = Instant::now();

            let answer = ask(address, &request("POST", "/once/a", "r1", "", "")).await;

            let expected = if name == "a refusal's body" { "503" } else { "502" };
            assert_eq!(answer.status(), expected, "{name}: {}", answer.text);
            assert!(began.elapsed() < SOON, "{name}: {:?}", began.elapsed());
            check(name, &endless, is_content.then_some(MOST_READ));
        });
    }
}

/// Guards against streams that are held, or whose events grow without bound, by an endpoint that sends no event.
#[test]
fn a_stream_fails_soon_where_an_endpoint_sends_no_event_without_end() {
    let head = "HTTP/1.1 200 OK\r\nX-Oleandertack-Request-Id: {id}\r\nX-Oleandertack-Response-Seal: s\r\nContent-Type: text/event-stream\r\n";
    let lines = [("a line", "a"), ("lines", "data: a\n"), ("an id", "id: 1\n")];
    for (name, text) in lines {
        run(async move {
            let acts = vec![Act::Say(format!("{head}\r\n")), Act::Repeat(text.to_owned())];
            let endless = scripted(vec![acts]).await;
            let (_process, address) = front(&[endless.address]).await;
            let began = Instant::now();

            let answer = ask(address, &request("POST", "/stream/a", "r1", "", "")).await;

            assert_ne!(answer.status(), "200", "{name}: {}", answer.text);
            assert!(began.elapsed() < SOON, "{name}: {:?}", began.elapsed());
            check(name, &endless, Some(MOST_READ));
        });
    }
}

/// Guards against a call to the store that goes on for as long as the store sends something.
#[test]
fn a_store_that_sends_without_end_is_given_up() {
    for (name, acts, is_content) in kinds() {
        // The store's answers bear no id, so nothing belongs to another request.
        if name.contains("other") || name.contains("refusal") {
            continue;
        }
        run(async move {
            let endless = scripted(vec![acts]).await;
            let client = StoreClient::new(endless.address, HttpCodec::default());
            let began = Instant::now();

            let listed = client.list(FeedKind::Rules).await;

            assert!(listed.is_err(), "{name}");
            assert!(began.elapsed() < LONGEST_CALL, "{name}: {:?}", began.elapsed());
            check(name, &endless, is_content.then_some(MOST_LISTED));
        });
    }
}

/// What is read until the connection ends.
async fn read_to_end(reader: &mut OwnedReadHalf) -> String {
    let mut bytes = Vec::new();
    // A reset after the answer ends it as well.
    let _ = reader.read_to_end(&mut bytes).await;
    String::from_utf8_lossy(&bytes).into_owned()
}

/// Guards against a caller that keeps a process reading without end, and gets no refusal.
#[test]
fn a_caller_that_sends_without_end_is_refused() {
    let head = "POST /any/a HTTP/1.1\r\nHost: h\r\nX-Oleandertack-Request-Id: r1\r\nX-Oleandertack-Key: key-1\r\n";
    let chunked = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
    let cases = [
        ("headers", head.to_owned(), "X-A: a\r\n"),
        ("a header's value", format!("{head}X-A: "), "a"),
        ("a chunk's extension", format!("{chunked}5"), ";a=b"),
        ("trailers", format!("{chunked}5\r\nhello\r\n0\r\n"), "X-A: a\r\n"),
        ("chunks", chunked, "5\r\nhello\r\n"),
    ];
    for (name, begin, text) in cases {
        run(async move {
            let sound = good("hello").await;
            let (_process, address) = front(&[sound.address]).await;
            let mut stream = TcpStream::connect(address).await.expect("it listens");
            stream.write_all(begin.as_bytes()).await.expect("written");
            let (mut reader, mut writer) = stream.into_split();
            let sending = async {
                let block = text.repeat(1 + 4096 / text.len());
                let mut sent = 0;
                while writer.write_all(block.as_bytes()).await.is_ok() {
                    sent += block.len();
                    tokio::task::yield_now().await;
                }
                sent
            };
            let began = Instant::now();

            let (sent, answer) = futures_util::join!(sending, read_to_end(&mut reader));

            assert!(began.elapsed() < 2 * SOON, "{name}: {:?}", began.elapsed());
            assert!(sent < MOST_OVERHEAD, "{name}: {sent} bytes");
            assert!(answer.starts_with("HTTP/1.1 4"), "{name}: {answer}");
            assert!(sound.seen.borrow().requests.is_empty(), "{name}");
        });
    }
}

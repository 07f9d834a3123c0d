//! Tests of connections to endpoints: what is known after they end.

use crate::scripted::{Act, scripted};
use actix_http::header::{HOST, HeaderValue};
use actix_http::{Method, RequestHead};
use bytes::Bytes;
use oleandertack::kind::InstanceId;
use oleandertack::outlet::{
    BodyEnd, BodyPart, HttpCodec, IdleLink, LinkError, LinkPool, SocketBounds,
};
use std::net::SocketAddr;
use std::time::Duration;

const LIMIT: Duration = Duration::from_secs(5);

fn say(text: &str) -> Act {
    Act::Say(text.to_owned())
}

fn run<F: Future>(test: F) -> F::Output {
    actix_rt::System::new().block_on(test)
}

async fn open(address: SocketAddr) -> IdleLink {
    IdleLink::open(address, LIMIT, SocketBounds::default()).await.expect("it listens")
}

fn head() -> RequestHead {
    let mut head = RequestHead::default();
    head.method = Method::POST;
    head.headers.insert(HOST, HeaderValue::from_static("endpoint"));
    head
}

/// Sends a request and reads the whole answer; returns the body, and the link if it can be reused.
async fn exchange(
    link: IdleLink,
    body: &'static [u8],
) -> Result<(Vec<u8>, Option<IdleLink>), LinkError> {
    let mut sent = link.send(&HttpCodec::default(), head(), Bytes::from_static(body))?;
    let head = sent.read_head().await?;
    let mut reading = sent.into_body(&head);
    let mut whole = Vec::new();
    while let BodyPart::Bytes(bytes) = reading.next().await? {
        whole.extend_from_slice(&bytes);
    }
    Ok((whole, reading.into_idle()))
}

#[test]
fn a_complete_answer_leaves_a_reusable_link() {
    run(async {
        let answer = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello";
        let endpoint = scripted(vec![vec![say(answer)]]).await;

        let (first, link) = exchange(open(endpoint.address).await, b"one").await.expect("whole");
        let (second, _) = exchange(link.expect("usable"), b"two").await.expect("whole");

        assert_eq!((first, second), (b"hello".to_vec(), b"hello".to_vec()));
        assert_eq!(endpoint.seen.borrow().connections, 1);
        assert_eq!(endpoint.seen.borrow().requests[1].body, b"two");
    });
}

#[test]
fn an_answer_that_ends_early_is_an_error_in_any_framing() {
    // A caller must not take half an answer for a complete one. The endpoint closes before the
    // length is reached, or before the last chunk.
    run(async {
        let by_length = "HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhello";
        let by_chunks = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n";
        for answer in [by_length, by_chunks] {
            let endpoint = scripted(vec![vec![say(answer), Act::Close]]).await;

            let outcome = exchange(open(endpoint.address).await, b"").await;

            assert!(matches!(outcome, Err(LinkError::Interrupted(_))), "{answer}");
        }
    });
}

#[test]
fn an_answer_without_a_length_ends_with_its_connection() {
    // The endpoint sends no length: the answer is complete after an orderly close and cut after a
    // reset. The library treats such an answer as empty.
    run(async {
        let answer = "HTTP/1.1 200 OK\r\n\r\nhello";
        let whole = scripted(vec![vec![say(answer), Act::Close]]).await;
        let reset = scripted(vec![vec![say(answer), Act::Reset]]).await;

        let (body, link) = exchange(open(whole.address).await, b"").await.expect("whole");
        let cut = exchange(open(reset.address).await, b"").await;

        assert_eq!(body, b"hello");
        assert!(link.is_none());
        assert!(matches!(cut, Err(LinkError::Interrupted(_))));
    });
}

/// Bytes after a head whose framing contradicts itself are taken for a complete answer.
#[test]
fn contradicting_framing_is_no_answer() {
    run(async {
        let lines = [
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nTransfer-Encoding: chunked\r\n",
            "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n",
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nContent-Length: 6\r\n",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n",
        ];
        for line in lines {
            let answer = format!("{line}\r\n5\r\nhello\r\n0\r\n\r\n");
            let endpoint = scripted(vec![vec![say(&answer), Act::Close]]).await;

            let outcome = exchange(open(endpoint.address).await, b"").await;

            assert!(matches!(outcome, Err(LinkError::Malformed(_))), "{line}");
        }
    });
}

/// An end that was stated is taken for one that was not, or the reverse, in unusual heads.
#[test]
fn what_shows_the_end_is_told_for_unusual_heads() {
    run(async {
        let cases = [
            ("HTTP/1.1 200 OK\r\nConnection: keep-alive\r\n\r\nhello", BodyEnd::Closed),
            ("HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nhello", BodyEnd::Closed),
            ("HTTP/1.0 200 OK\r\n\r\nhello", BodyEnd::Closed),
            ("HTTP/1.1 103 Early\r\n\r\nHTTP/1.1 200 OK\r\n\r\nhello", BodyEnd::Closed),
            ("HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nhello", BodyEnd::Stated),
            ("HTTP/1.0 200 OK\r\nContent-Length: 0\r\n\r\n", BodyEnd::Stated),
            ("HTTP/1.1 204 No Content\r\n\r\n", BodyEnd::Stated),
            ("HTTP/1.1 304 Not Modified\r\nContent-Length: 5\r\n\r\n", BodyEnd::Stated),
        ];
        for (answer, expected) in cases {
            let endpoint = scripted(vec![vec![say(answer), Act::Close]]).await;
            let link = open(endpoint.address).await;
            let mut sent = link.send(&HttpCodec::default(), head(), Bytes::new()).expect("a head");
            let head = sent.read_head().await.expect("a head");

            let end = sent.into_body(&head).skip().await.expect("an end");

            assert_eq!(end, expected, "{answer}");
        }
    });
}

#[test]
fn a_link_with_unread_bytes_is_not_reused() {
    // The endpoint answers one request twice. The next caller must not get the answer of another.
    run(async {
        let answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        let endpoint = scripted(vec![vec![say(&answer.repeat(2))]]).await;

        let (body, link) = exchange(open(endpoint.address).await, b"").await.expect("whole");

        assert_eq!(body, b"ok");
        assert!(link.is_none_or(|link| !link.is_reusable()));
    });
}

#[test]
fn an_answer_before_the_body_was_read_makes_the_link_unusable() {
    // The endpoint rejects a long request before reading it and keeps the connection. The rest of
    // the body would be taken for the next request.
    run(async {
        static LONG: [u8; 8 << 20] = [b'x'; 8 << 20];
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        actix_rt::spawn(async move {
            let (mut stream, _) = listener.accept().await.expect("a caller");
            let answer = b"HTTP/1.1 413 Too Large\r\nContent-Length: 0\r\n\r\n";
            tokio::io::AsyncWriteExt::write_all(&mut stream, answer).await.expect("written");
            std::future::pending::<()>().await;
        });

        let (_, link) = exchange(open(address).await, &LONG).await.expect("an answer");

        assert!(link.is_none());
    });
}

#[test]
fn a_refused_connection_sends_no_request() {
    run(async {
        let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.expect("a port");
        let address = listener.local_addr().expect("an address");
        drop(listener);

        let outcome = IdleLink::open(address, LIMIT, SocketBounds::default()).await;

        assert!(matches!(outcome, Err(LinkError::ConnectFailed(_))));
    });
}

#[test]
fn the_pool_never_returns_a_closed_link() {
    // A request sent on it would have an uncertain result: nobody could say whether it ran.
    run(async {
        let answer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
        let endpoint = scripted(vec![vec![say(answer), Act::Close]]).await;
        let (_, link) = exchange(open(endpoint.address).await, b"").await.expect("whole");
        let mut pool = LinkPool::default();
        let instance = InstanceId::from("i-1");
        let link = link.expect("nothing told of the end");
        while link.is_reusable() {
            tokio::task::yield_now().await;
        }

        pool.put(&instance, link, LIMIT, 4);

        assert!(pool.take(&instance).is_none());
    });
}

/// Guards against a connection that is put back unused and then outlives the time that its endpoint announced.
#[test]
fn a_link_that_is_put_back_keeps_its_idle_limit() {
    run(async {
        let endpoint = scripted(vec![vec![]]).await;
        let (mut pool, instance) = (LinkPool::default(), InstanceId::from("r-1"));
        pool.put(&instance, open(endpoint.address).await, Duration::from_millis(150), 4);

        let (link, limit) = pool.take_with_limit(&instance).expect("it is open");
        pool.put(&instance, link, limit, 4);
        std::thread::sleep(Duration::from_millis(200));

        assert_eq!(limit, Duration::from_millis(150));
        assert!(pool.take(&instance).is_none());
    });
}

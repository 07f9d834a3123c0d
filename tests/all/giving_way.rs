//! Callers that give way to others at one process: what they are told, and what becomes of their requests.

use crate::front::{front, good, read_answer, request, run};
use crate::scripted::{Act, Scripted, scripted};
use oleandertack::conf::FrontSettings;
use oleandertack::front::FrontProcess;
use oleandertack::hold::HoldRoom;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

/// A body that the bounds of the rules allow, in bytes.
const BODY: usize = 9000;
/// How long a caller waits for what has to happen.
const PATIENCE: Duration = Duration::from_secs(5);

/// Room in which three requests fit.
const SMALL_MB: f64 = 4.0 * (3 * (30 << 10) + (3 * BODY)) as f64 / 1e6;

/// A process on a machine of so many megabytes and descriptors.
async fn small_front(
    endpoint: &Scripted,
    memory_mb: f64,
    descriptors: usize,
) -> (FrontProcess, SocketAddr) {
    let (process, address) = front(&[endpoint.address]).await;
    let settings = FrontSettings { memory_mb, descriptors, ..process.node.settings.clone() };
    process.node.apply_settings(settings);
    (process, address)
}

/// A caller that sends all of a request but its last byte.
async fn begin(address: SocketAddr, id: &str) -> TcpStream {
    let mut caller = TcpStream::connect(address).await.expect("it listens");
    let text = request("POST", "/any/a", id, "", &"x".repeat(BODY));
    let part = &text.as_bytes()[..text.len() - 1];
    caller.write_all(part).await.expect("written");
    caller
}

async fn ask(address: SocketAddr, id: &str) -> String {
    let mut caller = TcpStream::connect(address).await.expect("it listens");
    let text = request("POST", "/any/a", id, "", &"x".repeat(BODY));
    caller.write_all(text.as_bytes()).await.expect("written");
    read_answer(&mut caller).await.text
}

/// Guards against telling a caller that gave way nothing, or that its request may have run, and against sending a part of
/// it on.
#[test]
fn a_request_that_gives_way_is_refused_as_not_run_with_a_time_to_come_back() {
    run(async {
        let endpoint = good("hello").await;
        let (process, address) = small_front(&endpoint, SMALL_MB, 4100).await;
        let mut first = begin(address, "c1").await;
        let others = [begin(address, "c2").await, begin(address, "c3").await];
        sleep(Duration::from_millis(100)).await;

        let answers = [ask(address, "a1").await, ask(address, "a2").await];
        let refusal = timeout(PATIENCE, read_answer(&mut first)).await.expect("a refusal");

        assert!(answers.iter().all(|answer| answer.contains(" 200 ")), "{answers:?}");
        assert_eq!(refusal.status(), "503", "{refusal:?}");
        assert!(refusal.has("\"code\":1020") && refusal.has("retry-after: "), "{refusal:?}");
        assert!(refusal.has("connection: close"), "{refusal:?}");
        assert_eq!(endpoint.seen.borrow().requests.len(), answers.len());
        let (used, bound) = process.node.holds.usage(HoldRoom::Small);
        assert!(used <= bound, "{used} bytes of {bound}");
        drop(others);
    });
}

/// Guards against a crossing request that is read, and then dropped without an answer.
#[test]
fn an_idle_connection_that_gives_way_ends_in_order_and_unread() {
    run(async {
        let endpoint = good("hello").await;
        // The callers' share of 56 sockets is 19 connections, and 2 that are being closed.
        let (_process, address) = small_front(&endpoint, 260.0, 256).await;
        let mut resting = TcpStream::connect(address).await.expect("it listens");
        let text = request("POST", "/any/a", "r1", "", "x");
        resting.write_all(text.as_bytes()).await.expect("written");
        assert_eq!(read_answer(&mut resting).await.status(), "200");

        let mut crowd = Vec::new();
        for _ in 0..20 {
            crowd.push(TcpStream::connect(address).await.expect("it listens"));
            sleep(Duration::from_millis(5)).await;
        }
        let mut scratch = [0; 16];
        let ended = timeout(PATIENCE, resting.read(&mut scratch)).await.expect("an end");

        assert_eq!(ended.expect("an end in order"), 0);
        assert!(ask(address, "a1").await.contains(" 200 "));
    });
}

/// Guards against cutting an accepted request for new connections.
#[test]
fn a_request_that_waits_for_its_answer_is_not_cut_for_new_connections() {
    run(async {
        let endpoint = scripted(vec![vec![Act::AwaitClose]]).await;
        let (process, address) = small_front(&endpoint, 260.0, 256).await;
        let mut asking = TcpStream::connect(address).await.expect("it listens");
        let text = request("POST", "/once/a", "r1", "", "x");
        asking.write_all(text.as_bytes()).await.expect("written");
        while process.node.in_flight.get() == 0 {
            sleep(Duration::from_millis(5)).await;
        }

        let mut crowd = Vec::new();
        for _ in 0..60 {
            crowd.push(timeout(PATIENCE, TcpStream::connect(address)).await.expect("queued"));
        }
        sleep(Duration::from_millis(300)).await;

        assert_eq!(process.node.in_flight.get(), 1);
        assert!(process.node.connections.get() <= 21);
    });
}

//! Log lines of requests and of callers' connections that end early.

use crate::front::{
    StaticStore, ask, front_with_log, good, read_answer, request, run, static_store,
};
use crate::scripted::{Act, scripted};
use oleandertack::board::{NodeClock, StopStage};
use oleandertack::conf::FrontBounds;
use oleandertack::front::{FrontPorts, FrontProcess};
use oleandertack::outlet::{TcpDialer, set_reset_on_close};
use slog::{Drain, KV, OwnedKVList, Record, Serializer};
use std::fmt::Arguments;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::sleep;

/// A log line: its event, and its fields in order.
#[derive(Clone, Debug, Default)]
pub struct LoggedLine {
    pub event: String,
    pub fields: Vec<(String, String)>,
}

impl LoggedLine {
    /// The value of a field; empty if it has none.
    pub fn field(&self, name: &str) -> &str {
        let found = self.fields.iter().find(|(key, _)| key == name);
        found.map_or("", |(_, value)| value.as_str())
    }

    /// The values of some fields.
    pub fn values<const N: usize>(&self, names: [&str; N]) -> [&str; N] {
        names.map(|name| self.field(name))
    }
}

impl Serializer for LoggedLine {
    fn emit_arguments(&mut self, key: slog::Key, value: &Arguments<'_>) -> slog::Result {
        self.fields.push((key.to_string(), value.to_string()));
        Ok(())
    }
}

/// Keeps the log lines of a process.
#[derive(Clone, Default)]
pub struct LogRecorder(Arc<Mutex<Vec<LoggedLine>>>);

impl Drain for LogRecorder {
    type Ok = ();
    type Err = slog::Never;

    fn log(&self, record: &Record<'_>, _: &OwnedKVList) -> Result<(), slog::Never> {
        let mut line = LoggedLine { event: record.msg().to_string(), ..LoggedLine::default() };
        record.kv().serialize(record, &mut line).expect("fields that can be written");
        self.0.lock().expect("no test panics here").push(line);
        Ok(())
    }
}

impl LogRecorder {
    pub fn logger(&self) -> slog::Logger {
        slog::Logger::root(self.clone(), slog::o!())
    }

    /// The lines of an event so far.
    pub fn lines(&self, event: &str) -> Vec<LoggedLine> {
        let lines = self.0.lock().expect("no test panics here");
        lines.iter().filter(|line| line.event == event).cloned().collect()
    }

    /// Waits for the first line of an event.
    pub async fn first(&self, event: &str) -> LoggedLine {
        for _ in 0..2000 {
            if let Some(line) = self.lines(event).into_iter().next() {
                return line;
            }
            sleep(Duration::from_millis(2)).await;
        }
        panic!("no line {event}");
    }
}

/// A process with this store, and its log.
async fn logged_front(store: StaticStore) -> (FrontProcess, SocketAddr, LogRecorder) {
    let log = LogRecorder::default();
    let ports = FrontPorts {
        store: Box::new(store),
        cloud: None,
        dialer: Rc::new(TcpDialer::default()),
        clock: NodeClock::default(),
    };
    let (process, address) = front_with_log(ports, FrontBounds::default(), log.logger()).await;
    (process, address, log)
}

async fn send(address: SocketAddr, text: &str) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.expect("it listens");
    stream.write_all(text.as_bytes()).await.expect("written");
    stream
}

/// How long a connection has been idle when a stop closes it.
const SETTLED: Duration = Duration::from_millis(250);

const CUT_FIELDS: [&str; 6] = ["request", "stage", "under_way", "sent", "endpoint", "status"];

/// Guards against lines of dropped requests that do not tell of an attempt under way.
#[test]
fn a_request_whose_caller_leaves_names_the_endpoint_that_it_waited_for() {
    run(async {
        let endpoint = scripted(vec![vec![Act::AwaitClose]]).await;
        let (_process, address, log) = logged_front(static_store(&[endpoint.address])).await;
        let caller = send(address, &request("POST", "/once/a", "r1", "", "x")).await;
        while endpoint.seen.borrow().requests.is_empty() {
            tokio::task::yield_now().await;
        }

        drop(caller);
        let line = log.first("request_cut").await;

        assert_eq!(line.values(CUT_FIELDS), ["r1", "endpoint", "true", "1", "i-0", "0"]);
        assert_eq!(line.field("why"), "the caller disconnected");
        assert_eq!(line.field("rules"), "7");
    });
}

/// Guards against lines that cannot tell a request which waits for its account's charge from one at an endpoint.
#[test]
fn a_request_whose_caller_leaves_tells_that_it_waited_for_its_charge() {
    run(async {
        let endpoint = good("hello").await;
        let limited = |rules: &str| rules.replace(r#""rate-per-s":0"#, r#""rate-per-s":900"#);
        let store = static_store(&[endpoint.address]).with_rules(limited);
        let (process, address, log) = logged_front(store).await;
        let ledger = process.node.limit_exchange.lock().await;
        let caller = send(address, &request("POST", "/once/a", "r1", "", "x")).await;
        while process.node.in_flight.get() == 0 {
            tokio::task::yield_now().await;
        }

        drop(caller);
        let line = log.first("request_cut").await;
        drop(ledger);

        assert_eq!(line.values(CUT_FIELDS), ["r1", "ledger", "false", "0", "", "0"]);
    });
}

/// Guards against lines that do not tell that the caller itself did not read on.
#[test]
fn a_request_whose_caller_reads_nothing_and_leaves_tells_that_it_waited_for_the_caller() {
    run(async {
        let chunk = |id: u32| {
            let event = format!("id: {id}\ndata: {}\n\n", "x".repeat(60_000));
            Act::Say(format!("{:x}\r\n{event}\r\n", event.len()))
        };
        let head = "HTTP/1.1 200 OK\r\nX-Oleandertack-Request-Id: {id}\r\n\
             X-Oleandertack-Response-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n";
        let mut acts = vec![Act::Say(head.to_owned())];
        acts.extend((1..600).map(chunk));
        let endpoint = scripted(vec![acts]).await;
        let (_process, address, log) = logged_front(static_store(&[endpoint.address])).await;
        let caller = send(address, &request("POST", "/stream/a", "r1", "", "x")).await;
        sleep(Duration::from_millis(700)).await;

        drop(caller);
        let line = log.first("request_cut").await;

        assert_eq!(line.values(CUT_FIELDS), ["r1", "caller", "", "1", "i-0", "200"]);
    });
}

const CONNECTION_FIELDS: [&str; 5] = ["why", "part", "bytes", "first", "code"];

/// Guards against requests that vanish without a line because they were not read to their end.
#[test]
fn a_connection_that_its_caller_closes_in_a_head_is_logged() {
    run(async {
        let (_process, address, log) = logged_front(static_store(&[])).await;

        drop(send(address, "POST /once/a HT").await);
        let line = log.first("connection_cut").await;

        assert_eq!(line.values(CONNECTION_FIELDS), ["caller", "head", "15", "true", ""]);
        assert_eq!(line.field("stops"), "false");
    });
}

#[test]
fn a_connection_that_its_caller_closes_in_a_later_body_is_logged() {
    run(async {
        let endpoint = good("hello").await;
        let (_process, address, log) = logged_front(static_store(&[endpoint.address])).await;
        let whole = request("POST", "/once/a", "r1", "", "body");
        let mut caller = send(address, &whole).await;
        read_answer(&mut caller).await;
        sleep(Duration::from_millis(50)).await;

        let part = &whole[..whole.len() - 1];
        caller.write_all(part.as_bytes()).await.expect("written");
        drop(caller);
        let line = log.first("connection_cut").await;

        let bytes = part.len().to_string();
        assert_eq!(line.values(CONNECTION_FIELDS), ["caller", "body", &bytes, "false", ""]);
        let idle_ms: u64 = line.field("idle_ms").parse().expect("a time");
        assert!((45..5000).contains(&idle_ms), "{idle_ms}");
    });
}

#[test]
fn requests_that_come_too_slowly_or_are_malformed_are_logged_with_their_refusal() {
    run(async {
        let (_process, address, log) = logged_front(static_store(&[])).await;

        for text in ["POST /once/a HT", "NOT HTTP AT ALL\r\n\r\n"] {
            ask(address, text).await;
        }

        let lines = log.lines("connection_cut");
        let fields: Vec<_> = lines.iter().map(|line| line.values(CONNECTION_FIELDS)).collect();
        let expected =
            [["time", "head", "15", "true", "1023"], ["malformed", "head", "19", "true", "1022"]];
        assert_eq!(fields, expected);
    });
}

/// Guards against a log that is flooded by connections on which nothing was asked.
#[test]
fn a_connection_without_a_request_is_counted_and_not_logged() {
    run(async {
        let (process, address, log) = logged_front(static_store(&[])).await;
        let counted = r#"unused="true""#;

        drop(TcpStream::connect(address).await.expect("it listens"));
        while !process.node.meter.text().contains(counted) {
            tokio::task::yield_now().await;
        }

        let text = process.node.meter.text();
        let metric = text.lines().find(|line| line.contains(counted)).unwrap_or_default();
        assert!(
            ["connection_ends", r#"why="caller""#, r#"cut="false""#]
                .iter()
                .all(|part| metric.contains(part)),
            "{metric}"
        );
        assert!(log.lines("connection_cut").is_empty());
    });
}

/// Guards against requests that vanish without a line because they crossed the close of an idle connection.
#[test]
fn a_request_that_crosses_the_close_of_an_idle_connection_is_logged_with_its_id() {
    run(async {
        let (process, address, log) = logged_front(static_store(&[])).await;
        let mut caller = TcpStream::connect(address).await.expect("it listens");
        while process.node.connections.get() == 0 {
            tokio::task::yield_now().await;
        }
        sleep(SETTLED).await;

        process.node.stop.set(StopStage::Draining);
        process.node.close_idle.notify_waiters();
        assert_eq!(caller.read(&mut [0; 1]).await.expect("an orderly close"), 0);
        let text = request("POST", "/once/a", "r1", "", "x");
        caller.write_all(text.as_bytes()).await.expect("written");
        let line = log.first("connection_cut").await;

        let fields = line.values(["request", "why", "crossed", "stops"]);
        assert_eq!(fields, ["r1", "stop", "true", "true"]);
    });
}

/// Guards against requests that vanish without a line because they follow an answer that ends its connection.
#[test]
fn a_request_after_an_answer_that_ends_its_connection_is_logged() {
    run(async {
        let (process, address, log) = logged_front(static_store(&[])).await;
        process.node.stop.set(StopStage::Draining);
        let text = request("POST", "/once/a", "r1", "", "x");
        let mut caller = send(address, &text).await;
        let answer = read_answer(&mut caller).await;

        caller.write_all(text.as_bytes()).await.expect("written");
        drop(caller);
        let line = log.first("connection_cut").await;

        assert!(answer.has("connection: close"), "{answer:?}");
        let bytes = text.len().to_string();
        assert_eq!(line.values(["why", "bytes", "first"]), ["answered", &bytes, "false"]);
    });
}

/// Guards against requests that cannot be found by their id because their body was not read to its end.
#[test]
fn a_connection_that_ends_in_a_body_is_logged_with_the_id_of_its_request() {
    run(async {
        let (_process, address, log) = logged_front(static_store(&[])).await;
        let text = request("POST", "/once/a", "r1", "", "body");

        drop(send(address, &text[..text.len() - 1]).await);
        let line = log.first("connection_cut").await;

        assert_eq!(line.values(["request", "why", "part"]), ["r1", "caller", "body"]);
    });
}

/// Guards against a broken connection that is taken for one that its caller closed.
#[test]
fn a_connection_that_is_reset_in_a_head_is_logged_with_the_fault() {
    run(async {
        let (_process, address, log) = logged_front(static_store(&[])).await;
        let caller = send(address, "POST /once/a HT").await;
        sleep(Duration::from_millis(50)).await;

        set_reset_on_close(&caller, true).expect("a socket");
        drop(caller);
        let line = log.first("connection_cut").await;

        assert_eq!(line.values(["why", "fault"]), ["broken", "connection reset"]);
    });
}

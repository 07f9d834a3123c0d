//! Callers' connections while the operators change size limits and timeouts, in virtual time.

use crate::front::{CallerAnswer, RULES, good, read_answer, request};
use crate::plays::{ProcessGroup, play};
use oleandertack::hold::HoldRoom;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, sleep, timeout};

/// A process with an endpoint, whose limits change.
struct BoundsTest {
    group: ProcessGroup,
    version: u64,
}

impl BoundsTest {
    async fn start() -> Self {
        let group = ProcessGroup::start(1).await;
        group.remove_first_endpoints();
        let endpoint = good("hello").await;
        let entry = format!(
            r#"{{"service":"s","address":"{}","zone":"near","version":"v1","slots":6,"state":"ready","seq":1}}"#,
            endpoint.address
        );
        group.registry().put("e-0", entry);
        group.until_listed(1).await;
        BoundsTest { group, version: 7 }
    }

    /// Puts a newer version of the rules into force, with one of the limits changed.
    async fn set(&mut self, name: &str, value: u64) {
        self.version += 1;
        let rules = RULES.replace("header-timeout-ms\":300", "header-timeout-ms\":9000");
        let (before, after) = rules.split_once(name).expect("a limit of the rules");
        let rest = after.trim_start_matches(|c: char| "\":".contains(c) || c.is_ascii_digit());
        let rules = format!("{before}{name}\":{value}{rest}");
        let rules = rules.replace("\"version\":7", &format!("\"version\":{}", self.version));
        self.group.put_rules(&rules);
        self.group.until_rules(self.version).await;
    }

    async fn connect(&self) -> TcpStream {
        let address = self.group.processes[0].address();
        TcpStream::connect(address).await.expect("it listens")
    }
}

async fn write(caller: &mut TcpStream, text: &str) {
    caller.write_all(text.as_bytes()).await.expect("written");
}

/// Sends a request on a connection. One that the process has closed gives an empty answer.
async fn ask_on(caller: &mut TcpStream) -> CallerAnswer {
    let written = caller.write_all(request("POST", "/once/a", "r1", "", "x").as_bytes()).await;
    match written {
        Ok(()) => read_answer(caller).await,
        Err(_) => CallerAnswer { text: String::new(), ended: true },
    }
}

/// How long the process keeps an idle connection, up to a limit.
async fn kept_for(caller: &mut TcpStream, limit: Duration) -> Duration {
    let began = Instant::now();
    let mut scratch = [0; 16];
    let read = timeout(limit, caller.read(&mut scratch)).await;
    assert!(!matches!(read, Ok(Ok(count)) if count > 0), "an answer without a request");
    began.elapsed()
}

const SECOND: Duration = Duration::from_secs(1);

/// Guards against connections that are closed at the timeout of when they became idle, while their callers
/// already count on a longer one.
#[test]
fn an_idle_connection_is_kept_for_a_timeout_that_grows_meanwhile() {
    play(async {
        let mut test = BoundsTest::start().await;
        let mut caller = test.connect().await;
        assert_eq!(ask_on(&mut caller).await.status(), "200");

        test.set("idle-timeout-ms", 20_000).await;
        sleep(12 * SECOND).await;
        let answer = ask_on(&mut caller).await;

        assert_eq!(answer.status(), "200", "{answer:?}");
    });
}

/// Guards against connections that are closed at the timeout of when they became idle, as a longer one that their
/// callers count on was in force only meanwhile.
#[test]
fn an_idle_connection_is_kept_for_the_longest_timeout_since_it_became_idle() {
    play(async {
        let mut test = BoundsTest::start().await;
        let mut caller = test.connect().await;
        assert_eq!(ask_on(&mut caller).await.status(), "200");

        test.set("idle-timeout-ms", 20_000).await;
        test.set("idle-timeout-ms", 1000).await;
        sleep(12 * SECOND).await;
        let answer = ask_on(&mut caller).await;

        assert_eq!(answer.status(), "200", "{answer:?}");
    });
}

#[test]
fn an_idle_connection_is_closed_when_a_grown_timeout_passes() {
    play(async {
        let mut test = BoundsTest::start().await;
        let mut caller = test.connect().await;
        sleep(SECOND).await;
        test.set("idle-timeout-ms", 8000).await;

        let kept = kept_for(&mut caller, 20 * SECOND).await;

        assert!(kept > 5 * SECOND && kept < 8 * SECOND, "{kept:?}");
    });
}

/// Guards against closing a connection whose caller counts on the timeout of when it became idle.
#[test]
fn a_lowered_timeout_holds_from_the_next_answer_on() {
    play(async {
        let mut test = BoundsTest::start().await;
        let mut caller = test.connect().await;
        assert_eq!(ask_on(&mut caller).await.status(), "200");
        test.set("idle-timeout-ms", 1000).await;
        sleep(3 * SECOND).await;

        let answer = ask_on(&mut caller).await;
        let kept = kept_for(&mut caller, 20 * SECOND).await;

        assert_eq!(answer.status(), "200", "{answer:?}");
        assert!(kept > SECOND / 2 && kept < 2 * SECOND, "{kept:?}");
    });
}

/// Guards against judging a request by limits that were read before it began.
#[test]
fn a_request_on_an_idle_connection_is_judged_by_limits_that_grew_while_it_was_idle() {
    play(async {
        let mut test = BoundsTest::start().await;
        let mut caller = test.connect().await;
        sleep(SECOND / 10).await;
        test.set("max-header-bytes", 6000).await;
        let long = format!("X-Long: {}\r\n", "x".repeat(4000));

        write(&mut caller, &request("POST", "/once/a", "r1", &long, "x")).await;
        let answer = read_answer(&mut caller).await;

        assert_eq!(answer.status(), "200", "{answer:?}");
    });
}

/// A limit, its value as a request begins and while it arrives, and the length of the body.
type LimitChange = (&'static str, u64, u64, usize);

/// Sends half of a request, changes a limit, and sends the rest.
async fn ask_across((name, before, after, length): LimitChange, pause: Duration) -> CallerAnswer {
    let mut test = BoundsTest::start().await;
    test.set(name, before).await;
    let mut caller = test.connect().await;
    let text = request("POST", "/once/a", "r1", "", &"x".repeat(length));
    let half = if name.contains("header") { 100 } else { text.len() - length / 2 };
    let began = Instant::now();
    write(&mut caller, &text[..half]).await;
    sleep(SECOND / 20).await;
    test.set(name, after).await;
    let last = match name {
        "max-header-bytes" => {
            let long = format!("\r\nX-Long: {}\r\nContent", "x".repeat(3000));
            text.replace("\r\nContent", &long)
        }
        _ => text,
    };
    tokio::time::sleep_until(began + pause).await;
    // The refusal of a request may come before its last part is written.
    if caller.write_all(&last.as_bytes()[half..]).await.is_err() {
        eprintln!("{name}: the connection ended before the request was sent");
    }
    read_answer(&mut caller).await
}

/// Guards against refusing a request by limits that have grown before its end.
#[test]
fn a_request_that_arrives_while_limits_grow_is_answered() {
    for (change, pause) in [
        (("max-header-bytes", 1000, 6000, 1), SECOND),
        (("max-body-bytes", 10_000, 30_000, 20_000), SECOND),
        (("header-timeout-ms", 2000, 6000, 1), 4 * SECOND),
        (("idle-timeout-ms", 3000, 9000, 20), 6 * SECOND),
    ] {
        let answer = play(ask_across(change, pause));

        assert_eq!(answer.status(), "200", "{change:?}: {answer:?}");
    }
}

/// Guards against refusing a request by limits that were lowered after it began.
#[test]
fn a_request_that_arrives_while_limits_are_lowered_is_answered() {
    for (change, pause) in [
        (("max-header-bytes", 6000, 1000, 1), SECOND),
        (("max-body-bytes", 30_000, 10_000, 20_000), SECOND),
        (("header-timeout-ms", 6000, 1000, 1), 4 * SECOND),
        (("idle-timeout-ms", 9000, 1000, 20), 6 * SECOND),
    ] {
        let answer = play(ask_across(change, pause));

        assert_eq!(answer.status(), "200", "{change:?}: {answer:?}");
    }
}

/// Limits that grew and still do not suffice refuse a request as before.
#[test]
fn a_request_beyond_grown_limits_is_refused() {
    for (change, pause, status) in [
        (("max-header-bytes", 1000, 2000, 1), SECOND, "431"),
        (("max-body-bytes", 10_000, 15_000, 20_000), SECOND, "413"),
        (("header-timeout-ms", 2000, 3000, 1), 4 * SECOND, "408"),
        (("idle-timeout-ms", 3000, 4000, 20), 6 * SECOND, "408"),
    ] {
        let answer = play(ask_across(change, pause));

        assert_eq!(answer.status(), status, "{change:?}: {answer:?}");
    }
}

/// Guards against keeping of a body that is too long, by its head, as much as the longest one may take.
#[test]
fn a_body_that_is_too_long_by_its_head_is_not_read_on_while_limits_may_grow() {
    const LIMIT: usize = 4 << 20;
    play(async {
        let mut test = BoundsTest::start().await;
        test.set("max-body-bytes", LIMIT as u64).await;
        let mut caller = test.connect().await;
        let text = request("POST", "/once/a", "r1", "", &"x".repeat(2 * LIMIT));
        let (mut reader, mut writer) = caller.split();
        let sending = async {
            // The refusal comes before the end of the body.
            let _ = writer.write_all(text.as_bytes()).await;
            std::future::pending::<()>().await
        };
        let mut answer = [0; 12];

        let held = async {
            let mut most = 0;
            for _ in 0..5000 {
                tokio::task::yield_now().await;
                most = most.max(test.group.processes[0].node.holds.usage(HoldRoom::Large).0);
            }
            most
        };
        let held = tokio::select! {
            held = held => held,
            () = sending => 0,
        };
        reader.read_exact(&mut answer).await.expect("a refusal");

        assert!(held <= LIMIT / 8, "{held} bytes of a body that is too long");
        assert_eq!(&answer[9..], b"413");
    });
}

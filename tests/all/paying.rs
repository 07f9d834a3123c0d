//! What requests take of their account's limit, through a real process and scripted endpoints.

use crate::front::{ask, front_with, request, run, static_store};
use crate::scripted::{Act, Scripted, scripted};
use oleandertack::board::NodeClock;
use oleandertack::conf::FrontBounds;
use oleandertack::front::{FrontPorts, FrontProcess};
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::sleep;

/// Tokens that a request without a count stands for.
const TOKENS_PER_REQUEST: u64 = 200;
/// Between two looks whether the process has a ledger.
const POLL_PERIOD: Duration = Duration::from_millis(5);
const OK_ANSWER: &str = "HTTP/1.1 200 OK\r\nX-Oleandertack-Request-Id: {id}\r\n\
    X-Oleandertack-Response-Seal: seal\r\nContent-Length: 2\r\n\r\nok";
const NOT_RUN_ANSWER: &str = "HTTP/1.1 503 Full\r\nX-Oleandertack-Request-Id: {id}\r\n\
    X-Oleandertack-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

/// A process before endpoints, with an account of 100 tokens a second and a burst of 1,200: 2,000 a window.
async fn limited_front(endpoints: &[&Scripted]) -> (FrontProcess, SocketAddr) {
    let addresses: Vec<SocketAddr> = endpoints.iter().map(|endpoint| endpoint.address).collect();
    let store = static_store(&addresses).with_rules(|rules| {
        rules.replace(r#""rate-per-s":0,"burst":0"#, r#""rate-per-s":100,"burst":1200"#)
    });
    let bounds = FrontBounds { retry_slack: 100, ..FrontBounds::default() };
    let ports = FrontPorts { store: Box::new(store), cloud: None, clock: NodeClock::default() };
    let (process, address) = front_with(ports, bounds).await;
    while !process.node.mesh.borrow().has_ledger() {
        sleep(POLL_PERIOD).await;
    }
    (process, address)
}

async fn endpoint(text: &str) -> Scripted {
    scripted(vec![vec![Act::Say(text.to_owned())]]).await
}

fn spent(process: &FrontProcess) -> u64 {
    let limits = process.node.limits.borrow();
    limits.stands(process.node.clock.lease_now()).map(|(_, stand)| stand.spent).sum()
}

/// Operators see an account above its limit, by what was answered well: each answered request was paid back, as
/// none of its attempts had ended without an answer.
#[test]
fn a_request_that_was_answered_is_paid_for() {
    run(async {
        let good = endpoint(OK_ANSWER).await;
        let (process, address) = limited_front(&[&good]).await;

        for number in 0..3 {
            let text = request("POST", "/once/a", &format!("r{number}"), "", "x");
            assert_eq!(ask(address, &text).await.status(), "200");
        }

        assert_eq!(spent(&process), 3 * TOKENS_PER_REQUEST);
    });
}

/// Operators count the tokens of each attempt that runs; one that was made again after its endpoint failed counted
/// once here.
#[test]
fn a_further_attempt_is_paid_for() {
    run(async {
        let near = scripted(vec![vec![Act::Reset]]).await;
        let far = endpoint(OK_ANSWER).await;
        let (process, address) = limited_front(&[&near, &far]).await;

        let answer = ask(address, &request("GET", "/any/a", "r", "", "")).await;

        assert_eq!(answer.status(), "200");
        assert_eq!(spent(&process), 2 * TOKENS_PER_REQUEST);
    });
}

/// A caller that no endpoint took in has used nothing of its limit.
#[test]
fn a_request_that_did_not_run_is_given_back() {
    run(async {
        let full = endpoint(NOT_RUN_ANSWER).await;
        let (process, address) = limited_front(&[&full]).await;

        let answer = ask(address, &request("POST", "/once/a", "r", "", "x")).await;

        assert_eq!(answer.status(), "503");
        assert_eq!(spent(&process), 0);
    });
}

/// A caller beyond its limit is told so at once, and when to come back; nothing of it reaches an endpoint.
#[test]
fn a_request_beyond_the_limit_is_refused_with_the_time_to_come_back() {
    run(async {
        let good = endpoint(OK_ANSWER).await;
        let (_process, address) = limited_front(&[&good]).await;

        let mut statuses = Vec::new();
        for number in 0..12 {
            let answer =
                ask(address, &request("POST", "/once/a", &format!("r{number}"), "", "x")).await;
            statuses.push((answer.status().to_owned(), answer.has("retry-after")));
        }

        let refused: Vec<_> = statuses.iter().filter(|(status, _)| status == "429").collect();
        assert!((4..=8).contains(&refused.len()), "{statuses:?}");
        assert!(refused.iter().all(|(_, told)| *told), "{statuses:?}");
        assert_eq!(good.seen.borrow().requests.len(), 12 - refused.len());
    });
}

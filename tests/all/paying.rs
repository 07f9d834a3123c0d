//! Charging requests to their account's limit, through a real process and scripted endpoints.

use crate::front::{ask, front_with, request, run, static_store};
use crate::scripted::{Act, Scripted, scripted};
use oleandertack::board::NodeClock;
use oleandertack::conf::FrontBounds;
use oleandertack::front::{FrontPorts, FrontProcess};
use oleandertack::outlet::TcpDialer;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

/// Tokens charged for a request without a token count.
const TOKENS_PER_REQUEST: u64 = 200;
/// Interval of polling whether the process has a ledger.
const POLL_PERIOD: Duration = Duration::from_millis(5);
const OK_ANSWER: &str = "HTTP/1.1 200 OK\r\nX-Oleandertack-Request-Id: {id}\r\n\
    X-Oleandertack-Response-Seal: seal\r\nContent-Length: 2\r\n\r\nok";
const NOT_RUN_ANSWER: &str = "HTTP/1.1 503 Full\r\nX-Oleandertack-Request-Id: {id}\r\n\
    X-Oleandertack-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";

/// A process with these endpoints and an account of 100 tokens a second with a burst of 1,200: 2,000 in a window.
async fn limited_front(endpoints: &[&Scripted]) -> (FrontProcess, SocketAddr) {
    let addresses: Vec<SocketAddr> = endpoints.iter().map(|endpoint| endpoint.address).collect();
    let store = static_store(&addresses).with_rules(|rules| {
        rules.replace(r#""rate-per-s":0,"burst":0"#, r#""rate-per-s":100,"burst":1200"#)
    });
    let bounds = FrontBounds { retry_slack: 100, ..FrontBounds::default() };
    let ports = FrontPorts {
        store: Box::new(store),
        cloud: None,
        dialer: Rc::new(TcpDialer::default()),
        clock: NodeClock::default(),
    };
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
    limits.statuses(process.node.clock.lease_now()).map(|(_, status)| status.spent).sum()
}

/// Guards against accounts that exceed their limit: answered requests were refunded, because none of their attempts
/// had failed.
#[test]
fn an_answered_request_is_charged() {
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

/// Each attempt that may have run counts against the limit. A request that was retried after its endpoint failed was
/// charged only once.
#[test]
fn each_attempt_that_may_have_run_is_charged() {
    run(async {
        let near = scripted(vec![vec![Act::Reset]]).await;
        let far = endpoint(OK_ANSWER).await;
        let (process, address) = limited_front(&[&near, &far]).await;

        let answer = ask(address, &request("GET", "/any/a", "r", "", "")).await;

        assert_eq!(answer.status(), "200");
        assert_eq!(spent(&process), 2 * TOKENS_PER_REQUEST);
    });
}

/// A request that every endpoint refused without running it must use nothing of its account's limit.
#[test]
fn a_request_that_did_not_run_is_refunded() {
    run(async {
        let full = endpoint(NOT_RUN_ANSWER).await;
        let (process, address) = limited_front(&[&full]).await;

        let answer = ask(address, &request("POST", "/once/a", "r", "", "x")).await;

        assert_eq!(answer.status(), "503");
        assert_eq!(spent(&process), 0);
    });
}

/// A request above the limit is refused at once with a `Retry-After` time, and must not reach an endpoint.
#[test]
fn a_request_beyond_the_limit_is_refused_with_retry_after() {
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

//! Roll-outs with real front processes and endpoints of two versions, in virtual time: which
//! requests each version gets, what is written to the store, and what callers receive.

use crate::front::{request, try_ask};
use crate::plays::{EndpointRegistry, ProcessGroup, play};
use crate::scripted::read_request;
use bytes::BytesMut;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};

const PROCESSES: usize = 3;
const ENDPOINTS: usize = 4;
const SHARE: f64 = 0.1;
const SLACK: u32 = 30;
/// The time in which an order is to be decided, in seconds.
const ORDER_S: f64 = 8.0;
/// How long an endpoint takes to answer.
const RUN_TIME: Duration = Duration::from_millis(30);
/// Number of callers, each of which sends one request after the other.
const CALLERS: usize = 10;
const GAP: Duration = Duration::from_millis(10);

/// The endpoints of one version.
struct VersionFleet {
    version: &'static str,
    registry: EndpointRegistry,
    /// One in this many requests fails.
    fails_one_in: Option<u32>,
    came: Cell<u32>,
    failed: Cell<u32>,
    running: Cell<u32>,
    last_at: Cell<Option<Instant>>,
}

impl VersionFleet {
    async fn start(
        group: &ProcessGroup,
        version: &'static str,
        fails_one_in: Option<u32>,
    ) -> Rc<Self> {
        let fleet = Rc::new(VersionFleet {
            version,
            registry: group.registry(),
            fails_one_in,
            came: Cell::new(0),
            failed: Cell::new(0),
            running: Cell::new(0),
            last_at: Cell::new(None),
        });
        for number in 0..ENDPOINTS {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let address = listener.local_addr().expect("an address");
            let entry = format!(
                r#"{{"service":"s","address":"{address}","zone":"near","version":"{version}","slots":64,"state":"ready","seq":1}}"#
            );
            fleet.registry.put(&format!("{version}-{number}"), entry);
            tokio::task::spawn_local(fleet.clone().accept(listener));
        }
        fleet
    }

    async fn accept(self: Rc<Self>, listener: TcpListener) {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::task::spawn_local(self.clone().serve(stream));
        }
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        let mut buffer = BytesMut::new();
        while let Some(request) = read_request(&mut stream, &mut buffer).await {
            let id = request.header("x-oleandertack-request-id").unwrap_or_default().to_owned();
            self.came.set(self.came.get() + 1);
            self.last_at.set(Some(Instant::now()));
            let fails =
                self.fails_one_in.is_some_and(|every| self.came.get().is_multiple_of(every));
            self.failed.set(self.failed.get() + u32::from(fails));
            self.running.set(self.running.get() + 1);
            sleep(RUN_TIME).await;
            self.running.set(self.running.get() - 1);
            let status = if fails { "500 Internal Server Error" } else { "200 OK" };
            let answer = format!(
                "HTTP/1.1 {status}\r\nX-Oleandertack-Request-Id: {id}\r\n\
                 X-Oleandertack-Response-Seal: seal\r\nContent-Length: 2\r\n\r\nok"
            );
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }

    /// Removes all endpoints from the list.
    fn remove(&self) {
        (0..ENDPOINTS)
            .for_each(|number| self.registry.remove(&format!("{}-{number}", self.version)));
    }
}

/// Callers that send one request after the other.
#[derive(Default)]
struct Callers {
    addresses: RefCell<Vec<SocketAddr>>,
    asked: Cell<u32>,
    answered: Cell<u32>,
}

impl Callers {
    fn start(group: &ProcessGroup) -> Rc<Self> {
        let callers = Rc::new(Callers::default());
        let addresses = group.processes.iter().map(|process| process.address());
        *callers.addresses.borrow_mut() = addresses.collect();
        for caller in 0..CALLERS {
            tokio::task::spawn_local(callers.clone().ask_on(caller));
        }
        callers
    }

    async fn ask_on(self: Rc<Self>, caller: usize) {
        for number in 0.. {
            let body = format!("{caller} {number}");
            let text = request("POST", "/once/a", &format!("r-{caller}-{number}"), "", &body);
            let address = self.addresses.borrow()[(caller + number) % PROCESSES];
            self.asked.set(self.asked.get() + 1);
            let came = try_ask(address, &text).await;
            let is_answered = came.is_some_and(|came| came.status() == "200");
            self.answered.set(self.answered.get() + u32::from(is_answered));
            sleep(GAP).await;
        }
    }
}

struct Rollout {
    group: ProcessGroup,
    former: Rc<VersionFleet>,
    callers: Rc<Callers>,
}

impl Rollout {
    async fn start() -> Self {
        let group = ProcessGroup::start_releasing(PROCESSES, (SHARE, SLACK)).await;
        group.remove_first_endpoints();
        let former = VersionFleet::start(&group, "v1", None).await;
        group.until_listed(ENDPOINTS).await;
        let callers = Callers::start(&group);
        sleep(Duration::from_secs(1)).await;
        Rollout { group, former, callers }
    }

    /// Waits up to `seconds` for the order to reach a state; returns whether it does.
    async fn reaches_state(&self, state: &str, seconds: f64) -> bool {
        let until = Instant::now() + Duration::from_secs_f64(seconds);
        while Instant::now() < until {
            if self.group.release_status().contains(state) {
                return true;
            }
            sleep(Duration::from_millis(5)).await;
        }
        false
    }
}

/// Guards against a version that fails a third of its requests and gets full traffic the moment its
/// endpoints are listed.
#[test]
fn a_failing_version_is_rolled_back_after_a_few_requests() {
    play(async {
        let rollout = Rollout::start().await;
        let before = rollout.callers.asked.get();
        rollout.group.order_release("v2", ORDER_S);
        let tried = VersionFleet::start(&rollout.group, "v2", Some(3)).await;

        let runs = rollout.reaches_state("running", 1.0).await;
        let is_back = rollout.reaches_state("rolled_back", ORDER_S).await;
        let (came, failed) = (tried.came.get(), tried.failed.get());
        sleep(Duration::from_secs(2)).await;

        let asked = f64::from(rollout.callers.asked.get() - before);
        assert!(runs && is_back, "{}", rollout.group.release_status());
        assert!(f64::from(came) <= SHARE * asked + f64::from(SLACK), "{came} of {asked}");
        assert!(failed <= 20, "{failed} bad answers");
        // Requests in flight at the decision may still arrive.
        assert!(tried.came.get() <= came + 10, "{} after {came}", tried.came.get());
    });
}

/// Guards against a good version that never serves, and against stopping the former endpoints while
/// they run requests.
#[test]
fn a_sound_version_is_completed_when_nothing_runs_at_the_former_one() {
    play(async {
        let rollout = Rollout::start().await;
        rollout.group.order_release("v2", ORDER_S);
        let tried = VersionFleet::start(&rollout.group, "v2", None).await;

        let is_completed = rollout.reaches_state("completed", ORDER_S + 1.0).await;
        let (running, came) = (rollout.former.running.get(), rollout.former.came.get());
        rollout.former.remove();
        sleep(Duration::from_secs(2)).await;

        assert!(is_completed, "{} {}", rollout.group.release_status(), tried.came.get());
        assert_eq!((running, rollout.former.came.get()), (0, came));
        let (asked, answered) = (rollout.callers.asked.get(), rollout.callers.answered.get());
        assert!(answered + CALLERS as u32 >= asked, "{answered} of {asked}");
    });
}

/// Without an order, endpoints of another version must get requests: otherwise a service that is
/// replaced one endpoint after the other has none left.
#[test]
fn without_an_order_another_version_serves() {
    play(async {
        let rollout = Rollout::start().await;
        let other = VersionFleet::start(&rollout.group, "v2", None).await;
        sleep(Duration::from_secs(2)).await;
        let shared = other.came.get();
        rollout.former.remove();
        sleep(Duration::from_secs(2)).await;

        assert!(shared > 50, "{shared}");
        let (asked, answered) = (rollout.callers.asked.get(), rollout.callers.answered.get());
        assert!(answered + CALLERS as u32 >= asked, "{answered} of {asked}");
    });
}

/// Guards against full traffic to a version whose order was removed during the trial.
#[test]
fn a_version_whose_order_was_withdrawn_gets_nothing() {
    play(async {
        let rollout = Rollout::start().await;
        rollout.group.order_release("v2", ORDER_S);
        let tried = VersionFleet::start(&rollout.group, "v2", None).await;
        sleep(Duration::from_secs(2)).await;
        let while_ordered = tried.came.get();
        rollout.group.withdraw_release();
        sleep(Duration::from_secs(1)).await;
        let before = tried.came.get();
        sleep(Duration::from_secs(3)).await;

        assert!(while_ordered > 0);
        assert_eq!(tried.came.get(), before);
    });
}

/// Guards against refused callers after all processes were killed, because a new process knows no
/// serving version.
#[test]
fn a_restarted_process_serves_at_once() {
    play(async {
        let mut rollout = Rollout::start().await;
        let all: Vec<usize> = (0..PROCESSES).collect();

        rollout.group.kill(&all, Duration::from_secs(1)).await;
        let process = &rollout.group.processes[0];
        while !process.node.is_ready() {
            sleep(Duration::from_millis(1)).await;
        }
        let text = request("POST", "/once/a", "first", "", "first");
        let came = try_ask(process.address(), &text).await;

        assert_eq!(came.map(|came| came.status().to_owned()), Some("200".to_owned()));
    });
}

/// Guards against a version that is held since its order was withdrawn and never serves, although a
/// later order was completed.
#[test]
fn a_version_that_is_ordered_again_follows_its_new_order() {
    play(async {
        let rollout = Rollout::start().await;
        rollout.group.order_release("v2", ORDER_S);
        let tried = VersionFleet::start(&rollout.group, "v2", None).await;
        sleep(Duration::from_secs(1)).await;
        rollout.group.withdraw_release();
        sleep(Duration::from_secs(1)).await;

        rollout.group.order_release("v2", ORDER_S);
        let is_completed = rollout.reaches_state("completed", ORDER_S + 2.0).await;
        rollout.former.remove();
        sleep(Duration::from_secs(13)).await;
        let before = tried.came.get();
        sleep(Duration::from_secs(1)).await;

        assert!(is_completed, "{}", rollout.group.release_status());
        assert!(tried.came.get() > before + 50, "{} after {before}", tried.came.get());
    });
}

/// Guards against treating an order that cannot be carried out as another one: its version would
/// get requests, or a state would be written that nobody decided.
#[test]
fn an_order_without_time_is_not_carried_out_and_its_version_gets_nothing() {
    play(async {
        let rollout = Rollout::start().await;
        rollout.group.order_release("v2", 0.0);
        let tried = VersionFleet::start(&rollout.group, "v2", None).await;

        sleep(Duration::from_secs(4)).await;

        assert_eq!((tried.came.get(), rollout.group.release_status().as_str()), (0, "null"));
    });
}

/// Guards against a roll-out that stalls, or a version that exceeds its bound, because the process
/// in charge is killed.
#[test]
fn the_next_collector_continues_an_order() {
    play(async {
        let mut rollout = Rollout::start().await;
        let before = rollout.callers.asked.get();
        rollout.group.order_release("v2", ORDER_S);
        let tried = VersionFleet::start(&rollout.group, "v2", Some(3)).await;
        sleep(Duration::from_millis(300)).await;
        let collector = rollout.group.collector();
        rollout.group.kill(&[collector], Duration::from_secs(1)).await;
        let addresses = rollout.group.processes.iter().map(|process| process.address());
        *rollout.callers.addresses.borrow_mut() = addresses.collect();

        let is_back = rollout.reaches_state("rolled_back", 2.0 * ORDER_S).await;

        let asked = f64::from(rollout.callers.asked.get() - before);
        let came = f64::from(tried.came.get());
        assert!(is_back, "{}", rollout.group.release_status());
        assert!(came <= SHARE * asked + f64::from(SLACK), "{came} of {asked}");
    });
}

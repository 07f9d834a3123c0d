//! Requests that crash every endpoint that runs them and are retried at any process, in virtual
//! time.

use crate::front::{CallerAnswer, ask, request, try_ask};
use crate::mortal::{CrashingFleet, FATAL};
use crate::plays::{ProcessGroup, StoreMode, play};
use futures_util::future::join_all;
use oleandertack::kind::ResultCode;
use oleandertack::plat::FeedKind;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

const PROCESSES: usize = 5;
const ENDPOINTS: usize = 8;
/// Callers with harmless requests, each of which sends one request after the other.
const HONEST_CALLERS: usize = 12;
/// Time after the third crash within which all connected processes must know of the request.
const DETECTION_TIMEOUT: Duration = Duration::from_millis(3000);
/// How often the request may reach an endpoint after that.
const MAX_LATE_ARRIVALS: usize = 3;
/// Time within which the processes have written again what the store lost.
const REWRITE_TIME: Duration = Duration::from_secs(3);
/// Pause between two requests of an honest caller, in virtual time.
const HONEST_GAP: Duration = Duration::from_millis(10);
/// Delay before a caller without an answer retries, in virtual time.
const RETRY_DELAY: Duration = Duration::from_millis(500);

/// Front processes with endpoints behind them and honest callers at work.
struct CrashSimulation {
    group: ProcessGroup,
    fleet: Rc<CrashingFleet>,
    callers: Rc<HonestCallers>,
}

/// Responses to the callers with harmless requests.
#[derive(Default)]
struct HonestCallers {
    /// Addresses of the processes; a restarted process has a new one.
    addresses: RefCell<Vec<SocketAddr>>,
    answered: Cell<u32>,
    quarantined: Cell<u32>,
}

impl HonestCallers {
    fn note(&self, came: &CallerAnswer) {
        let count = if is_quarantined(came) { &self.quarantined } else { &self.answered };
        count.set(count.get() + u32::from(is_quarantined(came) || came.status() == "200"));
    }

    /// Sends requests with `bodies(0)`, `bodies(1)`, ..., each to the next process.
    async fn ask_on(self: Rc<Self>, caller: usize, bodies: impl Fn(usize) -> String) {
        for number in 0.. {
            let text =
                request("POST", "/once/a", &format!("h-{caller}-{number}"), "", &bodies(number));
            let address = self.addresses.borrow()[(caller + number) % PROCESSES];
            if let Some(came) = try_ask(address, &text).await {
                self.note(&came);
            }
            sleep(HONEST_GAP).await;
        }
    }
}

/// Whether a process refused the request as quarantined.
fn is_quarantined(came: &CallerAnswer) -> bool {
    came.has(&format!("\"code\":{}", ResultCode::RequestHeld.number()))
}

impl CrashSimulation {
    async fn start() -> Self {
        let group = ProcessGroup::start(PROCESSES).await;
        group.remove_first_endpoints();
        let fleet = CrashingFleet::start(group.registry(), ENDPOINTS).await;
        group.until_listed(ENDPOINTS).await;
        let simulation = CrashSimulation { group, fleet, callers: Rc::default() };
        simulation.note_addresses();
        for caller in 0..HONEST_CALLERS {
            let body = move |number| format!("honest {caller} {number}");
            tokio::task::spawn_local(simulation.callers.clone().ask_on(caller, body));
        }
        simulation
    }

    fn note_addresses(&self) {
        let addresses = self.group.processes.iter().map(|process| process.address());
        *self.callers.addresses.borrow_mut() = addresses.collect();
    }

    /// One caller sends `body` to `path` repeatedly, each time to the next process.
    async fn repeat(&self, path: &str, body: &str, times: usize) -> Vec<CallerAnswer> {
        let mut came = Vec::new();
        for number in 0..times {
            came.push(self.ask_at(number % PROCESSES, path, body).await);
            sleep(RETRY_DELAY).await;
        }
        came
    }

    async fn ask_at(&self, process: usize, path: &str, body: &str) -> CallerAnswer {
        let text = request("POST", path, "f", "", body);
        ask(self.group.processes[process].address(), &text).await
    }

    /// Kills processes and waits until they are back.
    async fn kill(&mut self, killed: &[usize]) {
        self.group.kill(killed, Duration::from_secs(1)).await;
        self.note_addresses();
        self.group.until_ready().await;
    }

    /// Sends `body` until two endpoints have ended under it.
    async fn crash_two(&self, body: &str) {
        for process in (0..PROCESSES).cycle() {
            if self.fleet.crash_time(body, 2).is_some() {
                return;
            }
            self.ask_at(process, "/once/f", body).await;
            sleep(RETRY_DELAY).await;
        }
    }

    /// Waits until the store answers a feed of the collector.
    async fn until_collector_hears(&self) {
        let node = &self.group.processes[self.group.collector()].node;
        while !node.rules_feed.get().is_served() && !node.endpoints_feed.get().is_served() {
            sleep(Duration::from_millis(1)).await;
        }
    }

    /// How many requests the store has under which two endpoints ended.
    fn stored_repeats(&self) -> usize {
        let Some(object) = self.group.stored(FeedKind::Suspects, "all") else { return 0 };
        let object: serde_json::Value = serde_json::from_slice(&object).expect("an object");
        let requests = object["requests"].as_array().expect("a list");
        let ends = |request: &serde_json::Value| request["ends"].as_array().map_or(0, Vec::len);
        requests.iter().filter(|request| ends(request) == 2).count()
    }

    /// Asserts that `body` reached endpoints no more often than allowed during the whole test.
    fn assert_bounded(&self, body: &str) {
        let third = self.fleet.crash_time(body, 3).expect("three endpoints crashed");
        let after = self.fleet.arrivals_after(body, third + DETECTION_TIMEOUT);
        let ended = self.fleet.crashes.borrow().len();
        assert!(after <= MAX_LATE_ARRIVALS, "{after} arrivals too late, {ended} endpoints crashed");
    }

    /// Asserts that the honest callers were answered and none of them was refused as quarantined.
    fn assert_honest_unharmed(&self) {
        let (answered, quarantined) = (self.callers.answered.get(), self.callers.quarantined.get());
        assert!(
            answered > 100 && quarantined == 0,
            "{answered} answered, {quarantined} quarantined"
        );
    }
}

#[test]
fn a_request_that_crashed_three_endpoints_is_refused_at_every_process() {
    // A request crashes the endpoint that runs it and breaks the answers of some honest callers.
    // Its caller gets 502 and sends it again half a second later, with another id and to the next
    // process. With the id alone no process recognizes it, and an endpoint crashes every half
    // second. The processes must recognize it by its content and share what they saw.
    play(async {
        let simulation = CrashSimulation::start().await;
        let body = format!("{FATAL} 1");

        let came = simulation.repeat("/once/f", &body, 24).await;

        simulation.assert_bounded(&body);
        simulation.assert_honest_unharmed();
        assert!(came.last().is_some_and(is_quarantined), "{came:?}");
    });
}

#[test]
fn failover_of_a_fatal_request_is_bounded() {
    // As above, on a route where a process itself fails over to another endpoint: each time the
    // caller asks, two endpoints crash within 50 ms.
    play(async {
        let simulation = CrashSimulation::start().await;
        let body = format!("{FATAL} 1");

        simulation.repeat("/any/f", &body, 12).await;

        simulation.assert_bounded(&body);
        simulation.assert_honest_unharmed();
    });
}

#[test]
fn concurrent_copies_are_quarantined_too() {
    // The same request is sent to five processes at once, again and again. All copies run before
    // anything is known of the others, and up to five endpoints crash at the same time.
    play(async {
        let simulation = CrashSimulation::start().await;
        let body = format!("{FATAL} 1");

        for _ in 0..12 {
            let copies = (0..PROCESSES).map(|process| simulation.ask_at(process, "/once/f", &body));
            join_all(copies).await;
            sleep(RETRY_DELAY).await;
        }

        simulation.assert_bounded(&body);
        simulation.assert_honest_unharmed();
    });
}

#[test]
fn crash_records_survive_a_kill_of_the_collector() {
    // The collector is killed after two endpoints crashed under a request. The next collector must
    // continue from what each process was told rather than start over.
    play(async {
        let mut simulation = CrashSimulation::start().await;
        let body = format!("{FATAL} 1");
        simulation.repeat("/once/f", &body, 2).await;
        let collector = simulation.group.collector();

        simulation.kill(&[collector]).await;
        simulation.repeat("/once/f", &body, 16).await;

        simulation.assert_bounded(&body);
        simulation.assert_honest_unharmed();
    });
}

#[test]
fn a_quarantine_survives_a_restart_of_all_processes() {
    // All processes are killed at once while a request is quarantined. Their memory is lost, and
    // the caller retries as soon as one is back: without a record in the store, three more
    // endpoints crash, and the arrivals until the processes know again exceed the bound.
    play(async {
        let mut simulation = CrashSimulation::start().await;
        let body = format!("{FATAL} 1");
        simulation.repeat("/once/f", &body, 8).await;

        for _ in 0..2 {
            simulation.kill(&[0, 1, 2, 3, 4]).await;
            sleep(DETECTION_TIMEOUT).await;
            simulation.repeat("/once/f", &body, 8).await;
        }

        simulation.assert_bounded(&body);
        simulation.assert_honest_unharmed();
    });
}

#[test]
fn a_quarantine_survives_a_store_that_lost_it_and_a_restart_of_all_processes() {
    // The store comes back without the record of a quarantined request, and a while later all
    // processes are killed at once: the record must have been written again.
    play(async {
        let mut simulation = CrashSimulation::start().await;
        let body = format!("{FATAL} 1");
        simulation.repeat("/once/f", &body, 8).await;

        simulation.group.go_back(simulation.group.copy_without(&[FeedKind::Suspects]));
        sleep(REWRITE_TIME).await;
        for _ in 0..2 {
            simulation.kill(&[0, 1, 2, 3, 4]).await;
            sleep(DETECTION_TIMEOUT).await;
            simulation.repeat("/once/f", &body, 8).await;
        }

        simulation.assert_bounded(&body);
        simulation.assert_honest_unharmed();
    });
}

#[test]
fn two_crashes_are_remembered_through_a_restart_of_all_processes() {
    // Two endpoints have crashed under a request when all processes are killed, repeatedly: the
    // third crash must still be counted together with the first two.
    play(async {
        let mut simulation = CrashSimulation::start().await;
        let body = format!("{FATAL} 1");

        for _ in 0..5 {
            simulation.repeat("/once/f", &body, 2).await;
            sleep(Duration::from_secs(1)).await;
            simulation.kill(&[0, 1, 2, 3, 4]).await;
            sleep(DETECTION_TIMEOUT).await;
        }

        simulation.assert_bounded(&body);
        simulation.assert_honest_unharmed();
    });
}

#[test]
fn single_crashes_are_remembered_through_restarts_of_all_processes() {
    // All processes are killed after each crash under a request: no process ever sees two of them.
    play(async {
        let mut simulation = CrashSimulation::start().await;
        let body = format!("{FATAL} 1");

        for _ in 0..8 {
            simulation.repeat("/once/f", &body, 1).await;
            sleep(Duration::from_secs(1)).await;
            simulation.kill(&[0, 1, 2, 3, 4]).await;
            sleep(DETECTION_TIMEOUT).await;
        }

        simulation.assert_bounded(&body);
        simulation.assert_honest_unharmed();
    });
}

#[test]
fn a_popular_request_is_not_quarantined_for_power_losses() {
    // Many callers send the same content at all processes. All endpoints lose power at once, four
    // times, while the request runs at most of them. It was answered before and is answered again,
    // so it is not the cause.
    play(async {
        let simulation = CrashSimulation::start().await;
        for caller in 0..HONEST_CALLERS {
            let same = |_| "one key".to_owned();
            tokio::task::spawn_local(simulation.callers.clone().ask_on(caller, same));
        }

        for _ in 0..4 {
            sleep(Duration::from_secs(2)).await;
            simulation.fleet.crash_all();
            sleep(Duration::from_secs(5)).await;
        }

        simulation.assert_honest_unharmed();
    });
}

/// Guards against a request that crashes more than three endpoints: two crashed while the store refused every
/// call, and all processes are killed shortly after it answers again.
#[test]
fn crashes_during_a_store_outage_are_stored_as_soon_as_it_ends() {
    /// Longer than it takes until a process finds that the store answers again.
    const RETURN_TIME: Duration = Duration::from_millis(950);
    play(async {
        let mut simulation = CrashSimulation::start().await;
        let body = format!("{FATAL} 1");

        for _ in 0..5 {
            simulation.group.set_all(StoreMode::Refused);
            simulation.repeat("/once/f", &body, 2).await;
            sleep(Duration::from_secs(4)).await;
            simulation.group.set_all(StoreMode::Served);
            sleep(RETURN_TIME).await;
            simulation.kill(&[0, 1, 2, 3, 4]).await;
            sleep(DETECTION_TIMEOUT).await;
        }

        simulation.assert_bounded(&body);
        simulation.assert_honest_unharmed();
    });
}

/// Guards against crashes that are still not stored when the store has answered for a while: the record's task had
/// been told of the return while its call failed, or waited for its next check.
#[test]
fn crashes_during_a_store_outage_are_stored_at_whatever_moment_it_ends() {
    /// For a read and a write, once the process that writes has heard from the store again.
    const WRITE_TIME: Duration = Duration::from_millis(100);
    const OUTAGES: u64 = 16;
    play(async {
        let simulation = CrashSimulation::start().await;
        sleep(DETECTION_TIMEOUT).await;
        let mut missing = Vec::new();

        for outage in 0..OUTAGES {
            let before = simulation.stored_repeats();
            simulation.group.set_all(StoreMode::Refused);
            simulation.crash_two(&format!("{FATAL} {outage}")).await;
            sleep(Duration::from_millis(3000 + 50 * outage)).await;
            simulation.group.set_all(StoreMode::Served);
            simulation.until_collector_hears().await;
            sleep(WRITE_TIME).await;
            let stored = simulation.stored_repeats() - before;
            missing.extend((stored != 1).then_some((outage, stored)));
            sleep(DETECTION_TIMEOUT).await;
        }

        assert!(missing.is_empty(), "(outage, stored): {missing:?}");
    });
}

//! Requests that end each endpoint which runs them, and come again at any process, in virtual time.

use crate::front::{Came, ask, request, try_ask};
use crate::mortal::{FATAL, MortalFleet};
use crate::plays::{ProcessGroup, play};
use futures_util::future::join_all;
use oleandertack::kind::ResultCode;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::sleep;

const PROCESSES: usize = 5;
const ENDPOINTS: usize = 8;
/// Callers whose requests harm nobody, one after the other each.
const HONEST_CALLERS: usize = 12;
/// From the third end on, so long may pass until all processes that are in touch must know.
const CONTACT: Duration = Duration::from_millis(3000);
/// Times that the request may reach an endpoint after that.
const MOST_AFTER: usize = 3;
/// Between two requests of an honest caller, in the play's own time.
const HONEST_GAP: Duration = Duration::from_millis(10);
/// Until a caller that got no answer asks again, in the play's own time.
const GAP: Duration = Duration::from_millis(500);

/// Processes before endpoints, with honest callers at work.
struct EndingPlay {
    group: ProcessGroup,
    fleet: Rc<MortalFleet>,
    callers: Rc<HonestCallers>,
}

/// What callers got whose requests harm nobody.
#[derive(Default)]
struct HonestCallers {
    /// Where they ask; processes that were killed have another address later.
    addresses: RefCell<Vec<SocketAddr>>,
    answered: Cell<u32>,
    held: Cell<u32>,
}

impl HonestCallers {
    fn note(&self, came: &Came) {
        let count = if is_held(came) { &self.held } else { &self.answered };
        count.set(count.get() + u32::from(is_held(came) || came.status() == "200"));
    }

    /// Asks with body after body, of `bodies` by number, each time at the next process.
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

/// Whether a process holds the request back.
fn is_held(came: &Came) -> bool {
    came.has(&format!("\"code\":{}", ResultCode::RequestHeld.number()))
}

impl EndingPlay {
    async fn start() -> Self {
        let group = ProcessGroup::start(PROCESSES).await;
        group.remove_first_endpoints();
        let fleet = MortalFleet::start(group.registry(), ENDPOINTS).await;
        group.until_listed(ENDPOINTS).await;
        let play = EndingPlay { group, fleet, callers: Rc::default() };
        play.note_addresses();
        for caller in 0..HONEST_CALLERS {
            let body = move |number| format!("honest {caller} {number}");
            tokio::task::spawn_local(play.callers.clone().ask_on(caller, body));
        }
        play
    }

    fn note_addresses(&self) {
        let addresses = self.group.processes.iter().map(|process| process.address());
        *self.callers.addresses.borrow_mut() = addresses.collect();
    }

    /// One caller sends `body` to `path` again and again, each time at the next process.
    async fn repeat(&self, path: &str, body: &str, times: usize) -> Vec<Came> {
        let mut came = Vec::new();
        for number in 0..times {
            came.push(self.ask_at(number % PROCESSES, path, body).await);
            sleep(GAP).await;
        }
        came
    }

    async fn ask_at(&self, process: usize, path: &str, body: &str) -> Came {
        let text = request("POST", path, "f", "", body);
        ask(self.group.processes[process].address(), &text).await
    }

    /// Kills some processes, and waits until they are back.
    async fn kill(&mut self, killed: &[usize]) {
        self.group.kill(killed, Duration::from_secs(1)).await;
        self.note_addresses();
        self.group.until_ready().await;
    }

    /// Asserts that `body` reached endpoints no more often than it may, in the whole play.
    fn assert_bounded(&self, body: &str) {
        let third = self.fleet.end_under(body, 3).expect("three endpoints ended");
        let after = self.fleet.arrivals_after(body, third + CONTACT);
        let ended = self.fleet.ends.borrow().len();
        assert!(after <= MOST_AFTER, "{after} arrivals too late, {ended} endpoints ended");
    }

    /// Asserts that callers were answered and none of them was held back.
    fn assert_honest_unharmed(&self) {
        let (answered, held) = (self.callers.answered.get(), self.callers.held.get());
        assert!(answered > 100 && held == 0, "{answered} answered, {held} held back");
    }
}

#[test]
fn a_request_that_ended_three_endpoints_is_not_sent_on_at_any_process() {
    // A caller's request ends the endpoint that runs it, and with it the answers of some honest callers. The
    // caller gets 502 and sends it again under another id, to the next process, half a second later.
    // No process has seen it before, and each sends it on: an endpoint ends every half second. Its id is all that
    // a request was known by. Now its content names it, and what the processes saw of it is joined.
    play(async {
        let play = EndingPlay::start().await;
        let body = format!("{FATAL} 1");

        let came = play.repeat("/once/f", &body, 24).await;

        play.assert_bounded(&body);
        play.assert_honest_unharmed();
        assert!(came.last().is_some_and(is_held), "{came:?}");
    });
}

#[test]
fn a_request_that_may_repeat_is_not_sent_on_by_the_process_itself() {
    // The same with a route on which a process sends a request to another endpoint once its own ended: each time
    // the caller asks, two endpoints end within 50 ms.
    play(async {
        let play = EndingPlay::start().await;
        let body = format!("{FATAL} 1");

        play.repeat("/any/f", &body, 12).await;

        play.assert_bounded(&body);
        play.assert_honest_unharmed();
    });
}

#[test]
fn copies_that_are_under_way_together_are_held_back_too() {
    // The same request is asked for at five processes at once, again and again. Each copy is under way
    // before anything can be known of the others, and up to five endpoints end in one moment.
    play(async {
        let play = EndingPlay::start().await;
        let body = format!("{FATAL} 1");

        for _ in 0..12 {
            let copies = (0..PROCESSES).map(|process| play.ask_at(process, "/once/f", &body));
            join_all(copies).await;
            sleep(GAP).await;
        }

        play.assert_bounded(&body);
        play.assert_honest_unharmed();
    });
}

#[test]
fn what_was_seen_outlives_the_collector() {
    // Two endpoints have ended under a request when the process that joins what all saw is killed. The others
    // must not begin anew: one of them joins on, from what each was told.
    play(async {
        let mut play = EndingPlay::start().await;
        let body = format!("{FATAL} 1");
        play.repeat("/once/f", &body, 2).await;
        let collector = play.group.collector();

        play.kill(&[collector]).await;
        play.repeat("/once/f", &body, 16).await;

        play.assert_bounded(&body);
        play.assert_honest_unharmed();
    });
}

#[test]
fn what_is_held_back_outlives_a_kill_of_all_processes() {
    // A request is held back when all processes are killed at once. Memory is gone, and the caller comes again
    // as soon as one is back: without a record in the store three more endpoints end, and what came since
    // the processes must know again is too much.
    play(async {
        let mut play = EndingPlay::start().await;
        let body = format!("{FATAL} 1");
        play.repeat("/once/f", &body, 8).await;

        for _ in 0..2 {
            play.kill(&[0, 1, 2, 3, 4]).await;
            sleep(CONTACT).await;
            play.repeat("/once/f", &body, 8).await;
        }

        play.assert_bounded(&body);
        play.assert_honest_unharmed();
    });
}

#[test]
fn two_ends_are_remembered_through_a_kill_of_all_processes() {
    // Two endpoints have ended under a request when all processes are killed, and that is so again and again: the
    // third end must find what was known of the first two.
    play(async {
        let mut play = EndingPlay::start().await;
        let body = format!("{FATAL} 1");

        for _ in 0..5 {
            play.repeat("/once/f", &body, 2).await;
            sleep(Duration::from_secs(1)).await;
            play.kill(&[0, 1, 2, 3, 4]).await;
            sleep(CONTACT).await;
        }

        play.assert_bounded(&body);
        play.assert_honest_unharmed();
    });
}

#[test]
fn a_request_that_many_ask_for_is_not_held_back_for_losses_of_all_endpoints() {
    // One key is asked for by many callers, with the same content each time, at all processes. All endpoints lose
    // their power at one moment, four times: each time the request ran at most of them. It was answered
    // before, and is again; so it is not what ends them.
    play(async {
        let play = EndingPlay::start().await;
        for caller in 0..HONEST_CALLERS {
            let same = |_| "one key".to_owned();
            tokio::task::spawn_local(play.callers.clone().ask_on(caller, same));
        }

        for _ in 0..4 {
            sleep(Duration::from_secs(2)).await;
            play.fleet.end_all();
            sleep(Duration::from_secs(5)).await;
        }

        play.assert_honest_unharmed();
    });
}

//! Requests that end each endpoint which runs them, and come again at any process, in virtual time.

use crate::front::{ask, request};
use crate::mortal::{FATAL, MortalFleet};
use crate::plays::{PlayGroup, play};
use std::cell::RefCell;
use std::collections::BTreeMap;
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

/// Processes before endpoints, with honest callers at work.
struct EndingPlay {
    group: PlayGroup,
    fleet: Rc<MortalFleet>,
    /// What honest callers got, by status.
    honest: Rc<RefCell<BTreeMap<String, u32>>>,
}

impl EndingPlay {
    async fn start() -> Self {
        let group = PlayGroup::start(PROCESSES).await;
        ["i-0", "i-1", "i-2"].iter().for_each(|name| group.remove(name));
        let fleet = MortalFleet::start(group.registry(), ENDPOINTS).await;
        sleep(Duration::from_secs(2)).await;
        let play = EndingPlay { group, fleet, honest: Rc::default() };
        (0..HONEST_CALLERS).for_each(|caller| play.begin_honest(caller));
        play
    }

    fn begin_honest(&self, caller: usize) {
        let addresses: Vec<_> =
            self.group.processes.iter().map(|process| process.address()).collect();
        let honest = self.honest.clone();
        tokio::task::spawn_local(async move {
            for number in 0.. {
                let body = format!("honest {caller} {number}");
                let text = request("POST", "/once/a", &format!("h-{caller}-{number}"), "", &body);
                let came = ask(addresses[(caller + number) % PROCESSES], &text).await;
                *honest.borrow_mut().entry(came.status().to_owned()).or_default() += 1;
            }
        });
    }

    /// One caller sends `body` to `path` again and again, each time at the next process, `gap` after it was
    /// answered.
    async fn repeat(&self, path: &str, body: &str, times: usize, gap: Duration) -> Vec<String> {
        let mut came = Vec::new();
        for number in 0..times {
            let process = &self.group.processes[number % PROCESSES];
            let text = request("POST", path, &format!("f-{number}"), "", body);
            came.push(ask(process.address(), &text).await.text);
            sleep(gap).await;
        }
        came
    }

    /// Asserts that `body` reached endpoints no more often than it may.
    fn assert_bounded(&self, body: &str) {
        let third = self.fleet.end_under(body, 3).expect("three endpoints ended");
        let after = self.fleet.arrivals_after(body, third + CONTACT);
        let ended = self.fleet.ends.borrow().len();
        assert!(after <= MOST_AFTER, "{after} arrivals too late, {ended} endpoints ended");
    }

    /// Asserts that no honest request was refused: each was answered, or broke with its endpoint.
    fn assert_honest_unharmed(&self) {
        let honest = self.honest.borrow();
        let refused: Vec<_> = honest
            .iter()
            .filter(|(status, _)| !["200", "502"].contains(&status.as_str()))
            .collect();
        assert!(refused.is_empty(), "{honest:?}");
    }
}

#[test]
fn a_request_that_ended_three_endpoints_is_not_sent_on_at_any_process() {
    // A caller's request ends the endpoint that runs it, and with it the answers of some honest callers. The
    // caller gets 502 and sends it again under another id, to the next process, half a second later.
    // No process has seen it before, and each sends it on: an endpoint ends every half second.
    play(async {
        let play = EndingPlay::start().await;
        let body = format!("{FATAL} 1");

        play.repeat("/once/f", &body, 24, Duration::from_millis(500)).await;

        play.assert_bounded(&body);
        play.assert_honest_unharmed();
    });
}

//! Callers whose requests are tried once each, at every process of a group.

use crate::front::{request, try_ask};
use crate::plays::ProcessGroup;
use oleandertack::kind::hash::mix_bits;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// What callers got at one process.
#[derive(Clone, Copy, Debug, Default)]
pub struct ServedCount {
    pub asked: u32,
    pub served: u32,
    /// Of these, within the objective of the callers.
    pub in_time: u32,
    /// Refused as not run, with the time to come back.
    pub refused: u32,
}

/// Callers at each process, each of whose requests is tried once.
pub struct TriedOnce {
    period: Duration,
    addresses: RefCell<Vec<SocketAddr>>,
    pub counts: RefCell<Vec<ServedCount>>,
    pub failed: RefCell<Vec<String>>,
    pub ends: Cell<bool>,
    /// How long three in ten wait for an answer; `None` if all wait.
    pub patience: Cell<Option<Duration>>,
    /// Within which time an answer is in time.
    pub objective: Cell<Duration>,
    left: RefCell<Vec<usize>>,
}

impl TriedOnce {
    /// Sends a request to each process once a `period`. The processes begin one after the other.
    pub fn start(group: &ProcessGroup, period: Duration) -> Rc<Self> {
        Self::start_after(group, period, |process| period * process as u32 / 7)
    }

    /// The same, with the processes spread over the period at random.
    pub fn start_spread(group: &ProcessGroup, period: Duration) -> Rc<Self> {
        let part = |process: usize| mix_bits(process as u64) as f64 / u64::MAX as f64;
        Self::start_after(group, period, |process| period.mul_f64(part(process)))
    }

    fn start_after(
        group: &ProcessGroup,
        period: Duration,
        begin: impl Fn(usize) -> Duration,
    ) -> Rc<Self> {
        let count = group.processes.len();
        let callers = Rc::new(TriedOnce {
            period,
            addresses: RefCell::default(),
            counts: RefCell::new(vec![ServedCount::default(); count]),
            failed: RefCell::default(),
            ends: Cell::default(),
            patience: Cell::default(),
            objective: Cell::default(),
            left: RefCell::default(),
        });
        callers.follow(group);
        for process in 0..count {
            tokio::task::spawn_local(callers.clone().send_requests(process, begin(process)));
        }
        callers
    }

    /// Uses the present addresses of the processes.
    pub fn follow(&self, group: &ProcessGroup) {
        let addresses = group.processes.iter().map(|process| process.address());
        *self.addresses.borrow_mut() = addresses.collect();
    }

    /// Sends no more to a process.
    pub fn leave(&self, process: usize) {
        self.left.borrow_mut().push(process);
    }

    /// What callers got so far, over all processes.
    pub fn total(&self) -> ServedCount {
        let add = |sum: ServedCount, one: &ServedCount| ServedCount {
            asked: sum.asked + one.asked,
            served: sum.served + one.served,
            in_time: sum.in_time + one.in_time,
            refused: sum.refused + one.refused,
        };
        self.counts.borrow().iter().fold(ServedCount::default(), add)
    }

    async fn send_requests(self: Rc<Self>, process: usize, begin: Duration) {
        sleep(begin).await;
        for number in 0_u64.. {
            if self.ends.get() || self.left.borrow().contains(&process) {
                return;
            }
            tokio::task::spawn_local(self.clone().send_request(process, number));
            sleep(self.period).await;
        }
    }

    async fn send_request(self: Rc<Self>, process: usize, number: u64) {
        let path = if number.is_multiple_of(2) { "/any/a" } else { "/once/a" };
        let text = request("POST", path, &format!("w-{process}-{number}"), "", "x");
        let address = self.addresses.borrow()[process];
        self.counts.borrow_mut()[process].asked += 1;
        let began = Instant::now();
        let answer = match self.patience.get().filter(|_| number % 10 < 3) {
            Some(patience) => timeout(patience, try_ask(address, &text)).await.ok().flatten(),
            None => try_ask(address, &text).await,
        };
        if answer.as_ref().is_some_and(|answer| answer.status() == "200") {
            let mut counts = self.counts.borrow_mut();
            counts[process].served += 1;
            counts[process].in_time += u32::from(began.elapsed() <= self.objective.get());
        } else {
            let is_refusal = answer
                .as_ref()
                .is_some_and(|answer| answer.status() == "503" && answer.has("retry-after"));
            self.counts.borrow_mut()[process].refused += u32::from(is_refusal);
            self.failed.borrow_mut().push(format!("{process}: {answer:?}"));
        }
    }
}

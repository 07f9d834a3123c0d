//! Endpoints that fall over if they have to turn away more than a few requests a second, with several
//! front processes in virtual time.

use crate::plays::{EndpointRegistry, ProcessGroup, play};
use crate::scripted::read_request;
use crate::tried_once::TriedOnce;
use bytes::BytesMut;
use oleandertack::kind::hash::mix_bits;
use oleandertack::place::RoomShare;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::{Instant, sleep, sleep_until};

/// Requests that an endpoint runs at once.
pub const SLOTS: usize = 4;
/// Requests that may wait at an endpoint.
const WAITING: usize = 4;
/// How long a request runs.
pub const RUN_TIME: Duration = Duration::from_millis(200);
/// How long an endpoint that fell over is gone.
const GONE_TIME: Duration = Duration::from_secs(4);
/// From the first brittle answer until fewer requests may wait and the endpoints may fall over.
const CONTACT_TIME: Duration = Duration::from_millis(3000);
/// How long killed processes are gone, and from one kill to the next.
const KILLED_TIME: Duration = Duration::from_millis(700);
const KILL_PERIOD: Duration = Duration::from_millis(3000);
/// Requests a second that an endpoint may have to turn away without falling over.
const REFUSALS: usize = 2;

/// An endpoint that is brittle at times.
pub struct BrittleEndpoint {
    address: SocketAddr,
    registry: EndpointRegistry,
    /// Its place among the endpoints, and how often it has started.
    place: usize,
    boots: Cell<u32>,
    is_brittle: Cell<bool>,
    may_fall: Cell<bool>,
    pub most_waiting: Cell<usize>,
    running: Cell<usize>,
    waiting: Cell<usize>,
    freed: Notify,
    refused_at: RefCell<VecDeque<Instant>>,
    falls: Cell<u32>,
    is_gone: Cell<bool>,
    fell: Notify,
}

impl BrittleEndpoint {
    /// Each start has a name of its own.
    fn name(&self) -> String {
        format!("b-{}-{}", self.place, self.boots.get())
    }

    fn enter(&self) {
        self.registry.put(&self.name(), entry_at(self.address));
    }

    fn refuse(self: &Rc<Self>) {
        let now = Instant::now();
        let mut refused_at = self.refused_at.borrow_mut();
        refused_at.push_back(now);
        refused_at.retain(|at| now - *at < Duration::from_secs(1));
        if self.may_fall.get() && refused_at.len() > REFUSALS && !self.is_gone.get() {
            refused_at.clear();
            self.falls.set(self.falls.get() + 1);
            self.end();
        }
    }

    /// Breaks everything that it runs; it starts again a while later.
    pub fn end(self: &Rc<Self>) {
        self.is_gone.set(true);
        self.fell.notify_waiters();
        let endpoint = self.clone();
        tokio::task::spawn_local(async move {
            sleep(GONE_TIME).await;
            endpoint.registry.remove(&endpoint.name());
            endpoint.boots.set(endpoint.boots.get() + 1);
            endpoint.is_gone.set(false);
            endpoint.enter();
        });
    }

    /// Runs a request; returns whether there was room for it.
    async fn run(self: &Rc<Self>) -> bool {
        if self.running.get() >= SLOTS {
            if self.waiting.get() >= self.most_waiting.get() {
                self.refuse();
                return false;
            }
            let _waits = TakenPlace::take(self, |endpoint| &endpoint.waiting);
            while self.running.get() >= SLOTS {
                self.freed.notified().await;
            }
        }
        let _runs = TakenPlace::take(self, |endpoint| &endpoint.running);
        sleep(RUN_TIME).await;
        true
    }

    async fn serve(self: Rc<Self>, mut stream: TcpStream) {
        let mut buffer = BytesMut::new();
        while let Some(request) = read_request(&mut stream, &mut buffer).await {
            let id = request.header("x-oleandertack-request-id").unwrap_or_default().to_owned();
            let meant = request.header("x-oleandertack-expect-instance").unwrap_or_default();
            if meant != self.name() {
                let answer = misdirected_answer(&id);
                if stream.write_all(answer.as_bytes()).await.is_err() {
                    return;
                }
                continue;
            }
            let has_run = self.run().await;
            let brittle = if self.is_brittle.get() {
                format!("Server-Brittle: {REFUSALS}\r\n")
            } else {
                String::new()
            };
            let (status, mark, body) = match has_run {
                true => ("200 OK", "X-Oleandertack-Response-Seal: seal", "ok"),
                false => ("503 Service Unavailable", "X-Oleandertack-Not-Executed: 1", ""),
            };
            let answer = format!(
                "HTTP/1.1 {status}\r\nX-Oleandertack-Request-Id: {id}\r\n{mark}\r\n{brittle}\
                 Content-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if stream.write_all(answer.as_bytes()).await.is_err() {
                return;
            }
        }
    }
}

/// The answer to a request that is meant for an earlier start.
fn misdirected_answer(id: &str) -> String {
    format!(
        "HTTP/1.1 421 Misdirected Request\r\nX-Oleandertack-Request-Id: {id}\r\n\
         X-Oleandertack-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
    )
}

/// A request that runs or waits at an endpoint.
struct TakenPlace {
    endpoint: Rc<BrittleEndpoint>,
    count: fn(&BrittleEndpoint) -> &Cell<usize>,
}

impl TakenPlace {
    fn take(endpoint: &Rc<BrittleEndpoint>, count: fn(&BrittleEndpoint) -> &Cell<usize>) -> Self {
        count(endpoint).set(count(endpoint).get() + 1);
        TakenPlace { endpoint: endpoint.clone(), count }
    }
}

impl Drop for TakenPlace {
    fn drop(&mut self) {
        let count = (self.count)(&self.endpoint);
        count.set(count.get() - 1);
        self.endpoint.freed.notify_one();
    }
}

async fn accept(endpoint: Rc<BrittleEndpoint>, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        if endpoint.is_gone.get() {
            continue;
        }
        let endpoint = endpoint.clone();
        tokio::task::spawn_local(async move {
            let fell = endpoint.clone();
            tokio::select! {
                () = fell.fell.notified() => {}
                () = endpoint.serve(stream) => {}
            }
        });
    }
}

fn entry_at(address: SocketAddr) -> String {
    format!(
        r#"{{"service":"s","address":"{address}","zone":"near","version":"v1","slots":{SLOTS},"state":"ready","seq":1}}"#
    )
}

pub async fn start_endpoints(
    registry: &EndpointRegistry,
    count: usize,
) -> Vec<Rc<BrittleEndpoint>> {
    let mut endpoints = Vec::new();
    for at in 0..count {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let endpoint = Rc::new(BrittleEndpoint {
            address,
            registry: registry.clone(),
            place: at,
            boots: Cell::default(),
            is_brittle: Cell::default(),
            may_fall: Cell::default(),
            most_waiting: Cell::new(WAITING),
            running: Cell::default(),
            waiting: Cell::default(),
            freed: Notify::new(),
            refused_at: RefCell::default(),
            falls: Cell::default(),
            is_gone: Cell::default(),
            fell: Notify::new(),
        });
        endpoint.enter();
        tokio::task::spawn_local(accept(endpoint.clone(), listener));
        endpoints.push(endpoint);
    }
    endpoints
}

/// What a time came to in which all endpoints were brittle.
#[derive(Debug)]
struct BrittleTime {
    asked: f64,
    served: f64,
    falls: u32,
}

/// A time in which all endpoints are brittle.
#[derive(Clone, Copy, Debug)]
struct BrittlePlay {
    processes: usize,
    endpoints: usize,
    /// Requests that come, as a part of what all endpoints can serve.
    load: f64,
    /// Endpoints that end when they may begin to fall over, and start again.
    crashed: usize,
    /// Processes that are asked to stop at that moment.
    stopped: usize,
    /// Processes that are killed at that moment and start again, others each three seconds.
    killed: usize,
    /// How long three in ten callers wait for an answer; `None` if all wait.
    patience: Option<Duration>,
    /// How long it lasts from then on.
    seconds: u64,
}

impl BrittlePlay {
    const SMALL: BrittlePlay = BrittlePlay {
        processes: 9,
        endpoints: 6,
        load: 1.5,
        crashed: 0,
        stopped: 0,
        killed: 0,
        patience: None,
        seconds: 9,
    };

    /// Requests a second that the endpoints can serve.
    fn capacity_per_s(&self) -> f64 {
        (self.endpoints * SLOTS) as f64 / RUN_TIME.as_secs_f64()
    }

    /// Requests that the endpoints could serve in the time.
    fn possible(&self) -> f64 {
        self.seconds as f64 * self.capacity_per_s()
    }

    /// Plays it with callers at every process.
    async fn play(&self) -> BrittleTime {
        let mut group = ProcessGroup::start(self.processes).await;
        group.remove_first_endpoints();
        let endpoints = start_endpoints(&group.registry(), self.endpoints).await;
        sleep(Duration::from_secs(2)).await;
        let per_s = self.load * self.capacity_per_s();
        let period = Duration::from_secs_f64(self.processes as f64 / per_s);
        let callers = TriedOnce::start(&group, period);
        callers.patience.set(self.patience);
        sleep(Duration::from_secs(4)).await;
        endpoints.iter().for_each(|endpoint| endpoint.is_brittle.set(true));
        sleep(CONTACT_TIME).await;
        endpoints.iter().for_each(|endpoint| endpoint.most_waiting.set(1));
        endpoints.iter().for_each(|endpoint| endpoint.may_fall.set(true));
        endpoints.iter().take(self.crashed).for_each(BrittleEndpoint::end);
        for process in group.processes.drain(..self.stopped) {
            tokio::task::spawn_local(process.stop());
        }
        let before = callers.total();
        let until = Instant::now() + Duration::from_secs(self.seconds);
        let mut first = 0;
        while self.killed > 0 && Instant::now() + KILL_PERIOD <= until {
            let killed = (first..first + self.killed).map(|at| at % self.processes);
            group.kill(&killed.collect::<Vec<_>>(), KILLED_TIME).await;
            callers.follow(&group);
            first += self.killed;
            sleep(KILL_PERIOD - KILLED_TIME).await;
        }
        sleep_until(until).await;
        let after = callers.total();
        callers.ends.set(true);
        BrittleTime {
            asked: f64::from(after.asked - before.asked),
            served: f64::from(after.served - before.served),
            falls: endpoints.iter().map(|endpoint| endpoint.falls.get()).sum(),
        }
    }

    fn assert_few_falls(&self, time: &BrittleTime) {
        assert!(f64::from(time.falls) <= 2.0 + 0.1 * self.endpoints as f64, "{time:?} {self:?}");
    }
}

/// Callers ask for half more than brittle endpoints can serve.
#[test]
fn brittle_endpoints_do_not_fall_over_under_overload() {
    play(async {
        let brittle_play = BrittlePlay::SMALL;

        let time = brittle_play.play().await;

        brittle_play.assert_few_falls(&time);
        assert!(time.served > 0.5 * brittle_play.possible(), "{time:?}");
    });
}

/// Callers ask for a third of what brittle endpoints can serve.
#[test]
fn brittle_endpoints_that_are_not_overloaded_serve_as_before() {
    play(async {
        let brittle_play = BrittlePlay { load: 1.0 / 3.0, ..BrittlePlay::SMALL };

        let time = brittle_play.play().await;

        brittle_play.assert_few_falls(&time);
        assert!(time.served > 0.95 * time.asked, "{time:?}");
    });
}

/// Sixty processes send to as many brittle endpoints half more than these can serve.
#[test]
fn brittle_endpoints_do_not_fall_over_under_sixty_processes() {
    play(async {
        let brittle_play = BrittlePlay { processes: 60, endpoints: 12, ..BrittlePlay::SMALL };

        let time = brittle_play.play().await;

        brittle_play.assert_few_falls(&time);
        assert!(time.served > 0.5 * brittle_play.possible(), "{time:?}");
    });
}

/// Guards against endpoints that start while their service is brittle and are taken for sturdy ones.
#[test]
fn brittle_endpoints_that_start_again_do_not_fall_over_again() {
    play(async {
        for (processes, endpoints) in [(9, 6), (60, 12)] {
            let sizes = BrittlePlay { processes, endpoints, ..BrittlePlay::SMALL };
            let brittle_play = BrittlePlay { crashed: 2, seconds: 15, ..sizes };

            let time = brittle_play.play().await;

            brittle_play.assert_few_falls(&time);
            assert!(time.served > 0.5 * brittle_play.possible(), "{time:?} {brittle_play:?}");
        }
    });
}

/// Guards against permits of stopping processes that others use while these still serve their callers.
#[test]
fn brittle_endpoints_do_not_fall_over_while_processes_stop() {
    play(async {
        let sizes = BrittlePlay { processes: 20, ..BrittlePlay::SMALL };
        let brittle_play = BrittlePlay { stopped: 8, ..sizes };

        let time = brittle_play.play().await;

        brittle_play.assert_few_falls(&time);
    });
}

/// Guards against permits that processes use as they begin anew, while others still use them.
#[test]
fn brittle_endpoints_do_not_fall_over_while_processes_are_killed() {
    play(async {
        let brittle_play = BrittlePlay { killed: 3, ..BrittlePlay::SMALL };

        let time = brittle_play.play().await;

        brittle_play.assert_few_falls(&time);
        assert!(time.served > 0.5 * brittle_play.possible(), "{time:?}");
    });
}

/// Guards against places that are given away while endpoints go on with requests whose callers left.
#[test]
fn brittle_endpoints_do_not_fall_over_under_requests_that_callers_gave_up() {
    play(async {
        for patience in [60, 120].map(Duration::from_millis) {
            let brittle_play = BrittlePlay { patience: Some(patience), ..BrittlePlay::SMALL };

            let time = brittle_play.play().await;

            brittle_play.assert_few_falls(&time);
        }
    });
}

/// Guards against requests that are refused at processes without permits while endpoints have room.
#[test]
fn a_few_brittle_endpoints_serve_the_callers_of_many_processes() {
    play(async {
        let sizes = BrittlePlay { processes: 60, endpoints: 3, ..BrittlePlay::SMALL };
        let brittle_play = BrittlePlay { load: 1.0 / 3.0, ..sizes };

        let time = brittle_play.play().await;

        brittle_play.assert_few_falls(&time);
        assert!(time.served > 0.95 * time.asked, "{time:?}");
    });
}

/// Guards against processes that together hold more or fewer permits than an endpoint has room for.
#[test]
fn permits_of_all_processes_add_up_to_the_window() {
    for sharers in [9, 60, 195] {
        let weights: Vec<u64> = (0..sharers).map(|at| mix_bits(at + 1)).collect();
        let share = |own: usize| {
            let others = weights.iter().enumerate().filter(|(at, _)| *at != own);
            RoomShare::among(Some(weights[own]), others.map(|(_, weight)| *weight))
        };
        let shares: Vec<RoomShare> = (0..weights.len()).map(share).collect();

        for window in [1, 4, 16, 48, 200] {
            let permits: u32 = shares.iter().map(|share| share.permits(window)).sum();

            assert_eq!(permits, window, "{sharers} processes");
        }
    }
}

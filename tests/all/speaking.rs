//! Endpoints that say something of themselves in their answers, for plays.

use crate::plays::EndpointRegistry;
use crate::scripted::read_request;
use bytes::BytesMut;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};

/// The header by which callers of a play name the process that they ask.
pub const WAY: &str = "x-way";
/// How long a request runs.
const RUN_TIME: Duration = Duration::from_millis(30);
/// The operators count arrivals over this time.
pub const COUNTED: Duration = Duration::from_secs(4);
/// So long after an answer its process goes by it.
const HEARD: Duration = Duration::from_millis(500);

/// A request as it reached an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct WayArrival {
    pub at: Instant,
    pub process: usize,
}

/// One endpoint, and what it says.
pub struct SpeakingEndpoint {
    pub name: String,
    /// Requests a second that it names as its limit.
    pub limit: Cell<Option<f64>>,
    /// Whether it says that it leaves.
    pub leaves: Cell<bool>,
    /// Seconds of rest for which it asks, turning all requests away.
    pub rest: Cell<Option<f64>>,
    pub arrivals: RefCell<Vec<WayArrival>>,
    /// When it first told a process its limit, by process.
    told: RefCell<HashMap<usize, Instant>>,
    /// When it first told a process that it leaves, by process.
    told_leaving: RefCell<HashMap<usize, Instant>>,
    /// Its refusals: when, to which process, and for how many seconds of rest it asked.
    refusals: RefCell<Vec<(Instant, usize, f64)>>,
}

impl SpeakingEndpoint {
    /// The most requests that came in any [`COUNTED`] time from `from` on, from processes that had been told before.
    pub fn most_from_told(&self, from: Instant) -> usize {
        let told = self.told.borrow();
        let knew =
            |came: &&WayArrival| told.get(&came.process).is_some_and(|at| came.at >= *at + HEARD);
        let arrivals = self.arrivals.borrow();
        most_in(COUNTED, arrivals.iter().filter(knew).map(|came| came.at).filter(|at| *at >= from))
    }

    /// The most requests that came in any [`COUNTED`] time from `from` on.
    pub fn most_of_all(&self, from: Instant) -> usize {
        let arrivals = self.arrivals.borrow();
        most_in(COUNTED, arrivals.iter().map(|came| came.at).filter(|at| *at >= from))
    }

    /// Requests from `from` on.
    pub fn came_from(&self, from: Instant) -> usize {
        self.arrivals.borrow().iter().filter(|came| came.at >= from).count()
    }

    /// Requests a second from `from` on.
    pub fn rate(&self, from: Instant) -> f64 {
        self.came_from(from) as f64 / from.elapsed().as_secs_f64()
    }

    /// How long after it first told a process that it leaves a request of that process reached it; the longest.
    pub fn latest_after_leaving(&self) -> Duration {
        let told = self.told_leaving.borrow();
        let late = |came: &WayArrival| Some(came.at - *told.get(&came.process)?);
        self.arrivals.borrow().iter().filter_map(late).max().unwrap_or_default()
    }

    /// How long after it first told any process that it leaves a request reached it.
    pub fn latest_after_any(&self) -> Duration {
        let first = self.told_leaving.borrow().values().min().copied();
        let last = self.arrivals.borrow().iter().map(|came| came.at).max();
        first.zip(last).map(|(first, last)| last - first).unwrap_or_default()
    }

    /// The most requests of one process between half a second after a refusal that asked it for rest, and the end of that.
    pub fn most_in_rest(&self) -> usize {
        let arrivals = self.arrivals.borrow();
        let within = |(at, process, seconds): &(Instant, usize, f64)| {
            let rest = *at + HEARD..*at + Duration::from_secs_f64(*seconds);
            let came = |came: &&WayArrival| came.process == *process && rest.contains(&came.at);
            arrivals.iter().filter(came).count()
        };
        self.refusals.borrow().iter().map(within).max().unwrap_or_default()
    }

    fn head(&self) -> String {
        let limit = self.limit.get().map(|limit| format!("Server-Limit: {limit}\r\n"));
        let leaving = self.leaves.get().then(|| "Server-Leaving: 1\r\n".to_owned());
        limit.into_iter().chain(leaving).collect()
    }
}

fn most_in(span: Duration, times: impl Iterator<Item = Instant>) -> usize {
    let times: Vec<Instant> = times.collect();
    let within = |(first, from): (usize, &Instant)| {
        times[first..].iter().take_while(|at| **at - *from < span).count()
    };
    times.iter().enumerate().map(within).max().unwrap_or_default()
}

/// Starts `count` endpoints, and puts their entries into the store.
pub async fn start_speaking(
    registry: &EndpointRegistry,
    count: usize,
) -> Vec<Rc<SpeakingEndpoint>> {
    let mut endpoints = Vec::new();
    for at in 0..count {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let endpoint = Rc::new(SpeakingEndpoint {
            name: format!("p-{at}"),
            limit: Cell::default(),
            leaves: Cell::default(),
            rest: Cell::default(),
            arrivals: RefCell::default(),
            told: RefCell::default(),
            told_leaving: RefCell::default(),
            refusals: RefCell::default(),
        });
        registry.put(&endpoint.name, entry_at(address));
        tokio::task::spawn_local(accept(endpoint.clone(), listener));
        endpoints.push(endpoint);
    }
    endpoints
}

fn entry_at(address: SocketAddr) -> String {
    format!(
        r#"{{"service":"s","address":"{address}","zone":"near","version":"v1","slots":64,"state":"ready","seq":1}}"#
    )
}

async fn accept(endpoint: Rc<SpeakingEndpoint>, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::task::spawn_local(serve(endpoint.clone(), stream));
    }
}

async fn serve(endpoint: Rc<SpeakingEndpoint>, mut stream: TcpStream) {
    let mut buffer = BytesMut::new();
    while let Some(request) = read_request(&mut stream, &mut buffer).await {
        let id = request.header("x-oleandertack-request-id").unwrap_or_default().to_owned();
        let process = request.header(WAY).and_then(|text| text.parse().ok()).unwrap_or_default();
        let arrival = WayArrival { at: Instant::now(), process };
        endpoint.arrivals.borrow_mut().push(arrival);
        if let Some(seconds) = endpoint.rest.get() {
            let refusal = format!(
                "HTTP/1.1 503 Service Unavailable\r\nX-Oleandertack-Request-Id: {id}\r\n\
                 X-Oleandertack-Not-Executed: 1\r\nRetry-After: {seconds}\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            endpoint.refusals.borrow_mut().push((Instant::now(), process, seconds));
            if stream.write_all(refusal.as_bytes()).await.is_err() {
                return;
            }
            continue;
        }
        sleep(RUN_TIME).await;
        if endpoint.leaves.get() {
            endpoint.told_leaving.borrow_mut().entry(process).or_insert_with(Instant::now);
        }
        if endpoint.limit.get().is_some() {
            endpoint.told.borrow_mut().entry(process).or_insert_with(Instant::now);
        }
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-Oleandertack-Request-Id: {id}\r\n\
             X-Oleandertack-Response-Seal: seal\r\n{}Content-Length: 2\r\n\r\nok",
            endpoint.head()
        );
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

//! Test endpoints that send signals (rate limit, leaving, backoff) in their answers.

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

/// The request header in which test callers name the process that they send to.
pub const PROCESS_HEADER: &str = "x-way";
/// How long a request runs.
const RUN_TIME: Duration = Duration::from_millis(30);
/// The window over which the operators count arrivals.
pub const COUNT_WINDOW: Duration = Duration::from_secs(4);
/// Time after an answer within which its process must apply the signal.
const APPLY_TIME: Duration = Duration::from_millis(500);

/// A request that reached an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct RequestArrival {
    pub at: Instant,
    pub process: usize,
}

/// One endpoint and the signals that it sends.
pub struct SignalEndpoint {
    pub name: String,
    /// The limit that it sends, in requests a second.
    pub limit: Cell<Option<f64>>,
    /// Whether it signals that it leaves.
    pub leaves: Cell<bool>,
    /// Seconds of backoff that it asks for; it refuses all requests then.
    pub rest: Cell<Option<f64>>,
    pub arrivals: RefCell<Vec<RequestArrival>>,
    /// When it first sent its limit to each process.
    limit_sent_at: RefCell<HashMap<usize, Instant>>,
    /// When it first signalled to each process that it leaves.
    leaving_sent_at: RefCell<HashMap<usize, Instant>>,
    /// Its refusals: when, to which process, and the seconds of backoff that it asked for.
    refusals: RefCell<Vec<(Instant, usize, f64)>>,
}

impl SignalEndpoint {
    /// The most requests in any [`COUNT_WINDOW`] from `from` on, from processes that had seen the
    /// limit before.
    pub fn most_from_informed(&self, from: Instant) -> usize {
        let limit_sent_at = self.limit_sent_at.borrow();
        let informed = |came: &&RequestArrival| {
            limit_sent_at.get(&came.process).is_some_and(|at| came.at >= *at + APPLY_TIME)
        };
        let arrivals = self.arrivals.borrow();
        most_in(
            COUNT_WINDOW,
            arrivals.iter().filter(informed).map(|came| came.at).filter(|at| *at >= from),
        )
    }

    /// The most requests in any [`COUNT_WINDOW`] from `from` on.
    pub fn most_in_window(&self, from: Instant) -> usize {
        let arrivals = self.arrivals.borrow();
        most_in(COUNT_WINDOW, arrivals.iter().map(|came| came.at).filter(|at| *at >= from))
    }

    /// Number of requests from `from` on.
    pub fn count_since(&self, from: Instant) -> usize {
        self.arrivals.borrow().iter().filter(|came| came.at >= from).count()
    }

    /// Requests a second from `from` on.
    pub fn rate(&self, from: Instant) -> f64 {
        self.count_since(from) as f64 / from.elapsed().as_secs_f64()
    }

    /// The longest time between the first leaving signal to a process and a request of that
    /// process.
    pub fn latest_after_own_notice(&self) -> Duration {
        let limit_sent_at = self.leaving_sent_at.borrow();
        let late = |came: &RequestArrival| Some(came.at - *limit_sent_at.get(&came.process)?);
        self.arrivals.borrow().iter().filter_map(late).max().unwrap_or_default()
    }

    /// The time between the first leaving signal to any process and the last request.
    pub fn latest_after_any_notice(&self) -> Duration {
        let first = self.leaving_sent_at.borrow().values().min().copied();
        let last = self.arrivals.borrow().iter().map(|came| came.at).max();
        first.zip(last).map(|(first, last)| last - first).unwrap_or_default()
    }

    /// The most requests of one process between half a second after a refusal that asked it for a
    /// backoff and the end of that backoff.
    pub fn most_in_backoff(&self) -> usize {
        let arrivals = self.arrivals.borrow();
        let within = |(at, process, seconds): &(Instant, usize, f64)| {
            let rest = *at + APPLY_TIME..*at + Duration::from_secs_f64(*seconds);
            let came = |came: &&RequestArrival| came.process == *process && rest.contains(&came.at);
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

/// Starts `count` endpoints and puts their entries into the store.
pub async fn start_signal_endpoints(
    registry: &EndpointRegistry,
    count: usize,
) -> Vec<Rc<SignalEndpoint>> {
    let mut endpoints = Vec::new();
    for at in 0..count {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let endpoint = Rc::new(SignalEndpoint {
            name: format!("p-{at}"),
            limit: Cell::default(),
            leaves: Cell::default(),
            rest: Cell::default(),
            arrivals: RefCell::default(),
            limit_sent_at: RefCell::default(),
            leaving_sent_at: RefCell::default(),
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

async fn accept(endpoint: Rc<SignalEndpoint>, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::task::spawn_local(serve(endpoint.clone(), stream));
    }
}

async fn serve(endpoint: Rc<SignalEndpoint>, mut stream: TcpStream) {
    let mut buffer = BytesMut::new();
    while let Some(request) = read_request(&mut stream, &mut buffer).await {
        let id = request.header("x-oleandertack-request-id").unwrap_or_default().to_owned();
        let process =
            request.header(PROCESS_HEADER).and_then(|text| text.parse().ok()).unwrap_or_default();
        let arrival = RequestArrival { at: Instant::now(), process };
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
            endpoint.leaving_sent_at.borrow_mut().entry(process).or_insert_with(Instant::now);
        }
        if endpoint.limit.get().is_some() {
            endpoint.limit_sent_at.borrow_mut().entry(process).or_insert_with(Instant::now);
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

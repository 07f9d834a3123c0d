//! Test endpoints that crash under certain requests and restart under another name.

use crate::plays::EndpointRegistry;
use crate::scripted::read_request;
use bytes::BytesMut;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// A body with this prefix crashes the endpoint that runs it.
pub const FATAL: &str = "fatal";
/// How long a fatal request runs until its endpoint crashes.
const FATAL_TIME: Duration = Duration::from_millis(40);
/// How long any other request runs.
const RUN_TIME: Duration = Duration::from_millis(300);
/// Time until the registry entry of a crashed endpoint expires.
const LAPSE_TIME: Duration = Duration::from_millis(2200);
/// Time until a replacement starts.
const RETURN_TIME: Duration = Duration::from_millis(3000);

/// A request as an endpoint received it.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at: Instant,
    pub body: String,
}

/// The endpoints of one service.
pub struct CrashingFleet {
    registry: EndpointRegistry,
    begun: Cell<u32>,
    living: RefCell<Vec<Rc<Life>>>,
    pub arrivals: RefCell<Vec<Arrival>>,
    /// When each endpoint crashed, and which requests it was running.
    pub ends: RefCell<Vec<(Instant, Vec<String>)>>,
}

struct Life {
    name: String,
    fleet: Rc<CrashingFleet>,
    tasks: RefCell<Vec<JoinHandle<()>>>,
    running: RefCell<Vec<String>>,
}

impl CrashingFleet {
    /// Starts `count` endpoints.
    pub async fn start(registry: EndpointRegistry, count: usize) -> Rc<Self> {
        let fleet = Rc::new(CrashingFleet {
            registry,
            begun: Cell::new(0),
            living: RefCell::default(),
            arrivals: RefCell::default(),
            ends: RefCell::default(),
        });
        for _ in 0..count {
            fleet.begin_life().await;
        }
        fleet
    }

    async fn begin_life(self: &Rc<Self>) {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
        let address = listener.local_addr().expect("an address");
        let number = self.begun.replace(self.begun.get() + 1);
        let life = Rc::new(Life {
            name: format!("m-{number}"),
            fleet: self.clone(),
            tasks: RefCell::default(),
            running: RefCell::default(),
        });
        self.registry.put(&life.name, entry_at(address));
        let accepting = accept(life.clone(), listener);
        life.tasks.borrow_mut().push(tokio::task::spawn_local(accepting));
        self.living.borrow_mut().push(life);
    }

    /// Crashes all endpoints at once, as a loss of power does.
    pub fn end_all(&self) {
        let living = self.living.borrow().clone();
        living.iter().for_each(end);
    }

    /// When the `count`-th endpoint crashed while it ran `body`.
    pub fn end_under(&self, body: &str, count: usize) -> Option<Instant> {
        let ends = self.ends.borrow();
        let under = ends.iter().filter(|(_, running)| running.iter().any(|other| other == body));
        under.map(|(at, _)| *at).nth(count - 1)
    }

    /// How often `body` reached endpoints after `from`.
    pub fn arrivals_after(&self, body: &str, from: Instant) -> usize {
        let arrivals = self.arrivals.borrow();
        arrivals.iter().filter(|came| came.body == body && came.at > from).count()
    }
}

fn entry_at(address: SocketAddr) -> String {
    format!(
        r#"{{"service":"s","address":"{address}","zone":"near","version":"v1","slots":64,"state":"ready","seq":1}}"#
    )
}

async fn accept(life: Rc<Life>, listener: TcpListener) {
    while let Ok((stream, _)) = listener.accept().await {
        let serving = tokio::task::spawn_local(serve(life.clone(), stream));
        life.tasks.borrow_mut().push(serving);
    }
}

async fn serve(life: Rc<Life>, mut stream: TcpStream) {
    let mut buffer = BytesMut::new();
    while let Some(request) = read_request(&mut stream, &mut buffer).await {
        let id = request.header("x-oleandertack-request-id").unwrap_or_default().to_owned();
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let arrival = Arrival { at: Instant::now(), body: body.clone() };
        life.fleet.arrivals.borrow_mut().push(arrival);
        life.running.borrow_mut().push(body.clone());
        if body.starts_with(FATAL) {
            sleep(FATAL_TIME).await;
            return end(&life);
        }
        sleep(RUN_TIME).await;
        life.running.borrow_mut().retain(|other| *other != body);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-Oleandertack-Request-Id: {id}\r\n\
             X-Oleandertack-Response-Seal: seal\r\nContent-Length: 2\r\n\r\nok"
        );
        if stream.write_all(answer.as_bytes()).await.is_err() {
            return;
        }
    }
}

/// Crashes an endpoint: its port closes and all its connections break at once.
fn end(life: &Rc<Life>) {
    let running = life.running.take();
    life.fleet.ends.borrow_mut().push((Instant::now(), running));
    let (fleet, name) = (life.fleet.clone(), life.name.clone());
    fleet.living.borrow_mut().retain(|other| other.name != name);
    tokio::task::spawn_local(async move {
        sleep(LAPSE_TIME).await;
        fleet.registry.remove(&name);
        sleep(RETURN_TIME - LAPSE_TIME).await;
        fleet.begin_life().await;
    });
    life.tasks.take().iter().for_each(JoinHandle::abort);
}

//! Serves an actix-web application on one thread, with a stop that the owner controls.
//!
//! `HttpServer` runs applications on worker threads of its own. Our processes run on small
//! instances and keep their state in one thread, without locks; and a planned stop must first
//! withdraw readiness, then stop accepting, then let every connection finish. So the accept loop is
//! here, and everything else is the libraries'.

use crate::places::{BusyConnection, ConnectionFact, ConnectionPlace, ConnectionPlaces};
use actix_http::{HttpService, KeepAlive, Request, Response};
use actix_rt::net::TcpStream;
use actix_service::{IntoServiceFactory, Service, ServiceFactory, apply_fn_factory, map_config};
use actix_web::body::MessageBody;
use actix_web::dev::AppConfig;
use actix_web::web::Data;
use std::cell::{Cell, RefCell};
use std::fmt::Debug;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, JoinSet};

mod places;

pub use places::ReadingBody;

/// Time until the next try to accept a connection after one failed.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// How long an idle connection is kept.
pub(crate) const KEEP_ALIVE: Duration = Duration::from_secs(75);
/// How long the head of a request may take to arrive.
const HEAD_LIMIT: Duration = Duration::from_secs(10);

/// Application data for handlers of one thread.
///
/// actix-web keeps its data in an `Arc`, because its own server shares it among threads. Here one
/// thread serves everything, so what is inside need not be `Send`.
pub fn local_data<T: 'static>(data: Rc<T>) -> Data<Rc<T>> {
    Data::from(Arc::new(data))
}

/// One listening application.
pub struct HttpSite {
    address: SocketAddr,
    open: Rc<Cell<usize>>,
    connections: Rc<RefCell<JoinSet<()>>>,
    accepting: JoinHandle<()>,
}

impl HttpSite {
    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// How many connections are open.
    pub fn open_connections(&self) -> usize {
        self.open.get()
    }

    /// Stops accepting; open connections go on.
    pub fn close_listener(&self) {
        self.accepting.abort();
    }

    /// Cuts everything, as the end of an instance does.
    pub fn cut(&self) {
        self.accepting.abort();
        self.connections.borrow_mut().abort_all();
    }
}

impl Drop for HttpSite {
    fn drop(&mut self) {
        self.cut();
    }
}

struct OpenGuard(Rc<Cell<usize>>);

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get().saturating_sub(1));
    }
}

/// Listens at `address` (port 0: any free one) and serves `app` on this thread.
///
/// # Errors
/// The system's error if it cannot listen there.
pub async fn serve_app<I, S, B>(address: SocketAddr, app: I) -> std::io::Result<HttpSite>
where
    I: IntoServiceFactory<S, Request>,
    S: ServiceFactory<Request, Config = AppConfig, InitError = ()> + 'static,
    S::Error: Into<Response<actix_http::body::BoxBody>> + Debug + 'static,
    S::Response: Into<Response<B>> + 'static,
    S::Service: 'static,
    B: MessageBody + 'static,
{
    serve_callers(address, app, usize::MAX).await
}

/// As [`serve_app`], with so many connections at most, and one more while another gives way for it: first those on which
/// nothing was sent for a while, then those that rest longest after an answer, and at last those whose body makes least
/// progress ([`ReadingBody`]). If a request is under way on all, further ones wait in the queue of the socket.
///
/// # Errors
/// The system's error if it cannot listen there.
pub async fn serve_callers<I, S, B>(
    address: SocketAddr,
    app: I,
    most_connections: usize,
) -> std::io::Result<HttpSite>
where
    I: IntoServiceFactory<S, Request>,
    S: ServiceFactory<Request, Config = AppConfig, InitError = ()> + 'static,
    S::Error: Into<Response<actix_http::body::BoxBody>> + Debug + 'static,
    S::Response: Into<Response<B>> + 'static,
    S::Service: 'static,
    B: MessageBody + 'static,
{
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let app = apply_fn_factory(map_config(app, |()| AppConfig::default()), |request, service| {
        let busy = BusyConnection::begin(&request);
        let answering = service.call(request);
        async move {
            let answer: Response<B> = answering.await?.into();
            busy.answered(answer.body().size());
            Ok::<_, S::Error>(answer)
        }
    });
    // The library hands a connection's data to its requests, but takes them from the stream alone.
    let opening = Rc::<RefCell<Option<Rc<ConnectionFact>>>>::default();
    let opened = opening.clone();
    let factory = HttpService::build()
        .keep_alive(KeepAlive::Timeout(KEEP_ALIVE))
        .client_request_timeout(HEAD_LIMIT)
        .on_connect_ext(move |_: &TcpStream, data| {
            if let Some(fact) = opened.borrow_mut().take() {
                data.insert(fact);
            }
        })
        .h1(app)
        .tcp();
    let made = factory.new_service(()).await;
    let service = Rc::new(made.map_err(|()| std::io::Error::other("the application failed"))?);
    let open = Rc::new(Cell::new(0));
    let connections = Rc::new(RefCell::new(JoinSet::new()));
    let accepting = {
        let open = open.clone();
        let connections = connections.clone();
        actix_rt::spawn(async move {
            let places = Rc::new(ConnectionPlaces::new(most_connections));
            loop {
                places.until_within().await;
                let Ok((stream, _)) = listener.accept().await else {
                    // Most likely the process is out of descriptors. The caller waits in the queue of the socket.
                    actix_rt::time::sleep(ACCEPT_PAUSE).await;
                    continue;
                };
                let _ = stream.set_nodelay(true);
                let guard = open_guard(&open);
                let place = places.take();
                let serving =
                    serve_connection(service.clone(), stream, (guard, place), opening.clone());
                let mut set = connections.borrow_mut();
                while set.try_join_next().is_some() {}
                set.spawn_local(serving);
            }
        })
    };
    Ok(HttpSite { address, open, connections, accepting })
}

fn open_guard(open: &Rc<Cell<usize>>) -> OpenGuard {
    open.set(open.get() + 1);
    OpenGuard(open.clone())
}

async fn serve_connection<S>(
    service: Rc<S>,
    stream: TcpStream,
    (guard, place): (OpenGuard, ConnectionPlace),
    opening: Rc<RefCell<Option<Rc<ConnectionFact>>>>,
) where
    S: Service<TcpStream>,
{
    let serving = async {
        if place.until_used(&stream).await {
            *opening.borrow_mut() = Some(place.fact.clone());
            let _ = service.call(stream).await;
        }
    };
    tokio::select! {
        biased;
        () = serving => {}
        () = place.until_leaving() => {}
    }
    drop((guard, place));
}

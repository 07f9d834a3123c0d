//! Starts a front process, and stops it without cutting requests.

use crate::events::event;
use crate::node::FrontNode;
use crate::port::PlatformDialect;
use crate::reload::SettingsFile;
use crate::suspect_store::SuspectStore;
use crate::window_store::WindowStore;
use crate::{admin, discover, duties, feeds, ingress, kept, limits, mesh, origins, paths, reload};
use actix_web::{App, HttpResponse, web};
use oleander_board::{NodeClock, StopStage};
use oleander_conf::FrontSettings;
use oleander_kind::{InstanceId, TimeSpan};
use oleander_mesh::MeshBody;
use oleander_outlet::{EndpointDialer, listen_socket};
use oleander_plat::{DutyPort, FeedStore};
use oleander_serve::{HttpSite, local_data, serve_app};
use oleander_wire::{PeerHandler, PeerHub, PeerListener, serve_peers};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::Instant;

/// The path of the load balancer's readiness check.
const READY_PATH: &str = "/-/ready";
/// Time for the load balancer to notice that this process is not ready: it checks once a second and
/// needs two failures.
const BALANCER_NOTICE_TIME: Duration = Duration::from_millis(2600);
/// Interval between checks for remaining requests.
const POLL_PERIOD: Duration = Duration::from_millis(20);
/// How long refusals to the requests that the grace time cuts may take.
const LAST_ANSWERS_TIME: Duration = Duration::from_millis(100);
/// Reserved part of the grace time for the exit of the process itself.
const SHUTDOWN_MARGIN: Duration = Duration::from_millis(300);
/// Interval between removals of outdated state.
const SWEEP_PERIOD: TimeSpan = TimeSpan(2000);

/// A running front process.
pub struct FrontProcess {
    /// Its shared state.
    pub node: Rc<FrontNode>,
    address: SocketAddr,
    _ready: HttpSite,
    _admin: HttpSite,
    _peers: PeerListener,
    accepting: JoinHandle<()>,
    tasks: Vec<JoinHandle<()>>,
}

/// The platform interfaces and the clocks of a front process.
pub struct FrontPorts {
    /// The store.
    pub store: Box<dyn FeedStore>,
    /// The cloud, if there is control work to do.
    pub cloud: Option<Rc<dyn DutyPort>>,
    /// Opens connections to endpoints.
    pub dialer: Rc<dyn EndpointDialer>,
    /// The clocks.
    pub clock: NodeClock,
}

/// Starts a front process; `file` is the settings file to follow.
///
/// # Errors
/// Returns the error of the system if it cannot listen on one of its addresses.
pub async fn start_front(
    settings: FrontSettings,
    log: slog::Logger,
    dialect: Box<dyn PlatformDialect>,
    ports: FrontPorts,
    file: Option<SettingsFile>,
) -> std::io::Result<FrontProcess> {
    let callers = listen_socket(settings.listen)?;
    let address = callers.local_addr()?;
    let peers = listen_socket(settings.peer)?;
    let node = FrontNode::new(settings, log, dialect, (ports.store, ports.dialer), ports.clock);
    let caller_address = match address.ip().is_unspecified() {
        true => SocketAddr::new(node.settings.peer.ip(), address.port()),
        false => address,
    };
    node.mesh.borrow_mut().view.set_caller_address(caller_address);
    let traffic = node.traffic.clone();
    let hub = actix::Actor::start(PeerHub::<MeshBody>::new(traffic.clone()));
    if node.peers.set(hub.clone()).is_err() {
        event!(node, InternalFault; "fault" => "the peer connections are already set up");
    }
    let handler: Rc<dyn PeerHandler<MeshBody>> = Rc::new(mesh::MeshPeers(node.clone()));
    let peers = serve_peers(peers, handler, traffic)?;
    let app = App::new().app_data(local_data(node.clone())).route(READY_PATH, web::get().to(ready));
    let ready = serve_app(node.settings.ready, app).await?;
    let pages = App::new().app_data(local_data(node.clone())).configure(admin::configure);
    let admin = serve_app(node.settings.admin, pages).await?;
    let mut tasks = vec![
        actix_rt::spawn(feeds::follow_rules(node.clone())),
        actix_rt::spawn(feeds::follow_endpoints(node.clone())),
        actix_rt::spawn(sweep(node.clone())),
        actix_rt::spawn(limits::log_limits(node.clone())),
        actix_rt::spawn(mesh::run_reports(node.clone(), hub)),
        actix_rt::spawn(discover::run_discovery(node.clone())),
        actix_rt::spawn(origins::run_sender(node.clone())),
        actix_rt::spawn(kept::sync_record(node.clone(), SuspectStore)),
        actix_rt::spawn(kept::sync_record(node.clone(), WindowStore::default())),
        actix_rt::spawn(kept::sync_record(node.clone(), origins::OriginStore)),
    ];
    let accepting = actix_rt::spawn(ingress::accept_callers(node.clone(), callers));
    if let Some(file) = file {
        tasks.push(actix_rt::spawn(reload::follow_settings(node.clone(), file)));
    }
    if let Some(cloud) = ports.cloud {
        tasks.push(actix_rt::spawn(duties::run_duties(node.clone(), cloud)));
    }
    event!(node, ProcessStarted; "listen" => node.settings.listen.to_string());
    Ok(FrontProcess {
        node,
        address,
        _ready: ready,
        _admin: admin,
        _peers: peers,
        accepting,
        tasks,
    })
}

async fn ready(node: web::Data<Rc<FrontNode>>) -> HttpResponse {
    if node.is_ready() {
        HttpResponse::Ok().finish()
    } else {
        HttpResponse::ServiceUnavailable().finish()
    }
}

async fn sweep(node: Rc<FrontNode>) {
    loop {
        actix_rt::time::sleep(SWEEP_PERIOD.duration()).await;
        node.prefixes.borrow_mut().sweep(node.clock.now());
        sweep_links(&node);
        paths::sweep(&node);
        node.origins.borrow_mut().book.sweep(node.clock.now());
    }
}

fn sweep_links(node: &FrontNode) {
    let endpoints = node.endpoints.borrow();
    node.pool.borrow_mut().sweep(|instance| endpoints.key(instance).is_some());
    let mesh = node.mesh.borrow();
    let is_member = |id: &InstanceId| mesh.view.others().any(|member| member.id == *id);
    node.relays.borrow_mut().sweep(is_member);
}

/// Ends the process abruptly: requests are not finished, and other processes are not informed.
impl Drop for FrontProcess {
    fn drop(&mut self) {
        self.accepting.abort();
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl FrontProcess {
    /// The address that serves callers.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops in order: readiness, idle connections, remaining requests.
    ///
    /// The load balancer is informed first, and callers are served until it has noticed; each
    /// answer asks its caller to open its next connection elsewhere. Connections that are idle
    /// after that are closed, and requests under way are finished. The process ends when no connection
    /// of a caller is open; requests that the grace time cuts are refused, if they have no answer yet.
    pub async fn stop(self) {
        let node = &self.node;
        let grace = Duration::from_secs_f64(node.bounds().grace_s);
        let until = Instant::now() + grace.saturating_sub(SHUTDOWN_MARGIN);
        event!(node, ProcessLeaving; "in_flight" => node.in_flight.get());
        node.stop.set(StopStage::Unready);
        node.mesh.borrow_mut().view.leave();
        origins::hand_over(node);
        tokio::time::sleep(BALANCER_NOTICE_TIME).await;
        node.stop.set(StopStage::Draining);
        self.close_connections(until).await;
        let left = node.in_flight.get();
        node.stop.set(StopStage::Stopped);
        self.close_connections(Instant::now() + LAST_ANSWERS_TIME).await;
        self.tasks.iter().for_each(JoinHandle::abort);
        event!(node, ProcessStopped; "left" => left);
    }

    /// Closes idle connections until no connection of a caller is open.
    async fn close_connections(&self, until: Instant) {
        let node = &self.node;
        let is_open = || node.connections.get() > 0 || !self.accepting.is_finished();
        while is_open() && Instant::now() < until {
            node.close_idle.notify_waiters();
            tokio::time::sleep(POLL_PERIOD).await;
        }
    }
}

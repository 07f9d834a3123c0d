//! Starts an entry, and stops it without cutting anything.

use crate::node::EntryNode;
use crate::steps::StepHook;
use crate::{admin, again, chat, lists, loads, peers, plain, shadow, spread};
use actix_web::{App, web};
use oleander_board::StopStage;
use oleander_conf::EntrySettings;
use oleander_hold::HoldBounds;
use oleander_kind::TimeSpan;
use oleander_serve::{HttpSite, local_data, serve_app, serve_callers};
use oleander_wire::{PeerHandler, PeerListener, bind_peer_listener, serve_peers};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::task::JoinHandle;

/// The longest wait for what is left after streams were handed over. Only calls that may not be
/// repeated are left then; cutting one would leave its caller in doubt.
const LAST_WAIT: TimeSpan = TimeSpan(60_000);
/// Between two looks at what is left.
const LOOK_PAUSE: TimeSpan = TimeSpan(20);
/// How long callers may take to read the last bytes.
const FLUSH_WAIT: TimeSpan = TimeSpan(2000);

/// A running entry.
pub struct EntryProcess {
    /// Its parts.
    pub node: Rc<EntryNode>,
    callers: HttpSite,
    admin: HttpSite,
    peers: PeerListener,
    tasks: Vec<JoinHandle<()>>,
}

/// Starts an entry.
///
/// # Errors
/// The system's, if it cannot listen at one of its addresses.
pub async fn start_entry(
    settings: EntrySettings,
    log: slog::Logger,
) -> std::io::Result<EntryProcess> {
    start_entry_with(settings, log, None).await
}

/// Starts an entry with a test's hook.
///
/// # Errors
/// As [`start_entry`].
pub async fn start_entry_with(
    mut settings: EntrySettings,
    log: slog::Logger,
    hook: Option<StepHook>,
) -> std::io::Result<EntryProcess> {
    // Bound first: peers are told the address that was really taken.
    let peer_listener = bind_peer_listener(settings.peer).await?;
    settings.peer = peer_listener.local_addr()?;
    let node = EntryNode::new(settings, log, hook);
    let data = local_data(node.clone());
    let admin = serve_app(
        node.settings.admin,
        App::new().app_data(data.clone()).configure(admin::configure),
    )
    .await?;
    let handler: Rc<dyn PeerHandler> = Rc::new(peers::NodePeers(node.clone()));
    let peers = serve_peers(peer_listener, handler, node.traffic.clone())?;
    let app = App::new()
        .app_data(data)
        .route(chat::CHAT_PATH, web::post().to(chat::chat))
        .route("/v1/requests/{id}", web::get().to(again::again))
        .default_service(web::to(plain::plain));
    let connections = HoldBounds::of_machine(usize::MAX, node.settings.descriptors).connections;
    let callers = serve_callers(node.settings.listen, app, connections).await?;
    let tasks = vec![
        actix_rt::spawn(spread::watch_bundles(node.clone())),
        actix_rt::spawn(lists::read_lists(node.clone())),
        actix_rt::spawn(loads::follow_loads(node.clone())),
        actix_rt::spawn(peers::member_period(node.clone())),
    ];
    slog::info!(node.log, "the entry has started"; "listen" => callers.address().to_string());
    Ok(EntryProcess { node, callers, admin, peers, tasks })
}

impl EntryProcess {
    /// Where callers are served.
    pub fn address(&self) -> SocketAddr {
        self.callers.address()
    }

    /// Where operators are served.
    pub fn admin_address(&self) -> SocketAddr {
        self.admin.address()
    }

    /// Where peers connect.
    pub fn peer_address(&self) -> SocketAddr {
        self.peers.address()
    }

    /// Stops in order: readiness, membership, listener, streams, the rest, links.
    ///
    /// The balancer and the peers learn first, so that nobody sends anything to a closed door.
    /// Streams get the drain time to finish here; the others are handed over, and only then their
    /// callers are sent away. What may not be handed over is waited for.
    pub async fn stop(self) {
        let node = &self.node;
        let times = &node.settings.times;
        slog::info!(node.log, "the entry is leaving");
        node.board.borrow_mut().stop = StopStage::Unready;
        peers::tell_own_leaving(node).await;
        actix_rt::time::sleep(TimeSpan(times.unready_ms).duration()).await;
        node.board.borrow_mut().stop = StopStage::Draining;
        self.callers.close_listener();
        wait_idle(node, TimeSpan(times.drain_ms)).await;
        let moved = shadow::hand_over(node).await;
        let passed = shadow::pass_on_held(node).await;
        slog::info!(node.log, "requests were handed over"; "moved" => moved, "passed" => passed);
        wait_idle(node, LAST_WAIT).await;
        self.wait_flushed().await;
        node.board.borrow_mut().stop = StopStage::Stopped;
        node.meter.flush();
        self.tasks.iter().for_each(JoinHandle::abort);
        slog::info!(node.log, "the entry has stopped"; "left" => node.book.borrow().live_count());
    }

    async fn wait_flushed(&self) {
        let mut waited = TimeSpan(0);
        while self.callers.open_connections() > 0 && waited < FLUSH_WAIT {
            actix_rt::time::sleep(LOOK_PAUSE.duration()).await;
            waited = TimeSpan(waited.0 + LOOK_PAUSE.0);
        }
    }
}

async fn wait_idle(node: &EntryNode, limit: TimeSpan) {
    let until = node.clock.now() + limit;
    while node.book.borrow().live_count() > 0 && node.clock.now() < until {
        actix_rt::time::sleep(LOOK_PAUSE.duration()).await;
    }
}

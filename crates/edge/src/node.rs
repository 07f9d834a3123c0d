//! One entry process: what its parts share.

use crate::book::RequestBook;
use crate::claims::ClaimDesk;
use crate::steps::{EntryStep, StepHook};
use actix::Addr;
use awc::Client;
use compact_str::CompactString;
use oleander_board::NodeClock;
use oleander_board::{Blackboard, NodeMeter};
use oleander_bundle::{BundleGate, SignPolicy, SignedBundle};
use oleander_conf::EntrySettings;
use oleander_flow::{BudgetSettings, RetryBudget};
use oleander_hold::{HoldBounds, HoldDesk};
use oleander_kind::{ClockTime, InstanceId, ServiceName, TimeSpan};
use oleander_limit::{LimitGate, LimitOwner};
use oleander_list::ListReplica;
use oleander_member::{MemberRecord, MemberSettings, MemberStage, MemberTable};
use oleander_plat::{HttpStore, new_connector};
use oleander_route::{EndpointSelector, HealthSettings, RoutePolicy, RouteSettings};
use oleander_wire::{CallPeer, PeerBody, PeerHub, TrafficCounters};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// How long an endpoint may take to begin its answer. An engine may queue a request for long, so
/// this only bounds an endpoint that hangs.
const HEAD_LIMIT: Duration = Duration::from_secs(120);
/// Connections to one endpoint.
const CONNECTIONS: usize = 4096;
/// Time to make a connection to an endpoint.
const CONNECT_LIMIT: Duration = Duration::from_millis(1000);

/// Everything one entry process has. It lives in one thread.
pub struct EntryNode {
    /// Its settings.
    pub settings: EntrySettings,
    /// Its clocks.
    pub clock: NodeClock,
    /// Its log.
    pub log: slog::Logger,
    /// Its metrics.
    pub meter: NodeMeter,
    /// The facts.
    pub board: RefCell<Blackboard>,
    /// The endpoint list as read or heard.
    pub list: RefCell<ListReplica>,
    /// Lets bundles in.
    pub gate: RefCell<BundleGate>,
    /// Chooses endpoints.
    pub router: RefCell<EndpointSelector>,
    /// When endpoints count as sick.
    pub health: HealthSettings,
    /// Counts against limits.
    pub limits: RefCell<LimitGate>,
    /// Grants shares of the limits owned here.
    pub limit_owner: RefCell<LimitOwner>,
    /// Members.
    pub members: RefCell<MemberTable>,
    /// Requests.
    pub book: RefCell<RequestBook>,
    /// Retry budgets, one a service.
    pub budgets: RefCell<HashMap<ServiceName, RetryBudget>>,
    /// What callers make this process hold.
    pub holds: Rc<HoldDesk>,
    /// When it was last logged that a body gave way.
    pub gave_way_logged: Cell<ClockTime>,
    /// Links to peers.
    pub hub: Addr<PeerHub>,
    /// Bytes to and from peers.
    pub traffic: Rc<TrafficCounters>,
    /// Claims.
    pub claims: Addr<ClaimDesk>,
    /// The object API.
    pub store: HttpStore,
    /// Calls endpoints; connections are reused.
    pub client: Client,
    /// Calls endpoints on a new connection each time, for requests that may not be repeated: a
    /// reused connection that the endpoint just closed would leave a doubt.
    pub single_client: Client,
    /// Wakes streams when endpoints begin to leave.
    pub notices: Notify,
    /// Wakes the list reader.
    pub list_wanted: Notify,
    /// A test's hook; none in production.
    pub hook: Option<StepHook>,
    random: Cell<u64>,
}

impl EntryNode {
    /// A node from its settings. Must be called inside a running actix system.
    pub fn new(settings: EntrySettings, log: slog::Logger, hook: Option<StepHook>) -> Rc<Self> {
        let clock = NodeClock::default();
        let times = settings.times.clone();
        let store = HttpStore::new(&settings.platform, TimeSpan(times.platform_ms));
        let traffic = Rc::new(TrafficCounters::default());
        let hub = actix::Actor::start(PeerHub::new(traffic.clone()));
        let me = MemberRecord {
            id: settings.instance.clone(),
            domain: settings.domain.clone(),
            address: settings.peer.to_string().into(),
            incarnation: clock.wall().0,
            stage: MemberStage::Alive,
        };
        let claims = ClaimDesk::start(&settings, store.clone(), clock);
        let router = EndpointSelector::new(
            settings.domain.clone(),
            RoutePolicy::Cost,
            RouteSettings::default(),
        );
        let bounds = &settings.bounds;
        let book = RequestBook::new(bounds.kept_bytes, TimeSpan::secs(bounds.kept_s));
        let node = Rc::new(EntryNode {
            gate: RefCell::new(BundleGate::new(root_policy(
                &settings.root_keys,
                settings.root_quorum,
            ))),
            clock,
            log,
            meter: NodeMeter::new(),
            board: RefCell::default(),
            list: RefCell::default(),
            router: RefCell::new(router),
            health: HealthSettings::default(),
            limits: RefCell::new(LimitGate::new(1)),
            limit_owner: RefCell::default(),
            members: RefCell::new(MemberTable::new(me, MemberSettings::default())),
            book: RefCell::new(book),
            budgets: RefCell::default(),
            holds: Rc::new(HoldDesk::new(
                HoldBounds::of_requests(bounds.held_bytes, bounds.body_bytes),
                clock,
            )),
            gave_way_logged: Cell::default(),
            hub,
            traffic,
            claims,
            store,
            client: endpoint_client(Duration::from_secs(30)),
            single_client: endpoint_client(Duration::ZERO),
            notices: Notify::new(),
            list_wanted: Notify::new(),
            hook,
            random: Cell::new(rand::random()),
            settings,
        });
        node.join_peers();
        node
    }

    fn join_peers(&self) {
        let now = self.clock.now();
        for peer in &self.settings.peers {
            let record = MemberRecord {
                id: peer.instance.clone(),
                domain: peer.domain.clone(),
                address: peer.address.to_string().into(),
                incarnation: 0,
                stage: MemberStage::Alive,
            };
            self.members.borrow_mut().join(record, now);
        }
    }

    /// Passes a step at which a test may put a fault.
    pub async fn step(&self, step: EntryStep) {
        if let Some(hook) = &self.hook {
            hook(step).await;
        }
    }

    /// The bundle in force.
    pub fn bundle(&self) -> Option<Rc<SignedBundle>> {
        self.board.borrow().bundle.clone()
    }

    /// The generation in force.
    pub fn generation(&self) -> u64 {
        self.gate.borrow().generation()
    }

    /// The next random number.
    pub fn random(&self) -> u64 {
        let next = oleander_kind::hash::mix_bits(self.random.get());
        self.random.set(next);
        next
    }

    /// Calls the peer at `address`.
    pub async fn call_peer(
        &self,
        address: &CompactString,
        body: PeerBody,
        limit: TimeSpan,
    ) -> oleander_wire::Result<PeerBody> {
        let call = CallPeer { address: address.clone(), body, limit };
        match self.hub.send(call).await {
            Ok(outcome) => outcome,
            Err(_) => Err(oleander_wire::WireError::Unreached(address.to_string())),
        }
    }

    /// The peer address of a member.
    pub fn peer_address(&self, id: &InstanceId) -> Option<CompactString> {
        self.members.borrow().get(id).map(|member| member.address.clone())
    }

    /// The instance's name.
    pub fn me(&self) -> &InstanceId {
        &self.settings.instance
    }

    /// Takes one retry of `service` out of its budget.
    pub fn spend_retry(&self, service: &ServiceName) -> bool {
        self.with_budget(service, RetryBudget::spend)
    }

    /// Counts a first attempt for `service`.
    pub fn earn_retry(&self, service: &ServiceName) {
        self.with_budget(service, RetryBudget::earn);
    }

    /// The pause before retry number `retry` of `service`.
    pub fn retry_pause(&self, service: &ServiceName, retry: u32) -> TimeSpan {
        let random = self.random();
        self.with_budget(service, |budget| budget.backoff(retry, random))
    }

    fn with_budget<T>(&self, service: &ServiceName, act: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets
            .entry(service.clone())
            .or_insert_with(|| RetryBudget::new(BudgetSettings::default()));
        act(budget)
    }

    /// Notes that an endpoint is leaving and wakes the streams that it matters to.
    pub fn note_leaving(&self, instance: &InstanceId, ends_at: Option<oleander_kind::ClockTime>) {
        let news = self.board.borrow_mut().mark_leaving(instance, ends_at);
        if news {
            slog::info!(self.log, "an endpoint is leaving";
                "endpoint" => instance.as_str(), "ends_at" => ends_at.map(|at| at.0));
            self.notices.notify_waiters();
            crate::peers::tell_leaving(self, instance, ends_at);
        }
    }
}

/// The policy that a first bundle is trusted by.
pub fn root_policy(keys: &[CompactString], quorum: usize) -> SignPolicy {
    let named = keys.iter().enumerate();
    let keys = named.map(|(at, key)| (format!("root{at}").into(), key.clone())).collect();
    SignPolicy { keys, quorum }
}

fn endpoint_client(keep: Duration) -> Client {
    let connector = new_connector()
        .limit(CONNECTIONS)
        .timeout(CONNECT_LIMIT)
        .conn_keep_alive(keep)
        .conn_lifetime(if keep.is_zero() { Duration::ZERO } else { Duration::from_secs(3600) });
    Client::builder()
        .connector(connector)
        .timeout(HEAD_LIMIT)
        .disable_redirects()
        .no_default_headers()
        .finish()
}

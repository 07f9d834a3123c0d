//! The shared state of one front process.

use crate::attempt::MAX_IDLE_LINKS;
use crate::dispatch::DispatchTable;
use crate::duties::PersistedReport;
use crate::events::{EventBudget, event};
use crate::evidence::EvidenceBuffer;
use crate::feed::FeedState;
use crate::holding::machine_bounds;
use crate::limits::SpendTracker;
use crate::mesh::state::MeshState;
use crate::meter::FrontMeter;
use crate::origins::StreamOrigins;
use crate::port::PlatformDialect;
use crate::relay::PeerRelays;
use crate::releases::RolloutState;
use crate::told::ToldFaults;
use crate::words::{RoomSenders, SignalOutbox};
use actix::Addr;
use oleander_board::{NodeClock, StopStage};
use oleander_call::RuleSet;
use oleander_conf::{FrontBounds, FrontSettings};
use oleander_duty::UsageCounter;
use oleander_flow::{BudgetSettings, RetryBudget};
use oleander_hold::HoldDesk;
use oleander_kind::hash::mix_bits;
use oleander_kind::{AccountName, ClockTime, InstanceId, ServiceName, StoreEra, TimeSpan};
use oleander_limit::PoolGate;
use oleander_list::{RosterReplica, SendBudget, StalenessLimits};
use oleander_mesh::{MemberInfo, MeshBody, RulesBook, ServiceDemand, collector_capacity};
use oleander_outlet::{EndpointDialer, HttpCodec, IdleLink, LinkPool};
use oleander_pace::{ASSUMED_PER_MS, PaceEstimator, ReadPace, ReadSample};
use oleander_place::{
    EndpointBoard, EndpointFact, EndpointKey, OfferedRate, PathRecord, PauseRecord, PrefixRecord,
    ServiceLoad,
};
use oleander_plat::FeedStore;
use oleander_suspect::{CrashMonitor, SuspectTracker};
use oleander_wire::{PeerHub, TrafficCounters};
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// The share of the retries allowed by the operators that all processes together use. The rest is a
/// margin, because a request may be counted in one window here and in another at its endpoint.
const BUDGET_SHARE: f64 = 0.8;

/// The state of one front process. It is used by one thread only.
pub struct FrontNode {
    /// Its settings.
    pub settings: FrontSettings,
    /// Identifies this incarnation of the process to collectors.
    pub incarnation_id: u64,
    bounds: RefCell<Rc<FrontBounds>>,
    seeds: RefCell<Vec<SocketAddr>>,
    /// Its clocks.
    pub clock: NodeClock,
    /// Its log.
    pub log: slog::Logger,
    /// Its metrics.
    pub meter: FrontMeter,
    /// The rate limits of log lines, by kind.
    pub events: EventBudget,
    /// Faults of stored entries that were logged.
    pub told: ToldFaults,
    /// The platform's names and formats.
    pub dialect: Box<dyn PlatformDialect>,
    /// The platform's store.
    pub store: Box<dyn FeedStore>,
    /// Opens connections to endpoints.
    pub dialer: Rc<dyn EndpointDialer>,
    /// Creates the codecs of connections.
    pub http: HttpCodec,
    /// The known era of the store; `None` before its first answer.
    pub(crate) store_era: Cell<Option<StoreEra>>,
    /// When this process learned that the store had come back from an older copy.
    pub(crate) store_returned_at: Cell<Option<ClockTime>>,
    /// Wakes what has to begin anew in a later era.
    pub(crate) era_rose: Notify,
    /// Wakes tasks that wait for the store to answer again.
    pub(crate) store_returned: Notify,
    /// The operators' rules.
    pub rules: RefCell<RulesBook>,
    /// The state of the rules feed.
    pub rules_feed: Cell<FeedState>,
    /// The state of the endpoints feed.
    pub endpoints_feed: Cell<FeedState>,
    /// The endpoint list as it was read.
    pub roster: RefCell<RosterReplica>,
    /// Bytes of the list and of the rules that may be sent to other processes.
    pub list_budget: RefCell<SendBudget>,
    /// The endpoints, with what this process knows of their load and health.
    pub endpoints: RefCell<EndpointBoard>,
    /// The state of roll-outs.
    pub releases: RefCell<RolloutState>,
    /// Wakes the task that follows roll-out orders when a version appears that may be under one.
    pub orders_refresh: Notify,
    /// The prompt prefixes that were sent to each endpoint.
    pub prefixes: RefCell<PrefixRecord>,
    /// Idle connections to endpoints.
    pub pool: RefCell<LinkPool>,
    /// Whether the endpoints of each service can be reached from here.
    pub paths: RefCell<HashMap<ServiceName, PathRecord>>,
    /// The versions at which streams began.
    pub origins: RefCell<StreamOrigins>,
    /// Wakes the task that sends records of streams to other processes.
    pub origins_queued: Notify,
    /// The processes that send requests to brittle endpoints.
    pub(crate) room_senders: RefCell<RoomSenders>,
    /// The services whose room this process watches, and the requests that wait for it.
    pub(crate) dispatch: RefCell<DispatchTable>,
    /// The requests that this process relays to its peers.
    pub relays: RefCell<PeerRelays>,
    /// The limits of accounts.
    pub limits: RefCell<PoolGate>,
    /// Locked while a claim is under way: an account has one at a time.
    pub limit_exchange: tokio::sync::Mutex<()>,
    /// Wakes the task that stores the limit windows when a ledger waits for them.
    pub ledger_wanted: Notify,
    /// When the ledger may be asked again after it did not answer.
    pub ledger_retry_at: Cell<ClockTime>,
    /// When the ledger may be asked again for accounts for which it had no limit.
    pub(crate) account_retry_at: RefCell<HashMap<AccountName, ClockTime>>,
    /// The bytes and frames on the connections to the other processes.
    pub traffic: Rc<TrafficCounters>,
    /// The connections to the other processes.
    pub peers: OnceCell<Addr<PeerHub<MeshBody>>>,
    /// Tokens that each account spent at this process, as last logged.
    pub spend_tracker: RefCell<SpendTracker>,
    /// Requests that began to run, by window and account.
    pub usage: RefCell<UsageCounter>,
    /// The demand for each service since this process started.
    pub demand: RefCell<BTreeMap<ServiceName, ServiceDemand>>,
    /// The rate of prompt tokens in the requests that callers send to this process, by service.
    pub offered: RefCell<HashMap<ServiceName, OfferedRate>>,
    /// Prefill speeds of the services' engines, as measured by this process.
    pub paces: RefCell<HashMap<ServiceName, PaceEstimator>>,
    /// How often streams of this process paused for too long, by service.
    pub pauses: RefCell<HashMap<ServiceName, PauseRecord>>,
    /// Evidence about endpoints that the collector has not received yet.
    pub evidence: RefCell<EvidenceBuffer>,
    /// Failed attempts of this process, until their endpoints are known to have crashed.
    pub crash_watch: RefCell<CrashMonitor>,
    /// Endpoint signals that the collector may not have received yet.
    pub signals: RefCell<SignalOutbox>,
    /// When this process last sent a report to a collector that leases the rates of limited
    /// endpoints, by the lease clock.
    pub rate_shares_at: Cell<ClockTime>,
    /// Requests that crashed endpoints.
    pub suspects: RefCell<SuspectTracker>,
    /// The state from the other processes.
    pub mesh: RefCell<MeshState>,
    /// The usage reports that this process persisted, with their revisions, by object name.
    pub(crate) persisted_reports: RefCell<HashMap<String, (u64, PersistedReport)>>,
    /// The progress of a planned stop.
    pub stop: Cell<StopStage>,
    /// Wakes connections of callers, and the task that accepts them, again and again while the process stops.
    pub close_idle: Notify,
    /// Wakes idle connections of callers when other rules are in force.
    pub rules_changed: Notify,
    /// Wakes attempts when a later incarnation of an instance has started.
    pub incarnation_ended: Notify,
    /// Requests under way.
    pub in_flight: Cell<usize>,
    /// Open connections of callers.
    pub connections: Cell<usize>,
    /// What callers make this process hold.
    pub holds: Rc<HoldDesk>,
    budgets: RefCell<HashMap<ServiceName, RetryBudget>>,
    random: Cell<u64>,
}

impl FrontNode {
    /// Creates the state of a process that has not read anything yet.
    pub fn new(
        settings: FrontSettings,
        log: slog::Logger,
        dialect: Box<dyn PlatformDialect>,
        (store, dialer): (Box<dyn FeedStore>, Rc<dyn EndpointDialer>),
        clock: NodeClock,
    ) -> Rc<Self> {
        let me = MemberInfo {
            id: settings.instance.clone(),
            domain: settings.domain.clone(),
            address: settings.peer,
            life: clock.wall().0,
            leaving: false,
            unfit: false,
            capacity: collector_capacity(settings.link_mbps, settings.cores),
            caller_address: None,
            unreached_services: Vec::new(),
            binds_streams: true,
            takes_parts: true,
            edition: 0,
        };
        let window = TimeSpan((settings.bounds.usage_window_s * 1000.0) as u64);
        let list_budget = SendBudget::of_link(settings.link_mbps);
        let holds = Rc::new(HoldDesk::new(machine_bounds(&settings), clock));
        Rc::new(FrontNode {
            bounds: RefCell::new(Rc::new(settings.bounds.clone())),
            seeds: RefCell::new(settings.seeds.clone()),
            incarnation_id: mix_bits(me.id.stable_hash() ^ me.life),
            settings,
            clock,
            log,
            meter: FrontMeter::default(),
            events: EventBudget::default(),
            told: ToldFaults::default(),
            dialect,
            store,
            dialer,
            http: HttpCodec::default(),
            store_era: Cell::default(),
            store_returned_at: Cell::default(),
            era_rose: Notify::new(),
            store_returned: Notify::new(),
            rules: RefCell::default(),
            rules_feed: Cell::default(),
            endpoints_feed: Cell::default(),
            roster: RefCell::default(),
            list_budget: RefCell::new(list_budget),
            endpoints: RefCell::default(),
            releases: RefCell::default(),
            orders_refresh: Notify::new(),
            prefixes: RefCell::default(),
            pool: RefCell::default(),
            paths: RefCell::default(),
            origins: RefCell::default(),
            origins_queued: Notify::new(),
            room_senders: RefCell::default(),
            dispatch: RefCell::default(),
            relays: RefCell::default(),
            limits: RefCell::default(),
            limit_exchange: tokio::sync::Mutex::default(),
            ledger_wanted: Notify::new(),
            ledger_retry_at: Cell::default(),
            account_retry_at: RefCell::default(),
            traffic: Rc::default(),
            peers: OnceCell::new(),
            spend_tracker: RefCell::default(),
            usage: RefCell::new(UsageCounter::new(window)),
            demand: RefCell::default(),
            offered: RefCell::default(),
            paces: RefCell::default(),
            pauses: RefCell::default(),
            evidence: RefCell::default(),
            crash_watch: RefCell::default(),
            signals: RefCell::default(),
            rate_shares_at: Cell::default(),
            suspects: RefCell::default(),
            mesh: RefCell::new(MeshState::new(me)),
            persisted_reports: RefCell::default(),
            stop: Cell::default(),
            close_idle: Notify::new(),
            rules_changed: Notify::new(),
            incarnation_ended: Notify::new(),
            in_flight: Cell::default(),
            connections: Cell::default(),
            holds,
            budgets: RefCell::default(),
            random: Cell::new(rand::random()),
        })
    }

    /// The operators' bounds that are in force.
    pub fn bounds(&self) -> Rc<FrontBounds> {
        self.bounds.borrow().clone()
    }

    /// Cluster time, as known to this process.
    pub fn true_now(&self) -> ClockTime {
        self.true_now_with(&self.mesh.borrow())
    }

    /// Cluster time, for callers that have borrowed the mesh state.
    pub(crate) fn true_now_with(&self, mesh: &MeshState) -> ClockTime {
        mesh.clock.read(self.clock.now(), self.clock.wall())
    }

    /// Waits between half of `pause` and all of it, so that processes that failed together do not
    /// retry together. Returns the next pause: twice as long, up to `longest`.
    pub async fn back_off(&self, pause: TimeSpan, longest: TimeSpan) -> TimeSpan {
        let jitter = TimeSpan(pause.0 / 2 + self.random() % (pause.0 / 2 + 1));
        actix_rt::time::sleep(jitter.duration()).await;
        TimeSpan(pause.0 * 2).min(longest)
    }

    /// The known number of processes that serve callers, including this one.
    pub fn process_count(&self) -> u32 {
        self.mesh.borrow().view.limit_sharers(self.seeds.borrow().len() as u32)
    }

    /// Peers to ask if no other is known.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        self.seeds.borrow().clone()
    }

    /// Applies settings that were read again. Bounds and seeds change at once. Addresses and names
    /// stay as they are until the next start, which is logged.
    pub fn apply_settings(&self, settings: FrontSettings) {
        if *self.bounds.borrow().as_ref() != settings.bounds || self.seeds() != settings.seeds {
            event!(self, SettingsRead; "bounds" => format!("{:?}", settings.bounds));
            *self.bounds.borrow_mut() = Rc::new(settings.bounds.clone());
            *self.seeds.borrow_mut() = settings.seeds.clone();
        }
        self.holds.set_bounds(machine_bounds(&settings));
        let fixed = |settings: &FrontSettings| {
            let addresses = (settings.listen, settings.ready, settings.peer, settings.admin);
            (settings.instance.clone(), addresses, settings.store, settings.cloud)
        };
        if fixed(&settings) != fixed(&self.settings) {
            event!(self, SettingsFault; "fault" => "changed addresses or names take effect at the next start");
        }
    }

    /// Waits until the grace time of a stop is over.
    pub(crate) async fn until_stopped(&self) {
        loop {
            let change = self.close_idle.notified();
            if self.stop.get() == StopStage::Stopped {
                return;
            }
            change.await;
        }
    }

    /// Keeps an idle connection to an endpoint for a while, unless there are too many.
    pub(crate) fn keep_link(&self, instance: &InstanceId, link: IdleLink, limit: Duration) {
        let mut pool = self.pool.borrow_mut();
        if pool.len() < self.holds.idle_links() {
            pool.put(instance, link, limit, MAX_IDLE_LINKS);
        }
    }

    /// Whether an endpoint is listed and has not signalled that it leaves.
    pub fn takes_work(&self, key: EndpointKey) -> bool {
        self.endpoints.borrow().get(key).is_some_and(EndpointFact::takes_work)
    }

    /// The rules in force, if any are known.
    pub fn current_rules(&self) -> Option<Rc<RuleSet>> {
        self.rules.borrow().current().cloned()
    }

    /// Whether callers may be sent to this process.
    pub fn is_ready(&self) -> bool {
        let informed =
            self.rules.borrow().version() > 0 && self.endpoints_feed.get().known_since.is_some();
        informed && self.stop.get() == StopStage::Serving
    }

    /// The age of the endpoint list; `None` if the store never confirmed one.
    pub fn roster_age(&self) -> Option<TimeSpan> {
        self.roster.borrow().freshness().map(|freshness| freshness.age(self.clock.now()))
    }

    /// The age of the rules; `None` if the store never confirmed any.
    pub fn rules_age(&self) -> Option<TimeSpan> {
        self.rules.borrow().age(self.clock.now())
    }

    /// The age limits of the endpoint list.
    pub fn roster_limits(&self) -> StalenessLimits {
        StalenessLimits::within(TimeSpan(self.bounds().drain_ms))
    }

    /// The age limits of the rules.
    pub fn rules_limits(&self) -> StalenessLimits {
        StalenessLimits::within(TimeSpan(self.bounds().apply_ms))
    }

    /// Whether this process would know of a rule change that has to be in force by now.
    pub fn rules_are_fresh(&self) -> bool {
        let limit = self.rules_limits().usable;
        self.rules_age().is_some_and(|age| age <= limit)
    }

    /// Whether a process said lately that it has newer rules.
    pub fn rules_are_superseded(&self) -> bool {
        self.rules.borrow().told(self.clock.now()).is_some()
    }

    /// Counts a request of `account` that began to run `ago`.
    pub fn note_usage(&self, account: &AccountName, ago: TimeSpan) {
        let now = self.true_now();
        self.usage.borrow_mut().note(account, now - ago);
    }

    /// Updates the demand for a service.
    pub fn note_demand(&self, service: &ServiceName, act: impl FnOnce(&mut ServiceDemand)) {
        let mut demand = self.demand.borrow_mut();
        let fresh = || ServiceDemand {
            service: service.clone(),
            requests: 0,
            unread_tokens: 0,
            answer_tokens: 0,
            sent: 0,
        };
        act(demand.entry(service.clone()).or_insert_with(fresh));
    }

    /// Prompt tokens that an idle engine of `service` prefills in a millisecond, or a conservative
    /// default.
    pub fn read_per_ms(&self, service: &ServiceName) -> f64 {
        self.measured_per_ms(service).unwrap_or(ASSUMED_PER_MS)
    }

    /// The prefill speed as measured by all processes, or else by this one; `None` until there are
    /// enough samples.
    pub fn measured_per_ms(&self, service: &ServiceName) -> Option<f64> {
        let joined = {
            let mesh = self.mesh.borrow();
            mesh.paces.iter().find(|pace| pace.service == *service).map(|pace| pace.read)
        };
        let own = || self.paces.borrow().get(service)?.pace().filter(ReadPace::is_sure);
        joined.or_else(own).map(|read| f64::from(read.per_ms))
    }

    /// The weight of stream pauses of `service` in the choice of an endpoint.
    pub fn pause_weight(&self, service: &ServiceName) -> f64 {
        self.pauses.borrow().get(service).map_or(0.0, PauseRecord::weight)
    }

    /// Records that a stream of `service` ended, and whether it paused for too long.
    pub fn note_paused(&self, service: &ServiceName, is_late: bool) {
        let mut pauses = self.pauses.borrow_mut();
        pauses.entry(service.clone()).or_default().note(is_late, self.clock.now());
    }

    /// Records how fast an engine of `service` prefilled a prompt.
    pub fn note_read(&self, service: &ServiceName, sample: ReadSample) {
        let mut paces = self.paces.borrow_mut();
        paces.entry(service.clone()).or_default().note(sample, self.clock.now());
    }

    /// Counts prompt tokens of a request for `service`, and returns the load of the service.
    pub fn note_offered(&self, service: &ServiceName, tokens: u64) -> ServiceLoad {
        let mut offered = self.offered.borrow_mut();
        let rate = offered.entry(service.clone()).or_default();
        rate.note(tokens, self.clock.now());
        let (queue, engines) = self.endpoints.borrow().queued_tokens(service);
        // Callers are spread randomly over the processes; each process assumes the same load at the
        // others.
        let offered_per_s = rate.per_s() * f64::from(self.process_count());
        let read_per_ms = self.read_per_ms(service);
        ServiceLoad { queue, engines, offered_per_s, read_per_ms }
    }

    /// Runs `reading` from endpoint `key` until it ends; `None` as soon as a later incarnation of
    /// the instance has started. Without a key it runs to its end.
    ///
    /// An instance that lost power resets no connections. Its callers would wait until their
    /// timeouts, although the new incarnation has registered and knows nothing of their requests.
    pub async fn run_until_replaced<T>(
        &self,
        key: Option<EndpointKey>,
        reading: impl Future<Output = T>,
    ) -> Option<T> {
        let Some(key) = key else { return Some(reading.await) };
        let ended = async {
            loop {
                let change = self.incarnation_ended.notified();
                if self.endpoints.borrow().has_ended(key) {
                    return;
                }
                change.await;
            }
        };
        tokio::select! {
            biased;
            read = reading => Some(read),
            () = ended => None,
        }
    }

    /// The next random number.
    pub fn random(&self) -> u64 {
        let next = mix_bits(self.random.get());
        self.random.set(next);
        next
    }

    /// Takes one retry for `service` from this process's share of the budget; returns whether there
    /// was one.
    pub fn spend_retry(&self, service: &ServiceName) -> bool {
        self.with_budget(service, RetryBudget::spend)
    }

    /// Counts a request for `service`, which adds to the retry budget.
    pub fn earn_retry(&self, service: &ServiceName) {
        self.with_budget(service, RetryBudget::earn);
    }

    /// Takes back what a request earned that another process serves.
    pub fn return_earned_retry(&self, service: &ServiceName) {
        self.with_budget(service, RetryBudget::return_earned);
    }

    /// Whole retries left for `service` in this process's share of the budget.
    pub fn retries_left(&self, service: &ServiceName) -> u64 {
        self.with_budget(service, |budget| budget.left())
    }

    fn with_budget<T>(&self, service: &ServiceName, act: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            let bounds = self.bounds();
            let slack = f64::from(bounds.retry_slack) / f64::from(self.process_count());
            RetryBudget::new(BudgetSettings {
                earned_per_mille: (bounds.retry_ratio * BUDGET_SHARE * 1000.0) as u32,
                max_stored: (slack * BUDGET_SHARE) as u32,
                ..BudgetSettings::default()
            })
        });
        act(budget)
    }
}

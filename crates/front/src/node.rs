//! One front process: what its parts share.

use crate::events::{EventBudget, event};
use crate::evidence::EvidenceOutbox;
use crate::feed::FeedState;
use crate::limits::SpendTracker;
use crate::mesh::state::MeshState;
use crate::meter::FrontMeter;
use crate::port::PlatformDialect;
use crate::releases::ReleaseDesk;
use crate::words::WordOutbox;
use actix::Addr;
use oleander_board::{NodeClock, StopStage};
use oleander_call::RuleSet;
use oleander_conf::{FrontBounds, FrontSettings};
use oleander_duty::UsageBook;
use oleander_flow::{BudgetSettings, RetryBudget};
use oleander_kind::hash::mix_bits;
use oleander_kind::{AccountName, ClockTime, ServiceName, TimeSpan};
use oleander_limit::PoolGate;
use oleander_list::{RosterReplica, StalenessLimits};
use oleander_mesh::{MemberInfo, MeshBody, RulesBook, ServiceDemand, collector_capacity};
use oleander_outlet::{HttpCodec, LinkPool};
use oleander_pace::{ASSUMED_PER_MS, PaceBook, ReadPace, ReadSample};
use oleander_place::{
    EndpointBoard, EndpointFact, EndpointKey, OfferedRate, PauseRecord, PrefixRecord, ServiceLoad,
};
use oleander_plat::FeedStore;
use oleander_suspect::{CrashMonitor, SuspectTracker};
use oleander_wire::{PeerHub, TrafficCounters};
use std::cell::{Cell, OnceCell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::sync::Notify;

/// Part of the allowed repeats that the processes share out; the rest is a margin for requests that
/// a count of ours sees in another window than the endpoints do.
const BUDGET_PART: f64 = 0.8;

/// Everything one front process has. It lives in one thread.
pub struct FrontNode {
    /// Its settings.
    pub settings: FrontSettings,
    /// Names this life of this process among collectors.
    pub own_source: u64,
    bounds: RefCell<Rc<FrontBounds>>,
    seeds: RefCell<Vec<SocketAddr>>,
    /// Its clocks.
    pub clock: NodeClock,
    /// Its log.
    pub log: slog::Logger,
    /// Its metrics.
    pub meter: FrontMeter,
    /// How many lines of each kind the log may have.
    pub events: EventBudget,
    /// The platform's names and formats.
    pub dialect: Box<dyn PlatformDialect>,
    /// The platform's store.
    pub store: Box<dyn FeedStore>,
    /// Makes the codecs of connections.
    pub http: HttpCodec,
    /// The operators' rules.
    pub rules: RefCell<RulesBook>,
    /// How the feed of rules stands.
    pub rules_feed: Cell<FeedState>,
    /// How the feed of endpoints stands.
    pub endpoints_feed: Cell<FeedState>,
    /// The endpoint list as it was read.
    pub roster: RefCell<RosterReplica>,
    /// The endpoints.
    pub endpoints: RefCell<EndpointBoard>,
    /// What is known of roll-outs.
    pub releases: RefCell<ReleaseDesk>,
    /// Wakes who follows the orders of roll-outs when a version appears that may be under one.
    pub orders_wanted: Notify,
    /// Which prompt parts were sent where.
    pub prefixes: RefCell<PrefixRecord>,
    /// Idle connections to endpoints.
    pub pool: RefCell<LinkPool>,
    /// Account limits.
    pub limits: RefCell<PoolGate>,
    /// Held while a claim is under way: an account has one at a time.
    pub limit_exchange: tokio::sync::Mutex<()>,
    /// Wakes who keeps the windows in the store when a ledger waits for them.
    pub ledger_waits: Notify,
    /// When the ledger may be asked again after it did not answer.
    pub ask_after: Cell<ClockTime>,
    /// What the links to the other processes carried.
    pub traffic: Rc<TrafficCounters>,
    /// The links to the other processes.
    pub peers: OnceCell<Addr<PeerHub<MeshBody>>>,
    /// What the log was told of them.
    pub spend_diary: RefCell<SpendTracker>,
    /// Requests that began to run, by window and account.
    pub usage: RefCell<UsageBook>,
    /// What was asked of the services since this process began.
    pub demand: RefCell<BTreeMap<ServiceName, ServiceDemand>>,
    /// Prompt tokens that callers of this process ask the services to read.
    pub offered: RefCell<HashMap<ServiceName, OfferedRate>>,
    /// How fast this process saw the services' engines read.
    pub paces: RefCell<HashMap<ServiceName, PaceBook>>,
    /// How often streams of this process paused for too long, by service.
    pub pauses: RefCell<HashMap<ServiceName, PauseRecord>>,
    /// What this process sees of endpoints, until the collector has it.
    pub evidence: RefCell<EvidenceOutbox>,
    /// Attempts of this process that broke, until their endpoints are known to have ended.
    pub ends: RefCell<CrashMonitor>,
    /// What endpoints said of themselves that the collector may not know.
    pub words: RefCell<WordOutbox>,
    /// When this process last asked a collector that hands out rates of limited endpoints, by the clock of leases.
    pub rates_at: Cell<ClockTime>,
    /// Requests under which endpoints ended.
    pub suspects: RefCell<SuspectTracker>,
    /// What is known through the other processes.
    pub mesh: RefCell<MeshState>,
    /// Revisions of the usage reports in the store, by their places.
    pub report_revisions: RefCell<HashMap<String, u64>>,
    /// How far a planned stop has come.
    pub stop: Cell<StopStage>,
    /// Wakes idle connections when they are to be closed.
    pub close_idle: Notify,
    /// Wakes attempts when a later life of some instance has begun.
    pub life_ended: Notify,
    /// Requests under way.
    pub in_flight: Cell<usize>,
    budgets: RefCell<HashMap<ServiceName, RetryBudget>>,
    random: Cell<u64>,
}

impl FrontNode {
    /// A process that knows nothing yet.
    pub fn new(
        settings: FrontSettings,
        log: slog::Logger,
        dialect: Box<dyn PlatformDialect>,
        store: Box<dyn FeedStore>,
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
            edition: 0,
        };
        let window = TimeSpan((settings.bounds.usage_window_s * 1000.0) as u64);
        Rc::new(FrontNode {
            bounds: RefCell::new(Rc::new(settings.bounds.clone())),
            seeds: RefCell::new(settings.seeds.clone()),
            own_source: mix_bits(me.id.stable_hash() ^ me.life),
            settings,
            clock,
            log,
            meter: FrontMeter::default(),
            events: EventBudget::default(),
            dialect,
            store,
            http: HttpCodec::default(),
            rules: RefCell::default(),
            rules_feed: Cell::default(),
            endpoints_feed: Cell::default(),
            roster: RefCell::default(),
            endpoints: RefCell::default(),
            releases: RefCell::default(),
            orders_wanted: Notify::new(),
            prefixes: RefCell::default(),
            pool: RefCell::default(),
            limits: RefCell::default(),
            limit_exchange: tokio::sync::Mutex::default(),
            ledger_waits: Notify::new(),
            ask_after: Cell::default(),
            traffic: Rc::default(),
            peers: OnceCell::new(),
            spend_diary: RefCell::default(),
            usage: RefCell::new(UsageBook::new(window)),
            demand: RefCell::default(),
            offered: RefCell::default(),
            paces: RefCell::default(),
            pauses: RefCell::default(),
            evidence: RefCell::default(),
            ends: RefCell::default(),
            words: RefCell::default(),
            rates_at: Cell::default(),
            suspects: RefCell::default(),
            mesh: RefCell::new(MeshState::new(me)),
            report_revisions: RefCell::default(),
            stop: Cell::default(),
            close_idle: Notify::new(),
            life_ended: Notify::new(),
            in_flight: Cell::default(),
            budgets: RefCell::default(),
            random: Cell::new(rand::random()),
        })
    }

    /// The operators' bounds as they are now.
    pub fn bounds(&self) -> Rc<FrontBounds> {
        self.bounds.borrow().clone()
    }

    /// True time at this process.
    pub fn true_now(&self) -> ClockTime {
        self.clock_true(&self.mesh.borrow())
    }

    /// The same for who has the state of the mesh at hand.
    pub(crate) fn clock_true(&self, mesh: &MeshState) -> ClockTime {
        mesh.clock.read(self.clock.now(), self.clock.wall())
    }

    /// Waits between half of `pause` and all of it, so that processes that failed together do not
    /// come back together; gives the pause after that, twice as long and `longest` at the most.
    pub async fn back_off(&self, pause: TimeSpan, longest: TimeSpan) -> TimeSpan {
        let jitter = TimeSpan(pause.0 / 2 + self.random() % (pause.0 / 2 + 1));
        actix_rt::time::sleep(jitter.duration()).await;
        TimeSpan(pause.0 * 2).min(longest)
    }

    /// How many processes serve callers, this one included, as far as it is known.
    pub fn process_count(&self) -> u32 {
        self.mesh.borrow().view.limit_sharers(self.seeds.borrow().len() as u32)
    }

    /// Peers to ask if no other is known.
    pub fn seeds(&self) -> Vec<SocketAddr> {
        self.seeds.borrow().clone()
    }

    /// Takes settings that were read again. Bounds and seeds change at once; what is bound to
    /// sockets and names stays until the next start, and is told.
    pub fn take_settings(&self, settings: FrontSettings) {
        if *self.bounds.borrow().as_ref() != settings.bounds || self.seeds() != settings.seeds {
            event!(self, SettingsRead; "bounds" => format!("{:?}", settings.bounds));
            *self.bounds.borrow_mut() = Rc::new(settings.bounds.clone());
            *self.seeds.borrow_mut() = settings.seeds.clone();
        }
        let fixed = |settings: &FrontSettings| {
            let addresses = (settings.listen, settings.ready, settings.peer, settings.admin);
            (settings.instance.clone(), addresses, settings.store, settings.cloud)
        };
        if fixed(&settings) != fixed(&self.settings) {
            event!(self, SettingsFault; "fault" => "changed addresses or names wait for the next start");
        }
    }

    /// Whether an endpoint is on the list and did not say that it leaves.
    pub fn takes_work(&self, key: EndpointKey) -> bool {
        self.endpoints.borrow().get(key).is_some_and(EndpointFact::takes_work)
    }

    /// The rules in force, if any are known.
    pub fn current_rules(&self) -> Option<Rc<RuleSet>> {
        self.rules.borrow().current().cloned()
    }

    /// Whether callers may be sent here.
    pub fn is_ready(&self) -> bool {
        let informed =
            self.rules.borrow().version() > 0 && self.endpoints_feed.get().known_since.is_some();
        informed && self.stop.get() == StopStage::Serving
    }

    /// How old the endpoint list is; none if the store never spoke for it.
    pub fn roster_age(&self) -> Option<TimeSpan> {
        self.roster.borrow().freshness().map(|freshness| freshness.age(self.clock.now()))
    }

    /// How old the rules are; none if the store never spoke for them.
    pub fn rules_age(&self) -> Option<TimeSpan> {
        self.rules.borrow().age(self.clock.now())
    }

    /// How old the endpoint list may grow.
    pub fn roster_limits(&self) -> StalenessLimits {
        StalenessLimits::within(TimeSpan(self.bounds().drain_ms))
    }

    /// How old the rules may grow.
    pub fn rules_limits(&self) -> StalenessLimits {
        StalenessLimits::within(TimeSpan(self.bounds().apply_ms))
    }

    /// Whether a change of the rules that must be in force by now would be known here.
    pub fn rules_are_fresh(&self) -> bool {
        let limit = self.rules_limits().usable;
        self.rules_age().is_some_and(|age| age <= limit)
    }

    /// Counts a request of `account` that began to run `ago`.
    pub fn note_usage(&self, account: &AccountName, ago: TimeSpan) {
        let now = self.true_now();
        self.usage.borrow_mut().note(account, now - ago);
    }

    /// Counts what is asked of a service.
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

    /// Prompt tokens that an engine of `service` reads in a millisecond if it does nothing else, or a
    /// careful figure.
    pub fn read_per_ms(&self, service: &ServiceName) -> f64 {
        self.seen_per_ms(service).unwrap_or(ASSUMED_PER_MS)
    }

    /// The same as all processes saw it, or as this one did; none until enough was seen.
    pub fn seen_per_ms(&self, service: &ServiceName) -> Option<f64> {
        let joined = {
            let mesh = self.mesh.borrow();
            mesh.paces.iter().find(|pace| pace.service == *service).map(|pace| pace.read)
        };
        let own = || self.paces.borrow().get(service)?.pace().filter(ReadPace::is_sure);
        joined.or_else(own).map(|read| f64::from(read.per_ms))
    }

    /// How much pauses of streams of `service` are weighed.
    pub fn pause_weight(&self, service: &ServiceName) -> f64 {
        self.pauses.borrow().get(service).map_or(0.0, PauseRecord::weight)
    }

    /// Notes a stream of `service` that ended, and whether it paused for too long.
    pub fn note_paused(&self, service: &ServiceName, is_late: bool) {
        let mut pauses = self.pauses.borrow_mut();
        pauses.entry(service.clone()).or_default().note(is_late, self.clock.now());
    }

    /// Notes a prompt that an engine of `service` has read.
    pub fn note_read(&self, service: &ServiceName, sample: ReadSample) {
        let mut paces = self.paces.borrow_mut();
        paces.entry(service.clone()).or_default().note(sample, self.clock.now());
    }

    /// Counts prompt tokens that `service` is asked to read, and says how it stands.
    pub fn note_offered(&self, service: &ServiceName, tokens: u64) -> ServiceLoad {
        let mut offered = self.offered.borrow_mut();
        let rate = offered.entry(service.clone()).or_default();
        rate.note(tokens, self.clock.now());
        let (queue, engines) = self.endpoints.borrow().queued_tokens(service);
        // Callers are spread over the processes by chance; each takes the others' share for its own.
        let offered_per_s = rate.per_s() * f64::from(self.process_count());
        let read_per_ms = self.read_per_ms(service);
        ServiceLoad { queue, engines, offered_per_s, read_per_ms }
    }

    /// Reads what endpoint `key` sends, as long as that life of its instance lasts; none once a later
    /// one has begun.
    ///
    /// An instance that lost its power resets no connection. Its callers would wait for the rest of
    /// their time although the instance itself says that it began anew and knows nothing of them.
    pub async fn while_lives<T>(
        &self,
        key: EndpointKey,
        reading: impl Future<Output = T>,
    ) -> Option<T> {
        let ended = async {
            loop {
                let change = self.life_ended.notified();
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

    /// Takes one repeat of `service` out of this process's part of the budget.
    pub fn spend_retry(&self, service: &ServiceName) -> bool {
        self.with_budget(service, RetryBudget::spend)
    }

    /// Counts a request for `service`.
    pub fn earn_retry(&self, service: &ServiceName) {
        self.with_budget(service, RetryBudget::earn);
    }

    fn with_budget<T>(&self, service: &ServiceName, act: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            let bounds = self.bounds();
            let slack = f64::from(bounds.retry_slack) / f64::from(self.process_count());
            RetryBudget::new(BudgetSettings {
                earned_per_mille: (bounds.retry_ratio * BUDGET_PART * 1000.0) as u32,
                most_kept: (slack * BUDGET_PART) as u32,
                ..BudgetSettings::default()
            })
        });
        act(budget)
    }
}

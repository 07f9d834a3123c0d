//! Several front processes before one store, in virtual time: what each goes by when the store is
//! silent to some, refuses others, or forgets.
//!
//! The processes and their links are the real ones, on one thread and over loopback. Only the store
//! and time are made: a step of a millisecond is taken whenever nothing else is to be done.

use crate::front::{RULES, object};
use bytes::Bytes;
use futures_util::future::{FutureExt, LocalBoxFuture};
use oleandertack::board::NodeClock;
use oleandertack::conf::{FrontBounds, FrontSettings};
use oleandertack::front::{FrontPorts, FrontProcess, start_front};
use oleandertack::kind::{ResultCode, TimeSpan};
use oleandertack::plat::{
    DutyAnswer, DutyPermit, DutyPort, FeedCondition, FeedEvent, FeedKind, FeedObject, FeedPage,
    FeedStore, PlatError, Result, ScaleOrder, UsageReport, WatchOutcome, WriteOutcome,
};
use oleandertack::platform::HttpDialect;
use std::cell::{Cell, RefCell};
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::Duration;
use tokio::time::{Instant, sleep};

/// How long the store takes to answer.
const ANSWER_TIME: Duration = Duration::from_millis(4);
/// How long a call may go without an answer besides the time that it asks the store to wait.
const CALL_LIMIT: Duration = Duration::from_millis(1000);
/// Between two looks of a waiting watch, or of a play.
const STEP: Duration = Duration::from_millis(5);
/// Until all processes know one another and have a collector.
const SETTLE: Duration = Duration::from_secs(7);

/// Endpoints that the store begins with.
const FIRST_ENDPOINTS: [&str; 3] = ["i-0", "i-1", "i-2"];
/// The longest wait for something that has to come about.
const MOST_AWAITED: Duration = Duration::from_secs(20);

/// How the store stands with one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreMode {
    /// It answers.
    Served,
    /// It refuses each call at once, and ends the waiting ones.
    Refused,
    /// Calls get no answer.
    Silent,
}

/// One process's way to the store.
#[derive(Debug)]
pub struct StoreWay {
    mode: Cell<StoreMode>,
    /// Calls that were under way when it was raised get no answer any more.
    connection: Cell<u32>,
}

impl StoreWay {
    /// Open connections fall silent for good; new ones work.
    pub fn silence_open(&self) {
        self.connection.set(self.connection.get() + 1);
    }

    pub fn set(&self, mode: StoreMode) {
        self.mode.set(mode);
    }
}

/// What the store holds.
#[derive(Default)]
struct StoreState {
    revision: Cell<u64>,
    objects: RefCell<Vec<(FeedKind, FeedObject)>>,
    history: RefCell<Vec<(FeedKind, FeedEvent, u64)>>,
}

impl StoreState {
    fn put(&self, kind: FeedKind, name: &str, body: Bytes) -> u64 {
        let revision = self.revision.get() + 1;
        self.revision.set(revision);
        let object = FeedObject { name: name.into(), revision, body };
        let mut objects = self.objects.borrow_mut();
        objects.retain(|(other, known)| *other != kind || known.name != name);
        objects.push((kind, object.clone()));
        self.history.borrow_mut().push((kind, FeedEvent::Put(object), revision));
        revision
    }

    fn remove(&self, kind: FeedKind, name: &str) {
        let revision = self.revision.get() + 1;
        self.revision.set(revision);
        self.objects.borrow_mut().retain(|(other, known)| *other != kind || known.name != name);
        let event = FeedEvent::Gone { name: name.into(), revision };
        self.history.borrow_mut().push((kind, event, revision));
    }

    fn page(&self, kind: FeedKind) -> FeedPage {
        let objects = self.objects.borrow();
        let of_kind = objects.iter().filter(|(other, _)| *other == kind);
        let objects = of_kind.map(|(_, object)| object.clone()).collect();
        FeedPage { objects, as_of: self.revision.get() }
    }

    fn changes(&self, kind: FeedKind, from: u64) -> Vec<FeedEvent> {
        let history = self.history.borrow();
        let later = history.iter().filter(|(other, _, at)| *other == kind && *at > from);
        later.map(|(_, event, _)| event.clone()).collect()
    }
}

struct PlayStore {
    state: Rc<StoreState>,
    way: Rc<StoreWay>,
}

fn unanswered() -> PlatError {
    PlatError::OutcomeUnknown("no answer in time".to_owned())
}

impl PlayStore {
    /// Makes a call that the store answers with `answer` once it has one, after `wait` at the latest.
    async fn call<T>(&self, wait: TimeSpan, answer: impl Fn(bool) -> Option<T>) -> Result<T> {
        let began = Instant::now();
        let connection = self.way.connection.get();
        let mut answered = began + ANSWER_TIME;
        loop {
            let waited = began.elapsed();
            if waited >= wait.duration() + CALL_LIMIT {
                return Err(unanswered());
            }
            match self.way.mode.get() {
                StoreMode::Refused if connection == self.way.connection.get() => {
                    sleep(ANSWER_TIME).await;
                    return Err(PlatError::Refused(ResultCode::StoreRefused, "503".to_owned()));
                }
                StoreMode::Served if connection == self.way.connection.get() => {
                    if Instant::now() >= answered
                        && let Some(answer) = answer(waited >= wait.duration())
                    {
                        return Ok(answer);
                    }
                }
                // What it said meanwhile is lost.
                _ => answered = began + wait.duration() + 2 * CALL_LIMIT,
            }
            sleep(STEP).await;
        }
    }
}

impl FeedStore for PlayStore {
    fn list(&self, kind: FeedKind) -> LocalBoxFuture<'_, Result<FeedPage>> {
        self.call(TimeSpan(0), move |_| Some(self.state.page(kind))).boxed_local()
    }

    fn watch(
        &self,
        kind: FeedKind,
        from: u64,
        wait: TimeSpan,
    ) -> LocalBoxFuture<'_, Result<WatchOutcome>> {
        let answer = move |over: bool| {
            let changes = self.state.changes(kind, from);
            let as_of = self.state.revision.get();
            (over || !changes.is_empty()).then_some(WatchOutcome::Changes(changes, as_of))
        };
        self.call(wait, answer).boxed_local()
    }

    fn write_status<'a>(
        &'a self,
        kind: FeedKind,
        name: &'a str,
        revision: u64,
        status: Bytes,
    ) -> LocalBoxFuture<'a, Result<WriteOutcome>> {
        async move {
            self.call(TimeSpan(0), |_| Some(())).await?;
            let known = self.state.page(kind).objects.into_iter().find(|o| o.name == name);
            let Some(known) = known.filter(|known| known.revision == revision) else {
                return Ok(WriteOutcome::Refused(None));
            };
            let text = String::from_utf8_lossy(&known.body).into_owned();
            let spec = text.split(r#","status":"#).next().unwrap_or_default().to_owned();
            let body = format!(r#"{spec},"status":{}}}"#, String::from_utf8_lossy(&status));
            Ok(WriteOutcome::Made(self.state.put(kind, name, Bytes::from(body))))
        }
        .boxed_local()
    }

    fn read<'a>(
        &'a self,
        kind: FeedKind,
        name: &'a str,
    ) -> LocalBoxFuture<'a, Result<Option<FeedObject>>> {
        let find =
            move |_| Some(self.state.page(kind).objects.into_iter().find(|o| o.name == name));
        self.call(TimeSpan(0), find).boxed_local()
    }

    fn write<'a>(
        &'a self,
        kind: FeedKind,
        name: &'a str,
        guard: FeedCondition,
        body: Bytes,
    ) -> LocalBoxFuture<'a, Result<WriteOutcome>> {
        async move {
            self.call(TimeSpan(0), |_| Some(())).await?;
            let known = self.state.page(kind).objects.into_iter().find(|o| o.name == name);
            let holds = match guard {
                FeedCondition::Absent => known.is_none(),
                FeedCondition::Is(revision) => {
                    known.as_ref().is_some_and(|o| o.revision == revision)
                }
            };
            if !holds {
                return Ok(WriteOutcome::Refused(known));
            }
            Ok(WriteOutcome::Made(self.state.put(kind, name, body)))
        }
        .boxed_local()
    }

    fn remove<'a>(&'a self, kind: FeedKind, name: &'a str) -> LocalBoxFuture<'a, Result<()>> {
        async move {
            self.call(TimeSpan(0), |_| Some(())).await?;
            self.state.remove(kind, name);
            Ok(())
        }
        .boxed_local()
    }
}

/// Where endpoints put their entries.
#[derive(Clone)]
pub struct EndpointRegistry(Rc<StoreState>);

impl EndpointRegistry {
    pub fn put(&self, name: &str, body: String) {
        self.0.put(FeedKind::Endpoints, name, Bytes::from(body));
    }

    pub fn remove(&self, name: &str) {
        self.0.remove(FeedKind::Endpoints, name);
    }
}

/// Front processes that know one another.
pub struct PlayGroup {
    pub processes: Vec<FrontProcess>,
    pub ways: Vec<Rc<StoreWay>>,
    state: Rc<StoreState>,
    peers: Vec<SocketAddr>,
    bounds: FrontBounds,
    cloud: Option<Rc<dyn DutyPort>>,
}

/// A cloud that takes all calls.
struct WillingCloud;

impl DutyPort for WillingCloud {
    fn report_usage<'a>(
        &'a self,
        _: &'a dyn DutyPermit,
        _: &'a UsageReport,
    ) -> LocalBoxFuture<'a, Result<DutyAnswer>> {
        std::future::ready(Ok(DutyAnswer::Done)).boxed_local()
    }

    fn order_endpoints<'a>(
        &'a self,
        _: &'a dyn DutyPermit,
        _: &'a ScaleOrder,
    ) -> LocalBoxFuture<'a, Result<DutyAnswer>> {
        std::future::ready(Ok(DutyAnswer::Done)).boxed_local()
    }
}

/// Runs a play in virtual time.
pub fn play<F: Future>(play: F) -> F::Output {
    actix_rt::System::new().block_on(async {
        tokio::time::pause();
        // Time passes in small steps: what is on its way between processes arrives before the next one.
        actix_rt::spawn(async {
            loop {
                sleep(Duration::from_millis(1)).await;
                std::thread::yield_now();
            }
        });
        play.await
    })
}

/// A loopback address that no other test has, in this run or in one beside it.
fn own_address() -> SocketAddr {
    const FIRST_PORT: u16 = 7471;
    static COUNT: AtomicU16 = AtomicU16::new(0);
    let [.., high, low] = std::process::id().to_be_bytes();
    let [ports, last] = COUNT.fetch_add(1, Ordering::Relaxed).to_be_bytes();
    let ip = Ipv4Addr::new(127, 64 | (high & 0x7f), low, last);
    SocketAddr::from((ip, FIRST_PORT + u16::from(ports)))
}

fn settings(name: String, peer: SocketAddr, seeds: Vec<SocketAddr>) -> FrontSettings {
    let any = SocketAddr::new(peer.ip(), 0);
    FrontSettings {
        instance: name.as_str().into(),
        domain: "near".into(),
        listen: any,
        ready: any,
        peer,
        admin: any,
        seeds,
        store: any,
        cloud: None,
        link_mbps: 1000.0,
        cores: 0.25,
        bounds: FrontBounds::default(),
    }
}

/// An entry of the endpoint list; `state` as the platform has it.
pub fn entry(state: &str) -> Bytes {
    let text = format!(
        r#"{{"service":"s","address":"127.0.0.1:1","zone":"near","version":"v1","slots":6,"state":"{state}","seq":1}}"#
    );
    Bytes::from(text)
}

impl PlayGroup {
    /// Starts `count` processes before a store with three endpoints, and lets them find together.
    pub async fn start(count: usize) -> Self {
        Self::start_with(count, FrontBounds::default(), None).await
    }

    /// The same of processes that carry out roll-outs, of which a version may get a part of `share` of the requests, and
    /// `slack` besides.
    pub async fn start_releasing(count: usize, (share, slack): (f64, u32)) -> Self {
        let bounds =
            FrontBounds { release_share: share, release_slack: slack, ..FrontBounds::default() };
        Self::start_with(count, bounds, Some(Rc::new(WillingCloud))).await
    }

    async fn start_with(
        count: usize,
        bounds: FrontBounds,
        cloud: Option<Rc<dyn DutyPort>>,
    ) -> Self {
        let state = Rc::new(StoreState::default());
        let rules = object("main", RULES.to_owned());
        state.put(FeedKind::Rules, "main", rules.body);
        for name in FIRST_ENDPOINTS {
            state.put(FeedKind::Endpoints, name, entry("ready"));
        }
        let peers: Vec<SocketAddr> = (0..count).map(|_| own_address()).collect();
        let (processes, ways) = (Vec::new(), Vec::new());
        let mut group = PlayGroup { processes, ways, state, peers, bounds, cloud };
        for at in 0..count {
            let (process, way) = group.start_one(at).await;
            group.processes.push(process);
            group.ways.push(way);
        }
        sleep(SETTLE).await;
        group
    }

    async fn start_one(&self, at: usize) -> (FrontProcess, Rc<StoreWay>) {
        let way =
            Rc::new(StoreWay { mode: Cell::new(StoreMode::Served), connection: Cell::new(0) });
        let store = PlayStore { state: self.state.clone(), way: way.clone() };
        let seeds = self.peers.iter().copied().take(3).collect();
        let settings = settings(format!("front-{at}"), self.peers[at], seeds);
        let settings = FrontSettings { bounds: self.bounds.clone(), ..settings };
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let clock = NodeClock::from_runtime();
        let ports = FrontPorts { store: Box::new(store), cloud: self.cloud.clone(), clock };
        let process = start_front(settings, log, Box::new(HttpDialect), ports, None);
        (process.await.expect("it listens"), way)
    }

    /// Kills some processes at one moment, and starts them again `dark` later. Callers' addresses change.
    pub async fn kill(&mut self, killed: &[usize], dark: Duration) {
        let mut kept = Vec::new();
        let processes = std::mem::take(&mut self.processes).into_iter().enumerate();
        for (at, process) in processes {
            kept.push((!killed.contains(&at)).then_some(process));
        }
        sleep(dark).await;
        for (at, process) in kept.into_iter().enumerate() {
            let process = match process {
                Some(process) => process,
                None => {
                    let (process, way) = self.start_one(at).await;
                    self.ways[at] = way;
                    process
                }
            };
            self.processes.push(process);
        }
    }

    /// Waits until all processes serve.
    pub async fn until_ready(&self) {
        self.until(|process| process.node.is_ready()).await;
    }

    /// Waits until something holds at every process.
    async fn until(&self, holds: impl Fn(&FrontProcess) -> bool) {
        let began = Instant::now();
        while !self.processes.iter().all(&holds) {
            assert!(began.elapsed() < MOST_AWAITED, "it does not come about at every process");
            sleep(STEP).await;
        }
    }

    /// The store takes away the endpoints that it began with.
    pub fn remove_first_endpoints(&self) {
        FIRST_ENDPOINTS.iter().for_each(|name| self.remove(name));
    }

    /// Waits until every process sends requests to `count` endpoints, and knows no others.
    pub async fn until_listed(&self, count: usize) {
        let lists = |process: &FrontProcess| {
            let board = process.node.endpoints.borrow();
            let serving = board.iter().filter(|(_, fact)| fact.takes_work() && fact.serves);
            board.len() == count && serving.count() == count
        };
        self.until(lists).await;
    }

    /// The store stands so with every process.
    pub fn set_all(&self, mode: StoreMode) {
        self.ways.iter().for_each(|way| way.set(mode));
    }

    /// Which process collects.
    pub fn collector(&self) -> usize {
        let collects = |process: &FrontProcess| process.node.mesh.borrow().view.collects();
        self.processes.iter().position(collects).expect("one collects")
    }

    /// Which processes follow the store.
    pub fn watchers(&self) -> Vec<usize> {
        let follows = |at: &usize| self.processes[*at].node.endpoints_feed.get().watching;
        (0..self.processes.len()).filter(follows).collect()
    }

    /// The operators put a newer version of the rules into the store.
    pub fn change_rules(&self, version: u64) {
        let text = RULES.replace("\"version\":7", &format!("\"version\":{version}"));
        self.state.put(FeedKind::Rules, "main", Bytes::from(text));
    }

    /// The operators limit the one account to this many tokens a second, and as many at once.
    pub fn limit_account(&self, version: u64, tokens: u64) {
        let rules = RULES.replace("\"version\":7", &format!("\"version\":{version}"));
        let limit = format!(r#""rate-per-s":{tokens},"burst":{tokens}"#);
        let rules = rules.replace(r#""rate-per-s":0,"burst":0"#, &limit);
        self.state.put(FeedKind::Rules, "main", Bytes::from(rules));
    }

    /// For how long, in milliseconds from now, each process still goes by rules older than `version`.
    pub async fn older_for(&self, version: u64, most: Duration) -> Vec<u64> {
        self.lasts(most, |process| process.node.rules.borrow().version() < version).await
    }

    /// The store takes an entry.
    pub fn put(&self, name: &str, state: &str) {
        self.state.put(FeedKind::Endpoints, name, entry(state));
    }

    /// The operators order a roll-out of the one service.
    pub fn order_release(&self, to: &str, seconds: f64) {
        let spec = format!(r#"{{"service":"s","to":"{to}","duration-s":{seconds}}}"#);
        let body = format!(r#"{{"spec":{spec},"status":null}}"#);
        self.state.put(FeedKind::Releases, "s", Bytes::from(body));
    }

    /// The operators take the order away.
    pub fn withdraw_release(&self) {
        self.state.remove(FeedKind::Releases, "s");
    }

    /// What the system wrote of the order.
    pub fn release_status(&self) -> String {
        let page = self.state.page(FeedKind::Releases);
        let body =
            page.objects.first().map(|order| String::from_utf8_lossy(&order.body).into_owned());
        let status = body.as_deref().and_then(|text| text.split_once(r#""status":"#));
        status.map(|(_, status)| status.trim_end_matches('}').to_owned()).unwrap_or_default()
    }

    /// The way of endpoints to the store.
    pub fn registry(&self) -> EndpointRegistry {
        EndpointRegistry(self.state.clone())
    }

    /// The store takes an entry away.
    pub fn remove(&self, name: &str) {
        self.state.remove(FeedKind::Endpoints, name);
    }

    /// Whether every process may send requests to `name`.
    pub fn all_use(&self, name: &str) -> bool {
        self.processes.iter().all(|process| uses(process, name))
    }

    /// For how long, in milliseconds from now, each process may still send requests to `name`, if
    /// only as the last resort. Ends after `most`.
    pub async fn uses_for(&self, name: &str, most: Duration) -> Vec<u64> {
        self.lasts(most, |process| uses(process, name)).await
    }

    async fn lasts(&self, most: Duration, holds: impl Fn(&FrontProcess) -> bool) -> Vec<u64> {
        let began = Instant::now();
        let mut last = vec![0; self.processes.len()];
        while began.elapsed() < most {
            for (process, last) in self.processes.iter().zip(&mut last) {
                if holds(process) {
                    *last = began.elapsed().as_millis() as u64;
                }
            }
            sleep(STEP).await;
        }
        last
    }
}

fn uses(process: &FrontProcess, name: &str) -> bool {
    let board = process.node.endpoints.borrow();
    board.key(&name.into()).and_then(|key| board.get(key)).is_some_and(|fact| fact.takes_work())
}

//! Several front processes with one store in virtual time: what each of them knows when the store
//! does not answer some, refuses others, or loses entries.
//!
//! The processes and their connections are real, on one thread and over loopback. Only the store
//! and the clock are simulated: time advances by a millisecond whenever nothing else is to be done.

use crate::front::{RULES, object};
use crate::path::EndpointPath;
use bytes::Bytes;
use futures_util::future::{FutureExt, LocalBoxFuture};
use oleandertack::board::NodeClock;
use oleandertack::conf::{FrontBounds, FrontSettings};
use oleandertack::front::{FrontPorts, FrontProcess, start_front};
use oleandertack::kind::{ResultCode, StoreEra, TimeSpan};
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
/// The timeout of a call, in addition to the time that it asks the store to wait.
const CALL_TIMEOUT: Duration = Duration::from_millis(1000);
/// Polling interval of a waiting watch, and of the tests.
const POLL_PERIOD: Duration = Duration::from_millis(5);
/// Time until all processes know one another and have a collector.
const STARTUP_TIME: Duration = Duration::from_secs(7);

/// The endpoints in the store at the start.
const FIRST_ENDPOINTS: [&str; 3] = ["i-0", "i-1", "i-2"];
/// Timeout for a state that has to be reached.
const MAX_WAIT: Duration = Duration::from_secs(20);

/// How the store treats one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreMode {
    /// It answers.
    Served,
    /// It refuses each call at once, and ends the waiting ones.
    Refused,
    /// It does not answer.
    Silent,
}

/// The connection of one process to the store.
#[derive(Debug)]
pub struct StoreLink {
    mode: Cell<StoreMode>,
    /// Calls that were under way when this was increased are never answered.
    connection: Cell<u32>,
}

impl StoreLink {
    /// Silences open connections for good; new ones work.
    pub fn silence_open_connections(&self) {
        self.connection.set(self.connection.get() + 1);
    }

    pub fn set(&self, mode: StoreMode) {
        self.mode.set(mode);
    }
}

/// The content of the store.
#[derive(Default)]
struct StoreState {
    era: Cell<u64>,
    revision: Cell<u64>,
    objects: RefCell<Vec<(FeedKind, FeedObject)>>,
    history: RefCell<Vec<(FeedKind, FeedEvent, u64)>>,
    /// Calls answered so far.
    calls: Cell<u64>,
}

/// A copy of the store, to which it can go back.
pub struct StoreCopy {
    revision: u64,
    objects: Vec<(FeedKind, FeedObject)>,
    history: Vec<(FeedKind, FeedEvent, u64)>,
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

    fn copy(&self) -> StoreCopy {
        StoreCopy {
            revision: self.revision.get(),
            objects: self.objects.borrow().clone(),
            history: self.history.borrow().clone(),
        }
    }

    /// Loses all that was written since the copy was made, and begins an era.
    fn go_back(&self, copy: StoreCopy) {
        self.era.set(self.era.get() + 1);
        self.revision.set(copy.revision);
        self.objects.replace(copy.objects);
        self.history.replace(copy.history);
    }

    fn find(&self, kind: FeedKind, name: &str) -> Option<FeedObject> {
        self.page(kind).objects.into_iter().find(|object| object.name == name)
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

struct TestStore {
    state: Rc<StoreState>,
    link: Rc<StoreLink>,
    /// The era that the last answer named.
    era: Cell<Option<StoreEra>>,
}

fn unanswered() -> PlatError {
    PlatError::OutcomeUnknown("no answer in time".to_owned())
}

impl TestStore {
    /// The revision to which the store gave `number`.
    fn told(&self, number: u64) -> u64 {
        StoreEra(self.state.era.get()).revision(number)
    }

    fn told_object(&self, object: FeedObject) -> FeedObject {
        FeedObject { revision: self.told(object.revision), ..object }
    }

    fn told_event(&self, event: FeedEvent) -> FeedEvent {
        match event {
            FeedEvent::Put(object) => FeedEvent::Put(self.told_object(object)),
            FeedEvent::Gone { name, revision } => {
                FeedEvent::Gone { name, revision: self.told(revision) }
            }
        }
    }

    fn told_page(&self, kind: FeedKind) -> FeedPage {
        let FeedPage { objects, as_of } = self.state.page(kind);
        let objects = objects.into_iter().map(|object| self.told_object(object)).collect();
        FeedPage { objects, as_of: self.told(as_of) }
    }

    fn told_found(&self, kind: FeedKind, name: &str) -> Option<FeedObject> {
        self.state.find(kind, name).map(|object| self.told_object(object))
    }

    /// Makes a call that the store answers with `answer` once it has one, after `wait` at the
    /// latest.
    async fn call<T>(&self, wait: TimeSpan, answer: impl Fn(bool) -> Option<T>) -> Result<T> {
        let began = Instant::now();
        let connection = self.link.connection.get();
        let mut answered = began + ANSWER_TIME;
        loop {
            let waited = began.elapsed();
            if waited >= wait.duration() + CALL_TIMEOUT {
                return Err(unanswered());
            }
            match self.link.mode.get() {
                StoreMode::Refused if connection == self.link.connection.get() => {
                    sleep(ANSWER_TIME).await;
                    self.era.set(Some(StoreEra(self.state.era.get())));
                    return Err(PlatError::Refused(ResultCode::StoreRefused, "503".to_owned()));
                }
                StoreMode::Served if connection == self.link.connection.get() => {
                    if Instant::now() >= answered
                        && let Some(answer) = answer(waited >= wait.duration())
                    {
                        self.era.set(Some(StoreEra(self.state.era.get())));
                        self.state.calls.set(self.state.calls.get() + 1);
                        return Ok(answer);
                    }
                }
                // An answer that was due meanwhile is lost.
                _ => answered = began + wait.duration() + 2 * CALL_TIMEOUT,
            }
            sleep(POLL_PERIOD).await;
        }
    }
}

impl FeedStore for TestStore {
    fn era(&self) -> Option<StoreEra> {
        self.era.get()
    }

    fn list(&self, kind: FeedKind) -> LocalBoxFuture<'_, Result<FeedPage>> {
        self.call(TimeSpan(0), move |_| Some(self.told_page(kind))).boxed_local()
    }

    fn watch(
        &self,
        kind: FeedKind,
        from: u64,
        wait: TimeSpan,
    ) -> LocalBoxFuture<'_, Result<WatchOutcome>> {
        let answer = move |over: bool| {
            let number = StoreEra::number(from);
            if number > self.state.revision.get() {
                return Some(WatchOutcome::HistoryLost);
            }
            let changes = self.state.changes(kind, number).into_iter();
            let changes: Vec<_> = changes.map(|event| self.told_event(event)).collect();
            let as_of = self.told(self.state.revision.get());
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
            let known = self.told_found(kind, name);
            let Some(known) = known.filter(|known| known.revision == revision) else {
                return Ok(WriteOutcome::Refused(None));
            };
            let text = String::from_utf8_lossy(&known.body).into_owned();
            let spec = text.split(r#","status":"#).next().unwrap_or_default().to_owned();
            let body = format!(r#"{spec},"status":{}}}"#, String::from_utf8_lossy(&status));
            Ok(WriteOutcome::Made(self.told(self.state.put(kind, name, Bytes::from(body)))))
        }
        .boxed_local()
    }

    fn read<'a>(
        &'a self,
        kind: FeedKind,
        name: &'a str,
    ) -> LocalBoxFuture<'a, Result<Option<FeedObject>>> {
        let find = move |_| Some(self.told_found(kind, name));
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
            let known = self.told_found(kind, name);
            let holds = match guard {
                FeedCondition::Absent => known.is_none(),
                FeedCondition::Is(revision) => {
                    known.as_ref().is_some_and(|o| o.revision == revision)
                }
            };
            if !holds {
                return Ok(WriteOutcome::Refused(known));
            }
            Ok(WriteOutcome::Made(self.told(self.state.put(kind, name, body))))
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

/// Where endpoints register their entries.
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

/// A group of front processes that know one another.
pub struct ProcessGroup {
    pub processes: Vec<FrontProcess>,
    pub links: Vec<Rc<StoreLink>>,
    /// The way of each process to the endpoints.
    pub paths: Vec<Rc<EndpointPath>>,
    state: Rc<StoreState>,
    peers: Vec<SocketAddr>,
    bounds: FrontBounds,
    cloud: Option<Rc<dyn DutyPort>>,
}

/// A cloud that accepts all calls.
struct AcceptingCloud;

impl DutyPort for AcceptingCloud {
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

/// Runs a test in virtual time.
pub fn play<F: Future>(play: F) -> F::Output {
    actix_rt::System::new().block_on(async {
        tokio::time::pause();
        // Advances time in small steps, so that messages between processes arrive before the next
        // step.
        actix_rt::spawn(async {
            loop {
                sleep(Duration::from_millis(1)).await;
                std::thread::yield_now();
            }
        });
        play.await
    })
}

/// A loopback address that no other test uses, in this run or in a concurrent one.
fn unique_address() -> SocketAddr {
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
        source: None,
        link_mbps: 1000.0,
        cores: 0.25,
        memory_mb: 260.0,
        descriptors: 4100,
        dispatch: true,
        bounds: FrontBounds::default(),
    }
}

/// An endpoint entry, with `state` in the platform's notation.
pub fn entry(state: &str) -> Bytes {
    let text = format!(
        r#"{{"service":"s","address":"127.0.0.1:1","zone":"near","version":"v1","slots":6,"state":"{state}","seq":1}}"#
    );
    Bytes::from(text)
}

impl ProcessGroup {
    /// Starts `count` processes and a store with three endpoints, and waits until the processes
    /// know one another.
    pub async fn start(count: usize) -> Self {
        Self::start_with(count, FrontBounds::default(), None).await
    }

    /// Like [`ProcessGroup::start`], with other bounds.
    pub async fn start_bounded(count: usize, bounds: FrontBounds) -> Self {
        Self::start_with(count, bounds, None).await
    }

    /// Like [`ProcessGroup::start`], with roll-outs: a candidate version may receive `share` of the
    /// requests, and `slack` requests more.
    pub async fn start_releasing(count: usize, (share, slack): (f64, u32)) -> Self {
        let bounds =
            FrontBounds { release_share: share, release_slack: slack, ..FrontBounds::default() };
        Self::start_with(count, bounds, Some(Rc::new(AcceptingCloud))).await
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
        let peers: Vec<SocketAddr> = (0..count).map(|_| unique_address()).collect();
        let (processes, links) = (Vec::new(), Vec::new());
        let paths = (0..count).map(|_| Rc::default()).collect();
        let mut group = ProcessGroup { processes, links, paths, state, peers, bounds, cloud };
        for at in 0..count {
            let (process, link) = group.start_one(at).await;
            group.processes.push(process);
            group.links.push(link);
        }
        sleep(STARTUP_TIME).await;
        group
    }

    async fn start_one(&self, at: usize) -> (FrontProcess, Rc<StoreLink>) {
        let link =
            Rc::new(StoreLink { mode: Cell::new(StoreMode::Served), connection: Cell::new(0) });
        let state = self.state.clone();
        let store = TestStore { state, link: link.clone(), era: Cell::default() };
        let seeds = self.peers.iter().copied().take(3).collect();
        let settings = settings(format!("front-{at}"), self.peers[at], seeds);
        let settings = FrontSettings { bounds: self.bounds.clone(), ..settings };
        let log = slog::Logger::root(slog::Discard, slog::o!());
        let clock = NodeClock::from_runtime();
        let ports = FrontPorts {
            store: Box::new(store),
            cloud: self.cloud.clone(),
            dialer: self.paths[at].clone(),
            clock,
        };
        let process = start_front(settings, log, Box::new(HttpDialect), ports, None);
        (process.await.expect("it listens"), link)
    }

    /// Kills some processes at one moment, and starts them again after `downtime`. The addresses
    /// for callers change.
    pub async fn kill(&mut self, killed: &[usize], downtime: Duration) {
        let mut kept = Vec::new();
        let processes = std::mem::take(&mut self.processes).into_iter().enumerate();
        for (at, process) in processes {
            kept.push((!killed.contains(&at)).then_some(process));
        }
        sleep(downtime).await;
        for (at, process) in kept.into_iter().enumerate() {
            let process = match process {
                Some(process) => process,
                None => {
                    let (process, link) = self.start_one(at).await;
                    self.links[at] = link;
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

    /// Waits until a version of the rules is in force at every process.
    pub async fn until_rules(&self, version: u64) {
        self.until(|process| process.node.rules.borrow().version() == version).await;
    }

    /// Waits until a condition holds at every process.
    async fn until(&self, holds: impl Fn(&FrontProcess) -> bool) {
        let began = Instant::now();
        while !self.processes.iter().all(&holds) {
            assert!(
                began.elapsed() < MAX_WAIT,
                "the condition does not hold at every process in time"
            );
            sleep(POLL_PERIOD).await;
        }
    }

    /// Removes the initial endpoints from the store.
    pub fn remove_first_endpoints(&self) {
        FIRST_ENDPOINTS.iter().for_each(|name| self.remove(name));
    }

    /// The processes that dispatch the service, as the first one knows them.
    pub fn dispatchers(&self) -> Vec<usize> {
        let dump = oleandertack::front::admin::dump_state(&self.processes[0].node);
        let names = dump["dispatch"][0]["dispatchers"].as_array().expect("the dispatchers").clone();
        let place = |name: &serde_json::Value| name.as_str()?.strip_prefix("front-")?.parse().ok();
        names.iter().filter_map(place).collect()
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

    /// Sets how the store treats every process.
    pub fn set_all(&self, mode: StoreMode) {
        self.links.iter().for_each(|link| link.set(mode));
    }

    /// The index of the collector.
    pub fn collector(&self) -> usize {
        let collects = |process: &FrontProcess| process.node.mesh.borrow().view.collects();
        self.processes.iter().position(collects).expect("one collects")
    }

    /// The indexes of the processes that watch the store.
    pub fn watchers(&self) -> Vec<usize> {
        let follows = |at: &usize| self.processes[*at].node.endpoints_feed.get().watching;
        (0..self.processes.len()).filter(follows).collect()
    }

    /// Puts a newer version of the rules into the store.
    pub fn change_rules(&self, version: u64) {
        self.put_rules(&RULES.replace("\"version\":7", &format!("\"version\":{version}")));
    }

    /// Puts rules into the store.
    pub fn put_rules(&self, text: &str) {
        self.state.put(FeedKind::Rules, "main", Bytes::from(text.to_owned()));
    }

    /// Like [`ProcessGroup::start`], with control work.
    pub async fn start_working(count: usize) -> Self {
        Self::start_with(count, FrontBounds::default(), Some(Rc::new(AcceptingCloud))).await
    }

    /// Limits the only account to this many tokens a second, and to the same burst.
    pub fn limit_account(&self, version: u64, tokens: u64) {
        let rules = RULES.replace("\"version\":7", &format!("\"version\":{version}"));
        let limit = format!(r#""rate-per-s":{tokens},"burst":{tokens}"#);
        let rules = rules.replace(r#""rate-per-s":0,"burst":0"#, &limit);
        self.state.put(FeedKind::Rules, "main", Bytes::from(rules));
    }

    /// How long, in milliseconds from now, each process uses rules older than `version`.
    pub async fn older_for(&self, version: u64, most: Duration) -> Vec<u64> {
        self.last_times(most, |process| process.node.rules.borrow().version() < version).await
    }

    /// Copies the store.
    pub fn copy(&self) -> StoreCopy {
        self.state.copy()
    }

    /// Copies the store as if the objects of some kinds had been written since.
    pub fn copy_without(&self, kinds: &[FeedKind]) -> StoreCopy {
        let mut copy = self.state.copy();
        copy.objects.retain(|(kind, _)| !kinds.contains(kind));
        copy.history.retain(|(kind, ..)| !kinds.contains(kind));
        copy
    }

    /// The store comes back from a copy. Calls under way are answered, and connections stay open.
    pub fn go_back(&self, copy: StoreCopy) {
        self.state.go_back(copy);
    }

    /// Writes objects that no process reads, until the store has given out `count` more revisions.
    pub fn write_others(&self, count: u64) {
        for _ in 0..count {
            self.state.put(FeedKind::UsageReports, "other", Bytes::from_static(b"null"));
        }
    }

    /// The content of an object of the system in the store.
    pub fn stored(&self, kind: FeedKind, name: &str) -> Option<Bytes> {
        self.state.find(kind, name).map(|object| object.body)
    }

    /// How often an object of `kind` was written so far.
    pub fn writes(&self, kind: FeedKind) -> u64 {
        let history = self.state.history.borrow();
        let puts = history
            .iter()
            .filter(|(of, event, _)| *of == kind && matches!(event, FeedEvent::Put(_)));
        puts.count() as u64
    }

    /// The calls that the store has answered so far.
    pub fn store_calls(&self) -> u64 {
        self.state.calls.get()
    }

    /// The revision that the store gave out last.
    pub fn revision(&self) -> u64 {
        self.state.revision.get()
    }

    /// Puts an entry into the store; returns its revision.
    pub fn put(&self, name: &str, state: &str) -> u64 {
        self.state.put(FeedKind::Endpoints, name, entry(state))
    }

    /// Orders a roll-out of the only service.
    pub fn order_release(&self, to: &str, seconds: f64) {
        let spec = format!(r#"{{"service":"s","to":"{to}","duration-s":{seconds}}}"#);
        let body = format!(r#"{{"spec":{spec},"status":null}}"#);
        self.state.put(FeedKind::Releases, "s", Bytes::from(body));
    }

    /// Removes the order.
    pub fn withdraw_release(&self) {
        self.state.remove(FeedKind::Releases, "s");
    }

    /// The status that the processes wrote into the order.
    pub fn release_status(&self) -> String {
        let page = self.state.page(FeedKind::Releases);
        let body =
            page.objects.first().map(|order| String::from_utf8_lossy(&order.body).into_owned());
        let status = body.as_deref().and_then(|text| text.split_once(r#""status":"#));
        status.map(|(_, status)| status.trim_end_matches('}').to_owned()).unwrap_or_default()
    }

    /// The registry that endpoints write to.
    pub fn registry(&self) -> EndpointRegistry {
        EndpointRegistry(self.state.clone())
    }

    /// Removes an entry from the store.
    pub fn remove(&self, name: &str) {
        self.state.remove(FeedKind::Endpoints, name);
    }

    /// Whether every process may send requests to `name`.
    pub fn all_use(&self, name: &str) -> bool {
        self.processes.iter().all(|process| uses(process, name))
    }

    /// How long, in milliseconds from now, each process may still send requests to `name`, even if
    /// only as a last resort. Ends after `most`.
    pub async fn uses_for(&self, name: &str, most: Duration) -> Vec<u64> {
        self.last_times(most, |process| uses(process, name)).await
    }

    /// Like [`uses_for`](Self::uses_for), for requests that other endpoints could get.
    pub async fn prefers_for(&self, name: &str, most: Duration) -> Vec<u64> {
        self.last_times(most, |process| prefers(process, name)).await
    }

    /// Whether every process uses `name` like any other endpoint.
    pub fn all_prefer(&self, name: &str) -> bool {
        self.processes.iter().all(|process| prefers(process, name))
    }

    /// When a condition last held at each process, in milliseconds from now. Ends after `most`.
    async fn last_times(&self, most: Duration, holds: impl Fn(&FrontProcess) -> bool) -> Vec<u64> {
        let began = Instant::now();
        let mut last = vec![0; self.processes.len()];
        while began.elapsed() < most {
            for (process, last) in self.processes.iter().zip(&mut last) {
                if holds(process) {
                    *last = began.elapsed().as_millis() as u64;
                }
            }
            sleep(POLL_PERIOD).await;
        }
        last
    }
}

/// Whether a process may send requests to the endpoint `name`.
fn uses(process: &FrontProcess, name: &str) -> bool {
    let board = process.node.endpoints.borrow();
    board.key(&name.into()).and_then(|key| board.get(key)).is_some_and(|fact| fact.takes_work())
}

/// Whether a process uses the endpoint `name` like any other.
fn prefers(process: &FrontProcess, name: &str) -> bool {
    let board = process.node.endpoints.borrow();
    let fact = board.key(&name.into()).and_then(|key| board.get(key));
    fact.is_some_and(|fact| fact.takes_work() && !fact.doubted)
}

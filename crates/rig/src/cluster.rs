//! The cluster.

use compact_str::CompactString;
use oleander_bundle::content::BUNDLE_FORMAT;
use oleander_bundle::{
    AccountEntry, BundleContent, BundleSigner, ModelEntry, RouteEntry, ServiceEntry, SignPolicy,
    SignedBundle,
};
use oleander_conf::{EntrySettings, EntryTimes, PeerSetting, RequestBounds};
use oleander_ctl::platform::{open_store, submit};
use oleander_edge::{StepHook, start_entry_with};
use oleander_kind::hash::digest_bytes;
use oleander_kind::{
    AccountName, DomainName, EndpointRecord, InstanceId, ServiceName, VersionName,
};
use oleander_standin::{StandinSettings, StandinSite};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::mpsc;
use std::thread::JoinHandle;
use std::time::Duration;
use tokio::sync::mpsc::{UnboundedReceiver, UnboundedSender, unbounded_channel};

/// The failure domains of a rig.
pub const DOMAINS: [&str; 3] = ["ylemiste", "lasnamae", "kopli"];
/// The caller's key.
pub const CALLER_KEY: &str = "rig-key";
/// The model service.
pub const MODEL: &str = "recipe-llm";
/// The plain service.
pub const PLAIN: &str = "linescreen-api";
/// The model version.
pub const VERSION: &str = "v1";
/// An operator's secret key, for rigs only.
const OPERATOR_SECRET: &str = "4242424242424242424242424242424242424242424242424242424242424242";
/// How long a rig may take to be ready.
const READY_LIMIT: Duration = Duration::from_secs(20);
const LOOK_PAUSE: Duration = Duration::from_millis(10);

/// How large a rig is.
#[derive(Clone, Copy, Debug)]
pub struct RigSettings {
    /// Entries, spread over the failure domains.
    pub entries: usize,
    /// Engines in each failure domain.
    pub engines: usize,
    /// Plain endpoints in each failure domain.
    pub plains: usize,
    /// How long a planned stop lets streams finish, in milliseconds.
    pub drain_ms: u64,
}

impl Default for RigSettings {
    fn default() -> Self {
        RigSettings { entries: 3, engines: 2, plains: 1, drain_ms: 100 }
    }
}

/// What an entry's thread is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryCommand {
    /// Stop as on SIGTERM.
    Stop,
    /// End at once.
    Kill,
}

/// An entry of a rig.
pub struct RigEntry {
    /// Where callers are served.
    pub address: SocketAddr,
    /// Where operators are served.
    pub admin: SocketAddr,
    /// Where peers connect.
    pub peer: SocketAddr,
    /// Tells its thread to end.
    pub commands: UnboundedSender<EntryCommand>,
    thread: Option<JoinHandle<()>>,
}

/// A running cluster.
pub struct Rig {
    /// The stand-in, `http://ip:port`.
    pub standin: String,
    /// The entries.
    pub entries: Vec<RigEntry>,
    settings: RigSettings,
    stop_standin: UnboundedSender<EntryCommand>,
    standin_thread: Option<JoinHandle<()>>,
}

/// Controls that a hook can carry into an entry's thread.
#[derive(Clone)]
pub struct RigControl {
    /// The stand-in.
    pub standin: String,
    /// One sender an entry, filled as entries start.
    pub commands: std::sync::Arc<std::sync::Mutex<Vec<UnboundedSender<EntryCommand>>>>,
}

impl Rig {
    /// Starts a cluster; `hook` makes the hook of each entry, by its number.
    ///
    /// # Errors
    /// What did not come up.
    pub async fn start(
        settings: RigSettings,
        hook: impl Fn(usize, RigControl) -> Option<StepHook>,
    ) -> Result<Rig, String> {
        let (standin, stop_standin, standin_thread) = start_standin()?;
        let mut rig = Rig {
            standin: format!("http://{standin}"),
            entries: Vec::new(),
            settings,
            stop_standin,
            standin_thread: Some(standin_thread),
        };
        rig.start_endpoints().await?;
        rig.submit_bundle(1, "").await?;
        let control = RigControl { standin: rig.standin.clone(), commands: Default::default() };
        for number in 0..settings.entries {
            let made = hook(number, control.clone());
            rig.add_entry(made)?;
            let sender = rig.entries[number].commands.clone();
            control.commands.lock().map_err(|_| "a hook panicked")?.push(sender);
        }
        rig.wait_ready().await?;
        Ok(rig)
    }

    async fn start_endpoints(&self) -> Result<(), String> {
        for (count, service, role) in
            [(self.settings.engines, MODEL, "engine"), (self.settings.plains, PLAIN, "plain")]
        {
            for (at, domain) in DOMAINS.iter().cycle().take(3 * count).enumerate() {
                let body = serde_json::json!({
                    "token": format!("rig:{service}:{at}"), "service": service, "role": role,
                    "version": if role == "engine" { VERSION } else { "" },
                    "domain": domain, "class": "rig", "market": "reclaimable",
                });
                self.post("/instances", &body).await?;
            }
        }
        Ok(())
    }

    /// Posts to the stand-in.
    ///
    /// # Errors
    /// What the stand-in refused.
    pub async fn post(&self, path: &str, body: &serde_json::Value) -> Result<(), String> {
        post_json(&self.standin, path, body).await
    }

    /// Signs and submits the bundle of `generation`.
    ///
    /// # Errors
    /// The tool's error.
    pub async fn submit_bundle(&self, generation: u64, parent: &str) -> Result<String, String> {
        let bundle = rig_bundle(generation, parent);
        let store = open_store(&self.standin);
        submit(&store, &bundle).await.map_err(|fault| fault.to_string())?;
        Ok(bundle.content.digest().to_string())
    }

    /// Adds an entry.
    ///
    /// # Errors
    /// If it cannot listen.
    pub fn add_entry(&mut self, hook: Option<StepHook>) -> Result<usize, String> {
        let number = self.entries.len();
        let settings = self.entry_settings(number);
        let (commands, received) = unbounded_channel();
        let (ready, started) = mpsc::channel();
        let thread = std::thread::Builder::new()
            .name(format!("entry-{number}"))
            .spawn(move || run_entry(settings, hook, &ready, received))
            .map_err(|fault| fault.to_string())?;
        let [address, admin, peer] = started.recv().map_err(|_| "an entry did not start")?;
        self.entries.push(RigEntry { address, admin, peer, commands, thread: Some(thread) });
        Ok(number)
    }

    fn entry_settings(&self, number: usize) -> EntrySettings {
        let any = SocketAddr::from(([127, 0, 0, 1], 0));
        let peers = self.entries.iter().enumerate().map(|(at, entry)| PeerSetting {
            instance: entry_name(at),
            domain: DomainName::from(DOMAINS[at % DOMAINS.len()]),
            address: entry.peer,
        });
        EntrySettings {
            instance: entry_name(number),
            domain: DomainName::from(DOMAINS[number % DOMAINS.len()]),
            listen: any,
            admin: any,
            peer: any,
            platform: self.standin.clone().into(),
            list: format!("{}/list", self.standin).into(),
            root_keys: vec![operator().public_hex()],
            root_quorum: 1,
            // A few to join through, as operators would name.
            peers: peers.take(3).collect(),
            bounds: RequestBounds::default(),
            times: EntryTimes {
                probe_ms: 50,
                list_ms: 50,
                watch_ms: 1000,
                drain_ms: self.settings.drain_ms,
                unready_ms: 50,
                platform_ms: 1000,
                ..EntryTimes::default()
            },
            descriptors: 4100,
            claim_shards: 4,
        }
    }

    /// Waits until every living entry is ready, sees all endpoints and all entries.
    ///
    /// # Errors
    /// If that takes too long.
    pub async fn wait_ready(&self) -> Result<(), String> {
        let endpoints = 3 * (self.settings.engines + self.settings.plains);
        let until = std::time::Instant::now() + READY_LIMIT;
        for entry in &self.entries {
            while !self.sees_all(entry, endpoints).await {
                if std::time::Instant::now() > until {
                    return Err(format!("{} is not ready", entry.admin));
                }
                actix_rt::time::sleep(LOOK_PAUSE).await;
            }
        }
        Ok(())
    }

    async fn sees_all(&self, entry: &RigEntry, endpoints: usize) -> bool {
        let state = self.state_of(entry).await;
        let listed = state["endpoints"].as_array().map_or(0, Vec::len);
        let members = state["summaries"]["members"].as_array().map_or(0, Vec::len);
        let live = state["endpoints"].as_array().into_iter().flatten();
        let all_live = live.filter(|endpoint| endpoint["stage"] == "live").count() == listed;
        listed >= endpoints
            && all_live
            && members >= self.entries.len()
            && state["generation"].as_u64().unwrap_or(0) > 0
    }

    /// The dump of an entry's state; null if it does not answer.
    pub async fn state_of(&self, entry: &RigEntry) -> serde_json::Value {
        let client = awc::Client::builder().timeout(Duration::from_secs(2)).finish();
        let sent = client.get(format!("http://{}/state", entry.admin)).send().await;
        let Ok(mut response) = sent else { return serde_json::Value::Null };
        response.json().limit(8 << 20).await.unwrap_or_default()
    }

    /// The addresses of a service's live endpoints.
    pub async fn endpoint_addresses(&self, service: &str) -> Vec<CompactString> {
        let client = awc::Client::default();
        let sent = client.get(format!("{}/list", self.standin)).send().await;
        let Ok(mut response) = sent else { return Vec::new() };
        let records = response.json::<Vec<EndpointRecord>>().await.unwrap_or_default();
        let of_service = records.into_iter().filter(|record| record.service.as_str() == service);
        of_service.map(|record| record.address).collect()
    }

    /// The entries' addresses, as a balancer would have them.
    pub fn addresses(&self) -> Vec<CompactString> {
        self.entries.iter().map(|entry| entry.address.to_string().into()).collect()
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        for entry in &self.entries {
            let _ = entry.commands.send(EntryCommand::Kill);
        }
        let _ = self.stop_standin.send(EntryCommand::Kill);
        for entry in &mut self.entries {
            let _ = entry.thread.take().map(JoinHandle::join);
        }
        let _ = self.standin_thread.take().map(JoinHandle::join);
    }
}

/// Posts JSON to a stand-in.
///
/// # Errors
/// What was refused or not reached.
pub async fn post_json(standin: &str, path: &str, body: &serde_json::Value) -> Result<(), String> {
    let client = awc::Client::default();
    let sent = client.post(format!("{standin}{path}")).send_json(body).await;
    let response = sent.map_err(|fault| format!("{path}: {fault}"))?;
    if response.status().is_success() {
        return Ok(());
    }
    Err(format!("{path}: {}", response.status()))
}

fn entry_name(number: usize) -> InstanceId {
    InstanceId::from(format!("entry-{number}").as_str())
}

/// The operator of rigs.
pub fn operator() -> BundleSigner {
    BundleSigner::from_hex(OPERATOR_SECRET).unwrap_or_else(|| unreachable!("the key is a constant"))
}

/// The bundle of a rig.
pub fn rig_bundle(generation: u64, parent: &str) -> SignedBundle {
    let domains: Vec<DomainName> = DOMAINS.iter().map(|name| DomainName::from(*name)).collect();
    let engine = ServiceEntry {
        engine: true,
        model: Some(ModelEntry {
            version: VersionName::from(VERSION),
            weights: "weights".into(),
            adapters: Vec::new(),
        }),
        replicas: 6,
        domains,
        class: "rig".into(),
        reclaimable_percent: 100,
        routes: Vec::new(),
        first_token_ms: 900,
    };
    let route = |path: &str, idempotent| RouteEntry {
        path: path.into(),
        method: "POST".into(),
        idempotent,
    };
    let plain = ServiceEntry {
        engine: false,
        model: None,
        routes: vec![route("/labels", true), route("/codes", false)],
        ..engine.clone()
    };
    let account = AccountEntry {
        key_hashes: vec![hex::encode(digest_bytes(CALLER_KEY.as_bytes())).into()],
        requests_per_s: 20_000,
        in_flight: 20_000,
        tokens_per_s: 20_000_000,
    };
    let keys = BTreeMap::from([(CompactString::from("operator"), operator().public_hex())]);
    let mut bundle = SignedBundle::new(BundleContent {
        format: BUNDLE_FORMAT,
        generation,
        parent: parent.into(),
        policy: SignPolicy { keys, quorum: 1 },
        accounts: BTreeMap::from([(AccountName::from("rig"), account)]),
        services: BTreeMap::from([
            (ServiceName::from(MODEL), engine),
            (ServiceName::from(PLAIN), plain),
        ]),
    });
    operator().sign(&mut bundle);
    bundle
}

fn run_entry(
    settings: EntrySettings,
    hook: Option<StepHook>,
    ready: &mpsc::Sender<[SocketAddr; 3]>,
    mut commands: UnboundedReceiver<EntryCommand>,
) {
    let log = slog::Logger::root(slog::Discard, slog::o!());
    actix_rt::System::new().block_on(async move {
        let Ok(process) = start_entry_with(settings, log, hook).await else { return };
        let addresses = [process.address(), process.admin_address(), process.peer_address()];
        let _ = ready.send(addresses);
        match commands.recv().await {
            Some(EntryCommand::Stop) => {
                // A stopping process can still be killed.
                let stopping = std::pin::pin!(process.stop());
                let mut stopping = stopping;
                tokio::select! {
                    () = &mut stopping => {}
                    () = killed(&mut commands) => {}
                }
            }
            Some(EntryCommand::Kill) | None => drop(process),
        }
    });
}

async fn killed(commands: &mut UnboundedReceiver<EntryCommand>) {
    while let Some(command) = commands.recv().await {
        if command == EntryCommand::Kill {
            return;
        }
    }
    std::future::pending().await
}

type StandinParts = (SocketAddr, UnboundedSender<EntryCommand>, JoinHandle<()>);

fn start_standin() -> Result<StandinParts, String> {
    let (ready, started) = mpsc::channel();
    let (stop, mut stopped) = unbounded_channel();
    let settings: StandinSettings = serde_json::from_value(serde_json::json!({
        "listen": "127.0.0.1:0",
        "engine": { "step_us": 2000, "step_stream_us": 50, "prefill_token_us": 2 },
        "object": { "writes_per_s": 100_000, "reads_per_s": 100_000 },
    }))
    .map_err(|fault| fault.to_string())?;
    let thread = std::thread::Builder::new()
        .name("standin".to_owned())
        .spawn(move || {
            actix_rt::System::new().block_on(async move {
                let Ok((_site, listening)) = StandinSite::listen(settings).await else { return };
                let _ = ready.send(listening.address());
                let _ = stopped.recv().await;
            });
        })
        .map_err(|fault| fault.to_string())?;
    let address = started.recv().map_err(|_| "the stand-in did not start")?;
    Ok((address, stop, thread))
}

//! The rounds of the fleet process.

use crate::admin;
use crate::keep::{KeptPlan, read_plan, step_lease, write_plan};
use actix_rt::task::JoinHandle;
use actix_web::App;
use bytes::Bytes;
use oleander_board::NodeClock;
use oleander_board::NodeMeter;
use oleander_bundle::{BundleGate, BundleHead, HEAD_NAME, ServiceEntry, SignedBundle};
use oleander_conf::FleetSettings;
use oleander_edge::node::root_policy;
use oleander_fleet::plan::role_of;
use oleander_fleet::{FleetAction, FleetView, PlanObject, StartIntent, plan_round};
use oleander_kind::{EndpointRecord, InstanceId, ServiceName, TimeSpan};
use oleander_lease::{LeaseManager, lease_name};
use oleander_plat::names::encode_name;
use oleander_plat::{
    CloudClient, EndpointList, EndpointListing, EndpointOrder, HttpList, HttpStore, ObjectStore,
    OrderClient, OrderKind, PlatError, StartOrder, read_parts,
};
use oleander_serve::{HttpSite, local_data, serve_app};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;

/// One fleet process.
pub struct FleetNode {
    settings: FleetSettings,
    clock: NodeClock,
    log: slog::Logger,
    /// Its metrics.
    pub meter: NodeMeter,
    gate: RefCell<BundleGate>,
    leases: RefCell<BTreeMap<ServiceName, LeaseManager>>,
    plans: RefCell<BTreeMap<ServiceName, KeptPlan>>,
    store: HttpStore,
    list: HttpList,
    cloud: CloudClient,
    orders: OrderClient,
    client: awc::Client,
    stopping: Cell<bool>,
}

/// A running fleet process.
pub struct FleetProcess {
    /// Its parts.
    pub node: Rc<FleetNode>,
    admin: HttpSite,
    rounds: JoinHandle<()>,
}

/// Starts a fleet process.
///
/// # Errors
/// The system's, if it cannot listen.
pub async fn start_fleet(
    settings: FleetSettings,
    log: slog::Logger,
) -> std::io::Result<FleetProcess> {
    let limit = TimeSpan(settings.call_ms);
    let node = Rc::new(FleetNode {
        clock: NodeClock::default(),
        log,
        meter: NodeMeter::new(),
        gate: RefCell::new(BundleGate::new(root_policy(&settings.root_keys, settings.root_quorum))),
        leases: RefCell::default(),
        plans: RefCell::default(),
        store: HttpStore::new(&settings.platform, limit),
        list: HttpList::new(&settings.list, limit),
        cloud: CloudClient::new(&settings.cloud, limit),
        orders: OrderClient::new(limit),
        client: awc::Client::builder().timeout(limit.duration()).finish(),
        stopping: Cell::new(false),
        settings,
    });
    let data = local_data(node.clone());
    let app = App::new().app_data(data).configure(admin::configure);
    let admin = serve_app(node.settings.admin, app).await?;
    let rounds = actix_rt::spawn(make_rounds(node.clone()));
    slog::info!(node.log, "the fleet process has started");
    Ok(FleetProcess { node, admin, rounds })
}

impl FleetProcess {
    /// Where operators are served.
    pub fn admin_address(&self) -> std::net::SocketAddr {
        self.admin.address()
    }

    /// Stops: no new round, then the leases are given back, so that a successor need not wait.
    pub async fn stop(self) {
        self.node.stopping.set(true);
        let _ = self.rounds.await;
        self.node.release_leases().await;
        slog::info!(self.node.log, "the fleet process has stopped");
    }
}

async fn make_rounds(node: Rc<FleetNode>) {
    let pause = TimeSpan(node.settings.round_ms).duration();
    while !node.stopping.get() {
        node.read_bundle().await;
        let services = node.services();
        let list = if services.is_empty() { None } else { node.read_list().await };
        for (service, wanted) in services {
            if node.fence(&service).is_none() && !node.stands_by(&service).await {
                continue;
            }
            node.renew(&service).await;
            // Without a list nothing is known to be missing: no plan is made.
            if let Some(list) = &list {
                node.plan_service(&service, &wanted, list).await;
            }
        }
        actix_rt::time::sleep(pause).await;
    }
}

impl FleetNode {
    /// The bundle generation known here.
    pub fn generation(&self) -> u64 {
        self.gate.borrow().generation()
    }

    /// Reads the endpoint list; `None` if that fails.
    async fn read_list(&self) -> Option<Vec<EndpointRecord>> {
        let listing = self.list.list().await.inspect_err(|fault| {
            slog::warn!(self.log, "the endpoint list was not read"; "detail" => fault.to_string());
        });
        let EndpointListing { records, new_faults } = listing.ok()?;
        for fault in new_faults {
            slog::warn!(self.log, "a record of the endpoint list is left out"; "detail" => fault);
        }
        Some(records)
    }

    fn services(&self) -> Vec<(ServiceName, ServiceEntry)> {
        let gate = self.gate.borrow();
        let Some(bundle) = gate.current() else {
            return Vec::new();
        };
        let services = bundle.content.services.iter();
        services.map(|(name, entry)| (name.clone(), entry.clone())).collect()
    }

    /// What the entry beside this process says at `path`; nothing if there is none or it is silent.
    async fn ask_entry(&self, path: &str) -> Option<Bytes> {
        const ANSWER_LIMIT: usize = 16 << 20;
        let entry = self.settings.entry?;
        let sent = self.client.get(format!("http://{entry}{path}")).send().await;
        let mut response = sent.ok().filter(|response| response.status().is_success())?;
        response.body().limit(ANSWER_LIMIT).await.ok()
    }

    /// Whether to stand by for `service`. With the entry beside it silent it does: an entry that is
    /// down must not leave a service without a holder.
    async fn stands_by(&self, service: &ServiceName) -> bool {
        let said = self
            .ask_entry(&format!("/stands-by/{}", encode_name(service.as_str().as_bytes())))
            .await;
        said.and_then(|bytes| serde_json::from_slice(&bytes).ok()).unwrap_or(true)
    }

    async fn read_bundle(&self) {
        let newest = self.ask_entry("/generation").await;
        let newest: Option<u64> = newest.and_then(|text| serde_json::from_slice(&text).ok());
        if newest.is_some_and(|newest| newest > 0 && newest <= self.generation()) {
            return;
        }
        if let Some(bytes) = self.ask_entry("/bundle").await {
            return self.offer(&bytes);
        }
        let Ok(Some(object)) = self.store.read(HEAD_NAME).await else {
            return;
        };
        let Ok(head) = serde_json::from_slice::<BundleHead>(&object.bytes) else {
            return;
        };
        if head.generation <= self.generation() {
            return;
        }
        if let Ok(Some(bytes)) = read_parts(&self.store, head.part_names()).await {
            self.offer(&bytes);
        }
    }

    fn offer(&self, bytes: &[u8]) {
        let bundle = SignedBundle::parse(bytes);
        let offered = bundle.and_then(|bundle| self.gate.borrow_mut().offer(bundle));
        if let Err(fault) = offered {
            slog::warn!(self.log, "a bundle was refused"; "detail" => fault.to_string());
        }
    }

    fn take_keeper(&self, service: &ServiceName) -> LeaseManager {
        let kept = self.leases.borrow_mut().remove(service);
        kept.unwrap_or_else(|| {
            let incarnation = self.clock.wall().0;
            let lasts = TimeSpan(self.settings.lease_ms);
            LeaseManager::new(self.settings.instance.clone(), incarnation, lasts)
        })
    }

    async fn renew(&self, service: &ServiceName) {
        let mut keeper = self.take_keeper(service);
        let held_before = keeper.fence(self.clock.now(), TimeSpan(0));
        let action = keeper.tick(self.clock.now());
        let name = lease_name(&format!("fleet/{service}"));
        step_lease(&self.store, &name, (&mut keeper, action), || self.clock.now()).await;
        let held = keeper.fence(self.clock.now(), TimeSpan(0));
        if held != held_before {
            slog::info!(self.log, "the lease changed";
                "service" => service.as_str(), "fence" => held);
        }
        self.leases.borrow_mut().insert(service.clone(), keeper);
    }

    async fn release_leases(&self) {
        let services: Vec<_> = self.leases.borrow().keys().cloned().collect();
        for service in services {
            let mut keeper = self.take_keeper(&service);
            let action = keeper.release(self.clock.now());
            let name = lease_name(&format!("fleet/{service}"));
            step_lease(&self.store, &name, (&mut keeper, action), || self.clock.now()).await;
        }
    }

    /// The fence, if the lease lasts for at least one more call.
    fn fence(&self, service: &ServiceName) -> Option<u64> {
        let needed = TimeSpan(self.settings.call_ms);
        let leases = self.leases.borrow();
        leases.get(service).and_then(|keeper| keeper.fence(self.clock.now(), needed))
    }

    async fn plan_service(
        &self,
        service: &ServiceName,
        wanted: &ServiceEntry,
        list: &[EndpointRecord],
    ) {
        if self.fence(service).is_none() {
            self.plans.borrow_mut().remove(service);
            return;
        }
        // Read every round: operators change the roll in it.
        let Ok(mut kept) = read_plan(&self.store, service).await else {
            return;
        };
        let instances: Vec<EndpointRecord> =
            list.iter().filter(|record| record.service == *service).cloned().collect();
        let before = kept.plan.clone();
        let now = self.clock.wall();
        let idle = self.idle_of(&kept.plan.draining, &instances).await;
        let view = FleetView { service, wanted, instances: &instances, idle: &idle, now };
        let actions = plan_round(&mut kept.plan, &view);
        // Kept before anything is done: whoever goes on after this process knows the tokens.
        if !self.keep_plan(service, &mut kept, &before).await {
            return;
        }
        let planned = kept.plan.clone();
        for action in actions {
            if let Some(fence) = self.fence(service) {
                self.carry_out((service, wanted), &mut kept, (action, fence), &instances).await;
            }
        }
        self.keep_plan(service, &mut kept, &planned).await;
        self.plans.borrow_mut().insert(service.clone(), kept);
    }

    /// Writes the plan if it differs from `before`. Returns whether what it says is kept.
    async fn keep_plan(
        &self,
        service: &ServiceName,
        kept: &mut KeptPlan,
        before: &PlanObject,
    ) -> bool {
        if kept.plan == *before && kept.version.is_some() {
            return true;
        }
        match write_plan(&self.store, service, kept).await {
            Ok(version) => {
                kept.version = Some(version);
                true
            }
            Err(fault) => {
                slog::warn!(self.log, "the plan is not kept"; "detail" => fault.to_string());
                false
            }
        }
    }

    async fn carry_out(
        &self,
        (service, wanted): (&ServiceName, &ServiceEntry),
        kept: &mut KeptPlan,
        (action, fence): (FleetAction, u64),
        instances: &[EndpointRecord],
    ) {
        match action {
            FleetAction::Start(start) => self.start((service, wanted), kept, &start).await,
            FleetAction::End(instance) => {
                let _ = self.cloud.end(&instance).await;
            }
            FleetAction::Drain(instance) => self.drain(&instance, fence, instances).await,
            FleetAction::Load(instance, version) => {
                let model = wanted.model.as_ref();
                let kind = OrderKind::Load {
                    version,
                    weights: model.map(|model| model.weights.clone()).unwrap_or_default(),
                    adapters: model.map(|model| model.adapters.clone()).unwrap_or_default(),
                };
                self.order(&instance, EndpointOrder { fence, kind }, instances).await;
            }
        }
    }

    async fn start(
        &self,
        (service, wanted): (&ServiceName, &ServiceEntry),
        kept: &mut KeptPlan,
        start: &StartIntent,
    ) {
        let order = StartOrder {
            token: start.token.clone(),
            service: service.clone(),
            role: role_of(wanted),
            version: start.version.clone(),
            domain: start.domain.clone(),
            class: wanted.class.clone(),
            market: start.market,
        };
        match self.cloud.start(&order).await {
            Ok(_) => {
                kept.plan.note_taken(&start.token);
                kept.plan.note_granted(&start.domain, start.market);
            }
            Err(PlatError::Refused(..)) => {
                kept.plan.note_refused(&start.token, self.clock.wall());
            }
            // Asked again with the same token: the cloud starts it once.
            Err(_) => {}
        }
    }

    /// Which of `draining` have no work left. One whose load cannot be read counts as busy.
    async fn idle_of(
        &self,
        draining: &[InstanceId],
        instances: &[EndpointRecord],
    ) -> Vec<InstanceId> {
        let mut idle = Vec::new();
        for instance in draining {
            let record = instances.iter().find(|record| record.instance == *instance);
            let Some(record) = record else { continue };
            if self.orders.is_idle(&record.address).await {
                idle.push(instance.clone());
            }
        }
        idle
    }

    /// Scale-in: the endpoint takes nothing new; it is ended once it reports that it is idle.
    async fn drain(&self, instance: &InstanceId, fence: u64, instances: &[EndpointRecord]) {
        self.order(instance, EndpointOrder { fence, kind: OrderKind::Drain }, instances).await;
    }

    async fn order(
        &self,
        instance: &InstanceId,
        order: EndpointOrder,
        instances: &[EndpointRecord],
    ) {
        let Some(record) = instances.iter().find(|record| record.instance == *instance) else {
            return;
        };
        if let Err(fault) = self.orders.send(&record.address, &order).await {
            slog::warn!(self.log, "an order failed";
                "endpoint" => instance.as_str(), "detail" => fault.to_string());
        }
    }

    /// What the process knows.
    pub fn dump(&self) -> serde_json::Value {
        let now = self.clock.now();
        let leases: BTreeMap<_, _> = self
            .leases
            .borrow()
            .iter()
            .map(|(service, keeper)| {
                let fence = keeper.fence(now, TimeSpan(0));
                let line = serde_json::json!({ "held_fence": fence, "seen": keeper.seen() });
                (service.to_string(), line)
            })
            .collect();
        let plans: BTreeMap<_, _> = self
            .plans
            .borrow()
            .iter()
            .map(|(service, kept)| (service.to_string(), kept.plan.clone()))
            .collect();
        serde_json::json!({
            "dump_version": 1,
            "instance": self.settings.instance,
            "domain": self.settings.domain,
            "generation": self.generation(),
            "leases": leases,
            "plans": plans,
        })
    }
}

//! One stand-in process: the platform, the cloud, and the endpoints that the cloud starts.

use crate::cloud::{CloudFaults, CloudModel, StartBody, price_micros};
use crate::engine::EngineShape;
use crate::engine_http::{self, EngineSite};
use crate::object::{ObjectLimits, ObjectModel};
use crate::object_http::{self, ObjectSite};
use crate::plain::{self, PlainEndpoint, RunLog};
use crate::wall_millis;
use crate::weights::WeightStore;
use actix_web::web::{Data, Json, Path};
use actix_web::{App, HttpResponse, web};
use oleander_conf::FieldCheck;
use oleander_conf::reader::{FieldError, require};
use oleander_kind::{DomainName, EndpointRole, InstanceId, InstanceMarket};
use oleander_serve::{HttpSite, local_data, serve_app};
use serde::Deserialize;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::JoinHandle;

/// Settings of the stand-in process.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct StandinSettings {
    /// Where the platform and the cloud are served.
    pub listen: SocketAddr,
    /// How fast engines are.
    #[serde(default)]
    pub engine: EngineShape,
    /// Limits of the object API.
    #[serde(default)]
    pub object: ObjectLimits,
    /// Every n-th engine ignores fencing; 0: all check.
    #[serde(default)]
    pub ignore_fence_every: u64,
    /// How long an instance takes to start, in milliseconds.
    #[serde(default)]
    pub start_ms: u64,
    /// How long one fetch of weights takes, in milliseconds.
    #[serde(default)]
    pub weights_ms: u64,
    /// How many fetches of weights go on at once.
    #[serde(default = "weights_default")]
    pub weights_at_once: usize,
}

fn weights_default() -> usize {
    2
}

impl FieldCheck for StandinSettings {
    fn check(&self) -> Result<(), FieldError> {
        require(self.engine.most_batch > 0, "most_batch", "must be above 0")?;
        require(self.engine.prefill_chunk > 0, "prefill_chunk", "must be above 0")?;
        require(self.weights_at_once > 0, "weights_at_once", "must be above 0")
    }
}

enum EndpointBody {
    Engine(Rc<EngineSite>),
    Plain(Rc<PlainEndpoint>),
}

struct RunningEndpoint {
    body: EndpointBody,
    site: HttpSite,
    task: Option<JoinHandle<()>>,
}

impl Drop for RunningEndpoint {
    fn drop(&mut self) {
        self.site.cut();
        if let Some(task) = &self.task {
            task.abort();
        }
    }
}

/// Everything that one stand-in process holds.
pub struct StandinSite {
    settings: StandinSettings,
    cloud: RefCell<CloudModel>,
    endpoints: RefCell<BTreeMap<InstanceId, RunningEndpoint>>,
    weights: Rc<WeightStore>,
    runs: RunLog,
    ended_counts: RefCell<Vec<crate::engine::EngineCounts>>,
    list_reads: std::cell::Cell<u64>,
}

impl StandinSite {
    /// Listens at the settings' address.
    ///
    /// # Errors
    /// The system's, if it cannot listen.
    pub async fn listen(settings: StandinSettings) -> std::io::Result<(Rc<Self>, HttpSite)> {
        let objects = ObjectSite::new(ObjectModel::new(settings.object));
        let weights = Rc::new(WeightStore::new(settings.weights_at_once, settings.weights_ms));
        let address = settings.listen;
        let site = Rc::new(StandinSite {
            settings,
            cloud: RefCell::default(),
            endpoints: RefCell::default(),
            weights,
            runs: RunLog::default(),
            ended_counts: RefCell::default(),
            list_reads: std::cell::Cell::new(0),
        });
        let app = App::new()
            .app_data(local_data(objects))
            .app_data(local_data(site.clone()))
            .configure(object_http::configure)
            .route("/instances", web::post().to(start))
            .route("/instances/{id}", web::delete().to(end))
            .route("/list", web::get().to(list))
            .route("/list-counts", web::get().to(list_counts))
            .route("/prices", web::get().to(prices))
            .route("/notices", web::get().to(notices))
            .route("/reclaim", web::post().to(reclaim))
            .route("/cloud-faults", web::post().to(set_faults))
            .route("/runs", web::get().to(runs))
            .route("/totals", web::get().to(totals));
        let listening = serve_app(address, app).await?;
        Ok((site, listening))
    }

    /// Starts an endpoint without waiting, as a test's arrangement.
    ///
    /// # Errors
    /// The system's, if it cannot listen.
    pub async fn start_now(self: &Rc<Self>, body: &StartBody) -> std::io::Result<InstanceId> {
        let started = self.cloud.borrow_mut().start(body, wall_millis());
        let Some((instance, _)) = started else {
            return Err(std::io::Error::other("the start was refused"));
        };
        self.open_endpoint(&instance, body).await?;
        Ok(instance)
    }

    async fn open_endpoint(
        self: &Rc<Self>,
        instance: &InstanceId,
        body: &StartBody,
    ) -> std::io::Result<()> {
        let address = SocketAddr::from(([127, 0, 0, 1], 0));
        let running = match body.role {
            EndpointRole::Engine => {
                let number = self.endpoints.borrow().len() as u64;
                let every = self.settings.ignore_fence_every;
                let checks = every == 0 || !number.is_multiple_of(every);
                let weights = self.weights.clone();
                let version = body.version.clone();
                let engine = EngineSite::new(self.settings.engine, version, checks, weights);
                let site = engine_http::listen(address, engine.clone()).await?;
                let task = actix_rt::spawn(engine.clone().run());
                RunningEndpoint { body: EndpointBody::Engine(engine), site, task: Some(task) }
            }
            EndpointRole::Plain => {
                let endpoint = PlainEndpoint::new(self.runs.clone());
                let site = plain::listen(address, endpoint.clone()).await?;
                RunningEndpoint { body: EndpointBody::Plain(endpoint), site, task: None }
            }
        };
        let bound = running.site.address().to_string();
        self.cloud.borrow_mut().set_live(instance, &bound);
        self.endpoints.borrow_mut().insert(instance.clone(), running);
        Ok(())
    }

    fn give_notice(self: &Rc<Self>, instance: &InstanceId, notice_ms: u64) {
        let ends_at = wall_millis() + notice_ms;
        self.cloud.borrow_mut().notice(instance, ends_at);
        if let Some(running) = self.endpoints.borrow().get(instance) {
            match &running.body {
                EndpointBody::Engine(engine) => engine.leave(ends_at),
                EndpointBody::Plain(endpoint) => endpoint.leave(ends_at),
            }
        }
        let site = self.clone();
        let instance = instance.clone();
        actix_rt::spawn(async move {
            actix_rt::time::sleep(Duration::from_millis(notice_ms)).await;
            site.end_endpoint(&instance);
        });
    }

    fn end_endpoint(&self, instance: &InstanceId) -> bool {
        let running = self.endpoints.borrow_mut().remove(instance);
        if let Some(RunningEndpoint { body: EndpointBody::Engine(engine), .. }) = &running {
            self.ended_counts.borrow_mut().push(engine.model().borrow().counts());
        }
        drop(running);
        self.cloud.borrow_mut().end(instance, wall_millis())
    }

    fn refresh_versions(&self) {
        for (instance, running) in self.endpoints.borrow().iter() {
            if let EndpointBody::Engine(engine) = &running.body {
                let version = engine.model().borrow().version().clone();
                self.cloud.borrow_mut().set_version(instance, &version);
            }
        }
    }
}

type SiteData = Data<Rc<StandinSite>>;

async fn start(site: SiteData, body: Json<StartBody>) -> HttpResponse {
    if site.cloud.borrow().faults.down {
        return HttpResponse::ServiceUnavailable().finish();
    }
    let started = site.cloud.borrow_mut().start(&body, wall_millis());
    let Some((instance, fresh)) = started else {
        return HttpResponse::Conflict().finish();
    };
    if fresh {
        let site = site.get_ref().clone();
        let instance = instance.clone();
        actix_rt::spawn(async move {
            actix_rt::time::sleep(Duration::from_millis(site.settings.start_ms)).await;
            if body.role == EndpointRole::Engine {
                site.weights.fetch().await;
            }
            let _ = site.open_endpoint(&instance, &body).await;
        });
    }
    let lost = site.cloud.borrow().faults.lose_answers;
    if lost > 0 {
        site.cloud.borrow_mut().faults.lose_answers = lost - 1;
        return HttpResponse::InternalServerError().finish();
    }
    HttpResponse::Ok().json(serde_json::json!({ "instance": instance }))
}

async fn end(site: SiteData, id: Path<String>) -> HttpResponse {
    if site.cloud.borrow().faults.down {
        return HttpResponse::ServiceUnavailable().finish();
    }
    if site.end_endpoint(&InstanceId::from(id.as_str())) {
        return HttpResponse::NoContent().finish();
    }
    HttpResponse::NotFound().finish()
}

async fn list_counts(site: SiteData) -> HttpResponse {
    HttpResponse::Ok().json(serde_json::json!({ "reads": site.list_reads.get() }))
}

async fn list(site: SiteData) -> HttpResponse {
    site.list_reads.set(site.list_reads.get() + 1);
    site.refresh_versions();
    let records = site.cloud.borrow_mut().lagging_list(wall_millis());
    HttpResponse::Ok().json(records)
}

async fn prices(site: SiteData) -> HttpResponse {
    let records = site.cloud.borrow().records();
    let mut entries = Vec::new();
    for record in records {
        for market in [InstanceMarket::Reclaimable, InstanceMarket::OnDemand] {
            entries.push(serde_json::json!({
                "domain": record.domain,
                "class": record.class,
                "market": market,
                "micros_per_hour": price_micros(&record.domain, market),
            }));
        }
    }
    HttpResponse::Ok().json(entries)
}

async fn notices(site: SiteData) -> HttpResponse {
    if site.cloud.borrow().faults.hide_notices {
        return HttpResponse::Ok().json(Vec::<u8>::new());
    }
    let records = site.cloud.borrow().records();
    let notices: Vec<_> = records
        .iter()
        .filter_map(|record| {
            let ends_at = record.ends_at?;
            Some(serde_json::json!({ "instance": record.instance, "ends_at": ends_at }))
        })
        .collect();
    HttpResponse::Ok().json(notices)
}

#[derive(Deserialize)]
struct ReclaimBody {
    domain: DomainName,
    notice_ms: u64,
}

async fn reclaim(site: SiteData, body: Json<ReclaimBody>) -> HttpResponse {
    let leaving = site.cloud.borrow().reclaimable_in(&body.domain);
    for instance in &leaving {
        site.give_notice(instance, body.notice_ms);
    }
    HttpResponse::Ok().json(serde_json::json!({ "leaving": leaving.len() }))
}

async fn set_faults(site: SiteData, faults: Json<CloudFaults>) -> HttpResponse {
    site.cloud.borrow_mut().faults = faults.into_inner();
    HttpResponse::NoContent().finish()
}

async fn runs(site: SiteData) -> HttpResponse {
    HttpResponse::Ok().json(&*site.runs.borrow())
}

async fn totals(site: SiteData) -> HttpResponse {
    let mut total = crate::engine::EngineCounts::default();
    let mut add = |counts: crate::engine::EngineCounts| {
        total.generated += counts.generated;
        total.prefilled += counts.prefilled;
        total.cached += counts.cached;
        total.recomputed += counts.recomputed;
        total.streams += counts.streams;
        total.cancelled += counts.cancelled;
        total.refused += counts.refused;
    };
    site.ended_counts.borrow().iter().copied().for_each(&mut add);
    for running in site.endpoints.borrow().values() {
        if let EndpointBody::Engine(engine) = &running.body {
            add(engine.model().borrow().counts());
        }
    }
    let cost = site.cloud.borrow().cost(wall_millis());
    HttpResponse::Ok().json(serde_json::json!({ "engines": total, "cost": cost }))
}

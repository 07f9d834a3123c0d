//! A plain service: label checks that may repeat, batch codes that may not.

use actix_web::web::{Bytes, Data, Json};
use actix_web::{App, HttpRequest, HttpResponse, web};
use oleander_kind::hash::{HASH_SEED, stable_hash};
use oleander_serve::{HttpSite, local_data, serve_app};
use serde::{Deserialize, Serialize};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// One call that ran.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PlainRun {
    /// The idempotency key it carried.
    pub key: String,
    /// Its path.
    pub path: String,
    /// Wall-clock milliseconds.
    pub at: u64,
}

/// Faults of a plain service.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct PlainFaults {
    /// Waits this long before each answer, in milliseconds.
    pub slow_ms: u64,
    /// Runs the call and cuts the connection, for the next so many calls.
    pub cut_after_run: u32,
    /// Answers without a length and without chunks, so that the answer ends with its connection.
    pub unframed: bool,
}

/// All calls that ran, over every replica of the services here, and the faults.
#[derive(Default)]
pub struct PlainSite {
    runs: RefCell<Vec<PlainRun>>,
    faults: Cell<PlainFaults>,
    leaving: Cell<Option<u64>>,
}

/// The runs of every plain endpoint of this process.
pub type RunLog = Rc<RefCell<Vec<PlainRun>>>;

/// One plain endpoint.
pub struct PlainEndpoint {
    log: RunLog,
    site: PlainSite,
}

impl PlainEndpoint {
    /// An endpoint that writes its runs to `log`.
    pub fn new(log: RunLog) -> Rc<Self> {
        Rc::new(PlainEndpoint { log, site: PlainSite::default() })
    }

    /// Begins to leave, to end at wall-clock time `ends_at`.
    pub fn leave(&self, ends_at: u64) {
        self.site.leaving.set(Some(ends_at));
    }

    /// How many calls ran here.
    pub fn runs(&self) -> usize {
        self.site.runs.borrow().len()
    }
}

type EndpointData = Data<Rc<PlainEndpoint>>;

/// Listens for one plain endpoint.
///
/// # Errors
/// The system's, if it cannot listen.
pub async fn listen(address: SocketAddr, endpoint: Rc<PlainEndpoint>) -> std::io::Result<HttpSite> {
    let data = local_data(endpoint);
    let app = App::new()
        .app_data(data)
        .app_data(web::PayloadConfig::new(64 << 20))
        .route("/faults", web::post().to(set_faults))
        .default_service(web::to(call));
    serve_app(address, app).await
}

async fn set_faults(endpoint: EndpointData, faults: Json<PlainFaults>) -> HttpResponse {
    endpoint.site.faults.set(*faults);
    HttpResponse::NoContent().finish()
}

/// The answer to a call: a function of path and body, so that a crossed answer shows.
pub fn plain_answer(path: &str, body: &[u8]) -> String {
    let hash = stable_hash(stable_hash(HASH_SEED, path.as_bytes()), body);
    format!("{{\"answer\":\"{hash:016x}\"}}")
}

async fn call(endpoint: EndpointData, request: HttpRequest, body: Bytes) -> HttpResponse {
    let leaving = endpoint.site.leaving.get();
    if let Some(ends_at) = leaving {
        return HttpResponse::ServiceUnavailable()
            .insert_header(("x-not-run", "1"))
            .insert_header(("x-leaving", ends_at.to_string()))
            .finish();
    }
    let faults = endpoint.site.faults.get();
    if faults.slow_ms > 0 {
        actix_rt::time::sleep(Duration::from_millis(faults.slow_ms)).await;
    }
    let key = request.headers().get("idempotency-key").and_then(|value| value.to_str().ok());
    let run = PlainRun {
        key: key.unwrap_or("").to_owned(),
        path: request.path().to_owned(),
        at: crate::wall_millis(),
    };
    endpoint.log.borrow_mut().push(run.clone());
    endpoint.site.runs.borrow_mut().push(run);
    if faults.cut_after_run > 0 {
        let cut_after_run = faults.cut_after_run - 1;
        endpoint.site.faults.set(PlainFaults { cut_after_run, ..faults });
        let cut = futures_util::stream::once(async {
            Err::<Bytes, _>(std::io::Error::other("cut by a fault"))
        });
        return HttpResponse::Ok().streaming(cut);
    }
    let answer = plain_answer(request.path(), &body);
    let mut response = HttpResponse::Ok();
    response.content_type("application/json").insert_header(("x-service", "linescreen"));
    if faults.unframed {
        let whole = std::iter::once(Ok::<_, std::io::Error>(Bytes::from(answer)));
        let mut unframed = response.force_close().streaming(futures_util::stream::iter(whole));
        unframed.head_mut().no_chunking(true);
        return unframed;
    }
    response.body(answer)
}

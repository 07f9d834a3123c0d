//! The object API's HTTP face.

use crate::object::{ObjectFaults, ObjectModel, ObjectRefusal};
use crate::wall_millis;
use actix_web::http::StatusCode;
use actix_web::web::{Bytes, Data, Json, Path, Query, ServiceConfig};
use actix_web::{HttpRequest, HttpResponse, web};
use serde::Deserialize;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// What the handlers share.
#[derive(Default)]
pub struct ObjectSite {
    /// The model.
    pub model: RefCell<ObjectModel>,
    changed: Notify,
}

impl ObjectSite {
    /// A site for `model`.
    pub fn new(model: ObjectModel) -> Rc<Self> {
        Rc::new(ObjectSite { model: RefCell::new(model), ..ObjectSite::default() })
    }
}

type SiteData = Data<Rc<ObjectSite>>;

/// Adds the routes.
pub fn configure(config: &mut ServiceConfig) {
    const BODY_LIMIT: usize = 4 << 20;
    config
        .app_data(web::PayloadConfig::new(BODY_LIMIT))
        .route("/objects", web::get().to(names))
        .route("/objects/{name:.*}", web::get().to(read))
        .route("/objects/{name:.*}", web::put().to(write))
        .route("/objects/{name:.*}", web::delete().to(remove))
        .route("/object-counts", web::get().to(counts))
        .route("/object-faults", web::post().to(set_faults));
}

fn refused(refusal: ObjectRefusal) -> HttpResponse {
    let status = match refusal {
        ObjectRefusal::Conflict => StatusCode::PRECONDITION_FAILED,
        ObjectRefusal::TooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        ObjectRefusal::Busy => StatusCode::TOO_MANY_REQUESTS,
        ObjectRefusal::Down => StatusCode::SERVICE_UNAVAILABLE,
    };
    HttpResponse::build(status).finish()
}

fn found(value: Option<(u64, Bytes)>) -> HttpResponse {
    match value {
        None => HttpResponse::NotFound().finish(),
        Some((version, bytes)) => {
            HttpResponse::Ok().insert_header(("ETag", format!("\"{version}\""))).body(bytes)
        }
    }
}

async fn be_slow(site: &ObjectSite) {
    let slow = site.model.borrow().faults.slow_ms;
    if slow > 0 {
        actix_rt::time::sleep(Duration::from_millis(slow)).await;
    }
}

#[derive(Deserialize)]
struct WatchQuery {
    watch: Option<u64>,
    #[serde(default)]
    wait_ms: u64,
}

async fn read(site: SiteData, name: Path<String>, query: Query<WatchQuery>) -> HttpResponse {
    be_slow(&site).await;
    let Some(seen) = query.watch else {
        let value = site.model.borrow_mut().read(&name, wall_millis());
        return value.map_or_else(refused, found);
    };
    let admitted = site.model.borrow_mut().begin_watch(wall_millis());
    if let Err(refusal) = admitted {
        return refused(refusal);
    }
    let newer = wait_newer(&site, &name, seen);
    let waited = actix_rt::time::timeout(Duration::from_millis(query.wait_ms), newer).await;
    match waited {
        Ok(value) => found(Some(value)),
        Err(_) => HttpResponse::NotModified().finish(),
    }
}

async fn wait_newer(site: &ObjectSite, name: &str, seen: u64) -> (u64, Bytes) {
    loop {
        let changed = site.changed.notified();
        let value = site.model.borrow().visible(name);
        match value {
            Some((version, bytes)) if version > seen => return (version, bytes),
            _ => changed.await,
        }
    }
}

fn tag_version(request: &HttpRequest) -> Option<u64> {
    let tag = request.headers().get("If-Match")?.to_str().ok()?;
    tag.trim_matches('"').parse().ok()
}

async fn write(
    site: SiteData,
    name: Path<String>,
    request: HttpRequest,
    body: Bytes,
) -> HttpResponse {
    be_slow(&site).await;
    let expected = tag_version(&request);
    let written = site.model.borrow_mut().write(&name, expected, body, wall_millis());
    match written {
        Err(refusal) => refused(refusal),
        Ok(version) => {
            site.changed.notify_waiters();
            if site.model.borrow_mut().takes_answer() {
                // The change stands; the caller never hears of it.
                return HttpResponse::InternalServerError().finish();
            }
            HttpResponse::Ok().insert_header(("ETag", format!("\"{version}\""))).finish()
        }
    }
}

async fn remove(site: SiteData, name: Path<String>, request: HttpRequest) -> HttpResponse {
    be_slow(&site).await;
    let version = tag_version(&request).unwrap_or(0);
    let removed = site.model.borrow_mut().remove(&name, version, wall_millis());
    removed.map_or_else(refused, |()| HttpResponse::NoContent().finish())
}

#[derive(Deserialize)]
struct PrefixQuery {
    prefix: String,
}

async fn names(site: SiteData, query: Query<PrefixQuery>) -> HttpResponse {
    let names = site.model.borrow_mut().names(&query.prefix, wall_millis());
    names.map_or_else(refused, |names| HttpResponse::Ok().json(names))
}

async fn counts(site: SiteData) -> HttpResponse {
    HttpResponse::Ok().json(site.model.borrow().counts())
}

async fn set_faults(site: SiteData, faults: Json<ObjectFaults>) -> HttpResponse {
    site.model.borrow_mut().faults = *faults;
    site.changed.notify_waiters();
    HttpResponse::NoContent().finish()
}

//! The engine's HTTP face.
//!
//! `POST /v1/chat/completions` streams; `GET /v1/streams/ID?offset=N` resumes; `DELETE` cancels;
//! `GET /v1/streams/ID/kv` exports and `POST /v1/kv` imports; `GET /load`, `GET /events?after=N`,
//! `GET /counts`; `POST /orders`. A refusal before running says so in `x-not-run`.

use crate::answer::token_text;
use crate::engine::{
    CacheEvent, EngineModel, EngineShape, KvBlob, LoadReport, RefusedBecause, StreamAsk,
};
use crate::wall_millis;
use crate::weights::WeightStore;
use actix_web::web::{Bytes, Data, Json, Path, Query};
use actix_web::{App, HttpRequest, HttpResponse, web};
use compact_str::CompactString;
use oleander_kind::{ClockTime, VersionName, read_chat_head};
use oleander_serve::{HttpSite, local_data, serve_app};
use serde::Deserialize;
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;

/// Faults and lags of one engine.
#[derive(Clone, Copy, Debug, Default, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineFaults {
    /// How old a load report is, in milliseconds.
    pub load_lag_ms: u64,
    /// Each n-th batch of cache events is lost; 0 for none.
    pub lose_events: u64,
    /// Reports no load whatever it has.
    pub lie_load: bool,
    /// Takes requests and answers nothing.
    pub hang: bool,
    /// Cuts each new stream after this many tokens; 0 for never.
    pub cut_after: u64,
}

/// What the handlers share.
pub struct EngineSite {
    model: RefCell<EngineModel>,
    faults: Cell<EngineFaults>,
    stepped: Notify,
    submitted: Notify,
    reports: RefCell<VecDeque<(u64, LoadReport)>>,
    event_asks: Cell<u64>,
    weights: Rc<WeightStore>,
    ends_at: Cell<Option<u64>>,
}

impl EngineSite {
    /// A site for an engine of `shape` that answers with `version`.
    pub fn new(
        shape: EngineShape,
        version: VersionName,
        checks_fence: bool,
        weights: Rc<WeightStore>,
    ) -> Rc<Self> {
        Rc::new(EngineSite {
            model: RefCell::new(EngineModel::new(shape, version, checks_fence)),
            faults: Cell::default(),
            stepped: Notify::new(),
            submitted: Notify::new(),
            reports: RefCell::default(),
            event_asks: Cell::new(0),
            weights,
            ends_at: Cell::new(None),
        })
    }

    /// The model.
    pub fn model(&self) -> &RefCell<EngineModel> {
        &self.model
    }

    /// Begins to leave, to end at wall-clock time `ends_at`.
    pub fn leave(&self, ends_at: u64) {
        self.ends_at.set(Some(ends_at));
        self.model.borrow_mut().leave();
    }

    /// Steps the model for as long as the engine lives.
    pub async fn run(self: Rc<Self>) {
        loop {
            let step = self.model.borrow_mut().step(ClockTime(wall_millis()));
            self.note_load();
            match step {
                Some(micros) => {
                    actix_rt::time::sleep(Duration::from_micros(micros)).await;
                    self.stepped.notify_waiters();
                }
                None => self.submitted.notified().await,
            }
        }
    }

    fn note_load(&self) {
        let mut reports = self.reports.borrow_mut();
        reports.push_back((wall_millis(), self.model.borrow().load()));
        while reports.len() > 2048 {
            reports.pop_front();
        }
    }

    fn lagging_load(&self) -> LoadReport {
        if self.faults.get().lie_load {
            return LoadReport::default();
        }
        let seen = wall_millis().saturating_sub(self.faults.get().load_lag_ms);
        let reports = self.reports.borrow();
        let newest = reports.iter().rev().find(|(at, _)| *at <= seen);
        newest.map(|(_, report)| *report).unwrap_or_default()
    }

    fn finish_load_later(self: &Rc<Self>) {
        let site = self.clone();
        actix_rt::spawn(async move {
            site.weights.fetch().await;
            site.model.borrow_mut().finish_load();
        });
    }
}

/// Listens for one engine.
///
/// # Errors
/// The system's, if it cannot listen.
pub async fn listen(address: SocketAddr, site: Rc<EngineSite>) -> std::io::Result<HttpSite> {
    const BODY_LIMIT: usize = 64 << 20;
    let data = local_data(site);
    let app = App::new()
        .app_data(data)
        .app_data(web::PayloadConfig::new(BODY_LIMIT))
        .app_data(web::JsonConfig::default().limit(BODY_LIMIT))
        .route("/v1/chat/completions", web::post().to(chat))
        .route("/v1/streams/{id}", web::get().to(resume))
        .route("/v1/streams/{id}", web::delete().to(cancel))
        .route("/v1/streams/{id}/kv", web::get().to(export_kv))
        .route("/v1/kv", web::post().to(import_kv))
        .route("/load", web::get().to(load))
        .route("/events", web::get().to(events))
        .route("/counts", web::get().to(counts))
        .route("/orders", web::post().to(order))
        .route("/faults", web::post().to(set_faults));
    serve_app(address, app).await
}

type SiteData = Data<Rc<EngineSite>>;

#[derive(Deserialize)]
struct ContinueFrom {
    tokens: u64,
}

#[derive(Deserialize)]
struct ContinueProbe {
    #[serde(default)]
    continue_from: Option<ContinueFrom>,
}

fn header<'a>(request: &'a HttpRequest, name: &str) -> &'a str {
    request.headers().get(name).and_then(|value| value.to_str().ok()).unwrap_or("")
}

async fn chat(site: SiteData, request: HttpRequest, body: Bytes) -> HttpResponse {
    let Ok(head) = read_chat_head(&body) else {
        return HttpResponse::BadRequest().insert_header(("x-not-run", "1")).body("bad body");
    };
    if site.faults.get().hang {
        std::future::pending::<()>().await;
    }
    let probe = serde_json::from_slice::<ContinueProbe>(&body).ok();
    let continued = probe.and_then(|probe| probe.continue_from);
    let ask = StreamAsk {
        id: header(&request, "x-stream-id").into(),
        head,
        version: header(&request, "x-version").into(),
        priority: header(&request, "x-priority").parse().unwrap_or(5),
        continue_from: continued.as_ref().map_or(0, |from| from.tokens),
        rerun: !header(&request, "x-rerun").is_empty(),
    };
    let id = ask.id.clone();
    let offset = ask.continue_from;
    if let Err(reason) = site.model.borrow_mut().submit(ask, ClockTime(wall_millis())) {
        return refuse(&site, reason);
    }
    site.submitted.notify_one();
    stream_response(&site, id, offset)
}

fn refuse(site: &EngineSite, reason: RefusedBecause) -> HttpResponse {
    let mut response = HttpResponse::ServiceUnavailable();
    response.insert_header(("x-not-run", "1"));
    if reason == RefusedBecause::Leaving {
        let ends_at = site.ends_at.get().map_or("unknown".to_owned(), |at| at.to_string());
        response.insert_header(("x-leaving", ends_at));
    }
    response.body(format!("{reason:?}"))
}

async fn resume(
    site: SiteData,
    id: Path<CompactString>,
    query: Query<OffsetQuery>,
) -> HttpResponse {
    let found = site.model.borrow().stream(&id).is_some();
    if !found {
        return HttpResponse::NotFound().insert_header(("x-not-run", "1")).finish();
    }
    stream_response(&site, id.into_inner(), query.offset)
}

#[derive(Deserialize)]
struct OffsetQuery {
    #[serde(default)]
    offset: u64,
}

struct StreamCursor {
    site: Rc<EngineSite>,
    id: CompactString,
    offset: u64,
    cut_after: u64,
    done: bool,
}

fn stream_response(site: &Rc<EngineSite>, id: CompactString, offset: u64) -> HttpResponse {
    let cut_after = match site.faults.get().cut_after {
        0 => u64::MAX,
        tokens => offset + tokens,
    };
    let cursor = StreamCursor { site: site.clone(), id, offset, cut_after, done: false };
    let mut response = HttpResponse::Ok();
    if let Some(ends_at) = site.ends_at.get() {
        response.insert_header(("x-leaving", ends_at.to_string()));
    }
    let version = site.model.borrow().version().to_string();
    response
        .insert_header(("x-version", version))
        .content_type("text/event-stream")
        .streaming(futures_util::stream::unfold(cursor, next_events))
}

type EventChunk = Result<Bytes, std::io::Error>;

async fn next_events(mut cursor: StreamCursor) -> Option<(EventChunk, StreamCursor)> {
    if cursor.done {
        return None;
    }
    let site = cursor.site.clone();
    loop {
        let stepped = site.stepped.notified();
        let chunk = read_events(&mut cursor);
        match chunk {
            Err(fault) => {
                cursor.done = true;
                return Some((Err(fault), cursor));
            }
            Ok(bytes) if !bytes.is_empty() => return Some((Ok(bytes), cursor)),
            Ok(_) => stepped.await,
        }
    }
}

fn read_events(cursor: &mut StreamCursor) -> Result<Bytes, std::io::Error> {
    let model = cursor.site.model.borrow();
    let Some(stream) = model.stream(&cursor.id) else {
        return Err(std::io::Error::other("the stream was cancelled"));
    };
    let mut text = String::new();
    while cursor.offset < stream.made() {
        if cursor.offset >= cursor.cut_after {
            return Err(std::io::Error::other("cut by a fault"));
        }
        let token = token_text(stream.seed(), cursor.offset);
        cursor.offset += 1;
        write_event(&mut text, &cursor.id, cursor.offset, &token);
    }
    if stream.is_done() {
        write_finish(&mut text, &cursor.id, cursor.offset);
        cursor.done = true;
    }
    Ok(Bytes::from(text))
}

fn write_event(text: &mut String, id: &str, offset: u64, token: &str) {
    use std::fmt::Write;
    let _ = write!(
        text,
        "id: {offset}\ndata: {{\"id\":\"{id}\",\"object\":\"chat.completion.chunk\",\"choices\":\
         [{{\"index\":0,\"delta\":{{\"content\":\"{token}\"}},\"finish_reason\":null}}]}}\n\n"
    );
}

fn write_finish(text: &mut String, id: &str, offset: u64) {
    use std::fmt::Write;
    let _ = write!(
        text,
        "id: {offset}\ndata: {{\"id\":\"{id}\",\"object\":\"chat.completion.chunk\",\"choices\":\
         [{{\"index\":0,\"delta\":{{}},\"finish_reason\":\"length\"}}]}}\n\ndata: [DONE]\n\n"
    );
}

async fn cancel(site: SiteData, id: Path<CompactString>) -> HttpResponse {
    site.model.borrow_mut().cancel(&id);
    site.stepped.notify_waiters();
    HttpResponse::NoContent().finish()
}

async fn export_kv(site: SiteData, id: Path<CompactString>) -> HttpResponse {
    match site.model.borrow().export_kv(&id) {
        Some(blob) => HttpResponse::Ok().json(blob),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn import_kv(site: SiteData, blob: Json<KvBlob>) -> HttpResponse {
    site.model.borrow_mut().import_kv(&blob);
    HttpResponse::NoContent().finish()
}

async fn load(site: SiteData) -> HttpResponse {
    HttpResponse::Ok().json(site.lagging_load())
}

#[derive(Deserialize)]
struct AfterQuery {
    #[serde(default)]
    after: u64,
}

async fn events(site: SiteData, query: Query<AfterQuery>) -> HttpResponse {
    let asks = site.event_asks.get() + 1;
    site.event_asks.set(asks);
    let lose = site.faults.get().lose_events;
    if lose > 0 && asks.is_multiple_of(lose) {
        return HttpResponse::Ok().json(Vec::<CacheEvent>::new());
    }
    HttpResponse::Ok().json(site.model.borrow().events_after(query.after))
}

async fn counts(site: SiteData) -> HttpResponse {
    HttpResponse::Ok().json(site.model.borrow().counts())
}

async fn set_faults(site: SiteData, faults: Json<EngineFaults>) -> HttpResponse {
    site.faults.set(*faults);
    HttpResponse::NoContent().finish()
}

#[derive(Deserialize)]
struct OrderBody {
    fence: u64,
    kind: CompactString,
    #[serde(default)]
    version: VersionName,
}

async fn order(site: SiteData, body: Json<OrderBody>) -> HttpResponse {
    if !site.model.borrow_mut().admit_order(body.fence) {
        return HttpResponse::Conflict().finish();
    }
    match body.kind.as_str() {
        "load" => {
            let before = site.model.borrow().loading().cloned();
            site.model.borrow_mut().begin_load(body.version.clone());
            let after = site.model.borrow().loading().cloned();
            if after.is_some() && after != before {
                site.finish_load_later();
            }
        }
        "drain" => site.model.borrow_mut().leave(),
        _ => return HttpResponse::BadRequest().finish(),
    }
    let model = site.model.borrow();
    HttpResponse::Ok().json(serde_json::json!({
        "version": model.version(),
        "loading": model.loading().is_some(),
        "fence": model.fence(),
    }))
}

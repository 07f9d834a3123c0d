//! State, metrics, health and readiness, on an address of their own.

use crate::chat::NodeData;
use crate::claims::CountClaims;
use crate::node::EntryNode;
use crate::peers::{cluster_status, stands_by, status};
use actix_web::web::ServiceConfig;
use actix_web::{HttpResponse, web};
use oleander_board::dump_state;
use std::rc::Rc;

/// Adds the routes.
pub fn configure(config: &mut ServiceConfig) {
    config
        .route("/state", web::get().to(state))
        .route("/metrics", web::get().to(metrics))
        .route("/healthz", web::get().to(health))
        .route("/readyz", web::get().to(ready))
        .route("/generation", web::get().to(generation))
        .route("/bundle", web::get().to(bundle))
        .route("/stands-by/{service}", web::get().to(stands))
        .route("/cluster", web::get().to(cluster));
}

async fn state(node: NodeData) -> HttpResponse {
    write_summaries(&node).await;
    let now = node.clock.now();
    let dump = dump_state(&node.board.borrow(), node.me(), &node.settings.domain, now);
    HttpResponse::Ok().json(dump)
}

async fn write_summaries(node: &Rc<EntryNode>) {
    let claims = node.claims.send(CountClaims).await.unwrap_or_default();
    let (kept_bytes, kept, held) = node.book.borrow().counts();
    let members: Vec<_> = node.members.borrow().all().cloned().collect();
    let requests = serde_json::json!({
        "live": node.book.borrow().live_count(),
        "kept": kept,
        "kept_bytes": kept_bytes,
        "held_for_others": held,
        "request_bytes": node.holds.held_bytes(),
    });
    let traffic = serde_json::json!({
        "sent": node.traffic.sent.get(),
        "received": node.traffic.received.get(),
        "frames": node.traffic.frames.get(),
        "held": node.traffic.held.get(),
    });
    let blocks = node.router.borrow().indexed_blocks();
    let mut board = node.board.borrow_mut();
    board.summaries.insert("requests", requests);
    board.summaries.insert("peer_traffic", traffic);
    board.summaries.insert("prefix_blocks", serde_json::json!(blocks));
    board.summaries.insert("claims", serde_json::to_value(claims).unwrap_or_default());
    board.summaries.insert("members", serde_json::to_value(members).unwrap_or_default());
    board.summaries.insert("limit_accounts", serde_json::json!(node.limits.borrow().len()));
}

/// The generation in force, for those who only wait for it.
async fn generation(node: NodeData) -> HttpResponse {
    HttpResponse::Ok().json(node.generation())
}

/// The signed bundle in force, for the fleet process beside this entry.
async fn bundle(node: NodeData) -> HttpResponse {
    match node.bundle() {
        Some(bundle) => HttpResponse::Ok().body(bundle.to_bytes()),
        None => HttpResponse::NotFound().finish(),
    }
}

async fn stands(node: NodeData, service: web::Path<String>) -> HttpResponse {
    HttpResponse::Ok().json(stands_by(&node, &service))
}

async fn metrics(node: NodeData) -> HttpResponse {
    HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(node.meter.text())
}

async fn health() -> HttpResponse {
    HttpResponse::Ok().body("alive\n")
}

/// Ready means: send requests here. A process without a bundle, or one that is leaving, is alive
/// and not ready.
async fn ready(node: NodeData) -> HttpResponse {
    let status = status(&node);
    if status.ready {
        return HttpResponse::Ok().body("ready\n");
    }
    HttpResponse::ServiceUnavailable().body("not ready\n")
}

async fn cluster(node: NodeData) -> HttpResponse {
    let (known, silent) = cluster_status(&node).await;
    HttpResponse::Ok().json(serde_json::json!({ "nodes": known, "silent": silent }))
}

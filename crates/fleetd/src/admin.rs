//! State, health and readiness of the fleet process.

use crate::round::FleetNode;
use actix_web::web::{Data, ServiceConfig};
use actix_web::{HttpResponse, web};
use std::rc::Rc;

type NodeData = Data<Rc<FleetNode>>;

/// Adds the routes.
pub fn configure(config: &mut ServiceConfig) {
    config
        .route("/state", web::get().to(state))
        .route("/metrics", web::get().to(metrics))
        .route("/healthz", web::get().to(health))
        .route("/readyz", web::get().to(ready));
}

async fn state(node: NodeData) -> HttpResponse {
    HttpResponse::Ok().json(node.dump())
}

async fn metrics(node: NodeData) -> HttpResponse {
    HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(node.meter.text())
}

async fn health() -> HttpResponse {
    HttpResponse::Ok().body("alive\n")
}

/// Ready means that it knows a bundle: it can plan once it holds a lease.
async fn ready(node: NodeData) -> HttpResponse {
    if node.generation() > 0 {
        return HttpResponse::Ok().body("ready\n");
    }
    HttpResponse::ServiceUnavailable().body("not ready\n")
}

//! Admin pages for operators: metrics and a dump of the state.

use crate::dispatch;
use crate::limits;
use crate::node::FrontNode;
use crate::releases::RunningOrder;
use actix_web::{HttpResponse, web};
use compact_str::CompactString;
use oleander_hold::HoldRoom;
use oleander_kind::{InstanceId, RequestRate, ServiceName, TimeSpan};
use oleander_list::FreshnessStamp;
use oleander_mesh::PartSizes;
use oleander_place::PathRecord;
use oleander_release::OrderStatus;
use oleander_suspect::{SuspectFingerprint, SuspectRecord, SuspectUpdate};
use serde_json::{Value, json};
use std::rc::Rc;

/// Adds the admin pages.
pub fn configure(config: &mut web::ServiceConfig) {
    config
        .route("/metrics", web::get().to(metrics))
        .route("/state", web::get().to(state))
        .route("/healthz", web::get().to(HttpResponse::Ok));
}

async fn metrics(node: web::Data<Rc<FrontNode>>) -> HttpResponse {
    for room in HoldRoom::ALL {
        node.meter.record_held(room.name(), node.holds.usage(room));
    }
    for (reason, count) in node.holds.gave_way() {
        node.meter.record_gave_way(reason, count);
    }
    HttpResponse::Ok().content_type("text/plain; version=0.0.4").body(node.meter.text())
}

async fn state(node: web::Data<Rc<FrontNode>>) -> HttpResponse {
    HttpResponse::Ok().json(dump_state(&node))
}

/// The state of the process, without keys and request bodies. At most `MAX_LISTED` endpoints and
/// members are listed.
pub fn dump_state(node: &FrontNode) -> Value {
    let now = node.clock.now();
    let feed = |state: crate::feed::FeedState, freshness: Option<&FreshnessStamp>| {
        json!({
            "age_ms": freshness.map(|freshness| freshness.age(now).0),
            "vouched_by": freshness.map(|freshness| freshness.by.as_str()),
            "mark": freshness.map(|freshness| freshness.mark),
            "known_since_ms": state.known_since.map(|at| (now - at).0),
            "lost_for_ms": state.lost_since.map(|at| (now - at).0),
            "watching": state.watching,
        })
    };
    let mesh = node.mesh.borrow();
    let (rules, roster) = (node.rules.borrow(), node.roster.borrow());
    let status = roster.status(now);
    json!({
        "format": 1,
        "instance": node.settings.instance.as_str(),
        "stop": format!("{:?}", node.stop.get()),
        "ready": node.is_ready(),
        "in_flight": node.in_flight.get(),
        "held": dump_holds(node),
        "store_era": node.store_era.get().map(|era| era.0),
        "rules_version": rules.version(),
        "rules_fresh": node.rules_are_fresh(),
        "rules_told": rules.told(node.clock.now()).map(|told| told.version),
        "rules_feed": feed(node.rules_feed.get(), rules.freshness()),
        "endpoints_feed": feed(node.endpoints_feed.get(), roster.freshness()),
        "list_unsettled_ms": status.unsettled.map(|left| left.0),
        "doubts": status.doubted.iter().take(MAX_LISTED).map(|doubt| json!({
            "endpoint": doubt.name.as_str(),
            "for_ms": doubt.left.0,
        })).collect::<Vec<_>>(),
        "endpoints": dump_endpoints(node),
        "releases": dump_releases(node),
        "limits": limits::dump_limits(node, &mesh),
        "dispatch": dispatch::dump_dispatch(node),
        "origins": dump_origins(node),
        "suspects": node.suspects.borrow().len(),
        "shared_suspects": dump_suspects(node),
        "held_requests": dump_quarantined(node),
        "idle_connections": node.pool.borrow().len(),
        "paths": dump_paths(node),
        "relays": dump_relays(node),
        "room_senders": dump_senders(node),
        "known_prompt_parts": node.prefixes.borrow().len(),
        "members": mesh.view.members().iter().take(MAX_LISTED).map(|member| member.id.as_str().to_owned()).collect::<Vec<_>>(),
        "collector": mesh.view.chosen().map(|id| id.as_str()),
        "collects": mesh.collector.is_some(),
        "lease": mesh.lease.as_ref().map(|lease| json!({
            "holder": lease.record.holder.as_str(),
            "fence": lease.record.fence,
        })),
        "peer_bytes": json!({
            "sent": node.traffic.sent.get(), "received": node.traffic.received.get(),
            "frames": node.traffic.frames.get(),
        }),
        "exchange_bytes": json!({
            "report": dump_sizes(&mesh.exchange_sizes.report),
            "digest": dump_sizes(&mesh.exchange_sizes.digest),
        }),
        "reported_window": mesh.reported_window,
    })
}

/// What callers make this process hold, of what they may.
fn dump_holds(node: &FrontNode) -> Value {
    let room = |room: HoldRoom| {
        let (used, bound) = node.holds.usage(room);
        (room.name().to_owned(), json!({ "used": used, "bound": bound }))
    };
    HoldRoom::ALL.into_iter().map(room).collect::<serde_json::Map<_, _>>().into()
}

/// The services whose endpoints this process may not reach.
fn dump_paths(node: &FrontNode) -> Vec<Value> {
    let now = node.clock.now();
    let paths = node.paths.borrow();
    let failing = paths.iter().filter(|(_, path)| !path.failed().is_empty());
    let path = |(service, path): (&ServiceName, &PathRecord)| {
        json!({
            "service": service.as_str(),
            "lost_ms": path.lost_since().map(|since| (now - since).0),
            "failed_endpoints": path.failed().len(),
            "fault": path.fault().map(|fault| format!("{fault:?}")),
            "heard_ms": (now - path.heard_at()).0,
        })
    };
    failing.map(path).collect()
}

/// What is known of the versions at which streams began.
fn dump_origins(node: &FrontNode) -> Value {
    let now = node.clock.now();
    let origins = node.origins.borrow();
    let version = |(service, version, ago): (&ServiceName, &CompactString, TimeSpan)| json!({ "service": service.as_str(), "version": version.as_str(), "listed_ms": ago.0 });
    json!({
        "records": origins.book.len(),
        "rejected": origins.book.rejected(),
        "list_watched_ms": origins.history.watched_for(now).map(|span| span.0),
        "versions": origins.history.versions(now).take(MAX_LISTED).map(version).collect::<Vec<_>>(),
        "uncertain": origins.uncertain().map(ServiceName::as_str).collect::<Vec<_>>(),
    })
}

/// The peers to which this process relays requests.
fn dump_relays(node: &FrontNode) -> Vec<Value> {
    let now = node.clock.now();
    let relays = node.relays.borrow();
    let peer = |(id, in_flight, is_backing_off): (&InstanceId, u32, bool)| json!({ "peer": id.as_str(), "in_flight": in_flight, "unreached": is_backing_off });
    relays.peers(now).map(peer).collect()
}

fn dump_sizes(sizes: &PartSizes) -> Value {
    let part = |(name, bytes): &(&str, usize)| ((*name).to_owned(), json!(bytes));
    Value::Object(sizes.iter().map(part).collect())
}

/// The most endpoints and members in a dump.
const MAX_LISTED: usize = 1000;

/// The suspects that all processes know.
fn dump_suspects(node: &FrontNode) -> Vec<Value> {
    let suspect = |update: SuspectUpdate| {
        json!({
            "print": update.print.to_string(),
            "is_part": update.print.is_part(),
            "ends": update.ends.len(),
            "answered_ms": update.answered.map(|age| age.0),
        })
    };
    let shared = node.suspects.borrow().shared(node.clock.now());
    shared.into_iter().map(suspect).collect()
}

/// By service with brittle endpoints, the processes that send requests to these.
fn dump_senders(node: &FrontNode) -> Value {
    let senders = node.room_senders.borrow();
    let service = |(service, ids): (&ServiceName, &[InstanceId])| {
        let ids = ids.iter().take(MAX_LISTED).map(|id| json!(id.as_str()));
        (service.as_str().to_owned(), ids.collect())
    };
    Value::Object(senders.iter().map(service).collect())
}

fn dump_quarantined(node: &FrontNode) -> Vec<Value> {
    let now = node.clock.now();
    let suspects = node.suspects.borrow();
    let held = |(print, record): (SuspectFingerprint, &SuspectRecord)| {
        json!({
            "print": print.to_string(),
            "is_part": print.is_part(),
            "for_ms": suspects.held_for(&print, now).map(|left| left.0),
            "ends": record.ends().iter().map(|end| json!({
                "endpoint": end.life.instance.as_str(),
                "life": end.life.life,
                "ago_ms": (now - end.at).0,
            })).collect::<Vec<_>>(),
        })
    };
    suspects.held().take(MAX_LISTED).map(held).collect()
}

/// The known roll-out orders, and the progress of those that this process carries out.
fn dump_releases(node: &FrontNode) -> Value {
    let rollouts = node.releases.borrow();
    let news = rollouts.book.news(node.clock.now());
    let order = |told: &OrderStatus| {
        let running =
            rollouts.running.get(&told.service).filter(|one| one.plan.order().to == told.to);
        json!({
            "service": told.service.as_str(),
            "to": told.to.as_str(),
            "stage": format!("{:?}", told.stage),
            "number": told.number,
            "decided_within_ms": told.ends_in.0,
            "sent": running.map(RunningOrder::sent),
            "seen": running.map(|running| running.plan.comparison.seen()),
            "score": running.map(|running| running.plan.comparison.score()),
        })
    };
    let held = |(service, version): &(ServiceName, CompactString)| {
        let (service, version) = (service.as_str(), version.as_str());
        json!({ "service": service, "version": version })
    };
    json!({
        "known_as_of": news.mark,
        "orders": news.told.iter().map(order).collect::<Vec<_>>(),
        "withdrawn": news.held.iter().map(held).collect::<Vec<_>>(),
    })
}

fn dump_endpoints(node: &FrontNode) -> Vec<Value> {
    let now = node.clock.now();
    let board = node.endpoints.borrow();
    let endpoint = |fact: &oleander_place::EndpointFact| {
        json!({
            "instance": fact.entry.instance.as_str(),
            "service": fact.entry.service.as_str(),
            "domain": fact.entry.domain.as_str(),
            "stage": format!("{:?}", fact.entry.stage),
            "version": fact.entry.release.as_str(),
            "serves": fact.serves,
            "is_tried": fact.is_tried,
            "market": format!("{:?}", fact.entry.market),
            "doubted": fact.doubted,
            "aside": fact.bad_trait(now).map(|bad_trait| format!("{bad_trait:?}")),
            "limit_per_s": fact.declared.limit.rate.map(RequestRate::per_s),
            "limit_part_per_s": fact.declared.bucket.per_s(node.clock.lease_now()),
            "limit_age_ms": fact.declared.limit.rate.map(|_| (now - fact.declared.limit.asked_at).0),
            "said_leaving": fact.declared.leaves,
            "brittle": fact.declared.brittle.refusals,
            "presumed": fact.declared.brittle.is_presumed,
            "permits": fact.room_use(now).map(|room_use| room_use.permits()),
            "given_up": fact.given_up.iter().filter(|until| now < **until).count(),
            "room": fact.is_brittle().then(|| fact.declared.room.current(fact.running_at_once(), now)),
            "rest_left_ms": (fact.declared.backoff_until - node.clock.lease_now()).0,
            "rests": fact.health.is_backing_off(now),
            "failure_share": fact.health.failure_share(now),
            "own_requests": fact.own.requests,
            "other_requests": fact.others.requests,
            "unread_tokens": fact.unread_tokens(),
        })
    };
    board.iter().take(MAX_LISTED).map(|(_, fact)| endpoint(fact)).collect()
}

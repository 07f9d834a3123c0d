//! Follows whether this process reaches the endpoints of each service, and probes them if it may not.
//!
//! A process that reaches no endpoint knows nothing about the endpoints: it draws no conclusion from its
//! own failures, relays its requests to peers that reach them, and finds by its own probes that the path
//! is back, not by requests of callers.

use crate::attempt::{CONNECT_TIMEOUT, IDLE_TIMEOUT};
use crate::events::event;
use crate::node::FrontNode;
use futures_util::stream::{FuturesUnordered, StreamExt};
use oleander_kind::hash::mix_bits;
use oleander_kind::{ClockTime, InstanceId, ServiceName};
use oleander_outlet::{IdleLink, LinkError};
use oleander_place::{EndpointFact, EndpointKey, PathFault, PathRecord, PathState};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

/// Most endpoints probed in one round.
const MAX_PROBES: usize = 4;

/// How long a probe connection is observed before it counts as stable: ten round trips between failure
/// domains.
pub(crate) const PROBE_SETTLE_TIME: Duration = Duration::from_millis(30);

/// An endpoint to probe.
struct ProbeTarget {
    key: EndpointKey,
    instance: InstanceId,
    address: SocketAddr,
}

/// Counts a request as waiting for an endpoint of its service until it is dropped.
pub struct PathWait {
    node: Rc<FrontNode>,
    service: ServiceName,
}

impl PathWait {
    /// Counts a request that is sent now.
    pub fn begin(node: &Rc<FrontNode>, service: &ServiceName) -> Self {
        let now = node.clock.now();
        with_path(node, service, |path| path.note_sent(now));
        PathWait { node: node.clone(), service: service.clone() }
    }
}

impl Drop for PathWait {
    fn drop(&mut self) {
        with_path(&self.node, &self.service, PathRecord::note_ended);
    }
}

fn with_path<T>(
    node: &FrontNode,
    service: &ServiceName,
    act: impl FnOnce(&mut PathRecord) -> T,
) -> T {
    let mut paths = node.paths.borrow_mut();
    if let Some(path) = paths.get_mut(service) {
        return act(path);
    }
    act(paths.entry(service.clone()).or_default())
}

/// Whether this process reaches the endpoints of a service.
pub fn path_state(node: &FrontNode, service: &ServiceName) -> PathState {
    let paths = node.paths.borrow();
    match paths.get(service) {
        Some(path) if !path.failed().is_empty() => path.state(listed_count(node, service)),
        _ => PathState::Open,
    }
}

/// How the last connection to an endpoint of a service failed; `None` if an endpoint was heard since.
pub fn path_fault(node: &FrontNode, service: &ServiceName) -> Option<PathFault> {
    node.paths.borrow().get(service)?.fault()
}

/// Whether an endpoint of a service was heard at `since` or later.
pub fn was_heard_since(node: &FrontNode, service: &ServiceName, since: ClockTime) -> bool {
    node.paths.borrow().get(service).is_some_and(|path| path.heard_at() >= since)
}

/// Whether a part of an answer of another endpoint of a service than `except` arrived at `since` or later.
pub fn was_answered_since(
    node: &FrontNode,
    service: &ServiceName,
    (except, since): (Option<EndpointKey>, ClockTime),
) -> bool {
    node.paths.borrow().get(service).is_some_and(|path| path.answered_at(except) >= since)
}

fn listed_count(node: &FrontNode, service: &ServiceName) -> usize {
    let board = node.endpoints.borrow();
    let facts = board.of_service(service).iter().filter_map(|key| board.get(*key));
    facts.filter(|fact| fact.takes_work()).count()
}

/// Records that a part of an answer of the endpoint `key` arrived.
pub fn note_answered(node: &FrontNode, service: &ServiceName, key: EndpointKey) {
    let now = node.clock.now();
    let lost_since = with_path(node, service, |path| path.note_answered(key, now));
    publish_return(node, service, lost_since);
}

/// Records that a probe connection proved stable.
fn note_probed(node: &FrontNode, service: &ServiceName) {
    let now = node.clock.now();
    let lost_since = with_path(node, service, |path| path.note_reached(now));
    publish_return(node, service, lost_since);
}

fn publish_return(node: &FrontNode, service: &ServiceName, lost_since: Option<ClockTime>) {
    let Some(since) = lost_since else { return };
    let lost = node.clock.now() - since;
    event!(node, PathBack; "service" => service.as_str(), "lost_ms" => lost.0);
    publish_unreached(node);
}

/// Records that an endpoint could not be connected to, or closed a new connection without an answer. If that
/// makes the path doubtful, others are probed at once.
pub fn note_unreached(
    node: &Rc<FrontNode>,
    service: &ServiceName,
    (key, fault): (EndpointKey, &LinkError),
) {
    let fault = match fault {
        LinkError::ConnectFailed(cause) if cause.kind() != io::ErrorKind::ConnectionRefused => {
            PathFault::Silent
        }
        LinkError::TimedOut(_) => PathFault::Silent,
        LinkError::ConnectFailed(_) | LinkError::Interrupted(_) | LinkError::Malformed(_) => {
            PathFault::Refused
        }
    };
    let (listed, now) = (listed_count(node, service), node.clock.now());
    if with_path(node, service, |path| path.note_failed((key, fault), listed, now)) {
        apply_loss(node, service, fault);
    }
    probe_if_due(node, service);
}

/// Withdraws what this process concluded from failures that its lost path caused.
fn apply_loss(node: &FrontNode, service: &ServiceName, fault: PathFault) {
    event!(node, PathLost;
        "service" => service.as_str(), "by" => format!("{fault:?}"),
        "listed" => listed_count(node, service));
    node.meter.count_path_loss(service.as_str());
    let board = node.endpoints.borrow();
    let is_unreached =
        |key| board.get(key).is_some_and(|fact: &EndpointFact| fact.entry.service == *service);
    node.evidence.borrow_mut().discard_of(is_unreached);
    if fault == PathFault::Silent {
        let facts = board.of_service(service).iter().filter_map(|key| board.get(*key));
        let mut pool = node.pool.borrow_mut();
        facts.for_each(|fact| pool.forget(&fact.entry.instance));
    }
    publish_unreached(node);
}

/// Tells the other processes of which services this one reaches no endpoint.
fn publish_unreached(node: &FrontNode) {
    let paths = node.paths.borrow();
    let lost = paths.iter().filter(|(_, path)| path.lost_since().is_some());
    let mut services: Vec<ServiceName> = lost.map(|(service, _)| service.clone()).collect();
    services.sort();
    node.mesh.borrow_mut().view.set_unreached_services(services);
}

/// Forgets the paths to services that the rules name no longer.
pub fn sweep(node: &FrontNode) {
    let Some(rules) = node.current_rules() else { return };
    let is_named = |service: &ServiceName| rules.service(service).is_some();
    node.paths.borrow_mut().retain(|service, path| path.is_in_use() || is_named(service));
    publish_unreached(node);
}

/// Probes the endpoints of each service whose path may be lost.
pub fn watch_paths(node: &Rc<FrontNode>) {
    let services: Vec<ServiceName> = node.paths.borrow().keys().cloned().collect();
    services.iter().for_each(|service| probe_if_due(node, service));
}

fn probe_if_due(node: &Rc<FrontNode>, service: &ServiceName) {
    let (now, random) = (node.clock.now(), node.random());
    let probes = with_path(node, service, |path| path.start_probes(now, random));
    if probes == 0 {
        return;
    }
    for target in probe_targets(node, service).into_iter().take(probes) {
        actix_rt::spawn(probe(node.clone(), service.clone(), target));
    }
}

/// Endpoints that did not fail lately first, and of each failure domain as many as of the others.
fn probe_targets(node: &FrontNode, service: &ServiceName) -> Vec<ProbeTarget> {
    let paths = node.paths.borrow();
    let failed = paths.get(service).map_or(&[][..], PathRecord::failed);
    let board = node.endpoints.borrow();
    let facts = board.of_service(service).iter().filter_map(|key| Some((*key, board.get(*key)?)));
    let mut facts: Vec<(EndpointKey, &EndpointFact)> =
        facts.filter(|(_, fact)| fact.takes_work()).collect();
    let salt = node.random();
    let drawn = |fact: &EndpointFact| mix_bits(salt ^ fact.entry.instance.stable_hash());
    facts.sort_by_cached_key(|(key, fact)| (failed.contains(key), drawn(fact)));
    let mut targets = Vec::new();
    while targets.len() < MAX_PROBES && !facts.is_empty() {
        let mut domains = Vec::new();
        let (round, rest): (Vec<_>, Vec<_>) = facts.into_iter().partition(|(_, fact)| {
            let is_first = !domains.contains(&&fact.entry.domain);
            domains.push(&fact.entry.domain);
            is_first
        });
        targets.extend(round.into_iter().map(|(key, fact)| ProbeTarget {
            key,
            instance: fact.entry.instance.clone(),
            address: fact.entry.address,
        }));
        facts = rest;
    }
    targets.truncate(MAX_PROBES);
    targets
}

/// Opens a connection to an endpoint; one that is established is kept for the next request.
async fn probe(node: Rc<FrontNode>, service: ServiceName, target: ProbeTarget) {
    match node.dialer.dial(target.address, CONNECT_TIMEOUT).await {
        Ok(link) => {
            actix_rt::time::sleep(PROBE_SETTLE_TIME).await;
            if link.is_reusable() {
                note_probed(&node, &service);
                return keep_link(&node, &target.instance, link);
            }
            let closed = LinkError::Interrupted(io::ErrorKind::ConnectionReset.into());
            note_unreached(&node, &service, (target.key, &closed));
        }
        Err(fault) => note_unreached(&node, &service, (target.key, &fault)),
    }
}

/// Keeps a connection to an endpoint that is still listed.
pub fn keep_link(node: &FrontNode, instance: &InstanceId, link: IdleLink) {
    if node.endpoints.borrow().key(instance).is_some() {
        node.keep_link(instance, link, IDLE_TIMEOUT);
    }
}

/// Connects to other endpoints of the service than `except`; `None` if there is no other, else whether one
/// was reached. Several are tried, as others may have ended at the same moment.
pub async fn reaches_another(
    node: &Rc<FrontNode>,
    service: &ServiceName,
    except: EndpointKey,
) -> Option<bool> {
    let asked_at = node.clock.now();
    let others = probe_targets(node, service).into_iter().filter(|target| target.key != except);
    let mut probes: FuturesUnordered<_> =
        others.map(|target| probe(node.clone(), service.clone(), target)).collect();
    probes.next().await?;
    while !was_heard_since(node, service, asked_at) {
        if probes.next().await.is_none() {
            return Some(false);
        }
    }
    Some(true)
}

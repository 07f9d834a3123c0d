//! Dump of a process's state for operators. It is versioned, bounded in size and contains no secrets.

use crate::facts::{Blackboard, StopStage};
use compact_str::CompactString;
use oleander_kind::{ClockTime, DomainName, EndpointStage, InstanceId, ServiceName, VersionName};
use serde::Serialize;
use std::collections::BTreeMap;

/// Version of the dump format.
pub const DUMP_VERSION: u32 = 1;
/// Maximum number of endpoints that a dump lists.
pub const MAX_ENDPOINTS: usize = 1000;

/// State of one endpoint in a dump.
#[derive(Debug, Serialize)]
pub struct EndpointDump {
    /// Instance.
    pub instance: InstanceId,
    /// Service.
    pub service: ServiceName,
    /// Failure domain.
    pub domain: DomainName,
    /// Version.
    pub version: VersionName,
    /// Stage according to the endpoint list.
    pub stage: EndpointStage,
    /// Whether the endpoint is known to be leaving.
    pub leaving: bool,
    /// Requests of this process in flight to the endpoint.
    pub in_flight: u32,
    /// Consecutive failures.
    pub failures: u32,
    /// Age of the newest load report, in milliseconds.
    pub load_age_ms: Option<u64>,
}

/// Dump of the state of one process.
#[derive(Debug, Serialize)]
pub struct StateDump {
    /// Version of the dump format.
    pub dump_version: u32,
    /// This instance.
    pub instance: InstanceId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Generation of the bundle in force; 0 if none.
    pub generation: u64,
    /// Digest of the bundle in force; empty if none.
    pub digest: CompactString,
    /// Time since the bundle was last known to be the newest, in milliseconds.
    pub bundle_age_ms: Option<u64>,
    /// Time since the endpoint list was last read, in milliseconds.
    pub list_age_ms: Option<u64>,
    /// Whether the store answered the most recent call.
    pub store_up: bool,
    /// Progress of a planned stop.
    pub stop: StopStage,
    /// Endpoints, at most [`MAX_ENDPOINTS`].
    pub endpoints: Vec<EndpointDump>,
    /// Number of endpoints omitted from the dump.
    pub endpoints_left_out: usize,
    /// Summaries written by controllers, by name.
    pub summaries: BTreeMap<&'static str, serde_json::Value>,
}

/// Makes a dump of `board` at time `now`.
pub fn dump_state(
    board: &Blackboard,
    instance: &InstanceId,
    domain: &DomainName,
    now: ClockTime,
) -> StateDump {
    let content = board.bundle.as_ref().map(|bundle| &bundle.content);
    let endpoints: Vec<_> = board
        .endpoints
        .iter()
        .take(MAX_ENDPOINTS)
        .map(|(_, fact)| endpoint_dump(fact, now))
        .collect();
    StateDump {
        dump_version: DUMP_VERSION,
        instance: instance.clone(),
        domain: domain.clone(),
        generation: content.map_or(0, |content| content.generation),
        digest: content.map(|content| content.digest()).unwrap_or_default(),
        bundle_age_ms: content.map(|_| (now - board.bundle_seen).0),
        list_age_ms: board.list_seen.map(|seen| (now - seen).0),
        store_up: board.store_up,
        stop: board.stop,
        endpoints_left_out: board.endpoints.len() - endpoints.len(),
        endpoints,
        summaries: board.summaries.clone(),
    }
}

fn endpoint_dump(fact: &crate::EndpointFact, now: ClockTime) -> EndpointDump {
    EndpointDump {
        instance: fact.record.instance.clone(),
        service: fact.record.service.clone(),
        domain: fact.record.domain.clone(),
        version: fact.record.version.clone(),
        stage: fact.record.stage,
        leaving: fact.leaving,
        in_flight: fact.in_flight,
        failures: fact.failures,
        load_age_ms: fact.load.map(|(at, _)| (now - at).0),
    }
}

//! The dump of a process's state: typed, versioned, bounded, without secrets.

use crate::facts::{Blackboard, StopStage};
use compact_str::CompactString;
use oleander_kind::{ClockTime, DomainName, EndpointStage, InstanceId, ServiceName, VersionName};
use serde::Serialize;
use std::collections::BTreeMap;

/// The version of the dump's form.
pub const DUMP_VERSION: u32 = 1;
/// The most endpoints a dump lists.
pub const MOST_ENDPOINTS: usize = 1000;

/// An endpoint in a dump.
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
    /// Stage in the list.
    pub stage: EndpointStage,
    /// Whether it is known to leave.
    pub leaving: bool,
    /// Requests of this process in flight there.
    pub in_flight: u32,
    /// Failures in a row.
    pub failures: u32,
    /// Age of the newest load report, in milliseconds.
    pub load_age_ms: Option<u64>,
}

/// The whole dump.
#[derive(Debug, Serialize)]
pub struct StateDump {
    /// Version of this form.
    pub dump_version: u32,
    /// This instance.
    pub instance: InstanceId,
    /// Its failure domain.
    pub domain: DomainName,
    /// Generation of the bundle in force; 0 if none.
    pub generation: u64,
    /// Digest of the bundle in force.
    pub digest: CompactString,
    /// Since the bundle was known to be the newest, in milliseconds.
    pub bundle_age_ms: Option<u64>,
    /// Since the list was read, in milliseconds.
    pub list_age_ms: Option<u64>,
    /// Whether the store answered its newest call.
    pub store_up: bool,
    /// How far a planned stop has come.
    pub stop: StopStage,
    /// Endpoints, at most [`MOST_ENDPOINTS`].
    pub endpoints: Vec<EndpointDump>,
    /// Endpoints left out of the list.
    pub endpoints_left_out: usize,
    /// Summaries of controllers.
    pub summaries: BTreeMap<&'static str, serde_json::Value>,
}

/// Dumps `board` as it stands at `now`.
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
        .take(MOST_ENDPOINTS)
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

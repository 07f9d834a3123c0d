//! State that a process keeps about endpoints, the bundle in force and its own planned stop.

use oleander_bundle::SignedBundle;
use oleander_kind::{
    ArenaKey, ClockTime, EndpointRecord, EndpointStage, InstanceId, ItemArena, ServiceName,
    TimeSpan,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// Key of an endpoint on the blackboard.
pub type EndpointKey = ArenaKey<EndpointFact>;

/// Time after which an endpoint absent from the list is dropped even if it still answers.
pub const UNLISTED_TIMEOUT: TimeSpan = TimeSpan::secs(60);

/// Load that an endpoint reported.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedLoad {
    /// Streams in the running batch.
    pub running: u32,
    /// Streams waiting to enter the batch.
    pub waiting: u32,
    /// Prompt tokens not yet processed.
    pub prefill: u64,
    /// Duration of the most recent step, in microseconds.
    pub step_us: u64,
}

/// What this process knows about one endpoint.
#[derive(Clone, Debug)]
pub struct EndpointFact {
    /// Record from the endpoint list.
    pub record: EndpointRecord,
    /// Whether the endpoint is leaving. Stays set once any source reports it, because the list lags
    /// and may still show the endpoint as live.
    pub leaving: bool,
    /// Wall-clock time at which a leaving endpoint ends.
    pub ends_at: Option<ClockTime>,
    /// Requests of this process that are not answered yet.
    pub in_flight: u32,
    /// Prompt tokens of this process's requests that have produced no first token yet.
    pub prefill_sent: u64,
    /// Most recent load report and the time of its arrival.
    pub load: Option<(ClockTime, ReportedLoad)>,
    /// Requests sent by this process since that report.
    pub sent_since_report: u32,
    /// Consecutive failures.
    pub failures: u32,
    /// Time until which the endpoint is ejected and gets no work.
    pub ejected_until: ClockTime,
    /// Time since which the endpoint is absent from the list.
    pub unlisted_since: Option<ClockTime>,
    /// Time at which this process first saw the endpoint.
    pub seen_at: ClockTime,
    /// Sequence number of the most recent cache event.
    pub cache_seq: u64,
    /// Incremented when cache events were missed; cache knowledge from earlier epochs counts less.
    pub cache_epoch: u32,
}

impl EndpointFact {
    /// Returns whether the endpoint may get new requests at `now`.
    pub fn takes_work(&self, now: ClockTime) -> bool {
        let live = self.record.stage == EndpointStage::Live && !self.leaving;
        live && now >= self.ejected_until
    }
}

/// Stage of a planned stop.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StopStage {
    /// No stop was requested.
    #[default]
    Serving,
    /// Readiness is withdrawn; all requests are still accepted.
    Unready,
    /// New requests are refused; accepted ones finish or move to another process.
    Draining,
    /// All accepted requests have finished or moved.
    Stopped,
}

/// Shared state of one process, which its controllers read and write.
#[derive(Default)]
pub struct Blackboard {
    /// The bundle in force.
    pub bundle: Option<Rc<SignedBundle>>,
    /// Monotonic time at which the bundle was last known to be the newest.
    pub bundle_seen: ClockTime,
    /// Endpoints.
    pub endpoints: ItemArena<EndpointFact>,
    by_instance: HashMap<InstanceId, EndpointKey>,
    by_service: BTreeMap<ServiceName, Vec<EndpointKey>>,
    /// Monotonic time at which the endpoint list was last read.
    pub list_seen: Option<ClockTime>,
    /// Stage of a planned stop.
    pub stop: StopStage,
    /// Whether the store answered the most recent call.
    pub store_up: bool,
    /// Summaries by controllers that keep state of their own, by name.
    pub summaries: BTreeMap<&'static str, serde_json::Value>,
}

impl Blackboard {
    /// Creates an empty blackboard.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the key of the endpoint with this instance name.
    pub fn endpoint_key(&self, instance: &InstanceId) -> Option<EndpointKey> {
        self.by_instance.get(instance).copied()
    }

    /// Returns the keys of the endpoints of a service.
    pub fn endpoints_of(&self, service: &ServiceName) -> &[EndpointKey] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Applies a snapshot of the endpoint list that was read at `now`.
    ///
    /// The list lags and may lack some endpoints or all of them, so an absent endpoint stays in use
    /// while it answers. It is dropped when no request of this process is in flight to it and it has
    /// failed, is leaving, or has been absent for [`UNLISTED_TIMEOUT`].
    pub fn apply_list(&mut self, records: Vec<EndpointRecord>, now: ClockTime) {
        let mut shown: HashMap<InstanceId, EndpointRecord> =
            records.into_iter().map(|record| (record.instance.clone(), record)).collect();
        let mut dropped = Vec::new();
        let known: Vec<_> = self.by_instance.values().copied().collect();
        for key in known {
            let Some(fact) = self.endpoints.get_mut(key) else { continue };
            match shown.remove(&fact.record.instance) {
                Some(record) => fact.apply_record(record),
                None if fact.note_unlisted(now) => dropped.push(key),
                None => {}
            }
        }
        for key in dropped {
            self.drop_endpoint(key);
        }
        for record in shown.into_values() {
            self.add_endpoint(record, now);
        }
        self.list_seen = Some(now);
    }

    fn add_endpoint(&mut self, record: EndpointRecord, now: ClockTime) {
        let instance = record.instance.clone();
        let service = record.service.clone();
        let leaving = record.stage == EndpointStage::Leaving;
        let ends_at = record.ends_at;
        let key = self.endpoints.insert(EndpointFact {
            record,
            leaving,
            ends_at,
            in_flight: 0,
            prefill_sent: 0,
            load: None,
            sent_since_report: 0,
            failures: 0,
            ejected_until: ClockTime(0),
            unlisted_since: None,
            seen_at: now,
            cache_seq: 0,
            cache_epoch: 0,
        });
        self.by_instance.insert(instance, key);
        self.by_service.entry(service).or_default().push(key);
    }

    fn drop_endpoint(&mut self, key: EndpointKey) {
        let Some(fact) = self.endpoints.remove(key) else {
            return;
        };
        self.by_instance.remove(&fact.record.instance);
        if let Some(keys) = self.by_service.get_mut(&fact.record.service) {
            keys.retain(|other| *other != key);
        }
    }

    /// Marks an instance as leaving, whichever source reported it. Returns whether it was not marked before.
    pub fn mark_leaving(&mut self, instance: &InstanceId, ends_at: Option<ClockTime>) -> bool {
        let Some(key) = self.endpoint_key(instance) else {
            return false;
        };
        let Some(fact) = self.endpoints.get_mut(key) else {
            return false;
        };
        let news = !fact.leaving;
        fact.leaving = true;
        fact.ends_at = ends_at.or(fact.ends_at);
        news
    }
}

impl EndpointFact {
    /// Records that the endpoint is absent from the list. Returns whether it may be dropped.
    fn note_unlisted(&mut self, now: ClockTime) -> bool {
        let since = *self.unlisted_since.get_or_insert(now);
        let given_up = self.failures > 0 || self.leaving || now - since >= UNLISTED_TIMEOUT;
        given_up && self.in_flight == 0
    }

    fn apply_record(&mut self, record: EndpointRecord) {
        self.unlisted_since = None;
        if record.stage == EndpointStage::Leaving {
            self.leaving = true;
        }
        self.ends_at = record.ends_at.or(self.ends_at);
        self.record = record;
    }
}

//! The facts themselves.

use oleander_bundle::SignedBundle;
use oleander_kind::{
    ArenaKey, ClockTime, EndpointRecord, EndpointStage, InstanceId, ItemArena, ServiceName,
    TimeSpan,
};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;

/// The key of an endpoint on the board.
pub type EndpointKey = ArenaKey<EndpointFact>;

/// An endpoint that the list does not show for this long is dropped even if it answers.
pub const UNLISTED_LIMIT: TimeSpan = TimeSpan::secs(60);

/// An endpoint's load as it reported it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ReportedLoad {
    /// Streams in the batch.
    pub running: u32,
    /// Streams waiting.
    pub waiting: u32,
    /// Prompt tokens not computed yet.
    pub prefill: u64,
    /// Time of the newest step, in microseconds.
    pub step_us: u64,
}

/// What is known of one endpoint.
#[derive(Clone, Debug)]
pub struct EndpointFact {
    /// As the list shows it.
    pub record: EndpointRecord,
    /// Once it is known to leave, by whatever path, it stays so: the list lags and may still
    /// show it live.
    pub leaving: bool,
    /// Wall-clock time of its end, if it is leaving.
    pub ends_at: Option<ClockTime>,
    /// Requests sent from here that are not answered.
    pub in_flight: u32,
    /// Prompt tokens sent from here that brought no first token yet.
    pub prefill_sent: u64,
    /// The newest load report and when it came.
    pub load: Option<(ClockTime, ReportedLoad)>,
    /// Requests sent from here since the newest report.
    pub sent_since_report: u32,
    /// Failures in a row.
    pub failures: u32,
    /// Not used before this time.
    pub ejected_until: ClockTime,
    /// Since when the list does not show it.
    pub unlisted_since: Option<ClockTime>,
    /// When it was first seen here.
    pub seen_at: ClockTime,
    /// The newest cache event number.
    pub cache_seq: u64,
    /// Raised when cache events were missed: what is known from before counts less.
    pub cache_epoch: u32,
}

impl EndpointFact {
    /// Whether it may get new work at `now`.
    pub fn takes_work(&self, now: ClockTime) -> bool {
        let live = self.record.stage == EndpointStage::Live && !self.leaving;
        live && now >= self.ejected_until
    }
}

/// How far a planned stop has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum StopStage {
    /// Not asked to stop.
    #[default]
    Serving,
    /// Not ready any more; everything is still answered.
    Unready,
    /// No new requests; those accepted finish or move.
    Draining,
    /// All accepted requests are finished or moved.
    Stopped,
}

/// Everything one process knows.
#[derive(Default)]
pub struct Blackboard {
    /// The bundle in force.
    pub bundle: Option<Rc<SignedBundle>>,
    /// When the bundle was last known to be the newest (monotonic).
    pub bundle_seen: ClockTime,
    /// Endpoints.
    pub endpoints: ItemArena<EndpointFact>,
    by_instance: HashMap<InstanceId, EndpointKey>,
    by_service: BTreeMap<ServiceName, Vec<EndpointKey>>,
    /// When the list was last read (monotonic).
    pub list_seen: Option<ClockTime>,
    /// How far a planned stop has come.
    pub stop: StopStage,
    /// Whether the store answered its newest call.
    pub store_up: bool,
    /// Short summaries that controllers with state of their own write, by name.
    pub summaries: BTreeMap<&'static str, serde_json::Value>,
}

impl Blackboard {
    /// An empty board.
    pub fn new() -> Self {
        Self::default()
    }

    /// The endpoint of an instance.
    pub fn endpoint_key(&self, instance: &InstanceId) -> Option<EndpointKey> {
        self.by_instance.get(instance).copied()
    }

    /// The endpoints of a service.
    pub fn endpoints_of(&self, service: &ServiceName) -> &[EndpointKey] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Takes a whole list as it was read at `now`.
    ///
    /// The list lags and may miss lines, or all of them. An endpoint it no longer shows is
    /// therefore kept in use for as long as it answers, and dropped once it failed, or was not
    /// shown for [`UNLISTED_LIMIT`], and nothing of ours is in flight to it.
    pub fn take_list(&mut self, records: Vec<EndpointRecord>, now: ClockTime) {
        let mut shown: HashMap<InstanceId, EndpointRecord> =
            records.into_iter().map(|record| (record.instance.clone(), record)).collect();
        let mut dropped = Vec::new();
        let known: Vec<_> = self.by_instance.values().copied().collect();
        for key in known {
            let Some(fact) = self.endpoints.get_mut(key) else { continue };
            match shown.remove(&fact.record.instance) {
                Some(record) => fact.take_record(record),
                None if fact.miss_from_list(now) => dropped.push(key),
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

    /// Notes that an instance is leaving, from whatever path. Returns whether that was news.
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
    /// Notes that the list does not show it. Returns whether it may be dropped.
    fn miss_from_list(&mut self, now: ClockTime) -> bool {
        let since = *self.unlisted_since.get_or_insert(now);
        let given_up = self.failures > 0 || self.leaving || now - since >= UNLISTED_LIMIT;
        given_up && self.in_flight == 0
    }

    fn take_record(&mut self, record: EndpointRecord) {
        self.unlisted_since = None;
        if record.stage == EndpointStage::Leaving {
            self.leaving = true;
        }
        self.ends_at = record.ends_at.or(self.ends_at);
        self.record = record;
    }
}

//! Load at the endpoints, summed over the reports, and the part of it that each process is sent.
//!
//! A process places a request by the load of a few endpoints: some drawn at random, and those that
//! have cached parts of the prompt. Sending every endpoint to every process four times a second
//! would load the collector's link with processes times endpoints. Above a certain number of busy
//! endpoints each process therefore gets a fixed sample, from which it draws, and the most loaded
//! endpoints, which should get no more requests. For the rest it gets the mean.

use crate::message::EndpointHash;
use oleander_kind::hash::rendezvous_weight;
use oleander_kind::{ClockTime, InstanceId, ServiceName, TimeSpan};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Up to this number of busy endpoints, a process is sent all of them.
const MAX_FULL_ENDPOINTS: usize = 128;
/// Size of the sample per service that a process draws from.
const SAMPLE_SIZE: usize = 32;
/// Number of most loaded endpoints that are sent to all processes.
const MAX_BUSIEST: usize = 32;
/// How long the common part of all answers is reused.
const COMMON_LIFETIME: TimeSpan = TimeSpan(100);
/// How long a report is valid: at least four reporting periods.
pub(crate) const REPORT_LIFETIME: TimeSpan = TimeSpan(1200);

/// Load at an endpoint. Encoded as a tuple without field names, since there are many in a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "LoadFields", into = "LoadFields")]
pub struct EndpointLoad {
    /// The endpoint.
    pub endpoint: EndpointHash,
    /// Requests in progress.
    pub requests: u32,
    /// Prompt tokens that wait for prefill.
    pub unread_tokens: u64,
}

type LoadFields = (EndpointHash, u32, u64);

impl From<LoadFields> for EndpointLoad {
    fn from((endpoint, requests, unread_tokens): LoadFields) -> Self {
        EndpointLoad { endpoint, requests, unread_tokens }
    }
}

impl From<EndpointLoad> for LoadFields {
    fn from(load: EndpointLoad) -> Self {
        (load.endpoint, load.requests, load.unread_tokens)
    }
}

/// The mean load of those endpoints of a service that are not among the most loaded ones.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MeanLoad {
    /// The service.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// Requests in progress.
    #[serde(rename = "r")]
    pub requests: u32,
    /// Prompt tokens that wait for prefill.
    #[serde(rename = "u")]
    pub unread_tokens: u64,
}

/// The load of other processes, as sent to one process.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadUpdate {
    /// Load at endpoints.
    #[serde(rename = "l")]
    pub loads: Vec<EndpointLoad>,
    /// The mean of the other endpoints, by service; empty if those are idle.
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    pub means: Vec<MeanLoad>,
}

#[derive(Clone, Copy, Debug, Default)]
struct LoadSum {
    requests: u32,
    unread_tokens: u64,
}

impl LoadSum {
    fn add(&mut self, load: &EndpointLoad) {
        self.requests += load.requests;
        self.unread_tokens += load.unread_tokens;
    }

    fn subtract(&mut self, load: &EndpointLoad) {
        self.requests = self.requests.saturating_sub(load.requests);
        self.unread_tokens = self.unread_tokens.saturating_sub(load.unread_tokens);
    }

    fn is_idle(&self) -> bool {
        self.requests == 0 && self.unread_tokens == 0
    }
}

#[derive(Debug)]
struct ReporterLoads {
    loads: Vec<EndpointLoad>,
    heard_at: ClockTime,
    /// The sample it draws from, and the edition of the endpoint list that the sample was taken
    /// from.
    sample: (u64, Vec<EndpointHash>),
}

/// Load at the endpoints, summed over all processes.
#[derive(Debug, Default)]
pub struct LoadTable {
    reporters: BTreeMap<InstanceId, ReporterLoads>,
    sums: BTreeMap<EndpointHash, LoadSum>,
    services: BTreeMap<ServiceName, Vec<EndpointHash>>,
    edition: u64,
    common: CommonLoads,
}

/// The part of the answer that is the same for all processes.
#[derive(Debug, Default)]
struct CommonLoads {
    updated_at: Option<ClockTime>,
    /// The most loaded endpoints.
    busiest: BTreeSet<EndpointHash>,
    /// The mean load of the others, by service.
    means: Vec<MeanLoad>,
}

impl LoadTable {
    /// Sets the endpoints that accept requests, by service.
    pub fn set_endpoints(&mut self, services: BTreeMap<ServiceName, Vec<EndpointHash>>) {
        if self.services != services {
            self.services = services;
            self.edition += 1;
        }
    }

    /// Replaces the load that a process reported before.
    pub fn note(&mut self, reporter: &InstanceId, loads: &[EndpointLoad], now: ClockTime) {
        self.remove_silent(now);
        for load in loads {
            self.sums.entry(load.endpoint).or_default().add(load);
        }
        let (former, sample) = match self.reporters.remove(reporter) {
            Some(known) => (known.loads, known.sample),
            None => (Vec::new(), (0, Vec::new())),
        };
        self.subtract(&former);
        let fresh = ReporterLoads { loads: loads.to_vec(), heard_at: now, sample };
        self.reporters.insert(reporter.clone(), fresh);
    }

    fn subtract(&mut self, loads: &[EndpointLoad]) {
        for load in loads {
            let Some(sum) = self.sums.get_mut(&load.endpoint) else { continue };
            sum.subtract(load);
            if sum.is_idle() {
                self.sums.remove(&load.endpoint);
            }
        }
    }

    fn remove_silent(&mut self, now: ClockTime) {
        let silent = |(id, known): (&InstanceId, &ReporterLoads)| {
            (now - known.heard_at >= REPORT_LIFETIME).then(|| id.clone())
        };
        let silent: Vec<InstanceId> = self.reporters.iter().filter_map(silent).collect();
        for id in silent {
            if let Some(gone) = self.reporters.remove(&id) {
                self.subtract(&gone.loads);
            }
        }
    }

    /// Requests in progress at an endpoint.
    pub fn requests_at(&self, endpoint: EndpointHash) -> u32 {
        self.sums.get(&endpoint).map_or(0, |sum| sum.requests)
    }

    /// The load of the other processes, for `reporter`.
    pub fn loads_for(&mut self, reporter: &InstanceId, now: ClockTime) -> LoadUpdate {
        self.remove_silent(now);
        if self.sums.len() <= MAX_FULL_ENDPOINTS {
            let all: Vec<EndpointHash> = self.sums.keys().copied().collect();
            let loads = self.others_at(reporter, &all);
            let loads =
                loads.into_iter().filter(|load| load.requests > 0 || load.unread_tokens > 0);
            return LoadUpdate { loads: loads.collect(), means: Vec::new() };
        }
        self.update_sample(reporter);
        self.update_common(now);
        let sample = self.reporters.get(reporter).map_or(&[][..], |known| &known.sample.1);
        let listed = sample.iter().filter(|hash| !self.common.busiest.contains(hash));
        let listed: Vec<EndpointHash> = listed.chain(&self.common.busiest).copied().collect();
        LoadUpdate { loads: self.others_at(reporter, &listed), means: self.common.means.clone() }
    }

    fn others_at(&self, reporter: &InstanceId, endpoints: &[EndpointHash]) -> Vec<EndpointLoad> {
        let own = self.reporters.get(reporter).map_or(&[][..], |known| &known.loads);
        let own: HashMap<EndpointHash, &EndpointLoad> =
            own.iter().map(|load| (load.endpoint, load)).collect();
        let load = |endpoint: &EndpointHash| {
            let mut sum = self.sums.get(endpoint).copied().unwrap_or_default();
            if let Some(load) = own.get(endpoint) {
                sum.subtract(load);
            }
            let LoadSum { requests, unread_tokens } = sum;
            EndpointLoad { endpoint: *endpoint, requests, unread_tokens }
        };
        endpoints.iter().map(load).collect()
    }

    /// Samples endpoints for a process by rendezvous hashing, so that a small change of the
    /// endpoint list changes the sample only a little.
    fn update_sample(&mut self, reporter: &InstanceId) {
        let edition = self.edition;
        let Some(known) = self.reporters.get_mut(reporter) else { return };
        if known.sample.0 == edition {
            return;
        }
        let key = reporter.stable_hash();
        let weight = |hash: &EndpointHash| Reverse(rendezvous_weight(key, hash.value()));
        let mut sample = Vec::new();
        for endpoints in self.services.values() {
            let mut ranked = endpoints.clone();
            if ranked.len() > SAMPLE_SIZE {
                ranked.select_nth_unstable_by_key(SAMPLE_SIZE, weight);
                ranked.truncate(SAMPLE_SIZE);
            }
            sample.extend(ranked);
        }
        known.sample = (edition, sample);
    }

    /// Updates the part that is the same for all processes.
    fn update_common(&mut self, now: ClockTime) {
        if self.common.updated_at.is_some_and(|at| now - at < COMMON_LIFETIME) {
            return;
        }
        let work = |(hash, sum): (&EndpointHash, &LoadSum)| {
            (Reverse((sum.unread_tokens, sum.requests)), *hash)
        };
        let mut ranked: Vec<_> = self.sums.iter().map(work).collect();
        if ranked.len() > MAX_BUSIEST {
            ranked.select_nth_unstable(MAX_BUSIEST);
            ranked.truncate(MAX_BUSIEST);
        }
        let busiest: BTreeSet<EndpointHash> = ranked.into_iter().map(|(_, hash)| hash).collect();
        let means = self.services.iter().map(|(name, hashes)| self.mean_of(name, hashes, &busiest));
        self.common = CommonLoads { updated_at: Some(now), means: means.collect(), busiest };
    }

    fn mean_of(
        &self,
        service: &ServiceName,
        endpoints: &[EndpointHash],
        busiest: &BTreeSet<EndpointHash>,
    ) -> MeanLoad {
        let mut sum = LoadSum::default();
        let mut count = 0;
        for hash in endpoints.iter().filter(|hash| !busiest.contains(hash)) {
            let at = self.sums.get(hash).copied().unwrap_or_default();
            sum.requests += at.requests;
            sum.unread_tokens += at.unread_tokens;
            count += 1;
        }
        let count = u32::max(count, 1);
        MeanLoad {
            service: service.clone(),
            requests: sum.requests / count,
            unread_tokens: sum.unread_tokens / u64::from(count),
        }
    }
}

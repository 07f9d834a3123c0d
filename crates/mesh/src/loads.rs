//! Work at the endpoints, summed up as reports come, and which of it each process is told.
//!
//! A process places a request by the work of a few endpoints: some that it draws by lot, and those that hold parts of the
//! prompt. Told of all of them four times a second, the collector's link would have to carry processes times endpoints.
//! Beyond a certain number of busy endpoints each process is told of some that it draws from, always the same ones while
//! they live, and of those with most work, which nobody should add to. Of the rest it is told the mean.

use crate::message::EndpointMark;
use oleander_kind::hash::rendezvous_weight;
use oleander_kind::{ClockTime, InstanceId, ServiceName, TimeSpan};
use serde::{Deserialize, Serialize};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};

/// Up to so many busy endpoints a process is told of all.
const MOST_TOLD: usize = 128;
/// Endpoints of each service that a process draws from.
const DRAWN_TOLD: usize = 32;
/// Endpoints with most work that all processes are told of.
const LONGEST_TOLD: usize = 32;
/// For how long what all processes are told alike is taken for the same.
const COMMON_KEPT: TimeSpan = TimeSpan(100);
/// A report counts for this long after it came: four times the period of reports.
pub(crate) const REPORT_LASTS: TimeSpan = TimeSpan(1200);

/// Work at an endpoint. Travels as a list without names: there is one for each endpoint that is told of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "LoadFields", into = "LoadFields")]
pub struct EndpointLoad {
    /// The endpoint.
    pub endpoint: EndpointMark,
    /// Requests under way.
    pub requests: u32,
    /// Prompt tokens that wait to be read.
    pub unread_tokens: u64,
}

type LoadFields = (EndpointMark, u32, u64);

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

/// The mean work of a service's endpoints that are not told of one by one.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct MeanLoad {
    /// The service.
    #[serde(rename = "s")]
    pub service: ServiceName,
    /// Requests under way.
    #[serde(rename = "r")]
    pub requests: u32,
    /// Prompt tokens that wait to be read.
    #[serde(rename = "u")]
    pub unread_tokens: u64,
}

/// What a process is told of the other processes' work.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LoadNews {
    /// Work at endpoints.
    #[serde(rename = "l")]
    pub loads: Vec<EndpointLoad>,
    /// The mean of the others, by service; empty if there is no work at the others.
    #[serde(rename = "m", default, skip_serializing_if = "Vec::is_empty")]
    pub means: Vec<MeanLoad>,
}

#[derive(Clone, Copy, Debug, Default)]
struct WorkSum {
    requests: u32,
    unread_tokens: u64,
}

impl WorkSum {
    fn add(&mut self, load: &EndpointLoad) {
        self.requests += load.requests;
        self.unread_tokens += load.unread_tokens;
    }

    fn take_off(&mut self, load: &EndpointLoad) {
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
    /// The endpoints that it draws from, and the edition of the list that they are of.
    drawn: (u64, Vec<EndpointMark>),
}

/// Work at the endpoints, all processes together.
#[derive(Debug, Default)]
pub struct LoadTable {
    reporters: BTreeMap<InstanceId, ReporterLoads>,
    sums: BTreeMap<EndpointMark, WorkSum>,
    services: BTreeMap<ServiceName, Vec<EndpointMark>>,
    edition: u64,
    common: CommonNews,
}

/// What all processes are told alike.
#[derive(Debug, Default)]
struct CommonNews {
    found_at: Option<ClockTime>,
    /// The endpoints with most work.
    longest: BTreeSet<EndpointMark>,
    /// The mean work of the others, by service.
    means: Vec<MeanLoad>,
}

impl LoadTable {
    /// Takes the endpoints that take work, by service.
    pub fn list(&mut self, services: BTreeMap<ServiceName, Vec<EndpointMark>>) {
        if self.services != services {
            self.services = services;
            self.edition += 1;
        }
    }

    /// Takes a process's own work in place of what it reported before.
    pub fn note(&mut self, reporter: &InstanceId, loads: &[EndpointLoad], now: ClockTime) {
        self.forget_silent(now);
        for load in loads {
            self.sums.entry(load.endpoint).or_default().add(load);
        }
        let (former, drawn) = match self.reporters.remove(reporter) {
            Some(known) => (known.loads, known.drawn),
            None => (Vec::new(), (0, Vec::new())),
        };
        self.take_off(&former);
        let fresh = ReporterLoads { loads: loads.to_vec(), heard_at: now, drawn };
        self.reporters.insert(reporter.clone(), fresh);
    }

    fn take_off(&mut self, loads: &[EndpointLoad]) {
        for load in loads {
            let Some(sum) = self.sums.get_mut(&load.endpoint) else { continue };
            sum.take_off(load);
            if sum.is_idle() {
                self.sums.remove(&load.endpoint);
            }
        }
    }

    fn forget_silent(&mut self, now: ClockTime) {
        let silent = |(id, known): (&InstanceId, &ReporterLoads)| {
            (now - known.heard_at >= REPORT_LASTS).then(|| id.clone())
        };
        let silent: Vec<InstanceId> = self.reporters.iter().filter_map(silent).collect();
        for id in silent {
            if let Some(gone) = self.reporters.remove(&id) {
                self.take_off(&gone.loads);
            }
        }
    }

    /// Requests under way at an endpoint.
    pub fn requests_at(&self, endpoint: EndpointMark) -> u32 {
        self.sums.get(&endpoint).map_or(0, |sum| sum.requests)
    }

    /// What to tell `reporter` of the others' work.
    pub fn news_for(&mut self, reporter: &InstanceId, now: ClockTime) -> LoadNews {
        self.forget_silent(now);
        if self.sums.len() <= MOST_TOLD {
            let all: Vec<EndpointMark> = self.sums.keys().copied().collect();
            let loads = self.others_at(reporter, &all);
            let loads =
                loads.into_iter().filter(|load| load.requests > 0 || load.unread_tokens > 0);
            return LoadNews { loads: loads.collect(), means: Vec::new() };
        }
        self.draw_for(reporter);
        self.find_common(now);
        let drawn = self.reporters.get(reporter).map_or(&[][..], |known| &known.drawn.1);
        let told = drawn.iter().filter(|mark| !self.common.longest.contains(mark));
        let told: Vec<EndpointMark> = told.chain(&self.common.longest).copied().collect();
        LoadNews { loads: self.others_at(reporter, &told), means: self.common.means.clone() }
    }

    fn others_at(&self, reporter: &InstanceId, endpoints: &[EndpointMark]) -> Vec<EndpointLoad> {
        let own = self.reporters.get(reporter).map_or(&[][..], |known| &known.loads);
        let own: HashMap<EndpointMark, &EndpointLoad> =
            own.iter().map(|load| (load.endpoint, load)).collect();
        let load = |endpoint: &EndpointMark| {
            let mut sum = self.sums.get(endpoint).copied().unwrap_or_default();
            if let Some(load) = own.get(endpoint) {
                sum.take_off(load);
            }
            let WorkSum { requests, unread_tokens } = sum;
            EndpointLoad { endpoint: *endpoint, requests, unread_tokens }
        };
        endpoints.iter().map(load).collect()
    }

    /// Draws endpoints for a process by rendezvous: of a list that changed a little, it draws the same ones but for a few.
    fn draw_for(&mut self, reporter: &InstanceId) {
        let edition = self.edition;
        let Some(known) = self.reporters.get_mut(reporter) else { return };
        if known.drawn.0 == edition {
            return;
        }
        let key = reporter.stable_hash();
        let weight = |mark: &EndpointMark| Reverse(rendezvous_weight(key, mark.value()));
        let mut drawn = Vec::new();
        for endpoints in self.services.values() {
            let mut ranked = endpoints.clone();
            if ranked.len() > DRAWN_TOLD {
                ranked.select_nth_unstable_by_key(DRAWN_TOLD, weight);
                ranked.truncate(DRAWN_TOLD);
            }
            drawn.extend(ranked);
        }
        known.drawn = (edition, drawn);
    }

    /// Finds what all processes are told alike.
    fn find_common(&mut self, now: ClockTime) {
        if self.common.found_at.is_some_and(|at| now - at < COMMON_KEPT) {
            return;
        }
        let work = |(mark, sum): (&EndpointMark, &WorkSum)| {
            (Reverse((sum.unread_tokens, sum.requests)), *mark)
        };
        let mut ranked: Vec<_> = self.sums.iter().map(work).collect();
        if ranked.len() > LONGEST_TOLD {
            ranked.select_nth_unstable(LONGEST_TOLD);
            ranked.truncate(LONGEST_TOLD);
        }
        let longest: BTreeSet<EndpointMark> = ranked.into_iter().map(|(_, mark)| mark).collect();
        let means = self.services.iter().map(|(name, marks)| self.mean_of(name, marks, &longest));
        self.common = CommonNews { found_at: Some(now), means: means.collect(), longest };
    }

    fn mean_of(
        &self,
        service: &ServiceName,
        endpoints: &[EndpointMark],
        longest: &BTreeSet<EndpointMark>,
    ) -> MeanLoad {
        let mut sum = WorkSum::default();
        let mut count = 0;
        for mark in endpoints.iter().filter(|mark| !longest.contains(mark)) {
            let at = self.sums.get(mark).copied().unwrap_or_default();
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

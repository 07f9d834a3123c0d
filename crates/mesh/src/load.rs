//! Work at the endpoints, summed once for the digests of all processes.

use crate::message::{EndpointLoad, LifeMark};
use oleander_kind::{ClockTime, InstanceId, TimeSpan};
use std::collections::{BTreeMap, HashMap};

/// Between two sums. Each digest summed the reports of all anew: with 300 processes before 3,000 endpoints
/// that is some ten million steps a second, and the collector was busy for 0.6 of a core. Reports come every
/// 250 ms, so a sum is hardly older for it.
const SUM_PERIOD: TimeSpan = TimeSpan(50);
/// Up to so many reported works they are summed anew for each digest: for 195 processes that is nothing.
const FEW_TOLD: usize = 1500;
/// The most endpoints whose work a digest tells. All of them took 484 KB a second of each of 300
/// processes before 3,000 endpoints, and 13.7 MB a second of the collector's link: digests came late, lists
/// grew old, and an eighth of the requests was served. Of 128 it is 16 KB a second. Those with the longest
/// queues are told; the others are as good as one another, and two drawn by lot tell no more of them.
const MOST_TOLD: usize = 128;

/// The work of all processes at the endpoints with most of it.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    sums: Vec<EndpointLoad>,
    /// Reported works that they were made of.
    told: usize,
    at: ClockTime,
}

impl LoadTable {
    /// The heaviest of `sums`, which were made of `told` reported works at `now`.
    pub fn of(mut sums: Vec<EndpointLoad>, told: usize, now: ClockTime) -> Self {
        if sums.len() > MOST_TOLD {
            sums.sort_by_key(|load| std::cmp::Reverse((load.unread_tokens, load.requests)));
            sums.truncate(MOST_TOLD);
        }
        LoadTable { sums, told, at: now }
    }

    /// When the sums were made.
    pub fn at(&self) -> ClockTime {
        self.at
    }

    /// Whether it is time for new sums.
    pub fn is_due(&self, now: ClockTime) -> bool {
        self.told <= FEW_TOLD || now - self.at >= SUM_PERIOD
    }

    /// The sums without `own`, which is part of them.
    pub fn without(&self, own: &[EndpointLoad]) -> Vec<EndpointLoad> {
        let own: HashMap<(&InstanceId, LifeMark), &EndpointLoad> =
            own.iter().map(|load| ((&load.instance, load.life), load)).collect();
        let rest = |sum: &EndpointLoad| {
            let mut rest = sum.clone();
            if let Some(own) = own.get(&(&sum.instance, sum.life)) {
                rest.requests = sum.requests.saturating_sub(own.requests);
                rest.unread_tokens = sum.unread_tokens.saturating_sub(own.unread_tokens);
            }
            rest
        };
        let others = self.sums.iter().map(rest);
        others.filter(|load| load.requests > 0 || load.unread_tokens > 0).collect()
    }
}

/// Adds up what several processes have at each endpoint.
pub fn sum_loads<'a>(reports: impl Iterator<Item = &'a [EndpointLoad]>) -> Vec<EndpointLoad> {
    let mut sums: BTreeMap<(&InstanceId, LifeMark), (u32, u64)> = BTreeMap::new();
    for load in reports.flatten() {
        let sum = sums.entry((&load.instance, load.life)).or_default();
        sum.0 += load.requests;
        sum.1 += load.unread_tokens;
    }
    let load = |((instance, life), (requests, unread_tokens))| {
        let instance = InstanceId::clone(instance);
        EndpointLoad { instance, life, requests, unread_tokens }
    };
    sums.into_iter().map(load).collect()
}

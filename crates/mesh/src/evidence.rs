//! Outlier detection at the collector, from what all processes observed of the endpoints.

use crate::message::{EndpointEvidence, EndpointVerdict, IncarnationTag, NodeReport};
use oleander_judge::{
    BadTrait, EvidenceAggregate, EvidenceSum, EvidenceTally, MIN_ANSWERS_ASIDE, ServiceEvidence,
    judge_service, max_set_aside,
};
use oleander_kind::{ClockTime, InstanceId, TimeSpan};
use std::collections::BTreeMap;

/// Time between two comparisons. Each process reports several times a second; a comparison per
/// report would cost more without a fresher result, as the data is as old as a reporting period
/// anyway.
const JUDGE_PERIOD: TimeSpan = TimeSpan(200);
/// How long an endpoint stays ejected without enough observations, because no requests reach it or
/// a new collector has not heard of it yet. After that requests try it again, and it is detected
/// again within about two seconds if it is still bad.
const UNCONFIRMED_LIFETIME: TimeSpan = TimeSpan(5000);

/// An incarnation of an endpoint.
pub type EndpointIncarnation = (InstanceId, IncarnationTag);

/// A change of the verdict on an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct VerdictChange {
    /// The endpoint.
    pub endpoint: EndpointIncarnation,
    /// The new verdict; `None` if the endpoint is as good as the others again.
    pub bad_trait: Option<BadTrait>,
    /// The observations it was based on.
    pub sum: EvidenceSum,
}

#[derive(Clone, Copy, Debug)]
struct EjectionRecord {
    bad_trait: BadTrait,
    /// When observations last led to the verdict.
    confirmed_at: ClockTime,
}

/// Combined observations of all processes, and the endpoints ejected because of them. Ejected
/// endpoints are those that [`judge_service`] sets aside.
#[derive(Debug, Default)]
pub struct OutlierDetector {
    aggregate: EvidenceAggregate<EndpointIncarnation>,
    ejected: BTreeMap<EndpointIncarnation, EjectionRecord>,
    judged_at: ClockTime,
}

impl OutlierDetector {
    /// Starts from known verdicts, so that a change of the collector does not reinstate bad
    /// endpoints.
    pub fn begin(verdicts: impl Iterator<Item = EndpointVerdict>, now: ClockTime) -> Self {
        let record = |verdict: EndpointVerdict| {
            let record = EjectionRecord { bad_trait: verdict.bad_trait, confirmed_at: now };
            ((verdict.instance, verdict.life), record)
        };
        OutlierDetector { ejected: verdicts.map(record).collect(), ..OutlierDetector::default() }
    }

    /// Adds the observations of a report. Returns the number of those left out because they name an
    /// endpoint or incarnation that is not known (`knows`) or are impossible.
    pub fn note(
        &mut self,
        report: &NodeReport,
        knows: impl Fn(&EndpointIncarnation) -> bool,
        now: ClockTime,
    ) -> usize {
        let mut left_out = 0;
        for EndpointEvidence { instance, life, tally } in &report.evidence {
            let endpoint = (instance.clone(), *life);
            if tally.is_plausible() && knows(&endpoint) {
                self.note_tally(endpoint, *tally, now);
            } else {
                left_out += 1;
            }
        }
        left_out
    }

    /// Adds one process's observations of one endpoint.
    pub fn note_tally(
        &mut self,
        endpoint: EndpointIncarnation,
        tally: EvidenceTally,
        now: ClockTime,
    ) {
        self.aggregate.note(endpoint, tally, now);
    }

    /// Whether it is time for the next comparison.
    pub fn is_due(&self, now: ClockTime) -> bool {
        now - self.judged_at >= JUDGE_PERIOD
    }

    /// Compares the endpoints of each service with one another; returns the changed verdicts.
    pub fn judge(
        &mut self,
        services: &[Vec<EndpointIncarnation>],
        now: ClockTime,
    ) -> Vec<VerdictChange> {
        self.judged_at = now;
        self.aggregate.sweep(now);
        let mut ejected = BTreeMap::new();
        for endpoints in services {
            self.judge_one(endpoints, now, &mut ejected);
        }
        let previous = std::mem::replace(&mut self.ejected, ejected);
        let was =
            |endpoint: &EndpointIncarnation| previous.get(endpoint).map(|record| record.bad_trait);
        let is = |endpoint: &EndpointIncarnation| {
            self.ejected.get(endpoint).map(|record| record.bad_trait)
        };
        let named: std::collections::BTreeSet<_> =
            previous.keys().chain(self.ejected.keys()).collect();
        let changed = named.into_iter().filter(|endpoint| was(endpoint) != is(endpoint));
        let change = |endpoint: &EndpointIncarnation| VerdictChange {
            endpoint: endpoint.clone(),
            bad_trait: is(endpoint),
            sum: self.aggregate.sum(endpoint, now),
        };
        let changes = changed.map(change).collect();
        // An ejected endpoint is judged again only by observations made since; those that led to
        // the ejection would keep it ejected for a quarter of a minute after it has recovered.
        let confirmed = self.ejected.iter().filter(|(_, record)| record.confirmed_at == now);
        confirmed.for_each(|(endpoint, _)| self.aggregate.forget(endpoint));
        changes
    }

    fn judge_one(
        &self,
        endpoints: &[EndpointIncarnation],
        now: ClockTime,
        ejected: &mut BTreeMap<EndpointIncarnation, EjectionRecord>,
    ) {
        let evidence = |at: usize| ServiceEvidence {
            endpoint: at,
            sum: self.aggregate.sum(&endpoints[at], now),
            previous: self.ejected.get(&endpoints[at]).map(|record| record.bad_trait),
        };
        let known: Vec<_> = (0..endpoints.len()).map(evidence).collect();
        let mut left = max_set_aside(endpoints.len());
        for one in known.iter().filter(|one| one.sum.seen() < MIN_ANSWERS_ASIDE) {
            let endpoint = &endpoints[one.endpoint];
            let kept = self
                .ejected
                .get(endpoint)
                .filter(|record| now - record.confirmed_at < UNCONFIRMED_LIFETIME);
            if let Some(record) = kept {
                ejected.insert(endpoint.clone(), *record);
                left = left.saturating_sub(1);
            }
        }
        for (at, bad_trait) in judge_service(&known).into_iter().take(left) {
            ejected.insert(endpoints[at].clone(), EjectionRecord { bad_trait, confirmed_at: now });
        }
    }

    /// The endpoints that are ejected.
    pub fn verdicts(&self) -> Vec<EndpointVerdict> {
        let verdict = |((instance, life), record): (&EndpointIncarnation, &EjectionRecord)| {
            EndpointVerdict { instance: instance.clone(), life: *life, bad_trait: record.bad_trait }
        };
        self.ejected.iter().map(verdict).collect()
    }
}

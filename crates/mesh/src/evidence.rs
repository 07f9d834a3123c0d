//! What the processes report of endpoints, and what the collector makes of it.

use crate::message::{EndpointEvidence, EndpointVerdict, LifeMark, NodeReport};
use oleander_judge::{
    BadTrait, EvidenceAggregate, EvidenceSum, EvidenceTally, MIN_ANSWERS_ASIDE, ServiceEvidence,
    judge_service, max_set_aside,
};
use oleander_kind::{ClockTime, InstanceId, TimeSpan};
use std::collections::BTreeMap;

/// Between two comparisons. Each process reports several times a second; to compare at each report would cost as many
/// comparisons, for news that is as old as a period of reports.
const JUDGE_PERIOD: TimeSpan = TimeSpan(200);
/// How long an endpoint stays set aside of which hardly anything is heard: nobody asks it, or a new
/// collector has not heard of it yet. Then callers try it again, and it is found again within some two
/// seconds if it is still bad.
const UNPROVED_KEPT: TimeSpan = TimeSpan(5000);

/// Names a life of an endpoint.
pub type EndpointLife = (InstanceId, LifeMark);

/// A change of what is said of an endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct VerdictChange {
    /// The endpoint.
    pub endpoint: EndpointLife,
    /// What is said now; none if it is as good as the others again.
    pub bad_trait: Option<BadTrait>,
    /// What it was judged by.
    pub sum: EvidenceSum,
}

#[derive(Clone, Copy, Debug)]
struct AsideMark {
    bad_trait: BadTrait,
    proved_at: ClockTime,
}

/// What all processes saw of the endpoints, and which are set aside.
#[derive(Debug, Default)]
pub struct EndpointJudge {
    book: EvidenceAggregate<EndpointLife>,
    aside: BTreeMap<EndpointLife, AsideMark>,
    judged_at: ClockTime,
}

impl EndpointJudge {
    /// Begins with what was told before: a change of the collector frees no bad endpoint.
    pub fn begin(told: impl Iterator<Item = EndpointVerdict>, now: ClockTime) -> Self {
        let mark = |verdict: EndpointVerdict| {
            let mark = AsideMark { bad_trait: verdict.bad_trait, proved_at: now };
            ((verdict.instance, verdict.life), mark)
        };
        EndpointJudge { aside: told.map(mark).collect(), ..EndpointJudge::default() }
    }

    /// Takes what a report tells; gives how much of it was left out, since it names an endpoint or a
    /// life that nobody `knows`, or cannot be true.
    pub fn note(
        &mut self,
        report: &NodeReport,
        knows: impl Fn(&EndpointLife) -> bool,
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

    /// Takes what a process saw of one endpoint.
    pub fn note_tally(&mut self, endpoint: EndpointLife, tally: EvidenceTally, now: ClockTime) {
        self.book.note(endpoint, tally, now);
    }

    /// Whether it is time to compare again.
    pub fn is_due(&self, now: ClockTime) -> bool {
        now - self.judged_at >= JUDGE_PERIOD
    }

    /// Compares the endpoints of each service with one another; gives what changed.
    pub fn judge(&mut self, services: &[Vec<EndpointLife>], now: ClockTime) -> Vec<VerdictChange> {
        self.judged_at = now;
        self.book.sweep(now);
        let mut aside = BTreeMap::new();
        for endpoints in services {
            self.judge_one(endpoints, now, &mut aside);
        }
        let previous = std::mem::replace(&mut self.aside, aside);
        let was = |endpoint: &EndpointLife| previous.get(endpoint).map(|mark| mark.bad_trait);
        let is = |endpoint: &EndpointLife| self.aside.get(endpoint).map(|mark| mark.bad_trait);
        let named: std::collections::BTreeSet<_> =
            previous.keys().chain(self.aside.keys()).collect();
        let changed = named.into_iter().filter(|endpoint| was(endpoint) != is(endpoint));
        let change = |endpoint: &EndpointLife| VerdictChange {
            endpoint: endpoint.clone(),
            bad_trait: is(endpoint),
            sum: self.book.sum(endpoint, now),
        };
        let changes = changed.map(change).collect();
        // Each time it is judged by what came since: what put it aside would keep it there for a quarter of a
        // minute after it is well again.
        let proved = self.aside.iter().filter(|(_, mark)| mark.proved_at == now);
        proved.for_each(|(endpoint, _)| self.book.forget(endpoint));
        changes
    }

    fn judge_one(
        &self,
        endpoints: &[EndpointLife],
        now: ClockTime,
        aside: &mut BTreeMap<EndpointLife, AsideMark>,
    ) {
        let evidence = |at: usize| ServiceEvidence {
            endpoint: at,
            sum: self.book.sum(&endpoints[at], now),
            previous: self.aside.get(&endpoints[at]).map(|mark| mark.bad_trait),
        };
        let known: Vec<_> = (0..endpoints.len()).map(evidence).collect();
        let mut left = max_set_aside(endpoints.len());
        for one in known.iter().filter(|one| one.sum.seen() < MIN_ANSWERS_ASIDE) {
            let endpoint = &endpoints[one.endpoint];
            let kept = self.aside.get(endpoint).filter(|mark| now - mark.proved_at < UNPROVED_KEPT);
            if let Some(mark) = kept {
                aside.insert(endpoint.clone(), *mark);
                left = left.saturating_sub(1);
            }
        }
        for (at, bad_trait) in judge_service(&known).into_iter().take(left) {
            aside.insert(endpoints[at].clone(), AsideMark { bad_trait, proved_at: now });
        }
    }

    /// The endpoints that are set aside.
    pub fn verdicts(&self) -> Vec<EndpointVerdict> {
        let verdict = |((instance, life), mark): (&EndpointLife, &AsideMark)| EndpointVerdict {
            instance: instance.clone(),
            life: *life,
            bad_trait: mark.bad_trait,
        };
        self.aside.iter().map(verdict).collect()
    }
}

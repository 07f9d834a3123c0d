//! Which requests the crashes of endpoints are charged to.

use crate::fingerprint::RequestFingerprint;
use crate::record::{EndpointCrash, EndpointIncarnation, SuspectRecord, count_events};
use oleander_kind::{ClockTime, TimeSpan};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};

/// Moments at which an endpoint has to crash under a request before it is to blame: the users count from the
/// third crash on.
pub const MIN_CRASH_EVENTS: usize = 3;
/// From so many event_count on a request may be what ended an endpoint under another one too. Nearly all that ran
/// beside a request at fault have one.
const PLAUSIBLE_EVENTS: usize = 2;
/// Moments that a request must have for itself, none beside it that has as many or one less. Without this and
/// [`REPORT_DELAY`], 8 of 224,377 honest requests were refused in 400 plays of two requests that crash three endpoints a
/// second of nine; with both, none (`suspect::no_honest_request_is_held_back_beside_requests_that_end_endpoints`).
const MIN_EXCLUSIVE_EVENTS: usize = 1;
/// Requests that were always together cannot be told apart: one is innocent, and each further crash most likely
/// parts them. From so many event_count on they are held back together; a request may reach endpoints three
/// times after its third crash.
pub const MAX_TIED_EVENTS: usize = 5;
/// An crash counts once others that saw it have told what they ran there: a process that sent one stream to three
/// endpoints knows all crashes of that stream at once, and of the request at fault, which came to other processes, it
/// hears by their report, which takes 250 ms at most.
const REPORT_DELAY: TimeSpan = TimeSpan(300);

struct Candidate<'a> {
    fingerprint: RequestFingerprint,
    /// Ends that no request found to blame explains.
    crashes: Vec<&'a EndpointCrash>,
}

impl Candidate<'_> {
    fn event_count(&self) -> usize {
        count_events(self.crashes.iter().copied())
    }

    fn incarnations(&self) -> impl Iterator<Item = &EndpointIncarnation> {
        self.crashes.iter().map(|crash| &crash.life)
    }

    /// How many event_count are left without those of `incarnations`.
    fn event_count_without(&self, incarnations: &BTreeSet<&EndpointIncarnation>) -> usize {
        let left = self.crashes.iter().copied().filter(|crash| !incarnations.contains(&crash.life));
        count_events(left)
    }

    /// Whether `other` has as many crashes, and this one would explain too many of them for it to be to blame as
    /// well: only one of the two is.
    fn is_ambiguous_with(&self, other: &Candidate<'_>) -> bool {
        let incarnations = self.incarnations().collect();
        other.event_count() >= self.event_count()
            && other.event_count_without(&incarnations) < MIN_CRASH_EVENTS
    }

    /// Whether it is to blame, and none of `others` in its place.
    fn is_certain<'b>(&self, others: impl Iterator<Item = &'b Candidate<'b>> + Clone) -> bool {
        if self.event_count() >= MAX_TIED_EVENTS {
            return true;
        }
        let is_near = |other: &&Candidate<'_>| other.event_count() + 1 >= self.event_count();
        let shared = others.clone().filter(is_near).flat_map(Candidate::incarnations).collect();
        let mut others = others;
        self.event_count_without(&shared) >= MIN_EXCLUSIVE_EVENTS
            && !others.any(|other| self.is_ambiguous_with(other))
    }
}

/// The requests to blame, by what is known of all.
///
/// The one under which most crashes came is taken first, and what it explains counts against nobody else. Judged
/// anew from everything whenever something is seen, so that a verdict that more crashes contradict does not stand.
pub fn find_culprits(
    records: &BTreeMap<RequestFingerprint, SuspectRecord>,
    now: ClockTime,
) -> BTreeSet<RequestFingerprint> {
    let is_reported = |crash: &&EndpointCrash| now - crash.at >= REPORT_DELAY;
    let mut open: Vec<Candidate<'_>> = records
        .iter()
        .map(|(fingerprint, record)| Candidate {
            fingerprint: *fingerprint,
            crashes: record.ends().iter().filter(is_reported).collect(),
        })
        .collect();
    let mut culprits = BTreeSet::new();
    loop {
        open.retain(|candidate| candidate.event_count() >= PLAUSIBLE_EVENTS);
        open.sort_by_key(|candidate| (Reverse(candidate.event_count()), candidate.fingerprint));
        let Some(top) = find_certain(&open) else {
            return culprits;
        };
        let top = open.remove(top);
        culprits.insert(top.fingerprint);
        if top.event_count() >= MAX_TIED_EVENTS {
            let tied = open.iter().filter(|other| top.is_ambiguous_with(other));
            culprits.extend(tied.map(|other| other.fingerprint));
        }
        let incarnations: BTreeSet<&EndpointIncarnation> = top.incarnations().collect();
        for other in &mut open {
            other.crashes.retain(|crash| !incarnations.contains(&crash.life));
        }
    }
}

fn find_certain(open: &[Candidate<'_>]) -> Option<usize> {
    let others = |at: usize| open[..at].iter().chain(&open[at + 1..]);
    let enough =
        open.iter().take_while(|candidate| candidate.event_count() >= MIN_CRASH_EVENTS).count();
    (0..enough).find(|at| open[*at].is_certain(others(*at)))
}
